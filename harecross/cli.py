"""The `harecross` command. Each subcommand imports what it needs; an error is one line and status 2."""

from __future__ import annotations

import json
import os
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import typer

from harecross.dns.cli import dns_app
from harecross.doors.cli import door_app
from harecross.exits import stop
from harecross.fleet.cli import fleet_app
from harecross.follow.cli import follow
from harecross.shifts.cli import shift_app
from harecross.sources.cli import sources_app
from harecross.store.cli import store_app

if TYPE_CHECKING:
    from rich.console import Console

    from harecross.replay.run import Run

app = typer.Typer(no_args_is_help=True, add_completion=False, pretty_exceptions_enable=False,
                  help="A load balancer for services that call services.")  # fmt: skip
trace_app = typer.Typer(no_args_is_help=True, help="Public cluster traces.")
app.add_typer(trace_app, name="trace")
control_app = typer.Typer(invoke_without_command=True)
app.add_typer(control_app, name="control")
app.add_typer(door_app, name="door")
app.add_typer(dns_app, name="dns")
app.add_typer(sources_app, name="sources")
app.add_typer(store_app, name="store")
app.add_typer(shift_app, name="shift")
app.add_typer(fleet_app, name="fleet")
app.command("follow")(follow)

Files = Annotated[list[Path], typer.Argument(help="The trace's files, plain, .gz or .zst, in order.")]
FormatName = Annotated[str | None, typer.Option("--format", help="In place of recognising it.")]
MappingFile = Annotated[
    Path | None, typer.Option("--mapping", help="A TOML file: classes; columns of `generic`.")
]
Window = Annotated[
    float, typer.Option("--window", help="Seconds of the trace within which order is put right.")
]
Late = Annotated[str, typer.Option("--late", help="A row beyond the window: drop or clamp.")]


@app.command()
def node(
    config: Annotated[Path | None, typer.Option(help="The operators' file (deploy/harecross.toml).")] = None,
) -> None:
    """Run one node; LB_NAME, LB_LISTEN, LB_DISCOVERY and LB_CONFIG are set."""
    if config is not None:
        os.environ["HARECROSS_CONFIG"] = str(config)
    from harecross.node.__main__ import main

    raise typer.Exit(main())


def play_live(
    console: Console, of: str, start: Callable[[Callable[[Run], None]], Coroutine[Any, Any, Run]]
) -> Run:
    """Plays a run to its end, with a live table on a terminal; `of` follows the seconds in its title."""
    import uvloop
    from rich.live import Live

    from harecross.console import live_table
    from harecross.standins.cluster import ClusterError

    try:
        with Live(console=console, refresh_per_second=4, transient=True) as live:

            def watch(run: Run) -> None:
                if console.is_terminal:
                    live.update(live_table(run, f"{run.loop.now() / 1e6:.1f}{of} s"))

            return uvloop.run(start(watch))
    except ClusterError as e:
        stop(str(e), 1)
    except KeyboardInterrupt:
        stop("interrupted; nothing is left running", 130)


@control_app.callback()
def control(
    context: typer.Context,
    config: Annotated[Path | None, typer.Option(help="The service's file (deploy/control.toml).")] = None,
) -> None:
    """Hand the decisions to other proxies over xDS; `status` asks a running service who holds what."""
    if context.invoked_subcommand is not None:
        return
    if config is None:
        stop("control: --config FILE is needed (deploy/control.toml is one)")
    try:
        from harecross.xds.service import main as serve
    except ImportError as e:
        stop(f"control needs the extra `xds`: {e}")
    from harecross.operators import OperatorsFileError

    try:
        serve(config)
    except OperatorsFileError as e:
        stop(str(e))


@control_app.command("status")
def control_status(
    address: Annotated[str, typer.Option(help="HOST:PORT of the service.")] = "127.0.0.1:18000",
    ca: Annotated[Path | None, typer.Option(help="With TLS: who signed the service's certificate.")] = None,
    cert: Annotated[Path | None, typer.Option(help="The client's certificate.")] = None,
    key: Annotated[Path | None, typer.Option(help="The client's key.")] = None,
    json_to: Annotated[str | None, typer.Option("--json", help="A file, or - for standard output.")] = None,
) -> None:
    """Each proxy: what it was sent, has acknowledged and has refused, and why."""
    try:
        from harecross.xds.ask import BadAnswer, ask
    except ImportError as e:
        stop(f"control status needs the extra `xds`: {e}")
    from harecross.console import out, table

    try:
        rows = ask(address, ca, cert, key)
    except BadAnswer as e:
        stop(str(e), 1)
    except OSError as e:
        stop(f"{e.filename}: {e.strerror}")
    write_json({"proxies": rows}, json_to)
    if json_to == "-":
        return
    t = table(f"{len(rows)} streams", "node", "address", "variant", "age s", "type", "state", "acknowledged")
    refusals = []
    for row in rows:
        for i, state in enumerate(row["types"] or [{}]):
            who = (row["node"], row["peer"], row["variant"], f"{row['age_s']:.0f}") if i == 0 else ("",) * 4
            t.add_row(*who, state.get("type", "-"), state.get("state", ""), state.get("acked", ""))
            if state.get("reason"):
                refusals.append(
                    f"{row['node']} refused {state['type']} {state['refused']}: {state['reason']}"
                )
    out.print(t)
    for line in refusals:
        out.print(line, highlight=False, markup=False, soft_wrap=True)


@app.command()
def demo(seed: Annotated[int, typer.Option(help="Of arrivals and works.")] = 1) -> None:
    """Real nodes before stand-in servers, one of which slows down and one of which drains: ten seconds."""
    from harecross import demo as scene
    from harecross.console import ends_table, out
    from harecross.replay.run import execute, report

    out.print(
        f"{scene.NODES} nodes, {len(scene.SERVERS)} stand-in servers, {scene.RATE:g} requests a second with a burst; "
        "s0 slows down eightfold at 1.5 s, s1 drains at 3 s, s0 recovers at 4.5 s."
    )
    run = play_live(
        out,
        "",
        lambda watch: execute(
            scene.arrivals(seed),
            scene.CLASSES,
            [scene.SERVERS],
            scene.NODES,
            scene.EVENTS,
            seed=seed,
            watch=watch,
        ),
    )
    told = report(run)
    out.print(ends_table("Clients", told))
    after = told["servers"]["s1"]["latest_after_told_us"] / 1000
    out.print(
        f"service {told['service']:.1%} of the worth asked for, "
        f"{told['attempts_per_request']:.2f} attempts a request. After discovery was told to drain s1, it got "
        + (f"new work for {after:.1f} ms (the rule: 250 ms)." if after else "no new work.")
    )
    for done in told["events"]:
        factor = f" x{done['factor']:g}" if "factor" in done else ""
        out.print(f"  {done['at_s']:.1f} s  {done['what']} {done['name']}{factor}")


def opener(files: list[Path], name: str | None, mapping: Path | None, window: float, late: str, seed: int):  # type: ignore[no-untyped-def]
    """A function that opens the trace anew each time, with progress on a terminal."""
    from harecross.replay.plan import default_paths
    from harecross.traces.mapping import read_mapping
    from harecross.traces.summary import Trace

    default_paths(files)
    if name is not None and name.endswith(".toml"):
        mapping, name = Path(name), "generic"
    told = read_mapping(mapping) if mapping is not None else None

    def open_trace(progress=None) -> Trace:  # type: ignore[no-untyped-def]
        return Trace(files, name, told, window, late, seed, progress=progress)

    return open_trace


@trace_app.command("inspect")
def inspect_command(
    files: Files,
    name: FormatName = None,
    mapping: MappingFile = None,
    window: Window = 60.0,
    late: Late = "drop",
    json_to: Annotated[str | None, typer.Option("--json", help="A file, or - for standard output.")] = None,
) -> None:
    """What a trace holds: rows kept and dropped by cause, requests, rates, classes."""
    from rich.progress import Progress, TextColumn, TimeElapsedColumn, TransferSpeedColumn

    from harecross.console import err, out, table
    from harecross.traces.causes import BadTrace
    from harecross.traces.summary import inspect

    try:
        open_trace = opener(files, name, mapping, window, late, 1)
        with Progress(
            TextColumn("reading"), TextColumn("{task.completed:,.0f} bytes"), TransferSpeedColumn(),
            TimeElapsedColumn(), console=err, transient=True, disable=not err.is_terminal,
        ) as progress:  # fmt: skip
            task = progress.add_task("reading", total=None)
            told = inspect(open_trace(lambda n: progress.advance(task, n)))
    except BadTrace as e:
        stop(str(e))
    except KeyboardInterrupt:
        stop("interrupted", 130)
    write_json(told, json_to)
    if json_to == "-":
        return
    out.print(
        f"{told['format']} ({', '.join(told['tables'])}): {told['rows_read']:,} rows read, {told['rows_kept']:,} kept "
        f"({told['rows_reordered']:,} put in order), {sum(told['rows_dropped'].values()):,} dropped"
    )
    for cause, count in told["rows_dropped"].items():
        out.print(
            f"  {cause}: {count:,} (first at {', '.join(told['first_dropped'][cause])})", highlight=False
        )
    out.print(
        f"{told['requests']:,} requests over {told['span_s']:,} s, {told['mean_rps']:,} a second on average and "
        f"{told['peak_rps']:,} at most" + (f"; {told['machines']} machines" if told["machines"] else "")
    )
    t = table("Classes", "class", "requests", "share", "effect", "worth", "aim ms", "deadline ms")
    for klass, c in told["classes"].items():
        t.add_row(klass, f"{c['requests']:,}", f"{c['share']:.1%}", c["effect"], f"{c['worth']:g}",
                  f"{c['aim_ms']:g}", f"{c['deadline_ms']:g}")  # fmt: skip
    out.print(t)


def write_json(value: dict[str, Any], to: str | None) -> None:
    if to == "-":
        print(json.dumps(value, indent=1))
    elif to is not None:
        try:
            Path(to).write_text(json.dumps(value, indent=1) + "\n")
        except OSError as e:
            stop(f"--json {to}: {e.strerror}")


@app.command()
def replay(
    files: Files,
    speed: Annotated[float, typer.Option(help="Times the trace's own rate.")] = 1.0,
    servers: Annotated[
        int | None, typer.Option(min=1, max=10_000, help="Stand-in servers; sized from the trace.")
    ] = None,
    nodes: Annotated[int, typer.Option(min=1, max=1024, help="Real nodes before them.")] = 2,
    start: Annotated[
        float, typer.Option("--from", help="Seconds of the trace after its first request.")
    ] = 0.0,
    length: Annotated[float | None, typer.Option("--for", help="Seconds of the trace.")] = None,
    sample: Annotated[float, typer.Option(help="Share of the requests, drawn from the seed.")] = 1.0,
    retries: Annotated[
        int, typer.Option(min=0, max=10, help="A client's own, of a refused or failed try.")
    ] = 1,
    mean_work: Annotated[float, typer.Option(help="Milliseconds the trace's mean work is scaled to.")] = 20.0,
    event: Annotated[
        list[str] | None, typer.Option(help="SECONDS:WHAT:NAME[:FACTOR], more than once.")
    ] = None,
    report_window: Annotated[float, typer.Option(help="Seconds of one window of the report.")] = 1.0,
    seed: Annotated[int, typer.Option()] = 1,
    name: FormatName = None,
    mapping: MappingFile = None,
    window: Window = 60.0,
    late: Late = "drop",
    json_to: Annotated[str | None, typer.Option("--json", help="A file, or - for standard output.")] = None,
    html: Annotated[Path | None, typer.Option(help="A page with plots.")] = None,
) -> None:
    """Replay a trace against real nodes and stand-in servers, open loop."""
    from harecross.console import ends_table, err, out
    from harecross.replay.callers import Arrival, Habits
    from harecross.replay.page import page
    from harecross.replay.plan import plan_replay, read_event
    from harecross.replay.run import execute, report
    from harecross.traces.causes import BadTrace

    for option, ok, allowed in (
        ("--speed", 0 < speed <= 1e6, "above 0"), ("--from", start >= 0, "0 or more"),
        ("--for", length is None or length > 0, "above 0"), ("--sample", 0 < sample <= 1, "above 0, at most 1"),
        ("--mean-work", 0 < mean_work <= 2000, "above 0, at most 2000"),
        ("--report-window", report_window >= 0.01, "0.01 or more"),
    ):  # fmt: skip
        if not ok:
            stop(f"{option}: {allowed}")
    try:
        events = [read_event(text) for text in event or []]
        open_trace = opener(files, name, mapping, window, late, seed)
        plan = plan_replay(open_trace, speed, start, length, sample, servers, mean_work)
    except (BadTrace, ValueError) as e:
        stop(str(e))
    except KeyboardInterrupt:
        stop("interrupted", 130)
    title = f"Replay of {files[0].name} at {speed:g} times its rate"
    quiet = json_to == "-"
    show = err if quiet else out
    show.print(
        f"{plan.format}: {len(plan.due):,} requests over {plan.due[-1] / 1e6:.1f} s, {nodes} nodes a tier, "
        f"{' + '.join(str(len(p)) for p in plan.servers)} servers, {plan.left_out:,} requests left out, "
        f"work x{plan.scale:.3g}"
    )
    if plan.machines_left_out:
        show.print(
            f"{plan.machines_left_out} machines of the trace are left out (--servers sets how many are played)"
        )
    rows = zip(plan.due, plan.klass, plan.work, plan.tier, strict=True)
    arrivals = (Arrival(d, k, w, t) for d, k, w, t in rows)
    run = play_live(
        show,
        f" of {plan.due[-1] / 1e6:.1f}",
        lambda watch: execute(
            arrivals, plan.classes, plan.servers, nodes, [*plan.events, *events], Habits(retries), seed,
            report_window, watch,
        ),
    )  # fmt: skip
    tally = plan.tally
    told = {
        "format": plan.format, "files": [f.name for f in files], "speed": speed, "seed": seed,
        "rows_read": tally.read, "rows_kept": tally.kept, "rows_reordered": tally.reordered,
        "rows_dropped": {str(c): n for c, n in sorted(tally.dropped.items())},
        "requests_left_out": plan.left_out, "work_scale": plan.scale, "machines_left_out": plan.machines_left_out,
        "class_settings": {
            c.name: {"effect": c.effect, "worth": c.worth, "aim_ms": c.aim / 1000, "deadline_ms": c.deadline / 1000}
            for c in plan.classes
        },
        **report(run),
    }  # fmt: skip
    write_json(told, json_to)
    if html is not None:
        try:
            html.write_text(page(told, title))
        except OSError as e:
            stop(f"--html {html}: {e.strerror}")
    show.print(ends_table(title, told))
    show.print(
        f"service {told['service']:.4f}: worth {told['worth_in_time']:g} in time of {told['worth_asked']:g} asked; "
        f"{told['attempts_per_request']} attempts a request; generator late by {told['lateness_ms']['p99']} ms (p99)"
    )
    for done in told["events"]:
        error = "" if done["done"] else f": {done['error']}"
        show.print(f"  {done['at_s']:.2f} s  {done['what']} {done['name']}{error}")
    if not told["valid"]:
        show.print(
            f"NOT VALID: the generator's lateness is over {told['lateness_bound_ms']:g} ms at its 99th percentile"
        )


def main() -> None:
    app()
