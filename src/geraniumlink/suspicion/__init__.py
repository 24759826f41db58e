"""Detects requests that crash backend servers, and limits their runs."""
