"""Protocol between the instances and the controller, both sides of it.

The messages are JSON over HTTP on the instances' peer port. Each instance
reports its demand and load a few times a second, and requests models and
adapters that no replica holds. The answers to reports carry what all
instances need to know: how many instances there are, the load that the
others put on replicas, requests suspected of crashing replicas, and changes
of the store.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable
import math
import typing

import anyio
import orjson

from geraniumlink import _clock
from geraniumlink import _logs
from geraniumlink.residency import _controller
from geraniumlink.residency import _controller_link
from geraniumlink.residency import _demand
from geraniumlink.residency import _instance_directory
from geraniumlink.residency import _issuer_table
from geraniumlink.residency import _leadership
from geraniumlink.residency import _limit_exchange
from geraniumlink.residency import _load_columns
from geraniumlink.residency import _load_totals
from geraniumlink.residency import _messages
from geraniumlink.residency import _requirements
from geraniumlink.serving import _outcomes
from geraniumlink.serving import _reachability
from geraniumlink.serving import _replicas
from geraniumlink.serving import _retry_budgets
from geraniumlink.serving import _types
from geraniumlink.serving import _warm_up
from geraniumlink.suspicion import _table_sync

REPORT_PATH = "/instances/report"
WANT_PATH = "/instances/want"
REPORT_INTERVAL_MS = 250
# Instances that reported within this time are counted as running.
INSTANCE_EXPIRY_MS = 3000
# When a client may retry if the controller is unknown or doesn't answer. Its
# successor takes over within seconds.
NO_CONTROLLER_RETRY_MS = 1000
# A request that still waits when its time to wait is over is refused within
# this. It is taken from the time that was reserved for serving the request.
REFUSAL_MARGIN_MS = 200
# Time within which a new controller has taken over and has loaded a model
# from a replica's own memory or disk. Requests with more time left than this
# keep asking when no controller answers.
TAKEOVER_MS = 7000
# Instances without a path to any replica that an answer names at most; those
# that aren't named turn down what is passed on to them.
MAX_WITHOUT_PATH = 64
# Replicas that announced their leaving which an answer names at most. Their
# entries in the store soon say so, too, and they aren't named any more.
MAX_LEAVING = 64
# Longest message accepted from another instance. Reports and requirements
# are much shorter.
MAX_MESSAGE_BYTES = 262_144


class Relay(typing.Protocol):
    """Passes changes of the store from the controller to the instances."""

    def known_revisions(self) -> dict[str, typing.Any]:
        """Return the store revision known here for each kind of object."""

    def encode_changes(
        self, known: dict[str, typing.Any]
    ) -> dict[str, typing.Any]:
        """Return the changes since the revisions that an instance knows."""

    def confirmed_ages_ms(self) -> dict[str, int | None]:
        """Return how long ago what is encoded now was confirmed, by kind."""

    def apply_changes(
        self, told: typing.Any, ages_ms: typing.Any, sent_at: int
    ) -> None:
        """Apply the changes that the controller sent.

        :param ages_ms: its ``confirmed_ages_ms``, if it sent them.
        :param sent_at: time since boot before the report was sent.
        """


class PermitIssuer(typing.Protocol):
    """Issues permits to send requests to replicas, as the controller."""

    def note_report(self, instance: str, loads: dict[str, int]) -> None:
        """Record an instance's requests in flight, by replica.

        :param instance: its address.
        """


class ControllerProtocol:
    """Sends reports and requirements, and answers those of others.

    An instance that is the controller answers its own without a message.
    """

    def __init__(
        self,
        *,
        controller: _controller.Controller,
        leadership: _leadership.Leadership,
        replicas: _replicas.Replicas,
        reachability: _reachability.Reachability,
        budgets: _retry_budgets.RetryBudgets,
        permit_issuer: PermitIssuer,
        limits: _limit_exchange.LimitExchange,
        request_sync: _table_sync.TableSync,
        part_sync: _table_sync.TableSync,
        relay: Relay,
        link: _controller_link.ControllerLink,
        directory: _instance_directory.InstanceDirectory,
        clock: _clock.Clock,
        instance: str,
        issuers: _issuer_table.IssuerTable | None = None,
        warm_ups: _warm_up.WarmUps | None = None,
    ) -> None:
        self._controller = controller
        self._leadership = leadership
        self._replicas = replicas
        self._reachability = reachability
        self._budgets = budgets
        self._permit_issuer = permit_issuer
        self._limits = limits
        # Exchange the suspicions of requests and of prompt parts.
        self._request_sync = request_sync
        self._part_sync = part_sync
        self._relay = relay
        self._link = link
        self._directory = directory
        self._clock = clock
        self._instance = instance
        # None if this instance charges no quotas.
        self._issuers = issuers
        # None if new replicas get requests like all others.
        self._warm_ups = warm_ups
        # Prompt tokens since the last report, by service, model and adapter.
        self._prompt_tokens: dict[tuple[str, str, str], int] = {}
        self._totals = _load_totals.LoadTotals(clock)
        self._load_encoder = _load_columns.LoadEncoder()
        self._load_decoder = _load_columns.LoadDecoder()
        # Last report of each running instance; kept by the controller.
        self._last_reports: dict[str, _messages.LastReport] = {}
        # Requirements that were sent to the controller, and what is set when
        # the answer has arrived.
        self._pending_requirements: dict[
            _requirements.Requirement, anyio.Event
        ] = {}

    def note_demand(self, service: str, request: _types.Request) -> None:
        """Add a request's prompt tokens to the next report.

        They are scaled to those that an engine of the assumed prefill rate
        would read in the same time.
        """
        key = (service, request.model, request.adapter)
        scale = self._replicas.prefill_speed(service).factor
        tokens = math.ceil(scale * request.prompt_tokens)
        self._prompt_tokens[key] = self._prompt_tokens.get(key, 0) + tokens

    async def ensure_loaded(
        self,
        service: str,
        request: _types.Request,
        avoid: set[str],
        wait_ms: int,
    ) -> _outcomes.Refusal | None:
        """Have what a request needs loaded; return once a replica holds it.

        Returns a refusal if that can't be in time. It comes within
        REFUSAL_MARGIN_MS after ``wait_ms`` whether the controller answers or
        not.

        :param avoid: names of replicas that the request can't use.
        """
        requirement = _requirements.Requirement(
            service, request.model, request.adapter
        )
        answer: _requirements.Resident | _requirements.RetryLater | None = (
            _requirements.RetryLater(
                NO_CONTROLLER_RETRY_MS, _requirements.Cause.CONTROLLER_SILENT
            )
        )
        limit_ms = max(0, wait_ms) + REFUSAL_MARGIN_MS
        with anyio.move_on_after(limit_ms / 1000):
            answer = await self._ask_or_join(requirement, avoid, wait_ms)
        match answer:
            case _requirements.RetryLater(retry_ms, cause):
                missing = "adapter" if request.adapter else "model"
                return _outcomes.Refusal(
                    f"the {missing} isn't loaded: {cause.value}", retry_ms
                )
            case _requirements.Resident(names):
                self._record_resident(requirement, names)
        return None

    async def _ask_or_join(
        self,
        requirement: _requirements.Requirement,
        avoid: set[str],
        wait_ms: int,
    ) -> _requirements.Resident | _requirements.RetryLater | None:
        """Ask the controller, or wait for a call that is in progress.

        Returns None if a replica holds what is required after that call.
        Requests that must avoid replicas always ask on their own.
        """
        pending = self._pending_requirements.get(requirement)
        if pending is not None and not avoid:
            await pending.wait()
            if self._is_resident(requirement):
                return None
        finished = self._pending_requirements.setdefault(
            requirement, anyio.Event()
        )
        try:
            return await self._ask_until_answered(
                requirement, avoid, max(0, wait_ms)
            )
        finally:
            finished.set()
            if self._pending_requirements.get(requirement) is finished:
                del self._pending_requirements[requirement]

    async def run_reports(self) -> None:
        """Report to the controller every REPORT_INTERVAL_MS, for ever."""
        while True:
            await self._clock.sleep(REPORT_INTERVAL_MS)
            sent_at = self._clock.since_boot()
            prompt_tokens, self._prompt_tokens = self._prompt_tokens, {}
            report = _messages.Report(
                instance=self._instance,
                address=self._directory.own_address,
                instance_list=self._directory.received_digest,
                uses=[[*key, tokens] for key, tokens in prompt_tokens.items()],
                known=self._relay.known_revisions(),
                loads=self._own_loads(),
                load_order=self._load_decoder.order,
                unreachable=self._unreachable_names(),
                path_lost=self._reachability.is_lost,
                leaving=self._replicas.leaving_unregistered(),
                back_off_ms=self._replicas.back_off_times(),
                limits=self._limits.make_report(),
                issuers=(
                    self._issuers.make_report() if self._issuers else None
                ),
                suspicions=self._request_sync.make_report(),
                suspected_parts=self._part_sync.make_report(),
            )
            warm_up = self._warm_ups.make_report() if self._warm_ups else None
            if warm_up is not None:
                report["warm_up"] = warm_up
            if self._leadership.is_leader:
                self._apply_answer(self._answer_report(report), sent_at)
                continue
            answer = await self._link.call(
                self._leadership.leader, REPORT_PATH, report
            )
            if answer is not None:
                self._apply_answer(answer, sent_at)

    async def handle_message(self, path: str, body: bytes) -> typing.Any:
        """Return the answer to another instance's message.

        :raises ValueError: if the message is malformed or the path unknown.
        """
        try:
            message = orjson.loads(body)
            if path == REPORT_PATH:
                return self._answer_report(message)
            if path == WANT_PATH:
                return await self._answer_requirement(message)
        except (KeyError, TypeError) as error:
            raise ValueError(f"malformed message: {error!r}") from error
        raise ValueError(f"unknown path: {path}")

    def _answer_report(
        self, report: _messages.Report
    ) -> dict[str, typing.Any]:
        """Record an instance's report and return the controller's answer."""
        now = self._clock.now()
        sender = str(report["instance"])
        loads = {
            str(name): _messages.load_from_json(load)
            for name, load in report["loads"].items()
        }
        unreachable = frozenset(str(r) for r in report["unreachable"])
        self._totals.record(sender, loads)
        path_lost = bool(report.get("path_lost"))
        self._last_reports[sender] = _messages.LastReport(
            now,
            unreachable,
            str(report["address"]) if path_lost else "",
            # Instances of older versions don't send these.
            frozenset(
                (str(name), int(started_at))
                for name, started_at in report.get("leaving", ())
            ),
            {
                str(name): now + int(back_off_ms)
                for name, back_off_ms in report.get("back_off_ms", {}).items()
            },
        )
        self._last_reports = {
            name: last_report
            for name, last_report in self._last_reports.items()
            if now - last_report.received_at < INSTANCE_EXPIRY_MS
        }
        self._controller.set_unreachable(self._unreachable_from_half())
        self._controller.set_backing_off(self._backing_off(now))
        for service, model, adapter, tokens in report["uses"]:
            self._controller.record_demand(
                _demand.DemandSample(service, model, adapter, int(tokens))
            )
        suspicions = self._request_sync.answer_report(report["suspicions"])
        suspected_parts = self._part_sync.answer_report(
            report["suspected_parts"]
        )
        # Instances of an older version don't send their address, or limits.
        if "address" in report:
            address = str(report["address"])
            self._directory.record_report(address)
            self._permit_issuer.note_report(
                address, {name: load.in_flight for name, load in loads.items()}
            )
        limits = None
        if "limits" in report:
            limits = self._limits.answer_report(report["limits"])
        issuers = None
        issuer_report = report.get("issuers")
        if self._issuers is not None and issuer_report is not None:
            issuers = self._issuers.answer_report(
                str(report["address"]), issuer_report
            )
        answer: dict[str, typing.Any] = {
            "instances": len(self._last_reports),
            "instance_list": (
                None
                if sender == self._instance
                else self._directory.list_for(str(report.get("instance_list")))
            ),
            "loads": self._load_encoder.encode(
                self._totals.excluding(sender), str(report["load_order"])
            ),
            "without_path": sorted(
                last_report.without_path
                for last_report in self._last_reports.values()
                if last_report.without_path
            )[:MAX_WITHOUT_PATH],
            "leaving": self._leaving_elsewhere(sender),
            "limits": limits,
            "issuers": issuers,
            "suspicions": suspicions,
            "suspected_parts": suspected_parts,
        }
        warm_up = self._answer_warm_up(report)
        if warm_up is not None:
            answer["warm_up"] = warm_up
        # A leader that renewed its lease recently has reached the store, so
        # what it knows of the store is up to date. Others must not pass it
        # on.
        if sender != self._instance and self._leadership.may_relay():
            answer["lease_version"] = self._leadership.lease_version
            answer["lease_epoch"] = self._leadership.epoch
            answer["lease_renewals"] = self._leadership.lease_renewals
            answer["objects"] = self._relay.encode_changes(report["known"])
            answer["objects_age_ms"] = self._relay.confirmed_ages_ms()
        return answer

    def _apply_answer(self, answer: typing.Any, sent_at: int) -> None:
        """Apply the controller's answer to a report; log a malformed one.

        :param sent_at: time since boot before the report was sent.
        """
        try:
            self._budgets.set_instances(int(answer["instances"]))
            self._directory.apply_list(answer.get("instance_list"))
            self._directory.set_without_path(answer.get("without_path", ()))
            self._replicas.set_leaving_elsewhere(
                {
                    (str(name), int(started_at))
                    for name, started_at in answer.get("leaving", ())
                }
            )
            self._apply_other_loads(self._load_decoder.decode(answer["loads"]))
            if self._warm_ups is not None and "warm_up" in answer:
                self._warm_ups.apply_answer(answer["warm_up"])
            if answer.get("limits") is not None:
                self._limits.apply_answer(answer["limits"])
            # Instances of older versions don't send it.
            issuers = answer.get("issuers")
            if self._issuers is not None and issuers is not None:
                self._issuers.apply_answer(issuers, sent_at)
            self._request_sync.apply_answer(answer["suspicions"])
            self._part_sync.apply_answer(answer["suspected_parts"])
            if "objects" in answer:
                self._leadership.record_leader_renewal(
                    int(answer["lease_version"]),
                    _decode_optional(answer.get("lease_epoch")),
                    _decode_optional(answer.get("lease_renewals")),
                )
                self._relay.apply_changes(
                    answer["objects"], answer.get("objects_age_ms"), sent_at
                )
        except (KeyError, TypeError, ValueError) as error:
            _logs.event("bad_report_answer", error=repr(error))
            return

    def _own_loads(self) -> dict[str, list[typing.Any]]:
        """Return this instance's load on replicas with models or limits."""
        loads = {
            replica.entry.name: _messages.ReplicaLoad(
                replica.in_flight,
                dict(replica.prefill_tokens),
                replica.memory.tokens
                if replica.service_time.is_stated
                else None,
            )
            for replica in self._replicas.all()
            if replica.entry.residents
            or self._replicas.max_rejections(replica) is not None
            or replica.service_time.is_stated
        }
        return _messages.loads_to_json(loads)

    def _unreachable_names(self) -> list[str]:
        """Return the replicas that can't be reached while others can."""
        if self._reachability.is_lost:
            return []
        return sorted(self._replicas.unreachable_names())

    def _unreachable_from_half(self) -> set[str]:
        """Return the replicas that at least half of the instances can't reach.

        A single instance may be the one that is cut off.
        """
        votes = self._count_unreachable()
        needed = len(self._last_reports) / 2
        return {replica for replica, n in votes.items() if n >= needed}

    def _count_unreachable(self) -> collections.Counter[str]:
        """Return how many instances can't reach each replica."""
        return collections.Counter(
            replica
            for last_report in self._last_reports.values()
            for replica in last_report.unreachable
        )

    def _answer_warm_up(
        self, report: _messages.Report
    ) -> _warm_up.Answer | None:
        """Record how requests ended; return the shares of new replicas."""
        if self._warm_ups is None:
            return None
        self._warm_ups.note_unreachable(
            self._count_unreachable(), len(self._last_reports)
        )
        return self._warm_ups.answer_report(report.get("warm_up"))

    def _leaving_elsewhere(self, sender: str) -> list[tuple[str, int]]:
        """Return the replicas that announced to others that they leave."""
        announced: set[tuple[str, int]] = set()
        for name, last_report in self._last_reports.items():
            if name != sender:
                announced |= last_report.leaving
        return sorted(announced)[:MAX_LEAVING]

    def _backing_off(self, now: int) -> set[str]:
        """Return the replicas that some instance may send nothing now."""
        return {
            replica
            for last_report in self._last_reports.values()
            for replica, until in last_report.back_off_until.items()
            if until > now
        }

    def _apply_other_loads(
        self, loads: dict[str, _messages.ReplicaLoad]
    ) -> None:
        """Set the other instances' load on each replica known here."""
        now = self._clock.now()
        nothing = _messages.ReplicaLoad(0, {}, 0)
        for replica in self._replicas.all():
            load = loads.get(replica.entry.name, nothing)
            replica.note_peer_load(
                _replicas.PeerLoad(
                    load.in_flight, load.prefill_tokens, now, load.kv_tokens
                )
            )

    async def _answer_requirement(self, message: typing.Any) -> typing.Any:
        """Return the controller's answer to another instance's requirement."""
        requirement = _requirements.Requirement(
            str(message["service"]),
            str(message["model"]),
            str(message["adapter"]),
        )
        avoid = {str(name) for name in message["avoid"]}
        wait_ms = int(message["wait_ms"])
        answer = await self._controller.ensure_resident(
            requirement, avoid, wait_ms
        )
        match answer:
            case _requirements.Resident(names):
                return {"replicas": list(names)}
            case _requirements.Pending():
                return {"pending": True}
            case _requirements.RetryLater(retry_ms, cause):
                return {"retry_ms": retry_ms, "cause": cause.name}

    async def _ask_until_answered(
        self,
        requirement: _requirements.Requirement,
        avoid: set[str],
        wait_ms: int,
    ) -> _requirements.Resident | _requirements.RetryLater:
        """Ask the controller until it answers with a result.

        Without a controller it asks on while the time left is enough for a
        takeover.
        """
        deadline = self._clock.now() + wait_ms
        while True:
            left_ms = max(0, deadline - self._clock.now())
            answer = await self._ask_once(requirement, avoid, left_ms)
            match answer:
                case None if left_ms > TAKEOVER_MS:
                    await self._clock.sleep(REPORT_INTERVAL_MS)
                case None:
                    return _requirements.RetryLater(
                        NO_CONTROLLER_RETRY_MS,
                        _requirements.Cause.NO_CONTROLLER,
                    )
                case _requirements.Pending():
                    pass
                case _:
                    return answer

    async def _ask_once(
        self,
        requirement: _requirements.Requirement,
        avoid: set[str],
        wait_ms: int,
    ) -> _requirements.Answer | None:
        """Ask the controller once; None if there is none or it is silent."""
        if self._leadership.is_leader:
            return await self._controller.ensure_resident(
                requirement, avoid, wait_ms
            )
        if self._link.is_unreachable(self._leadership.leader):
            # The periodic reports show when it answers again.
            return None
        message = {
            **requirement._asdict(),
            "avoid": sorted(avoid),
            "wait_ms": wait_ms,
        }
        answer = await self._link.call(
            self._leadership.leader,
            WANT_PATH,
            message,
            answer_delay_ms=_controller.ANSWER_TIMEOUT_MS,
        )
        try:
            if answer is None:
                return None
            if "pending" in answer:
                return _requirements.Pending()
            if "retry_ms" in answer:
                return _requirements.RetryLater(
                    int(answer["retry_ms"]), _decode_cause(answer)
                )
            names = tuple(str(name) for name in answer["replicas"])
            return _requirements.Resident(names)
        except (KeyError, TypeError, ValueError) as error:
            _logs.event("bad_want_answer", error=repr(error))
            return None

    def _is_resident(self, requirement: _requirements.Requirement) -> bool:
        """Whether a replica is known here to hold what is required."""
        now = self._clock.now()
        return any(
            replica.can_serve(requirement.model, requirement.adapter, now)
            for replica in self._replicas.available(requirement.service)
        )

    def _record_resident(
        self, requirement: _requirements.Requirement, names: Iterable[str]
    ) -> None:
        """Record where the controller says the requirement is resident.

        The replicas' registered entries show it only later.
        """
        now = self._clock.now()
        for name in names:
            replica = self._replicas.get(name)
            if replica is not None:
                replica.note_loaded(
                    requirement.model, requirement.adapter, now
                )


def _decode_cause(answer: dict[str, typing.Any]) -> _requirements.Cause:
    """Return the cause of a refusal, which other builds may not know."""
    try:
        return _requirements.Cause[answer.get("cause", "")]
    except KeyError:
        return _requirements.Cause.UNKNOWN


def _decode_optional(count: typing.Any) -> int | None:
    """Return a count that instances of older versions don't send."""
    return None if count is None else int(count)
