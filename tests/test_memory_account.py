"""The bytes that a node holds for its peers stay within its budget, whatever the peers do."""

from __future__ import annotations

import asyncio
import socket

import pytest
from node_support import NodeEnvironment, run, run_with_node, wait_until
from streaming_support import connect_slow_reader

from benchmarks.other_clients import Crowd, Servers, measure
from harecross.downstream import connection_manager
from harecross.http.body_buffer import MAX_BUFFERED_BODY_BYTES
from harecross.node.memory_report import held_bytes
from harecross.platform.memory_ledger import MemoryLedger
from harecross.soak.abusive_clients import WRITTEN_UPLOAD_BYTES, upload_head
from harecross.standins.http import read_message

MEMORY_MB = 96
ONE_READ_BYTES = 1 << 14
CLIENTS = 40
RESPONSE_BYTES = 60_000


def test_an_upload_is_dropped_when_its_request_is_answered_by_the_node():
    """Guards against bytes of a body that nothing reads any more and no budget counts."""

    async def test(env: NodeEnvironment) -> None:
        head = upload_head("Content-Length: 1000000", "same") + bytes(WRITTEN_UPLOAD_BYTES)
        first = await env.client()
        first.writer.write(head)
        await wait_until(lambda: env.node.dispatcher.requests)
        others = [await env.client() for _ in range(CLIENTS)]
        for other in others:
            other.writer.write(head)
            assert (await other.answer())[0] == 409
        assert held_bytes(env.node.parts)["upload"] <= MAX_BUFFERED_BODY_BYTES + ONE_READ_BYTES

    run_with_node(test)


def test_the_body_of_an_answered_request_is_not_kept():
    """Guards against bodies that idle connections keep until their next request."""

    async def test(env: NodeEnvironment) -> None:
        env.upstreams[0].answer_all()
        clients = [await env.client() for _ in range(CLIENTS)]
        for client in clients:
            client.send("/pay/1", body=bytes(50_000))
            assert (await client.answer())[0] == 200
        await asyncio.sleep(0.05)
        assert held_bytes(env.node.parts)["body"] == 0

    run_with_node(test)


@pytest.mark.parametrize(
    "kind", ["half uploads", "half uploads of one id", "half small bodies", "slow readers"]
)
def test_a_node_stays_within_half_of_the_memory_of_the_pages(kind):
    """Guards against many peers that together make a real process pass its limit."""

    async def test() -> None:
        memory = (await measure(Crowd(kind, 850, 4.0), MEMORY_MB, Servers(80))).memory
        assert memory is not None
        assert memory.peak < MEMORY_MB << 20

    run(test())


def test_a_small_body_is_taken_while_a_large_one_is_held():
    """Guards against ordinary clients that are refused because others keep large bodies in the node."""

    async def test(env: NodeEnvironment) -> None:
        env.upstreams[0].answer_all()
        ledger = env.node.client_connections.ledger
        large = await env.client()
        large.writer.write(upload_head("Content-Length: 60000").replace(b"/put/", b"/pay/") + bytes(50_000))
        await wait_until(lambda: ledger.bodies >= 50_000)
        env.node.client_connections.max_buffered_body_bytes = ledger.held
        ledger.on_growth = None
        small = await env.client()
        small.send("/pay/1", body=bytes(1_000))
        assert (await small.answer())[0] == 200
        assert (await large.answer())[0] == 503

    run_with_node(test)


@pytest.mark.parametrize("silent", [b"0\r\nt: ", b"1;"], ids=["trailer", "chunk extension"])
def test_a_field_without_end_behind_a_body_is_refused(silent):
    """Guards against bytes without limit that the parser keeps of a trailer or a chunk extension."""

    async def test(env: NodeEnvironment) -> None:
        client = await env.client()
        head = upload_head("Transfer-Encoding: chunked").replace(b"/put/", b"/pay/")
        client.writer.write(head + b"1\r\nx\r\n" + silent)
        await asyncio.sleep(0.05)
        client.writer.write(b"x" * 200_000)
        assert (await client.answer())[0] in (400, 413, 431)

    run_with_node(test)


@pytest.mark.parametrize("size", [9_000, 15_000])
def test_a_sound_trailer_is_accepted(size):
    """Guards against a limit on trailers that counts the body before them."""

    async def test(env: NodeEnvironment) -> None:
        env.upstreams[0].answer_all()
        client = await env.client()
        head = b"POST /pay/1 HTTP/1.1\r\nX-Request-ID: r\r\nX-Timeout: 900m\r\nTransfer-Encoding: chunked\r\n\r\n"
        body = b"%x\r\n%s\r\n" % (20_000, bytes(20_000))
        client.writer.write(head + body + b"0\r\nt: " + b"x" * size + b"\r\n\r\n")
        assert (await client.answer())[0] == 200

    run_with_node(test)


async def pipeline(sock: socket.socket, requests: int) -> None:
    """Sends several requests at once."""
    for i in range(requests):
        text = b"GET /read/1 HTTP/1.1\r\nX-Request-ID: n%d\r\nX-Timeout: 9000m\r\n\r\n" % i
        await asyncio.get_running_loop().sock_sendall(sock, text)


def test_a_client_whose_requests_wait_and_that_reads_nothing_is_closed(monkeypatch):
    """Guards against requests that wait for their reader, and a connection that no timeout closes."""
    monkeypatch.setattr(MemoryLedger, "is_short", property(lambda _: True))
    monkeypatch.setattr(connection_manager, "SLOW_READER_TIMEOUT_US", 300_000)

    async def test(env: NodeEnvironment) -> None:
        sock = await connect_slow_reader(env.node.address)
        await pipeline(sock, 2)
        (await env.upstreams[0].received.get()).answer(body=bytes(RESPONSE_BYTES))
        await wait_until(lambda: not env.node.client_connections.open)
        assert env.upstreams[0].received.empty()
        sock.close()

    run_with_node(test)


def test_a_request_that_waited_for_its_reader_is_not_timed_out_with_it(monkeypatch):
    """Guards against a request that is lost with its connection, because the one before it was read late."""
    short = [True]
    monkeypatch.setattr(MemoryLedger, "is_short", property(lambda _: short[0]))
    monkeypatch.setattr(connection_manager, "SLOW_READER_TIMEOUT_US", 300_000)

    async def test(env: NodeEnvironment) -> None:
        sock = await connect_slow_reader(env.node.address)
        await pipeline(sock, 2)
        (await env.upstreams[0].received.get()).answer(body=bytes(RESPONSE_BYTES))
        await wait_until(lambda: env.node.client_connections.slow_readers)
        short[0] = False
        request = await env.upstreams[0].received.get()
        await asyncio.sleep(0.8)
        request.answer()
        reader, writer = await asyncio.open_connection(sock=sock)
        async with asyncio.timeout(2):
            assert [(await read_message(reader))[0].split(b" ")[1] for _ in range(2)] == [b"200"] * 2
        writer.close()

    run_with_node(test)
