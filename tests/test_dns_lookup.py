"""Lookups against servers with random faults, on a virtual clock."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest

pytest.importorskip("dns")

import dns.flags
import dns.message
import dns.rrset
from dns_support import NAME, ZONE, valid_reply

from harecross.dns.lookup import LOOKUP_TIMEOUT_S, Lookup, OutgoingQuery
from harecross.dns.message import Question
from harecross.dns.servers import NameServers


class FaultyNetwork:
    """A network that draws a fault, or none, for each query, and counts the draws in `drawn`."""

    FAULTS = ("answer", "silence", "servfail", "other id", "other question", "truncated", "cut", "refused", "garbage",
              "late", "formerr", "lame")  # fmt: skip

    def __init__(self, rng: Random, answer_probability: float) -> None:
        self.rng = rng
        self.answer_probability = answer_probability
        self.drawn: Counter[str] = Counter()

    def draw(self, query: OutgoingQuery) -> tuple[float, bytes | None]:
        """Returns a delay in seconds and the message that arrives after it; None means a transport failure."""
        fault = self._draw_fault(query)
        self.drawn[fault] += 1
        delay = self.rng.uniform(0.001, 0.1)
        if fault == "silence":
            return 1e9, b""
        if fault in ("cut", "refused"):
            return delay, None
        if fault == "late":
            return self.rng.uniform(0.5, 4), valid_reply(query.data)
        return delay, self._reply(fault, query.data)

    def _draw_fault(self, query: OutgoingQuery) -> str:
        fault = "answer"
        if self.rng.random() >= self.answer_probability:
            fault = self.rng.choice(self.FAULTS)
        if fault == "formerr" and b"\x00\x00\x29" not in query.data:
            return "answer"  # only a query with EDNS is answered with FORMERR
        if fault == "cut" and query.transport == "udp":
            return "refused"
        if fault == "truncated" and query.transport == "tcp" and self.rng.random() < 0.8:
            return "answer"
        return fault

    def _reply(self, fault: str, query: bytes) -> bytes:
        valid = valid_reply(query)
        if fault == "answer":
            return valid
        if fault == "other id":
            return (bytes([valid[0] ^ 1]) + valid[1:]).replace(b"\x01b", b"\x01x")
        if fault == "other question":
            return valid.replace(b"site3", b"site4")
        if fault == "garbage":
            return valid[: len(valid) // 2]
        reply = dns.message.make_response(dns.message.from_wire(query))
        if fault == "servfail":
            reply.set_rcode(2)
        elif fault == "formerr":
            reply.set_rcode(1)
        elif fault == "truncated":
            reply.answer.append(dns.rrset.from_text(NAME, 5, "IN", "SRV", f"0 1 80 a.{ZONE}"))
            reply.flags |= dns.flags.TC
        elif fault == "lame":
            reply.authority.append(dns.rrset.from_text("org.", 5, "IN", "NS", "ns.org."))
        return reply.to_wire()


class LookupSimulation:
    """One lookup over a faulty network, on a virtual clock."""

    def __init__(self, seed: int) -> None:
        rng = Random(seed)
        self.network = FaultyNetwork(rng, rng.choice([0.0, 0.3, 0.8]))
        servers = NameServers([f"10.0.0.{i}:53" for i in range(rng.choice([1, 2, 3]))], rng)
        self.now = 0.0
        self.lookup = Lookup(Question(NAME, "SRV"), servers, rng, self.now)
        # Each arrival holds its time, the attempt that it belongs to and its message.
        self.arrivals: list[tuple[float, int, bytes | None]] = []

    def send(self, queries: list[OutgoingQuery]) -> None:
        for query in queries:
            delay, message = self.network.draw(query)
            self.arrivals.append((self.now + delay, query.attempt, message))

    def run(self) -> None:
        self.send(self.lookup.start(self.now))
        while not self.lookup.done:
            due = min([self.lookup.due, *(at for at, _, _ in self.arrivals)])
            assert due <= LOOKUP_TIMEOUT_S + 0.01
            self.now = max(self.now, due)
            for arrival in sorted(arrival for arrival in self.arrivals if arrival[0] <= self.now):
                self.arrivals.remove(arrival)
                self.receive(*arrival)
            self.send(self.lookup.check_timeout(self.now))

    def receive(self, at: float, attempt: int, message: bytes | None) -> None:
        if message is None:
            self.send(self.lookup.transport_failed(self.now, attempt, "cut"))
        else:
            self.send(self.lookup.receive(self.now, attempt, message))


def test_with_any_faults_a_lookup_ends_in_time_with_the_full_set_or_a_failure():
    results: Counter[str] = Counter()
    drawn: Counter[str] = Counter()
    for seed in range(1200):
        simulation = LookupSimulation(seed)
        simulation.run()
        lookup = simulation.lookup
        assert simulation.now <= LOOKUP_TIMEOUT_S + 0.01, seed
        if lookup.reply is not None:
            assert len(lookup.reply.answers) == 2, "a partial set was accepted"
            assert lookup.reply.question == lookup.question
            targets = {record.data[3] for record in lookup.reply.answers}
            assert targets == {f"a.{ZONE}", f"b.{ZONE}"}, "a forged reply was accepted"
        results["answer" if lookup.reply is not None else "failure"] += 1
        drawn += simulation.network.drawn
    assert min(results.values()) > 100, results
    assert min(drawn[fault] for fault in FaultyNetwork.FAULTS) > 5, drawn


def test_a_failed_server_is_tried_last_until_its_penalty_ends():
    rng = Random(1)
    servers = NameServers(["a:1", "b:1"], rng)
    first = servers.all[0]
    first.record_failure(0.0)
    assert Counter(servers.by_preference(1.0)[0].address for _ in range(200))["b:1"] > 180
    for _ in range(9):
        first.record_failure(0.0)
    assert first.penalty_until == 60.0
    for _ in range(30):
        servers.all[1].record_answer(1.0)
    assert Counter(servers.by_preference(61.0)[0].address for _ in range(200))["a:1"] > 180
