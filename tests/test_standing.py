"""Nothing is sent by a list from before the process's own time: starts, waits and their bounds."""

import asyncio
from random import Random

import pytest

from harecross.discovery import readiness
from harecross.discovery.readiness import ASKED_MOST, PUSHED_MOST, Freshness, ListReadiness, longest_wait
from harecross.discovery.subscription_schedule import CallEnd, DiscoveryTerms, SubscriptionSchedule
from harecross.fleet import rehearsal
from harecross.fleet.discovery import Shape
from harecross.fleet.rehearsal import Day, Rehearsal, Result
from harecross.node import admin_operations
from harecross.node import node as node_module
from harecross.node.config import config_from
from harecross.node.node import Node
from tests.node_support import (
    SETTINGS,
    STARTED,
    Client,
    Desk,
    Origin,
    asked,
    chunk,
    config_of,
    entry,
    first,
    held_calls,
    line,
    run,
    until,
    update,
)


class Starting:
    """A node that knows servers `a` and `b` from before and whose discovery has not answered."""

    async def begin(self, **settings: object) -> None:
        self.a, self.b = await Origin().start(), await Origin().start()
        discovery, self.came = await held_calls()
        self.known = (entry("a", self.a.address), entry("b", self.b.address))
        known = update(41, *self.known, reset=True)
        told = {"settings": settings, "known": known, "admin": "127.0.0.1:0"}
        self.node = Node(config_from(config_of(discovery, **told)))
        self.task = asyncio.create_task(self.node.run())
        await until(lambda: self.node.address[1])

    async def client(self) -> Client:
        return await Client.open(self.node.address)

    async def tell(self, *lines: bytes) -> asyncio.StreamWriter:
        """Discovery answers the call that has come."""
        writer = await self.came.get()
        writer.write(STARTED + b"".join(map(chunk, lines)))
        return writer


def starting(test, **settings: object) -> None:
    async def body() -> None:
        s = Starting()
        await s.begin(**settings)
        try:
            await test(s)
        finally:
            s.task.cancel()

    run(body())


async def health(client: Client) -> int:
    client.send("/_health")
    return (await client.answer())[0]


def test_what_comes_while_a_node_starts_waits_for_its_own_list(monkeypatch):
    """The fault of herd days: sent by `known` in the milliseconds before the agent's first line was read."""
    monkeypatch.setattr(node_module, "FIRST_LIST_TIMEOUT_S", 20.0)

    async def test(s: Starting) -> None:
        s.b.answer_all()
        clients = [await s.client() for _ in range(2)]
        for client in clients:
            client.send("/put/1", key="k")
        writer = await s.came.get()
        await asyncio.sleep(0.1)  # a node that did not wait would have sent by now
        assert s.a.arrived.empty() and s.b.links == 0
        writer.write(STARTED + chunk(line(42, entry("a", s.a.address, "terminating"))))
        assert [(await c.answer())[0] for c in clients] == [200] * 2
        assert s.a.arrived.empty(), "nothing went to the server that leaves"

    starting(test)


def test_a_list_that_comes_late_costs_refusals_at_once_and_health_says_no(monkeypatch):
    monkeypatch.setattr(node_module, "FIRST_LIST_TIMEOUT_S", 0.01)

    async def test(s: Starting) -> None:
        client = await s.client()
        assert await health(client) == 503
        client.send()
        status, head, _ = await client.answer()
        assert status == 503 and b"Retry-After: 0.250" in head
        assert s.node.dispatcher.statistics.shed_without_list == 1 and s.a.links == s.b.links == 0
        await s.tell(b"")  # nothing has changed since the version asked after
        await until(s.node.membership.first_list_received.is_set)
        assert await health(client) == 200
        client.send()
        arrived = await first(s.a, s.b)
        arrived.answer()
        assert (await client.answer())[0] == 200

    starting(test)


def test_the_door_says_yes_no_sooner_than_the_node_may_send(monkeypatch):
    monkeypatch.setattr(node_module, "FIRST_LIST_TIMEOUT_S", 0.01)
    monkeypatch.setattr(admin_operations, "FIRST_LIST_WAIT_S", 0.0)

    async def test(s: Starting) -> None:
        await s.node.started.wait()
        assert s.node.admin_operations.status(b"") == (503, "waiting for discovery")
        await s.tell(b"")
        await until(s.node.membership.first_list_received.is_set)
        assert s.node.admin_operations.status(b"")[0] == 200

    starting(test)


def test_a_start_never_waits_for_ever(monkeypatch):
    """Discovery is down: after the longest wait the list from before will do."""
    monkeypatch.setattr(node_module, "FIRST_LIST_TIMEOUT_S", 0.01)
    monkeypatch.setattr(readiness, "PUSHED_MOST", 0.2)

    async def test(s: Starting) -> None:
        client = await s.client()
        while await health(client) != 200:
            await asyncio.sleep(0.01)
        client.send()
        (await first(s.a, s.b)).answer()
        assert (await client.answer())[0] == 200
        assert s.node.membership.readiness.word(0.0, s.node.discovery.schedule) is Freshness.KNOWN

    starting(test)


def test_a_stop_during_the_wait_is_a_stop(monkeypatch):
    monkeypatch.setattr(node_module, "FIRST_LIST_TIMEOUT_S", 20.0)

    async def test(s: Starting) -> None:
        s.node.stop_requested.set()
        await s.task

    starting(test, classes=[{**SETTINGS["classes"][0], "hard_limit": 100_000}])


def test_thirty_nodes_started_at_once_send_nothing_to_servers_that_left_before_during_and_after():
    nodes, servers = 30, 6

    async def test() -> None:
        desk = Desk(0.05)
        origins = [await Origin().start() for _ in range(servers)]
        desk.entries = {f"s{i}": entry(f"s{i}", o.address) for i, o in enumerate(origins)}
        known = desk.whole()
        address = await desk.start()
        desk.drain("s0")
        started = []
        for i in range(nodes):
            config = config_of(address, asked(nodes, i), known=known)
            started.append(Node(config_from(config)))
        tasks = [asyncio.create_task(n.run()) for n in started]
        wrong: list[int] = []

        async def answer(i: int) -> None:
            while True:
                arrived = await origins[i].arrived.get()
                if f"s{i}" in desk.left:
                    wrong.append(i)
                arrived.answer()

        tasks += [asyncio.create_task(answer(i)) for i in range(servers)]
        counts = {200: 0, 503: 0}

        async def call(node: Node) -> None:
            await until(lambda: node.address[1])
            client = await Client.open(node.address)
            for _ in range(20):
                client.send("/put/1", key="k")
                status = (await client.answer())[0]
                counts[status] += 1
                await asyncio.sleep(0.05)

        calls = [asyncio.create_task(call(n)) for n in started]
        await until(lambda: desk.answered >= nodes // 2)
        desk.drain("s1")
        await until(lambda: desk.answered >= nodes)
        desk.drain("s2")
        await asyncio.gather(*calls)
        # What was sent in the instant of the drain has 250 ms; `s0` left before anybody started.
        assert 0 not in wrong, wrong
        assert counts[200] > 0 and counts[503] > 0, counts
        assert all(n.membership.first_list_received.is_set() for n in started)
        for task in tasks:
            task.cancel()

    run(test())


# ---- the machine ------------------------------------------------------------------------------------------


def test_the_states_of_a_list():
    asking, s = SubscriptionSchedule(DiscoveryTerms(), Random(1)), ListReadiness(100.0, 6.0)
    assert s.word(100.0, asking) is Freshness.NONE and not s.may_send(100.0)
    s.remembered()
    assert s.word(100.0, asking) is Freshness.KNOWN and not s.may_send(105.9)
    asking.begin(100.0)
    asking.calling(100.0)
    asking.word(100.1)
    s.told()
    assert s.may_send(100.1)
    assert s.word(102.5, asking) is Freshness.CURRENT
    assert s.word(102.7, asking) is Freshness.STALE
    assert s.word(106.2, asking) is Freshness.BINDING
    assert s.may_send(106.2), "once heard, a list serves on"


def test_a_wait_ends_by_itself():
    s = ListReadiness(100.0, 6.0)
    s.remembered()
    assert not s.may_send(105.99) and s.may_send(106.0)
    assert s.may_send(100.0), "and does not begin again"


@pytest.mark.parametrize("number", [0, 40, 229])
def test_the_longest_wait_holds_a_failed_first_call_and_the_second(number):
    """Arithmetic: a call that discovery fails after its longest time, the pause, any place, the next answer."""
    asking = SubscriptionSchedule(DiscoveryTerms(asked=True, nodes=230, number=number), Random(1))
    asking.begin(0.0)
    asking.calling(0.0)
    asking.ended(asking.patience_ends(), CallEnd.FAILED)
    asking.calling(asking.next_at)
    assert asking.patience_ends() <= ASKED_MOST
    assert longest_wait(DiscoveryTerms(asked=True)) == ASKED_MOST < 30.0, "clients come after 30 s"
    assert longest_wait(DiscoveryTerms()) == PUSHED_MOST
    assert longest_wait(DiscoveryTerms(), beside=True) < 2.0, "a new process is to say yes in time"


# ---- a herd's start, on the model ---------------------------------------------------------------------------


def herd(nodes: int, seed: int, line: float = 5.0, **more: object) -> Result:
    """Seven in ten nodes start at once in the middle of a release; discovery needs `line` s to answer them all."""
    day = Day(
        nodes=nodes, seed=seed, discovery=Shape(0.7 * nodes / line), trigger="restart", part=0.7, dead=1.5,
        before=0.7, change=0.5, more=1.1, length=50.0, **more,
    )  # fmt: skip
    return Rehearsal(day).run()


def test_at_a_herd_s_start_nobody_may_send_by_a_list_that_is_binding_old():
    for seed in range(200):
        r = herd(230, seed, line=2.0 + seed % 5, pushed=seed % 4 == 0)
        assert r.forbidden == 0, seed
        assert r.ready[-1] <= 15.0 and r.recovered, seed


@pytest.mark.parametrize("nodes", [40, 230, 1024])
def test_a_start_waits_for_no_longer_than_arithmetic_on_discovery_s_line_says(nodes):
    assert herd(nodes, 1, pushed=True).ready[-1] < 0.5, "an agent's list costs no wait"
    quick = herd(nodes, 1, line=1.5)
    assert quick.ready[-1] < 0.3 + 1.5 + 0.1, "one line"
    slow = herd(nodes, 1, line=5.0)
    assert slow.after_start(0.3) < 0.3 + 2.0 + 0.1 and slow.ready[-1] < ASKED_MOST
    assert herd(nodes, 1, line=60.0).ready[-1] == ASKED_MOST, "and never for ever"


@pytest.mark.parametrize("pushed", [True, False])
def test_without_the_wait_the_rehearsal_counts_what_was_sent_by_the_list_from_before(pushed, monkeypatch):
    monkeypatch.setattr(readiness, "ASKED_MOST", 0.0)
    monkeypatch.setattr(readiness, "PUSHED_MOST", 0.0)
    if pushed:
        monkeypatch.setattr(
            rehearsal, "BOOT", 0.31
        )  # the start took a little longer than the settings' 250 + 50 ms
    assert herd(230, 1, pushed=pushed).forbidden > 0
