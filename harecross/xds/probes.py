"""Which servers are due a probe. Free of I/O. Times are microseconds."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field
from random import Random


@dataclass(slots=True)
class Schedule:
    """Each server once an interval, spread over it, and never twice at once."""

    interval: int
    rng: Random
    due_at: dict[int, int] = field(default_factory=dict)
    out: set[int] = field(default_factory=set)

    def due(self, now: int, servers: Collection[int]) -> list[int]:
        """The servers to probe now; one never seen before is due within a first interval."""
        for gone in self.due_at.keys() - set(servers):
            del self.due_at[gone]
            self.out.discard(gone)
        found = []
        for server in servers:
            at = self.due_at.get(server)
            if at is None:
                # Failure prevented: after a start all servers are probed in one instant, and again each interval.
                self.due_at[server] = now + int(self.rng.random() * self.interval)
            elif at <= now and server not in self.out:
                self.due_at[server] = max(at + self.interval, now)
                self.out.add(server)
                found.append(server)
        return found

    def ended(self, server: int) -> None:
        self.out.discard(server)
