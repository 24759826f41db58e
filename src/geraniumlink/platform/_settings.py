"""Decodes the settings file that the platform writes for each process."""

from __future__ import annotations

import math
import pathlib
import re
import typing

import orjson

from geraniumlink import _connection_limits
from geraniumlink import _findings
from geraniumlink import _settings
from geraniumlink.platform import _fields

# Name of the environment variable that holds the path of the settings file.
SETTINGS_PATH_VARIABLE = "GERANIUMLINK_NODE_FILE"
_MAX_PORT = 65_535
# Used where the file doesn't state them.
_QUOTA_WINDOW_S = 8
_QUOTA_OVERSHOOT = 0.1
# Bound on the use of removed keys where it is asked for without a number.
DEFAULT_REVOCATION_BOUND_MS = 5000


class NodeSettings(typing.NamedTuple):
    """The identity, addresses and limits that the platform gives a process.

    Most fields have another name in the file; ``read_settings`` maps them.
    """

    # Unique name of the instance, kept over restarts of its process.
    instance: str
    data_centre: str
    # Listens for clients.
    client_address: _settings.Address
    # Answers readiness checks.
    readiness_address: _settings.Address
    # Listens for other instances.
    peer_address: _settings.Address
    # The platform's metadata store, a server that this process calls.
    store_address: _settings.Address
    # Time from SIGTERM, when this process starts to shut down, to SIGKILL.
    grace_ms: int
    # Time after which a replica that is known to be leaving must get no new
    # requests.
    leaving_bound_ms: int
    # Least time between the last order of one leader to a replica and the
    # first of its successor; called lease_ms in the file.
    handover_gap_ms: int
    # Retries of a service in a window: at most retry_ratio times its requests
    # in that window, plus retry_constant.
    retry_ratio: float
    retry_window_ms: int
    retry_constant: int
    # Rate of this machine's network link; None if it isn't stated.
    link_mbit_per_s: float | None
    # No request runs that was sent longer than this after its key was removed;
    # None if that isn't asked for.
    revocation_bound_ms: int | None
    # Time from the store's acknowledgement of a configuration until no request
    # is handled by an older one; None if it isn't stated.
    configuration_bound_ms: int | None
    # Memory of this machine in MiB, and descriptors that this process may
    # have; None if they aren't stated.
    memory_mb: int | None
    max_descriptors: int | None
    # Whether the whole system starts for the first time; called bootstrap.
    is_first_start: bool
    # In each window, the use of a quota by all instances exceeds what the
    # quota allows by at most quota_overshoot times that, plus quota_slack.
    quota_window_ms: int
    quota_overshoot: float
    quota_slack: float


def read_settings(path: pathlib.Path) -> NodeSettings:
    """Read the settings file; unknown fields are ignored.

    :raises _fields.FormatError: if the file is not JSON, or any field is
        missing or invalid; the message has a line for each such field, with
        its line number in the file.
    :raises OSError: if the file can't be read.
    """
    data = path.read_bytes()
    try:
        message = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise _fields.FormatError(
            f"{path}:{error.lineno}: not JSON: {error.msg}"
        ) from error
    reader = _Reader(path, data.decode(), message)
    settings = NodeSettings(
        instance=reader.read("", "node_name", _fields.string),
        data_centre=reader.read("", "zone", _fields.string),
        client_address=reader.read("listen", "front", _fields.address),
        readiness_address=reader.read("listen", "ready", _fields.address),
        peer_address=_settings.Address(
            reader.read("", "ip", _fields.string),
            reader.read("", "internal_ports", _first_port),
        ),
        store_address=reader.read("platform", "address", _fields.address),
        grace_ms=reader.read("bounds", "grace_s", _floor_ms),
        leaving_bound_ms=reader.read("bounds", "drain_ms", _fields.floor),
        handover_gap_ms=reader.read("bounds", "lease_ms", _fields.ceiling),
        retry_ratio=reader.read("bounds", "retry_ratio", _fields.number),
        retry_window_ms=reader.read("bounds", "retry_window_s", _ceiling_ms),
        retry_constant=reader.read("bounds", "retry_slack", _fields.floor),
        link_mbit_per_s=reader.read("", "limits", _link_rate),
        revocation_bound_ms=reader.read("", "bounds", _revocation_bound),
        configuration_bound_ms=reader.read("", "bounds", _configuration_bound),
        memory_mb=reader.read("", "limits", _memory_mb),
        max_descriptors=reader.read("", "limits", _max_descriptors),
        is_first_start=reader.read("", "bootstrap", _flag),
        quota_window_ms=reader.read("bounds", "quota_window_s", _quota_window),
        quota_overshoot=reader.read(
            "bounds", "quota_overshoot", _quota_overshoot
        ),
        quota_slack=reader.read("bounds", "quota_slack", _quota_slack),
    )
    if not reader.findings:
        _check_ports(reader, settings)
    if reader.findings:
        raise _fields.FormatError(str(reader.findings))
    return settings


class _Reader:
    """Reads fields one by one and collects the errors of all of them."""

    def __init__(
        self, path: pathlib.Path, text: str, message: typing.Any
    ) -> None:
        self.findings = _findings.Findings()
        self._path = path
        self._text = text
        self._message = message

    def read(
        self,
        section: str,
        name: str,
        decode_field: typing.Callable[[typing.Any, str], typing.Any],
    ) -> typing.Any:
        """Return the field ``name`` of ``section``, or of the root if empty.

        ``decode_field`` gets the object and the field's name. If it raises
        ``FormatError``, that is added to ``findings`` and None is returned;
        the caller must check ``findings`` before it uses any value.
        """
        try:
            message = self._message
            if section:
                message = _fields.mapping(message, section)
            return decode_field(message, name)
        except _fields.FormatError as error:
            self.report(section, name, str(error))
            return None

    def report(self, section: str, name: str, error: str) -> None:
        """Add an error of a field to ``findings``."""
        field = f"{section}.{name}" if section else name
        place = f"{self._path}:{self._line_of(section, name)}: {field}"
        self.findings.add(place, error)

    def _line_of(self, section: str, name: str) -> int:
        """Return the line number of a field.

        For a missing field, it is that of its section; without a section, 1.
        """
        position = 0
        for key in filter(None, (section, name)):
            # The first match after the section's key is the right one, since
            # no two sections of the file have a field of the same name.
            found = re.search(rf'"{key}"\s*:', self._text[position:])
            if found is None:
                break
            position += found.start()
        return self._text.count("\n", 0, position) + 1


def _check_ports(reader: _Reader, settings: NodeSettings) -> None:
    """Report listeners with one port, also on different addresses.

    A request is served by the port on which it arrived.
    """
    used: dict[int, str] = {}
    for section, name, address in (
        ("", "internal_ports", settings.peer_address),
        ("listen", "front", settings.client_address),
        ("listen", "ready", settings.readiness_address),
    ):
        other = used.setdefault(address.port, name)
        if other != name:
            reader.report(section, name, f"{name} has the port of {other}")


def _first_port(message: typing.Any, name: str) -> int:
    """Return the first of the ports for traffic between instances."""
    ports = _fields.array(message, name)
    try:
        port = _fields.integer({name: ports[0]}, name)
    except (IndexError, _fields.FormatError):
        port = 0
    if not 0 < port <= _MAX_PORT:
        raise _fields.FormatError(
            f"{name} is {ports!r:.60}, not a list of port numbers"
        )
    return port


def _revocation_bound(message: typing.Any, name: str) -> int | None:
    """Return the bound on the use of removed keys, if it is asked for."""
    bounds = _fields.mapping(message, name)
    if bounds.get("strict_revoke") is None:
        return None
    if not _fields.boolean(bounds, "strict_revoke"):
        return None
    return _fields.floor(bounds, "revoke_ms", DEFAULT_REVOCATION_BOUND_MS)


def _configuration_bound(message: typing.Any, name: str) -> int | None:
    """Return the bound on the use of older configurations, if stated."""
    bounds = _fields.mapping(message, name)
    if bounds.get("config_apply_ms") is None:
        return None
    return _fields.floor(bounds, "config_apply_ms")


def _link_rate(message: typing.Any, name: str) -> float | None:
    """Return the link's rate in the limits of the machine, if stated."""
    if name not in message:
        return None
    limits = _fields.mapping(message, name)
    if limits.get("link_mbps") is None:
        return None
    return float(_fields.number(limits, "link_mbps"))


def _memory_mb(message: typing.Any, name: str) -> int | None:
    """Return the machine's memory, if stated."""
    return _limit(message, name, "memory_mb", _connection_limits.MIN_MEMORY_MB)


def _max_descriptors(message: typing.Any, name: str) -> int | None:
    """Return the number of descriptors a process may have, if stated."""
    return _limit(message, name, "max_fds", _connection_limits.MIN_DESCRIPTORS)


def _limit(
    message: typing.Any, name: str, field: str, lowest: int
) -> int | None:
    """Return a limit of the machine, rounded down; None if not stated."""
    if name not in message:
        return None
    limits = _fields.mapping(message, name)
    if limits.get(field) is None:
        return None
    value = _fields.floor(limits, field)
    if value < lowest:
        raise _fields.FormatError(
            f"{field} is {value}, but at least {lowest} are needed"
        )
    return value


def _flag(message: typing.Any, name: str) -> bool:
    """Return whether a flag is set; one that is missing is not."""
    return _fields.boolean(message, name, False)


def _quota_window(message: typing.Any, name: str) -> int:
    """Return the window of quotas in ms, rounded up; above 0."""
    seconds = _fields.number(message, name, _QUOTA_WINDOW_S)
    if not seconds:
        raise _fields.FormatError(f"{name} is 0")
    return math.ceil(1000 * seconds)


def _quota_overshoot(message: typing.Any, name: str) -> float:
    return float(_fields.number(message, name, _QUOTA_OVERSHOOT))


def _quota_slack(message: typing.Any, name: str) -> float:
    return float(_fields.number(message, name, 0))


def _floor_ms(message: typing.Any, name: str) -> int:
    """Return a field in seconds as whole milliseconds, rounded down."""
    return math.floor(1000 * _fields.number(message, name))


def _ceiling_ms(message: typing.Any, name: str) -> int:
    """Return a field in seconds as whole milliseconds, rounded up."""
    return math.ceil(1000 * _fields.number(message, name))
