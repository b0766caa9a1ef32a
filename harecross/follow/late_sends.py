"""Finds requests that were sent to servers already announced as leaving, from the attempt logs of many nodes.

The logs do not hold when discovery listed a change, so the time at which the first node read it is used. A sending
process counts as notified at the earliest of: when its node read the change, when the process started if the change was
listed before, and 6 s after the change was listed. It may still send for 250 ms, and 50 ms of slack, after that
(PROTOCOL, "Discovery" and "Figures").
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
    """One late send. Times are Unix nanoseconds.

    Attributes:
        listed_ns: When the first node read that the server leaves.
        listed_by: The node that read it first.
        read_ns: When the sending node read it before the send; None if it did not.
        process_started_ns: When the sending process started; 0 if the logs do not hold it.
        sent_ns: When the server was chosen.
        written_ns: When the first byte was sent.
        state_change: The last state change of the server at that node before the send, if the logs hold one.
    """

    request_id: str
    node: str
    server: str
    listed_ns: int
    listed_by: str
    read_ns: int | None
    process_started_ns: int
    sent_ns: int
    written_ns: int
    state_change: Event | None = None

    @property
    def delay_s(self) -> float:
        """The seconds from the notification of the sending process to the first byte."""
        return (self.written_ns - self.notified_ns) / NS_PER_S

    @property
    def notified_ns(self) -> int:
        """When the sending process counts as notified."""
        times = [max(self.listed_ns + int(STALENESS_LIMIT_S * NS_PER_S), self.process_started_ns)]
        if self.listed_ns < self.process_started_ns:
            times.append(self.process_started_ns)
        if self.read_ns is not None:
            times.append(self.read_ns)
        return min(times)


@dataclass(slots=True)
class Announcements:
    """The times at which nodes read that one server is in service or leaves, in order."""

    times_ns: list[int] = field(default_factory=list)
    nodes: list[str] = field(default_factory=list)
    leaving: list[bool] = field(default_factory=list)

    def add(self, time_ns: int, node: str, *, leaving: bool) -> None:
        """Adds the next announcement in order of time."""
        self.times_ns.append(time_ns)
        self.nodes.append(node)
        self.leaving.append(leaving)

    def first_leaving(self, before_ns: int) -> int | None:
        """Returns the index of the first announcement of the server's last leave up to `before_ns`.

        Returns None if the last announcement up to then says that the server is in service, or if there is none.
        """
        found = None
        for position in range(bisect_right(self.times_ns, before_ns) - 1, -1, -1):
            if not self.leaving[position]:
                break
            found = position
        return found

    def read_by(self, node: str, first: int, begin_ns: int, end_ns: int) -> int | None:
        """Returns when a node first read an announcement from index `first` on, within the times; None if never."""
        for time_ns, reader in zip(self.times_ns[first:], self.nodes[first:], strict=True):
            if reader == node and begin_ns <= time_ns <= end_ns:
                return time_ns
        return None


def announcements_by_server(logs: AttemptLogs) -> dict[str, Announcements]:
    """Collects the endpoint list changes of all nodes, without lists that were cached before a process started."""
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
    """Returns the last state change of a server that a node logged up to `before_ns`."""
    changes = (
        event
        for event in logs.node_events.get(node, ())
        if event.name == "process" and event.server == server and event.time_ns <= before_ns
    )
    return max(changes, key=lambda event: event.time_ns, default=None)


def process_starts(logs: AttemptLogs) -> dict[str, list[int]]:
    """Returns when the processes of each node were started, in order: the `start` event minus its uptime."""
    return {
        node: sorted(
            event.time_ns - int(float(event.fields.get("process.uptime", 0)) * NS_PER_S)
            for event in events
            if event.name == "start"
        )
        for node, events in logs.node_events.items()
    }


def late_sends(logs: AttemptLogs) -> list[LateSend]:
    """Returns each send whose first byte was sent over `SEND_STOP_GRACE_S` after notification, in time order."""
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
    """Yields the sends of a request to servers that some node had read as leaving.

    `starts` holds the times at which the processes of the node were started.
    """
    for attempt in request.attempts:
        server_announcements = announcements.get(attempt.server)
        if attempt.written_ns is None or server_announcements is None:
            continue
        first = server_announcements.first_leaving(attempt.written_ns)
        if first is not None:
            yield make_late_send(
                logs, request, attempt, server_announcements, first, attempt.written_ns, starts
            )


def make_late_send(
    logs: AttemptLogs,
    request: LoggedRequest,
    attempt: LoggedAttempt,
    server_announcements: Announcements,
    first: int,
    written_ns: int,
    starts: list[int],
) -> LateSend:
    """Collects the times of one send; `first` is the index of the announcement that the server leaves."""
    earlier_starts = bisect_right(starts, written_ns)
    started_ns = starts[earlier_starts - 1] if earlier_starts else 0
    return LateSend(
        request_id=request.id,
        node=request.node,
        server=attempt.server,
        listed_ns=server_announcements.times_ns[first],
        listed_by=server_announcements.nodes[first],
        read_ns=server_announcements.read_by(request.node, first, started_ns, written_ns),
        process_started_ns=started_ns,
        sent_ns=attempt.sent_ns,
        written_ns=written_ns,
        state_change=last_state_change(logs, request.node, attempt.server, attempt.sent_ns),
    )
