"""Finds and confines the requests that crash backend servers."""
