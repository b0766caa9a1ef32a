"""A model of discovery where lists are asked for, free of I/O: one service that works through calls in turn.

A call that has waited `timeout` is failed, and is worked through all the same; a call that would wait longer than
`overbook` time-outs is turned away at once and costs nothing (BENCH, "[discovery]").
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Shape:
    """What discovery can do. Times in seconds. ValueError where that cannot be."""

    rate: float = 8.0  # calls a second
    timeout: float = 2.0
    overbook: float = 3.0  # time-outs of work that may stand in line

    def __post_init__(self) -> None:
        if self.rate <= 0 or self.timeout <= 0 or self.overbook <= 0:
            raise ValueError("a discovery's rate, time-out and overbooking are above 0")


@dataclass(frozen=True, slots=True)
class Reply:
    """When a call gets its word, or is failed."""

    at: float
    good: bool


class Desk:
    """The line in front of discovery."""

    __slots__ = ("shape", "free_at", "taken", "turned_away", "in_vain")

    def __init__(self, shape: Shape) -> None:
        self.shape = shape
        self.free_at = 0.0  # when what stands in line now has been worked through
        self.taken = 0
        self.turned_away = 0
        self.in_vain = 0  # worked through after its caller had been failed

    def backlog(self, now: float) -> float:
        """Seconds of work that stand in line."""
        return max(0.0, self.free_at - now)

    def call(self, now: float) -> Reply:
        """A call comes."""
        s = self.shape
        if self.backlog(now) > s.overbook * s.timeout:
            self.turned_away += 1
            return Reply(now, False)
        self.taken += 1
        self.free_at = max(now, self.free_at) + 1 / s.rate
        if self.free_at - now <= s.timeout:
            return Reply(self.free_at, True)
        self.in_vain += 1
        return Reply(now + s.timeout, False)
