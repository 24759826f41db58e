"""Chooses the server for one attempt of a request to a model.

Routing says which server has room. This narrows its choice by what is known
of crashes: a suspect runs alone on its server, and other requests keep away
from servers that run one. docs/design/crash-suspicion.md has the reasons.
"""

from __future__ import annotations

import random
import typing

from geraniumlink import _clock
from geraniumlink.backends import _backends
from geraniumlink.requests import _preferred_servers
from geraniumlink.requests import _routing
from geraniumlink.suspicion import _crash_suspects

# Waiting for a server that a suspect has to itself: first and longest pause.
_INITIAL_PAUSE_MS = 50
_MAX_PAUSE_MS = 800


class _Selection(typing.NamedTuple):
    """A server, and what must be reserved before it is used."""

    choice: _routing.Choice
    # An address, or ANY_SERVER; None: nothing.
    reservation: str | None


class ServerSelector:
    """The servers that one request may be sent to, attempt by attempt."""

    def __init__(
        self,
        requirements: _routing.Requirements,
        fingerprint: str,
        backends: _backends.Backends,
        router: _routing.Router,
        suspects: _crash_suspects.CrashSuspects,
        clock: _clock.Clock,
    ) -> None:
        self._requirements = requirements
        self._fingerprint = fingerprint
        self._backends = backends
        self._router = router
        self._suspects = suspects
        self._clock = clock

    async def select(self, tried: list[_backends.Key]) -> _routing.Choice:
        """Choose a server; a suspect waits until it has one to itself."""
        pause_ms = _INITIAL_PAUSE_MS
        while True:
            match self._suspects.standing(self._fingerprint):
                case _crash_suspects.Standing.CLEAR:
                    choice, reservation = self._select_unsuspected(tried)
                    if reservation is None:
                        return choice
                case _crash_suspects.Standing.SUSPECT:
                    choice, reservation = self._select_for_suspect(tried)
                    # Would a server do, were it not for a suspect there?
                    if not choice.backend and not self._route(tried).backend:
                        return choice
                case _:
                    return _routing.Choice(None, True)
            if choice.backend is not None and await self._reserve(reservation):
                return choice
            await self._clock.sleep(pause_ms * random.uniform(0.5, 1))
            pause_ms = min(2 * pause_ms, _MAX_PAUSE_MS)

    async def _reserve(self, reservation: str | None) -> bool:
        """Reserve the only run, unless its standing changed meanwhile."""
        before = self._suspects.standing(self._fingerprint)
        if not await self._suspects.reserve_trial(
            self._fingerprint, reservation or _crash_suspects.ANY_SERVER
        ):
            return False
        if self._suspects.standing(self._fingerprint) is before:
            return True
        self._suspects.release_trial(self._fingerprint)
        return False

    def _select_unsuspected(self, tried: list[_backends.Key]) -> _Selection:
        """Choose for a request that is not a suspect.

        It keeps away from servers that run a suspect, and at first it keeps
        to its homes, while other servers than those are not needed. Where a
        home has gone, a request like this one may be the cause, and peers
        are asked before it runs elsewhere.
        """
        suspect_servers = self._suspect_servers()
        preferred = self._preferred()
        not_preferred = [
            backend.key
            for backend in self._servers()
            if preferred and backend not in preferred
        ]
        for avoided in (suspect_servers + not_preferred, not_preferred):
            choice = self._route(tried + avoided)
            if choice.backend is not None:
                return _Selection(choice, None)
        now = self._clock.now()
        preferred_lost = any(
            server.state(now) == "unreachable" for server in preferred
        )
        reservation = _crash_suspects.ANY_SERVER if preferred_lost else None
        choice = self._route(tried + suspect_servers)
        if choice.backend is None:
            choice = self._route(tried)
        return _Selection(choice, reservation if choice.backend else None)

    def _select_for_suspect(self, tried: list[_backends.Key]) -> _Selection:
        """Choose an idle server if there is one, else one without suspect."""
        suspect_servers = self._suspect_servers()
        busy = [
            backend.key
            for backend in self._servers()
            if _preferred_servers.is_busy(backend)
        ]
        choice = self._route(tried + suspect_servers + busy)
        if choice.backend is None:
            choice = self._route(tried + suspect_servers)
        reservation = choice.backend.declared.address if choice.backend else ""
        return _Selection(choice, reservation)

    def _servers(self) -> list[_backends.Backend]:
        return self._backends.for_deployment(self._requirements.deployment)

    def _suspect_servers(self) -> list[_backends.Key]:
        addresses = self._suspects.trial_addresses()
        if not addresses:
            return []
        return [
            backend.key
            for backend in self._servers()
            if backend.declared.address in addresses
        ]

    def _preferred(self) -> list[_backends.Backend]:
        """Return the servers to keep to; none when all will do."""
        holders = [
            backend
            for backend in self._servers()
            if backend.has_resident(
                self._requirements.model, self._requirements.adapter
            )
        ]
        if self._requirements.session:
            return []
        recently_completed = self._suspects.recently_completed(
            self._fingerprint
        )
        return _preferred_servers.select(
            self._fingerprint, holders, recently_completed
        )

    def _route(self, avoided: list[_backends.Key]) -> _routing.Choice:
        now = self._clock.now()
        return self._router.choose(self._requirements, avoided, now)
