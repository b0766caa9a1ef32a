"""Requests to a node over loopback sockets: what is forwarded, what is refused, and the final answer."""

from __future__ import annotations

import asyncio

import pytest
from node_support import (
    CHUNKED,
    HEAD,
    NodeEnvironment,
    run_with_node,
)

from harecross.http.request_parser import parse_timeout_us
from harecross.policy.balancer import Balancer


def test_a_request_is_forwarded_unchanged_and_its_response_returned():
    async def test(env: NodeEnvironment) -> None:
        client = await env.client()
        client.send(
            "/put/user-7?x=1",
            body=b"\x00body",
            key="k1",
            left="20000m",
            X_Tenant_Id="acme",
            X_Request_ID="r1",
        )
        received = await env.upstreams[0].received.get()
        assert received.head.startswith(b"POST /put/user-7?x=1 HTTP/1.1\r\n")
        assert received.body == b"\x00body"
        assert (received.header(b"X-Request-ID"), received.header(b"Idempotency-Key")) == (b"r1", b"k1")
        assert b"Cookie" not in received.head
        assert b"Not-Processed" not in received.head
        left = received.header(b"X-Timeout")
        assert left.endswith(b"u")
        assert 0 < int(left[:-1]) < 20_000_000
        received.answer(body=b"\xffanswer", extra=b"X-Server-Load: util=0.5,eps=0\r\n")
        status, _, body = await client.answer()
        assert (status, body) == (200, b"\xffanswer")

    run_with_node(test)


@pytest.mark.usefixtures("no_reuse_delay")
def test_requests_may_arrive_byte_by_byte_or_pipelined():
    async def test(env: NodeEnvironment) -> None:
        client = await env.client()
        text = b"GET /read/%d HTTP/1.1\r\nX-Request-ID: r%d\r\nX-Timeout: 20s\r\n\r\n".replace(
            b"20s", b"20000m"
        )
        for i in text % (1, 1):
            client.writer.write(bytes([i]))
            await client.writer.drain()
        (await env.upstreams[0].received.get()).answer(body=b"one")
        assert (await client.answer())[2] == b"one"
        client.writer.write(text % (2, 2) + text % (3, 3))
        first = await env.upstreams[0].received.get()
        assert b"/read/2" in first.head
        assert env.upstreams[0].received.empty()
        first.answer(body=b"two")
        second = await env.upstreams[0].received.get()
        second.answer(body=b"three")
        assert [(await client.answer())[2] for _ in "ab"] == [b"two", b"three"]
        assert env.upstreams[0].connection_count == 1

    run_with_node(test)


def test_chunked_bodies_are_forwarded_both_ways():
    async def test(env: NodeEnvironment) -> None:
        client = await env.client()
        client.writer.write(
            b"POST /pay/1 HTTP/1.1\r\nX-Request-ID: r\r\nX-Timeout: 9000m\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        )
        received = await env.upstreams[0].received.get()
        assert received.body == b"abcde"
        assert b"chunked" not in received.head
        received.writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nwxyz\r\n0\r\n\r\n")
        assert (await client.answer())[2] == b"wxyz"

    run_with_node(test)


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
def test_a_bad_request_gets_its_status_and_reaches_no_server(name):
    text, status = BAD[name]

    async def test(env: NodeEnvironment) -> None:
        client = await env.client()
        client.writer.write(text)
        got, head, _ = await client.answer()
        assert got == status
        assert b"Connection: close" in head
        assert env.node.dispatcher.last_request_number == 0
        assert env.upstreams[0].connection_count == 0
        assert await client.reader.read() == b""
        client = await env.client()
        client.send()
        (await env.upstreams[0].received.get()).answer()
        assert (await client.answer())[0] == 200

    run_with_node(test)


def test_limits_on_one_request_do_not_add_up_over_a_connection():
    """The limits on heads and on pipelined requests apply to the current request, not to the whole connection."""

    async def test(env: NodeEnvironment) -> None:
        client = await env.client()
        env.upstreams[0].answer_all()
        for i in range(60):
            client.send("/pay/1", body=b"x" * 8192)
            if i % 2:
                assert [(await client.answer())[0] for _ in "ab"] == [200, 200]

    run_with_node(test)


def test_the_id_of_an_open_request_gets_409():
    """Forwarding the second request could run it twice, and shedding it would tell the client that a retry is safe."""

    async def test(env: NodeEnvironment) -> None:
        first, second = await env.client(), await env.client()
        first.send("/pay/1", X_Request_ID="same")
        received = await env.upstreams[0].received.get()
        second.send("/pay/1", X_Request_ID="same")
        assert (await second.answer())[0] == 409
        received.answer()
        assert (await first.answer())[0] == 200
        assert env.upstreams[0].connection_count == 1
        assert not env.node.dispatcher.open_request_ids
        # The first request has its answer, so its id may be used again.
        first.send("/pay/1", X_Request_ID="same")
        (await env.upstreams[0].received.get()).answer()
        assert (await first.answer())[0] == 200

    run_with_node(test)


def test_the_health_check_of_a_running_node_gets_200():
    async def test(env: NodeEnvironment) -> None:
        client = await env.client()
        client.send("/_health")
        assert (await client.answer())[0] == 200

    run_with_node(test)


def test_x_timeout_is_parsed_with_its_unit():
    assert [parse_timeout_us(t) for t in (b"480m", b"250u", b"1.5m", b" 3m ")] == [480_000, 250, 1500, 3000]
    assert [parse_timeout_us(t) for t in (b"", b"5", b"-5m", b"5s", b"m")] == [None] * 5


def test_a_client_that_disconnects_ends_its_attempt():
    async def test(env: NodeEnvironment) -> None:
        client = await env.client()
        client.send()
        received = await env.upstreams[0].received.get()
        client.writer.close()
        await received.disconnected.wait()
        while env.node.dispatcher.requests:
            await asyncio.sleep(0)
        assert env.node.dispatcher.statistics.final_answers["left"] == 1

    run_with_node(test)


def test_a_server_that_does_not_answer_fails_the_request_at_its_deadline():
    async def test(env: NodeEnvironment) -> None:
        client = await env.client()
        client.send("/pay/1", left="300m")
        received = await env.upstreams[0].received.get()
        assert (await client.answer())[0] == 502
        # The connection is closed, because a late response would be mistaken for that of the next request.
        await received.disconnected.wait()
        assert not env.node.dispatcher.requests

    run_with_node(test)


def ignore_request(self, *args):
    """Replaces a balancer method that then ignores a request."""


def raise_error(self, *args):
    """Replaces a balancer method that then raises an exception."""
    raise RuntimeError("boom")


@pytest.mark.parametrize("fault", [ignore_request, raise_error])
def test_a_balancer_that_ignores_a_request_or_fails_leaves_no_client_without_an_answer(monkeypatch, fault):
    async def test(env: NodeEnvironment) -> None:
        client = await env.client()
        with monkeypatch.context() as m:
            m.setattr(Balancer, "request", fault)
            client.send(left="300m")
            assert (await client.answer())[0] == 502
        assert not env.node.dispatcher.requests
        client.send()
        (await env.upstreams[0].received.get()).answer()
        assert (await client.answer())[0] == 200

    run_with_node(test)


def test_an_exception_at_an_outcome_fails_that_request_alone(monkeypatch):
    async def test(env: NodeEnvironment) -> None:
        client = await env.client()
        with monkeypatch.context() as m:
            m.setattr(Balancer, "outcome", raise_error)
            client.send("/pay/1")
            (await env.upstreams[0].received.get()).answer(500)
            assert (await client.answer())[0] == 502
        client.send()
        (await env.upstreams[0].received.get()).answer()
        assert (await client.answer())[0] == 200

    run_with_node(test)
