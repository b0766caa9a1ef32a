"""Renders the report of a replay as a self-contained HTML page with SVG plots and no scripts or external resources."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from html import escape
from typing import Any

WIDTH, HEIGHT = 860, 200  # the size of a plot in pixels
LEFT_MARGIN, RIGHT_MARGIN, TOP_MARGIN, BOTTOM_MARGIN = 56, 10, 12, 26
COLOURS = ("#1b6ca8", "#2a9d5c", "#c8553d", "#8a6fb0", "#d4a017")
STYLE = """
body{font:15px/1.45 system-ui,sans-serif;max-width:900px;margin:2em auto;padding:0 1em;color:#1d2733}
h1{font-size:1.5em;margin-bottom:.2em} h2{font-size:1.05em;margin:1.6em 0 .3em}
table{border-collapse:collapse;width:100%} td,th{padding:.3em .6em;text-align:right;border-bottom:1px solid #e2e7ec}
td:first-child,th:first-child{text-align:left} .bad{background:#fde8e4;padding:.6em .9em;border-left:4px solid #c8553d}
.key{font-size:.85em;margin-right:1.2em} .dot{display:inline-block;width:.8em;height:.8em;margin-right:.35em}
svg{width:100%;height:auto} text{font:11px system-ui,sans-serif;fill:#5a6875} .big{font-size:2.2em;font-weight:600}
"""
COUNT_KEYS = ("asked", "served_in_time", "served_late", "refused", "failed")

Points = Sequence[tuple[float, float]]  # pairs of a time in seconds and a value


@dataclass(frozen=True, slots=True)
class Plot:
    """A line plot over time. `marks` are the times and names of events, which are drawn as dashed lines."""

    title: str
    unit: str
    series: dict[str, Points]
    marks: Sequence[tuple[float, str]]
    seconds: float

    def to_html(self) -> str:
        """Returns the heading, the legend and the SVG element."""
        values = [value for points in self.series.values() for _, value in points]
        if not values:
            return f"<h2>{escape(self.title)}</h2><p>No figures.</p>"
        ticks = axis_ticks(max(values))
        parts = [
            f'<svg viewBox="0 0 {WIDTH} {HEIGHT}" role="img" aria-label="{escape(self.title)}">',
            *(self._grid_line(value, ticks[-1]) for value in ticks),
            *(self._time_label(at) for at in axis_ticks(self.seconds) if at <= self.seconds),
            *(self._mark(at, text) for at, text in self.marks if at <= self.seconds),
            *(
                self._line(colour, points, ticks[-1])
                for colour, points in zip(COLOURS, self.series.values(), strict=False)
            ),
            "</svg>",
        ]
        return f"<h2>{escape(self.title)} ({escape(self.unit)})</h2>{self._legend()}{''.join(parts)}"

    def _x(self, seconds: float) -> float:
        return LEFT_MARGIN + seconds / self.seconds * (WIDTH - LEFT_MARGIN - RIGHT_MARGIN)

    @staticmethod
    def _y(value: float, top: float) -> float:
        return HEIGHT - BOTTOM_MARGIN - value / top * (HEIGHT - BOTTOM_MARGIN - TOP_MARGIN)

    def _grid_line(self, value: float, top: float) -> str:
        y = self._y(value, top)
        return (
            f'<line x1="{LEFT_MARGIN}" x2="{WIDTH - RIGHT_MARGIN}" y1="{y:.1f}" y2="{y:.1f}" stroke="#e2e7ec"/>'
            f'<text x="{LEFT_MARGIN - 6}" y="{y + 4:.1f}" text-anchor="end">{value:g}</text>'
        )

    def _time_label(self, at: float) -> str:
        return f'<text x="{self._x(at):.1f}" y="{HEIGHT - 8}" text-anchor="middle">{at:g} s</text>'

    def _mark(self, at: float, text: str) -> str:
        x = self._x(at)
        return (
            f'<line x1="{x:.1f}" x2="{x:.1f}" y1="10" y2="{HEIGHT - BOTTOM_MARGIN}" stroke="#7a8794" '
            f'stroke-dasharray="4 3"><title>{escape(text)}</title></line>'
            f'<text x="{x + 3:.1f}" y="18">{escape(text)}</text>'
        )

    def _line(self, colour: str, points: Points, top: float) -> str:
        path = " ".join(f"{self._x(at):.1f},{self._y(value, top):.1f}" for at, value in points)
        return f'<polyline points="{path}" fill="none" stroke="{colour}" stroke-width="1.8"/>'

    def _legend(self) -> str:
        return "".join(
            f'<span class="key"><span class="dot" style="background:{colour}"></span>{escape(name)}</span>'
            for colour, name in zip(COLOURS, self.series, strict=False)
        )


def axis_ticks(highest: float) -> list[float]:
    """Returns at most seven evenly spaced round values, from 0 to the first one above `highest`."""
    if highest <= 0:
        return [0.0, 1.0]
    step = 10.0 ** len(str(int(highest))) / 100 if highest >= 1 else 0.01
    for factor in (1, 2, 5, 10, 20, 50, 100):
        if highest / (step * factor) <= 5:
            step *= factor
            break
    return [i * step for i in range(int(highest / step) + 2)]


def html_report(report: dict[str, Any], title: str) -> str:
    """Returns the HTML page for a report that `harecross.replay.report.replay_report` returned."""
    service = report["service"]
    return (
        f'<!doctype html><html lang="en"><meta charset="utf-8"><title>{escape(title)}</title>'
        f"<style>{STYLE}</style><h1>{escape(title)}</h1>{_validity_warning(report)}"
        f'<p><span class="big">{"-" if service is None else f"{service:.1%}"}</span> of the worth asked for was '
        f"answered in time, over {report['seconds']:g} s and {report['asked']:,} requests.</p>"
        f"{_class_table(report)}"
        f"{''.join(plot.to_html() for plot in _plots(report))}"
        f"{_event_list(report)}</html>\n"
    )


def _validity_warning(report: dict[str, Any]) -> str:
    if report["valid"]:
        return ""
    return (
        f'<p class="bad">Not valid: the load generator itself was late, {report["lateness_ms"]["p99"]} ms at its '
        f"99th percentile where {report['lateness_bound_ms']:g} ms are allowed. The figures say as much of it "
        "as of what it measured.</p>"
    )


def _class_table(report: dict[str, Any]) -> str:
    rows = "".join(_class_row(name, row) for name, row in [("all", report), *report["by_class"].items()])
    return (
        "<table><tr><th>class</th><th>asked</th><th>in time</th><th>late</th><th>refused</th><th>failed</th>"
        f"<th>service</th></tr>{rows}</table>"
    )


def _class_row(name: str, row: dict[str, Any]) -> str:
    counts = "".join(f"<td>{row[key]:,}</td>" for key in COUNT_KEYS)
    service = row["service"] if row["service"] is not None else "-"
    return f"<tr><td>{escape(name)}</td>{counts}<td>{service}</td></tr>"


def _plots(report: dict[str, Any]) -> list[Plot]:
    windows, samples = report["windows"], report["samples"]
    window_s = windows[1]["from_s"] - windows[0]["from_s"] if len(windows) > 1 else 1.0
    marks = [(event["at_s"], f"{event['what']} {event['name']}") for event in report["events"]]
    seconds = max([row["from_s"] for row in windows] + [row["at_s"] for row in samples] + [1.0])

    def rate(key: str) -> Points:
        return [(row["from_s"], row[key] / window_s) for row in windows]

    def latency(key: str) -> Points:
        return [(row["from_s"], row["latency_ms"][key]) for row in windows if "latency_ms" in row]

    def sampled(key: str) -> Points:
        return [(row["at_s"], row[key]) for row in samples]

    rates = {
        "asked": rate("asked"),
        "served in time": rate("served_in_time"),
        "refused": rate("refused"),
        "failed": rate("failed"),
        "late": rate("served_late"),
    }
    latencies = {key: latency(key) for key in ("p50", "p90", "p99")}
    limits = {"limit": sampled("limit"), "calls in flight": sampled("in_flight")}
    return [
        Plot("Rate", "requests a second", rates, marks, seconds),
        Plot("Latency", "milliseconds since due", latencies, marks, seconds),
        Plot("Limit of all nodes", "calls", limits, marks, seconds),
    ]


def _event_list(report: dict[str, Any]) -> str:
    if not report["events"]:
        return ""
    items = "".join(_event_item(event) for event in report["events"])
    return f"<h2>What happened</h2><ul>{items}</ul>"


def _event_item(event: dict[str, Any]) -> str:
    error = "" if event["done"] else f" — could not be done: {escape(event['error'])}"
    return f"<li>{event['at_s']:.2f} s: {escape(event['what'])} {escape(event['name'])}{error}</li>"
