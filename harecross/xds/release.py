"""When a change goes out: what is urgent at once, the rest together at a least interval. Free of I/O.

Times are microseconds.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from harecross.xds.publish import Told, urgent


@dataclass(slots=True)
class Release:
    """What has been published of each cluster, and what waits."""

    interval: int  # between two releases of what can wait
    out: dict[str, Told] = field(default_factory=dict)
    waiting: dict[str, Told | None] = field(default_factory=dict)  # None: the cluster is gone
    hurry: set[str] = field(default_factory=set)
    last: int = 0

    def offer(self, name: str, told: Told) -> None:
        """What is thought of a cluster now. The newest counts; what is as published waits for nothing."""
        before = self.out.get(name)
        if before is None:
            self.hurry.add(name)
        elif before.same(told):
            self.waiting.pop(name, None)
            self.hurry.discard(name)
            return
        elif before.endpoints is None or told.endpoints is None or urgent(before.endpoints, told.endpoints):
            self.hurry.add(name)
        else:
            # Guards against: a doubt that is taken back before it goes out still goes out in a hurry.
            self.hurry.discard(name)
        self.waiting[name] = told

    def withdraw(self, name: str) -> None:
        """The cluster is no longer configured."""
        self.waiting[name] = None

    def due(self, now: int) -> tuple[Mapping[str, Told], frozenset[str]] | None:
        """All clusters as they are to be from now on and which of them hurry; None if nothing is due.

        Failure prevented: weights that change all the time keep every proxy busy, and a drain waits behind
        them. What hurries takes along nothing but its own cluster.
        """
        if not self.waiting:
            return None
        hurry = frozenset(self.hurry)
        if self.wait(now) == 0:
            names = set(self.waiting)
            self.last = now
        elif hurry:
            names = set(hurry)
        else:
            return None
        for name in names:
            told = self.waiting.pop(name)
            if told is None:
                self.out.pop(name, None)
            else:
                self.out[name] = told
        self.hurry.clear()
        return dict(self.out), hurry

    def wait(self, now: int) -> int:
        """Microseconds until what can wait goes out."""
        return max(0, self.last + self.interval - now)
