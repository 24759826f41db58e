"""Runs experiments: ``python -m emulator compare --out FOLDER``."""

from __future__ import annotations

import argparse
from collections.abc import Callable
import os
import pathlib

from emulator import _experiments
from emulator import _replay
from emulator import _report
from emulator import _warm_up_trials


def main() -> None:
    """Run the chosen command and write its reports."""
    options = _read_arguments()
    options.out.mkdir(parents=True, exist_ok=True)
    run: Callable[[argparse.Namespace], None] = options.run
    run(options)


def _read_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="python -m emulator", description=__doc__
    )
    commands = parser.add_subparsers(required=True)
    for name, run, text in (
        ("compare", _compare, "compare policies over several seeds"),
        (
            "recover",
            _recover,
            "measure recovery at several numbers of instances",
        ),
        (
            "warm-up",
            _warm_up,
            "measure requests to a replica that starts, with and without"
            " its warm-up",
        ),
    ):
        command = commands.add_parser(name, help=text, description=text)
        command.set_defaults(run=run)
        command.add_argument(
            "--seeds", type=_positive, default=5, help="number of seeds"
        )
        command.add_argument(
            "--jobs",
            type=_positive,
            default=os.cpu_count() or 1,
            help="number of processes",
        )
        _add_out_option(command)
    text = "replay logged requests and compare the outcomes"
    command = commands.add_parser("replay", help=text, description=text)
    command.set_defaults(run=_replay_log)
    command.add_argument(
        "log",
        type=pathlib.Path,
        help="file of log lines, as a bench prints them",
    )
    _add_out_option(command)
    return parser.parse_args()


def _add_out_option(command: argparse.ArgumentParser) -> None:
    command.add_argument(
        "--out",
        type=pathlib.Path,
        required=True,
        help="folder for the reports; created if missing",
    )


def _positive(text: str) -> int:
    number = int(text)
    if number < 1:
        raise argparse.ArgumentTypeError("must be 1 or more")
    return number


def _compare(options: argparse.Namespace) -> None:
    results = _experiments.compare(range(options.seeds), options.jobs)
    _report.write_json(options.out / "compare.json", results)
    _report.plot_comparison(options.out / "compare.png", results)
    for entry in results:
        print(
            f"{entry['scenario']:30} {entry['policy']:22}"
            f" in time {entry['in_time']['mean']:.3f}"
            f" +- {entry['in_time']['deviation']:.3f}"
            f" refused {entry['refused']['mean']:.3f}"
        )


def _recover(options: argparse.Namespace) -> None:
    results = _experiments.recover(range(options.seeds), options.jobs)
    _report.write_json(options.out / "recover.json", results)
    _report.plot_recovery(options.out / "recover.png", results)
    for run in results:
        first_moves_ms = [
            entry["first_move_ms"] for entry in run["recoveries"]
        ]
        placed_again_ms = [
            entry["placed_again_ms"] for entry in run["recoveries"]
        ]
        store_calls_per_s = [
            round(figures["store_calls_per_s"], 1) for figures in run["days"]
        ]
        print(
            f"{run['instances']:4} {run['trouble']:30}"
            f" next move {first_moves_ms} ms,"
            f" placed as before {placed_again_ms} ms,"
            f" store calls {store_calls_per_s} a second"
        )


def _warm_up(options: argparse.Namespace) -> None:
    results = _warm_up_trials.compare(range(options.seeds), options.jobs)
    _report.write_json(options.out / "warm-up.json", results)
    for entry in results:
        print(f"{entry['trial']}, of {options.seeds} seeds:")
        for name, counts in (
            ("without", entry["without"]),
            ("with", entry["with_warm_ups"]),
        ):
            totals = _warm_up_trials.Counts(
                *map(sum, zip(*counts, strict=True))
            )
            figures = [f"{k} {v}" for k, v in totals._asdict().items()]
            print(f"  {name:8}", ", ".join(figures))


def _replay_log(options: argparse.Namespace) -> None:
    results = _replay.replay(options.log)
    name = options.log.with_suffix(".json").name
    _report.write_json(options.out / name, results)
    logged, emulated = results["logged"], results["emulated"]
    print(f"{'':24}{'logged':>10}{'emulated':>10}")
    for outcome, share in logged["outcomes"].items():
        print(
            f"{outcome:24}{share:10.3f}{emulated['outcomes'][outcome]:10.3f}"
        )
    for field in ("done_p50_ms", "done_p90_ms", "moves", "near_moves"):
        print(f"{field:24}{logged[field]:10.0f}{emulated[field]:10.0f}")


if __name__ == "__main__":
    main()
