"""The command line's side of a remote procedure call."""

from __future__ import annotations

import argparse
import enum
import json
import sys

import httpcore

CONNECT_S = 5.0
# A little more than the longest timeout_ms of the schema.
READ_S = 610.0
_TIMEOUT = {"connect": CONNECT_S, "read": READ_S}


class Exit(enum.IntEnum):
    """What the process returns to the shell."""

    DONE = 0
    REFUSED = 1
    BAD_INPUT = 2
    NO_ANSWER = 3
    NOT_IN_FORCE = 4


class CommandError(Exception):
    """Ends the command with a message and an exit code."""

    def __init__(self, message: str, code: Exit) -> None:
        super().__init__(message)
        self.code = code


def ask(options: argparse.Namespace, method: str, body: dict) -> dict:
    """Call a unary method; raise CommandError with what went wrong."""
    try:
        response = httpcore.request(
            "POST",
            f"http://{options.to}/geraniumlink.v1.{method}",
            headers={"Content-Type": "application/json"},
            content=json.dumps(body).encode(),
            extensions={"timeout": _TIMEOUT},
        )
        answer = json.loads(response.content)
    except (httpcore.NetworkError, httpcore.TimeoutException) as error:
        raise CommandError(
            f"{options.to} does not answer: {error}", Exit.NO_ANSWER
        ) from error
    except (httpcore.ProtocolError, ValueError) as error:
        raise CommandError(
            f"{options.to} cut its answer short; the outcome is unknown",
            Exit.NO_ANSWER,
        ) from error
    if response.status >= 400:
        raise _refused(options, answer)
    return answer


def _refused(options: argparse.Namespace, error: dict) -> CommandError:
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
    return CommandError("\n".join(lines), code)


def call(options: argparse.Namespace, method: str, body: bytes) -> Exit:
    """Call any method and print its answer as it arrives."""
    url = f"http://{options.to}/geraniumlink.v1.{method}"
    last = b""
    try:
        with httpcore.stream(
            "POST", url, content=body, extensions={"timeout": _TIMEOUT}
        ) as response:
            for part in response.iter_stream():
                sys.stdout.buffer.write(part)
                sys.stdout.buffer.flush()
                last = (last + part).splitlines(keepends=True)[-1]
    except (
        httpcore.NetworkError,
        httpcore.TimeoutException,
        httpcore.ProtocolError,
    ) as error:
        raise CommandError(
            f"{options.to}: no whole answer: {error!r}", Exit.NO_ANSWER
        ) from error
    if not last.endswith(b"\n"):
        print()
    return _judge(response.status, last)


def _judge(status: int, last_line: bytes) -> Exit:
    """Tell a whole answer from a refusal at the end of a stream."""
    try:
        refused = status >= 400 or "error" in json.loads(last_line)
    except ValueError:
        return Exit.NO_ANSWER
    return Exit.REFUSED if refused else Exit.DONE
