"""A node sends no requests before discovery has confirmed a list to its process: starts, waits and their bounds."""

import asyncio
from random import Random

import pytest
from node_support import (
    SETTINGS,
    WATCH_RESPONSE_HEAD,
    Client,
    ScriptedServer,
    SerialDiscovery,
    chunk,
    config_dict,
    entry,
    first_received,
    line,
    polling_settings,
    run,
    unanswered_discovery,
    update,
    wait_until,
)

from harecross.discovery import readiness
from harecross.discovery.readiness import (
    MAX_POLLED_WAIT_S,
    MAX_PUSHED_WAIT_S,
    Freshness,
    ListReadiness,
    max_start_wait_s,
)
from harecross.discovery.subscription_schedule import CallEnd, DiscoverySettings, SubscriptionSchedule
from harecross.fleet import rehearsal
from harecross.fleet.discovery import DiscoveryCapacity
from harecross.fleet.rehearsal import Rehearsal
from harecross.fleet.result import RehearsalResult
from harecross.fleet.scenario import Scenario, Trigger
from harecross.node import admin_operations
from harecross.node import node as node_module
from harecross.node.config import config_from
from harecross.node.node import Node


class StartingNode:
    """A starting node whose configured list has servers `a` and `b`, and whose discovery has not responded yet."""

    async def start(self, **settings: object) -> None:
        self.a, self.b = await ScriptedServer().start(), await ScriptedServer().start()
        discovery, self.discovery_calls = await unanswered_discovery()
        self.known = (entry("a", self.a.address), entry("b", self.b.address))
        known = update(41, *self.known, reset=True)
        options = {"settings": settings, "known": known, "admin": "127.0.0.1:0"}
        self.node = Node(config_from(config_dict(discovery, **options)))
        self.task = asyncio.create_task(self.node.run())
        await wait_until(lambda: self.node.address[1])

    async def client(self) -> Client:
        return await Client.open(self.node.address)

    async def answer_discovery_call(self, *lines: bytes) -> asyncio.StreamWriter:
        """Answers the next call to discovery with the given lines."""
        writer = await self.discovery_calls.get()
        writer.write(WATCH_RESPONSE_HEAD + b"".join(map(chunk, lines)))
        return writer


def run_with_starting_node(test, **settings: object) -> None:
    async def body() -> None:
        starting = StartingNode()
        await starting.start(**settings)
        try:
            await test(starting)
        finally:
            starting.task.cancel()

    run(body())


async def health_status(client: Client) -> int:
    client.send("/_health")
    return (await client.answer())[0]


def test_requests_during_a_start_wait_for_the_first_list(monkeypatch):
    """Nothing is sent based on the configured list before the agent's first line is read."""
    monkeypatch.setattr(node_module, "FIRST_LIST_TIMEOUT_S", 20.0)

    async def test(starting: StartingNode) -> None:
        starting.b.answer_all()
        clients = [await starting.client() for _ in range(2)]
        for client in clients:
            client.send("/put/1", key="k")
        writer = await starting.discovery_calls.get()
        await asyncio.sleep(0.1)  # a node that does not wait would send a request by now
        assert starting.a.received.empty()
        assert starting.b.connection_count == 0
        writer.write(WATCH_RESPONSE_HEAD + chunk(line(42, entry("a", starting.a.address, "terminating"))))
        assert [(await c.answer())[0] for c in clients] == [200] * 2
        assert starting.a.received.empty(), "nothing went to the server that leaves"

    run_with_starting_node(test)


def test_until_a_late_list_requests_are_refused_at_once_and_the_health_check_fails(monkeypatch):
    monkeypatch.setattr(node_module, "FIRST_LIST_TIMEOUT_S", 0.01)

    async def test(starting: StartingNode) -> None:
        client = await starting.client()
        assert await health_status(client) == 503
        client.send()
        status, head, _ = await client.answer()
        assert status == 503
        assert b"Retry-After: 0.250" in head
        assert starting.node.dispatcher.statistics.shed_without_endpoint_list == 1
        assert starting.a.connection_count == starting.b.connection_count == 0
        await starting.answer_discovery_call(b"")  # nothing has changed since the version in the request
        await wait_until(starting.node.membership.first_list_received.is_set)
        assert await health_status(client) == 200
        client.send()
        arrived = await first_received(starting.a, starting.b)
        arrived.answer()
        assert (await client.answer())[0] == 200

    run_with_starting_node(test)


def test_the_admin_status_is_not_ready_before_the_node_may_send(monkeypatch):
    monkeypatch.setattr(node_module, "FIRST_LIST_TIMEOUT_S", 0.01)
    monkeypatch.setattr(admin_operations, "FIRST_LIST_WAIT_S", 0.0)

    async def test(starting: StartingNode) -> None:
        await starting.node.started.wait()
        assert starting.node.admin_operations.status(b"") == (503, "waiting for discovery")
        await starting.answer_discovery_call(b"")
        await wait_until(starting.node.membership.first_list_received.is_set)
        assert starting.node.admin_operations.status(b"")[0] == 200

    run_with_starting_node(test)


def test_a_start_waits_for_a_bounded_time(monkeypatch):
    """While discovery is down, the configured list is used after the longest wait."""
    monkeypatch.setattr(node_module, "FIRST_LIST_TIMEOUT_S", 0.01)
    monkeypatch.setattr(readiness, "MAX_PUSHED_WAIT_S", 0.2)

    async def test(starting: StartingNode) -> None:
        client = await starting.client()
        while await health_status(client) != 200:
            await asyncio.sleep(0.01)
        client.send()
        (await first_received(starting.a, starting.b)).answer()
        assert (await client.answer())[0] == 200
        assert (
            starting.node.membership.readiness.freshness(0.0, starting.node.discovery.schedule)
            is Freshness.CONFIGURED
        )

    run_with_starting_node(test)


def test_a_stop_during_the_wait_stops_the_node(monkeypatch):
    monkeypatch.setattr(node_module, "FIRST_LIST_TIMEOUT_S", 20.0)

    async def test(starting: StartingNode) -> None:
        starting.node.stop_requested.set()
        await starting.task

    run_with_starting_node(test, classes=[{**SETTINGS["classes"][0], "hard_limit": 100_000}])


def test_thirty_nodes_that_start_at_once_send_nothing_to_servers_that_drain_before_during_or_after():
    nodes, servers = 30, 6

    async def test() -> None:
        discovery = SerialDiscovery(0.05)
        origins = [await ScriptedServer().start() for _ in range(servers)]
        discovery.entries = {f"s{i}": entry(f"s{i}", o.address) for i, o in enumerate(origins)}
        known = discovery.full_list()
        address = await discovery.start()
        discovery.drain("s0")
        started = []
        for i in range(nodes):
            config = config_dict(address, polling_settings(nodes, i), known=known)
            started.append(Node(config_from(config)))
        tasks = [asyncio.create_task(n.run()) for n in started]
        sent_after_drain: list[int] = []

        async def answer(i: int) -> None:
            while True:
                arrived = await origins[i].received.get()
                if f"s{i}" in discovery.draining:
                    sent_after_drain.append(i)
                arrived.answer()

        tasks += [asyncio.create_task(answer(i)) for i in range(servers)]
        counts = {200: 0, 503: 0}

        async def call(node: Node) -> None:
            await wait_until(lambda: node.address[1])
            client = await Client.open(node.address)
            for _ in range(20):
                client.send("/put/1", key="k")
                status = (await client.answer())[0]
                counts[status] += 1
                await asyncio.sleep(0.05)

        calls = [asyncio.create_task(call(n)) for n in started]
        await wait_until(lambda: discovery.answered >= nodes // 2)
        discovery.drain("s1")
        await wait_until(lambda: discovery.answered >= nodes)
        discovery.drain("s2")
        await asyncio.gather(*calls)
        # Requests sent at the moment of a drain are allowed for 250 ms. Only `s0` is checked, because it left before
        # any node started.
        assert 0 not in sent_after_drain, sent_after_drain
        assert counts[200] > 0 and counts[503] > 0, counts
        assert all(n.membership.first_list_received.is_set() for n in started)
        for task in tasks:
            task.cancel()

    run(test())


def test_freshness_and_readiness_from_the_start_to_a_stale_list():
    schedule, list_readiness = SubscriptionSchedule(DiscoverySettings(), Random(1)), ListReadiness(100.0, 6.0)
    assert list_readiness.freshness(100.0, schedule) is Freshness.NONE
    assert not list_readiness.may_send(100.0)
    list_readiness.configured_list_loaded()
    assert list_readiness.freshness(100.0, schedule) is Freshness.CONFIGURED
    assert not list_readiness.may_send(105.9)
    schedule.start(100.0)
    schedule.call_started(100.0)
    schedule.heartbeat_received(100.1)
    list_readiness.list_confirmed()
    assert list_readiness.may_send(100.1)
    assert list_readiness.freshness(102.5, schedule) is Freshness.CURRENT
    assert list_readiness.freshness(102.7, schedule) is Freshness.STALE
    assert list_readiness.freshness(106.2, schedule) is Freshness.PAST_LIMIT
    assert list_readiness.may_send(106.2), "a confirmed list is used however old it is"


def test_the_wait_does_not_begin_again():
    list_readiness = ListReadiness(100.0, 6.0)
    list_readiness.configured_list_loaded()
    assert not list_readiness.may_send(105.99)
    assert list_readiness.may_send(106.0)
    assert list_readiness.may_send(100.0), "the wait does not begin again"


@pytest.mark.parametrize("number", [0, 40, 229])
def test_a_failed_first_call_and_the_second_fit_into_the_longest_wait(number):
    """Adds up a call that times out, the pause, any position in the round, and the next call."""
    schedule = SubscriptionSchedule(
        DiscoverySettings(polled=True, instance_count=230, instance_index=number), Random(1)
    )
    schedule.start(0.0)
    schedule.call_started(0.0)
    schedule.call_ended(schedule.response_deadline(), CallEnd.FAILED)
    schedule.call_started(schedule.next_call_at)
    assert schedule.response_deadline() <= MAX_POLLED_WAIT_S
    assert max_start_wait_s(DiscoverySettings(polled=True)) == MAX_POLLED_WAIT_S < 30.0, (
        "clients come after 30 s"
    )
    assert max_start_wait_s(DiscoverySettings()) == MAX_PUSHED_WAIT_S
    assert max_start_wait_s(DiscoverySettings(), replaces_process=True) < 2.0, (
        "a new process is to be ready in time"
    )


def start_at_once(nodes: int, seed: int, queue_s: float = 5.0, **changes: object) -> RehearsalResult:
    """Simulates 70 % of the nodes starting at once during a release; discovery needs `queue_s` s to answer them all."""
    scenario = Scenario(
        nodes=nodes, seed=seed, discovery=DiscoveryCapacity(0.7 * nodes / queue_s), trigger=Trigger.RESTART,
        restart_fraction=0.7, stopped_before=1.5, earlier_drain=0.7, drain_delay=0.5, drain_interval=1.1, duration=50.0,
        **changes,
    )  # fmt: skip
    return Rehearsal(scenario).run()


def test_nodes_that_start_at_once_send_nothing_by_a_list_past_the_staleness_limit():
    for seed in range(200):
        result = start_at_once(230, seed, queue_s=2.0 + seed % 5, local_agent=seed % 4 == 0)
        assert result.stale_send_s == 0, seed
        assert result.ready_times[-1] <= 15.0 and result.recovered, seed


@pytest.mark.parametrize("nodes", [40, 230, 1024])
def test_a_start_waits_no_longer_than_discoverys_queue_takes(nodes):
    assert start_at_once(nodes, 1, local_agent=True).ready_times[-1] < 0.5, "an agent's list costs no wait"
    quick = start_at_once(nodes, 1, queue_s=1.5)
    assert quick.ready_times[-1] < 0.3 + 1.5 + 0.1, "one queue"
    slow = start_at_once(nodes, 1, queue_s=5.0)
    assert slow.ready_time(0.3) < 0.3 + 2.0 + 0.1
    assert slow.ready_times[-1] < MAX_POLLED_WAIT_S
    assert start_at_once(nodes, 1, queue_s=60.0).ready_times[-1] == MAX_POLLED_WAIT_S, "the wait is bounded"


@pytest.mark.parametrize("local_agent", [True, False])
def test_without_the_wait_the_model_counts_sends_by_the_configured_list(local_agent, monkeypatch):
    monkeypatch.setattr(readiness, "MAX_POLLED_WAIT_S", 0.0)
    monkeypatch.setattr(readiness, "MAX_PUSHED_WAIT_S", 0.0)
    if local_agent:
        # The start takes slightly longer than the 250 ms of the settings plus 50 ms.
        monkeypatch.setattr(rehearsal, "PROCESS_START_S", 0.31)
    assert start_at_once(230, 1, local_agent=local_agent).stale_send_s > 0
