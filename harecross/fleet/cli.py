"""`harecross fleet`: what all nodes do at once, on a model. Status 0 if the fleet recovers and keeps to its bounds,
1 if not, 2 for wrong use, 130 after an interrupt.
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

Played = TypeVar("Played")
fleet_app = typer.Typer(no_args_is_help=True, help="What all nodes do at once, on a model.")

Nodes = Annotated[int | None, typer.Option(min=1, max=20_000, help="Nodes that listen.")]
TierNodes = Annotated[int | None, typer.Option(min=1, max=20_000, help="Nodes that call the tier.")]
Rate = Annotated[float | None, typer.Option(min=0.001, help="Calls a second.")]
TriggerName = Annotated[str | None, typer.Option(help="silent, ended, broken, restart or down.")]
Waits = Annotated[str, typer.Option(help="turns, as nodes do; or former, even, jitter, together.")]
Servers = Annotated[int | None, typer.Option(min=1, max=20_000, help="Servers of the tier.")]
EventName = Annotated[str | None, typer.Option(help="calm, herd, lost, replaced or returned.")]
Seed = Annotated[int, typer.Option()]
Seeds = Annotated[int, typer.Option(min=1, max=10_000, help="So many days, from that seed on.")]
AsJson = Annotated[bool, typer.Option("--json", help="To standard output.")]
Plot = Annotated[bool, typer.Option(help="Curves of the first day.")]
DayPath = Annotated[Path | None, typer.Argument(help="The day (TOML); without it, the options alone.")]
TierPath = Annotated[
    Path | None, typer.Argument(help="The fleet and its tier (TOML); without it, the options alone.")
]


@fleet_app.callback()
def group() -> None:
    """What all nodes do at once, on a model."""


@fleet_app.command("rehearse")
def rehearse(
    path: DayPath = None,
    nodes: Nodes = None,
    discovery_rate: Rate = None,
    trigger: TriggerName = None,
    waits: Waits = "turns",
    seed: Seed = 1,
    seeds: Seeds = 1,
    plot: Plot = True,
    as_json: AsJson = False,
) -> None:
    """Every watch is lost at one instant: who knows the list when, and whether the fleet comes back by itself."""
    from harecross.fleet.schedules import SCHEDULES

    if waits not in SCHEDULES:
        exit_with_error(f"--waits {waits}: one of {', '.join(SCHEDULES)}")
    fleet = read(path, nodes, discovery_rate, trigger)
    try:
        results = play_rehearsals(fleet, waits, seed, seeds)
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


def play_rehearsals(fleet: FleetFile, waits: str, seed: int, seeds: int) -> list[RehearsalResult]:
    """The rehearsals of so many seeds, from `seed` on. ValueError for a scenario that cannot be."""
    from harecross.fleet.rehearsal import Rehearsal
    from harecross.fleet.schedules import SCHEDULES

    def play(number: int) -> RehearsalResult:
        return Rehearsal(fleet.scenario(seed + number), SCHEDULES[waits]).run()

    return play_days(fleet.fleet.nodes, seeds, play)


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
    """What all nodes add up to at one server, beside the bound that arithmetic gives. 1 where one is over."""
    from harecross.fleet.tier_load import TierLoad

    fleet = replace_tier(read(path, nodes, None, None), servers, event)

    def play(number: int) -> dict[str, BoundedSum]:
        return TierLoad(fleet.tier_scenario(seed + number)).run()

    days = play_days(fleet.fleet.nodes, seeds, play)
    print_sums(fleet, seed, days, as_json)
    check_complete(len(days), seeds)
    if not all(entry.within_bound for day in days for entry in day.values()):
        raise typer.Exit(1)


def print_sums(fleet: FleetFile, seed: int, days: list[dict[str, BoundedSum]], as_json: bool) -> None:
    """Prints the sums of the days that were played, the first of them by `seed`."""
    from harecross.fleet.report import print_tier_table, tier_row

    event = fleet.tier.event
    if as_json:
        print(json.dumps([tier_row(number, event, day) for number, day in enumerate(days, seed)]))
    else:
        title = f"{fleet.fleet.nodes} nodes, {fleet.tier.servers} servers, {event}: at one server"
        print_tier_table(title, days)


def play_days(nodes: int, seeds: int, play: Callable[[int], Played]) -> list[Played]:
    """Plays so many days, one after another; an interrupt ends them early, with status 130 before the first is over."""
    from rich.progress import Progress

    from harecross.console import err

    played: list[Played] = []
    with Progress(console=err, transient=True, disable=not err.is_terminal) as progress:
        task = progress.add_task(f"{nodes} nodes", total=seeds)
        try:
            for number in range(seeds):
                played.append(play(number))
                progress.advance(task)
        except KeyboardInterrupt:
            if not played:
                exit_with_error("interrupted before the first day was over", 130)
    return played


def check_complete(count: int, seeds: int) -> None:
    """Ends the command with status 130 if an interrupt left some days out."""
    if count < seeds:
        exit_with_error(f"interrupted after {count} of {seeds} days", 130)


def read(path: Path | None, nodes: int | None, rate: float | None, trigger: str | None) -> FleetFile:
    """The file's fleet, with the values that the options give instead."""
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
        exit_with_error(f"--trigger {trigger}: one of {', '.join(Trigger)}")
    if nodes is not None:
        fleet = replace(fleet, fleet=replace(fleet.fleet, nodes=nodes))
    if rate is not None:
        fleet = replace(fleet, discovery=replace(fleet.discovery, rate=rate))
    if trigger is not None:
        fleet = replace(fleet, trigger=replace(fleet.trigger, what=Trigger(trigger)))
    return fleet


def replace_tier(fleet: FleetFile, servers: int | None, event: str | None) -> FleetFile:
    """The fleet, with the tier's values that the options give instead."""
    from msgspec.structs import replace

    from harecross.fleet.tier_scenario import TierEvent

    if event is not None and event not in list(TierEvent):
        exit_with_error(f"--event {event}: one of {', '.join(TierEvent)}")
    tier = fleet.tier
    if servers is not None:
        tier = replace(tier, servers=servers)
    if event is not None:
        tier = replace(tier, event=TierEvent(event))
    return replace(fleet, tier=tier)
