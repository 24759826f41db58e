"""Lists the days in the journal that missed the gate or broke a rule.

    python -m benches.short_days [--since 20261207] [--only hunt]

The verdict of a hunt is about rules alone. A day of it may miss the gate for
what was served, which only its entry in the journal says. Exits with status 1
if it lists any.
"""

from __future__ import annotations

import argparse
from collections.abc import Iterator
import pathlib
import sys
import typing

import orjson

JOURNAL = pathlib.Path(__file__).parent.parent / "journal"


class MissedDay(typing.NamedTuple):
    """A day that missed the gate, or broke a rule."""

    entry: str
    command: str
    site: str
    day: str
    seed: int
    # What was missed; the names of broken rules come first.
    reasons: tuple[str, ...]


def missed_days(path: pathlib.Path) -> Iterator[MissedDay]:
    """Yield the days of an entry that missed the gate or broke a rule.

    Entries of commands that play no day have none.

    :raises ValueError: if the file isn't an entry of the journal.
    """
    entry = orjson.loads(path.read_bytes())
    if not isinstance(entry, dict):
        raise ValueError(f"{path}: not an entry of the journal")
    for day in entry.get("days") or ():
        if not isinstance(day, dict):
            continue
        reasons = [*(day.get("rules") or {}), *(day.get("short") or ())]
        if day.get("fault"):
            reasons.append(str(day["fault"]))
        if reasons:
            yield MissedDay(
                path.stem,
                str(entry.get("cmd")),
                str(entry.get("site")),
                str(day.get("name")),
                int(day.get("seed") or 0),
                tuple(reasons),
            )


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--since", default="", help="date of the first entry, as 20261207"
    )
    parser.add_argument(
        "--only", default="", help="entries of this command alone, as hunt"
    )
    return parser.parse_args()


def main() -> int:
    """Print the days; return the exit status."""
    arguments = _parse_arguments()
    count = 0
    for path in sorted(JOURNAL.glob("*.json")):
        if path.name < arguments.since:
            continue
        for missed in missed_days(path):
            if arguments.only in ("", missed.command):
                count += 1
                print(*missed[:-1], "; ".join(missed.reasons), sep="  ")
    return 1 if count else 0


if __name__ == "__main__":
    sys.exit(main())
