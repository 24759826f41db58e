"""The peer message that asks for the outcome of a claimed call.

A peer that does not reply within the requested wait and a margin counts as
unresponsive. Both messages are idempotent, and no later reply contradicts an
earlier one, so lost, late and duplicate messages are harmless.
"""

from __future__ import annotations

import json
import typing

import anyio
from starlette import requests
from starlette import responses
from starlette import routing

from geraniumlink import _http
from geraniumlink import _logs
from geraniumlink import _settings
from geraniumlink.members import _peer_protocol
from geraniumlink.once import _claims
from geraniumlink.once import _runs
from geraniumlink.requests import _answers

PATH = "/claim"
# Timeout of connecting to a peer, and of its reply beyond the time it is
# asked to wait for the end of the run.
PEER_TIMEOUT_MS = 1000
# The longest that a query may ask a peer to wait for the end of a run.
MAX_WAIT_MS = 1000


class ClaimQuery(typing.NamedTuple):
    """Asks about one attempt, or, if the nonce is empty, about a key.

    The fields are sent under their own names.
    """

    # Of the claim's object.
    name: str
    # Of the attempt to claim the key.
    nonce: str
    # How long the peer is to wait for the end of a live run.
    wait_ms: int


class Running(typing.NamedTuple):
    """The call is being executed; ask again."""


class Absent(typing.NamedTuple):
    """The nonce was never used to send a call and never will be.

    To a query without a nonce: the instance knows of no run under the key.
    """


class Ended(typing.NamedTuple):
    """The call was sent, with this outcome."""

    digest: str
    outcome: _answers.Ran | _answers.Unknown


class NoReply(typing.NamedTuple):
    """No usable reply arrived."""

    problem: str


class Restarted(typing.NamedTuple):
    """The process that was asked for has ended; its successor replied."""


Reply = Running | Absent | Ended | NoReply | Restarted


class QueryHandler:
    """Replies to peers from this instance's memory."""

    def __init__(self, runs: _runs.RunRegistry, boot_id: str) -> None:
        self._runs = runs
        self._boot_id = boot_id

    @property
    def route(self) -> routing.Route:
        return routing.Route(PATH, self._handle, methods=["POST"])

    async def _handle(self, request: requests.Request) -> responses.Response:
        try:
            query = _parse_query(
                json.loads(await _peer_protocol.read_bounded_body(request))
            )
        except (ValueError, KeyError, TypeError) as error:
            _logs.event("bad_claim_message", error=str(error))
            return responses.JSONResponse({"error": str(error)}, 400)
        reply = await self.lookup_or_wait(query)
        return responses.JSONResponse(_reply_json(reply, self._boot_id))

    async def lookup_or_wait(
        self, query: ClaimQuery
    ) -> Running | Absent | Ended:
        """Return what is known, after a wait for the end of a live run."""
        run = self._runs.get(query.name)
        if run is not None and query.wait_ms and run.result is None:
            with anyio.move_on_after(query.wait_ms / 1000):
                await run.done.wait()
        return self.lookup(query)

    def lookup(self, query: ClaimQuery) -> Running | Absent | Ended:
        """Return what is known of an attempt or a key, without waiting."""
        run = self._runs.get(query.name)
        if run is not None and _matches(query, run):
            match run.claim.outcome:
                case (_answers.Ran() | _answers.Unknown()) as outcome:
                    return Ended(run.claim.digest, outcome)
                case None if not run.abandoned:
                    return Running()
            return Absent()
        recent = self._runs.recent_claim(query.name)
        if recent is not None and query.nonce in ("", recent.nonce):
            match recent.outcome:
                case (_answers.Ran() | _answers.Unknown()) as outcome:
                    return Ended(recent.digest, outcome)
        return Absent()


def _matches(query: ClaimQuery, run: _runs.Run) -> bool:
    """Whether a query is about a run."""
    if query.nonce:
        return query.nonce == run.claim.nonce
    # A run that doesn't hold the claim may itself be querying peers about
    # the key. Two such runs would wait for each other.
    return run.claim_held


async def query_peer(
    client: _http.Client,
    address: _settings.Address,
    query: ClaimQuery,
    boot_id: str,
) -> Reply:
    """Query a peer, only in the process ``boot_id`` unless that is empty."""
    try:
        response = await client.request(
            "POST",
            address,
            PATH,
            headers=[(b"Content-Type", b"application/json")],
            body=json.dumps(query._asdict()).encode(),
            connect_ms=PEER_TIMEOUT_MS,
            read_ms=PEER_TIMEOUT_MS + query.wait_ms,
        )
        if response.status != 200:
            return NoReply(f"HTTP status {response.status}")
        return _parse_reply(response.json(), boot_id)
    except (_http.NotSentError, _http.BrokenError) as error:
        return NoReply(str(error))
    except (ValueError, KeyError, TypeError) as error:
        _logs.event("bad_claim_message", peer=str(address), error=str(error))
        return NoReply(repr(error))


def _parse_query(message: typing.Any) -> ClaimQuery:
    query = ClaimQuery(**message)
    if not isinstance(query.name, str) or not isinstance(query.nonce, str):
        raise TypeError("name and nonce must be strings")
    if not 0 <= query.wait_ms <= MAX_WAIT_MS:
        raise ValueError(f"wait_ms is out of range: {query.wait_ms!r}")
    return query


def _reply_json(
    reply: Running | Absent | Ended, boot_id: str
) -> dict[str, typing.Any]:
    message: dict[str, typing.Any] = {"boot_id": boot_id}
    match reply:
        case Running():
            return message | {"state": "running"}
        case Absent():
            return message | {"state": "absent"}
        case Ended(digest, _answers.Unknown()):
            return message | {"state": "unknown", "digest": digest}
        case Ended(digest, _answers.Ran(answer)):
            return message | {
                "state": "ran",
                "digest": digest,
                "answer": answer and _answers.to_json(answer),
            }
    raise AssertionError(f"not a reply to a query: {reply!r}")


def _parse_reply(message: typing.Any, boot_id: str) -> Reply:
    if boot_id and message["boot_id"] != boot_id:
        return Restarted()
    match message["state"]:
        case "running":
            return Running()
        case "absent":
            return Absent()
        case ("ran" | "unknown") as state:
            outcome = _claims.outcome_from_json(state, message.get("answer"))
            if isinstance(outcome, _answers.Ran | _answers.Unknown):
                return Ended(str(message["digest"]), outcome)
    raise ValueError(f"unknown state in reply: {message['state']!r}")
