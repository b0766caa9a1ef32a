"""Points at which one of two crossing events is held until the other has happened. Sockets are real."""

from __future__ import annotations

import asyncio
import socket

from node_support import SETTINGS, Client, NodeEnvironment, request_ids

from harecross.upstream.connection_pool import ConnectionPool

REQUEST_KINDS = [("/read/1", ""), ("/put/1", "k"), ("/pay/1", "")]  # safe, keyed, unsafe
REQUEST_KIND_NAMES = ["safe", "keyed", "unsafe"]


def cancel_settings(cancel: bool = True, **more) -> dict:
    """Settings that allow to cancel, or do not."""
    return {"policy_limits": {**SETTINGS["policy_limits"], "cancel": cancel, **more}}


class DelayedConnects:
    """Connections to servers that do not come up until `release`."""

    def __init__(self, servers: ConnectionPool) -> None:
        self.real = servers.loop
        # One item for each connection attempt that is waiting.
        self.started_connects: asyncio.Queue[int] = asyncio.Queue()
        self.up = asyncio.Event()
        servers.loop = self  # type: ignore[assignment]

    async def create_connection(self, *args):
        self.started_connects.put_nowait(1)
        await self.up.wait()
        return await self.real.create_connection(*args)

    def release(self) -> None:
        self.up.set()

    def hold(self) -> None:
        self.up = asyncio.Event()

    def __getattr__(self, name):
        return getattr(self.real, name)


class BlockingClient:
    """A caller whose bytes and end reach the kernel within one turn of the loop: the node reads neither before."""

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


async def wait_until_accepted(w: NodeEnvironment, callers: int) -> None:
    """Waits until the node has accepted so many connections."""
    while len(w.node.client_connections.open) < callers:
        await asyncio.sleep(0)


async def run_event_loop(n: int = 20) -> None:
    """So many turns of the loop: whatever the kernel has now has been read by then, and answered."""
    for _ in range(n):
        await asyncio.sleep(0.001)


async def warm_up(w: NodeEnvironment, servers: int | None = None) -> None:
    """A kept connection to each server, and a measure of each class."""
    client = await Client.open(w.node.address)
    wanted = len(w.upstreams) if servers is None else servers
    while sum(bool(t.idle) for t in w.node.pool.processes.values()) < wanted:
        for path, key in REQUEST_KINDS:
            client.send(path, key=key)
            for o in w.upstreams:
                if not hasattr(o, "answering"):
                    o.answer_all()
            await client.answer()
    for o in w.upstreams:
        if hasattr(o, "answering"):
            o.answering.cancel()
            del o.answering
    client.writer.close()
