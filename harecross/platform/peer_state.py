"""Asks the kernel for the state of a connection's peer before the event loop has read it.

The event loop reads from sockets once per iteration, and not at all while reading is paused. Before it reads the peer's
FIN, a node could forward a request that no client waits for, or write a request to a dead connection. A FIN alone does
not tell whether the peer has closed the connection or only stopped sending (RFC 9293, 3.6). The protocol resolves this:
clients send one request at a time and close the connection to leave, so a peer that has stopped sending has left.
"""

from __future__ import annotations

import fcntl
import select
import socket
import struct
import termios
from typing import Protocol

# Linux supports POLLRDHUP since 2.6.17 (poll(2)). On other systems a close is detected only when it is read.
PEER_CLOSED = getattr(select, "POLLRDHUP", 0)
# The socket option that tells the memory of a socket: first the bytes of its receive buffer, then their limit.
SO_MEMINFO = 55  # Linux 4.12, asm-generic/socket.h
MEMORY_INFO = struct.Struct("II")
# The kernel announces a window of half of the limit at first, which small segments use up with more memory or less.
RECEIVE_WINDOW_DIVISOR = 4
# Fewer unread bytes than these close no window, in segments of any size.
LEAST_HIDING_BYTES = 1 << 14
BROKEN = select.POLLHUP | select.POLLERR | select.POLLNVAL


class SocketOptions(Protocol):
    """A socket of which only `getsockopt` is used."""

    def getsockopt(self, level: int, name: int, size: int, /) -> bytes:
        """Returns the value of a socket option."""


def poll_events(descriptor: int, events: int) -> int:
    """Returns which of `events` are pending on an open descriptor, plus any error events; 0 if there are none."""
    poll = select.poll()
    poll.register(descriptor, events)
    for _, found in poll.poll(0):
        return found
    return 0


def peer_has_closed(descriptor: int) -> bool:
    """Whether the peer has closed or reset the connection, even if earlier data has not been read yet."""
    return poll_events(descriptor, PEER_CLOSED) & (PEER_CLOSED | BROKEN) != 0


def queue_size(descriptor: int, request: int) -> int | None:
    """Returns the size of a queue of the socket in bytes (tcp(7)); None if the kernel does not tell."""
    try:
        return int(struct.unpack("i", fcntl.ioctl(descriptor, request, bytes(4)))[0])
    except OSError:
        return None


def unread_bytes(descriptor: int) -> int:
    """Returns the number of bytes that the kernel has received and the process has not read; 0 if it does not tell."""
    return queue_size(descriptor, termios.FIONREAD) or 0


def unacknowledged_bytes(descriptor: int) -> int | None:
    """Returns the number of written bytes that the peer has not acknowledged; None if the kernel does not tell."""
    return queue_size(descriptor, termios.TIOCOUTQ)


def close_may_be_hidden(sock: SocketOptions, descriptor: int) -> bool:
    """Whether the peer may have closed the connection although the kernel reports no close.

    The kernel learns of a close in the order of the stream. Once its receive buffer is full, the bytes before the close
    stay with the peer, and nothing tells a peer that has left from one that is waiting (neither poll(2) nor TCP_INFO).
    """
    unread = queue_size(descriptor, termios.FIONREAD)
    if unread is not None and unread < LEAST_HIDING_BYTES:
        return False
    try:
        values = MEMORY_INFO.unpack(sock.getsockopt(socket.SOL_SOCKET, SO_MEMINFO, MEMORY_INFO.size))
    except (OSError, struct.error):
        values = (0, 0)
    allocated, limit = values
    if limit == 0:
        return unread is not None
    return bool(allocated * RECEIVE_WINDOW_DIVISOR >= limit)


def has_no_pending_events(descriptor: int) -> bool:
    """Whether an idle connection has no unread data and the peer has neither closed nor reset it."""
    return poll_events(descriptor, select.POLLIN | PEER_CLOSED) == 0
