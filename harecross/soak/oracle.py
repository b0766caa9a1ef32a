"""Judges a soak by the rules, from what clients, servers and discoveries recorded; a node's word counts for nothing.

Sources of the rules: the protocol and deployment pages. Every bound is widened by the longest time that the recording
process was held up, since its times are late by as much.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterator
from enum import Enum
from typing import NamedTuple

from harecross.soak.records import ClientRecord, Effect, End, Ran, Records, ServerRecord
from harecross.soak.slow_start import SlowStart, Terms
import itertools

GRACE = 0.3  # seconds after a drain was told, 250 ms and the sockets' slack of 50
CLIENT_GONE = 0.1  # an attempt that begins so long after its client closed is a break
DEADLINE_SLACK = 0.15  # of the time passed to a server
LATE_ANSWER = 0.5  # after a request's time it is lost
STOP_COUNTED = 0.7  # what comes later after SIGTERM is lost if SIGKILL finds it unanswered


class Rule(Enum):
    """What was broken."""

    LOST = "lost"
    DUPLICATE = "duplicate"
    DRAIN = "drain"
    CLIENT_GONE = "client gone"
    DEADLINE = "deadline"
    SLOW_START = "slow start"
    CRASH = "crash"


class Breach(NamedTuple):
    """One broken rule, with the times that show it."""

    rule: Rule
    at: float
    text: str
    id: str = ""


class Oracle:
    """The evidence of one run, indexed."""

    def __init__(self, records: Records) -> None:
        self.records = records
        self.slack = records.lag
        self.attempts: dict[str, list[ServerRecord]] = defaultdict(list)
        for attempt in records.servers:
            self.attempts[attempt.id].append(attempt)
        self.changes: dict[str, list[int]] = defaultdict(list)
        for number, change in enumerate(records.changes):
            self.changes[change.server].append(number)
        self.told = records.told_at()

    def breaches(self) -> list[Breach]:
        """All that was broken, the first first."""
        found = [Breach(Rule.CRASH, c.at, f"{c.node} {c.what}") for c in self.records.crashes]
        for client in self.records.clients.values():
            attempts = self.attempts[client.id]
            found += self.lost(client)
            found += self.duplicates(client, attempts)
            for attempt in attempts:
                found += self.drains(client, attempt)
                found += self.times(client, attempt)
        found += self.slow_starts()
        return sorted(found, key=lambda breach: breach.at)

    # ---- the rules --------------------------------------------------------------------------------------

    def lost(self, client: ClientRecord) -> Iterator[Breach]:
        """One final answer, in time; what a kill found counts only if it came late after SIGTERM."""
        if client.end in (End.CLOSED, End.UNANSWERED):
            killed = self.killed_between(client.node, client.sent, client.ended)
            if killed is None:
                yield Breach(
                    Rule.LOST, client.ended, f"{client.end.value}, sent {client.sent:.3f}", client.id
                )
            elif killed and client.sent > killed + STOP_COUNTED + self.slack:
                yield Breach(
                    Rule.LOST, client.ended, f"sent {client.sent - killed:.3f} s after SIGTERM", client.id
                )
        elif client.end is End.ANSWERED:
            late = client.ended - client.sent - client.timeout
            if late > LATE_ANSWER + self.slack:
                yield Breach(Rule.LOST, client.ended, f"answered {late:.3f} s after its time", client.id)

    def killed_between(self, node: str, start: float, end: float) -> float | None:
        """Of a kill between two times: when its SIGTERM came, 0 if it had none. None if there was no kill."""
        terminated = 0.0
        for signal in self.records.signals:
            if signal.node != node or signal.at > end + self.slack:
                continue
            if signal.what == "SIGTERM":
                terminated = signal.at
            elif signal.what == "SIGKILL" and signal.at >= start - self.slack:
                return terminated
            elif signal.what == "started":
                terminated = 0.0
        return None

    @staticmethod
    def duplicates(client: ClientRecord, attempts: list[ServerRecord]) -> Iterator[Breach]:
        """An unsafe request that may have run goes nowhere else."""
        if client.effect is not Effect.UNSAFE:
            return
        in_order = sorted(attempts, key=lambda attempt: attempt.first_byte)
        for before, after in itertools.pairwise(in_order):
            if before.ran is not Ran.TURNED_AWAY:
                text = f"at {after.server} after {before.server}: {before.ran.value}"
                yield Breach(Rule.DUPLICATE, after.first_byte, text, client.id)

    def drains(self, client: ClientRecord, attempt: ServerRecord) -> Iterator[Breach]:
        """Nothing new to a server that leaves, `GRACE` after the node was told."""
        left = self.left_by(attempt.server, attempt.first_byte)
        if left is None:
            return
        told = min(
            (self.told[key] for number in left if (key := (client.node, number)) in self.told), default=None
        )
        if told is not None and attempt.first_byte > told + GRACE + self.slack:
            text = f"{client.node} to {attempt.server} {attempt.first_byte - told:.3f} s after it was told"
            yield Breach(Rule.DRAIN, attempt.first_byte, text, client.id)

    def left_by(self, server: str, at: float) -> list[int] | None:
        """The changes by which the server leaves at that time; None if it is in service."""
        numbers = self.changes[server]
        times = [self.records.changes[number].at for number in numbers]
        leaving: list[int] = []
        for number in reversed(numbers[: bisect_right(times, at)]):
            if self.records.changes[number].lifecycle == "in_service":
                break
            leaving.append(number)
        return leaving or None

    def times(self, client: ClientRecord, attempt: ServerRecord) -> Iterator[Breach]:
        """Nothing for a client that has gone, and no more time than it has left."""
        if client.end is End.LEFT and attempt.first_byte > client.ended + CLIENT_GONE + self.slack:
            text = f"{attempt.first_byte - client.ended:.3f} s after its client closed"
            yield Breach(Rule.CLIENT_GONE, attempt.first_byte, text, client.id)
        over = attempt.first_byte + attempt.timeout - client.sent - client.timeout
        if over > DEADLINE_SLACK + self.slack:
            yield Breach(
                Rule.DEADLINE, attempt.first_byte, f"{over:.3f} s more than its client has", client.id
            )

    def slow_starts(self) -> Iterator[Breach]:
        """No cold server is pushed over."""
        for fall in SlowStart(self.records, Terms()).falls():
            text = (
                f"{fall.server} got {fall.requests} requests of at most {fall.most:.1f}, {fall.age:.1f} s old"
            )
            yield Breach(Rule.SLOW_START, fall.at, text)


def report(records: Records, breaches: list[Breach], most: int = 5) -> list[str]:
    """The timeline of what was broken, in the form of the operators' reports."""
    lines = []
    zero = min((change.at for change in records.changes), default=0.0)
    nodes = set()
    for breach in breaches[:most]:
        lines.append(f"rule {breach.rule.value}: {breach.at - zero:.3f} {breach.text}")
        client = records.clients.get(breach.id)
        if client is None:
            continue
        nodes.add(client.node)
        end = client.end.value if client.end else "open"
        connection = "a kept connection"
        if client.fresh:
            connection = "a new connection, sent again" if client.resent else "a new connection"
        lines.append(
            f"  client: id {client.id} {client.effect.name.lower()} to {client.node} on {connection},"
            f" sent {client.sent - zero:.3f}, would wait {client.timeout:.3f} s,"
            f" ended {client.ended - zero:.3f}: {end} {client.status or ''}"
        )
        for attempt in records.servers:
            if attempt.id == client.id:
                lines.append(
                    f"    server {attempt.server}: bytes {attempt.first_byte - zero:.3f} to {attempt.whole - zero:.3f},"
                    f" ended {attempt.ended - zero:.3f}: {attempt.ran.value}"
                )
    if len(breaches) > most:
        lines.append(f"and {len(breaches) - most} more")
    for node in sorted(nodes):
        lines.append(f"signals of {node}:")
        lines += [f"  {s.at - zero:.3f} {s.what}" for s in records.signals if s.node == node]
        lines.append(f"told to {node}:")
        for told in (t for t in records.told if t.node == node):
            change = records.changes[told.change]
            lines.append(
                f"  {told.at - zero:.3f} {change.server} {change.lifecycle} of {change.at - zero:.3f}: {told.how}"
            )
        lines.append(f"log of {node}:")
        lines += [f"  {text}" for text in records.logs.get(node, [])]
    return lines
