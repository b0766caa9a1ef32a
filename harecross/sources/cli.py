"""`harecross sources`: asks running nodes why an endpoint is in service or not, and checks `[sources]` tables.

The exit status is 0 on success, 1 if a call failed or was refused, and 2 for invalid arguments or files.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Annotated, Any

import typer

from harecross.exits import exit_with_error

sources_app = typer.Typer(no_args_is_help=True, help="Inspect the sources of the endpoint list.")


@sources_app.callback()
def group() -> None:
    """Inspect the sources of the endpoint list."""


@sources_app.command("explain")
def explain(
    at: Annotated[
        list[str],
        typer.Option(
            "--at", envvar="LB_ADMIN", help="HOST:PORT of a node's admin server; repeat for each node."
        ),
    ],
    box: Annotated[
        str, typer.Argument(metavar="[BOX]", help="An endpoint's address, or a name that any source uses.")
    ] = "",
    as_json: Annotated[bool, typer.Option("--json", help="Print the response as JSON.")] = False,
) -> None:
    """Show what each source lists, how old its list is, and which line of the merge rule decided."""
    from urllib.parse import urlencode

    from harecross.admin_client.calls import call_node
    from harecross.admin_client.cli import checked_nodes

    path = f"/sources?{urlencode({'box': box})}" if box else "/sources"
    succeeded = True
    for address in checked_nodes(at):
        result = call_node(address, "GET", path)
        if not result.ok:
            problem = (
                "no sources besides the watch are configured"
                if result.text == "no such call"
                else result.text
            )
            print(f"{address}: error: {problem}", file=sys.stderr)
            succeeded = False
            continue
        if as_json:
            print(result.text)
            continue
        try:
            show(address, json.loads(result.text), with_details=bool(box))
        except (ValueError, KeyError, TypeError):
            print(
                f"{address}: error: the response is not from an admin server of this version", file=sys.stderr
            )
            succeeded = False
    raise typer.Exit(0 if succeeded else 1)


def show(address: str, explanation: dict[str, Any], *, with_details: bool) -> None:
    """Prints a response to `GET /sources`: the sources, then the endpoints, as a table or in detail."""
    from harecross.console import out, table

    sources = table(f"sources at {address}", "source", "rank", "is", "lists", "drains", "age", "left", "why")
    for row in explanation["sources"]:
        sources.add_row(
            row["source"], str(row["rank"]), row["credit"], str(row["lists"]), str(row["drains"]),
            seconds(row["age_s"]), seconds(row["left_s"]), row["why"],
        )  # fmt: skip
    out.print(sources)
    if with_details:
        for row in explanation["boxes"]:
            show_endpoint(row)
        return
    endpoints = table("boxes", "address", "names", "", "line of the rule", "priority", "weight")
    for row in explanation["boxes"]:
        names, weight = ", ".join(row["names"]), f"{row['weight']:g}"
        endpoints.add_row(row["address"], names, state(row), row["line"], str(row["priority"]), weight)
    out.print(endpoints)


def show_endpoint(row: dict[str, Any]) -> None:
    """Prints one endpoint: its state, its status in each source, and its last changes."""
    from harecross.console import out

    out.print(f"{row['address']} ({', '.join(row['names']) or 'no name'}): {state(row)}", highlight=False)
    out.print(f"  line {row['line']}", highlight=False)
    for source, status in row["words"].items():
        out.print(f"  {source}: {status}", highlight=False)
    for change in row["changes"]:
        ago = seconds(change["ago_s"])
        out.print(f"  {ago} ago: {change['outcome']}, line {change['line']}", highlight=False)


def seconds(value: float | None) -> str:
    """Formats a number of seconds; returns an empty string if it is unknown."""
    return "" if value is None else f"{value:,.1f} s"


def state(row: dict[str, Any]) -> str:
    """Describes whether an endpoint is in service and, if not, why."""
    if row["held_out"]:
        return "out, held by operators"
    if row["spare"]:
        return f"spare: priority {row['priority']} is not in use"
    return "in" if row["in"] else f"out: {row['outcome']}"


@sources_app.command("check")
def check_file(
    config: Annotated[Path, typer.Argument(help="An operators' file with a [sources] table.")],
) -> None:
    """Check the keys, the SRV names and the address files of a [sources] table, without any DNS query."""
    try:
        from harecross.operators import OperatorsFile, OperatorsFileError, read_toml
    except ImportError as error:
        exit_with_error(f"`harecross sources check` requires the extra `operators`: {error}")
    from harecross.sources.address_file import read_address_file
    from harecross.sources.config import check

    try:
        table = read_toml(config, OperatorsFile).sources
        check(table)
        endpoints = sum(len(read_address_file(file.path)) for file in table.file)
    except OperatorsFileError as error:
        exit_with_error(str(error))
    except ValueError as error:
        exit_with_error(f"{config}: {error}")
    print(f"{config}: {len(table.srv)} SRV names, {len(table.file)} files with {endpoints} boxes")
