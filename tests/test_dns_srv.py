"""The resolution of SRV records to endpoints, without sockets."""

from __future__ import annotations

from random import Random

import pytest

pytest.importorskip("dns")

import dns.message
from dns_support import NAME, ZONE, server_with_targets

from harecross.dns.lifetime import CachedName, CacheLimits, CacheStatus
from harecross.dns.message import decode_reply, normalize_name
from harecross.dns.srv import Resolution, SrvAnswer
from harecross.standins.dns import DnsServer


def resolve_directly(server: DnsServer, name: str = NAME, fail: frozenset[str] = frozenset()) -> SrvAnswer:
    """Resolves a name by calling the server directly; lookups of the names in `fail` fail."""
    resolution = Resolution(normalize_name(name))
    for _ in range(100):
        if resolution.done:
            return resolution.result()
        for question in resolution.questions():
            if question.name in fail:
                resolution.receive_failure(question, "no answer")
                continue
            (data,) = server.answer(
                dns.message.make_query(question.name, question.record_type, use_edns=0, payload=1232), "tcp"
            )
            resolution.receive_reply(question, decode_reply(data))
    raise AssertionError("the resolution does not end")


def test_additional_addresses_are_used_within_the_zone_and_looked_up_outside():
    for additional in (True, False):
        server = server_with_targets("a", "b")
        server.sends_additional = additional
        server.set_records(f"b.{ZONE}", "AAAA", "2001:db8::1")
        found = resolve_directly(server)
        assert [(endpoint.address, endpoint.port, endpoint.weight) for endpoint in found.endpoints] == [
            ("10.0.0.1", 800, 1), ("10.0.0.2", 801, 2), ("2001:db8::1", 801, 2)]  # fmt: skip
        assert (server.queries[f"a.{ZONE}", "A", "tcp"] == 0) == additional
    server = server_with_targets("a")
    server.set_records(NAME, "SRV", "0 1 80 www.elsewhere.example.")
    server.set_records("www.elsewhere.example.", "A", "10.9.9.9", ttl=3)
    found = resolve_directly(server)
    assert server.queries["www.elsewhere.example.", "A", "tcp"] == 1
    assert found.ttl == 3
    assert any("ignored the additional address record: outside site3.example.org." in n for n in found.notes)


def test_aliases_are_followed_and_noted_and_alias_loops_end():
    server = server_with_targets("a")
    server.sends_additional = False
    server.remove_records(f"a.{ZONE}", "A")
    server.set_records(f"a.{ZONE}", "CNAME", f"b.{ZONE}", ttl=2)
    server.set_records(f"b.{ZONE}", "A", "10.0.0.7", "10.0.0.8")
    found = resolve_directly(server)
    assert [endpoint.address for endpoint in found.endpoints] == ["10.0.0.7", "10.0.0.8"]
    assert found.ttl == 2
    assert found.endpoints[0].target == f"a.{ZONE}"
    assert any("which RFC 2782 forbids" in n for n in found.notes)
    server.remove_records(f"b.{ZONE}", "A")
    server.set_records(f"b.{ZONE}", "CNAME", f"a.{ZONE}")
    assert resolve_directly(server).empty_reason == "no target has an address"
    # The SRV name itself may be an alias, also of a name in another zone, whose additional records are accepted.
    server = server_with_targets("a")
    server.set_records("_r._tcp.alias.example.org.", "CNAME", NAME)
    assert [
        endpoint.address for endpoint in resolve_directly(server, "_r._tcp.alias.example.org.").endpoints
    ] == ["10.0.0.1"]


@pytest.mark.parametrize(
    ("records", "empty"),
    [
        ((), "NXDOMAIN"),
        (("0 0 0 .",), "no service (target .)"),
        ((f"0 0 80 none.{ZONE}",), "no target has an address"),
    ],
)
def test_a_name_without_endpoints_has_a_reason(records, empty):
    server = DnsServer()
    if records:
        server.set_records(NAME, "SRV", *records)
    assert resolve_directly(server).empty_reason == empty
    assert not resolve_directly(server).endpoints


def test_a_target_whose_lookup_fails_keeps_its_previous_address():
    server = server_with_targets("a", "b")
    server.sends_additional = False
    name = CachedName(CacheLimits(), Random(1), 0.0)
    name.receive_answer(0.0, resolve_directly(server))
    complete_set = name.view(0.0).endpoints
    found = resolve_directly(server, fail=frozenset({f"b.{ZONE}"}))
    assert len(found.endpoints) == 1
    assert found.unresolved_targets == (f"b.{ZONE}",)
    assert not found.empty_reason
    name.receive_answer(1.0, found)
    assert name.view(1.0).endpoints == complete_set
    assert name.view(1.0).remaining_s <= 2
    fresh = CachedName(CacheLimits(), Random(1), 0.0)
    fresh.receive_answer(0.0, resolve_directly(server, fail=frozenset({f"a.{ZONE}", f"b.{ZONE}"})))
    assert fresh.view(0.0).status == CacheStatus.UNKNOWN
    assert fresh.failures == 1
