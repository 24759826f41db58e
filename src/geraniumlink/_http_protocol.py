"""uvicorn's HTTP protocol, which drops no request as a connection ends.

A client may send a request before the response to the one before is complete
(pipelining, RFC 9112, section 9.3.2). uvicorn keeps such requests in a queue,
which is lost if a response has ``connection: close``.
"""

from __future__ import annotations

import typing

from uvicorn.protocols.http import httptools_impl

from geraniumlink import _logs


class HttpProtocol(httptools_impl.HttpToolsProtocol):
    """Serves the requests of one connection in turn.

    An ASGI scope has ``target`` besides, the request target as the client
    sent it, and ``has_next_request``, which tells whether a part of a further
    request has been received. A response to a request that isn't the last
    one must not have ``connection: close``.
    """

    # The request whose response is being sent, or was sent last.
    _current: httptools_impl.RequestResponseCycle | None = None
    _head_complete = True

    @property
    def has_next_request(self) -> bool:
        """Whether a part of a request behind the current one was received."""
        return bool(self.pipeline) or not self._head_complete

    def connection_lost(self, exc: Exception | None) -> None:
        if self.pipeline and self._current is not None:
            _logs.event(
                "requests_dropped",
                requests=len(self.pipeline),
                response_complete=self._current.response_complete,
            )
        super().connection_lost(exc)

    def on_message_begin(self) -> None:
        self._head_complete = False
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        self._head_complete = True
        super().on_headers_complete()
        scope = typing.cast(dict[str, typing.Any], self.scope)
        # ASGI only has the decoded path and the query apart.
        scope["target"] = self.url
        scope["has_next_request"] = lambda: self.has_next_request

    def _start_asgi_task(
        self, cycle: httptools_impl.RequestResponseCycle, app: typing.Any
    ) -> None:
        self._current = cycle
        super()._start_asgi_task(cycle, app)
