"""What an engine says of its memory, with a lag.

The report that routing uses is read in ``_engines.py``; this one holds each
version of each copy, and the highest fencing number that was accepted.
"""

from __future__ import annotations

import typing

from geraniumlink import _http
from geraniumlink import _settings
from geraniumlink.backends import _engines
from geraniumlink.control import _ledger


class ReportedCopy(typing.NamedTuple):
    """A copy that takes memory at the engine."""

    size_mb: int
    # False while it is being loaded.
    resident: bool


class MemoryReport(typing.NamedTuple):
    """The memory of an engine as it was a while ago."""

    boot_id: str
    # The highest that the engine accepted; 0 from one that does not check.
    fencing_number: int
    copies: dict[_ledger.Copy, ReportedCopy]
    leaving: bool
    # Requests that run, by model; empty from an engine that doesn't say.
    running_requests: dict[str, int]


async def fetch(
    client: _http.Client, address: _settings.Address
) -> MemoryReport:
    """Ask an engine for its report; errors as of ``_engines.report``."""
    return parse(await _engines.fetch_report(client, address))


def parse(message: typing.Any) -> MemoryReport:
    """Check a report.

    :raises _engines.BadReportError: if it makes no sense.
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
        raise _engines.BadReportError("the counts are out of range")
    return report


def _parse_copy(entry: typing.Any) -> tuple[_ledger.Copy, ReportedCopy]:
    copy = _ledger.Copy(
        str(entry["model"]), str(entry["adapter"]), str(entry["version"])
    )
    size_mb = int(entry["size_mb"])
    if not copy.model or size_mb < 0:
        raise ValueError(f"{copy} of {size_mb} MiB")
    return copy, ReportedCopy(size_mb, entry["state"] == "resident")
