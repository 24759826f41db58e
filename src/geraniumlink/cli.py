"""The command line of geraniumlink."""

from geraniumlink._cli import main

__all__ = ["main"]
