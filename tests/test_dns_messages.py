"""Decoding of DNS messages and streams: any input yields a reply or a MessageError."""

from __future__ import annotations

from contextlib import suppress

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

pytest.importorskip("dns")

import dns.message
import dns.rrset
from dns_support import NAME, ZONE

from harecross.dns.frames import FrameDecoder, frame
from harecross.dns.message import MessageError, decode_reply, normalize_name


@given(st.binary(max_size=300))
@example(b"\x00\x01\x80\x00\x00\x01\x00\x00\x00\x00\x00\x00\xc0\x0c\x00\x21\x00\x01")
def test_any_bytes_yield_a_reply_or_a_message_error(data):
    with suppress(MessageError):
        decode_reply(data)


@settings(max_examples=200)
@given(st.data())
def test_a_corrupted_reply_yields_a_reply_or_a_message_error(data):
    query = dns.message.make_query(NAME, "SRV")
    reply = dns.message.make_response(query)
    reply.answer.append(dns.rrset.from_text(NAME, 5, "IN", "SRV", f"0 1 80 a.{ZONE}", f"1 2 81 b.{ZONE}"))
    reply.additional.append(dns.rrset.from_text(f"a.{ZONE}", 5, "IN", "A", "10.0.0.1"))
    wire = bytearray(reply.to_wire())
    for _ in range(data.draw(st.integers(1, 4))):
        wire[data.draw(st.integers(0, len(wire) - 1))] = data.draw(st.integers(0, 255))
    with suppress(MessageError):
        decode_reply(bytes(wire[: data.draw(st.integers(0, len(wire)))]))


@given(st.lists(st.binary(max_size=80), max_size=6), st.data())
def test_a_stream_split_into_any_chunks_yields_the_same_messages(messages, data):
    stream, decoder, found = b"".join(map(frame, messages)), FrameDecoder(), []
    while stream:
        size = data.draw(st.integers(1, len(stream)))
        found += decoder.feed(stream[:size])
        stream = stream[size:]
    assert found == messages
    assert not decoder.buffer


@pytest.mark.parametrize("name", ["", ".", "a..b", "x" * 64 + ".org", "a." * 200])
def test_an_invalid_name_is_rejected(name):
    with pytest.raises(ValueError):
        normalize_name(name)
    assert normalize_name("_A._tcp.Site3.example.ORG") == "_a._tcp.site3.example.org."
