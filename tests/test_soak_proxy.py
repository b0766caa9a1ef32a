"""The soak's proxy between nodes and a server: each fault does what its name says, and the server's times stay true."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable

import pytest
from node_support import run, until

from harecross.soak.plan import LinkFault, LinkFaultKind, ServerPlan, make_plan
from harecross.soak.proxy import CUT_AT
from harecross.soak.records import Ran, Records
from harecross.soak.servers import SoakServer
from harecross.standins.http import read_message

QUICK = ServerPlan("s0", 0.001, slow=0, error=0, reset=0, silent=0, closes=0, half_close=0)
REQUEST = b"POST /put/1 HTTP/1.1\r\nX-Request-ID: r1\r\nX-Timeout: 900m\r\nContent-Length: 4\r\n\r\nbody"
HELD = 0.3  # seconds


def with_link(
    fault: LinkFault,
    test: Callable[[SoakServer, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]],
) -> None:
    """Runs a test on a connection through the proxy of one server; the fault holds from now on."""

    async def body() -> None:
        server = SoakServer(QUICK, 1, Records(), [fault])
        await server.open()
        server.begin(time.monotonic())
        host, _, port = server.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            await test(server, reader, writer)
        finally:
            writer.close()
            server.close()

    run(body())


def test_a_held_request_reaches_the_server_after_its_node_has_given_it_up_with_the_time_it_left():
    async def test(server: SoakServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        sent = time.monotonic()
        writer.write(REQUEST)
        await asyncio.sleep(0.05)
        writer.close()
        await until(lambda: server.records.servers)
        (record,) = server.records.servers
        assert record.whole > sent + HELD - 0.01
        assert record.first_byte < sent + 0.05, "it is judged by when it left its node"

    with_link(LinkFault("s0", LinkFaultKind.REQUESTS_HELD, 0, HELD), test)


def test_a_held_answer_comes_whole_at_the_end():
    async def test(server: SoakServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        began = time.monotonic()
        writer.write(REQUEST)
        _head, body = await read_message(reader)
        assert time.monotonic() > began + HELD - 0.01
        assert body == b"ok"
        assert server.records.servers[0].ran is Ran.OK

    with_link(LinkFault("s0", LinkFaultKind.ANSWERS_HELD, 0, HELD), test)


def test_a_delay_holds_each_way():
    async def test(server: SoakServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        began = time.monotonic()
        writer.write(REQUEST)
        await read_message(reader)
        assert time.monotonic() >= began + 0.2

    with_link(LinkFault("s0", LinkFaultKind.DELAY, 0, 100, seconds=0.1), test)


@pytest.mark.parametrize(("kind", "most"), [(LinkFaultKind.RESET, CUT_AT), (LinkFaultKind.HALF_CLOSE, 0)])
def test_an_answer_that_is_cut_has_run_all_the_same(kind, most):
    async def test(server: SoakServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(REQUEST)
        try:
            came = await reader.read()
        except ConnectionError:
            came = b""
        assert len(came) <= most
        assert server.records.servers[0].ran is Ran.OK

    with_link(LinkFault("s0", kind, 0, 100, probability=1.0), test)


def test_an_answer_in_pieces_is_whole_and_the_connection_serves_on():
    async def test(server: SoakServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        for _ in range(2):
            writer.write(REQUEST)
            assert (await read_message(reader))[1] == b"ok"
        assert [record.ran for record in server.records.servers] == [Ran.OK, Ran.OK]

    with_link(LinkFault("s0", LinkFaultKind.PIECES, 0, 100, probability=1.0), test)


def test_a_server_that_dies_refuses_behind_its_proxy_too_and_keeps_its_address():
    async def test(server: SoakServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, _, port = server.address.rpartition(":")
        await server.change("terminated")
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(host, int(port))
        await server.change("restarted")
        again, to = await asyncio.open_connection(host, int(port))
        to.write(REQUEST)
        assert (await read_message(again))[1] == b"ok"
        to.close()

    with_link(LinkFault("s0", LinkFaultKind.DELAY, 50, 100, seconds=0.1), test)


def test_every_kind_of_fault_is_drawn_and_about_half_of_the_runs_have_none():
    plans = [make_plan(seed) for seed in range(200)]
    assert {fault.kind for plan in plans for fault in plan.links} == set(LinkFaultKind)
    assert 60 < sum(not plan.links for plan in plans) < 140
    assert all(fault.start < fault.end <= plan.seconds for plan in plans for fault in plan.links)
