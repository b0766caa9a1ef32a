"""The descriptor budget under load: how descriptors are shared, which connections are evicted, and which wait."""

from __future__ import annotations

import asyncio
import socket

import pytest
from hypothesis import given
from hypothesis import strategies as st
from node_support import Client, run_with_node, wait_until

from harecross.downstream import connection_manager
from harecross.downstream.connection_manager import BacklogState
from harecross.platform.descriptor_budget import DescriptorBudget
from harecross.platform.system_errors import AcceptFailure

PARTIAL_HEAD = b"GET /read/1 HTTP/1.1\r\nX-Request-ID: r"


@given(st.integers(16, 2000), st.lists(st.sampled_from(["caller", "server", "gone", "done"]), max_size=400))
def test_each_side_keeps_its_reserve_and_both_stay_within_the_budget(total, steps):
    budget = DescriptorBudget(total)
    for step in steps:
        if step == "caller" and budget.client_connection_fits():
            budget.client_connections += 1
        elif step == "server" and budget.upstream_connection_fits():
            budget.upstream_connections += 1
        elif step == "gone" and budget.client_connections:
            budget.client_connections -= 1
        elif step == "done" and budget.upstream_connections:
            budget.upstream_connections -= 1
        assert budget.client_connections + budget.upstream_connections <= total
        assert budget.client_connections <= total - total // 4
        assert budget.upstream_connections <= total - total // 3
        # A side that holds less than its reserve always gets the next descriptor.
        assert (
            budget.client_connections >= min(total // 3, total // 4)
            or budget.client_connection_fits()
            or budget.upstream_connections > total // 2
        )
        assert budget.upstream_connections >= total // 4 or budget.upstream_connection_fits()


async def send_partial_head(client: Client, text: bytes) -> Client:
    client.writer.write(text)
    await client.writer.drain()
    return client


def test_stalled_heads_are_evicted_and_slow_ones_are_served(monkeypatch):
    monkeypatch.setattr(connection_manager, "STALLED_HEAD_US", 1_000_000)
    monkeypatch.setattr(connection_manager, "DESCRIPTOR_WAIT_US", 20_000_000)

    async def test(env) -> None:
        env.upstreams[0].answer_all()
        slow = await env.client()
        text = b"GET /read/1 HTTP/1.1\r\nX-Request-ID: slow\r\nX-Timeout: 9000m\r\n\r\n"

        async def write_slowly() -> None:
            for i in range(0, len(text), 4):
                slow.writer.write(text[i : i + 4])
                await asyncio.sleep(0.04)

        writing = asyncio.create_task(write_slowly())
        env.node.descriptor_budget.total = 16
        stalled = [await send_partial_head(await env.client(), PARTIAL_HEAD) for _ in range(40)]
        client = await env.client()
        client.send()
        assert (await client.answer())[0] == 200  # the connection waits for a descriptor and is then served
        await writing
        assert (await slow.answer())[0] == 200
        await wait_until(
            lambda: (
                env.node.descriptor_budget.client_connections
                + env.node.descriptor_budget.upstream_connections
                <= 16
            )
        )
        for other in stalled:
            other.writer.close()

    run_with_node(test)


def test_a_new_connection_waits_for_a_descriptor_and_is_served(monkeypatch):
    monkeypatch.setattr(connection_manager, "DESCRIPTOR_WAIT_US", 20_000_000)

    async def test(env) -> None:
        env.node.descriptor_budget.client_connections += 1000  # requests in flight hold all descriptors
        waiting_client = await env.client()
        waiting_client.send("/_health")
        answer = asyncio.create_task(waiting_client.answer())
        await wait_until(lambda: env.node.client_connections.budget_full_since is not None)
        assert not answer.done()
        assert env.node.client_connections.refused_connections == 0
        env.node.descriptor_budget.client_connections -= 1000
        assert (await answer)[0] == 200
        assert env.node.client_connections.refused_connections == 0

    run_with_node(test)


def test_a_new_connection_without_a_descriptor_is_refused_after_a_while(monkeypatch):
    monkeypatch.setattr(connection_manager, "DESCRIPTOR_WAIT_US", 30_000)

    async def test(env) -> None:
        env.node.descriptor_budget.client_connections += 1000
        waiting_client = await env.client()
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
            await waiting_client.answer()
        assert env.node.client_connections.refused_connections == 1

    run_with_node(test)


def test_an_upstream_connection_evicts_an_idle_client_connection():
    async def test(env) -> None:
        env.upstreams[0].answer_all()
        idle_clients = [await env.client() for _ in range(6)]
        for client in idle_clients:
            client.send("/_health")
            assert (await client.answer())[0] == 200
        env.node.descriptor_budget.total = 6
        idle_clients[0].send("/put/1", key="k")
        assert (await idle_clients[0].answer())[0] == 200
        await wait_until(lambda: env.node.descriptor_budget.client_connections == 5)

    run_with_node(test)


def test_one_new_connection_evicts_one_idle_connection():
    async def test(env) -> None:
        idle_clients = [await env.client() for _ in range(6)]
        for client in idle_clients:
            client.send("/_health")
            assert (await client.answer())[0] == 200
        # Six client connections and a quarter for upstream connections use up the budget.
        env.node.descriptor_budget.total = 8
        new = await env.client()
        new.send("/_health")
        assert (await new.answer())[0] == 200
        await wait_until(lambda: env.node.descriptor_budget.client_connections == 6)
        assert len(env.node.client_connections.idle) == 6

    run_with_node(test)


class Backlog:
    """A listener with connections in its backlog, which are refused or set up."""

    def __init__(self, connections: int) -> None:
        self.waiting = [socket.socket() for _ in range(connections)]
        self.accepted = 0

    def accept(self) -> socket.socket | AcceptFailure:
        """Returns the next connection."""
        return self.waiting.pop() if self.waiting else AcceptFailure.NO_CONNECTION

    def set_up(self, connection: socket.socket) -> None:
        """Counts the connection."""
        self.accepted += 1
        connection.close()

    def pause(self, seconds: float) -> None:
        """Does nothing: the test calls again."""


def test_connections_wait_no_longer_because_places_become_free_now_and_then(monkeypatch):
    """Guards against a wait that begins anew with every place, so that the last in the queue are never answered."""
    clock, places, tick_us, waiting = [0], [0], 50_000, 40
    monkeypatch.setattr(connection_manager, "monotonic_us", lambda: clock[0])

    def place_is_free() -> bool:
        places[0] -= 1
        return places[0] >= 0

    async def test(env) -> None:
        manager, backlog = env.node.client_connections, Backlog(waiting)
        monkeypatch.setattr(manager, "listener", backlog)
        monkeypatch.setattr(manager, "evict_one", lambda: False)
        monkeypatch.setattr(DescriptorBudget, "client_connection_fits", lambda _: place_is_free())
        while backlog.waiting:
            places[0] = 1
            while manager.accept() is BacklogState.MORE:
                pass
            clock[0] += tick_us
        assert clock[0] <= connection_manager.DESCRIPTOR_WAIT_US + 4 * tick_us
        assert 0 < backlog.accepted < waiting
        assert backlog.accepted + manager.refused_connections == waiting
        monkeypatch.undo()

    run_with_node(test)
