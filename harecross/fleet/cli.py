"""`harecross fleet`: simulations of a fleet whose nodes all act at the same moment.

The exit status is 0 if the fleet recovers and stays within its bounds, 1 if it does not, 2 for invalid arguments or
files, and 130 after an interrupt.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, TypeVar

import typer

from harecross.exits import exit_with_error

if TYPE_CHECKING:
    from harecross.fleet.fleet_file import FleetFile
    from harecross.fleet.result import RehearsalResult
    from harecross.fleet.tier_load import BoundedSum

ResultT = TypeVar("ResultT")
fleet_app = typer.Typer(no_args_is_help=True, help="Simulate a fleet whose nodes all act at the same moment.")

Nodes = Annotated[int | None, typer.Option(min=1, max=20_000, help="Nodes that subscribe to discovery.")]
TierNodes = Annotated[int | None, typer.Option(min=1, max=20_000, help="Nodes that call the tier.")]
Rate = Annotated[float | None, typer.Option(min=0.001, help="Calls that discovery serves per second.")]
TriggerName = Annotated[str | None, typer.Option(help="The event: silent, ended, broken, restart or down.")]
Waits = Annotated[
    str,
    typer.Option(
        help="The schedule of calls: turns (staggered rounds, as in real nodes), together (rounds that are not "
        "staggered), former (exponential backoff), jitter (backoff with full jitter) or even (uniform delays)."
    ),
]
Servers = Annotated[int | None, typer.Option(min=1, max=20_000, help="Servers of the tier.")]
EventName = Annotated[str | None, typer.Option(help="The event: calm, herd, lost, replaced or returned.")]
Seed = Annotated[int, typer.Option(help="The seed of the first run.")]
Seeds = Annotated[int, typer.Option(min=1, max=10_000, help="The number of runs, with consecutive seeds.")]
AsJson = Annotated[bool, typer.Option("--json", help="Print JSON to standard output.")]
Plot = Annotated[bool, typer.Option(help="Plot the first run.")]
ScenarioPath = Annotated[
    Path | None,
    typer.Argument(
        help="The TOML file of the fleet; without it, defaults apply. Options override its values."
    ),
]
TierPath = Annotated[
    Path | None,
    typer.Argument(
        help="The TOML file of the fleet and its tier; without it, defaults apply. Options override its values."
    ),
]


@fleet_app.callback()
def group() -> None:
    """Simulate a fleet whose nodes all act at the same moment."""


@fleet_app.command("rehearse")
def rehearse(
    path: ScenarioPath = None,
    nodes: Nodes = None,
    discovery_rate: Rate = None,
    trigger: TriggerName = None,
    waits: Waits = "turns",
    seed: Seed = 1,
    seeds: Seeds = 1,
    plot: Plot = True,
    as_json: AsJson = False,
) -> None:
    """Simulate the loss of all watches at once: when nodes have the list again, and whether all of them recover."""
    from harecross.fleet.schedules import SCHEDULES

    if waits not in SCHEDULES:
        exit_with_error(f"--waits: {waits!r} is not one of {', '.join(SCHEDULES)}")
    fleet = load_fleet(path, nodes, discovery_rate, trigger)
    try:
        results = run_rehearsals(fleet, waits, seed, seeds)
    except ValueError as error:
        exit_with_error(f"{path or 'options'}: {error}")
    from harecross.fleet.report import print_rehearsals, rehearsal_row

    if as_json:
        print(json.dumps([rehearsal_row(result) for result in results]))
    else:
        print_rehearsals(results, waits, plot)
    check_complete(len(results), seeds)
    if not all(result.recovered for result in results):
        raise typer.Exit(1)


def run_rehearsals(fleet: FleetFile, waits: str, seed: int, seeds: int) -> list[RehearsalResult]:
    """Runs one rehearsal for each of `seeds` consecutive seeds, starting with `seed`.

    Raises ValueError if the values of the fleet do not make a valid scenario.
    """
    from harecross.fleet.rehearsal import Rehearsal
    from harecross.fleet.schedules import SCHEDULES

    def run(offset: int) -> RehearsalResult:
        return Rehearsal(fleet.scenario(seed + offset), SCHEDULES[waits]).run()

    return run_seeds(fleet.fleet.nodes, seeds, run)


@fleet_app.command("sums")
def sums(
    path: TierPath = None,
    nodes: TierNodes = None,
    servers: Servers = None,
    event: EventName = None,
    seed: Seed = 1,
    seeds: Seeds = 1,
    as_json: AsJson = False,
) -> None:
    """Simulate the load that all nodes together put on one server, and compare it with its bounds.

    The exit status is 1 if a bound is exceeded.
    """
    from harecross.fleet.tier_load import TierLoad

    fleet = apply_tier_options(load_fleet(path, nodes, None, None), servers, event)

    def run(offset: int) -> dict[str, BoundedSum]:
        return TierLoad(fleet.tier_scenario(seed + offset)).run()

    runs = run_seeds(fleet.fleet.nodes, seeds, run)
    print_sums(fleet, seed, runs, as_json)
    check_complete(len(runs), seeds)
    if not all(entry.within_bound for run_sums in runs for entry in run_sums.values()):
        raise typer.Exit(1)


def print_sums(fleet: FleetFile, seed: int, runs: list[dict[str, BoundedSum]], as_json: bool) -> None:
    """Prints the sums of the runs; `seed` is the seed of the first run."""
    from harecross.fleet.report import print_tier_table, tier_row

    event = fleet.tier.event
    if as_json:
        print(
            json.dumps([tier_row(run_seed, event, run_sums) for run_seed, run_sums in enumerate(runs, seed)])
        )
    else:
        title = f"{fleet.fleet.nodes} nodes, {fleet.tier.servers} servers, {event}: at one server"
        print_tier_table(title, runs)


def run_seeds(nodes: int, seeds: int, run: Callable[[int], ResultT]) -> list[ResultT]:
    """Calls `run` with 0 to `seeds` - 1 and returns the results.

    After an interrupt, returns the results of the finished runs. If there are none, ends the command with status 130.
    """
    from rich.progress import Progress

    from harecross.console import err

    results: list[ResultT] = []
    with Progress(console=err, transient=True, disable=not err.is_terminal) as progress:
        task = progress.add_task(f"{nodes} nodes", total=seeds)
        try:
            for offset in range(seeds):
                results.append(run(offset))
                progress.advance(task)
        except KeyboardInterrupt:
            if not results:
                exit_with_error("interrupted before the first run finished", 130)
    return results


def check_complete(count: int, seeds: int) -> None:
    """Ends the command with status 130 if an interrupt prevented some of the runs."""
    if count < seeds:
        exit_with_error(f"interrupted after {count} of {seeds} runs", 130)


def load_fleet(path: Path | None, nodes: int | None, rate: float | None, trigger: str | None) -> FleetFile:
    """Reads the fleet file, or takes the defaults if `path` is None, and overrides values with those of the options.

    Ends the command if the file or an option is invalid.
    """
    try:
        from msgspec.structs import replace

        from harecross.fleet.fleet_file import FleetFile, read_fleet
        from harecross.fleet.scenario import Trigger
        from harecross.operators import OperatorsFileError
    except ImportError as error:
        exit_with_error(f"fleet needs the extra `demo`: {error}")
    try:
        fleet = read_fleet(path) if path is not None else FleetFile()
    except OperatorsFileError as error:
        exit_with_error(str(error))
    if trigger is not None and trigger not in list(Trigger):
        exit_with_error(f"--trigger: {trigger!r} is not one of {', '.join(Trigger)}")
    if nodes is not None:
        fleet = replace(fleet, fleet=replace(fleet.fleet, nodes=nodes))
    if rate is not None:
        fleet = replace(fleet, discovery=replace(fleet.discovery, rate=rate))
    if trigger is not None:
        fleet = replace(fleet, trigger=replace(fleet.trigger, what=Trigger(trigger)))
    return fleet


def apply_tier_options(fleet: FleetFile, servers: int | None, event: str | None) -> FleetFile:
    """Returns the fleet with the tier's values overridden by those of the options."""
    from msgspec.structs import replace

    from harecross.fleet.tier_scenario import TierEvent

    if event is not None and event not in list(TierEvent):
        exit_with_error(f"--event: {event!r} is not one of {', '.join(TierEvent)}")
    tier = fleet.tier
    if servers is not None:
        tier = replace(tier, servers=servers)
    if event is not None:
        tier = replace(tier, event=TierEvent(event))
    return replace(fleet, tier=tier)
