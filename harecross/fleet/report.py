"""Reports of rehearsals and of tier simulations: tables, a plot and JSON rows."""

from __future__ import annotations

from math import inf
from typing import Any

from harecross.console import out, table
from harecross.fleet.result import RehearsalResult
from harecross.fleet.tier_load import BoundedSum

# Times are reported for these fractions of the nodes.
REPORTED_FRACTIONS = (0.5, 0.9, 0.99, 1.0)
MAX_TABLE_ROWS = 20
MAX_PLOTTED_RECOVERY_S = 60.0


def rehearsal_row(result: RehearsalResult) -> dict[str, Any]:
    """Returns one rehearsal's result as a JSON object; a time is None if the nodes did not recover."""
    scenario = result.scenario
    recovery: dict[str, float | None] = {}
    for fraction in REPORTED_FRACTIONS:
        time = result.recovery_time(fraction)
        recovery[f"{fraction:g}"] = None if time == inf else round(time, 3)
    ready = {
        f"{fraction:g}": round(result.ready_time(fraction), 3)
        for fraction in REPORTED_FRACTIONS
        if result.ready_times
    }
    return {
        "seed": scenario.seed,
        "nodes": scenario.nodes,
        "bound_s": round(scenario.earliest_recovery_s, 3),
        "listen_again_s": recovery,
        "calls": sum(result.calls.values()),
        "worked_in_vain": result.wasted_calls,
        "turned_away": result.rejected_calls,
        "drains_late": result.late_drains,
        "recovered": result.recovered,
        "may_send_late_s": round(result.stale_send_s, 3),
        "start_to_ready_s": ready or None,
    }


def tier_row(seed: int, event: str, sums: dict[str, BoundedSum]) -> dict[str, Any]:
    """Returns the result of one tier simulation as a JSON object."""
    figures = {name: {"most": entry.highest, "bound": entry.bound} for name, entry in sums.items()}
    return {"seed": seed, "event": event, "sums": figures}


def format_seconds(value: float) -> str:
    """Formats a time for display; an infinite time is shown as "never"."""
    return "never" if value == inf else f"{value:.1f} s"


def print_rehearsals(results: list[RehearsalResult], schedule: str, plot: bool) -> None:
    """Prints tables and summaries of the results, and a plot of the first one if `plot` is set."""
    out.print(rehearsal_table(results, schedule))
    if results[0].ready_times:
        print_start_times(results)
    print_recovery(results)
    if plot:
        print_plot(results[0])


def rehearsal_table(results: list[RehearsalResult], schedule: str) -> Any:
    """Returns a table with a row for each rehearsal, up to `MAX_TABLE_ROWS`."""
    scenario = results[0].scenario
    rate = scenario.discovery.calls_per_second
    rows = table(
        f"{scenario.nodes} nodes, {rate:g} calls a second, {scenario.trigger}: {schedule}",
        "seed", "half listen again", "nine in ten", "all", "calls", "in vain", "turned away", "drains known late",
    )  # fmt: skip
    for result in results[:MAX_TABLE_ROWS]:
        times = (format_seconds(result.recovery_time(fraction)) for fraction in (0.5, 0.9, 1.0))
        counts = (sum(result.calls.values()), result.wasted_calls, result.rejected_calls, result.late_drains)
        rows.add_row(str(result.scenario.seed), *times, *(f"{count:,}" for count in counts))
    return rows


def print_start_times(results: list[RehearsalResult]) -> None:
    """Prints how long restarted nodes took until they could send, and how long they could send with a stale list."""
    slowest = max(result.ready_times[-1] for result in results)
    stale = sum(result.stale_send_s for result in results)
    half = max(result.ready_time(0.5) for result in results)
    out.print(
        f"from a start to the first send: half of the nodes {half:.1f} s, all {slowest:.1f} s; they might send by a "
        f"stale list for {stale:.1f} s, all together",
        highlight=False, style="red" if stale else "",
    )  # fmt: skip


def print_recovery(results: list[RehearsalResult]) -> None:
    """Prints the longest recovery time next to the shortest possible one."""
    earliest = results[0].scenario.earliest_recovery_s
    worst = format_seconds(max(result.recovery_times[-1] for result in results))
    out.print(
        f"by arithmetic all can be answered after {earliest:.1f} s; the worst of {len(results)}: {worst}",
        highlight=False,
    )
    failed = sum(not result.recovered for result in results)
    if failed:
        out.print(f"{failed} of {len(results)} runs: nodes were still without a list at the end", style="red")


def print_plot(result: RehearsalResult) -> None:
    """Plots calls, responses and recovered nodes per second, if the plot library is installed."""
    try:
        import plotext
    except ImportError:
        out.print("no plot: it needs the extra `demo`", highlight=False)
        return
    scenario = result.scenario
    recovery = min(result.recovery_times[-1], MAX_PLOTTED_RECOVERY_S)
    seconds = range(int(min(scenario.duration - scenario.trigger_at, max(10.0, 1.5 * recovery))))
    recovered = [sum(time <= second for time in result.recovery_times) for second in seconds]
    plotext.clear_figure()
    plotext.theme("clear")
    plotext.plot_size(100, 20)
    plotext.plot(list(seconds), [result.calls[second] for second in seconds], label="calls a second")
    plotext.plot(list(seconds), [result.answers[second] for second in seconds], label="answered a second")
    plotext.plot(list(seconds), recovered, label="nodes that listen again")
    plotext.xlabel("seconds after the trigger")
    print(plotext.build())


def print_tier_table(title: str, runs: list[dict[str, BoundedSum]]) -> None:
    """Prints each sum from the run in which it came closest to its bound or exceeded it most."""
    rows = table(title, "what", "most seen", "bound by arithmetic")
    for name in runs[0]:
        worst = max((sums[name] for sums in runs), key=lambda entry: entry.highest / entry.bound)
        style = "" if worst.within_bound else "red"
        rows.add_row(name, f"{worst.highest:,.2f}", f"{worst.bound:,.2f}", style=style)
    out.print(rows)
