"""Handling of server responses and upstream connections, over loopback sockets."""

from __future__ import annotations

import asyncio

import pytest
from node_support import (
    NodeEnvironment,
    ScriptedServer,
    run,
    run_with_node,
    wait_until,
)

from harecross.downstream import connection_manager
from harecross.http.response_parser import parse_load_report, report_positions
from harecross.interface import Outcome
from harecross.platform.clock import monotonic_us
from harecross.platform.descriptor_budget import DescriptorBudget
from harecross.upstream.connection_pool import ConnectionPool
from harecross.upstream.exchange import Exchange


@pytest.mark.usefixtures("no_reuse_delay")
def test_a_request_whose_reused_connection_is_closed_may_have_run():
    """The close looks like a failed connect, but the server may have read the request."""

    async def test(env: NodeEnvironment) -> None:
        client = await env.client()
        client.send("/pay/1")
        (await env.upstreams[0].received.get()).answer()
        assert (await client.answer())[0] == 200
        client.send("/pay/2")
        received = await env.upstreams[0].received.get()
        received.writer.close()
        assert (await client.answer())[0] == 502  # failed: it may have run
        assert received.connection_number == 0
        assert all(origin.received.empty() for origin in env.upstreams)

    run_with_node(test)


def test_an_error_response_fails_a_non_idempotent_request():
    async def test(env: NodeEnvironment) -> None:
        client = await env.client()
        client.send("/pay/1")
        (await env.upstreams[0].received.get()).answer(500)
        assert (await client.answer())[0] == 502

    run_with_node(test)


OK_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood"


NOT_PROCESSED = b"X-Not-Processed: 1\r\n"


MALFORMED = {
    "noise": b"\x00\x01\x02\r\n\r\n",
    "another protocol": OK_RESPONSE.replace(b"HTTP/1.1", b"ICY"),
    "invalid status": OK_RESPONSE.replace(b"200", b"2x0"),
    "header without colon": OK_RESPONSE.replace(b"Content", b"no colon here\r\nContent"),
    "two lengths": OK_RESPONSE.replace(b"Content", b"Content-Length: 3\r\nContent"),
    "length and chunks": OK_RESPONSE.replace(b"Content", b"Transfer-Encoding: chunked\r\nContent"),
    "negative length": OK_RESPONSE.replace(b": 4", b": -4"),
    "3 GB": OK_RESPONSE.replace(b": 4", b": 3000000000"),
    "no length": OK_RESPONSE.replace(b"Content-Length: 4\r\n", b""),
    "invalid chunk size": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\nzz\r\n",
    "Content-Length too small": OK_RESPONSE + b", and the rest of it",
    "endless head": b"HTTP/1.1 200 OK\r\nX-Pad: " + b"p" * 100_000,
    "only interim responses": b"HTTP/1.1 103 Early Hints\r\n\r\n" * 20,
    "another protocol follows": b"HTTP/1.1 101 X\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n" + OK_RESPONSE,
    "malformed with X-Not-Processed": b"HTTP/1.1 503 X\r\n" + NOT_PROCESSED + b"Content-Length: x\r\n\r\n",
    "X-Not-Processed in an interim response": b"HTTP/1.1 100 X\r\n"
    + NOT_PROCESSED
    + b"\r\n"
    + OK_RESPONSE.replace(b"200", b"503"),
}


@pytest.mark.parametrize("name", MALFORMED)
def test_a_malformed_response_fails_a_request_and_is_not_forwarded(name):
    """A non-idempotent request is neither retried nor shed, and the connection is closed as unusable."""

    async def test(env: NodeEnvironment) -> None:
        client = await env.client()
        client.send("/pay/1")
        received = await env.upstreams[0].received.get()
        received.writer.write(MALFORMED[name])
        status, _, body = await client.answer()
        assert (status, body) == (502, b"")
        assert env.upstreams[0].received.empty()
        if name != "X-Not-Processed in an interim response":
            await received.disconnected.wait()

    run_with_node(test)


# Valid responses with extra data, and whether the connection may be reused after them.
GOOD_WITH_EXTRA = {
    "a second response": (OK_RESPONSE + OK_RESPONSE, False),
    "noise": (OK_RESPONSE + b"\x00\x01\x02\r\n\r\n", False),
    "interim responses": (
        b"HTTP/1.1 103 X\r\n" + NOT_PROCESSED + b"\r\nHTTP/1.1 102 X\r\n\r\n" + OK_RESPONSE,
        True,
    ),
    "invalid load report": (OK_RESPONSE.replace(b"Content", b"X-Server-Load: %%%\r\nContent"), True),
    "load report without numbers": (
        OK_RESPONSE.replace(b"Content", b"X-Server-Load: util=nan,eps=-1\r\nContent"),
        True,
    ),
}


@pytest.mark.parametrize("name", GOOD_WITH_EXTRA)
@pytest.mark.usefixtures("no_reuse_delay")
def test_a_valid_response_is_served_despite_extra_data(name):
    async def test(env: NodeEnvironment) -> None:
        client = await env.client()
        client.send("/pay/1")
        received = await env.upstreams[0].received.get()
        text, reusable = GOOD_WITH_EXTRA[name]
        received.writer.write(text)
        assert (await client.answer())[::2] == (200, b"good")
        assert env.node.pool.load_reports == 0
        if not reusable:
            await received.disconnected.wait()
        client.send("/pay/1")
        next_request = await env.upstreams[0].received.get()
        next_request.answer(body=b"next")
        assert next_request.connection_number == (0 if reusable else 1)
        assert (await client.answer())[2] == b"next"

    run_with_node(test)


def test_a_rejected_attempt_is_retried():
    async def test(env: NodeEnvironment) -> None:
        client = await env.client()
        client.send("/pay/1")
        origin = env.upstreams[0]
        (await origin.received.get()).answer(503, extra=b"X-Not-Processed: 1\r\n")
        (await origin.received.get()).answer(504, extra=b"x-not-processed: 1\r\n")
        (await origin.received.get()).answer(200, body=b"done")
        assert (await client.answer())[2] == b"done"

    run_with_node(test)


def test_rejected_attempts_do_not_use_up_the_retry_budget():
    """Guards against a few rejected attempts exhausting the retry budget, so that requests would be shed."""

    async def test(env: NodeEnvironment) -> None:
        client = await env.client()
        for _ in range(6):
            client.send("/pay/1")
            for _ in range(2):
                (await env.upstreams[0].received.get()).answer(503, extra=b"X-Not-Processed: 1\r\n")
            (await env.upstreams[0].received.get()).answer(body=b"done")
            assert (await client.answer())[2] == b"done"

    run_with_node(test)


def test_a_request_with_an_idempotency_key_is_retried_with_its_key():
    async def test(env: NodeEnvironment) -> None:
        client = await env.client()
        client.send("/put/1", key="k")
        (await env.upstreams[0].received.get()).writer.write(b"\x00 noise\r\n\r\n")
        next_request = await env.upstreams[0].received.get()
        assert next_request.header(b"Idempotency-Key") == b"k"
        next_request.answer(body=b"once")
        assert (await client.answer())[2] == b"once"

    run_with_node(test)


def test_a_503_without_x_not_processed_may_have_run():
    async def test(env: NodeEnvironment) -> None:
        client = await env.client()
        client.send("/pay/1")
        (await env.upstreams[0].received.get()).answer(503)
        assert (await client.answer())[0] == 502
        assert env.upstreams[0].received.empty()

    run_with_node(test)


def test_a_refused_connection_sheds_the_request_with_retry_after():
    async def test(env: NodeEnvironment) -> None:
        env.upstreams[0].server.close()
        await env.upstreams[0].server.wait_closed()
        client = await env.client()
        client.send("/pay/1")
        status, head, _ = await client.answer()
        assert status == 503
        assert b"Retry-After: 1.500\r\n" in head

    run_with_node(test)


@pytest.mark.parametrize("case", ["connection close", "stray bytes", "early response"])
def test_a_connection_with_stray_bytes_or_an_early_response_is_not_used_again(case):
    async def test(env: NodeEnvironment) -> None:
        client = await env.client()
        client.send()
        received = await env.upstreams[0].received.get()
        if case == "stray bytes":
            received.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n")
        else:
            received.answer(extra=b"Connection: close\r\n" if case == "connection close" else b"")
        assert (await client.answer())[2] == b"ok"
        if case == "early response":
            received.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong")
        await received.disconnected.wait()
        client.send()
        next_request = await env.upstreams[0].received.get()
        next_request.answer(body=b"right")
        assert next_request.connection_number == 1
        assert (await client.answer())[2] == b"right"

    run_with_node(test)


@pytest.mark.usefixtures("no_reuse_delay")
def test_the_most_recently_used_connection_is_reused_first():
    async def test(env: NodeEnvironment) -> None:
        clients = [await env.client() for _ in "ab"]
        for client in clients:
            client.send()
        held = [await env.upstreams[0].received.get() for _ in clients]
        for received in held:
            received.answer()
        for client in clients:
            await client.answer()
        (target,) = env.node.pool.processes.values()
        last = target.idle[-1]
        clients[0].send()
        received = await env.upstreams[0].received.get()
        assert last.exchange is not None
        assert len(target.idle) == 1
        received.answer()
        await clients[0].answer()
        # The node closes an idle connection before the server would close it.
        for conn in target.idle:
            conn.idle_since_us -= 14_000_000
        env.node.pool.sweep()
        assert {await env.upstreams[0].closed.get() for _ in clients} == {0, 1}

    run_with_node(test)


@pytest.mark.parametrize("change", ["server drains", "deadline passes", "exchange abandoned", "none"])
def test_after_a_connect_the_endpoint_list_and_the_deadline_are_checked_again(change, monkeypatch):
    """A change while the connection is opened must take effect before the first byte is sent."""

    async def test() -> None:
        origin = await ScriptedServer().start()
        pool = ConnectionPool(20_000_000, 15_000_000, [], DescriptorBudget(10))
        pool.update(1, origin.address, 0)
        outcomes: asyncio.Queue[Outcome] = asyncio.Queue()
        create_connection = pool.loop.create_connection
        connect_started, connect_allowed = asyncio.Event(), asyncio.Event()

        class SlowLoop:
            async def create_connection(self, *args):
                connect_started.set()
                await connect_allowed.wait()
                return await create_connection(*args)

            def __getattr__(self, name):
                return getattr(create_connection.__self__, name)

        pool.loop = SlowLoop()
        head = b"GET /read/1 HTTP/1.1\r\nX-Request-ID: r\r\n"
        exchange = Exchange(
            1,
            head,
            b"",
            monotonic_us() + 20_000_000,
            lambda exchange, outcome, *rest: outcomes.put_nowait(outcome),
        )
        pool.send(exchange)
        await connect_started.wait()
        if change == "server drains":
            pool.take_out_of_service(1)
        elif change == "deadline passes":
            exchange.deadline_us = 0
        elif change == "exchange abandoned":
            pool.abandon(exchange, Outcome.CANCELLED)
        connect_allowed.set()
        if change == "none":
            (await origin.received.get()).answer()
            assert await outcomes.get() == Outcome.OK
        else:
            assert await outcomes.get() == Outcome.NOT_SENT
            while pool.connect_tasks:
                await asyncio.sleep(0)
            # The connection to a server in service is kept for the next exchange.
            assert len(pool.processes[1].idle) == (change != "server drains")
            if change == "server drains":
                assert await origin.closed.get() == 0
            assert origin.received.empty()
        pool.close_all()

    run(test())


def test_load_reports_are_parsed_with_either_field_name_and_only_if_complete():
    positions = report_positions(["load_share", "err_ps"])
    assert list(parse_load_report(b"inflight=7,util=0.5, eps=2", positions, 2)) == [0.5, 2.0]
    assert list(parse_load_report(b"load_share=0.25,err_ps=0", positions, 2)) == [0.25, 0.0]
    # Any of these would distort a server's moving averages permanently.
    for text in (b"util=0.5", b"util=x,eps=1", b"util=nan,eps=1", b"util=1,eps=inf", b"util=-1,eps=1"):
        assert parse_load_report(text, positions, 2) == ()
    for text in (
        b"util=1e99,eps=1",
        b"util=1_0,eps=1",
        b"util=1,util=0,eps=1",
        b"util=1,eps=1," + b"x" * 2000,
    ):
        assert parse_load_report(text, positions, 2) == ()


def test_without_free_descriptors_requests_are_shed(monkeypatch):
    monkeypatch.setattr(connection_manager, "EVICTION_GRACE_US", 10**9)

    async def test(env: NodeEnvironment) -> None:
        clients = [await env.client() for _ in range(4)]
        await wait_until(lambda: env.node.descriptor_budget.client_connections == 4)
        env.node.descriptor_budget.total = 6
        held = []
        for client in clients[:2]:
            client.send()
            held.append(await env.upstreams[0].received.get())
        clients[2].send()
        assert (await clients[2].answer())[0] == 503
        for number, received in enumerate(held):
            received.answer(body=b"%d" % number)
        assert {(await client.answer())[0] for client in clients[:2]} == {200}
        clients[3].send()
        (await env.upstreams[0].received.get()).answer(body=b"2")
        assert (await clients[3].answer())[0] == 200
        assert env.upstreams[0].connection_count == 2

    run_with_node(test)


def test_a_health_check_reads_the_load_report():
    async def test(env: NodeEnvironment) -> None:
        seen: asyncio.Queue[tuple] = asyncio.Queue()
        env.node.dispatcher.balancer.health_checked = lambda *args: seen.put_nowait(args[1:])
        env.node.dispatcher.health_check(1)
        received = await env.upstreams[0].received.get()
        assert received.head.startswith(b"GET /_load ")
        received.answer(body=b"util=0.5,eps=1")
        server, ok, _, report = await seen.get()
        assert (server, ok, list(report)) == (1, True, [0.5, 1.0])

    run_with_node(test)
