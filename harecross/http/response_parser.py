"""Reading and judging one answer of a server. Pure: bytes in, a verdict out."""

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
from harecross.settings import COLUMNS

MAX_HEAD_BYTES = 1 << 14
MAX_HEADERS = 64
MAX_INTERIM_RESPONSES = 16  # 1xx answers before the one that counts
STREAMING_THRESHOLD_BYTES = (
    1 << 14
)  # bytes of a body of unknown length after which it is passed on as it comes
MAX_BUFFERED_RESPONSE_BYTES = MAX_HEAD_BYTES + MAX_BUFFERED_BODY_BYTES + 16 * MAX_CHUNKS
MAX_REPORT_BYTES = 1 << 10
MAX_FIGURE = 1e9
FIGURE_PATTERN = re.compile(rb"\d{1,10}(?:\.\d{1,20})?(?:[eE]-?\d{1,2})?")


def report_positions(columns: Sequence[str]) -> dict[bytes, int]:
    """Where a field of a load report goes. Settings and header may each use either of a field's two names."""
    places: dict[bytes, int] = {}
    for i, column in enumerate(columns):
        plain = COLUMNS.get(column, column)
        for name in (column, plain, *(wire for wire, own in COLUMNS.items() if own == plain)):
            places[name.encode()] = i
    return places


def parse_load_report(text: bytes, places: dict[bytes, int], size: int) -> Sequence[float]:
    """The report in the settings' order; () when a field is missing or cannot be true.

    Guards against: one figure that is no number, or a huge one, stays in the averages of a server for good.
    """
    values: list[float | None] = [None] * size
    if len(text) > MAX_REPORT_BYTES:
        return ()
    for part in text.split(b","):
        name, _, value = part.partition(b"=")
        at = places.get(name.strip())
        if at is not None:
            value = value.strip()
            if FIGURE_PATTERN.fullmatch(value) is None or values[at] is not None:
                return ()
            values[at] = float(value)
            if float(value) > MAX_FIGURE:
                return ()
    # Guards against: half a report read as a server with no load.
    return () if None in values else cast(list[float], values)


class MalformedResponseError(Exception):
    """An answer that cannot be what a server made."""


class ReadResult(Enum):
    """How far an answer has come."""

    INCOMPLETE = 0
    COMPLETE = 1
    MALFORMED = 2


class ResponseParser:
    """One answer as it comes in. 1xx answers ahead of it leave nothing behind.

    A small one is `body` once it is whole. Of one that is `streaming`, `read_body` gives what has come since.
    """

    __slots__ = (
        "parser",
        "status",
        "not_processed",
        "load_report",
        "body",
        "reusable",
        "complete",
        "begun",
        "interim_responses",
        "head_size",
        "headers",
        "has_framing",
        "head_done",
        "chunks",
        "chunked",
        "received",
        "length",
        "body_size",
        "connection_close",
        "streaming",
        "unparsed_bytes",
    )

    def __init__(self) -> None:
        self.parser: HttpResponseParser | None = HttpResponseParser(self)
        self.status = 0
        self.body: bytes = b""
        self.reusable = True  # nothing has come that does not belong to it
        self.complete = False
        self.interim_responses = 0
        self.received: bytes = b""
        self.streaming = False
        self.unparsed_bytes = 0  # bytes since the parser last told of any
        self.reset()

    def reset(self) -> None:
        self.length: int | None = None
        self.body_size = 0  # of the body so far
        self.connection_close = False
        self.not_processed = False
        self.load_report: bytes = b""
        self.head_size = self.headers = self.chunks = 0
        self.has_framing = self.chunked = self.head_done = False

    def release_parser(self) -> None:
        """Guards against: parser and answer hold each other, and pile up until the collector comes by."""
        self.parser = None

    def feed(self, data: bytes) -> ReadResult:
        reading = self.parse(data)
        if reading != ReadResult.INCOMPLETE:
            self.release_parser()
        return reading

    def parse(self, data: bytes) -> ReadResult:
        assert self.parser is not None
        if self.streaming:
            self.unparsed_bytes += len(data)
        else:
            self.received = self.received + data if self.received else data
        try:
            self.parser.feed_data(data)
        except (HttpParserError, HttpParserUpgrade):
            # What a callback raises comes as an HttpParserError too.
            self.reusable = False
            return ReadResult.COMPLETE if self.complete and self.ends_at_message() else ReadResult.MALFORMED
        if self.complete:
            return ReadResult.COMPLETE
        if self.streaming:
            self.received = b""
            return ReadResult.MALFORMED if self.unparsed_bytes > MAX_HEAD_BYTES else ReadResult.INCOMPLETE
        # Guards against: what the parser keeps to itself, a header or a chunk's size that does not end.
        most = MAX_BUFFERED_RESPONSE_BYTES if self.head_done else MAX_HEAD_BYTES
        return ReadResult.MALFORMED if len(self.received) > most else ReadResult.INCOMPLETE

    def feed_eof(self) -> ReadResult:
        """The connection has ended in order."""
        if (
            self.parser is None
            or self.has_framing
            or not (self.connection_close and self.head_done and self.status >= 200)
        ):
            return ReadResult.MALFORMED
        self.release_parser()
        return ReadResult.COMPLETE

    def read_body(self) -> bytes:
        """What has come of the body since the last call."""
        body, self.body = self.body, b""
        return body

    def ends_at_message(self) -> bool:
        """Whether what has come behind the answer is no part of its body.

        Guards against: a Content-Length that is too short leaves the rest of the body behind, and what it
        cuts out is served as whole. What is seen behind good answers is another message, or noise with a
        blank line at its end; all else counts as the rest of a body.
        """
        if self.chunked or self.streaming:
            return True  # the last chunk says so, or it has been passed on as it was framed
        at = 0
        for _ in range(self.interim_responses + 1):
            at = self.received.index(b"\r\n\r\n", at) + 4
        behind = self.received[at + len(self.body) :]
        return behind.startswith(b"HTTP/1.") or behind.endswith(b"\r\n\r\n")

    def outcome(self) -> Outcome:
        """What a whole answer says."""
        if self.status == 200:
            return Outcome.OK
        if self.status in (503, 504) and self.not_processed:
            return Outcome.REJECTED
        return Outcome.ERROR

    # ---- httptools ------------------------------------------------------------------------------------

    def on_message_begin(self) -> None:
        if self.complete:
            self.reusable = False  # a second answer to one request
            raise MalformedResponseError
        # Guards against: a 1xx answer that says "not processed" speaks for the final one.
        self.reset()

    def count_head_bytes(self, size: int) -> None:
        # Guards against: a head that does not end, and one that is all headers.
        self.head_size += size
        if self.head_size > MAX_HEAD_BYTES:
            raise MalformedResponseError

    def on_status(self, text: bytes) -> None:
        self.count_head_bytes(len(text))

    def on_header(self, name: bytes, value: bytes) -> None:
        self.count_head_bytes(len(name) + len(value) + 4)
        self.headers += 1
        if self.headers > MAX_HEADERS:
            raise MalformedResponseError
        if self.head_done:
            return  # a trailer
        low = name.lower()
        if low == b"x-server-load":
            self.load_report = value
        elif low == b"x-not-processed":
            self.not_processed = value.strip() == b"1"
        elif low == b"content-length":
            # Guards against: an answer said to be larger than any is waited for, or kept.
            self.length = int(value)
            if self.length > MAX_BODY_BYTES:
                raise MalformedResponseError
            self.has_framing = True
        elif low == b"transfer-encoding":
            if value.strip().lower() != b"chunked":
                raise MalformedResponseError
            self.has_framing = self.chunked = True
        elif low == b"connection":
            self.connection_close = self.connection_close or b"close" in value.lower()

    def on_headers_complete(self) -> None:
        self.head_done = True
        assert self.parser is not None
        self.status = self.parser.get_status_code()
        if self.status < 200:
            self.interim_responses += 1
            if self.interim_responses > MAX_INTERIM_RESPONSES:
                raise MalformedResponseError
        elif not self.has_framing and not self.connection_close:
            # Guards against: a body that ends with its connection, and does not say so, may be cut off anywhere.
            raise MalformedResponseError
        elif self.length is not None and self.length > MAX_BUFFERED_BODY_BYTES:
            self.start_streaming()

    def start_streaming(self) -> None:
        """From here on it is passed on as it comes; only what servers made is."""
        if self.status != 200:
            raise MalformedResponseError
        self.streaming = True

    def on_chunk_header(self) -> None:
        self.chunks += 1
        self.unparsed_bytes = 0
        if has_too_many_chunks(self.chunks, self.body_size):
            raise MalformedResponseError

    def on_body(self, data: bytes) -> None:
        self.body = self.body + data if self.body else data
        self.body_size += len(data)
        self.unparsed_bytes = 0
        if self.body_size > MAX_BODY_BYTES:
            raise MalformedResponseError
        if (
            self.length is None
            and not self.streaming
            and self.body_size > STREAMING_THRESHOLD_BYTES
            and self.status == 200
        ):
            self.start_streaming()

    def on_message_complete(self) -> None:
        assert self.parser is not None
        if self.status >= 200:
            self.complete = True
            if not self.parser.should_keep_alive():
                self.reusable = False
