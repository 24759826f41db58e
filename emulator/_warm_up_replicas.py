"""Replicas for the comparison of warm-ups: how fast they answer, and load."""

from __future__ import annotations

import collections
import random
import typing

from geraniumlink import _settings
from geraniumlink.serving import _types

SERVICE = "s"
MODEL = "m"
# Time to generate the tokens of a response, at the usual speed.
GENERATION_MS = 420.0
# Sessions whose prompts share a prefix.
SESSIONS = 200


class Trial(typing.NamedTuple):
    """All inputs of a trial but its seed."""

    name: str
    instances: int = 86
    replicas: int = 3
    slots: int = 6
    max_waiting: int = 6
    # Of all instances.
    rate_per_s: float = 140.0
    target_ms: int = 130
    # Bounds of the duration of a call, without an engine.
    call_ms: tuple[int, int] = (60, 90)
    # Prompt tokens that an engine reads in a millisecond; 0 without engines.
    tokens_per_ms: float = 0.0
    prompt_tokens: int = 1500
    # Part of a prompt that an engine has in its cache once it has read
    # another one of the session.
    shared_part: float = 0.6
    # Work takes this many times as long for the time after the start.
    cold_factor: float = 3.0
    cold_ms: int = 4000
    stop_ms: int = 11_000
    start_ms: int = 14_000
    # Whether the replicas state their service time.
    states_service_time: bool = True
    # The replica only stops answering, and is the same process after it.
    is_recovery: bool = False

    def route(self) -> _types.Route:
        """Return the route of all requests."""
        return _types.Route(
            name="r",
            host="h",
            path_prefix="/",
            kind=_types.RouteKind.IDEMPOTENT,
            timeout_ms=2000,
            target_ms=self.target_ms,
            gap_target_ms=0,
            priority=1,
            shares=(_types.Share(SERVICE, 1.0),),
            max_attempts=3,
            resumable=False,
        )

    def make_request(
        self, now: int, random_source: random.Random
    ) -> _types.Request:
        """Return a request of a random session."""
        session = str(random_source.randrange(SESSIONS))
        shared_tokens = int(self.shared_part * self.prompt_tokens)
        has_engine = self.tokens_per_ms > 0
        block = _types.PrefixBlock(session, shared_tokens)
        return _types.Request(
            id=b"1",
            method=b"POST",
            target=b"/",
            host="h",
            headers=[],
            body=b"",
            received_at=now,
            client_timeout_ms=None,
            model=MODEL if has_engine else "",
            adapter="",
            prompt_tokens=self.prompt_tokens if has_engine else 0,
            output_tokens=0,
            prefix_blocks=(block,) if has_engine else (),
            last_event_id=b"",
        )


class Server:
    """A replica: slots and a queue; an engine reads prompts in turn."""

    def __init__(self, trial: Trial, name: str) -> None:
        self.name = name
        self.is_up = True
        self.started_at = 1
        self.running = 0
        self.waiting: collections.deque[typing.Any] = collections.deque()
        self._trial = trial
        self._cold_until = 0
        # When the engine has read all prompts.
        self._read_until = 0.0
        # Sessions whose prefix is cached.
        self._sessions: set[str] = set()

    @property
    def has_room(self) -> bool:
        """Whether it takes another request, if only to let it wait."""
        return (
            self.running < self._trial.slots
            or len(self.waiting) < self._trial.max_waiting
        )

    def entry(self) -> _types.ReplicaEntry:
        """Return its entry in the store."""
        models = {MODEL: frozenset[str]()} if self._trial.tokens_per_ms else {}
        return _types.ReplicaEntry(
            name=self.name,
            service=SERVICE,
            address=_settings.Address(f"10.0.0.{1 + int(self.name[1:])}", 80),
            data_centre="a",
            slots=self._trial.slots,
            leaving=False,
            started_at=self.started_at,
            residents=models,
        )

    def load(self, now: int) -> _types.LoadReport:
        """Return the load that it states with a response."""
        return _types.LoadReport(
            self.running,
            len(self.waiting),
            self._trial.slots,
            100 * self._factor(now)
            if self._trial.states_service_time
            else None,
        )

    def stop(self) -> list[typing.Any]:
        """Stop, and return what was waiting."""
        self.is_up = False
        waiting = list(self.waiting)
        self.waiting.clear()
        self.running = 0
        self._read_until = 0.0
        return waiting

    def start(self, now: int) -> None:
        """Start again, slow for a while."""
        self.is_up = True
        self._cold_until = now + self._trial.cold_ms
        # What ran at its stop doesn't end any more.
        self.started_at = now
        if not self._trial.is_recovery:
            self._sessions.clear()

    def is_process(self, started_at: int) -> bool:
        """Whether it is up and hasn't stopped since a start."""
        return self.is_up and self.started_at == started_at

    def expected_ms(self, took_ms: float, now: int) -> float:
        """Return when a request that is sent now would be answered.

        :param took_ms: its duration at the usual speed.
        """
        trial = self._trial
        if trial.tokens_per_ms:
            read_ms = trial.prompt_tokens / trial.tokens_per_ms
            wait_ms = max(0.0, self._read_until - now)
            return wait_ms + self._factor(now) * read_ms
        ahead = max(0, self.running + len(self.waiting) - trial.slots + 1)
        mean_ms = sum(trial.call_ms) / 2
        return self._factor(now) * (took_ms + ahead * mean_ms / trial.slots)

    def run(
        self, request: _types.Request, took_ms: float, now: int
    ) -> tuple[float, float]:
        """Run a request; return when its first event comes and it ends.

        :param took_ms: its duration at the usual speed, without an engine.
        """
        trial = self._trial
        self.running += 1
        factor = self._factor(now)
        if not trial.tokens_per_ms:
            return factor * took_ms, factor * took_ms
        tokens = request.prompt_tokens
        block = request.prefix_blocks[0]
        if block.key in self._sessions:
            tokens -= block.tokens
        self._sessions.add(block.key)
        read_ms = factor * tokens / trial.tokens_per_ms
        self._read_until = max(now, self._read_until) + read_ms
        first_ms = self._read_until - now
        return first_ms, first_ms + factor * GENERATION_MS

    def _factor(self, now: int) -> float:
        return self._trial.cold_factor if now < self._cold_until else 1.0


_PLAIN = Trial("plain, slow 3x for 4 s")
_ENGINE = Trial(
    "engines, slow 3x for 4 s",
    replicas=6,
    slots=64,
    max_waiting=192,
    rate_per_s=60.0,
    target_ms=500,
    tokens_per_ms=22.1,
)
TRIALS = (
    _PLAIN,
    _PLAIN._replace(name="plain, slow 2x for 4 s", cold_factor=2.0),
    _PLAIN._replace(name="plain, not slow", cold_factor=1.0),
    _PLAIN._replace(name="plain, slow 2x", cold_factor=2.0, cold_ms=10**6),
    _PLAIN._replace(name="plain, 175/s, slow 3x for 4 s", rate_per_s=175.0),
    _PLAIN._replace(name="plain, 60/s, slow 3x for 4 s", rate_per_s=60.0),
    _PLAIN._replace(
        name="plain, recovered", cold_factor=1.0, is_recovery=True
    ),
    _PLAIN._replace(name="plain, recovered, slow 3x 4 s", is_recovery=True),
    _ENGINE,
    _ENGINE._replace(name="engines, not slow", cold_factor=1.0),
    _ENGINE._replace(name="engines, 100/s, slow 3x for 4 s", rate_per_s=100.0),
    _ENGINE._replace(
        name="engines, 100/s, not slow", rate_per_s=100.0, cold_factor=1.0
    ),
    _ENGINE._replace(
        name="engines, 100/s, recovered",
        rate_per_s=100.0,
        cold_factor=1.0,
        is_recovery=True,
    ),
)
