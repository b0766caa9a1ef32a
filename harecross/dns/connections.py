"""Transports for DNS messages: a UDP socket for each attempt, and a connection for each server over TCP or TLS."""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import Callable
from typing import Any, NamedTuple, cast

from harecross.dns.frames import FrameDecoder, frame
from harecross.dns.servers import TLS
from harecross.settings import parse_address

IDLE_TIMEOUT_S = 5.0  # a connection without outstanding queries is closed after this time (RFC 7766, 6.2.3)


class AttemptCallbacks(NamedTuple):
    """The callbacks that receive the results of one query.

    Attributes:
        received: Called with each message that arrives for the query.
        failed: Called with the reason if the query cannot be sent or its transport fails.
    """

    received: Callable[[bytes], None]
    failed: Callable[[str], None]


class UdpProtocol(asyncio.DatagramProtocol):
    """The UDP socket of one attempt. It is connected, so the kernel drops datagrams from other addresses."""

    def __init__(self, callbacks: AttemptCallbacks) -> None:
        self._callbacks = callbacks

    def datagram_received(self, data: bytes, addr: object) -> None:
        """Reports a message that arrived."""
        self._callbacks.received(data)

    def error_received(self, exc: Exception) -> None:
        """Reports a network error for the query, such as an ICMP port unreachable."""
        self._callbacks.failed(f"network error: {exc}")


class StreamConnection(asyncio.Protocol):
    """A TCP or TLS connection to one server, shared by all lookups. Queries on it are pipelined."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.closed = False
        self._loop = loop
        self._decoder = FrameDecoder()
        self._transport: asyncio.Transport | None = None
        self._outstanding: dict[int, list[AttemptCallbacks]] = {}  # by message id
        self._idle_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport of the new connection."""
        self._transport = cast(asyncio.Transport, transport)

    def send(self, message: bytes, callbacks: AttemptCallbacks) -> None:
        """Sends a query and reports its result through `callbacks`."""
        assert self._transport is not None
        self._cancel_idle_timer()
        self._outstanding.setdefault(message_id(message), []).append(callbacks)
        self._transport.write(frame(message))

    def data_received(self, data: bytes) -> None:
        """Reports the messages that are complete, and starts the idle timer if no query is outstanding."""
        for message in self._decoder.feed(data):
            for callbacks in self._outstanding.pop(message_id(message), ()):
                callbacks.received(message)
        if not self._outstanding and not self.closed:
            self._cancel_idle_timer()
            self._idle_timer = self._loop.call_later(IDLE_TIMEOUT_S, self.close)

    def close(self) -> None:
        """Closes the connection."""
        self.closed = True
        if self._transport is not None:
            self._transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Reports the failure of all outstanding queries."""
        self.closed = True
        self._cancel_idle_timer()
        outstanding, self._outstanding = self._outstanding, {}
        for group in outstanding.values():
            for callbacks in group:
                callbacks.failed("connection closed before the reply")

    def _cancel_idle_timer(self) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()


def message_id(message: bytes) -> int:
    """Returns the id of a DNS message, which is its first two bytes."""
    return int.from_bytes(message[:2], "big")


class ConnectionCache:
    """The TCP and TLS connections to all servers, opened on demand."""

    def __init__(self, tls: ssl.SSLContext | None, tls_name: str) -> None:
        """`tls_name` is the name that the servers' certificates must have; empty means the server's address."""
        self._tls = tls
        self._tls_name = tls_name
        self._tasks: dict[str, asyncio.Task[StreamConnection]] = {}

    async def get(self, loop: asyncio.AbstractEventLoop, server: str) -> StreamConnection:
        """Returns the open connection to a server, or opens one. Raises OSError if it cannot be opened."""
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
        """Closes all connections, including those still being established."""
        tasks = list(self._tasks.values())
        for task in tasks:
            if task.done() and not task.cancelled() and task.exception() is None:
                task.result().close()
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def is_usable(task: asyncio.Task[StreamConnection]) -> bool:
    """Returns whether a finished connection task succeeded and its connection is still open."""
    return not task.cancelled() and task.exception() is None and not task.result().closed
