"""Starts an instance; the platform names the settings file.

It is apart from the command line, whose commands need more libraries than
a small machine should hold in memory.
"""

import argparse
import functools
import os
import pathlib
import sys

import anyio

from geraniumlink import hosting
from geraniumlink import platform


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="python -m geraniumlink.hosting",
        description="Runs an instance with the settings file that"
        f" {platform.SETTINGS_PATH_VARIABLE} names.",
    )
    parser.add_argument(
        "--metrics-port",
        type=int,
        help="serve metrics there, at the instance's own IP number",
    )
    return parser


def main() -> int:
    """Run until SIGTERM; 2 when the settings can't be used."""
    path = os.environ.get(platform.SETTINGS_PATH_VARIABLE, "")
    options = _parser().parse_args()
    serve = functools.partial(
        hosting.serve, pathlib.Path(path), options.metrics_port
    )
    try:
        anyio.run(serve)
    except (platform.FormatError, OSError) as error:
        print(f"geraniumlink: {path}: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
