"""What the kernel tells of a peer behind unread bytes, on real sockets and with a kernel that tells nothing."""

from __future__ import annotations

import socket
import time
from collections.abc import Iterator

import pytest

from harecross.platform.peer_state import close_may_be_hidden, peer_has_closed, unread_bytes

# An attempt may begin 0.1 s after its client has closed.
ARRIVAL_S = 0.05


@pytest.fixture
def pair() -> Iterator[tuple[socket.socket, socket.socket]]:
    """A TCP connection: the peer's end, and the end that does not read."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        peer = socket.create_connection(listener.getsockname())
        own, _ = listener.accept()
    with peer, own:
        yield peer, own


def fill(peer: socket.socket, size: int) -> None:
    """Writes until the kernel takes no more, or `size` bytes are written."""
    peer.settimeout(0)
    peer.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    written = 0
    while written < 2_000_000:
        try:
            written += peer.send(bytes(size))
        except BlockingIOError:
            return


class SilentSocket:
    """A socket whose kernel does not know the option, or returns nothing of use."""

    def __init__(self, value: bytes | None) -> None:
        self.value = value

    def getsockopt(self, level: int, name: int, size: int) -> bytes:  # noqa: ARG002
        """Returns the value, or fails without one."""
        if self.value is None:
            raise OSError
        return self.value


@pytest.mark.parametrize("size", [1, 100, 1400, 65_536])
def test_a_close_is_seen_or_known_to_be_possibly_hidden(pair, size):
    """Guards against a close that is neither reported nor allowed for, whatever the size of the segments."""
    peer, own = pair
    fill(peer, size)
    peer.close()
    time.sleep(ARRIVAL_S)
    assert peer_has_closed(own.fileno()) or close_may_be_hidden(own, own.fileno())


def test_little_unread_input_hides_no_close(pair):
    """Guards against sound clients whose requests are refused because of a few unread bytes."""
    peer, own = pair
    peer.send(bytes(4000))
    assert not close_may_be_hidden(own, own.fileno())
    assert not close_may_be_hidden(SilentSocket(None), own.fileno())
    peer.close()
    assert peer_has_closed(own.fileno())


@pytest.mark.parametrize("value", [None, b"", bytes(8)])
def test_without_the_kernels_word_much_unread_input_may_hide_a_close(pair, value):
    """Guards against a kernel or a shim that does not tell the memory of a socket."""
    peer, own = pair
    fill(peer, 65_536)
    assert unread_bytes(own.fileno()) > 0
    assert close_may_be_hidden(SilentSocket(value), own.fileno())
