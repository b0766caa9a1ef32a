"""Streamed responses over loopback sockets, with slow, stalling and disconnecting peers."""

from __future__ import annotations

import asyncio
import socket

import pytest
from node_support import HEAD, SETTINGS, wait_until
from streaming_support import (
    LARGE_BODY,
    RESPONSE_FRAMINGS,
    connect_slow_reader,
    reset_connection,
    run_with_peers,
    server_that_sends,
)

from harecross.downstream import connection_manager, input_reader, response_sender
from harecross.http.body_buffer import (
    MAX_STREAM_BUFFER_BYTES,
    MIN_STREAM_BUFFER_BYTES,
)
from harecross.node import graceful_shutdown
from harecross.platform.memory_ledger import MemoryLedger
from harecross.standins.http import read_message
from harecross.upstream import connection, connection_pool


@pytest.mark.parametrize("form", sorted(RESPONSE_FRAMINGS))
@pytest.mark.parametrize("size", [700, 300_000])
def test_a_response_of_any_framing_reaches_the_client(form, size):
    async def test(env) -> None:
        client = await env.client()
        for _ in range(2):
            client.send()
            status, head, body = await client.answer()
            assert (status, body) == (200, LARGE_BODY[:size])
            assert b"close" not in head
        assert env.node.dispatcher.statistics.final_answers["served"] == 2

    run_with_peers(test, server_that_sends(RESPONSE_FRAMINGS[form](LARGE_BODY[:size]), close=form == "close"))


def test_an_http_1_0_client_gets_a_chunked_response_delimited_by_the_close():
    async def test(env) -> None:
        client = await env.client()
        client.writer.write(b"GET /read/1 HTTP/1.0\r\nX-Request-ID: r\r\nX-Timeout: 9000m\r\n\r\n")
        text = await client.reader.read()
        assert b"chunked" not in text
        assert text.partition(b"\r\n\r\n")[2] == LARGE_BODY

    run_with_peers(test, server_that_sends(RESPONSE_FRAMINGS["chunks"](LARGE_BODY)))


def test_a_streamed_response_continues_past_the_deadline():
    async def test(env) -> None:
        client = await env.client()
        client.send(left="150m")
        status, _, body = await client.answer()
        assert (status, body) == (200, LARGE_BODY)
        assert not env.node.dispatcher.requests

    async def slow(reader, writer) -> None:
        await read_message(reader)
        text = RESPONSE_FRAMINGS["length"](LARGE_BODY)
        for i in range(10):
            writer.write(text[i * 30_100 : (i + 1) * 30_100])
            await asyncio.sleep(0.04)

    run_with_peers(test, slow)


def test_a_truncated_streamed_response_fails_and_is_not_retried():
    attempts = []

    async def truncates(reader, writer) -> None:
        await read_message(reader)
        attempts.append(1)
        writer.write(RESPONSE_FRAMINGS["length"](LARGE_BODY)[:200_000])
        await writer.drain()
        writer.close()

    async def test(env) -> None:
        client = await env.client()
        client.send()
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
            await client.answer()
        await wait_until(lambda: not (env.node.dispatcher.requests))
        assert len(attempts) == 1
        assert env.node.dispatcher.statistics.final_answers["failed"] == 1
        assert max(s.failure_rate for s in env.node.dispatcher.balancer.subset.servers.values()) > 0

    run_with_peers(test, truncates, truncates)


def test_an_http_1_0_client_gets_a_reset_when_a_response_is_truncated():
    async def truncates(reader, writer) -> None:
        await read_message(reader)
        writer.write(RESPONSE_FRAMINGS["chunks"](LARGE_BODY)[:200_000])
        await writer.drain()
        writer.close()

    async def test(env) -> None:
        client = await env.client()
        client.writer.write(b"GET /read/1 HTTP/1.0\r\nX-Request-ID: r\r\nX-Timeout: 9000m\r\n\r\n")
        with pytest.raises(ConnectionError):
            await client.reader.read()

    run_with_peers(test, truncates)


def test_a_response_without_length_that_is_reset_is_retried():
    async def resets(reader, writer) -> None:
        await read_message(reader)
        writer.write(RESPONSE_FRAMINGS["close"](b"half"))
        await writer.drain()
        reset_connection(writer)

    async def test(env) -> None:
        client = await env.client()
        for _ in range(6):
            client.send()
            status, _, body = await client.answer()
            assert (status, body) == (200, b"good")

    good = server_that_sends(RESPONSE_FRAMINGS["length"](b"good"))
    run_with_peers(test, resets, good, good, good, good)


def test_a_response_that_stalls_at_its_server_is_abandoned(monkeypatch):
    monkeypatch.setattr(connection_pool, "STALL_TIMEOUT_US", 50_000)

    async def stalls(reader, writer) -> None:
        await read_message(reader)
        writer.write(RESPONSE_FRAMINGS["length"](LARGE_BODY)[:100_000])

    async def test(env) -> None:
        client = await env.client()
        client.send()
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
            await client.answer()
        await wait_until(lambda: not (env.node.dispatcher.requests or env.node.pool.open_connections))
        assert not env.node.pool.streaming

    run_with_peers(test, stalls)


def test_a_client_that_does_not_read_pauses_the_server_and_is_closed(monkeypatch):
    monkeypatch.setattr(connection_manager, "SLOW_READER_TIMEOUT_US", 300_000)
    written, stopped = [0], asyncio.Event()

    async def sends_large_response(reader, writer) -> None:
        await read_message(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 33000000\r\n\r\n")
        try:
            for _ in range(500):
                writer.write(b"x" * 66_000)
                await writer.drain()
                written[0] += 66_000
        except ConnectionError:
            stopped.set()

    async def test(env) -> None:
        client = await env.client()
        client.send()
        await asyncio.sleep(0)
        await stopped.wait()
        # The bytes written are in the kernel's buffers, including those of this test process, and not in the node.
        assert written[0] < 12_000_000
        await wait_until(lambda: not (env.node.client_connections.open))
        assert not env.node.dispatcher.requests
        assert not env.node.dispatcher.open_request_ids
        client.writer.close()

    run_with_peers(test, sends_large_response)


SHORT_DEADLINES = {
    "classes": [{**each, "hard_limit": 300_000} for each in SETTINGS["classes"]]  # type: ignore[attr-defined]
}


SETTLE_S = 0.05  # the time in which the kernel takes what it has room for


async def ask_until_last_bytes_wait(env, sock: socket.socket) -> bytes:
    """Asks for answers until the last bytes of one wait in the node; returns what was read.

    The end of a request does not tell where its last bytes are: the kernel may have taken them, as far as its buffer
    had room. Then another answer is asked for. Bytes that are in the node after the kernel has had the time to take
    some wait there until the client reads.
    """
    dispatcher, connections, received = env.node.dispatcher, env.node.client_connections, b""
    loop = asyncio.get_running_loop()
    while dispatcher.requests or not connections.unsent_bytes():
        if not dispatcher.requests:
            await loop.sock_sendall(sock, b"GET /read/1" + HEAD + b"\r\n")
            await wait_until(lambda: dispatcher.requests)
        received += await loop.sock_recv(sock, 8000)
        await asyncio.sleep(0.001 if dispatcher.requests else SETTLE_S)
    return received


@pytest.mark.parametrize("reads", [True, False], ids=["is read late", "is not read"])
def test_a_node_that_stops_ends_only_after_its_last_answers_have_left(reads, monkeypatch):
    # Guards against a restart that cuts off an answer whose client is still reading.
    # The kernel takes small parts whole, so that none wait in the node.
    monkeypatch.setattr(MemoryLedger, "read_bytes", lambda _: 1 << 18)
    monkeypatch.setattr(input_reader, "READ_VIEW", memoryview(bytearray(1 << 18)))
    monkeypatch.setattr(connection, "READ_VIEW", memoryview(bytearray(1 << 18)))
    if not reads:
        monkeypatch.setattr(graceful_shutdown, "SLOW_READER_TIMEOUT_S", 0.2)
    body = LARGE_BODY * 4

    async def test(env) -> None:
        loop, sock = asyncio.get_running_loop(), await connect_slow_reader(env.node.address)
        received = await ask_until_last_bytes_wait(env, sock)
        assert not env.node.dispatcher.requests
        assert env.node.client_connections.unsent_bytes() > 0
        env.node.stop_requested.set()
        await wait_until(lambda: all(c.transport.is_closing() for c in env.node.client_connections.open))
        if reads:
            await asyncio.sleep(0.5)
            assert not env.task.done()
            while part := await loop.sock_recv(sock, 1 << 20):
                received += part
            assert received.endswith(body)
            assert received.count(body) == received.count(b"HTTP/1.1 200 OK")
        await env.task
        sock.close()

    run_with_peers(test, server_that_sends(RESPONSE_FRAMINGS["length"](body)), settings=SHORT_DEADLINES)


def test_many_slow_clients_get_small_buffers_and_a_single_one_a_full_buffer():
    async def sends_large_response(reader, writer) -> None:
        try:
            while True:
                await read_message(reader)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 3000000\r\n\r\n" + b"x" * 3_000_000)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def test(env) -> None:
        pool = env.node.pool
        pool.set_streaming_budget(1 << 20)
        assert pool.initial_buffer_bytes == MIN_STREAM_BUFFER_BYTES
        clients = []
        for _ in range(40):
            client = await env.client()
            client.send()
            clients.append(client)
        streaming = list(pool.streaming)
        while len(streaming) < 15 or not all(c.read_paused for c in streaming):
            await asyncio.sleep(0.01)
            streaming = list(pool.streaming)
        buffered_bytes = [
            c.transport.get_write_buffer_size()
            for c in env.node.client_connections.open
            if c.transport is not None
        ]
        assert max(buffered_bytes) <= 3 * MIN_STREAM_BUFFER_BYTES
        assert pool.stream_buffer_bytes == MIN_STREAM_BUFFER_BYTES
        for client in clients:
            client.writer.transport.abort()
        await wait_until(lambda: not pool.streaming)
        pool.sweep()
        assert pool.stream_buffer_bytes == MAX_STREAM_BUFFER_BYTES
        # A single response gets the full buffer again and arrives completely.
        client = await env.client()
        client.send()
        assert len((await client.answer())[2]) == 3_000_000
        client.writer.close()

    run_with_peers(test, sends_large_response, sends_large_response)


def test_a_broken_response_ends_its_connection_although_a_socket_option_cannot_be_set(monkeypatch):
    """Guards against a client that waits for the rest of a response because setting SO_LINGER has failed."""

    async def breaks_off(reader, writer) -> None:
        await read_message(reader)
        writer.write(RESPONSE_FRAMINGS["chunks"](LARGE_BODY)[:100_000])
        await asyncio.sleep(0.1)
        reset_connection(writer)

    async def test(env) -> None:
        client = await env.client()
        client.send()
        await client.reader.readuntil(b"\r\n\r\n")
        monkeypatch.setattr(response_sender, "RESET_ON_CLOSE", b"")  # the kernel rejects it
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
            await client.reader.readexactly(1_000_000)

    run_with_peers(test, breaks_off)
