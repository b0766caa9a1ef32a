"""The `harecross` command. Each subcommand is defined in the package that it belongs to.

A subcommand imports its dependencies when it runs, so that a command needs only its own extras. An error is reported
as one line on standard error and exit status 2.
"""

from __future__ import annotations

import os
from pathlib import Path
from typing import Annotated

import typer

from harecross.admin_client.cli import admin_app
from harecross.dns.cli import dns_app
from harecross.fleet.cli import fleet_app
from harecross.follow.cli import follow
from harecross.replay.cli import demo, replay
from harecross.shifts.cli import shift_app
from harecross.sources.cli import sources_app
from harecross.store.cli import store_app
from harecross.traces.cli import trace_app
from harecross.xds.cli import control_app

app = typer.Typer(
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    help="A load balancer for services that call services.",
)


@app.command()
def node(
    config: Annotated[
        Path | None, typer.Option(help="The operators' file, such as deploy/harecross.toml.")
    ] = None,
) -> None:
    """Run one node with the configuration file in LB_CONFIG.

    LB_LISTEN, LB_DISCOVERY and LB_ADMIN replace the addresses in that file.
    """
    if config is not None:
        os.environ["HARECROSS_CONFIG"] = str(config)
    from harecross.node.__main__ import main as run_node

    raise typer.Exit(run_node())


app.add_typer(trace_app, name="trace")
app.add_typer(control_app, name="control")
app.add_typer(admin_app, name="door")
app.add_typer(dns_app, name="dns")
app.add_typer(sources_app, name="sources")
app.add_typer(store_app, name="store")
app.add_typer(shift_app, name="shift")
app.add_typer(fleet_app, name="fleet")
app.command("demo")(demo)
app.command("replay")(replay)
app.command("follow")(follow)


def main() -> None:
    """Runs the command line."""
    app()
