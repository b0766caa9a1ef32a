"""Lists that go quiet, move or go back while something else happens: what a node knows of in time, on real sockets."""

import asyncio

import pytest

from harecross.discovery import discovery_client, process_table, subscription_schedule
from harecross.discovery.subscription_schedule import SEND_STOP_GRACE_S, STALENESS_LIMIT_S
from harecross.standins.discovery import chunk
from tests.crossing_support import turns
from tests.node_support import (
    STARTED,
    Catalog,
    Node,
    World,
    asked,
    config_from,
    config_of,
    entry,
    held_calls,
    line,
    run,
    until,
    update,
    with_node,
)


def place(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


def asking_nodes(test, nodes: int = 4) -> None:
    """So many nodes that ask for their lists, each before a discovery that the test answers by hand."""

    async def body() -> None:
        rows = []
        for number in range(nodes):
            address, came = await held_calls()
            known = update(41, entry("s0", "127.0.0.1:1"), reset=True)
            node = Node(config_from(config_of(address, asked(nodes, number), known=known)))
            rows.append((node, came, address, asyncio.create_task(node.run())))
        await asyncio.gather(*(test(*row[:3]) for row in rows))
        for row in rows:
            row[3].cancel()

    run(body())


async def begun(came) -> asyncio.StreamWriter:
    """The first call is answered: nothing has changed."""
    writer = await came.get()
    writer.write(STARTED + chunk(b""))
    return writer


def test_a_watch_that_falls_silent_is_open_again_before_what_it_missed_is_binding():
    """A quarter of the servers begins to drain right after the silence; each node's place in the round is another."""
    late = []

    async def one(node: Node, came, address: str) -> None:
        await begun(came)
        await until(
            lambda: node.discovery.schedule.state is subscription_schedule.SubscriptionState.SUBSCRIBED
        )
        silent_since = node.loop.time()
        writer = await came.get()
        writer.write(STARTED + chunk(line(42, entry("s0", "127.0.0.1:1", "terminating"))))
        await until(lambda: not node.registry.listed)
        late.append(node.loop.time() - silent_since - STALENESS_LIMIT_S)

    asking_nodes(one)
    assert len(late) == 4 and max(late) < 0


@pytest.mark.parametrize("how", ["refused", "503"])
def test_what_is_listed_as_discovery_comes_back_is_known_before_it_is_binding(how):
    late = []

    async def one(node: Node, came, address: str) -> None:
        writer = await begun(came)
        await until(
            lambda: node.discovery.schedule.state is subscription_schedule.SubscriptionState.SUBSCRIBED
        )
        writer.transport.abort()
        for _ in range(3):  # down: each call is failed at once
            writer = await came.get()
            if how == "503":
                writer.write(b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n")
            else:
                writer.transport.abort()
        back = node.loop.time()
        writer = await came.get()
        writer.write(STARTED + chunk(line(42, entry("s0", "127.0.0.1:1", "terminating"))))
        await until(lambda: not node.registry.listed)
        late.append(node.loop.time() - back - STALENESS_LIMIT_S)

    asking_nodes(one)
    assert len(late) == 4 and max(late) < 0


def test_a_move_to_a_discovery_whose_first_call_nobody_answers_keeps_to_its_four_seconds():
    late = []

    async def one(node: Node, came, address: str) -> None:
        await begun(came)
        await until(
            lambda: node.discovery.schedule.state is subscription_schedule.SubscriptionState.SUBSCRIBED
        )
        other, calls = await held_calls()
        moved = node.loop.time()
        assert node.discovery.migrate(place(other))
        await calls.get()  # mute
        writer = await calls.get()
        whole = line(7, entry("s0", "127.0.0.1:1", "terminating"), reset=True)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(whole), whole))
        await until(lambda: not node.registry.listed)
        late.append(
            node.loop.time() - moved - subscription_schedule.MIGRATION_STALENESS_LIMIT_S - SEND_STOP_GRACE_S
        )

    asking_nodes(one)
    assert len(late) == 4 and max(late) < 0


@pytest.mark.parametrize("then", ["it hears", "it starts again", "it says that nothing is new"])
@pytest.mark.parametrize("state", ["terminating", "terminated"])
def test_a_new_discovery_that_has_not_heard_of_a_drain_brings_nobody_back(state, then, monkeypatch):
    """SIGHUP right after the old watch told of it; the new list was made before."""
    if then == "it says that nothing is new":
        monkeypatch.setattr(discovery_client, "MAX_MIGRATION_LAG_S", 0.2)
        monkeypatch.setattr(process_table, "REPLAY_SETTLE_S", 0.2)

    async def test(w: World) -> None:
        watch, entries = await w.watch(), [entry(f"s{i}", o.address) for i, o in enumerate(w.origins)]
        Catalog.push(watch, line(43, {**entries[0], "lifecycle": state}))
        await until(lambda: len(w.node.registry.listed) == 1)
        other = await Catalog().start()
        other.whole = line(5, *entries, reset=True)
        assert w.node.discovery.migrate(place(other.address))
        _, watch = await other.watches.get()
        client = await w.client()
        for _ in range(6):
            client.send("/put/1", key="k")
            (await w.origins[1].arrived.get()).answer()
            assert (await client.answer())[0] == 200
        assert w.origins[0].links == 0
        if then == "it hears":
            Catalog.push(watch, line(6, {**entries[0], "lifecycle": "terminating"}))
            await until(lambda: w.node.discovery.current.generation == 6)
            assert list(w.node.registry.listed) == [w.node.registry.numbers["s1"]]
            assert w.node.discovery.table.state("s0") is process_table.ProcessState.DRAINING
        elif then == "it starts again":
            Catalog.push(watch, line(6, {**entries[0], "startedAtMs": 77}))
            await until(lambda: len(w.node.registry.listed) == 2)
        else:
            # Time alone brings nobody back: the discovery is silent, and may not have heard.
            await asyncio.sleep(0.5)
            assert len(w.node.registry.listed) == 1
            Catalog.push(watch, b"")
            await until(lambda: len(w.node.registry.listed) == 2)

    with_node(test, servers=2)


def test_a_drain_that_the_old_discovery_writes_after_the_hand_over_counts_and_its_recalls_only_undo_it():
    async def test(w: World) -> None:
        old, entries = await w.watch(), [entry(f"s{i}", o.address) for i, o in enumerate(w.origins)]
        directory = w.node.registry

        def used() -> set[str]:
            return {name for name, number in directory.numbers.items() if number in directory.listed}

        other = await Catalog().start()
        other.whole = line(5, *entries, reset=True)
        assert w.node.discovery.migrate(place(other.address))
        _, new = await other.watches.get()
        Catalog.push(old, line(43, {**entries[0], "lifecycle": "terminating"}, entry("s9", "127.0.0.1:9")))
        await until(lambda: used() == {"s1"})  # s9, which only the old one lists in service, is not used
        # An old recall, replayed by the new one, does not undo it; its own drains and recalls count at once.
        Catalog.push(new, line(6, entries[0]))
        Catalog.push(new, line(7, {**entries[1], "lifecycle": "terminating"}))
        await until(lambda: not used())
        Catalog.push(new, line(8, entries[1]))
        await until(lambda: used() == {"s1"})
        Catalog.push(old, line(44, entries[0], entries[1]))
        await until(lambda: used() == {"s0", "s1"})
        old.close()
        await until(lambda: not w.node.discovery.retired)
        assert w.catalog.watches.empty(), "it is not called again"

    with_node(test, servers=2)


def test_moves_in_a_row_leave_a_bounded_number_of_old_watches_and_none_once_caught_up(monkeypatch):
    monkeypatch.setattr(discovery_client, "MAX_MIGRATION_LAG_S", 0.2)
    monkeypatch.setattr(process_table, "REPLAY_SETTLE_S", 0.2)

    async def test(w: World) -> None:
        await w.watch()
        entries = [entry(f"s{i}", o.address) for i, o in enumerate(w.origins)]
        for number in range(discovery_client.MAX_RETIRED_WATCHES + 4):
            other = await Catalog().start()
            other.whole = line(5, *entries, reset=True)
            assert w.node.discovery.migrate(place(other.address))
            _, watch = await other.watches.get()
            assert len(w.node.discovery.retired) == min(number + 1, discovery_client.MAX_RETIRED_WATCHES)
        await asyncio.sleep(0.5)
        Catalog.push(watch, b"")
        await until(lambda: not w.node.discovery.retired and not w.node.discovery.table.earlier_statements)
        assert len(w.node.registry.listed) == 2

    with_node(test, servers=2)


def test_a_move_twice_and_back_while_the_first_is_coming_up_leaves_one_watch():
    async def test(w: World) -> None:
        await w.watch()
        first = w.node.discovery.current
        mute, calls = await held_calls()
        third = await Catalog().start()
        third.whole = line(9, entry("s0", w.origins[0].address), reset=True)
        assert w.node.discovery.migrate(place(mute))
        call = await calls.get()
        assert w.node.discovery.migrate(place(w.catalog.address)) and w.node.discovery.pending is None
        assert w.node.discovery.current is first
        whole = line(99, reset=True)
        call.write(
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(whole), whole)
        )  # too late to count
        await turns()
        assert len(w.node.registry.listed) == 1
        assert w.node.discovery.migrate(place(mute)) and w.node.discovery.migrate(place(third.address))
        await third.watches.get()
        assert w.node.discovery.current.generation == 9 and w.node.discovery.pending is None

    with_node(test)
