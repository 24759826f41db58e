"""Every refusal of a fault run agrees with the backend servers' records.

The instances' own log lines are steps that the model of claims accepts.

Callers send calls, and send them again, while instances are frozen, thawed,
killed and started, the object API is out or loses answers, and servers
refuse or lose answers. The faults are drawn from a seed.
"""

import base64
import contextlib
import json
import random
import time
import typing

import anyio
import httpcore
import pytest

from specs import claims
from tests import builders

pytestmark = pytest.mark.anyio
CALL = "/geraniumlink.v1.Calls/Call"
CALLERS = 8
# Each kind of fault comes this often, in a drawn order.
ROUNDS = 2
MAX_ATTEMPTS = 4
TIMEOUT_MS = 1500
# A caller that waited this long takes its attempt for lost.
LOST_S = 2.5
# Attempts under one key that the model is asked to accept.
MAX_MODELLED = 3


class Attempt(typing.NamedTuple):
    """One sending of a call; an attempt without an answer has none."""

    key: str
    idempotent: bool
    sent: float
    received: float
    body: dict | None

    @property
    def execution(self):
        return (self.body or {}).get("execution")

    @property
    def answered(self):
        return self.body is not None and "status" in self.body


class FaultRun:
    """Callers and faults on one fleet, and what became of each attempt."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.random = random.Random(seed)
        self.services = [fleet.plain_service() for _ in range(2)]
        for _ in range(3):
            fleet.instance()
        self.attempts = []
        self.faults_left = True

    async def run(self):
        await self.fleet.ready()
        first = self.fleet.instances[0]
        await builders.declare(
            self.fleet, first, builders.plain(self.services)
        )
        async with anyio.create_task_group() as group:
            for _ in range(CALLERS):
                seed = self.random.random()
                group.start_soon(self._caller, random.Random(seed))
            group.start_soon(self._faults)
        await self.fleet.ready()
        for key in {one.key for one in self.attempts if not one.idempotent}:
            instance = self.random.choice(self.fleet.instances)
            await self._attempt(instance, key, False)
        return {key: await self._runs(key) for key in self._keys()}

    def _keys(self):
        return {attempt.key for attempt in self.attempts}

    async def _caller(self, source):
        while self.faults_left:
            await anyio.sleep(source.uniform(0, 0.1))
            idempotent = source.random() < 0.3
            key = builders.key()
            for _ in range(MAX_ATTEMPTS):
                copies = 2 if source.random() < 0.2 else 1
                async with anyio.create_task_group() as group:
                    for _ in range(copies):
                        instance = source.choice(self.fleet.instances)
                        group.start_soon(
                            self._attempt, instance, key, idempotent
                        )
                if self.attempts[-1].answered:
                    break
                if idempotent:
                    # Each attempt has a record of its own.
                    key = builders.key()

    async def _attempt(self, instance, key, idempotent):
        request = builders.booking(
            key,
            idempotent=idempotent,
            timeout_ms=TIMEOUT_MS,
            body=base64.b64encode(key.encode()).decode(),
        )
        sent = time.time()
        body = None
        lost = (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        )
        with anyio.move_on_after(LOST_S):
            try:
                answer = await self.fleet.post(instance, CALL, request)
                body = answer.body
            except lost:
                body = None
        self.attempts.append(Attempt(key, idempotent, sent, time.time(), body))

    async def _runs(self, key):
        found = []
        for service in self.services:
            record = await self.fleet.record(service)
            found += [run for run in record["runs"] if run["run"] == key]
        return [run["time"] for run in found]

    async def _faults(self):
        kinds = ROUNDS * [
            self._freeze,
            self._kill,
            self._outage,
            self._lose_claims,
            self._lose_answers,
            self._refuse,
        ]
        self.random.shuffle(kinds)
        for fault in kinds:
            await fault()
        self.faults_left = False

    async def _probe(self):
        """Send a call that is sure to meet the fault in force."""
        instance = self.random.choice(self.fleet.instances)
        await self._attempt(instance, builders.key(), False)

    async def _freeze(self):
        instance = self.random.choice(self.fleet.instances)
        instance.freeze()
        await anyio.sleep(self.random.uniform(0.1, 2))
        instance.thaw()

    async def _kill(self):
        instance = self.random.choice(self.fleet.instances)
        instance.kill()
        instance.start()
        await self.fleet.answers(instance.peer_port, "/ready")

    async def _outage(self):
        await self.fleet.faults(self.fleet.object_api, outage=True)
        await self._probe()
        await self.fleet.faults(self.fleet.object_api, outage=False)

    async def _lose_claims(self):
        await self.fleet.faults(self.fleet.object_api, lose_answers=3)

    async def _lose_answers(self):
        service = self.random.choice(self.services)
        await self.fleet.faults(service, lose_answers=1)
        await self._probe()

    async def _refuse(self):
        for service in self.services:
            await self.fleet.faults(service, refuse="full")
        await self._probe()
        for service in self.services:
            await self.fleet.faults(service, refuse="")


def denies_a_run(refused, attempts, runs):
    """Whether a NOT_RUN is false, by the times of the runs of its key."""
    if any(run < refused.sent for run in runs):
        return True
    others = [one for one in attempts if one is not refused]
    if any(
        one.sent < refused.received
        and (one.body is None or one.received > refused.sent)
        for one in others
    ):
        # Another attempt at the same time may be what ran.
        return False
    later = [one.sent for one in others if one.sent >= refused.received]
    return any(run < min(later, default=time.time()) for run in runs)


def falsehoods(attempts, runs):
    """Return what the attempts of one key were told that is not true."""
    found = []
    for one in attempts:
        if one.execution == "NOT_RUN" and denies_a_run(one, attempts, runs):
            found.append((one, runs))
        if one.execution == "RAN" and not runs:
            found.append((one, runs))
        if one.answered:
            echoed = base64.b64decode(one.body["body"]).decode()
            if not runs or echoed != one.key:
                found.append((one, runs))
    return found


def traces(fleet):
    """Return, by claim, the steps that were logged and by which attempt."""
    lines = []
    for instance in fleet.instances:
        for line in instance.log.read_text().splitlines():
            with contextlib.suppress(ValueError):
                lines.append(json.loads(line))
    found = {}
    for line in sorted(lines, key=lambda line: line["timestamp"]):
        if line["message_type"] in claims.LOGGED:
            attempts, steps = found.setdefault(line["claim"], ({}, []))
            number = attempts.setdefault(line["nonce"], len(attempts))
            if "found" in line:
                # The owner may have been killed before it logged a step.
                attempts.setdefault(line["found"], len(attempts))
            steps.append((line["message_type"], number))
    return list(found.values())


@pytest.mark.parametrize("seed", [1, 2])
async def test_no_call_runs_twice_and_no_refusal_is_false(fleet, seed):
    fault_run = FaultRun(fleet, seed)
    runs = await fault_run.run()
    by_key = {key: [] for key in runs}
    for attempt in fault_run.attempts:
        by_key[attempt.key].append(attempt)
    once = [key for key in runs if not by_key[key][0].idempotent]
    assert [key for key in once if len(runs[key]) > 1] == []
    for key, attempts in by_key.items():
        assert falsehoods(attempts, runs[key]) == []
    accepted = 0
    for nonces, steps in traces(fleet):
        if len(nonces) <= MAX_MODELLED:
            bounds = claims.Bounds((0,) * len(nonces), kills=len(nonces))
            assert claims.first_rejected_step(bounds, steps) is None, steps
            accepted += 1
    assert accepted > len(once) / 2
    # The run met what it is meant to judge.
    said = {attempt.execution for attempt in fault_run.attempts}
    assert {"NOT_RUN", "MAY_HAVE_RUN"} <= said
    assert sum(1 for key in once if runs[key]) > len(once) / 2
