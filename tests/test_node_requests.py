"""Requests at a node over loopback sockets: what is forwarded, what is refused, and the one final answer."""

from __future__ import annotations

import asyncio

import pytest
from node_support import (
    CHUNKED,
    HEAD,
    World,
    with_node,
)

from harecross.http.request_parser import parse_timeout_us
from harecross.policy.balancer import Balancer


def test_a_request_goes_on_unchanged_and_its_answer_comes_back():
    async def test(w: World) -> None:
        client = await w.client()
        client.send(
            "/put/user-7?x=1",
            body=b"\x00body",
            key="k1",
            left="20000m",
            X_Tenant_Id="acme",
            X_Request_ID="r1",
        )
        at = await w.origins[0].arrived.get()
        assert at.head.startswith(b"POST /put/user-7?x=1 HTTP/1.1\r\n") and at.body == b"\x00body"
        assert (at.header(b"X-Request-ID"), at.header(b"Idempotency-Key")) == (b"r1", b"k1")
        assert b"Cookie" not in at.head and b"Not-Processed" not in at.head  # servers get what they know
        left = at.header(b"X-Timeout")
        assert left.endswith(b"u") and 0 < int(left[:-1]) < 20_000_000
        at.answer(body=b"\xffanswer", extra=b"X-Server-Load: util=0.5,eps=0\r\n")
        status, _, body = await client.answer()
        assert (status, body) == (200, b"\xffanswer")

    with_node(test)


@pytest.mark.usefixtures("no_rest")
def test_a_request_in_single_bytes_and_two_at_once():
    async def test(w: World) -> None:
        client = await w.client()
        text = b"GET /read/%d HTTP/1.1\r\nX-Request-ID: r%d\r\nX-Timeout: 20s\r\n\r\n".replace(
            b"20s", b"20000m"
        )
        for i in text % (1, 1):
            client.writer.write(bytes([i]))
            await client.writer.drain()
        (await w.origins[0].arrived.get()).answer(body=b"one")
        assert (await client.answer())[2] == b"one"
        client.writer.write(text % (2, 2) + text % (3, 3))
        first = await w.origins[0].arrived.get()
        assert b"/read/2" in first.head and w.origins[0].arrived.empty()
        first.answer(body=b"two")
        second = await w.origins[0].arrived.get()
        second.answer(body=b"three")
        assert [(await client.answer())[2] for _ in "ab"] == [b"two", b"three"]
        assert w.origins[0].links == 1

    with_node(test)


def test_chunked_bodies_both_ways():
    async def test(w: World) -> None:
        client = await w.client()
        client.writer.write(
            b"POST /pay/1 HTTP/1.1\r\nX-Request-ID: r\r\nX-Timeout: 9000m\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        )
        at = await w.origins[0].arrived.get()
        assert at.body == b"abcde" and b"chunked" not in at.head
        at.writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nwxyz\r\n0\r\n\r\n")
        assert (await client.answer())[2] == b"wxyz"

    with_node(test)


HIDDEN = b"0\r\n\r\nGET /read/2" + HEAD + b"\r\n"


BAD = {
    "not HTTP": (b"\x16\x03\x01 hello\r\n\r\n", 400),
    "no time": (b"GET /read/1 HTTP/1.1\r\nX-Request-ID: r\r\n\r\n", 400),
    "odd time": (b"GET /read/1 HTTP/1.1\r\nX-Request-ID: r\r\nX-Timeout: soon\r\n\r\n", 400),
    "no id": (b"GET /read/1 HTTP/1.1\r\nX-Timeout: 9000m\r\n\r\n", 400),
    "odd id": (b"GET /read/1 HTTP/1.1\r\nX-Request-ID: a b\r\nX-Timeout: 9000m\r\n\r\n", 400),
    "two ids": (b"GET /read/1" + HEAD + b"X-Request-ID: q\r\n\r\n", 400),
    "no key": (b"POST /put/1" + HEAD + b"Content-Length: 0\r\n\r\n", 400),
    "a key where none belongs": (b"POST /pay/1" + HEAD + b"Idempotency-Key: k\r\n\r\n", 400),
    "unsafe by GET": (b"GET /pay/1" + HEAD + b"\r\n", 400),
    "safe by POST": (b"POST /read/1" + HEAD + b"Content-Length: 0\r\n\r\n", 400),
    "unknown class": (b"GET /nothing/1" + HEAD + b"\r\n", 404),
    "another class behind dots": (b"GET /read/%2e%2E/pay/1" + HEAD + b"\r\n", 400),
    "odd path": (b"GET /read/<1>" + HEAD + b"\r\n", 400),
    "bad length": (b"POST /pay/1" + HEAD + b"Content-Length: x\r\n\r\n", 400),
    "negative length": (b"POST /pay/1" + HEAD + b"Content-Length: -1\r\n\r\n", 400),
    "two lengths": (b"POST /pay/1" + HEAD + b"Content-Length: 1\r\nContent-Length: 1\r\n\r\nx", 400),
    "length and chunks": (b"POST /pay/1" + HEAD + b"Content-Length: 5\r\n" + CHUNKED + b"\r\n" + HIDDEN, 400),
    "chunks and length": (b"POST /pay/1" + HEAD + CHUNKED + b"Content-Length: 5\r\n\r\n" + HIDDEN, 400),
    "another coding": (b"POST /pay/1" + HEAD + b"Transfer-Encoding: gzip, chunked\r\n\r\n" + HIDDEN, 400),
    "chunks in 1.0": (b"POST /pay/1" + HEAD.replace(b"1.1", b"1.0") + CHUNKED + b"\r\n0\r\n\r\n", 400),
    "version 2": (b"GET /read/1" + HEAD.replace(b"1.1", b"2.0") + b"\r\n", 400),
    "folded header": (b"GET /read/1" + HEAD + b"A: b\r\n c\r\n\r\n", 400),
    "bare line feed": (b"GET /read/1" + HEAD + b"A: b\n\r\n", 400),
    "NUL": (b"GET /read/1" + HEAD + b"A: b\x00\r\n\r\n", 400),
    "CONNECT": (b"CONNECT there:1" + HEAD + b"\r\n", 400),
    "upgrade": (b"GET /read/1" + HEAD + b"Connection: upgrade\r\nUpgrade: h2c\r\n\r\n", 400),
    "large body": (b"POST /pay/1" + HEAD + b"Content-Length: 33554433\r\n\r\n", 413),
    "chunks of a byte": (b"POST /pay/1" + HEAD + CHUNKED + b"\r\n" + b"1\r\nx\r\n" * 5000, 413),
    "large head": (b"GET /read/1" + HEAD + b"X-A: " + b"x" * 500_000 + b"\r\n\r\n", 431),
    "head without end": (b"GET /read/1" + HEAD + b"X-A: " + b"x" * 500_000, 431),
    "many headers": (b"GET /read/1" + HEAD + b"A: b\r\n" * 100 + b"\r\n", 431),
    "hundreds at once": ((b"GET /read/1" + HEAD + b"\r\n") * 300, 400),
}


@pytest.mark.parametrize("name", BAD)
def test_bad_input_gets_its_status_and_reaches_nobody(name):
    text, status = BAD[name]

    async def test(w: World) -> None:
        client = await w.client()
        client.writer.write(text)
        got, head, _ = await client.answer()
        assert got == status and b"Connection: close" in head
        assert w.node.dispatcher.last_request_number == 0 and w.origins[0].links == 0
        assert await client.reader.read() == b""
        client = await w.client()
        client.send()
        (await w.origins[0].arrived.get()).answer()
        assert (await client.answer())[0] == 200

    with_node(test)


def test_requests_one_after_another_are_no_flood_and_no_large_head():
    """What counts is one message: a long life on one connection must not run into its bounds."""

    async def test(w: World) -> None:
        client = await w.client()
        w.origins[0].answer_all()
        for i in range(60):
            client.send("/pay/1", body=b"x" * 8192)
            if i % 2:
                assert [(await client.answer())[0] for _ in "ab"] == [200, 200]

    with_node(test)


def test_the_id_of_an_open_request_is_turned_away():
    """Passed on it would be a second copy; refused, the answer would promise that a retry does no harm."""

    async def test(w: World) -> None:
        first, second = await w.client(), await w.client()
        first.send("/pay/1", X_Request_ID="same")
        at = await w.origins[0].arrived.get()
        second.send("/pay/1", X_Request_ID="same")
        assert (await second.answer())[0] == 409
        at.answer()
        assert (await first.answer())[0] == 200
        assert w.origins[0].links == 1 and not w.node.dispatcher.open_request_ids
        first.send("/pay/1", X_Request_ID="same")  # it is over: the id is free
        (await w.origins[0].arrived.get()).answer()
        assert (await first.answer())[0] == 200

    with_node(test)


def test_health():
    async def test(w: World) -> None:
        client = await w.client()
        client.send("/_health")
        assert (await client.answer())[0] == 200

    with_node(test)


def test_times_with_their_units():
    assert [parse_timeout_us(t) for t in (b"480m", b"250u", b"1.5m", b" 3m ")] == [480_000, 250, 1500, 3000]
    assert [parse_timeout_us(t) for t in (b"", b"5", b"-5m", b"5s", b"m")] == [None] * 5


def test_a_client_that_leaves_ends_its_attempt():
    async def test(w: World) -> None:
        client = await w.client()
        client.send()
        at = await w.origins[0].arrived.get()
        client.writer.close()
        await at.gone.wait()
        while w.node.dispatcher.requests:
            await asyncio.sleep(0)
        assert w.node.dispatcher.statistics.final_answers["left"] == 1

    with_node(test)


def test_a_silent_server_costs_the_client_no_more_than_its_time():
    async def test(w: World) -> None:
        client = await w.client()
        client.send("/pay/1", left="300m")
        at = await w.origins[0].arrived.get()
        assert (await client.answer())[0] == 502
        await at.gone.wait()  # an answer that came later would meet the next request
        assert not w.node.dispatcher.requests

    with_node(test)


def forget(self, *args):
    """A module that takes a request and does nothing."""


def burst(self, *args):
    raise RuntimeError("boom")


@pytest.mark.parametrize("fault", [forget, burst])
def test_whatever_the_module_does_an_answer_goes_out(monkeypatch, fault):
    async def test(w: World) -> None:
        client = await w.client()
        with monkeypatch.context() as m:
            m.setattr(Balancer, "request", fault)
            client.send(left="300m")
            assert (await client.answer())[0] == 502
        assert not w.node.dispatcher.requests
        client.send()
        (await w.origins[0].arrived.get()).answer()
        assert (await client.answer())[0] == 200

    with_node(test)


def test_an_exception_at_an_outcome_ends_that_request_only(monkeypatch):
    async def test(w: World) -> None:
        client = await w.client()
        with monkeypatch.context() as m:
            m.setattr(Balancer, "outcome", burst)
            client.send("/pay/1")
            (await w.origins[0].arrived.get()).answer(500)
            assert (await client.answer())[0] == 502
        client.send()
        (await w.origins[0].arrived.get()).answer()
        assert (await client.answer())[0] == 200

    with_node(test)
