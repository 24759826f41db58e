"""An open-loop load generator: arrivals don't wait for answers.

Runs as a process of its own and prints one JSON object. A caller that is
refused does not come back. Usage: python -m benches._load PLAN, where PLAN is
the JSON form of ``Plan``.
"""

from __future__ import annotations

import json
import random
import sys
import time
import typing

import anyio

from geraniumlink import _http
from geraniumlink import _settings

CONNECT_MS = 5_000
READ_MS = 60_000


class Plan(typing.NamedTuple):
    """What one generator sends."""

    addresses: list[str]
    models: list[str]
    requests_per_second: float
    seconds: float
    # Requests that arrive before this are sent and not counted.
    warm_up_seconds: float
    min_tokens: int
    max_tokens: int
    timeout_ms: int
    seed: int


class Sample(typing.NamedTuple):
    """One request as its caller saw it; times in milliseconds."""

    # ok, cut, failed, or the code of an error.
    outcome: str
    execution: str
    first_token_ms: float
    between_tokens_ms: float
    total_ms: float
    # How late the generator sent it.
    lateness_ms: float


class Generator:
    """Sends the requests of a plan and keeps a sample of each."""

    def __init__(self, plan: Plan) -> None:
        self._plan = plan
        self._random = random.Random(plan.seed)
        self._client = _http.Client()
        self._addresses = [
            _settings.parse_address(address) for address in plan.addresses
        ]
        self.samples: list[Sample] = []

    async def run(self) -> None:
        started = time.monotonic()
        due = 0.0
        number = 0
        async with anyio.create_task_group() as group:
            while True:
                due += self._random.expovariate(self._plan.requests_per_second)
                if due > self._plan.seconds:
                    break
                await anyio.sleep(max(0.0, started + due - time.monotonic()))
                late = time.monotonic() - started - due
                number += 1
                counted = due >= self._plan.warm_up_seconds
                group.start_soon(self._request, number, late, counted)
        await self._client.close()

    async def _request(self, number: int, late: float, counted: bool) -> None:
        plan = self._plan
        address = self._random.choice(self._addresses)
        tokens = self._random.randint(plan.min_tokens, plan.max_tokens)
        body = {
            "model": self._random.choice(plan.models),
            "prompt": f"{plan.seed} {number}",
            "max_tokens": tokens,
            "timeout_ms": plan.timeout_ms,
        }
        started = time.monotonic()
        reading = _Reading()
        try:
            await self._exchange(address, json.dumps(body).encode(), reading)
        except (_http.NotSentError, _http.BrokenError):
            reading.outcome = "failed"
        if counted:
            self.samples.append(reading.sample(started, late))

    async def _exchange(
        self, address: _settings.Address, body: bytes, reading: _Reading
    ) -> None:
        async with self._client.stream(
            "POST",
            address,
            "/geraniumlink.v1.Inference/GenerateStream",
            body=body,
            connect_ms=CONNECT_MS,
            read_ms=READ_MS,
        ) as response:
            pending = b""
            async for part in response.aiter_stream():
                *lines, pending = (pending + part).split(b"\n")
                for line in lines:
                    reading.take(json.loads(line))
            if response.status != 200:
                reading.take({"error": json.loads(pending)})


class _Reading:
    """What has arrived of one answer."""

    def __init__(self) -> None:
        self.outcome = "cut"
        self._execution = ""
        self._tokens = 0
        self._first_at = 0.0
        self._last_at = 0.0

    def take(self, message: dict) -> None:
        if "error" in message:
            self.outcome = message["error"]["code"]
            self._execution = message["error"].get("execution", "")
        elif "end" in message:
            self.outcome = "ok"
        else:
            self._last_at = time.monotonic()
            self._first_at = self._first_at or self._last_at
            self._tokens += message["token_count"]

    def sample(self, started: float, late: float) -> Sample:
        between = 0.0
        if self._tokens > 1:
            between = (self._last_at - self._first_at) / (self._tokens - 1)
        first = self._first_at - started if self._first_at else 0.0
        times = (first, between, time.monotonic() - started, late)
        rounded = [round(1000 * seconds, 2) for seconds in times]
        return Sample(self.outcome, self._execution, *rounded)


def main(text: str) -> None:
    generator = Generator(Plan(**json.loads(text)))
    anyio.run(generator.run)
    cpu_seconds = time.process_time()
    json.dump({"cpu_s": cpu_seconds, "samples": generator.samples}, sys.stdout)


if __name__ == "__main__":
    main(sys.argv[1])
