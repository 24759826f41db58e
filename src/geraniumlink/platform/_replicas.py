"""Decodes what a replica says of itself in the store and in its report."""

from __future__ import annotations

import typing

from geraniumlink.platform import _fields
from geraniumlink.serving import _types

KIND = "servers"
_LEAVING = {"ready": False, "draining": True}


def decode_replica_entry(name: str, spec: typing.Any) -> _types.ReplicaEntry:
    """Decode a registered replica.

    :raises _fields.FormatError: if another writer's entry names no replica.
    """
    state = _fields.text(spec, "state")
    if state not in _LEAVING:
        raise _fields.FormatError(f"state is {state!r:.40}")
    return _types.ReplicaEntry(
        name=name,
        service=_fields.text(spec, "service"),
        address=_fields.address(spec, "address"),
        data_centre=_fields.text(spec, "zone", ""),
        slots=_fields.whole(spec, "slots"),
        leaving=_LEAVING[state],
        # The platform's word is for the start of the process, in the
        # platform's wall clock; here it only tells incarnations apart.
        started_at=_fields.whole(spec, "born", 0),
        # Its "sequence" numbers heartbeats; only a report counts orders.
        residents=_residents(spec),
    )


def _residents(spec: dict[str, typing.Any]) -> _types.Residents:
    """Return the models with their adapters; none for a plain service."""
    if "models" not in spec:
        return {}
    return {
        _fields.text(model, "name"): frozenset(
            str(adapter) for adapter in model.get("adapters") or ()
        )
        for model in _fields.listed(spec, "models")
    }


def decode_replica_report(message: typing.Any) -> _types.ReplicaReport:
    """Decode a replica's answer to a request for its state.

    :raises _fields.FormatError: if it is none.
    """
    return _types.ReplicaReport(
        started_at=_fields.whole(message, "born", 0),
        residents=_residents(message),
        busy=_fields.flag(message, "busy", False),
        order_count=_fields.whole(message, "sequence"),
        local_models=_near(message.get("available")),
        adapters_loading=_arriving(message.get("pending")),
    )


def _arriving(pending: typing.Any) -> frozenset[tuple[str, str]]:
    """Return the adapters of entries such as ``m1/a3@2``."""
    if not isinstance(pending, list):
        return frozenset()
    found = set()
    for entry in pending:
        model, slash, adapter = str(entry).partition("/")
        if slash:
            found.add((model, adapter.partition("@")[0]))
    return frozenset(found)


def _near(available: typing.Any) -> frozenset[str]:
    """Return the models that load without the weight store."""
    if not isinstance(available, dict):
        return frozenset()
    return frozenset(
        str(model)
        for place in ("in_memory", "on_disk")
        for model in available.get(place) or ()
    )
