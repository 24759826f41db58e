"""Measures the decision on a request's account, by the number of accounts.

    python -m benches.accounts

Prints for each number the median time of a decision, the time to decode a
configuration, and the memory that the decoded accounts take.
"""

from __future__ import annotations

import gc
import random
import statistics
import time
import tracemalloc
import typing

from geraniumlink import platform
from geraniumlink.serving import _accounts
from geraniumlink.serving import _active_configuration

COUNTS = (16, 10_000)
ROUNDS = 9
DECISIONS = 5000
_BOUND_MS = 5000
_ROUTES = 24


def _spec(count: int, source: random.Random) -> dict[str, typing.Any]:
    """Return a configuration with accounts of two keys each."""
    routes = [
        {
            "host": "shop.example",
            "path_prefix": f"/route-{number}/",
            "kind": "safe",
            "timeout_ms": 4000,
            "service": "assistant",
        }
        for number in range(_ROUTES)
    ]
    tenants = [
        {
            "name": f"account-{number:05d}",
            "api_keys": [f"{source.getrandbits(128):032x}" for _ in "12"],
            "rate_per_s": 4200,
            "burst": 4200,
            "unit": "tokens",
            "plain_tokens": 500,
        }
        for number in range(count)
    ]
    limits = {
        "max_header_bytes": 16_384,
        "max_body_bytes": 4_194_304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15_000,
    }
    return {
        "version": 1,
        "routes": routes,
        "services": [],
        "limits": limits,
        "tenants": tenants,
    }


def _decision_us(
    active: _active_configuration.ActiveConfiguration, keys: list[str]
) -> float:
    """Return the time of a decision, with the decoding of the key."""
    assert active.current is not None
    heads = [[(b"authorization", f"Token {key}".encode())] for key in keys]
    began = time.perf_counter_ns()
    for number in range(DECISIONS):
        _accounts.decide(
            active.current,
            active.find_route("shop.example", b"/route-7/x"),
            platform.decode_credential(heads[number % len(heads)]),
            900,
            _BOUND_MS,
        )
    return (time.perf_counter_ns() - began) / DECISIONS / 1000


def _measure(count: int) -> str:
    source = random.Random(1)
    spec = _spec(count, source)
    keys = [key for entry in spec["tenants"] for key in entry["api_keys"]]
    source.shuffle(keys)
    unknown = [f"{source.getrandbits(128):032x}" for _ in keys]
    began = time.perf_counter_ns()
    configuration = platform.decode_configuration(spec)
    decoded_ms = (time.perf_counter_ns() - began) / 1_000_000
    active = _active_configuration.ActiveConfiguration()
    active.apply_if_newer(configuration)
    known_us = [_decision_us(active, keys) for _ in range(ROUNDS)]
    unknown_us = [_decision_us(active, unknown) for _ in range(ROUNDS)]
    gc.collect()
    tracemalloc.start()
    kept = platform.decode_configuration(spec).accounts
    gc.collect()
    memory_kb = tracemalloc.get_traced_memory()[0] / 1024
    tracemalloc.stop()
    assert kept is not None
    return (
        f"{len(kept):6} accounts:"
        f" known key {statistics.median(known_us):.2f} us"
        f" ({min(known_us):.2f} to {max(known_us):.2f}),"
        f" unknown key {statistics.median(unknown_us):.2f} us"
        f" ({min(unknown_us):.2f} to {max(unknown_us):.2f}),"
        f" decoded in {decoded_ms:.1f} ms, {memory_kb:.0f} KiB"
    )


def main() -> None:
    for count in COUNTS:
        print(_measure(count))


if __name__ == "__main__":
    main()
