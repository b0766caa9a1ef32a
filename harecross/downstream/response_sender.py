"""Sends the responses of one client connection: small ones whole, large ones as their parts arrive from the server."""

from __future__ import annotations

import socket
import struct
from collections.abc import Callable
from contextlib import suppress

from harecross.dispatch.close_reasons import CloseReason
from harecross.downstream.connection_state import ConnectionState
from harecross.http.body_buffer import MAX_BUFFERED_BODY_BYTES, MAX_HELD_RESPONSE_BYTES
from harecross.platform.clock import monotonic_us
from harecross.platform.memory_ledger import SMALL_BODY_BYTES

# The size of the kernel's send buffer for a streamed response. The kernel doubles the value.
LARGE_RESPONSE_BUFFER_BYTES = 1 << 16
# A struct linger (see socket(7)) with a timeout of 0, so that closing the socket resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# The number of immediate attempts of a system call that fails because the machine is short of a resource.
MAX_OPTION_TRIES = 8
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
    """Implements `dispatch.request.ResponseWriter`, except for `is_connected`."""

    __slots__ = ()

    def finish_response(self, body: bytes) -> None:
        """Sends a whole response, or the end of a streamed one."""
        if self.set_response_paused is None:
            self.send_response(200, body)
            return
        self.set_response_paused = None
        if self.transport is not None:
            if self.response_chunked:
                self.transport.write(b"0\r\n\r\n")
            self.response_sent(closes=self.response_closes)

    def send_shed(self, retry_after: int) -> None:
        """Sends the response to a request that was shed; `retry_after` in microseconds, 0 for no header."""
        self.send_response(503, b"", retry_after)

    def send_failure(self) -> None:
        """Sends 502, or resets the connection if a streamed response has begun.

        A reset is the only end of the connection that no client mistakes for the end of a complete response.
        """
        if self.set_response_paused is None:
            self.send_response(502, b"")
        elif self.transport is not None:
            self.set_response_paused = None
            self.reset_on_close()
            self.abort(CloseReason.RESPONSE_ABORTED)

    def reset_on_close(self) -> None:
        """Makes the close of the connection reset it, unless the kernel keeps failing to set the option."""
        if self.transport is None:
            return
        sock = self.transport.get_extra_info("socket")
        for _ in range(MAX_OPTION_TRIES):
            with suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                return

    def begin_response(self, length: int | None, set_paused: Callable[[bool], None]) -> None:
        """Sends the head of a streamed response. `set_paused` pauses or resumes reading it from the server."""
        self.set_response_paused = set_paused
        if self.transport is None:
            return
        if length is None and not self.response_chunked:
            # An HTTP/1.0 client reads a response of unknown length until the connection is closed.
            self.keep_alive = False
        self.response_chunked = self.response_chunked and length is None
        self.response_closes = self.closes_after_response()
        framing = b"Transfer-Encoding: chunked\r\n" if self.response_chunked else b""
        if length is not None:
            framing = b"Content-Length: %d\r\n" % length
        # Data that a slow client does not read must stay at the server and be buffered neither here nor in the kernel.
        self.transport.set_write_buffer_limits(high=0)
        self.set_send_buffer(LARGE_RESPONSE_BUFFER_BYTES)
        connection = b"Connection: close\r\n" if self.response_closes else b""
        self.transport.write(b"HTTP/1.1 200 OK\r\n%s%s\r\n" % (framing, connection))

    def set_send_buffer(self, size: int) -> None:
        """Sets the size of the kernel's send buffer (SO_SNDBUF)."""
        if self.transport is not None:
            sock = self.transport.get_extra_info("socket")
            with suppress(OSError):  # the kernel's default size is acceptable
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, size)

    def send_part(self, data: bytes) -> None:
        """Sends a part of the body of a streamed response."""
        if self.transport is not None:
            self.transport.write(b"%x\r\n%s\r\n" % (len(data), data) if self.response_chunked else data)

    def closes_after_response(self) -> bool:
        """Returns whether the connection is closed after the current response.

        A draining node answers pending requests first.
        """
        draining = self.draining or self.owner.draining
        return not self.keep_alive or (draining and not self.pending and not self.unparsed)

    def drain(self) -> None:
        """See `dispatch.request.ResponseWriter`."""
        self.draining = True

    def send_response(self, status: int, body: bytes, retry_after_us: int = 0) -> None:
        """Sends a whole response, and closes the connection if it cannot be kept."""
        if self.transport is None:
            self.busy = False
            self.request = None
            return
        closes = self.closes_after_response()
        head = b"HTTP/1.1 %d %s\r\nContent-Length: %d\r\n%s%s\r\n" % (
            status,
            REASON_PHRASES[status],
            len(body),
            b"Retry-After: %.3f\r\n" % (retry_after_us / 1e6) if retry_after_us else b"",
            b"Connection: close\r\n" if closes else b"",
        )
        if len(body) > SMALL_BODY_BYTES:
            self.send_large(head, body)
        else:
            self.transport.write(head + body)
        self.response_sent(closes=closes)

    def send_large(self, head: bytes, body: bytes) -> None:
        """Sends a whole response that the kernel may not take at once, without a copy of it."""
        assert self.transport is not None
        if len(body) > MAX_BUFFERED_BODY_BYTES:
            self.set_send_buffer(MAX_HELD_RESPONSE_BYTES)
        elif not self.large_response:
            self.set_send_buffer(MAX_BUFFERED_BODY_BYTES)
        self.large_response = True
        self.transport.write(head)
        self.transport.write(body)
        # What the kernel does not take at once is held; the event loop may offer all of it at the end of this turn.
        self.backlogged = True
        self.owner.loop.call_soon(self.settle_backlog)

    def response_sent(self, *, closes: bool) -> None:
        """Continues with the connection after a response was written, or closes it."""
        self.responded_at_us = monotonic_us()
        was_busy, self.busy = self.busy, False
        upload, self.request, self.current_upload = self.current_upload, None, None
        if upload is not None and not upload.discarded:
            # The node has answered by itself, so that no server reads the body.
            upload.discard()
        if not self.keep_alive:
            # The client has announced that no request follows.
            self.pending.clear()
        self.settle()
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
