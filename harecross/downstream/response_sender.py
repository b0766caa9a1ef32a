"""Sends the responses of one client connection: whole ones at once, large ones as their parts come from the server."""

from __future__ import annotations

import socket
import struct
from collections.abc import Callable

from harecross.dispatch.close_reasons import CloseReason
from harecross.downstream.connection_state import ConnectionState

# The kernel's buffer for a large response; the kernel takes twice as much.
LARGE_RESPONSE_BUFFER_BYTES = 1 << 16
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # struct linger of socket(7)
REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
}


class ResponseSender(ConnectionState):
    """A `dispatch.dispatcher.ResponseWriter`, but for `is_connected`."""

    __slots__ = ()

    def finish_response(self, body: bytes) -> None:
        """The server's whole response, or the end of a large one."""
        if self.set_response_paused is None:
            self.send_response(200, body)
            return
        self.set_response_paused = None
        if self.transport is not None:
            if self.response_chunked:
                self.transport.write(b"0\r\n\r\n")
            self.response_sent(closes=self.response_closes)

    def send_shed(self, retry_after: int) -> None:
        """The request was shed; `retry_after` in microseconds, 0 for none."""
        self.send_response(503, b"", retry_after)

    def send_failure(self) -> None:
        """There is no response. One that has begun ends with a reset, the only end that no client takes for whole."""
        if self.set_response_paused is None:
            self.send_response(502, b"")
        elif self.transport is not None:
            self.set_response_paused = None
            sock = self.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            self.abort(CloseReason.RESPONSE_BROKEN_OFF)

    def begin_response(self, length: int | None, hold: Callable[[bool], None]) -> None:
        """Sends the head of a large response. `hold` stops the server's side, or lets it go on."""
        self.set_response_paused = hold
        if self.transport is None:
            return
        if length is None and not self.response_chunked:
            self.keep_alive = False  # an HTTP/1.0 client reads to the end of the connection
        self.response_chunked = self.response_chunked and length is None
        self.response_closes = self.closes_after_response()
        framing = b"Transfer-Encoding: chunked\r\n" if self.response_chunked else b""
        if length is not None:
            framing = b"Content-Length: %d\r\n" % length
        # What a slow client does not read is to wait at the server, neither here nor in the kernel.
        self.transport.set_write_buffer_limits(high=0)
        sock = self.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, LARGE_RESPONSE_BUFFER_BYTES)
        connection = b"Connection: close\r\n" if self.response_closes else b""
        self.transport.write(b"HTTP/1.1 200 OK\r\n%s%s\r\n" % (framing, connection))

    def send_part(self, data: bytes) -> None:
        """Sends a part of a large response's body."""
        if self.transport is not None:
            self.transport.write(b"%x\r\n%s\r\n" % (len(data), data) if self.response_chunked else data)

    def closes_after_response(self) -> bool:
        """Whether the connection is closed after the present response. Pending requests are answered first."""
        return not self.keep_alive or (not self.pending and self.owner.draining)

    def send_response(self, status: int, body: bytes, retry_after_us: int = 0) -> None:
        """Sends a whole response, and closes the connection where it cannot go on."""
        if self.transport is None:
            self.busy = False
            self.request = None
            return
        closes = self.closes_after_response()
        self.transport.write(
            b"HTTP/1.1 %d %s\r\nContent-Length: %d\r\n%s%s\r\n%s"
            % (
                status,
                REASON_PHRASES[status],
                len(body),
                b"Retry-After: %.3f\r\n" % (retry_after_us / 1e6) if retry_after_us else b"",
                b"Connection: close\r\n" if closes else b"",
                body,
            )
        )
        self.response_sent(closes=closes)

    def response_sent(self, *, closes: bool) -> None:
        """A response has been written: the connection goes on, or is closed."""
        was_busy, self.busy = self.busy, False
        self.request = self.current_upload = None
        if not self.keep_alive:
            self.pending.clear()  # the client has said that nothing more comes
        if not self.pending and not (self.receiving and self.incoming_upload is None):
            self.buffer_bytes(-self.buffered_bytes)
        if closes:
            self.close_after_response()
            return
        if self.reading_paused and not self.pending:
            self.resume_reading()
            if self.receiving:
                self.owner.mark_receiving(self)
        self.send_continue()
        if self.is_idle():
            self.owner.mark_idle(self)
        if was_busy and self.pending:
            self.owner.loop.call_soon(self.handle_pending)
