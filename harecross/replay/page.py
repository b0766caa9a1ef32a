"""The report as one self-contained page: plots drawn as SVG, no script, nothing fetched."""

from __future__ import annotations

from html import escape
from typing import Any

WIDTH, HEIGHT, LEFT, BOTTOM = 860, 200, 56, 26
COLOURS = ("#1b6ca8", "#2a9d5c", "#c8553d", "#8a6fb0", "#d4a017")
STYLE = """
body{font:15px/1.45 system-ui,sans-serif;max-width:900px;margin:2em auto;padding:0 1em;color:#1d2733}
h1{font-size:1.5em;margin-bottom:.2em} h2{font-size:1.05em;margin:1.6em 0 .3em}
table{border-collapse:collapse;width:100%} td,th{padding:.3em .6em;text-align:right;border-bottom:1px solid #e2e7ec}
td:first-child,th:first-child{text-align:left} .bad{background:#fde8e4;padding:.6em .9em;border-left:4px solid #c8553d}
.key{font-size:.85em;margin-right:1.2em} .dot{display:inline-block;width:.8em;height:.8em;margin-right:.35em}
svg{width:100%;height:auto} text{font:11px system-ui,sans-serif;fill:#5a6875} .big{font-size:2.2em;font-weight:600}
"""


def ticks(most: float) -> list[float]:
    """Round values from 0 up to about `most`."""
    if most <= 0:
        return [0.0, 1.0]
    step = 10.0 ** len(str(int(most))) / 100 if most >= 1 else 0.01
    for factor in (1, 2, 5, 10, 20, 50, 100):
        if most / (step * factor) <= 5:
            step *= factor
            break
    return [i * step for i in range(int(most / step) + 2)]


def chart(
    title: str,
    series: dict[str, list[tuple[float, float]]],
    unit: str,
    marks: list[tuple[float, str]],
    span: float,
) -> str:
    """One plot over seconds; `marks` are events, drawn as dashed lines."""
    points = [p for line in series.values() for p in line]
    if not points:
        return f"<h2>{escape(title)}</h2><p>No figures.</p>"
    scale = ticks(max(p[1] for p in points))
    top = scale[-1]

    def x(at: float) -> float:
        return LEFT + at / span * (WIDTH - LEFT - 10)

    def y(value: float) -> float:
        return HEIGHT - BOTTOM - value / top * (HEIGHT - BOTTOM - 12)

    out = [f'<svg viewBox="0 0 {WIDTH} {HEIGHT}" role="img" aria-label="{escape(title)}">']
    for value in scale:
        out.append(
            f'<line x1="{LEFT}" x2="{WIDTH - 10}" y1="{y(value):.1f}" y2="{y(value):.1f}" stroke="#e2e7ec"/>'
            f'<text x="{LEFT - 6}" y="{y(value) + 4:.1f}" text-anchor="end">{value:g}</text>'
        )
    for at in ticks(span):
        if at <= span:
            out.append(f'<text x="{x(at):.1f}" y="{HEIGHT - 8}" text-anchor="middle">{at:g} s</text>')
    for at, what in marks:
        if at <= span:
            out.append(
                f'<line x1="{x(at):.1f}" x2="{x(at):.1f}" y1="10" y2="{HEIGHT - BOTTOM}" stroke="#7a8794" '
                f'stroke-dasharray="4 3"><title>{escape(what)}</title></line>'
                f'<text x="{x(at) + 3:.1f}" y="18">{escape(what)}</text>'
            )
    for colour, line in zip(COLOURS, series.values(), strict=False):
        path = " ".join(f"{x(a):.1f},{y(v):.1f}" for a, v in line)
        out.append(f'<polyline points="{path}" fill="none" stroke="{colour}" stroke-width="1.8"/>')
    out.append("</svg>")
    key = "".join(
        f'<span class="key"><span class="dot" style="background:{c}"></span>{escape(n)}</span>'
        for c, n in zip(COLOURS, series, strict=False)
    )
    return f"<h2>{escape(title)} ({escape(unit)})</h2>{key}{''.join(out)}"


def page(report: dict[str, Any], title: str) -> str:
    """The whole page."""
    windows = report["windows"]
    width = windows[1]["from_s"] - windows[0]["from_s"] if len(windows) > 1 else 1.0

    def rate(key: str) -> list[tuple[float, float]]:
        return [(w["from_s"], w[key] / width) for w in windows]

    def latency(point: str) -> list[tuple[float, float]]:
        return [(w["from_s"], w["latency_ms"][point]) for w in windows if "latency_ms" in w]

    marks = [(e["at_s"], f"{e['what']} {e['name']}") for e in report["events"]]
    service = report["service"]
    rows = "".join(
        f"<tr><td>{escape(name)}</td>"
        + "".join(
            f"<td>{c[k]:,}</td>" for k in ("asked", "served_in_time", "served_late", "refused", "failed")
        )
        + f"<td>{c['service'] if c['service'] is not None else '-'}</td></tr>"
        for name, c in [("all", report), *report["by_class"].items()]
    )
    invalid = "" if report["valid"] else (
        f'<p class="bad">Not valid: the load generator itself was late, {report["lateness_ms"]["p99"]} ms at its '
        f'99th percentile where {report["lateness_bound_ms"]:g} ms are allowed. The figures say as much of it '
        "as of what it measured.</p>"
    )  # fmt: skip
    happened = "".join(
        f"<li>{e['at_s']:.2f} s: {escape(e['what'])} {escape(e['name'])}"
        + ("" if e["done"] else f" — could not be done: {escape(e['error'])}")
        + "</li>"
        for e in report["events"]
    )
    span = max([w["from_s"] for w in windows] + [s["at_s"] for s in report["samples"]] + [1.0])
    limit = [(s["at_s"], s["limit"]) for s in report["samples"]]
    flight = [(s["at_s"], s["in_flight"]) for s in report["samples"]]
    return (
        f'<!doctype html><html lang="en"><meta charset="utf-8"><title>{escape(title)}</title>'
        f"<style>{STYLE}</style><h1>{escape(title)}</h1>{invalid}"
        f'<p><span class="big">{"-" if service is None else f"{service:.1%}"}</span> of the worth asked for was '
        f"answered in time, over {report['seconds']:g} s and {report['asked']:,} requests.</p>"
        "<table><tr><th>class</th><th>asked</th><th>in time</th><th>late</th><th>refused</th><th>failed</th>"
        f"<th>service</th></tr>{rows}</table>"
        + chart(
            "Rate", {"asked": rate("asked"), "served in time": rate("served_in_time"),
            "refused": rate("refused"), "failed": rate("failed"), "late": rate("served_late")},
            "requests a second", marks, span,
        )
        + chart("Latency", {p: latency(p) for p in ("p50", "p90", "p99")}, "milliseconds since due", marks, span)
        + chart("Limit of all nodes", {"limit": limit, "calls in flight": flight}, "calls", marks, span)
        + (f"<h2>What happened</h2><ul>{happened}</ul>" if happened else "")
        + "</html>\n"
    )  # fmt: skip
