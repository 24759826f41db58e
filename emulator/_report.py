"""Writes what was played as JSON, and as plots."""

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
# Between groups of bars, in widths of a bar.
_GAP = 1.0


def write_json(path: pathlib.Path, content: typing.Any) -> None:
    """Write a result so that two equal ones are equal files."""
    path.write_text(json.dumps(content, indent=1, sort_keys=True) + "\n")


def plot_comparison(
    path: pathlib.Path, found: list[_experiments.Comparison]
) -> None:
    """Draw the share in time of each policy, with its spread over seeds."""
    scenarios = list(dict.fromkeys(entry["scenario"] for entry in found))
    policies = list(dict.fromkeys(entry["policy"] for entry in found))
    figure, axes = pyplot.subplots(figsize=_SIZE_INCHES)
    for index, policy in enumerate(policies):
        entries = [entry for entry in found if entry["policy"] == policy]
        axes.bar(
            [_place(n, index, len(policies)) for n in range(len(entries))],
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
    path: pathlib.Path, found: list[_experiments.RecoveryRun]
) -> None:
    """Draw for each trouble how long no model was moved."""
    sizes = list(dict.fromkeys(run["instances"] for run in found))
    troubles = list(dict.fromkeys(run["trouble"] for run in found))
    figure, axes = pyplot.subplots(figsize=_SIZE_INCHES)
    for index, trouble in enumerate(troubles):
        for group, size in enumerate(sizes):
            times = [
                recovery["first_move_ms"] / 1000
                for run in found
                if run["trouble"] == trouble and run["instances"] == size
                for recovery in run["recoveries"]
                if recovery["first_move_ms"] is not None
            ]
            place = _place(group, index, len(troubles))
            label = trouble if not group else None
            axes.plot(
                [place] * len(times),
                times,
                "o",
                color=f"C{index}",
                label=label,
            )
    _label_groups(axes, [f"{n} instances" for n in sizes], len(troubles))
    axes.set_ylabel("s until the next move of a model")
    axes.set_ylim(bottom=0)
    axes.legend()
    figure.savefig(path)
    pyplot.close(figure)


def _place(group: int, index: int, bars: int) -> float:
    return group * (bars + _GAP) + index


def _label_groups(axes: plot_axes.Axes, names: list[str], bars: int) -> None:
    middle = (bars - 1) / 2
    axes.set_xticks(
        [_place(group, 0, bars) + middle for group in range(len(names))],
        [name.replace(", ", ",\n") for name in names],
        fontsize="small",
    )
