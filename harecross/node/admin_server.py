"""The admin server for operators: it listens on an address of its own and handles one HTTP/1.1 call per connection."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from httptools import HttpParserError, HttpRequestParser

from harecross.downstream.listener import Listener
from harecross.node.config import bind_socket
from harecross.platform.log import log_exception, log_line
from harecross.platform.system_errors import AcceptFailure

MAX_ADMIN_CONNECTIONS = 8
LISTEN_BACKLOG = 100
CALL_TIMEOUT_S = 2.0  # a connection is aborted after this time if its call is still incomplete
MAX_CALL_BYTES = 1 << 13
LOGGED_BODY_BYTES = 200
REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    500: b"Internal Server Error",
    503: b"Service Unavailable",
}
# The answer to a call: the HTTP status, and one line of text for the body.
AdminAnswer = tuple[int, str]
# A handler of a call, which gets the body of a POST or the query string of a GET.
AdminCall = Callable[[bytes], AdminAnswer]


class AdminConnection(asyncio.Protocol):
    """One connection to the admin server, and its only call."""

    def __init__(self, server: AdminServer) -> None:
        self.server = server
        self.parser = HttpRequestParser(self)
        self.transport: asyncio.Transport | None = None
        self.timeout: asyncio.TimerHandle | None = None
        self.url = self.body = b""
        self.received_bytes = 0
        self.answered = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the event loop when the connection is established."""
        self.transport = cast(asyncio.Transport, transport)
        self.timeout = self.server.loop.call_later(CALL_TIMEOUT_S, self.transport.abort)
        self.server.connection_opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Called by the event loop when the connection is closed."""
        if self.timeout is not None:
            self.timeout.cancel()
        self.server.open.pop(self, None)

    def data_received(self, data: bytes) -> None:
        """Feeds the received bytes to the parser. Bytes after the end of the call are ignored."""
        self.received_bytes += len(data)
        if self.answered:
            return
        try:
            self.parser.feed_data(data)
        except HttpParserError:
            if not self.answered:
                self.answer((400, "not a call"))
            return
        if not self.answered and self.received_bytes > MAX_CALL_BYTES:
            self.answer((400, "too long"))

    def on_url(self, url: bytes) -> None:
        """Called by the parser, possibly with only a part of the URL."""
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser for each header. Answers `Expect: 100-continue`, because the client waits for it."""
        if name.lower() == b"expect" and self.transport is not None:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Called by the parser, possibly with only a part of the body."""
        self.body += body

    def on_message_complete(self) -> None:
        """Called by the parser at the end of the call. Runs the call and answers it."""
        if not self.answered:
            self.answer(self.server.call(self.parser.get_method(), self.url, self.body))

    def answer(self, answer: AdminAnswer) -> None:
        """Writes the answer. The client closes the connection; bytes that it sends until then are discarded."""
        self.answered = True
        if self.transport is None:
            return
        status, text = answer
        self.transport.write(
            b"HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\n"
            b"Connection: close\r\n\r\n%s"
            % (status, REASON_PHRASES[status], len(text) + 1, text.encode() + b"\n")
        )
        self.transport.write_eof()


class AdminServer:
    """Listens for calls and runs them.

    Attributes:
        calls: The handler of each call, by method and path.
        open: The open connections, oldest first.
    """

    def __init__(self, calls: dict[tuple[bytes, bytes], AdminCall]) -> None:
        self.loop = asyncio.get_running_loop()
        self.calls = calls
        self.open: dict[AdminConnection, None] = {}
        self.listener: Listener | None = None
        self.address: tuple[str, int] = ("", 0)

    async def listen(self, host: str, port: int) -> None:
        """Opens the listener. Raises OSError if the address cannot be bound."""
        sock = bind_socket((host, port))
        sock.listen(LISTEN_BACKLOG)
        self.listener = Listener(sock, lambda unread_interval: AdminConnection(self), self.accept)
        self.listener.start()
        self.address = sock.getsockname()

    def accept(self) -> None:
        """Accepts one connection from the backlog."""
        assert self.listener is not None
        connection = self.listener.accept()
        if not isinstance(connection, AcceptFailure):
            self.listener.set_up(connection)

    def close(self) -> None:
        """Closes the listener and all connections."""
        if self.listener is not None:
            self.listener.stop()
            self.listener.sock.close()
        for connection in list(self.open):
            if connection.transport is not None:
                connection.transport.close()

    def connection_opened(self, connection: AdminConnection) -> None:
        """Registers the connection. At the limit it evicts one that is already answered, or else the oldest one.

        Without the eviction, clients whose calls never become complete could use up all connections.
        """
        if len(self.open) >= MAX_ADMIN_CONNECTIONS:
            evicted = next((c for c in self.open if c.answered), next(iter(self.open)))
            del self.open[evicted]
            if evicted.transport is not None:
                evicted.transport.abort()
        self.open[connection] = None

    def call(self, method: bytes, url: bytes, body: bytes) -> AdminAnswer:
        """Runs one call, and logs it unless it is a GET."""
        path, _, query = url.partition(b"?")
        handler = self.calls.get((method, path))
        if handler is None:
            path_exists = any(path == known_path for _, known_path in self.calls)
            return (405, "another method") if path_exists else (404, "no such call")
        try:
            answer = handler(query if method == b"GET" else body)
        except Exception:
            log_exception("door")
            return 500, "failed: see the log"
        if method != b"GET":
            path_text, body_start = path.decode(errors="replace"), body[:LOGGED_BODY_BYTES]
            log_line(f"door: {path_text} {body_start!r}: {answer[0]} {answer[1]}")
        return answer
