"""The X-Timeout sent to a server never exceeds the time that its client has left.

A request may wait unread while the process is stopped, in the listen backlog or behind other connections. If that
time did not count, the server would work past the client's timeout.
"""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
from node_support import (
    WATCH_RESPONSE_HEAD,
    Client,
    ScriptedServer,
    chunk,
    config_dict,
    entry,
    run,
    unanswered_discovery,
    update,
)

from harecross.downstream.listener import Listener
from harecross.downstream.read_delay import Heartbeat, ReadDelay, UnreadInterval
from harecross.platform.clock import monotonic_us
from harecross.platform.system_errors import AcceptFailure
from harecross.standins.cluster import NodeProcess
from harecross.standins.discovery import StandinDiscovery

SLACK = 0.15  # seconds
STOPPED_S = 0.35  # the process is stopped for this time
MS = 1000
OWN_PORT = 9100


def seconds(text: bytes) -> float:
    """Returns the seconds in an X-Timeout header in microseconds."""
    assert text.endswith(b"u")
    return int(text[:-1]) / 1e6


@asynccontextmanager
async def node_and_origin(folder: Path) -> AsyncIterator[tuple[NodeProcess, ScriptedServer]]:
    """Starts a node process with one server."""
    origin, catalog = await ScriptedServer().start(), await StandinDiscovery().start()
    catalog.put(entry("s0", origin.address))
    node = NodeProcess("n0", folder, config_dict(catalog.address, known=catalog.full_list()))
    try:
        await node.start(None)
        yield node, origin
    finally:
        await node.end()


@pytest.mark.parametrize("connection", ["kept", "new"])
def test_a_process_that_was_stopped_forwards_the_time_left_and_sends_nothing_after_the_deadline(
    connection, tmp_path
):
    async def test() -> None:
        async with node_and_origin(tmp_path) as (node, origin):
            clients = [await Client.open(node.address) for _ in range(2)]
            for client in clients:
                client.send("/read/1")
                (await origin.received.get()).answer()
                assert (await client.answer())[0] == 200
            node.signal(signal.SIGSTOP)
            await asyncio.sleep(0.05)
            if connection == "new":
                clients = [await Client.open(node.address) for _ in range(2)]
            sent = time.monotonic()
            clients[0].send("/read/1", left="800m")
            clients[1].send("/read/1", left="200m")
            await asyncio.sleep(STOPPED_S)
            node.signal(signal.SIGCONT)
            arrived = await origin.received.get()
            left = sent + 0.8 - time.monotonic()
            assert 0 < seconds(arrived.header(b"X-Timeout")) <= left + 0.03
            arrived.answer()
            assert (await clients[0].answer())[0] == 200
            assert (await clients[1].answer())[0] == 503
            assert origin.received.empty()

    run(test())


def test_the_timeout_of_a_streamed_body_counts_from_when_its_last_byte_arrived(tmp_path):
    async def test() -> None:
        async with node_and_origin(tmp_path) as (node, origin):
            client = await Client.open(node.address)
            client.writer.write(
                b"POST /put/1 HTTP/1.1\r\nHost: b\r\nX-Request-ID: r\r\nIdempotency-Key: k\r\nX-Timeout: 800m\r\n"
                b"Content-Length: 8\r\n\r\n1234"
            )
            await asyncio.sleep(0.2)  # the client writes slowly, and the timeout has not started
            node.signal(signal.SIGSTOP)
            client.writer.write(b"56")
            await asyncio.sleep(0.1)
            client.writer.write(b"78")
            sent = time.monotonic()
            await asyncio.sleep(STOPPED_S)
            node.signal(signal.SIGCONT)
            arrived = await origin.received.get()
            left = sent + 0.8 - time.monotonic()
            assert left - 0.1 < seconds(arrived.header(b"X-Timeout")) <= left + 0.03
            assert arrived.body == b"12345678"
            arrived.answer()
            assert (await client.answer())[0] == 200

    run(test())


def test_time_in_the_listen_backlog_counts_against_the_timeout(tmp_path):
    async def test() -> None:
        origin = await ScriptedServer().start()
        address, calls = await unanswered_discovery()
        known = update(41, entry("s0", origin.address), reset=True)
        listen = own_address()
        config = config_dict(address, known=known, listen="{}:{}".format(*listen))
        node = NodeProcess("n0", tmp_path, config)
        starting = asyncio.create_task(node.start(None))
        try:
            watch = await calls.get()  # the node is about to listen, and waits for its first endpoint list
            client = await open_when_listening(listen)
            sent = time.monotonic()
            client.send("/read/1", left="900m")
            await asyncio.sleep(0.25)
            watch.write(WATCH_RESPONSE_HEAD + chunk(b""))
            arrived = await origin.received.get()
            assert 0 < seconds(arrived.header(b"X-Timeout")) <= sent + 0.9 - time.monotonic() + 0.05
            arrived.answer()
            assert (await client.answer())[0] == 200
        finally:
            await starting
            await node.end()

    run(test())


def own_address() -> tuple[str, int]:
    """Returns an address of this test process alone, with a port that no outgoing connection gets."""
    pid = os.getpid()
    return f"127.77.{pid >> 8 & 255}.{pid & 255}", OWN_PORT


async def open_when_listening(address: tuple[str, int]) -> Client:
    """Connects as soon as a process listens."""
    while True:
        try:
            return await Client.open(address)
        except ConnectionRefusedError:
            await asyncio.sleep(0.005)


def test_time_behind_many_other_connections_counts_against_the_timeout():
    """Only a few connections are accepted per iteration of the event loop.

    The others may have waited since the backlog was last empty, and that time must count.
    """

    async def test() -> None:
        sock = socket.socket()
        sock.bind(("127.0.0.1", 0))
        sock.listen(100)
        heartbeat = Heartbeat()
        listener = Listener(sock, lambda waiting: asyncio.Protocol(), lambda: None, heartbeat)
        assert listener.accept() is AcceptFailure.NO_CONNECTION
        assert listener.waiting_since is None
        clients = [socket.create_connection(sock.getsockname()) for _ in range(3)]
        before, came_after = monotonic_us(), []
        for pause in (0.0, 0.05, 0.1):
            await asyncio.sleep(pause)
            accepted = listener.accept()
            assert isinstance(accepted, socket.socket)
            accepted.close()
            came_after.append(listener.earliest_arrival_us)
        assert before <= came_after[0] == came_after[1] == came_after[2], "since the first one was accepted"
        assert listener.accept() is AcceptFailure.NO_CONNECTION
        assert listener.waiting_since is None
        for client in clients:
            client.close()
        await listener.close()

    run(test())


class FakeSocket:
    """A socket whose TCP_INFO reports that its last bytes arrived `age_ms` ago; None makes `getsockopt` fail."""

    def __init__(self, age_ms: int | None) -> None:
        self.age_ms = age_ms

    def getsockopt(self, level: int, name: int, size: int) -> bytes:
        if self.age_ms is None:
            raise OSError
        return bytes(52) + self.age_ms.to_bytes(4, "little") + bytes(size - 56)


@pytest.mark.parametrize(
    ("loop_delay_ms", "age_ms", "delay_ms"),
    [
        (0, 500, 0),
        (20, 500, 0),
        (300, None, 300),
        (300, 0, 10),
        (300, 120, 130),
        (300, 9000, 300),
    ],
)
def test_the_delay_of_the_event_loop_limits_the_age_reported_by_the_kernel(loop_delay_ms, age_ms, delay_ms):
    heartbeat = Heartbeat()
    heartbeat.due = 1_000_000
    read_delay_us = ReadDelay(heartbeat).measure(1_000_000 + loop_delay_ms * MS, FakeSocket(age_ms))
    assert read_delay_us == delay_ms * MS


def test_a_new_connection_with_a_request_has_waited_with_its_listener():
    heartbeat = Heartbeat()
    heartbeat.due = 10_000_000
    delay = ReadDelay(heartbeat, UnreadInterval(reading_since_us=1_000_000, earliest_arrival_us=600_000))
    assert delay.measure(1_005_000, FakeSocket(None)) == 405 * MS
    assert delay.measure(1_005_000, FakeSocket(None)) == 0, "only its first bytes have waited"
    late = ReadDelay(heartbeat, UnreadInterval(reading_since_us=1_000_000, earliest_arrival_us=600_000))
    assert late.measure(1_500_000, FakeSocket(None)) == 0, "bytes that arrive later have not waited"


def test_a_wait_counts_until_all_that_waited_is_read():
    """Guards against a head that two reads bring, of which the second counts as fresh."""
    peer, own = socket.socketpair()
    with peer, own:
        peer.send(b"the rest")
        interval = UnreadInterval(reading_since_us=1_000_000, earliest_arrival_us=600_000)
        delay = ReadDelay(Heartbeat(), interval)
        assert delay.measure(1_001_000, FakeSocket(300), own.fileno()) == 401 * MS
        own.recv(100)
        assert delay.measure(1_002_000, FakeSocket(300), own.fileno()) == 310 * MS
        assert delay.measure(1_003_000, FakeSocket(300), own.fileno()) == 0


@pytest.mark.parametrize(("age_ms", "delay_ms"), [(310, 320), (900, 460), (1, 11)])
def test_the_kernel_tells_how_long_the_first_bytes_of_a_connection_have_waited(age_ms, delay_ms):
    """Guards against a wait in the backlog that is forgotten because the first read came late as well."""
    interval = UnreadInterval(reading_since_us=1_000_000, earliest_arrival_us=600_000)
    assert ReadDelay(Heartbeat(), interval).measure(1_060_000, FakeSocket(age_ms)) == delay_ms * MS
