"""Client connections of a node over loopback sockets: idle, slow, and too many."""

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
def test_a_connection_with_an_incomplete_request_is_closed(text, monkeypatch):
    """Guards against silent connections and incomplete requests that hold a descriptor indefinitely."""
    monkeypatch.setattr(connection_manager, "RECEIVE_TIMEOUT_US", 100_000)

    async def test(env: NodeEnvironment) -> None:
        client = await env.client()
        client.writer.write(text)
        if text:
            assert (await client.answer())[0] == 408
        assert await client.reader.read() == b""

    run_with_node(test)


def test_idle_connections_are_closed(monkeypatch):
    monkeypatch.setattr(connection_manager, "IDLE_TIMEOUT_US", 100_000)

    async def test(env: NodeEnvironment) -> None:
        client = await env.client()
        client.send("/_health")
        assert (await client.answer())[0] == 200
        assert await client.reader.read() == b""
        assert not env.node.client_connections.open
        assert env.node.descriptor_budget.client_connections == 0

    run_with_node(test)


def test_the_connection_of_a_client_that_does_not_read_is_closed(monkeypatch):
    """Guards against responses that accumulate in memory without bound."""
    monkeypatch.setattr(connection_manager, "RECEIVE_TIMEOUT_US", 300_000)
    full = asyncio.Event()
    pause = connection_manager.ClientConnection.pause_writing
    monkeypatch.setattr(
        connection_manager.ClientConnection, "pause_writing", lambda c: (full.set(), pause(c))[1]
    )

    async def test(env: NodeEnvironment) -> None:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, env.node.address)
        answered = 0

        async def answer() -> None:
            nonlocal answered
            while True:
                (await env.upstreams[0].received.get()).answer(body=b"x" * 65536)
                answered += 1

        task = asyncio.create_task(answer())
        # An event records that writing was paused. Polling for it missed the pause on a busy machine, where the
        # connection was closed before the next poll.
        for i in range(1000):
            text = b"GET /read/1 HTTP/1.1\r\nX-Request-ID: n%d\r\nX-Timeout: 9000m\r\n\r\n" % i
            await loop.sock_sendall(sock, text)
            while answered <= i and not full.is_set():
                await asyncio.sleep(0)
            if full.is_set():
                break
        assert full.is_set()
        while env.node.client_connections.open:
            await asyncio.sleep(0.01)
        task.cancel()
        sock.close()

    run_with_node(test)


def test_bodies_are_bounded_by_the_memory_limit():
    async def test(env: NodeEnvironment) -> None:
        assert env.node.client_connections.max_buffered_body_bytes == 1 << 18
        clients = [await env.client() for _ in range(5)]
        for client in clients:
            client.writer.write(b"POST /pay/1" + HEAD + b"Content-Length: 65536\r\n\r\n" + b"x" * 65535)
        done, waiting = await asyncio.wait(
            [asyncio.ensure_future(c.answer()) for c in clients], return_when=asyncio.FIRST_COMPLETED
        )
        assert {task.result()[0] for task in done} == {503}
        for task in waiting:
            task.cancel()

    run_with_node(test, memory_mb=1)


def test_connections_beyond_the_limit_are_closed_and_active_clients_keep_theirs(monkeypatch):
    """Guards against hundreds of silent connections that use every descriptor, so that no server can be reached."""
    monkeypatch.setattr(connection_manager, "EVICTION_GRACE_US", 0)

    async def test(env: NodeEnvironment) -> None:
        active_client = await env.client()
        active_client.send()
        (await env.upstreams[0].received.get()).answer()
        await active_client.answer()
        budget = env.node.descriptor_budget
        max_clients = budget.total - budget.upstream_reserve()
        assert max_clients < 128
        silent = [await env.client() for _ in range(max_clients + 20)]
        assert len(env.node.client_connections.open) <= max_clients
        active_client.send()  # the connection is still open
        (await env.upstreams[0].received.get()).answer()
        assert (await active_client.answer())[0] == 200
        # If no connection may be evicted, the newest one is refused, and nothing else is affected.
        monkeypatch.setattr(connection_manager, "EVICTION_GRACE_US", 10**9)
        active_client.send()
        received = await env.upstreams[0].received.get()
        extra = [await env.client() for _ in range(max_clients)]
        with contextlib.suppress(ConnectionError):
            assert await extra[-1].reader.read() == b""
        assert env.node.client_connections.refused_connections > 0
        assert env.node.descriptor_budget.client_connections <= max_clients
        received.answer()
        assert (await active_client.answer())[0] == 200
        assert len(silent) == max_clients + 20

    run_with_node(test, sockets=160)
