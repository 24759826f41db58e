"""The supervisor tree's one building block, on anyio task groups.

A child that fails is started again after an exponential delay. A child that
is critical takes its supervisor down instead, so that the platform replaces
the instance. ``_instance.py`` shows the tree.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
import enum
import typing

import anyio

from geraniumlink import _clock
from geraniumlink import _logs

FIRST_DELAY_MS = 100
LONGEST_DELAY_MS = 10_000
# A child that ran this long is taken to have been well.
WELL_AFTER_MS = 30_000


class Restart(enum.Enum):
    """What a failure of a child does."""

    ALWAYS = "start it again"
    NEVER = "fail the supervisor"


class Child(typing.NamedTuple):
    """A named task under supervision."""

    name: str
    run: Callable[[], Awaitable[None]]
    restart: Restart = Restart.ALWAYS


async def supervise(children: list[Child], clock: _clock.Clock) -> None:
    """Run the children until cancelled or until a critical one fails."""
    async with anyio.create_task_group() as group:
        for child in children:
            group.start_soon(_run, child, clock, name=child.name)


async def _run(child: Child, clock: _clock.Clock) -> None:
    delay_ms = FIRST_DELAY_MS
    while True:
        started = clock.now()
        try:
            await child.run()
            return
        except Exception as error:
            _logs.event("child_failed", child=child.name, error=repr(error))
            if child.restart is Restart.NEVER:
                raise
        if clock.now() - started > WELL_AFTER_MS:
            delay_ms = FIRST_DELAY_MS
        await clock.sleep(delay_ms)
        delay_ms = min(2 * delay_ms, LONGEST_DELAY_MS)
