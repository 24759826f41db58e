"""Decodes a replica's entry in the metadata store, and its report.

The platform names some fields otherwise: "zone" is the data centre, "born" the
start of the process, and "sequence" has two meanings (see below).
"""

from __future__ import annotations

import ipaddress
import typing

from geraniumlink import _settings
from geraniumlink.platform import _fields
from geraniumlink.serving import _types

# Kind of the objects in the store that describe replicas.
KIND = "servers"
# For each state, whether the replica is leaving.
_LEAVING_BY_STATE = {"ready": False, "draining": True}
# Limits on what a valid entry may state. A replica's name is sent in headers,
# and its share of the requests is in proportion to its slots.
MAX_NAME_LENGTH = 256
MAX_SLOTS = 1_000_000
# Characters of the names of all models and adapters that a replica states to
# be resident. It has memory for a few models and adapters.
MAX_RESIDENT_CHARACTERS = 2**14


def decode_replica_entry(name: str, spec: typing.Any) -> _types.ReplicaEntry:
    """Decode the entry of a registered replica.

    :raises _fields.FormatError: if the entry is invalid; entries are written
        by other processes.
    """
    if not (_is_name(name) and name.isascii()):
        raise _fields.FormatError(f"{name!r:.40} is not a valid name")
    state = _fields.string(spec, "state")
    if state not in _LEAVING_BY_STATE:
        raise _fields.FormatError(
            f"state is {state!r:.40}, not ready or draining"
        )
    slots = _fields.integer(spec, "slots")
    if slots > MAX_SLOTS:
        raise _fields.FormatError(f"slots is {slots}, more than {MAX_SLOTS}")
    return _types.ReplicaEntry(
        name=name,
        service=_name(spec, "service"),
        address=_address(spec),
        data_centre=_name(spec, "zone", ""),
        slots=slots,
        leaving=_LEAVING_BY_STATE[state],
        # A wall-clock time of the platform. Only compared for equality, to
        # tell apart successive processes of one replica.
        started_at=_fields.integer(spec, "born", 0),
        # An entry's "sequence" counts heartbeats and isn't read; that of a
        # report counts the accepted orders.
        residents=_residents(spec),
        software_version=_name(spec, "version", ""),
    )


def encode_replica_entry(entry: _types.ReplicaEntry) -> dict[str, typing.Any]:
    """Return what ``decode_replica_entry`` needs of a replica's entry."""
    spec = {
        "service": entry.service,
        "address": str(entry.address),
        "zone": entry.data_centre,
        "version": entry.software_version,
        "slots": entry.slots,
        "state": "draining" if entry.leaving else "ready",
        "born": entry.started_at,
    }
    if not entry.residents:
        return spec
    models = [
        {"name": model, "adapters": sorted(adapters)}
        for model, adapters in entry.residents.items()
    ]
    return {**spec, "models": models}


def _address(spec: dict[str, typing.Any]) -> _settings.Address:
    """Return the address of a replica, which must name one machine."""
    address = _fields.address(spec, "address")
    number = ipaddress.ip_address(address.host)
    # A scope means nothing on other machines.
    if "%" in address.host or number.is_unspecified or number.is_multicast:
        raise _fields.FormatError(f"{address} is not the address of a machine")
    return address


def _name(message: typing.Any, field: str, default: str | None = None) -> str:
    """Return a field that must be a name; required without a default."""
    value = (
        _fields.string(message, field)
        if default is None
        else _fields.string(message, field, default)
    )
    if value and not _is_name(value):
        raise _fields.FormatError(f"{field} is {value!r:.40}, not a name")
    return value


def _is_name(text: str) -> bool:
    return 0 < len(text) <= MAX_NAME_LENGTH and text.isprintable()


def _residents(spec: dict[str, typing.Any]) -> _types.Residents:
    """Return the resident models, each with its resident adapters.

    The result is empty for a plain service, which has no models.
    """
    if "models" not in spec:
        return {}
    residents = {}
    left = MAX_RESIDENT_CHARACTERS
    for model in _fields.array(spec, "models"):
        name, adapters = _name(model, "name"), _strings(model, "adapters")
        # One more for each, as a name may be empty.
        left -= len(name) + 1 + sum(map(len, adapters)) + len(adapters)
        if left < 0:
            raise _fields.FormatError(
                "models has names of more than"
                f" {MAX_RESIDENT_CHARACTERS} characters"
            )
        residents[name] = frozenset(adapters)
    return residents


def _strings(message: dict[str, typing.Any], field: str) -> list[str]:
    """Return an array of strings, which is empty if absent or null."""
    if message.get(field) is None:
        return []
    values = _fields.array(message, field)
    if not all(isinstance(value, str) for value in values):
        raise _fields.FormatError(f"{field} is not an array of strings")
    return values


def decode_replica_report(message: typing.Any) -> _types.ReplicaReport:
    """Decode a replica's report on its state.

    :raises _fields.FormatError: if a field is missing or invalid.
    """
    return _types.ReplicaReport(
        started_at=_fields.integer(message, "born", 0),
        residents=_residents(message),
        busy=_fields.boolean(message, "busy", False),
        order_count=_fields.integer(message, "sequence"),
        local_models=_local_models(message.get("available")),
        adapters_loading=_loading_adapters(message.get("pending")),
    )


def _loading_adapters(pending: typing.Any) -> frozenset[tuple[str, str]]:
    """Return the (model, adapter) pairs of entries such as ``m1/a3@2``.

    The part after "@" is dropped. An entry without a slash, or that
    isn't a string, is no adapter and is left out.
    """
    if not isinstance(pending, list):
        return frozenset()
    pairs = set()
    for entry in pending:
        if not isinstance(entry, str):
            continue
        model, slash, adapter = entry.partition("/")
        if slash:
            pairs.add((model, adapter.partition("@")[0]))
    return frozenset(pairs)


def _local_models(available: typing.Any) -> frozenset[str]:
    """Return the models that a replica can load without the weight store.

    They have a copy in its own memory or on its disk.
    """
    if not isinstance(available, dict):
        return frozenset()
    models_by_location = (
        available.get(location) for location in ("in_memory", "on_disk")
    )
    return frozenset(
        model
        for models in models_by_location
        if isinstance(models, list)
        for model in models
        if isinstance(model, str)
    )
