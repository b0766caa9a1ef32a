"""Infers from attempt logs which node is the sidecar of which server.

The sidecar of a server is the node that runs beside it and forwards its calls to the tier below. Those calls have their
own ids, and no message links them to the request for which the server makes them. A sidecar is recognised because, in
each request class, it never has more calls open than its server has attempts in flight.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from harecross.follow.requests import LoggedRequest

# The minimum number of calls that a node must have made to be recognised as a sidecar.
MIN_CALLS = 3
# The minimum ratio of the calls of a node to the attempts that the server answered.
MIN_COVERAGE = 0.8
# The maximum share of a node's calls that the server cannot have made. Such calls appear because clocks differ and
# ends of calls are missing in the logs.
MAX_UNEXPLAINED_SHARE = 0.02


@dataclass(slots=True)
class Intervals:
    """The times for which calls or attempts were open, each from its begin to its end."""

    begins: list[int] = field(default_factory=list)
    ends: list[int] = field(default_factory=list)
    succeeded: int = 0

    def add(self, begin: int, end: int, *, succeeded: bool) -> None:
        """Adds an interval; call `sort` after the last one."""
        self.begins.append(begin)
        self.ends.append(end)
        self.succeeded += succeeded

    def sort(self) -> None:
        """Sorts the intervals for `open_at`."""
        self.begins.sort()
        self.ends.sort()

    def open_at(self, time: int) -> int:
        """Returns the number of intervals open at a time, including those that begin or end at it."""
        return bisect_right(self.begins, time) - bisect_left(self.ends, time)


IntervalsByClass = Mapping[str, Intervals]
NO_INTERVALS = Intervals()


def unexplained_share(attempts: IntervalsByClass, calls: IntervalsByClass) -> float | None:
    """Returns the share of a node's calls that a server cannot have made.

    These are calls that began when more calls were open than the server had attempts in flight, because a server makes
    the calls for one attempt sequentially. Returns None if the node made too few calls for the attempts that the server
    answered.
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
    """Returns the sidecar of each server that has an unambiguous one; `end_ns` is the last time in the logs."""
    attempts: dict[str, dict[str, Intervals]] = defaultdict(lambda: defaultdict(Intervals))  # by server
    calls: dict[str, dict[str, Intervals]] = defaultdict(lambda: defaultdict(Intervals))  # by node
    senders: dict[str, set[str]] = defaultdict(set)  # nodes that send to a server, by server
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
    """Returns the one node whose calls fit the attempts of a server; None if none fits or a second one nearly does."""
    shares = sorted(
        (share, node)
        for node, calls in candidates.items()
        if (share := unexplained_share(attempts, calls)) is not None
    )
    if not shares or shares[0][0] > MAX_UNEXPLAINED_SHARE:
        return None
    if len(shares) > 1 and shares[1][0] <= 2 * MAX_UNEXPLAINED_SHARE:
        return None
    return shares[0][1]
