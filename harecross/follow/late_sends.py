"""Finds requests that were sent to servers already announced as leaving, from many nodes' attempt logs.

When discovery listed a change is not in the logs: the first node that read it stands for that. The node that sends is
notified of the change 250 ms (and 50 of slack) after it read it itself, after its process started if it was listed
before, and 6 s after it was listed, whichever comes first (PROTOCOL, "Discovery" and "Figures").
"""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field

from harecross.discovery.subscription_schedule import SEND_STOP_GRACE_S, STALENESS_LIMIT_S
from harecross.follow.events import Event
from harecross.follow.logs import AttemptLogs
from harecross.follow.requests import LoggedAttempt, LoggedRequest

NS_PER_S = 1_000_000_000


@dataclass(frozen=True, slots=True)
class LateSend:
    """One send that came too late. Times in Unix nanoseconds."""

    request_id: str
    node: str
    server: str
    listed_ns: int  # first read by any node
    listed_by: str  # that node
    read_ns: int | None  # by the node that sent, before it did
    process_started_ns: int  # the process that sent; 0 if the logs do not have it
    sent_ns: int  # the server was chosen
    written_ns: int  # the first byte was sent
    state_change: Event | None = None  # the last one of the server at that node before, if the logs have it

    @property
    def delay_s(self) -> float:
        """Seconds from the notification of the process that sent to the first byte."""
        return (self.written_ns - self.notified_ns) / NS_PER_S

    @property
    def notified_ns(self) -> int:
        """When the process that sent counts as notified."""
        times = [max(self.listed_ns + int(STALENESS_LIMIT_S * NS_PER_S), self.process_started_ns)]
        if self.listed_ns < self.process_started_ns:
            times.append(self.process_started_ns)
        if self.read_ns is not None:
            times.append(self.read_ns)
        return min(times)


@dataclass(slots=True)
class Announcements:
    """When nodes read that one server is in service or leaves, in order of time."""

    times_ns: list[int] = field(default_factory=list)
    nodes: list[str] = field(default_factory=list)
    leaving: list[bool] = field(default_factory=list)

    def add(self, time_ns: int, node: str, *, leaving: bool) -> None:
        """Adds the next one in time."""
        self.times_ns.append(time_ns)
        self.nodes.append(node)
        self.leaving.append(leaving)

    def first_leaving(self, before_ns: int) -> int | None:
        """Returns the place of the first one that says it leaves, with none since, up to a time, that it is back."""
        found = None
        for place in range(bisect_right(self.times_ns, before_ns) - 1, -1, -1):
            if not self.leaving[place]:
                break
            found = place
        return found

    def read_by(self, node: str, first: int, begin_ns: int, end_ns: int) -> int | None:
        """Returns when a node read the first one from place `first` on, within the times; None if it did not."""
        for time_ns, reader in zip(self.times_ns[first:], self.nodes[first:], strict=True):
            if reader == node and begin_ns <= time_ns <= end_ns:
                return time_ns
        return None


def announcements_by_server(logs: AttemptLogs) -> dict[str, Announcements]:
    """Collects the changes of all nodes' lists; a list kept from before a process started says nothing new."""
    found: dict[str, Announcements] = defaultdict(Announcements)
    events = [event for node_events in logs.node_events.values() for event in node_events]
    for event in sorted(events, key=lambda event: event.time_ns):
        if event.name != "list" or event.fields.get("kind") == "cached":
            continue
        for key, leaving in (("came", False), ("left", True)):
            for server in event.fields.get(key, ()):
                found[server].add(event.time_ns, event.node, leaving=leaving)
    return found


def last_state_change(logs: AttemptLogs, node: str, server: str, before_ns: int) -> Event | None:
    """Returns the last change of a server's state that a node logged up to a time."""
    changes = (
        event
        for event in logs.node_events.get(node, ())
        if event.name == "process" and event.server == server and event.time_ns <= before_ns
    )
    return max(changes, key=lambda event: event.time_ns, default=None)


def process_starts(logs: AttemptLogs) -> dict[str, list[int]]:
    """Returns when each node's processes were started, in order: before the `start` line, by their uptime there."""
    return {
        node: sorted(
            event.time_ns - int(float(event.fields.get("process.uptime", 0)) * NS_PER_S)
            for event in events
            if event.name == "start"
        )
        for node, events in logs.node_events.items()
    }


def late_sends(logs: AttemptLogs) -> list[LateSend]:
    """Returns each send whose first byte came over `SEND_STOP_GRACE_S` after its notification, in time order."""
    announcements = announcements_by_server(logs)
    starts = process_starts(logs)
    found = [
        send
        for request in logs.requests.values()
        for send in sends_to_leaving(logs, request, announcements, starts.get(request.node, []))
        if send.delay_s > SEND_STOP_GRACE_S
    ]
    return sorted(found, key=lambda send: send.written_ns)


def sends_to_leaving(
    logs: AttemptLogs, request: LoggedRequest, announcements: dict[str, Announcements], starts: list[int]
) -> Iterator[LateSend]:
    """Yields the request's sends to servers that some node had read as leaving; `starts`: of the node's processes."""
    for attempt in request.attempts:
        of_server = announcements.get(attempt.server)
        if attempt.written_ns is None or of_server is None:
            continue
        first = of_server.first_leaving(attempt.written_ns)
        if first is not None:
            yield make_late_send(logs, request, attempt, of_server, first, attempt.written_ns, starts)


def make_late_send(
    logs: AttemptLogs,
    request: LoggedRequest,
    attempt: LoggedAttempt,
    of_server: Announcements,
    first: int,
    written_ns: int,
    starts: list[int],
) -> LateSend:
    """Collects the times of one send; `first`: the place of the announcement that the server leaves."""
    earlier_starts = bisect_right(starts, written_ns)
    started_ns = starts[earlier_starts - 1] if earlier_starts else 0
    return LateSend(
        request_id=request.id,
        node=request.node,
        server=attempt.server,
        listed_ns=of_server.times_ns[first],
        listed_by=of_server.nodes[first],
        read_ns=of_server.read_by(request.node, first, started_ns, written_ns),
        process_started_ns=started_ns,
        sent_ns=attempt.sent_ns,
        written_ns=written_ns,
        state_change=last_state_change(logs, request.node, attempt.server, attempt.sent_ns),
    )
