"""The account of a replay, free of I/O: service is the worth answered in time over the worth asked for.

A client's retries stand under its first try, and a request's time counts from when it was due, so that
neither a retry nor a stalled system makes the figures better. Times are integer microseconds.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any

LATENESS_BOUND = 5_000  # microseconds at the 99th percentile: beyond it the run measures its own generator


class End(IntEnum):
    """What became of a first try."""

    OPEN = 0
    IN_TIME = 1
    LATE = 2
    REFUSED = 3
    FAILED = 4


NAMES = ("open", "served_in_time", "served_late", "refused", "failed")


@dataclass(frozen=True, slots=True)
class Klass:
    """One class of requests as clients see it."""

    name: str
    effect: str  # safe, keyed or unsafe
    worth: float
    aim: int
    deadline: int


@dataclass(slots=True)
class Tally:
    """Counts of first tries and their worth."""

    ends: list[int] = field(default_factory=lambda: [0] * len(End))
    worth_asked: float = 0.0
    worth_in_time: float = 0.0
    tries: int = 0

    @property
    def asked(self) -> int:
        return sum(self.ends)

    def figures(self) -> dict[str, Any]:
        """As the JSON report has it."""
        counts = {name: self.ends[end] for end, name in enumerate(NAMES)}
        return {
            "asked": self.asked,
            **counts,
            "worth_asked": round(self.worth_asked, 6),
            "worth_in_time": round(self.worth_in_time, 6),
            "service": round(self.worth_in_time / self.worth_asked, 6) if self.worth_asked else None,
            "tries": self.tries,
        }


class Account:
    """All first tries of one run, in whole, by class and by window of the time they were due."""

    def __init__(self, classes: Sequence[Klass], window: int) -> None:
        if window <= 0:
            raise ValueError("window is above 0")
        self.classes = classes
        self.window = window
        self.whole = Tally()
        self.by_class = [Tally() for _ in classes]
        self.windows: list[Tally] = []
        self.open: dict[int, tuple[int, int]] = {}  # first tries without an end: class, due

    def tallies(self, klass: int, due: int) -> tuple[Tally, Tally, Tally]:
        at = due // self.window
        while len(self.windows) <= at:
            self.windows.append(Tally())
        return self.whole, self.by_class[klass], self.windows[at]

    def ask(self, ask: int, klass: int, due: int) -> None:
        """A first try falls due. ValueError for one that was asked already."""
        if ask in self.open:
            raise ValueError(f"request {ask} is asked twice")
        self.open[ask] = klass, due
        for t in self.tallies(klass, due):
            t.ends[End.OPEN] += 1
            t.worth_asked += self.classes[klass].worth

    def sent(self, ask: int) -> None:
        """One more try of it goes out, the first or a client's retry."""
        klass, due = self.open[ask]
        for t in self.tallies(klass, due):
            t.tries += 1

    def end(self, ask: int, now: int, how: End) -> End:
        """Its one end; a served one is in time or late by the clock since it was due. KeyError for a second."""
        klass, due = self.open.pop(ask)
        c = self.classes[klass]
        if how in (End.IN_TIME, End.LATE):
            how = End.IN_TIME if now - due <= c.aim else End.LATE
        for t in self.tallies(klass, due):
            t.ends[End.OPEN] -= 1
            t.ends[how] += 1
            if how == End.IN_TIME:
                t.worth_in_time += c.worth
        return how

    def check(self) -> list[str]:
        """What does not add up; nothing if all does."""
        wrong = []
        if self.whole.ends[End.OPEN] != len(self.open):
            wrong.append(f"{self.whole.ends[End.OPEN]} counted open, {len(self.open)} are")
        for what, parts in (("classes", self.by_class), ("windows", self.windows)):
            for end in End:
                total = sum(t.ends[end] for t in parts)
                if total != self.whole.ends[end]:
                    wrong.append(f"{NAMES[end]}: {self.whole.ends[end]} in whole, {total} over {what}")
        return wrong


def retry_after(
    how: End, effect: str, tries: int, retries: int, told: int | None, backoff: int
) -> int | None:
    """How long a client waits before it tries again, in microseconds; None if it does not.

    A refusal is harmless to repeat. After a failure only what is safe, or carries a key, is sent again.
    """
    if tries > retries or (how != End.REFUSED and effect == "unsafe"):
        return None
    return max(backoff, told or 0)
