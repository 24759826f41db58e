"""The commands that call an instance."""

from __future__ import annotations

import argparse
import json
import pathlib
import sys
import time
import typing

from geraniumlink.interface import _client

# Interval between two requests for the status while a command waits.
POLL_INTERVAL_MS = 200


def _print_response(
    options: argparse.Namespace, response: dict, text: str
) -> None:
    print(json.dumps(response) if options.json else text)


def apply(options: argparse.Namespace) -> int:
    """Declare or change the deployment described by a JSON file."""
    deployment = _read_json(options.file)
    if not isinstance(deployment, dict):
        raise _client.CommandError(
            f"{options.file}: must hold a JSON object, a Deployment of the"
            " schema",
            _client.Exit.BAD_INPUT,
        )
    name = str(deployment.get("name", ""))
    body = _change_fields(options, name) | {"deployment": deployment}
    return _report_accepted(
        options, _client.call_unary(options, "Operator/Apply", body)
    )


def retire(options: argparse.Namespace) -> int:
    """Retire a deployment."""
    body = _change_fields(options, options.name) | {"name": options.name}
    return _report_accepted(
        options, _client.call_unary(options, "Operator/Retire", body)
    )


def drain(options: argparse.Namespace) -> int:
    """Stop sending new requests to a replica, or resume it."""
    body = _change_fields(options, options.deployment) | {
        "deployment": options.deployment,
        "replica": options.replica,
        "undo": options.undo,
    }
    return _report_accepted(
        options, _client.call_unary(options, "Operator/Drain", body)
    )


def _change_fields(options: argparse.Namespace, name: str) -> dict:
    """Return the fields that all requests for a change have in common."""
    expected = options.expected_version
    if expected is None:
        expected = _current_version(options, name)
    return {
        "expected_version": expected,
        "change_id": options.change_id,
        "author": options.author,
    }


def _current_version(options: argparse.Namespace, name: str) -> int:
    """Return the deployment's version, or 0 if it isn't declared."""
    response = _client.call_unary(options, "Operator/List", {})
    for entry in response.get("deployments", ()):
        if entry["deployment"]["name"] == name:
            return int(entry["version"])
    return 0


def _report_accepted(options: argparse.Namespace, response: dict) -> int:
    """Print the accepted version; wait for it if --wait was given."""
    version = int(response["version"])
    text = f"accepted as version {version} (change {response['change_id']})"
    _print_response(options, response, text)
    if not options.wait:
        return _client.Exit.DONE
    return _wait_in_force(options, version)


def _wait_in_force(options: argparse.Namespace, version: int) -> int:
    """Wait until all live instances have a version in force.

    Prints progress to standard error. Returns NOT_IN_FORCE when --wait-ms
    has passed.
    """
    deadline = time.monotonic() + options.wait_ms / 1000
    last_progress = ""
    while True:
        response = _client.call_unary(options, "Operator/Status", {})
        live = [
            entry
            for entry in response["instances"]
            if entry["state"] != "suspect"
        ]
        up_to_date = [
            entry for entry in live if int(entry.get("version", 0)) >= version
        ]
        progress = f"in force at {len(up_to_date)} of {len(live)} instances"
        if progress != last_progress:
            print(progress, file=sys.stderr)
            last_progress = progress
        if len(up_to_date) == len(live):
            return _client.Exit.DONE
        if time.monotonic() > deadline:
            return _client.Exit.NOT_IN_FORCE
        time.sleep(POLL_INTERVAL_MS / 1000)


def status(options: argparse.Namespace) -> int:
    """Print the state of the instances and replicas."""
    if options.wait_version is not None:
        code = _wait_in_force(options, options.wait_version)
        if code != _client.Exit.DONE:
            return code
    response = _client.call_unary(options, "Operator/Status", {})
    reachable = response.get("object_api_reachable", False)
    lines = [f"object API: {'answers' if reachable else 'DOES NOT ANSWER'}"]
    lines += [
        f"instance {entry['name']:12} {entry.get('data_centre', ''):10}"
        f" {entry['state']:8} version {entry.get('version', 0)}"
        for entry in response["instances"]
    ]
    lines += [
        f"replica  {entry['deployment']}/{entry['name']}: {entry['state']},"
        f" {entry.get('in_flight', 0)} in flight,"
        f" {entry.get('charged_mb', 0)} of {entry.get('memory_mb', 0)} MiB,"
        f" holds {' '.join(entry.get('models', ())) or 'nothing'}"
        for entry in response.get("replicas", ())
    ]
    _print_response(options, response, "\n".join(lines))
    return _client.Exit.DONE


def get(options: argparse.Namespace) -> int:
    """Print a deployment, or the names and versions of all."""
    if options.name:
        response = _client.call_unary(
            options, "Operator/Get", {"name": options.name}
        )
        print(json.dumps(response if options.json else response["deployment"]))
        return _client.Exit.DONE
    response = _client.call_unary(options, "Operator/List", {})
    lines = [
        f"{entry['deployment']['name']} version {entry['version']}"
        for entry in response.get("deployments", ())
    ]
    _print_response(
        options, response, "\n".join(lines) or "nothing is declared"
    )
    return _client.Exit.DONE


def history(options: argparse.Namespace) -> int:
    """Print the audit trail of a deployment."""
    body = {"name": options.name, "limit": options.limit}
    response = _client.call_unary(options, "Operator/History", body)
    lines = [
        f"version {entry['version']}: {entry['action']} by {entry['author']}"
        f" through {entry['instance']} at {entry['time_ms']} ms"
        f" (change {entry['change_id']})"
        for entry in response["changes"]
    ]
    _print_response(options, response, "\n".join(lines))
    return _client.Exit.DONE


def diff(options: argparse.Namespace) -> int:
    """Print what apply would change, and what is wrong with the file."""
    body = {"deployment": _read_json(options.file)}
    response = _client.call_unary(options, "Operator/Diff", body)
    findings = response.get("findings", ())
    lines = list(response.get("changes", ())) or ["no change"]
    lines += [f"fault: {f['place']}: {f['problem']}" for f in findings]
    _print_response(options, response, "\n".join(lines))
    return _client.Exit.BAD_INPUT if findings else _client.Exit.DONE


def call(options: argparse.Namespace) -> int:
    """Call any method; the body is given as JSON or as @FILE."""
    body = options.body
    if body.startswith("@"):
        body = _read_text(pathlib.Path(body[1:]))
    return _client.call_and_print(options, options.method, body.encode())


def _read_json(path: pathlib.Path) -> typing.Any:
    try:
        return json.loads(_read_text(path))
    except ValueError as error:
        raise _client.CommandError(
            f"{path}: is not JSON: {error}", _client.Exit.BAD_INPUT
        ) from error


def _read_text(path: pathlib.Path) -> str:
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise _client.CommandError(
            f"{path}: can't be read: {error}", _client.Exit.BAD_INPUT
        ) from error
