"""The attempt log: one line an event of a request's life. Off by default; without it a node never imports this.

Names of fields are OpenTelemetry's where its semantic conventions have them (`service.instance.id`, `server.address`,
`http.request.resend_count`, `error.type`); times are Unix nanoseconds, as in its logs data model.
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
from harecross.dispatch.dispatcher import DispatchedRequest, UpstreamAttempt
from harecross.interface import EndpointUpdateKind, FinalReason, Outcome

MARK = "attempt "  # stands before the object: the log may hold other lines, and what reads it may put times before
FLUSHING = frozenset(("start", "list", "process", "final"))
FLUSHED = 64  # lines written together at most; what a crash loses of them


def process_uptime() -> float:
    """Seconds since this process was started, the interpreter's start and the imports among them (proc(5))."""
    try:
        with open("/proc/self/stat", "rb") as f:
            ticks = int(f.read().rpartition(b")")[2].split()[19])
        with open("/proc/uptime", "rb") as f:
            up = float(f.read().split()[0])
    except (OSError, ValueError, IndexError):
        return time.process_time()
    return round(max(time.process_time(), up - ticks / os.sysconf("SC_CLK_TCK")), 3)


class AttemptLog:
    """Writes the events of one node's requests."""

    def __init__(self, node: str, path: str, numbers: Mapping[str, int]) -> None:
        """`path` is a file that is appended to, or `-` for standard error. OSError where it cannot be written.

        `numbers` gives the module's numbers of servers by discovery's names, which are the same at all nodes; addresses
        may differ from node to node.
        """
        self.node = node
        self.numbers = numbers
        self.names: dict[int, str] = {}
        self.stream: TextIO = sys.stderr if path == "-" else open(path, "a", encoding="utf-8")  # noqa: SIM115
        self.unflushed = 0
        self.tell("start", **{"process.uptime": process_uptime()})

    def write(self, event: str, r: DispatchedRequest, **more: object) -> None:
        self.tell(event, r.parsed.request_id.decode("latin-1"), **more)

    def tell(self, event: str, request: str = "", /, **more: object) -> None:
        """One line; `request` is "" for what is none of a request's events."""
        fields = {
            "timeUnixNano": time.time_ns(),
            "service.instance.id": self.node,
            "event.name": event,
            "request.id": request,
            **more,
        }
        self.stream.write(f"{MARK}{json.dumps(fields, separators=(',', ':'))}\n")
        self.unflushed += 1
        if self.unflushed >= FLUSHED or event in FLUSHING:
            self.flush()

    def flush(self) -> None:
        self.unflushed = 0
        self.stream.flush()

    # ---- events -----------------------------------------------------------------------------------------

    def request_admitted(self, r: DispatchedRequest, now: int) -> None:
        """A request has come; it is to be answered within `time_left` microseconds. Classes go by their numbers."""
        more = {
            "request.class": str(r.parsed.request_class),
            "time_left": r.deadline_us - now,
            "url.path": self.path(r),
        }
        self.write("taken", r, **more)

    def attempt_sent(self, a: UpstreamAttempt) -> None:
        """The module has chosen a server for an attempt; of a retry, how the attempt before it ended."""
        before = a.request.last_outcome
        more = {} if before is None else {"retry.cause": before.name.lower()}
        self.write("sent", a.request, **self.where(a), **more)

    def attempt_written(self, a: UpstreamAttempt, fresh: bool, whole: bool) -> None:
        """The request went out on a connection, `fresh` or kept; `whole` is false while bytes stand here."""
        self.write("written", a.request, **self.where(a), fresh=fresh, whole=whole)

    def attempt_ended(self, a: UpstreamAttempt, outcome: Outcome, report: Sequence[float]) -> None:
        """The attempt has its outcome, and with it perhaps a load report, its fields as the settings name them."""
        more: dict[str, object] = {} if outcome == Outcome.OK else {"error.type": outcome.name.lower()}
        if report:
            more["server.load"] = list(report)
        self.write("ended", a.request, **self.where(a), **more)

    def request_answered(self, r: DispatchedRequest, how: str, reason: FinalReason | None = None) -> None:
        """The caller has its one answer, or has left. `reason`: why it was refused or failed."""
        more = {} if reason is None else {"reason": reason.value}
        self.write("final", r, answer=how, **more)

    def connection_closed(self, closing: ClosedConnection) -> None:
        """A connection has ended: whose, why, and with which request out on it."""
        more = {"server.address": closing.peer_address} if closing.peer_address else {}
        self.tell("closed", closing.request_id, side=closing.side, reason=closing.reason.value, **more)

    def endpoints_listed(
        self, kind: EndpointUpdateKind, generation: object, came: Iterable[str], left: Iterable[str]
    ) -> None:
        """A list was read: which servers are in service by it that were not before, and which no longer are."""
        self.tell("list", kind=kind.name.lower(), generation=generation, came=sorted(came), left=sorted(left))

    def process_changed(self, transition: Transition, now: float) -> None:
        """A server process changed its state: from what to what, by whose word and how old that was, and why."""
        statement = transition.statement
        self.tell(
            "process",
            **{"server.id": transition.server, "server.state": transition.after.value},
            before=transition.before.value,
            cause=transition.cause.value,
            said_by=statement.source.address,
            said=statement.lifecycle.value,
            generation=statement.version,
            age=round(now - statement.stated_at, 3),
        )

    def name(self, server: int) -> str:
        if server not in self.names:
            self.names = {number: name for name, number in self.numbers.items()}
        return self.names.get(server, str(server))

    def where(self, a: UpstreamAttempt) -> dict[str, object]:
        target = a.process or a.dispatcher.pool.processes.get(a.server)
        found: dict[str, object] = {"http.request.resend_count": a.number, "server.id": self.name(a.server)}
        if target is not None:
            found |= {"server.address": target.host, "server.port": target.port}
        return found

    @staticmethod
    def path(r: DispatchedRequest) -> str:
        return r.parsed.head.split(b" ", 2)[1].decode("latin-1")
