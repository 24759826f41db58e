"""Decides on each client's request before its body is read.

The decision itself is ``_accounts.decide``; this gathers what it depends on,
at one moment and of one version of the configuration.
"""

from __future__ import annotations

import random
import typing
import urllib.parse

from geraniumlink import platform
from geraniumlink.serving import _accounts
from geraniumlink.serving import _active_configuration
from geraniumlink.serving import _decision_log
from geraniumlink.serving import _final_answers
from geraniumlink.serving import _request_metrics
from geraniumlink.serving import _response_writer
from geraniumlink.serving import _types

_UNAUTHORIZED = 401
# How the client has to send its key (RFC 9110, section 11.6.1).
_CHALLENGE = (b"www-authenticate", b"Token")
_DOT_SEGMENTS = frozenset((b".", b".."))


class AccountCheck:
    """Finds the account of a request, or refuses the request.

    :param confirmed_age_ms: returns how long ago this instance's copy of the
        configuration was the store's for certain; None if it never was.
    :param bound_ms: ``NodeSettings.revocation_bound_ms``.
    """

    def __init__(
        self,
        *,
        active_configuration: _active_configuration.ActiveConfiguration,
        confirmed_age_ms: typing.Callable[[], int | None],
        bound_ms: int | None,
        metrics: _request_metrics.RequestMetrics,
        random_source: random.Random,
    ) -> None:
        self._active_configuration = active_configuration
        self._confirmed_age_ms = confirmed_age_ms
        self._bound_ms = bound_ms
        self._metrics = metrics
        self._final_answers = _final_answers.FinalAnswers(random_source)

    @property
    def has_accounts(self) -> bool:
        """Whether the configuration in force has accounts."""
        current = self._active_configuration.current
        return current is not None and current.accounts is not None

    @property
    def is_stale(self) -> bool:
        """Whether requests with a key are refused until a confirmation."""
        return self.has_accounts and _accounts.is_stale(
            self._confirmed_age_ms(), self._bound_ms
        )

    def decide(
        self, request: _types.Request, headers: _types.Headers
    ) -> _accounts.Decision | None:
        """Return the decision on a request; None if no accounts are in force.

        A request that may not run is logged and counted here.

        :param headers: those that the client sent, with names in lower case.
        """
        current = self._active_configuration.current
        if current is None or current.accounts is None:
            return None
        route = self._active_configuration.find_route(
            request.host, request.target
        )
        if route is not None and _may_be_elsewhere(request, headers):
            route = route._replace(public=False)
        decision = _accounts.decide(
            current,
            route,
            platform.decode_credential(headers),
            self._confirmed_age_ms(),
            self._bound_ms,
        )
        if not isinstance(decision, _accounts.Admitted):
            _decision_log.denied(request, decision, current.version)
            self._metrics.record_denied(decision)
        return decision

    async def refuse(
        self,
        response: _response_writer.ResponseWriter,
        decision: _accounts.Denied | _accounts.Undecided,
        headers: _types.Headers,
    ) -> None:
        """Send the response to a request that may not run.

        :param headers: further headers of the response.
        """
        match decision:
            case _accounts.Denied(reason=reason):
                status = _UNAUTHORIZED
                own = [*platform.refusal_headers(None), _CHALLENGE]
            case _accounts.Undecided(reason=reason):
                status = _final_answers.UNAVAILABLE
                refusal = self._final_answers.make_refusal(reason)
                own = platform.refusal_headers(refusal.retry_after_ms)
        await response.send_complete(status, [*own, *headers], reason.encode())


def _may_be_elsewhere(
    request: _types.Request, headers: _types.Headers
) -> bool:
    """Whether a replica may read another path or host than this instance.

    The route is found by the path as it was sent, so a path with dot segments
    would reach one behind a public route (RFC 3986, section 5.2.4).
    """
    path = urllib.parse.unquote_to_bytes(request.target.partition(b"?")[0])
    return (
        not _DOT_SEGMENTS.isdisjoint(path.split(b"/"))
        or sum(name == b"host" for name, _ in headers) > 1
    )
