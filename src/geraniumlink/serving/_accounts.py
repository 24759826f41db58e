"""Client accounts: lookup by API key, and the decision on each request.

Nothing here does I/O. Keys are kept as keyed digests only, so that neither a
dump of this process nor the time of a comparison discloses a key.
``docs/design/accounts.md`` says who decides and on what.
"""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses
import hashlib
import hmac
import secrets
import typing

from geraniumlink.serving import _types

# Digests of one process can't be compared with those of another.
_DIGEST_KEY = secrets.token_bytes(32)
_DIGEST_BYTES = 16
# An instance serves a request with a key only if its configuration was
# confirmed as of this share of the settings' bound ago. The rest is a margin
# for the drift of clocks.
_MAX_AGE_SHARE = 0.9
# Without such a bound 401 is sent only if the configuration was confirmed this
# recently, in ms; an older one may lack a key that has been added. In normal
# operation the age is at most twice the longest watch of the store (0.8 s),
# and some round trips.
MAX_DENYING_AGE_MS = 10_000
# Priorities of routes that are told apart among requests of one account's
# priority. Replicas know 10 levels in all, which leaves three of accounts.
ROUTE_LEVELS = 3
_NOT_CONFIRMED = "the configuration isn't confirmed"


def digest_key(key: bytes) -> bytes:
    """Return the digest by which a key is kept and compared."""
    return hashlib.blake2b(
        key, key=_DIGEST_KEY, digest_size=_DIGEST_BYTES
    ).digest()


class Problem(typing.NamedTuple):
    """An account or a key that takes no effect."""

    # Name of the account; its place in the list if it has no valid name.
    account: str
    reason: str


class Accounts:
    """The accounts of one configuration.

    A second account of a name is left out. A key of two accounts grants
    access to neither.

    :param problems: those that were found before.
    """

    def __init__(
        self,
        accounts: Iterable[_types.ClientAccount],
        problems: Iterable[Problem] = (),
    ) -> None:
        self._problems = list(problems)
        self._by_name: dict[str, _types.ClientAccount] = {}
        # With each account the digest that is compared.
        self._by_digest: dict[bytes, tuple[bytes, _types.ClientAccount]] = {}
        shared = set()
        for account in accounts:
            if account.name in self._by_name:
                self._add_problem(account.name, "its name is taken")
                continue
            self._by_name[account.name] = account
            for digest in account.key_digests:
                if digest in self._by_digest:
                    _, other = self._by_digest[digest]
                    self._add_problem(
                        account.name, f"it shares a key with {other.name!r}"
                    )
                    shared.add(digest)
                else:
                    self._by_digest[digest] = (digest, account)
        for digest in shared:
            del self._by_digest[digest]
        self._have_quotas = any(
            account.quota for account in self._by_name.values()
        )

    def __repr__(self) -> str:
        return f"Accounts({len(self)})"

    def __len__(self) -> int:
        return len(self._by_name)

    @property
    def have_quotas(self) -> bool:
        """Whether some account is limited."""
        return self._have_quotas

    @property
    def problems(self) -> list[Problem]:
        """What takes no effect, in the order of the configuration."""
        return self._problems

    def find(self, name: str) -> _types.ClientAccount | None:
        """Return the account of a name."""
        return self._by_name.get(name)

    def find_by_digest(self, digest: bytes) -> _types.ClientAccount | None:
        """Return the account that holds a key.

        The time doesn't depend on how much of a wrong digest is right.
        """
        known = self._by_digest.get(digest)
        if known is None or not hmac.compare_digest(known[0], digest):
            return None
        return known[1]

    def _add_problem(self, account: str, reason: str) -> None:
        self._problems.append(Problem(account, reason))


@dataclasses.dataclass(frozen=True)
class Admitted:
    """The request may run.

    ``account`` is None if it needs none, and ``route`` if there is none: such
    a request gets its answer later.
    """

    route: _types.Route | None
    account: _types.ClientAccount | None
    # Version of the configuration that decided, and how long ago that was
    # confirmed; None if it never was.
    version: int
    age_ms: int | None
    # Whether the configuration has accounts.
    has_accounts: bool = True

    @property
    def effective_route(self) -> _types.Route | None:
        """The route, with the priority that the request has.

        That of the account comes first, if it has one, and routes come in
        their order among requests of the same priority. Without accounts it
        is the route's alone.
        """
        if self.route is None or not self.has_accounts:
            return self.route
        level = self.route.priority
        if self.account is not None and self.account.priority is not None:
            level = self.account.priority
        return self.route._replace(
            priority=ROUTE_LEVELS * level
            + min(self.route.priority, ROUTE_LEVELS - 1)
        )


@dataclasses.dataclass(frozen=True)
class Denied:
    """The request has no known key on a route that needs one."""

    reason: str
    route: str
    age_ms: int | None


@dataclasses.dataclass(frozen=True)
class Undecided:
    """This instance's configuration is too old to decide on the request."""

    reason: str
    route: str
    age_ms: int | None


Decision = Admitted | Denied | Undecided


def max_age_ms(bound_ms: int | None) -> int | None:
    """Return how old a confirmation may be for a request with a key.

    :param bound_ms: ``NodeSettings.revocation_bound_ms``.
    """
    return None if bound_ms is None else int(_MAX_AGE_SHARE * bound_ms)


def is_stale(age_ms: int | None, bound_ms: int | None) -> bool:
    """Whether a copy of the configuration is too old for requests with keys.

    :param age_ms: how long ago the copy was the store's configuration for
        certain; None if it never was.
    """
    limit_ms = max_age_ms(bound_ms)
    return limit_ms is not None and (age_ms is None or age_ms > limit_ms)


def decide(
    configuration: _types.Configuration,
    route: _types.Route | None,
    credential: _types.Credential,
    age_ms: int | None,
    bound_ms: int | None,
) -> Decision:
    """Return whether a request may run, and under which account.

    :param route: that of the request in the configuration.
    :param age_ms: as of ``is_stale``.
    """
    account, accounts = None, configuration.accounts
    stale = is_stale(age_ms, bound_ms)
    # A stale copy may have a key that has been removed, so a public route is
    # then served without an account.
    if accounts is not None and isinstance(credential, bytes) and not stale:
        account = accounts.find_by_digest(credential)
    if accounts is not None and route is not None and not route.public:
        # A newer configuration may have the key, or a public route.
        may_deny = age_ms is not None and age_ms <= MAX_DENYING_AGE_MS
        if stale or not (account or may_deny):
            return Undecided(_NOT_CONFIRMED, route.name, age_ms)
        if account is None:
            return Denied(_why_denied(credential), route.name, age_ms)
    return Admitted(route, account, configuration.version, age_ms)


def _why_denied(credential: _types.Credential) -> str:
    match credential:
        case _types.NoKey():
            return credential.value
        case _:
            return "its key isn't known"
