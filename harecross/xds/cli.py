"""`harecross control`: the control service, and what its proxies hold."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any

import typer

from harecross.exits import STANDARD_OUTPUT, exit_with_error, write_json

control_app = typer.Typer(invoke_without_command=True)


@control_app.callback()
def control(
    context: typer.Context,
    config: Annotated[Path | None, typer.Option(help="The service's file (deploy/control.toml).")] = None,
) -> None:
    """Hand the decisions to other proxies over xDS; `status` asks a running service who holds what."""
    if context.invoked_subcommand is not None:
        return
    if config is None:
        exit_with_error("control: --config FILE is needed (deploy/control.toml is one)")
    try:
        from harecross.xds.service import main as serve
    except ImportError as error:
        exit_with_error(f"control needs the extra `xds`: {error}")
    from harecross.operators import OperatorsFileError

    try:
        serve(config)
    except OperatorsFileError as error:
        exit_with_error(str(error))


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
        from harecross.xds.status_client import StatusError, fetch_status
    except ImportError as error:
        exit_with_error(f"control status needs the extra `xds`: {error}")
    try:
        streams = fetch_status(address, ca, cert, key)
    except StatusError as error:
        exit_with_error(str(error), 1)
    except OSError as error:
        exit_with_error(f"{error.filename}: {error.strerror}")
    write_json({"proxies": streams}, json_to)
    if json_to != STANDARD_OUTPUT:
        _print_streams(streams)


def _print_streams(streams: list[dict[str, Any]]) -> None:
    """Prints a line for each type of each stream, and the reasons of what was refused."""
    from harecross.console import out, table

    columns = ("node", "address", "variant", "age s", "type", "state", "acknowledged")
    found = table(f"{len(streams)} streams", *columns)
    refusals = []
    for stream in streams:
        proxy = (stream["node"], stream["peer"], stream["variant"], f"{stream['age_s']:.0f}")
        for index, state in enumerate(stream["types"] or [{}]):
            cells = proxy if index == 0 else ("",) * len(proxy)
            found.add_row(*cells, state.get("type", "-"), state.get("state", ""), state.get("acked", ""))
            if state.get("reason"):
                refusals.append(
                    f"{stream['node']} refused {state['type']} {state['refused']}: {state['reason']}"
                )
    out.print(found)
    for line in refusals:
        out.print(line, highlight=False, markup=False, soft_wrap=True)
