"""Tests of the open-loop clients against a scripted node."""

from __future__ import annotations

import asyncio

import pytest
import uvloop
from replay_support import PAY, READ

from harecross.interface import Idempotency
from harecross.replay.accounting import Disposition, RequestClass, RetryPolicy
from harecross.replay.clients import Arrival, NodePool, OpenLoopGenerator
from harecross.standins.http import answer, header, listen, read_message

RETRY_POLICY = RetryPolicy(max_retries=1, backoff_us=1000)
WINDOW_US = 1_000_000


def generator_for(address: str, request_class: RequestClass) -> OpenLoopGenerator:
    host, _, port = address.rpartition(":")
    pool = NodePool("n", lambda: (host, int(port)))
    return OpenLoopGenerator([request_class], [[pool]], RETRY_POLICY, WINDOW_US)


async def send(generator: OpenLoopGenerator, arrivals: list[Arrival]) -> None:
    async def plan():
        for arrival in arrivals:
            yield arrival

    async with asyncio.timeout(30):
        await generator.run(plan())


def send_to(serve, arrivals: list[Arrival], request_class: RequestClass = READ) -> OpenLoopGenerator:
    """Sends requests to a node that is simulated by `serve`."""

    async def body() -> OpenLoopGenerator:
        server, address = await listen(serve)
        generator = generator_for(address, request_class)
        await send(generator, arrivals)
        server.close()
        return generator

    return uvloop.run(body())


def test_a_shed_request_is_one_request_on_the_wire_and_in_the_accounting():
    seen: list[bytes] = []

    async def serve(reader, writer) -> None:
        while True:
            try:
                head, _ = await read_message(reader)
            except (asyncio.IncompleteReadError, ConnectionError):
                return
            seen.append(header(head, b"x-request-id"))
            shed = answer(503, extra=b"Retry-After: 0.01\r\n")
            writer.write(shed if len(seen) == 1 else answer(200, b"ok"))

    generator = send_to(serve, [Arrival(0, 0, 1000)])
    report = generator.accounting.total.report()
    assert seen == [b"q0-1", b"q0-2"]
    assert (report["asked"], report["tries"], report["served_in_time"]) == (1, 2, 1)


@pytest.mark.parametrize(("request_class", "attempts"), [(READ, 2), (PAY, 1)], ids=["safe", "unsafe"])
def test_a_reset_attempt_is_repeated_only_where_the_request_is_idempotent(request_class, attempts):
    seen = 0

    async def serve(reader, writer) -> None:
        nonlocal seen
        await read_message(reader)
        seen += 1
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Le")
        writer.close()

    generator = send_to(serve, [Arrival(0, 0, 1000)], request_class)
    assert seen == attempts
    assert generator.accounting.total.counts[Disposition.FAILED] == 1


def test_a_request_without_a_response_fails_at_its_deadline_and_delays_no_other():
    """An open-loop client sends the second request while the first has no response."""
    arrived = 0

    async def serve(reader, writer) -> None:
        nonlocal arrived
        head, _ = await read_message(reader)
        arrived += 1
        if b"/read/1 " in head:
            writer.write(answer(200, b"ok"))
        await reader.read()

    short_deadline_class = RequestClass("read", Idempotency.IDEMPOTENT, 1.0, 200_000, 400_000)
    generator = send_to(serve, [Arrival(0, 0, 1), Arrival(1000, 0, 1)], short_deadline_class)
    counts = generator.accounting.total.counts
    assert arrived == 2
    assert (counts[Disposition.FAILED], counts[Disposition.IN_TIME]) == (1, 1)


def test_a_request_to_an_unreachable_node_fails_without_blocking():
    async def body() -> OpenLoopGenerator:
        server, address = await listen(lambda reader, writer: None)
        server.close()
        await server.wait_closed()
        generator = generator_for(address, READ)
        await send(generator, [Arrival(0, 0, 1)])
        return generator

    generator = uvloop.run(body())
    assert generator.accounting.total.counts[Disposition.FAILED] == 1
    assert generator.accounting.inconsistencies() == []
