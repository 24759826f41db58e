"""Virtual time: an event loop that jumps to its next timer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
import selectors
import typing

from geraniumlink import _clock

# 2026-01-01T00:00Z; arbitrary, but the same on every run.
_EPOCH_MS = 1_767_225_600_000


class _Selector(selectors.SelectSelector):
    """Advances virtual time where the loop would wait for input."""

    def __init__(self, advance: Callable[[float], None]) -> None:
        super().__init__()
        self._advance = advance

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError("deadlock: all tasks wait for each other")
        self._advance(max(0.0, timeout))
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop without I/O, whose time advances from timer to timer."""

    def __init__(self) -> None:
        self._now_s = 0.0
        super().__init__(_Selector(self._advance))

    def time(self) -> float:
        return self._now_s

    def _advance(self, seconds: float) -> None:
        self._now_s += seconds


class VirtualClock(_clock.Clock):
    """The clock of a virtual loop; all instances share it."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    def now(self) -> int:
        # Rounded, as the loop calls timers early by up to its resolution.
        return round(self._loop.time() * 1000)

    def since_boot(self) -> int:
        return self.now()

    def wall(self) -> int:
        return _EPOCH_MS + self.now()


_T = typing.TypeVar("_T")


def run(
    main: Callable[[VirtualClock], Coroutine[typing.Any, typing.Any, _T]],
) -> _T:
    """Run a coroutine to its end in virtual time."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(main(VirtualClock(loop)))
    finally:
        loop.close()
