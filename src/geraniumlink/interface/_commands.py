"""The commands that ask an instance."""

from __future__ import annotations

import argparse
import json
import pathlib
import sys
import time
import typing

from geraniumlink.interface import _client

POLL_MS = 200


def _show(options: argparse.Namespace, answer: dict, text: str) -> None:
    print(json.dumps(answer) if options.json else text)


def apply(options: argparse.Namespace) -> int:
    """Declare or change a deployment from a JSON file."""
    deployment = _read_json(options.file)
    if not isinstance(deployment, dict):
        raise _client.CommandError(
            f"{options.file}: write a JSON object, a Deployment of the schema",
            _client.Exit.BAD_INPUT,
        )
    name = str(deployment.get("name", ""))
    body = _change(options, name) | {"deployment": deployment}
    return _accepted(options, _client.ask(options, "Operator/Apply", body))


def retire(options: argparse.Namespace) -> int:
    """Withdraw a deployment."""
    body = _change(options, options.name) | {"name": options.name}
    return _accepted(options, _client.ask(options, "Operator/Retire", body))


def drain(options: argparse.Namespace) -> int:
    """Give a replica no new work, or put it back."""
    body = _change(options, options.deployment) | {
        "deployment": options.deployment,
        "replica": options.replica,
        "undo": options.undo,
    }
    return _accepted(options, _client.ask(options, "Operator/Drain", body))


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
    answer = _client.ask(options, "Operator/List", {})
    for entry in answer.get("deployments", ()):
        if entry["deployment"]["name"] == name:
            return int(entry["version"])
    return 0


def _accepted(options: argparse.Namespace, answer: dict) -> int:
    version = int(answer["version"])
    text = f"accepted as version {version} (change {answer['change_id']})"
    _show(options, answer, text)
    if not options.wait:
        return _client.Exit.DONE
    return _wait_in_force(options, version)


def _wait_in_force(options: argparse.Namespace, version: int) -> int:
    """Print progress to standard error until all live instances have it."""
    give_up = time.monotonic() + options.wait_ms / 1000
    shown = ""
    while True:
        answer = _client.ask(options, "Operator/Status", {})
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
            return _client.Exit.DONE
        if time.monotonic() > give_up:
            return _client.Exit.NOT_IN_FORCE
        time.sleep(POLL_MS / 1000)


def status(options: argparse.Namespace) -> int:
    """Show instances and replicas."""
    if options.wait_version is not None:
        code = _wait_in_force(options, options.wait_version)
        if code != _client.Exit.DONE:
            return code
    answer = _client.ask(options, "Operator/Status", {})
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
    return _client.Exit.DONE


def get(options: argparse.Namespace) -> int:
    """Print a deployment, or all names."""
    if options.name:
        answer = _client.ask(options, "Operator/Get", {"name": options.name})
        print(json.dumps(answer if options.json else answer["deployment"]))
        return _client.Exit.DONE
    answer = _client.ask(options, "Operator/List", {})
    lines = [
        f"{entry['deployment']['name']} version {entry['version']}"
        for entry in answer.get("deployments", ())
    ]
    _show(options, answer, "\n".join(lines) or "nothing is declared")
    return _client.Exit.DONE


def history(options: argparse.Namespace) -> int:
    """Print the audit trail."""
    body = {"name": options.name, "limit": options.limit}
    answer = _client.ask(options, "Operator/History", body)
    lines = [
        f"version {entry['version']}: {entry['action']} by {entry['author']}"
        f" through {entry['instance']} at {entry['time_ms']} ms"
        f" (change {entry['change_id']})"
        for entry in answer["changes"]
    ]
    _show(options, answer, "\n".join(lines))
    return _client.Exit.DONE


def diff(options: argparse.Namespace) -> int:
    """Show what apply would change."""
    body = {"deployment": _read_json(options.file)}
    answer = _client.ask(options, "Operator/Diff", body)
    findings = answer.get("findings", ())
    lines = list(answer.get("changes", ())) or ["no change"]
    lines += [f"fault: {f['place']}: {f['problem']}" for f in findings]
    _show(options, answer, "\n".join(lines))
    return _client.Exit.BAD_INPUT if findings else _client.Exit.DONE


def call(options: argparse.Namespace) -> int:
    """Call any method; the body is JSON or @FILE."""
    body = options.body
    if body.startswith("@"):
        body = _read_text(pathlib.Path(body[1:]))
    return _client.call(options, options.method, body.encode())


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
