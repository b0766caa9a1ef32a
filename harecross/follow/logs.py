"""Merges the attempt logs of several nodes: requests, node events, and the calls that requests cause in lower tiers."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import NamedTuple

from harecross.follow.events import Event, read_log_file
from harecross.follow.requests import LoggedAttempt, LoggedRequest
from harecross.follow.sidecars import infer_sidecars


class CallsBelow(NamedTuple):
    """The calls that an attempt may have caused in the tier below.

    `certain` means that no other attempt of that class was at the server at the time.
    """

    requests: list[LoggedRequest]
    certain: bool


@dataclass(slots=True)
class AttemptLogs:
    """The merged events of several logs. Times are Unix nanoseconds.

    Attributes:
        requests: The requests by node and id.
        node_events: The events of each node that belong to no request.
        truncated_lines: The incomplete last lines, by file and number.
        end_ns: The time of the last event of a request.
        sidecars: The node that runs beside each server, for its calls to the tier below.
        by_node: The requests of each node in the order in which they were admitted.
    """

    requests: dict[tuple[str, str], LoggedRequest] = field(default_factory=dict)
    by_id: dict[str, list[LoggedRequest]] = field(default_factory=lambda: defaultdict(list))
    node_events: dict[str, list[Event]] = field(default_factory=lambda: defaultdict(list))
    truncated_lines: list[str] = field(default_factory=list)
    end_ns: int = 0
    sidecars: dict[str, str] = field(default_factory=dict)
    by_node: dict[str, list[LoggedRequest]] = field(default_factory=dict)

    def add(self, event: Event) -> None:
        """Adds the next event in order of time."""
        if not event.request_id:
            self.node_events[event.node].append(event)
            return
        key = (event.node, event.request_id)
        request = self.requests.get(key)
        if request is None:
            request = self.requests[key] = LoggedRequest(event.request_id, event.node)
            self.by_id[event.request_id].append(request)
        request.add(event)
        self.end_ns = max(self.end_ns, event.time_ns)

    def finish(self) -> None:
        """Builds the indexes for `calls_below`; called once all events have been added."""
        by_node: dict[str, list[LoggedRequest]] = defaultdict(list)
        for request in self.requests.values():
            by_node[request.node].append(request)
        for requests in by_node.values():
            requests.sort(key=lambda request: request.admitted_ns)
        self.by_node = dict(by_node)
        self.sidecars = infer_sidecars(self.requests.values(), self.end_ns)

    def first_request(self, request_id: str) -> LoggedRequest:
        """Returns the first request with that id; raises KeyError if no log has one."""
        if request_id not in self.by_id:
            raise KeyError(request_id)
        return min(self.by_id[request_id], key=lambda request: request.admitted_ns)

    def calls_below(self, request: LoggedRequest, attempt: LoggedAttempt) -> CallsBelow:
        """Returns the calls of the same class at the server's sidecar while the server handled the attempt."""
        node = self.sidecars.get(attempt.server)
        if node is None or attempt.written_ns is None:
            return CallsBelow([], certain=True)
        begin, end = attempt.written_ns, self.end_ns if attempt.ended_ns is None else attempt.ended_ns
        calls = [
            call
            for call in self.by_node[node]
            if begin <= call.admitted_ns <= end and call.request_class == request.request_class
        ]
        overlapping = sum(
            other.written_ns is not None
            and other.written_ns < end
            and (other.ended_ns or self.end_ns) > begin
            for other_request in self.requests.values()
            if other_request.request_class == request.request_class
            for other in other_request.attempts
            if other.server == attempt.server
        )
        return CallsBelow(calls, certain=overlapping <= 1)


def read_logs(paths: Sequence[Path]) -> AttemptLogs:
    """Reads and merges the logs of several nodes; raises BadLogError if one cannot be read."""
    logs = AttemptLogs()
    events: list[Event] = []
    for path in paths:
        file = read_log_file(path)
        events += file.events
        if file.truncated_line:
            logs.truncated_lines.append(file.truncated_line)
    events.sort(key=lambda event: event.time_ns)
    for event in events:
        logs.add(event)
    logs.finish()
    return logs
