"""`harecross dns`: what DNS servers say of a name. Status 0 for a set, 1 for none, 2 for wrong use."""

from __future__ import annotations

import json
import sys
from typing import Annotated, Any

import typer

from harecross.exits import stop

dns_app = typer.Typer(no_args_is_help=True, help="The resolver for SRV names.")


@dns_app.callback()
def group() -> None:
    """The resolver for SRV names."""


@dns_app.command("query")
def query(
    name: Annotated[str, typer.Argument(help="An SRV name, such as _readings._tcp.site3.example.org")],
    resolver: Annotated[
        list[str],
        typer.Option("--resolver", help="HOST:PORT of a DNS server, by IP address; more than once."),
    ],
    as_json: Annotated[bool, typer.Option("--json", help="To standard output.")] = False,
) -> None:
    """What a name holds: priority, weight, address and port of each endpoint, and how long it lives."""
    import asyncio
    from random import SystemRandom

    from harecross.dns.servers import server_address

    try:
        from harecross.dns.client import Client, LookupFailed
    except ImportError as e:
        stop(f"dns query needs the extra `dns`: {e}")
    for server in resolver:
        try:
            server_address(server, "--resolver")
        except ValueError as e:
            stop(str(e))

    async def ask() -> tuple[Any, int]:
        client = Client(resolver, SystemRandom())
        try:
            return await client.resolve(name), client.asked
        finally:
            await client.close()

    try:
        found, asked = asyncio.run(ask())
    except LookupFailed as e:
        stop(str(e), 1)
    except ValueError as e:
        stop(str(e))
    except KeyboardInterrupt:
        stop("interrupted", 130)
    if as_json:
        rows = [
            {k: getattr(row, k) for k in ("priority", "weight", "target", "address", "port")}
            for row in found.endpoints
        ]
        told = {
            "name": name, "ttl_s": found.ttl, "endpoints": rows, "empty": found.empty, "unknown": list(found.unknown),
            "notes": list(found.notes), "messages": asked,
        }  # fmt: skip
        print(json.dumps(told, indent=1))
    else:
        from harecross.console import out, table

        t = table(f"{name}: {len(found.endpoints)} endpoints for {found.ttl:g} s, {asked} messages",
                  "target", "address", "port", "priority", "weight")  # fmt: skip
        for row in found.endpoints:
            t.add_row(row.target, row.address, str(row.port), str(row.priority), str(row.weight))
        out.print(t)
        for note in found.notes:
            print(note, file=sys.stderr)
        if found.empty:
            print(f"harecross: {name}: {found.empty}", file=sys.stderr)
    raise typer.Exit(0 if found.endpoints else 1)
