"""Parses the command line and runs one command.

Exit codes: 0 done; 1 refused or failed; 2 bad input, nothing started or
changed; 3 no answer, or the outcome is unknown; 4 accepted, and not yet in
force everywhere when the wait ended.
"""

from __future__ import annotations

import argparse
import enum
import json
import pathlib
import sys
import time
import typing
import uuid

import anyio
import httpcore

import geraniumlink
from geraniumlink import _instance
from geraniumlink import _logs
from geraniumlink import _settings

POLL_MS = 200


class Exit(enum.IntEnum):
    """What the process returns to the shell."""

    DONE = 0
    REFUSED = 1
    BAD_INPUT = 2
    NO_ANSWER = 3
    NOT_IN_FORCE = 4


class _CommandError(Exception):
    """Ends the command with a message and an exit code."""

    def __init__(self, message: str, code: Exit) -> None:
        super().__init__(message)
        self.code = code


def main(arguments: list[str] | None = None) -> int:
    """Run one command and return its exit code."""
    options = _parser().parse_args(arguments)
    try:
        return options.run(options)
    except _CommandError as error:
        print(f"geraniumlink: {error}", file=sys.stderr)
        return error.code
    except KeyboardInterrupt:
        return Exit.REFUSED


def _parser() -> argparse.ArgumentParser:
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
    _add_reading_commands(commands)
    _add_changing_commands(commands)
    _add_call_command(commands)
    return parser


def _add_local_commands(commands: typing.Any) -> None:
    for name, run, text in (
        ("serve", _serve, "run one instance until SIGTERM"),
        ("check", _check, "check a settings file and start nothing"),
    ):
        command = commands.add_parser(name, help=text, description=text)
        command.add_argument("settings", type=pathlib.Path)
        command.set_defaults(run=run)


def _add_reading_commands(commands: typing.Any) -> None:
    status = _remote(commands, "status", _status, "show what is in force")
    status.add_argument(
        "--wait-version",
        type=int,
        metavar="VERSION",
        help="wait until every live instance has this version in force",
    )
    _add_wait_limit(status)
    get = _remote(commands, "get", _get, "print a deployment, or all names")
    get.add_argument("name", nargs="?")
    history = _remote(commands, "history", _history, "print the audit trail")
    history.add_argument("name")
    history.add_argument("--limit", type=int, default=50)
    diff = _remote(commands, "diff", _diff, "show what apply would change")
    diff.add_argument("file", type=pathlib.Path)


def _add_changing_commands(commands: typing.Any) -> None:
    apply = _remote(commands, "apply", _apply, "declare or change")
    apply.add_argument("file", type=pathlib.Path)
    retire = _remote(commands, "retire", _retire, "withdraw a deployment")
    retire.add_argument("name")
    drain = _remote(commands, "drain", _drain, "give a replica no new work")
    drain.add_argument("deployment")
    drain.add_argument("replica")
    drain.add_argument("--undo", action="store_true")
    for command in (apply, retire, drain):
        command.add_argument("--author", required=True, help="who asks")
        command.add_argument(
            "--expected-version",
            type=int,
            help="the version this change is against (default: as it is now)",
        )
        command.add_argument(
            "--change-id",
            default=f"cli-{uuid.uuid4().hex}",
            help="give the id of a change whose outcome is unknown",
        )
        command.add_argument(
            "--wait",
            action="store_true",
            help="wait until it is in force at every live instance",
        )
        _add_wait_limit(command)


def _add_wait_limit(command: argparse.ArgumentParser) -> None:
    command.add_argument("--wait-ms", type=int, default=30_000)


def _add_call_command(commands: typing.Any) -> None:
    call = _remote(commands, "call", _call, "call any method of the schema")
    call.add_argument("method", help="such as Inference/Generate")
    call.add_argument("body", help="a JSON object, or @FILE")


def _remote(
    commands: typing.Any,
    name: str,
    run: typing.Callable[[argparse.Namespace], int],
    text: str,
) -> argparse.ArgumentParser:
    command = commands.add_parser(name, help=text, description=text)
    command.add_argument(
        "--to",
        required=True,
        type=_address,
        metavar="IP:PORT",
        help="an instance, or the balancer before them",
    )
    command.add_argument(
        "--json", action="store_true", help="print JSON for scripts"
    )
    command.set_defaults(run=run)
    return command


def _address(text: str) -> _settings.Address:
    try:
        return _settings.parse_address(text)
    except ValueError as error:
        raise argparse.ArgumentTypeError(str(error)) from error


def _read_settings(path: pathlib.Path) -> _settings.Settings:
    result = _settings.read(path)
    if result.is_error():
        raise _CommandError(
            f"the settings can't be used\n{result.error}", Exit.BAD_INPUT
        )
    return result.ok


def _check(options: argparse.Namespace) -> int:
    settings = _read_settings(options.settings)
    print(f"{options.settings}: instance {settings.name!r} is well set up")
    return Exit.DONE


def _serve(options: argparse.Namespace) -> int:
    settings = _read_settings(options.settings)
    _logs.start(settings.log_file, settings.name)
    instance = _instance.Instance(settings)
    try:
        anyio.run(instance.run)
    except* OSError as group:
        raise _CommandError(
            f"stopped: {group.exceptions[0]}", Exit.REFUSED
        ) from group
    return Exit.DONE


def _ask(options: argparse.Namespace, method: str, body: dict) -> dict:
    """Call a unary method; raise _CommandError with what went wrong."""
    try:
        response = httpcore.request(
            "POST",
            f"http://{options.to}/geraniumlink.v1.{method}",
            headers={"Content-Type": "application/json"},
            content=json.dumps(body).encode(),
            extensions={"timeout": {"connect": 5.0, "read": 610.0}},
        )
        answer = json.loads(response.content)
    except (httpcore.NetworkError, httpcore.TimeoutException) as error:
        raise _CommandError(
            f"{options.to} does not answer: {error}", Exit.NO_ANSWER
        ) from error
    except (httpcore.ProtocolError, ValueError) as error:
        raise _CommandError(
            f"{options.to} cut its answer short; the outcome is unknown",
            Exit.NO_ANSWER,
        ) from error
    if response.status >= 400:
        raise _refused(options, answer)
    return answer


def _refused(options: argparse.Namespace, error: dict) -> _CommandError:
    if options.json:
        print(json.dumps(error))
    lines = [f"{error['code']} ({error['execution']}): {error['message']}"]
    lines += [
        f"  {finding['place']}: {finding['problem']}"
        for finding in error.get("findings", ())
    ]
    if "retry_after_ms" in error:
        lines.append(f"  come back in {error['retry_after_ms']} ms")
    code = Exit.REFUSED
    if error["code"] == "invalid_argument":
        code = Exit.BAD_INPUT
    elif error["code"] == "unavailable":
        code = Exit.NO_ANSWER
    return _CommandError("\n".join(lines), code)


def _show(options: argparse.Namespace, answer: dict, text: str) -> None:
    print(json.dumps(answer) if options.json else text)


def _apply(options: argparse.Namespace) -> int:
    deployment = _read_json(options.file)
    if not isinstance(deployment, dict):
        raise _CommandError(
            f"{options.file}: write a JSON object, a Deployment of the schema",
            Exit.BAD_INPUT,
        )
    name = str(deployment.get("name", ""))
    body = _change(options, name) | {"deployment": deployment}
    return _accepted(options, _ask(options, "Operator/Apply", body))


def _retire(options: argparse.Namespace) -> int:
    body = _change(options, options.name) | {"name": options.name}
    return _accepted(options, _ask(options, "Operator/Retire", body))


def _drain(options: argparse.Namespace) -> int:
    body = _change(options, options.deployment) | {
        "deployment": options.deployment,
        "replica": options.replica,
        "undo": options.undo,
    }
    return _accepted(options, _ask(options, "Operator/Drain", body))


def _change(options: argparse.Namespace, name: str) -> dict:
    expected = options.expected_version
    if expected is None:
        expected = _current_version(options, name)
    return {
        "expected_version": expected,
        "change_id": options.change_id,
        "author": options.author,
    }


def _current_version(options: argparse.Namespace, name: str) -> int:
    answer = _ask(options, "Operator/List", {})
    for entry in answer.get("deployments", ()):
        if entry["deployment"]["name"] == name:
            return int(entry["version"])
    return 0


def _accepted(options: argparse.Namespace, answer: dict) -> int:
    version = int(answer["version"])
    text = f"accepted as version {version} (change {answer['change_id']})"
    _show(options, answer, text)
    if not options.wait:
        return Exit.DONE
    return _wait_in_force(options, version)


def _wait_in_force(options: argparse.Namespace, version: int) -> int:
    """Print progress to standard error until all live instances have it."""
    give_up = time.monotonic() + options.wait_ms / 1000
    shown = ""
    while True:
        answer = _ask(options, "Operator/Status", {})
        live = [
            entry
            for entry in answer["instances"]
            if entry["state"] != "suspect"
        ]
        there = [
            entry for entry in live if int(entry.get("version", 0)) >= version
        ]
        progress = f"in force at {len(there)} of {len(live)} instances"
        if progress != shown:
            print(progress, file=sys.stderr)
            shown = progress
        if len(there) == len(live):
            return Exit.DONE
        if time.monotonic() > give_up:
            return Exit.NOT_IN_FORCE
        time.sleep(POLL_MS / 1000)


def _status(options: argparse.Namespace) -> int:
    if options.wait_version is not None:
        code = _wait_in_force(options, options.wait_version)
        if code != Exit.DONE:
            return code
    answer = _ask(options, "Operator/Status", {})
    reachable = answer.get("object_api_reachable", False)
    lines = [f"object API: {'answers' if reachable else 'DOES NOT ANSWER'}"]
    lines += [
        f"instance {entry['name']:12} {entry.get('data_centre', ''):10}"
        f" {entry['state']:8} version {entry.get('version', 0)}"
        for entry in answer["instances"]
    ]
    lines += [
        f"replica  {entry['deployment']}/{entry['name']}: {entry['state']},"
        f" {entry.get('in_flight', 0)} in flight,"
        f" {entry.get('charged_mb', 0)} of {entry.get('memory_mb', 0)} MiB,"
        f" holds {' '.join(entry.get('models', ())) or 'nothing'}"
        for entry in answer.get("replicas", ())
    ]
    _show(options, answer, "\n".join(lines))
    return Exit.DONE


def _get(options: argparse.Namespace) -> int:
    if options.name:
        answer = _ask(options, "Operator/Get", {"name": options.name})
        print(json.dumps(answer if options.json else answer["deployment"]))
        return Exit.DONE
    answer = _ask(options, "Operator/List", {})
    lines = [
        f"{entry['deployment']['name']} version {entry['version']}"
        for entry in answer.get("deployments", ())
    ]
    _show(options, answer, "\n".join(lines) or "nothing is declared")
    return Exit.DONE


def _history(options: argparse.Namespace) -> int:
    body = {"name": options.name, "limit": options.limit}
    answer = _ask(options, "Operator/History", body)
    lines = [
        f"version {entry['version']}: {entry['action']} by {entry['author']}"
        f" through {entry['instance']} at {entry['time_ms']} ms"
        f" (change {entry['change_id']})"
        for entry in answer["changes"]
    ]
    _show(options, answer, "\n".join(lines))
    return Exit.DONE


def _diff(options: argparse.Namespace) -> int:
    body = {"deployment": _read_json(options.file)}
    answer = _ask(options, "Operator/Diff", body)
    findings = answer.get("findings", ())
    lines = list(answer.get("changes", ())) or ["no change"]
    lines += [f"fault: {f['place']}: {f['problem']}" for f in findings]
    _show(options, answer, "\n".join(lines))
    return Exit.BAD_INPUT if findings else Exit.DONE


def _call(options: argparse.Namespace) -> int:
    body = options.body
    if body.startswith("@"):
        body = _read_text(pathlib.Path(body[1:]))
    url = f"http://{options.to}/geraniumlink.v1.{options.method}"
    last = b""
    try:
        with httpcore.stream("POST", url, content=body.encode()) as response:
            for part in response.iter_stream():
                sys.stdout.write(part.decode())
                sys.stdout.flush()
                last = (last + part)[-4096:]
    except (httpcore.NetworkError, httpcore.TimeoutException) as error:
        raise _CommandError(
            f"{options.to}: {error!r}", Exit.NO_ANSWER
        ) from error
    if not last.endswith(b"\n"):
        print()
    refused = response.status >= 400 or b'"error"' in last.splitlines()[-1]
    return Exit.REFUSED if refused else Exit.DONE


def _read_json(path: pathlib.Path) -> typing.Any:
    try:
        return json.loads(_read_text(path))
    except ValueError as error:
        raise _CommandError(
            f"{path}: is not JSON: {error}", Exit.BAD_INPUT
        ) from error


def _read_text(path: pathlib.Path) -> str:
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise _CommandError(
            f"{path}: can't be read: {error}", Exit.BAD_INPUT
        ) from error
