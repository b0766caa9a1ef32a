"""Estimates how long a request may have waited in the kernel before the node read it.

A client's timeout counts from the last byte that it sent. A node whose event loop lags, or that did not watch its
listener or socket for a while, reads that byte late. Without a correction it would forward too long a timeout.

The delay is bounded by the lag of the event loop and by how long the socket was not watched. If that bound is at least
`MIN_DELAY_US`, the kernel is asked when it received the last bytes (TCP_INFO, see tcp(7)), which can only lower the
bound.
"""

from __future__ import annotations

import asyncio
import socket
from dataclasses import dataclass
from typing import Protocol

from harecross.platform.clock import monotonic_us
from harecross.platform.peer_state import unread_bytes

HEARTBEAT_INTERVAL_S = 0.025
LATE_HEARTBEAT_US = 10_000
# The time after a late heartbeat in which the event loop reads data that had already arrived.
CATCH_UP_S = 0.002
# Shorter delays are covered by the slack of deadlines.
MIN_DELAY_US = 30_000
# Bytes read later than this after a connection was accepted had not arrived before that.
FIRST_BYTES_US = 30_000
# The value that the kernel reports may be too small by this much.
KERNEL_STEP_US = 10_000
UNKNOWN_AGE_US = 1 << 62
NOT_DUE_US = 1 << 62
# The offset of tcpi_last_data_recv in struct tcp_info (linux/tcp.h), an unsigned 32-bit number of milliseconds.
LAST_DATA_RECEIVED_OFFSET = 52
TCP_INFO_SIZE = 56


class Heartbeat:
    """Measures the lag of the event loop with a timer. Times are monotonic microseconds."""

    def __init__(self) -> None:
        self.due = NOT_DUE_US

    def start(self) -> None:
        """Schedules the next heartbeat."""
        self.due = monotonic_us() + int(HEARTBEAT_INTERVAL_S * 1e6)
        asyncio.get_running_loop().call_later(HEARTBEAT_INTERVAL_S, self.beat)

    def beat(self) -> None:
        """Schedules the next heartbeat, after `CATCH_UP_S` if this one is late.

        The timer may run before the data that had already arrived is read, and `lag_us` must still report the lag for
        that data.
        """
        if monotonic_us() > self.due + LATE_HEARTBEAT_US:
            asyncio.get_running_loop().call_later(CATCH_UP_S, self.start)
        else:
            self.start()

    def lag_us(self, now: int) -> int:
        """Returns for how many microseconds the event loop may have left received data unread."""
        return max(0, now - self.due)


class TcpInfoSocket(Protocol):
    """A socket of which only `getsockopt` is used."""

    def getsockopt(self, level: int, name: int, size: int, /) -> bytes:
        """Returns the value of a socket option."""


@dataclass(frozen=True, slots=True)
class UnreadInterval:
    """The time for which data may have arrived on a socket that was not read, in monotonic microseconds.

    Attributes:
        reading_since_us: When the connection was accepted or reading was resumed.
        earliest_arrival_us: The earliest time at which the first bytes read after that may have arrived.
    """

    reading_since_us: int
    earliest_arrival_us: int


class ReadDelay:
    """Measures the read delay of one connection.

    `unread_interval` is set until the first bytes after it have been read.
    """

    __slots__ = ("heartbeat", "unread_interval")

    def __init__(self, heartbeat: Heartbeat, unread_interval: UnreadInterval | None = None) -> None:
        self.heartbeat = heartbeat
        self.unread_interval = unread_interval

    def measure(self, now: int, connection: TcpInfoSocket | None, descriptor: int = -1) -> int:
        """Returns for how many microseconds the data read now may have been unread; 0 below `MIN_DELAY_US`.

        If more is unread on `descriptor`, the kernel tells the age of that.
        """
        lag = bound = self.heartbeat.lag_us(now)
        interval, self.unread_interval = self.unread_interval, None
        if interval is not None:
            bound = max(bound, now - interval.earliest_arrival_us)
        if bound < MIN_DELAY_US:
            return 0
        more_unread = descriptor >= 0 and unread_bytes(descriptor) > 0
        if more_unread:
            self.unread_interval = interval  # the next read brings bytes that have waited as long
        age = UNKNOWN_AGE_US if more_unread else last_data_age(connection)
        if age == UNKNOWN_AGE_US and interval is not None and not more_unread:
            # Without the kernel's word, only bytes that are read soon have arrived before.
            read_soon = now - interval.reading_since_us < FIRST_BYTES_US + lag
            bound = bound if read_soon else lag
        return min(bound, age) if bound >= MIN_DELAY_US else 0


def last_data_age(connection: TcpInfoSocket | None) -> int:
    """Returns the microseconds since the kernel received the last data; `UNKNOWN_AGE_US` if it does not tell."""
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
