"""When server processes became ready, on this node's monotonic clock: free of I/O.

Discovery tells a start as Unix time (`startedAtMs`), by a clock that may be hours away from this node's wall clock, and
either may be stepped. A process that is taken for older than it is gets more than a cold server can bear. So the wall
clock is evidence only, bounded by what this node has seen: nobody starts in the future, and a process that appears
after lists without it cannot have started before the last of them. Only of the first list's processes nothing else
than the wall clock is known.
"""

from __future__ import annotations

from typing import NamedTuple

LONG_AGO = 0  # a process that is warm, whenever it started
MAX_START_TIMES = 16_384  # servers whose processes are remembered, also while no list names them


class ProcessStart(NamedTuple):
    """One process of a server."""

    started: int  # Unix milliseconds, as discovery tells it
    ready_at: int  # monotonic microseconds, fixed once: the module takes another time for another process


class StartTimes:
    """What is known of each server's latest process. Times are monotonic microseconds."""

    __slots__ = ("unix_offset", "known", "absent_at")

    def __init__(self, unix_offset: int) -> None:
        """`unix_offset` is the wall clock's Unix time less the monotonic time, in microseconds, at one moment."""
        self.unix_offset = unix_offset
        self.known: dict[str, ProcessStart] = {}
        self.absent_at = LONG_AGO  # a process that no list has named by now was not listed at that time

    def listed_all(self, now: int) -> None:
        """Discovery has just told that the list in hand is all there is."""
        self.absent_at = now

    def ready_at(self, name: str, started: int, now: int) -> int:
        """When that process of the server became ready."""
        known = self.known.get(name)
        if known is not None and known.started == started:
            return known.ready_at
        ready_at = self.judge(started, now)
        self.known.pop(name, None)
        self.known[name] = ProcessStart(started, ready_at)
        while len(self.known) > MAX_START_TIMES:
            del self.known[next(iter(self.known))]
        return ready_at

    def judge(self, started: int, now: int) -> int:
        """Of a process never seen before."""
        if started <= 0:
            return LONG_AGO
        told = started * 1000 - self.unix_offset
        return max(1, min(now, max(told, self.absent_at)))
