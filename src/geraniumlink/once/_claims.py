"""Claims of idempotency keys, kept in the platform's object API.

A claim is created, if absent, before a non-idempotent call is sent to a
backend server, and its outcome is written into it afterwards. Whoever finds
a claim never sends the call on the strength of time that has passed: only
its owner's word that it was never sent, or the claim's own, allows it.
docs/design/at-most-once.md gives the reasons; specs/claims.py is the model.
"""

from __future__ import annotations

import hashlib
import typing

from geraniumlink import _logs
from geraniumlink import _objects
from geraniumlink import _settings
from geraniumlink.once import _keys
from geraniumlink.requests import _answers

# A listing returns values, so the claims of a minute are a kind of their
# own: what is listed for removal stays small.
_KIND_PREFIX = "claims-"
KIND_PERIOD_MS = 60_000
_WRITE_ATTEMPTS = 2


class Owner(typing.NamedTuple):
    """The process that may send the call."""

    name: str
    # Changes at each start of the process.
    boot_id: str
    peer_address: str


class Claim(typing.NamedTuple):
    """Who may send a call, or what became of it."""

    service: str
    key: _keys.Key
    # Of the request, to recognise another one under the same key.
    digest: str
    owner: Owner
    # Names this attempt to claim, so that a write is recognised as own.
    nonce: str
    # None until it is known. NotRun lets the next one claim the key.
    outcome: _answers.Outcome | None = None

    @property
    def kind(self) -> str:
        return object_kind(self.key.issued_ms)

    @property
    def name(self) -> str:
        return object_name(self.service, self.key)


class ClaimHeld(typing.NamedTuple):
    """The claim is ours, at this version."""

    version: int


class ClaimFound(typing.NamedTuple):
    """The claim of somebody else, at this version."""

    claim: Claim
    version: int


class NoClaim(typing.NamedTuple):
    """There is no claim."""


class ClaimUnreadable(typing.NamedTuple):
    """Whether there is a claim can't be learned now."""

    problem: str


AcquireResult = ClaimHeld | ClaimFound | ClaimUnreadable


def object_kind(issued_ms: int) -> str:
    return f"{_KIND_PREFIX}{issued_ms // KIND_PERIOD_MS}"


def object_name(service: str, key: _keys.Key) -> str:
    text = f"{service}\0{key.text}"
    return hashlib.blake2b(text.encode(), digest_size=20).hexdigest()


class ClaimStore:
    """Writes claims by conditional updates."""

    def __init__(self, objects: _objects.ObjectApi) -> None:
        self._objects = objects

    async def acquire(self, claim: Claim, if_version: int) -> AcquireResult:
        """Write a claim over ``if_version``, or return what is there.

        A write whose answer was lost is made again. It is the same write,
        by its nonce, so a conflict with itself means that it is held. After
        ClaimUnreadable the claim may still come to be there, and its nonce
        must never be used to send the call.
        """
        problem = ""
        # When the API is known not to answer, once is enough.
        attempts = _WRITE_ATTEMPTS if self._objects.reachable else 1
        for _ in range(attempts):
            try:
                written = await self._put(claim, if_version)
                return ClaimHeld(written.version)
            except _objects.ConflictError as conflict:
                current = conflict.current
                if current.value is None:
                    # Removed after its key expired. The caller of this
                    # method checks the key's age again.
                    if_version = current.version
                    continue
                return _check_claim_conflict(claim, current)
            except _objects.UnavailableError as error:
                problem = str(error)
        return ClaimUnreadable(problem)

    async def read(
        self, claim: Claim
    ) -> ClaimFound | NoClaim | ClaimUnreadable:
        """Return the claim that is there, and claim nothing."""
        try:
            current = await self._objects.get(claim.kind, claim.name)
        except _objects.UnavailableError as error:
            return ClaimUnreadable(str(error))
        if current.value is None:
            return NoClaim()
        try:
            return ClaimFound(from_json(current.value), current.version)
        except ValueError as error:
            return ClaimUnreadable(str(error))

    async def record_outcome(self, claim: Claim, version: int) -> int | None:
        """Write an outcome; return None when nothing is left to write.

        Otherwise the write is to be made again over the returned version.
        """
        try:
            await self._put(claim, version)
        except _objects.UnavailableError:
            return version
        except _objects.ConflictError as conflict:
            return _check_record_conflict(claim, conflict.current)
        return None

    async def _put(self, claim: Claim, if_version: int) -> _objects.Object:
        return await self._objects.put(
            claim.kind, claim.name, to_json(claim), if_version
        )


def _check_record_conflict(
    claim: Claim, current: _objects.Object
) -> int | None:
    try:
        found = from_json(current.value)
    except ValueError:
        found = None
    if found is not None and found.nonce == claim.nonce:
        # An earlier write of the outcome whose answer was lost.
        return None if found.outcome else current.version
    if not isinstance(claim.outcome, _answers.NotRun):
        _logs.event("claim_lost", claim=claim.name, nonce=claim.nonce)
    return None


def _check_claim_conflict(
    claim: Claim, current: _objects.Object
) -> AcquireResult:
    try:
        found = from_json(current.value)
    except ValueError as error:
        _logs.event("claim_unreadable", claim=claim.name, error=str(error))
        return ClaimUnreadable(str(error))
    if found.nonce == claim.nonce:
        return ClaimHeld(current.version)
    return ClaimFound(found, current.version)


def to_json(claim: Claim) -> dict[str, typing.Any]:
    value: dict[str, typing.Any] = {
        "service": claim.service,
        "key": claim.key.text,
        "issued_ms": claim.key.issued_ms,
        "digest": claim.digest,
        "owner": claim.owner._asdict(),
        "nonce": claim.nonce,
        "outcome": "none",
        "answer": None,
    }
    match claim.outcome:
        case _answers.Ran(answer):
            value["outcome"] = "ran"
            value["answer"] = answer and _answers.to_json(answer)
        case _answers.Unknown():
            value["outcome"] = "unknown"
        case _answers.NotRun():
            value["outcome"] = "not_run"
    return value


def from_json(value: typing.Any) -> Claim:
    """Read a claim.

    :raises ValueError: if it is none.
    """
    try:
        owner = Owner(**value["owner"])
        _settings.parse_address(owner.peer_address)
        return Claim(
            str(value["service"]),
            _keys.Key(str(value["key"]), int(value["issued_ms"])),
            str(value["digest"]),
            owner,
            str(value["nonce"]),
            outcome_from_json(value["outcome"], value["answer"]),
        )
    except (AttributeError, KeyError, TypeError) as error:
        raise ValueError(f"not a claim: {error!r}") from error


def outcome_from_json(
    word: typing.Any, answer: typing.Any
) -> _answers.Outcome | None:
    """Read the two fields of an outcome.

    :raises ValueError: if they make no sense.
    """
    match word:
        case "none":
            return None
        case "ran":
            return _answers.Ran(answer and _answers.from_json(answer))
        case "unknown":
            return _answers.Unknown()
        case "not_run":
            return _answers.NOT_SENT
    raise ValueError(f"{word!r} is not an outcome")
