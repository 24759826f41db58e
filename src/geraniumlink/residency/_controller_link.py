"""Calls from an instance to the controller."""

from __future__ import annotations

import typing

import anyio
import orjson

from geraniumlink import _http
from geraniumlink import _logs
from geraniumlink import _settings

# A message between instances takes some ms; one that is lost is not waited
# for when the next report is due.
CALL_MS = 600


class ControllerLink:
    """Sends messages to whichever instance is the controller."""

    def __init__(self, client: _http.Client) -> None:
        self._client = client
        # The controller that answered last, or did not; "" before the first.
        self._reached = ""
        self._lost = ""

    def is_lost(self, controller: str) -> bool:
        """Whether that controller did not answer the last call."""
        return bool(controller) and controller == self._lost

    async def call(
        self,
        controller: str,
        path: str,
        message: typing.Any,
        thinks_ms: int = 0,
    ) -> typing.Any:
        """Return the controller's answer; None when there is none.

        :param controller: its address.
        :param thinks_ms: by how much it may put off its answer, in ms.
        """
        try:
            address = _settings.parse_address(controller)
        except ValueError:
            # Nobody has taken the lease yet, or it was released.
            return None
        try:
            answer = await self._send(address, path, message, thinks_ms)
        except (
            _http.NotSentError,
            _http.BrokenError,
            TimeoutError,
        ) as error:
            self._note_lost(controller, repr(error))
            return None
        self._note_reached(controller)
        return answer

    async def _send(
        self,
        address: _settings.Address,
        path: str,
        message: typing.Any,
        thinks_ms: int,
    ) -> typing.Any:
        timeout_ms = thinks_ms + CALL_MS
        with anyio.fail_after(timeout_ms / 1000):
            answer = await self._client.request(
                "POST",
                address,
                path,
                body=orjson.dumps(message),
                connect_ms=CALL_MS,
                read_ms=timeout_ms,
            )
        if answer.status != 200:
            raise _http.BrokenError(f"answered {answer.status}")
        return answer.json()

    def _note_lost(self, controller: str, error: str) -> None:
        if controller != self._lost:
            _logs.event(
                "controller_unreachable", controller=controller, error=error
            )
        self._lost, self._reached = controller, ""

    def _note_reached(self, controller: str) -> None:
        if controller != self._reached:
            _logs.event("controller_reached", controller=controller)
        self._lost, self._reached = "", controller
