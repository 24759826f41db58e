"""Fault injection: refusals agree with the backend servers' records.

Callers send and resend calls while instances are frozen, resumed, killed and
restarted, the object API is unavailable or loses responses, and servers
refuse calls or lose responses. The order of the faults depends on a seed.

The test fails if a non-idempotent call ran twice, if a refusal contradicts
the records of the servers, or if the instances' log lines are not steps that
the model in specs/claims.py allows.
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
# How often each kind of fault occurs, in random order.
ROUNDS = 2
# How often a caller sends one call before it gives up.
MAX_ATTEMPTS = 4
# Timeout in a call; instances answer by then.
TIMEOUT_MS = 1500
# A caller gives up an attempt without a response after this long.
GIVE_UP_S = 2.5
# Traces of more attempts than this under one key aren't replayed in the
# model.
MAX_MODELLED_ATTEMPTS = 3


class Attempt(typing.NamedTuple):
    """One sending of a call."""

    key: str
    idempotent: bool
    # Wall times in seconds.
    sent: float
    received: float
    # None if no response arrived.
    body: dict | None

    @property
    def execution(self):
        return (self.body or {}).get("execution")

    @property
    def answered(self):
        return self.body is not None and "status" in self.body


class FaultRun:
    """Runs callers and faults on one fleet and collects the attempts."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.random = random.Random(seed)
        self.services = [fleet.plain_service() for _ in range(2)]
        for _ in range(3):
            fleet.instance()
        self.attempts = []
        self.faults_left = True

    async def run(self):
        """Return the times at which the servers ran each key."""
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
            # A resend without faults must agree with what was said before.
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
                    # The run of each attempt is recorded under its own key.
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
        with anyio.move_on_after(GIVE_UP_S):
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
        """Send a call while the current fault is certainly in effect."""
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


def is_false_not_run(refused, attempts, runs):
    """Whether the times of a key's runs show that a NOT_RUN was false."""
    if any(run < refused.sent for run in runs):
        return True
    others = [one for one in attempts if one is not refused]
    if any(
        one.sent < refused.received
        and (one.body is None or one.received > refused.sent)
        for one in others
    ):
        # A concurrent attempt may be the one that ran.
        return False
    later = [one.sent for one in others if one.sent >= refused.received]
    return any(run < min(later, default=time.time()) for run in runs)


def contradicted_attempts(attempts, runs):
    """Return the attempts of one key whose answers the runs contradict."""
    found = []
    for one in attempts:
        if one.execution == "NOT_RUN" and is_false_not_run(
            one, attempts, runs
        ):
            found.append((one, runs))
        if one.execution == "RAN" and not runs:
            found.append((one, runs))
        if one.answered:
            echoed = base64.b64decode(one.body["body"]).decode()
            if not runs or echoed != one.key:
                found.append((one, runs))
    return found


def logged_traces(fleet):
    """Return each claim's attempts and its logged steps, in time order.

    Attempts are numbered by their nonces in the order of their first lines.
    """
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
                # Also counts an owner that was killed before it logged a
                # step.
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
    non_idempotent = [key for key in runs if not by_key[key][0].idempotent]
    assert [key for key in non_idempotent if len(runs[key]) > 1] == []
    for key, attempts in by_key.items():
        assert contradicted_attempts(attempts, runs[key]) == []
    replayed_traces = 0
    for nonces, steps in logged_traces(fleet):
        if len(nonces) <= MAX_MODELLED_ATTEMPTS:
            bounds = claims.Bounds((0,) * len(nonces), kills=len(nonces))
            assert claims.first_rejected_step(bounds, steps) is None, steps
            replayed_traces += 1
    assert replayed_traces > len(non_idempotent) / 2
    # The faults must have caused both kinds of refusal, and most calls must
    # have run; otherwise the checks above would hold trivially.
    said = {attempt.execution for attempt in fault_run.attempts}
    assert {"NOT_RUN", "MAY_HAVE_RUN"} <= said
    assert (
        sum(1 for key in non_idempotent if runs[key]) > len(non_idempotent) / 2
    )
