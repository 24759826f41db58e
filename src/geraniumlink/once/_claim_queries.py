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
from geraniumlink.members import _peer_protocol
from geraniumlink.once import _claims
from geraniumlink.once import _runs
from geraniumlink.requests import _answers

PATH = "/claim"
# A peer that is alive answers within this long, plus what it is told to
# wait for the end of the run.
ANSWER_MS = 1000
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

    def __init__(self, runs: _runs.Runs, boot_id: str) -> None:
        self._runs = runs
        self._boot_id = boot_id

    @property
    def route(self) -> routing.Route:
        return routing.Route(PATH, self._handle, methods=["POST"])

    async def _handle(self, request: requests.Request) -> responses.Response:
        try:
            ask = _read_ask(
                json.loads(await _peer_protocol.read_bounded_body(request))
            )
        except (ValueError, KeyError, TypeError) as error:
            _logs.event("bad_claim_message", error=str(error))
            return responses.JSONResponse({"error": str(error)}, 400)
        reply = await self.answer(ask)
        return responses.JSONResponse(_reply_json(reply, self._boot_id))

    async def answer(self, ask: ClaimQuery) -> Running | Absent | Ended:
        """Say what became of a run; wait for its end a little."""
        run = self._runs.get(ask.name)
        if run is not None and ask.wait_ms and run.outcome is None:
            with anyio.move_on_after(ask.wait_ms / 1000):
                await run.done.wait()
        return self.now(ask)

    def now(self, ask: ClaimQuery) -> Running | Absent | Ended:
        """Say what is known of a nonce, or of a key, without waiting."""
        run = self._runs.get(ask.name)
        if run is not None and _concerns(ask, run):
            match run.claim.outcome:
                case (_answers.Ran() | _answers.Unknown()) as outcome:
                    return Ended(run.claim.digest, outcome)
                case None if not run.abandoned:
                    return Running()
            return Absent()
        kept = self._runs.kept(ask.name)
        if kept is not None and ask.nonce in ("", kept.nonce):
            match kept.outcome:
                case (_answers.Ran() | _answers.Unknown()) as outcome:
                    return Ended(kept.digest, outcome)
        return Absent()


def _concerns(ask: ClaimQuery, run: _runs.Run) -> bool:
    if ask.nonce:
        return ask.nonce == run.claim.nonce
    # One that only asks others about the key itself must not be waited for:
    # two of them would wait for each other.
    return run.held


async def ask_peer(
    client: _http.Client,
    address: _settings.Address,
    ask: ClaimQuery,
    boot_id: str,
) -> Reply:
    """Ask a peer; ``boot_id`` is that of the process meant, or empty."""
    try:
        answer = await client.request(
            "POST",
            address,
            PATH,
            headers=[(b"Content-Type", b"application/json")],
            body=json.dumps(ask._asdict()).encode(),
            connect_ms=ANSWER_MS,
            read_ms=ANSWER_MS + ask.wait_ms,
        )
        if answer.status != 200:
            return NoReply(f"status {answer.status}")
        return _read_reply(answer.json(), boot_id)
    except (_http.NotSentError, _http.BrokenError) as error:
        return NoReply(str(error))
    except (ValueError, KeyError, TypeError) as error:
        _logs.event("bad_claim_message", peer=str(address), error=str(error))
        return NoReply(repr(error))


def _read_ask(message: typing.Any) -> ClaimQuery:
    ask = ClaimQuery(**message)
    if not isinstance(ask.name, str) or not isinstance(ask.nonce, str):
        raise TypeError("name and nonce are texts")
    if not 0 <= ask.wait_ms <= MAX_WAIT_MS:
        raise ValueError(f"wait_ms is {ask.wait_ms!r}")
    return ask


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


def _read_reply(message: typing.Any, boot_id: str) -> Reply:
    if boot_id and message["boot_id"] != boot_id:
        return Restarted()
    match message["state"]:
        case "running":
            return Running()
        case "absent":
            return Absent()
        case ("ran" | "unknown") as word:
            outcome = _claims.read_outcome(word, message.get("answer"))
            if isinstance(outcome, _answers.Ran | _answers.Unknown):
                return Ended(str(message["digest"]), outcome)
    raise ValueError(f"not a reply: {message['state']!r}")
