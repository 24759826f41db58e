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
CALL_TIMEOUT_MS = 600


class ControllerLink:
    """Sends messages to whichever instance is the controller."""

    def __init__(self, client: _http.Client) -> None:
        self._client = client
        # The controller that answered last, or did not; "" before the first.
        self._last_reached = ""
        self._last_unreachable = ""

    def is_unreachable(self, controller: str) -> bool:
        """Whether that controller did not answer the last call."""
        return bool(controller) and controller == self._last_unreachable

    async def call(
        self,
        controller: str,
        path: str,
        message: typing.Any,
        answer_delay_ms: int = 0,
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
            answer = await self._send(address, path, message, answer_delay_ms)
        except (
            _http.NotSentError,
            _http.BrokenError,
            TimeoutError,
        ) as error:
            self._record_unreachable(controller, repr(error))
            return None
        self._record_reached(controller)
        return answer

    async def _send(
        self,
        address: _settings.Address,
        path: str,
        message: typing.Any,
        answer_delay_ms: int,
    ) -> typing.Any:
        timeout_ms = answer_delay_ms + CALL_TIMEOUT_MS
        with anyio.fail_after(timeout_ms / 1000):
            answer = await self._client.request(
                "POST",
                address,
                path,
                body=orjson.dumps(message),
                connect_ms=CALL_TIMEOUT_MS,
                read_ms=timeout_ms,
            )
        if answer.status != 200:
            raise _http.BrokenError(f"answered {answer.status}")
        return answer.json()

    def _record_unreachable(self, controller: str, error: str) -> None:
        if controller != self._last_unreachable:
            _logs.event(
                "controller_unreachable", controller=controller, error=error
            )
        self._last_unreachable, self._last_reached = controller, ""

    def _record_reached(self, controller: str) -> None:
        if controller != self._last_reached:
            _logs.event("controller_reached", controller=controller)
        self._last_unreachable, self._last_reached = "", controller
