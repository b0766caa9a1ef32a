"""Tests the soak's proxy between nodes and a server: the effect of each fault, and the times that are recorded."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable

import pytest
from node_support import run, wait_until

from harecross.soak.plan import LinkFault, LinkFaultKind, ServerPlan
from harecross.soak.planner import make_plan
from harecross.soak.proxy import RESET_AFTER_BYTES
from harecross.soak.records import AttemptOutcome, Lifecycle, Records
from harecross.soak.servers import SoakServer
from harecross.standins.http import read_message

QUICK = ServerPlan(
    "s0", 0.001, slow_probability=0, error_probability=0, reset_probability=0, silent_probability=0,
    close_probability=0, half_close_probability=0,
)  # fmt: skip
REQUEST = b"POST /put/1 HTTP/1.1\r\nX-Request-ID: r1\r\nX-Timeout: 900m\r\nContent-Length: 4\r\n\r\nbody"
HELD_S = 0.3


def with_link(
    fault: LinkFault,
    test: Callable[[SoakServer, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]],
) -> None:
    """Runs a test on a connection through the proxy of one server; the times of the fault count from now."""

    async def body() -> None:
        server = SoakServer(QUICK, 1, Records(), [fault])
        await server.open()
        server.set_run_start(time.monotonic())
        host, _, port = server.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            await test(server, reader, writer)
        finally:
            writer.close()
            server.close()

    run(body())


def test_a_held_request_arrives_after_its_node_has_closed_and_is_recorded_with_the_time_it_was_sent():
    async def test(server: SoakServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        sent_at = time.monotonic()
        writer.write(REQUEST)
        await asyncio.sleep(0.05)
        writer.close()
        await wait_until(lambda: server.records.attempts)
        (record,) = server.records.attempts
        assert record.received_at > sent_at + HELD_S - 0.01
        assert record.first_byte_at < sent_at + 0.05, "the record has the time at which the node sent it"

    with_link(LinkFault("s0", LinkFaultKind.REQUESTS_HELD, 0, HELD_S), test)


def test_a_held_response_arrives_complete_when_the_fault_ends():
    async def test(server: SoakServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        started_at = time.monotonic()
        writer.write(REQUEST)
        _head, body = await read_message(reader)
        assert time.monotonic() > started_at + HELD_S - 0.01
        assert body == b"ok"
        assert server.records.attempts[0].outcome is AttemptOutcome.OK

    with_link(LinkFault("s0", LinkFaultKind.ANSWERS_HELD, 0, HELD_S), test)


def test_a_delay_applies_to_each_direction():
    async def test(server: SoakServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        started_at = time.monotonic()
        writer.write(REQUEST)
        await read_message(reader)
        assert time.monotonic() >= started_at + 0.2

    with_link(LinkFault("s0", LinkFaultKind.DELAY, 0, 100, delay=0.1), test)


@pytest.mark.parametrize(
    ("kind", "max_bytes"), [(LinkFaultKind.RESET, RESET_AFTER_BYTES), (LinkFaultKind.HALF_CLOSE, 0)]
)
def test_a_request_whose_response_is_cut_off_was_processed(kind, max_bytes):
    async def test(server: SoakServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(REQUEST)
        try:
            received = await reader.read()
        except ConnectionError:
            received = b""
        assert len(received) <= max_bytes
        assert server.records.attempts[0].outcome is AttemptOutcome.OK

    with_link(LinkFault("s0", kind, 0, 100, probability=1.0), test)


def test_a_response_in_pieces_is_complete_and_the_connection_stays_usable():
    async def test(server: SoakServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        for _ in range(2):
            writer.write(REQUEST)
            assert (await read_message(reader))[1] == b"ok"
        assert [record.outcome for record in server.records.attempts] == [
            AttemptOutcome.OK,
            AttemptOutcome.OK,
        ]

    with_link(LinkFault("s0", LinkFaultKind.PIECES, 0, 100, probability=1.0), test)


def test_a_stopped_server_behind_a_proxy_refuses_connections_and_keeps_its_address():
    async def test(server: SoakServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, _, port = server.address.rpartition(":")
        await server.change(Lifecycle.GONE)
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(host, int(port))
        await server.change(Lifecycle.RESTARTED)
        new_reader, new_writer = await asyncio.open_connection(host, int(port))
        new_writer.write(REQUEST)
        assert (await read_message(new_reader))[1] == b"ok"
        new_writer.close()

    with_link(LinkFault("s0", LinkFaultKind.DELAY, 50, 100, delay=0.1), test)


def test_every_kind_of_fault_is_drawn_and_about_half_of_the_runs_have_none():
    plans = [make_plan(seed) for seed in range(200)]
    assert {fault.kind for plan in plans for fault in plan.link_faults} == set(LinkFaultKind)
    assert 60 < sum(not plan.link_faults for plan in plans) < 140
    assert all(fault.start < fault.end <= plan.duration for plan in plans for fault in plan.link_faults)
