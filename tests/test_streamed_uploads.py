"""Request bodies too large to buffer, over loopback sockets: slow, stalled and broken peers."""

from __future__ import annotations

import asyncio
import time

import pytest
from node_support import Client, entry, wait_until
from streaming_support import LARGE_BODY, RESPONSE_FRAMINGS, Peer, chunked, run_with_peers
from support import balancer, end_attempt, send_request

from harecross.downstream import connection_manager, input_reader, request_receiver
from harecross.downstream.read_delay import UNKNOWN_AGE_US
from harecross.interface import Outcome
from harecross.node.resource_shares import request_body_bytes
from harecross.standins.http import read_body


def test_an_attempt_counts_as_in_flight_and_can_time_out_only_once_its_body_is_sent():
    node, recorder = balancer(servers=1)
    _, request, server, _ = send_request(node, recorder, 1000, 1, request_class=1)
    server_state, controller = node.subset.servers[server], node.controller
    assert (server_state.in_flight, controller.in_flight) == (1, 1)
    node.uploading(1000, request, True)
    node.uploading(1000, request, True)
    assert (server_state.in_flight, controller.in_flight) == (0, 0)
    node.uploading(9_000_000, request, False)
    assert (server_state.in_flight, controller.in_flight) == (1, 1)
    r = node.requests[request]
    assert r.sent_at == 9_000_000
    assert r.deadline > 9_000_000
    end_attempt(node, recorder, 9_100_000, request, 0, server, Outcome.OK, latency=100_000)
    assert (server_state.in_flight, controller.in_flight) == (0, 0)
    assert not node.requests
    node.uploading(9_200_000, request, True)  # the request has ended
    assert (server_state.in_flight, controller.in_flight) == (0, 0)


def test_no_per_try_timeout_while_the_body_is_being_sent():
    node, recorder = balancer(servers=2)
    _, request, _server, _ = send_request(node, recorder, 1000, 1, request_class=1)
    node.uploading(1000, request, True)
    node.per_try_timeout(2_900_000, node.requests[request])
    assert not recorder.take_calls("cancel", "set_timer")


@pytest.mark.parametrize("first", [None, Outcome.RESET])
def test_a_request_without_its_first_bytes_is_shed_only_if_no_attempt_may_have_run(first):
    node, recorder = balancer(servers=2)
    _, request, server, _ = send_request(node, recorder, 1000, 1, request_class=1)
    attempt = 0
    if first is not None:  # an earlier attempt may have run
        ((_, _, server, _),) = end_attempt(node, recorder, 2000, request, 0, server, first)
        attempt = 1
    node.response_started(3000, request, attempt, server, 0)
    (action,) = end_attempt(node, recorder, 4000, request, attempt, server, Outcome.NOT_SENT)
    assert action[0] == ("shed" if first is None else "fail")


def test_two_processes_of_a_node_share_the_memory_for_bodies():
    for total in (0, 7, 20 << 20):
        both = request_body_bytes(total, 1, shared=True) + request_body_bytes(total, 2, shared=True)
        assert both <= total == request_body_bytes(total, 1, shared=False)


def server_that_stores(heads: list[bytes], bodies: list[bytes], reply: bytes = b"ok") -> Peer:
    async def peer(reader, writer) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                heads.append(head)
                body = await read_body(reader, head)
                bodies.append(body)
                writer.write(RESPONSE_FRAMINGS["length"](reply))
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    return peer


PUT = b"POST /put/1 HTTP/1.1\r\nHost: h\r\nX-Request-ID: r%d\r\nX-Timeout: 20000m\r\nIdempotency-Key: k\r\n"


@pytest.mark.parametrize("form", ["length", "chunks"])
def test_a_large_body_is_sent_while_it_is_received(form):
    heads: list[bytes] = []
    bodies: list[bytes] = []

    async def test(env) -> None:
        client = await env.client()
        for i in range(2):
            if form == "length":
                client.writer.write(PUT % i + b"Content-Length: %d\r\n\r\n" % len(LARGE_BODY))
                text = LARGE_BODY
            else:
                client.writer.write(PUT % i + b"Transfer-Encoding: chunked\r\n\r\n")
                text = chunked(LARGE_BODY, 5000)
            client.writer.write(text[:150_000])
            while len(heads) <= i:
                await asyncio.sleep(0.005)
            (open_request,) = env.node.dispatcher.requests.values()
            while not (held := env.node.dispatcher.balancer.requests[open_request.id]).uploading:
                await asyncio.sleep(0.005)
            assert held.server.in_flight == 0
            assert len(bodies) == i
            client.writer.write(text[150_000:])
            assert (await client.answer())[0] == 200
        assert bodies == [LARGE_BODY, LARGE_BODY]
        assert env.node.dispatcher.balancer.controller.in_flight == 0
        assert env.node.client_connections.buffered_body_bytes == 0

    run_with_peers(test, server_that_stores(heads, bodies))


def test_a_client_that_expects_100_continue_gets_it():
    bodies: list[bytes] = []

    async def test(env) -> None:
        client = await env.client()
        for i, size in enumerate((5, 200_000)):
            client.writer.write(PUT % i + b"Expect: 100-continue\r\nContent-Length: %d\r\n\r\n" % size)
            assert (await client.reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 100 ")
            client.writer.write(LARGE_BODY[:size])
            assert (await client.answer())[0] == 200
            assert bodies[i] == LARGE_BODY[:size]
        # A pipelined request gets its 100 after the response to the one before it.
        client.writer.write(PUT % 7 + b"Content-Length: 1\r\n\r\nx")
        client.writer.write(PUT % 8 + b"Expect: 100-continue\r\nContent-Length: 1\r\n\r\n")
        assert (await client.answer())[0] == 200
        assert (await client.reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 100 ")
        client.writer.write(b"y")
        assert (await client.answer())[0] == 200
        assert bodies[-1] == b"y"

    run_with_peers(test, server_that_stores([], bodies))


def test_a_server_that_fails_early_in_a_body_is_replaced_and_a_later_failure_is_final():
    heads: list[bytes] = []
    bodies: list[bytes] = []
    bytes_before_abort = [10_000]

    async def aborting_server(reader, writer) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(bytes_before_abort[0])
        except asyncio.IncompleteReadError:
            pass
        writer.transport.abort()

    async def test(env) -> None:
        # The node still has the first bytes: if the first attempt fails, the other server receives the whole body.
        for i in range(4):
            client = await env.client()
            client.writer.write(
                PUT % i + b"Content-Length: %d\r\n\r\n" % len(LARGE_BODY) + LARGE_BODY[:20_000]
            )
            await asyncio.sleep(0.05)
            client.writer.write(LARGE_BODY[20_000:])
            assert (await client.answer())[0] == 200
            client.writer.close()
        assert bodies == [LARGE_BODY] * 4
        # The node no longer has the first bytes, and no server can have run the request: it is shed with Retry-After
        # and not retried.
        bytes_before_abort[0] = 250_000
        env.node.registry.enter_maintenance("s1")
        before = len(heads)
        client = await env.client()
        client.writer.write(PUT % 9 + b"Content-Length: %d\r\n\r\n" % len(LARGE_BODY) + LARGE_BODY[:280_000])
        status, head, _ = await client.answer()
        assert status == 503
        assert b"Retry-After: " in head
        assert len(heads) == before
        # The rest of that body is discarded, and the connection is kept.
        client.writer.write(LARGE_BODY[280_000:])
        client.send("/_health")
        assert (await client.answer())[0] == 200
        client.writer.close()

    run_with_peers(test, aborting_server, server_that_stores(heads, bodies))


@pytest.mark.parametrize("kernel_tells", [True, False])
@pytest.mark.parametrize("form", ["length", "chunks"])
@pytest.mark.parametrize("taken", [1000, 400_000])
def test_a_body_for_a_server_that_hangs_is_answered_in_its_time(taken, form, kernel_tells, monkeypatch):
    # Guards against a request whose last byte the node does not read, so that no deadline begins.
    if not kernel_tells:
        monkeypatch.setattr(input_reader, "last_data_age", lambda _: UNKNOWN_AGE_US)
    body = bytes(20_000_000)
    timeout_s = 0.6

    async def hanging_server(reader, writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(taken)
        writer.transport.pause_reading()
        await asyncio.sleep(60)

    async def test(env) -> None:
        client = await env.client()
        head = PUT.replace(b"20000m", b"%dm" % (timeout_s * 1000)) % 1
        if form == "length":
            client.writer.write(head + b"Content-Length: %d\r\n\r\n" % len(body) + body)
        else:
            client.writer.write(head + b"Transfer-Encoding: chunked\r\n\r\n" + chunked(body, 50_000))
        began = time.monotonic()
        assert (await client.answer())[0] in (502, 503)
        assert time.monotonic() - began < timeout_s + 0.5
        client.writer.transport.abort()
        await wait_until(lambda: not (env.node.dispatcher.requests or env.node.pool.open_connections))
        assert env.node.dispatcher.balancer.controller.in_flight == 0
        await wait_until(lambda: not env.node.client_connections.buffered_body_bytes)

    run_with_peers(test, hanging_server)


def test_a_whole_body_behind_another_request_keeps_its_deadline():
    # Guards against a deadline that ends when reading goes on, although it belongs to a body that is whole.
    bodies: list[bytes] = []

    async def hanging_server(reader, writer) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        if b"X-Request-ID: r1\r\n" in head:
            await asyncio.sleep(0.1)
            writer.write(RESPONSE_FRAMINGS["length"](b"ok"))
        else:
            bodies.append(await read_body(reader, head))
        await asyncio.sleep(60)

    async def test(env) -> None:
        client = await env.client()
        body = bytes(70_000)
        second = PUT.replace(b"20000m", b"600m") % 2 + b"Content-Length: %d\r\n\r\n" % len(body) + body
        client.writer.write(PUT % 1 + b"Content-Length: 0\r\n\r\n" + second)
        assert (await client.answer())[0] == 200
        await wait_until(lambda: bodies)
        (request,) = env.node.dispatcher.requests.values()
        assert request.deadline_timer is not None
        async with asyncio.timeout(1.1):
            assert (await client.answer())[0] == 502

    run_with_peers(test, hanging_server)


def test_a_body_that_a_server_reads_slowly_has_time_from_its_last_bytes():
    # Guards against a deadline that runs although the client is still sending.
    bodies: list[bytes] = []

    async def slow_server(reader, writer) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        body = b""
        while len(body) < len(LARGE_BODY):
            body += await reader.read(20_000)
            await asyncio.sleep(0.02)
        bodies.append(body)
        assert head
        writer.write(RESPONSE_FRAMINGS["length"](b"ok"))

    async def test(env) -> None:
        client = await env.client()
        head = PUT.replace(b"20000m", b"400m") % 1
        client.writer.write(head + b"Content-Length: %d\r\n\r\n" % len(LARGE_BODY))
        for start in range(0, len(LARGE_BODY), 50_000):
            client.writer.write(LARGE_BODY[start : start + 50_000])
            await asyncio.sleep(0.2)
        assert (await client.answer())[0] == 200
        assert bodies == [LARGE_BODY]

    run_with_peers(test, slow_server)


def test_a_body_that_stalls_gets_408(monkeypatch):
    monkeypatch.setattr(connection_manager, "RECEIVE_TIMEOUT_US", 100_000)
    monkeypatch.setattr(request_receiver, "RECEIVE_TIMEOUT_US", 100_000)
    heads: list[bytes] = []

    async def test(env) -> None:
        client = await env.client()
        client.writer.write(PUT % 1 + b"Content-Length: %d\r\n\r\n" % len(LARGE_BODY) + LARGE_BODY[:150_000])
        status, head, _ = await client.answer()
        assert status == 408
        assert b"Connection: close" in head
        await wait_until(lambda: not (env.node.pool.open_connections))
        assert not env.node.dispatcher.requests
        assert env.node.dispatcher.statistics.final_answers["served"] == 0
        assert env.node.dispatcher.balancer.controller.in_flight == 0
        assert env.node.client_connections.buffered_body_bytes == 0

    run_with_peers(test, server_that_stores(heads, []))


def test_a_body_that_arrives_too_slowly_gets_408(monkeypatch):
    monkeypatch.setattr(connection_manager, "RECEIVE_TIMEOUT_US", 60_000)
    monkeypatch.setattr(request_receiver, "RECEIVE_TIMEOUT_US", 60_000)

    async def test(env) -> None:
        client = await env.client()
        client.writer.write(PUT % 1 + b"Content-Length: 1000\r\n\r\n")

        async def trickle() -> None:
            for _ in range(900):
                client.writer.write(b"x")
                await asyncio.sleep(0.02)

        task = asyncio.create_task(trickle())
        assert (await client.answer())[0] == 408
        task.cancel()

    run_with_peers(test, server_that_stores([], []))


def test_a_body_with_a_broken_chunk_is_not_run():
    bodies: list[bytes] = []

    async def test(env) -> None:
        client = await env.client()
        client.writer.write(
            PUT % 1 + b"Transfer-Encoding: chunked\r\n\r\n" + chunked(LARGE_BODY, 5000)[:200_000]
        )
        await asyncio.sleep(0.02)
        client.writer.write(b"\r\nno chunk\r\n" * 2000)
        assert (await client.answer())[0] == 400
        await wait_until(lambda: not (env.node.pool.open_connections))
        assert not bodies
        assert not env.node.dispatcher.requests

    run_with_peers(test, server_that_stores([], bodies))


def test_a_shed_body_is_read_to_its_end_and_the_connection_is_kept():
    bodies: list[bytes] = []

    async def test(env) -> None:
        client = await env.client()
        env.node.registry.enter_maintenance("s0")  # no server is left
        client.writer.write(PUT % 1 + b"Content-Length: %d\r\n\r\n" % len(LARGE_BODY) + LARGE_BODY[:1000])
        assert (await client.answer())[0] == 503
        env.node.registry.in_maintenance.clear()
        env.node.registry.apply({"instances": [entry("s0", env.addresses[0])]})
        client.writer.write(LARGE_BODY[1000:])
        client.writer.write(PUT % 2 + b"Content-Length: 2\r\n\r\nhi")
        assert (await client.answer())[0] == 200
        assert bodies == [b"hi"]
        assert env.node.client_connections.buffered_body_bytes == 0

    run_with_peers(test, server_that_stores([], bodies))


async def hold_body_memory(env) -> Client:
    """Lets the unfinished body of another client exceed the node's memory for bodies; returns that client."""
    client_connections = env.node.client_connections
    buffered = client_connections.buffered_body_bytes
    other = await env.client()
    other.writer.write(PUT % 99 + b"Content-Length: 2000\r\n\r\n" + bytes(1000))
    await wait_until(lambda: client_connections.buffered_body_bytes == buffered + 1000)
    client_connections.max_buffered_body_bytes = 500
    return other


@pytest.mark.parametrize("rest", [1, 30_000, 200_000])
def test_a_body_refused_for_memory_is_not_run(rest):
    # Guards against a refusal of a request that a server runs, because the limit was checked after the last part of
    # its body had been forwarded.
    bodies: list[bytes] = []
    heads: list[bytes] = []

    async def test(env) -> None:
        client = await env.client()
        client.writer.write(PUT % 1 + b"Content-Length: %d\r\n\r\n" % len(LARGE_BODY) + LARGE_BODY[:-rest])
        await wait_until(lambda: heads)
        await wait_until(lambda: env.node.client_connections.buffered_body_bytes == 0)
        other = await hold_body_memory(env)
        client.writer.write(LARGE_BODY[-rest:])
        status, head, _ = await client.answer()
        assert status == 503
        assert b"Connection: close" in head
        await wait_until(lambda: not env.node.pool.open_connections)
        assert not bodies
        assert not env.node.dispatcher.requests
        assert env.node.dispatcher.balancer.controller.in_flight == 0
        other.writer.close()

    run_with_peers(test, server_that_stores(heads, bodies))


@pytest.mark.parametrize("size", [70_000, 200_000], ids=["in one read", "in several reads"])
@pytest.mark.parametrize("pipelined", [False, True], ids=["alone", "behind another request"])
def test_a_large_body_rejected_before_its_request_is_handled_is_dropped(pipelined, size):
    # Guards against a request that is forwarded after its body was rejected: nothing ever ends it, or its client gets
    # two answers.
    heads: list[bytes] = []
    bodies: list[bytes] = []

    async def test(env) -> None:
        other = await hold_body_memory(env)
        client = await env.client()
        first = PUT % 1 + b"Content-Length: 0\r\n\r\n" if pipelined else b""
        body = PUT % 2 + b"Content-Length: %d\r\n\r\n" % size + bytes(size)
        client.writer.write(first + body)
        if pipelined:
            assert (await client.answer())[0] == 200
        status, head, _ = await client.answer()
        assert status == 503
        assert b"Connection: close" in head
        assert await client.reader.read() == b""
        assert len(heads) == len(bodies) == int(pipelined)
        assert not env.node.dispatcher.requests
        other.writer.close()

    run_with_peers(test, server_that_stores(heads, bodies))


def test_a_body_above_the_maximum_gets_413(monkeypatch):
    monkeypatch.setattr(request_receiver, "MAX_BODY_BYTES", 200_000)
    bodies: list[bytes] = []

    async def test(env) -> None:
        client = await env.client()
        client.writer.write(PUT % 1 + b"Transfer-Encoding: chunked\r\n\r\n" + chunked(LARGE_BODY, 5000))
        assert (await client.answer())[0] == 413
        await wait_until(lambda: not (env.node.pool.open_connections))
        assert not bodies

    run_with_peers(test, server_that_stores([], bodies))


def test_a_client_that_disconnects_within_its_body_leaves_no_state():
    async def test(env) -> None:
        client = await env.client()
        client.writer.write(PUT % 1 + b"Content-Length: %d\r\n\r\n" % len(LARGE_BODY) + LARGE_BODY[:150_000])
        await wait_until(lambda: env.node.pool.streaming)
        client.writer.transport.abort()
        await wait_until(lambda: not (env.node.dispatcher.requests or env.node.pool.open_connections))
        assert env.node.dispatcher.balancer.controller.in_flight == 0
        assert env.node.dispatcher.statistics.outcomes[Outcome.OK] == 0

    run_with_peers(test, server_that_stores([], []))
