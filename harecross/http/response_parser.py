"""Parses one server response and the load report that it may carry."""

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
# Parts of a body that are smaller are put together.
MIN_PART_BYTES = 1 << 12
MAX_INTERIM_RESPONSES = 16  # 1xx responses before the final response
# A body of unknown length is streamed once more than this was received.
STREAMING_THRESHOLD_BYTES = 1 << 14
MAX_BUFFERED_RESPONSE_BYTES = MAX_HEAD_BYTES + MAX_BUFFERED_BODY_BYTES + 16 * MAX_CHUNKS
MAX_REPORT_BYTES = 1 << 10
MAX_LOAD_VALUE = 1e9
LOAD_VALUE_PATTERN = re.compile(rb"\d{1,10}(?:\.\d{1,20})?(?:[eE]-?\d{1,2})?")


def report_positions(fields: Sequence[str]) -> dict[bytes, int]:
    """Maps each name of a load report field to its index in `fields`.

    A field has an internal name and a name on the wire. The settings and the header may each use either of them.
    """
    positions: dict[bytes, int] = {}
    for position, field in enumerate(fields):
        internal_name = REPORT_FIELD_NAMES.get(field, field)
        wire_names = (wire for wire, internal in REPORT_FIELD_NAMES.items() if internal == internal_name)
        for name in (field, internal_name, *wire_names):
            positions[name.encode()] = position
    return positions


def parse_load_report(text: bytes, positions: dict[bytes, int], size: int) -> Sequence[float]:
    """Returns the values of a load report in the order of the settings; () if one is missing or invalid.

    `positions` is the result of `report_positions`, and `size` the number of fields. A value that is not a number, or
    that is larger than `MAX_LOAD_VALUE`, would distort a server's moving averages permanently. A partial report would
    make the server look unloaded.
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
    """Raised in parser callbacks for a response that is invalid or exceeds a limit."""


class ReadResult(Enum):
    """State of a response after the received bytes were parsed."""

    INCOMPLETE = 0
    COMPLETE = 1
    MALFORMED = 2


class ResponseParser:
    """Incremental parser of one response. State from preceding 1xx responses is dropped.

    The body of a small response is in `body` once the response is complete. For a streamed response, `read_body`
    returns the bytes received since its previous call.

    Attributes:
        status: Status code; 0 before the head is complete.
        body_parts: Body bytes received and not yet taken by `read_body`.
        held_body_bytes: Their number.
        body_start: Where the body starts in the bytes of the message; 0 while it is not known.
        body_size: Number of body bytes received.
        length: Value of Content-Length; None without that header.
        has_framing: Whether Content-Length or Transfer-Encoding determines the end of the body.
        connection_close: Whether the server sent `Connection: close`.
        not_processed: Whether the server sent `X-Not-Processed: 1`.
        load_report: Value of X-Server-Load; empty without that header.
        reusable: Whether the connection may carry another exchange: no bytes beyond the response were received, and
            the server keeps it open.
        streaming: Whether the body is forwarded while it is received.
        head: The bytes received until it is known where the body starts.
        message_bytes: The number of bytes received of a response that is not streamed, with its interim responses.
        unparsed_bytes: Bytes of a streamed response received since the last callback of the parser.
    """

    __slots__ = (
        "body_parts",
        "body_size",
        "body_start",
        "chunked",
        "chunks",
        "complete",
        "connection_close",
        "has_framing",
        "head",
        "head_done",
        "head_size",
        "headers",
        "held_body_bytes",
        "interim_responses",
        "length",
        "load_report",
        "message_bytes",
        "not_processed",
        "parser",
        "reusable",
        "status",
        "streaming",
        "unparsed_bytes",
    )

    def __init__(self) -> None:
        self.parser: HttpResponseParser | None = HttpResponseParser(self)
        self.status = 0
        self.body_parts: list[bytes] = []
        self.held_body_bytes = 0
        self.body_start = 0
        self.reusable = True
        self.complete = False
        self.interim_responses = 0
        self.head: bytes = b""
        self.message_bytes = 0
        self.streaming = False
        self.unparsed_bytes = 0
        self.reset()

    def reset(self) -> None:
        """Clears the state of a message: headers of a 1xx response do not apply to the response that follows it."""
        self.length: int | None = None
        self.body_size = 0
        self.connection_close = False
        self.not_processed = False
        self.load_report: bytes = b""
        self.head_size = self.headers = self.chunks = 0
        self.has_framing = self.chunked = self.head_done = False

    def close(self) -> None:
        """Drops the httptools parser, which refers back to this object: a cycle would need the garbage collector."""
        self.parser = None

    def feed(self, data: bytes) -> ReadResult:
        """Parses received bytes; returns the state of the response."""
        result = self.parse(data)
        if result != ReadResult.INCOMPLETE:
            self.close()
        return result

    def parse(self, data: bytes) -> ReadResult:
        """Parses received bytes, without closing the parser at the end of the response."""
        assert self.parser is not None
        self.begin_part(data)
        try:
            self.parser.feed_data(data)
        except (HttpParserError, HttpParserUpgrade):
            # httptools raises HttpParserError for an exception in a callback, too.
            self.reusable = False
            return (
                ReadResult.COMPLETE
                if self.complete and self.trailing_bytes_are_separate(data)
                else ReadResult.MALFORMED
            )
        if self.complete:
            return ReadResult.COMPLETE
        if self.head_done and self.status >= 200:
            self.release_head()
        return ReadResult.MALFORMED if self.exceeds_limits() else ReadResult.INCOMPLETE

    def begin_part(self, data: bytes) -> None:
        """Counts received bytes, and keeps them while they may be a part of the head."""
        if self.streaming:
            self.unparsed_bytes += len(data)
            return
        self.message_bytes += len(data)
        if self.body_start == 0:
            self.head = self.head + data if self.head else data

    def exceeds_limits(self) -> bool:
        """Returns whether there is too much input for which the parser makes no callback, such as an endless head."""
        if self.streaming:
            return self.unparsed_bytes > MAX_HEAD_BYTES
        return self.message_bytes > (MAX_BUFFERED_RESPONSE_BYTES if self.head_done else MAX_HEAD_BYTES)

    def release_head(self) -> None:
        """Drops the bytes of the final head, once it is known where the body starts."""
        if self.body_start == 0:
            for _ in range(self.interim_responses + 1):
                self.body_start = self.head.index(b"\r\n\r\n", self.body_start) + 4
        self.head = b""

    def held_bytes(self) -> int:
        """Returns the number of bytes of the response that are held."""
        return len(self.head) + self.held_body_bytes

    def feed_eof(self) -> ReadResult:
        """Handles the end of the stream (FIN), which completes a body that is delimited by the close."""
        ends_body = self.connection_close and self.head_done and self.status >= 200
        if self.parser is None or self.has_framing or not ends_body:
            return ReadResult.MALFORMED
        self.close()
        return ReadResult.COMPLETE

    @property
    def begun_without_length(self) -> bool:
        """Whether a part of a good response was received that may become large: nothing tells its length."""
        return self.head_done and self.status == 200 and self.length is None and not self.complete

    def expected_body_bytes(self) -> int:
        """Returns the size of the body, or without a Content-Length the number of body bytes received so far."""
        return self.body_size if self.length is None else self.length

    def read_body(self) -> bytes:
        """Returns the body bytes received since the previous call."""
        body = self.body
        if body:
            self.body_parts = []
            self.held_body_bytes = 0
        return body

    @property
    def body(self) -> bytes:
        """The body bytes received and not yet taken by `read_body`."""
        if len(self.body_parts) > 1:
            self.body_parts = [b"".join(self.body_parts)]
        return self.body_parts[0] if self.body_parts else b""

    def trailing_bytes_are_separate(self, last: bytes) -> bool:
        """Returns whether the bytes after the message are not a part of its body; `last` ends with them.

        If Content-Length is too small, a truncated body would be served as complete. Bytes after a valid response
        either start another message or end with an empty line; anything else is treated as the rest of the body.
        """
        if self.chunked or self.streaming:
            # The last chunk marks the end of the body, or the body was already forwarded with the server's framing.
            return True
        self.release_head()
        trailing = last[len(last) - (self.message_bytes - self.body_start - self.body_size) :]
        return trailing.startswith(b"HTTP/1.") or trailing.endswith(b"\r\n\r\n")

    def outcome(self) -> Outcome:
        """Returns the outcome of the attempt according to the complete response."""
        if self.status == 200:
            return Outcome.OK
        if self.status in (503, 504) and self.not_processed:
            return Outcome.REJECTED
        return Outcome.ERROR

    def on_message_begin(self) -> None:
        """See `HttpResponseParser`."""
        if self.complete:
            self.reusable = False
            raise MalformedResponseError("received a second response to one request")
        self.reset()

    def count_head_bytes(self, size: int) -> None:
        """Adds to the size of the head and checks its limit."""
        self.head_size += size
        if self.head_size > MAX_HEAD_BYTES:
            raise MalformedResponseError(
                f"response head of {self.head_size} bytes exceeds the limit of {MAX_HEAD_BYTES}"
            )

    def on_status(self, text: bytes) -> None:
        """See `HttpResponseParser`."""
        self.count_head_bytes(len(text))

    def on_header(self, name: bytes, value: bytes) -> None:
        """See `HttpResponseParser`."""
        self.count_head_bytes(len(name) + len(value) + 4)
        self.headers += 1
        if self.headers > MAX_HEADERS:
            raise MalformedResponseError(f"response has more than {MAX_HEADERS} headers")
        if self.head_done:
            return  # trailers are ignored
        lower_name = name.lower()
        if lower_name == b"x-server-load":
            self.load_report = value
        elif lower_name == b"x-not-processed":
            self.not_processed = value.strip() == b"1"
        elif lower_name == b"content-length":
            self.length = int(value)
            if self.length > MAX_BODY_BYTES:
                raise MalformedResponseError(
                    f"Content-Length {self.length} exceeds the limit of {MAX_BODY_BYTES}"
                )
            self.has_framing = True
        elif lower_name == b"transfer-encoding":
            if value.strip().lower() != b"chunked":
                raise MalformedResponseError(f"unsupported Transfer-Encoding {value!r}; expected chunked")
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
                raise MalformedResponseError(f"received more than {MAX_INTERIM_RESPONSES} interim responses")
        elif not self.has_framing and not self.connection_close:
            # Without framing or an announced close, a truncated body cannot be told from a complete one.
            raise MalformedResponseError(
                "response has no Content-Length, Transfer-Encoding or Connection: close"
            )
        elif self.length is not None and self.length > MAX_BUFFERED_BODY_BYTES:
            self.start_streaming()

    def start_streaming(self) -> None:
        """Switches to forwarding the body while it is received; allowed only for status 200."""
        if self.status != 200:
            raise MalformedResponseError(
                f"body of a response with status {self.status} exceeds {MAX_BUFFERED_BODY_BYTES} bytes"
            )
        self.streaming = True

    def on_chunk_header(self) -> None:
        """See `HttpResponseParser`."""
        self.chunks += 1
        self.unparsed_bytes = 0
        if has_too_many_chunks(self.chunks, self.body_size):
            raise MalformedResponseError(
                f"too many chunks: {self.chunks} for a body of {self.body_size} bytes"
            )

    def on_body(self, data: bytes) -> None:
        """See `HttpResponseParser`."""
        if self.body_parts and len(data) < MIN_PART_BYTES and len(self.body_parts[-1]) < MIN_PART_BYTES:
            self.body_parts[-1] += data
        else:
            self.body_parts.append(data)
        self.held_body_bytes += len(data)
        self.body_size += len(data)
        self.unparsed_bytes = 0
        if self.body_size > MAX_BODY_BYTES:
            raise MalformedResponseError(
                f"body of {self.body_size} bytes exceeds the limit of {MAX_BODY_BYTES}"
            )
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
