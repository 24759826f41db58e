"""The configuration in force at this instance, and its route table."""

from __future__ import annotations

import collections

from geraniumlink import _logs
from geraniumlink.serving import _accounts
from geraniumlink.serving import _types

# How many accounts and keys that take no effect are logged for a version, and
# how many characters of their names.
MAX_LOGGED_PROBLEMS = 32
_MAX_LOGGED_NAME = 80


class ActiveConfiguration:
    """Holds the newest configuration that this instance has seen."""

    def __init__(self) -> None:
        self._current: _types.Configuration | None = None
        # The last version that was passed over; each is logged once.
        self._older_version: int | None = None
        # Routes by host, those with the longest path prefix first.
        self._by_host: dict[str, list[_types.Route]] = {}

    @property
    def current(self) -> _types.Configuration | None:
        """The configuration in force; None before the first."""
        return self._current

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 before the first."""
        return self._current.version if self._current else 0

    def apply_if_newer(self, configuration: _types.Configuration) -> bool:
        """Put a configuration in force if its version is newer.

        :returns: whether it was.
        """
        known = self._current
        if known is not None and configuration.version <= known.version:
            self._log_older(configuration.version)
            return False
        by_host = collections.defaultdict(list)
        for route in configuration.routes:
            by_host[route.host].append(route)
        for routes in by_host.values():
            routes.sort(key=lambda route: -len(route.path_prefix))
        self._by_host = dict(by_host)
        self._current = configuration
        _logs.event(
            "configuration_in_force",
            version=configuration.version,
            previous_version=known.version if known else None,
            routes=len(configuration.routes),
        )
        if configuration.accounts is not None:
            _log_accounts(configuration.accounts)
        return True

    def _log_older(self, version: int) -> None:
        """Log a version that is older than the one in force."""
        if version < self.version and version != self._older_version:
            self._older_version = version
            _logs.event(
                "configuration_older",
                version=version,
                version_in_force=self.version,
            )

    def find_route(self, host: str, target: bytes) -> _types.Route | None:
        """Return the host's route with the longest prefix of the path.

        :param target: the path and query of a request.
        """
        path = target.partition(b"?")[0].decode("latin-1")
        for route in self._by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def admit(self, request: _types.Request) -> _accounts.Admitted:
        """Return the route and account of a request without a decision.

        That is one that needs no account, or that another instance has
        decided on.
        """
        return _accounts.Admitted(
            self.find_route(request.host, request.target),
            self.find_account(request.account),
            self.version,
            None,
            self._current is not None and self._current.accounts is not None,
        )

    def find_account(self, name: str) -> _types.ClientAccount | None:
        """Return the account of a name; None if there is none."""
        if self._current is None or self._current.accounts is None:
            return None
        return self._current.accounts.find(name)

    def find_service(self, name: str) -> _types.Service | None:
        """Return the declared service; None if there is none."""
        if self._current is None:
            return None
        return self._current.services.get(name)


def _log_accounts(accounts: _accounts.Accounts) -> None:
    """Log how many accounts are in force, and what takes no effect."""
    _logs.event(
        "accounts_in_force",
        accounts=len(accounts),
        problems=len(accounts.problems),
    )
    for problem in accounts.problems[:MAX_LOGGED_PROBLEMS]:
        _logs.event(
            "account_invalid",
            account=problem.account[:_MAX_LOGGED_NAME],
            reason=problem.reason,
        )
