"""Finds out whether one software version of a service serves alone.

An instance that stood still, or is cut off, may not know of replicas that
joined meanwhile, while others have begun streams there. So what its own list
says counts only once all other instances have confirmed it: whoever began a
stream knew its replica. If some don't answer, the store is read. If it
doesn't answer either, no replica can join as far as most instances can see,
and their agreement counts.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
import itertools
import typing

import anyio

from geraniumlink import _clock
from geraniumlink import _logs
from geraniumlink import _settings
from geraniumlink.hosting import _datagrams
from geraniumlink.residency import _instance_directory
from geraniumlink.serving import _replicas

# How long answers are waited for after each query.
QUERY_WAITS_MS = (50, 100)
# Where there are more other instances, the store is read first: one call costs
# less than a message to each of them.
MAX_ASKED_FIRST = 32


class _Query:
    """A query, and the answers that have arrived."""

    def __init__(self, asked: set[str]) -> None:
        # Addresses of the instances that are asked.
        self.asked = asked
        # Those that haven't answered.
        self.awaited = set(asked)
        # Software versions that some instance has seen.
        self.versions: set[str] = set()
        # Set when no further answer is needed.
        self.ended = anyio.Event()

    @property
    def answered(self) -> int:
        """How many instances have answered."""
        return len(self.asked) - len(self.awaited)

    @property
    def is_agreed_by_most(self) -> bool:
        """Whether most instances have answered; the one that asks counts."""
        return bool(self.asked) and 2 * (self.answered + 1) > (
            len(self.asked) + 1
        )

    def is_decided(self, version: str) -> bool:
        """Whether all have answered, or one knows another version."""
        return bool(self.versions - {version}) or (
            bool(self.asked) and not self.awaited
        )


class VersionSurvey:
    """Asks the other instances, and answers their queries.

    :param refresh: reads the changes of the list of replicas from the store,
        unless that was done since a time; returns whether it answered.
    """

    def __init__(
        self,
        *,
        replicas: _replicas.Replicas,
        directory: _instance_directory.InstanceDirectory,
        datagrams: _datagrams.Datagrams,
        refresh: Callable[[int], Awaitable[bool]],
        clock: _clock.Clock,
    ) -> None:
        self._replicas = replicas
        self._directory = directory
        self._datagrams = datagrams
        self._refresh = refresh
        self._clock = clock
        self._queries: dict[int, _Query] = {}
        self._numbers = itertools.count(1)
        datagrams.add_handler(("versions query", "versions"), self._handle)

    async def find_sole(self, service: str, window_ms: int) -> str | None:
        """Return the only software version that has served in a window.

        None if there were several, or if that isn't known.
        """
        version = self._replicas.sole_version(service, window_ms)
        if version is None:
            return None
        asked_at = self._clock.now()
        others = set(self._directory.others)
        query = _Query(others)
        is_refreshed = None
        if len(others) > MAX_ASKED_FIRST:
            is_refreshed = await self._refresh(asked_at)
        if not is_refreshed:
            await self._ask(query, service, window_ms, version)
        if is_refreshed is None and not query.is_decided(version):
            is_refreshed = await self._refresh(asked_at)
        if query.versions - {version}:
            sole = None
        elif is_refreshed:
            sole = self._replicas.sole_version(service, window_ms)
        else:
            sole = version if query.is_agreed_by_most else None
        _logs.event(
            "versions_surveyed",
            service=service,
            software_version=sole,
            versions=sorted(query.versions | {version}),
            asked=len(query.asked),
            answered=query.answered,
            store_answered=is_refreshed,
            took_ms=self._clock.now() - asked_at,
        )
        return sole

    async def _ask(
        self, query: _Query, service: str, window_ms: int, version: str
    ) -> None:
        """Ask until all have answered, or one knows another version."""
        number = next(self._numbers)
        self._queries[number] = query
        message = ["versions query", number, service, window_ms, version]
        try:
            for wait_ms in QUERY_WAITS_MS:
                if not query.awaited:
                    break
                self._datagrams.send(query.awaited, message)
                with anyio.move_on_after(wait_ms / 1000):
                    await query.ended.wait()
                    break
        finally:
            del self._queries[number]

    def _handle(
        self, message: list[typing.Any], sender: _settings.Address
    ) -> None:
        """Answer another instance's query, or record an answer.

        :raises ValueError: if the message is malformed.
        """
        match message:
            case [
                "versions query",
                int(number),
                str(service),
                int(window_ms),
                str(version),
            ]:
                seen = self._replicas.versions_seen(service, window_ms)
                if seen is None:
                    # What it has seen may still tell of another version.
                    seen = self._replicas.versions_in_service().get(
                        service, set()
                    )
                    if not seen - {version}:
                        return
                self._datagrams.send(
                    [str(sender)], ["versions", number, sorted(seen)]
                )
            case ["versions", int(number), list(versions)]:
                query = self._queries.get(number)
                if query is not None:
                    self._record(query, str(sender), versions)
            case _:
                raise ValueError(f"unknown message: {message!r:.60}")

    def _record(
        self, query: _Query, sender: str, versions: list[typing.Any]
    ) -> None:
        query.versions |= {str(version) for version in versions}
        query.awaited.discard(sender)
        if not query.awaited or len(query.versions) > 1:
            query.ended.set()
