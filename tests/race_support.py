"""Helpers for tests of races between two events: they delay one event until the other has happened.

The tests use real sockets.
"""

from __future__ import annotations

import asyncio
import socket

from node_support import SETTINGS, Client, NodeEnvironment, request_ids

from harecross.upstream.connection_pool import ConnectionPool

# The path and the idempotency key of a request that is idempotent, one with an idempotency key, and one that is
# non-idempotent.
REQUEST_KINDS = [("/read/1", ""), ("/put/1", "k"), ("/pay/1", "")]
REQUEST_KIND_NAMES = ["safe", "keyed", "unsafe"]


def cancel_settings(cancel: bool = True, **more) -> dict:
    """Returns settings in which attempts may be cancelled, or may not."""
    return {"policy_limits": {**SETTINGS["policy_limits"], "cancel": cancel, **more}}


class DelayedConnects:
    """Delays new connections to servers until `release`. It replaces the event loop of the pool.

    Attributes:
        started_connects: One item for each connection attempt that is waiting.
    """

    def __init__(self, pool: ConnectionPool) -> None:
        self.real_loop = pool.loop
        self.started_connects: asyncio.Queue[int] = asyncio.Queue()
        self.released = asyncio.Event()
        pool.loop = self  # type: ignore[assignment]

    async def create_connection(self, *args):
        self.started_connects.put_nowait(1)
        await self.released.wait()
        return await self.real_loop.create_connection(*args)

    def release(self) -> None:
        self.released.set()

    def hold(self) -> None:
        self.released = asyncio.Event()

    def __getattr__(self, name):
        return getattr(self.real_loop, name)


class BlockingClient:
    """A client on a blocking socket.

    The bytes that it sends and its close reach the kernel within one iteration of the event loop, so that the node
    reads neither of them before both are there.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self.sock = socket.create_connection(address)

    def send(self, path: str = "/read/1", key: str = "", left: str = "25000m", times: int = 1) -> None:
        method = "GET" if path.startswith("/read") or path.startswith("/_") else "POST"
        text = b""
        for _ in range(times):
            head = f"{method} {path} HTTP/1.1\r\nHost: b\r\nX-Request-ID: p{next(request_ids)}\r\nX-Timeout: {left}\r\n"
            head += f"Idempotency-Key: {key}\r\n" if key else ""
            head += "Content-Length: 0\r\n" if method == "POST" else ""
            text += head.encode() + b"\r\n"
        self.sock.sendall(text)

    def close(self) -> None:
        self.sock.close()


async def wait_until_accepted(env: NodeEnvironment, clients: int) -> None:
    """Waits until the node has accepted `clients` connections."""
    while len(env.node.client_connections.open) < clients:
        await asyncio.sleep(0)


async def run_event_loop(iterations: int = 20) -> None:
    """Runs this many iterations of the event loop. The node then has read and answered all received bytes."""
    for _ in range(iterations):
        await asyncio.sleep(0.001)


async def warm_up(env: NodeEnvironment, servers: int | None = None) -> None:
    """Sends requests until the node has an idle connection to each server and has measured each request class."""
    client = await Client.open(env.node.address)
    wanted = len(env.upstreams) if servers is None else servers
    while sum(bool(t.idle) for t in env.node.pool.processes.values()) < wanted:
        for path, key in REQUEST_KINDS:
            client.send(path, key=key)
            for upstream in env.upstreams:
                if not hasattr(upstream, "answer_task"):
                    upstream.answer_all()
            await client.answer()
    for upstream in env.upstreams:
        if hasattr(upstream, "answer_task"):
            upstream.answer_task.cancel()
            del upstream.answer_task
    client.writer.close()
