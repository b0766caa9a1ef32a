"""Judges slow start: what all nodes together send a process that has just started, against what it may get.

The rules are the protocol's: over any window of the overload duration, with N requests being what the settings allow a
server that warms up in it, N + 2 x root of N + 2 requests (under 30: N + 3 x root of N + 3) are an overload, and the
rule is broken where over two thirds of them came from nodes that were notified of the start. A capacity is not
disclosed: it is taken to be what a server at full capacity got at the time, or an even part of all requests if that is
more. Judged only where another server was at full capacity and in service all the time: nodes learn from it.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import defaultdict
from dataclasses import dataclass
from math import sqrt
from typing import NamedTuple

from harecross.soak.records import EndpointChange, Lifecycle, Records

FEW_REQUESTS = 30  # below which the slack is larger
NOTIFIED_FRACTION = 2 / 3  # of the requests of an overload that come from notified nodes


class SlowStartRules(NamedTuple):
    """The settings of the nodes. Times in seconds."""

    window: float = 5.0  # from a process's start until its full capacity
    start_capacity: float = 0.15  # at its start, as a fraction of the full one
    overload_multiple: float = 1.5  # of its present capacity, at which it fails
    overload_duration: float = 2.0

    def rules(self) -> dict[str, float]:
        """The settings by their own keys and units."""
        return {
            "cold": int(self.window * 1e6),
            "start_capacity": self.start_capacity,
            "fall_multiple": self.overload_multiple,
            "tip_after": int(self.overload_duration * 1e6),
        }


def with_slack(allowed: float) -> float:
    """How many requests are judged as an overload where the settings allow so many."""
    if allowed < FEW_REQUESTS:
        return allowed + 3 * sqrt(allowed) + 3
    return allowed + 2 * sqrt(allowed) + 2


def allowed_requests(rules: SlowStartRules, capacity: float, age: float) -> float:
    """What the settings allow in the overload duration that begins at that age of a process.

    `capacity` is the requests that a server at full capacity gets in as long a time.
    """
    middle = min(rules.window, age + rules.overload_duration / 2)
    fraction = rules.start_capacity + (1 - rules.start_capacity) * middle / rules.window
    return rules.overload_multiple * fraction * capacity


class WarmUp(NamedTuple):
    """One process of a server, while it warms up."""

    server: str
    change: int  # the number of the change that is its start
    start: float
    end: float  # it has its full capacity, or is gone


@dataclass(frozen=True, slots=True)
class Overload:
    """A time in which a server that warms up got too many requests."""

    server: str
    at: float  # its end
    requests: int
    limit: float
    age: float  # of the process at its beginning


class SlowStartOracle:
    """The evidence of one run, indexed."""

    def __init__(self, records: Records, rules: SlowStartRules) -> None:
        self._records = records
        self._rules = rules
        self._node_of = {client.id: client.node for client in records.clients.values()}  # by request
        self._changes: dict[str, list[EndpointChange]] = defaultdict(list)  # by server
        for change in records.changes:
            self._changes[change.server].append(change)
        attempts: dict[str, list[tuple[float, str]]] = defaultdict(list)  # times and requests by server
        for attempt in records.attempts:
            attempts[attempt.server].append((attempt.first_byte_at, attempt.id))
        self._attempts = {server: sorted(times) for server, times in attempts.items()}
        self._times = {server: [at for at, _ in times] for server, times in self._attempts.items()}
        self._notified_at = records.notified_at()

    def overloads(self) -> list[Overload]:
        """The first overload of each process by nodes that were notified of its start."""
        found = (self._first_overload(warm_up) for warm_up in self._warm_ups())
        return [overload for overload in found if overload is not None]

    def _warm_ups(self) -> list[WarmUp]:
        """Every process that started in the run."""
        warm_ups = []
        for number, change in enumerate(self._records.changes):
            changes = self._changes[change.server]
            index = changes.index(change)
            if change.lifecycle == Lifecycle.IN_SERVICE and is_start(changes, index):
                end = min(change.at + self._rules.window, end_of_process(changes, index))
                warm_ups.append(WarmUp(change.server, number, change.at, end))
        return warm_ups

    def _first_overload(self, warm_up: WarmUp) -> Overload | None:
        """The first overload duration that ends with a request of the process and has too many of them."""
        times = self._times.get(warm_up.server, [])
        duration = self._rules.overload_duration
        for last in range(bisect_left(times, warm_up.start), bisect_left(times, warm_up.end)):
            end = times[last]
            first = bisect_left(times, max(warm_up.start, end - duration))
            count = last + 1 - first
            age = max(0.0, end - duration - warm_up.start)
            limit = with_slack(allowed_requests(self._rules, self._full_capacity(end), age))
            if count <= limit or not self._any_at_full_capacity(warm_up.start, end):
                continue
            if self._from_notified_nodes(warm_up, first, last) > NOTIFIED_FRACTION * count:
                return Overload(warm_up.server, end, count, limit, age)
        return None

    def _from_notified_nodes(self, warm_up: WarmUp, first: int, last: int) -> int:
        """How many of these requests came from nodes that were notified of the start."""
        count = 0
        for at, request in self._attempts[warm_up.server][first : last + 1]:
            notified_at = self._notified_at.get((self._node_of.get(request, ""), warm_up.change))
            count += notified_at is not None and notified_at <= at
        return count

    def _full_capacity(self, end: float) -> float:
        """The requests of a server at full capacity in one overload duration, by the two that end at that time."""
        duration = self._rules.overload_duration
        most = 0.0
        for until in (end, end - duration):
            counts = {
                server: bisect_right(times, until) - bisect_left(times, until - duration)
                for server, times in self._times.items()
            }
            full = [
                count for server, count in counts.items() if self._is_full(server, until - duration, until)
            ]
            in_service = sum(self._is_in_service(server, until) for server in self._changes)
            most = max(most, *full, sum(counts.values()) / max(1, in_service))
        return most

    def _any_at_full_capacity(self, start: float, end: float) -> bool:
        """Whether a server was at full capacity and in service all the time."""
        return any(self._is_full(server, start, end) for server in self._changes)

    def _is_full(self, server: str, start: float, end: float) -> bool:
        """Whether a server was at full capacity and in service all the time."""
        changes = self._changes[server]
        if not self._is_in_service(server, start) or any(start < change.at < end for change in changes):
            return False
        started_ms = [change for change in changes if change.at <= start][-1].started_ms
        began = next(change.at for change in changes if change.started_ms == started_ms)
        return not started_ms or began + self._rules.window <= start

    def _is_in_service(self, server: str, at: float) -> bool:
        """Whether a server was in service at that time."""
        before = [change for change in self._changes[server] if change.at <= at]
        return bool(before) and before[-1].lifecycle == Lifecycle.IN_SERVICE


def is_start(changes: list[EndpointChange], index: int) -> bool:
    """Whether a process of the server starts with that change."""
    started_ms = changes[index].started_ms
    return started_ms > 0 and (index == 0 or changes[index - 1].started_ms != started_ms)


def end_of_process(changes: list[EndpointChange], index: int) -> float:
    """When the process of that change ends; inf if it does not."""
    for change in changes[index + 1 :]:
        if change.lifecycle == Lifecycle.GONE or change.started_ms != changes[index].started_ms:
            return change.at
    return float("inf")
