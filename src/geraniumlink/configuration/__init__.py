"""Validates, stores and distributes the declared deployments."""
