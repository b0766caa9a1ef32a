"""What a failed system call says, and about whom: this machine, one connection, or nothing to do. Free of I/O.

Sources: accept(2), socket(2) and connect(2) of the Linux manual.
"""

from __future__ import annotations

import errno
from enum import Enum

# Descriptors, memory or local addresses have run out, or this machine has no way out: the other end has no part in it.
LOCAL_SHORTAGES = frozenset(
    (
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EADDRNOTAVAIL,
        errno.EAGAIN,
        errno.ENETDOWN,
        errno.ENETUNREACH,
    )
)
# accept(2) hands on what befell the connection it would have returned, and "should be treated like EAGAIN by retrying";
# a firewall's rule (EPERM) forbids one connection, not the next.
CONNECTION_GONE = frozenset(
    (
        errno.ECONNABORTED,
        errno.EINTR,
        errno.EPERM,
        errno.EPROTO,
        errno.ENETDOWN,
        errno.ENOPROTOOPT,
        errno.EHOSTDOWN,
        errno.ENONET,
        errno.EHOSTUNREACH,
        errno.EOPNOTSUPP,
        errno.ENETUNREACH,
    )
)
NONE_WAITS = frozenset((errno.EAGAIN, errno.EWOULDBLOCK))
LISTENER_CLOSED = frozenset((errno.EBADF, errno.EINVAL, errno.ENOTSOCK))


class AcceptFailure(Enum):
    """Why accept(2) returned no connection."""

    NONE_WAITS = "none waits"
    CONNECTION_GONE = "that connection is gone, the next may not be"
    SHORTAGE = "this machine is short of something; what waits goes on waiting"
    CLOSED = "the listener is closed"


def accept_failure(error: OSError) -> AcceptFailure:
    """What to do after a failed accept(2). An errno that the manual does not name counts as a shortage."""
    if error.errno in NONE_WAITS:
        return AcceptFailure.NONE_WAITS
    if error.errno in CONNECTION_GONE:
        return AcceptFailure.CONNECTION_GONE
    if error.errno in LISTENER_CLOSED:
        return AcceptFailure.CLOSED
    return AcceptFailure.SHORTAGE


def is_local_shortage(error: OSError) -> bool:
    """Whether a connection could not be made for a reason of this machine's own, whoever it was for."""
    return error.errno in LOCAL_SHORTAGES
