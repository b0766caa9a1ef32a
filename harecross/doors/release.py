"""A release of servers over several nodes, decided step by step. Free of I/O.

`Release` is told what happens (a look at a node, an answer, the end of a restart, an interrupt, the time) and
returns what to do next. Times are seconds of one clock that never goes back. Its promises:

- At most `batch` servers are out at once, and at each node `keep` of those in use at the beginning stay in use.
- A server is restarted only once every node holds it out, has nothing out on it, and is alone under its name.
- It is put back at every node that may hold it out, unless its restart failed; a restart that runs is waited for.
- Whatever stays out at the end is named by `held`.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum
from math import ceil
from typing import Literal

from harecross.discovery.endpoint_status import IN_USE, OUT
from harecross.doors.ask import Look, Row, Said

LOOK_EVERY = 0.5  # seconds
LOOK_TRIES = 6  # looks in a row that may fail at one node
BACK_TRIES = 5  # calls to put a server back at one node
BACK_EVERY = 1.0  # seconds between two of them


class Phase(Enum):
    """Where a server stands. The values are what operators read."""

    WAITING = "waiting"
    TAKING = "being taken out"
    EMPTYING = "emptying"
    RESTARTING = "restarting"
    RETURNING = "being put back"
    WARMING = "warming"
    DONE = "done"
    LEFT = "left out"


ACTIVE = frozenset({Phase.TAKING, Phase.EMPTYING, Phase.RESTARTING, Phase.RETURNING, Phase.WARMING})


@dataclass(frozen=True, slots=True)
class Limits:
    """How far a release may go. `keep` is a share of the servers in use; times are seconds."""

    batch: int = 1
    keep: float = 0.5
    empty_within: float = 120.0
    restart_within: float = 600.0
    warm_within: float = 300.0


@dataclass(frozen=True, slots=True)
class Do:
    """One thing to do. `look` concerns a door; `restart` and `kill` a server; `out` and `back` both."""

    what: Literal["look", "out", "back", "restart", "kill"]
    door: str = ""
    server: str = ""


@dataclass(slots=True, eq=False)
class Server:
    """One server of the release."""

    id: str
    phase: Phase = Phase.WAITING
    since: float = 0.0  # when the phase began
    maybe_out: set[str] = field(default_factory=set)  # doors where it is held out, or may be
    pending: set[str] = field(default_factory=set)  # doors whose answer is waited for
    again: dict[str, float] = field(default_factory=dict)  # doors to be called again, and when
    tries: dict[str, int] = field(default_factory=dict)  # calls to put it back
    unsure: set[str] = field(default_factory=set)  # doors whose call to take it out was never answered
    restarted: bool = False


def coldness(row: Row | None) -> str:
    """What a server in use still lacks at one node, in words; nothing for a warm one."""
    if row is None:
        return "not listed"
    if row.state != IN_USE:
        return row.state
    return "ejected" if row.ejected else f"{row.warmth:.0%} warm" if row.warmth < 1 else ""


class Release:
    """The machine. `lines` collects what operators should read; whoever prints them takes them out."""

    def __init__(self, servers: Sequence[str], doors: Sequence[str], limits: Limits) -> None:
        self.servers = [Server(name) for name in servers]
        self.by_id = {s.id: s for s in self.servers}
        self.doors = list(doors)
        self.limits = limits
        self.looks: dict[str, Look] = {}
        self.looked_at: dict[str, float] = {}  # when the look in hand was asked for
        self.asked_at: dict[str, float] = {}  # looks without an answer yet
        self.look_due = 0.0
        self.missed: dict[str, int] = {}
        self.least: dict[str, int] = {}  # servers that stay in use at each door; empty until all were seen
        self.short_since: float | None = None  # nothing may be taken out for want of servers in use
        self.why = ""  # it stops: the first reason
        self.interrupts = 0
        self.over = False
        self.lines: list[str] = []

    # ---- what happens ---------------------------------------------------------------------------------

    def begin(self, now: float) -> list[Do]:
        """The first step: a look at every node."""
        return self.look(now)

    def tick(self, now: float) -> list[Do]:
        """Time has passed."""
        todo: list[Do] = []
        for s in self.servers:
            self.watch_time(now, s, todo)
            for door, due in list(s.again.items()):
                if now >= due:
                    del s.again[door]
                    self.put_back(s, door, todo)
        if now >= self.look_due and not self.over:
            todo += self.look(now)
        return todo + self.step(now)

    def looked(self, now: float, door: str, look: Look | str) -> list[Do]:
        """A look has come back, or what went wrong with it."""
        asked = self.asked_at.pop(door, now)
        if isinstance(look, str):
            self.missed[door] = self.missed.get(door, 0) + 1
            if not self.least or self.missed[door] >= LOOK_TRIES:
                self.stop(f"{door}: {look}")
        else:
            self.missed[door] = 0
            self.looks[door], self.looked_at[door] = look, asked
        if not self.least and not self.why and len(self.looks) == len(self.doors):
            self.check()
        return self.step(now)

    def answered(self, now: float, what: str, door: str, server: str, said: Said) -> list[Do]:
        """A node has answered a call to take a server out or to put it back, or has not."""
        s = self.by_id[server]
        if what == "out":
            s.pending.discard(door)
            if not said.ok:
                (s.unsure.add if said.unsure else s.maybe_out.discard)(door)
                self.stop(f"{door}: {server} cannot be taken out: {said.text}")
        elif said.ok:
            s.pending.discard(door)
            s.maybe_out.discard(door)
        elif s.tries[door] < BACK_TRIES:
            s.again[door] = now + BACK_EVERY
        else:
            s.pending.discard(door)
            self.stop(f"{door}: {server} cannot be put back: {said.text}")
        return self.step(now)

    def restarted(self, now: float, server: str, ok: bool, how: str) -> list[Do]:
        """A restart has ended, as `how` says."""
        s = self.by_id[server]
        if ok:
            s.restarted = True
            todo: list[Do] = []
            self.give_back(now, s, todo)
            return todo + self.step(now)
        self.move(now, s, Phase.LEFT)
        self.stop(f"the restart of {server} {how}; it stays out")
        return self.step(now)

    def interrupt(self, now: float) -> list[Do]:
        """The first one ends the release in order, the second one at once."""
        self.interrupts += 1
        if self.interrupts == 1:
            self.stop("interrupted; once more ends it at once")
            return self.step(now)
        self.over = True
        return []

    # ---- what is seen from outside --------------------------------------------------------------------

    def held(self) -> dict[str, list[str]]:
        """Servers that are out, or may be, and at which doors."""
        return {s.id: sorted(s.maybe_out | s.unsure) for s in self.servers if s.maybe_out | s.unsure}

    def running(self) -> list[str]:
        """Servers whose restart has not ended."""
        return [s.id for s in self.servers if s.phase == Phase.RESTARTING]

    def waits_for(self, s: Server) -> str:
        """What a server's phase waits for, in words."""
        if s.phase == Phase.EMPTYING:
            told = [f"{row.open} at {d}" for d, row, _ in self.fresh(s) if row is not None and row.open]
            return ", ".join(told + [f"another process at {d}" for d, _, others in self.fresh(s) if others])
        if s.phase == Phase.WARMING:
            states = [(d, coldness(row)) for d, row, _ in self.fresh(s)]
            return ", ".join(f"{state} at {d}" for d, state in states if state)
        return ", ".join(sorted(s.pending))

    # ---- the steps ------------------------------------------------------------------------------------

    def say(self, text: str) -> None:
        self.lines.append(text)

    def stop(self, why: str) -> None:
        """Nothing further is taken out; what is out is brought to its end."""
        if not self.why:
            self.why = why
        self.say(why)

    def move(self, now: float, s: Server, phase: Phase) -> None:
        s.phase, s.since = phase, now
        self.say(f"{s.id}: {phase.value}")

    def look(self, now: float) -> list[Do]:
        """Looks at every node that is not being looked at."""
        self.look_due = now + LOOK_EVERY
        todo = []
        for door in self.doors:
            if door not in self.asked_at:
                self.asked_at[door] = now
                todo.append(Do("look", door))
        return todo

    def check(self) -> None:
        """Before anything is done: every server is known and in use at every node, and enough stay in use."""
        for door, look in self.looks.items():
            for s in self.servers:
                row = look.servers.get(s.id)
                if row is None:
                    return self.stop(f"{door}: {s.id}: no such server")
                if row.state != IN_USE:
                    return self.stop(f"{door}: {s.id} is not in use but {row.state}")
        least = {d: max(1, ceil(self.limits.keep * len(self.in_use(d)))) for d in self.doors}
        for door in self.doors:
            used = len(self.in_use(door))
            if used - 1 < least[door]:
                return self.stop(f"{door}: {used} servers are in use and {least[door]} must stay")
        self.least = least
        return None

    def in_use(self, door: str) -> set[str]:
        """What a node uses, less what has been taken out since it was looked at."""
        taken = {s.id for s in self.servers if s.maybe_out}
        rows = self.looks[door].servers.values()
        return {r.id for r in rows if r.state == IN_USE and not r.ejected} - taken

    def fresh(self, s: Server) -> list[tuple[str, Row | None, int]]:
        """What was seen since the server's phase began: door, its row if the node knows it, other processes."""
        return [
            (door, look.servers.get(s.id), look.others)
            for door, look in self.looks.items()
            if self.looked_at[door] >= s.since
        ]

    def step(self, now: float) -> list[Do]:
        """Moves every server on that can move, and ends the release where nothing is left to do."""
        todo: list[Do] = []
        if self.over:
            return todo
        for s in self.servers:
            if s.phase == Phase.TAKING and not s.pending:
                if self.why:
                    self.give_back(now, s, todo)
                else:
                    self.move(now, s, Phase.EMPTYING)
            elif s.phase == Phase.EMPTYING:
                self.empty(now, s, todo)
            elif s.phase == Phase.RETURNING and not s.pending:
                self.move(now, s, Phase.LEFT if s.maybe_out else Phase.WARMING)
            elif s.phase == Phase.WARMING:
                self.warm(now, s, todo)
        while not self.why and self.least and self.take_next(now, todo):
            pass
        active = any(s.phase in ACTIVE for s in self.servers)
        rest = any(s.phase == Phase.WAITING for s in self.servers)
        self.over = not active and bool(self.why or (self.least and not rest))
        return todo

    def take_next(self, now: float, todo: list[Do]) -> bool:
        """Takes out the next server, where the batch and those that stay in use allow it."""
        s = next((s for s in self.servers if s.phase == Phase.WAITING), None)
        if s is None or sum(x.phase in ACTIVE for x in self.servers) >= self.limits.batch:
            self.short_since = None
            return False
        for door in self.doors:
            used = self.in_use(door)
            if len(used - {s.id}) < self.least[door]:
                if self.short_since is None:
                    self.short_since = now
                elif now - self.short_since > self.limits.warm_within:
                    self.stop(f"{door}: {len(used)} servers are in use and {self.least[door]} must stay")
                return False
            if s.id not in used:
                self.stop(f"{door}: {s.id} is no longer in use")
                return False
        self.short_since = None
        self.move(now, s, Phase.TAKING)
        s.pending, s.maybe_out = set(self.doors), set(self.doors)
        todo += [Do("out", door, s.id) for door in self.doors]
        return True

    def empty(self, now: float, s: Server, todo: list[Do]) -> None:
        """Goes on once nothing is out on the server anywhere; back where the release stops, or others meddle."""
        if self.why:
            self.give_back(now, s, todo)
            return
        fresh = self.fresh(s)
        for door, row, _ in fresh:
            if row is None or row.state != OUT:
                self.stop(f"{door}: {s.id} was put back by somebody else")
                self.give_back(now, s, todo)
                return
        if len(fresh) == len(self.doors) and not self.waits_for(s):
            self.move(now, s, Phase.RESTARTING)
            todo.append(Do("restart", server=s.id))

    def give_back(self, now: float, s: Server, todo: list[Do]) -> None:
        self.move(now, s, Phase.RETURNING)
        s.pending = set(s.maybe_out)
        for door in sorted(s.pending):
            self.put_back(s, door, todo)

    def put_back(self, s: Server, door: str, todo: list[Do]) -> None:
        s.tries[door] = s.tries.get(door, 0) + 1
        todo.append(Do("back", door, s.id))

    def warm(self, now: float, s: Server, todo: list[Do]) -> None:
        """Ends where the server is warm everywhere; one that a late call has taken out again is put back again."""
        fresh = self.fresh(s)
        for door, row, _ in fresh:
            late = door in s.unsure
            s.unsure.discard(door)
            if row is None or row.state != OUT:
                continue
            if late:
                s.maybe_out.add(door)
                self.give_back(now, s, todo)
            else:
                self.stop(f"{door}: {s.id} was taken out again by somebody else")
                self.move(now, s, Phase.DONE)
            return
        if len(fresh) < len(self.doors) and not any(n >= LOOK_TRIES for n in self.missed.values()):
            return
        if self.why or not s.restarted or not self.waits_for(s):
            self.move(now, s, Phase.LEFT if s.unsure else Phase.DONE)

    def watch_time(self, now: float, s: Server, todo: list[Do]) -> None:
        """Stops over what takes too long."""
        waited = now - s.since
        if s.phase == Phase.EMPTYING and waited > self.limits.empty_within and not self.why:
            left = self.waits_for(s) or "not seen to be empty"
            self.stop(f"{s.id} is not empty after {self.limits.empty_within:g} s: {left}")
        elif s.phase == Phase.RESTARTING and waited > self.limits.restart_within:
            s.since = now
            self.stop(
                f"the restart of {s.id} takes longer than {self.limits.restart_within:g} s and is ended"
            )
            todo.append(Do("kill", server=s.id))
        elif s.phase == Phase.WARMING and waited > self.limits.warm_within and not self.why:
            left = self.waits_for(s) or "not seen to be warm"
            self.stop(f"{s.id} is not warm after {self.limits.warm_within:g} s: {left}")
