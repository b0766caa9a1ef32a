"""Reading and judging one answer of a server. Pure: bytes in, a verdict out."""

from __future__ import annotations

import re
from collections.abc import Sequence
from enum import Enum
from typing import cast

from httptools import HttpParserError, HttpParserUpgrade, HttpResponseParser

from harecross.core.requests import BODY_MOST
from harecross.interface import Outcome
from harecross.settings import COLUMNS

HEAD_MOST = 1 << 14
HEADERS_MOST = 64
AHEAD_MOST = 16  # 1xx answers before the one that counts
CHUNKS_MOST = 1 << 12
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


class Spoilt(Exception):
    """An answer that cannot be what a server made."""


class Reading(Enum):
    """How far an answer has come."""

    MORE = 0
    WHOLE = 1
    SPOILT = 2


class Answer:
    """One answer as it comes in. 1xx answers ahead of it leave nothing behind."""

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
    )

    def __init__(self) -> None:
        self.parser: HttpResponseParser | None = HttpResponseParser(self)
        self.status = 0
        self.body: bytes = b""
        self.reusable = True  # nothing has come that does not belong to it
        self.complete = False
        self.ahead = 0
        self.raw: bytes = b""
        self.begin()

    def begin(self) -> None:
        self.not_run = False
        self.report: bytes = b""
        self.head_size = self.headers = self.chunks = 0
        self.framed = self.chunked = self.head_done = False

    def drop(self) -> None:
        """Guards against: parser and answer hold each other, and pile up until the collector comes by."""
        self.parser = None

    def feed(self, data: bytes) -> Reading:
        reading = self.read(data)
        if reading != Reading.MORE:
            self.drop()
        return reading

    def read(self, data: bytes) -> Reading:
        assert self.parser is not None
        self.raw = self.raw + data if self.raw else data
        try:
            self.parser.feed_data(data)
        except (HttpParserError, HttpParserUpgrade):
            # What a callback raises comes as an HttpParserError too.
            self.reusable = False
            return Reading.WHOLE if self.complete and self.ends_here() else Reading.SPOILT
        if self.complete:
            return Reading.WHOLE
        # Guards against: what the parser keeps to itself, a header or a chunk's size that does not end.
        most = ANSWER_MOST if self.head_done else HEAD_MOST
        return Reading.SPOILT if len(self.raw) > most else Reading.MORE

    def ends_here(self) -> bool:
        """Whether what has come behind the answer is no part of its body.

        Guards against: a Content-Length that is too short leaves the rest of the body behind, and what it
        cuts out is served as whole. What is seen behind good answers is another message, or noise with a
        blank line at its end; all else counts as the rest of a body.
        """
        if self.chunked:
            return True  # the last chunk says so
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
            raise Spoilt
        # Guards against: a 1xx answer that says "not processed" speaks for the final one.
        self.begin()

    def grown(self, size: int) -> None:
        # Guards against: a head that does not end, and one that is all headers.
        self.head_size += size
        if self.head_size > HEAD_MOST:
            raise Spoilt

    def on_status(self, text: bytes) -> None:
        self.grown(len(text))

    def on_header(self, name: bytes, value: bytes) -> None:
        self.grown(len(name) + len(value) + 4)
        self.headers += 1
        if self.headers > HEADERS_MOST:
            raise Spoilt
        if self.head_done:
            return  # a trailer
        low = name.lower()
        if low == b"x-server-load":
            self.report = value
        elif low == b"x-not-processed":
            self.not_run = value.strip() == b"1"
        elif low == b"content-length":
            # Guards against: an answer said to be larger than any is waited for, or kept.
            if int(value) > BODY_MOST:
                raise Spoilt
            self.framed = True
        elif low == b"transfer-encoding":
            if value.strip().lower() != b"chunked":
                raise Spoilt
            self.framed = self.chunked = True

    def on_headers_complete(self) -> None:
        self.head_done = True
        assert self.parser is not None
        self.status = self.parser.get_status_code()
        if self.status < 200:
            self.ahead += 1
            if self.ahead > AHEAD_MOST:
                raise Spoilt
        elif not self.framed:
            # Guards against: a body that ends with its connection may have been cut off anywhere.
            raise Spoilt

    def on_chunk_header(self) -> None:
        self.chunks += 1
        if self.chunks > CHUNKS_MOST:
            raise Spoilt

    def on_body(self, data: bytes) -> None:
        self.body = self.body + data if self.body else data
        if len(self.body) > BODY_MOST:
            raise Spoilt

    def on_message_complete(self) -> None:
        assert self.parser is not None
        if self.status >= 200:
            self.complete = True
            if not self.parser.should_keep_alive():
                self.reusable = False
