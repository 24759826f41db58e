"""Clients: they ask, wait, give up, and come back when they are told to."""

from __future__ import annotations

import enum
import itertools
import typing

import anyio

from emulator import _demand
from emulator import _instances
from emulator import _sites
from emulator import _virtual_time
from geraniumlink.serving import _response_writer
from geraniumlink.serving import _types

# Clients that are told nothing, or don't keep to it, come back after this.
BROKEN_PAUSE_MS = 100
ABUSIVE_PAUSE_MS = 60
# With less time left a client doesn't come back.
LEAST_LEFT_MS = 200
_numbers = itertools.count(1)


class Outcome(enum.Enum):
    """What a client got in the end."""

    IN_TIME = "in time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"
    GAVE_UP = "gave up"


class Result(typing.NamedTuple):
    """One client's request with all its tries."""

    arrival: _demand.Arrival
    outcome: Outcome
    # From the first try; None when there was no first event.
    first_event_ms: int | None
    took_ms: int
    tries: int


class _Answer:
    """What comes of one try."""

    def __init__(self, clock: _virtual_time.VirtualClock) -> None:
        self._clock = clock
        self.status: int | None = None
        self.retry_after_ms: float | None = None
        self.first_event_at: int | None = None
        self.whole = False

    async def take(self, message: typing.Any) -> None:
        if message["type"] == "http.response.start":
            self.status = message["status"]
            for name, value in message["headers"]:
                if name == b"retry-after":
                    self.retry_after_ms = 1000 * float(value)
            return
        if message.get("body") and self.first_event_at is None:
            self.first_event_at = self._clock.now()
        self.whole = not message.get("more_body", False)


class Client:
    """One request of a client, with what follows from it."""

    def __init__(
        self,
        arrival: _demand.Arrival,
        site: _sites.Site,
        clock: _virtual_time.VirtualClock,
    ) -> None:
        self._arrival = arrival
        self._traffic = site.classes[arrival.traffic]
        self._clock = clock
        self._began = clock.now()
        self._tries = 0

    async def ask(
        self, choose: typing.Callable[[], _instances.Instance | None]
    ) -> Result:
        """Ask instances until there is an answer, or it is too late."""
        while True:
            self._tries += 1
            instance = choose()
            if instance is None:
                return self._result(Outcome.FAILED, None)
            answer = await self._try(instance)
            pause_ms = self._pause_ms(answer)
            if pause_ms is None or self._tries >= self._arrival.most_tries:
                return self._judge(answer)
            await self._clock.sleep(pause_ms)

    @property
    def _left_ms(self) -> int:
        return self._began + self._traffic.timeout_ms - self._clock.now()

    async def _try(self, instance: _instances.Instance) -> _Answer:
        answer = _Answer(self._clock)
        response = _response_writer.ResponseWriter(answer.take, lambda: False)
        with anyio.move_on_after(self._left_ms / 1000):
            await instance.serve(self._request(), response)
        return answer

    def _request(self) -> _types.Request:
        arrival = self._arrival
        name = arrival.model
        if arrival.adapter:
            name += "/" + arrival.adapter
        parts = ",".join(f"{part.key}:{part.tokens}" for part in arrival.parts)
        number = next(_numbers)
        return _types.Request(
            id=b"%d" % number,
            method=b"POST",
            target=_sites.path_of(self._traffic).encode(),
            host=_sites.HOST,
            headers=[
                (b"x-request-id", b"%d" % number),
                (b"x-model", name.encode()),
                (
                    b"x-token-usage",
                    b"%d,%d" % (arrival.prompt_tokens, arrival.output_tokens),
                ),
                (b"x-prefix-hash", parts.encode()),
            ],
            body=b"",
            received_at=self._clock.now(),
            client_timeout_ms=self._left_ms,
            model=arrival.model,
            adapter=arrival.adapter,
            prompt_tokens=arrival.prompt_tokens,
            output_tokens=arrival.output_tokens,
            prefix_blocks=arrival.parts,
            last_event_id=b"",
        )

    def _pause_ms(self, answer: _Answer) -> float | None:
        """Return when to come back; None when there is no use in it."""
        if answer.status not in (None, 503):
            return None
        if answer.status is None:
            pause_ms = float(BROKEN_PAUSE_MS)
        elif self._arrival.abusive:
            pause_ms = float(ABUSIVE_PAUSE_MS)
        elif answer.retry_after_ms is not None:
            pause_ms = answer.retry_after_ms
        else:
            return None
        if self._left_ms - pause_ms < LEAST_LEFT_MS:
            return None
        return pause_ms

    def _judge(self, answer: _Answer) -> Result:
        if answer.status is None:
            return self._result(Outcome.GAVE_UP, None)
        if answer.status == 503:
            return self._result(Outcome.REFUSED, None)
        first_at = answer.first_event_at
        if answer.status == 200 and self._left_ms <= 0:
            return self._result(Outcome.GAVE_UP, None)
        if answer.status != 200 or first_at is None or not answer.whole:
            return self._result(Outcome.FAILED, None)
        first_ms = first_at - self._began
        if first_ms <= self._traffic.target_ms:
            return self._result(Outcome.IN_TIME, first_ms)
        return self._result(Outcome.LATE, first_ms)

    def _result(self, outcome: Outcome, first_ms: int | None) -> Result:
        took_ms = self._clock.now() - self._began
        return Result(self._arrival, outcome, first_ms, took_ms, self._tries)
