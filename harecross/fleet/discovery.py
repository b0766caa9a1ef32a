"""A model of a discovery service: one queue of calls, served in order of arrival at a fixed rate.

A call that has waited for the call timeout fails, but still uses capacity, because the service processes it anyway. A
call that arrives while the queue is longer than `max_queue_timeouts` timeouts is rejected immediately and uses no
capacity.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DiscoveryCapacity:
    """The capacity of a discovery service. Raises ValueError for a value that is not greater than 0.

    Attributes:
        calls_per_second: The number of calls that the service processes per second.
        call_timeout_s: The time in seconds after which a waiting call fails.
        max_queue_timeouts: The queue length above which calls are rejected, as a multiple of the call timeout.
    """

    calls_per_second: float = 8.0
    call_timeout_s: float = 2.0
    max_queue_timeouts: float = 3.0

    def __post_init__(self) -> None:
        for name in self.__slots__:
            if getattr(self, name) <= 0:
                raise ValueError(f"{name}: {getattr(self, name)!r} is not greater than 0")


@dataclass(frozen=True, slots=True)
class CallResult:
    """When a call ends, and whether its response is a list."""

    ended_at: float
    succeeded: bool


class DiscoveryQueue:
    """The queue of calls that wait for a discovery service.

    Attributes:
        idle_at: When the service will have processed all calls that are queued now.
        accepted: The number of calls that entered the queue.
        rejected: The number of calls that were rejected because the queue was too long.
        wasted: The number of accepted calls that the service processed after they had failed.
    """

    __slots__ = ("accepted", "capacity", "idle_at", "rejected", "wasted")

    def __init__(self, capacity: DiscoveryCapacity) -> None:
        self.capacity = capacity
        self.idle_at = 0.0
        self.accepted = 0
        self.rejected = 0
        self.wasted = 0

    def backlog_s(self, now: float) -> float:
        """Returns how long the service needs for the calls that are queued now, in seconds."""
        return max(0.0, self.idle_at - now)

    def call(self, now: float) -> CallResult:
        """Adds a call to the queue or rejects it, and returns how it will end."""
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
