"""Works out what each role costs at the planned size, from measured slopes.

    python -m benches.capacity            # prints the tables of CAPACITY.md

Reads ``docs/measurements``; docs/CAPACITY.md says where each slope is from.
"""

from __future__ import annotations

import json
import typing

from standins import fleet as fleets

MEASUREMENTS = fleets.ROOT / "docs" / "measurements"

# The plan's sizes.
NODES = 400
REPLICAS = 1800
MODELS = 1300
DATA_CENTRES = 23
REQUESTS_PER_S = 1600
TOKENS_PER_S = 530_000
BETWEEN_TOKENS_S = 0.048
CHANGES_PER_DAY = 1000
RESTARTS_PER_DAY = 25 + 460
DAY_S = 86_400

# What control may cost a node.
CPU_PERCENT = 4.8
MEMORY_MB = 64
BYTES_PER_S = 6_000

# Assumptions, each in CAPACITY.md with its reason.
REPLICAS_PER_SHARD = 12
LEASE_MS = 10_000
LEASE_READS = 6
LEASE_WRITES = 3
WATCH_S = 20
HEARTBEAT_S = 1
MOVES_PER_S = 1
WRITES_PER_MOVE = 2
CLAIM_WRITES = 3
API_WRITES_PER_S = 300


class Row(typing.NamedTuple):
    """The cost of one role on one node."""

    role: str
    mechanism: str
    bytes_per_s: float
    cpu_percent: float
    memory_mb: float


class Load(typing.NamedTuple):
    """Calls a second to the object API from the whole fleet."""

    source: str
    reads_per_s: float
    writes_per_s: float


class Slopes:
    """The measured lines, by name."""

    def __init__(self) -> None:
        self._slopes = _read("slopes.json")["results"]
        self._membership = _read("membership.json")["process_fits"]
        self._tables = _read("membership_tables.json")["tables"]
        self._claims = _read("claims.json")["results"]["cost"]
        self._configuration = _read("configuration.json")["fits"]

    def fit(self, name: str, size: float) -> float:
        line = self._slopes[name]["fit"]
        return line["intercept"] + line["slope"] * size

    def slope(self, name: str) -> float:
        return self._slopes[name]["fit"]["slope"]

    def call_cpu_s(self, sort: str) -> float:
        return self._claims[sort]["cpu_ms"]["slope"] / 1000

    def membership(self, name: str, size: float) -> float:
        line = self._membership[name]
        return line["intercept"] + line["slope"] * size

    def news_bytes_per_s(self) -> float:
        """One direction, with the news of 1,000 changes a day."""
        return self._tables[str(NODES)]["revisions_sent_bytes_per_s"]

    def configuration(self, name: str, size: float) -> float:
        line = self._configuration[name]
        return line["intercept"] + line["slope"] * size


def _read(name: str) -> dict:
    return json.loads((MEASUREMENTS / name).read_text())


def control(slopes: Slopes) -> list[Row]:
    """Return the control work of one node, role by role."""
    report_cpu = 100 * slopes.slope("cpu_share_by_reports_per_s")
    # The slope of an engine has the routing's report in it as well.
    held_cpu = 100 * slopes.slope("cpu_share_by_held_replicas") - report_cpu
    report_bytes = slopes.fit(
        "report_bytes_by_resident_models", MODELS * 2 / REPLICAS
    )
    changes_per_s = CHANGES_PER_DAY / DAY_S
    return [
        Row(
            "process at rest, and membership",
            "SWIM-style probes of one peer a heartbeat, bounded news",
            2 * slopes.news_bytes_per_s(),
            slopes.membership("quiet_processor_ms_per_s", NODES) / 10,
            slopes.membership("quiet_resident_kb", NODES) / 1024,
        ),
        Row(
            "configuration",
            f"one watch of {WATCH_S} s; changed deployments only",
            changes_per_s
            * slopes.configuration("received_bytes_per_change", MODELS),
            changes_per_s
            * slopes.configuration("processor_ms_per_change", MODELS)
            / 10,
            slopes.configuration("resident_kb_over_empty", MODELS) / 1024,
        ),
        Row(
            "reports, all replicas each second (today)",
            "every instance asks every replica",
            REPLICAS * report_bytes,
            REPLICAS * report_cpu,
            0,
        ),
        Row(
            "reports, 4 a second (needed)",
            "a subset of 16 replicas, each asked every 4 s",
            4 * report_bytes,
            4 * report_cpu,
            0,
        ),
        Row(
            f"shard holder, {REPLICAS_PER_SHARD} replicas",
            "a report a second each; lease under conditional update",
            REPLICAS_PER_SHARD * report_bytes,
            REPLICAS_PER_SHARD * held_cpu,
            0,
        ),
        Row(
            "metrics, a scrape every 15 s",
            "labels by model only for models used here",
            slopes.fit("scrape_bytes_by_models_used", MODELS) / 15,
            0,
            0,
        ),
    ]


def sums(rows: list[Row]) -> list[Row]:
    """Return a node's whole control work, with and without a shard."""
    rest, configuration, _, needed, shard, metrics = rows
    without = [rest, configuration, needed, metrics]
    return [
        _sum("sum with the needed reports, no shard", without),
        _sum("sum with the needed reports and a shard", [*without, shard]),
    ]


def _sum(name: str, rows: list[Row]) -> Row:
    return Row(
        f"**{name}**",
        "",
        sum(row.bytes_per_s for row in rows),
        sum(row.cpu_percent for row in rows),
        sum(row.memory_mb for row in rows),
    )


def requests(slopes: Slopes) -> list[Row]:
    """Return the work for callers on one node, outside the budget."""
    per_node = REQUESTS_PER_S / NODES
    tokens = TOKENS_PER_S / REQUESTS_PER_S
    streams = TOKENS_PER_S * BETWEEN_TOKENS_S / NODES
    cpu_s = slopes.fit("cpu_s_per_request_by_tokens", tokens)
    return [
        Row(
            f"{per_node:.0f} requests and {per_node * tokens:.0f} tokens/s",
            f"{streams:.0f} open streams",
            0,
            100 * per_node * cpu_s,
            streams * slopes.slope("resident_mb_by_open_streams"),
        ),
        Row(
            "each idempotent call a second",
            "one attempt, retried on another replica",
            0,
            100 * slopes.call_cpu_s("idempotent"),
            0,
        ),
        Row(
            "each claimed call a second",
            "a claim before dispatch, its outcome after",
            0,
            100 * slopes.call_cpu_s("claimed"),
            0,
        ),
    ]


def api_loads() -> list[Load]:
    """Return the calls to the object API at the planned size."""
    shards = REPLICAS / REPLICAS_PER_SHARD
    renewals = shards * 1000 / LEASE_MS
    rows = [
        Load("configuration watches", NODES / WATCH_S, 0),
        Load(
            "changes",
            CHANGES_PER_DAY * (1 + NODES) / DAY_S,
            CHANGES_PER_DAY / DAY_S,
        ),
        Load("restarts: one list each", RESTARTS_PER_DAY / DAY_S, 0),
        Load(
            f"leases of {shards:.0f} shards",
            renewals * LEASE_READS,
            renewals * LEASE_WRITES,
        ),
        Load(f"{MOVES_PER_S} move a second", 0, MOVES_PER_S * WRITES_PER_MOVE),
    ]
    left = API_WRITES_PER_S - sum(row.writes_per_s for row in rows)
    claims = left / CLAIM_WRITES
    rows.append(Load(f"left for {claims:.0f} claimed calls a second", 0, left))
    return rows


def render(slopes: Slopes) -> str:
    """Return the tables as they stand in docs/CAPACITY.md."""
    rows = control(slopes)
    lines = [
        "| control on one node | mechanism | bytes/s | % of a core | MB |",
        "| --- | --- | --- | --- | --- |",
        *map(_line, rows),
        *map(_line, sums(rows)),
        f"| **budget** | | {BYTES_PER_S} | {CPU_PERCENT} | {MEMORY_MB} |",
        "",
        "| for callers, on one node | what | % of a core | MB |",
        "| --- | --- | --- | --- |",
    ]
    lines += [
        f"| {row.role} | {row.mechanism} | {row.cpu_percent:.2f}"
        f" | {row.memory_mb:.1f} |"
        for row in requests(slopes)
    ]
    lines += [
        "",
        "| object API, whole fleet | reads/s | writes/s |",
        "| --- | --- | --- |",
    ]
    lines += [
        f"| {load.source} | {load.reads_per_s:.2f} | {load.writes_per_s:.2f} |"
        for load in api_loads()
    ]
    return "\n".join(lines) + "\n"


def _line(row: Row) -> str:
    return (
        f"| {row.role} | {row.mechanism} | {row.bytes_per_s:.0f}"
        f" | {row.cpu_percent:.2f} | {row.memory_mb:.1f} |"
    )


if __name__ == "__main__":
    print(render(Slopes()))
