"""Learns what became of a call that another attempt claimed.

The claim says it, or its owner does; while the object API is out, a few
peers are asked. What can't be learned is refused at once as MAY_HAVE_RUN.
"""

from __future__ import annotations

from collections.abc import Callable
import random
import typing

import anyio

from geraniumlink import _clock
from geraniumlink import _http
from geraniumlink import _logs
from geraniumlink import _settings
from geraniumlink.once import _claim_queries
from geraniumlink.once import _claims
from geraniumlink.once import _runs
from geraniumlink.requests import _answers
from geraniumlink.requests import _call_refusals
from geraniumlink.requests import _refusals

# Peers that are asked for a key while the object API is out.
MAX_ASKED = 8


class TakeOver(typing.NamedTuple):
    """The claim's owner never sent the call and never will."""


class Resolver:
    """Asks claims and instances for the outcomes of calls."""

    def __init__(
        self,
        query_handler: _claim_queries.QueryHandler,
        client: _http.Client,
        clock: _clock.Clock,
        boot_id: str,
        peers: Callable[[], list[_settings.Address]],
    ) -> None:
        self._query_handler = query_handler
        self._client = client
        self._clock = clock
        self._boot_id = boot_id
        self._peers = peers

    async def resolve(
        self, run: _runs.Run, found: _claims.Claim
    ) -> _runs.RunResult | TakeOver:
        """Learn from a claim, or from its owner, what became of the call."""
        if found.digest != run.claim.digest:
            log("another_request", run, found=found.nonce)
            return _runs.RunResult(_call_refusals.key_reused())
        match found.outcome:
            case None:
                log("claim_found", run, found=found.nonce)
                return await self._ask_owner(run, found)
            case _answers.NotRun():
                log("claim_taken_over", run, found=found.nonce)
                return TakeOver()
            case _answers.Ran():
                log("replay", run, found=found.nonce)
            case _answers.Unknown():
                log("replay_unknown", run, found=found.nonce)
        return replay(found, run.claim.digest)

    async def _ask_owner(
        self, run: _runs.Run, found: _claims.Claim
    ) -> _runs.RunResult | TakeOver:
        ask = _claim_queries.ClaimQuery(found.name, found.nonce, 0)
        if found.owner.boot_id == self._boot_id:
            # A run of ours that is still live would have been joined.
            reply: _claim_queries.Reply = self._query_handler.now(ask)
        else:
            address = _settings.parse_address(found.owner.peer_address)
            reply = await self._ask_until_ended(
                run, address, ask, found.owner.boot_id
            )
        log(_step_of(reply), run)
        return _from_reply(reply, run.claim.digest)

    async def _ask_until_ended(
        self,
        run: _runs.Run,
        address: _settings.Address,
        ask: _claim_queries.ClaimQuery,
        boot_id: str,
    ) -> _claim_queries.Reply:
        """Ask again while the peer says that the call is being run."""
        reply: _claim_queries.Reply = _claim_queries.Running()
        while isinstance(reply, _claim_queries.Running) and not self._over(
            run
        ):
            reply = await _claim_queries.ask_peer(
                self._client, address, ask, boot_id
            )
            ask = ask._replace(wait_ms=_claim_queries.MAX_WAIT_MS)
        return reply

    async def without_api(
        self, run: _runs.Run, problem: str
    ) -> _runs.RunResult:
        """Ask a few peers whether one of them runs or ran the call."""
        peers = self._peers()
        asked = random.sample(peers, min(MAX_ASKED, len(peers)))
        found: list[_runs.RunResult] = []
        async with anyio.create_task_group() as group:
            for address in asked:
                group.start_soon(
                    self._ask_one, run, address, found, group.cancel_scope
                )
        if found:
            if isinstance(found[0].outcome, _answers.Ran):
                log("peer_says_ran", run)
            else:
                log("claim_unavailable", run, problem=problem)
            return found[0]
        log("claim_unavailable", run, problem=problem)
        return _runs.RunResult(_call_refusals.claim_unavailable(problem))

    async def _ask_one(
        self,
        run: _runs.Run,
        address: _settings.Address,
        found: list[_runs.RunResult],
        scope: anyio.CancelScope,
    ) -> None:
        ask = _claim_queries.ClaimQuery(run.claim.name, "", 0)
        reply = await self._ask_until_ended(run, address, ask, "")
        if isinstance(reply, _claim_queries.Ended):
            settled = _from_reply(reply, run.claim.digest)
            if isinstance(settled, _runs.RunResult):
                found.append(settled)
                scope.cancel()

    def _over(self, run: _runs.Run) -> bool:
        return run.over(self._clock.now())


def log(step: str, run: _runs.Run, **fields: str) -> None:
    """Write a log line named as the step in specs/claims.py.

    What goes on after everybody left, until the run ends, is no step.
    """
    if run.abandoned and not run.held:
        return
    _logs.event(step, claim=run.claim.name, nonce=run.claim.nonce, **fields)


def _step_of(reply: _claim_queries.Reply) -> str:
    match reply:
        case _claim_queries.Running():
            return "deadline_unclaimed"
        case _claim_queries.Absent():
            return "owner_says_absent"
        case _claim_queries.Ended(_, _answers.Ran()):
            return "owner_says_ran"
        case _claim_queries.Ended():
            return "owner_says_unknown"
    return "owner_silent"


def replay(kept: _claims.Claim, digest: str) -> _runs.RunResult:
    if kept.digest != digest:
        return _runs.RunResult(_call_refusals.key_reused())
    match kept.outcome:
        case _answers.Ran() as ran:
            return _runs.RunResult(ran, replayed=True)
    return _runs.RunResult(_call_refusals.connection_lost())


def _from_reply(
    reply: _claim_queries.Reply, digest: str
) -> _runs.RunResult | TakeOver:
    match reply:
        case _claim_queries.Absent():
            return TakeOver()
        case _claim_queries.Ended(of, _) if of != digest:
            return _runs.RunResult(_call_refusals.key_reused())
        case _claim_queries.Ended(_, _answers.Ran() as ran):
            return _runs.RunResult(ran, replayed=True)
        case _claim_queries.Ended():
            return _runs.RunResult(_call_refusals.connection_lost())
        case _claim_queries.Running():
            refusal = _call_refusals.deadline_passed(
                _refusals.Execution.MAY_HAVE_RUN
            )
            return _runs.RunResult(refusal)
        case _claim_queries.Restarted():
            return _runs.RunResult(_call_refusals.owner_restarted())
    return _runs.RunResult(_call_refusals.owner_unresponsive())
