"""The state of one client connection, which its parts share, and what the connection needs of its manager."""

from __future__ import annotations

import asyncio
from abc import abstractmethod
from collections import deque
from collections.abc import Callable
from typing import NamedTuple, Protocol

from httptools import HttpRequestParser

from harecross.dispatch.close_reasons import CloseReason
from harecross.dispatch.dispatcher import RequestDispatcher
from harecross.dispatch.request import DispatchedRequest
from harecross.downstream.read_delay import Heartbeat, ReadDelay, TcpInfoSocket, UnreadInterval
from harecross.http.body_buffer import Upload
from harecross.http.request_parser import ParsedRequest, RequestParser

# For each of: connecting to the first byte of a message, that to the end of its head, two parts of a body.
RECEIVE_TIMEOUT_US = 2_500_000


class LocalResponse(NamedTuple):
    """An answer that the node gives by itself, without the dispatcher."""

    status: int
    keep_alive: bool = False


class ConnectionOwner(Protocol):
    """The manager of all client connections, as one connection sees it.

    A connection is in one of the states silent, receiving, idle, lingering and slow reader at most; each has a timeout.
    """

    loop: asyncio.AbstractEventLoop
    dispatcher: RequestDispatcher
    request_parser: RequestParser
    heartbeat: Heartbeat
    buffered_body_bytes: int
    max_buffered_body_bytes: int
    health_check_failing: bool
    draining: bool

    def connection_opened(self, connection: ConnectionState) -> None:
        """The connection is set up; it is silent until its first byte."""

    def connection_closed(self, connection: ConnectionState) -> None:
        """The connection is closed."""

    def count_bad_request(self, status: int) -> None:
        """Counts an error of a client by its status; 0 for a connection closed for silence."""

    def mark_receiving(self, connection: ConnectionState) -> None:
        """Starts the receive timeout."""

    def mark_idle(self, connection: ConnectionState) -> None:
        """Starts the idle timeout."""

    def mark_slow_reader(self, connection: ConnectionState) -> None:
        """Starts the timeout for a client that does not read its response."""

    def mark_lingering(self, connection: ConnectionState) -> None:
        """Starts the timeout for the end of a connection that had its last response."""

    def unmark(self, connection: ConnectionState) -> None:
        """Stops the timeouts of a silent, receiving or idle connection."""

    def unmark_slow_reader(self, connection: ConnectionState) -> None:
        """Stops the timeout for a slow reader."""


class ConnectionState(asyncio.Protocol):
    """The attributes of one connection. One request at a time is handled; those that come early are pending."""

    __slots__ = (
        "owner",
        "transport",
        "sock",
        "descriptor",
        "parser",
        "read_delay",
        "last_read_delay_us",
        "request",
        "pending",
        "busy",
        "keep_alive",
        "input_closed",
        "reading_paused",
        "paused_at_us",
        "write_blocked",
        "buffered_bytes",
        "discarded_bytes",
        "close_reason",
        # The request that is being received.
        "receiving",
        "url",
        "headers",
        "body",
        "head_size",
        "head_complete",
        "unparsed_head_bytes",
        "chunk_count",
        "body_size",
        "message_began_us",
        "last_data_us",
        "waited_for_server",
        "expects_continue",
        "incoming_upload",
        # The request that is being handled, and its response.
        "current_upload",
        "set_response_paused",
        "response_chunked",
        "response_closes",
    )

    def __init__(self, owner: ConnectionOwner, unread_interval: UnreadInterval | None = None) -> None:
        """`unread_interval`: since when the connection's first bytes may have waited."""
        self.owner = owner
        self.transport: asyncio.Transport | None = None
        self.sock: TcpInfoSocket | None = None
        self.descriptor = -1
        self.parser: HttpRequestParser | None = None
        self.read_delay = ReadDelay(owner.heartbeat, unread_interval)
        self.last_read_delay_us = 0  # how long the bytes read last may have waited
        self.request: DispatchedRequest | None = None
        self.pending: deque[ParsedRequest | LocalResponse] = deque()
        self.busy = False  # a request is being handled
        self.keep_alive = True  # of the request that is handled or was handled last
        self.input_closed = False  # no further request is read
        self.reading_paused = False
        self.paused_at_us = 0
        self.write_blocked = False  # the client does not read what it is sent
        self.buffered_bytes = 0  # of bodies
        self.discarded_bytes = 0  # received after the input was closed
        self.close_reason: CloseReason | None = None  # why this side has closed the connection
        self.incoming_upload: Upload | None = None  # the large body that is being received
        self.current_upload: Upload | None = None  # the one of the request that is being handled
        self.set_response_paused: Callable[[bool], None] | None = None  # set while a large response passes
        self.response_chunked = False
        self.response_closes = False  # the connection is closed after the response
        self.receiving = False  # part of a request has come
        self.reset_message()

    def reset_message(self) -> None:
        """Prepares for the next request."""
        self.url = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.body = b""
        self.head_size = 0
        self.head_complete = False
        self.unparsed_head_bytes = (
            -1
        )  # kept inside the parser; -1: the read that began the message is not counted
        self.chunk_count = 0
        self.body_size = 0
        self.message_began_us = self.last_data_us = 0
        self.waited_for_server = False  # reading was paused until a server had taken of the body
        self.expects_continue = False  # the client waits for 100 Continue

    def buffer_bytes(self, size: int) -> None:
        """Counts bytes of bodies that this connection buffers; negative for bytes it no longer does."""
        self.buffered_bytes += size
        self.owner.buffered_body_bytes += size

    def is_idle(self) -> bool:
        """Whether no request is received, pending or handled."""
        return not (self.busy or self.pending or self.receiving or self.input_closed or self.write_blocked)

    def abort(self, reason: CloseReason) -> None:
        """Closes the connection at once; what has not been sent is dropped."""
        if self.transport is not None:
            self.close_reason = self.close_reason or reason
            self.transport.abort()

    def send_continue(self) -> None:
        """Tells a client that waits for it to send its body, once the response to it is the next one."""
        if self.expects_continue and not self.busy and not self.pending and self.transport is not None:
            self.expects_continue = False
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    @abstractmethod
    def handle_pending(self) -> None:
        """Handles pending requests, one after another."""

    @abstractmethod
    def resume_reading(self) -> None:
        """Reads again after a pause."""

    @abstractmethod
    def close_after_response(self) -> None:
        """Closes the connection after what was written."""

    @abstractmethod
    def has_unread_data(self) -> bool:
        """Whether bytes or an end have come that are not read yet, and can be."""

    @abstractmethod
    def close(self, reason: CloseReason) -> None:
        """Closes the connection once what was written has been sent."""

    @abstractmethod
    def close_if_nothing_unread(self, reason: CloseReason) -> bool:
        """Closes a connection without open requests, unless unread data may be one; returns whether it did."""

    @abstractmethod
    def timed_out(self) -> None:
        """The receive timeout is over."""
