"""How long a request may have lain unread before the node read it.

A client's time counts from the last byte that it sent. A node whose event loop was late, or that did not watch its
listener for a moment, reads that byte late, and would forward too much as the time left.

The delay is bounded by how late the event loop is and by how long the listener was not watched. Where that bound is
at least `MIN_DELAY_US` the kernel is asked when the last bytes came (TCP_INFO, tcp(7)), which can only lower it.
"""

from __future__ import annotations

import asyncio
import socket
from dataclasses import dataclass
from typing import Protocol

from harecross.platform.clock import monotonic_us

HEARTBEAT_INTERVAL_S = 0.025
LATE_HEARTBEAT_US = 10_000
CATCH_UP_S = 0.002  # after a late heartbeat, in which the loop reads what had come
MIN_DELAY_US = 30_000  # shorter delays are covered by the slack of deadlines
FIRST_BYTES_US = 30_000  # after which the first bytes of a connection were not there when it was accepted
KERNEL_STEP_US = 10_000  # by which the kernel's figure may be too small
UNKNOWN_AGE_US = 1 << 62
NOT_DUE_US = 1 << 62
# struct tcp_info (linux/tcp.h): tcpi_last_data_recv is an unsigned 32-bit number of milliseconds at this offset.
LAST_DATA_RECEIVED_OFFSET = 52
TCP_INFO_SIZE = 56


class Heartbeat:
    """Measures how late the event loop is, by a timer. Times are monotonic microseconds."""

    def __init__(self) -> None:
        self.due = NOT_DUE_US

    def start(self) -> None:
        """Schedules the next heartbeat."""
        self.due = monotonic_us() + int(HEARTBEAT_INTERVAL_S * 1e6)
        asyncio.get_running_loop().call_later(HEARTBEAT_INTERVAL_S, self.beat)

    def beat(self) -> None:
        """Schedules the next heartbeat; after a late one only once what had come is read.

        The timer may run before that, and `lag_us` is still asked how late the loop was.
        """
        if monotonic_us() > self.due + LATE_HEARTBEAT_US:
            asyncio.get_running_loop().call_later(CATCH_UP_S, self.start)
        else:
            self.start()

    def lag_us(self, now: int) -> int:
        """For how many microseconds the loop may not have read what had come."""
        return max(0, now - self.due)


class TcpInfoSocket(Protocol):
    """The one method of a socket that is needed here."""

    def getsockopt(self, level: int, name: int, size: int, /) -> bytes:
        """The value of a socket option."""


@dataclass(frozen=True, slots=True)
class UnreadInterval:
    """A connection that was accepted, or is read again, at one time, and whose bytes may have come since another."""

    reading_since_us: int  # monotonic microseconds
    earliest_arrival_us: int


class ReadDelay:
    """The read delay of one connection."""

    __slots__ = ("heartbeat", "unread_interval")

    def __init__(self, heartbeat: Heartbeat, unread_interval: UnreadInterval | None = None) -> None:
        self.heartbeat = heartbeat
        self.unread_interval = unread_interval  # until the first bytes after it have been read

    def measure(self, now: int, connection: TcpInfoSocket | None) -> int:
        """How many microseconds the bytes that are read now may have lain unread; 0 below `MIN_DELAY_US`."""
        bound = self.heartbeat.lag_us(now)
        if self.unread_interval is not None:
            interval, self.unread_interval = self.unread_interval, None
            if now - interval.reading_since_us < FIRST_BYTES_US + bound:
                bound = max(bound, now - interval.earliest_arrival_us)
        if bound < MIN_DELAY_US:
            return 0
        return min(bound, last_data_age(connection))


def last_data_age(connection: TcpInfoSocket | None) -> int:
    """Microseconds since the last bytes came, by the kernel; `UNKNOWN_AGE_US` if the kernel does not tell."""
    if connection is None:
        return UNKNOWN_AGE_US
    try:
        info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_SIZE)
    except (OSError, AttributeError):
        return UNKNOWN_AGE_US
    if len(info) < TCP_INFO_SIZE:
        return UNKNOWN_AGE_US
    milliseconds = int.from_bytes(info[LAST_DATA_RECEIVED_OFFSET:TCP_INFO_SIZE], "little")
    return milliseconds * 1000 + KERNEL_STEP_US
