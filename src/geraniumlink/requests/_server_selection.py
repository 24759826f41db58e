"""Selects the server for one attempt of a request to a model.

The router selects among servers with free capacity. This module excludes
some of them, by what is known of requests that crash servers. A request
suspected of that (a suspect) runs on a server without another suspect, and
other requests avoid that server. docs/design/crash-suspicion.md has the
reasons.
"""

from __future__ import annotations

import random
import typing

from geraniumlink import _clock
from geraniumlink.backends import _backends
from geraniumlink.requests import _preferred_servers
from geraniumlink.requests import _routing
from geraniumlink.suspicion import _crash_suspects

# Exponential backoff, with jitter, between attempts to reserve a trial.
_INITIAL_PAUSE_MS = 50
_MAX_PAUSE_MS = 800


class _Selection(typing.NamedTuple):
    """A server, and the trial to reserve before a request is sent to it."""

    choice: _routing.Choice
    # The address of the server to be reserved for a suspect's trial, or
    # ANY_SERVER to reserve the trial only; None if no trial is needed.
    reservation: str | None


class ServerSelector:
    """Selects the server for each attempt of one request."""

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
        """Select a server that was not tried.

        A suspect waits until its trial on the server is reserved. A request
        that is confirmed to crash servers gets no server.
        """
        pause_ms = _INITIAL_PAUSE_MS
        while True:
            match self._suspects.standing(self._fingerprint):
                case _crash_suspects.Standing.CLEAR:
                    choice, reservation = self._select_unsuspected(tried)
                    if reservation is None:
                        return choice
                case _crash_suspects.Standing.SUSPECT:
                    choice, reservation = self._select_for_suspect(tried)
                    # Wait only if a server is unavailable merely because
                    # another suspect runs on it.
                    if not choice.backend and not self._route(tried).backend:
                        return choice
                case _:
                    return _routing.Choice(None, True)
            if choice.backend is not None and await self._reserve(reservation):
                return choice
            await self._clock.sleep(pause_ms * random.uniform(0.5, 1))
            pause_ms = min(2 * pause_ms, _MAX_PAUSE_MS)

    async def _reserve(self, reservation: str | None) -> bool:
        """Reserve the trial of this request; return whether it may run.

        The answers of peers may change the request's standing. The server
        was selected for the former one, so the reservation is then given
        back.
        """
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
        """Select a server for a request that is not a suspect.

        The order of preference is: preferred servers without a suspect, any
        preferred servers, servers without a suspect, all servers. If a
        preferred server is unreachable, a request with the same fingerprint
        may have crashed it; a trial is then reserved, which asks the peers,
        before the request runs on a server that is not preferred.
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
        """Select a server without another suspect, an idle one if possible.

        On an idle server, a crash affects no other request.
        """
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
        """Return the keys of the servers that run a suspect."""
        addresses = self._suspects.trial_addresses()
        if not addresses:
            return []
        return [
            backend.key
            for backend in self._servers()
            if backend.declared.address in addresses
        ]

    def _preferred(self) -> list[_backends.Backend]:
        """Return the preferred servers, or none if all are equally good.

        Requests of a session have none: session affinity decides for them.
        """
        with_model = [
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
            self._fingerprint, with_model, recently_completed
        )

    def _route(self, avoided: list[_backends.Key]) -> _routing.Choice:
        """Let the router choose among the servers that are not avoided."""
        now = self._clock.now()
        return self._router.choose(self._requirements, avoided, now)
