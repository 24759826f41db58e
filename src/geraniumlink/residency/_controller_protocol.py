"""What instances tell the controller, and what it answers.

JSON over HTTP on the instances' own port. Each instance reports what it was
asked for, a few times a second, and asks for what is resident nowhere. The
controller's answers bring what concerns all: how many instances there are,
and which requests crash replicas.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable
import typing

import anyio
import orjson

from geraniumlink import _clock
from geraniumlink import _logs
from geraniumlink.residency import _controller
from geraniumlink.residency import _controller_link
from geraniumlink.residency import _demand
from geraniumlink.residency import _leadership
from geraniumlink.residency import _load_totals
from geraniumlink.residency import _messages
from geraniumlink.residency import _wants
from geraniumlink.serving import _outcomes
from geraniumlink.serving import _replicas
from geraniumlink.serving import _retry_budgets
from geraniumlink.serving import _types
from geraniumlink.suspicion import _suspicions

REPORT_PATH = "/instances/report"
WANT_PATH = "/instances/want"
REPORT_MS = 250
# An instance that has reported within this is counted.
COUNTED_MS = 3000
# Time to come back when the controller isn't known or doesn't answer: it is
# replaced within seconds.
NO_CONTROLLER_MS = 1000
# A request that waits in vain is refused this much after its time to wait,
# while there is some left of what is kept for serving it.
ANSWER_MARGIN_MS = 200
# A new controller is at work, and has loaded what is near, within this.
TAKEOVER_MS = 7000
# Wants and reports are short; anything longer is no message of ours.
MAX_MESSAGE_BYTES = 262_144


class Relay(typing.Protocol):
    """Tells and takes what the store holds."""

    def known_revisions(self) -> dict[str, int]:
        """Return the revision known of each kind."""

    def encode_changes(self, known: dict[str, int]) -> dict[str, typing.Any]:
        """Return what another instance lacks that knows so much."""

    def apply_changes(self, told: typing.Any) -> None:
        """Take what was told."""


class ControllerProtocol:
    """Both sides: the controller's when the lease is held here."""

    def __init__(
        self,
        *,
        controller: _controller.Controller,
        leadership: _leadership.Leadership,
        replicas: _replicas.Replicas,
        budgets: _retry_budgets.RetryBudgets,
        suspicions: _suspicions.SuspicionTable,
        relay: Relay,
        link: _controller_link.ControllerLink,
        clock: _clock.Clock,
        instance: str,
    ) -> None:
        self._controller = controller
        self._leadership = leadership
        self._replicas = replicas
        self._budgets = budgets
        self._suspicions = suspicions
        self._relay = relay
        self._link = link
        self._clock = clock
        self._instance = instance
        self._uses: dict[tuple[str, str, str], int] = {}
        self._totals = _load_totals.LoadTotals(clock)
        # What each instance last reported here.
        self._reported: dict[str, _messages.Reported] = {}
        self._asking: dict[_wants.Want, anyio.Event] = {}

    def note_demand(self, service: str, request: _types.Request) -> None:
        """Count a request for the next report."""
        key = (service, request.model, request.adapter)
        tokens = self._uses.get(key, 0) + request.prompt_tokens
        self._uses[key] = tokens

    async def ensure_loaded(
        self,
        service: str,
        request: _types.Request,
        avoid: set[str],
        wait_ms: int,
    ) -> _outcomes.Refusal | None:
        """Return once some replica holds what a request needs.

        Returns in time for a refusal, whether the controller answers or not.
        """
        want = _wants.Want(service, request.model, request.adapter)
        answer: _wants.Placed | _wants.Later | None = _wants.Later(
            NO_CONTROLLER_MS
        )
        limit_ms = max(0, wait_ms) + ANSWER_MARGIN_MS
        with anyio.move_on_after(limit_ms / 1000):
            answer = await self._ask_with_others(want, avoid, wait_ms)
        match answer:
            case _wants.Later(retry_ms):
                what = "adapter" if request.adapter else "model"
                return _outcomes.Refusal(f"the {what} isn't loaded", retry_ms)
            case _wants.Placed(names):
                self._note_placed(want, names)
        return None

    async def _ask_with_others(
        self, want: _wants.Want, avoid: set[str], wait_ms: int
    ) -> _wants.Placed | _wants.Later | None:
        """Ask unless another request just did; None if it is placed."""
        asking = self._asking.get(want)
        if asking is not None and not avoid:
            await asking.wait()
            if self._is_placed(want):
                return None
        done = self._asking.setdefault(want, anyio.Event())
        try:
            return await self._ask(want, avoid, max(0, wait_ms))
        finally:
            done.set()
            if self._asking.get(want) is done:
                del self._asking[want]

    async def run_reports(self) -> None:
        """Report to the controller for ever."""
        while True:
            await self._clock.sleep(REPORT_MS)
            uses, self._uses = self._uses, {}
            report = _messages.Report(
                instance=self._instance,
                uses=[[*key, tokens] for key, tokens in uses.items()],
                known=self._relay.known_revisions(),
                loads=self._own_loads(),
                unreachable=sorted(self._replicas.unreachable_names()),
                suspicions=_suspicions.to_json(self._suspicions.latest()),
            )
            if self._leadership.is_leader:
                self._take_answer(self._answer_report(report))
                continue
            answer = await self._link.call(
                self._leadership.leader, REPORT_PATH, report
            )
            if answer is not None:
                self._take_answer(answer)

    async def handle_message(self, path: str, body: bytes) -> typing.Any:
        """Answer another instance's message.

        :raises ValueError: if it makes no sense.
        """
        try:
            message = orjson.loads(body)
            if path == REPORT_PATH:
                return self._answer_report(message)
            if path == WANT_PATH:
                return await self._answer_want(message)
        except (KeyError, TypeError) as error:
            raise ValueError(f"no message of ours: {error!r}") from error
        raise ValueError(f"no such path: {path}")

    def _answer_report(
        self, report: _messages.Report
    ) -> dict[str, typing.Any]:
        now = self._clock.now()
        sender = str(report["instance"])
        loads = {
            str(name): _messages.Load(
                int(load[0]), {int(r): int(t) for r, t in load[1]}
            )
            for name, load in report["loads"].items()
        }
        unreachable = frozenset(str(r) for r in report["unreachable"])
        self._totals.note(sender, loads)
        self._reported[sender] = _messages.Reported(now, unreachable)
        self._reported = {
            name: reported
            for name, reported in self._reported.items()
            if now - reported.at < COUNTED_MS
        }
        self._controller.set_unreachable(self._lost_to_most())
        for service, model, adapter, tokens in report["uses"]:
            self._controller.note_use(
                _demand.Use(service, model, adapter, int(tokens))
            )
        self._suspicions.merge(
            [
                entry
                for entry in _suspicions.from_json(report["suspicions"])
                if entry.fingerprint
            ]
        )
        answer = {
            "instances": len(self._reported),
            "loads": _messages.loads_to_json(self._totals.of_others(sender)),
            "suspicions": _suspicions.to_json(self._suspicions.latest()),
        }
        # Only one that has just renewed its lease knows that it reaches the
        # store, and so that what it knows is not old.
        if sender != self._instance and self._leadership.may_order():
            answer["lease_version"] = self._leadership.lease_version
            answer["objects"] = self._relay.encode_changes(report["known"])
        return answer

    def _take_answer(self, answer: typing.Any) -> None:
        try:
            self._budgets.set_instances(int(answer["instances"]))
            self._note_foreign(answer["loads"])
            entries = _suspicions.from_json(answer["suspicions"])
            if "objects" in answer:
                self._leadership.note_led(int(answer["lease_version"]))
                self._relay.apply_changes(answer["objects"])
        except (KeyError, TypeError, ValueError) as error:
            _logs.event("bad_report_answer", error=repr(error))
            return
        self._suspicions.merge(entries)

    def _own_loads(self) -> dict[str, list[typing.Any]]:
        """Return the load from here on the replicas of engines."""
        loads = {
            replica.entry.name: _messages.Load(
                replica.in_flight, dict(replica.prefill_tokens)
            )
            for replica in self._replicas.all()
            if replica.entry.residents
        }
        return _messages.loads_to_json(loads)

    def _lost_to_most(self) -> set[str]:
        """Return the replicas that half of the instances can't reach.

        One alone may be cut off itself.
        """
        votes = collections.Counter(
            replica
            for reported in self._reported.values()
            for replica in reported.unreachable
        )
        needed = len(self._reported) / 2
        return {replica for replica, n in votes.items() if n >= needed}

    def _note_foreign(self, loads: dict[str, list[typing.Any]]) -> None:
        now = self._clock.now()
        for replica in self._replicas.all():
            in_flight, ranks = loads.get(replica.entry.name, (0, ()))
            prefilling = {int(rank): int(tokens) for rank, tokens in ranks}
            replica.note_peer_load(
                _replicas.PeerLoad(int(in_flight), prefilling, now)
            )

    async def _answer_want(self, message: typing.Any) -> typing.Any:
        want = _wants.Want(
            str(message["service"]),
            str(message["model"]),
            str(message["adapter"]),
        )
        avoid = {str(name) for name in message["avoid"]}
        wait_ms = int(message["wait_ms"])
        answer = await self._controller.want(want, avoid, wait_ms)
        match answer:
            case _wants.Placed(names):
                return {"replicas": list(names)}
            case _wants.Pending():
                return {"pending": True}
            case _wants.Later(retry_ms):
                return {"retry_ms": retry_ms}

    async def _ask(
        self, want: _wants.Want, avoid: set[str], wait_ms: int
    ) -> _wants.Placed | _wants.Later:
        until = self._clock.now() + wait_ms
        while True:
            left_ms = max(0, until - self._clock.now())
            answer = await self._ask_once(want, avoid, left_ms)
            match answer:
                case None if left_ms > TAKEOVER_MS:
                    await self._clock.sleep(REPORT_MS)
                case None:
                    return _wants.Later(NO_CONTROLLER_MS)
                case _wants.Pending():
                    pass
                case _:
                    return answer

    async def _ask_once(
        self, want: _wants.Want, avoid: set[str], wait_ms: int
    ) -> _wants.Answer | None:
        """Ask the controller; None when there is none, or it is silent."""
        if self._leadership.is_leader:
            return await self._controller.want(want, avoid, wait_ms)
        if self._link.is_lost(self._leadership.leader):
            # Reports go on, and tell when it answers again.
            return None
        message = {
            **want._asdict(),
            "avoid": sorted(avoid),
            "wait_ms": wait_ms,
        }
        answer = await self._link.call(
            self._leadership.leader,
            WANT_PATH,
            message,
            thinks_ms=_controller.ANSWER_MS,
        )
        try:
            if answer is None:
                return None
            if "pending" in answer:
                return _wants.Pending()
            if "retry_ms" in answer:
                return _wants.Later(int(answer["retry_ms"]))
            names = tuple(str(name) for name in answer["replicas"])
            return _wants.Placed(names)
        except (KeyError, TypeError, ValueError) as error:
            _logs.event("bad_want_answer", error=repr(error))
            return None

    def _is_placed(self, want: _wants.Want) -> bool:
        now = self._clock.now()
        return any(
            replica.can_serve(want.model, want.adapter, now)
            for replica in self._replicas.available(want.service)
        )

    def _note_placed(self, want: _wants.Want, names: Iterable[str]) -> None:
        now = self._clock.now()
        for name in names:
            replica = self._replicas.get(name)
            if replica is not None:
                replica.note_loaded(want.model, want.adapter, now)
