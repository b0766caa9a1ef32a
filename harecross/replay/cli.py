"""The commands `harecross replay` and `harecross demo`, which send requests to real nodes and stand-in servers."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import typer

from harecross.exits import STANDARD_OUTPUT, exit_with_error, write_json
from harecross.traces.cli import Files, FormatName, JsonFile, Late, MappingFile, Window, trace_opener

if TYPE_CHECKING:
    from rich.console import Console

    from harecross.replay.plan import ReplayOptions, ReplayPlan
    from harecross.replay.run import Observer, ReplayRun

INTERRUPTED_STATUS = 130
DRAIN_GRACE_MS = 250  # how long a server may get requests after its drain is announced; shown with the result


def demo(
    seed: Annotated[int, typer.Option(help="Seed of the arrival times and of the work of the requests.")] = 1,
) -> None:
    """Run nodes and stand-in servers, of which one slows down and another drains; takes about ten seconds."""
    from harecross import demo as scenario
    from harecross.console import disposition_table, out
    from harecross.replay.report import replay_report
    from harecross.replay.run import run_replay

    out.print(
        f"{scenario.NODES} nodes, {len(scenario.SERVERS)} stand-in servers, "
        f"{scenario.REQUESTS_PER_SECOND:g} requests a second with a burst; s0 slows down eightfold at 1.5 s, "
        "s1 drains at 3 s, s0 recovers at 4.5 s."
    )

    def start(observer: Observer) -> Coroutine[Any, Any, ReplayRun]:
        arrivals = scenario.arrivals(seed)
        servers = [scenario.SERVERS]
        return run_replay(
            arrivals, scenario.CLASSES, servers, scenario.NODES, scenario.EVENTS, seed=seed, observer=observer
        )

    report = replay_report(_run_with_live_table(out, "", start))
    out.print(disposition_table("Clients", report))
    after_ms = report["servers"]["s1"]["latest_after_told_us"] / 1000
    drained = (
        f"new work for {after_ms:.1f} ms (the rule: {DRAIN_GRACE_MS} ms)." if after_ms else "no new work."
    )
    out.print(
        f"service {report['service']:.1%} of the worth asked for, {report['attempts_per_request']:.2f} attempts a "
        f"request. After discovery was told to drain s1, it got {drained}"
    )
    for event in report["events"]:
        factor = f" x{event['factor']:g}" if "factor" in event else ""
        out.print(f"  {event['at_s']:.1f} s  {event['what']} {event['name']}{factor}")


def replay(
    files: Files,
    speed: Annotated[float, typer.Option(help="Speed of the replay relative to the trace.")] = 1.0,
    servers: Annotated[
        int | None,
        typer.Option(
            min=1,
            max=10_000,
            help="Number of stand-in servers of a tier, and maximum number of machines of the trace; derived from "
            "the trace if not given.",
        ),
    ] = None,
    nodes: Annotated[int, typer.Option(min=1, max=1024, help="Number of real nodes of a tier.")] = 2,
    start: Annotated[
        float,
        typer.Option(
            "--from", help="Start of the replayed part, in seconds of the trace after its first request."
        ),
    ] = 0.0,
    length: Annotated[
        float | None,
        typer.Option(
            "--for",
            help="Length of the replayed part, in seconds of the trace; the rest of the trace if not given.",
        ),
    ] = None,
    sample: Annotated[
        float, typer.Option(help="Share of the requests that are replayed, drawn with the seed.")
    ] = 1.0,
    retries: Annotated[
        int,
        typer.Option(
            min=0,
            max=10,
            help="Maximum number of times that a client retries a request after a shed or failed attempt.",
        ),
    ] = 1,
    mean_work: Annotated[
        float,
        typer.Option(
            help="Mean work of a request in milliseconds, to which the work in the trace is scaled."
        ),
    ] = 20.0,
    event: Annotated[
        list[str] | None,
        typer.Option(
            help="An event, as SECONDS:WHAT:NAME or SECONDS:slow:NAME:FACTOR; the option can be repeated."
        ),
    ] = None,
    report_window: Annotated[
        float, typer.Option(help="Length of a time window of the report, in seconds.")
    ] = 1.0,
    seed: Annotated[int, typer.Option(help="Seed of all random draws.")] = 1,
    name: FormatName = None,
    mapping: MappingFile = None,
    window: Window = 60.0,
    late: Late = "drop",
    json_to: JsonFile = None,
    html: Annotated[Path | None, typer.Option(help="File for an HTML page with plots.")] = None,
) -> None:
    """Replay a trace against real nodes and stand-in servers, open loop."""
    from harecross.console import err, out
    from harecross.replay.plan import ReplayOptions, parse_event, plan_replay
    from harecross.replay.report import replay_report
    from harecross.traces.row_tally import TraceError

    options = ReplayOptions(speed, start, length, sample, servers, mean_work)
    _check_options(options, report_window)
    try:
        events = [parse_event(text) for text in event or []]
        plan = plan_replay(trace_opener(files, name, mapping, window, late, seed), options)
    except (TraceError, ValueError) as error:
        exit_with_error(str(error))
    except KeyboardInterrupt:
        exit_with_error("interrupted", INTERRUPTED_STATUS)
    title = f"Replay of {files[0].name} at {speed:g} times its rate"
    console = err if json_to == STANDARD_OUTPUT else out
    _print_plan(console, plan, nodes)
    run = _run_plan(console, plan, nodes, events, retries, seed, report_window)
    report = _plan_report(plan, files, speed, seed) | replay_report(run)
    write_json(report, json_to)
    if html is not None:
        _write_html(html, report, title)
    _print_report(console, report, title)


def _check_options(options: ReplayOptions, report_window: float) -> None:
    """Exits with an error message if an option is out of range."""
    length, sample, work = options.length_s, options.sample, options.mean_work_ms
    checks = (
        ("--speed", 0 < options.speed <= 1e6, "above 0"),
        ("--from", options.start_s >= 0, "0 or more"),
        ("--for", length is None or length > 0, "above 0"),
        ("--sample", 0 < sample <= 1, "above 0, at most 1"),
        ("--mean-work", 0 < work <= 2000, "above 0, at most 2000"),
        ("--report-window", report_window >= 0.01, "0.01 or more"),
    )
    for option, in_range, allowed in checks:
        if not in_range:
            exit_with_error(f"{option}: must be {allowed}")


def _run_plan(
    console: Console,
    plan: ReplayPlan,
    nodes: int,
    events: list[Any],
    retries: int,
    seed: int,
    report_window: float,
) -> ReplayRun:
    from harecross.replay.accounting import RetryPolicy
    from harecross.replay.clients import Arrival
    from harecross.replay.run import run_replay

    rows = zip(plan.due_us, plan.class_index, plan.work_us, plan.tier, strict=True)
    arrivals = (Arrival(*row) for row in rows)
    policy = RetryPolicy(retries)

    def start(observer: Observer) -> Coroutine[Any, Any, ReplayRun]:
        all_events = [*plan.events, *events]
        return run_replay(
            arrivals, plan.classes, plan.servers, nodes, all_events, policy, seed, report_window, observer
        )

    return _run_with_live_table(console, f" of {plan.due_us[-1] / 1e6:.1f}", start)


def _run_with_live_table(
    console: Console, total: str, start: Callable[[Observer], Coroutine[Any, Any, ReplayRun]]
) -> ReplayRun:
    """Runs a replay to its end, and shows a live table if the output is a terminal.

    The title of the table is the elapsed seconds, followed by `total`.
    """
    import uvloop
    from rich.live import Live

    from harecross.console import live_table
    from harecross.standins.cluster import ClusterError

    try:
        with Live(console=console, refresh_per_second=4, transient=True) as live:

            def observe(run: ReplayRun) -> None:
                if console.is_terminal:
                    live.update(live_table(run, f"{run.generator.now_us() / 1e6:.1f}{total} s"))

            return uvloop.run(start(observe))
    except ClusterError as error:
        exit_with_error(str(error), 1)
    except KeyboardInterrupt:
        exit_with_error("interrupted; nothing is left running", INTERRUPTED_STATUS)


def _print_plan(console: Console, plan: ReplayPlan, nodes: int) -> None:
    servers = " + ".join(str(len(names)) for names in plan.servers)
    console.print(
        f"{plan.format}: {len(plan.due_us):,} requests over {plan.due_us[-1] / 1e6:.1f} s, {nodes} nodes a tier, "
        f"{servers} servers, {plan.requests_left_out:,} requests left out, work x{plan.work_scale:.3g}"
    )
    if plan.machines_left_out:
        console.print(
            f"{plan.machines_left_out} machines of the trace are left out (--servers sets how many are replayed)"
        )


def _plan_report(plan: ReplayPlan, files: list[Path], speed: float, seed: int) -> dict[str, Any]:
    """Returns the part of the JSON report that describes the plan."""
    from harecross.replay.plan import IDEMPOTENCY_BY_EFFECT

    effects = {idempotency: effect for effect, idempotency in IDEMPOTENCY_BY_EFFECT.items()}
    tally = plan.tally
    return {
        "format": plan.format,
        "files": [f.name for f in files],
        "speed": speed,
        "seed": seed,
        "rows_read": tally.read,
        "rows_kept": tally.kept,
        "rows_reordered": tally.reordered,
        "rows_dropped": {str(cause): count for cause, count in sorted(tally.dropped.items())},
        "requests_left_out": plan.requests_left_out,
        "work_scale": plan.work_scale,
        "machines_left_out": plan.machines_left_out,
        "class_settings": {
            c.name: {
                "effect": effects[c.idempotency],
                "worth": c.priority_weight,
                "aim_ms": c.latency_objective_us / 1000,
                "deadline_ms": c.deadline_us / 1000,
            }
            for c in plan.classes
        },
    }


def _write_html(path: Path, report: dict[str, Any], title: str) -> None:
    from harecross.replay.html_report import html_report

    try:
        path.write_text(html_report(report, title))
    except OSError as error:
        exit_with_error(f"--html {path}: {error.strerror}")


def _print_report(console: Console, report: dict[str, Any], title: str) -> None:
    from harecross.console import disposition_table

    console.print(disposition_table(title, report))
    console.print(
        f"service {report['service']:.4f}: worth {report['worth_in_time']:g} in time of {report['worth_asked']:g} "
        f"asked; {report['attempts_per_request']} attempts a request; generator late by "
        f"{report['lateness_ms']['p99']} ms (p99)"
    )
    for event in report["events"]:
        error = "" if event["done"] else f": {event['error']}"
        console.print(f"  {event['at_s']:.2f} s  {event['what']} {event['name']}{error}")
    if not report["valid"]:
        bound_ms = report["lateness_bound_ms"]
        console.print(f"NOT VALID: the generator's lateness is over {bound_ms:g} ms at its 99th percentile")
