"""The peer message that asks what became of a claimed call.

An answer comes within ``MAX_WAIT_MS`` and a margin, or its sender counts as
silent. Both messages are idempotent and say nothing that a later one could
contradict, so lost, late and repeated ones do no harm.
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
from geraniumlink.members import _peers
from geraniumlink.once import _claims
from geraniumlink.once import _runs
from geraniumlink.requests import _answers

PATH = "/claim"
# A peer that is alive answers within this long, plus what it is told to
# wait for the end of the run.
PEER_TIMEOUT_MS = 1000
MAX_WAIT_MS = 1000


class ClaimQuery(typing.NamedTuple):
    """Asks about one nonce, or, without one, about a claim's name."""

    name: str
    nonce: str
    wait_ms: int


class Running(typing.NamedTuple):
    """It is being worked on; ask again."""


class Absent(typing.NamedTuple):
    """The nonce asked for was never used to send a call, nor will be.

    Without a nonce: this instance knows nothing of the key.
    """


class Ended(typing.NamedTuple):
    """It was sent, with this outcome."""

    digest: str
    outcome: _answers.Ran | _answers.Unknown


class NoReply(typing.NamedTuple):
    """No usable answer came."""

    problem: str


class Restarted(typing.NamedTuple):
    """The process that was asked for is gone; another one answered."""


Reply = Running | Absent | Ended | NoReply | Restarted


class QueryHandler:
    """Answers peers from this instance's memory."""

    def __init__(self, runs: _runs.RunRegistry, boot_id: str) -> None:
        self._runs = runs
        self._boot_id = boot_id

    @property
    def route(self) -> routing.Route:
        return routing.Route(PATH, self._handle, methods=["POST"])

    async def _handle(self, request: requests.Request) -> responses.Response:
        try:
            query = _parse_query(
                json.loads(await _peers.bounded_body(request))
            )
        except (ValueError, KeyError, TypeError) as error:
            _logs.event("bad_claim_message", error=str(error))
            return responses.JSONResponse({"error": str(error)}, 400)
        reply = await self.lookup_or_wait(query)
        return responses.JSONResponse(_reply_json(reply, self._boot_id))

    async def lookup_or_wait(
        self, query: ClaimQuery
    ) -> Running | Absent | Ended:
        """Say what became of a run; wait for its end a little."""
        run = self._runs.get(query.name)
        if run is not None and query.wait_ms and run.result is None:
            with anyio.move_on_after(query.wait_ms / 1000):
                await run.done.wait()
        return self.lookup(query)

    def lookup(self, query: ClaimQuery) -> Running | Absent | Ended:
        """Say what is known of a nonce, or of a key, without waiting."""
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
    if query.nonce:
        return query.nonce == run.claim.nonce
    # One that only asks others about the key itself must not be waited for:
    # two of them would wait for each other.
    return run.claim_held


async def query_peer(
    client: _http.Client,
    address: _settings.Address,
    query: ClaimQuery,
    boot_id: str,
) -> Reply:
    """Ask a peer; ``boot_id`` is that of the process meant, or empty."""
    try:
        answer = await client.request(
            "POST",
            address,
            PATH,
            headers=[(b"Content-Type", b"application/json")],
            body=json.dumps(query._asdict()).encode(),
            connect_ms=PEER_TIMEOUT_MS,
            read_ms=PEER_TIMEOUT_MS + query.wait_ms,
        )
        if answer.status != 200:
            return NoReply(f"status {answer.status}")
        return _parse_reply(answer.json(), boot_id)
    except (_http.NotSentError, _http.BrokenError) as error:
        return NoReply(str(error))
    except (ValueError, KeyError, TypeError) as error:
        _logs.event("bad_claim_message", peer=str(address), error=str(error))
        return NoReply(repr(error))


def _parse_query(message: typing.Any) -> ClaimQuery:
    query = ClaimQuery(**message)
    if not isinstance(query.name, str) or not isinstance(query.nonce, str):
        raise TypeError("name and nonce are texts")
    if not 0 <= query.wait_ms <= MAX_WAIT_MS:
        raise ValueError(f"wait_ms is {query.wait_ms!r}")
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
    raise AssertionError(f"not a reply: {reply!r}")


def _parse_reply(message: typing.Any, boot_id: str) -> Reply:
    if boot_id and message["boot_id"] != boot_id:
        return Restarted()
    match message["state"]:
        case "running":
            return Running()
        case "absent":
            return Absent()
        case ("ran" | "unknown") as word:
            outcome = _claims.outcome_from_json(word, message.get("answer"))
            if isinstance(outcome, _answers.Ran | _answers.Unknown):
                return Ended(str(message["digest"]), outcome)
    raise ValueError(f"not a reply: {message['state']!r}")
