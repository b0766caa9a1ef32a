"""Who says what of each box, since when and until when; the list that the rule makes of it. Free of I/O.

A box is its address: two names at one address are one box with one limit, and one whose address moves is another.
Times are seconds of a clock that never goes back.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from harecross.sources.rule import Evidence, Line, Outcome, Word, decide

CHANGES_KEPT = 5  # of each box, for operators


class Credit(StrEnum):
    """What a source's present list is worth."""

    NONE = "no word yet"
    FRESH = "fresh"
    STALE = "stale"  # past its life, and nobody answers
    LOST = "lost"  # stale for longer than is allowed


@dataclass(frozen=True, slots=True)
class Stated:
    """What a source says of one box. `name` is the id or target by which it knows it."""

    address: str
    name: str
    draining: bool = False
    zone: str = ""
    weight: float = 1.0
    priority: int = 0  # lower ones first
    started: int = 0  # Unix milliseconds; 0 where it is not told


@dataclass(frozen=True, slots=True)
class Limits:
    """`step_s`: how long sources may be out of step; `mass`: the share of a source's list that, dropped within
    that time, is not believed alone; below `mass_least` boxes no drop is a mass."""

    step_s: float = 60.0
    mass: float = 0.3
    mass_least: int = 3


@dataclass(slots=True)
class Source:
    """One source's words over time."""

    name: str
    rank: int
    credit: Credit = Credit.NONE
    listed: dict[str, Stated] = field(default_factory=dict)
    dropped: dict[str, tuple[float, bool]] = field(default_factory=dict)  # when, and whether with many others
    drains: set[str] = field(default_factory=set)
    told_at: float = 0.0

    def word(self, address: str, now: float, limits: Limits) -> Word:
        """What it says of a box now."""
        if address in self.drains and self.credit != Credit.LOST:
            return Word.DRAIN
        if self.credit in (Credit.NONE, Credit.LOST):
            return Word.SILENT
        if address in self.listed:
            return Word.YES if self.credit == Credit.FRESH else Word.OLD_YES
        if self.credit == Credit.STALE:
            return Word.SILENT  # an old list proves nothing of what it lacks
        if address not in self.dropped:
            return Word.NEVER
        at, mass = self.dropped[address]
        if now - at < limits.step_s:
            return Word.NEW_NO
        return Word.MASS_NO if mass else Word.NO


@dataclass(frozen=True, slots=True)
class Change:
    """One change of a box's outcome."""

    at: float
    outcome: Outcome
    line: Line


@dataclass(slots=True)
class Box:
    """One box, as the rule last had it."""

    address: str
    outcome: Outcome
    line: Line
    used: bool  # gets new work
    stated: Stated  # by the source that ranks highest among those that know it
    names: frozenset[str]
    changes: deque[Change] = field(default_factory=lambda: deque(maxlen=CHANGES_KEPT))


class Ledger:
    """All sources' words, and the boxes they make."""

    def __init__(self, limits: Limits | None = None) -> None:
        self.limits = limits or Limits()
        self.sources: dict[str, Source] = {}
        self.boxes: dict[str, Box] = {}
        self.out: set[str] = set()  # names or addresses that operators hold out

    # ---- what is told ---------------------------------------------------------------------------------

    def add(self, name: str, rank: int) -> None:
        """A source; one of that name keeps what it has said, and takes the rank."""
        known = self.sources.get(name)
        if known is not None:
            known.rank = rank
        else:
            self.sources[name] = Source(name, rank)

    def remove(self, name: str) -> None:
        """A source that is configured no longer. What it alone listed is gone; what others list stays."""
        source = self.sources.pop(name, None)
        if source is None:
            return
        for address in source.listed:
            box = self.boxes.get(address)
            if box is not None and not any(address in s.listed for s in self.sources.values()):
                del self.boxes[address]

    def told(self, now: float, name: str, stated: Iterable[Stated]) -> None:
        """A source's whole list, fresh.

        Of several lines at one address the drained one counts, else the one with the lowest priority and the
        largest weight: one box has one limit.
        """
        source = self.sources[name]
        fresh: dict[str, Stated] = {}
        for s in sorted(stated, key=lambda s: (not s.draining, s.priority, -s.weight, s.name)):
            fresh.setdefault(s.address, s)
        gone = [a for a in source.listed if a not in fresh]
        # A release in small steps is no mass: only what went within `step_s` counts together.
        lately = [
            a for a, (at, _) in source.dropped.items() if now - at < self.limits.step_s and a not in fresh
        ]
        missing = len(set(gone) | set(lately))
        mass = missing >= self.limits.mass_least and missing > self.limits.mass * (len(fresh) + missing)
        for address in gone:
            source.dropped[address] = (now, mass)
        if mass:
            for address in lately:
                source.dropped[address] = (source.dropped[address][0], True)
        for address in fresh:
            source.dropped.pop(address, None)
        source.listed = {a: s for a, s in fresh.items() if not s.draining}
        # A drain stays until its source lists the box in service, or drops it.
        source.drains = {a for a, s in fresh.items() if s.draining}
        source.credit, source.told_at = Credit.FRESH, now

    def worth(self, name: str, credit: Credit) -> None:
        """A source's list is worth less now, or is an old one kept from before the start."""
        source = self.sources[name]
        # Guards against: what was lost vouches again, and drains again, without a word from its source.
        if source.credit != Credit.LOST:
            source.credit = credit

    def hold(self, names: Iterable[str]) -> None:
        """What operators hold out, by name or address; it stands above every source."""
        self.out = set(names)

    # ---- what comes of it -------------------------------------------------------------------------------

    def evidence(self, address: str, now: float) -> dict[str, Evidence]:
        """Each source's word on a box."""
        return {s.name: Evidence(s.rank, s.word(address, now, self.limits)) for s in self.sources.values()}

    def settle(self, now: float) -> Mapping[str, Box]:
        """Applies the rule to every box and returns those that exist; forgets boxes that are gone."""
        ranked = sorted(self.sources.values(), key=lambda s: s.rank)
        addresses = dict.fromkeys(a for s in ranked for a in (*s.listed, *s.drains))
        for address in (*addresses, *(a for a in list(self.boxes) if a not in addresses)):
            self.one(now, address, ranked)
        self.forget(now)
        return self.boxes

    def one(self, now: float, address: str, ranked: list[Source]) -> None:
        outcome, line = decide(list(self.evidence(address, now).values()))
        box = self.boxes.get(address)
        said = [s.listed[address] for s in ranked if address in s.listed]
        if outcome == Outcome.GONE or (box is None and outcome == Outcome.KEEP):
            if box is not None:
                del self.boxes[address]
            return
        if box is None:
            stated = said[0] if said else Stated(address, address, draining=True)
            box = self.boxes[address] = Box(address, outcome, line, False, stated, frozenset())
            box.changes.append(Change(now, outcome, line))
        elif (box.outcome, box.line) != (outcome, line):
            box.changes.append(Change(now, outcome, line))
        box.outcome, box.line = outcome, line
        if said:
            box.stated = said[0]
            box.names = frozenset(s.name for s in said)
        held = address in self.out or bool(box.names & self.out)
        # Kept as it was: one that was drained stays so.
        wanted = outcome == Outcome.USE or (outcome == Outcome.KEEP and not box.stated.draining and box.used)
        box.used = wanted and not held

    def forget(self, now: float) -> None:
        """Guards against: boxes that come and go all day are remembered as dropped for good."""
        keep = 10 * self.limits.step_s
        for s in self.sources.values():
            others = {a for o in self.sources.values() if o is not s for a in o.listed}
            s.dropped = {a: d for a, d in s.dropped.items() if a in others or now - d[0] < keep}


class Priorities:
    """Which priorities are in use: the first, and the next ones only while the first are short of healthy boxes.

    With hysteresis: a next one comes in under `enter` of healthy boxes, and goes at `leave`.
    """

    def __init__(self, enter: float = 0.5, leave: float = 0.7) -> None:
        """ValueError where `leave` is not above `enter`."""
        if not 0 < enter < leave <= 1:
            raise ValueError("0 < enter < leave <= 1")
        self.enter, self.leave = enter, leave
        self.open: set[int] = set()  # priorities after which the next one is in use too

    def used(self, healthy: Mapping[int, tuple[int, int]]) -> list[int]:
        """The priorities to use, the first one first. `healthy`: by priority, how many are healthy, and of how many."""
        found = []
        self.open &= set(healthy)
        for priority in sorted(healthy):
            found.append(priority)
            good, there = healthy[priority]
            share = good / there if there else 0.0
            if share < self.enter:
                self.open.add(priority)
            elif share >= self.leave:
                self.open.discard(priority)
            if priority not in self.open:
                break
        return found
