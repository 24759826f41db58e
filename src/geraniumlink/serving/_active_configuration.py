"""The configuration in force at this instance, and its route table."""

from __future__ import annotations

import collections

from geraniumlink import _logs
from geraniumlink.serving import _types


class ActiveConfiguration:
    """Holds the newest configuration that this instance has seen."""

    def __init__(self) -> None:
        self._current: _types.Configuration | None = None
        # Routes by host, those with the longest path prefix first.
        self._by_host: dict[str, list[_types.Route]] = {}

    @property
    def current(self) -> _types.Configuration | None:
        """The configuration in force; None before the first."""
        return self._current

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 before the first."""
        return self._current.version if self._current else 0

    def apply_if_newer(self, configuration: _types.Configuration) -> bool:
        """Put a configuration in force if its version is newer.

        :returns: whether it was.
        """
        known = self._current
        if known is not None and configuration.version <= known.version:
            return False
        by_host = collections.defaultdict(list)
        for route in configuration.routes:
            by_host[route.host].append(route)
        for routes in by_host.values():
            routes.sort(key=lambda route: -len(route.path_prefix))
        self._by_host = dict(by_host)
        self._current = configuration
        _logs.event(
            "configuration_in_force",
            version=configuration.version,
            previous_version=known.version if known else None,
            routes=len(configuration.routes),
        )
        return True

    def find_route(self, host: str, target: bytes) -> _types.Route | None:
        """Return the host's route with the longest prefix of the path.

        :param target: the path and query of a request.
        """
        path = target.partition(b"?")[0].decode("latin-1")
        for route in self._by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_service(self, name: str) -> _types.Service | None:
        """Return the declared service; None if there is none."""
        if self._current is None:
            return None
        return self._current.services.get(name)
