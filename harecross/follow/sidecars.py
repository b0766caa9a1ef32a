"""Learns from attempt logs which node runs beside which server, and sends that server's calls to the tier below.

A server's calls have ids of their own, and no message ties them to the request for which it makes them. A node beside
a server is one that never has more calls open than the server has attempts in flight, class by class.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from harecross.follow.requests import LoggedRequest

MIN_CALLS = 3  # of a node
MIN_COVERAGE = 0.8  # calls of a node for each attempt that a server answered
MAX_UNEXPLAINED_SHARE = (
    0.02  # of a node's calls that its server cannot have made: clocks differ, ends are missing
)


@dataclass(slots=True)
class Intervals:
    """When something was open, from its begin to its end."""

    begins: list[int] = field(default_factory=list)
    ends: list[int] = field(default_factory=list)
    succeeded: int = 0

    def add(self, begin: int, end: int, *, succeeded: bool) -> None:
        """Adds one; `sort` follows."""
        self.begins.append(begin)
        self.ends.append(end)
        self.succeeded += succeeded

    def sort(self) -> None:
        """Prepares `open_at`."""
        self.begins.sort()
        self.ends.sort()

    def open_at(self, time: int) -> int:
        """How many are open, those that begin just then among them."""
        return bisect_right(self.begins, time) - bisect_left(self.ends, time)


IntervalsByClass = Mapping[str, Intervals]
NO_INTERVALS = Intervals()


def unexplained_share(attempts: IntervalsByClass, calls: IntervalsByClass) -> float | None:
    """Returns the part of a node's calls that a server cannot have made: more were open than it had attempts.

    A server makes its calls one after another. None if the node made too few for what the server answered.
    """
    count = sum(len(intervals.begins) for intervals in calls.values())
    if count < max(MIN_CALLS, MIN_COVERAGE * sum(intervals.succeeded for intervals in attempts.values())):
        return None
    unexplained = sum(
        intervals.open_at(begin) > attempts.get(request_class, NO_INTERVALS).open_at(begin)
        for request_class, intervals in calls.items()
        for begin in intervals.begins
    )
    return unexplained / count


def infer_sidecars(requests: Iterable[LoggedRequest], end_ns: int) -> dict[str, str]:
    """Returns the node beside each server for which that is clear; `end_ns`: the last time in the logs."""
    attempts: dict[str, dict[str, Intervals]] = defaultdict(lambda: defaultdict(Intervals))  # by server
    calls: dict[str, dict[str, Intervals]] = defaultdict(lambda: defaultdict(Intervals))  # by node
    senders: dict[str, set[str]] = defaultdict(set)  # nodes that send to a server are not beside it
    for request in requests:
        request_class = request.request_class
        for attempt in request.attempts:
            senders[attempt.server].add(request.node)
            if attempt.written_ns is not None:
                attempts[attempt.server][request_class].add(
                    attempt.written_ns, attempt.ended_ns or end_ns, succeeded=not attempt.error_type
                )
        calls[request.node][request_class].add(
            request.admitted_ns, request.answered_ns or end_ns, succeeded=True
        )
    for by_class in (*attempts.values(), *calls.values()):
        for intervals in by_class.values():
            intervals.sort()
    sidecars = {}
    for server, by_class in attempts.items():
        candidates = {node: made for node, made in calls.items() if node not in senders[server]}
        sidecar = unambiguous_sidecar(by_class, candidates)
        if sidecar is not None:
            sidecars[server] = sidecar
    return sidecars


def unambiguous_sidecar(attempts: IntervalsByClass, candidates: Mapping[str, IntervalsByClass]) -> str | None:
    """Returns the one node whose calls fit a server's attempts; None if none does, or another fits nearly as well."""
    parts = sorted(
        (part, node)
        for node, calls in candidates.items()
        if (part := unexplained_share(attempts, calls)) is not None
    )
    if not parts or parts[0][0] > MAX_UNEXPLAINED_SHARE:
        return None
    if len(parts) > 1 and parts[1][0] <= 2 * MAX_UNEXPLAINED_SHARE:
        return None
    return parts[0][1]
