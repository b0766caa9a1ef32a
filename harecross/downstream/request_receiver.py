"""Receives the requests of one client connection: parser callbacks and the limits on heads and bodies."""

from __future__ import annotations

from harecross.downstream.connection_state import (
    RECEIVE_TIMEOUT_US,
    ConnectionState,
    LocalResponse,
    Presence,
)
from harecross.http.body_buffer import MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES, Upload, has_too_many_chunks
from harecross.http.request_parser import (
    MAX_HEAD_BYTES,
    MAX_HEADERS,
    RELEVANT_HEADERS,
    BadRequestError,
    ParsedRequest,
)
from harecross.platform.clock import monotonic_us
from harecross.platform.memory_ledger import PENDING_REQUEST_BYTES, RECLAIM_EIGHTHS, SMALL_BODY_BYTES

# The maximum number of pipelined requests on one connection. Clients send one request at a time.
MAX_PENDING_REQUESTS = 8
# The minimum rate at which a body must arrive once the receive timeout has passed since the request began.
MIN_BODY_BYTES_PER_S = 32_000
HEALTH_CHECK_PATH = b"/_health"
HEADER_OVERHEAD_BYTES = 4  # the colon, the space and the line ending


class RequestReceiver(ConnectionState):
    """The callbacks of `httptools.HttpRequestParser`.

    A callback that raises BadRequestError closes the input of the connection with the status of the error.
    """

    __slots__ = ()

    def on_message_begin(self) -> None:
        """Called at the first byte of a request."""
        self.turn_events += 1
        if self.input_closed:
            return
        self.reset_message()
        self.receiving = True
        self.message_began_us = monotonic_us()
        self.owner.mark_receiving(self)

    def on_url(self, url: bytes) -> None:
        """Called with the URL or a part of it."""
        self.count_head_bytes(len(url))
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called with a header, or with a trailer, which is ignored."""
        self.count_head_bytes(len(name) + len(value) + HEADER_OVERHEAD_BYTES)
        if self.head_complete:
            self.unparsed_head_bytes = -1
            return
        self.field_count += 1
        if self.field_count > MAX_HEADERS:
            raise BadRequestError(431)
        if name.lower() in RELEVANT_HEADERS:
            self.headers.append((name, value.strip(b" \t")))

    def count_head_bytes(self, size: int) -> None:
        """Limits the memory that one head can use."""
        self.head_size += size
        if self.head_size > MAX_HEAD_BYTES:
            raise BadRequestError(431)

    def on_headers_complete(self) -> None:
        """Checks the head, and starts an upload at once if the body is large."""
        assert self.parser is not None
        self.head_complete = True
        self.unparsed_head_bytes = -1
        if self.parser.should_upgrade():
            # After CONNECT or Upgrade the parser would treat the body as data of another protocol.
            raise BadRequestError(400)
        version = self.parser.get_http_version()
        self.owner.request_parser.check_framing(version, self.headers)
        length = None
        for name, value in self.headers:
            lower_name = name.lower()
            if lower_name == b"content-length":
                length = int(value)
            elif lower_name == b"expect" and value.lower() == b"100-continue" and version == "1.1":
                self.expects_continue = True
        self.send_continue()
        if length is not None and length > MAX_BUFFERED_BODY_BYTES:
            self.start_upload(length)

    def start_upload(self, length: int | None) -> None:
        """Queues the request before its body is complete, because the body is too large to buffer."""
        self.incoming_upload = Upload(length, self.upload_progressed, self.owner.ledger)
        self.pending.append(self.parsed_request(self.incoming_upload))

    def upload_progressed(self) -> None:
        """Resumes reading when a server has consumed part of the body, or when the rest is to be discarded."""
        upload = self.current_upload
        if upload is None or self.transport is None:
            return
        self.settle()
        if self.request is not None:
            self.owner.dispatcher.body_consumed(self.request)
        if self.reading_paused and not upload.full and not self.input_closed and not self.pending:
            if self.receiving:
                self.owner.mark_receiving(self)
            self.resume_reading()

    def on_chunk_header(self) -> None:
        """Limits the number of chunks of a body."""
        self.turn_events += 1
        self.unparsed_head_bytes = -1
        self.chunk_count += 1
        if has_too_many_chunks(self.chunk_count, self.body_size):
            raise BadRequestError(413)

    def on_body(self, data: bytes) -> None:
        """Called with a part of the body; buffers it or passes it to the upload."""
        self.unparsed_head_bytes = -1
        self.body_size += len(data)
        if self.body_size > MAX_BODY_BYTES:
            raise BadRequestError(413)
        self.check_body_rate()
        self.check_body_memory(len(data))
        self.owner.mark_receiving(self)
        if self.incoming_upload is None and len(self.body) + len(data) > MAX_BUFFERED_BODY_BYTES:
            self.start_upload(None)
            data, self.body = self.body + data, b""
        if self.incoming_upload is not None:
            if self.body_size == self.incoming_upload.length and self.left_meanwhile():
                return
            self.incoming_upload.feed(data)
        else:
            self.body = self.body + data if self.body else data

    def check_body_memory(self, size: int) -> None:
        """Refuses the next `size` bytes of a body if the node buffers too many bytes of bodies.

        This happens before any of them is forwarded: a server runs the request as soon as it has its last byte, and a
        request that may have run is not refused. Bytes for an upload are not counted in advance, because a server that
        reads takes them at once.
        """
        if self.incoming_upload is not None and self.incoming_upload.discarded:
            return
        if self.owner.ledger.exceeds(RECLAIM_EIGHTHS):
            self.owner.reclaim_memory()
        added = 0 if self.incoming_upload is not None else size
        if self.owner.ledger.body_fits(added, self.body_size):
            return
        # A small body is not refused while any byte of a large one is held.
        if self.body_size > SMALL_BODY_BYTES or not self.owner.shed_large_bodies(added):
            raise BadRequestError(503)

    def check_body_rate(self) -> None:
        """Rejects a body that arrives too slowly.

        Such a body could occupy this connection, and one to a server, indefinitely.
        """
        late_us = monotonic_us() - self.message_began_us - RECEIVE_TIMEOUT_US
        if (
            late_us > 0
            and not self.waited_for_server
            and self.body_size * 1_000_000 < MIN_BODY_BYTES_PER_S * late_us
        ):
            raise BadRequestError(408)

    def on_message_complete(self) -> None:
        """Called at the last byte of a request."""
        if self.input_closed:
            return
        assert self.parser is not None
        self.receiving = False
        self.owner.unmark(self)
        if self.incoming_upload is not None:
            self.upload_complete(self.incoming_upload)
        elif self.url == HEALTH_CHECK_PATH and self.parser.get_method() == b"GET":
            self.pending.append(self.health_check_response())
            self.release_message()
        else:
            self.pending.append(self.parsed_request())
            self.release_message()
            if len(self.pending) > MAX_PENDING_REQUESTS:
                # None of the discarded requests has been sent to a server.
                self.pending.clear()
                raise BadRequestError(400)
            self.check_pending_memory()

    def check_pending_memory(self) -> None:
        """Refuses requests that wait behind another one when the budget is used up. Clients send one at a time."""
        waits = self.busy or len(self.pending) > 1
        if waits and not self.owner.ledger.body_fits(PENDING_REQUEST_BYTES, PENDING_REQUEST_BYTES):
            self.pending.clear()
            raise BadRequestError(503)

    def upload_complete(self, upload: Upload) -> None:
        """Finishes the upload of a large body that has been received completely."""
        if self.left_meanwhile():
            return
        self.incoming_upload = None
        self.release_message()
        upload.finish()
        if self.current_upload is upload and self.request is not None:
            self.owner.dispatcher.body_received(self.request, self.body_delay_us(upload))
        elif self.current_upload is not upload and upload.discarded and self.is_idle():
            # The request was answered before its body was complete.
            self.owner.mark_idle(self)

    def left_meanwhile(self) -> bool:
        """Returns whether the client has left while its body waited for a server, so that its end is not sent."""
        return self.waited_for_server and self.check_presence() is Presence.CLOSED

    def body_delay_us(self, upload: Upload) -> int:
        """Returns for how long the last byte of a body may have waited before it was read."""
        if self.body_arrival is None:
            return self.last_read_delay_us
        waiting_since_us = self.body_arrival.earliest_last_byte_us(upload.size, upload.size)
        if waiting_since_us is None:
            return self.last_read_delay_us
        return max(self.last_read_delay_us, monotonic_us() - waiting_since_us)

    def health_check_response(self) -> LocalResponse:
        """Returns 200 if the node accepts clients, 503 otherwise.

        A node accepts clients unless its health checks are set to fail, and only while it may send requests by its
        endpoint list.
        """
        healthy = not self.owner.health_check_failing and self.owner.dispatcher.may_send()
        return LocalResponse(200 if healthy else 503, keep_alive=True)

    def parsed_request(self, upload: Upload | None = None) -> ParsedRequest:
        """Returns the request that was received, with its body or an upload.

        Raises:
            BadRequestError: The request cannot be forwarded.
        """
        assert self.parser is not None
        return self.owner.request_parser.parse(
            self.parser.get_method(),
            self.url,
            self.headers,
            self.body,
            keep_alive=self.parser.should_keep_alive(),
            received_us=monotonic_us(),
            upload=upload,
            accepts_chunked=self.parser.get_http_version() == "1.1",
            read_delay_us=self.last_read_delay_us,
        )
