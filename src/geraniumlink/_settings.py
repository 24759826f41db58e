"""An instance's own settings, read from an INI file and checked whole."""

from __future__ import annotations

from collections.abc import Callable
import configparser
import ipaddress
import pathlib
import typing

import expression

from geraniumlink import _findings


class Address(typing.NamedTuple):
    """An IP number and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        if ":" in self.host:
            return f"[{self.host}]:{self.port}"
        return f"{self.host}:{self.port}"


class Settings(typing.NamedTuple):
    """What one instance is told; docs/operators.md describes each."""

    name: str
    data_centre: str
    address: Address
    peer_address: Address
    object_api: Address
    instance_list: Address
    max_requests: int
    max_request_bytes: int
    drain_lag_ms: int
    lease_ms: int
    heartbeat_ms: int
    report_ms: int
    isolation_ms: int
    replicas_per_service: int
    log_file: str


class _Option(typing.NamedTuple):
    section: str
    key: str
    parse: Callable[[str], typing.Any]
    default: str | None = None


def parse_address(text: str) -> Address:
    """Read ``IP:PORT``.

    :raises ValueError: with what to write instead.
    """
    host, colon, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    if not colon or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f"{text!r} is not IP:PORT, such as 10.0.0.7:7001")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise ValueError(
            f"{host!r} is not an IP number; host names are not looked up"
        ) from None
    return Address(host, int(port))


def _name(text: str) -> str:
    allowed = text.replace("-", "").replace(".", "").isalnum()
    if not allowed or not text.isascii() or len(text) > 63:
        raise ValueError(
            f"{text!r} is not a name: write 1 to 63 of a-z A-Z 0-9 - ."
        )
    return text


def _between(low: int, high: int) -> Callable[[str], int]:
    def parse(text: str) -> int:
        if not text.isdecimal() or not low <= int(text) <= high:
            raise ValueError(
                f"{text!r} is not a whole number from {low} to {high}"
            )
        return int(text)

    return parse


_OPTIONS = (
    _Option("instance", "name", _name),
    _Option("instance", "data_centre", _name),
    _Option("instance", "address", parse_address),
    _Option("instance", "peer_address", parse_address),
    _Option("instance", "log_file", str, "-"),
    _Option("platform", "object_api", parse_address),
    _Option("platform", "instance_list", parse_address),
    _Option("limits", "max_requests", _between(1, 100_000), "1000"),
    _Option("limits", "max_request_bytes", _between(1024, 2**24), str(2**21)),
    _Option("limits", "replicas_per_service", _between(1, 64), "16"),
    _Option("timing", "drain_lag_ms", _between(0, 600_000), "5000"),
    _Option("timing", "lease_ms", _between(500, 600_000), "10000"),
    _Option("timing", "heartbeat_ms", _between(100, 60_000), "1000"),
    _Option("timing", "isolation_ms", _between(0, 3_600_000), "30000"),
    _Option("timing", "report_ms", _between(50, 60_000), "1000"),
)


def read(
    path: pathlib.Path,
) -> expression.Result[Settings, _findings.Findings]:
    """Read and check a settings file; report every fault of it at once."""
    findings = _findings.Findings()
    parser = configparser.ConfigParser(interpolation=None)
    try:
        text = path.read_text(encoding="utf-8")
        parser.read_string(text, source=str(path))
    except (OSError, UnicodeDecodeError) as error:
        findings.add(str(path), f"can't be read: {error}")
        return expression.Error(findings)
    except configparser.Error as error:
        line = getattr(error, "lineno", None)
        place = f"{path}:{line}" if line else str(path)
        findings.add(place, error.message.replace("\n", " "))
        return expression.Error(findings)
    lines = _line_numbers(text)
    values = _parse_options(parser, path, lines, findings)
    _find_unknown(parser, path, lines, findings)
    if findings:
        return expression.Error(findings)
    return expression.Ok(Settings(**values))


def _parse_options(
    parser: configparser.ConfigParser,
    path: pathlib.Path,
    lines: dict[tuple[str, str], int],
    findings: _findings.Findings,
) -> dict[str, typing.Any]:
    values = {}
    for option in _OPTIONS:
        text = parser.get(option.section, option.key, fallback=option.default)
        if text is None:
            findings.add(
                str(path), f"[{option.section}] {option.key} is missing"
            )
            continue
        try:
            values[option.key] = option.parse(text.strip())
        except ValueError as error:
            line = lines.get((option.section, option.key), 0)
            findings.add(f"{path}:{line}", f"{option.key}: {error}")
    return values


def _find_unknown(
    parser: configparser.ConfigParser,
    path: pathlib.Path,
    lines: dict[tuple[str, str], int],
    findings: _findings.Findings,
) -> None:
    known = {(option.section, option.key) for option in _OPTIONS}
    sections = sorted({section for section, _ in known})
    for section in parser.sections():
        for key in parser[section]:
            if (section, key) in known:
                continue
            line = lines.get((section, key), 0)
            findings.add(
                f"{path}:{line}",
                f"[{section}] {key} is not a setting; sections are"
                f" {', '.join(sections)}",
            )


def _line_numbers(text: str) -> dict[tuple[str, str], int]:
    """Return the line of each key; configparser doesn't keep it."""
    found: dict[tuple[str, str], int] = {}
    section = ""
    for number, line in enumerate(text.splitlines(), start=1):
        stripped = line.strip()
        if stripped.startswith("["):
            section = stripped.strip("[]")
        elif "=" in stripped and not stripped.startswith(("#", ";")):
            key = stripped.split("=", 1)[0].strip().lower()
            found.setdefault((section, key), number)
    return found
