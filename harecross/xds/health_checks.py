"""Schedules the health checks of servers. Times are in microseconds."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field
from random import Random


@dataclass(slots=True)
class HealthCheckSchedule:
    """Schedules one health check per server and interval, spread over the interval.

    A server is not checked again while its previous check is in progress.

    Attributes:
        interval: The time between two checks of a server.
        rng: The source of the random time of a server's first check.
        due_at: When each server's next check is due, by the server's number.
        in_progress: The servers that are being checked.
    """

    interval: int
    rng: Random
    due_at: dict[int, int] = field(default_factory=dict)
    in_progress: set[int] = field(default_factory=set)

    def take_due(self, now: int, servers: Collection[int]) -> list[int]:
        """Returns the servers to check now, and marks their checks as in progress.

        A server that is new in `servers` is due at a random time within one interval.
        """
        for removed in self.due_at.keys() - set(servers):
            del self.due_at[removed]
            self.in_progress.discard(removed)
        due = []
        for server in servers:
            due_at = self.due_at.get(server)
            if due_at is None:
                # Without a random offset, all servers would be checked at the same instant after a start, and
                # again in each interval.
                self.due_at[server] = now + int(self.rng.random() * self.interval)
            elif due_at <= now and server not in self.in_progress:
                self.due_at[server] = max(due_at + self.interval, now)
                self.in_progress.add(server)
                due.append(server)
        return due

    def complete(self, server: int) -> None:
        """Records that the health check of a server has finished."""
        self.in_progress.discard(server)
