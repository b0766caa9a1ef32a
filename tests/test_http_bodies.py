"""Tests of the upload buffer, the response parser and the sizes of stream buffers, without I/O."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from streaming_support import LARGE_BODY, RESPONSE_FRAMINGS

from harecross.http.body_buffer import (
    MAX_BODY_BYTES,
    MAX_BUFFERED_BODY_BYTES,
    MAX_STREAM_BUFFER_BYTES,
    MIN_STREAM_BUFFER_BYTES,
    Upload,
    stream_buffer_bytes,
)
from harecross.http.response_parser import ReadResult, ResponseParser
import itertools


@given(st.lists(st.one_of(st.integers(1, 40_000), st.none()), max_size=30))
def test_an_upload_returns_every_byte_once_and_in_order(steps):
    upload, sent, received = Upload(None), b"", b""
    upload.attach(lambda: None)
    for step in steps:
        if step is None:
            received += upload.read()
            assert upload.replayable == (len(sent) <= MAX_BUFFERED_BODY_BYTES)
            assert upload.replayable or not upload.buffered
        else:
            data = LARGE_BODY[len(sent) : len(sent) + step]
            sent += data
            upload.feed(data)
        assert upload.size == len(sent)
    assert received + upload.read() == sent


@given(st.integers(0, 2 * MAX_BUFFERED_BODY_BYTES), st.integers(0, 2 * MAX_BUFFERED_BODY_BYTES))
def test_an_upload_can_be_read_again_only_while_its_first_bytes_are_kept(before, after):
    upload = Upload(None)
    upload.attach(lambda: None)
    upload.feed(LARGE_BODY[:before])
    upload.read()
    upload.detach()
    upload.feed(LARGE_BODY[before : before + after])
    if before > MAX_BUFFERED_BODY_BYTES:
        with pytest.raises(ValueError):
            upload.attach(lambda: None)
    else:
        upload.attach(lambda: None)
        assert upload.read() == LARGE_BODY[: before + after]


def test_a_discarded_upload_buffers_nothing():
    upload = Upload(None)
    upload.feed(LARGE_BODY)
    upload.discard()
    upload.feed(LARGE_BODY)
    assert not upload.buffered
    assert not upload.full


def parse_in_pieces(text: bytes, cuts: list[int], end: bool) -> tuple[ReadResult, bytes, ResponseParser]:
    """Parses a response that arrives in pieces cut at `cuts`; `end` closes its connection afterwards."""
    parser, body, result = ResponseParser(), b"", ReadResult.INCOMPLETE
    positions = [0, *sorted(cuts), len(text)]
    for start, stop in itertools.pairwise(positions):
        if result == ReadResult.INCOMPLETE and stop > start:
            result = parser.feed(text[start:stop])
            if parser.streaming:
                body += parser.read_body()
    if result == ReadResult.INCOMPLETE and end:
        result = parser.feed_eof()
    return result, body + parser.body, parser


@settings(deadline=None)
@given(
    st.sampled_from(sorted(RESPONSE_FRAMINGS)), st.sampled_from([0, 700, 20_000, 70_000, 300_000]), st.data()
)
def test_a_response_truncated_anywhere_is_complete_or_known_to_be_incomplete(form, size, data):
    text = RESPONSE_FRAMINGS[form](LARGE_BODY[:size])
    cuts = data.draw(st.lists(st.integers(1, len(text)), max_size=12))
    result, body, parser = parse_in_pieces(text, cuts, end=True)
    assert (result, body) == (ReadResult.COMPLETE, LARGE_BODY[:size])
    assert parser.streaming == (size > (MAX_BUFFERED_BODY_BYTES if form == "length" else 1 << 14))
    short = text[: data.draw(st.integers(0, len(text) - 1))]
    result, body, _ = parse_in_pieces(short, [c for c in cuts if c < len(short)], end=True)
    if form == "close" and b"\r\n\r\n" in short:
        # Without framing, a truncated body cannot be told from a complete one.
        assert (result, body) == (ReadResult.COMPLETE, short.partition(b"\r\n\r\n")[2])
    else:
        assert result == ReadResult.MALFORMED


@pytest.mark.parametrize(
    "text",
    [
        b"HTTP/1.1 200 OK\r\n\r\nsome",  # has neither framing nor Connection: close
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\nConnection: close\r\n\r\nshort",
        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (MAX_BODY_BYTES + 1),
        b"HTTP/1.1 500 Error\r\nContent-Length: %d\r\n\r\n" % (MAX_BUFFERED_BODY_BYTES + 1),
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 9000,
    ],
)
def test_a_response_that_cannot_be_forwarded_is_malformed(text):
    assert parse_in_pieces(text, [], end=True)[0] == ReadResult.MALFORMED


@given(st.integers(0, 1 << 40), st.integers(0, 5000))
def test_the_stream_buffer_is_an_equal_part_of_the_budget_within_limits(budget, streams):
    buffer = stream_buffer_bytes(budget, streams)
    assert MIN_STREAM_BUFFER_BYTES <= buffer <= MAX_STREAM_BUFFER_BYTES
    assert buffer == MIN_STREAM_BUFFER_BYTES or 2 * buffer * streams <= budget
    assert stream_buffer_bytes(budget, streams + 1) <= buffer <= stream_buffer_bytes(budget + 1, streams)
