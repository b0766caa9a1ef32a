"""Classifies errors of socket system calls by cause: this machine or a single connection.

The classification follows the Linux manual pages accept(2), socket(2) and connect(2).
"""

from __future__ import annotations

import errno
from enum import Enum

# Descriptors, memory or local ports are exhausted, or this machine has no route. The peer is not the cause.
LOCAL_SHORTAGE_ERRORS = frozenset(
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
# accept(2) passes on pending errors of the new connection. Its manual page says to treat them like EAGAIN, by retrying.
# A firewall rule (EPERM) forbids one connection, but not necessarily the next one.
CONNECTION_GONE_ERRORS = frozenset(
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
NO_CONNECTION_ERRORS = frozenset((errno.EAGAIN, errno.EWOULDBLOCK))
LISTENER_CLOSED_ERRORS = frozenset((errno.EBADF, errno.EINVAL, errno.ENOTSOCK))


class AcceptFailure(Enum):
    """Why accept(2) returned no connection."""

    NO_CONNECTION = "no connection waits"
    CONNECTION_GONE = "that connection is gone; the next one may not be"
    SHORTAGE = "this machine is short of a resource; waiting connections go on waiting"
    LISTENER_CLOSED = "the listener is closed"


def classify_accept_error(error: OSError) -> AcceptFailure:
    """Returns why accept(2) failed. An errno that the manual page does not list counts as a shortage."""
    if error.errno in NO_CONNECTION_ERRORS:
        return AcceptFailure.NO_CONNECTION
    if error.errno in CONNECTION_GONE_ERRORS:
        return AcceptFailure.CONNECTION_GONE
    if error.errno in LISTENER_CLOSED_ERRORS:
        return AcceptFailure.LISTENER_CLOSED
    return AcceptFailure.SHORTAGE


def is_local_shortage(error: OSError) -> bool:
    """Whether a connection failed for a reason local to this machine, independent of its destination."""
    return error.errno in LOCAL_SHORTAGE_ERRORS
