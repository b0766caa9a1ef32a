"""The command `harecross dns query`, which resolves an SRV name.

The exit status is 0 if the name has endpoints, 1 if it has none or the lookup fails, 2 for a usage error or a missing
extra, and 130 after an interrupt.
"""

from __future__ import annotations

import json
import sys
from typing import TYPE_CHECKING, Annotated

import typer

from harecross.exits import exit_with_error

if TYPE_CHECKING:
    from harecross.dns.srv import SrvAnswer

dns_app = typer.Typer(no_args_is_help=True, help="Resolve SRV names.")


@dns_app.callback()
def group() -> None:
    """Resolve SRV names."""


@dns_app.command("query")
def query(
    name: Annotated[str, typer.Argument(help="An SRV name, such as _readings._tcp.site3.example.org.")],
    resolver: Annotated[
        list[str],
        typer.Option(
            "--resolver",
            help="IP-ADDRESS:PORT or tls://IP-ADDRESS:PORT of a DNS server; repeat for each server.",
        ),
    ],
    as_json: Annotated[bool, typer.Option("--json", help="Print the answer as JSON.")] = False,
) -> None:
    """Print the endpoints of an SRV name, with priority, weight, address and port, and their TTL."""
    check_resolvers(resolver)
    answer, queries_sent = resolve(name, resolver)
    if as_json:
        print_json(name, answer, queries_sent)
    else:
        print_table(name, answer, queries_sent)
    raise typer.Exit(0 if answer.endpoints else 1)


def check_resolvers(resolvers: list[str]) -> None:
    """Exits with an error if a DNS server is not given by its IP address."""
    from harecross.dns.servers import server_address

    for server in resolvers:
        try:
            server_address(server, "--resolver")
        except ValueError as error:
            exit_with_error(str(error))


def resolve(name: str, resolvers: list[str]) -> tuple[SrvAnswer, int]:
    """Returns the answer and the number of queries sent; exits with an error if there is no answer."""
    import asyncio
    from random import SystemRandom

    try:
        from harecross.dns.client import DnsClient, LookupFailedError
    except ImportError as error:
        exit_with_error(f"dns query needs the extra `dns`: {error}")

    async def run() -> tuple[SrvAnswer, int]:
        client = DnsClient(resolvers, SystemRandom())
        try:
            return await client.resolve(name), client.queries_sent
        finally:
            await client.close()

    try:
        return asyncio.run(run())
    except LookupFailedError as error:
        exit_with_error(str(error), 1)
    except ValueError as error:
        exit_with_error(str(error))
    except KeyboardInterrupt:
        exit_with_error("interrupted", 130)


def print_json(name: str, answer: SrvAnswer, queries_sent: int) -> None:
    """Prints an answer as JSON."""
    keys = ("priority", "weight", "target", "address", "port")
    document = {
        "name": name,
        "ttl_s": answer.ttl,
        "endpoints": [{key: getattr(endpoint, key) for key in keys} for endpoint in answer.endpoints],
        "empty": answer.empty_reason,
        "unknown": list(answer.unresolved_targets),
        "notes": list(answer.notes),
        "messages": queries_sent,
    }
    print(json.dumps(document, indent=1))


def print_table(name: str, answer: SrvAnswer, queries_sent: int) -> None:
    """Prints an answer as a table."""
    from harecross.console import out, table

    title = f"{name}: {len(answer.endpoints)} endpoints for {answer.ttl:g} s, {queries_sent} messages"
    endpoints = table(title, "target", "address", "port", "priority", "weight")
    for endpoint in answer.endpoints:
        endpoints.add_row(
            endpoint.target,
            endpoint.address,
            str(endpoint.port),
            str(endpoint.priority),
            str(endpoint.weight),
        )
    out.print(endpoints)
    for note in answer.notes:
        print(note, file=sys.stderr)
    if answer.empty_reason:
        print(f"harecross: {name}: {answer.empty_reason}", file=sys.stderr)
