"""Client for the messages from an instance to the controller."""

from __future__ import annotations

import typing

import anyio
import orjson

from geraniumlink import _http
from geraniumlink import _logs
from geraniumlink import _settings

# Timeout of a call, besides the time that the controller may take for its
# answer. A message between instances takes some ms; a lost one must not delay
# the reports that follow for long.
CALL_TIMEOUT_MS = 600


class Client(typing.Protocol):
    """Posts messages to instances, as ``_message_client`` does."""

    async def post(
        self, address: _settings.Address, path: str, body: bytes
    ) -> _http.Response: ...


class ControllerLink:
    """Sends messages to the instance that is the controller, by address.

    Logs each time when it becomes unreachable or reachable.
    """

    def __init__(self, client: Client) -> None:
        self._client = client
        # Address of the controller that the last call reached, or failed to
        # reach; the other one is "".
        self._last_reached = ""
        self._last_unreachable = ""

    def is_unreachable(self, controller: str) -> bool:
        """Whether the last call was to that controller and failed."""
        return bool(controller) and controller == self._last_unreachable

    async def call(
        self,
        controller: str,
        path: str,
        message: typing.Any,
        answer_delay_ms: int = 0,
    ) -> typing.Any:
        """Return the controller's answer; None when there is none.

        :param controller: its address, as the lease gives it.
        :param answer_delay_ms: how long it may take for its answer.
        """
        try:
            address = _settings.parse_address(controller)
        except ValueError:
            # The address is empty: no instance holds the lease.
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
            answer = await self._client.post(
                address, path, orjson.dumps(message)
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
