"""Entry point of the ``geraniumlink`` command."""

from geraniumlink.interface._cli import main

__all__ = ["main"]
