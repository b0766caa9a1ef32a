"""The resolver: its machines against seeded servers that fail, then over sockets against a scripted one."""

from __future__ import annotations

import asyncio
import errno
import json
import os
import ssl
import subprocess
import sys
import threading
from collections import Counter
from contextlib import suppress
from functools import partial
from random import Random
from types import SimpleNamespace

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from node_support import run

pytest.importorskip("dns")

import dns.message  # noqa: E402
import dns.rdatatype  # noqa: E402
import dns.resolver  # noqa: E402
import dns.rrset  # noqa: E402
import pycares  # noqa: E402
import trustme  # noqa: E402

from harecross.dns.client import DnsClient, LookupFailedError  # noqa: E402
from harecross.dns.frames import FrameDecoder, frame  # noqa: E402
from harecross.dns.lifetime import CachedName, CacheLimits, CacheStatus  # noqa: E402
from harecross.dns.lookup import LOOKUP_TIMEOUT_S, Lookup  # noqa: E402
from harecross.dns.message import MessageError, Question, decode_reply, normalize_name  # noqa: E402
from harecross.dns.servers import NameServers  # noqa: E402
from harecross.dns.srv import Resolution, SrvAnswer, SrvEndpoint  # noqa: E402
from harecross.standins import dns as standin  # noqa: E402
from harecross.standins.dns import DnsServer  # noqa: E402

NAME = "_readings._tcp.site3.example.org."
ZONE = "site3.example.org."


# ---- bytes ------------------------------------------------------------------------------------------------


@given(st.binary(max_size=300))
@example(b"\x00\x01\x80\x00\x00\x01\x00\x00\x00\x00\x00\x00\xc0\x0c\x00\x21\x00\x01")
def test_any_bytes_are_an_answer_or_the_protocol_error(data):
    with suppress(MessageError):
        decode_reply(data)


@settings(max_examples=200)
@given(st.data())
def test_a_spoilt_answer_is_an_answer_or_the_protocol_error(data):
    query = dns.message.make_query(NAME, "SRV")
    reply = dns.message.make_response(query)
    reply.answer.append(dns.rrset.from_text(NAME, 5, "IN", "SRV", f"0 1 80 a.{ZONE}", f"1 2 81 b.{ZONE}"))
    reply.additional.append(dns.rrset.from_text(f"a.{ZONE}", 5, "IN", "A", "10.0.0.1"))
    wire = bytearray(reply.to_wire())
    for _ in range(data.draw(st.integers(1, 4))):
        wire[data.draw(st.integers(0, len(wire) - 1))] = data.draw(st.integers(0, 255))
    with suppress(MessageError):
        decode_reply(bytes(wire[: data.draw(st.integers(0, len(wire)))]))


@given(st.lists(st.binary(max_size=80), max_size=6), st.data())
def test_any_split_of_a_stream_gives_the_same_messages(messages, data):
    whole, frames, found = b"".join(map(frame, messages)), FrameDecoder(), []
    while whole:
        cut = data.draw(st.integers(1, len(whole)))
        found += frames.feed(whole[:cut])
        whole = whole[cut:]
    assert found == messages and not frames.buffer


@pytest.mark.parametrize("bad", ["", ".", "a..b", "x" * 64 + ".org", "a." * 200])
def test_what_is_no_name_is_refused(bad):
    with pytest.raises(ValueError):
        normalize_name(bad)
    assert normalize_name("_A._tcp.Site3.example.ORG") == "_a._tcp.site3.example.org."


# ---- one lookup, against servers that fail on a clock of their own -------------------------------------------


def honest(data: bytes, **changes) -> bytes:
    query = dns.message.from_wire(data)
    reply = dns.message.make_response(query)
    reply.answer.append(dns.rrset.from_text(NAME, 5, "IN", "SRV", f"0 1 80 a.{ZONE}", f"0 1 80 b.{ZONE}"))
    return reply.to_wire()


class Faults:
    """Draws what becomes of each message; what it says it did stands in `seen`."""

    KINDS = ("answer", "silence", "servfail", "other id", "other question", "truncated", "cut", "refused", "garbage",
             "late", "formerr", "lame")  # fmt: skip

    def __init__(self, rng: Random, good: float) -> None:
        self.rng, self.good = rng, good
        self.seen: Counter[str] = Counter()

    def draw(self, send) -> tuple[float, str, bytes]:
        """Seconds, then `data` or `broken`, and the message."""
        kind = "answer" if self.rng.random() < self.good else self.rng.choice(self.KINDS)
        if kind == "formerr" and b"\x00\x00\x29" not in send.data:
            kind = "answer"  # only who is asked with EDNS does not know it
        if kind == "cut" and send.transport == "udp":
            kind = "refused"
        if kind == "truncated" and send.transport == "tcp" and self.rng.random() < 0.8:
            kind = "answer"
        self.seen[kind] += 1
        after, query = self.rng.uniform(0.001, 0.1), dns.message.from_wire(send.data)
        reply = dns.message.make_response(query)
        if kind in ("silence",):
            return 1e9, "data", b""
        if kind in ("cut", "refused"):
            return after, "broken", b""
        if kind == "late":
            return self.rng.uniform(0.5, 4), "data", honest(send.data)
        if kind == "servfail":
            reply.set_rcode(2)
        elif kind == "formerr":
            reply.set_rcode(1)
        elif kind == "truncated":
            reply.answer.append(dns.rrset.from_text(NAME, 5, "IN", "SRV", f"0 1 80 a.{ZONE}"))
            reply.flags |= 0x0200
        elif kind == "lame":
            reply.authority.append(dns.rrset.from_text("org.", 5, "IN", "NS", "ns.org."))
        elif kind == "other question":
            wire = honest(send.data).replace(b"site3", b"site4")
            return after, "data", wire
        data = honest(send.data) if kind in ("answer", "other id", "garbage") else reply.to_wire()
        if kind == "other id":
            data = (bytes([data[0] ^ 1]) + data[1:]).replace(b"\x01b", b"\x01x")
        return after, "data", data[: len(data) // 2] if kind == "garbage" else data


def test_whatever_servers_do_a_lookup_ends_in_time_with_the_whole_set_or_a_failure():
    ends: Counter[str] = Counter()
    seen: Counter[str] = Counter()
    for seed in range(1200):
        rng = Random(seed)
        faults = Faults(rng, rng.choice([0.0, 0.3, 0.8]))
        servers = NameServers([f"10.0.0.{i}:53" for i in range(rng.choice([1, 2, 3]))], rng)
        now, queue = 0.0, []
        lookup = Lookup(Question(NAME, "SRV"), servers, rng, now)

        def do(now, todo, queue=queue, faults=faults):
            for send in todo:
                after, what, data = faults.draw(send)
                queue.append((now + after, send.attempt, what, data))

        do(now, lookup.start(now))
        while not lookup.done:
            due = min([lookup.due, *(question[0] for question in queue)])
            assert due <= LOOKUP_TIMEOUT_S + 0.01, seed
            now = max(now, due)
            for item in sorted(question for question in queue if question[0] <= now):
                queue.remove(item)
                _, number, what, data = item
                do(
                    now,
                    lookup.receive(now, number, data)
                    if what == "data"
                    else lookup.transport_failed(now, number, "cut"),
                )
            do(now, lookup.check_timeout(now))
        assert now <= LOOKUP_TIMEOUT_S + 0.01
        if lookup.reply is not None:
            assert len(lookup.reply.answers) == 2, "a part of a set is no set"
            assert lookup.reply.question == lookup.question
            targets = {r.data[3] for r in lookup.reply.answers}
            assert targets == {f"a.{ZONE}", f"b.{ZONE}"}, "a forged answer"
        ends["answer" if lookup.reply is not None else "failure"] += 1
        seen += faults.seen
    assert min(ends.values()) > 100 and min(seen[k] for k in Faults.KINDS) > 5, (ends, seen)


def test_a_server_that_failed_stands_behind_and_comes_back():
    rng = Random(1)
    servers = NameServers(["a:1", "b:1"], rng)
    first = servers.all[0]
    first.record_failure(0.0)
    assert Counter(servers.in_order(1.0)[0].address for _ in range(200))["b:1"] > 180
    for _ in range(9):
        first.record_failure(0.0)
    assert first.penalty_until == 60.0
    for _ in range(30):
        servers.all[1].record_answer(1.0)
    assert Counter(servers.in_order(61.0)[0].address for _ in range(200))["a:1"] > 180


# ---- from records to endpoints --------------------------------------------------------------------------------


def resolved(server: DnsServer, name: str = NAME, fail: frozenset[str] = frozenset()) -> SrvAnswer:
    """The set that a server's records make, without sockets."""
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
    raise AssertionError("it never ends")


def site(*targets: str, ttl: int = 5) -> DnsServer:
    server = DnsServer()
    server.put(NAME, "SRV", *(f"0 {i + 1} 80{i} {t}.{ZONE}" for i, t in enumerate(targets)), ttl=ttl)
    for i, t in enumerate(targets):
        server.put(f"{t}.{ZONE}", "A", f"10.0.0.{i + 1}", ttl=ttl)
    return server


def test_addresses_beside_the_answer_are_taken_within_the_zone_and_asked_for_outside():
    for additional in (True, False):
        server = site("a", "b")
        server.additional = additional
        server.put(f"b.{ZONE}", "AAAA", "2001:db8::1")
        found = resolved(server)
        assert [(endpoint.address, endpoint.port, endpoint.weight) for endpoint in found.endpoints] == [
            ("10.0.0.1", 800, 1), ("10.0.0.2", 801, 2), ("2001:db8::1", 801, 2)]  # fmt: skip
        assert (server.asked[f"a.{ZONE}", "A", "tcp"] == 0) == additional
    server = site("a")
    server.put(NAME, "SRV", "0 1 80 www.elsewhere.example.")
    server.put("www.elsewhere.example.", "A", "10.9.9.9", ttl=3)
    found = resolved(server)
    assert server.asked["www.elsewhere.example.", "A", "tcp"] == 1 and found.ttl == 3
    assert any("not believed: outside site3.example.org." in n for n in found.notes)


def test_aliases_are_followed_with_a_bound_and_said_and_loops_end():
    server = site("a")
    server.additional = False
    server.remove(f"a.{ZONE}", "A")
    server.put(f"a.{ZONE}", "CNAME", f"b.{ZONE}", ttl=2)
    server.put(f"b.{ZONE}", "A", "10.0.0.7", "10.0.0.8")
    found = resolved(server)
    assert [endpoint.address for endpoint in found.endpoints] == ["10.0.0.7", "10.0.0.8"] and found.ttl == 2
    assert found.endpoints[0].target == f"a.{ZONE}" and any(
        "which RFC 2782 forbids" in n for n in found.notes
    )
    server.remove(f"b.{ZONE}", "A")
    server.put(f"b.{ZONE}", "CNAME", f"a.{ZONE}")
    assert resolved(server).empty == "no target has an address"
    # The name itself may be an alias, of another zone too; there its own additional records are believed.
    server = site("a")
    server.put("_r._tcp.alias.example.org.", "CNAME", NAME)
    assert [endpoint.address for endpoint in resolved(server, "_r._tcp.alias.example.org.").endpoints] == [
        "10.0.0.1"
    ]


@pytest.mark.parametrize(
    ("records", "empty"),
    [
        ((), "NXDOMAIN"),
        (("0 0 0 .",), "no service (target .)"),
        ((f"0 0 80 none.{ZONE}",), "no target has an address"),
    ],
)
def test_a_name_that_holds_nothing_says_why(records, empty):
    server = DnsServer()
    if records:
        server.put(NAME, "SRV", *records)
    assert resolved(server).empty == empty and not resolved(server).endpoints


def test_a_target_that_cannot_be_looked_up_keeps_the_address_it_had():
    server = site("a", "b")
    server.additional = False
    name = CachedName(CacheLimits(), Random(1), 0.0)
    name.receive_answer(0.0, resolved(server))
    whole = name.view(0.0).endpoints
    found = resolved(server, fail=frozenset({f"b.{ZONE}"}))
    assert len(found.endpoints) == 1 and found.unknown == (f"b.{ZONE}",) and not found.empty
    name.receive_answer(1.0, found)
    assert name.view(1.0).endpoints == whole and name.view(1.0).remaining_s <= 2
    fresh = CachedName(CacheLimits(), Random(1), 0.0)
    fresh.receive_answer(0.0, resolved(server, fail=frozenset({f"a.{ZONE}", f"b.{ZONE}"})))
    assert fresh.view(0.0).status == CacheStatus.UNKNOWN and fresh.failures == 1


# ---- lifetimes, over virtual days -------------------------------------------------------------------------------


def test_over_virtual_days_a_set_is_never_emptied_by_failure_nor_before_the_doubt_is_over():
    """Each step: a good answer, an empty one or none, in runs; the model beside it is a few lines."""
    limits = CacheLimits(max_stale=3600, empty_confirmation=30)
    seen: Counter[CacheStatus] = Counter()
    for seed in range(150):
        rng = Random(seed)
        name, now = CachedName(limits, rng, 0.0), 0.0
        good_at, empty_since, mode, until, had = None, None, "good", 0.0, False
        while now < 6 * 3600:
            if now >= until:
                mode = rng.choice(["good", "good", "fail", "empty"])
                until = now + rng.choice([5, 40, 600, 7200])
            now = max(now, name.refresh_at)
            assert name.due(now)
            name.refresh_started()
            assert not name.due(now)
            before = name.view(now)
            if mode == "good":
                name.receive_answer(
                    now, SrvAnswer((SrvEndpoint(0, "a", "10.0.0.1", 80, 1),), rng.choice([0, 5, 2**31 - 1]))
                )
                good_at, empty_since, had = now, None, True
                assert limits.min_ttl - 1e-6 <= name.view(now).remaining_s <= limits.max_ttl + 1e-6
            elif mode == "empty":
                name.receive_answer(now, SrvAnswer((), 5.0, "NXDOMAIN"))
                empty_since = now if empty_since is None else empty_since
            else:
                name.receive_failure(now, "no answer")
            view = name.view(now)
            seen[view.status] += 1
            assert now < name.refresh_at <= now + limits.max_ttl, "it is asked again, and not at once"
            if before.endpoints and not view.endpoints:
                expired = good_at is not None and before.remaining_s < -limits.max_stale + 31
                doubted = empty_since is not None and now - empty_since >= limits.empty_confirmation
                assert (mode == "empty" and doubted) or expired, (seed, now, mode, before, view)
            if (
                mode == "empty"
                and had
                and empty_since is not None
                and now - empty_since > limits.empty_confirmation
            ):
                assert not view.endpoints, "it is believed in the end"
            if mode == "empty" and view.status == CacheStatus.UNCONFIRMED_EMPTY:
                assert name.refresh_at <= empty_since + limits.empty_confirmation + 1e-6, (
                    "it is asked at the end of the doubt"
                )
            if view.status == CacheStatus.EMPTY:
                had = False
    assert set(seen) >= {
        CacheStatus.FRESH,
        CacheStatus.UNCONFIRMED_EMPTY,
        CacheStatus.STALE,
        CacheStatus.EMPTY,
        CacheStatus.EXPIRED,
    }, seen


def test_a_thousand_instances_ask_evenly():
    names = [CachedName(CacheLimits(), Random(i), 0.0) for i in range(1000)]
    asked: Counter[int] = Counter()
    for now in range(0, 1200):
        for n in names:
            if n.due(now):
                n.refresh_started()
                n.receive_answer(float(now), SrvAnswer((SrvEndpoint(0, "a", "10.0.0.1", 80, 1),), 60.0))
                asked[now] += 1
    later = [asked[t] for t in range(600, 1200)]
    assert max(later) < 2.5 * sum(later) / len(later)


# ---- over sockets -------------------------------------------------------------------------------------------------


def with_servers(test, count: int = 1) -> None:
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


def fill(server: DnsServer, count: int) -> set[tuple[str, int]]:
    server.put(NAME, "SRV", *(f"0 1 {1000 + i} t{i}.{ZONE}" for i in range(count)))
    for i in range(count):
        server.put(f"t{i}.{ZONE}", "A", f"10.{i >> 16}.{i >> 8 & 255}.{i & 255}")
    return {(f"10.{i >> 16}.{i >> 8 & 255}.{i & 255}", 1000 + i) for i in range(count)}


def pairs(found: SrvAnswer) -> set[tuple[str, int]]:
    return {(endpoint.address, endpoint.port) for endpoint in found.endpoints}


def test_a_large_set_comes_whole_over_tcp_and_the_connection_is_used_again():
    async def test(client: DnsClient, server: DnsServer) -> None:
        for count in (3, 400):
            wanted = fill(server, count)
            assert pairs(await client.resolve(NAME)) == wanted
        assert server.asked[NAME, "SRV", "udp"] == 2 and server.asked[NAME, "SRV", "tcp"] == 1
        # Addresses that did not fit beside it were asked for, many at once; one question for who asks together.
        before = server.asked.total()
        found = await asyncio.gather(*(client.resolve(NAME) for _ in range(5)))
        assert all(pairs(f) == wanted for f in found) and server.connections == 1
        assert server.asked[NAME, "SRV", "udp"] == 3 and server.asked.total() - before < 3 * (2 + 400)

    with_servers(test)


@pytest.mark.parametrize("fault", ["forged", "no_edns", "always_truncated"])
def test_servers_with_faults_that_can_be_lived_with_give_the_whole_set(fault):
    async def test(client: DnsClient, server: DnsServer) -> None:
        wanted = fill(server, 5)
        server.faults.append(getattr(standin, fault))
        assert pairs(await client.resolve(NAME)) == wanted
        if fault == "no_edns":
            asked = server.asked[NAME, "SRV", "udp"]
            assert pairs(await client.resolve(NAME)) == wanted
            assert server.asked[NAME, "SRV", "udp"] == asked + 1, "what it does not know is remembered"

    with_servers(test)


@pytest.mark.parametrize("fault", ["silent", "servfail", "refused", "lame", "loop", "cut", "dead"])
def test_a_second_server_answers_for_one_that_fails_and_alone_it_is_a_failure(fault):
    async def test(client: DnsClient, bad: DnsServer, good: DnsServer) -> None:
        wanted = fill(good, 4)
        fill(bad, 4)
        made = {
            "silent": standin.silent, "servfail": standin.rcode(2), "refused": standin.rcode(5), "lame": standin.lame,
            "loop": standin.compression_loop, "cut": standin.always_truncated, "dead": None,
        }[fault]  # fmt: skip
        if made is None:
            bad.stop()
        else:
            bad.faults.append(made)
        bad.cut_tcp = 20
        assert pairs(await client.resolve(NAME)) == wanted
        alone = DnsClient([bad.address], Random(1))
        try:
            with pytest.raises(LookupFailedError, match=bad.address):
                await alone.resolve(NAME)
        finally:
            await alone.close()

    with_servers(test, 2)


def test_a_client_that_is_not_ours_reads_the_same_sets():
    async def test(client: DnsClient, server: DnsServer) -> None:
        host, port = server.address.split(":")

        def theirs() -> set[tuple[str, int]]:
            other = dns.resolver.Resolver(configure=False)
            other.nameservers, other.port, other.lifetime = [host], int(port), 10
            rows = other.resolve(NAME, "SRV")
            return {(other.resolve(r.target, "A")[0].address, r.port) for r in rows}

        for count in (1, 60):
            wanted = fill(server, count)
            assert await asyncio.to_thread(theirs) == pairs(await client.resolve(NAME)) == wanted

    with_servers(test)


def by_cares(server: str) -> set[tuple[str, int]]:
    """The set as c-ares has it, which shares no code with dnspython or with us."""
    host, port = server.split(":")
    channel = pycares.Channel(servers=[host], udp_port=int(port), tcp_port=int(port), timeout=5, tries=2)
    came: dict[str, list] = {}

    def ask(names: list[tuple[str, int]]) -> None:
        left = threading.Semaphore(0)

        def got(name, result, error) -> None:
            came[name] = [] if error is not None else result.answer
            left.release()

        for name, kind in names:
            channel.query(name, kind, callback=partial(got, name))
        for _ in names:
            assert left.acquire(timeout=20)

    ask([(NAME, pycares.QUERY_TYPE_SRV)])
    rows = [r.data for r in came[NAME] if r.type == pycares.QUERY_TYPE_SRV]
    ask([(r.target, pycares.QUERY_TYPE_A) for r in rows])
    return {(a.data.addr, r.port) for r in rows for a in came[r.target] if a.type == pycares.QUERY_TYPE_A}


def test_c_ares_reads_the_same_sets_over_udp_and_tcp():
    async def test(client: DnsClient, server: DnsServer) -> None:
        for count in (1, 7, 90):
            wanted = fill(server, count)
            assert (
                await asyncio.to_thread(by_cares, server.address)
                == pairs(await client.resolve(NAME))
                == wanted
            )
        server.put(f"t0.{ZONE}", "CNAME", f"other.{ZONE}")
        server.put(f"other.{ZONE}", "A", "10.9.9.9")
        server.remove(f"t0.{ZONE}", "A")
        theirs = await asyncio.to_thread(by_cares, server.address)
        assert ("10.9.9.9", 1000) in theirs and theirs == pairs(await client.resolve(NAME))

    with_servers(test)


def test_a_set_larger_than_any_message_is_a_failure_and_one_that_just_fits_comes_whole():
    """Some 40 bytes each: 64 KiB, the most that DNS carries in one message, hold some 1,600."""

    async def test(client: DnsClient, server: DnsServer) -> None:
        server.additional = False
        shared = [f"0 1 {1 + i} t.{ZONE}" for i in range(2000)]
        server.put(f"t.{ZONE}", "A", "10.0.0.1")
        server.put(NAME, "SRV", *shared[:1500])
        assert len(pairs(await client.resolve(NAME))) == 1500
        server.put(NAME, "SRV", *shared)
        with pytest.raises(LookupFailedError, match="truncated over TCP|no answer in time"):
            await client.resolve(NAME)

    with_servers(test)


def test_two_servers_that_differ_give_one_set_or_the_other_never_a_mix():
    async def test(client: DnsClient, one: DnsServer, two: DnsServer) -> None:
        a = fill(one, 6)
        two.put(NAME, "SRV", *(f"0 1 {2000 + i} u{i}.{ZONE}" for i in range(6)))
        for i in range(6):
            two.put(f"u{i}.{ZONE}", "A", f"10.1.0.{i}")
        b = {(f"10.1.0.{i}", 2000 + i) for i in range(6)}
        seen = set()
        for _ in range(60):
            seen.add(frozenset(pairs(await client.resolve(NAME))))
            one.delay, two.delay = two.delay, 0.0 if one.delay else 0.003
        assert seen <= {frozenset(a), frozenset(b)} and seen

    with_servers(test, 2)


def test_a_set_that_changes_between_its_names_and_their_addresses_keeps_what_is_known():
    """The SRV records of one version, the addresses of the next: the one that went has none, and is said."""

    async def test(client: DnsClient, server: DnsServer) -> None:
        wanted = fill(server, 4)
        server.additional = False

        def change(s, query, reply, transport):
            if query.question[0].rdtype == dns.rdatatype.SRV:
                s.remove(f"t3.{ZONE}", "A")
            return None

        server.faults.append(change)
        found = await client.resolve(NAME)
        assert pairs(found) == {p for p in wanted if p[1] != 1003}
        assert any("t3" in note for note in found.notes)

    with_servers(test)


def test_without_descriptors_a_lookup_fails_in_time_and_the_next_one_is_whole(monkeypatch):
    async def test(client: DnsClient, server: DnsServer) -> None:
        wanted = fill(server, 3)

        async def none(*args, **more):
            raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))

        loop = asyncio.get_running_loop()
        short = DnsClient([server.address], Random(3))
        monkeypatch.setattr(short, "loop", SimpleNamespace(
            time=loop.time, create_datagram_endpoint=none, create_connection=none, call_later=loop.call_later,
        ))  # fmt: skip
        with pytest.raises(LookupFailedError, match="Too many open files"):
            await short.resolve(NAME)
        short.loop = loop
        assert pairs(await short.resolve(NAME)) == wanted
        await short.close()

    with_servers(test)


def test_over_tls_a_server_without_the_operators_certificate_is_not_believed():
    ca, stranger = trustme.CA(), trustme.CA()

    async def test() -> None:
        served = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        ca.issue_cert("resolver.example.org").configure_cert(served)
        server = await DnsServer().start(tls=served)
        wanted = fill(server, 300)
        for authority, name, good in ((ca, "resolver.example.org", True), (ca, "other.example.org", False),
                                      (stranger, "resolver.example.org", False)):  # fmt: skip
            trust = ssl.create_default_context()
            authority.configure_trust(trust)
            client = DnsClient([server.tls_address], Random(1), trust, name)
            if good:
                assert pairs(await client.resolve(NAME)) == wanted
                assert server.asked.total() > 0 and not any(t == "udp" for _, _, t in server.asked)
            else:
                with pytest.raises(LookupFailedError, match="(?i)tls|certificate"):
                    await client.resolve(NAME)
            await client.close()
        server.stop()

    run(test())


def test_the_command_tells_the_set_and_why_there_is_none():
    async def test(client: DnsClient, server: DnsServer) -> None:
        fill(server, 2)

        async def query(*words: str) -> tuple[int, str, str]:
            command = [sys.executable, "-m", "harecross", "dns", "query", *words]
            done = await asyncio.to_thread(subprocess.run, command, capture_output=True, text=True)
            return done.returncode, done.stdout, done.stderr

        code, out, _ = await query(NAME, "--resolver", server.address, "--json")
        assert code == 0 and [endpoint["port"] for endpoint in json.loads(out)["endpoints"]] == [1000, 1001]
        code, out, _ = await query(NAME, "--resolver", server.address)
        assert code == 0 and "10.0.0.1" in out
        code, _, err = await query("_none._tcp.site3.example.org", "--resolver", server.address)
        assert code == 1 and "NXDOMAIN" in err
        for words in (("a..b", "--resolver", server.address), (NAME, "--resolver", "localhost:53")):
            code, _, err = await query(*words)
            assert code == 2 and "Traceback" not in err and len(err.splitlines()) == 1

    with_servers(test)
