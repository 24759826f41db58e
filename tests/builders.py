"""Builders of the data that tests work on."""

from __future__ import annotations

import base64
import itertools
import time

from geraniumlink import _http
from geraniumlink import _settings
from geraniumlink.serving import _types
from standins import fleet as fleets

_numbers = itertools.count(1)


def change_id() -> str:
    return f"change-{next(_numbers):08d}"


def replica(process: fleets.Process | str, index: int = 0, **fields) -> dict:
    """Return a replica's declaration at a process or an address."""
    address = process if isinstance(process, str) else process.address
    return {
        "name": f"r{index}",
        "address": address,
        "data_centre": "debark",
        "memory_mb": 1000,
        "kv_cache_mb": 100,
        "max_in_flight": 64,
    } | fields


def replica_entry(
    name: str = "r1", data_centre: str = "dc1", models: tuple = ("m1",)
) -> _types.ReplicaEntry:
    """Return a registered replica of a service, which holds some models."""
    address = _settings.Address("127.0.0.1", 1)
    held = {model: frozenset() for model in models}
    return _types.ReplicaEntry(
        name, "s", address, data_centre, 8, False, 1, held
    )


def raw_entry(**fields: bytes) -> bytes:
    """Return a replica's entry as JSON, with fields as given, valid or not."""
    entry = {
        "service": b'"assistant"',
        "address": b'"127.0.0.1:9"',
        "zone": b'"debark"',
        "version": b'"v1"',
        "slots": b"8",
        "state": b'"ready"',
        "born": b"1",
        "models": b"[]",
    } | fields
    members = [b'"%b":%b' % (k.encode(), v) for k, v in entry.items()]
    return b"{%b}" % b",".join(members)


def raw_object(
    name: str, revision: int, spec: bytes, **fields: bytes
) -> bytes:
    """Return an object as the platform's store represents it."""
    members = {
        "metadata": b'{"name":"%b","revision":%d,"finalizers":[]}'
        % (name.encode(), revision),
        "spec": spec,
        "status": b"null",
    } | fields
    return b"{%b}" % b",".join(
        b'"%b":%b' % (k.encode(), v) for k, v in members.items()
    )


class HttpClient:
    """Answers each request in the same way."""

    def __init__(self, status, headers, body) -> None:
        self._response = _http.Response(status, headers, body)

    async def request(self, *_args, **_fields) -> _http.Response:
        return self._response


def model_request(model: str = "m1", **fields) -> _types.Request:
    """Return a request for a model, as the platform's adapter decodes it."""
    request = _types.Request(
        id=b"1",
        method=b"POST",
        target=b"/",
        host="h",
        headers=[],
        body=b"",
        received_at=0,
        client_timeout_ms=None,
        model=model,
        adapter="",
        prompt_tokens=1000,
        output_tokens=10,
        prefix_blocks=(),
        last_event_id=b"",
    )
    return request._replace(**fields)


def engines(
    processes, models=("notes",), name="assistant", size_mb=100, **fields
) -> dict:
    """Return a deployment of model engines."""
    return {
        "name": name,
        "kind": "MODEL_ENGINE",
        "replicas": [
            replica(process, index) for index, process in enumerate(processes)
        ],
        "models": [
            {"name": model, "version": "1", "size_mb": size_mb}
            for model in models
        ],
        "load_limits": {
            "loads_per_second": 10,
            "concurrent_loads": 4,
            "adapters_in_transit": 32,
        },
        "order_rules": {"engines_check_fencing": True},
    } | fields


def plain(processes, name="booking") -> dict:
    """Return a deployment of a plain service."""
    return {
        "name": name,
        "kind": "PLAIN_SERVICE",
        "replicas": [
            replica(process, index, memory_mb=0, kv_cache_mb=0)
            for index, process in enumerate(processes)
        ],
    }


async def declare(fleet, instance, deployment, expected_version=0) -> int:
    """Apply a deployment and wait until it is in force everywhere."""
    answer = await fleet.call(
        instance,
        "Operator/Apply",
        deployment=deployment,
        expected_version=expected_version,
        change_id=change_id(),
        author="tests",
    )
    assert answer.status == 200, answer
    version = int(answer.body["version"])
    await in_force(fleet, version)
    return version


async def in_force(fleet, version: int) -> None:
    """Wait until every running instance has a version in force."""

    async def reached() -> bool:
        for process in fleet.instances:
            if not process.running:
                continue
            status = await fleet.call(process, "Operator/Status")
            if int(status.body.get("version", 0)) < version:
                return False
        return True

    await fleet.until(reached, f"version {version} is in force")


async def serving(fleet, instance, count: int) -> None:
    """Wait until an instance has a report of this many replicas."""

    async def reached() -> bool:
        status = await fleet.call(instance, "Operator/Status")
        replicas = status.body.get("replicas", ())
        return sum(1 for entry in replicas if entry.get("models")) >= count

    await fleet.until(reached, f"{count} replicas hold models")


def key(wall_ms: int = 0) -> str:
    """Return a new idempotency key, issued now or at the time given."""
    issued_ms = wall_ms or time.time_ns() // 1_000_000
    return f"{issued_ms}-key-{next(_numbers):08d}"


def booking(idempotency_key: str, **fields) -> dict:
    """Return a non-idempotent call that the service's record will show."""
    return {
        "service": "booking",
        "method": "POST",
        "path": "/reservations",
        "headers": [{"name": "X-Run", "value": idempotency_key}],
        "body": base64.b64encode(b"two pairs\xff").decode(),
        "idempotency_key": idempotency_key,
        "timeout_ms": 30_000,
    } | fields


async def apply(
    fleet, instance, deployment, expected_version=0, author="tests", **fields
):
    """Apply a deployment and return the answer, whatever it is."""
    body = {"change_id": change_id(), "author": author} | fields
    return await fleet.call(
        instance,
        "Operator/Apply",
        deployment=deployment,
        expected_version=expected_version,
        **body,
    )


def services(count: int, name="booking") -> dict:
    """Return a plain service with this many replicas that nobody serves."""
    return plain(["127.0.0.1:9"], name) | {
        "replicas": [
            replica(
                f"127.0.0.1:{index + 1}", index, memory_mb=0, kv_cache_mb=0
            )
            for index in range(count)
        ]
    }
