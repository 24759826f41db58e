"""Runs a request that is not idempotent at most once."""
