"""Starts an instance on the users' platform.

The platform passes the settings file's path in an environment variable.

This command is separate from the main command line, whose libraries would
take memory that a small machine lacks.
"""

import argparse
import functools
import os
import pathlib
import sys

import anyio

from geraniumlink import hosting
from geraniumlink import platform


def _make_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="python -m geraniumlink.hosting",
        description="Runs an instance with the settings file that"
        f" {platform.SETTINGS_PATH_VARIABLE} names.",
    )
    parser.add_argument(
        "--metrics-port",
        type=int,
        help="port for metrics, at the IP address in the settings",
    )
    return parser


def main() -> int:
    """Run until SIGTERM and return the exit code.

    It is 2 if the settings are invalid or an address is in use.
    """
    settings_path = os.environ.get(platform.SETTINGS_PATH_VARIABLE, "")
    options = _make_parser().parse_args()
    run_instance = functools.partial(
        hosting.serve, pathlib.Path(settings_path), options.metrics_port
    )
    try:
        anyio.run(run_instance)
    except (platform.FormatError, OSError) as error:
        print(f"geraniumlink: {settings_path}: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
