"""Reads attempt logs: requests with their events in order, and what went wrong with them.

A tier's calls have ids of their own, which no message ties to the request above them. They are found by place and
time: what a node beside a server took, of the same class, while that server had an attempt of the request. Which node
stands beside which server is learned from the logs: the one that never has more calls open than the server attempts.
"""

from __future__ import annotations

import json
from bisect import bisect_left, bisect_right
from collections import defaultdict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from harecross.follow.attempts import MARK

NAMES = ("timeUnixNano", "service.instance.id", "event.name", "request.id")
SLACK = 500_000_000  # ns: an answer may come so long after its time before it counts as never given (FLEET, "rules")
LEAST = 3  # calls, to know whose they are
COVERED = 0.8  # of the attempts that a server answered have made a call
STRANGE = 0.02  # of a node's calls may be none of its server's: clocks differ, ends are missing


class BadLog(Exception):
    """What cannot be read: the text names file, line and what is wrong."""


@dataclass(slots=True)
class Event:
    """One line."""

    at: int  # Unix nanoseconds
    node: str
    what: str
    request: str
    fields: dict[str, Any]

    @property
    def attempt(self) -> int:
        return int(self.fields.get("http.request.resend_count", 0))

    @property
    def server(self) -> str:
        return str(self.fields["server.id"])


@dataclass(slots=True)
class Attempt:
    """One attempt of a request, with the events it has."""

    number: int
    server: str
    sent: int
    written: int | None = None
    ended: int | None = None
    cause: str = ""  # `error.type` of its end; "" for an answer, or while it has none


@dataclass(slots=True)
class Request:
    """One request at one node."""

    id: str
    node: str
    events: list[Event] = field(default_factory=list)
    klass: str = ""
    taken: int = 0
    until: int = 0  # its time is up
    answer: str = ""  # served, refused, failed, left; "" for none
    answered: int | None = None
    attempts: list[Attempt] = field(default_factory=list)

    def add(self, e: Event) -> None:
        self.events.append(e)
        if e.what == "taken":
            self.taken = e.at
            self.until = e.at + int(e.fields.get("time_left", 0)) * 1000
            self.klass = str(e.fields.get("request.class", ""))
        elif e.what == "sent":
            self.attempts.append(Attempt(e.attempt, e.server, e.at))
        elif e.what == "final":
            # A second final answer would be a fault of the node's own; `wrong` tells by the events.
            self.answer, self.answered = str(e.fields.get("answer", "")), self.answered or e.at
        else:
            a = self.attempt(e.attempt)
            if a is not None and e.what == "written":
                a.written = e.at
            elif a is not None and e.what == "ended":
                a.ended, a.cause = e.at, str(e.fields.get("error.type", ""))

    def attempt(self, number: int) -> Attempt | None:
        """None for one whose `sent` is not in the logs: they may begin in the middle."""
        return next((a for a in self.attempts if a.number == number), None)

    def wrong(self, end: int, effects: dict[str, str]) -> list[str]:
        """What is wrong with how it went; `end` is the log's last time, `effects` the classes' effects by name.

        Which servers discard the repeats of a keyed request is not in the log: its repeats are not judged.
        """
        found = []
        finals = sum(e.what == "final" for e in self.events)
        if finals > 1:
            found.append(f"{finals} final answers")
        if not self.taken:
            pass  # the logs begin in the middle of it: its time is not known
        elif self.answered is None and end > self.until + SLACK:
            found.append("no final answer")
        elif self.answered is not None and self.answer != "left" and self.answered > self.until + SLACK:
            found.append(f"answered {(self.answered - self.until) / 1e9:.2f} s after its time")
        ran = [a for a in self.attempts if a.written is not None and a.cause not in NEVER]
        effect = effects.get(self.klass, "unsafe")
        if len(ran) > 1 and effect == "unsafe":
            found.append(f"may have run {len(ran)} times")
        return found


@dataclass(slots=True)
class Spans:
    """Times that something was open from and to."""

    begins: list[int] = field(default_factory=list)
    ends: list[int] = field(default_factory=list)
    good: int = 0

    def add(self, begin: int, end: int, good: bool) -> None:
        self.begins.append(begin)
        self.ends.append(end)
        self.good += good

    def open(self, at: int) -> int:
        """How many are, what begins just then among them."""
        return bisect_right(self.begins, at) - bisect_left(self.ends, at)


def strangers(tries: dict[str, Spans], made: dict[str, Spans]) -> float | None:
    """The share of a node's calls that a server cannot have made: more were open than it had attempts.

    A server makes its calls one after another. None where the node made too few for what the server answered.
    """
    count = sum(len(s.begins) for s in made.values())
    if count < max(LEAST, COVERED * sum(s.good for s in tries.values())):
        return None
    none = Spans()
    return (
        sum(s.open(at) > tries.get(klass, none).open(at) for klass, s in made.items() for at in s.begins)
        / count
    )


NEVER = frozenset(("rejected", "connect_failed", "not_sent"))  # outcomes that prove that it never ran


@dataclass(slots=True)
class Logs:
    """All that was read."""

    requests: dict[tuple[str, str], Request] = field(default_factory=dict)  # by node and id
    by_id: dict[str, list[Request]] = field(default_factory=lambda: defaultdict(list))
    told: dict[str, list[Event]] = field(
        default_factory=lambda: defaultdict(list)
    )  # starts and lists, by node
    torn: list[str] = field(default_factory=list)  # files whose last line is torn
    end: int = 0
    beside: dict[str, str] = field(default_factory=dict)  # server to the node beside it
    takings: dict[str, list[Request]] = field(default_factory=dict)  # of each node, by time

    def add(self, e: Event) -> None:
        if not e.request:
            self.told[e.node].append(e)
            return
        key = (e.node, e.request)
        r = self.requests.get(key)
        if r is None:
            r = self.requests[key] = Request(e.request, e.node)
            self.by_id[e.request].append(r)
        r.add(e)
        self.end = max(self.end, e.at)

    def find(self, request: str) -> Request:
        """The first to take that id. KeyError where no log has it."""
        if request not in self.by_id:
            raise KeyError(request)
        return min(self.by_id[request], key=lambda r: r.taken)

    def place(self) -> None:
        """Learns which node stands beside which server."""
        takings: dict[str, list[Request]] = defaultdict(list)
        for r in self.requests.values():
            takings[r.node].append(r)
        for held in takings.values():
            held.sort(key=lambda r: r.taken)
        self.takings = dict(takings)
        spans: dict[str, dict[str, Spans]] = defaultdict(lambda: defaultdict(Spans))  # of servers, by class
        above: dict[str, set[str]] = defaultdict(set)  # nodes that send to a server: they stand beside others
        for r in self.requests.values():
            for a in r.attempts:
                above[a.server].add(r.node)
                if a.written is not None:
                    spans[a.server][r.klass].add(a.written, a.ended or self.end, not a.cause)
        calls: dict[str, dict[str, Spans]] = defaultdict(lambda: defaultdict(Spans))
        for r in self.requests.values():
            calls[r.node][r.klass].add(r.taken, r.answered or self.end, True)
        for classes in (*spans.values(), *calls.values()):
            for span in classes.values():
                span.begins.sort()
                span.ends.sort()
        for server, tries in spans.items():
            strange = sorted(
                (part, node)
                for node, made in calls.items()
                if node not in above[server] and (part := strangers(tries, made)) is not None
            )
            if strange and strange[0][0] <= STRANGE and (len(strange) == 1 or strange[1][0] > 2 * STRANGE):
                self.beside[server] = strange[0][1]

    def below(self, r: Request, a: Attempt) -> tuple[list[Request], bool]:
        """The calls that an attempt may have caused in the tier below, and whether that is sure.

        It is where no other attempt of that class was at the server at the time.
        """
        node = self.beside.get(a.server)
        if node is None or a.written is None:
            return [], True
        end = a.ended if a.ended is not None else self.end
        found = [x for x in self.takings[node] if a.written <= x.taken <= end and x.klass == r.klass]
        overlapping = sum(
            other.written is not None and other.written < end and (other.ended or self.end) > a.written
            for s in self.requests.values()
            if s.klass == r.klass
            for other in s.attempts
            if other.server == a.server
        )
        return found, overlapping <= 1


def events(path: Path, logs: Logs) -> Iterator[Event]:
    """The attempt events of one file. BadLog for one that is none, or is damaged before its last line."""
    try:
        text = path.read_text(encoding="utf-8", errors="strict")
    except OSError as e:
        raise BadLog(f"{path}: {e.strerror}") from None
    except UnicodeDecodeError as e:
        raise BadLog(f"{path}: not UTF-8 at byte {e.start}") from None
    lines = text.splitlines()
    any_found = False
    for number, line in enumerate(lines, 1):
        at = line.find(MARK + "{")
        if at < 0:
            if number == len(lines) and not text.endswith("\n") and any_found:
                logs.torn.append(f"{path}: line {number}")
            continue
        any_found = True
        try:
            fields = json.loads(line[at + len(MARK) :])
            values = [fields.pop(name) for name in NAMES]
            if values[2] == "sent":
                fields["server.id"]
            for name in ("time_left", "http.request.resend_count"):
                int(fields.get(name, 0))
            float(fields.get("process.uptime", 0))
            if not all(isinstance(fields.get(name, []), list) for name in ("came", "left")):
                raise TypeError("came, left: lists of servers")
            yield Event(int(values[0]), str(values[1]), str(values[2]), str(values[3]), fields)
        except (ValueError, KeyError, TypeError):
            if number == len(lines) and not text.endswith("\n"):
                logs.torn.append(f"{path}: line {number}")
                return
            raise BadLog(f"{path}: line {number}: not an event of an attempt log") from None
    if not any_found:
        raise BadLog(f"{path}: no attempt log ([log] attempts in the operators' file writes one)")


def read(paths: Sequence[Path]) -> Logs:
    """Several nodes' logs as one. BadLog."""
    logs = Logs()
    found = [e for path in paths for e in events(path, logs)]
    found.sort(key=lambda e: e.at)
    for e in found:
        logs.add(e)
    logs.place()
    return logs
