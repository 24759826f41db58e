"""Bounds what a process keeps of the objects of one kind in the store.

Any process may write to the store, and the value of an object takes up to 25
times its size once it is decoded. So of each object only the part that its
reader uses is kept, and nothing of one that the reader refuses. What all
objects of a kind hold together has a limit, too. Above it the largest are
left out, those that aren't wanted first: what belongs there is small.
"""

from __future__ import annotations

from collections.abc import Callable
import typing

import orjson

from geraniumlink import _objects

# Memory that an object is counted with: its record in the process, and a
# multiple of its value as JSON.
OBJECT_BYTES = 4096
_BYTES_PER_JSON_BYTE = 16
# Limit of what the objects of a kind hold, as a share of the machine's memory,
# and where that isn't known.
MAX_MEMORY_SHARE = 0.125
DEFAULT_MAX_BYTES = 32 * 2**20


class Selection(typing.NamedTuple):
    """Objects of one kind that are kept together."""

    kept: list[_objects.Object]
    left_out: list[_objects.Object]
    # Memory that those kept are counted with.
    held_bytes: int


def max_bytes_for(memory_mb: int | None) -> int:
    """Return the limit for a machine; None if its memory isn't known."""
    if memory_mb is None:
        return DEFAULT_MAX_BYTES
    return int(MAX_MEMORY_SHARE * memory_mb * 2**20)


class ObjectFilter:
    """Decides what is kept of the objects of one kind.

    :param reduce: returns what is kept of an object's value; None if nothing
        is. Its result must be reduced to itself.
    :param is_wanted: whether an object is of use now.
    :param max_bytes: limit of the memory that they are counted with together;
        None if there is none.
    """

    def __init__(
        self,
        reduce: Callable[[_objects.Object], typing.Any],
        *,
        is_wanted: Callable[[_objects.Object], bool] = lambda _: True,
        max_bytes: int | None = None,
    ) -> None:
        self._reduce = reduce
        self._is_wanted = is_wanted
        self._max_bytes = max_bytes

    def reduce(self, item: _objects.Object) -> _objects.Object:
        """Return what is kept of an object; with value None if nothing is."""
        if item.value is None:
            return item
        return item._replace(value=self._reduce(item))

    def measure(self, item: _objects.Object) -> int:
        """Return the memory in bytes that a reduced object is counted with.

        That is 0 if there is no limit.
        """
        if self._max_bytes is None:
            return 0
        json_bytes = len(orjson.dumps(item.value))
        return OBJECT_BYTES + _BYTES_PER_JSON_BYTE * json_bytes

    def select(self, objects: list[_objects.Object]) -> Selection:
        """Return which objects are kept, in their order."""
        sizes = [self.measure(item) for item in objects]
        held_bytes = sum(sizes)
        if not self.is_over_limit(held_bytes):
            return Selection(objects, [], held_bytes)
        order = sorted(
            range(len(objects)),
            key=lambda n: (not self._is_wanted(objects[n]), sizes[n]),
        )
        kept, held_bytes = set(), 0
        for n in order:
            if self.is_over_limit(held_bytes + sizes[n]):
                continue
            kept.add(n)
            held_bytes += sizes[n]
        return Selection(
            [item for n, item in enumerate(objects) if n in kept],
            [item for n, item in enumerate(objects) if n not in kept],
            held_bytes,
        )

    def is_over_limit(self, held_bytes: int) -> bool:
        """Whether objects that are counted with so much exceed the limit."""
        return self._max_bytes is not None and held_bytes > self._max_bytes


# Keeps everything.
KEEP_ALL = ObjectFilter(lambda item: item.value)
