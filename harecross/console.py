"""What the commands print on a terminal: tables of a replay, alive and finished."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from rich.console import Console
from rich.table import Table

from harecross.replay.accounting import Disposition, DispositionTally

if TYPE_CHECKING:
    from harecross.replay.run import ReplayRun

PIPE_WIDTH = 120  # a pipe has no width of its own, and 80 columns would cut the tables
EVENTS_SHOWN = 4

out = Console(width=None if Console().is_terminal else PIPE_WIDTH)
err = Console(stderr=True, highlight=False, soft_wrap=True)


def table(title: str, *columns: str) -> Table:
    """Returns an empty table: the first column is left-justified, the others are figures."""
    found = Table(title=title, title_justify="left", title_style="bold")
    for index, name in enumerate(columns):
        found.add_column(name, justify="left" if index == 0 else "right")
    return found


def disposition_table(title: str, report: dict[str, Any]) -> Table:
    """Returns the figures of a replay's report, in total and by class."""
    columns = ("class", "asked", "in time", "late", "refused", "failed", "open", "service", "p99 ms")
    count_keys = ("asked", "served_in_time", "served_late", "refused", "failed", "open")
    found = table(title, *columns)
    for name, row in [("all", report), *report["by_class"].items()]:
        service = "-" if row["service"] is None else f"{row['service']:.4f}"
        latency = f"{row['latency_ms']['p99']:.0f}" if row["latency_ms"] else "-"
        found.add_row(name, *(f"{row[key]:,}" for key in count_keys), service, latency)
    return found


def live_table(run: ReplayRun, title: str) -> Table:
    """Returns the present figures of a run that is going on."""
    accounting = run.generator.accounting
    found = table(title, "", "asked", "served", "late", "refused", "failed", "open", "worth in time")
    found.add_row("all", *_live_figures(accounting.total))
    for request_class, tally in zip(run.generator.classes, accounting.by_class, strict=True):
        found.add_row(request_class.name, *_live_figures(tally))
    found.caption = _live_caption(run)
    found.caption_justify = "left"
    return found


def _live_figures(tally: DispositionTally) -> list[str]:
    counts = tally.counts
    figures = (
        tally.requests,
        counts[Disposition.IN_TIME] + counts[Disposition.LATE],
        counts[Disposition.LATE],
        counts[Disposition.SHED],
        counts[Disposition.FAILED],
        counts[Disposition.OPEN],
    )
    service = f"{tally.weight_in_time / tally.offered_weight:.1%}" if tally.offered_weight else "-"
    return [*(f"{figure:,}" for figure in figures), service]


def _live_caption(run: ReplayRun) -> str:
    last = run.samples[-1] if run.samples else {}
    caption = (
        f"{last.get('nodes', 0)} nodes, limit {last.get('limit', 0):g}, in flight {last.get('in_flight', 0):g}, "
        f"ejected {last.get('ejected', 0):g}"
    )
    events = [f"{e['at_s']:.1f} s  {e['what']} {e['name']}" for e in run.events[-EVENTS_SHOWN:]]
    return "\n".join([caption, *events])
