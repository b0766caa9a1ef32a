"""Servers that send and receive bodies in any framing, for tests of streamed bodies."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable

from node_support import entry, run_with_node

from harecross.standins.http import read_message

LARGE_BODY = bytes(i * 7 % 251 for i in range(300_000))


def chunked(body: bytes, size: int) -> bytes:
    """Encodes a body in chunks of `size` bytes."""
    parts = [body[i : i + size] for i in range(0, len(body), size)]
    return b"".join(b"%x\r\n%s\r\n" % (len(p), p) for p in parts) + b"0\r\n\r\n"


RESPONSE_FRAMINGS = {
    "length": lambda body: b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body),
    "chunks": lambda body: b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked \r\n\r\n" + chunked(body, 999),
    "close": lambda body: b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body,
}


Peer = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def run_with_peers(test, *peers: Peer, **more) -> None:
    """Runs a test on a node with one server per function in `peers`, which is called for each connection."""

    async def with_servers(env) -> None:
        listening = [await asyncio.start_server(p, "127.0.0.1", 0, limit=1 << 20) for p in peers]
        env.addresses = ["{}:{}".format(*s.sockets[0].getsockname()) for s in listening]
        known = [entry(f"s{i}", a) for i, a in enumerate(env.addresses)]
        env.node.registry.apply({"reset": True, "instances": known})
        try:
            await test(env)
        finally:
            for server in listening:
                server.close()

    run_with_node(with_servers, **more)


async def connect_slow_reader(address: tuple[str, int]) -> socket.socket:
    """Returns a non-blocking connection with a small receive buffer, so that most of a response waits at the sender."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.settimeout(0)
    await asyncio.get_running_loop().sock_connect(sock, address)
    return sock


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Closes a connection with a TCP reset."""
    linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


def server_that_sends(text: bytes, close: bool = False) -> Peer:
    """Returns a server that answers each request with the same bytes, and closes the connection if `close` is set."""

    async def peer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                await read_message(reader)
                writer.write(text)
                await writer.drain()
                if close:
                    writer.close()
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    return peer
