"""`harecross fleet`: what all nodes do at once, rehearsed on a model. 0 where it comes back, 1 else."""

from __future__ import annotations

import json
from collections.abc import Callable
from math import inf
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any, TypeVar

import typer

from harecross.exits import stop

if TYPE_CHECKING:
    from harecross.fleet.file import FleetFile
    from harecross.fleet.rehearsal import Result

T = TypeVar("T")
fleet_app = typer.Typer(no_args_is_help=True, help="What all nodes do at once, on a model.")
PARTS = (0.5, 0.9, 0.99, 1.0)


@fleet_app.callback()
def group() -> None:
    """What all nodes do at once, on a model."""


@fleet_app.command("rehearse")
def rehearse(
    path: Annotated[
        Path | None, typer.Argument(help="The day (TOML); without it, the options alone.")
    ] = None,
    nodes: Annotated[int | None, typer.Option(min=1, max=20_000, help="Nodes that listen.")] = None,
    discovery_rate: Annotated[float | None, typer.Option(min=0.001, help="Calls a second.")] = None,
    trigger: Annotated[str | None, typer.Option(help="silent, ended, broken, restart or down.")] = None,
    waits: Annotated[
        str, typer.Option(help="turns, as nodes do; or former, even, jitter, together.")
    ] = "turns",
    seed: Annotated[int, typer.Option()] = 1,
    seeds: Annotated[int, typer.Option(min=1, max=10_000, help="So many days, from that seed on.")] = 1,
    plot: Annotated[bool, typer.Option(help="Curves of the first day.")] = True,
    as_json: Annotated[bool, typer.Option("--json", help="To standard output.")] = False,
) -> None:
    """Every watch is lost at one instant: who knows the list when, and whether the fleet comes back by itself."""
    from harecross.fleet.rehearsal import Rehearsal, bound
    from harecross.fleet.waits import WAITS

    if waits not in WAITS:
        stop(f"--waits {waits}: one of {', '.join(WAITS)}")
    told = read(path, nodes, discovery_rate, trigger)
    try:
        results = days(told.fleet.nodes, seeds, lambda n: Rehearsal(told.day(seed + n), WAITS[waits]).run())
    except ValueError as e:
        stop(f"{path or 'options'}: {e}")
    least = bound(results[0].day)
    if as_json:
        print(json.dumps([row(r) for r in results]))
    else:
        show(results, least, waits, plot)
    all_played(len(results), seeds)
    if not all(r.recovered for r in results):
        raise typer.Exit(1)


@fleet_app.command("sums")
def sums(
    path: Annotated[
        Path | None, typer.Argument(help="The fleet and its tier (TOML); without it, the options alone.")
    ] = None,
    nodes: Annotated[int | None, typer.Option(min=1, max=20_000, help="Nodes that call the tier.")] = None,
    servers: Annotated[int | None, typer.Option(min=1, max=20_000, help="Servers of the tier.")] = None,
    event: Annotated[str | None, typer.Option(help="calm, herd, lost, replaced or returned.")] = None,
    seed: Annotated[int, typer.Option()] = 1,
    seeds: Annotated[int, typer.Option(min=1, max=10_000, help="So many days, from that seed on.")] = 1,
    as_json: Annotated[bool, typer.Option("--json", help="To standard output.")] = False,
) -> None:
    """What all nodes add up to at one server, beside the bound that arithmetic gives. 1 where one is over."""
    from harecross.console import out, table
    from harecross.fleet.sums import EVENTS, Sums

    told = read(path, nodes, None, None)
    import msgspec

    if event is not None and event not in EVENTS:
        stop(f"--event {event}: one of {', '.join(EVENTS)}")
    changes = {k: v for k, v in (("servers", servers), ("event", event)) if v is not None}
    told = msgspec.structs.replace(told, tier=msgspec.structs.replace(told.tier, **changes))
    played = days(told.fleet.nodes, seeds, lambda n: Sums(told.summed(seed + n)).run())
    over = sum(not s.kept for day in played for s in day.values())
    if as_json:
        rows = [{k: {"most": s.most, "bound": s.bound} for k, s in day.items()} for day in played]
        print(
            json.dumps([{"seed": seed + n, "event": told.tier.event, "sums": r} for n, r in enumerate(rows)])
        )
    else:
        title = f"{told.fleet.nodes} nodes, {told.tier.servers} servers, {told.tier.event}: at one server"
        t = table(title, "what", "most seen", "bound by arithmetic")
        for name in played[0]:
            worst = max((day[name] for day in played), key=lambda s: s.most / s.bound)
            t.add_row(name, f"{worst.most:,.2f}", f"{worst.bound:,.2f}", style="" if worst.kept else "red")
        out.print(t)
    all_played(len(played), seeds)
    if over:
        raise typer.Exit(1)


def days(nodes: int, seeds: int, play: Callable[[int], T]) -> list[T]:
    """So many days, one after another; an interrupt ends them early, 130 where none was over."""
    from rich.progress import Progress

    from harecross.console import err

    played: list[T] = []
    with Progress(console=err, transient=True, disable=not err.is_terminal) as progress:
        task = progress.add_task(f"{nodes} nodes", total=seeds)
        try:
            for n in range(seeds):
                played.append(play(n))
                progress.advance(task)
        except KeyboardInterrupt:
            if not played:
                stop("interrupted before the first day was over", 130)
    return played


def all_played(count: int, seeds: int) -> None:
    """Says so where an interrupt left some out."""
    if count < seeds:
        stop(f"interrupted after {count} of {seeds} days", 130)


def read(path: Path | None, nodes: int | None, rate: float | None, trigger: str | None) -> FleetFile:
    """The file's day, with what the options say instead."""
    try:
        import msgspec

        from harecross.fleet.file import FleetFile, read_fleet
        from harecross.fleet.rehearsal import TRIGGERS
        from harecross.operators import OperatorsFileError
    except ImportError as e:
        stop(f"fleet needs the extra `demo`: {e}")
    try:
        told = read_fleet(path) if path is not None else FleetFile()
    except OperatorsFileError as e:
        stop(str(e))
    if trigger is not None and trigger not in TRIGGERS:
        stop(f"--trigger {trigger}: one of {', '.join(TRIGGERS)}")
    change = msgspec.structs.replace
    if nodes is not None:
        told = change(told, fleet=change(told.fleet, nodes=nodes))
    if rate is not None:
        told = change(told, discovery=change(told.discovery, rate=rate))
    if trigger is not None:
        told = change(told, trigger=change(told.trigger, what=trigger))
    return told


def row(r: Result) -> dict[str, Any]:
    """One day's figures; null for what never came."""
    from harecross.fleet.rehearsal import bound

    known = {f"{part:g}": None if r.share(part) == inf else round(r.share(part), 3) for part in PARTS}
    return {
        "seed": r.day.seed, "nodes": r.day.nodes, "bound_s": round(bound(r.day), 3), "listen_again_s": known,
        "calls": sum(r.calls.values()), "worked_in_vain": r.in_vain, "turned_away": r.turned_away,
        "drains_late": r.late, "recovered": r.recovered, "may_send_late_s": round(r.forbidden, 3),
        "start_to_ready_s": {f"{part:g}": round(r.after_start(part), 3) for part in PARTS} if r.ready else None,
    }  # fmt: skip


def seconds(value: float) -> str:
    return "never" if value == inf else f"{value:.1f} s"


def show(results: list[Result], least: float, waits: str, plot: bool) -> None:
    from harecross.console import out, table

    first = results[0]
    t = table(
        f"{first.day.nodes} nodes, {first.day.discovery.rate:g} calls a second, {first.day.trigger}: {waits}",
        "seed", "half listen again", "nine in ten", "all", "calls", "in vain", "turned away", "drains known late",
    )  # fmt: skip
    for r in results[:20]:
        t.add_row(
            str(r.day.seed), *(seconds(r.share(p)) for p in (0.5, 0.9, 1.0)),
            *(f"{n:,}" for n in (sum(r.calls.values()), r.in_vain, r.turned_away, r.late)),
        )  # fmt: skip
    out.print(t)
    if first.ready:
        worst, late = max(r.ready[-1] for r in results), sum(r.forbidden for r in results)
        half = max(r.after_start(0.5) for r in results)
        out.print(
            f"from a start to the first send: half of the nodes {half:.1f} s, all {worst:.1f} s; they might send by a "
            f"list that was binding-old for {late:.1f} s, all together",
            highlight=False, style="red" if late else "",
        )  # fmt: skip
    worst = max(r.back[-1] for r in results)
    text = f"by arithmetic all can be answered after {least:.1f} s; the worst of {len(results)}: {seconds(worst)}"
    out.print(text, highlight=False)
    out_for_good = sum(not r.recovered for r in results)
    if out_for_good:
        out.print(
            f"{out_for_good} of {len(results)} days: nodes were still without a list at the end", style="red"
        )
    if plot:
        draw(first)


def draw(r: Result) -> None:
    """Calls, answers and the line by second, on a library where it is there."""
    from harecross.console import out

    try:
        import plotext
    except ImportError:
        out.print("no plot: it needs the extra `demo`", highlight=False)
        return
    last = int(min(r.day.length - r.day.at, max(10.0, 1.5 * min(r.back[-1], 60.0))))
    x = list(range(last))
    plotext.clear_figure()
    plotext.theme("clear")
    plotext.plot_size(100, 20)
    plotext.plot(x, [r.calls[s] for s in x], label="calls a second")
    plotext.plot(x, [r.answered[s] for s in x], label="answered a second")
    plotext.plot(x, [sum(b <= s for b in r.back) for s in x], label="nodes that listen again")
    plotext.xlabel("seconds after the trigger")
    print(plotext.build())
