"""Decodes a replica's entry in the metadata store, and its report.

The platform names some fields otherwise: "zone" is the data centre, "born" the
start of the process, and "sequence" has two meanings (see below).
"""

from __future__ import annotations

import typing

from geraniumlink.platform import _fields
from geraniumlink.serving import _types

# Kind of the objects in the store that describe replicas.
KIND = "servers"
# For each state, whether the replica is leaving.
_LEAVING_BY_STATE = {"ready": False, "draining": True}


def decode_replica_entry(name: str, spec: typing.Any) -> _types.ReplicaEntry:
    """Decode the entry of a registered replica.

    :raises _fields.FormatError: if the entry is invalid; entries are written
        by other processes.
    """
    state = _fields.string(spec, "state")
    if state not in _LEAVING_BY_STATE:
        raise _fields.FormatError(
            f"state is {state!r:.40}, not ready or draining"
        )
    return _types.ReplicaEntry(
        name=name,
        service=_fields.string(spec, "service"),
        address=_fields.address(spec, "address"),
        data_centre=_fields.string(spec, "zone", ""),
        slots=_fields.integer(spec, "slots"),
        leaving=_LEAVING_BY_STATE[state],
        # A wall-clock time of the platform. Only compared for equality, to
        # tell apart successive processes of one replica.
        started_at=_fields.integer(spec, "born", 0),
        # An entry's "sequence" counts heartbeats and isn't read; that of a
        # report counts the accepted orders.
        residents=_residents(spec),
        software_version=_fields.string(spec, "version", ""),
    )


def _residents(spec: dict[str, typing.Any]) -> _types.Residents:
    """Return the resident models, each with its resident adapters.

    The result is empty for a plain service, which has no models.
    """
    if "models" not in spec:
        return {}
    return {
        _fields.string(model, "name"): frozenset(
            str(adapter) for adapter in model.get("adapters") or ()
        )
        for model in _fields.array(spec, "models")
    }


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

    The part after "@" is dropped. An entry without a slash is no adapter and
    is left out.
    """
    if not isinstance(pending, list):
        return frozenset()
    pairs = set()
    for entry in pending:
        model, slash, adapter = str(entry).partition("/")
        if slash:
            pairs.add((model, adapter.partition("@")[0]))
    return frozenset(pairs)


def _local_models(available: typing.Any) -> frozenset[str]:
    """Return the models that a replica can load without the weight store.

    They have a copy in its own memory or on its disk.
    """
    if not isinstance(available, dict):
        return frozenset()
    return frozenset(
        str(model)
        for location in ("in_memory", "on_disk")
        for model in available.get(location) or ()
    )
