"""The clients' socket, opened before the program is loaded: what comes meanwhile waits in its backlog.

A process that starts takes some 0.2 s of a core until its modules are loaded, and several times that on a share of
one. Until it listens every connection is refused, and a front deals connections to a node that has died for seconds.
Imports nothing that the interpreter has not loaded by itself, but for the extension module under `socket`.
"""

from __future__ import annotations

import os
from _socket import SO_REUSEADDR, SOL_SOCKET
from _socket import socket as Socket

BACKLOG = 1024

opened: tuple[str, int, Socket] | None = None


def listen() -> None:
    """Listens at LB_LISTEN, if it says where. What is wrong with it is for the start proper to say."""
    global opened
    host, _, port = os.environ.get("LB_LISTEN", "").rpartition(":")
    if not host or not port.isdecimal() or int(port) > 65535 or os.environ.get("LB_INHERITED_FD"):
        return
    sock = Socket()
    try:
        sock.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
        sock.bind((host, int(port)))
        sock.listen(BACKLOG)
    except OSError:
        sock.close()
        return
    opened = host, int(port), sock


def taken(address: tuple[str, int]) -> int | None:
    """The descriptor of the socket that listens there already, which is the caller's from now on."""
    global opened
    if opened is None or opened[:2] != address:
        return None
    descriptor = opened[2].detach()
    opened = None
    return descriptor
