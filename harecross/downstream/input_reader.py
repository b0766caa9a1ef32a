"""Reads one client connection in bounded parts, and parses them in bounded shares of a turn of the event loop."""

from __future__ import annotations

import asyncio
import os
from contextlib import suppress

from httptools import HttpParserError

from harecross.downstream.body_arrival import Arrival, BodyArrival
from harecross.downstream.read_delay import UNKNOWN_AGE_US, UnreadInterval, last_data_age
from harecross.downstream.request_receiver import RequestReceiver
from harecross.http.request_parser import MAX_HEAD_BYTES, BadRequestError
from harecross.platform.clock import monotonic_us
from harecross.platform.memory_ledger import READ_BYTES, WAITING_READ_BYTES
from harecross.platform.peer_state import unread_bytes

# Input is parsed in parts that begin with this size. They grow while a part holds few messages or chunks.
FIRST_SLICE_BYTES = 1 << 10
MAX_SLICE_BYTES = 1 << 14
SPARSE_SLICE_EVENTS = 2
SLICE_GROWTH = 4
# The number of messages and chunks after which a connection has parsed its share of a turn.
EVENTS_PER_TURN = 32
# A head up to this size is kept however little memory is left.
SMALL_HEAD_BYTES = 1 << 11
# The number of bytes that are read and discarded after the input was closed. Reading is paused beyond it.
MAX_DISCARDED_BYTES = 1 << 18

# Every read is copied or parsed before the next one begins, so all connections share one buffer.
READ_VIEW = memoryview(bytearray(READ_BYTES))


def rejection_status(error: HttpParserError) -> int:
    """Returns the status that answers an input error.

    A caller with a local variable for the inner exception would be in a reference cycle with it, through its traceback.
    """
    # An exception raised in a callback is the context of the parser's exception.
    inner = error.__context__
    return inner.status if isinstance(inner, BadRequestError) else 400


class InputReader(RequestReceiver):
    """The reading side of a client connection; implements `input_scheduler.InputSource`."""

    __slots__ = ()

    def get_buffer(self, sizehint: int) -> memoryview:  # noqa: ARG002
        """Called by the event loop before it reads: what waits for its turn is left in the kernel."""
        owner = self.owner
        if self.input_closed or owner.input_scheduler.may_read(self):
            size = owner.ledger.read_bytes()
        else:
            size = WAITING_READ_BYTES
        return READ_VIEW if size == READ_BYTES else READ_VIEW[:size]

    def buffer_updated(self, nbytes: int) -> None:
        """Called by the event loop when it has read: parses the input, or queues it if others have used up the turn."""
        if self.transport is None:
            return
        if self.input_closed:
            self.discard(nbytes, self.transport)
            return
        scheduler = self.owner.input_scheduler
        now = monotonic_us()
        self.read_at_us = now
        self.read_delay_at_read_us = self.read_delay.measure(now, self.sock, self.descriptor)
        if self.body_arrival is not None:
            self.body_arrival.read(now)
        if not self.input_stale:
            # What was read may have waited in the backlog, or while the event loop lagged.
            self.connected_at_us = now - self.read_delay_at_read_us
        elif unread_bytes(self.descriptor) == 0:
            self.input_stale = False
        if scheduler.may_parse(self, now):
            self.parse(READ_VIEW[:nbytes], now)
            scheduler.record(now)
        else:
            self.unparsed = bytes(READ_VIEW[:nbytes])
            self.settle()
            self.pause_reading()
            scheduler.defer(self)

    def parse_share(self) -> None:
        """See `input_scheduler.InputSource`."""
        if self.pending or self.parser is None or self.transport is None or self.input_closed:
            return
        unparsed, self.unparsed = self.unparsed, b""
        now = monotonic_us()
        data = self.read_on(unparsed, now) if len(unparsed) <= WAITING_READ_BYTES else memoryview(unparsed)
        self.parse(data, now)

    def read_on(self, unparsed: bytes, now: int) -> memoryview:
        """Returns `unparsed` and what has been waiting in the kernel behind it, as far as a share may take it.

        An end of the stream is left to the event loop, which reads it when reading is resumed.
        """
        begin = len(unparsed)
        if not self.reading_paused or unread_bytes(self.descriptor) == 0:
            return memoryview(unparsed)
        self.note_arrival(begin)
        size = self.owner.ledger.read_bytes()
        READ_VIEW[:begin] = unparsed
        count = 0
        with suppress(OSError):
            count = os.readv(self.descriptor, [READ_VIEW[begin:size]])
        if count and self.body_arrival is not None:
            self.body_arrival.read(now)
        return READ_VIEW[: begin + count]

    def parse(self, data: memoryview, now: int) -> None:
        """Parses the connection's share of a turn, keeps the rest, and handles the requests that are complete."""
        self.last_read_delay_us = self.read_delay_at_read_us + now - self.read_at_us
        parsed = self.parse_slices(data)
        if self.incoming_upload is not None:
            self.incoming_upload.notify()
        if parsed < len(data) and not self.input_closed:
            self.unparsed = bytes(data[parsed:])
        self.handle_pending()
        if self.transport is None or self.input_closed:
            self.unparsed = b""
        else:
            self.update_reading()
        self.settle()

    def parse_slices(self, data: memoryview) -> int:
        """Parses slices until the share is used up; returns the number of bytes that were parsed."""
        self.turn_events = 0
        position, size = 0, FIRST_SLICE_BYTES
        while position < len(data) and self.turn_events < EVENTS_PER_TURN:
            if self.incoming_upload is not None and self.incoming_upload.full:
                return position
            events_before = self.turn_events
            part = data[position : position + size]
            position += len(part)
            if not self.feed_parser(part):
                return position
            if self.turn_events - events_before <= SPARSE_SLICE_EVENTS:
                size = min(MAX_SLICE_BYTES, size * SLICE_GROWTH)
        if position < len(data) or self.turn_events >= EVENTS_PER_TURN:
            self.owner.input_scheduler.exceeded(self)
        return position

    def feed_parser(self, part: memoryview) -> bool:
        """Parses one slice; returns whether the input is still open."""
        assert self.parser is not None
        try:
            self.parser.feed_data(part)
        except HttpParserError as error:
            self.reject_input(rejection_status(error))
        except BadRequestError as error:
            self.reject_input(error.status)
        else:
            if self.receiving:
                self.limit_unparsed_head(len(part))
        return not self.input_closed

    def limit_unparsed_head(self, size: int) -> None:
        """Rejects a head, or a field behind a body, of which the parser buffers too many bytes without calling back."""
        self.last_data_us = monotonic_us()
        self.unparsed_head_bytes = 0 if self.unparsed_head_bytes < 0 else self.unparsed_head_bytes + size
        if self.unparsed_head_bytes > MAX_HEAD_BYTES or not self.head_fits(size):
            self.reject_input(431)

    def head_fits(self, size: int) -> bool:
        """Returns whether the last `size` bytes of a head, or of a field behind a body, may be kept."""
        held = self.unparsed_head_bytes if self.head_complete else self.head_bytes()
        return held <= SMALL_HEAD_BYTES or self.owner.ledger.body_fits(size, held)

    def discard(self, size: int, transport: asyncio.Transport) -> None:
        """Discards data received after the input was closed; pauses reading beyond `MAX_DISCARDED_BYTES`."""
        self.discarded_bytes += size
        if self.discarded_bytes > MAX_DISCARDED_BYTES and not self.reading_paused:
            self.reading_paused = True
            transport.pause_reading()

    def update_reading(self) -> None:
        """Continues with the input, unless a request is pending or the buffer of an upload to a server is full."""
        upload_full = self.incoming_upload is not None and self.incoming_upload.full
        if upload_full:
            self.waited_for_server = True
            self.body_arrival = self.body_arrival or BodyArrival()
            # No receive timeout runs for a client while nothing is read from it.
            self.owner.unmark(self)
        if upload_full or self.pending:
            self.pause_reading()
            self.limit_paused_upload()
        elif self.unparsed:
            self.pause_reading()
            self.owner.input_scheduler.defer(self)
        elif self.reading_paused:
            self.resume_transport()

    def pause_reading(self) -> None:
        """Pauses reading."""
        if not self.reading_paused and self.transport is not None:
            self.reading_paused, self.paused_at_us = True, monotonic_us()
            self.input_stale = True
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        """Continues with the input after a pause: first with what was read before it."""
        if self.unparsed:
            self.owner.input_scheduler.defer(self)
        else:
            self.resume_transport()

    def resume_transport(self) -> None:
        """Resumes reading; data that arrived during the pause counts as delayed since the pause began."""
        if self.transport is not None:
            self.note_arrival(0)
            self.reading_paused = False
            self.read_delay.unread_interval = UnreadInterval(monotonic_us(), self.paused_at_us)
            self.transport.resume_reading()

    def note_arrival(self, unparsed_size: int) -> None:
        """Notes how much of a body had arrived, and when, before it is read on."""
        if self.body_arrival is not None:
            arrived = self.body_size + unparsed_size + unread_bytes(self.descriptor)
            self.body_arrival.resumed(monotonic_us(), Arrival(self.last_arrival_us(), arrived))

    def limit_paused_upload(self) -> None:
        """Starts the timeout of the current request if its body is not being read."""
        upload = self.incoming_upload
        if (
            self.reading_paused
            and self.request is not None
            and upload is not None
            and upload is self.current_upload
        ):
            self.owner.dispatcher.body_paused(self.request, self.last_byte_us)

    def last_arrival_us(self) -> int:
        """Returns when the last bytes arrived; when reading was paused if the kernel does not tell."""
        age_us = last_data_age(self.sock)
        if age_us == UNKNOWN_AGE_US:
            return self.paused_at_us
        return max(self.message_began_us, monotonic_us() - age_us)

    def last_byte_us(self) -> int:
        """Returns since when the client may have written the last byte of the body that is received; at most now."""
        now = monotonic_us()
        if self.body_arrival is None or self.incoming_upload is None:
            return now
        last_arrival_us = self.last_arrival_us() if self.reading_paused else now
        waiting_since_us = self.body_arrival.earliest_last_byte_us(
            self.incoming_upload.length, self.body_size
        )
        return last_arrival_us if waiting_since_us is None else min(last_arrival_us, waiting_since_us)
