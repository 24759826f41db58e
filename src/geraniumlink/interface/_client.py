"""HTTP client with which the command line calls an instance."""

from __future__ import annotations

import argparse
import enum
import json
import sys

import httpcore

from geraniumlink import _http

CONNECT_TIMEOUT_S = 5.0
# Exceeds the largest timeout_ms that an instance accepts for a request
# (600 s) by 10 s.
READ_TIMEOUT_S = 610.0
_TIMEOUT = {"connect": CONNECT_TIMEOUT_S, "read": READ_TIMEOUT_S}


class Exit(enum.IntEnum):
    """Exit codes of the process."""

    DONE = 0
    REFUSED = 1
    BAD_INPUT = 2
    NO_ANSWER = 3
    NOT_IN_FORCE = 4


class CommandError(Exception):
    """Makes the command end with a message and an exit code."""

    def __init__(self, message: str, code: Exit) -> None:
        super().__init__(message)
        self.code = code


def call_unary(options: argparse.Namespace, method: str, body: dict) -> dict:
    """Call a unary method and return its response.

    :raises CommandError: if there is no complete response, or a refusal.
    """
    try:
        response = httpcore.request(
            "POST",
            f"http://{options.to}/geraniumlink.v1.{method}",
            headers={"Content-Type": "application/json"},
            content=json.dumps(body).encode(),
            extensions={"timeout": _TIMEOUT},
        )
        result = json.loads(response.content)
        if not _http.is_final_status(response.status):
            raise ValueError(f"status {response.status}")
    except (httpcore.NetworkError, httpcore.TimeoutException) as error:
        raise CommandError(
            f"{options.to} does not answer: {error}", Exit.NO_ANSWER
        ) from error
    except (httpcore.ProtocolError, ValueError) as error:
        raise CommandError(
            f"{options.to} sent an incomplete or invalid response; the outcome"
            " is unknown",
            Exit.NO_ANSWER,
        ) from error
    if response.status >= 400:
        raise _report_refusal(options, result)
    return result


def _report_refusal(options: argparse.Namespace, error: dict) -> CommandError:
    """Print the refusal if JSON is wanted; return it as an exception."""
    if options.json:
        print(json.dumps(error))
    lines = [f"{error['code']} ({error['execution']}): {error['message']}"]
    lines += [
        f"  {finding['place']}: {finding['problem']}"
        for finding in error.get("findings", ())
    ]
    if "retry_after_ms" in error:
        lines.append(f"  retry after {error['retry_after_ms']} ms")
    code = Exit.REFUSED
    if error["code"] == "invalid_argument":
        code = Exit.BAD_INPUT
    elif error["code"] == "unavailable":
        code = Exit.NO_ANSWER
    return CommandError("\n".join(lines), code)


def call_and_print(
    options: argparse.Namespace, method: str, body: bytes
) -> Exit:
    """Call any method and print its response as it arrives.

    :raises CommandError: if there is no complete response.
    """
    url = f"http://{options.to}/geraniumlink.v1.{method}"
    last_line = b""
    try:
        with httpcore.stream(
            "POST", url, content=body, extensions={"timeout": _TIMEOUT}
        ) as response:
            for chunk in response.iter_stream():
                sys.stdout.buffer.write(chunk)
                sys.stdout.buffer.flush()
                last_line = (last_line + chunk).splitlines(keepends=True)[-1]
    except (
        httpcore.NetworkError,
        httpcore.TimeoutException,
        httpcore.ProtocolError,
    ) as error:
        raise CommandError(
            f"{options.to}: no complete response: {error!r}", Exit.NO_ANSWER
        ) from error
    if not last_line.endswith(b"\n"):
        print()
    return _exit_code(response.status, last_line)


def _exit_code(status: int, last_line: bytes) -> Exit:
    """Return the exit code for a response and its last line.

    A stream that is refused midway has status 200 and an error in its last
    line. A last line that is not JSON means that the response was cut, and so
    does a status that is none of HTTP.
    """
    if not _http.is_final_status(status):
        return Exit.NO_ANSWER
    try:
        refused = status >= 400 or "error" in json.loads(last_line)
    except ValueError:
        return Exit.NO_ANSWER
    return Exit.REFUSED if refused else Exit.DONE
