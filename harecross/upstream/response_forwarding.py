"""Passes the response to the exchange of a connection on, while it is received, and pauses reading it."""

from __future__ import annotations

import asyncio
import socket
from abc import abstractmethod
from contextlib import suppress

from harecross.http.response_parser import STREAMING_THRESHOLD_BYTES, ResponseParser
from harecross.platform.clock import monotonic_us
from harecross.upstream.connection_owner import ConnectionOwner
from harecross.upstream.exchange import Exchange


class ResponseForwarding(asyncio.BufferedProtocol):
    """The response of a `ServerConnection`, which documents the attributes."""

    __slots__ = ("progress_us", "read_paused", "receive_buffer_bytes")

    exchange: Exchange | None
    parser: ResponseParser | None
    pool: ConnectionOwner
    progress_us: int
    read_paused: bool
    receive_buffer_bytes: int
    transport: asyncio.Transport | None

    @abstractmethod
    def begin_streaming(self, exchange: Exchange, parser: ResponseParser) -> bool:
        """Notifies the exchange that its response is streamed; returns whether the response is still needed."""

    def forward_body(self, parser: ResponseParser) -> bool:
        """Forwards the received part of a streamed response; returns whether the exchange is still in progress."""
        exchange = self.exchange
        assert exchange is not None
        self.progress_us = monotonic_us()
        if not exchange.response_streamed:
            fits = parser.expected_body_bytes() <= self.pool.held_response_bytes()
            if fits and exchange.needs_whole_response():
                return True  # the body stays in the parser until the response is complete
            if not self.begin_streaming(exchange, parser):
                return False
        part = parser.read_body()
        if part:
            exchange.response_part(part)
        # The exchange may have been abandoned because the write showed that the client has disconnected.
        return self.exchange is exchange

    def has_begun_response(self) -> bool:
        """Returns whether a response of unknown length has begun that may still be passed on."""
        if self.exchange is None or self.parser is None or self.exchange.response_streamed:
            return False
        return self.parser.begun_without_length and self.exchange.may_be_passed_on()

    def pass_on_begun_response(self) -> bool:
        """Passes on a response of unknown length that has begun; returns whether there is one.

        It may be larger than what is timed as a whole, and its server may be writing it as it can.
        """
        if not self.has_begun_response():
            return False
        assert self.parser is not None
        self.pool.responses_passed_on_early += 1
        self.parser.start_streaming()
        self.forward_body(self.parser)
        return True

    def set_receive_buffer(self, size: int) -> None:
        """Sets the size of the kernel's receive buffer (SO_RCVBUF)."""
        if self.transport is not None and size != self.receive_buffer_bytes:
            self.receive_buffer_bytes = size
            sock = self.transport.get_extra_info("socket")
            with suppress(OSError):  # the kernel's default size is acceptable
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)

    def set_read_paused(self, paused: bool) -> None:
        """Pauses or resumes reading the response."""
        if self.read_paused == paused or self.transport is None:
            return
        self.read_paused = paused
        self.progress_us = monotonic_us()
        if paused:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def needs_admission(self) -> bool:
        """Returns whether no more than the beginning of the response may be read before it is admitted.

        A streamed response needs no admission: it is read as its client takes it.
        """
        if self.parser is None or self.parser.streaming:
            return False
        return not self.pool.response_reads.may_read(self)

    def admit_response(self) -> None:
        """Leaves the rest of a response that is held until it is complete in the kernel until there is room."""
        if self.transport is None or not self.needs_admission():
            return
        if not self.pool.response_reads.admit(self):
            self.transport.pause_reading()

    def end_admission(self) -> None:
        """Gives up the place of a response that has ended or is streamed from now on."""
        if self.pool.response_reads.leave(self):
            self.resume_response()

    def expected_bytes(self) -> int:
        """See `response_reads.ReadSource`; a response of unknown length is streamed once it is large."""
        if self.parser is None:
            return 0
        return STREAMING_THRESHOLD_BYTES if self.parser.length is None else self.parser.length

    def missing_bytes(self) -> int:
        """See `response_reads.ReadSource`."""
        received = 0 if self.parser is None else self.parser.body_size
        return max(0, self.expected_bytes() - received)

    def resume_response(self) -> None:
        """See `response_reads.ReadSource`."""
        if self.transport is not None and not self.read_paused:
            self.transport.resume_reading()
