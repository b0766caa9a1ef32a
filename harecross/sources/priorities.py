"""Chooses which priorities are in use, by the health of their endpoints."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple


class Health(NamedTuple):
    """The number of healthy endpoints of a priority, and of all its endpoints."""

    healthy: int
    total: int

    @property
    def share(self) -> float:
        """The share of endpoints that are healthy; 0 if there are no endpoints."""
        return self.healthy / self.total if self.total else 0.0


class PriorityOverflow:
    """Uses the first priority, and each further one only while all before it lack healthy endpoints.

    There is a hysteresis: the next priority comes into use when the share of healthy endpoints falls below `enter`,
    and stays in use until that share reaches `leave`.

    Attributes:
        enter: The share of healthy endpoints below which the next priority is used too.
        leave: The share of healthy endpoints at which the next priority is no longer used.
        overflowing: The priorities that currently make the next priority come into use.
    """

    def __init__(self, enter: float = 0.5, leave: float = 0.7) -> None:
        """Raises ValueError unless 0 < `enter` < `leave` <= 1."""
        if not 0 < enter < leave <= 1:
            raise ValueError(
                f"overflow: expected 0 < enter < leave <= 1, got enter {enter:g} and leave {leave:g}"
            )
        self.enter, self.leave = enter, leave
        self.overflowing: set[int] = set()

    def in_use(self, health: Mapping[int, Health]) -> list[int]:
        """Returns the priorities to use, in ascending order, given the health of each priority."""
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
