"""The commands that read log files."""

from __future__ import annotations

import argparse

from geraniumlink.interface import _client
from geraniumlink.interface import _log_analysis
from geraniumlink.interface import _log_reader


def story(options: argparse.Namespace) -> int:
    """Print the lines about a request and the state changes around it."""
    has_lines = False
    for text in _log_analysis.trace_request(
        _read_lines(options), options.request_id
    ):
        has_lines = True
        print(text)
    if not has_lines:
        raise _client.CommandError(
            f"no log line has the request id {options.request_id!r}",
            _client.Exit.REFUSED,
        )
    return _client.Exit.DONE


def summary(options: argparse.Namespace) -> int:
    """Print the outcomes of requests and the state changes of a period."""
    lines = _read_lines(options)
    for text in _log_analysis.summarize(
        lines, options.from_s, options.to_s, options.account
    ):
        print(text)
    return _client.Exit.DONE


def _read_lines(options: argparse.Namespace) -> list[_log_reader.LogLine]:
    try:
        return _log_reader.read_log_files(options.files)
    except OSError as error:
        raise _client.CommandError(
            f"can't read the log: {error}", _client.Exit.BAD_INPUT
        ) from error
