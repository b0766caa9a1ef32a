"""A node's connections from clients over loopback sockets: idle, slow and too many of them."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import pytest
from node_support import (
    CHUNKED,
    HEAD,
    NodeEnvironment,
    run_with_node,
)

from harecross.downstream import connection_manager


@pytest.mark.parametrize(
    "text", [b"", b"GET /read/1 HTTP/1.1\r\n", b"POST /pay/1" + HEAD + CHUNKED + b"\r\n5\r\nab"]
)
def test_callers_that_stop_half_way_are_let_go(text, monkeypatch):
    """Silence and half requests held a connection, and its descriptor, for good."""
    monkeypatch.setattr(connection_manager, "RECEIVE_TIMEOUT_US", 100_000)

    async def test(w: NodeEnvironment) -> None:
        client = await w.client()
        client.writer.write(text)
        if text:
            assert (await client.answer())[0] == 408
        assert await client.reader.read() == b""

    run_with_node(test)


def test_idle_connections_are_let_go(monkeypatch):
    monkeypatch.setattr(connection_manager, "IDLE_TIMEOUT_US", 100_000)

    async def test(w: NodeEnvironment) -> None:
        client = await w.client()
        client.send("/_health")
        assert (await client.answer())[0] == 200
        assert await client.reader.read() == b""
        assert not w.node.client_connections.open
        assert w.node.descriptor_budget.client_connections == 0

    run_with_node(test)


def test_a_caller_that_does_not_read_is_let_go(monkeypatch):
    """Its answers piled up in memory without bound."""
    monkeypatch.setattr(connection_manager, "RECEIVE_TIMEOUT_US", 300_000)
    full = asyncio.Event()
    pause = connection_manager.ClientConnection.pause_writing
    monkeypatch.setattr(
        connection_manager.ClientConnection, "pause_writing", lambda c: (full.set(), pause(c))[1]
    )

    async def test(w: NodeEnvironment) -> None:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, w.node.address)
        answered = 0

        async def answer() -> None:
            nonlocal answered
            while True:
                (await w.upstreams[0].received.get()).answer(body=b"x" * 65536)
                answered += 1

        task = asyncio.create_task(answer())
        # Seen as it happens: looked for now and then, it had passed on a busy machine, and its caller with it.
        for i in range(1000):
            text = b"GET /read/1 HTTP/1.1\r\nX-Request-ID: n%d\r\nX-Timeout: 9000m\r\n\r\n" % i
            await loop.sock_sendall(sock, text)
            while answered <= i and not full.is_set():
                await asyncio.sleep(0)
            if full.is_set():
                break
        assert full.is_set()
        while w.node.client_connections.open:
            await asyncio.sleep(0.01)
        task.cancel()
        sock.close()

    run_with_node(test)


def test_bodies_are_bounded_by_the_memory_limit():
    async def test(w: NodeEnvironment) -> None:
        assert w.node.client_connections.max_buffered_body_bytes == 1 << 18
        clients = [await w.client() for _ in range(5)]
        for client in clients:
            client.writer.write(b"POST /pay/1" + HEAD + b"Content-Length: 65536\r\n\r\n" + b"x" * 65535)
        done, waiting = await asyncio.wait(
            [asyncio.ensure_future(c.answer()) for c in clients], return_when=asyncio.FIRST_COMPLETED
        )
        assert {task.result()[0] for task in done} == {503}
        for task in waiting:
            task.cancel()

    run_with_node(test, memory_mb=1)


def test_connections_beyond_the_limit_are_closed_at_once_and_usual_callers_last(monkeypatch):
    """Hundreds of connections that said nothing took every descriptor; then no server could be reached."""
    monkeypatch.setattr(connection_manager, "EVICTION_GRACE_US", 0)

    async def test(w: NodeEnvironment) -> None:
        usual = await w.client()
        usual.send()
        (await w.upstreams[0].received.get()).answer()
        await usual.answer()
        room = w.node.descriptor_budget
        most = room.total - room.upstream_reserve()
        assert most < 128
        silent = [await w.client() for _ in range(most + 20)]
        assert len(w.node.client_connections.open) <= most
        usual.send()  # its connection is still there
        (await w.upstreams[0].received.get()).answer()
        assert (await usual.answer())[0] == 200
        # Where nothing may be put out, the newest is turned away and costs no more than that.
        monkeypatch.setattr(connection_manager, "EVICTION_GRACE_US", 10**9)
        usual.send()
        at = await w.upstreams[0].received.get()
        extra = [await w.client() for _ in range(most)]
        with contextlib.suppress(ConnectionError):
            assert await extra[-1].reader.read() == b""
        assert w.node.client_connections.refused_connections > 0
        assert w.node.descriptor_budget.client_connections <= most
        at.answer()
        assert (await usual.answer())[0] == 200
        assert len(silent) == most + 20

    run_with_node(test, sockets=160)
