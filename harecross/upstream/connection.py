"""One connection to a server: it carries one exchange at a time, and nothing here sends an exchange twice."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Sequence
from contextlib import suppress
from typing import TYPE_CHECKING, cast

from harecross.dispatch.close_reasons import ClosedConnection, CloseReason
from harecross.http.response_parser import ReadResult, ResponseParser, parse_load_report
from harecross.interface import Outcome
from harecross.platform.clock import monotonic_us
from harecross.upstream.exchange import Exchange, HealthCheck, ServerProcess

if TYPE_CHECKING:
    from harecross.upstream.connection_pool import ConnectionPool

# A second answer may come some milliseconds after the first (STANDING, "Days at full size") and would be taken for the
# next exchange's. A kept connection rests for so long before that one, or for one part in so many of what the last one
# took: there is then a connection more for each so many in use.
MAX_REST_US = 20_000
REST_DIVISOR = 4


class ServerConnection(asyncio.Protocol):
    """A connection to a server."""

    __slots__ = (
        "pool",
        "process",
        "transport",
        "parser",
        "exchange",
        "sent",
        "idle_since_us",
        "usable",
        "upload_unfinished",
        "write_blocked",
        "read_paused",
        "progress_us",
        "receive_buffer_bytes",
        "descriptor",
        "reusable_from_us",
        "closed_record",
    )

    def __init__(self, pool: ConnectionPool, target: ServerProcess) -> None:
        self.pool = pool
        self.process = target
        self.transport: asyncio.Transport | None = None
        self.parser: ResponseParser | None = None
        self.exchange: Exchange | None = None
        self.idle_since_us = 0
        self.sent = False
        self.usable = True
        self.upload_unfinished = False  # more of an upload is to come
        self.write_blocked = False  # the server does not take what was written
        self.read_paused = False  # the caller does not take what the server sent
        self.progress_us = 0  # when a large body last went on
        self.receive_buffer_bytes = 0  # of the kernel for what the server sends, as asked for
        self.descriptor = -1
        self.reusable_from_us = 0  # when it may carry the next exchange
        self.closed_record: ClosedConnection | None = None  # why this side has ended it

    # ---- asyncio --------------------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.descriptor = transport.get_extra_info("socket").fileno()
        # With no room in the buffer a write is tried at once, and a pause tells that bytes have not left.
        self.transport.set_write_buffer_limits(high=0)
        # Guards against: what a caller takes slowly piles up by the megabyte in the kernel.
        self.set_receive_buffer(self.pool.first_buffer_bytes)

    def pause_writing(self) -> None:
        self.write_blocked = True
        self.sent = False

    def resume_writing(self) -> None:
        self.write_blocked = False
        if self.upload_unfinished:
            self.write_upload()
        elif self.exchange is not None and self.exchange.upload is not None and not self.sent:
            self.upload_written(self.exchange)
        else:
            self.sent = True

    def data_received(self, data: bytes) -> None:
        if self.exchange is None or self.parser is None:
            # Stray bytes: whatever they are, they would be taken for the next answer.
            self.discard(CloseReason.MALFORMED_RESPONSE)
            return
        self.handle_result(self.parser, self.parser.feed(data))

    def eof_received(self) -> bool:
        if self.exchange is not None and self.parser is not None:
            reading = self.parser.feed_eof()
            if reading == ReadResult.COMPLETE:
                self.usable = False
                self.handle_result(self.parser, reading)
        return False

    def handle_result(self, answer: ResponseParser, reading: ReadResult) -> None:
        """What has been read of the answer."""
        if answer.streaming and not self.forward_body(answer):
            return
        if reading == ReadResult.COMPLETE:
            self.complete_exchange(answer)
        elif reading == ReadResult.MALFORMED:
            # The request has run; what came of it is nothing to show a caller, and nor is what may follow.
            self.pool.malformed_responses += 1
            self.fail_exchange(CloseReason.MALFORMED_RESPONSE)

    def forward_body(self, answer: ResponseParser) -> bool:
        """Passes on what has come of a large answer; whether anybody wants it."""
        exchange = self.exchange
        assert exchange is not None
        self.progress_us = monotonic_us()
        if not exchange.response_begun:
            if not exchange.response_begins(answer.length, self.record_load_report(answer.load_report)):
                self.fail_exchange(CloseReason.ABANDONED)
                return False
            exchange.response_begun = True
            if exchange.deadline_timer is not None:
                exchange.deadline_timer.cancel()
            self.pool.streaming.add(self)
            self.pool.resize_stream_buffers()
            self.set_receive_buffer(self.pool.stream_buffer_bytes)
        part = answer.read_body()
        if part:
            exchange.response_part(part)
        return self.exchange is exchange  # its caller may have gone over this

    def set_receive_buffer(self, size: int) -> None:
        """How much the kernel takes of what the server sends."""
        if self.transport is not None and size != self.receive_buffer_bytes:
            self.receive_buffer_bytes = size
            sock = self.transport.get_extra_info("socket")
            with suppress(OSError):  # the kernel's own size serves as well
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)

    def set_read_paused(self, on: bool) -> None:
        """Reads no more of the answer for now, or goes on."""
        if self.read_paused == on or self.transport is None:
            return
        self.read_paused = on
        self.progress_us = monotonic_us()
        if on:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        self.pool.descriptors.upstream_connections -= 1
        self.process.connection_count -= 1
        self.pool.streaming.discard(self)
        self.usable = False
        self.transport = None
        if self.parser is not None:
            self.parser.release_parser()
        if self in self.process.idle:
            self.process.idle.remove(self)
        if self.exchange is not None:
            self.fail_exchange(CloseReason.PEER)
        self.pool.on_connection_closed(
            self.closed_record or ClosedConnection("server", self.process.address, CloseReason.PEER)
        )

    # ---- exchanges ------------------------------------------------------------------------------------

    def start(self, exchange: Exchange, now: int) -> None:
        """Writes the exchange's message."""
        assert self.transport is not None
        self.exchange = exchange
        exchange.connection = self
        self.parser = ResponseParser()
        self.set_receive_buffer(self.pool.first_buffer_bytes)
        upload = exchange.upload
        if upload is not None:
            self.sent, self.upload_unfinished, self.progress_us = False, True, now
            self.pool.streaming.add(self)
            self.transport.write(
                b"%sX-Timeout: %du\r\n\r\n" % (exchange.head, max(1, exchange.upload_timeout_us))
            )
            upload.attach(self.write_upload)
            self.write_upload()
            return
        self.sent = True
        self.transport.write(
            b"%sX-Timeout: %du\r\n\r\n%s" % (exchange.head, max(1, exchange.deadline_us - now), exchange.body)
        )
        if self.transport.is_closing():
            self.sent = False
        exchange.request_written(self.idle_since_us == 0, self.sent)

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
        """The last byte of an upload has left: its time begins."""
        self.pool.streaming.discard(self)
        if self.transport is None or self.transport.is_closing():
            return
        self.sent = True
        exchange.started_us = monotonic_us()
        exchange.deadline_us = min(exchange.deadline_us, exchange.started_us + exchange.upload_timeout_us)
        if exchange.deadline_timer is None:
            self.pool.start_deadline_timer(exchange)
        exchange.upload_sent()

    def record_load_report(self, text: bytes) -> Sequence[float]:
        """The load report in a header, if it is one."""
        report = parse_load_report(text, self.pool.report_positions, self.pool.report_size) if text else ()
        self.pool.load_reports += bool(report)
        return report

    def complete_exchange(self, answer: ResponseParser) -> None:
        """A whole answer has come."""
        exchange = self.exchange
        assert exchange is not None
        # /_load answers with the report itself.
        report = self.record_load_report(
            answer.load_report or (answer.body if isinstance(exchange, HealthCheck) else b"")
        )
        self.detach(exchange)
        whole = self.sent  # an answer before the last byte has left leaves half a request on the line
        self.exchange = self.parser = None
        if answer.reusable and whole and self.usable:
            now = monotonic_us()
            self.reusable_from_us = now + min(MAX_REST_US, (now - exchange.started_us) // REST_DIVISOR)
            self.pool.release(self)
        else:
            self.discard(CloseReason.LAST_RESPONSE, exchange)
        self.pool.finish(exchange, answer.outcome(), answer.body, report)

    def fail_exchange(self, reason: CloseReason) -> None:
        """Broken under a request: it never ran if the last byte had not left, and may have run otherwise.

        Guards against: a kept connection that the server has just closed looks like one that never came
        up. Its request may have been read, so it is a reset and nothing here sends it again.
        """
        exchange = self.exchange
        assert exchange is not None
        self.detach(exchange)
        self.exchange = None
        sent = self.sent
        self.discard(reason, exchange)
        self.pool.finish(exchange, Outcome.RESET if sent else Outcome.CONNECT_FAILED)

    def detach(self, exchange: Exchange) -> None:
        """The exchange has no more to do with this connection."""
        self.upload_unfinished = False
        self.pool.streaming.discard(self)
        if exchange.upload is not None:
            exchange.upload.detach()
        if self.read_paused:
            self.set_read_paused(False)

    def discard(self, reason: CloseReason, exchange: Exchange | None = None) -> None:
        """Closes it at once; `exchange` is the one it ends with."""
        self.usable = False
        if self.closed_record is None:
            request = exchange.request_id() if exchange is not None else ""
            self.closed_record = ClosedConnection("server", self.process.address, reason, request)
        if self.transport is not None:
            self.transport.abort()
