"""What the kernel knows of a connection's other end before the event loop has read it.

The event loop reads in turns, and not at all where reading is paused. Between the end of the peer's sending and its
reading, a node could forward a request that nobody waits for, or write one to a dead connection. Both ends of a TCP
connection show a FIN only as such (RFC 9293, 3.6): a client that has closed looks like one that only stops sending. The
protocol decides: clients send one request at a time and close to leave, so a peer that has ended its sending has left.
"""

from __future__ import annotations

import select

# Linux has POLLRDHUP since 2.6.17 (poll(2)); elsewhere an end is seen only once it is read.
PEER_CLOSED = getattr(select, "POLLRDHUP", 0)
BROKEN = select.POLLHUP | select.POLLERR | select.POLLNVAL


def poll_events(descriptor: int, events: int) -> int:
    """Which of the events hold on an open descriptor, and whether it is broken; 0 for none."""
    poll = select.poll()
    poll.register(descriptor, events)
    for _, found in poll.poll(0):
        return found
    return 0


def peer_has_closed(descriptor: int) -> bool:
    """Whether the other end has closed or reset, even if bytes before that have not been read."""
    return poll_events(descriptor, PEER_CLOSED) & (PEER_CLOSED | BROKEN) != 0


def has_no_pending_events(descriptor: int) -> bool:
    """Whether nothing has come on an idle connection: no byte, no end, no reset."""
    return poll_events(descriptor, select.POLLIN | PEER_CLOSED) == 0
