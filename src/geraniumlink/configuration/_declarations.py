"""Checks a declared deployment whole, before it is accepted."""

from __future__ import annotations

from collections.abc import Iterable
import re

from google.protobuf import json_format

from geraniumlink import _findings
from geraniumlink._schema import geraniumlink_pb2 as pb
from geraniumlink import _settings

_NAME = re.compile(r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?\Z")
_CHANGE_ID = re.compile(r"[A-Za-z0-9_-]{8,64}\Z")
_NAME_ADVICE = "write 1 to 63 of a-z 0-9 -, no - at an end"
MAX_PRIORITY = 9


def to_json(deployment: pb.Deployment) -> dict:
    """Return the form that is kept in the object API."""
    return json_format.MessageToDict(
        deployment, preserving_proto_field_name=True
    )


def from_json(value: dict) -> pb.Deployment:
    """Read the kept form; fields of a newer schema are passed over.

    :raises json_format.ParseError: if it is not a deployment.
    """
    deployment = pb.Deployment()
    json_format.ParseDict(value, deployment, ignore_unknown_fields=True)
    return deployment


def validate_change_metadata(
    change_id: str, author: str, findings: _findings.Findings
) -> None:
    findings.require(
        bool(_CHANGE_ID.match(change_id)),
        "change_id",
        "write 8 to 64 of A-Z a-z 0-9 _ -, a new one for each change",
    )
    findings.require(
        0 < len(author) <= 128, "author", "write who asks, 1 to 128 characters"
    )


def validate_deployment(
    deployment: pb.Deployment,
    others: Iterable[pb.Deployment],
    findings: _findings.Findings,
) -> None:
    """Collect every fault of a deployment beside the ``others``."""
    findings.require(bool(_NAME.match(deployment.name)), "name", _NAME_ADVICE)
    findings.require(
        bool(deployment.replicas), "replicas", "declare at least one"
    )
    _check_replicas(deployment, findings)
    match deployment.kind:
        case pb.Kind.MODEL_ENGINE:
            _check_models(deployment, findings)
            _check_adapters(deployment, findings)
            _check_limits(deployment, findings)
            _check_unique_models(deployment, others, findings)
            if not findings:
                _check_capacity(deployment, findings)
        case pb.Kind.PLAIN_SERVICE:
            findings.require(
                not deployment.models and not deployment.adapters,
                "models",
                "a plain service has no models or adapters",
            )
        case _:
            findings.add("kind", "write MODEL_ENGINE or PLAIN_SERVICE")


def _check_replicas(
    deployment: pb.Deployment, findings: _findings.Findings
) -> None:
    _check_names(
        "replicas", [replica.name for replica in deployment.replicas], findings
    )
    addresses: set[str] = set()
    for index, replica in enumerate(deployment.replicas):
        place = f"replicas[{index}]"
        try:
            _settings.parse_address(replica.address)
        except ValueError as error:
            findings.add(f"{place}.address", str(error))
        findings.require(
            replica.address not in addresses,
            f"{place}.address",
            "another replica has this address",
        )
        addresses.add(replica.address)
        findings.require(
            bool(replica.data_centre), f"{place}.data_centre", "is missing"
        )
        findings.require(
            0 < replica.max_in_flight <= 10_000,
            f"{place}.max_in_flight",
            "write 1 to 10000 requests",
        )
        if deployment.kind == pb.Kind.MODEL_ENGINE:
            findings.require(
                0 <= replica.kv_cache_mb < replica.memory_mb,
                f"{place}.kv_cache_mb",
                "must be 0 or more and less than memory_mb",
            )


def _check_models(
    deployment: pb.Deployment, findings: _findings.Findings
) -> None:
    findings.require(bool(deployment.models), "models", "declare at least one")
    _check_names(
        "models", [model.name for model in deployment.models], findings
    )
    for index, model in enumerate(deployment.models):
        place = f"models[{index}]"
        findings.require(bool(model.version), f"{place}.version", "is missing")
        findings.require(
            model.size_mb > 0, f"{place}.size_mb", "write 1 or more MiB"
        )
        findings.require(
            0 <= model.priority <= MAX_PRIORITY,
            f"{place}.priority",
            "write 0 to 9",
        )
        findings.require(
            0 <= model.min_copies <= len(deployment.replicas),
            f"{place}.min_copies",
            "write 0 up to the number of replicas",
        )


def _check_adapters(
    deployment: pb.Deployment, findings: _findings.Findings
) -> None:
    models = {model.name for model in deployment.models}
    seen: set[tuple[str, str]] = set()
    for index, adapter in enumerate(deployment.adapters):
        place = f"adapters[{index}]"
        findings.require(
            bool(_NAME.match(adapter.name)), f"{place}.name", _NAME_ADVICE
        )
        findings.require(
            (adapter.model, adapter.name) not in seen,
            f"{place}.name",
            "another adapter of this model has this name",
        )
        seen.add((adapter.model, adapter.name))
        findings.require(
            adapter.model in models,
            f"{place}.model",
            f"{adapter.model!r} is not a model of this deployment",
        )
        findings.require(
            bool(adapter.version), f"{place}.version", "is missing"
        )
        findings.require(
            adapter.size_mb > 0, f"{place}.size_mb", "write 1 or more MiB"
        )


def _check_limits(
    deployment: pb.Deployment, findings: _findings.Findings
) -> None:
    limits = deployment.load_limits
    findings.require(
        limits.loads_per_second > 0,
        "load_limits.loads_per_second",
        "write the weight store's limit, more than 0",
    )
    findings.require(
        limits.concurrent_loads > 0,
        "load_limits.concurrent_loads",
        "write the weight store's limit, 1 or more",
    )
    findings.require(
        limits.adapters_in_transit > 0 or not deployment.adapters,
        "load_limits.adapters_in_transit",
        "write the limit, 1 or more",
    )
    findings.require(
        deployment.order_rules.order_lateness_bound_ms >= 0,
        "order_rules.order_lateness_bound_ms",
        "write 0 or more milliseconds",
    )
    findings.require(
        0 <= deployment.attainment_weight <= 1,
        "attainment_weight",
        "write 0 to 1",
    )


def _check_unique_models(
    deployment: pb.Deployment,
    others: Iterable[pb.Deployment],
    findings: _findings.Findings,
) -> None:
    owners = {
        model.name: other.name
        for other in others
        if other.name != deployment.name
        for model in other.models
    }
    for index, model in enumerate(deployment.models):
        if model.name in owners:
            findings.add(
                f"models[{index}].name",
                f"deployment {owners[model.name]!r} has this model already",
            )


def _check_capacity(
    deployment: pb.Deployment, findings: _findings.Findings
) -> None:
    """Refuse what can't be resident all at once with room to move.

    The largest copy must fit once more beside everything else, because a
    version is rolled by loading the new copy before the old one goes.
    """
    capacity = [
        replica.memory_mb - replica.kv_cache_mb
        for replica in deployment.replicas
        if not replica.draining
    ]
    sizes = _copy_sizes(deployment)
    sizes.append(max(sizes, default=0))
    findings.require(
        _packs(sizes, capacity),
        "models",
        f"all copies with their adapters, and the largest once more to roll"
        f" a version, need {sum(sizes)} MiB and must each fit into one"
        f" replica; the replicas have {sum(capacity)} MiB",
    )


def _copy_sizes(deployment: pb.Deployment) -> list[int]:
    adapters: dict[str, int] = {}
    for adapter in deployment.adapters:
        size = adapters.get(adapter.model, 0) + adapter.size_mb
        adapters[adapter.model] = size
    sizes = []
    for model in deployment.models:
        size = model.size_mb + adapters.get(model.name, 0)
        sizes += [size] * max(1, model.min_copies)
    return sizes


def _packs(sizes: list[int], capacity: list[int]) -> bool:
    """Try first-fit decreasing, the packing that placement starts from."""
    free = sorted(capacity, reverse=True)
    for size in sorted(sizes, reverse=True):
        for index, room in enumerate(free):
            if size <= room:
                free[index] -= size
                break
        else:
            return False
    return True


def _check_names(
    field: str, names: list[str], findings: _findings.Findings
) -> None:
    seen: set[str] = set()
    for index, name in enumerate(names):
        place = f"{field}[{index}].name"
        findings.require(bool(_NAME.match(name)), place, _NAME_ADVICE)
        findings.require(name not in seen, place, f"{name!r} is there already")
        seen.add(name)


def diff_deployments(before: pb.Deployment, after: pb.Deployment) -> list[str]:
    """Return one line for each field that differs."""
    return _diff("", to_json(before), to_json(after))


def _diff(place: str, before: object, after: object) -> list[str]:
    if before == after:
        return []
    if isinstance(before, dict) and isinstance(after, dict):
        lines = []
        for key in sorted(before.keys() | after.keys()):
            inner = f"{place}.{key}" if place else key
            lines += _diff(inner, before.get(key), after.get(key))
        return lines
    if _named(before) and _named(after):
        return _diff(place, _by_name(before), _by_name(after))
    return [f"{place}: {_shown(before)} -> {_shown(after)}"]


def _named(value: object) -> bool:
    if value is None:
        return True
    return isinstance(value, list) and all(
        isinstance(entry, dict) and "name" in entry for entry in value
    )


def _by_name(value: object) -> dict:
    entries = value if isinstance(value, list) else []
    named = {}
    for entry in entries:
        key = entry["name"]
        if "model" in entry:
            key = f"{entry['model']}/{key}"
        named[key] = entry
    return named


def _shown(value: object) -> str:
    if value is None:
        return "(none)"
    if isinstance(value, dict):
        return "(" + ", ".join(f"{k}={v}" for k, v in value.items()) + ")"
    return str(value)
