"""Settings of one instance, read from an INI file and validated."""

from __future__ import annotations

from collections.abc import Callable
import configparser
import ipaddress
import pathlib
import typing

from geraniumlink import _findings

if typing.TYPE_CHECKING:
    import expression


class Address(typing.NamedTuple):
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        if ":" in self.host:
            return f"[{self.host}]:{self.port}"
        return f"{self.host}:{self.port}"


class Settings(typing.NamedTuple):
    """Settings of one instance; docs/operators.md describes each."""

    name: str
    data_centre: str
    address: Address
    peer_address: Address
    object_api: Address
    instance_list: Address
    max_requests: int
    max_request_bytes: int
    max_connections: int
    max_received_mb: int
    drain_lag_ms: int
    lease_ms: int
    heartbeat_ms: int
    report_ms: int
    isolation_ms: int
    replicas_per_service: int
    log_file: str


class _Option(typing.NamedTuple):
    """A key of the file; ``default`` is None if the key is required."""

    section: str
    key: str
    parse: Callable[[str], typing.Any]
    default: str | None = None


def parse_address(text: str) -> Address:
    """Parse ``IP:PORT``; an IPv6 address may be in brackets.

    :raises ValueError: saying what is expected.
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


def _parse_name(text: str) -> str:
    """Return a valid name of an instance or a data centre.

    :raises ValueError: saying which characters are allowed.
    """
    allowed = text.replace("-", "").replace(".", "").isalnum()
    if not allowed or not text.isascii() or len(text) > 63:
        raise ValueError(
            f"{text!r} is not a name: write 1 to 63 of a-z A-Z 0-9 - ."
        )
    return text


def _whole_number_parser(low: int, high: int) -> Callable[[str], int]:
    """Return a parser of whole numbers from ``low`` to ``high``."""

    def parse(text: str) -> int:
        if not text.isdecimal() or not low <= int(text) <= high:
            raise ValueError(
                f"{text!r} is not a whole number from {low} to {high}"
            )
        return int(text)

    return parse


_OPTIONS = (
    _Option("instance", "name", _parse_name),
    _Option("instance", "data_centre", _parse_name),
    _Option("instance", "address", parse_address),
    _Option("instance", "peer_address", parse_address),
    _Option("instance", "log_file", str, "-"),
    _Option("platform", "object_api", parse_address),
    _Option("platform", "instance_list", parse_address),
    _Option(
        "limits", "max_requests", _whole_number_parser(1, 100_000), "1000"
    ),
    _Option(
        "limits",
        "max_request_bytes",
        _whole_number_parser(1024, 2**24),
        str(2**21),
    ),
    _Option(
        "limits", "max_connections", _whole_number_parser(0, 100_000), "0"
    ),
    _Option(
        "limits", "max_received_mb", _whole_number_parser(16, 65_536), "20"
    ),
    _Option(
        "limits", "replicas_per_service", _whole_number_parser(1, 64), "16"
    ),
    _Option(
        "timing", "drain_lag_ms", _whole_number_parser(0, 600_000), "5000"
    ),
    _Option("timing", "lease_ms", _whole_number_parser(500, 600_000), "10000"),
    _Option(
        "timing", "heartbeat_ms", _whole_number_parser(100, 60_000), "1000"
    ),
    _Option(
        "timing", "isolation_ms", _whole_number_parser(0, 3_600_000), "30000"
    ),
    _Option("timing", "report_ms", _whole_number_parser(50, 60_000), "1000"),
)


def read(
    path: pathlib.Path,
) -> expression.Result[Settings, _findings.Findings]:
    """Read and validate a settings file; return all errors in it at once."""
    # Not for the whole module: instances on the users' platform use only its
    # addresses, and would start later.
    import expression  # noqa: PLC0415

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
    _report_unknown_keys(parser, path, lines, findings)
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


def _report_unknown_keys(
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
    """Return the line of each (section, key), which configparser omits.

    The first line counts if a key is repeated.
    """
    line_numbers: dict[tuple[str, str], int] = {}
    section = ""
    for number, line in enumerate(text.splitlines(), start=1):
        stripped = line.strip()
        if stripped.startswith("["):
            section = stripped.strip("[]")
        elif "=" in stripped and not stripped.startswith(("#", ";")):
            key = stripped.split("=", 1)[0].strip().lower()
            line_numbers.setdefault((section, key), number)
    return line_numbers
