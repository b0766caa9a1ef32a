"""One connection to a server: it carries one exchange at a time, and nothing here sends an exchange twice."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Sequence
from contextlib import suppress
from typing import TYPE_CHECKING, cast

from harecross.dispatch.close_reasons import CloseReason, Closing
from harecross.http.response_parser import ReadResult, ResponseParser, read_report
from harecross.interface import Outcome
from harecross.platform.clock import monotonic_us
from harecross.upstream.exchange import Exchange, HealthCheck, ServerProcess

if TYPE_CHECKING:
    from harecross.upstream.connection_pool import ConnectionPool

# A second answer may come some milliseconds after the first (STANDING, "Days at full size") and would be taken for the
# next exchange's. A kept connection rests for so long before that one, or for one part in so many of what the last one
# took: there is then a connection more for each so many in use.
REST_MOST = 20_000
REST_PART = 4


class ServerConnection(asyncio.Protocol):
    """A connection to a server."""

    __slots__ = (
        "pool",
        "target",
        "transport",
        "answer",
        "exchange",
        "sent",
        "since",
        "usable",
        "rest",
        "stuck",
        "held",
        "moved",
        "buffer",
        "descriptor",
        "rested",
        "closing",
    )

    def __init__(self, pool: ConnectionPool, target: ServerProcess) -> None:
        self.pool = pool
        self.target = target
        self.transport: asyncio.Transport | None = None
        self.answer: ResponseParser | None = None
        self.exchange: Exchange | None = None
        self.since = 0
        self.sent = False
        self.usable = True
        self.rest = False  # more of an upload is to come
        self.stuck = False  # the server does not take what was written
        self.held = False  # the caller does not take what the server sent
        self.moved = 0  # when a large body last went on
        self.buffer = 0  # of the kernel for what the server sends, as asked for
        self.descriptor = -1
        self.rested = 0  # when it may carry the next exchange
        self.closing: Closing | None = None  # why this side has ended it

    # ---- asyncio --------------------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.descriptor = transport.get_extra_info("socket").fileno()
        # With no room in the buffer a write is tried at once, and a pause tells that bytes have not left.
        self.transport.set_write_buffer_limits(high=0)
        # Guards against: what a caller takes slowly piles up by the megabyte in the kernel.
        self.narrow(self.pool.first)

    def pause_writing(self) -> None:
        self.stuck = True
        self.sent = False

    def resume_writing(self) -> None:
        self.stuck = False
        if self.rest:
            self.more()
        elif self.exchange is not None and self.exchange.upload is not None and not self.sent:
            self.all_left(self.exchange)
        else:
            self.sent = True

    def data_received(self, data: bytes) -> None:
        if self.exchange is None or self.answer is None:
            # Stray bytes: whatever they are, they would be taken for the next answer.
            self.discard(CloseReason.SPOILT)
            return
        self.read(self.answer, self.answer.feed(data))

    def eof_received(self) -> bool:
        if self.exchange is not None and self.answer is not None:
            reading = self.answer.end()
            if reading == ReadResult.WHOLE:
                self.usable = False
                self.read(self.answer, reading)
        return False

    def read(self, answer: ResponseParser, reading: ReadResult) -> None:
        """What has been read of the answer."""
        if answer.streaming and not self.pass_on(answer):
            return
        if reading == ReadResult.WHOLE:
            self.settle(answer)
        elif reading == ReadResult.SPOILT:
            # The request has run; what came of it is nothing to show a caller, and nor is what may follow.
            self.pool.spoilt += 1
            self.lost(CloseReason.SPOILT)

    def pass_on(self, answer: ResponseParser) -> bool:
        """Passes on what has come of a large answer; whether anybody wants it."""
        exchange = self.exchange
        assert exchange is not None
        self.moved = monotonic_us()
        if not exchange.begun:
            if not exchange.begin(answer.length, self.report_in(answer.report)):
                self.lost(CloseReason.GIVEN_UP)
                return False
            exchange.begun = True
            if exchange.timer is not None:
                exchange.timer.cancel()
            self.pool.streams.add(self)
            self.pool.fit_buffers()
            self.narrow(self.pool.buffer)
        part = answer.take()
        if part:
            exchange.part(part)
        return self.exchange is exchange  # its caller may have gone over this

    def narrow(self, size: int) -> None:
        """How much the kernel takes of what the server sends."""
        if self.transport is not None and size != self.buffer:
            self.buffer = size
            sock = self.transport.get_extra_info("socket")
            with suppress(OSError):  # the kernel's own size serves as well
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)

    def hold(self, on: bool) -> None:
        """Reads no more of the answer for now, or goes on."""
        if self.held == on or self.transport is None:
            return
        self.held = on
        self.moved = monotonic_us()
        if on:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        self.pool.descriptor_budget.upstream_connections -= 1
        self.target.links -= 1
        self.pool.streams.discard(self)
        self.usable = False
        self.transport = None
        if self.answer is not None:
            self.answer.drop()
        if self in self.target.idle:
            self.target.idle.remove(self)
        if self.exchange is not None:
            self.lost(CloseReason.PEER)
        self.pool.on_closed(self.closing or Closing("server", self.target.address, CloseReason.PEER))

    # ---- exchanges ------------------------------------------------------------------------------------

    def start(self, exchange: Exchange, now: int) -> None:
        """Writes the exchange's message."""
        assert self.transport is not None
        self.exchange = exchange
        exchange.conn = self
        self.answer = ResponseParser()
        self.narrow(self.pool.first)
        upload = exchange.upload
        if upload is not None:
            self.sent, self.rest, self.moved = False, True, now
            self.pool.streams.add(self)
            self.transport.write(b"%sX-Timeout: %du\r\n\r\n" % (exchange.head, max(1, exchange.patience)))
            upload.attach(self.more)
            self.more()
            return
        self.sent = True
        self.transport.write(
            b"%sX-Timeout: %du\r\n\r\n%s" % (exchange.head, max(1, exchange.until - now), exchange.body)
        )
        if self.transport.is_closing():
            self.sent = False
        exchange.written(self.since == 0, self.sent)

    def more(self) -> None:
        """Writes what there is of the upload."""
        exchange = self.exchange
        if exchange is None or exchange.upload is None or self.stuck or self.transport is None:
            return
        upload = exchange.upload
        data, complete = upload.take(), upload.complete
        if upload.length is None:
            data = b"%x\r\n%s\r\n" % (len(data), data) if data else b""
            if complete:
                data += b"0\r\n\r\n"
        self.moved = monotonic_us()
        if complete:
            self.rest = False
            upload.detach()
        if data:
            self.transport.write(data)
        if complete and not self.stuck:
            self.all_left(exchange)

    def all_left(self, exchange: Exchange) -> None:
        """The last byte of an upload has left: its time begins."""
        self.pool.streams.discard(self)
        if self.transport is None or self.transport.is_closing():
            return
        self.sent = True
        exchange.began = monotonic_us()
        exchange.until = min(exchange.until, exchange.began + exchange.patience)
        if exchange.timer is None:
            self.pool.limit(exchange)
        exchange.left()

    def report_in(self, text: bytes) -> Sequence[float]:
        """The load report in a header, if it is one."""
        report = read_report(text, self.pool.places, self.pool.fields) if text else ()
        self.pool.reports += bool(report)
        return report

    def settle(self, answer: ResponseParser) -> None:
        """A whole answer has come."""
        exchange = self.exchange
        assert exchange is not None
        # /_load answers with the report itself.
        report = self.report_in(answer.report or (answer.body if isinstance(exchange, HealthCheck) else b""))
        self.let_go(exchange)
        whole = self.sent  # an answer before the last byte has left leaves half a request on the line
        self.exchange = self.answer = None
        if answer.reusable and whole and self.usable:
            now = monotonic_us()
            self.rested = now + min(REST_MOST, (now - exchange.began) // REST_PART)
            self.pool.put(self)
        else:
            self.discard(CloseReason.LAST_ANSWER, exchange)
        self.pool.end(exchange, answer.outcome(), answer.body, report)

    def lost(self, reason: CloseReason) -> None:
        """Broken under a request: it never ran if the last byte had not left, and may have run otherwise.

        Guards against: a kept connection that the server has just closed looks like one that never came
        up. Its request may have been read, so it is a reset and nothing here sends it again.
        """
        exchange = self.exchange
        assert exchange is not None
        self.let_go(exchange)
        self.exchange = None
        sent = self.sent
        self.discard(reason, exchange)
        self.pool.end(exchange, Outcome.RESET if sent else Outcome.CONNECT_FAILED)

    def let_go(self, exchange: Exchange) -> None:
        """The exchange has no more to do with this connection."""
        self.rest = False
        self.pool.streams.discard(self)
        if exchange.upload is not None:
            exchange.upload.detach()
        if self.held:
            self.hold(False)

    def discard(self, reason: CloseReason, exchange: Exchange | None = None) -> None:
        """Closes it at once; `exchange` is the one it ends with."""
        self.usable = False
        if self.closing is None:
            request = exchange.request_id() if exchange is not None else ""
            self.closing = Closing("server", self.target.address, reason, request)
        if self.transport is not None:
            self.transport.abort()
