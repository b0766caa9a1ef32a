"""Bodies larger than the memory, both ways, with slow, cut and stalling peers; and every form of an answer."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from node_support import entry, until, with_node
from support import ask, balancer, end

from harecross.downstream import connection_manager, request_receiver
from harecross.http.body_buffer import (
    MAX_BODY_BYTES,
    MAX_BUFFERED_BODY_BYTES,
    MAX_STREAM_BUFFER_BYTES,
    MIN_STREAM_BUFFER_BYTES,
    Upload,
    stream_buffer_bytes,
)
from harecross.http.response_parser import ReadResult, ResponseParser
from harecross.interface import Outcome
from harecross.node.resource_shares import request_body_bytes
from harecross.standins.http import read_body, read_message
from harecross.upstream import connection_pool

BIG = bytes(i * 7 % 251 for i in range(300_000))


# ---- an upload, free of I/O ----------------------------------------------------------------------------


@given(st.lists(st.one_of(st.integers(1, 40_000), st.none()), max_size=30))
def test_an_upload_gives_every_byte_once_and_in_order(steps):
    upload, sent, taken = Upload(None), b"", b""
    upload.attach(lambda: None)
    for step in steps:
        if step is None:
            taken += upload.read()
            assert upload.replayable == (len(sent) <= MAX_BUFFERED_BODY_BYTES)
            assert upload.replayable or not upload.buffered
        else:
            data = BIG[len(sent) : len(sent) + step]
            sent += data
            upload.feed(data)
        assert upload.size == len(sent)
    assert taken + upload.read() == sent


@given(st.integers(0, 2 * MAX_BUFFERED_BODY_BYTES), st.integers(0, 2 * MAX_BUFFERED_BODY_BYTES))
def test_an_upload_begins_anew_only_while_its_beginning_is_there(before, after):
    upload = Upload(None)
    upload.attach(lambda: None)
    upload.feed(BIG[:before])
    upload.read()
    upload.detach()
    upload.feed(BIG[before : before + after])
    if before > MAX_BUFFERED_BODY_BYTES:
        with pytest.raises(ValueError):
            upload.attach(lambda: None)
    else:
        upload.attach(lambda: None)
        assert upload.read() == BIG[: before + after]


def test_an_upload_that_nobody_wants_keeps_nothing():
    upload = Upload(None)
    upload.feed(BIG)
    upload.discard()
    upload.feed(BIG)
    assert not upload.buffered and not upload.full


# ---- an answer in pieces -------------------------------------------------------------------------------


def chunked(body: bytes, size: int) -> bytes:
    parts = [body[i : i + size] for i in range(0, len(body), size)]
    return b"".join(b"%x\r\n%s\r\n" % (len(p), p) for p in parts) + b"0\r\n\r\n"


FORMS = {
    "length": lambda body: b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body),
    "chunks": lambda body: b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked \r\n\r\n" + chunked(body, 999),
    "close": lambda body: b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body,
}


def read_in_pieces(text: bytes, cuts: list[int], end: bool) -> tuple[ReadResult, bytes, ResponseParser]:
    """What an answer says of a text that comes in pieces, and of the connection's end."""
    answer, body, reading = ResponseParser(), b"", ReadResult.INCOMPLETE
    marks = [0, *sorted(cuts), len(text)]
    for a, b in zip(marks, marks[1:], strict=False):
        if reading == ReadResult.INCOMPLETE and b > a:
            reading = answer.feed(text[a:b])
            if answer.streaming:
                body += answer.read_body()
    if reading == ReadResult.INCOMPLETE and end:
        reading = answer.feed_eof()
    return reading, body + answer.body, answer


@settings(deadline=None)
@given(st.sampled_from(sorted(FORMS)), st.sampled_from([0, 700, 20_000, 70_000, 300_000]), st.data())
def test_an_answer_cut_anywhere_is_read_whole_or_known_not_to_be(form, size, data):
    text = FORMS[form](BIG[:size])
    cuts = data.draw(st.lists(st.integers(1, len(text)), max_size=12))
    reading, body, answer = read_in_pieces(text, cuts, end=True)
    assert (reading, body) == (ReadResult.COMPLETE, BIG[:size])
    assert answer.streaming == (size > (MAX_BUFFERED_BODY_BYTES if form == "length" else 1 << 14))
    short = text[: data.draw(st.integers(0, len(text) - 1))]
    reading, body, _ = read_in_pieces(short, [c for c in cuts if c < len(short)], end=True)
    if form == "close" and b"\r\n\r\n" in short:
        assert (reading, body) == (ReadResult.COMPLETE, short.partition(b"\r\n\r\n")[2])  # nobody could tell
    else:
        assert reading == ReadResult.MALFORMED


@pytest.mark.parametrize(
    "text",
    [
        b"HTTP/1.1 200 OK\r\n\r\nsome",  # does not say that it ends with its connection
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\nConnection: close\r\n\r\nshort",
        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (MAX_BODY_BYTES + 1),
        b"HTTP/1.1 500 Error\r\nContent-Length: %d\r\n\r\n" % (MAX_BUFFERED_BODY_BYTES + 1),
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 9000,
    ],
)
def test_an_answer_that_cannot_be_passed_on_is_spoilt(text):
    assert read_in_pieces(text, [], end=True)[0] == ReadResult.MALFORMED


# ---- the module ----------------------------------------------------------------------------------------


def test_a_body_on_its_way_holds_no_slot_and_takes_no_time():
    node, recorder = balancer(servers=1)
    _, request, server, _ = ask(node, recorder, 1000, 1, request_class=1)
    srv, ctl = node.subset.servers[server], node.controller
    assert (srv.in_flight, ctl.in_flight) == (1, 1)
    node.uploading(1000, request, True)
    node.uploading(1000, request, True)
    assert (srv.in_flight, ctl.in_flight) == (0, 0)
    node.uploading(9_000_000, request, False)
    assert (srv.in_flight, ctl.in_flight) == (1, 1)
    r = node.requests[request]
    assert r.sent_at == 9_000_000 and r.deadline > 9_000_000
    end(node, recorder, 9_100_000, request, 0, server, Outcome.OK, latency=100_000)
    assert (srv.in_flight, ctl.in_flight) == (0, 0) and not node.requests
    node.uploading(9_200_000, request, True)  # nothing to park
    assert (srv.in_flight, ctl.in_flight) == (0, 0)


def test_a_call_is_not_cut_off_while_its_body_is_on_the_way():
    node, recorder = balancer(servers=2)
    _, request, server, _ = ask(node, recorder, 1000, 1, request_class=1)
    node.uploading(1000, request, True)
    node.per_try_timeout(2_900_000, node.requests[request])
    assert not recorder.take("cancel", "set_timer")


@pytest.mark.parametrize("first", [None, Outcome.RESET])
def test_what_cannot_be_sent_again_is_refused_only_where_it_cannot_have_run(first):
    node, recorder = balancer(servers=2)
    _, request, server, _ = ask(node, recorder, 1000, 1, request_class=1)
    attempt = 0
    if first is not None:  # an attempt before this one may have run
        ((_, _, server, _),) = end(node, recorder, 2000, request, 0, server, first)
        attempt = 1
    node.response_started(3000, request, attempt, server, 0)
    (action,) = end(node, recorder, 4000, request, attempt, server, Outcome.NOT_SENT)
    assert action[0] == ("shed" if first is None else "fail")


# ---- over sockets --------------------------------------------------------------------------------------

Peer = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def with_peers(test, *peers: Peer, **more) -> None:
    """A node before servers that each do what their function says on every connection."""

    async def inside(w) -> None:
        listening = [await asyncio.start_server(p, "127.0.0.1", 0, limit=1 << 20) for p in peers]
        w.addresses = ["{}:{}".format(*s.sockets[0].getsockname()) for s in listening]
        known = [entry(f"s{i}", a) for i, a in enumerate(w.addresses)]
        w.node.registry.apply({"reset": True, "instances": known})
        try:
            await test(w)
        finally:
            for server in listening:
                server.close()

    with_node(inside, **more)


def reset(writer: asyncio.StreamWriter) -> None:
    linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


def answers(text: bytes, close: bool = False) -> Peer:
    async def peer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                await read_message(reader)
                writer.write(text)
                await writer.drain()
                if close:
                    writer.close()
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    return peer


@pytest.mark.parametrize("form", sorted(FORMS))
@pytest.mark.parametrize("size", [700, 300_000])
def test_answers_of_every_form_reach_the_caller(form, size):
    async def test(w) -> None:
        client = await w.client()
        for _ in range(2):
            client.send()
            status, head, body = await client.answer()
            assert (status, body) == (200, BIG[:size])
            assert b"close" not in head
        assert w.node.dispatcher.statistics.final_answers["served"] == 2

    with_peers(test, answers(FORMS[form](BIG[:size]), close=form == "close"))


def test_an_old_caller_reads_a_long_answer_to_the_end():
    async def test(w) -> None:
        client = await w.client()
        client.writer.write(b"GET /read/1 HTTP/1.0\r\nX-Request-ID: r\r\nX-Timeout: 9000m\r\n\r\n")
        text = await client.reader.read()
        assert b"chunked" not in text and text.partition(b"\r\n\r\n")[2] == BIG

    with_peers(test, answers(FORMS["chunks"](BIG)))


def test_a_long_answer_goes_on_past_the_callers_time():
    async def test(w) -> None:
        client = await w.client()
        client.send(left="150m")
        status, _, body = await client.answer()
        assert (status, body) == (200, BIG)
        assert not w.node.dispatcher.requests

    async def slow(reader, writer) -> None:
        await read_message(reader)
        text = FORMS["length"](BIG)
        for i in range(10):
            writer.write(text[i * 30_100 : (i + 1) * 30_100])
            await asyncio.sleep(0.04)

    with_peers(test, slow)


def test_a_long_answer_that_breaks_off_is_not_whole_and_not_asked_for_again():
    asked = []

    async def breaks(reader, writer) -> None:
        await read_message(reader)
        asked.append(1)
        writer.write(FORMS["length"](BIG)[:200_000])
        await writer.drain()
        writer.close()

    async def test(w) -> None:
        client = await w.client()
        client.send()
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
            await client.answer()
        await until(lambda: not (w.node.dispatcher.requests))
        assert len(asked) == 1 and w.node.dispatcher.statistics.final_answers["failed"] == 1
        assert max(s.failure_rate for s in w.node.dispatcher.balancer.subset.servers.values()) > 0

    with_peers(test, breaks, breaks)


def test_an_old_caller_can_tell_an_answer_that_broke_off():
    async def breaks(reader, writer) -> None:
        await read_message(reader)
        writer.write(FORMS["chunks"](BIG)[:200_000])
        await writer.drain()
        writer.close()

    async def test(w) -> None:
        client = await w.client()
        client.writer.write(b"GET /read/1 HTTP/1.0\r\nX-Request-ID: r\r\nX-Timeout: 9000m\r\n\r\n")
        with pytest.raises(ConnectionError):
            await client.reader.read()

    with_peers(test, breaks)


def test_an_answer_without_length_that_is_reset_is_asked_for_again():
    async def resets(reader, writer) -> None:
        await read_message(reader)
        writer.write(FORMS["close"](b"half"))
        await writer.drain()
        reset(writer)

    async def test(w) -> None:
        client = await w.client()
        for _ in range(6):
            client.send()
            status, _, body = await client.answer()
            assert (status, body) == (200, b"good")

    good = answers(FORMS["length"](b"good"))
    with_peers(test, resets, good, good, good, good)


def test_a_server_that_stalls_within_a_long_answer_is_given_up(monkeypatch):
    monkeypatch.setattr(connection_pool, "STALL_TIMEOUT_US", 50_000)

    async def stalls(reader, writer) -> None:
        await read_message(reader)
        writer.write(FORMS["length"](BIG)[:100_000])

    async def test(w) -> None:
        client = await w.client()
        client.send()
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
            await client.answer()
        await until(lambda: not (w.node.dispatcher.requests or w.node.pool.open_connections))
        assert not w.node.pool.streaming

    with_peers(test, stalls)


def test_a_caller_that_does_not_read_stops_the_server_and_is_put_out(monkeypatch):
    monkeypatch.setattr(connection_manager, "SLOW_READER_TIMEOUT_US", 300_000)
    written, stopped = [0], asyncio.Event()

    async def pours(reader, writer) -> None:
        await read_message(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 33000000\r\n\r\n")
        try:
            for _ in range(500):
                writer.write(b"x" * 66_000)
                await writer.drain()
                written[0] += 66_000
        except ConnectionError:
            stopped.set()

    async def test(w) -> None:
        client = await w.client()
        client.send()
        await asyncio.sleep(0)
        await stopped.wait()
        # What waits lies in the kernel's buffers, the test's own among them, and not in the node.
        assert written[0] < 12_000_000
        await until(lambda: not (w.node.client_connections.open))
        assert not w.node.dispatcher.requests and not w.node.dispatcher.open_request_ids
        client.writer.close()

    with_peers(test, pours)


def test_many_slow_callers_hold_little_each_and_a_single_one_its_whole_buffer():
    async def pours(reader, writer) -> None:
        try:
            while True:
                await read_message(reader)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 3000000\r\n\r\n" + b"x" * 3_000_000)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def test(w) -> None:
        pool = w.node.pool
        pool.set_streaming_budget(1 << 20)
        assert pool.first_buffer_bytes == MIN_STREAM_BUFFER_BYTES
        clients = []
        for _ in range(40):
            client = await w.client()
            client.send()
            clients.append(client)
        held = list(pool.streaming)
        while len(held) < 15 or not all(c.read_paused for c in held):
            await asyncio.sleep(0.01)
            held = list(pool.streaming)
        here = [
            c.transport.get_write_buffer_size()
            for c in w.node.client_connections.open
            if c.transport is not None
        ]
        assert (
            max(here) <= 3 * MIN_STREAM_BUFFER_BYTES and pool.stream_buffer_bytes == MIN_STREAM_BUFFER_BYTES
        )
        for client in clients:
            client.writer.transport.abort()
        await until(lambda: not pool.streaming)
        pool.sweep()
        assert pool.stream_buffer_bytes == MAX_STREAM_BUFFER_BYTES
        # With room for it a single answer has the whole buffer again, and comes whole.
        client = await w.client()
        client.send()
        assert len((await client.answer())[2]) == 3_000_000
        client.writer.close()

    with_peers(test, pours, pours)


@given(st.integers(0, 1 << 40), st.integers(0, 5000))
def test_a_stream_s_buffer_is_its_part_of_the_budget_within_bounds(budget, streams):
    buffer = stream_buffer_bytes(budget, streams)
    assert MIN_STREAM_BUFFER_BYTES <= buffer <= MAX_STREAM_BUFFER_BYTES
    assert buffer == MIN_STREAM_BUFFER_BYTES or 2 * buffer * streams <= budget
    assert stream_buffer_bytes(budget, streams + 1) <= buffer <= stream_buffer_bytes(budget + 1, streams)


def test_two_processes_hold_no_more_of_bodies_than_one_may():
    for whole in (0, 7, 20 << 20):
        together = request_body_bytes(whole, 1, shared=True) + request_body_bytes(whole, 2, shared=True)
        assert together <= whole == request_body_bytes(whole, 1, shared=False)


def taking(heads: list[bytes], bodies: list[bytes], reply: bytes = b"ok") -> Peer:
    async def peer(reader, writer) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                heads.append(head)
                body = await read_body(reader, head)
                bodies.append(body)
                writer.write(FORMS["length"](reply))
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    return peer


PUT = b"POST /put/1 HTTP/1.1\r\nHost: h\r\nX-Request-ID: r%d\r\nX-Timeout: 20000m\r\nIdempotency-Key: k\r\n"


@pytest.mark.parametrize("form", ["length", "chunks"])
def test_a_large_body_goes_on_while_it_comes(form):
    heads: list[bytes] = []
    bodies: list[bytes] = []

    async def test(w) -> None:
        client = await w.client()
        for i in range(2):
            if form == "length":
                client.writer.write(PUT % i + b"Content-Length: %d\r\n\r\n" % len(BIG))
                text = BIG
            else:
                client.writer.write(PUT % i + b"Transfer-Encoding: chunked\r\n\r\n")
                text = chunked(BIG, 5000)
            client.writer.write(text[:150_000])
            while len(heads) <= i:
                await asyncio.sleep(0.005)
            (open_request,) = w.node.dispatcher.requests.values()
            while not (held := w.node.dispatcher.balancer.requests[open_request.id]).uploading:
                await asyncio.sleep(0.005)
            assert held.server.in_flight == 0 and len(bodies) == i  # a slow caller takes no slot
            client.writer.write(text[150_000:])
            assert (await client.answer())[0] == 200
        assert bodies == [BIG, BIG]
        assert w.node.dispatcher.balancer.controller.in_flight == 0
        assert w.node.client_connections.buffered_body_bytes == 0

    with_peers(test, taking(heads, bodies))


def test_a_caller_that_waits_to_be_told_is_told_to_go_on():
    bodies: list[bytes] = []

    async def test(w) -> None:
        client = await w.client()
        for i, size in enumerate((5, 200_000)):
            client.writer.write(PUT % i + b"Expect: 100-continue\r\nContent-Length: %d\r\n\r\n" % size)
            assert (await client.reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 100 ")
            client.writer.write(BIG[:size])
            assert (await client.answer())[0] == 200
            assert bodies[i] == BIG[:size]
        # One whose turn has not come is told after the answer before it.
        client.writer.write(PUT % 7 + b"Content-Length: 1\r\n\r\nx")
        client.writer.write(PUT % 8 + b"Expect: 100-continue\r\nContent-Length: 1\r\n\r\n")
        assert (await client.answer())[0] == 200
        assert (await client.reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 100 ")
        client.writer.write(b"y")
        assert (await client.answer())[0] == 200
        assert bodies[-1] == b"y"

    with_peers(test, taking([], bodies))


def test_a_server_that_dies_early_in_a_body_is_replaced_and_later_it_is_not():
    heads: list[bytes] = []
    bodies: list[bytes] = []
    cut = [10_000]

    async def dies(reader, writer) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(cut[0])
        except asyncio.IncompleteReadError:
            pass
        writer.transport.abort()

    async def test(w) -> None:
        # Its beginning is still there: whoever was tried first, the other one has all of it.
        for i in range(4):
            client = await w.client()
            client.writer.write(PUT % i + b"Content-Length: %d\r\n\r\n" % len(BIG) + BIG[:20_000])
            await asyncio.sleep(0.05)
            client.writer.write(BIG[20_000:])
            assert (await client.answer())[0] == 200
            client.writer.close()
        assert bodies == [BIG] * 4
        # It is gone, and the call cannot have run: the caller is told when to come back, nothing is sent again.
        cut[0] = 250_000
        w.node.registry.enter_maintenance("s1")
        before = len(heads)
        client = await w.client()
        client.writer.write(PUT % 9 + b"Content-Length: %d\r\n\r\n" % len(BIG) + BIG[:280_000])
        status, head, _ = await client.answer()
        assert status == 503 and b"Retry-After: " in head and len(heads) == before
        # The rest of that body is read and thrown away, and the connection goes on.
        client.writer.write(BIG[280_000:])
        client.send("/_health")
        assert (await client.answer())[0] == 200
        client.writer.close()

    with_peers(test, dies, taking(heads, bodies))


def test_a_body_that_stops_half_way_ends_its_request(monkeypatch):
    monkeypatch.setattr(connection_manager, "RECEIVE_TIMEOUT_US", 100_000)
    monkeypatch.setattr(request_receiver, "RECEIVE_TIMEOUT_US", 100_000)
    heads: list[bytes] = []

    async def test(w) -> None:
        client = await w.client()
        client.writer.write(PUT % 1 + b"Content-Length: %d\r\n\r\n" % len(BIG) + BIG[:150_000])
        status, head, _ = await client.answer()
        assert status == 408 and b"Connection: close" in head
        await until(lambda: not (w.node.pool.open_connections))
        assert not w.node.dispatcher.requests and w.node.dispatcher.statistics.final_answers["served"] == 0
        assert (
            w.node.dispatcher.balancer.controller.in_flight == 0
            and w.node.client_connections.buffered_body_bytes == 0
        )

    with_peers(test, taking(heads, []))


def test_a_body_by_the_byte_is_cut_off(monkeypatch):
    monkeypatch.setattr(connection_manager, "RECEIVE_TIMEOUT_US", 60_000)
    monkeypatch.setattr(request_receiver, "RECEIVE_TIMEOUT_US", 60_000)

    async def test(w) -> None:
        client = await w.client()
        client.writer.write(PUT % 1 + b"Content-Length: 1000\r\n\r\n")

        async def trickle() -> None:
            for _ in range(900):
                client.writer.write(b"x")
                await asyncio.sleep(0.02)

        task = asyncio.create_task(trickle())
        assert (await client.answer())[0] == 408
        task.cancel()

    with_peers(test, taking([], []))


def test_a_body_with_a_broken_chunk_ends_its_request_unrun():
    bodies: list[bytes] = []

    async def test(w) -> None:
        client = await w.client()
        client.writer.write(PUT % 1 + b"Transfer-Encoding: chunked\r\n\r\n" + chunked(BIG, 5000)[:200_000])
        await asyncio.sleep(0.02)
        client.writer.write(b"\r\nno chunk\r\n" * 2000)
        assert (await client.answer())[0] == 400
        await until(lambda: not (w.node.pool.open_connections))
        assert not bodies and not w.node.dispatcher.requests

    with_peers(test, taking([], bodies))


def test_a_body_refused_at_once_is_read_to_its_end_and_the_connection_goes_on():
    bodies: list[bytes] = []

    async def test(w) -> None:
        client = await w.client()
        w.node.registry.enter_maintenance("s0")  # nobody to send to
        client.writer.write(PUT % 1 + b"Content-Length: %d\r\n\r\n" % len(BIG) + BIG[:1000])
        assert (await client.answer())[0] == 503
        w.node.registry.in_maintenance.clear()
        w.node.registry.apply({"instances": [entry("s0", w.addresses[0])]})
        client.writer.write(BIG[1000:])
        client.writer.write(PUT % 2 + b"Content-Length: 2\r\n\r\nhi")
        assert (await client.answer())[0] == 200
        assert bodies == [b"hi"] and w.node.client_connections.buffered_body_bytes == 0

    with_peers(test, taking([], bodies))


def test_a_body_beyond_the_largest_is_turned_away(monkeypatch):
    monkeypatch.setattr(request_receiver, "MAX_BODY_BYTES", 200_000)
    bodies: list[bytes] = []

    async def test(w) -> None:
        client = await w.client()
        client.writer.write(PUT % 1 + b"Transfer-Encoding: chunked\r\n\r\n" + chunked(BIG, 5000))
        assert (await client.answer())[0] == 413
        await until(lambda: not (w.node.pool.open_connections))
        assert not bodies

    with_peers(test, taking([], bodies))


def test_a_caller_that_leaves_within_its_body_leaves_nothing_behind():
    async def test(w) -> None:
        client = await w.client()
        client.writer.write(PUT % 1 + b"Content-Length: %d\r\n\r\n" % len(BIG) + BIG[:150_000])
        await until(lambda: w.node.pool.streaming)
        client.writer.transport.abort()
        await until(lambda: not (w.node.dispatcher.requests or w.node.pool.open_connections))
        assert w.node.dispatcher.balancer.controller.in_flight == 0
        assert w.node.dispatcher.statistics.outcomes[Outcome.OK] == 0

    with_peers(test, taking([], []))
