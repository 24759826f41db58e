"""Runs one instance on a machine of the users' platform."""

# Imported first, before any module that imports httpcore.
from geraniumlink.hosting import _async_library  # noqa: F401
from geraniumlink.hosting._instance import serve

__all__ = ["serve"]
