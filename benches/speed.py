"""Measures what one instance adds and costs, beside a direct connection.

Usage: python -m benches.speed [--json FILE]
"""

from __future__ import annotations

import argparse
from collections.abc import Awaitable, Callable
import json
import pathlib
import sys
import tempfile
import time
import typing

import anyio

from benches import _fleet
from geraniumlink import _http
from geraniumlink import _settings
from standins import fleet as fleets
from tests import builders

MODEL = "model-0"
# One request after another, directly and through the instance in turn.
FIRST_TOKEN_ROUNDS = 300
# Streams at once; each engine sends a token to each every STREAM_TOKEN_MS.
STREAMS = 90
STREAM_TOKENS = 100
STREAM_TOKEN_MS = 40
ENGINES = 3
UNARY_CLIENTS = 32
UNARY_SECONDS = 5.0
LARGE_MODELS, LARGE_ADAPTERS = 39, 95


class FirstToken(typing.NamedTuple):
    """Times to the first token in milliseconds."""

    direct_p50_ms: float
    direct_p95_ms: float
    relayed_p50_ms: float
    relayed_p95_ms: float
    added_p50_ms: float
    added_p95_ms: float


class Relay(typing.NamedTuple):
    """Tokens relayed by one instance."""

    streams: int
    tokens: int
    seconds: float
    instance_cpu_s: float
    tokens_per_cpu_s: float


class Unary(typing.NamedTuple):
    """Whole answers by one instance, clients asking without pause."""

    requests: int
    requests_per_s: float
    requests_per_cpu_s: float


class Memory(typing.NamedTuple):
    """Resident memory of one instance."""

    idle_mb: float
    large_configuration_mb: float


def percentile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


async def _first_token_ms(
    client: _http.Client, process: fleets.Process, path: str, body: dict
) -> float:
    """Return the time from sending to the first part of the body."""
    address = _settings.parse_address(process.address)
    started = time.perf_counter()
    first_at = 0.0
    async with client.stream(
        "POST", address, path, body=json.dumps(body).encode()
    ) as response:
        async for _ in response.aiter_stream():
            first_at = first_at or time.perf_counter()
    return 1000 * (first_at - started)


async def _post(
    client: _http.Client, process: fleets.Process, path: str, body: dict
) -> _http.Response:
    address = _settings.parse_address(process.address)
    return await client.request(
        "POST", address, path, body=json.dumps(body).encode()
    )


async def measure_first_token(
    fleet: fleets.Fleet, instance: fleets.Process, engine: fleets.Process
) -> FirstToken:
    await fleet.faults(engine, token_ms=1)
    client = _http.Client()
    direct_body = {
        "request_id": "direct",
        "model": MODEL,
        "adapter": "",
        "prompt": "p",
        "max_tokens": 2,
        "priority": 0,
        "offset": 0,
    }
    relayed_body = {"model": MODEL, "prompt": "p", "max_tokens": 2}
    path = "/geraniumlink.v1.Inference/GenerateStream"
    direct, relayed = [], []
    for _ in range(FIRST_TOKEN_ROUNDS):
        direct.append(
            await _first_token_ms(client, engine, "/generate", direct_body)
        )
        relayed.append(
            await _first_token_ms(client, instance, path, relayed_body)
        )
    points = [
        percentile(times, share)
        for times in (direct, relayed)
        for share in (0.5, 0.95)
    ]
    added = (points[2] - points[0], points[3] - points[1])
    return FirstToken(*(round(value, 3) for value in (*points, *added)))


async def measure_relay(
    fleet: fleets.Fleet,
    instance: fleets.Process,
    engines: list[fleets.Process],
) -> Relay:
    for engine in engines:
        await fleet.faults(engine, token_ms=STREAM_TOKEN_MS)
    path = "/geraniumlink.v1.Inference/GenerateStream"
    body = {"model": MODEL, "prompt": "p", "max_tokens": STREAM_TOKENS}
    whole: list[bool] = []
    client = _http.Client()

    async def one() -> None:
        answer = await _post(client, instance, path, body)
        last = json.loads(answer.body.splitlines()[-1])
        whole.append("end" in last)

    started, cpu = time.monotonic(), _fleet.cpu_seconds(instance)
    async with anyio.create_task_group() as group:
        for _ in range(STREAMS):
            group.start_soon(one)
    seconds = time.monotonic() - started
    used = _fleet.cpu_seconds(instance) - cpu
    tokens = STREAM_TOKENS * sum(whole)
    return Relay(
        sum(whole),
        tokens,
        round(seconds, 2),
        round(used, 2),
        round(tokens / max(used, 0.01)),
    )


async def measure_unary(
    instance: fleets.Process, ask: Callable[[], Awaitable[int]]
) -> Unary:
    """Let clients ask without pause; every answer must be a 200."""
    done = 0
    until = time.monotonic() + UNARY_SECONDS

    async def client() -> None:
        nonlocal done
        while time.monotonic() < until:
            status = await ask()
            if status != 200:
                raise RuntimeError(f"the answer's status is {status}")
            done += 1

    cpu = _fleet.cpu_seconds(instance)
    async with anyio.create_task_group() as group:
        for _ in range(UNARY_CLIENTS):
            group.start_soon(client)
    used = _fleet.cpu_seconds(instance) - cpu
    return Unary(
        done, round(done / UNARY_SECONDS, 1), round(done / max(used, 0.01), 1)
    )


async def _declare(
    fleet: fleets.Fleet, engines: list[fleets.Process], models: int
) -> None:
    names = [f"model-{number}" for number in range(models)]
    deployment = builders.engines(engines, names, size_mb=10)
    for replica in deployment["replicas"]:
        replica.update(memory_mb=100_000, max_in_flight=200)
    if models > 1:
        deployment["adapters"] = [
            {
                "name": f"adapter-{number}",
                "model": names[number % models],
                "version": "1",
                "size_mb": 1,
            }
            for number in range(LARGE_ADAPTERS)
        ]
    instance = fleet.instances[0]
    current = await fleet.call(instance, "Operator/Get", name="assistant")
    version = int(current.body.get("version", 0))
    await builders.declare(fleet, instance, deployment, version)


async def run() -> dict:
    """Measure everything against one instance; return JSON data."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = _fleet.BenchFleet(pathlib.Path(folder), "")
        try:
            return await _measure_all(fleet)
        finally:
            with anyio.CancelScope(shield=True):
                await fleet.close()


async def _measure_all(fleet: fleets.Fleet) -> dict:
    engines = [
        fleet.engine({MODEL: "1"}, "--max-in-flight=500")
        for _ in range(ENGINES)
    ]
    service = fleet.plain_service()
    instance = fleet.instance()
    await fleet.ready()
    idle_mb = _fleet.resident_mb(instance)
    await _declare(fleet, engines, 1)
    await builders.serving(fleet, instance, ENGINES)
    await builders.declare(fleet, instance, builders.plain([service]))

    client = _http.Client()

    async def generate() -> int:
        path = "/geraniumlink.v1.Inference/Generate"
        body = {"model": MODEL, "max_tokens": 1}
        return (await _post(client, instance, path, body)).status

    async def call() -> int:
        path = "/geraniumlink.v1.Calls/Call"
        body = {
            "service": "booking",
            "method": "GET",
            "path": "/echo",
            "idempotent": True,
        }
        return (await _post(client, instance, path, body)).status

    first = await measure_first_token(fleet, instance, engines[0])
    relay = await measure_relay(fleet, instance, engines)
    for engine in engines:
        await fleet.faults(engine, token_ms=0)
    unary_generate = await measure_unary(instance, generate)
    unary_call = await measure_unary(instance, call)
    # A fresh instance, so that what the load left behind does not count.
    fresh = fleet.instance()
    await fleet.answers(fresh.peer_port, "/ready")
    await _declare(fleet, engines, LARGE_MODELS)
    await builders.serving(fleet, fresh, ENGINES)
    memory = Memory(round(idle_mb, 1), round(_fleet.resident_mb(fresh), 1))
    return {
        "bench": "speed",
        "versions": _fleet.versions(),
        "first_token": first._asdict(),
        "relay": relay._asdict(),
        "unary_generate": unary_generate._asdict(),
        "unary_call": unary_call._asdict(),
        "memory": memory._asdict(),
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", type=pathlib.Path)
    arguments = parser.parse_args()
    text = json.dumps(anyio.run(run), indent=1) + "\n"
    sys.stdout.write(text)
    if arguments.json is not None:
        arguments.json.write_text(text)


if __name__ == "__main__":
    main()
