"""The platform's instance list, which lags."""

from __future__ import annotations

import typing

from geraniumlink import _http
from geraniumlink import _logs
from geraniumlink import _settings

_TIMEOUT_MS = 2000


class InstanceListEntry(typing.NamedTuple):
    """One entry: an instance of the system or a backend server."""

    name: str
    # Of an instance its address for peers.
    address: str
    # live or leaving.
    state: str


async def list_instances(
    client: _http.Client, address: _settings.Address
) -> list[InstanceListEntry] | None:
    """Return the list, or None when it can't be had now."""
    try:
        answer = await client.request(
            "GET",
            address,
            "/instances",
            connect_ms=_TIMEOUT_MS,
            read_ms=_TIMEOUT_MS,
        )
        return [_read(entry) for entry in answer.json()["instances"]]
    except (_http.NotSentError, _http.BrokenError) as error:
        _logs.event("instance_list_unavailable", error=str(error))
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        _logs.event("bad_instance_list", error=repr(error))
    return None


def _read(entry: typing.Any) -> InstanceListEntry:
    listed = InstanceListEntry(entry["name"], entry["address"], entry["state"])
    _settings.parse_address(listed.address)
    return listed
