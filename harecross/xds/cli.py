"""The commands `harecross control`, which runs the control service, and `harecross control status`."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any

import typer

from harecross.exits import STANDARD_OUTPUT, exit_with_error, write_json

control_app = typer.Typer(invoke_without_command=True)


@control_app.callback()
def control(
    context: typer.Context,
    config: Annotated[
        Path | None, typer.Option(help="The service's configuration file, such as deploy/control.toml.")
    ] = None,
) -> None:
    """Serve the balancer's decisions to other proxies over xDS; `status` shows what each proxy has."""
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
    ca: Annotated[
        Path | None, typer.Option(help="With TLS: the CA that signed the service's certificate.")
    ] = None,
    cert: Annotated[Path | None, typer.Option(help="With TLS: the client's certificate.")] = None,
    key: Annotated[Path | None, typer.Option(help="With TLS: the client's private key.")] = None,
    json_to: Annotated[
        str | None, typer.Option("--json", help="Write JSON to this file, or to standard output if it is -.")
    ] = None,
) -> None:
    """Show what each proxy was sent, acknowledged and refused, and why."""
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
    """Prints a row for each resource type of each stream, then the proxies' reasons for refused responses."""
    from harecross.console import out, table

    columns = ("node", "address", "variant", "age s", "type", "state", "acknowledged")
    status_table = table(f"{len(streams)} streams", *columns)
    refusals = []
    for stream in streams:
        proxy = (stream["node"], stream["peer"], stream["variant"], f"{stream['age_s']:.0f}")
        for index, state in enumerate(stream["types"] or [{}]):
            cells = proxy if index == 0 else ("",) * len(proxy)
            status_table.add_row(
                *cells, state.get("type", "-"), state.get("state", ""), state.get("acked", "")
            )
            if state.get("reason"):
                refusals.append(
                    f"{stream['node']} refused {state['type']} {state['refused']}: {state['reason']}"
                )
    out.print(status_table)
    for refusal in refusals:
        out.print(refusal, highlight=False, markup=False, soft_wrap=True)
