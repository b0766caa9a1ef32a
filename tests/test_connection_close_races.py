"""A stop, a sweep or a lack of room that meets a request in the kernel: what has been taken is answered."""

import asyncio
import socket
import struct

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

every_kind = pytest.mark.parametrize("kind", REQUEST_KINDS, ids=REQUEST_KIND_NAMES)
QUICK = {"classes": [{**c, "goal_time": 300_000, "hard_limit": 400_000} for c in SETTINGS["classes"]]}


async def status(client: BlockingClient) -> int:
    """That of the answer; 0 where the connection ends without one."""
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


async def served(w: NodeEnvironment) -> BlockingClient:
    """A caller that has had an answer and keeps its connection."""
    client = BlockingClient(w.node.address)
    client.send("/_health")
    assert await status(client) == 200
    assert w.node.client_connections.idle
    return client


def before(owner, name: str, what, when=lambda: True) -> None:
    """Does `what` once, right before that call, in the same turn of the loop."""
    real, done = getattr(owner, name), []

    def call(*args, **named):
        if not done and when():
            done.append(1)
            what()
        return real(*args, **named)

    setattr(owner, name, call)


@every_kind
@pytest.mark.parametrize("path", ["goes at once", "serves on"])
def test_a_request_that_crosses_the_close_of_an_idle_connection_at_a_shutdown_is_answered(
    kind, path, monkeypatch
):
    if path == "goes at once":
        monkeypatch.setattr(shutdown_schedule, "MAX_DEADLINE_S", 0.2)

    async def test(w: NodeEnvironment) -> None:
        for origin in w.upstreams:
            origin.answer_all()
        client = await served(w)
        before(w.node.client_connections, "close_idle", lambda: client.send(*kind))
        w.node.stop_requested.set()
        assert await status(client) == 200
        await w.task

    run_with_node(test, settings=QUICK if path == "serves on" else None)


async def silent_client(w: NodeEnvironment) -> BlockingClient:
    """A client whose connection the node has taken and who has said nothing; servers answer whatever comes."""
    for origin in w.upstreams:
        origin.answer_all()
    client = BlockingClient(w.node.address)
    await wait_until_accepted(w, 1)
    return client


@every_kind
def test_a_request_that_comes_as_a_shutdown_closes_the_last_connections_is_answered(kind):
    """A connection that has said nothing yet is kept to the end; its first request lies in the kernel by then."""

    async def test(w: NodeEnvironment) -> None:
        client = await silent_client(w)
        before(w.node.client_connections, "has_open_requests", lambda: client.send(*kind))
        w.node.stop_requested.set()
        assert await status(client) == 200
        await w.task

    run_with_node(test, settings=QUICK)


@every_kind
def test_connections_in_the_backlog_as_the_listener_closes_are_answered(kind):
    async def test(w: NodeEnvironment) -> None:
        for origin in w.upstreams:
            origin.answer_all()
        clients = []

        def come() -> None:
            for _ in range(40):  # more than are taken in one go
                clients.append(BlockingClient(w.node.address))
                clients[-1].send(*kind)

        before(w.node.client_connections, "drain_listener", come)
        w.node.stop_requested.set()
        await w.task
        assert all([await status(c) in (200, 503) for c in clients])
        assert len(clients) == 40

    run_with_node(test, settings=QUICK)


@every_kind
@pytest.mark.parametrize("group", ["silent", "resting", "half a head"])
def test_a_request_that_crosses_a_timeout_sweep_is_answered(kind, group, monkeypatch):
    monkeypatch.setattr(connection_manager, "IDLE_TIMEOUT_US", 300_000)
    monkeypatch.setattr(connection_manager, "RECEIVE_TIMEOUT_US", 300_000)
    monkeypatch.setattr(request_receiver, "RECEIVE_TIMEOUT_US", 300_000)

    async def test(w: NodeEnvironment) -> None:
        for origin in w.upstreams:
            origin.answer_all()
        if group == "resting":
            client = await served(w)
        else:
            client = BlockingClient(w.node.address)
            await wait_until_accepted(w, 1)
        if group == "half a head":
            whole = []
            client.sock, real = type("Half", (), {"sendall": whole.append})(), client.sock
            client.send(*kind)
            client.sock = real
            client.sock.sendall(whole[0][:20])
            send = lambda: client.sock.sendall(whole[0][20:])  # noqa: E731
        else:
            send = lambda: client.send(*kind)  # noqa: E731
        (one,) = w.node.client_connections.open
        groups = w.node.client_connections
        old = lambda: groups.loop.time() > began + 0.35  # noqa: E731
        began = groups.loop.time()
        before(groups, "sweep", send, old)
        real_tick = w.node.sweeper.sweep
        while not old():
            await run_event_loop(2)
            for held in (groups.silent, groups.receiving, groups.idle):
                if one in held:  # not swept before the crossing
                    held[one] = max(held[one], int((groups.loop.time() - 0.2) * 1e6))
        for held in (groups.silent, groups.receiving, groups.idle):
            if one in held:
                held[one] -= 10_000_000
        real_tick()
        assert await status(client) == 200

    run_with_node(test)


@every_kind
def test_a_request_that_crosses_an_eviction_is_answered(kind):
    async def test(w: NodeEnvironment) -> None:
        for origin in w.upstreams:
            origin.answer_all()
        client, other = await served(w), await served(w)
        client.send(*kind)
        assert w.node.client_connections.evict_one()  # the oldest at rest, were it not for what lies on it
        assert await status(client) == 200
        assert await status(other) == 0

    run_with_node(test)


@every_kind
@pytest.mark.parametrize("what", ["a connect is pending", "a repeat is due", "its server hangs"])
def test_a_shutdown_answers_a_request_that_is_in_progress(kind, what, monkeypatch):
    """Late for the kill, it is answered before it; nothing is written for it after its answer."""
    monkeypatch.setattr(shutdown_schedule, "COUNTED_FROM_S", 0.0)

    async def test(w: NodeEnvironment) -> None:
        client = BlockingClient(w.node.address)
        await wait_until_accepted(w, 1)
        held = DelayedConnects(w.node.pool)
        w.node.stop_requested.set()
        await run_event_loop()
        client.send(*kind)
        await held.started_connects.get()
        if what != "a connect is pending":
            held.release()
            at = await w.upstreams[0].received.get()
        if what == "a repeat is due":
            held.hold()
            at.answer(503, extra=b"X-Not-Processed: 1\r\nConnection: close\r\n")
            await run_event_loop()
        answered = await status(client)
        assert answered in (502, 503)
        held.release()
        await w.task
        assert w.upstreams[0].received.empty()

    run_with_node(test, settings={**QUICK, **cancel_settings(False)})


def test_a_client_that_resets_during_a_shutdown_does_not_delay_it():
    async def test(w: NodeEnvironment) -> None:
        client = BlockingClient(w.node.address)
        await wait_until_accepted(w, 1)

        def reset() -> None:
            client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            client.close()

        before(w.node.client_connections, "has_open_requests", reset)
        w.node.stop_requested.set()
        await w.task

    run_with_node(test, settings=QUICK)


@every_kind
def test_a_first_request_that_crosses_the_sweep_of_a_standby_is_answered(kind):
    """A silent connection is closed early by a standby, unless its request has come and is only not read yet."""

    async def test(w: NodeEnvironment) -> None:
        client = await silent_client(w)
        groups = w.node.client_connections
        (one,) = groups.silent
        groups.enter_standby()
        groups.standby_since -= connection_manager.STANDBY_DRAIN_US + 1
        groups.silent[one] -= connection_manager.STANDBY_DRAIN_US
        client.send(*kind)
        groups.sweep()
        assert await status(client) == 200

    run_with_node(test)
