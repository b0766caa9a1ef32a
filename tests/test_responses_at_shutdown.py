"""Large responses to requests that a node receives late in a shutdown or in standby, over loopback sockets."""

from __future__ import annotations

import asyncio

import pytest
from node_support import HEAD, Client, NodeEnvironment, wait_until
from streaming_support import (
    LARGE_BODY,
    RESPONSE_FRAMINGS,
    Peer,
    connect_slow_reader,
    run_with_peers,
    server_that_sends,
)

from harecross.dispatch.dispatcher import RequestDispatcher
from harecross.downstream import connection_manager
from harecross.http.body_buffer import MAX_BUFFERED_BODY_BYTES, MAX_HELD_RESPONSE_BYTES, held_response_bytes
from harecross.node import shutdown_schedule
from harecross.platform.clock import monotonic_us
from harecross.standins.http import read_body, read_message

TIMER_RESOLUTION_US = 1_000  # the event loop may call a timer this much early
BEFORE_SIGKILL_US = 200_000  # SIGKILL follows the shutdown deadline by this time
# A response above the size that is held until it is complete, and one below it that would be streamed otherwise.
TOO_LARGE, HELD = LARGE_BODY, LARGE_BODY[:200_000]


@pytest.fixture(autouse=True)
def short_shutdown(monkeypatch):
    """Makes requests count from 0.1 s after SIGTERM. Connections are drained 0.3 s before the shutdown deadline."""
    monkeypatch.setattr(shutdown_schedule, "COUNTED_FROM_S", 0.1)
    monkeypatch.setattr(shutdown_schedule, "MAX_DEADLINE_S", 1.0)
    monkeypatch.setattr(RequestDispatcher, "typical_response_time_s", lambda _self: 0.1)


async def begin_shutdown(env: NodeEnvironment) -> None:
    """Begins a shutdown and waits until the requests that arrive have to be answered before SIGKILL."""
    env.node.stop_requested.set()
    deadlines = env.node.dispatcher.deadlines
    await wait_until(lambda: deadlines.has_shutdown_deadline(monotonic_us()))


def shutdown_deadline_us(env: NodeEnvironment) -> int:
    """Returns the time by which late requests have to be answered."""
    deadline_us = env.node.dispatcher.deadlines.shutdown_deadline_us
    assert deadline_us is not None
    return deadline_us


def server_that_sends_slowly(text: bytes, seconds: float, disconnected: asyncio.Event | None = None) -> Peer:
    """Returns a server that takes `seconds` for each response; `disconnected` is set if the node disconnects before."""
    parts = 20

    async def peer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                await read_message(reader)
                for i in range(parts):
                    writer.write(text[i * len(text) // parts : (i + 1) * len(text) // parts])
                    await writer.drain()
                    await asyncio.sleep(seconds / parts)
        except (asyncio.IncompleteReadError, ConnectionError):
            if disconnected is not None:
                disconnected.set()
            writer.close()

    return peer


@pytest.mark.parametrize("form", sorted(RESPONSE_FRAMINGS))
def test_a_large_response_that_begins_late_in_a_shutdown_is_answered_before_sigkill(form):
    """Guards against a response that is streamed without a deadline and cut off by SIGKILL."""
    disconnected = asyncio.Event()

    async def test(env) -> None:
        client = await env.client()
        await begin_shutdown(env)
        client.send()
        status, head, body = await client.answer()
        assert status in (502, 503)
        assert body == b""
        assert monotonic_us() < shutdown_deadline_us(env) + BEFORE_SIGKILL_US
        # The client sends its next request to another node, which can serve it.
        assert b"Connection: close" in head
        assert await client.reader.read() == b""
        await disconnected.wait()
        await env.task

    run_with_peers(test, server_that_sends_slowly(RESPONSE_FRAMINGS[form](TOO_LARGE), 4.0, disconnected))


def test_a_response_that_is_known_to_be_too_large_is_answered_at_once_late_in_a_shutdown():
    """Guards against further requests of that client to a node that cannot serve them."""

    async def test(env) -> None:
        client = await env.client()
        await begin_shutdown(env)
        client.send()
        status, head, _ = await client.answer()
        assert status == 502
        assert b"Connection: close" in head
        assert not env.node.client_connections.draining
        await env.task

    run_with_peers(test, server_that_sends_slowly(RESPONSE_FRAMINGS["length"](TOO_LARGE), 4.0))


@pytest.mark.parametrize("form", sorted(RESPONSE_FRAMINGS))
def test_a_response_that_can_be_held_is_served_whole_late_in_a_shutdown(form):
    """Guards against failures of responses that are complete in time, in each framing."""

    async def test(env) -> None:
        client = await env.client()
        await begin_shutdown(env)
        for _ in range(3):
            client.send()
            status, head, body = await client.answer()
            assert (status, body) == (200, HELD)
            assert b"close" not in head
        await env.task

    run_with_peers(test, server_that_sends(RESPONSE_FRAMINGS[form](HELD), close=form == "close"))


def test_an_http_1_0_client_gets_a_whole_response_late_in_a_shutdown():
    """Guards against a response that ends with its connection, which SIGKILL ends as well."""

    async def test(env) -> None:
        client = await env.client()
        await begin_shutdown(env)
        client.writer.write(b"GET /read/1 HTTP/1.0\r\nX-Request-ID: r\r\nX-Timeout: 9000m\r\n\r\n")
        head, _, body = (await client.reader.read()).partition(b"\r\n\r\n")
        assert b"Content-Length: %d" % len(HELD) in head
        assert body == HELD

    run_with_peers(test, server_that_sends(RESPONSE_FRAMINGS["chunks"](HELD)))


def test_a_held_response_that_is_not_complete_in_time_is_answered_by_the_shutdown_deadline():
    """Guards against a response that is held until SIGKILL."""

    async def test(env) -> None:
        client = await env.client()
        await begin_shutdown(env)
        client.send()
        assert (await client.answer())[0] in (502, 503)
        deadline_us = shutdown_deadline_us(env)
        assert deadline_us - TIMER_RESOLUTION_US <= monotonic_us() < deadline_us + BEFORE_SIGKILL_US
        await env.task

    run_with_peers(test, server_that_sends_slowly(RESPONSE_FRAMINGS["length"](HELD), 4.0))


def test_a_held_response_leaves_the_process_at_once_although_its_client_does_not_read():
    """Guards against a response that waits in the process when SIGKILL comes; the kernel delivers what it has taken."""
    body = LARGE_BODY[: MAX_HELD_RESPONSE_BYTES - 1]

    async def test(env) -> None:
        loop, client = asyncio.get_running_loop(), await connect_slow_reader(env.node.address)
        text = b"GET /read/1" + HEAD + b"\r\n"
        await loop.sock_sendall(client, text)
        received = b""
        while not received.endswith(body):  # this response is streamed, with a small send buffer
            received += await loop.sock_recv(client, 1 << 20)
        await begin_shutdown(env)
        await loop.sock_sendall(client, text)
        served = env.node.dispatcher.statistics.final_answers
        await wait_until(lambda: served["served"] == 2)
        await asyncio.sleep(0)
        assert env.node.client_connections.unsent_bytes() == 0
        client.close()

    run_with_peers(test, server_that_sends(RESPONSE_FRAMINGS["length"](body)))


def test_a_response_to_an_early_request_is_streamed_beyond_the_shutdown_deadline():
    """Guards against cutting off a response that SIGKILL may not reach, and that is excused if it does."""

    async def test(env) -> None:
        client = await env.client()
        client.send()
        await wait_until(lambda: env.node.pool.streaming)
        await begin_shutdown(env)
        status, _, body = await client.answer()
        assert (status, body) == (200, TOO_LARGE)
        assert monotonic_us() > shutdown_deadline_us(env)
        await env.task

    run_with_peers(test, server_that_sends_slowly(RESPONSE_FRAMINGS["length"](TOO_LARGE), 2.0))


def test_an_upload_that_ends_late_in_a_shutdown_gets_no_streamed_response():
    """Guards against counting a request from its head: it counts from its last byte."""

    async def answers_uploads(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            await read_body(reader, head)
            writer.write(RESPONSE_FRAMINGS["length"](TOO_LARGE)[:100_000])
            await reader.read()
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def test(env) -> None:
        client = await env.client()
        size = 100_000
        client.writer.write(b"POST /pay/1" + HEAD + b"Content-Length: %d\r\n\r\n" % size + b"x" * (size - 1))
        await wait_until(lambda: env.node.pool.streaming)
        await begin_shutdown(env)
        client.writer.write(b"x")
        assert (await client.answer())[0] == 502
        assert monotonic_us() < shutdown_deadline_us(env)
        await env.task

    run_with_peers(test, answers_uploads)


async def ask_for_status(client: Client) -> tuple[int, bool]:
    """Sends a request; returns the status of its response and whether that announces the end of the connection."""
    client.send()
    status, head, _ = await client.answer()
    return status, b"Connection: close" in head


def test_standby_leaves_no_connection_that_carries_a_large_response(monkeypatch):
    """Guards against a connection that is kept after a streamed response and carries another one after 4 s."""
    monkeypatch.setattr(connection_manager, "STANDBY_STREAMING_US", 100_000)

    async def test(env) -> None:
        connections, client = env.node.client_connections, await env.client()
        client.send()
        await wait_until(lambda: env.node.pool.streaming)
        connections.enter_standby()
        status, head, body = await client.answer()  # its head was sent before, without `Connection: close`
        assert (status, body) == (200, TOO_LARGE)
        assert b"close" not in head
        assert await ask_for_status(client) == (502, True)
        assert await client.reader.read() == b""
        connections.leave_standby()
        assert await ask_for_status(await env.client()) == (200, False)

    run_with_peers(test, server_that_sends_slowly(RESPONSE_FRAMINGS["length"](TOO_LARGE), 0.3))


def test_held_responses_stay_within_the_memory_budget():
    """Guards against many held responses that together need more memory than the node has."""
    for budget in (1 << 20, 24 << 20):
        for connections in (0, 1, 16, 200):
            size = held_response_bytes(budget, connections)
            assert MAX_BUFFERED_BODY_BYTES <= size <= MAX_HELD_RESPONSE_BYTES
            assert size == MAX_BUFFERED_BODY_BYTES or size * connections <= budget
