"""Asks the kernel for the state of a connection's peer before the event loop has read it.

The event loop reads from sockets once per iteration, and not at all while reading is paused. Before it reads the peer's
FIN, a node could forward a request that no client waits for, or write a request to a dead connection. A FIN alone does
not tell whether the peer has closed the connection or only stopped sending (RFC 9293, 3.6). The protocol resolves this:
clients send one request at a time and close the connection to leave, so a peer that has stopped sending has left.
"""

from __future__ import annotations

import fcntl
import select
import struct
import termios

# Linux supports POLLRDHUP since 2.6.17 (poll(2)). On other systems a close is detected only when it is read.
PEER_CLOSED = getattr(select, "POLLRDHUP", 0)
BROKEN = select.POLLHUP | select.POLLERR | select.POLLNVAL


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


def unread_bytes(descriptor: int) -> int:
    """Returns the number of bytes that the kernel has received and the process has not read; 0 if it does not tell."""
    try:
        return int(struct.unpack("i", fcntl.ioctl(descriptor, termios.FIONREAD, bytes(4)))[0])
    except OSError:
        return 0


def has_no_pending_events(descriptor: int) -> bool:
    """Whether an idle connection has no unread data and the peer has neither closed nor reset it."""
    return poll_events(descriptor, select.POLLIN | PEER_CLOSED) == 0
