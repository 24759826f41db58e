"""The backend servers that a request keeps to until one like it completed.

Which they are follows from the request alone, so the same request sent
through several instances at once meets two servers at most, should it crash
them. Two choices by hash balance load as two random ones do.
Source: M. Mitzenmacher, "The Power of Two Choices in Randomized Load
Balancing", IEEE TPDS 2001.
"""

from __future__ import annotations

import hashlib

from geraniumlink.backends import _backends

PREFERRED_COUNT = 2
# Homes that have this much more than the mean of own requests are left by
# requests that are known to complete. Source: V. Mirrokni et al.,
# "Consistent Hashing with Bounded Loads", SODA 2018.
LOAD_BOUND = 1.25


def select(
    fingerprint: str,
    holders: list[_backends.Backend],
    recently_completed: bool,
) -> list[_backends.Backend]:
    """Return the homes; none when any server will do.

    Servers that are down are among ``holders`` and count: the request that
    brought one down must not find a third.
    """
    if len(holders) <= PREFERRED_COUNT:
        return []
    ranked = sorted(holders, key=lambda backend: _rank(fingerprint, backend))
    preferred = ranked[:PREFERRED_COUNT]
    if recently_completed and _overloaded(preferred, holders):
        return []
    return preferred


def is_busy(backend: _backends.Backend) -> bool:
    """Whether it runs anything, by own count or by its report."""
    reported = backend.report.in_flight if backend.report else 0
    return bool(backend.in_flight or reported)


def _overloaded(
    preferred: list[_backends.Backend], holders: list[_backends.Backend]
) -> bool:
    mean = sum(backend.in_flight for backend in holders) / len(holders)
    least_loaded = min(backend.in_flight for backend in preferred)
    return least_loaded + 1 > LOAD_BOUND * (mean + 1)


def _rank(fingerprint: str, backend: _backends.Backend) -> bytes:
    """Rendezvous hashing."""
    text = f"{fingerprint}\0{backend.key.replica}"
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
