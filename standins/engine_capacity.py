"""Gives the stand-in engine a capacity: continuous batching in slots.

A request waits for a slot in order of arrival, then for its prefill, then
each token takes a time that grows with the number of requests in the batch.
"""

from __future__ import annotations

import argparse
import asyncio
from collections.abc import AsyncIterator
import contextlib
import typing


class Speed(typing.NamedTuple):
    """How fast a batch is."""

    slots: int
    prefill_ms: float
    # Between tokens with one request, and more for each further one.
    base_ms: float
    per_request_ms: float


class Batch:
    """The requests that an engine runs at once."""

    def __init__(self, speed: Speed) -> None:
        self._speed = speed
        self._slots = asyncio.Semaphore(speed.slots)
        self._running = 0

    @property
    def token_ms(self) -> float:
        """The time between tokens now."""
        others = max(0, self._running - 1)
        return self._speed.base_ms + others * self._speed.per_request_ms

    @contextlib.asynccontextmanager
    async def place(self) -> AsyncIterator[None]:
        """Hold a slot, from the end of the prefill on."""
        async with self._slots:
            self._running += 1
            try:
                await asyncio.sleep(self._speed.prefill_ms / 1000)
                yield
            finally:
                self._running -= 1


@contextlib.asynccontextmanager
async def place(batch: Batch | None) -> AsyncIterator[None]:
    """Hold a slot of a batch, if the engine has one."""
    if batch is None:
        yield
        return
    async with batch.place():
        yield


def requests_per_second(speed: Speed, tokens: int) -> float:
    """Return what one engine completes when all of its slots are in use."""
    full_ms = speed.base_ms + (speed.slots - 1) * speed.per_request_ms
    return speed.slots / (speed.prefill_ms + tokens * full_ms) * 1000


def add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--slots", type=int, default=0)
    parser.add_argument("--prefill-ms", type=float, default=50)
    parser.add_argument("--base-ms", type=float, default=20)
    parser.add_argument("--per-request-ms", type=float, default=1)


def from_arguments(options: argparse.Namespace) -> Batch | None:
    """Return the batch asked for, None for unlimited speed."""
    if not options.slots:
        return None
    return Batch(
        Speed(
            options.slots,
            options.prefill_ms,
            options.base_ms,
            options.per_request_ms,
        )
    )


def arguments(speed: Speed) -> list[str]:
    """Return the command line of an engine with this speed."""
    return [
        f"--slots={speed.slots}",
        f"--prefill-ms={speed.prefill_ms}",
        f"--base-ms={speed.base_ms}",
        f"--per-request-ms={speed.per_request_ms}",
    ]
