"""How long a request may have lain unread before the node read it.

A client's time counts from its last byte, and a node that was held up, that has just started or left its listener alone
for a moment, reads that byte late. What it then passes on as the time left is too much by as much.

The bound is the node's own: how late its event loop is, and how long its listener was not watched. Where that is more
than `NOTICED` the kernel is asked when the last bytes came (TCP_INFO, tcp(7)), which can only make it less.
"""

from __future__ import annotations

import asyncio
import socket
from dataclasses import dataclass
from typing import Protocol

from harecross.platform.clock import monotonic_us

BEAT = 0.025  # seconds between two beats of the loop
LATE = 10_000  # microseconds after which a beat is late
READ_UP = 0.002  # seconds after a late beat in which the loop has read what lay there
NOTICED = 30_000  # microseconds: less than that is covered by the slack that deadlines have
AT_ONCE = 30_000  # microseconds after which what a new connection says was not there when it was accepted
KERNEL_STEP = 10_000  # microseconds by which the kernel's figure may be too small
TCP_INFO_SIZE = 56  # bytes up to and with...
LAST_DATA_RECEIVED = 52  # ...tcpi_last_data_recv: an unsigned 32-bit number of milliseconds (linux/tcp.h)


class Heartbeat:
    """Tells how late the event loop is, by a timer of its own. Times are monotonic microseconds."""

    def __init__(self) -> None:
        self.due = 1 << 62

    def start(self) -> None:
        """Beats from now on."""
        self.due = monotonic_us() + int(BEAT * 1e6)
        asyncio.get_running_loop().call_later(BEAT, self.beat)

    def beat(self) -> None:
        """Begins the next span, unless this one ends late.

        The timer may run before what has come meanwhile is read, which is still to be told how late it is.
        """
        if monotonic_us() > self.due + LATE:
            asyncio.get_running_loop().call_later(READ_UP, self.start)
        else:
            self.start()

    def behind(self, now: int) -> int:
        """For how long the loop may not have read what had come."""
        return max(0, now - self.due)


class InfoSocket(Protocol):
    """What is asked of a socket."""

    def getsockopt(self, level: int, name: int, size: int, /) -> bytes: ...


@dataclass(frozen=True, slots=True)
class WaitingSocket:
    """A connection that was accepted at one time and came after another: it may have waited in between."""

    accepted_at: int
    came_after: int


class ReadDelay:
    """Of one connection."""

    __slots__ = ("heartbeat", "waiting")

    def __init__(self, heartbeat: Heartbeat, waiting: WaitingSocket | None = None) -> None:
        self.heartbeat = heartbeat
        self.waiting = waiting  # until its first bytes have been read

    def of(self, now: int, connection: InfoSocket | None) -> int:
        """How long what is read now may have lain unread, in microseconds; 0 below `NOTICED`."""
        bound = self.heartbeat.behind(now)
        if self.waiting is not None:
            waiting, self.waiting = self.waiting, None
            if now - waiting.accepted_at < AT_ONCE + bound:
                bound = max(bound, now - waiting.came_after)
        if bound < NOTICED:
            return 0
        return min(bound, kernel_age(connection))


def kernel_age(connection: InfoSocket | None) -> int:
    """Microseconds since the last bytes came, by the kernel; a very long time where it does not say."""
    if connection is None:
        return 1 << 62
    try:
        told = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_SIZE)
    except (OSError, AttributeError):
        return 1 << 62
    if len(told) < TCP_INFO_SIZE:
        return 1 << 62
    milliseconds = int.from_bytes(told[LAST_DATA_RECEIVED:TCP_INFO_SIZE], "little")
    return milliseconds * 1000 + KERNEL_STEP
