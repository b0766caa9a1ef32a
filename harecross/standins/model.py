"""A model of one server without I/O: slots, a queue, slow start, slowdown, draining, idempotency keys.

`servers.py` runs it on sockets; a simulation passes its own `now_us`. Times are microseconds of one clock; work is
microseconds on one slot at speed 1.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable
from dataclasses import dataclass, field
from typing import NamedTuple


@dataclass(slots=True)
class ServerCapacity:
    """What a server can do. ValueError for values that cannot be."""

    slots: int = 8  # requests that it processes at once
    queue: int = 64  # requests that may wait for a slot
    speed: float = 1.0  # work is divided by it
    slow_start_speed: float = 1.0  # at its start, as a fraction of its speed; rises evenly to 1
    slow_start_us: int = 0  # until it has its full speed

    def __post_init__(self) -> None:
        if self.slots < 1 or self.queue < 0 or self.speed <= 0 or not 0 < self.slow_start_speed <= 1:
            raise ValueError(
                f"{self}: a server has a slot or more, a positive speed and a slow-start speed in (0, 1]"
            )


@dataclass(slots=True)
class KeyCache:
    """The idempotency keys that the servers of one cell remember, with the time at which each took effect."""

    window_us: int = 5_000_000
    keys: dict[bytes, int] = field(default_factory=dict)
    effects: int = 0  # keys that took effect
    repeats: int = 0  # how often a key came again within the window

    def add(self, now_us: int, key: bytes) -> bool:
        """Adds a key; False if it took effect within the window before."""
        for old_key, added_us in list(self.keys.items()):
            if added_us + self.window_us > now_us:
                break
            del self.keys[old_key]
        if key in self.keys:
            self.repeats += 1
            return False
        self.keys[key] = now_us
        self.effects += 1
        return True

    def undo(self, key: bytes) -> None:
        """Removes a key whose request was not processed."""
        self.keys.pop(key, None)
        self.effects -= 1


class StartedRequest(NamedTuple):
    """A request that has got a slot."""

    request: Hashable
    ends_us: int


class ServerModel:
    """The slots and the queue of one server process."""

    __slots__ = (
        "capacity",
        "completed",
        "draining",
        "rejected",
        "running",
        "slowdown",
        "started_us",
        "waiting",
        "worked_us",
    )  # fmt: skip

    def __init__(self, capacity: ServerCapacity, started_us: int) -> None:
        self.capacity = capacity
        self.started_us = started_us
        self.slowdown = 1.0  # work takes so many times longer
        self.running: dict[Hashable, int] = {}  # by request: when it ends
        self.waiting: deque[tuple[Hashable, int]] = deque()  # requests and their work
        self.draining = False
        self.rejected = 0
        self.completed = 0
        self.worked_us = 0  # of all slots

    def speed(self, now_us: int) -> float:
        """The present speed of one slot."""
        capacity = self.capacity
        fraction = 1.0
        if capacity.slow_start_us > 0 and now_us < self.started_us + capacity.slow_start_us:
            elapsed = (now_us - self.started_us) / capacity.slow_start_us
            fraction = capacity.slow_start_speed + (1 - capacity.slow_start_speed) * elapsed
        return capacity.speed * fraction / self.slowdown

    def add(self, now_us: int, request: Hashable, work_us: int) -> int | None:
        """When the request will be complete; 0 if it waits for a slot, None if it is rejected."""
        if request in self.running:
            raise ValueError(f"{request!r} is running already")
        if len(self.running) < self.capacity.slots:
            return self._start(now_us, request, work_us)
        if self.draining or len(self.waiting) >= self.capacity.queue:
            self.rejected += 1
            return None
        self.waiting.append((request, work_us))
        return 0

    def _start(self, now_us: int, request: Hashable, work_us: int) -> int:
        duration_us = max(1, int(work_us / self.speed(now_us)))
        self.worked_us += duration_us
        self.running[request] = now_us + duration_us
        return now_us + duration_us

    def complete(self, now_us: int, request: Hashable) -> StartedRequest | None:
        """Ends a request, and returns the one that gets its slot."""
        del self.running[request]
        self.completed += 1
        if not self.waiting:
            return None
        next_request, work_us = self.waiting.popleft()
        return StartedRequest(next_request, self._start(now_us, next_request, work_us))

    def cancel(self, request: Hashable) -> bool:
        """Drops a request that waits; a running one goes on. Whether it was dropped."""
        for item in self.waiting:
            if item[0] == request:
                self.waiting.remove(item)
                return True
        return False
