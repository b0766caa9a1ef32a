"""One client's input, and the input of many, takes a bounded share of each turn of the event loop."""

from __future__ import annotations

import asyncio
import socket

import pytest
from node_support import NodeEnvironment, run, run_with_node, wait_until

from benchmarks.other_clients import Crowd, Servers, measure
from harecross.downstream.client_connection import ClientConnection
from harecross.downstream.input_reader import EVENTS_PER_TURN
from harecross.downstream.request_receiver import RequestReceiver
from harecross.platform.memory_ledger import READ_BYTES, MemoryLedger
from harecross.soak.abusive_clients import HEALTH_CHECK, upload_head

# A turn of 50 ms, the slack that the protocol gives a node's sockets, holds more of each than this.
MAX_ANSWERS_PER_TURN = 64
MAX_CHUNKS_PER_TURN = 4_000
CONNECTIONS = 40


class TurnCounter:
    """Counts calls of a method by the turn of the event loop in which they happen."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, owner: type, method: str) -> None:
        self.calls = 0
        self.most = 0
        original = getattr(owner, method)

        def counted(*args, **more):
            self.calls += 1
            return original(*args, **more)

        monkeypatch.setattr(owner, method, counted)

    async def watch(self) -> None:
        """Notes the most calls of a turn, until it is cancelled."""
        while True:
            before = self.calls
            await asyncio.sleep(0)
            self.most = max(self.most, self.calls - before)


async def connect(env: NodeEnvironment) -> socket.socket:
    """Opens a non-blocking connection to the node."""
    sock = socket.socket()
    sock.settimeout(0)
    await asyncio.get_running_loop().sock_connect(sock, env.node.address)
    return sock


@pytest.mark.parametrize("read_bytes", [READ_BYTES, EVENTS_PER_TURN * len(HEALTH_CHECK)])
def test_pipelined_health_checks_take_a_bounded_share_of_a_turn(read_bytes, monkeypatch):
    """Guards against a turn in which all requests are answered, in one large read or in many that are just a share."""
    monkeypatch.setattr(MemoryLedger, "read_bytes", lambda _: read_bytes)
    counter = TurnCounter(monkeypatch, ClientConnection, "send_response")

    async def test(env: NodeEnvironment) -> None:
        watch = asyncio.create_task(counter.watch())
        client = await connect(env)
        loop = asyncio.get_running_loop()
        count = 3_000
        writing = asyncio.create_task(loop.sock_sendall(client, HEALTH_CHECK * count))
        answered = b""
        while answered.count(b"HTTP/1.1 200") < count:
            answered += await loop.sock_recv(client, 1 << 20)
        await writing
        assert 0 < counter.most <= MAX_ANSWERS_PER_TURN
        watch.cancel()
        client.close()

    run_with_node(test)


def test_tiny_chunks_of_many_connections_take_a_bounded_share_of_a_turn(monkeypatch):
    """Guards against connections that each keep to their own limits, and together fill a turn."""
    counter = TurnCounter(monkeypatch, RequestReceiver, "on_chunk_header")

    async def test(env: NodeEnvironment) -> None:
        watch = asyncio.create_task(counter.watch())
        clients = [await connect(env) for _ in range(CONNECTIONS)]
        loop = asyncio.get_running_loop()
        data = upload_head("Transfer-Encoding: chunked") + b"1\r\nx\r\n" * 4_000
        await asyncio.gather(*(loop.sock_sendall(client, data) for client in clients))
        await wait_until(lambda: counter.calls >= 4_000 * CONNECTIONS)
        assert 0 < counter.most <= MAX_CHUNKS_PER_TURN
        watch.cancel()
        for client in clients:
            client.close()

    run_with_node(test)


@pytest.mark.parametrize(
    ("kind", "clients"), [("health checks", 1), ("health checks", 6), ("tiny chunks", 400)]
)
def test_no_other_client_is_answered_late_while_some_flood_a_node(kind, clients):
    """Guards against floods that delay other clients' answers beyond their time, in a real process."""

    async def test() -> None:
        outcome = (await measure(Crowd(kind, clients, 2.5), memory_mb=192, servers=Servers(3))).outcome
        assert len(outcome.latencies) + outcome.refused > 0
        assert outcome.late == 0

    run(test())
