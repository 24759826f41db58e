"""Makes a page that a person can read of a bench's JSON result."""

from __future__ import annotations

from collections.abc import Iterable
import html

_COLOURS = ("#0b6e4f", "#c0392b", "#2c3e93", "#8e6c00")
_WIDTH, _HEIGHT, _MARGIN = 640, 320, 50
_STYLE = (
    "body{font:15px sans-serif;max-width:60em;margin:2em auto}"
    "td,th{padding:.2em .7em;text-align:right}"
    "table{border-collapse:collapse}tr{border-bottom:1px solid #ccc}"
)

Series = dict[str, list[tuple[float, float]]]


def overload_page(result: dict) -> str:
    """Return an HTML page of a result of ``benches.overload``."""
    capacity = result["capacity_per_s"]
    points = result["points"]
    goodput = _series(points, "goodput_per_s")
    limits = "The machine was the limit: a partial result. "
    if not result["machine_was_the_limit"]:
        limits = ""
    return "".join(
        (
            "<!doctype html><meta charset=utf-8><title>Overload</title>",
            f"<style>{_STYLE}</style><h1>Overload</h1>",
            f"<p>{limits}{result['options']['instances']} instances,"
            f" {result['options']['engines']} stand-in engines, capacity"
            f" {capacity} requests/s. Goodput counts whole answers with the"
            f" first token within {result['limits_ms'][0]} ms and at most"
            f" {result['limits_ms'][1]} ms between tokens.</p>",
            "<h2>Goodput (requests/s) by offered load (of capacity)</h2>",
            _chart(goodput, capacity),
            _table(points),
            f"<p>{html.escape(str(result['versions']))}</p>",
        )
    )


def _series(points: Iterable[dict], field: str) -> Series:
    series: Series = {}
    for point in points:
        series.setdefault(point["router"], []).append(
            (point["load"], point[field])
        )
    return series


def _chart(series: Series, ceiling: float) -> str:
    right = max(x for line in series.values() for x, _ in line)
    top = 1.1 * max(ceiling, *(y for line in series.values() for _, y in line))

    def place(x: float, y: float) -> str:
        across = _MARGIN + x / right * (_WIDTH - 2 * _MARGIN)
        down = _HEIGHT - _MARGIN - y / top * (_HEIGHT - 2 * _MARGIN)
        return f"{across:.1f},{down:.1f}"

    parts = [f'<svg width="{_WIDTH + 160}" height="{_HEIGHT}">']
    parts.append(_polyline([place(0, 0), place(right, 0)], "#000"))
    parts.append(_polyline([place(0, 0), place(0, top)], "#000"))
    parts.append(_polyline([place(0, ceiling), place(right, ceiling)], "#bbb"))
    parts.append(_label(place(right, ceiling), "capacity", "#888"))
    for number, (name, line) in enumerate(series.items()):
        colour = _COLOURS[number % len(_COLOURS)]
        parts.append(_polyline([place(*point) for point in line], colour))
        parts.append(_label(place(*line[-1]), name, colour))
    for x, _ in next(iter(series.values())):
        parts.append(_label(place(x, -0.07 * top), f"{x:g}", "#000"))
    return "".join((*parts, "</svg>"))


def _polyline(places: list[str], colour: str) -> str:
    points = " ".join(places)
    return (
        f'<polyline points="{points}" fill="none" stroke="{colour}"'
        ' stroke-width="2"/>'
    )


def _label(place: str, text: str, colour: str) -> str:
    x, y = place.split(",")
    return (
        f'<text x="{float(x) + 4}" y="{y}" fill="{colour}"'
        f' font-size="12">{html.escape(text)}</text>'
    )


def _table(points: list[dict]) -> str:
    shown = [name for name in points[0] if name != "outcomes"]
    rows = [_row("th", shown + ["outcomes"])]
    rows += [
        _row("td", [*(point[name] for name in shown), point["outcomes"]])
        for point in points
    ]
    return f"<table>{''.join(rows)}</table>"


def _row(tag: str, cells: Iterable[object]) -> str:
    inner = "".join(
        f"<{tag}>{html.escape(str(cell))}</{tag}>" for cell in cells
    )
    return f"<tr>{inner}</tr>"
