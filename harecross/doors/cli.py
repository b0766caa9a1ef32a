"""`harecross door`: what operators tell running nodes. Status 0 for a yes, 1 for a no, 2 for wrong use."""

from __future__ import annotations

import sys
import time
from pathlib import Path
from typing import Annotated

import typer

from harecross.exits import stop

door_app = typer.Typer(
    no_args_is_help=True,
    help="Take servers out and back, send clients away, release servers over several nodes.",
)

At = Annotated[
    list[str],
    typer.Option("--at", envvar="LB_ADMIN", help="HOST:PORT of a node's door; once for each node."),
]
Ids = Annotated[list[str], typer.Argument(metavar="ID...", help="Servers, by their ids in discovery.")]


def checked(doors: list[str]) -> list[str]:
    """The doors, each once. Ends the command for one that is no address."""
    from harecross.doors.ask import door_address

    try:
        return list(dict.fromkeys(door_address(door) for door in doors))
    except ValueError as e:
        stop(f"--at: {e}")


def each(doors: list[str], path: str, bodies: list[str], method: str = "POST") -> bool:
    """Makes the same calls at every door, a line each; whether all said yes."""
    from harecross.doors.ask import call

    good = True
    for door in doors:
        for body in bodies:
            said = call(door, method, path, body)
            print(
                f"{door}: {'' if said.ok else 'no: '}{said.text}", file=sys.stdout if said.ok else sys.stderr
            )
            good = good and said.ok
    return good


@door_app.command("status")
def status(at: At) -> None:
    """Whether each node serves, and what is out there."""
    raise typer.Exit(0 if each(checked(at), "/status", [""], "GET") else 1)


@door_app.command("standby")
def standby(at: At) -> None:
    """Send clients away."""
    raise typer.Exit(0 if each(checked(at), "/standby", [""]) else 1)


@door_app.command("active")
def active(at: At) -> None:
    """Take clients again."""
    raise typer.Exit(0 if each(checked(at), "/active", [""]) else 1)


@door_app.command("back")
def back(ids: Ids, at: At) -> None:
    """Use servers again, as ones that have just started."""
    raise typer.Exit(0 if each(checked(at), "/maintenance/exit", ids) else 1)


@door_app.command("out")
def out(
    ids: Ids,
    at: At,
    wait: Annotated[bool, typer.Option("--wait", help="Until nothing is out on them any more.")] = False,
    within: Annotated[float, typer.Option(help="Seconds to wait at most.")] = 120.0,
) -> None:
    """Send nothing more to servers, until they are put back."""
    doors = checked(at)
    if within <= 0:
        stop("--within: above 0")
    if not each(doors, "/maintenance/enter", ids):
        raise typer.Exit(1)
    if wait:
        try:
            wait_until_empty(doors, tuple(ids), within)
        except KeyboardInterrupt:
            stop(f"interrupted; {', '.join(ids)} stay out", 130)


def wait_until_empty(doors: list[str], ids: tuple[str, ...], within: float) -> None:
    """Returns once nothing is out on the servers at any node, and says what is left meanwhile."""
    from harecross.doors.ask import look

    end, told = time.monotonic() + within, ""
    while True:
        left = []
        for door in doors:
            seen = look(door, ids)
            if isinstance(seen, str):
                left.append(f"{door}: {seen}")
                continue
            left += [f"{row.id} has {row.open} at {door}" for row in seen.servers.values() if row.open]
            left += [f"another process serves at {door}"] * bool(seen.others)
        if not left:
            print(f"{', '.join(ids)}: nothing is out on them")
            return
        if "; ".join(left) != told:
            told = "; ".join(left)
            print(told, flush=True)
        if time.monotonic() >= end:
            stop(f"not empty after {within:g} s: {told}", 1)
        time.sleep(0.25)


@door_app.command("servers")
def servers(
    at: At,
    ids: Annotated[list[str] | None, typer.Argument(metavar="[ID...]", help="Only these.")] = None,
) -> None:
    """Each server as each node sees it: its state, what is out on it, how warm it is."""
    from harecross.console import out as console
    from harecross.console import table
    from harecross.doors.ask import look

    good = True
    for door in checked(at):
        seen = look(door, tuple(ids or ()))
        if isinstance(seen, str):
            print(f"{door}: no: {seen}", file=sys.stderr)
            good = False
            continue
        missing = [name for name in ids or () if name not in seen.servers]
        for name in missing:
            print(f"{door}: no: {name}: no such server", file=sys.stderr)
        good = good and not missing
        beside = f", {seen.others} more processes" if seen.others else ""
        t = table(
            f"{seen.name} at {door}{', standing by' if seen.standby else ''}{beside}",
            "server",
            "state",
            "out on it",
            "warm",
        )
        for row in seen.servers.values():
            state = row.state + (", ejected" if row.ejected else "")
            t.add_row(row.id, state, str(row.open), f"{row.warmth:.0%}")
        console.print(t)
    raise typer.Exit(0 if good else 1)


@door_app.command("release")
def release(
    at: At,
    named: Annotated[list[str] | None, typer.Argument(metavar="[ID...]", help="Servers, in order.")] = None,
    batch: Annotated[int, typer.Option(min=1, help="Servers out at once, at most.")] = 1,
    keep: Annotated[float, typer.Option(min=0, max=1, help="Share of servers that stays in use.")] = 0.5,
    restart: Annotated[
        str | None,
        typer.Option(help="Shell command that restarts $HARECROSS_SERVER and returns once it is up."),
    ] = None,
    empty_within: Annotated[float, typer.Option(help="Seconds.")] = 120.0,
    restart_within: Annotated[float, typer.Option(help="Seconds.")] = 600.0,
    warm_within: Annotated[float, typer.Option(help="Seconds.")] = 300.0,
    ids_from: Annotated[
        Path | None, typer.Option(help="A file of ids, one on a line, after those given.")
    ] = None,
) -> None:
    """Take servers out, wait until they are empty, have them restarted, put them back, wait until they are warm.

    Ends at the first no. Ctrl-C ends it in order, a second one at once; what stays out is named.
    """
    from harecross.doors.release import Limits, Release
    from harecross.doors.run import Runner

    doors, ids = checked(at), list(named or ())
    for option, value in (
        ("--empty-within", empty_within),
        ("--restart-within", restart_within),
        ("--warm-within", warm_within),
    ):
        if value <= 0:
            stop(f"{option}: above 0")
    if ids_from is not None:
        try:
            ids += [line.strip() for line in ids_from.read_text().splitlines() if line.strip()]
        except (OSError, UnicodeDecodeError) as e:
            stop(f"--ids-from {ids_from}: {getattr(e, 'strerror', None) or 'not UTF-8'}")
    if not ids:
        stop("release: no servers are named")
    twice = sorted({name for name in ids if ids.count(name) > 1})
    if twice:
        stop(f"given twice: {', '.join(twice)}")
    if restart is None and not sys.stdin.isatty():
        stop("release: --restart CMD is needed where standard input is no terminal")
    machine = Release(ids, doors, Limits(batch, keep, empty_within, restart_within, warm_within))
    began = time.monotonic()

    def say(text: str) -> None:
        print(f"{time.monotonic() - began:6.1f} s  {text}", flush=True)

    code = Runner(machine, restart, say).run()
    done = [s.id for s in machine.servers if s.restarted]
    say(f"{len(done)} of {len(ids)} restarted" + (f"; ended: {machine.why}" if machine.why else ""))
    for name in machine.running():
        say(f"{name}: its restart still runs")
    for name, where in machine.held().items():
        say(f"{name} is out, or may be: harecross door back {name} {' '.join(f'--at {d}' for d in where)}")
    raise typer.Exit(code)
