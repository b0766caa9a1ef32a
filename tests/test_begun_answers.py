"""Answers that have begun when a deadline comes, and uploads whose servers read slowly, over loopback sockets."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest
from node_support import NodeEnvironment, wait_until
from streaming_support import RESPONSE_FRAMINGS, Peer, chunked, run_with_peers

from harecross.standins.http import read_message

ANSWER = bytes(i * 7 % 251 for i in range(160_000))
FRAMINGS_WITHOUT_LENGTH = ["chunks", "close"]
# An answer may be held back for less than this ("Less room"), and may come late by less than this (STANDING).
MAX_HOLD_S = 2.0
ANSWER_GRACE_S = 0.5


def slow_answer(framing: str, first_bytes: int, pause_s: float, requests: list[bytes]) -> Peer:
    """Returns a server that writes the first bytes of its answer at once, and the rest after a pause."""

    async def peer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head, _ = await read_message(reader)
                requests.append(head)
                text = RESPONSE_FRAMINGS[framing](ANSWER)
                writer.write(text[:first_bytes])
                await asyncio.sleep(pause_s)
                writer.write(text[first_bytes:])
                if framing == "close":
                    writer.close()
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    return peer


@pytest.mark.parametrize("framing", FRAMINGS_WITHOUT_LENGTH)
@pytest.mark.parametrize("first_bytes", [75, 9_000, 15_000])
@pytest.mark.parametrize("path", ["/read/1", "/pay/1"])
def test_an_answer_of_unknown_length_that_has_begun_is_passed_on_at_the_deadline(path, first_bytes, framing):
    """Guards against a sound answer that is cut off because few of its bytes came before the deadline."""
    requests: list[bytes] = []

    async def test(env: NodeEnvironment) -> None:
        client = await env.client()
        client.send(path, left="400m")
        status, _, body = await client.answer()
        assert (status, body) == (200, ANSWER)
        assert len(requests) == 1
        await wait_until(lambda: not env.node.dispatcher.requests)

    run_with_peers(test, slow_answer(framing, first_bytes, 1.0, requests))


def test_a_per_try_timeout_does_not_cut_off_an_answer_that_has_begun():
    """Guards against an attempt that is cancelled as lost while its server writes the answer."""
    requests: list[bytes] = []

    async def test(env: NodeEnvironment) -> None:
        client = await env.client()
        client.send(left="4000m")
        await wait_until(lambda: requests)
        await asyncio.sleep(0.1)
        (request,) = env.node.dispatcher.requests.values()
        env.node.dispatcher.cancel(request.id, 0)
        assert (await client.answer())[2] == ANSWER
        assert len(requests) == 1

    run_with_peers(test, slow_answer("chunks", 9_000, 0.4, requests))


def test_an_answer_that_has_begun_is_not_held_back_until_a_late_deadline():
    """Guards against the first bytes of a large answer that wait in the node for as long as its deadline is away."""

    async def test(env: NodeEnvironment) -> None:
        client = await env.client()
        began = time.monotonic()
        client.send(left="20000m")
        await client.reader.readuntil(b"\r\n\r\n")
        assert time.monotonic() - began < MAX_HOLD_S

    run_with_peers(test, slow_answer("chunks", 9_000, 3.0, []))


def slow_reader(bytes_per_s: int) -> Peer:
    """Returns a server that reads requests slowly, and never answers."""

    async def peer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 16)
        try:
            while await reader.read(bytes_per_s // 50):
                await asyncio.sleep(0.02)
        except ConnectionError:
            pass
        writer.close()

    return peer


@pytest.mark.parametrize("framing", ["length", "chunks"])
@pytest.mark.parametrize(("rate", "size"), [(4_000_000, 16_000_000), (1_000_000, 3_000_000)])
def test_a_body_that_a_server_reads_slowly_is_answered_in_time_after_its_last_byte(rate, size, framing):
    """Guards against a timeout that begins anew with each part that the node reads from the client's kernel."""
    timeout_s = 1.0

    async def test(env: NodeEnvironment) -> None:
        loop = asyncio.get_running_loop()
        client = socket.socket()
        client.settimeout(0)
        await loop.sock_connect(client, env.node.address)
        head = b"POST /put/1 HTTP/1.1\r\nX-Request-ID: r\r\nX-Timeout: 1000m\r\nIdempotency-Key: k\r\n"
        if framing == "length":
            data = head + b"Content-Length: %d\r\n\r\n" % size + bytes(size)
        else:
            data = head + b"Transfer-Encoding: chunked\r\n\r\n" + chunked(bytes(size), 50_000)
        await loop.sock_sendall(client, data)
        written = time.monotonic()
        assert (await loop.sock_recv(client, 100)).startswith(b"HTTP/1.1 5")
        assert time.monotonic() - written < timeout_s + ANSWER_GRACE_S
        client.close()

    run_with_peers(test, slow_reader(rate))
