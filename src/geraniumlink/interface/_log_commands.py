"""The commands that read log files."""

from __future__ import annotations

import argparse

from geraniumlink.interface import _client
from geraniumlink.interface import _log_analysis
from geraniumlink.interface import _log_reader


def story(options: argparse.Namespace) -> int:
    """Print what touched a request."""
    found = False
    for text in _log_analysis.trace_request(
        _read(options), options.request_id
    ):
        found = True
        print(text)
    if not found:
        raise _client.CommandError(
            f"no log line has the request id {options.request_id!r}",
            _client.Exit.REFUSED,
        )
    return _client.Exit.DONE


def summary(options: argparse.Namespace) -> int:
    """Print what happened in a stretch of time."""
    lines = _read(options)
    for text in _log_analysis.summarize(lines, options.from_s, options.to_s):
        print(text)
    return _client.Exit.DONE


def _read(options: argparse.Namespace) -> list[_log_reader.LogLine]:
    try:
        return _log_reader.read_log_files(options.files)
    except OSError as error:
        raise _client.CommandError(
            f"can't read the log: {error}", _client.Exit.BAD_INPUT
        ) from error
