"""The attempt log: one line for each event of a request's life. Off by default; a node without it never imports this.

Field names are those of OpenTelemetry's semantic conventions where they have one (`service.instance.id`,
`server.address`, `http.request.resend_count`, `error.type`); times are Unix nanoseconds, as in its logs data model.
Field names, event names and values are read by operators' tools: they do not follow the code's names.
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

EVENT_PREFIX = (
    "attempt "  # before the object: a log may hold other lines, and what collects it may put times first
)
FLUSHED_EVENTS = frozenset(("start", "list", "process", "final"))
MAX_UNFLUSHED_LINES = 64  # lost at most in a crash


def process_uptime() -> float:
    """Seconds since this process was started, the interpreter's start and the imports among them (proc(5))."""
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
    """Writes the events of one node's requests (a `RequestTracer`)."""

    def __init__(self, node: str, path: str, server_numbers: Mapping[str, int]) -> None:
        """`path` is a file that is appended to, or `-` for standard error. OSError where it cannot be written.

        `server_numbers`: the balancer's numbers of servers by discovery's names. These are the same at all nodes;
        addresses may differ from node to node.
        """
        self.node = node
        self.server_numbers = server_numbers
        self.server_names: dict[int, str] = {}
        self.stream: TextIO = sys.stderr if path == "-" else open(path, "a", encoding="utf-8")  # noqa: SIM115
        self.unflushed = 0
        self.write("start", **{"process.uptime": process_uptime()})

    def write(self, event: str, request_id: str = "", /, **fields: object) -> None:
        """Writes one line; `request_id` is "" for what is no request's event."""
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
        """Writes one line of a request's."""
        self.write(event, request.parsed.request_id.decode("latin-1"), **fields)

    def flush(self) -> None:
        """Hands what was written to the kernel."""
        self.unflushed = 0
        self.stream.flush()

    # ---- events -----------------------------------------------------------------------------------------

    def request_admitted(self, request: DispatchedRequest, now: int) -> None:
        """See `RequestTracer`. `time_left` in microseconds; classes go by their numbers."""
        fields = {
            "request.class": str(request.parsed.request_class),
            "time_left": request.deadline_us - now,
            "url.path": request.parsed.head.split(b" ", 2)[1].decode("latin-1"),
        }
        self.write_request_event(request, "taken", **fields)

    def attempt_sent(self, attempt: UpstreamAttempt) -> None:
        """See `RequestTracer`. Of a retry, with the outcome of the attempt before it."""
        outcome = attempt.request.last_outcome
        fields = {} if outcome is None else {"retry.cause": outcome.name.lower()}
        self.write_request_event(attempt.request, "sent", **self.attempt_fields(attempt), **fields)

    def attempt_written(self, attempt: UpstreamAttempt, *, fresh: bool, whole: bool) -> None:
        """See `RequestTracer`."""
        fields = self.attempt_fields(attempt)
        self.write_request_event(attempt.request, "written", **fields, fresh=fresh, whole=whole)

    def attempt_ended(self, attempt: UpstreamAttempt, outcome: Outcome, report: Sequence[float]) -> None:
        """See `RequestTracer`. A load report's figures are in the order of the settings."""
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
        """See `RequestTracer`. With the statement that decided it: whose, and how old in seconds."""
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
        """The attempt's number and its server."""
        fields: dict[str, object] = {
            "http.request.resend_count": attempt.number,
            "server.id": self.server_name(attempt.server),
        }
        address = attempt.process or attempt.dispatcher.pool.processes.get(attempt.server)
        if address is not None:
            fields |= {"server.address": address.host, "server.port": address.port}
        return fields

    def server_name(self, server: int) -> str:
        """Discovery's name for a server; its number if there is none any more."""
        if server not in self.server_names:
            self.server_names = {number: name for name, number in self.server_numbers.items()}
        return self.server_names.get(server, str(server))
