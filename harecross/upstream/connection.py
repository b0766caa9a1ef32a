"""One connection to a server. It carries one exchange at a time and sends none twice."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Sequence
from contextlib import suppress
from typing import Protocol, cast

from harecross.dispatch.close_reasons import ClosedConnection, CloseReason
from harecross.http.response_parser import ReadResult, ResponseParser
from harecross.interface import Outcome
from harecross.platform.clock import monotonic_us
from harecross.upstream.exchange import Exchange, HealthCheck

# Servers may send a second response some milliseconds after the first, which would be taken for that of the next
# exchange. A kept connection is therefore not used again for this time, or for a part of what its last exchange took:
# for each so many connections in use there is then one more.
MAX_REUSE_DELAY_US = 20_000
REUSE_DELAY_DIVISOR = 4


class ServerProcess:
    """One process of a server, as discovery lists it. A restart makes a new one."""

    __slots__ = ("connection_count", "host", "idle", "in_service", "port", "server", "started_at")

    def __init__(self, server: int, host: str, port: int, started_at: int) -> None:
        self.server = server
        self.host = host
        self.port = port
        self.started_at = started_at
        self.in_service = True
        self.connection_count = 0  # those that are being opened among them
        self.idle: list[ServerConnection] = []  # the one used last stands last

    @property
    def address(self) -> str:
        """Host and port."""
        return f"{self.host}:{self.port}"


class ConnectionOwner(Protocol):
    """What a connection needs of its pool (`ConnectionPool`)."""

    initial_buffer_bytes: int
    stream_buffer_bytes: int
    streaming: set[ServerConnection]
    malformed_responses: int
    on_connection_closed: Callable[[ClosedConnection], None]

    def record_load_report(self, text: bytes) -> Sequence[float]:
        """Returns the load report in a header or body; () if it is none."""

    def resize_stream_buffers(self) -> None:
        """The number of streamed bodies has changed."""

    def start_deadline_timer(self, exchange: Exchange) -> None:
        """Abandons the exchange at its deadline."""

    def release(self, connection: ServerConnection) -> None:
        """Keeps an idle connection for the next exchange."""

    def remove(self, connection: ServerConnection) -> None:
        """The connection is closed."""

    def finish(
        self, exchange: Exchange, outcome: Outcome, body: bytes = b"", report: Sequence[float] = ()
    ) -> None:
        """The exchange has its outcome."""


class ServerConnection(asyncio.Protocol):
    """A connection to one server process."""

    __slots__ = (
        "closed_record",
        "descriptor",
        "exchange",
        "idle_since_us",
        "parser",
        "pool",
        "process",
        "progress_us",
        "read_paused",
        "receive_buffer_bytes",
        "reusable_from_us",
        "sent",
        "transport",
        "upload_unfinished",
        "usable",
        "write_blocked",
    )

    def __init__(self, pool: ConnectionOwner, process: ServerProcess) -> None:
        self.pool = pool
        self.process = process
        self.transport: asyncio.Transport | None = None
        self.parser: ResponseParser | None = None
        self.exchange: Exchange | None = None
        self.idle_since_us = 0  # 0: it has carried no exchange yet
        self.sent = False  # the last byte of the exchange's message has left this process
        self.usable = True  # it may carry a further exchange
        self.upload_unfinished = False  # more of the upload is to be written
        self.write_blocked = False  # the server does not read what was written
        self.read_paused = False  # the client does not read what the server sent
        self.progress_us = 0  # when a streamed body last went on
        self.receive_buffer_bytes = 0  # of the kernel, as asked for; 0 for its own choice
        self.descriptor = -1
        self.reusable_from_us = 0
        self.closed_record: ClosedConnection | None = None  # why this side has closed it

    # ---- asyncio --------------------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See `asyncio.Protocol`."""
        self.transport = cast(asyncio.Transport, transport)
        self.descriptor = transport.get_extra_info("socket").fileno()
        # Writes are then tried at once, and `pause_writing` means that bytes have not left this process.
        self.transport.set_write_buffer_limits(high=0)
        # What a slow client does not read would otherwise grow to megabytes in the kernel.
        self.set_receive_buffer(self.pool.initial_buffer_bytes)

    def pause_writing(self) -> None:
        """See `asyncio.Protocol`."""
        self.write_blocked = True
        self.sent = False

    def resume_writing(self) -> None:
        """See `asyncio.Protocol`."""
        self.write_blocked = False
        if self.upload_unfinished:
            self.write_upload()
        elif self.exchange is not None and self.exchange.upload is not None and not self.sent:
            self.upload_written(self.exchange)
        else:
            self.sent = True

    def data_received(self, data: bytes) -> None:
        """See `asyncio.Protocol`."""
        if self.exchange is None or self.parser is None:
            # Bytes outside any exchange would be taken for the beginning of the next response.
            self.discard(CloseReason.MALFORMED_RESPONSE)
            return
        self.handle_result(self.parser, self.parser.feed(data))

    def eof_received(self) -> bool:
        """See `asyncio.Protocol`. Returns False: the transport closes itself."""
        if self.exchange is not None and self.parser is not None:
            result = self.parser.feed_eof()
            if result == ReadResult.COMPLETE:
                self.usable = False
                self.handle_result(self.parser, result)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """See `asyncio.Protocol`."""
        self.pool.remove(self)
        self.usable = False
        self.transport = None
        if self.parser is not None:
            self.parser.close()
        if self.exchange is not None:
            self.fail_exchange(CloseReason.PEER)
        closed = self.closed_record or ClosedConnection("server", self.process.address, CloseReason.PEER)
        self.pool.on_connection_closed(closed)

    # ---- requests -------------------------------------------------------------------------------------

    def start(self, exchange: Exchange, now: int) -> None:
        """Writes the exchange's message, or what there is of it."""
        assert self.transport is not None
        self.exchange = exchange
        exchange.connection = self
        self.parser = ResponseParser()
        self.set_receive_buffer(self.pool.initial_buffer_bytes)
        upload = exchange.upload
        if upload is not None:
            self.sent, self.upload_unfinished, self.progress_us = False, True, now
            self.pool.streaming.add(self)
            timeout_us = max(1, exchange.upload_timeout_us)
            self.transport.write(b"%sX-Timeout: %du\r\n\r\n" % (exchange.head, timeout_us))
            upload.attach(self.write_upload)
            self.write_upload()
            return
        self.sent = True
        timeout_us = max(1, exchange.deadline_us - now)
        self.transport.write(b"%sX-Timeout: %du\r\n\r\n%s" % (exchange.head, timeout_us, exchange.body))
        if self.transport.is_closing():
            self.sent = False
        exchange.request_written(fresh=self.idle_since_us == 0, whole=self.sent)

    def write_upload(self) -> None:
        """Writes what there is of the upload."""
        exchange = self.exchange
        if exchange is None or exchange.upload is None or self.write_blocked or self.transport is None:
            return
        upload = exchange.upload
        data, complete = upload.read(), upload.complete
        if upload.length is None:
            data = b"%x\r\n%s\r\n" % (len(data), data) if data else b""
            if complete:
                data += b"0\r\n\r\n"
        self.progress_us = monotonic_us()
        if complete:
            self.upload_unfinished = False
            upload.detach()
        if data:
            self.transport.write(data)
        if complete and not self.write_blocked:
            self.upload_written(exchange)

    def upload_written(self, exchange: Exchange) -> None:
        """The last byte of an upload has left this process: the time for the response begins."""
        self.pool.streaming.discard(self)
        if self.transport is None or self.transport.is_closing():
            return
        self.sent = True
        exchange.started_us = monotonic_us()
        exchange.deadline_us = min(exchange.deadline_us, exchange.started_us + exchange.upload_timeout_us)
        if exchange.deadline_timer is None:
            self.pool.start_deadline_timer(exchange)
        exchange.upload_sent()

    # ---- responses ------------------------------------------------------------------------------------

    def handle_result(self, parser: ResponseParser, result: ReadResult) -> None:
        """Acts on what was parsed of the response."""
        if parser.streaming and not self.forward_body(parser):
            return
        if result == ReadResult.COMPLETE:
            self.complete_exchange(parser)
        elif result == ReadResult.MALFORMED:
            # The server has run the request, but no client can use its response, nor what may follow it.
            self.pool.malformed_responses += 1
            self.fail_exchange(CloseReason.MALFORMED_RESPONSE)

    def forward_body(self, parser: ResponseParser) -> bool:
        """Forwards what was received of a streamed response; returns whether anybody wants more."""
        exchange = self.exchange
        assert exchange is not None
        self.progress_us = monotonic_us()
        if not exchange.response_streamed and not self.begin_streaming(exchange, parser):
            return False
        part = parser.read_body()
        if part:
            exchange.response_part(part)
        return self.exchange is exchange  # writing to the client may have shown that it is gone

    def begin_streaming(self, exchange: Exchange, parser: ResponseParser) -> bool:
        """Tells the exchange that its response is streamed; returns whether anybody wants it."""
        if not exchange.response_started(parser.length, self.pool.record_load_report(parser.load_report)):
            self.fail_exchange(CloseReason.ABANDONED)
            return False
        exchange.response_streamed = True
        if exchange.deadline_timer is not None:
            exchange.deadline_timer.cancel()
        self.pool.streaming.add(self)
        self.pool.resize_stream_buffers()
        self.set_receive_buffer(self.pool.stream_buffer_bytes)
        return True

    def set_receive_buffer(self, size: int) -> None:
        """Sets how many bytes the kernel keeps of what the server sends."""
        if self.transport is not None and size != self.receive_buffer_bytes:
            self.receive_buffer_bytes = size
            sock = self.transport.get_extra_info("socket")
            with suppress(OSError):  # the kernel's own size will do
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)

    def set_read_paused(self, paused: bool) -> None:
        """Stops reading the response, or goes on."""
        if self.read_paused == paused or self.transport is None:
            return
        self.read_paused = paused
        self.progress_us = monotonic_us()
        if paused:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    # ---- the end of an exchange -----------------------------------------------------------------------

    def complete_exchange(self, parser: ResponseParser) -> None:
        """The response is complete: the connection is kept, if nothing speaks against it."""
        exchange = self.exchange
        assert exchange is not None
        text = parser.load_report
        if not text and isinstance(exchange, HealthCheck):
            text = parser.body  # /_load answers with the report itself
        report = self.pool.record_load_report(text)
        self.detach(exchange)
        self.exchange = self.parser = None
        # If the response came before the last byte was sent, the rest of the request would open the next one.
        if parser.reusable and self.sent and self.usable:
            now = monotonic_us()
            self.reusable_from_us = now + min(
                MAX_REUSE_DELAY_US, (now - exchange.started_us) // REUSE_DELAY_DIVISOR
            )
            self.pool.release(self)
        else:
            self.discard(CloseReason.LAST_RESPONSE, exchange)
        self.pool.finish(exchange, parser.outcome(), parser.body, report)

    def fail_exchange(self, reason: CloseReason) -> None:
        """The connection is of no use under an exchange.

        The server has not run it if the last byte had not left this process, and may have run it otherwise. That
        holds for a kept connection too: if the server has just closed it, it may have read the request before.
        """
        exchange = self.exchange
        assert exchange is not None
        self.detach(exchange)
        self.exchange = None
        sent = self.sent
        self.discard(reason, exchange)
        self.pool.finish(exchange, Outcome.RESET if sent else Outcome.CONNECT_FAILED)

    def abandon_exchange(self, exchange: Exchange) -> None:
        """Closes the connection, for the response could still come on it. The exchange gets no outcome here."""
        self.detach(exchange)
        self.exchange = None
        self.discard(CloseReason.ABANDONED, exchange)

    def detach(self, exchange: Exchange) -> None:
        """The exchange has no more to do with this connection."""
        self.upload_unfinished = False
        self.pool.streaming.discard(self)
        if exchange.upload is not None:
            exchange.upload.detach()
        if self.read_paused:
            self.set_read_paused(False)

    def discard(self, reason: CloseReason, exchange: Exchange | None = None) -> None:
        """Closes the connection at once; `exchange` is the one that ends with it."""
        self.usable = False
        if self.closed_record is None:
            request_id = exchange.request_id() if exchange is not None else ""
            self.closed_record = ClosedConnection("server", self.process.address, reason, request_id)
        if self.transport is not None:
            self.transport.abort()
