"""`harecross shift`: plans checked, and rehearsed on a model. Status 0, 2 for wrong use."""

from __future__ import annotations

import json
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import typer

from harecross.exits import stop

if TYPE_CHECKING:
    from harecross.shifts.plan import Plan

shift_app = typer.Typer(no_args_is_help=True, help="Traffic moved step by step between two pools.")
plan_app = typer.Typer(no_args_is_help=True, help="Plans.")
shift_app.add_typer(plan_app, name="plan")

File = Annotated[Path, typer.Argument(help="The plan (TOML).")]
FAULTS = ("none", "slow", "errors", "late", "vanished", "both-slow")


@plan_app.command("check")
def check(path: File) -> None:
    """Whether a plan can be used, and what it says."""
    plan = read(path)
    least = sum(s.least_s for s in plan.steps)
    shares = ", ".join(f"{s.share:.0%}" for s in plan.steps)
    print(f"{path}: {plan.name}: {shares}; {least:g} s at least; false alarms {plan.judge.false_alarms:.1%}")


def read(path: Path) -> Plan:
    try:
        from harecross.operators import OperatorsFileError
        from harecross.shifts.plan import read_plan
    except ImportError as e:
        stop(f"shift needs the extra `operators`: {e}")
    try:
        return read_plan(path)
    except OperatorsFileError as e:
        stop(str(e))


@shift_app.command("rehearse")
def rehearse(
    path: File,
    fault: Annotated[str, typer.Option(help=f"What goes wrong: {', '.join(FAULTS)}.")] = "none",
    share: Annotated[float, typer.Option(min=0, max=1, help="From which share on.")] = 0.3,
    size: Annotated[float, typer.Option(min=0, help="Times slower; share of errors.")] = 3.0,
    rate: Annotated[float, typer.Option(min=1, max=10_000, help="First tries a second.")] = 60.0,
    seed: Annotated[int, typer.Option()] = 1,
    as_json: Annotated[bool, typer.Option("--json", help="To standard output.")] = False,
) -> None:
    """Play the plan on a model of two pools: what would be decided when, and why. No node is asked."""
    from harecross.shifts.model import Weather, play

    if fault not in FAULTS:
        stop(f"--fault {fault}: one of {', '.join(FAULTS)}")
    if fault == "errors" and size > 1:
        stop(f"--size {size:g}: a share of errors is at most 1")
    weather = {
        "slow": Weather(slow=size), "errors": Weather(errors=size), "late": Weather(slow=20.0),
        "vanished": Weather(lost=1.0), "both-slow": Weather(slow=20.0), "none": Weather(),
    }[fault]  # fmt: skip
    plan = read(path)
    out = play(
        plan,
        seed,
        None
        if fault == "none"
        else lambda since, now, candidate: weather if candidate or fault == "both-slow" else None,
        rate,
        lambda now, present: present >= share,
        seconds=4 * sum(s.least_s for s in plan.steps) + 600,
    )
    if as_json:
        print(
            json.dumps(
                {
                    "state": str(out.state),
                    "seconds": out.seconds,
                    "decisions": [d.to_doc() for d in out.decisions],
                }
            )
        )
        return
    from harecross.console import out as console
    from harecross.console import table

    t = table(f"{plan.name}: {out.state} after {out.seconds:g} s", "at", "state", "share", "why", "evidence")
    for d in out.decisions:
        t.add_row(f"{d.at:,.0f} s", str(d.state), f"{d.share:.0%}", d.why, f"{d.figures['evidence']:g}")
    console.print(t)
    console.print(f"an undo needs evidence of {1 / plan.judge.false_alarms:g}", highlight=False)
