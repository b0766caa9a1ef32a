"""Which requests went to servers that had been announced as leaving, from many nodes' logs: when it was listed, when it
was binding for the node that sent, when that node read it, when the first byte left.

When discovery listed it is not in the logs; the first of all nodes to read it stands for that. For the sender it is
binding 250 ms (and 50 of slack) after it read it itself, after its process started where it was listed before, and
6 s after it was listed, whichever comes first (PROTOCOL, "Discovery" and "Figures").
"""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from dataclasses import dataclass

from harecross.discovery.subscription_schedule import SEND_STOP_GRACE_S, STALENESS_LIMIT_S
from harecross.follow.reader import Event, Logs

NS = 1_000_000_000


@dataclass(frozen=True, slots=True)
class Late:
    """One send that came too late. Times in Unix nanoseconds."""

    request: str
    node: str
    server: str
    listed: int  # first read anywhere
    by: str  # the node that read it
    read: int | None  # here, before the send
    started: int  # the process that sent
    sent: int  # the server was chosen
    written: int  # the first byte left
    state: Event | None = None  # the last change of the server's state at that node before, if the log has it

    @property
    def after(self) -> float:
        """Seconds between the time from which it was binding and the first byte."""
        return (self.written - self.told) / NS

    @property
    def told(self) -> int:
        """When it counts as told to the process that sent."""
        times = [max(self.listed + int(STALENESS_LIMIT_S * NS), self.started)]
        if self.listed < self.started:
            times.append(self.started)
        if self.read is not None:
            times.append(self.read)
        return min(times)


@dataclass(slots=True)
class Told:
    """When nodes read that one server is in service or leaves, in order."""

    at: list[int]
    node: list[str]
    leaves: list[bool]

    def first_left(self, before: int) -> int | None:
        """Where the first word stands that it leaves, with no word since, and before that time, that it is back."""
        found = None
        for i in range(bisect_right(self.at, before) - 1, -1, -1):
            if not self.leaves[i]:
                break
            found = i
        return found


def told_of(logs: Logs) -> dict[str, Told]:
    """By server; lists from before a process started say nothing new."""
    found: dict[str, Told] = defaultdict(lambda: Told([], [], []))
    for e in sorted((e for events in logs.told.values() for e in events), key=lambda e: e.at):
        if e.what != "list" or e.fields.get("kind") == "cached":
            continue
        for key, leaves in (("came", False), ("left", True)):
            for server in e.fields.get(key, ()):
                told = found[server]
                told.at.append(e.at)
                told.node.append(e.node)
                told.leaves.append(leaves)
    return found


def last_state(logs: Logs, node: str, server: str, before: int) -> Event | None:
    """The last change of a server's state that a node logged before that time."""
    changes = (
        e for e in logs.told.get(node, ()) if e.what == "process" and e.server == server and e.at <= before
    )
    return max(changes, key=lambda e: e.at, default=None)


def began(e: Event) -> int:
    """When the process of a `start` line was started."""
    return e.at - int(float(e.fields.get("process.uptime", 0)) * NS)


def late_sends(logs: Logs) -> list[Late]:
    """Every send whose first byte left later than `SEND_STOP_GRACE_S` after it was binding, the first first."""
    told = told_of(logs)
    starts = {node: sorted(began(e) for e in es if e.what == "start") for node, es in logs.told.items()}
    found = []
    for r in logs.requests.values():
        mine = starts.get(r.node, [])
        for a in r.attempts:
            if a.written is None or a.server not in told:
                continue
            of = told[a.server]
            first = of.first_left(a.written)
            if first is None:
                continue
            begun = bisect_right(mine, a.written)
            started = mine[begun - 1] if begun else 0
            own = (
                at
                for at, node in zip(of.at[first:], of.node[first:], strict=True)
                if node == r.node and started <= at <= a.written
            )
            late = Late(
                r.id,
                r.node,
                a.server,
                of.at[first],
                of.node[first],
                next(own, None),
                started,
                a.sent,
                a.written,
                last_state(logs, r.node, a.server, a.sent),
            )
            if late.after > SEND_STOP_GRACE_S:
                found.append(late)
    return sorted(found, key=lambda late: late.written)
