"""Which priorities are in use. Free of I/O."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple


class Health(NamedTuple):
    """How many of a priority's endpoints are healthy."""

    healthy: int
    total: int

    @property
    def share(self) -> float:
        """The healthy part; 0 of none."""
        return self.healthy / self.total if self.total else 0.0


class PriorityOverflow:
    """Uses the first priority, and each next one only while the ones before it are short of healthy endpoints.

    With hysteresis: the next priority is used once the healthy share is below `enter`, until it reaches `leave`.
    """

    def __init__(self, enter: float = 0.5, leave: float = 0.7) -> None:
        """ValueError where `leave` is not above `enter`."""
        if not 0 < enter < leave <= 1:
            raise ValueError(f"overflow: 0 < enter < leave <= 1, not {enter:g} and {leave:g}")
        self.enter, self.leave = enter, leave
        self.overflowing: set[int] = set()  # priorities after which the next one is used too

    def in_use(self, health: Mapping[int, Health]) -> list[int]:
        """The priorities to use, the first one first, by the health of each."""
        used = []
        self.overflowing &= set(health)
        for priority in sorted(health):
            used.append(priority)
            share = health[priority].share
            if share < self.enter:
                self.overflowing.add(priority)
            elif share >= self.leave:
                self.overflowing.discard(priority)
            if priority not in self.overflowing:
                break
        return used
