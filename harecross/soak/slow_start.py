"""Judges slow start: what all nodes together send a process that has just started, against what it may get.

The terms are the protocol's and the standing test's: over any window of `tip_after`, with N requests being what the
settings allow a cold server in it, N + 2 x root of N + 2 requests (under 30: N + 3 x root of N + 3) push it over, and
the rule is broken where over two thirds of them came from nodes that had been told of the start. A capacity is not
disclosed: it is taken to be what a warm server took at the time, or an even part of all that was sent if that is more.
Judged only where another server has been warm and in service all along: nodes learn from it.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import defaultdict
from dataclasses import dataclass
from math import sqrt
from typing import NamedTuple

from harecross.soak.records import Change, Records

FEW = 30  # requests, below which the slack is larger
TOLD_PART = 2 / 3  # of the requests came from nodes that had been told


class Terms(NamedTuple):
    """The settings that nodes find. Times in seconds."""

    cold: float = 5.0
    start_capacity: float = 0.15  # part of its capacity that a process has at its start
    fall_multiple: float = 1.5  # of its present capacity at which it falls
    tip_after: float = 2.0

    def rules(self) -> dict[str, float]:
        """The settings' own keys and units."""
        return {
            "cold": int(self.cold * 1e6),
            "start_capacity": self.start_capacity,
            "fall_multiple": self.fall_multiple,
            "tip_after": int(self.tip_after * 1e6),
        }


def most_requests(allowed: float) -> float:
    """How many requests a cold server bears where the settings allow it so many."""
    if allowed < FEW:
        return allowed + 3 * sqrt(allowed) + 3
    return allowed + 2 * sqrt(allowed) + 2


def allowed_requests(terms: Terms, capacity: float, age: float) -> float:
    """What the settings allow in the window that begins at that age; `capacity` is a warm server's in a window."""
    middle = min(terms.cold, age + terms.tip_after / 2)
    share = terms.start_capacity + (1 - terms.start_capacity) * middle / terms.cold
    return terms.fall_multiple * share * capacity


class Life(NamedTuple):
    """One process of a server, while it is cold."""

    server: str
    change: int  # that told of its start
    start: float
    end: float  # it is warm, or gone


@dataclass(frozen=True, slots=True)
class Fall:
    """A window in which a cold server got too much."""

    server: str
    at: float  # its end
    requests: int
    most: float
    age: float  # of the process at the window's begin


class SlowStart:
    """The evidence of one run, indexed."""

    def __init__(self, records: Records, terms: Terms) -> None:
        self.records = records
        self.terms = terms
        self.node_of = {client.id: client.node for client in records.clients.values()}
        self.changes: dict[str, list[Change]] = defaultdict(list)
        for change in records.changes:
            self.changes[change.server].append(change)
        sent: dict[str, list[tuple[float, str]]] = defaultdict(list)
        for attempt in records.servers:
            sent[attempt.server].append((attempt.first_byte, attempt.id))
        self.sent = {server: sorted(attempts) for server, attempts in sent.items()}
        self.times = {server: [at for at, _ in attempts] for server, attempts in self.sent.items()}
        self.told = records.told_at()

    def falls(self) -> list[Fall]:
        """The first window of each process in which nodes that knew of its start pushed it over."""
        found = (self.first_fall(life) for life in self.cold_lives())
        return [fall for fall in found if fall is not None]

    def cold_lives(self) -> list[Life]:
        """Every process that started in the run."""
        lives = []
        for number, change in enumerate(self.records.changes):
            own = self.changes[change.server]
            place = own.index(change)
            is_start = change.started > 0 and (place == 0 or own[place - 1].started != change.started)
            if change.lifecycle != "in_service" or not is_start:
                continue
            ends = (
                c.at for c in own[place + 1 :] if c.lifecycle == "terminated" or c.started != change.started
            )
            warm = change.at + self.terms.cold
            lives.append(Life(change.server, number, change.at, min(warm, next(ends, warm))))
        return lives

    def first_fall(self, life: Life) -> Fall | None:
        """The first window that ends with one of its requests and holds too many of them."""
        times = self.times.get(life.server, [])
        span = self.terms.tip_after
        for last in range(bisect_left(times, life.start), bisect_left(times, life.end)):
            end = times[last]
            first = bisect_left(times, max(life.start, end - span))
            count = last + 1 - first
            age = max(0.0, end - span - life.start)
            most = most_requests(allowed_requests(self.terms, self.capacity(end), age))
            if count <= most or not self.one_is_warm(life.start, end):
                continue
            if self.from_told(life, first, last) > TOLD_PART * count:
                return Fall(life.server, end, count, most, age)
        return None

    def from_told(self, life: Life, first: int, last: int) -> int:
        """How many of these requests came from nodes that had been told of the start."""
        count = 0
        for at, request in self.sent[life.server][first : last + 1]:
            told = self.told.get((self.node_of.get(request, ""), life.change))
            count += told is not None and told <= at
        return count

    def capacity(self, end: float) -> float:
        """Requests that a warm server takes in one window, by the two windows that end there."""
        span = self.terms.tip_after
        most = 0.0
        for until in (end, end - span):
            counts = {
                server: bisect_right(times, until) - bisect_left(times, until - span)
                for server, times in self.times.items()
            }
            warm = [n for server, n in counts.items() if self.is_warm(server, until - span, until)]
            serving = sum(self.serves(server, until) for server in self.changes)
            most = max(most, *warm, sum(counts.values()) / max(1, serving))
        return most

    def one_is_warm(self, start: float, end: float) -> bool:
        """Whether some server was warm and in service all along."""
        return any(self.is_warm(server, start, end) for server in self.changes)

    def is_warm(self, server: str, start: float, end: float) -> bool:
        own = self.changes[server]
        if not self.serves(server, start) or any(start < change.at < end for change in own):
            return False
        started = [change for change in own if change.at <= start][-1].started
        begun = next(change.at for change in own if change.started == started)
        return not started or begun + self.terms.cold <= start

    def serves(self, server: str, at: float) -> bool:
        """Whether it is in service by the truth of that moment."""
        before = [change for change in self.changes[server] if change.at <= at]
        return bool(before) and before[-1].lifecycle == "in_service"
