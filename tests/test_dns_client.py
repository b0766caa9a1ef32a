"""The resolver over sockets, against scripted DNS servers, and compared with dnspython's resolver and c-ares."""

from __future__ import annotations

import asyncio
import errno
import json
import os
import ssl
import subprocess
import sys
import threading
from functools import partial
from random import Random
from types import SimpleNamespace

import pytest
from node_support import run

pytest.importorskip("dns")

import dns.rdatatype
import dns.resolver
import pycares
import trustme
from dns_support import NAME, ZONE, address_pairs, run_with_servers, set_targets

from harecross.dns.client import DnsClient, LookupFailedError
from harecross.standins import dns as standin
from harecross.standins.dns import DnsServer


def test_a_large_set_is_received_over_tcp_and_the_connection_is_reused():
    async def test(client: DnsClient, server: DnsServer) -> None:
        for count in (3, 400):
            wanted = set_targets(server, count)
            assert address_pairs(await client.resolve(NAME)) == wanted
        assert server.queries[NAME, "SRV", "udp"] == 2
        assert server.queries[NAME, "SRV", "tcp"] == 1
        # Addresses that did not fit into the reply are queried concurrently, and concurrent callers share the queries.
        before = server.queries.total()
        found = await asyncio.gather(*(client.resolve(NAME) for _ in range(5)))
        assert all(address_pairs(f) == wanted for f in found)
        assert server.connections == 1
        assert server.queries[NAME, "SRV", "udp"] == 3
        assert server.queries.total() - before < 3 * (2 + 400)

    run_with_servers(test)


@pytest.mark.parametrize("fault", [standin.forged, standin.no_edns, standin.always_truncated])
def test_servers_with_tolerable_faults_yield_the_full_set(fault):
    async def test(client: DnsClient, server: DnsServer) -> None:
        wanted = set_targets(server, 5)
        server.faults.append(fault)
        assert address_pairs(await client.resolve(NAME)) == wanted
        if fault is standin.no_edns:
            queries = server.queries[NAME, "SRV", "udp"]
            assert address_pairs(await client.resolve(NAME)) == wanted
            assert server.queries[NAME, "SRV", "udp"] == queries + 1, (
                "the client does not remember that the server has no EDNS support"
            )

    run_with_servers(test)


@pytest.mark.parametrize(
    "fault",
    [
        pytest.param(standin.silent, id="silent"),
        pytest.param(standin.error_reply(2), id="servfail"),
        pytest.param(standin.error_reply(5), id="refused"),
        pytest.param(standin.lame, id="lame"),
        pytest.param(standin.compression_loop, id="loop"),
        pytest.param(standin.always_truncated, id="cut"),
        pytest.param(None, id="dead"),
    ],
)
def test_a_second_server_replaces_one_that_fails_and_without_it_the_lookup_fails(fault):
    async def test(client: DnsClient, bad: DnsServer, good: DnsServer) -> None:
        wanted = set_targets(good, 4)
        set_targets(bad, 4)
        if fault is None:
            bad.stop()
        else:
            bad.faults.append(fault)
        bad.tcp_bytes_before_close = 20
        assert address_pairs(await client.resolve(NAME)) == wanted
        alone = DnsClient([bad.address], Random(1))
        try:
            with pytest.raises(LookupFailedError, match=bad.address):
                await alone.resolve(NAME)
        finally:
            await alone.close()

    run_with_servers(test, 2)


def test_the_resolver_of_dnspython_returns_the_same_sets():
    async def test(client: DnsClient, server: DnsServer) -> None:
        host, port = server.address.split(":")

        def resolve_by_dnspython() -> set[tuple[str, int]]:
            resolver = dns.resolver.Resolver(configure=False)
            resolver.nameservers, resolver.port, resolver.lifetime = [host], int(port), 10
            records = resolver.resolve(NAME, "SRV")
            return {(resolver.resolve(record.target, "A")[0].address, record.port) for record in records}

        for count in (1, 60):
            wanted = set_targets(server, count)
            assert (
                await asyncio.to_thread(resolve_by_dnspython)
                == address_pairs(await client.resolve(NAME))
                == wanted
            )

    run_with_servers(test)


def resolve_by_cares(server: str) -> set[tuple[str, int]]:
    """Returns the endpoints that c-ares finds, which shares no code with dnspython or with this package."""
    host, port = server.split(":")
    channel = pycares.Channel(servers=[host], udp_port=int(port), tcp_port=int(port), timeout=5, tries=2)
    answers: dict[str, list] = {}

    def query(questions: list[tuple[str, int]]) -> None:
        done = threading.Semaphore(0)

        def receive(name, result, error) -> None:
            answers[name] = [] if error is not None else result.answer
            done.release()

        for name, record_type in questions:
            channel.query(name, record_type, callback=partial(receive, name))
        for _ in questions:
            assert done.acquire(timeout=20)

    query([(NAME, pycares.QUERY_TYPE_SRV)])
    records = [record.data for record in answers[NAME] if record.type == pycares.QUERY_TYPE_SRV]
    query([(record.target, pycares.QUERY_TYPE_A) for record in records])
    return {
        (address.data.addr, record.port)
        for record in records
        for address in answers[record.target]
        if address.type == pycares.QUERY_TYPE_A
    }


def test_c_ares_returns_the_same_sets_over_udp_and_tcp():
    async def test(client: DnsClient, server: DnsServer) -> None:
        for count in (1, 7, 90):
            wanted = set_targets(server, count)
            assert (
                await asyncio.to_thread(resolve_by_cares, server.address)
                == address_pairs(await client.resolve(NAME))
                == wanted
            )
        server.set_records(f"t0.{ZONE}", "CNAME", f"other.{ZONE}")
        server.set_records(f"other.{ZONE}", "A", "10.9.9.9")
        server.remove_records(f"t0.{ZONE}", "A")
        theirs = await asyncio.to_thread(resolve_by_cares, server.address)
        assert ("10.9.9.9", 1000) in theirs
        assert theirs == address_pairs(await client.resolve(NAME))

    run_with_servers(test)


def test_a_set_larger_than_a_message_fails_and_one_that_just_fits_is_complete():
    """A DNS message holds at most 64 KiB, which is about 1,600 records of about 40 bytes."""

    async def test(client: DnsClient, server: DnsServer) -> None:
        server.sends_additional = False
        shared = [f"0 1 {1 + i} t.{ZONE}" for i in range(2000)]
        server.set_records(f"t.{ZONE}", "A", "10.0.0.1")
        server.set_records(NAME, "SRV", *shared[:1500])
        assert len(address_pairs(await client.resolve(NAME))) == 1500
        server.set_records(NAME, "SRV", *shared)
        with pytest.raises(LookupFailedError, match="truncated over TCP|no answer in time"):
            await client.resolve(NAME)

    run_with_servers(test)


def test_servers_with_different_sets_yield_one_set_or_the_other_but_never_a_mix():
    async def test(client: DnsClient, one: DnsServer, two: DnsServer) -> None:
        a = set_targets(one, 6)
        two.set_records(NAME, "SRV", *(f"0 1 {2000 + i} u{i}.{ZONE}" for i in range(6)))
        for i in range(6):
            two.set_records(f"u{i}.{ZONE}", "A", f"10.1.0.{i}")
        b = {(f"10.1.0.{i}", 2000 + i) for i in range(6)}
        seen = set()
        for _ in range(60):
            seen.add(frozenset(address_pairs(await client.resolve(NAME))))
            one.reply_delay_s, two.reply_delay_s = two.reply_delay_s, 0.0 if one.reply_delay_s else 0.003
        assert seen <= {frozenset(a), frozenset(b)}
        assert seen

    run_with_servers(test, 2)


def test_a_target_removed_between_the_srv_and_the_address_lookup_is_left_out_and_noted():
    """Guards against losing the set when the zone changes between the SRV lookup and the address lookups.

    The removed target has no address; the other endpoints are kept, and a note names the target.
    """

    async def test(client: DnsClient, server: DnsServer) -> None:
        wanted = set_targets(server, 4)
        server.sends_additional = False

        def change(exchange: standin.Exchange) -> None:
            if exchange.query.question[0].rdtype == dns.rdatatype.SRV:
                exchange.server.remove_records(f"t3.{ZONE}", "A")
            return

        server.faults.append(change)
        found = await client.resolve(NAME)
        assert address_pairs(found) == {p for p in wanted if p[1] != 1003}
        assert any("t3" in note for note in found.notes)

    run_with_servers(test)


def test_without_free_file_descriptors_a_lookup_fails_and_the_next_one_succeeds(monkeypatch):
    async def test(client: DnsClient, server: DnsServer) -> None:
        wanted = set_targets(server, 3)

        async def fail(*args, **options):
            raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))

        loop = asyncio.get_running_loop()
        client_without_descriptors = DnsClient([server.address], Random(3))
        monkeypatch.setattr(client_without_descriptors, "loop", SimpleNamespace(
            time=loop.time, create_datagram_endpoint=fail, create_connection=fail, call_later=loop.call_later,
        ))  # fmt: skip
        with pytest.raises(LookupFailedError, match="Too many open files"):
            await client_without_descriptors.resolve(NAME)
        client_without_descriptors.loop = loop
        assert address_pairs(await client_without_descriptors.resolve(NAME)) == wanted
        await client_without_descriptors.close()

    run_with_servers(test)


def test_over_tls_a_server_with_an_untrusted_or_wrong_certificate_is_rejected():
    ca, other_ca = trustme.CA(), trustme.CA()

    async def test() -> None:
        server_context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        ca.issue_cert("resolver.example.org").configure_cert(server_context)
        server = await DnsServer().start(tls=server_context)
        wanted = set_targets(server, 300)
        for trusted_ca, name, accepted in ((ca, "resolver.example.org", True), (ca, "other.example.org", False),
                                           (other_ca, "resolver.example.org", False)):  # fmt: skip
            client_context = ssl.create_default_context()
            trusted_ca.configure_trust(client_context)
            client = DnsClient([server.tls_address], Random(1), client_context, name)
            if accepted:
                assert address_pairs(await client.resolve(NAME)) == wanted
                assert server.queries.total() > 0
                assert not any(t == "udp" for _, _, t in server.queries)
            else:
                with pytest.raises(LookupFailedError, match="(?i)tls|certificate"):
                    await client.resolve(NAME)
            await client.close()
        server.stop()

    run(test())


def test_the_command_prints_the_endpoints_or_why_there_are_none():
    async def test(client: DnsClient, server: DnsServer) -> None:
        set_targets(server, 2)

        async def query(*arguments: str) -> tuple[int, str, str]:
            command = [sys.executable, "-m", "harecross", "dns", "query", *arguments]
            done = await asyncio.to_thread(subprocess.run, command, capture_output=True, text=True)
            return done.returncode, done.stdout, done.stderr

        code, out, _ = await query(NAME, "--resolver", server.address, "--json")
        assert code == 0
        assert [endpoint["port"] for endpoint in json.loads(out)["endpoints"]] == [1000, 1001]
        code, out, _ = await query(NAME, "--resolver", server.address)
        assert code == 0
        assert "10.0.0.1" in out
        code, _, err = await query("_none._tcp.site3.example.org", "--resolver", server.address)
        assert code == 1
        assert "NXDOMAIN" in err
        for arguments in (("a..b", "--resolver", server.address), (NAME, "--resolver", "localhost:53")):
            code, _, err = await query(*arguments)
            assert code == 2
            assert "Traceback" not in err
            assert len(err.splitlines()) == 1

    run_with_servers(test)
