"""Estimates when a client wrote the last byte of a body that the node reads with pauses.

While the node does not read, because a server does not take more of the body, the client's bytes wait in the kernels of
both machines. The node sees them arrive when it reads on, long after the client has written them. Bytes that follow at
once when reading is resumed were waiting: the client's kernel had them since the last arrival before the resumption at
the latest. As many as fit the client's send buffer may have been written by then, the last byte among them.

This module performs no I/O. Times are in monotonic microseconds.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

# The largest send buffer that Linux gives a connection by itself (tcp_wmem).
CLIENT_BUFFER_BYTES = 1 << 22
# Bytes that come within this time after reading was resumed had been written before. It covers a round-trip.
WAITING_BYTES_US = 30_000
NEVER_US = -(1 << 62)


class Arrival(NamedTuple):
    """How many bytes of the body had arrived at a time at which more of them were waiting for the node."""

    at_us: int
    arrived: int


class BodyArrival:
    """The arrival of one body.

    Attributes:
        blocked: The arrivals since which the client may have been waiting, of which the last byte may be one.
    """

    __slots__ = ("blocked", "last_read_us", "resumed_at_us", "unconfirmed")

    def __init__(self) -> None:
        self.blocked: deque[Arrival] = deque()
        self.unconfirmed: Arrival | None = None
        self.resumed_at_us = NEVER_US
        self.last_read_us = NEVER_US

    def resumed(self, now: int, last_arrival: Arrival) -> None:
        """Notes that reading is resumed, and what had arrived until then."""
        self.resumed_at_us = now
        self.unconfirmed = last_arrival

    def read(self, now: int) -> None:
        """Notes that bytes were read: either they had been waiting, or the client is slower than the node."""
        if now - self.resumed_at_us <= WAITING_BYTES_US:
            if self.unconfirmed is not None:
                self.blocked.append(self.unconfirmed)
        elif now - self.last_read_us > WAITING_BYTES_US:
            self.blocked.clear()
        self.unconfirmed = None
        self.last_read_us = now

    def earliest_last_byte_us(self, length: int | None, received: int) -> int | None:
        """Returns since when the client may have written the last byte; None if it is the client that is slow.

        `length` is the length of the body if it is known, and `received` the number of bytes that were read. A body
        that is larger than the client's send buffer and of unknown length may go on for any time.
        """
        least = received if length is None else length
        while self.blocked and self.blocked[0].arrived + CLIENT_BUFFER_BYTES < least:
            self.blocked.popleft()
        if not self.blocked or (length is None and received > CLIENT_BUFFER_BYTES):
            return None
        return self.blocked[0].at_us
