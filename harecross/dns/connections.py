"""Sockets for DNS messages: a UDP socket of one attempt, and connections that all lookups at a server share."""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import Callable
from typing import Any, NamedTuple, cast

from harecross.dns.frames import FrameDecoder, frame
from harecross.dns.servers import TLS
from harecross.settings import parse_address

IDLE_TIMEOUT_S = 5.0  # after which a connection without a query is closed (RFC 7766, 6.2.3)


class AttemptCallbacks(NamedTuple):
    """What comes of one message."""

    received: Callable[[bytes], None]
    failed: Callable[[str], None]  # with the reason


class UdpProtocol(asyncio.DatagramProtocol):
    """The socket of one attempt. It is connected: what comes from another address never arrives."""

    def __init__(self, callbacks: AttemptCallbacks) -> None:
        self._callbacks = callbacks

    def datagram_received(self, data: bytes, addr: object) -> None:
        """Reports a message."""
        self._callbacks.received(data)

    def error_received(self, exc: Exception) -> None:
        """Reports that the network refused the message."""
        self._callbacks.failed(f"cannot be reached: {exc}")


class StreamConnection(asyncio.Protocol):
    """A connection to one server, shared by all lookups; queries on it do not wait for each other."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.closed = False
        self._loop = loop
        self._decoder = FrameDecoder()
        self._transport: asyncio.Transport | None = None
        self._waiting: dict[int, list[AttemptCallbacks]] = {}  # by message id
        self._idle_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is up."""
        self._transport = cast(asyncio.Transport, transport)

    def send(self, message: bytes, callbacks: AttemptCallbacks) -> None:
        """Sends a query, and reports what comes of it."""
        assert self._transport is not None
        self._cancel_idle_timer()
        self._waiting.setdefault(message_id(message), []).append(callbacks)
        self._transport.write(frame(message))

    def data_received(self, data: bytes) -> None:
        """Reports the messages that are complete, and closes the connection once it is idle."""
        for message in self._decoder.feed(data):
            for callbacks in self._waiting.pop(message_id(message), ()):
                callbacks.received(message)
        if not self._waiting and not self.closed:
            self._cancel_idle_timer()
            self._idle_timer = self._loop.call_later(IDLE_TIMEOUT_S, self.close)

    def close(self) -> None:
        """Closes the connection."""
        self.closed = True
        if self._transport is not None:
            self._transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Reports the failure of all queries that wait for an answer."""
        self.closed = True
        self._cancel_idle_timer()
        waiting, self._waiting = self._waiting, {}
        for group in waiting.values():
            for callbacks in group:
                callbacks.failed("the connection was cut")

    def _cancel_idle_timer(self) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()


def message_id(message: bytes) -> int:
    """The id of a DNS message, its first two bytes."""
    return int.from_bytes(message[:2], "big")


class ConnectionCache:
    """The connections to all servers, opened when they are needed."""

    def __init__(self, tls: ssl.SSLContext | None, tls_name: str) -> None:
        """`tls_name` is the name that the servers' certificate must have in place of their address."""
        self._tls = tls
        self._tls_name = tls_name
        self._tasks: dict[str, asyncio.Task[StreamConnection]] = {}

    async def get(self, loop: asyncio.AbstractEventLoop, server: str) -> StreamConnection:
        """The connection to a server, a new one where there is none. OSError where none comes up."""
        task = self._tasks.get(server)
        if task is None or (task.done() and not is_usable(task)):
            task = self._tasks[server] = asyncio.create_task(self._connect(loop, server))
        return await asyncio.shield(task)

    async def _connect(self, loop: asyncio.AbstractEventLoop, server: str) -> StreamConnection:
        host, port = parse_address(server.removeprefix(TLS))
        tls_options: dict[str, Any] = {}
        if server.startswith(TLS):
            context = self._tls or ssl.create_default_context()
            tls_options = {"ssl": context, "server_hostname": self._tls_name or host}
        try:
            _, connection = await loop.create_connection(
                lambda: StreamConnection(loop), host.strip("[]"), port, **tls_options
            )
        except ssl.SSLError as error:
            raise OSError(f"TLS: {error.reason or error}") from None
        return connection

    async def close(self) -> None:
        """Closes all connections, those included that are coming up."""
        tasks = list(self._tasks.values())
        for task in tasks:
            if task.done() and not task.cancelled() and task.exception() is None:
                task.result().close()
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def is_usable(task: asyncio.Task[StreamConnection]) -> bool:
    """Whether a task that is done has brought a connection that is still open."""
    return not task.cancelled() and task.exception() is None and not task.result().closed
