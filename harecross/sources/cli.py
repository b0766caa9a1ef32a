"""`harecross sources`: why a box is in or out, asked of running nodes. Status 0, 1 for a no, 2 for wrong use."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Annotated, Any

import typer

from harecross.exits import stop

sources_app = typer.Typer(no_args_is_help=True, help="Where the list of servers comes from.")


@sources_app.callback()
def group() -> None:
    """Where the list of servers comes from."""


@sources_app.command("explain")
def explain(
    at: Annotated[
        list[str], typer.Option("--at", envvar="LB_ADMIN", help="HOST:PORT of a door; once for each.")
    ],
    box: Annotated[str, typer.Argument(metavar="[BOX]", help="An address, or a name any source uses.")] = "",
    as_json: Annotated[bool, typer.Option("--json", help="To standard output.")] = False,
) -> None:
    """What each source says, how old that is, and which line of the rule decided."""
    from urllib.parse import urlencode

    from harecross.doors.ask import call
    from harecross.doors.cli import checked

    good = True
    for door in checked(at):
        said = call(door, "GET", f"/sources?{urlencode({'box': box})}" if box else "/sources")
        if not said.ok:
            why = "it has no sources beside the watch" if said.text == "no such call" else said.text
            print(f"{door}: no: {why}", file=sys.stderr)
            good = False
            continue
        if as_json:
            print(said.text)
        else:
            try:
                show(door, json.loads(said.text), bool(box))
            except (ValueError, KeyError, TypeError):
                print(f"{door}: no: what answers there is no door of this version", file=sys.stderr)
                good = False
    raise typer.Exit(0 if good else 1)


def seconds(value: float | None) -> str:
    return "" if value is None else f"{value:,.1f} s"


def show(door: str, told: dict[str, Any], one: bool) -> None:
    from harecross.console import out, table

    t = table(f"sources at {door}", "source", "rank", "is", "lists", "drains", "age", "left", "why")
    for s in told["sources"]:
        t.add_row(
            s["source"], str(s["rank"]), s["credit"], str(s["lists"]), str(s["drains"]),
            seconds(s["age_s"]), seconds(s["left_s"]), s["why"],
        )  # fmt: skip
    out.print(t)
    if not one:
        t = table("boxes", "address", "names", "", "line of the rule", "priority", "weight")
        for b in told["boxes"]:
            t.add_row(
                b["address"],
                ", ".join(b["names"]),
                state(b),
                b["line"],
                str(b["priority"]),
                f"{b['weight']:g}",
            )
        out.print(t)
        return
    for b in told["boxes"]:
        out.print(f"{b['address']} ({', '.join(b['names']) or 'no name'}): {state(b)}", highlight=False)
        out.print(f"  line {b['line']}", highlight=False)
        for source, word in b["words"].items():
            out.print(f"  {source}: {word}", highlight=False)
        for c in b["changes"]:
            out.print(f"  {c['ago_s']:,.1f} s ago: {c['outcome']}, line {c['line']}", highlight=False)


def state(b: dict[str, Any]) -> str:
    if b["held_out"]:
        return "out, held by operators"
    if b["spare"]:
        return f"spare: priority {b['priority']} is not in use"
    return "in" if b["in"] else f"out: {b['outcome']}"


@sources_app.command("check")
def check_file(
    config: Annotated[Path, typer.Argument(help="An operators' file with [sources].")],
) -> None:
    """Whether a file can be used: its keys, its names, the files it names. Asks no server."""
    try:
        from harecross.operators import OperatorsFile, OperatorsFileError, read_toml
    except ImportError as e:
        stop(f"sources check needs the extra `operators`: {e}")
    from harecross.sources.config import check
    from harecross.sources.files import read_file

    try:
        told = read_toml(config, OperatorsFile).sources
        check(told)
        boxes = sum(len(read_file(f.path)) for f in told.file)
    except OperatorsFileError as e:
        stop(str(e))
    except ValueError as e:
        stop(f"{config}: {e}")
    print(f"{config}: {len(told.srv)} SRV names, {len(told.file)} files with {boxes} boxes")
