"""Runs the command line with ``python -m geraniumlink``."""

import sys

from geraniumlink import cli

if __name__ == "__main__":
    sys.exit(cli.main())
