"""Fetches and parses the memory reports of engines.

The part of a report that routing uses is parsed in ``_engines.py``. The
part that is parsed here lists each copy with its version, and the highest
fencing number that the engine accepted.
"""

from __future__ import annotations

import typing

from geraniumlink import _http
from geraniumlink import _settings
from geraniumlink.backends import _engines
from geraniumlink.control import _ledger


class ReportedCopy(typing.NamedTuple):
    """A copy that takes memory on the engine."""

    size_mb: int
    # False while it is being loaded.
    resident: bool


class MemoryReport(typing.NamedTuple):
    """The state of an engine when it sent the report."""

    # Differs between two processes of the engine.
    boot_id: str
    # The highest that was accepted; 0 if the engine doesn't check them.
    fencing_number: int
    copies: dict[_ledger.Copy, ReportedCopy]
    # The engine takes no new work, as before a shutdown.
    leaving: bool
    # Number by model; empty if the engine doesn't report it.
    running_requests: dict[str, int]


async def fetch(
    client: _http.Client, address: _settings.Address
) -> MemoryReport:
    """Fetch an engine's report; errors as for ``_engines.fetch_report``."""
    return parse(await _engines.fetch_raw_report(client, address))


def parse(message: typing.Any) -> MemoryReport:
    """Parse and validate a report.

    :raises _engines.BadReportError: if it is invalid.
    """
    try:
        copies = dict(_parse_copy(entry) for entry in message["copies"])
        report = MemoryReport(
            str(message["boot_id"]),
            int(message.get("fencing_number", 0)),
            copies,
            message.get("leaving") is True,
            {
                str(model): max(0, int(count))
                for model, count in message.get("running", {}).items()
            },
        )
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise _engines.BadReportError(repr(error)) from error
    if len(copies) > _ledger.MAX_ENTRIES or report.fencing_number < 0:
        raise _engines.BadReportError(
            "too many copies, or a negative fencing_number"
        )
    return report


def _parse_copy(entry: typing.Any) -> tuple[_ledger.Copy, ReportedCopy]:
    copy = _ledger.Copy(
        str(entry["model"]), str(entry["adapter"]), str(entry["version"])
    )
    size_mb = int(entry["size_mb"])
    if not copy.model or size_mb < 0:
        raise ValueError(f"invalid copy {copy} of {size_mb} MiB")
    return copy, ReportedCopy(size_mb, entry["state"] == "resident")
