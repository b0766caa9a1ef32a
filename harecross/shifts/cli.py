"""`harecross shift`: checks plans, and rehearses them in a simulation.

The exit status is 0, or 2 for invalid arguments or plans.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import typer

from harecross.exits import exit_with_error

if TYPE_CHECKING:
    from harecross.shifts.plan import Plan
    from harecross.shifts.simulation import Fault, SimulationResult

shift_app = typer.Typer(no_args_is_help=True, help="Shift traffic step by step between two pools.")
plan_app = typer.Typer(no_args_is_help=True, help="Commands for plans.")
shift_app.add_typer(plan_app, name="plan")

PlanPath = Annotated[Path, typer.Argument(help="The plan, a TOML file.")]
FAULTS = ("none", "slow", "errors", "late", "vanished", "both-slow")
# The faults `late` and `both-slow` multiply latencies by this factor.
LATE_FACTOR = 20.0


@plan_app.command("check")
def check(path: PlanPath) -> None:
    """Check that a plan is valid, and summarize it."""
    plan = load_plan(path)
    min_duration_s = sum(step.least_s for step in plan.steps)
    shares = ", ".join(f"{step.share:.0%}" for step in plan.steps)
    print(
        f"{path}: {plan.name}: {shares}; {min_duration_s:g} s at least; false alarms {plan.judge.false_alarms:.1%}"
    )


def load_plan(path: Path) -> Plan:
    """Reads a plan from a file. Ends the command if the plan is invalid."""
    try:
        from harecross.operators import OperatorsFileError
        from harecross.shifts.plan import read_plan
    except ImportError as error:
        exit_with_error(f"shift needs the extra `operators`: {error}")
    try:
        return read_plan(path)
    except OperatorsFileError as error:
        exit_with_error(str(error))


@shift_app.command("rehearse")
def rehearse(
    path: PlanPath,
    fault: Annotated[
        str, typer.Option(help=f"The fault of the simulated pools: {', '.join(FAULTS)}.")
    ] = "none",
    share: Annotated[
        float, typer.Option(min=0, max=1, help="The candidate's share at which the fault begins.")
    ] = 0.3,
    size: Annotated[
        float,
        typer.Option(
            min=0, help="The factor by which slow responses take longer, or the fraction of errors."
        ),
    ] = 3.0,
    rate: Annotated[float, typer.Option(min=1, max=10_000, help="First attempts per second.")] = 60.0,
    seed: Annotated[int, typer.Option(help="The seed of all random numbers.")] = 1,
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON to standard output.")] = False,
) -> None:
    """Simulate the plan on two pools, and show what would be decided when and why. No node is contacted."""
    from harecross.shifts.simulation import simulate

    if fault not in FAULTS:
        exit_with_error(f"--fault: {fault!r} is not one of {', '.join(FAULTS)}")
    if fault == "errors" and size > 1:
        exit_with_error(f"--size: {size:g} is greater than 1, the largest fraction of errors")
    plan = load_plan(path)
    result = simulate(
        plan,
        seed,
        make_fault(fault, size),
        rate,
        lambda now, current_share: current_share >= share,
        seconds=4 * sum(step.least_s for step in plan.steps) + 600,
    )
    if as_json:
        print_json(result)
    else:
        print_table(plan, result)


def make_fault(name: str, size: float) -> Fault | None:
    """Returns the fault with the given name, or None for `none`."""
    from harecross.shifts.simulation import LoadScenario

    if name == "none":
        return None
    scenario = {
        "slow": LoadScenario(latency_factor=size),
        "errors": LoadScenario(error_fraction=size),
        "late": LoadScenario(latency_factor=LATE_FACTOR),
        "vanished": LoadScenario(lost_fraction=1.0),
        "both-slow": LoadScenario(latency_factor=LATE_FACTOR),
    }[name]
    affects_control = name == "both-slow"
    return lambda since_s, share, candidate: scenario if candidate or affects_control else None


def print_json(result: SimulationResult) -> None:
    """Prints the result of a rehearsal as JSON."""
    decisions = [decision.to_json() for decision in result.decisions]
    print(json.dumps({"state": str(result.state), "seconds": result.seconds, "decisions": decisions}))


def print_table(plan: Plan, result: SimulationResult) -> None:
    """Prints the result of a rehearsal as a table."""
    from harecross.console import out, table

    title = f"{plan.name}: {result.state} after {result.seconds:g} s"
    rows = table(title, "at", "state", "share", "why", "evidence")
    for decision in result.decisions:
        rows.add_row(
            f"{decision.at:,.0f} s",
            str(decision.state),
            f"{decision.share:.0%}",
            decision.reason,
            f"{decision.figures['evidence']:g}",
        )
    out.print(rows)
    out.print(f"an undo needs evidence of {1 / plan.judge.false_alarms:g}", highlight=False)
