"""Claims on idempotency keys, stored in the platform's object API.

An instance creates the claim, if absent, before it sends a non-idempotent
call to a backend server, and writes the outcome into it afterwards. However
long ago a claim was written, another instance sends the call only if the
claim records that the call was not run, or if the claim's owner replies that
it never sent the call and never will.
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

# The claims whose keys were issued within one period share an object kind.
# A listing returns all values of a kind, so a short period keeps small the
# listing that the removal of expired claims reads.
_KIND_PREFIX = "claims-"
KIND_PERIOD_MS = 60_000
# Writes of a claim before the object API counts as unavailable.
_WRITE_ATTEMPTS = 2


class Owner(typing.NamedTuple):
    """The process that may send the call.

    The fields are stored in the claim under their own names.
    """

    # Of the instance.
    name: str
    # Changes at each start of the process.
    boot_id: str
    peer_address: str


class Claim(typing.NamedTuple):
    """Names the process that may send a call, and the call's outcome."""

    service: str
    key: _keys.Key
    # Digest of the request; detects another request under the same key.
    digest: str
    owner: Owner
    # Unique to this attempt to claim the key. It tells a conflict with the
    # attempt's own earlier write from one with another attempt.
    nonce: str
    # None until it is known. NotRun lets another attempt claim the key.
    outcome: _answers.Outcome | None = None

    @property
    def kind(self) -> str:
        """The kind under which the object API stores this claim."""
        return object_kind(self.key.issued_ms)

    @property
    def name(self) -> str:
        """The name under which the object API stores this claim."""
        return object_name(self.service, self.key)


class ClaimHeld(typing.NamedTuple):
    """The stored claim is this attempt's own, at this version."""

    version: int


class ClaimFound(typing.NamedTuple):
    """The stored claim is another attempt's, at this version."""

    claim: Claim
    version: int


class NoClaim(typing.NamedTuple):
    """No claim on the key is stored."""


class ClaimUnreadable(typing.NamedTuple):
    """The object API is unavailable or the stored value is not a claim."""

    problem: str


AcquireResult = ClaimHeld | ClaimFound | ClaimUnreadable


def object_kind(issued_ms: int) -> str:
    """Return the object kind of claims on keys issued at this wall time."""
    return f"{_KIND_PREFIX}{issued_ms // KIND_PERIOD_MS}"


def object_name(service: str, key: _keys.Key) -> str:
    """Return the object name of the claim on a service's key."""
    text = f"{service}\0{key.text}"
    return hashlib.blake2b(text.encode(), digest_size=20).hexdigest()


class ClaimStore:
    """Reads claims, and writes them by conditional updates."""

    def __init__(self, objects: _objects.ObjectApi) -> None:
        self._objects = objects

    async def acquire(self, claim: Claim, if_version: int) -> AcquireResult:
        """Write a claim over ``if_version``, or return the stored one.

        A write whose response was lost is retried with the same nonce, so
        a conflict with a stored claim of that nonce means that the first
        write succeeded. After ClaimUnreadable a write may still take effect
        later, so the nonce must never be used to send the call.
        """
        problem = ""
        # No retry while the object API is already known to be unavailable.
        attempts = _WRITE_ATTEMPTS if self._objects.reachable else 1
        for _ in range(attempts):
            try:
                written = await self._put(claim, if_version)
                return ClaimHeld(written.version)
            except _objects.ConflictError as conflict:
                current = conflict.current
                if current.value is None:
                    # The claim was removed because its key expired. The
                    # caller of this method checks the key's age again.
                    if_version = current.version
                    continue
                return _check_claim_conflict(claim, current)
            except _objects.UnavailableError as error:
                problem = str(error)
        return ClaimUnreadable(problem)

    async def read(
        self, claim: Claim
    ) -> ClaimFound | NoClaim | ClaimUnreadable:
        """Return the stored claim without writing one."""
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
        """Write an outcome; return None when no further write is needed.

        Otherwise the caller retries the write over the returned version.
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
    """Return the version to retry an outcome's write over, or None."""
    try:
        found = from_json(current.value)
    except ValueError:
        found = None
    if found is not None and found.nonce == claim.nonce:
        # With an outcome, it is an earlier write whose response was lost.
        return None if found.outcome else current.version
    if not isinstance(claim.outcome, _answers.NotRun):
        _logs.event("claim_lost", claim=claim.name, nonce=claim.nonce)
    return None


def _check_claim_conflict(
    claim: Claim, current: _objects.Object
) -> AcquireResult:
    """Return whose claim a write conflicted with."""
    try:
        found = from_json(current.value)
    except ValueError as error:
        _logs.event("claim_unreadable", claim=claim.name, error=str(error))
        return ClaimUnreadable(str(error))
    if found.nonce == claim.nonce:
        return ClaimHeld(current.version)
    return ClaimFound(found, current.version)


def to_json(claim: Claim) -> dict[str, typing.Any]:
    """Return the value to store for a claim."""
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
    """Parse a stored claim.

    :raises ValueError: if the value is not a claim.
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
        raise ValueError(f"malformed claim: {error!r}") from error


def outcome_from_json(
    state: typing.Any, answer: typing.Any
) -> _answers.Outcome | None:
    """Parse an outcome from its name and the answer stored beside it.

    :raises ValueError: if the name is unknown or the answer malformed.
    """
    match state:
        case "none":
            return None
        case "ran":
            return _answers.Ran(answer and _answers.from_json(answer))
        case "unknown":
            return _answers.Unknown()
        case "not_run":
            return _answers.NOT_SENT
    raise ValueError(f"{state!r} is not a known outcome")
