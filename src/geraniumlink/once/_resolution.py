"""Determines the outcome of a call that another attempt claimed.

The outcome comes from the claim or from the claim's owner, or from a few
peers while the object API is unavailable. While the owner replies that the
call is running, it is asked again until the run's deadline. If the outcome
can't be determined, the call is refused at once as MAY_HAVE_RUN.
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

# The most peers that are queried about a key while the object API is
# unavailable; they are chosen at random and queried at the same time.
MAX_QUERIED_PEERS = 8


class TakeOver(typing.NamedTuple):
    """The call wasn't run under the claim and won't be; claim the key anew."""


class Resolver:
    """Determines outcomes of calls from claims and from other instances."""

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
        """Return the result of a claimed call, or that it may be run.

        ``found`` is the stored claim of another attempt under the same key.
        If its digest differs, the key was used for another request.
        """
        if found.digest != run.claim.digest:
            log_step("another_request", run, found=found.nonce)
            return _runs.RunResult(_call_refusals.key_reused())
        match found.outcome:
            case None:
                log_step("claim_found", run, found=found.nonce)
                return await self._query_owner(run, found)
            case _answers.NotRun():
                log_step("claim_taken_over", run, found=found.nonce)
                return TakeOver()
            case _answers.Ran():
                log_step("replay", run, found=found.nonce)
            case _answers.Unknown():
                log_step("replay_unknown", run, found=found.nonce)
        return replay_outcome(found, run.claim.digest)

    async def _query_owner(
        self, run: _runs.Run, found: _claims.Claim
    ) -> _runs.RunResult | TakeOver:
        """Ask the process that wrote a claim what became of its call."""
        query = _claim_queries.ClaimQuery(found.name, found.nonce, 0)
        if found.owner.boot_id == self._boot_id:
            # This process is the owner. A live run of the key would have
            # been joined, so there is none to wait for.
            reply: _claim_queries.Reply = self._query_handler.lookup(query)
        else:
            address = _settings.parse_address(found.owner.peer_address)
            reply = await self._query_until_ended(
                run, address, query, found.owner.boot_id
            )
        log_step(_step_name(reply), run)
        return _result_from_reply(reply, run.claim.digest)

    async def _query_until_ended(
        self,
        run: _runs.Run,
        address: _settings.Address,
        query: _claim_queries.ClaimQuery,
        boot_id: str,
    ) -> _claim_queries.Reply:
        """Repeat the query while the peer replies that the call is running.

        Stops as well when the run must stop. Only the first query is answered
        without a wait.
        """
        reply: _claim_queries.Reply = _claim_queries.Running()
        while isinstance(
            reply, _claim_queries.Running
        ) and not self._must_stop(run):
            reply = await _claim_queries.query_peer(
                self._client, address, query, boot_id
            )
            query = query._replace(wait_ms=_claim_queries.MAX_WAIT_MS)
        return reply

    async def resolve_from_peers(
        self, run: _runs.Run, problem: str
    ) -> _runs.RunResult:
        """Return the result of a call that one of a few peers ran, if any.

        ``problem`` is why the object API could not be used.
        """
        peers = self._peers()
        queried = random.sample(peers, min(MAX_QUERIED_PEERS, len(peers)))
        results: list[_runs.RunResult] = []
        async with anyio.create_task_group() as group:
            for address in queried:
                group.start_soon(
                    self._query_one, run, address, results, group.cancel_scope
                )
        if results:
            if isinstance(results[0].outcome, _answers.Ran):
                log_step("peer_says_ran", run)
            else:
                log_step("claim_unavailable", run, problem=problem)
            return results[0]
        log_step("claim_unavailable", run, problem=problem)
        return _runs.RunResult(_call_refusals.claim_unavailable(problem))

    async def _query_one(
        self,
        run: _runs.Run,
        address: _settings.Address,
        results: list[_runs.RunResult],
        scope: anyio.CancelScope,
    ) -> None:
        """Query one peer; on an outcome, cancel the queries to the others.

        Any other reply is ignored, since another peer may have run the call.
        """
        query = _claim_queries.ClaimQuery(run.claim.name, "", 0)
        reply = await self._query_until_ended(run, address, query, "")
        if isinstance(reply, _claim_queries.Ended):
            result = _result_from_reply(reply, run.claim.digest)
            if isinstance(result, _runs.RunResult):
                results.append(result)
                scope.cancel()

    def _must_stop(self, run: _runs.Run) -> bool:
        return run.must_stop(self._clock.now())


def log_step(step: str, run: _runs.Run, **fields: str) -> None:
    """Write the log line of a step of the model in specs/claims.py.

    An abandoned run that doesn't hold its claim takes no steps in the model,
    so what it still does until it ends isn't logged.
    """
    if run.abandoned and not run.claim_held:
        return
    _logs.event(step, claim=run.claim.name, nonce=run.claim.nonce, **fields)


def _step_name(reply: _claim_queries.Reply) -> str:
    """Return the name of the model's step for an owner's reply."""
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


def replay_outcome(claim: _claims.Claim, digest: str) -> _runs.RunResult:
    """Return a claim's outcome as the result of the request ``digest``.

    The claim must not have the outcome NotRun; without an answer, the result
    is that the connection to the backend server was lost.
    """
    if claim.digest != digest:
        return _runs.RunResult(_call_refusals.key_reused())
    match claim.outcome:
        case _answers.Ran() as ran:
            return _runs.RunResult(ran, replayed=True)
    return _runs.RunResult(_call_refusals.connection_lost())


def _result_from_reply(
    reply: _claim_queries.Reply, digest: str
) -> _runs.RunResult | TakeOver:
    """Return what an owner's or a peer's reply means for a request."""
    match reply:
        case _claim_queries.Absent():
            return TakeOver()
        case _claim_queries.Ended(run_digest, _) if run_digest != digest:
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
