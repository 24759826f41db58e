"""Runs the real programs under faults and checks the platform's rules."""
