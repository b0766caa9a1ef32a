"""The operators' door: a second address, one HTTP/1.1 call to a connection."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from httptools import HttpParserError, HttpRequestParser

from harecross.downstream.listener import Listener
from harecross.node.config import bound_socket
from harecross.platform.log import log_exception, log_line
from harecross.platform.system_errors import AcceptFailure

ROOM = 8  # connections at once
BACKLOG = 100  # connections that wait to be taken
PATIENCE = 2.0  # seconds for a call to come whole
CALL_MOST = 1 << 13  # bytes of a call
TEXTS = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    500: b"Internal Server Error",
    503: b"Service Unavailable",
}
AdminAnswer = tuple[int, str]  # status and a line of text
AdminCall = Callable[[bytes], AdminAnswer]  # takes the body of a POST, the query of a GET


class AdminConnection(asyncio.Protocol):
    """One call, from its connection's start to its end."""

    def __init__(self, door: AdminServer) -> None:
        self.door = door
        self.parser = HttpRequestParser(self)
        self.transport: asyncio.Transport | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.url = self.body = b""
        self.size = 0
        self.done = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.timer = self.door.loop.call_later(PATIENCE, self.transport.abort)
        self.door.joined(self)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.door.open.pop(self, None)

    def data_received(self, data: bytes) -> None:
        self.size += len(data)
        if self.done:
            return
        try:
            self.parser.feed_data(data)
        except HttpParserError:
            if not self.done:
                self.answer((400, "not a call"))
            return
        if not self.done and self.size > CALL_MOST:
            self.answer((400, "too long"))

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"expect" and self.transport is not None:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_message_complete(self) -> None:
        if not self.done:
            self.answer(self.door.call(self.parser.get_method(), self.url, self.body))

    def answer(self, answer: AdminAnswer) -> None:
        self.done = True
        if self.transport is None:
            return
        status, text = answer
        self.transport.write(
            b"HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\n"
            b"Connection: close\r\n\r\n%s" % (status, TEXTS[status], len(text) + 1, text.encode() + b"\n")
        )
        # What the caller has still to say is read and thrown away until it closes, or its time is up.
        self.transport.write_eof()


class AdminServer:
    """The listener. `calls` holds what each method and path does."""

    def __init__(self, calls: dict[tuple[bytes, bytes], AdminCall]) -> None:
        self.loop = asyncio.get_running_loop()
        self.calls = calls
        self.open: dict[AdminConnection, None] = {}  # the oldest first
        self.listener: Listener | None = None
        self.address: tuple[str, int] = ("", 0)

    async def listen(self, host: str, port: int) -> None:
        """OSError where the address is not to be had."""
        sock = bound_socket((host, port))
        sock.listen(BACKLOG)
        self.listener = Listener(sock, lambda waiting: AdminConnection(self), self.accept)
        self.listener.start()
        self.address = sock.getsockname()

    def accept(self) -> None:
        assert self.listener is not None
        connection = self.listener.take()
        if not isinstance(connection, AcceptFailure):
            self.listener.welcome(connection)

    def close(self) -> None:
        if self.listener is not None:
            self.listener.stop()
            self.listener.sock.close()
        for caller in list(self.open):
            if caller.transport is not None:
                caller.transport.close()

    def joined(self, caller: AdminConnection) -> None:
        """Guards against: calls that never come whole hold every place, and an operator's waits for one."""
        if len(self.open) >= ROOM:
            oldest = next((c for c in self.open if c.done), next(iter(self.open)))
            del self.open[oldest]
            if oldest.transport is not None:
                oldest.transport.abort()
        self.open[caller] = None

    def call(self, method: bytes, url: bytes, body: bytes) -> AdminAnswer:
        path, _, query = url.partition(b"?")
        do = self.calls.get((method, path))
        if do is None:
            known = any(path == other for _, other in self.calls)
            return (405, "another method") if known else (404, "no such call")
        try:
            answer = do(query if method == b"GET" else body)
        except Exception:
            log_exception("door")
            return 500, "failed: see the log"
        if method != b"GET":
            log_line(f"door: {path.decode(errors='replace')} {body[:200]!r}: {answer[0]} {answer[1]}")
        return answer
