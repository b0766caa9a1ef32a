"""Which servers are due a health check. Free of I/O. Times are microseconds."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field
from random import Random


@dataclass(slots=True)
class HealthCheckSchedule:
    """Checks each server once an interval, spread over it, and never twice at once."""

    interval: int
    rng: Random
    due_at: dict[int, int] = field(default_factory=dict)
    in_progress: set[int] = field(default_factory=set)

    def take_due(self, now: int, servers: Collection[int]) -> list[int]:
        """The servers to check now; a new one is due within its first interval."""
        for removed in self.due_at.keys() - set(servers):
            del self.due_at[removed]
            self.in_progress.discard(removed)
        due = []
        for server in servers:
            due_at = self.due_at.get(server)
            if due_at is None:
                # Spread, or all servers would be checked at one instant after a start, and again each interval.
                self.due_at[server] = now + int(self.rng.random() * self.interval)
            elif due_at <= now and server not in self.in_progress:
                self.due_at[server] = max(due_at + self.interval, now)
                self.in_progress.add(server)
                due.append(server)
        return due

    def complete(self, server: int) -> None:
        """A check has ended."""
        self.in_progress.discard(server)
