"""What the commands print: tables, progress and one clear line for an error."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from rich.console import Console
from rich.table import Table

from harecross.replay.account import End

if TYPE_CHECKING:
    from harecross.replay.run import Run

# A pipe has no width: 80 columns would cut the tables.
out = Console(width=None if Console().is_terminal else 120)
err = Console(stderr=True, highlight=False, soft_wrap=True)


def table(title: str, *columns: str) -> Table:
    t = Table(title=title, title_justify="left", title_style="bold")
    for i, name in enumerate(columns):
        t.add_column(name, justify="left" if i == 0 else "right")
    return t


def ends_table(title: str, report: dict[str, Any]) -> Table:
    """Whole and classes of a report."""
    t = table(title, "class", "asked", "in time", "late", "refused", "failed", "open", "service", "p99 ms")
    for name, c in [("all", report), *report["by_class"].items()]:
        keys = ("asked", "served_in_time", "served_late", "refused", "failed", "open")
        service = "-" if c["service"] is None else f"{c['service']:.4f}"
        latency = f"{c['latency_ms']['p99']:.0f}" if c["latency_ms"] else "-"
        t.add_row(name, *(f"{c[k]:,}" for k in keys), service, latency)
    return t


def live_table(run: Run, title: str) -> Table:
    """How a run stands now."""
    account = run.loop.account
    t = table(title, "", "asked", "served", "late", "refused", "failed", "open", "worth in time")
    for name, tally in [
        ("all", account.whole),
        *((c.name, x) for c, x in zip(run.loop.classes, account.by_class, strict=True)),
    ]:
        e = tally.ends
        share = f"{tally.worth_in_time / tally.worth_asked:.1%}" if tally.worth_asked else "-"
        served = e[End.IN_TIME] + e[End.LATE]
        t.add_row(
            name, *(f"{n:,}" for n in (tally.asked, served, e[End.LATE], e[End.REFUSED], e[End.FAILED], e[End.OPEN])),
            share,
        )  # fmt: skip
    last = run.samples[-1] if run.samples else {}
    t.caption = (
        f"{last.get('nodes', 0)} nodes, limit {last.get('limit', 0):g}, in flight {last.get('in_flight', 0):g}, "
        f"ejected {last.get('ejected', 0):g}"
    )
    t.caption_justify = "left"
    if run.events:
        t.caption += "\n" + "\n".join(f"{e['at_s']:.1f} s  {e['what']} {e['name']}" for e in run.events[-4:])
    return t
