"""Supervision of an instance's tasks, on anyio task groups.

A task that fails is restarted with exponential backoff. The failure of a
critical task (``Restart.NEVER``) ends its supervisor instead, so that the
platform replaces the instance. ``_instance.py`` lists the tasks.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
import enum
import typing

import anyio

from geraniumlink import _clock
from geraniumlink import _logs

INITIAL_BACKOFF_MS = 100
MAX_BACKOFF_MS = 10_000
# The backoff starts anew after a task that ran for longer than this.
BACKOFF_RESET_MS = 30_000


class Restart(enum.Enum):
    """What happens when a task fails."""

    ALWAYS = "start it again"
    NEVER = "fail the supervisor"


class Child(typing.NamedTuple):
    """A supervised task; log lines of its failures have its name."""

    name: str
    run: Callable[[], Awaitable[None]]
    restart: Restart = Restart.ALWAYS


async def supervise(children: list[Child], clock: _clock.Clock) -> None:
    """Run all tasks until cancelled or until a critical one fails."""
    async with anyio.create_task_group() as group:
        for child in children:
            group.start_soon(_run_with_restarts, child, clock, name=child.name)


async def _run_with_restarts(child: Child, clock: _clock.Clock) -> None:
    """Run a task, restarting it after failures, until it returns."""
    delay_ms = INITIAL_BACKOFF_MS
    while True:
        started_at = clock.now()
        try:
            await child.run()
            return
        except Exception as error:
            _logs.event("child_failed", child=child.name, error=repr(error))
            if child.restart is Restart.NEVER:
                raise
        if clock.now() - started_at > BACKOFF_RESET_MS:
            delay_ms = INITIAL_BACKOFF_MS
        await clock.sleep(delay_ms)
        delay_ms = min(2 * delay_ms, MAX_BACKOFF_MS)
