"""The attempt log: one line for each event of a request. It is off by default; then a node never imports this module.

Field names follow OpenTelemetry's semantic conventions where these define one (`service.instance.id`,
`server.address`, `http.request.resend_count`, `error.type`). Times are Unix nanoseconds, as in its logs data model.
Operators' tools read the field names, event names and values, so these stay the same when names in the code change.
"""

from __future__ import annotations

import json
import os
import sys
import time
from collections.abc import Iterable, Mapping, Sequence
from typing import TextIO

from harecross.discovery.process_table import Transition
from harecross.dispatch.close_reasons import ClosedConnection
from harecross.dispatch.request import DispatchedRequest, FinalAnswer, UpstreamAttempt
from harecross.interface import EndpointUpdateKind, FinalReason, Outcome

# Precedes the object of an event in a line. A log may hold other lines, and a log collector may put times before it.
EVENT_PREFIX = "attempt "
# Events that are flushed immediately.
FLUSHED_EVENTS = frozenset(("start", "list", "process", "final"))
# The maximum number of lines that a crash can lose.
MAX_UNFLUSHED_LINES = 64


def process_uptime() -> float:
    """Returns the seconds since this process was started, including interpreter startup and imports (proc(5))."""
    try:
        with open("/proc/self/stat", "rb") as file:
            start_ticks = int(file.read().rpartition(b")")[2].split()[19])
        with open("/proc/uptime", "rb") as file:
            machine_uptime = float(file.read().split()[0])
    except (OSError, ValueError, IndexError):
        return time.process_time()
    uptime = machine_uptime - start_ticks / os.sysconf("SC_CLK_TCK")
    return round(max(time.process_time(), uptime), 3)


class AttemptLog:
    """Writes the events of the requests of one node; implements `RequestTracer`."""

    def __init__(self, node: str, path: str, server_numbers: Mapping[str, int]) -> None:
        """Opens the log and writes the `start` event.

        Args:
            node: The name of the node.
            path: The file to append to, or `-` for standard error.
            server_numbers: The balancer's numbers of servers by their names in discovery. The log holds the names,
                because they are the same at all nodes, while addresses may differ from node to node.

        Raises:
            OSError: The file cannot be written.
        """
        self.node = node
        self.server_numbers = server_numbers
        self.server_names: dict[int, str] = {}
        self.stream: TextIO = sys.stderr if path == "-" else open(path, "a", encoding="utf-8")  # noqa: SIM115
        self.unflushed = 0
        self.write("start", **{"process.uptime": process_uptime()})

    def write(self, event: str, request_id: str = "", /, **fields: object) -> None:
        """Writes one line; `request_id` is empty for an event that belongs to no request."""
        line = {
            "timeUnixNano": time.time_ns(),
            "service.instance.id": self.node,
            "event.name": event,
            "request.id": request_id,
            **fields,
        }
        self.stream.write(f"{EVENT_PREFIX}{json.dumps(line, separators=(',', ':'))}\n")
        self.unflushed += 1
        if self.unflushed >= MAX_UNFLUSHED_LINES or event in FLUSHED_EVENTS:
            self.flush()

    def write_request_event(self, request: DispatchedRequest, event: str, /, **fields: object) -> None:
        """Writes one line about a request."""
        self.write(event, request.parsed.request_id.decode("latin-1"), **fields)

    def flush(self) -> None:
        """Flushes buffered lines to the kernel."""
        self.unflushed = 0
        self.stream.flush()

    def request_admitted(self, request: DispatchedRequest, now: int) -> None:
        """See `RequestTracer`. `time_left` is in microseconds; request classes are identified by their numbers."""
        fields = {
            "request.class": str(request.parsed.request_class),
            "time_left": request.deadline_us - now,
            "url.path": request.parsed.head.split(b" ", 2)[1].decode("latin-1"),
        }
        self.write_request_event(request, "taken", **fields)

    def attempt_sent(self, attempt: UpstreamAttempt) -> None:
        """See `RequestTracer`. A retry is logged with the outcome of the attempt before it."""
        outcome = attempt.request.last_outcome
        fields = {} if outcome is None else {"retry.cause": outcome.name.lower()}
        self.write_request_event(attempt.request, "sent", **self.attempt_fields(attempt), **fields)

    def attempt_written(self, attempt: UpstreamAttempt, *, fresh: bool, whole: bool) -> None:
        """See `RequestTracer`."""
        fields = self.attempt_fields(attempt)
        self.write_request_event(attempt.request, "written", **fields, fresh=fresh, whole=whole)

    def attempt_ended(self, attempt: UpstreamAttempt, outcome: Outcome, report: Sequence[float]) -> None:
        """See `RequestTracer`. The values of a load report are in the order given in the settings."""
        fields: dict[str, object] = {} if outcome == Outcome.OK else {"error.type": outcome.name.lower()}
        if report:
            fields["server.load"] = list(report)
        self.write_request_event(attempt.request, "ended", **self.attempt_fields(attempt), **fields)

    def request_answered(
        self, request: DispatchedRequest, answer: FinalAnswer, reason: FinalReason | None = None
    ) -> None:
        """See `RequestTracer`."""
        fields = {} if reason is None else {"reason": reason.value}
        self.write_request_event(request, "final", answer=answer.value, **fields)

    def connection_closed(self, closed: ClosedConnection) -> None:
        """See `RequestTracer`."""
        fields = {"server.address": closed.peer_address} if closed.peer_address else {}
        self.write("closed", closed.request_id, side=closed.side, reason=closed.reason.value, **fields)

    def endpoints_listed(
        self, kind: EndpointUpdateKind, generation: object, added: Iterable[str], removed: Iterable[str]
    ) -> None:
        """See `RequestTracer`."""
        name = kind.name.lower()
        self.write("list", kind=name, generation=generation, came=sorted(added), left=sorted(removed))

    def process_changed(self, transition: Transition, now: float) -> None:
        """See `RequestTracer`. Logs the statement that caused the change, its source and its age in seconds."""
        statement = transition.statement
        self.write(
            "process",
            **{"server.id": transition.server, "server.state": transition.after.value},
            before=transition.before.value,
            cause=transition.cause.value,
            said_by=statement.source.address,
            said=statement.lifecycle.value,
            generation=statement.version,
            age=round(now - statement.stated_at, 3),
        )

    def attempt_fields(self, attempt: UpstreamAttempt) -> dict[str, object]:
        """Returns the fields that identify an attempt: its number and its server."""
        fields: dict[str, object] = {
            "http.request.resend_count": attempt.number,
            "server.id": self.server_name(attempt.server),
        }
        address = attempt.process or attempt.dispatcher.pool.processes.get(attempt.server)
        if address is not None:
            fields |= {"server.address": address.host, "server.port": address.port}
        return fields

    def server_name(self, server: int) -> str:
        """Returns the name of a server in discovery, or its number if it no longer has a name."""
        if server not in self.server_names:
            self.server_names = {number: name for name, number in self.server_numbers.items()}
        return self.server_names.get(server, str(server))
