"""Checks slow start: whether a process that has just started gets more requests from all nodes than it may get.

The rules are those of the protocol. Let N be the number of requests that the settings allow a server in slow start
within one overload duration. More than N + 2 * sqrt(N) + 2 requests (N + 3 * sqrt(N) + 3 if N is below 30) in such a
time are an overload. The rule is broken if over two thirds of them came from nodes that were notified of the start.

The capacity of a server is not known: it is estimated as the requests that a server at full capacity got at the time,
or as an even share of all requests if that is more. The rule is checked only if another server was at full capacity and
in service all the time, since nodes learn the capacity from such a server.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import defaultdict
from dataclasses import dataclass
from math import sqrt
from typing import NamedTuple

from harecross.soak.records import EndpointChange, Lifecycle, Records

# Number of allowed requests below which the tolerance is larger.
SMALL_COUNT = 30
# Fraction of the requests of an overload that have to come from notified nodes for the rule to be broken.
NOTIFIED_FRACTION = 2 / 3


class SlowStartRules(NamedTuple):
    """The slow start settings of the nodes. Times are seconds.

    Attributes:
        window: Time from the start of a process until it has its full capacity.
        start_capacity: Capacity at the start, as a fraction of the full capacity.
        overload_multiple: Multiple of its current capacity at which a server fails.
        overload_duration: Length of the time over which the requests of an overload are counted.
    """

    window: float = 5.0
    start_capacity: float = 0.15
    overload_multiple: float = 1.5
    overload_duration: float = 2.0

    def rules(self) -> dict[str, float]:
        """Returns the settings under the keys and in the units of the node's configuration."""
        return {
            "cold": int(self.window * 1e6),
            "start_capacity": self.start_capacity,
            "fall_multiple": self.overload_multiple,
            "tip_after": int(self.overload_duration * 1e6),
        }


def overload_threshold(allowed: float) -> float:
    """Returns the number of requests above which there is an overload, if the settings allow `allowed` requests."""
    if allowed < SMALL_COUNT:
        return allowed + 3 * sqrt(allowed) + 3
    return allowed + 2 * sqrt(allowed) + 2


def allowed_requests(rules: SlowStartRules, capacity: float, age: float) -> float:
    """Returns the number of requests that the settings allow in one overload duration.

    `age` is the age of the process at the beginning of that time, in seconds.
    `capacity` is the number of requests that a server at full capacity gets in the same time.
    """
    middle = min(rules.window, age + rules.overload_duration / 2)
    fraction = rules.start_capacity + (1 - rules.start_capacity) * middle / rules.window
    return rules.overload_multiple * fraction * capacity


class WarmUp(NamedTuple):
    """The slow start of one process of a server.

    Attributes:
        change: Index of the change in `Records.changes` with which the process started.
        end: When the process has its full capacity or is gone.
    """

    server: str
    change: int
    start: float
    end: float


@dataclass(frozen=True, slots=True)
class Overload:
    """An interval in which a server in slow start got too many requests.

    Attributes:
        at: End of the interval.
        age: Age of the process at the beginning of the interval, in seconds.
    """

    server: str
    at: float
    requests: int
    limit: float
    age: float


class SlowStartOracle:
    """Checks slow start with the records of one run, indexed by request and by server."""

    def __init__(self, records: Records, rules: SlowStartRules) -> None:
        self._records = records
        self._rules = rules
        self._node_of = {client.id: client.node for client in records.clients.values()}
        self._changes: dict[str, list[EndpointChange]] = defaultdict(list)
        for change in records.changes:
            self._changes[change.server].append(change)
        # The time and the request of each attempt, by server.
        attempts: dict[str, list[tuple[float, str]]] = defaultdict(list)
        for attempt in records.attempts:
            attempts[attempt.server].append((attempt.first_byte_at, attempt.id))
        self._attempts = {server: sorted(times) for server, times in attempts.items()}
        self._times = {server: [at for at, _ in times] for server, times in self._attempts.items()}
        self._notified_at = records.notified_at()

    def overloads(self) -> list[Overload]:
        """Returns the first overload of each process that comes mostly from nodes that were notified of its start."""
        found = (self._first_overload(warm_up) for warm_up in self._warm_ups())
        return [overload for overload in found if overload is not None]

    def _warm_ups(self) -> list[WarmUp]:
        """Returns the slow start of every process that started during the run."""
        warm_ups = []
        for number, change in enumerate(self._records.changes):
            changes = self._changes[change.server]
            index = changes.index(change)
            if change.lifecycle == Lifecycle.IN_SERVICE and is_start(changes, index):
                end = min(change.at + self._rules.window, end_of_process(changes, index))
                warm_ups.append(WarmUp(change.server, number, change.at, end))
        return warm_ups

    def _first_overload(self, warm_up: WarmUp) -> Overload | None:
        """Returns the first overload of a process, checking the interval that ends with each of its requests."""
        times = self._times.get(warm_up.server, [])
        duration = self._rules.overload_duration
        for last in range(bisect_left(times, warm_up.start), bisect_left(times, warm_up.end)):
            end = times[last]
            first = bisect_left(times, max(warm_up.start, end - duration))
            count = last + 1 - first
            age = max(0.0, end - duration - warm_up.start)
            limit = overload_threshold(allowed_requests(self._rules, self._full_capacity(end), age))
            if count <= limit or not self._any_at_full_capacity(warm_up.start, end):
                continue
            if self._from_notified_nodes(warm_up, first, last) > NOTIFIED_FRACTION * count:
                return Overload(warm_up.server, end, count, limit, age)
        return None

    def _from_notified_nodes(self, warm_up: WarmUp, first: int, last: int) -> int:
        """Returns how many of the requests from `first` to `last` came from nodes that were notified of the start."""
        count = 0
        for at, request in self._attempts[warm_up.server][first : last + 1]:
            notified_at = self._notified_at.get((self._node_of.get(request, ""), warm_up.change))
            count += notified_at is not None and notified_at <= at
        return count

    def _full_capacity(self, end: float) -> float:
        """Estimates the requests of a server at full capacity in one overload duration.

        The estimate is the larger one of the overload duration that ends at `end` and of the one before it.
        """
        duration = self._rules.overload_duration
        highest = 0.0
        for until in (end, end - duration):
            counts = {
                server: bisect_right(times, until) - bisect_left(times, until - duration)
                for server, times in self._times.items()
            }
            full = [
                count
                for server, count in counts.items()
                if self._is_at_full_capacity(server, until - duration, until)
            ]
            in_service = sum(self._is_in_service(server, until) for server in self._changes)
            highest = max(highest, *full, sum(counts.values()) / max(1, in_service))
        return highest

    def _any_at_full_capacity(self, start: float, end: float) -> bool:
        """Returns whether any server was at full capacity and in service from `start` to `end`."""
        return any(self._is_at_full_capacity(server, start, end) for server in self._changes)

    def _is_at_full_capacity(self, server: str, start: float, end: float) -> bool:
        """Returns whether a server was at full capacity and in service from `start` to `end`."""
        changes = self._changes[server]
        if not self._is_in_service(server, start) or any(start < change.at < end for change in changes):
            return False
        started_ms = [change for change in changes if change.at <= start][-1].started_ms
        started_at = next(change.at for change in changes if change.started_ms == started_ms)
        return not started_ms or started_at + self._rules.window <= start

    def _is_in_service(self, server: str, at: float) -> bool:
        """Returns whether a server was in service at a time."""
        before = [change for change in self._changes[server] if change.at <= at]
        return bool(before) and before[-1].lifecycle == Lifecycle.IN_SERVICE


def is_start(changes: list[EndpointChange], index: int) -> bool:
    """Returns whether a process of the server started with the change at `index`."""
    started_ms = changes[index].started_ms
    return started_ms > 0 and (index == 0 or changes[index - 1].started_ms != started_ms)


def end_of_process(changes: list[EndpointChange], index: int) -> float:
    """Returns when the process of the change at `index` ends; infinity if it does not end."""
    for change in changes[index + 1 :]:
        if change.lifecycle == Lifecycle.GONE or change.started_ms != changes[index].started_ms:
            return change.at
    return float("inf")
