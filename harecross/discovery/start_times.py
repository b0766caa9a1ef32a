"""Estimates when server processes became ready, on this node's monotonic clock.

Discovery states the start of a process as Unix time (`startedAtMs`), by a clock that may differ from this node's wall
clock by hours; both clocks may be stepped. A process that is assumed to be older than it is would get more requests
than a server in slow start can handle. The wall-clock estimate is therefore bounded by what this node has observed: no
process starts in the future, and a process that appears after full lists without it cannot have started before the last
of them. Only for the processes in the first list does the estimate depend on the wall clock alone.
"""

from __future__ import annotations

from typing import NamedTuple

LONG_AGO = 0  # ready time of a process whose slow start is over, whenever it started
# The number of servers whose start times are kept, including servers that no list names at the moment.
MAX_START_TIMES = 16_384


class ProcessStart(NamedTuple):
    """One process of a server.

    Attributes:
        started_ms: When the process started, in Unix milliseconds as discovery states it.
        ready_at: When the process became ready, in monotonic microseconds. It stays fixed, because the balancer treats
            a different time as a different process.
    """

    started_ms: int
    ready_at: int


class StartTimes:
    """The start of each server's latest process. Times are monotonic microseconds unless their names say otherwise.

    Attributes:
        by_name: The latest process of each server, by the server's name.
        last_complete_list_at: When a list was last known to be complete. A server that no list has named was not
            listed at that time.
    """

    __slots__ = ("by_name", "last_complete_list_at", "unix_offset")

    def __init__(self, unix_offset: int) -> None:
        """`unix_offset` is the wall clock's Unix time minus the monotonic time, in microseconds, at one moment."""
        self.unix_offset = unix_offset
        self.by_name: dict[str, ProcessStart] = {}
        self.last_complete_list_at = LONG_AGO

    def listing_complete(self, now: int) -> None:
        """Records that discovery has just confirmed the current list as complete."""
        self.last_complete_list_at = now

    def ready_at(self, name: str, started_ms: int, now: int) -> int:
        """Returns when that process of the server became ready."""
        known = self.by_name.get(name)
        if known is not None and known.started_ms == started_ms:
            return known.ready_at
        ready_at = self.estimate_ready_at(started_ms, now)
        self.by_name.pop(name, None)
        self.by_name[name] = ProcessStart(started_ms, ready_at)
        while len(self.by_name) > MAX_START_TIMES:
            del self.by_name[next(iter(self.by_name))]
        return ready_at

    def estimate_ready_at(self, started_ms: int, now: int) -> int:
        """Estimates when a process that is new to this node became ready."""
        if started_ms <= 0:
            return LONG_AGO
        stated_start = started_ms * 1000 - self.unix_offset
        return max(1, min(now, max(stated_start, self.last_complete_list_at)))
