"""A model of one server without I/O: slots, a queue, slow start, slowdown, draining and idempotency keys.

`servers.py` runs the model with sockets; a simulation passes its own `now_us`. Times are in microseconds of one clock.
Work is the time in microseconds that a request takes on one slot at speed 1.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable
from dataclasses import dataclass, field
from typing import NamedTuple


@dataclass(slots=True)
class ServerCapacity:
    """The capacity of a server.

    Attributes:
        slots: Number of requests that are processed at once.
        queue: Number of requests that may wait for a slot.
        speed: Speed of one slot; the processing time is the work divided by the speed.
        slow_start_speed: Speed at the start of the process, as a fraction of `speed`; it rises linearly to 1.
        slow_start_us: Time after the start at which the full speed is reached.

    Raises:
        ValueError: A value is out of range.
    """

    slots: int = 8
    queue: int = 64
    speed: float = 1.0
    slow_start_speed: float = 1.0
    slow_start_us: int = 0

    def __post_init__(self) -> None:
        if self.slots < 1 or self.queue < 0 or self.speed <= 0 or not 0 < self.slow_start_speed <= 1:
            raise ValueError(
                f"{self}: expected slots >= 1, queue >= 0, speed > 0 and 0 < slow_start_speed <= 1"
            )


@dataclass(slots=True)
class KeyCache:
    """The idempotency keys that the servers of one cell share for deduplication.

    Attributes:
        window_us: Length of the deduplication window.
        keys: The time at which each key took effect, oldest first.
        effects: Number of keys that took effect.
        repeats: Number of times that a key was repeated within its window.
    """

    window_us: int = 5_000_000
    keys: dict[bytes, int] = field(default_factory=dict)
    effects: int = 0
    repeats: int = 0

    def add(self, now_us: int, key: bytes) -> bool:
        """Adds a key; returns False if the key has already taken effect within the deduplication window."""
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
    """A request that has been given a slot, and the time at which it will be complete."""

    request: Hashable
    ends_us: int


class ServerModel:
    """The slots and the queue of one server process.

    Attributes:
        capacity: The server's capacity.
        started_us: Start of the process.
        slowdown: Factor by which the processing time is longer than normal.
        running: The time at which each running request will be complete.
        waiting: The queued requests and their work.
        draining: If set, requests that find no free slot are rejected instead of queued.
        rejected: Number of rejected requests.
        completed: Number of completed requests.
        worked_us: Total processing time of all slots, including that of the running requests.
    """

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
        self.slowdown = 1.0
        self.running: dict[Hashable, int] = {}
        self.waiting: deque[tuple[Hashable, int]] = deque()
        self.draining = False
        self.rejected = 0
        self.completed = 0
        self.worked_us = 0

    def speed(self, now_us: int) -> float:
        """Returns the current speed of one slot."""
        capacity = self.capacity
        fraction = 1.0
        if capacity.slow_start_us > 0 and now_us < self.started_us + capacity.slow_start_us:
            elapsed = (now_us - self.started_us) / capacity.slow_start_us
            fraction = capacity.slow_start_speed + (1 - capacity.slow_start_speed) * elapsed
        return capacity.speed * fraction / self.slowdown

    def add(self, now_us: int, request: Hashable, work_us: int) -> int | None:
        """Starts, queues or rejects a request.

        Returns:
            The time at which the request will be complete, 0 if it waits for a slot, or None if it is rejected.

        Raises:
            ValueError: The request is already running.
        """
        if request in self.running:
            raise ValueError(f"request {request!r} is already running")
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
        """Completes a request, and returns the queued request that is given its slot, if any."""
        del self.running[request]
        self.completed += 1
        if not self.waiting:
            return None
        next_request, work_us = self.waiting.popleft()
        return StartedRequest(next_request, self._start(now_us, next_request, work_us))

    def cancel(self, request: Hashable) -> bool:
        """Removes a request from the queue; a running one continues. Returns whether it was removed."""
        for item in self.waiting:
            if item[0] == request:
                self.waiting.remove(item)
                return True
        return False
