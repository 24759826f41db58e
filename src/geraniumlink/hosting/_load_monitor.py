"""Logs how busy an instance is with its own work.

An event loop that is late, or a link that is full of messages to other
instances, makes calls time out although they were answered in time. The log
lines show it next to the failures that it causes.
"""

from __future__ import annotations

from geraniumlink import _clock
from geraniumlink import _logs

# How often the event loop is expected to run the monitor.
CHECK_INTERVAL_MS = 100
LOG_INTERVAL_MS = 1000
# Lateness below this is not logged on its own. Calls to replicas time out
# after 250 ms.
LATE_MS = 100


class LoadMonitor:
    """Measures the event loop's lateness and the traffic of messages."""

    def __init__(self, clock: _clock.Clock) -> None:
        self._clock = clock
        self._latest_ms = 0
        self._messages = 0
        self._received_bytes = 0
        self._sent_bytes = 0
        # Totals since the start, for the metrics.
        self.total_received_bytes = 0
        self.total_sent_bytes = 0
        # The greatest lateness in the last full LOG_INTERVAL_MS.
        self.late_ms = 0

    def count_message(self, received_bytes: int, sent_bytes: int) -> None:
        """Count another instance's message and the answer to it."""
        self._messages += 1
        self._received_bytes += received_bytes
        self._sent_bytes += sent_bytes
        self.total_received_bytes += received_bytes
        self.total_sent_bytes += sent_bytes

    async def run(self) -> None:
        """Measure and log, for ever."""
        while True:
            log_at = self._clock.now() + LOG_INTERVAL_MS
            while self._clock.now() < log_at:
                due_at = self._clock.now() + CHECK_INTERVAL_MS
                await self._clock.sleep(CHECK_INTERVAL_MS)
                late_ms = self._clock.now() - due_at
                self._latest_ms = max(self._latest_ms, late_ms)
            self._log()

    def _log(self) -> None:
        """Write a line if there is something to tell, and start anew."""
        if self._messages or self._latest_ms >= LATE_MS:
            _logs.event(
                "instance_load",
                late_ms=self._latest_ms,
                messages=self._messages,
                received_bytes=self._received_bytes,
                sent_bytes=self._sent_bytes,
            )
        self.late_ms, self._latest_ms = self._latest_ms, 0
        self._messages = self._received_bytes = self._sent_bytes = 0
