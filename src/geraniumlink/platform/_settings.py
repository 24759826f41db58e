"""Reads the settings file that the platform gives each process."""

from __future__ import annotations

import pathlib
import re
import typing

import orjson

from geraniumlink import _findings
from geraniumlink import _settings
from geraniumlink.platform import _fields

# Name of the variable that holds the path of the file.
SETTINGS_PATH_VARIABLE = "GERANIUMLINK_NODE_FILE"


class NodeSettings(typing.NamedTuple):
    """What the platform tells a process about itself and its bounds."""

    # Unique name of the instance, kept over restarts of its process.
    instance: str
    data_centre: str
    # Where clients connect, where readiness is asked, where peers connect.
    client_address: _settings.Address
    readiness_address: _settings.Address
    peer_address: _settings.Address
    store_address: _settings.Address
    # From SIGTERM to SIGKILL.
    grace_ms: int
    # A leaving replica gets nothing new this long after that was known.
    leaving_bound_ms: int
    # Two instances that order one replica are at least this far apart.
    handover_gap_ms: int
    # Retries that a service may get: a share of its requests in the window,
    # and a constant.
    retry_ratio: float
    retry_window_ms: int
    retry_constant: int


def read_settings(path: pathlib.Path) -> NodeSettings:
    """Read the settings; fields that aren't needed are ignored.

    :raises _fields.FormatError: naming every field that is missing or wrong,
        each with its line in the file.
    :raises OSError: if the file can't be read.
    """
    data = path.read_bytes()
    try:
        message = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise _fields.FormatError(
            f"{path}:{error.lineno}: not JSON: {error.msg}"
        ) from error
    reader = _Reader(path, data.decode(), message)
    settings = NodeSettings(
        instance=reader.read("", "node_name", _fields.text),
        data_centre=reader.read("", "zone", _fields.text),
        client_address=reader.read("listen", "front", _fields.address),
        readiness_address=reader.read("listen", "ready", _fields.address),
        peer_address=_settings.Address(
            reader.read("", "ip", _fields.text),
            reader.read("", "internal_ports", _first_port),
        ),
        store_address=reader.read("platform", "address", _fields.address),
        grace_ms=reader.read("bounds", "grace_s", _milliseconds),
        leaving_bound_ms=reader.read("bounds", "drain_ms", _fields.whole),
        handover_gap_ms=reader.read("bounds", "lease_ms", _fields.whole),
        retry_ratio=reader.read("bounds", "retry_ratio", _fields.number),
        retry_window_ms=reader.read("bounds", "retry_window_s", _milliseconds),
        retry_constant=reader.read("bounds", "retry_slack", _fields.whole),
    )
    if reader.findings:
        raise _fields.FormatError(str(reader.findings))
    return settings


class _Reader:
    """Reads fields and collects the faults of those that can't be used."""

    def __init__(
        self, path: pathlib.Path, text: str, message: typing.Any
    ) -> None:
        self.findings = _findings.Findings()
        self._path = path
        self._text = text
        self._message = message

    def read(
        self,
        table: str,
        name: str,
        read: typing.Callable[[typing.Any, str], typing.Any],
    ) -> typing.Any:
        """Return a field; None, and a finding, when it can't be used."""
        try:
            message = self._message
            if table:
                message = _fields.table(message, table)
            return read(message, name)
        except _fields.FormatError as error:
            field = f"{table}.{name}" if table else name
            place = f"{self._path}:{self._line_of(table, name)}: {field}"
            self.findings.add(place, str(error))
            return None

    def _line_of(self, table: str, name: str) -> int:
        """Return the line of a field, or of the last known thing around."""
        position = 0
        for key in filter(None, (table, name)):
            # No two tables of the file have a field of the same name.
            found = re.search(rf'"{key}"\s*:', self._text[position:])
            if found is None:
                break
            position += found.start()
        return self._text.count("\n", 0, position) + 1


def _first_port(message: typing.Any, name: str) -> int:
    ports = _fields.listed(message, name)
    if not ports or type(ports[0]) is not int:
        raise _fields.FormatError(
            f"{name} is {ports!r:.60}, not a list of port numbers"
        )
    return int(ports[0])


def _milliseconds(message: typing.Any, name: str) -> int:
    """Return seconds of the platform as milliseconds."""
    return int(1000 * _fields.number(message, name))
