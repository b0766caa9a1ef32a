"""Lists out of order: versions, restarts of discovery and of the node, and requests sent before a drain."""

import asyncio
import sys
from random import Random
from types import SimpleNamespace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from node_support import (
    Node,
    NodeEnvironment,
    ScriptedDiscovery,
    config_dict,
    config_from,
    entry,
    line,
    run,
    run_with_node,
    update,
    wait_until,
)

from harecross.discovery import process_table
from harecross.discovery.discovery_client import DiscoveryClient
from harecross.discovery.endpoint_registry import EndpointRegistry
from harecross.discovery.list_versions import VersionOrder, compare_versions
from harecross.discovery.subscription_schedule import DiscoveryTerms, SubscriptionSchedule
from harecross.discovery.watch import Watch
from harecross.platform.descriptor_budget import DescriptorBudget
from harecross.upstream.connection_pool import ConnectionPool


@pytest.mark.parametrize(
    ("newest", "version", "full", "first", "order"),
    [
        (None, 3, True, True, VersionOrder.NEWER),
        (7, 8, False, False, VersionOrder.NEWER),
        (7, 7, False, True, VersionOrder.NEWER),
        (7, None, False, False, VersionOrder.NEWER),
        (7, 6, True, False, VersionOrder.OLDER),
        (7, 6, False, False, VersionOrder.OLDER),
        (7, 1, True, True, VersionOrder.RESTARTED),
        (7, 1, False, True, VersionOrder.UNUSABLE),
    ],
)
def test_an_older_version_is_used_only_if_discovery_has_restarted(newest, version, full, first, order):
    assert compare_versions(newest, version, full=full, first=first) is order


def test_a_full_list_older_than_the_last_change_puts_no_server_back():
    """A poll beside the watch: its response was made before the drain and read after it."""

    async def test(w: NodeEnvironment) -> None:
        watch = await w.watch()
        before = [entry(f"s{i}", o.address) for i, o in enumerate(w.upstreams)]
        w.discovery_server.full_list = line(42, *before, reset=True)
        ScriptedDiscovery.push(watch, line(43, {**before[0], "lifecycle": "terminating"}))
        await wait_until(lambda: len(w.node.registry.listed) == 1)
        await w.node.discovery.poll_once()
        assert len(w.node.registry.listed) == 1
        assert w.node.discovery.current.generation == 43
        ScriptedDiscovery.push(watch, line(42, *before, reset=True))  # nor on the watch itself
        ScriptedDiscovery.push(watch, line(44, before[0]))
        await wait_until(lambda: w.node.discovery.current.generation == 44)
        assert len(w.node.registry.listed) == 2

    run_with_node(test, servers=2)


def test_a_restarted_discovery_is_used_once_it_has_settled_and_an_unknown_change_leads_to_a_full_list(
    monkeypatch,
):
    """Its list may be older than the drain that it sent before the restart."""
    monkeypatch.setattr(process_table, "REPLAY_SETTLE_S", 0.2)

    async def test(w: NodeEnvironment) -> None:
        watch, entries = await w.watch(), [entry(f"s{i}", o.address) for i, o in enumerate(w.upstreams)]
        ScriptedDiscovery.push(watch, line(43, {**entries[0], "lifecycle": "terminating"}))
        await wait_until(lambda: w.node.discovery.current.generation == 43)
        watch.close()
        watch = await w.watch()
        ScriptedDiscovery.push(watch, line(3, *entries, reset=True))
        await wait_until(lambda: w.node.discovery.current.generation == 3)
        assert list(w.node.registry.listed) == [w.node.registry.numbers["s1"]]
        await asyncio.sleep(0.3)
        assert len(w.node.registry.listed) == 1
        ScriptedDiscovery.push(watch, b"")
        await wait_until(lambda: len(w.node.registry.listed) == 2)
        watch.close()
        w.discovery_server.full_list = line(2, entries[1], reset=True)
        watch = await w.watch()
        ScriptedDiscovery.push(watch, line(1, {**entries[1], "lifecycle": "terminating"}))
        await wait_until(lambda: w.node.discovery.current.generation == 2)
        assert [n for n, at in w.node.registry.numbers.items() if at in w.node.registry.listed] == ["s1"]

    run_with_node(test, servers=2)


def test_versions_of_a_new_address_may_be_lower():
    """The first list after a migration is a full one, and newer whatever its version."""

    async def test(w: NodeEnvironment) -> None:
        watch, entries = await w.watch(), [entry(f"s{i}", o.address) for i, o in enumerate(w.upstreams)]
        ScriptedDiscovery.push(watch, line(43))
        await wait_until(lambda: w.node.discovery.current.generation == 43)
        other = await ScriptedDiscovery().start()
        other.full_list = line(5, entries[1], reset=True)
        host, port = other.address.split(":")
        assert w.node.discovery.migrate((host, int(port)))
        await other.watches.get()
        assert w.node.discovery.current.generation == 5
        assert len(w.node.registry.listed) == 1

    run_with_node(test, servers=2)


def test_a_retry_never_goes_to_a_server_that_drains_since_the_first_attempt():
    async def test(w: NodeEnvironment) -> None:
        watch, client = await w.watch(), await w.client()
        client.send("/put/1", key="k")
        arrived = [asyncio.ensure_future(o.received.get()) for o in w.upstreams]
        await asyncio.wait(arrived, return_when=asyncio.FIRST_COMPLETED)
        at = next(i for i, a in enumerate(arrived) if a.done())
        leaves = entry(f"s{1 - at}", w.upstreams[1 - at].address, "terminating")
        ScriptedDiscovery.push(watch, line(42, leaves))
        await wait_until(lambda: len(w.node.registry.listed) == 1)
        arrived[at].result().answer(503, extra=b"X-Not-Processed: 1\r\n")
        again = asyncio.ensure_future(w.upstreams[at].received.get())
        answered = asyncio.ensure_future(client.answer())
        await asyncio.wait([again, answered], return_when=asyncio.FIRST_COMPLETED)
        assert not arrived[1 - at].done()
        assert w.upstreams[1 - at].connection_count == 0
        for task in (again, answered, arrived[1 - at]):
            task.cancel()

    run_with_node(test, servers=2)


def test_a_queued_request_is_sent_by_the_list_of_its_turn():
    """Below the first tier a request waits for a slot; the server that frees it may drain meanwhile."""

    async def test(w: NodeEnvironment) -> None:
        watch = await w.watch()
        clients = [await w.client() for _ in range(40)]
        for i, client in enumerate(clients):
            client.send("/put/1", key=f"k{i}")
        await wait_until(lambda: w.node.dispatcher.balancer.queue)
        ScriptedDiscovery.push(watch, line(42, entry("s0", w.upstreams[0].address, "terminating")))
        await wait_until(lambda: len(w.node.registry.listed) == 1)
        had = w.upstreams[0].received.qsize()
        for _ in range(had):
            w.upstreams[0].received.get_nowait().answer()
        w.upstreams[1].answer_all()
        for client in clients:
            await client.answer()
        assert w.upstreams[0].received.empty()

    run_with_node(test, servers=2, settings={"layers": ["front", "back"], "tier": 1})


# ---- any order of lists, losses and restarts, against what was really told ----------------------------------


def watching(discovery: DiscoveryClient, generation: int | None) -> Watch:
    """A watch that makes no calls: the test tells it what comes."""
    watch = object.__new__(Watch)
    watch.listener, watch.address, watch.epoch = discovery, discovery.address, discovery.epoch
    watch.closed, watch.retired, watch.generation = False, False, generation
    watch.schedule = SubscriptionSchedule(DiscoveryTerms(), Random(1))
    watch.task = SimpleNamespace(cancel=lambda: None)
    return watch


class Fleet:
    """The truth: discovery's list by version, and what one node was really told of it."""

    def __init__(self) -> None:
        self.now: dict[str, tuple[str, int]] = {f"s{i}": ("in_service", i) for i in range(4)}
        self.versions = {1: dict(self.now)}
        self.version = 1

    def change(self, name: str, state: str, place: int) -> dict:
        had = self.now.get(name)
        self.version += 1
        if state == "terminated":
            self.now.pop(name, None)
        else:
            self.now[name] = (state, place if had is None or had[0] != "in_service" else had[1])
        self.versions[self.version] = dict(self.now)
        place = self.now.get(name, had or (state, place))[1]
        return update(self.version, entry(name, f"127.0.0.1:{1000 + place}", state))

    def whole(self, version: int) -> dict:
        entries = (entry(n, f"127.0.0.1:{1000 + p}", s) for n, (s, p) in self.versions[version].items())
        return update(version, *entries, reset=True)

    def between(self, before: int, after: int) -> dict:
        """The change that leads from one version to the next."""
        old, new = self.versions[before], self.versions[after]
        changed = [entry(n, f"127.0.0.1:{1000 + p}", s) for n, (s, p) in new.items() if old.get(n) != (s, p)]
        gone = [entry(n, f"127.0.0.1:{1000 + p}", "terminated") for n, (_, p) in old.items() if n not in new]
        return update(after, *changed, *gone)

    def in_service(self, version: int) -> set[str]:
        return {name for name, (state, _) in self.versions[version].items() if state == "in_service"}


STEPS = st.lists(
    st.one_of(
        st.tuples(
            st.just("change"),
            st.sampled_from([f"s{i}" for i in range(8)]),
            st.sampled_from(["in_service", "terminating", "terminated"]),
        ),
        st.tuples(
            st.sampled_from(["replay", "older", "beside", "lost", "anew", "restart", "move"]),
            st.integers(0, 9),
        ),
    ),
    max_size=30,
)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(STEPS)
def test_nothing_goes_to_who_left_and_nobody_is_shunned_whom_every_word_since_has_listed(steps):
    async def body() -> None:
        fleet = Fleet()
        host = SimpleNamespace(endpoint_update=lambda kind, entries: None, tracer=None)

        def process(known: dict | None) -> tuple[EndpointRegistry, Watch]:
            directory = EndpointRegistry(
                host, ConnectionPool(1, 1, [], DescriptorBudget(1)), ["here", "there"], ["m1", "m2"]
            )
            discovery = DiscoveryClient(directory, ("d", 1), monotonic=lambda: now)
            if known is not None:
                discovery.use_configured_list(known)
            discovery.current = watching(discovery, None if known is None else known["generation"])
            return directory, discovery.current

        directory, watch = process(None)
        first, history, now = True, [], 0.0

        def tell(told: dict, beside: bool = False) -> None:
            nonlocal first
            was_first, first = first and not beside, first and beside
            try:
                watch.update_received(told, first=was_first)
            except ValueError:
                first = True  # the call ends, and the list is asked for whole
                watch.update_received(fleet.whole(fleet.version), first=True)
                first = False

        def used() -> set[str]:
            return {n for n, at in directory.numbers.items() if at in directory.listed}

        def move(behind: int) -> Watch:
            """To a discovery that is some versions behind, and then tells them one by one."""
            nonlocal now
            discovery, versions = watch.listener, sorted(fleet.versions)
            at = max(0, len(versions) - 1 - behind)
            assert discovery is not None
            assert discovery.migrate(("d", discovery.address[1] + 1))
            discovery.pending.close()
            new = discovery.pending = watching(discovery, None)
            new.update_received(fleet.whole(versions[at]), first=True)
            assert used() <= fleet.in_service(fleet.version)
            for before, version in zip(versions[at:], versions[at + 1 :], strict=False):
                new.update_received(fleet.between(before, version), first=False)
                assert used() <= fleet.in_service(fleet.version)
                now += 0.1
            now += 10.0
            new.heartbeat_received()
            return new

        tell(fleet.whole(1))
        for step, *more in steps:
            if step == "change":
                name, state = more
                told = fleet.change(name, state, int(name[1:]))
                history.append(told)
                tell(told)
            elif step == "replay" and history:
                tell(history[more[0] % len(history)])
            elif step in ("older", "beside"):
                version = sorted(fleet.versions)[more[0] % len(fleet.versions)]
                tell(fleet.whole(version), beside=step == "beside")
            elif step == "lost":
                first = True
                tell(fleet.whole(fleet.version))
            elif step == "anew":  # it counts from 1 again, and tells all
                fleet.version, fleet.versions, history = 1, {1: dict(fleet.now)}, []
                first = True
                tell(fleet.whole(1))
                assert used() <= fleet.in_service(1)
                now += 3.0  # what it tells from then on is no replay
                watch.heartbeat_received()
            elif step == "restart":
                known = fleet.whole(sorted(fleet.versions)[more[0] % len(fleet.versions)])
                directory, watch = process(known)
                first = True
                tell(fleet.whole(fleet.version))
            elif step == "move":
                watch, first = move(more[0]), False
            assert used() == fleet.in_service(fleet.version), (step, more)
            ready = {
                n
                for n, at in directory.numbers.items()
                if (t := directory.pool.processes.get(at)) and t.in_service
            }
            assert ready == used()

    run(body())


def function_calls(action) -> int:
    """How many function calls it takes: the same on any machine."""
    calls = 0

    def count(frame, event, arg) -> None:
        nonlocal calls
        calls += event in ("call", "c_call")

    sys.setprofile(count)
    try:
        action()
    finally:
        sys.setprofile(None)
    return calls


def test_a_change_among_a_thousand_servers_costs_few_function_calls():
    """A node on a tenth of a core has 25 ms of processor time in 250 ms: some 100,000 calls on a slow machine."""

    async def body() -> None:
        peers = [f"127.0.0.1:{1000 + i}" for i in range(1024)]
        node = Node(config_from(config_dict("127.0.0.1:1", {"group_size": 1024}, peers=peers)))
        entries = [entry(f"s{i}", f"127.0.0.1:{1000 + i}", cell=i // 8) for i in range(1024)]
        full_list = function_calls(lambda: node.registry.apply(update(1, *entries, reset=True)))
        leaves = update(2, {**entries[0], "lifecycle": "terminating"})
        change = function_calls(lambda: node.registry.apply(leaves))
        assert full_list < 40 * 1024 and change < 2 * 1024, (full_list, change)
        assert len(node.registry.listed) == 1023

    run(body())
