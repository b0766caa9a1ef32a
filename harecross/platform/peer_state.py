"""What the kernel knows of a connection's other end that the event loop has not read yet.

The loop reads in turns, and not at all where reading is paused; between a peer's end and its reading a node may send on
a request that nobody waits for, or write one to a connection that leads nowhere. Both ends of a TCP connection show a
FIN only as such (RFC 9293, 3.6): a client that has closed looks like one that only sends no more. The protocol page
settles it: clients send one request at a time and close to go away, so whoever has ended its sending has gone.
"""

from __future__ import annotations

import select

# Linux has POLLRDHUP since 2.6.17 (poll(2)); elsewhere an end is seen only once it is read.
ENDED = getattr(select, "POLLRDHUP", 0)
BROKEN = select.POLLHUP | select.POLLERR | select.POLLNVAL


def looked(descriptor: int, events: int) -> int:
    """What holds of these events on an open descriptor, and whether it is broken; 0 for none."""
    poll = select.poll()
    poll.register(descriptor, events)
    for _, found in poll.poll(0):
        return found
    return 0


def has_left(descriptor: int) -> bool:
    """Whether the other end has closed or reset, be it behind bytes that nobody has read."""
    return looked(descriptor, ENDED) & (ENDED | BROKEN) != 0


def is_quiet(descriptor: int) -> bool:
    """Whether nothing has come on an idle connection: no byte, no end, no reset."""
    return looked(descriptor, select.POLLIN | ENDED) == 0
