"""Writes the results of experiments as JSON and as plots."""

from __future__ import annotations

import json
import pathlib
import typing

import matplotlib

matplotlib.use("Agg")

from matplotlib import axes as plot_axes  # noqa: E402
from matplotlib import pyplot  # noqa: E402

from emulator import _experiments  # noqa: E402

_SIZE_INCHES = (11, 6)
# Gap between groups of bars, in widths of a bar.
_GROUP_GAP = 1.0


def write_json(path: pathlib.Path, content: typing.Any) -> None:
    """Write a result as JSON; equal results give identical files."""
    path.write_text(json.dumps(content, indent=1, sort_keys=True) + "\n")


def plot_comparison(
    path: pathlib.Path, results: list[_experiments.Comparison]
) -> None:
    """Plot each policy's share of requests in time.

    Error bars show the standard deviation over seeds.
    """
    scenarios = list(dict.fromkeys(entry["scenario"] for entry in results))
    policies = list(dict.fromkeys(entry["policy"] for entry in results))
    figure, axes = pyplot.subplots(figsize=_SIZE_INCHES)
    for index, policy in enumerate(policies):
        entries = [entry for entry in results if entry["policy"] == policy]
        axes.bar(
            [
                _bar_position(n, index, len(policies))
                for n in range(len(entries))
            ],
            [entry["in_time"]["mean"] for entry in entries],
            yerr=[entry["in_time"]["deviation"] for entry in entries],
            label=policy,
            capsize=2,
        )
    _label_groups(axes, scenarios, len(policies))
    axes.set_ylabel("share of requests in time")
    axes.set_ylim(0, 1)
    axes.legend()
    figure.savefig(path)
    pyplot.close(figure)


def plot_recovery(
    path: pathlib.Path, results: list[_experiments.RecoveryRun]
) -> None:
    """Plot for each fault the time until the next move of a model."""
    sizes = list(dict.fromkeys(run["instances"] for run in results))
    faults = list(dict.fromkeys(run["trouble"] for run in results))
    figure, axes = pyplot.subplots(figsize=_SIZE_INCHES)
    for index, fault in enumerate(faults):
        for group, size in enumerate(sizes):
            times = [
                recovery["first_move_ms"] / 1000
                for run in results
                if run["trouble"] == fault and run["instances"] == size
                for recovery in run["recoveries"]
                if recovery["first_move_ms"] is not None
            ]
            position = _bar_position(group, index, len(faults))
            label = fault if not group else None
            axes.plot(
                [position] * len(times),
                times,
                "o",
                color=f"C{index}",
                label=label,
            )
    _label_groups(axes, [f"{n} instances" for n in sizes], len(faults))
    axes.set_ylabel("s until the next move of a model")
    axes.set_ylim(bottom=0)
    axes.legend()
    figure.savefig(path)
    pyplot.close(figure)


def _bar_position(group: int, index: int, bars: int) -> float:
    return group * (bars + _GROUP_GAP) + index


def _label_groups(axes: plot_axes.Axes, names: list[str], bars: int) -> None:
    middle = (bars - 1) / 2
    axes.set_xticks(
        [
            _bar_position(group, 0, bars) + middle
            for group in range(len(names))
        ],
        [name.replace(", ", ",\n") for name in names],
        fontsize="small",
    )
