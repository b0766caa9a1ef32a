"""A model of a discovery service without I/O: one queue of calls, served in order at a fixed rate.

A call that has waited for the call timeout fails, and is processed all the same. A call that would wait longer than
`max_queue_timeouts` timeouts is rejected at once and takes no capacity.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DiscoveryCapacity:
    """What a discovery service can do. ValueError for a value that is not above 0."""

    calls_per_second: float = 8.0
    call_timeout_s: float = 2.0
    max_queue_timeouts: float = 3.0  # the longest queue, as a multiple of the call timeout

    def __post_init__(self) -> None:
        for name in self.__slots__:
            if getattr(self, name) <= 0:
                raise ValueError(f"{name}: {getattr(self, name)!r} is not above 0")


@dataclass(frozen=True, slots=True)
class CallResult:
    """When a call ends, and whether it gets a list."""

    ended_at: float
    succeeded: bool


class DiscoveryQueue:
    """The calls that wait for a discovery service."""

    __slots__ = ("accepted", "capacity", "idle_at", "rejected", "wasted")

    def __init__(self, capacity: DiscoveryCapacity) -> None:
        self.capacity = capacity
        self.idle_at = 0.0  # when all calls that wait now have been processed
        self.accepted = 0
        self.rejected = 0
        self.wasted = 0  # calls processed after they had failed

    def backlog_s(self, now: float) -> float:
        """Seconds of work that wait."""
        return max(0.0, self.idle_at - now)

    def call(self, now: float) -> CallResult:
        """Adds a call to the queue, and returns how it will end."""
        capacity = self.capacity
        if self.backlog_s(now) > capacity.max_queue_timeouts * capacity.call_timeout_s:
            self.rejected += 1
            return CallResult(now, succeeded=False)
        self.accepted += 1
        self.idle_at = max(now, self.idle_at) + 1 / capacity.calls_per_second
        if self.idle_at - now <= capacity.call_timeout_s:
            return CallResult(self.idle_at, succeeded=True)
        self.wasted += 1
        return CallResult(now + capacity.call_timeout_s, succeeded=False)
