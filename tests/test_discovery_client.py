"""Lists that arrive out of order: versions, restarts of discovery and of the node, and requests sent before a drain."""

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
from harecross.discovery.subscription_schedule import DiscoverySettings, SubscriptionSchedule
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


def test_a_full_list_older_than_the_last_change_restores_no_server():
    """Guards against a poll response that was generated before a drain and is read after it."""

    async def test(env: NodeEnvironment) -> None:
        watch = await env.watch()
        before = [entry(f"s{i}", o.address) for i, o in enumerate(env.upstreams)]
        env.discovery_server.full_list = line(42, *before, reset=True)
        ScriptedDiscovery.push(watch, line(43, {**before[0], "lifecycle": "terminating"}))
        await wait_until(lambda: len(env.node.registry.listed) == 1)
        await env.node.discovery.poll_once()
        assert len(env.node.registry.listed) == 1
        assert env.node.discovery.current.generation == 43
        # An older list that arrives on the watch itself is ignored too.
        ScriptedDiscovery.push(watch, line(42, *before, reset=True))
        ScriptedDiscovery.push(watch, line(44, before[0]))
        await wait_until(lambda: env.node.discovery.current.generation == 44)
        assert len(env.node.registry.listed) == 2

    run_with_node(test, servers=2)


def test_a_restarted_discovery_is_used_once_it_has_settled_and_an_unknown_change_leads_to_a_full_list(
    monkeypatch,
):
    """The first list of a restarted discovery may be older than a drain that it sent before the restart."""
    monkeypatch.setattr(process_table, "REPLAY_SETTLE_S", 0.2)

    async def test(env: NodeEnvironment) -> None:
        watch, entries = await env.watch(), [entry(f"s{i}", o.address) for i, o in enumerate(env.upstreams)]
        ScriptedDiscovery.push(watch, line(43, {**entries[0], "lifecycle": "terminating"}))
        await wait_until(lambda: env.node.discovery.current.generation == 43)
        watch.close()
        watch = await env.watch()
        ScriptedDiscovery.push(watch, line(3, *entries, reset=True))
        await wait_until(lambda: env.node.discovery.current.generation == 3)
        assert list(env.node.registry.listed) == [env.node.registry.numbers["s1"]]
        await asyncio.sleep(0.3)
        assert len(env.node.registry.listed) == 1
        ScriptedDiscovery.push(watch, b"")
        await wait_until(lambda: len(env.node.registry.listed) == 2)
        watch.close()
        env.discovery_server.full_list = line(2, entries[1], reset=True)
        watch = await env.watch()
        ScriptedDiscovery.push(watch, line(1, {**entries[1], "lifecycle": "terminating"}))
        await wait_until(lambda: env.node.discovery.current.generation == 2)
        assert [n for n, at in env.node.registry.numbers.items() if at in env.node.registry.listed] == ["s1"]

    run_with_node(test, servers=2)


def test_versions_of_a_new_address_may_be_lower():
    """The first list after a migration is a full list, and counts as newer regardless of its version."""

    async def test(env: NodeEnvironment) -> None:
        watch, entries = await env.watch(), [entry(f"s{i}", o.address) for i, o in enumerate(env.upstreams)]
        ScriptedDiscovery.push(watch, line(43))
        await wait_until(lambda: env.node.discovery.current.generation == 43)
        other = await ScriptedDiscovery().start()
        other.full_list = line(5, entries[1], reset=True)
        host, port = other.address.split(":")
        assert env.node.discovery.migrate((host, int(port)))
        await other.watches.get()
        assert env.node.discovery.current.generation == 5
        assert len(env.node.registry.listed) == 1

    run_with_node(test, servers=2)


def test_a_retry_never_goes_to_a_server_that_drains_since_the_first_attempt():
    async def test(env: NodeEnvironment) -> None:
        watch, client = await env.watch(), await env.client()
        client.send("/put/1", key="k")
        arrived = [asyncio.ensure_future(o.received.get()) for o in env.upstreams]
        await asyncio.wait(arrived, return_when=asyncio.FIRST_COMPLETED)
        at = next(i for i, a in enumerate(arrived) if a.done())
        leaves = entry(f"s{1 - at}", env.upstreams[1 - at].address, "terminating")
        ScriptedDiscovery.push(watch, line(42, leaves))
        await wait_until(lambda: len(env.node.registry.listed) == 1)
        arrived[at].result().answer(503, extra=b"X-Not-Processed: 1\r\n")
        again = asyncio.ensure_future(env.upstreams[at].received.get())
        answered = asyncio.ensure_future(client.answer())
        await asyncio.wait([again, answered], return_when=asyncio.FIRST_COMPLETED)
        assert not arrived[1 - at].done()
        assert env.upstreams[1 - at].connection_count == 0
        for task in (again, answered, arrived[1 - at]):
            task.cancel()

    run_with_node(test, servers=2)


def test_a_queued_request_is_sent_by_the_list_at_the_time_of_sending():
    """In lower tiers a request waits for a slot; the server that frees the slot may start draining in the meantime."""

    async def test(env: NodeEnvironment) -> None:
        watch = await env.watch()
        clients = [await env.client() for _ in range(40)]
        for i, client in enumerate(clients):
            client.send("/put/1", key=f"k{i}")
        await wait_until(lambda: env.node.dispatcher.balancer.queue)
        ScriptedDiscovery.push(watch, line(42, entry("s0", env.upstreams[0].address, "terminating")))
        await wait_until(lambda: len(env.node.registry.listed) == 1)
        queued_count = env.upstreams[0].received.qsize()
        for _ in range(queued_count):
            env.upstreams[0].received.get_nowait().answer()
        env.upstreams[1].answer_all()
        for client in clients:
            await client.answer()
        assert env.upstreams[0].received.empty()

    run_with_node(test, servers=2, settings={"layers": ["front", "back"], "tier": 1})


def watch_without_calls(discovery: DiscoveryClient, generation: int | None) -> Watch:
    """Returns a watch that makes no calls; the test passes updates to it."""
    watch = object.__new__(Watch)
    watch.listener, watch.address, watch.epoch = discovery, discovery.address, discovery.epoch
    watch.closed, watch.retired, watch.generation = False, False, generation
    watch.schedule = SubscriptionSchedule(DiscoverySettings(), Random(1))
    watch.task = SimpleNamespace(cancel=lambda: None)
    return watch


class Fleet:
    """The servers' real lifecycles: discovery's list at each version.

    Attributes:
        now: By server, its current lifecycle and the number that determines its port.
        versions: The content of the list at each version, in the form of `now`.
    """

    def __init__(self) -> None:
        self.now: dict[str, tuple[str, int]] = {f"s{i}": ("in_service", i) for i in range(4)}
        self.versions = {1: dict(self.now)}
        self.version = 1

    def change(self, name: str, state: str, place: int) -> dict:
        previous = self.now.get(name)
        self.version += 1
        if state == "terminated":
            self.now.pop(name, None)
        else:
            self.now[name] = (
                state,
                place if previous is None or previous[0] != "in_service" else previous[1],
            )
        self.versions[self.version] = dict(self.now)
        place = self.now.get(name, previous or (state, place))[1]
        return update(self.version, entry(name, f"127.0.0.1:{1000 + place}", state))

    def whole(self, version: int) -> dict:
        """Returns the full list of a version."""
        entries = (entry(n, f"127.0.0.1:{1000 + p}", s) for n, (s, p) in self.versions[version].items())
        return update(version, *entries, reset=True)

    def between(self, before: int, after: int) -> dict:
        """Returns the change that leads from one version to a later one."""
        old, new = self.versions[before], self.versions[after]
        changed = [entry(n, f"127.0.0.1:{1000 + p}", s) for n, (s, p) in new.items() if old.get(n) != (s, p)]
        gone = [entry(n, f"127.0.0.1:{1000 + p}", "terminated") for n, (_, p) in old.items() if n not in new]
        return update(after, *changed, *gone)

    def in_service(self, version: int) -> set[str]:
        return {name for name, (state, _) in self.versions[version].items() if state == "in_service"}


# A "change" is a change of one server's lifecycle, and "whole" is one that discovery states by a full list on the open
# watch. Besides, a step is one of these events, each with a number that selects a version:
# "replay": an earlier change is received again.
# "older": the full list of an earlier version is received on the watch.
# "beside": such a list is received in answer to a poll beside the watch.
# "lost": the watch is lost and reopened with the full list.
# "anew": discovery restarts and counts its versions from 1 again.
# "restart": the node restarts with the list of an earlier version as its configured list.
# "move": the node migrates to a discovery that lags by this many versions.
STEPS = st.lists(
    st.one_of(
        st.tuples(
            st.sampled_from(["change", "whole"]),
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


def apply_steps(steps: list[tuple]) -> None:
    """Applies updates to a discovery client, and checks after each which servers it uses."""

    async def body() -> None:
        fleet = Fleet()
        host = SimpleNamespace(endpoint_update=lambda kind, entries: None, tracer=None)

        def process(known: dict | None) -> tuple[EndpointRegistry, Watch]:
            registry = EndpointRegistry(
                host, ConnectionPool(1, 1, [], DescriptorBudget(1)), ["here", "there"], ["m1", "m2"]
            )
            discovery = DiscoveryClient(registry, ("d", 1), monotonic=lambda: now)
            if known is not None:
                discovery.use_configured_list(known)
            discovery.current = watch_without_calls(discovery, None if known is None else known["generation"])
            return registry, discovery.current

        registry, watch = process(None)
        first, history, now = True, [], 0.0

        def receive(received: dict, beside: bool = False) -> None:
            nonlocal first
            was_first, first = first and not beside, first and beside
            try:
                watch.update_received(received, first=was_first)
            except ValueError:
                first = True  # the call ends, and the next call requests the full list
                watch.update_received(fleet.whole(fleet.version), first=True)
                first = False

        def used() -> set[str]:
            return {n for n, at in registry.numbers.items() if at in registry.listed}

        def move(behind: int) -> Watch:
            """Migrates to a discovery that lags by some versions and then sends them one by one."""
            nonlocal now
            discovery, versions = watch.listener, sorted(fleet.versions)
            at = max(0, len(versions) - 1 - behind)
            assert discovery is not None
            assert discovery.migrate(("d", discovery.address[1] + 1))
            discovery.pending.close()
            new = discovery.pending = watch_without_calls(discovery, None)
            new.update_received(fleet.whole(versions[at]), first=True)
            assert used() <= fleet.in_service(fleet.version)
            for before, version in zip(versions[at:], versions[at + 1 :], strict=False):
                new.update_received(fleet.between(before, version), first=False)
                assert used() <= fleet.in_service(fleet.version)
                now += 0.1
            now += 10.0
            new.heartbeat_received()
            return new

        receive(fleet.whole(1))
        for step, *more in steps:
            if step in ("change", "whole"):
                name, state = more
                received = fleet.change(name, state, int(name[1:]))
                if step == "whole":
                    received = fleet.whole(fleet.version)
                history.append(received)
                receive(received)
            elif step == "replay" and history:
                receive(history[more[0] % len(history)])
            elif step in ("older", "beside"):
                version = sorted(fleet.versions)[more[0] % len(fleet.versions)]
                receive(fleet.whole(version), beside=step == "beside")
            elif step == "lost":
                first = True
                receive(fleet.whole(fleet.version))
            elif step == "anew":  # discovery restarts: it counts from 1 again and sends a full list
                fleet.version, fleet.versions, history = 1, {1: dict(fleet.now)}, []
                first = True
                receive(fleet.whole(1))
                assert used() <= fleet.in_service(1)
                now += 3.0  # later updates are not replays of older changes
                watch.heartbeat_received()
            elif step == "restart":
                known = fleet.whole(sorted(fleet.versions)[more[0] % len(fleet.versions)])
                registry, watch = process(known)
                first = True
                receive(fleet.whole(fleet.version))
            elif step == "move":
                watch, first = move(more[0]), False
            assert used() == fleet.in_service(fleet.version), (step, more)
            ready = {
                n
                for n, at in registry.numbers.items()
                if (t := registry.pool.processes.get(at)) and t.in_service
            }
            assert ready == used()

    run(body())


@settings(max_examples=200, deadline=None, derandomize=True)
@given(STEPS)
def test_no_server_is_used_after_its_drain_and_all_listed_servers_are_used_in_any_order_of_updates(steps):
    apply_steps(steps)


def test_a_server_that_left_before_a_nodes_first_list_is_not_used_after_a_migration():
    # Guards against the word of a lagging discovery about a server that no list of this process has named.
    apply_steps([("change", "s6", "in_service"), ("change", "s6", "terminated"), ("restart", 0), ("move", 2)])


def function_calls(action) -> int:
    """Counts the function calls that `action` makes, which do not depend on the machine's speed."""
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
    """With a tenth of a core, a node has 25 ms of CPU time in 250 ms: about 100,000 calls on a slow machine."""

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
