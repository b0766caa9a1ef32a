"""Races of client requests with closes: shutdown, timeout sweeps and evictions for lack of descriptors.

A request may already be in the kernel, unread, when the node closes its connection. It must be answered.
"""

import asyncio
import select
import socket
import struct
import time

import pytest
from node_support import SETTINGS, NodeEnvironment, run_with_node
from race_support import (
    REQUEST_KIND_NAMES,
    REQUEST_KINDS,
    BlockingClient,
    DelayedConnects,
    cancel_settings,
    run_event_loop,
    wait_until_accepted,
)

from harecross.downstream import connection_manager, request_receiver
from harecross.node import shutdown_schedule
from harecross.platform.clock import monotonic_us

every_request_kind = pytest.mark.parametrize("kind", REQUEST_KINDS, ids=REQUEST_KIND_NAMES)
SHORT_DEADLINES = {
    "classes": [{**each, "goal_time": 300_000, "hard_limit": 400_000} for each in SETTINGS["classes"]]
}


async def status(client: BlockingClient) -> int:
    """Returns the status of the answer; 0 if the connection is closed without one."""
    client.sock.setblocking(False)
    loop, text = asyncio.get_running_loop(), b""
    try:
        while b"\r\n\r\n" not in text:
            data = await loop.sock_recv(client.sock, 65536)
            if not data:
                return 0
            text += data
    except ConnectionError:
        return 0
    return int(text.split(b" ")[1])


async def idle_client(env: NodeEnvironment) -> BlockingClient:
    """Returns a client that has received an answer and keeps its connection open."""
    client = BlockingClient(env.node.address)
    client.send("/_health")
    assert await status(client) == 200
    assert env.node.client_connections.idle
    return client


def run_before(owner, name: str, action, when=lambda: True) -> None:
    """Patches a method so that `action` runs once right before a call of it, in the same event loop iteration."""
    original, done = getattr(owner, name), []

    def call(*args, **named):
        if not done and when():
            done.append(1)
            action()
        return original(*args, **named)

    setattr(owner, name, call)


@every_request_kind
@pytest.mark.parametrize("path", ["drains immediately", "serves before draining"])
def test_a_request_that_races_with_the_close_of_an_idle_connection_at_shutdown_is_answered(
    kind, path, monkeypatch
):
    if path == "drains immediately":
        monkeypatch.setattr(shutdown_schedule, "MAX_DEADLINE_S", 0.2)

    async def test(env: NodeEnvironment) -> None:
        for origin in env.upstreams:
            origin.answer_all()
        client = await idle_client(env)
        run_before(env.node.client_connections, "close_idle", lambda: client.send(*kind))
        env.node.stop_requested.set()
        assert await status(client) == 200
        await env.task

    run_with_node(test, settings=SHORT_DEADLINES if path == "serves before draining" else None)


async def silent_client(env: NodeEnvironment) -> BlockingClient:
    """Returns a client whose accepted connection has sent nothing; the servers answer all requests."""
    for origin in env.upstreams:
        origin.answer_all()
    client = BlockingClient(env.node.address)
    await wait_until_accepted(env, 1)
    return client


@every_request_kind
def test_a_request_that_arrives_as_a_shutdown_closes_the_last_connections_is_answered(kind):
    """A connection without a request is kept open until the end; its first request arrives just before the close."""

    async def test(env: NodeEnvironment) -> None:
        client = await silent_client(env)
        run_before(env.node.client_connections, "has_open_requests", lambda: client.send(*kind))
        env.node.stop_requested.set()
        assert await status(client) == 200
        await env.task

    run_with_node(test, settings=SHORT_DEADLINES)


@every_request_kind
def test_connections_in_the_backlog_as_the_listener_closes_are_answered(kind):
    async def test(env: NodeEnvironment) -> None:
        for origin in env.upstreams:
            origin.answer_all()
        clients = []

        def connect_many() -> None:
            for _ in range(40):  # one iteration of the event loop accepts fewer
                clients.append(BlockingClient(env.node.address))
                clients[-1].send(*kind)

        run_before(env.node.client_connections, "drain_listener", connect_many)
        env.node.stop_requested.set()
        await env.task
        assert all([await status(client) in (200, 503) for client in clients])
        assert len(clients) == 40

    run_with_node(test, settings=SHORT_DEADLINES)


def test_connections_in_the_backlog_of_a_node_that_is_late_are_answered():
    """Guards against a backlog that is reset because the node has reached the deadline of its shutdown."""

    async def test(env: NodeEnvironment) -> None:
        for origin in env.upstreams:
            origin.answer_all()
        clients = []

        def connect_many_and_be_late() -> None:
            for _ in range(60):
                clients.append(BlockingClient(env.node.address))
                clients[-1].send()
            deadline_us = env.node.dispatcher.deadlines.shutdown_deadline_us
            assert deadline_us is not None
            while monotonic_us() < deadline_us:
                time.sleep(0.01)

        run_before(env.node.client_connections, "drain_listener", connect_many_and_be_late)
        env.node.stop_requested.set()
        await env.task
        assert all([await status(client) in (200, 503) for client in clients])
        assert len(clients) == 60

    run_with_node(test, settings=SHORT_DEADLINES)


def test_new_connections_are_refused_before_the_backlog_is_emptied():
    """Guards against connections that arrive as fast as a busy node accepts them, up to the close that resets them."""

    async def test(env: NodeEnvironment) -> None:
        connected = []

        def connect() -> None:
            with socket.socket() as client:
                client.setblocking(False)
                client.connect_ex(env.node.address)
                connected.append(bool(select.select([], [client], [], 0)[1]))

        run_before(env.node.client_connections, "drain_listener", connect)
        run_before(env.node.client_connections, "accept_until_empty", connect)
        env.node.stop_requested.set()
        await env.task
        assert connected == [True, False]

    run_with_node(test, settings=SHORT_DEADLINES)


@every_request_kind
@pytest.mark.parametrize("state", ["silent", "idle", "incomplete head"])
def test_a_request_that_races_with_a_timeout_sweep_is_answered(kind, state, monkeypatch):
    monkeypatch.setattr(connection_manager, "IDLE_TIMEOUT_US", 300_000)
    monkeypatch.setattr(connection_manager, "RECEIVE_TIMEOUT_US", 300_000)
    monkeypatch.setattr(request_receiver, "RECEIVE_TIMEOUT_US", 300_000)

    async def test(env: NodeEnvironment) -> None:
        for origin in env.upstreams:
            origin.answer_all()
        if state == "idle":
            client = await idle_client(env)
        else:
            client = BlockingClient(env.node.address)
            await wait_until_accepted(env, 1)
        if state == "incomplete head":
            messages = []
            client.sock, sock = type("RecordingSocket", (), {"sendall": messages.append})(), client.sock
            client.send(*kind)
            client.sock = sock
            client.sock.sendall(messages[0][:20])
            send = lambda: client.sock.sendall(messages[0][20:])  # noqa: E731
        else:
            send = lambda: client.send(*kind)  # noqa: E731
        (connection,) = env.node.client_connections.open
        manager = env.node.client_connections
        timed_out = lambda: manager.loop.time() > started + 0.35  # noqa: E731
        started = manager.loop.time()
        run_before(manager, "sweep", send, timed_out)
        sweep = env.node.sweeper.sweep
        while not timed_out():
            await run_event_loop(2)
            for since_us in (manager.silent, manager.receiving, manager.idle):
                if connection in since_us:  # it must not be swept before the race
                    since_us[connection] = max(since_us[connection], int((manager.loop.time() - 0.2) * 1e6))
        for since_us in (manager.silent, manager.receiving, manager.idle):
            if connection in since_us:
                since_us[connection] -= 10_000_000
        sweep()
        assert await status(client) == 200

    run_with_node(test)


@every_request_kind
def test_a_request_that_races_with_an_eviction_is_answered(kind):
    async def test(env: NodeEnvironment) -> None:
        for origin in env.upstreams:
            origin.answer_all()
        client, other = await idle_client(env), await idle_client(env)
        client.send(*kind)
        # The oldest idle connection would be evicted if no request had arrived on it.
        assert env.node.client_connections.evict_one()
        assert await status(client) == 200
        assert await status(other) == 0

    run_with_node(test)


@every_request_kind
@pytest.mark.parametrize("state", ["a connect is pending", "a retry is pending", "its server hangs"])
def test_a_shutdown_answers_a_request_that_is_in_progress(kind, state, monkeypatch):
    """The request is answered before the process would be killed, and is not sent to a server after its answer."""
    monkeypatch.setattr(shutdown_schedule, "COUNTED_FROM_S", 0.0)

    async def test(env: NodeEnvironment) -> None:
        client = BlockingClient(env.node.address)
        await wait_until_accepted(env, 1)
        delayed_connects = DelayedConnects(env.node.pool)
        env.node.stop_requested.set()
        await run_event_loop()
        client.send(*kind)
        await delayed_connects.started_connects.get()
        if state != "a connect is pending":
            delayed_connects.release()
            received = await env.upstreams[0].received.get()
        if state == "a retry is pending":
            delayed_connects.hold()
            received.answer(503, extra=b"X-Not-Processed: 1\r\nConnection: close\r\n")
            await run_event_loop()
        answered = await status(client)
        assert answered in (502, 503)
        delayed_connects.release()
        await env.task
        assert env.upstreams[0].received.empty()

    run_with_node(test, settings={**SHORT_DEADLINES, **cancel_settings(False)})


def test_a_client_that_resets_during_a_shutdown_does_not_delay_it():
    async def test(env: NodeEnvironment) -> None:
        client = BlockingClient(env.node.address)
        await wait_until_accepted(env, 1)

        def reset() -> None:
            client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            client.close()

        run_before(env.node.client_connections, "has_open_requests", reset)
        env.node.stop_requested.set()
        await env.task

    run_with_node(test, settings=SHORT_DEADLINES)


@every_request_kind
def test_a_first_request_that_races_with_the_sweep_of_a_standby_is_answered(kind):
    """A standby closes silent connections early, but not one whose first request arrived and was not read yet."""

    async def test(env: NodeEnvironment) -> None:
        client = await silent_client(env)
        manager = env.node.client_connections
        (connection,) = manager.silent
        manager.enter_standby()
        manager.standby_since -= connection_manager.STANDBY_DRAIN_US + 1
        manager.silent[connection] -= connection_manager.STANDBY_DRAIN_US
        client.send(*kind)
        manager.sweep()
        assert await status(client) == 200

    run_with_node(test)
