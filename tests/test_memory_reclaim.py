"""Which bodies are refused when memory is short."""

from __future__ import annotations

import asyncio

from node_support import NodeEnvironment, run_with_node, wait_until
from streaming_support import run_with_peers

from harecross.downstream.connection_manager import ConnectionManager

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n"
ANSWER_PART_BYTES = 100_000
UPLOAD_PART_BYTES = 50_000


def head(name: str, size: int) -> bytes:
    """Returns the head of a request whose body is sent to a server as soon as it is complete."""
    text = (
        f"POST /pay/1 HTTP/1.1\r\nX-Request-ID: {name}\r\nX-Timeout: 9000m\r\nContent-Length: {size}\r\n\r\n"
    )
    return text.encode()


async def received(manager: ConnectionManager, size: int) -> None:
    """Waits until bodies of this size are held."""
    await wait_until(lambda: manager.ledger.bodies >= size)


def test_the_body_that_is_received_is_refused_and_not_one_that_a_server_has():
    """Guards against a refusal that frees nothing, of a client that sends a small body behind a complete one."""

    async def test(env: NodeEnvironment) -> None:
        manager = env.node.client_connections
        first, second = await env.client(), await env.client()
        first.writer.write(head("first", 60_000) + bytes(60_000))
        request = await env.upstreams[0].received.get()
        first.writer.write(head("behind", 6_000) + bytes(5_000))
        await received(manager, 65_000)
        second.writer.write(head("second", 60_000) + bytes(30_000))
        await received(manager, 95_000)
        assert manager.shed_large_bodies(20_000) == 30_000
        assert (await second.answer())[0] == 503
        request.answer()
        assert (await first.answer())[0] == 200
        first.writer.write(bytes(1_000))
        (await env.upstreams[0].received.get()).answer()
        assert (await first.answer())[0] == 200

    run_with_node(test)


async def answer_before_the_end(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answers a request as soon as a part of its body has arrived."""
    await reader.readuntil(b"\r\n\r\n")
    writer.write(ANSWER + bytes(ANSWER_PART_BYTES))
    await reader.read(1)
    await asyncio.sleep(60)


def test_an_upload_whose_answer_has_begun_is_not_refused():
    """Guards against an answer that is cut off, for an upload that is still received."""

    async def test(env: NodeEnvironment) -> None:
        reader, writer = await asyncio.open_connection(*env.node.address)
        writer.write(head("upload", 1_000_000) + bytes(UPLOAD_PART_BYTES))
        await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(ANSWER_PART_BYTES)
        writer.write(bytes(UPLOAD_PART_BYTES))
        manager = env.node.client_connections
        await received(manager, UPLOAD_PART_BYTES)
        manager.shed_large_bodies(1)
        await asyncio.sleep(0.05)
        assert manager.open
        writer.close()

    run_with_peers(test, answer_before_the_end)
