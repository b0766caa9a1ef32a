"""Scripted DNS servers with records, shared by the tests of the DNS resolver."""

from __future__ import annotations

from random import Random

import dns.message
import dns.rrset
from node_support import run

from harecross.dns.client import DnsClient
from harecross.dns.srv import SrvAnswer
from harecross.standins.dns import DnsServer

NAME = "_readings._tcp.site3.example.org."
ZONE = "site3.example.org."


def valid_reply(data: bytes) -> bytes:
    """Returns the encoded reply to a query, with two SRV records of NAME."""
    query = dns.message.from_wire(data)
    reply = dns.message.make_response(query)
    reply.answer.append(dns.rrset.from_text(NAME, 5, "IN", "SRV", f"0 1 80 a.{ZONE}", f"0 1 80 b.{ZONE}"))
    return reply.to_wire()


def server_with_targets(*targets: str, ttl: int = 5) -> DnsServer:
    """Returns a server with an SRV record of NAME and an address record for each target."""
    server = DnsServer()
    server.set_records(NAME, "SRV", *(f"0 {i + 1} 80{i} {t}.{ZONE}" for i, t in enumerate(targets)), ttl=ttl)
    for i, t in enumerate(targets):
        server.set_records(f"{t}.{ZONE}", "A", f"10.0.0.{i + 1}", ttl=ttl)
    return server


def run_with_servers(test, count: int = 1) -> None:
    """Runs a test with a client and `count` servers, all of which the client uses."""

    async def body() -> None:
        servers = [await DnsServer().start() for _ in range(count)]
        client = DnsClient([s.address for s in servers], Random(7))
        try:
            await test(client, *servers)
        finally:
            await client.close()
            for s in servers:
                s.stop()

    run(body())


def set_targets(server: DnsServer, count: int) -> set[tuple[str, int]]:
    """Sets an SRV record and an address record for each of `count` targets; returns their addresses and ports."""
    server.set_records(NAME, "SRV", *(f"0 1 {1000 + i} t{i}.{ZONE}" for i in range(count)))
    for i in range(count):
        server.set_records(f"t{i}.{ZONE}", "A", f"10.{i >> 16}.{i >> 8 & 255}.{i & 255}")
    return {(f"10.{i >> 16}.{i >> 8 & 255}.{i & 255}", 1000 + i) for i in range(count)}


def address_pairs(found: SrvAnswer) -> set[tuple[str, int]]:
    """Returns the addresses and ports of the endpoints of an answer."""
    return {(endpoint.address, endpoint.port) for endpoint in found.endpoints}
