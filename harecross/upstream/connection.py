"""A connection to a server. It carries one exchange at a time and never resends one."""

from __future__ import annotations

import asyncio
from typing import cast

from harecross.dispatch.close_reasons import ClosedConnection, CloseReason
from harecross.http.response_parser import ReadResult, ResponseParser
from harecross.interface import Outcome
from harecross.platform.clock import monotonic_us
from harecross.platform.memory_ledger import MIN_READ_BYTES, READ_BYTES
from harecross.upstream import duplicate_responses
from harecross.upstream.connection_owner import ConnectionOwner
from harecross.upstream.duplicate_responses import ConnectionResponses, fingerprint
from harecross.upstream.exchange import Exchange, HealthCheck
from harecross.upstream.response_forwarding import ResponseForwarding
from harecross.upstream.server_process import ServerProcess

# A faulty server may send a second response a few milliseconds after the first. If it arrives while the connection is
# idle, only the connection is lost, and not an exchange: `duplicate_responses` rejects it then. An idle connection is
# therefore not reused for the duration of its last exchange divided by `REUSE_DELAY_DIVISOR`, limited to
# `MAX_REUSE_DELAY_US`. This costs at most one additional connection for every `REUSE_DELAY_DIVISOR` connections in use.
MAX_REUSE_DELAY_US = 20_000
REUSE_DELAY_DIVISOR = 4
# Every part of a response is copied before the next one is read, so all connections share one buffer. A client that
# does not read leaves one such part in this process.
READ_VIEW = memoryview(bytearray(READ_BYTES))


class ServerConnection(ResponseForwarding):
    """A connection to one server process.

    Attributes:
        parser: Parser of the response to `exchange`; None while the connection is idle.
        exchange: The exchange in progress; None while the connection is idle.
        idle_since_us: Time since which the connection is idle; 0 if it was never released to the pool.
        reusable_from_us: Time from which another exchange may use the connection, see `rested`.
        responses: The latest responses, of which a second copy may still arrive.
        written_us: Time at which the first byte of the message of the exchange was written.
        response_us: Time at which the last response was complete; 0 if there was none.
        sent: Whether the last byte of the message of the exchange has left this process.
        usable: Whether the connection may carry another exchange.
        upload_unfinished: Whether more bytes of the upload remain to be written.
        write_blocked: Whether the transport holds bytes that the kernel has not accepted.
        read_paused: Whether reading is paused because the client does not read the response.
        progress_us: Time at which a streamed body last made progress.
        receive_buffer_bytes: Last requested SO_RCVBUF value; 0 for the kernel's default.
        descriptor: File descriptor of the socket; -1 before the connection is open.
        closed_record: Why this side closed the connection; None if it has not.
        held_bytes: The number of bytes in the ledger for this connection.
        hold_timer: Timer that passes on a response of unknown length that has begun; None without one.
    """

    __slots__ = (
        "closed_record",
        "descriptor",
        "exchange",
        "held_bytes",
        "hold_timer",
        "idle_since_us",
        "parser",
        "pool",
        "process",
        "response_us",
        "responses",
        "reusable_from_us",
        "sent",
        "transport",
        "upload_unfinished",
        "usable",
        "write_blocked",
        "written_us",
    )

    def __init__(self, pool: ConnectionOwner, process: ServerProcess) -> None:
        self.pool = pool
        self.process = process
        self.transport: asyncio.Transport | None = None
        self.parser: ResponseParser | None = None
        self.exchange: Exchange | None = None
        self.idle_since_us = 0
        self.sent = False
        self.usable = True
        self.upload_unfinished = False
        self.write_blocked = False
        self.read_paused = False
        self.progress_us = 0
        self.receive_buffer_bytes = 0
        self.descriptor = -1
        self.reusable_from_us = 0
        self.responses = ConnectionResponses()
        self.written_us = 0
        self.response_us = 0
        self.closed_record: ClosedConnection | None = None
        self.hold_timer: asyncio.TimerHandle | None = None
        self.held_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See `asyncio.BufferedProtocol`."""
        self.transport = cast(asyncio.Transport, transport)
        self.process.established += 1
        self.pool.ledger.connection_opened()
        self.descriptor = transport.get_extra_info("socket").fileno()
        # With a high-water mark of 0, `pause_writing` is called whenever bytes have not left this process.
        self.transport.set_write_buffer_limits(high=0)
        # The kernel's buffer would otherwise grow to megabytes while a slow client does not read.
        self.set_receive_buffer(self.pool.initial_buffer_bytes)

    def pause_writing(self) -> None:
        """See `asyncio.BufferedProtocol`."""
        self.write_blocked = True
        self.sent = False
        self.settle()

    def resume_writing(self) -> None:
        """See `asyncio.BufferedProtocol`."""
        self.write_blocked = False
        self.settle()
        if self.upload_unfinished:
            self.write_upload()
        elif self.exchange is not None and self.exchange.upload is not None and not self.sent:
            self.upload_written(self.exchange)
        else:
            self.sent = True

    def get_buffer(self, sizehint: int) -> memoryview:
        """See `asyncio.BufferedProtocol`."""
        size = self.pool.ledger.read_bytes()
        if size == READ_BYTES:
            return READ_VIEW
        return READ_VIEW[: MIN_READ_BYTES if self.needs_admission() else size]

    def buffer_updated(self, nbytes: int) -> None:
        """See `asyncio.BufferedProtocol`."""
        self.receive(bytes(READ_VIEW[:nbytes]))
        self.settle()
        if self.exchange is not None:
            self.admit_response()

    def receive(self, data: bytes) -> None:
        """Parses received bytes."""
        if self.exchange is None or self.parser is None:
            # Bytes that arrive without an exchange would be mistaken for the start of the next response.
            self.discard(CloseReason.MALFORMED_RESPONSE)
            return
        self.handle_result(self.parser, self.parser.feed(data))

    def eof_received(self) -> bool:
        """See `asyncio.BufferedProtocol`. Returns False so that the transport closes itself."""
        if self.exchange is not None and self.parser is not None:
            result = self.parser.feed_eof()
            if result == ReadResult.COMPLETE:
                self.usable = False
                self.handle_result(self.parser, result)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """See `asyncio.BufferedProtocol`."""
        self.pool.remove(self)
        self.process.established -= 1
        self.pool.ledger.connection_closed()
        if self.closed_record is None and (exc is not None or self.exchange is not None):
            self.process.connection_broke(monotonic_us())
        self.usable = False
        self.transport = None
        self.write_blocked = False
        if self.parser is not None:
            self.parser.close()
        if self.exchange is not None:
            self.fail_exchange(CloseReason.PEER)
        self.settle()
        closed = self.closed_record or ClosedConnection("server", self.process.address, CloseReason.PEER)
        self.pool.on_connection_closed(closed)

    def start(self, exchange: Exchange, now: int) -> None:
        """Writes the message of the exchange; of an upload, the bytes received so far."""
        assert self.transport is not None
        self.exchange = exchange
        self.written_us = now
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
        """Writes the received but unwritten bytes of the upload, unless the server does not read."""
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
        self.settle()

    def upload_written(self, exchange: Exchange) -> None:
        """Starts the timeout of the response, because the last byte of the upload has left this process."""
        self.pool.streaming.discard(self)
        if self.transport is None or self.transport.is_closing():
            return
        self.sent = True
        exchange.started_us = monotonic_us()
        exchange.deadline_us = min(exchange.deadline_us, exchange.started_us + exchange.upload_timeout_us)
        if exchange.deadline_timer is None:
            self.pool.start_deadline_timer(exchange)
        exchange.upload_sent()

    def handle_result(self, parser: ResponseParser, result: ReadResult) -> None:
        """Handles the state of the response after received bytes were parsed."""
        if parser.streaming and not self.forward_body(parser):
            return
        if result == ReadResult.COMPLETE:
            self.complete_exchange(parser)
        elif result == ReadResult.MALFORMED:
            # The server ran the request, but neither the response nor the bytes after it can be used.
            self.pool.malformed_responses += 1
            self.fail_exchange(CloseReason.MALFORMED_RESPONSE)
        elif self.hold_timer is None and not parser.streaming and self.has_begun_response():
            self.hold_timer = self.pool.start_hold_timer(self)

    def begin_streaming(self, exchange: Exchange, parser: ResponseParser) -> bool:
        """Notifies the exchange that its response is streamed; returns whether the response is still needed."""
        if not exchange.response_started(parser.length, self.pool.record_load_report(parser.load_report)):
            self.fail_exchange(CloseReason.ABANDONED)
            return False
        exchange.response_streamed = True
        self.end_admission()
        if exchange.deadline_timer is not None:
            exchange.deadline_timer.cancel()
        self.pool.streaming.add(self)
        self.pool.resize_stream_buffers()
        self.set_receive_buffer(self.pool.stream_buffer_bytes)
        return True

    def settle(self) -> None:
        """Brings the account of the bytes that this connection holds up to date."""
        held = self.unsent_bytes() if self.write_blocked else 0
        if self.exchange is not None:
            held += self.held_response_bytes()
        if held != self.held_bytes:
            ledger = self.pool.ledger
            ledger.upstream += held - self.held_bytes
            self.held_bytes = held
            ledger.note_peak()

    def unsent_bytes(self) -> int:
        """Returns the number of bytes that the kernel has not accepted yet."""
        return self.transport.get_write_buffer_size() if self.transport is not None else 0

    def held_response_bytes(self) -> int:
        """Returns the number of bytes of the response that are not passed on yet."""
        return self.parser.held_bytes() if self.parser is not None else 0

    def rested(self, now: int) -> bool:
        """Returns whether the next response on this idle connection cannot be confused with an earlier one.

        Where different requests may get equal responses, this takes until no second copy of the last one can be on its
        way. Elsewhere a copy is recognized, and the short reuse delay saves most exchanges from one.
        """
        if self.pool.response_variety.equal_expected and self.response_us:
            return now >= self.response_us + duplicate_responses.DUPLICATE_WINDOW_US
        return now >= self.reusable_from_us

    def complete_exchange(self, parser: ResponseParser) -> None:
        """Reports the outcome of a complete response and releases the connection if it can be reused."""
        exchange = self.exchange
        assert exchange is not None
        outcome = parser.outcome()
        if self.rejects_duplicate(exchange, parser, outcome):
            return
        text = parser.load_report
        if not text and isinstance(exchange, HealthCheck):
            text = parser.body  # the body of a /_load response is the load report
        report = self.pool.record_load_report(text)
        self.detach(exchange)
        self.exchange = self.parser = None
        # If the response arrived before the last byte was sent, the server would read the rest of this request as
        # the start of the next one.
        if parser.reusable and self.sent and self.usable:
            duration_us = self.response_us - exchange.started_us
            self.reusable_from_us = self.response_us + min(
                MAX_REUSE_DELAY_US, duration_us // REUSE_DELAY_DIVISOR
            )
            self.pool.release(self)
        else:
            self.discard(CloseReason.LAST_RESPONSE, exchange)
        self.pool.finish(exchange, outcome, parser.body, report)

    def rejects_duplicate(self, exchange: Exchange, parser: ResponseParser, outcome: Outcome) -> bool:
        """Records the response; fails the exchange and returns True if the response may be a copy of an earlier one.

        Otherwise decides whether the connection may be used again. It may not if a copy of this response could not be
        recognized: streamed responses are not kept, and different requests that are turned away get equal responses.
        A health check and an error do not depend on which of two equal responses they get.
        """
        self.response_us = now = monotonic_us()
        if parser.streaming or outcome is Outcome.REJECTED:
            self.usable = False
            return False
        response = fingerprint(parser.status, parser.body)
        variety = self.pool.response_variety
        duplicate = self.responses.may_be_duplicate(
            response, self.written_us, equal_expected=variety.equal_expected
        )
        self.responses.record(response, now)
        if isinstance(exchange, HealthCheck) or outcome is not Outcome.OK:
            self.usable = self.usable and not duplicate
            return False
        if duplicate:
            self.fail_exchange(CloseReason.DUPLICATE_RESPONSE)
        else:
            variety.record(response)
        return duplicate

    def fail_exchange(self, reason: CloseReason) -> None:
        """Closes the connection and ends the exchange as failed.

        If the last byte has not left this process, the server has not run the request; otherwise it may have run it.
        This applies to a reused connection too: a server that closes it may have read the request before.
        """
        exchange = self.exchange
        assert exchange is not None
        self.detach(exchange)
        self.exchange = None
        sent = self.sent
        self.discard(reason, exchange)
        self.pool.finish(exchange, Outcome.RESET if sent else Outcome.CONNECT_FAILED)

    def abandon_exchange(self, exchange: Exchange) -> None:
        """Closes the connection, because the response could still arrive on it. Does not report an outcome."""
        self.detach(exchange)
        self.exchange = None
        self.discard(CloseReason.ABANDONED, exchange)

    def detach(self, exchange: Exchange) -> None:
        """Stops the upload and the streaming of the exchange on this connection."""
        self.upload_unfinished = False
        self.pool.streaming.discard(self)
        self.end_admission()
        if self.hold_timer is not None:
            self.hold_timer.cancel()
            self.hold_timer = None
        if exchange.upload is not None:
            exchange.upload.detach()
        if self.read_paused:
            self.set_read_paused(False)

    def discard(self, reason: CloseReason, exchange: Exchange | None = None) -> None:
        """Closes the connection immediately; `exchange` is the exchange that was in progress, for the close record."""
        self.usable = False
        if self.closed_record is None:
            request_id = exchange.request_id() if exchange is not None else ""
            self.closed_record = ClosedConnection("server", self.process.address, reason, request_id)
        if self.transport is not None:
            self.transport.abort()
