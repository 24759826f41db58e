"""Reads the settings file that the platform gives each process."""

from __future__ import annotations

import pathlib
import typing

import orjson

from geraniumlink import _settings
from geraniumlink.platform import _fields

# Name of the variable that holds the path of the file.
PATH_VARIABLE = "GERANIUMLINK_NODE_FILE"


class NodeSettings(typing.NamedTuple):
    """What the platform tells a process about itself and its bounds."""

    # Unique name of the instance, kept over restarts of its process.
    instance: str
    data_centre: str
    # Where clients connect, where readiness is asked, where peers connect.
    client_address: _settings.Address
    ready_address: _settings.Address
    peer_address: _settings.Address
    store_address: _settings.Address
    # From SIGTERM to SIGKILL.
    grace_ms: int
    # A leaving replica gets nothing new this long after that was known.
    leaving_bound_ms: int
    # Two instances that order one replica are at least this far apart.
    lease_ms: int
    # Retries that a service may get: a share of its requests in the window,
    # and a constant.
    retry_ratio: float
    retry_window_ms: int
    retry_constant: int


def read_settings(path: pathlib.Path) -> NodeSettings:
    """Read the settings; fields that aren't needed are ignored.

    :raises _fields.FormatError: naming the field that is missing or wrong.
    :raises OSError: if the file can't be read.
    """
    try:
        message = orjson.loads(path.read_bytes())
    except orjson.JSONDecodeError as error:
        raise _fields.FormatError(f"{path} is not JSON: {error}") from error
    listen = _fields.table(message, "listen")
    bounds = _fields.table(message, "bounds")
    ports = _fields.listed(message, "internal_ports")
    if not ports or type(ports[0]) is not int:
        raise _fields.FormatError(f"internal_ports is {ports!r:.60}")
    return NodeSettings(
        instance=_fields.text(message, "node_name"),
        data_centre=_fields.text(message, "zone"),
        client_address=_fields.address(listen, "front"),
        ready_address=_fields.address(listen, "ready"),
        peer_address=_settings.Address(_fields.text(message, "ip"), ports[0]),
        store_address=_fields.address(
            _fields.table(message, "platform"), "address"
        ),
        grace_ms=int(1000 * _fields.number(bounds, "grace_s")),
        leaving_bound_ms=_fields.whole(bounds, "drain_ms"),
        lease_ms=_fields.whole(bounds, "lease_ms"),
        retry_ratio=_fields.number(bounds, "retry_ratio"),
        retry_window_ms=int(1000 * _fields.number(bounds, "retry_window_s")),
        retry_constant=_fields.whole(bounds, "retry_slack"),
    )
