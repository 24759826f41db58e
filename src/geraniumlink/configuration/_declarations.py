"""Validates a declared deployment completely before it is accepted."""

from __future__ import annotations

from collections.abc import Iterable
import re

from google.protobuf import json_format

from geraniumlink import _findings
from geraniumlink._schema import geraniumlink_pb2 as pb
from geraniumlink import _settings

# As in a DNS label: at most 63 characters.
_NAME = re.compile(r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?\Z")
_CHANGE_ID = re.compile(r"[A-Za-z0-9_-]{8,64}\Z")
_NAME_RULE = "write 1 to 63 of a-z 0-9 -, not starting or ending with -"
# Highest priority that a model may declare.
MAX_PRIORITY = 9


def to_json(deployment: pb.Deployment) -> dict:
    """Return the form that is stored in the object API."""
    return json_format.MessageToDict(
        deployment, preserving_proto_field_name=True
    )


def from_json(value: dict) -> pb.Deployment:
    """Parse the stored form; fields of a newer schema are ignored.

    :raises json_format.ParseError: if it is not a deployment.
    """
    deployment = pb.Deployment()
    json_format.ParseDict(value, deployment, ignore_unknown_fields=True)
    return deployment


def validate_change_metadata(
    change_id: str, author: str, findings: _findings.Findings
) -> None:
    """Add a finding for an invalid change id and for an invalid author."""
    findings.require(
        bool(_CHANGE_ID.match(change_id)),
        "change_id",
        "write 8 to 64 of A-Z a-z 0-9 _ -, a new id for each change",
    )
    findings.require(
        0 < len(author) <= 128,
        "author",
        "write the author, 1 to 128 characters",
    )


def validate_deployment(
    deployment: pb.Deployment,
    others: Iterable[pb.Deployment],
    findings: _findings.Findings,
) -> None:
    """Add all faults of a deployment, given the ``others`` that exist."""
    findings.require(bool(_NAME.match(deployment.name)), "name", _NAME_RULE)
    findings.require(
        bool(deployment.replicas), "replicas", "declare at least one"
    )
    _check_replicas(deployment, findings)
    match deployment.kind:
        case pb.Kind.MODEL_ENGINE:
            _check_models(deployment, findings)
            _check_adapters(deployment, findings)
            _check_limits(deployment, findings)
            _check_model_owners(deployment, others, findings)
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
            bool(_NAME.match(adapter.name)), f"{place}.name", _NAME_RULE
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


def _check_model_owners(
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
                f"deployment {owners[model.name]!r} already has this model",
            )


def _check_capacity(
    deployment: pb.Deployment, findings: _findings.Findings
) -> None:
    """Require memory for all copies at once and for a rolling update.

    The largest copy must fit once more in addition, because a new version is
    rolled out by loading the new copy before the old one is unloaded.
    """
    capacity = [
        replica.memory_mb - replica.kv_cache_mb
        for replica in deployment.replicas
        if not replica.draining
    ]
    sizes = _copy_sizes(deployment)
    sizes.append(max(sizes, default=0))
    findings.require(
        _fits_first_fit_decreasing(sizes, capacity),
        "models",
        f"all copies with their adapters, and the largest once more to roll"
        f" out a version, need {sum(sizes)} MiB and must each fit into one"
        f" replica; the replicas have {sum(capacity)} MiB",
    )


def _copy_sizes(deployment: pb.Deployment) -> list[int]:
    """Return the MiB of each copy of each model, with its adapters."""
    adapters: dict[str, int] = {}
    for adapter in deployment.adapters:
        size = adapters.get(adapter.model, 0) + adapter.size_mb
        adapters[adapter.model] = size
    sizes = []
    for model in deployment.models:
        size = model.size_mb + adapters.get(model.name, 0)
        sizes += [size] * max(1, model.min_copies)
    return sizes


def _fits_first_fit_decreasing(sizes: list[int], capacity: list[int]) -> bool:
    """Whether first-fit decreasing, which placement starts from, succeeds."""
    free = sorted(capacity, reverse=True)
    for size in sorted(sizes, reverse=True):
        for index, capacity_left in enumerate(free):
            if size <= capacity_left:
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
        findings.require(bool(_NAME.match(name)), place, _NAME_RULE)
        findings.require(
            name not in seen, place, f"{name!r} is declared twice"
        )
        seen.add(name)


def diff_deployments(before: pb.Deployment, after: pb.Deployment) -> list[str]:
    """Return one line for each field that differs.

    Entries with names, such as replicas and models, are compared by name
    instead of by position.
    """
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
    if _has_named_entries(before) and _has_named_entries(after):
        return _diff(place, _by_name(before), _by_name(after))
    return [f"{place}: {_format_value(before)} -> {_format_value(after)}"]


def _has_named_entries(value: object) -> bool:
    """Whether a value is a list of entries with names, or missing."""
    if value is None:
        return True
    return isinstance(value, list) and all(
        isinstance(entry, dict) and "name" in entry for entry in value
    )


def _by_name(value: object) -> dict:
    """Return entries by name; those of a model, by model and name."""
    entries = value if isinstance(value, list) else []
    entries_by_name = {}
    for entry in entries:
        key = entry["name"]
        if "model" in entry:
            key = f"{entry['model']}/{key}"
        entries_by_name[key] = entry
    return entries_by_name


def _format_value(value: object) -> str:
    if value is None:
        return "(none)"
    if isinstance(value, dict):
        return "(" + ", ".join(f"{k}={v}" for k, v in value.items()) + ")"
    return str(value)
