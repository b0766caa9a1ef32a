"""Reading and judging one answer of a server. Pure: bytes in, a verdict out."""

from __future__ import annotations

import re
from collections.abc import Sequence
from enum import Enum
from typing import cast

from httptools import HttpParserError, HttpParserUpgrade, HttpResponseParser

from harecross.http.body_buffer import BODY_LARGEST, BODY_MOST, CHUNKS_MOST, too_many
from harecross.interface import Outcome
from harecross.settings import COLUMNS

HEAD_MOST = 1 << 14
HEADERS_MOST = 64
AHEAD_MOST = 16  # 1xx answers before the one that counts
BEGIN_AT = 1 << 14  # bytes of a body of unknown length after which it is passed on as it comes
ANSWER_MOST = HEAD_MOST + BODY_MOST + 16 * CHUNKS_MOST
REPORT_MOST = 1 << 10
FIGURE_MOST = 1e9
FIGURE = re.compile(rb"\d{1,10}(?:\.\d{1,20})?(?:[eE]-?\d{1,2})?")


def report_places(columns: Sequence[str]) -> dict[bytes, int]:
    """Where a field of a load report goes. Settings and header may each use either of a field's two names."""
    places: dict[bytes, int] = {}
    for i, column in enumerate(columns):
        plain = COLUMNS.get(column, column)
        for name in (column, plain, *(wire for wire, own in COLUMNS.items() if own == plain)):
            places[name.encode()] = i
    return places


def read_report(text: bytes, places: dict[bytes, int], size: int) -> Sequence[float]:
    """The report in the settings' order; () when a field is missing or cannot be true.

    Guards against: one figure that is no number, or a huge one, stays in the averages of a server for good.
    """
    values: list[float | None] = [None] * size
    if len(text) > REPORT_MOST:
        return ()
    for part in text.split(b","):
        name, _, value = part.partition(b"=")
        at = places.get(name.strip())
        if at is not None:
            value = value.strip()
            if FIGURE.fullmatch(value) is None or values[at] is not None:
                return ()
            values[at] = float(value)
            if float(value) > FIGURE_MOST:
                return ()
    # Guards against: half a report read as a server with no load.
    return () if None in values else cast(list[float], values)


class MalformedResponseError(Exception):
    """An answer that cannot be what a server made."""


class ReadResult(Enum):
    """How far an answer has come."""

    MORE = 0
    WHOLE = 1
    SPOILT = 2


class ResponseParser:
    """One answer as it comes in. 1xx answers ahead of it leave nothing behind.

    A small one is `body` once it is whole. Of one that is `streaming`, `take` gives what has come since.
    """

    __slots__ = (
        "parser",
        "status",
        "not_run",
        "report",
        "body",
        "reusable",
        "complete",
        "begun",
        "ahead",
        "head_size",
        "headers",
        "framed",
        "head_done",
        "chunks",
        "chunked",
        "raw",
        "length",
        "size",
        "closes",
        "streaming",
        "kept",
    )

    def __init__(self) -> None:
        self.parser: HttpResponseParser | None = HttpResponseParser(self)
        self.status = 0
        self.body: bytes = b""
        self.reusable = True  # nothing has come that does not belong to it
        self.complete = False
        self.ahead = 0
        self.raw: bytes = b""
        self.streaming = False
        self.kept = 0  # bytes since the parser last told of any
        self.begin()

    def begin(self) -> None:
        self.length: int | None = None
        self.size = 0  # of the body so far
        self.closes = False
        self.not_run = False
        self.report: bytes = b""
        self.head_size = self.headers = self.chunks = 0
        self.framed = self.chunked = self.head_done = False

    def drop(self) -> None:
        """Guards against: parser and answer hold each other, and pile up until the collector comes by."""
        self.parser = None

    def feed(self, data: bytes) -> ReadResult:
        reading = self.read(data)
        if reading != ReadResult.MORE:
            self.drop()
        return reading

    def read(self, data: bytes) -> ReadResult:
        assert self.parser is not None
        if self.streaming:
            self.kept += len(data)
        else:
            self.raw = self.raw + data if self.raw else data
        try:
            self.parser.feed_data(data)
        except (HttpParserError, HttpParserUpgrade):
            # What a callback raises comes as an HttpParserError too.
            self.reusable = False
            return ReadResult.WHOLE if self.complete and self.ends_here() else ReadResult.SPOILT
        if self.complete:
            return ReadResult.WHOLE
        if self.streaming:
            self.raw = b""
            return ReadResult.SPOILT if self.kept > HEAD_MOST else ReadResult.MORE
        # Guards against: what the parser keeps to itself, a header or a chunk's size that does not end.
        most = ANSWER_MOST if self.head_done else HEAD_MOST
        return ReadResult.SPOILT if len(self.raw) > most else ReadResult.MORE

    def end(self) -> ReadResult:
        """The connection has ended in order."""
        if self.parser is None or self.framed or not (self.closes and self.head_done and self.status >= 200):
            return ReadResult.SPOILT
        self.drop()
        return ReadResult.WHOLE

    def take(self) -> bytes:
        """What has come of the body since the last call."""
        body, self.body = self.body, b""
        return body

    def ends_here(self) -> bool:
        """Whether what has come behind the answer is no part of its body.

        Guards against: a Content-Length that is too short leaves the rest of the body behind, and what it
        cuts out is served as whole. What is seen behind good answers is another message, or noise with a
        blank line at its end; all else counts as the rest of a body.
        """
        if self.chunked or self.streaming:
            return True  # the last chunk says so, or it has been passed on as it was framed
        at = 0
        for _ in range(self.ahead + 1):
            at = self.raw.index(b"\r\n\r\n", at) + 4
        behind = self.raw[at + len(self.body) :]
        return behind.startswith(b"HTTP/1.") or behind.endswith(b"\r\n\r\n")

    def outcome(self) -> Outcome:
        """What a whole answer says."""
        if self.status == 200:
            return Outcome.OK
        if self.status in (503, 504) and self.not_run:
            return Outcome.REJECTED
        return Outcome.ERROR

    # ---- httptools ------------------------------------------------------------------------------------

    def on_message_begin(self) -> None:
        if self.complete:
            self.reusable = False  # a second answer to one request
            raise MalformedResponseError
        # Guards against: a 1xx answer that says "not processed" speaks for the final one.
        self.begin()

    def grown(self, size: int) -> None:
        # Guards against: a head that does not end, and one that is all headers.
        self.head_size += size
        if self.head_size > HEAD_MOST:
            raise MalformedResponseError

    def on_status(self, text: bytes) -> None:
        self.grown(len(text))

    def on_header(self, name: bytes, value: bytes) -> None:
        self.grown(len(name) + len(value) + 4)
        self.headers += 1
        if self.headers > HEADERS_MOST:
            raise MalformedResponseError
        if self.head_done:
            return  # a trailer
        low = name.lower()
        if low == b"x-server-load":
            self.report = value
        elif low == b"x-not-processed":
            self.not_run = value.strip() == b"1"
        elif low == b"content-length":
            # Guards against: an answer said to be larger than any is waited for, or kept.
            self.length = int(value)
            if self.length > BODY_LARGEST:
                raise MalformedResponseError
            self.framed = True
        elif low == b"transfer-encoding":
            if value.strip().lower() != b"chunked":
                raise MalformedResponseError
            self.framed = self.chunked = True
        elif low == b"connection":
            self.closes = self.closes or b"close" in value.lower()

    def on_headers_complete(self) -> None:
        self.head_done = True
        assert self.parser is not None
        self.status = self.parser.get_status_code()
        if self.status < 200:
            self.ahead += 1
            if self.ahead > AHEAD_MOST:
                raise MalformedResponseError
        elif not self.framed and not self.closes:
            # Guards against: a body that ends with its connection, and does not say so, may be cut off anywhere.
            raise MalformedResponseError
        elif self.length is not None and self.length > BODY_MOST:
            self.stream()

    def stream(self) -> None:
        """From here on it is passed on as it comes; only what servers made is."""
        if self.status != 200:
            raise MalformedResponseError
        self.streaming = True

    def on_chunk_header(self) -> None:
        self.chunks += 1
        self.kept = 0
        if too_many(self.chunks, self.size):
            raise MalformedResponseError

    def on_body(self, data: bytes) -> None:
        self.body = self.body + data if self.body else data
        self.size += len(data)
        self.kept = 0
        if self.size > BODY_LARGEST:
            raise MalformedResponseError
        if self.length is None and not self.streaming and self.size > BEGIN_AT and self.status == 200:
            self.stream()

    def on_message_complete(self) -> None:
        assert self.parser is not None
        if self.status >= 200:
            self.complete = True
            if not self.parser.should_keep_alive():
                self.reusable = False
