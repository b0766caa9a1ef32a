"""Closing a listening socket: handshakes in progress are accepted, later ones are refused, none is reset."""

from __future__ import annotations

import asyncio
import errno
import socket

import pytest
from node_support import run

from harecross.downstream import listener as listener_module
from harecross.downstream.accept_filter import refuse_new_connections
from harecross.downstream.listener import Listener

# A new connection is refused within this many seconds. Linux retransmits a SYN after one second.
REFUSED_WITHIN = 5.0


def listening_socket() -> socket.socket:
    sock = socket.create_server(("127.0.0.1", 0))
    sock.setblocking(False)
    return sock


def start_connect(address: tuple[str, int]) -> tuple[socket.socket, int]:
    """Starts to connect a socket; returns it with the error number of connect(2)."""
    client = socket.socket()
    client.setblocking(False)
    return client, client.connect_ex(address)


def test_handshakes_in_progress_are_accepted_and_later_ones_refused():
    async def test() -> None:
        loop = asyncio.get_running_loop()
        after = socket.socket()
        after.setblocking(False)
        sock = listening_socket()
        before = socket.create_connection(sock.getsockname())
        before.sendall(b"request")
        refuse_new_connections(sock)
        connecting = asyncio.create_task(loop.sock_connect(after, sock.getsockname()))
        await asyncio.sleep(0)
        connection, _ = sock.accept()
        with pytest.raises(BlockingIOError):
            sock.accept()
        sock.close()
        assert connection.recv(100) == b"request"
        connection.sendall(b"answer")
        assert before.recv(100) == b"answer"
        with pytest.raises(ConnectionRefusedError):
            await asyncio.wait_for(connecting, REFUSED_WITHIN)
        for each in (before, after, connection):
            each.close()

    run(test())


def test_the_filter_applies_to_every_descriptor_of_the_socket():
    sock = listening_socket()
    other = sock.dup()
    other.setblocking(False)
    refuse_new_connections(sock)
    client, error = start_connect(sock.getsockname())
    with pytest.raises(BlockingIOError):
        other.accept()
    assert error == errno.EINPROGRESS
    for each in (sock, other, client):
        each.close()


def test_setting_the_filter_is_retried_when_the_kernel_is_out_of_memory(monkeypatch):
    async def test() -> None:
        failures = [OSError(errno.ENOMEM, "Cannot allocate memory")] * 3

        def refuse(sock: socket.socket) -> None:
            if failures:
                raise failures.pop()
            refuse_new_connections(sock)

        monkeypatch.setattr(listener_module, "refuse_new_connections", refuse)
        sock = listening_socket()
        listener = Listener(sock, lambda waiting: asyncio.Protocol(), lambda: None)
        await listener.refuse_new()
        client, error = start_connect(sock.getsockname())
        assert error == errno.EINPROGRESS
        assert not failures
        await listener.close()
        client.close()

    run(test())
