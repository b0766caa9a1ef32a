"""Watches that fall silent, migrate or lag while lists change: a node applies drains in time, over real sockets."""

import asyncio

import pytest
from node_support import (
    WATCH_RESPONSE_HEAD,
    Node,
    NodeEnvironment,
    ScriptedDiscovery,
    config_dict,
    config_from,
    entry,
    line,
    polling_settings,
    run,
    run_with_node,
    unanswered_discovery,
    update,
    wait_until,
)
from race_support import run_event_loop

from harecross.discovery import discovery_client, process_table, subscription_schedule
from harecross.discovery.subscription_schedule import SEND_STOP_GRACE_S, STALENESS_LIMIT_S
from harecross.standins.discovery import chunk


def host_and_port(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


def with_polling_nodes(test, nodes: int = 4) -> None:
    """Runs the test on several polling nodes, each with its own discovery whose calls the test answers."""

    async def body() -> None:
        rows = []
        for index in range(nodes):
            address, calls_received = await unanswered_discovery()
            known = update(41, entry("s0", "127.0.0.1:1"), reset=True)
            node = Node(config_from(config_dict(address, polling_settings(nodes, index), known=known)))
            rows.append((node, calls_received, address, asyncio.create_task(node.run())))
        await asyncio.gather(*(test(*row[:3]) for row in rows))
        for row in rows:
            row[3].cancel()

    run(body())


async def answer_first_call(calls_received) -> asyncio.StreamWriter:
    """Answers the first call with a heartbeat, which states that nothing has changed."""
    writer = await calls_received.get()
    writer.write(WATCH_RESPONSE_HEAD + chunk(b""))
    return writer


def test_a_silent_watch_is_reopened_before_a_missed_drain_reaches_the_staleness_limit():
    """The drain begins right after the watch falls silent; each node has a different position in the round."""
    overruns = []

    async def one(node: Node, calls_received, address: str) -> None:
        await answer_first_call(calls_received)
        await wait_until(
            lambda: node.discovery.schedule.state is subscription_schedule.SubscriptionState.SUBSCRIBED
        )
        silent_since = node.loop.time()
        writer = await calls_received.get()
        writer.write(WATCH_RESPONSE_HEAD + chunk(line(42, entry("s0", "127.0.0.1:1", "terminating"))))
        await wait_until(lambda: not node.registry.listed)
        overruns.append(node.loop.time() - silent_since - STALENESS_LIMIT_S)

    with_polling_nodes(one)
    assert len(overruns) == 4
    assert max(overruns) < 0


@pytest.mark.parametrize("how", ["refused", "503"])
def test_a_drain_listed_as_discovery_comes_back_is_received_before_the_staleness_limit(how):
    overruns = []

    async def one(node: Node, calls_received, address: str) -> None:
        writer = await answer_first_call(calls_received)
        await wait_until(
            lambda: node.discovery.schedule.state is subscription_schedule.SubscriptionState.SUBSCRIBED
        )
        writer.transport.abort()
        for _ in range(3):  # discovery is down, and each call fails at once
            writer = await calls_received.get()
            if how == "503":
                writer.write(b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n")
            else:
                writer.transport.abort()
        available_again_at = node.loop.time()
        writer = await calls_received.get()
        writer.write(WATCH_RESPONSE_HEAD + chunk(line(42, entry("s0", "127.0.0.1:1", "terminating"))))
        await wait_until(lambda: not node.registry.listed)
        overruns.append(node.loop.time() - available_again_at - STALENESS_LIMIT_S)

    with_polling_nodes(one)
    assert len(overruns) == 4
    assert max(overruns) < 0


def test_a_migration_whose_first_call_is_not_answered_keeps_to_the_migration_limit():
    overruns = []

    async def one(node: Node, calls_received, address: str) -> None:
        await answer_first_call(calls_received)
        await wait_until(
            lambda: node.discovery.schedule.state is subscription_schedule.SubscriptionState.SUBSCRIBED
        )
        other, calls = await unanswered_discovery()
        migrated_at = node.loop.time()
        assert node.discovery.migrate(host_and_port(other))
        await calls.get()  # the first call is never answered
        writer = await calls.get()
        full_list = line(7, entry("s0", "127.0.0.1:1", "terminating"), reset=True)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(full_list), full_list))
        await wait_until(lambda: not node.registry.listed)
        overruns.append(
            node.loop.time()
            - migrated_at
            - subscription_schedule.MIGRATION_STALENESS_LIMIT_S
            - SEND_STOP_GRACE_S
        )

    with_polling_nodes(one)
    assert len(overruns) == 4
    assert max(overruns) < 0


@pytest.mark.parametrize("then", ["receives the drain", "lists a restart", "sends a heartbeat"])
@pytest.mark.parametrize("state", ["terminating", "terminated"])
def test_a_lagging_new_discovery_does_not_restore_a_drained_server(state, then, monkeypatch):
    """The migration begins right after the old discovery has sent the drain; the new discovery's list is older."""
    if then == "sends a heartbeat":
        monkeypatch.setattr(discovery_client, "MAX_MIGRATION_LAG_S", 0.2)
        monkeypatch.setattr(process_table, "REPLAY_SETTLE_S", 0.2)

    async def test(env: NodeEnvironment) -> None:
        watch, entries = await env.watch(), [entry(f"s{i}", o.address) for i, o in enumerate(env.upstreams)]
        ScriptedDiscovery.push(watch, line(43, {**entries[0], "lifecycle": state}))
        await wait_until(lambda: len(env.node.registry.listed) == 1)
        other = await ScriptedDiscovery().start()
        other.full_list = line(5, *entries, reset=True)
        assert env.node.discovery.migrate(host_and_port(other.address))
        _, watch = await other.watches.get()
        client = await env.client()
        for _ in range(6):
            client.send("/put/1", key="k")
            (await env.upstreams[1].received.get()).answer()
            assert (await client.answer())[0] == 200
        assert env.upstreams[0].connection_count == 0
        if then == "receives the drain":
            ScriptedDiscovery.push(watch, line(6, {**entries[0], "lifecycle": "terminating"}))
            await wait_until(lambda: env.node.discovery.current.generation == 6)
            assert list(env.node.registry.listed) == [env.node.registry.numbers["s1"]]
            assert env.node.discovery.table.state("s0") is process_table.ProcessState.DRAINING
        elif then == "lists a restart":
            ScriptedDiscovery.push(watch, line(6, {**entries[0], "startedAtMs": 77}))
            await wait_until(lambda: len(env.node.registry.listed) == 2)
        else:
            # Elapsed time alone does not restore the server, because a silent discovery may still lag.
            await asyncio.sleep(0.5)
            assert len(env.node.registry.listed) == 1
            ScriptedDiscovery.push(watch, b"")
            await wait_until(lambda: len(env.node.registry.listed) == 2)

    run_with_node(test, servers=2)


def test_a_drain_by_the_old_discovery_after_the_migration_counts_until_it_is_recalled_there():
    async def test(env: NodeEnvironment) -> None:
        old, entries = await env.watch(), [entry(f"s{i}", o.address) for i, o in enumerate(env.upstreams)]
        registry = env.node.registry

        def used() -> set[str]:
            return {name for name, number in registry.numbers.items() if number in registry.listed}

        other = await ScriptedDiscovery().start()
        other.full_list = line(5, *entries, reset=True)
        assert env.node.discovery.migrate(host_and_port(other.address))
        _, new = await other.watches.get()
        ScriptedDiscovery.push(
            old, line(43, {**entries[0], "lifecycle": "terminating"}, entry("s9", "127.0.0.1:9"))
        )
        # s9 is listed as in service only by the old discovery, so it is not used.
        await wait_until(lambda: used() == {"s1"})
        # A recall replayed by the new discovery does not undo the drain; its own drains and recalls count at once.
        ScriptedDiscovery.push(new, line(6, entries[0]))
        ScriptedDiscovery.push(new, line(7, {**entries[1], "lifecycle": "terminating"}))
        await wait_until(lambda: not used())
        ScriptedDiscovery.push(new, line(8, entries[1]))
        await wait_until(lambda: used() == {"s1"})
        ScriptedDiscovery.push(old, line(44, entries[0], entries[1]))
        await wait_until(lambda: used() == {"s0", "s1"})
        old.close()
        await wait_until(lambda: not env.node.discovery.retired)
        assert env.discovery_server.watches.empty(), "the old discovery is not called again"

    run_with_node(test, servers=2)


def test_migrations_in_a_row_leave_a_bounded_number_of_retired_watches_and_none_once_caught_up(monkeypatch):
    monkeypatch.setattr(discovery_client, "MAX_MIGRATION_LAG_S", 0.2)
    monkeypatch.setattr(process_table, "REPLAY_SETTLE_S", 0.2)

    async def test(env: NodeEnvironment) -> None:
        await env.watch()
        entries = [entry(f"s{i}", o.address) for i, o in enumerate(env.upstreams)]
        for number in range(discovery_client.MAX_RETIRED_WATCHES + 4):
            other = await ScriptedDiscovery().start()
            other.full_list = line(5, *entries, reset=True)
            assert env.node.discovery.migrate(host_and_port(other.address))
            _, watch = await other.watches.get()
            assert len(env.node.discovery.retired) == min(number + 1, discovery_client.MAX_RETIRED_WATCHES)
        await asyncio.sleep(0.5)
        ScriptedDiscovery.push(watch, b"")
        await wait_until(
            lambda: not env.node.discovery.retired and not env.node.discovery.table.earlier_statements
        )
        assert len(env.node.registry.listed) == 2

    run_with_node(test, servers=2)


def test_migrating_twice_and_back_before_the_first_watch_is_ready_leaves_one_watch():
    async def test(env: NodeEnvironment) -> None:
        await env.watch()
        first = env.node.discovery.current
        unanswered, calls = await unanswered_discovery()
        third = await ScriptedDiscovery().start()
        third.full_list = line(9, entry("s0", env.upstreams[0].address), reset=True)
        assert env.node.discovery.migrate(host_and_port(unanswered))
        call = await calls.get()
        assert env.node.discovery.migrate(host_and_port(env.discovery_server.address))
        assert env.node.discovery.pending is None
        assert env.node.discovery.current is first
        full_list = line(99, reset=True)
        call.write(
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(full_list), full_list)
        )  # the node has already migrated back, so it ignores this list
        await run_event_loop()
        assert len(env.node.registry.listed) == 1
        assert env.node.discovery.migrate(host_and_port(unanswered))
        assert env.node.discovery.migrate(host_and_port(third.address))
        await third.watches.get()
        assert env.node.discovery.current.generation == 9
        assert env.node.discovery.pending is None

    run_with_node(test)
