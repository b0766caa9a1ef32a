"""Who says what of each box, since when and until when; the list that the rule makes of it. Free of I/O.

A box is its address: two names at one address are one box with one limit, and one whose address moves is another.
Times are seconds of a clock that never goes back.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from heapq import heappop, heappush

from harecross.sources.rule import Evidence, Line, Outcome, Word, decide

CHANGES_KEPT = 5  # of each box, for operators
GONE_KEPT = 1000  # boxes that went, for operators
FLAPS = 3  # a source that has dropped a box so often over ten `step_s` flaps on it (after RFC 2439's idea)
KEEP_STEPS = 10  # a drop that no other source contradicts is forgotten after so many times `step_s`


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
    drains: dict[str, Stated] = field(default_factory=dict)
    flaps: dict[str, list[float]] = field(default_factory=dict)  # when it was dropped, over the last while
    told_at: float | None = None

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
            return Word.FLAP_NO if len(self.flaps.get(address, ())) >= FLAPS else Word.NEW_NO
        return Word.MASS_NO if mass else Word.NO

    def knows(self, address: str) -> bool:
        """Whether it says anything of a box, or has."""
        return address in self.listed or address in self.drains or address in self.dropped


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
    wanted: bool  # by the rule it gets new work...
    used: bool  # ...and no operator holds it out
    stated: Stated  # by the source that ranks highest among those that know it
    names: frozenset[str]
    born: (
        float | None
    )  # when it was first listed, or again after a drain; None where it was there from the start
    changes: deque[Change] = field(default_factory=lambda: deque(maxlen=CHANGES_KEPT))


class Ledger:
    """All sources' words, and the boxes they make.

    The work of `settle` goes by what has changed, not by how many boxes or sources there are.
    """

    def __init__(self, limits: Limits | None = None) -> None:
        self.limits = limits or Limits()
        self.sources: dict[str, Source] = {}
        self.boxes: dict[str, Box] = {}
        self.gone: OrderedDict[str, Box] = OrderedDict()  # the last ones that went, for operators
        self.out: set[str] = set()  # names or addresses that operators hold out
        self.changed: set[str] = set()  # addresses whose box came, went or changed since `take_changed`
        self.knowing: dict[str, set[str]] = {}  # by address: the sources that know it
        self.touched: set[str] = set()  # addresses whose evidence has changed since the last `settle`
        self.first: set[str] = set()  # those of them that come from a source's first list
        self.ripening: list[tuple[float, str]] = []  # a heap: when a drop is new no longer
        self.fading: list[
            tuple[float, str, str]
        ] = []  # a heap: when a drop may be forgotten, and by which source

    # ---- what is told ---------------------------------------------------------------------------------

    def add(self, name: str, rank: int) -> None:
        """A source; one of that name keeps what it has said, and takes the rank."""
        known = self.sources.get(name)
        if known is None:
            self.sources[name] = Source(name, rank)
        elif known.rank != rank:
            known.rank = rank
            self.touch(known)

    def remove(self, name: str) -> None:
        """A source that is configured no longer. What it alone listed is gone; what others list stays."""
        source = self.sources.pop(name, None)
        if source is None:
            return
        for address in {*source.listed, *source.drains, *source.dropped}:
            self.unknow(name, address)
            self.touched.add(address)
            box = self.boxes.get(address)
            if box is not None and not any(address in s.listed for s in self.sources.values()):
                self.bury(address)

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
        before = {**source.listed, **source.drains}
        while_ago = now - KEEP_STEPS * self.limits.step_s
        for address in gone:
            source.dropped[address] = (now, mass)
            source.flaps[address] = [t for t in source.flaps.get(address, ()) if t > while_ago][-FLAPS:] + [
                now
            ]
            heappush(self.ripening, (now + self.limits.step_s, address))
            heappush(self.fading, (now + KEEP_STEPS * self.limits.step_s, name, address))
        if mass:
            for address in lately:
                source.dropped[address] = (source.dropped[address][0], True)
        for address in fresh:
            source.dropped.pop(address, None)
        source.listed = {a: s for a, s in fresh.items() if not s.draining}
        # A drain stays until its source lists the box in service, or drops it.
        source.drains = {a: s for a, s in fresh.items() if s.draining}
        if source.credit != Credit.FRESH:
            self.touch(source)
            if source.told_at is None:
                self.first.update(a for a in source.listed if a not in self.boxes)
        for address in (*before, *fresh):
            if before.get(address) != fresh.get(address):
                self.touched.add(address)
                if source.knows(address):
                    self.knowing.setdefault(address, set()).add(name)
                else:
                    self.unknow(name, address)
        source.credit, source.told_at = Credit.FRESH, now

    def worth(self, name: str, credit: Credit) -> None:
        """A source's list is worth less now, or is an old one kept from before the start."""
        source = self.sources[name]
        # Guards against: what was lost vouches again, and drains again, without a word from its source.
        if source.credit not in (Credit.LOST, credit):
            source.credit = credit
            self.touch(source)

    def hold(self, names: Iterable[str]) -> None:
        """What operators hold out, by name or address; it stands above every source."""
        out = set(names)
        if out != self.out:
            moved, self.out = out ^ self.out, out
            self.touched.update(a for a, b in self.boxes.items() if a in moved or b.names & moved)

    def touch(self, source: Source) -> None:
        self.touched.update(source.listed, source.drains, source.dropped)

    def unknow(self, name: str, address: str) -> None:
        names = self.knowing.get(address)
        if names is not None:
            names.discard(name)
            if not names:
                del self.knowing[address]

    # ---- what comes of it -------------------------------------------------------------------------------

    def evidence(self, address: str, now: float) -> dict[str, Evidence]:
        """Each source's word on a box."""
        return {s.name: Evidence(s.rank, s.word(address, now, self.limits)) for s in self.sources.values()}

    def settle(self, now: float) -> Mapping[str, Box]:
        """Applies the rule to every box of which anything has changed, and returns those that exist."""
        while self.ripening and self.ripening[0][0] <= now:
            self.touched.add(heappop(self.ripening)[1])
        touched, self.touched = self.touched, set()
        for address in touched:
            self.one(now, address)
        self.first.clear()
        self.forget(now)
        return self.boxes

    def due(self) -> float | None:
        """When `settle` has work again by the passing of time alone."""
        return self.ripening[0][0] if self.ripening else None

    def take_changed(self) -> set[str]:
        """Addresses whose box came, went or changed since the last call."""
        changed, self.changed = self.changed, set()
        return changed

    def one(self, now: float, address: str) -> None:
        # A source that knows nothing of a box has no say in it: NEVER and SILENT decide nothing.
        knowing = sorted(
            (self.sources[n] for n in self.knowing.get(address, ())), key=lambda s: (s.rank, s.name)
        )
        outcome, line = decide([Evidence(s.rank, s.word(address, now, self.limits)) for s in knowing])
        box = self.boxes.get(address)
        speaking = [s.listed[address] for s in knowing if address in s.listed]
        speaking = speaking or [s.drains[address] for s in knowing if address in s.drains]
        if outcome == Outcome.GONE or (box is None and outcome == Outcome.KEEP):
            if box is not None:
                box.changes.append(Change(now, outcome, line))
                box.outcome, box.line = outcome, line
                self.bury(address)
            return
        if box is None:
            stated = speaking[0] if speaking else Stated(address, address, draining=True)
            born = None if address in self.first else now
            box = self.boxes[address] = Box(address, outcome, line, False, False, stated, frozenset(), born)
            box.changes.append(Change(now, outcome, line))
        elif (box.outcome, box.line) != (outcome, line):
            if box.outcome == Outcome.DRAIN and outcome == Outcome.USE:
                # A box that was drained and is listed again has been restarted, as far as anyone tells.
                box.born = now
            box.changes.append(Change(now, outcome, line))
        box.outcome, box.line = outcome, line
        if speaking:
            box.stated = speaking[0]
            box.names = frozenset(s.name for s in speaking)
        held = address in self.out or bool(box.names & self.out)
        # Kept as it was: one that was drained stays so.
        kept = outcome == Outcome.KEEP and not box.stated.draining and box.wanted
        box.wanted = outcome == Outcome.USE or kept
        box.used = box.wanted and not held
        self.changed.add(address)

    def bury(self, address: str) -> None:
        """A box is gone; what became of it stays to be asked for a while."""
        self.gone[address] = self.boxes.pop(address)
        self.gone.move_to_end(address)
        self.changed.add(address)
        while len(self.gone) > GONE_KEPT:
            self.gone.popitem(last=False)

    def forget(self, now: float) -> None:
        """Guards against: boxes that come and go all day are remembered as dropped for good."""
        while self.fading and self.fading[0][0] <= now:
            _, name, address = heappop(self.fading)
            source = self.sources.get(name)
            if source is None:
                continue
            flaps = source.flaps.get(address, [now])
            if flaps[-1] + KEEP_STEPS * self.limits.step_s <= now:
                source.flaps.pop(address, None)
            if address not in source.dropped:
                continue
            at = source.dropped[address][0] + KEEP_STEPS * self.limits.step_s
            others = self.knowing.get(address, set()) - {name}
            if at > now or any(address in self.sources[o].listed for o in others):
                # Dropped anew since, or others still list it: looked at again later.
                heappush(self.fading, (max(at, now + self.limits.step_s), name, address))
                continue
            del source.dropped[address]
            self.unknow(name, address)


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
