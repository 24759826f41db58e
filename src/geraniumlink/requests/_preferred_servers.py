"""Selects the preferred servers of a request by its fingerprint.

A request is sent to these as long as no request with the same fingerprint
has completed. They depend only on the fingerprint, so a request that crashes
servers and is sent through several instances at once reaches two servers at
most. Two choices by hash balance load like two random choices.
Source: M. Mitzenmacher, "The Power of Two Choices in Randomized Load
Balancing", IEEE TPDS 2001.
"""

from __future__ import annotations

import hashlib

from geraniumlink.backends import _backends

PREFERRED_COUNT = 2
# A request whose like has recently completed may use any server when each
# preferred one would have, with it, more than this multiple of (mean + 1)
# requests of this instance in flight. Source: V. Mirrokni et al.,
# "Consistent Hashing with Bounded Loads", SODA 2018.
LOAD_BOUND = 1.25


def select(
    fingerprint: str,
    with_model: list[_backends.Backend],
    recently_completed: bool,
) -> list[_backends.Backend]:
    """Return the preferred servers, or none when any server may be used.

    ``with_model`` must include unreachable servers: if these were left out,
    the request that crashed a preferred server would get a third one.
    """
    if len(with_model) <= PREFERRED_COUNT:
        return []
    ranked = sorted(
        with_model, key=lambda backend: _rank(fingerprint, backend)
    )
    preferred = ranked[:PREFERRED_COUNT]
    if recently_completed and _overloaded(preferred, with_model):
        return []
    return preferred


def is_busy(backend: _backends.Backend) -> bool:
    """Whether it has requests, by this instance's count or its report."""
    reported = backend.report.in_flight if backend.report else 0
    return bool(backend.in_flight or reported)


def _overloaded(
    preferred: list[_backends.Backend], with_model: list[_backends.Backend]
) -> bool:
    """Whether even the less loaded preferred server exceeds the bound."""
    mean = sum(backend.in_flight for backend in with_model) / len(with_model)
    least_loaded = min(backend.in_flight for backend in preferred)
    return least_loaded + 1 > LOAD_BOUND * (mean + 1)


def _rank(fingerprint: str, backend: _backends.Backend) -> bytes:
    """Return the sort key for rendezvous hashing; the lowest is preferred."""
    text = f"{fingerprint}\0{backend.key.replica}"
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
