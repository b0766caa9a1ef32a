"""Parses one response of a server, and the load report that may come with it. Free of I/O."""

from __future__ import annotations

import re
from collections.abc import Sequence
from enum import Enum
from typing import cast

from httptools import HttpParserError, HttpParserUpgrade, HttpResponseParser

from harecross.http.body_buffer import (
    MAX_BODY_BYTES,
    MAX_BUFFERED_BODY_BYTES,
    MAX_CHUNKS,
    has_too_many_chunks,
)
from harecross.interface import Outcome
from harecross.settings import REPORT_FIELD_NAMES

MAX_HEAD_BYTES = 1 << 14
MAX_HEADERS = 64
MAX_INTERIM_RESPONSES = 16  # 1xx, before the one that counts
STREAMING_THRESHOLD_BYTES = 1 << 14  # a body of unknown length is streamed once so much was received
MAX_BUFFERED_RESPONSE_BYTES = MAX_HEAD_BYTES + MAX_BUFFERED_BODY_BYTES + 16 * MAX_CHUNKS
MAX_REPORT_BYTES = 1 << 10
MAX_LOAD_VALUE = 1e9
LOAD_VALUE_PATTERN = re.compile(rb"\d{1,10}(?:\.\d{1,20})?(?:[eE]-?\d{1,2})?")


def report_positions(fields: Sequence[str]) -> dict[bytes, int]:
    """Returns each name of a load report's fields with its place in `fields`.

    The settings and the header may each use either of a field's two names.
    """
    positions: dict[bytes, int] = {}
    for position, field in enumerate(fields):
        own_name = REPORT_FIELD_NAMES.get(field, field)
        wire_names = (wire for wire, own in REPORT_FIELD_NAMES.items() if own == own_name)
        for name in (field, own_name, *wire_names):
            positions[name.encode()] = position
    return positions


def parse_load_report(text: bytes, positions: dict[bytes, int], size: int) -> Sequence[float]:
    """Returns the report's figures in the settings' order; () when one is missing or cannot be true.

    A figure that is no number, or a huge one, would stay in a server's averages for good; half a report would count as
    a server without load.
    """
    values: list[float | None] = [None] * size
    if len(text) > MAX_REPORT_BYTES:
        return ()
    for part in text.split(b","):
        name, _, value = part.partition(b"=")
        position = positions.get(name.strip())
        if position is not None:
            value = value.strip()
            if LOAD_VALUE_PATTERN.fullmatch(value) is None or values[position] is not None:
                return ()
            values[position] = float(value)
            if float(value) > MAX_LOAD_VALUE:
                return ()
    return () if None in values else cast(list[float], values)


class MalformedResponseError(Exception):
    """A response that a working server cannot have made."""


class ReadResult(Enum):
    """How far a response was received."""

    INCOMPLETE = 0
    COMPLETE = 1
    MALFORMED = 2


class ResponseParser:
    """One response while it is received. 1xx responses before it leave nothing behind.

    The body of a small response is `body` once that is complete. Of one that is `streaming`, `read_body` returns what
    was received since the last call.
    """

    __slots__ = (
        "body",
        "body_size",
        "chunked",
        "chunks",
        "complete",
        "connection_close",
        "has_framing",
        "head_done",
        "head_size",
        "headers",
        "interim_responses",
        "length",
        "load_report",
        "not_processed",
        "parser",
        "received",
        "reusable",
        "status",
        "streaming",
        "unparsed_bytes",
    )

    def __init__(self) -> None:
        self.parser: HttpResponseParser | None = HttpResponseParser(self)
        self.status = 0
        self.body: bytes = b""
        self.reusable = True  # the connection: nothing was received that is no part of the response
        self.complete = False
        self.interim_responses = 0
        self.received: bytes = b""  # all bytes of a response that is not streamed
        self.streaming = False
        self.unparsed_bytes = 0  # received since the parser last reported anything of a streamed response
        self.reset()

    def reset(self) -> None:
        """Starts a message: what a 1xx response said does not hold for the one after it."""
        self.length: int | None = None  # of the body, by Content-Length
        self.body_size = 0  # received so far
        self.connection_close = False  # Connection: close
        self.not_processed = False  # X-Not-Processed: 1
        self.load_report: bytes = b""
        self.head_size = self.headers = self.chunks = 0
        self.has_framing = self.chunked = self.head_done = False

    def close(self) -> None:
        """Ends the parsing. Parser and response refer to each other, and would wait for the garbage collector."""
        self.parser = None

    def feed(self, data: bytes) -> ReadResult:
        """Adds bytes that were received."""
        result = self.parse(data)
        if result != ReadResult.INCOMPLETE:
            self.close()
        return result

    def parse(self, data: bytes) -> ReadResult:
        """See `feed`."""
        assert self.parser is not None
        if self.streaming:
            self.unparsed_bytes += len(data)
        else:
            self.received = self.received + data if self.received else data
        try:
            self.parser.feed_data(data)
        except (HttpParserError, HttpParserUpgrade):
            # An exception in a callback is raised as an HttpParserError too.
            self.reusable = False
            return (
                ReadResult.COMPLETE
                if self.complete and self.trailing_bytes_are_separate()
                else ReadResult.MALFORMED
            )
        if self.complete:
            return ReadResult.COMPLETE
        # What the parser keeps to itself is limited here: a header, or a chunk's size, without end.
        if self.streaming:
            self.received = b""
            return ReadResult.MALFORMED if self.unparsed_bytes > MAX_HEAD_BYTES else ReadResult.INCOMPLETE
        limit = MAX_BUFFERED_RESPONSE_BYTES if self.head_done else MAX_HEAD_BYTES
        return ReadResult.MALFORMED if len(self.received) > limit else ReadResult.INCOMPLETE

    def feed_eof(self) -> ReadResult:
        """The server has ended the connection in order, which may be the end of a body."""
        ends_body = self.connection_close and self.head_done and self.status >= 200
        if self.parser is None or self.has_framing or not ends_body:
            return ReadResult.MALFORMED
        self.close()
        return ReadResult.COMPLETE

    def read_body(self) -> bytes:
        """Returns what was received of the body since the last call."""
        body, self.body = self.body, b""
        return body

    def trailing_bytes_are_separate(self) -> bool:
        """Whether the bytes after the message are no part of its body.

        A Content-Length that is too small would cut a body off and have it served as complete. What comes after good
        responses is another message, or bytes with an empty line at their end; all else is the rest of a body.
        """
        if self.chunked or self.streaming:
            return True  # the last chunk ends it, or it was forwarded with the framing it has
        at = 0
        for _ in range(self.interim_responses + 1):
            at = self.received.index(b"\r\n\r\n", at) + 4
        rest = self.received[at + len(self.body) :]
        return rest.startswith(b"HTTP/1.") or rest.endswith(b"\r\n\r\n")

    def outcome(self) -> Outcome:
        """What a complete response says on the attempt."""
        if self.status == 200:
            return Outcome.OK
        if self.status in (503, 504) and self.not_processed:
            return Outcome.REJECTED
        return Outcome.ERROR

    # ---- callbacks of httptools ----------------------------------------------------------------------------

    def on_message_begin(self) -> None:
        """See `HttpResponseParser`."""
        if self.complete:
            self.reusable = False
            raise MalformedResponseError("a second response to one request")
        self.reset()

    def count_head_bytes(self, size: int) -> None:
        """Limits the head."""
        self.head_size += size
        if self.head_size > MAX_HEAD_BYTES:
            raise MalformedResponseError(f"head of {self.head_size} bytes, {MAX_HEAD_BYTES} at most")

    def on_status(self, text: bytes) -> None:
        """See `HttpResponseParser`."""
        self.count_head_bytes(len(text))

    def on_header(self, name: bytes, value: bytes) -> None:
        """See `HttpResponseParser`."""
        self.count_head_bytes(len(name) + len(value) + 4)
        self.headers += 1
        if self.headers > MAX_HEADERS:
            raise MalformedResponseError(f"more than {MAX_HEADERS} headers")
        if self.head_done:
            return  # a trailer
        lower_name = name.lower()
        if lower_name == b"x-server-load":
            self.load_report = value
        elif lower_name == b"x-not-processed":
            self.not_processed = value.strip() == b"1"
        elif lower_name == b"content-length":
            self.length = int(value)
            if self.length > MAX_BODY_BYTES:
                raise MalformedResponseError(f"Content-Length {self.length}, {MAX_BODY_BYTES} at most")
            self.has_framing = True
        elif lower_name == b"transfer-encoding":
            if value.strip().lower() != b"chunked":
                raise MalformedResponseError(f"Transfer-Encoding {value!r}")
            self.has_framing = self.chunked = True
        elif lower_name == b"connection":
            self.connection_close = self.connection_close or b"close" in value.lower()

    def on_headers_complete(self) -> None:
        """See `HttpResponseParser`."""
        self.head_done = True
        assert self.parser is not None
        self.status = self.parser.get_status_code()
        if self.status < 200:
            self.interim_responses += 1
            if self.interim_responses > MAX_INTERIM_RESPONSES:
                raise MalformedResponseError(f"more than {MAX_INTERIM_RESPONSES} interim responses")
        elif not self.has_framing and not self.connection_close:
            # A body that ends with its connection, and does not say so, may have been cut off anywhere.
            raise MalformedResponseError("no Content-Length, Transfer-Encoding or Connection: close")
        elif self.length is not None and self.length > MAX_BUFFERED_BODY_BYTES:
            self.start_streaming()

    def start_streaming(self) -> None:
        """The body is forwarded from here on as it is received; only that of a good response is."""
        if self.status != 200:
            raise MalformedResponseError(f"a body too large for status {self.status}")
        self.streaming = True

    def on_chunk_header(self) -> None:
        """See `HttpResponseParser`."""
        self.chunks += 1
        self.unparsed_bytes = 0
        if has_too_many_chunks(self.chunks, self.body_size):
            raise MalformedResponseError(f"{self.chunks} chunks in {self.body_size} bytes")

    def on_body(self, data: bytes) -> None:
        """See `HttpResponseParser`."""
        self.body = self.body + data if self.body else data
        self.body_size += len(data)
        self.unparsed_bytes = 0
        if self.body_size > MAX_BODY_BYTES:
            raise MalformedResponseError(f"body of {self.body_size} bytes, {MAX_BODY_BYTES} at most")
        if (
            self.length is None
            and not self.streaming
            and self.body_size > STREAMING_THRESHOLD_BYTES
            and self.status == 200
        ):
            self.start_streaming()

    def on_message_complete(self) -> None:
        """See `HttpResponseParser`."""
        assert self.parser is not None
        if self.status >= 200:
            self.complete = True
            if not self.parser.should_keep_alive():
                self.reusable = False
