"""Parses the command line and runs one command.

Exit codes: 0 done; 1 refused or failed; 2 bad input, nothing was started or
changed; 3 no answer, or the outcome is unknown; 4 accepted, but not yet in
force at all live instances when the wait ended.
"""

from __future__ import annotations

import argparse
import math
import pathlib
import sys
import typing
import uuid

import anyio

import geraniumlink
from geraniumlink import _clock
from geraniumlink import _instance
from geraniumlink import _log_buffer
from geraniumlink import _settings
from geraniumlink.interface import _client
from geraniumlink.interface import _commands
from geraniumlink.interface import _log_commands
from geraniumlink import platform


def main(arguments: list[str] | None = None) -> int:
    """Run one command and return its exit code."""
    options = _build_parser().parse_args(arguments)
    try:
        return options.run(options)
    except _client.CommandError as error:
        print(f"geraniumlink: {error}", file=sys.stderr)
        return error.code
    except KeyboardInterrupt:
        return _client.Exit.REFUSED


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="geraniumlink",
        description=geraniumlink.__doc__,
        epilog="exit codes: 0 done, 1 refused, 2 bad input, 3 no answer or"
        " unknown outcome, 4 accepted but not yet in force everywhere",
    )
    parser.add_argument(
        "--version", action="version", version=geraniumlink.__version__
    )
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    _add_local_commands(commands)
    _add_log_commands(commands)
    _add_read_commands(commands)
    _add_change_commands(commands)
    _add_call_command(commands)
    return parser


def _add_local_commands(commands: typing.Any) -> None:
    for name, run, description in (
        ("serve", _serve, "run one instance until SIGTERM"),
        (
            "check",
            _check,
            "check a settings file, of an instance (INI) or of the users'"
            " platform (.json), and start nothing",
        ),
    ):
        command = commands.add_parser(
            name, help=description, description=description
        )
        command.add_argument("settings", type=pathlib.Path)
        command.set_defaults(run=run)


def _add_log_commands(commands: typing.Any) -> None:
    story = commands.add_parser(
        "story",
        help="trace a request through log files",
        description="Prints the log lines about a request and, marked by |,"
        " the state changes that may have affected it. Times are in seconds"
        " after the request arrived.",
    )
    story.add_argument("request_id")
    story.add_argument("files", nargs="+", type=pathlib.Path)
    story.set_defaults(run=_log_commands.story)
    summary = commands.add_parser(
        "summary",
        help="summarize a period of log files",
        description="Prints counts of requests by outcome, and state changes.",
    )
    summary.add_argument("files", nargs="+", type=pathlib.Path)
    for name, default in (("--from", 0.0), ("--to", math.inf)):
        summary.add_argument(
            name,
            dest=f"{name[2:]}_s",
            type=float,
            default=default,
            metavar="SECONDS",
            help="seconds after the first line of all files",
        )
    summary.add_argument(
        "--account",
        metavar="NAME",
        help="count the requests of one client account only",
    )
    summary.set_defaults(run=_log_commands.summary)


def _add_read_commands(commands: typing.Any) -> None:
    status = _add_remote_command(
        commands, "status", _commands.status, "show what is in force"
    )
    status.add_argument(
        "--wait-version",
        type=int,
        metavar="VERSION",
        help="wait until every live instance has this version in force",
    )
    _add_wait_limit(status)
    get = _add_remote_command(
        commands, "get", _commands.get, "print a deployment, or all names"
    )
    get.add_argument("name", nargs="?")
    history = _add_remote_command(
        commands, "history", _commands.history, "print the audit trail"
    )
    history.add_argument("name")
    history.add_argument("--limit", type=int, default=50)
    diff = _add_remote_command(
        commands, "diff", _commands.diff, "show what apply would change"
    )
    diff.add_argument("file", type=pathlib.Path)


def _add_change_commands(commands: typing.Any) -> None:
    apply = _add_remote_command(
        commands, "apply", _commands.apply, "declare or change a deployment"
    )
    apply.add_argument("file", type=pathlib.Path)
    retire = _add_remote_command(
        commands, "retire", _commands.retire, "retire a deployment"
    )
    retire.add_argument("name")
    drain = _add_remote_command(
        commands,
        "drain",
        _commands.drain,
        "stop sending new requests to a replica",
    )
    drain.add_argument("deployment")
    drain.add_argument("replica")
    drain.add_argument("--undo", action="store_true")
    for command in (apply, retire, drain):
        command.add_argument(
            "--author", required=True, help="who makes the change"
        )
        command.add_argument(
            "--expected-version",
            type=int,
            help="the deployment's version that this change is based on"
            " (default: the current one)",
        )
        command.add_argument(
            "--change-id",
            default=f"cli-{uuid.uuid4().hex}",
            help="id of the change; repeat it to retry a change whose outcome"
            " is unknown",
        )
        command.add_argument(
            "--wait",
            action="store_true",
            help="wait until the change is in force at every live instance",
        )
        _add_wait_limit(command)


def _add_wait_limit(command: argparse.ArgumentParser) -> None:
    command.add_argument("--wait-ms", type=int, default=30_000)


def _add_call_command(commands: typing.Any) -> None:
    call = _add_remote_command(
        commands, "call", _commands.call, "call any method of the schema"
    )
    call.add_argument("method", help="such as Inference/Generate")
    call.add_argument("body", help="a JSON object, or @FILE")


def _add_remote_command(
    commands: typing.Any,
    name: str,
    run: typing.Callable[[argparse.Namespace], int],
    description: str,
) -> argparse.ArgumentParser:
    command = commands.add_parser(
        name, help=description, description=description
    )
    command.add_argument(
        "--to",
        required=True,
        type=_parse_address,
        metavar="IP:PORT",
        help="an instance, or the load balancer in front of the instances",
    )
    command.add_argument(
        "--json", action="store_true", help="print JSON for scripts"
    )
    command.set_defaults(run=run)
    return command


def _parse_address(text: str) -> _settings.Address:
    try:
        return _settings.parse_address(text)
    except ValueError as error:
        raise argparse.ArgumentTypeError(str(error)) from error


def _read_settings(path: pathlib.Path) -> _settings.Settings:
    result = _settings.read(path)
    if result.is_error():
        raise _client.CommandError(
            f"the settings can't be used\n{result.error}",
            _client.Exit.BAD_INPUT,
        )
    return result.ok


def _check(options: argparse.Namespace) -> int:
    if options.settings.suffix == ".json":
        name = _read_platform_settings(options.settings).instance
    else:
        name = _read_settings(options.settings).name
    print(f"{options.settings}: instance {name!r} is well set up")
    return _client.Exit.DONE


def _read_platform_settings(path: pathlib.Path) -> platform.NodeSettings:
    try:
        return platform.read_settings(path)
    except (platform.FormatError, OSError) as error:
        raise _client.CommandError(
            f"the settings can't be used\n{error}", _client.Exit.BAD_INPUT
        ) from error


def _serve(options: argparse.Namespace) -> int:
    settings = _read_settings(options.settings)
    clock = _clock.Clock()
    try:
        descriptor = _log_buffer.open_log_descriptor(settings.log_file)
    except OSError as error:
        raise _client.CommandError(
            f"can't write the log: {error}", _client.Exit.BAD_INPUT
        ) from error
    log_lines = _log_buffer.start(descriptor, settings.name, clock)
    instance = _instance.Instance(settings, clock, log_lines)
    try:
        anyio.run(instance.run)
    except* OSError as group:
        raise _client.CommandError(
            f"stopped: {group.exceptions[0]}", _client.Exit.REFUSED
        ) from group
    finally:
        log_lines.close()
    return _client.Exit.DONE
