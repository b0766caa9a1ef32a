"""Clients that leave behind unread bytes, and IDs that come again after their client has left."""

from __future__ import annotations

import asyncio
import socket

import pytest
from node_support import (
    Client,
    NodeEnvironment,
    ReceivedRequest,
    ScriptedDiscovery,
    ScriptedServer,
    config_dict,
    entry,
    run,
    run_with_node,
    update,
    wait_until,
)
from race_support import DelayedConnects
from streaming_support import chunked, run_with_peers

from harecross.node.config import config_from
from harecross.node.node import Node
from harecross.node.options import NodeOptions
from harecross.upstream.connection import ServerConnection
from harecross.upstream.exchange import Exchange

# An attempt may begin up to 0.1 s after its client has closed; the rest is for the machine.
SETTLE_S = 0.4
GET = b"GET /read/1 HTTP/1.1\r\nX-Request-ID: %s\r\nX-Timeout: 9000m\r\n\r\n"
UPLOAD = (
    b"POST /put/1 HTTP/1.1\r\nX-Request-ID: upload\r\nX-Timeout: 9000m\r\nIdempotency-Key: k\r\n"
    b"Content-Length: 30000000\r\n\r\n"
)
BEHIND = {"an upload": UPLOAD + bytes(30_000_000), "junk": b"\0" * 30_000_000, "nothing": b""}
NOT_PROCESSED = b"X-Not-Processed: 1\r\n"


class LeavingClient:
    """A client that writes as much as its connection takes, and closes it."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.sock = socket.create_connection(address)
        self.sock.settimeout(0)

    async def write(self, data: bytes) -> None:
        """Writes until the kernel takes no more for some time."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(0.3):
                await loop.sock_sendall(self.sock, data)
        except TimeoutError:
            pass


async def no_further_request(servers: list[ScriptedServer]) -> None:
    """Checks that no server receives a request."""
    await asyncio.sleep(SETTLE_S)
    assert [server.received.qsize() for server in servers] == [0] * len(servers)


def answer_if_open(received: ReceivedRequest, status: int = 200, extra: bytes = b"") -> None:
    """Answers a request unless the node has given up the attempt."""
    if not received.writer.is_closing():
        received.answer(status, extra=extra)


async def received_by(servers: list[ScriptedServer]) -> ReceivedRequest:
    """Returns a request that some server has received."""
    await wait_until(lambda: any(server.received.qsize() for server in servers))
    return next(server.received.get_nowait() for server in servers if server.received.qsize())


@pytest.mark.parametrize("behind", sorted(BEHIND))
def test_no_further_attempt_begins_for_a_client_that_left_behind_unread_bytes(behind):
    """Guards against a close that is not seen because unread bytes stand before it."""

    async def test(env: NodeEnvironment) -> None:
        client = LeavingClient(env.node.address)
        await client.write(GET % b"first")
        received = await received_by(env.upstreams)
        await client.write(BEHIND[behind])
        client.sock.close()
        await asyncio.sleep(SETTLE_S)
        answer_if_open(received, 503, NOT_PROCESSED)
        await no_further_request(env.upstreams)

    run_with_node(test, servers=3)


@pytest.mark.parametrize("behind", sorted(BEHIND))
def test_no_queued_request_is_sent_for_a_client_that_left_behind_unread_bytes(behind):
    """Guards against pipelined requests that are forwarded after their client has closed."""

    async def test(env: NodeEnvironment) -> None:
        client = LeavingClient(env.node.address)
        await client.write(GET % b"first")
        received = await received_by(env.upstreams)
        await client.write(GET % b"second" + BEHIND[behind])
        client.sock.close()
        await asyncio.sleep(SETTLE_S)
        answer_if_open(received)
        await no_further_request(env.upstreams)

    run_with_node(test, servers=3)


@pytest.mark.parametrize(
    "sent", [BEHIND["an upload"], GET % b"first" + BEHIND["junk"]], ids=["upload", "safe"]
)
def test_no_first_attempt_begins_for_a_client_that_left_while_its_connection_was_opened(sent, monkeypatch):
    """Guards against a close behind unread bytes while a server is reached late."""
    started: list[Exchange] = []
    start = ServerConnection.start

    def recorded(connection: ServerConnection, exchange: Exchange, now: int) -> None:
        started.append(exchange)
        start(connection, exchange, now)

    monkeypatch.setattr(ServerConnection, "start", recorded)

    async def test(env: NodeEnvironment) -> None:
        delayed_connects = DelayedConnects(env.node.pool)
        client = LeavingClient(env.node.address)
        await client.write(sent)
        client.sock.close()
        await asyncio.sleep(SETTLE_S)
        delayed_connects.release()
        await wait_until(lambda: not env.node.dispatcher.requests)
        assert not started

    run_with_node(test, servers=3)


@pytest.mark.parametrize("framing", ["length", "chunks"])
def test_the_last_bytes_of_an_upload_are_not_sent_for_a_client_that_has_left(framing):
    """Guards against a server that runs a slowly read request long after its client has closed."""
    body = bytes(12_000_000)
    received: list[bytes] = []
    ended: list[bool] = []

    async def slow_server(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 16)
        while data := await reader.read(100_000):
            received.append(data)
            await asyncio.sleep(0.02)
        ended.append(True)
        writer.close()

    async def test(env: NodeEnvironment) -> None:
        client = LeavingClient(env.node.address)
        head = UPLOAD.replace(b"30000000", b"%d" % len(body))
        if framing == "length":
            data = head + body
        else:
            head = head.replace(b"Content-Length: %d" % len(body), b"Transfer-Encoding: chunked")
            data = head + chunked(body, 50_000)
        await asyncio.get_running_loop().sock_sendall(client.sock, data)
        client.sock.close()
        await wait_until(lambda: ended)
        text = b"".join(received)
        complete = text.endswith(b"0\r\n\r\n") if framing == "chunks" else text.count(b"\0") == len(body)
        assert not complete

    run_with_peers(test, slow_server)


REPEATED = [("/pay/1", ""), ("/put/1", "k")]


@pytest.mark.parametrize("pause_s", [0.0, 0.3])
@pytest.mark.parametrize(("path", "key"), REPEATED)
@pytest.mark.parametrize("answered", [True, False], ids=["run to its end", "still running"])
def test_an_id_that_may_have_run_does_not_run_again_after_its_client_has_left(path, key, pause_s, answered):
    """Guards against an ID that is forgotten although no client got the answer."""

    async def test(env: NodeEnvironment) -> None:
        first = await env.client()
        first.send(path, key=key, X_Request_ID="same")
        received = await received_by(env.upstreams)
        first.writer.close()
        await wait_until(lambda: not env.node.client_connections.open)
        if answered:
            answer_if_open(received)
        await asyncio.sleep(pause_s)
        again = await env.client()
        again.send(path, left="1500m", key=key, X_Request_ID="same")
        assert (await again.answer())[0] == 409
        await no_further_request(env.upstreams)

    run_with_node(test, servers=2)


def test_an_id_that_never_ran_may_come_again():
    """Guards against refusing a request whose every attempt was turned away."""

    async def test(env: NodeEnvironment) -> None:
        for _ in range(2):
            client = await env.client()
            client.send("/pay/1", X_Request_ID="same")
            for _ in range(3):
                (await received_by(env.upstreams)).answer(503, extra=NOT_PROCESSED)
            assert (await client.answer())[0] == 503

    run_with_node(test, servers=3)


def test_an_id_that_may_have_run_does_not_run_again_at_the_other_process(tmp_path):
    """Guards against an ID that only the process knows which ran it."""

    async def test() -> None:
        servers = [await ScriptedServer().start() for _ in range(2)]
        discovery = await ScriptedDiscovery().start()
        known = update(41, *(entry(f"s{i}", s.address) for i, s in enumerate(servers)), reset=True)
        nodes = []
        for _ in range(2):
            config = config_dict(discovery.address, known=known, admin="127.0.0.1:0")
            nodes.append(Node(config_from(config), NodeOptions(state_folder=str(tmp_path))))
        tasks = [asyncio.create_task(node.run()) for node in nodes]
        for node in nodes:
            await node.started.wait()
        for number, (here, there) in enumerate([nodes, reversed(nodes)]):
            first = await Client.open(here.address)
            first.send("/pay/1", X_Request_ID=f"same-{number}")
            received = await received_by(servers)
            first.writer.close()
            while here.client_connections.open:
                await asyncio.sleep(0.005)
            answer_if_open(received)
            again = await Client.open(there.address)
            again.send("/pay/1", left="1500m", X_Request_ID=f"same-{number}")
            assert (await again.answer())[0] == 409
            await no_further_request(servers)
        for task in tasks:
            task.cancel()

    run(test())


def test_no_attempt_begins_for_a_client_that_left_while_its_connection_waited_in_the_backlog():
    """Guards against bytes that count as fresh because their connection was accepted late."""

    async def test(env: NodeEnvironment) -> None:
        listener = env.node.client_connections.listener
        assert listener is not None
        listener.stop()
        client = LeavingClient(env.node.address)
        await client.write(GET % b"first" + BEHIND["an upload"])
        client.sock.close()
        await asyncio.sleep(SETTLE_S)
        listener.start()
        await no_further_request(env.upstreams)

    run_with_node(test, servers=2)


def test_a_client_that_stayed_gets_its_answer_although_its_close_could_have_been_hidden():
    """Guards against a refused request whose answer nobody writes."""

    async def test(env: NodeEnvironment) -> None:
        listener = env.node.client_connections.listener
        assert listener is not None
        listener.stop()
        client = LeavingClient(env.node.address)
        await client.write(GET % b"first" + BEHIND["an upload"])
        await asyncio.sleep(SETTLE_S)
        listener.start()
        async with asyncio.timeout(2.0):
            answer = await asyncio.get_running_loop().sock_recv(client.sock, 1000)
        assert answer.startswith(b"HTTP/1.1 503 ")
        client.sock.close()

    run_with_node(test, servers=2)
