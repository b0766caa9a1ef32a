"""What a node makes of servers' answers and of their connections, over loopback sockets."""

from __future__ import annotations

import asyncio

import pytest
from node_support import (
    Origin,
    World,
    run,
    until,
    with_node,
)

from harecross.downstream import connection_manager
from harecross.http.response_parser import parse_load_report, report_positions
from harecross.interface import Outcome
from harecross.platform.clock import monotonic_us
from harecross.platform.descriptor_budget import DescriptorBudget
from harecross.upstream.connection_pool import ConnectionPool
from harecross.upstream.exchange import Exchange


@pytest.mark.usefixtures("no_rest")
def test_a_kept_connection_that_breaks_under_a_request_may_have_run():
    """It looks like a connection that never came up; sent again, the request could run twice."""

    async def test(w: World) -> None:
        client = await w.client()
        client.send("/pay/1")
        (await w.origins[0].arrived.get()).answer()
        assert (await client.answer())[0] == 200
        client.send("/pay/2")
        at = await w.origins[0].arrived.get()
        at.writer.close()
        assert (await client.answer())[0] == 502  # failed: no promise
        assert at.link == 0 and all(o.arrived.empty() for o in w.origins)

    with_node(test)


def test_a_server_s_error_fails_a_request_that_must_not_run_twice():
    async def test(w: World) -> None:
        client = await w.client()
        client.send("/pay/1")
        (await w.origins[0].arrived.get()).answer(500)
        assert (await client.answer())[0] == 502

    with_node(test)


OK = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood"


NEVER = b"X-Not-Processed: 1\r\n"


SPOILT = {
    "noise": b"\x00\x01\x02\r\n\r\n",
    "another protocol": OK.replace(b"HTTP/1.1", b"ICY"),
    "odd status": OK.replace(b"200", b"2x0"),
    "no colon": OK.replace(b"Content", b"no colon here\r\nContent"),
    "two lengths": OK.replace(b"Content", b"Content-Length: 3\r\nContent"),
    "length and chunks": OK.replace(b"Content", b"Transfer-Encoding: chunked\r\nContent"),
    "negative length": OK.replace(b": 4", b": -4"),
    "3 GB": OK.replace(b": 4", b": 3000000000"),
    "no length": OK.replace(b"Content-Length: 4\r\n", b""),
    "odd chunk": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\nzz\r\n",
    "length too short": OK + b", and the rest of it",
    "head without end": b"HTTP/1.1 200 OK\r\nX-Pad: " + b"p" * 100_000,
    "only early answers": b"HTTP/1.1 103 Early Hints\r\n\r\n" * 20,
    "another protocol follows": b"HTTP/1.1 101 X\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n" + OK,
    "spoilt, and says never run": b"HTTP/1.1 503 X\r\n" + NEVER + b"Content-Length: x\r\n\r\n",
    "never run, says another answer": b"HTTP/1.1 100 X\r\n" + NEVER + b"\r\n" + OK.replace(b"200", b"503"),
}


@pytest.mark.parametrize("name", SPOILT)
def test_a_spoilt_answer_may_have_run_and_is_shown_to_nobody(name):
    """Unsafe: neither sent again nor refused. The connection is closed, for it holds who knows what."""

    async def test(w: World) -> None:
        client = await w.client()
        client.send("/pay/1")
        at = await w.origins[0].arrived.get()
        at.writer.write(SPOILT[name])
        status, _, body = await client.answer()
        assert (status, body) == (502, b"") and w.origins[0].arrived.empty()
        if name != "never run, says another answer":
            await at.gone.wait()

    with_node(test)


EXTRA = {  # and whether the connection may be used again
    "a second copy": (OK + OK, False),
    "noise": (OK + b"\x00\x01\x02\r\n\r\n", False),
    "early answers": (b"HTTP/1.1 103 X\r\n" + NEVER + b"\r\nHTTP/1.1 102 X\r\n\r\n" + OK, True),
    "odd report": (OK.replace(b"Content", b"X-Server-Load: %%%\r\nContent"), True),
    "report of no number": (OK.replace(b"Content", b"X-Server-Load: util=nan,eps=-1\r\nContent"), True),
}


@pytest.mark.parametrize("name", EXTRA)
@pytest.mark.usefixtures("no_rest")
def test_a_good_answer_counts_whatever_comes_with_it(name):
    async def test(w: World) -> None:
        client = await w.client()
        client.send("/pay/1")
        at = await w.origins[0].arrived.get()
        text, usable = EXTRA[name]
        at.writer.write(text)
        assert (await client.answer())[::2] == (200, b"good")
        assert w.node.pool.load_reports == 0
        if not usable:
            await at.gone.wait()
        client.send("/pay/1")
        again = await w.origins[0].arrived.get()
        again.answer(body=b"next")
        assert again.link == (0 if usable else 1)
        assert (await client.answer())[2] == b"next"

    with_node(test)


def test_what_was_turned_away_unseen_is_sent_again():
    async def test(w: World) -> None:
        client = await w.client()
        client.send("/pay/1")
        origin = w.origins[0]
        (await origin.arrived.get()).answer(503, extra=b"X-Not-Processed: 1\r\n")
        (await origin.arrived.get()).answer(504, extra=b"x-not-processed: 1\r\n")
        (await origin.arrived.get()).answer(200, body=b"done")
        assert (await client.answer())[2] == b"done"

    with_node(test)


def test_being_turned_away_unseen_is_not_paid_for_with_retries():
    """Each such answer took a retry from the budget, and after a few of them requests were refused."""

    async def test(w: World) -> None:
        client = await w.client()
        for _ in range(6):
            client.send("/pay/1")
            for _ in range(2):
                (await w.origins[0].arrived.get()).answer(503, extra=b"X-Not-Processed: 1\r\n")
            (await w.origins[0].arrived.get()).answer(body=b"done")
            assert (await client.answer())[2] == b"done"

    with_node(test)


def test_a_keyed_request_whose_answer_is_lost_is_sent_again_to_its_cell():
    async def test(w: World) -> None:
        client = await w.client()
        client.send("/put/1", key="k")
        (await w.origins[0].arrived.get()).writer.write(b"\x00 noise\r\n\r\n")
        again = await w.origins[0].arrived.get()
        assert again.header(b"Idempotency-Key") == b"k"
        again.answer(body=b"once")
        assert (await client.answer())[2] == b"once"

    with_node(test)


def test_a_plain_503_may_have_run():
    async def test(w: World) -> None:
        client = await w.client()
        client.send("/pay/1")
        (await w.origins[0].arrived.get()).answer(503)
        assert (await client.answer())[0] == 502
        assert w.origins[0].arrived.empty()

    with_node(test)


def test_a_refused_connection_is_a_refusal_at_once_with_advice():
    async def test(w: World) -> None:
        w.origins[0].server.close()
        await w.origins[0].server.wait_closed()
        client = await w.client()
        client.send("/pay/1")
        status, head, _ = await client.answer()
        assert status == 503 and b"Retry-After: 1.500\r\n" in head

    with_node(test)


@pytest.mark.parametrize("how", ["close", "stray", "early"])
def test_a_connection_in_doubt_is_not_used_again(how):
    async def test(w: World) -> None:
        client = await w.client()
        client.send()
        at = await w.origins[0].arrived.get()
        if how == "stray":
            at.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n")
        else:
            at.answer(extra=b"Connection: close\r\n" if how == "close" else b"")
        assert (await client.answer())[2] == b"ok"
        if how == "early":
            at.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong")
        await at.gone.wait()
        client.send()
        again = await w.origins[0].arrived.get()
        again.answer(body=b"right")
        assert again.link == 1 and (await client.answer())[2] == b"right"

    with_node(test)


@pytest.mark.usefixtures("no_rest")
def test_the_connection_used_last_is_used_first():
    async def test(w: World) -> None:
        clients = [await w.client() for _ in "ab"]
        for client in clients:
            client.send()
        held = [await w.origins[0].arrived.get() for _ in clients]
        for at in held:
            at.answer()
        for client in clients:
            await client.answer()
        (target,) = w.node.pool.processes.values()
        last = target.idle[-1]
        clients[0].send()
        at = await w.origins[0].arrived.get()
        assert last.exchange is not None and len(target.idle) == 1
        at.answer()
        await clients[0].answer()
        # An idle connection is dropped before the server would close it.
        for conn in target.idle:
            conn.idle_since_us -= 14_000_000
        w.node.pool.sweep()
        assert {await w.origins[0].closed.get() for _ in clients} == {0, 1}

    with_node(test)


@pytest.mark.parametrize("what", ["drains", "late", "given up", "up"])
def test_the_list_and_the_clock_are_looked_at_again_after_a_connect(what, monkeypatch):
    """A connection may take a while to come up; what has changed meanwhile holds for its first byte."""

    async def test() -> None:
        origin = await Origin().start()
        pool = ConnectionPool(20_000_000, 15_000_000, [], DescriptorBudget(10))
        pool.update(1, origin.address, 0)
        outcomes: asyncio.Queue[Outcome] = asyncio.Queue()
        real = pool.loop.create_connection
        begun, go = asyncio.Event(), asyncio.Event()

        class Slow:
            async def create_connection(self, *args):
                begun.set()
                await go.wait()
                return await real(*args)

            def __getattr__(self, name):
                return getattr(real.__self__, name)

        pool.loop = Slow()
        head = b"GET /read/1 HTTP/1.1\r\nX-Request-ID: r\r\n"
        exchange = Exchange(
            1, head, b"", monotonic_us() + 20_000_000, lambda e, o, *rest: outcomes.put_nowait(o)
        )
        pool.send(exchange)
        await begun.wait()
        if what == "drains":
            pool.take_out_of_service(1)
        elif what == "late":
            exchange.deadline_us = 0
        elif what == "given up":
            pool.abandon(exchange, Outcome.CANCELLED)
        go.set()
        if what == "up":
            (await origin.arrived.get()).answer()
            assert await outcomes.get() == Outcome.OK
        else:
            assert await outcomes.get() == Outcome.NOT_SENT
            while pool.connect_tasks:
                await asyncio.sleep(0)
            # A connection to a server in service is kept, and the next exchange uses it.
            assert len(pool.processes[1].idle) == (what != "drains")
            if what == "drains":
                assert await origin.closed.get() == 0
            assert origin.arrived.empty()
        pool.close_all()

    run(test())


def test_load_reports_under_either_name():
    places = report_positions(["load_share", "err_ps"])
    assert list(parse_load_report(b"inflight=7,util=0.5, eps=2", places, 2)) == [0.5, 2.0]
    assert list(parse_load_report(b"load_share=0.25,err_ps=0", places, 2)) == [0.25, 0.0]
    # Any of these would stay in a server's averages for good.
    for text in (b"util=0.5", b"util=x,eps=1", b"util=nan,eps=1", b"util=1,eps=inf", b"util=-1,eps=1"):
        assert parse_load_report(text, places, 2) == ()
    for text in (
        b"util=1e99,eps=1",
        b"util=1_0,eps=1",
        b"util=1,util=0,eps=1",
        b"util=1,eps=1," + b"x" * 2000,
    ):
        assert parse_load_report(text, places, 2) == ()


def test_near_the_descriptor_limit_work_is_refused(monkeypatch):
    monkeypatch.setattr(connection_manager, "EVICTION_GRACE_US", 10**9)

    async def test(w: World) -> None:
        clients = [await w.client() for _ in range(4)]
        await until(lambda: w.node.descriptor_budget.client_connections == 4)
        w.node.descriptor_budget.total = 6
        held = []
        for client in clients[:2]:
            client.send()
            held.append(await w.origins[0].arrived.get())
        clients[2].send()
        assert (await clients[2].answer())[0] == 503
        for at in held:
            at.answer()
        assert {(await c.answer())[0] for c in clients[:2]} == {200}
        clients[3].send()
        (await w.origins[0].arrived.get()).answer()
        assert (await clients[3].answer())[0] == 200 and w.origins[0].links == 2

    with_node(test)


def test_probes():
    async def test(w: World) -> None:
        seen: asyncio.Queue[tuple] = asyncio.Queue()
        w.node.dispatcher.balancer.health_checked = lambda *args: seen.put_nowait(args[1:])
        w.node.dispatcher.health_check(1)
        at = await w.origins[0].arrived.get()
        assert at.head.startswith(b"GET /_load ")
        at.answer(body=b"util=0.5,eps=1")
        server, ok, _, report = await seen.get()
        assert (server, ok, list(report)) == (1, True, [0.5, 1.0])

    with_node(test)
