"""Clients that send a request, retry when refused, and time out."""

from __future__ import annotations

import enum
import itertools
import typing

import anyio

from emulator import _demand
from emulator import _emulated_instances
from emulator import _sites
from emulator import _virtual_time
from geraniumlink.serving import _response_writer
from geraniumlink.serving import _types

# Delay of a retry after a connection broke without a response.
BROKEN_RETRY_MS = 100
# Delay of a retry by a client that ignores Retry-After.
ABUSIVE_RETRY_MS = 60
# A client does not retry if less time would be left before its timeout.
MIN_RETRY_TIME_LEFT_MS = 200
_request_numbers = itertools.count(1)


class RequestOutcome(enum.Enum):
    """The final outcome of a client's request over all attempts."""

    # Complete; the first event came within the class's target.
    IN_TIME = "in time"
    # Complete; the first event came after the target.
    LATE = "late"
    # The last attempt got status 503.
    REFUSED = "refused"
    # Another status, an incomplete response, or no running instance.
    FAILED = "failed"
    # No response, or the timeout expired before it was complete.
    GAVE_UP = "gave up"


class RequestResult(typing.NamedTuple):
    """The result of a client's request over all attempts."""

    arrival: _demand.Arrival
    outcome: RequestOutcome
    # Since the first attempt began; None unless the response was complete.
    first_event_ms: int | None
    took_ms: int
    attempts: int


class _Response:
    """Records the response to one attempt; an ASGI ``send``."""

    def __init__(self, clock: _virtual_time.VirtualClock) -> None:
        self._clock = clock
        self.status: int | None = None
        self.retry_after_ms: float | None = None
        self.first_event_at: int | None = None
        self.complete = False

    async def send(self, message: typing.Any) -> None:
        if message["type"] == "http.response.start":
            self.status = message["status"]
            for name, value in message["headers"]:
                if name == b"retry-after":
                    self.retry_after_ms = 1000 * float(value)
            return
        if message.get("body") and self.first_event_at is None:
            self.first_event_at = self._clock.now()
        self.complete = not message.get("more_body", False)


class Client:
    """Sends one request, and retries it."""

    def __init__(
        self,
        arrival: _demand.Arrival,
        site: _sites.Site,
        clock: _virtual_time.VirtualClock,
    ) -> None:
        self._arrival = arrival
        self._traffic_class = site.classes[arrival.class_index]
        self._clock = clock
        self._started_at = clock.now()
        self._attempts = 0

    async def run(
        self,
        choose: typing.Callable[
            [], _emulated_instances.EmulatedInstance | None
        ],
    ) -> RequestResult:
        """Send the request until it gets a final response or times out.

        ``choose`` returns the instance for the next attempt, or None if
        none is running.
        """
        while True:
            self._attempts += 1
            instance = choose()
            if instance is None:
                return self._make_result(RequestOutcome.FAILED, None)
            response = await self._attempt(instance)
            retry_delay_ms = self._retry_delay_ms(response)
            if (
                retry_delay_ms is None
                or self._attempts >= self._arrival.max_attempts
            ):
                return self._classify(response)
            await self._clock.sleep(retry_delay_ms)

    @property
    def _time_left_ms(self) -> int:
        return (
            self._started_at
            + self._traffic_class.timeout_ms
            - self._clock.now()
        )

    async def _attempt(
        self, instance: _emulated_instances.EmulatedInstance
    ) -> _Response:
        response = _Response(self._clock)
        writer = _response_writer.ResponseWriter(response.send, lambda: False)
        with anyio.move_on_after(self._time_left_ms / 1000):
            await instance.serve(self._request(), writer)
        return response

    def _request(self) -> _types.Request:
        arrival = self._arrival
        name = arrival.model
        if arrival.adapter:
            name += "/" + arrival.adapter
        prefix_hash = ",".join(
            f"{block.key}:{block.tokens}" for block in arrival.prefix_blocks
        )
        number = next(_request_numbers)
        return _types.Request(
            id=b"%d" % number,
            method=b"POST",
            target=_sites.path_prefix(self._traffic_class).encode(),
            host=_sites.HOST,
            headers=[
                (b"x-request-id", b"%d" % number),
                (b"x-model", name.encode()),
                (
                    b"x-token-usage",
                    b"%d,%d" % (arrival.prompt_tokens, arrival.output_tokens),
                ),
                (b"x-prefix-hash", prefix_hash.encode()),
            ],
            body=b"",
            received_at=self._clock.now(),
            client_timeout_ms=self._time_left_ms,
            model=arrival.model,
            adapter=arrival.adapter,
            prompt_tokens=arrival.prompt_tokens,
            output_tokens=arrival.output_tokens,
            prefix_blocks=arrival.prefix_blocks,
            last_event_id=b"",
        )

    def _retry_delay_ms(self, response: _Response) -> float | None:
        """Return the delay before a retry; None if there is to be none."""
        if response.status not in (None, 503):
            return None
        if response.status is None:
            retry_delay_ms = float(BROKEN_RETRY_MS)
        elif self._arrival.ignores_retry_after:
            retry_delay_ms = float(ABUSIVE_RETRY_MS)
        elif response.retry_after_ms is not None:
            retry_delay_ms = response.retry_after_ms
        else:
            return None
        if self._time_left_ms - retry_delay_ms < MIN_RETRY_TIME_LEFT_MS:
            return None
        return retry_delay_ms

    def _classify(self, response: _Response) -> RequestResult:
        if response.status is None:
            return self._make_result(RequestOutcome.GAVE_UP, None)
        if response.status == 503:
            return self._make_result(RequestOutcome.REFUSED, None)
        first_event_at = response.first_event_at
        if response.status == 200 and self._time_left_ms <= 0:
            return self._make_result(RequestOutcome.GAVE_UP, None)
        if (
            response.status != 200
            or first_event_at is None
            or not response.complete
        ):
            return self._make_result(RequestOutcome.FAILED, None)
        first_event_ms = first_event_at - self._started_at
        if first_event_ms <= self._traffic_class.target_ms:
            return self._make_result(RequestOutcome.IN_TIME, first_event_ms)
        return self._make_result(RequestOutcome.LATE, first_event_ms)

    def _make_result(
        self, outcome: RequestOutcome, first_event_ms: int | None
    ) -> RequestResult:
        took_ms = self._clock.now() - self._started_at
        return RequestResult(
            self._arrival, outcome, first_event_ms, took_ms, self._attempts
        )
