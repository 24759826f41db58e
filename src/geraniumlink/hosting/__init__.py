"""Runs one instance on a machine of the users' platform."""

from geraniumlink.hosting._instance import serve

__all__ = ["serve"]
