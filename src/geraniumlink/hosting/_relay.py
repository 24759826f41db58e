"""Relays changes in the store from the controller to other instances.

The changes are part of the responses to the other instances' demand reports.
Each copy begins with a whole list of its controller: a revision doesn't tell
whether two copies are of one history of the store.
Most instances lack the same changes, so these are encoded and compressed
once.
"""

from __future__ import annotations

import base64
import typing
import uuid
import zlib

import orjson

from geraniumlink import _logs
from geraniumlink import _objects
from geraniumlink.hosting import _object_watcher

# Limit on the changes of one kind in one message, when decompressed.
MAX_CHANGES_BYTES = 16 * 2**20
# When the changes of one kind are larger than this after compression, values
# above the second limit are left out. With base64 it leaves room in a message
# (_http.MAX_BODY_BYTES); an entry of a replica is far smaller than a value
# that is left out, and a configuration with 10,000 accounts fits.
_MAX_COMPLETE_BYTES = 3 * 2**19
_MAX_VALUE_BYTES = 2**16
# Changes are encoded once for many instances, so a high level pays off.
_COMPRESSION_LEVEL = 6
# Encoded changes that are kept for reuse, for each kind.
_MAX_ENCODED = 32
_MAX_ENCODED_BYTES = 4 * 2**20


class Relay:
    """Encodes and applies the watched objects' changes in messages."""

    def __init__(self, watchers: list[_object_watcher.ObjectWatcher]) -> None:
        self._watchers = {watcher.kind: watcher for watcher in watchers}
        self._encoders = {
            kind: _ChangesEncoder(watcher)
            for kind, watcher in self._watchers.items()
        }
        self._process = uuid.uuid4().hex
        # By kind, the source of the whole list with which the copy began.
        self._sources: dict[str, str] = {}

    def known_revisions(self) -> dict[str, typing.Any]:
        """Return the revision of each kind up to which all is known.

        Also returns, as "sources", where each copy came from.
        """
        return {
            **{kind: copy.revision for kind, copy in self._watchers.items()},
            "sources": self._sources,
        }

    def encode_changes(self, known: dict[str, typing.Any]) -> dict[str, str]:
        """Return the changes after the revisions that an instance knows.

        They are text, by kind of object; empty if that revision is the last.
        They are whole lists, and their source is stated, unless its copy
        came from here. Instances of older builds don't state sources.
        """
        source = self._own_source()
        sources = known.get("sources")
        encoded = {}
        for kind, encoder in self._encoders.items():
            revision = int(known.get(kind, 0))
            if isinstance(sources, dict) and sources.get(kind) != source:
                revision = 0
            encoded[kind] = encoder.encode_since(revision)
        if isinstance(sources, dict):
            encoded["source"] = source
        return encoded

    def _own_source(self) -> str:
        """Return what stands for this process's copies of one history."""
        histories = [
            watcher.position.history for watcher in self._watchers.values()
        ]
        return f"{self._process}.{max(histories, default=0)}"

    def confirmed_ages_ms(self) -> dict[str, int | None]:
        """Return how old the changes are that are encoded now, by kind."""
        return {
            kind: watcher.confirmed_age_ms
            for kind, watcher in self._watchers.items()
        }

    def apply_changes(
        self,
        encoded: typing.Any,
        ages_ms: typing.Any = None,
        sent_at: int = 0,
    ) -> None:
        """Apply another instance's ``encode_changes``.

        A kind whose changes are malformed is left out, and the error is
        logged.

        :param ages_ms: its ``confirmed_ages_ms``; instances of older builds
            don't send them, and then nothing is confirmed.
        :param sent_at: time since boot at which the changes were asked for.
        """
        for kind, watcher in self._watchers.items():
            try:
                text = encoded[kind]
                changes = (
                    _decode(kind, text)
                    if text
                    else _object_watcher.Changes(watcher.revision, False, [])
                )
            except (KeyError, TypeError, ValueError) as error:
                _logs.event("bad_relay", error=repr(error))
                continue
            source = encoded.get("source")
            # Controllers of older builds state no source.
            if source is None:
                self._sources.pop(kind, None)
            elif not (
                changes.is_snapshot or source == self._sources.get(kind)
            ):
                continue
            is_applied = watcher.apply_relayed(
                changes, _confirmed_as_of(kind, ages_ms, sent_at)
            )
            if is_applied and isinstance(source, str):
                self._sources[kind] = source


class _ChangesEncoder:
    """Encodes the changes of one watcher's objects, each only once."""

    def __init__(self, watcher: _object_watcher.ObjectWatcher) -> None:
        self._watcher = watcher
        # By the revision after which they are; all end at _position.
        self._encoded: dict[int, str] = {}
        self._position = watcher.position

    def encode_since(self, revision: int) -> str:
        """Return the changes after a revision; empty if it is the last."""
        is_whole_list = self._watcher.is_history_new
        if is_whole_list:
            # The revision may be one of an earlier history.
            revision = 0
        if revision and revision == self._watcher.revision:
            return ""
        if (
            self._position != self._watcher.position
            or len(self._encoded) >= _MAX_ENCODED
            or sum(map(len, self._encoded.values())) > _MAX_ENCODED_BYTES
        ):
            self._encoded.clear()
            self._position = self._watcher.position
        if revision not in self._encoded:
            changes = self._watcher.changes_since(revision)
            self._encoded[revision] = _encode(changes)
        return self._encoded[revision]


def _encode(changes: _object_watcher.Changes) -> str:
    rows = [[item.name, item.version, item.value] for item in changes.objects]
    message = [changes.revision, changes.is_snapshot, rows]
    try:
        data = orjson.dumps(message)
    except orjson.JSONEncodeError:
        message[-1] = [_reduced_row(row, MAX_CHANGES_BYTES) for row in rows]
        data = orjson.dumps(message)
    compressed = b""
    if len(data) <= MAX_CHANGES_BYTES:
        compressed = zlib.compress(data, _COMPRESSION_LEVEL)
    if not 0 < len(compressed) <= _MAX_COMPLETE_BYTES:
        message[-1] = [_reduced_row(row, _MAX_VALUE_BYTES) for row in rows]
        compressed = zlib.compress(orjson.dumps(message), _COMPRESSION_LEVEL)
    return base64.b64encode(compressed).decode()


def _reduced_row(row: list[typing.Any], max_bytes: int) -> list[typing.Any]:
    """Return a row, with an empty value if it can't be sent.

    That is one which can't be encoded or takes more than ``max_bytes``.
    """
    try:
        # Within a message it has two more levels.
        if len(orjson.dumps([[row]])) <= max_bytes:
            return row
    except orjson.JSONEncodeError:
        pass
    name, version, _ = row
    return [name, version, {}]


def _decode(kind: str, text: str) -> _object_watcher.Changes:
    """Decode changes.

    :raises ValueError: if they are malformed or too large.
    """
    try:
        data = zlib.decompressobj().decompress(
            base64.b64decode(text), MAX_CHANGES_BYTES
        )
    except zlib.error as error:
        raise ValueError(f"not compressed changes: {error}") from error
    revision, is_snapshot, rows = orjson.loads(data)
    objects = []
    for row in rows:
        match row:
            case [str(name), int(version), value]:
                objects.append(_objects.Object(kind, name, version, value))
            case _:
                # Not quoted: the configuration has keys.
                reason = f"invalid row: {type(row).__name__}"
                _logs.event("bad_relay", error=reason)
    return _object_watcher.Changes(int(revision), bool(is_snapshot), objects)


def _confirmed_as_of(
    kind: str, ages_ms: typing.Any, sent_at: int
) -> int | None:
    """Return the time as of which changes are complete, if it is known.

    The other instance stated their age after ``sent_at``.
    """
    age_ms = ages_ms.get(kind) if isinstance(ages_ms, dict) else None
    if type(age_ms) is not int or age_ms < 0:
        return None
    return sent_at - age_ms
