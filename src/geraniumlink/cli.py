"""The command line of geraniumlink."""

from geraniumlink.interface._cli import main

__all__ = ["main"]
