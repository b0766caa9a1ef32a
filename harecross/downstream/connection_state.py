"""The state of one client connection, shared by its mixin classes, and the interface to the connection manager."""

from __future__ import annotations

import asyncio
from abc import abstractmethod
from collections import deque
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple, Protocol

from httptools import HttpRequestParser

from harecross.dispatch.close_reasons import CloseReason
from harecross.dispatch.dispatcher import RequestDispatcher
from harecross.dispatch.request import DispatchedRequest
from harecross.downstream.body_arrival import BodyArrival
from harecross.downstream.held_bytes import HeldBytes
from harecross.downstream.input_scheduler import InputScheduler
from harecross.downstream.read_delay import Heartbeat, ReadDelay, TcpInfoSocket, UnreadInterval
from harecross.http.body_buffer import Upload
from harecross.http.request_parser import ParsedRequest, RequestParser
from harecross.platform.memory_ledger import MemoryLedger

# The timeout for each of: the first byte of a message after connecting, the end of the head after that, and the next
# part of a body.
RECEIVE_TIMEOUT_US = 2_500_000


NEVER_US = -(1 << 62)


class Presence(Enum):
    """Whether the client of a connection is still there, as far as the kernel tells."""

    CONNECTED = "connected"
    CLOSED = "closed"
    UNKNOWN = "unknown"


class LocalResponse(NamedTuple):
    """A response that the node sends itself, without the dispatcher."""

    status: int
    keep_alive: bool = False


class ConnectionOwner(Protocol):
    """The interface of the connection manager that a client connection uses.

    A connection is in at most one of the states silent, receiving, idle, lingering and slow reader. Each has a timeout.
    """

    loop: asyncio.AbstractEventLoop
    dispatcher: RequestDispatcher
    request_parser: RequestParser
    heartbeat: Heartbeat
    input_scheduler: InputScheduler
    ledger: MemoryLedger
    backlogged: set[HeldBytes]
    unseen_departures: int
    health_check_failing: bool
    draining: bool

    def connection_opened(self, connection: ConnectionState) -> None:
        """Adds a connection that was set up; it is silent until its first byte."""

    def connection_closed(self, connection: ConnectionState) -> None:
        """Removes a connection that was closed."""

    def count_bad_request(self, status: int) -> None:
        """Counts a client error by its status; 0 stands for a connection closed because it sent nothing."""

    def mark_receiving(self, connection: ConnectionState) -> None:
        """Starts the receive timeout."""

    def mark_idle(self, connection: ConnectionState) -> None:
        """Starts the idle timeout."""

    def mark_slow_reader(self, connection: ConnectionState) -> None:
        """Starts the timeout for a client that does not read its response."""

    def mark_waiting_for_reader(self, connection: ConnectionState) -> None:
        """Looks at a connection whose requests wait again later; its first wait starts the timeout of a slow reader."""

    def mark_lingering(self, connection: ConnectionState) -> None:
        """Starts the timeout for closing a connection after its last response."""

    def unmark(self, connection: ConnectionState) -> None:
        """Stops the timeouts of a silent, receiving or idle connection."""

    def unmark_slow_reader(self, connection: HeldBytes) -> None:
        """Stops the timeout for a slow reader."""

    def reclaim_memory(self) -> None:
        """Drops what uploads retain for another attempt."""

    def shed_large_bodies(self, size: int) -> int:
        """Refuses large bodies that are received until `size` bytes are free; returns how many are."""


class ConnectionState(HeldBytes):
    """The attributes of one client connection.

    The connection handles one request at a time; pipelined requests are queued in `pending`.

    Attributes:
        last_read_delay_us: How long the input that is parsed may have waited in the kernel and in this process.
        read_at_us: When the last input was read.
        read_delay_at_read_us: How long it may have waited in the kernel then, in microseconds.
        unparsed: Input that was read and waits for its share of a turn.
        turn_events: The number of messages and chunks that were begun in this turn.
        flooded_at_us: When the connection last had more input than its share of a turn.
        input_stale: The input may have waited in the kernel since before it was read, because reading was paused.
        connected_at_us: When the client was last known to be connected.
        responded_at_us: When the last response was written.
        input_queued: Whether the connection is queued for its share of a turn.
        pending: Requests and local responses that are handled after the current request.
        busy: A request is being handled.
        keep_alive: Whether the client keeps the connection after the current request, or the last one.
        input_closed: No further request is parsed.
        write_blocked: The client does not read what was sent, so the write buffer is full.
        backlogged: The kernel has not accepted all of a large response.
        large_response: A response that is not small was sent whole, and its client may not have read it.
        buffered_bytes: The number of body bytes in the ledger for this connection.
        other_bytes: The number of other bytes in the ledger for this connection.
        discarded_bytes: The number of bytes received after the input was closed.
        close_reason: Why this side has closed the connection; None while it has not.
        receiving: A request has been received in part.
        field_count: The number of header fields, also of those that are not kept in `headers`.
        unparsed_head_bytes: The number of bytes of a head, or of a chunk's size or a trailer, that may be buffered
            inside the parser. It is -1 until the slice after the one that began it, which is not counted.
        waited_for_server: Reading was paused until a server had consumed more of the body.
        body_arrival: The arrival of a body that waited for its server; None while it has not.
        expects_continue: The client waits for `100 Continue` before it sends the body.
        incoming_upload: The large body that is being received.
        current_upload: The large body of the request that is being handled.
        last_request_id: The ID of the request that was handled last.
        set_response_paused: Pauses or resumes the server's side of a streamed response; None without one.
        response_closes: The connection is closed after the current response, whose head says so.
        draining: The connection is closed once the requests that were received on it are answered.
    """

    __slots__ = (
        "owner",
        "transport",
        "sock",
        "descriptor",
        "parser",
        "read_delay",
        "last_read_delay_us",
        "read_at_us",
        "read_delay_at_read_us",
        "unparsed",
        "turn_events",
        "flooded_at_us",
        "input_stale",
        "connected_at_us",
        "responded_at_us",
        "input_queued",
        "request",
        "pending",
        "busy",
        "keep_alive",
        "input_closed",
        "reading_paused",
        "paused_at_us",
        "write_blocked",
        "discarded_bytes",
        "close_reason",
        "draining",
        # State of the request that is being received:
        "receiving",
        "url",
        "headers",
        "field_count",
        "body",
        "head_size",
        "head_complete",
        "unparsed_head_bytes",
        "chunk_count",
        "body_size",
        "message_began_us",
        "last_data_us",
        "waited_for_server",
        "body_arrival",
        "expects_continue",
        "incoming_upload",
        # State of the request that is being handled, and of its response:
        "current_upload",
        "last_request_id",
        "set_response_paused",
        "response_chunked",
        "response_closes",
    )

    def __init__(self, owner: ConnectionOwner, unread_interval: UnreadInterval | None = None) -> None:
        """`unread_interval` tells since when the first bytes of the connection may have been waiting."""
        super().__init__()
        self.owner = owner
        self.transport: asyncio.Transport | None = None
        self.sock: TcpInfoSocket | None = None
        self.descriptor = -1
        self.parser: HttpRequestParser | None = None
        self.read_delay = ReadDelay(owner.heartbeat, unread_interval)
        self.last_read_delay_us = 0
        self.read_at_us = 0
        self.read_delay_at_read_us = 0
        self.unparsed: bytes = b""
        self.turn_events = 0
        self.flooded_at_us = NEVER_US
        self.input_stale = False
        self.connected_at_us = NEVER_US
        self.responded_at_us = NEVER_US
        self.input_queued = False
        self.request: DispatchedRequest | None = None
        self.pending: deque[ParsedRequest | LocalResponse] = deque()
        self.busy = False
        self.keep_alive = True
        self.input_closed = False
        self.reading_paused = False
        self.paused_at_us = 0
        self.write_blocked = False
        self.discarded_bytes = 0
        self.close_reason: CloseReason | None = None
        self.draining = False
        self.incoming_upload: Upload | None = None
        self.current_upload: Upload | None = None
        self.last_request_id = b""
        self.set_response_paused: Callable[[bool], None] | None = None
        self.response_chunked = False
        self.response_closes = False
        self.receiving = False
        self.reset_message()

    def reset_message(self) -> None:
        """Resets the state of the request that is being received."""
        self.url = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.field_count = 0
        self.body = b""
        self.head_size = 0
        self.head_complete = False
        self.unparsed_head_bytes = -1
        self.chunk_count = 0
        self.body_size = 0
        self.message_began_us = self.last_data_us = 0
        self.waited_for_server = False
        self.body_arrival: BodyArrival | None = None
        self.expects_continue = False

    def release_message(self) -> None:
        """Drops the data of the message that is being received, or was received last."""
        self.url = self.body = b""
        self.headers = []
        self.head_size = 0
        self.unparsed_head_bytes = -1

    def drop_retained(self) -> None:
        """Drops the bytes that the current upload retains for another attempt."""
        upload = self.current_upload
        if upload is not None and not upload.discarded and upload.drop_read():
            self.upload_progressed()

    def is_idle(self) -> bool:
        """Returns whether no request is being received, waiting or being handled, and no response is unread."""
        waiting = self.busy or self.pending or self.unparsed or self.receiving
        return not (waiting or self.input_closed or self.write_blocked)

    def answers_incoming_upload(self) -> bool:
        """Returns whether the answer to the upload that is received has begun: it is cut off if the upload ends."""
        begun = self.set_response_paused is not None
        return begun and self.incoming_upload is not None and self.incoming_upload is self.current_upload

    def abort(self, reason: CloseReason) -> None:
        """Closes the connection immediately and drops unsent data."""
        if self.transport is not None:
            self.close_reason = self.close_reason or reason
            self.transport.abort()

    def send_continue(self) -> None:
        """Sends `100 Continue` to a client that expects it, once no earlier request is unanswered."""
        if self.expects_continue and not self.busy and not self.pending and self.transport is not None:
            self.expects_continue = False
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    @abstractmethod
    def close_if_departed(self) -> None:
        """Closes the connection of a client that the kernel reports as gone."""

    @abstractmethod
    def upload_progressed(self) -> None:
        """Resumes reading when a server has consumed part of the body, or when the rest is to be discarded."""

    @abstractmethod
    def check_presence(self) -> Presence:
        """Returns whether the client is still there; closes the connection if it has left."""

    @abstractmethod
    def reject_input(self, status: int) -> None:
        """Stops handling input and answers with this status."""

    @abstractmethod
    def handle_pending(self) -> None:
        """Handles pending requests in order."""

    @abstractmethod
    def resume_reading(self) -> None:
        """Resumes reading after a pause."""

    @abstractmethod
    def close_after_response(self) -> None:
        """Closes the connection after buffered data has been sent."""

    @abstractmethod
    def has_unread_data(self) -> bool:
        """Returns whether received data or an end of the stream is waiting to be read, and reading is possible."""

    @abstractmethod
    def close(self, reason: CloseReason) -> None:
        """Closes the connection after buffered data has been sent."""

    @abstractmethod
    def close_if_nothing_unread(self, reason: CloseReason) -> bool:
        """Closes the connection unless data is waiting to be read; returns whether it closed the connection."""

    @abstractmethod
    def timed_out(self) -> None:
        """Handles the end of the receive timeout."""
