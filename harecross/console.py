"""Terminal output of the commands: tables in general, and those of finished and running replays."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from rich.console import Console
from rich.table import Table

from harecross.replay.accounting import Disposition, DispositionTally

if TYPE_CHECKING:
    from harecross.replay.run import ReplayRun

# A pipe has no terminal width, and rich's default of 80 columns would truncate the tables.
PIPE_WIDTH = 120
MAX_SHOWN_EVENTS = 4

out = Console(width=None if Console().is_terminal else PIPE_WIDTH)
err = Console(stderr=True, highlight=False, soft_wrap=True)


def table(title: str, *columns: str) -> Table:
    """Returns an empty table. The first column is left-justified, the numeric columns after it right-justified."""
    result = Table(title=title, title_justify="left", title_style="bold")
    for index, name in enumerate(columns):
        result.add_column(name, justify="left" if index == 0 else "right")
    return result


def disposition_table(title: str, report: dict[str, Any]) -> Table:
    """Returns a table of the results in a replay's report, in total and by request class."""
    columns = ("class", "asked", "in time", "late", "refused", "failed", "open", "service", "p99 ms")
    count_keys = ("asked", "served_in_time", "served_late", "refused", "failed", "open")
    result = table(title, *columns)
    for name, row in [("all", report), *report["by_class"].items()]:
        service = "-" if row["service"] is None else f"{row['service']:.4f}"
        latency = f"{row['latency_ms']['p99']:.0f}" if row["latency_ms"] else "-"
        result.add_row(name, *(f"{row[key]:,}" for key in count_keys), service, latency)
    return result


def live_table(run: ReplayRun, title: str) -> Table:
    """Returns a table of the current results of a running replay."""
    accounting = run.generator.accounting
    result = table(title, "", "asked", "served", "late", "refused", "failed", "open", "worth in time")
    result.add_row("all", *_live_cells(accounting.total))
    for request_class, tally in zip(run.generator.classes, accounting.by_class, strict=True):
        result.add_row(request_class.name, *_live_cells(tally))
    result.caption = _live_caption(run)
    result.caption_justify = "left"
    return result


def _live_cells(tally: DispositionTally) -> list[str]:
    counts = tally.counts
    cells = (
        tally.requests,
        counts[Disposition.IN_TIME] + counts[Disposition.LATE],
        counts[Disposition.LATE],
        counts[Disposition.SHED],
        counts[Disposition.FAILED],
        counts[Disposition.OPEN],
    )
    service = f"{tally.weight_in_time / tally.offered_weight:.1%}" if tally.offered_weight else "-"
    return [*(f"{cell:,}" for cell in cells), service]


def _live_caption(run: ReplayRun) -> str:
    last = run.samples[-1] if run.samples else {}
    caption = (
        f"{last.get('nodes', 0)} nodes, limit {last.get('limit', 0):g}, in flight {last.get('in_flight', 0):g}, "
        f"ejected {last.get('ejected', 0):g}"
    )
    events = [f"{e['at_s']:.1f} s  {e['what']} {e['name']}" for e in run.events[-MAX_SHOWN_EVENTS:]]
    return "\n".join([caption, *events])
