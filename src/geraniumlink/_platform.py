"""Client of the platform's instance list, which may be out of date."""

from __future__ import annotations

import typing

from geraniumlink import _http
from geraniumlink import _logs
from geraniumlink import _settings

# Limit for connecting, and for each read.
_TIMEOUT_MS = 2000


class InstanceListEntry(typing.NamedTuple):
    """An entry of the list: an instance or a backend server."""

    name: str
    # An instance's entry has the address on which it serves peers.
    address: str
    # "live" or "leaving".
    state: str


async def list_instances(
    client: _http.Client, address: _settings.Address
) -> list[InstanceListEntry] | None:
    """Return the list; log a failure and return None."""
    try:
        response = await client.request(
            "GET",
            address,
            "/instances",
            connect_ms=_TIMEOUT_MS,
            read_ms=_TIMEOUT_MS,
        )
        return [_decode_entry(entry) for entry in response.json()["instances"]]
    except (_http.NotSentError, _http.BrokenError) as error:
        _logs.event("instance_list_unavailable", error=str(error))
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        _logs.event("bad_instance_list", error=repr(error))
    return None


def _decode_entry(entry: typing.Any) -> InstanceListEntry:
    decoded = InstanceListEntry(
        entry["name"], entry["address"], entry["state"]
    )
    _settings.parse_address(decoded.address)
    return decoded
