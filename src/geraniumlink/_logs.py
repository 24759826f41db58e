"""Writes JSON log lines with eliot; ``_log_messages`` lists them."""

from __future__ import annotations

import typing

import eliot


def event(message: str, **fields: typing.Any) -> None:
    """Write one log line; names of fields end in their unit, as ``_ms``."""
    eliot.log_message(message_type=message, **fields)
