"""Writes JSON log lines by eliot; ``_log_messages`` has their kinds."""

from __future__ import annotations

import typing

import eliot


def event(message: str, **fields: typing.Any) -> None:
    """Write one log line; a field's name carries its unit."""
    eliot.log_message(message_type=message, **fields)
