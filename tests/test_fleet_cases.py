"""Difficult cases of a full fleet: simultaneous reloads and stops, little traffic and mass replacement."""

import asyncio
from random import Random

import pytest
from node_support import (
    SETTINGS,
    Client,
    Node,
    NodeEnvironment,
    ScriptedServer,
    SerialDiscovery,
    chunk,
    config_dict,
    config_from,
    entry,
    first_received,
    line,
    polling_settings,
    run,
    run_with_node,
    update,
    wait_until,
)
from support import SEC, balancer, end_attempt

from harecross.interface import Endpoint, EndpointUpdateKind, Outcome


def test_all_nodes_migrate_at_once_to_a_discovery_that_answers_slowly():
    """After a SIGHUP to the whole fleet, each node follows the old discovery until the new one has answered."""
    nodes = 20

    async def test() -> None:
        origins = [await ScriptedServer().start() for _ in range(3)]
        for origin in origins:
            origin.answer_all()
        entries = {f"s{i}": entry(f"s{i}", o.address) for i, o in enumerate(origins)}
        old, new = SerialDiscovery(0.0), SerialDiscovery(0.03)
        old.entries, new.entries, new.generation = dict(entries), dict(entries), 3
        first, second = await old.start(), await new.start()
        fleet = [
            Node(config_from(config_dict(first, polling_settings(nodes, i), known=old.full_list())))
            for i in range(nodes)
        ]
        tasks = [asyncio.create_task(n.run()) for n in fleet]
        await wait_until(lambda: all(n.membership.first_list_received.is_set() for n in fleet))
        host, port = second.split(":")
        for node in fleet:
            assert node.discovery.migrate((host, int(port)))
        old.drain("s0")  # the old discovery reports this while calls wait at the new one
        await wait_until(lambda: all(len(n.registry.listed) == 2 for n in fleet))
        assert new.answered < nodes, "not all nodes have migrated yet"
        new.drain("s0")
        await wait_until(lambda: all(n.discovery.current.address[1] == int(port) for n in fleet))
        for node in fleet:
            client = await Client.open(node.address)
            client.send("/put/1", key="k")
            assert (await client.answer())[0] == 200
        await wait_until(lambda: all(n.discovery.current.generation == 4 for n in fleet))
        assert all(len(n.registry.listed) == 2 for n in fleet)
        for task in tasks:
            task.cancel()

    run(test())


def test_nodes_that_stop_one_after_another_answer_every_request_on_kept_alive_connections():
    classes = [{**c, "goal_time": 300_000, "hard_limit": 400_000} for c in SETTINGS["classes"]]

    async def test() -> None:
        origins = [await ScriptedServer().start() for _ in range(2)]
        for origin in origins:
            origin.answer_all()
        known = update(41, *(entry(f"s{i}", o.address) for i, o in enumerate(origins)), reset=True)
        discovery = SerialDiscovery(0.0)
        discovery.entries = {item["instanceId"]: item for item in known["instances"]}
        address = await discovery.start()
        fleet = [Node(config_from(config_dict(address, {"classes": classes}, known=known))) for _ in range(6)]
        tasks = [asyncio.create_task(n.run()) for n in fleet]
        await wait_until(lambda: all(n.started.is_set() for n in fleet))
        running, lost, served, finished = list(fleet), 0, 0, False

        async def run_client(k: int) -> None:
            nonlocal lost, served
            client = None
            while not finished:
                if client is None:
                    client = await Client.open(running[k % len(running)].address)
                client.send("/put/1", key=f"k{k}")
                try:
                    status, head, _ = await client.answer()
                except (asyncio.IncompleteReadError, ConnectionError) as e:
                    # A connection that closes between two responses lets the client retry. A response that
                    # ends early is a lost request.
                    lost += bool(getattr(e, "partial", b""))
                    client = None
                    continue
                served += status == 200
                if b"Connection: close" in head:
                    client = None
                await asyncio.sleep(0.01)

        clients = [asyncio.create_task(run_client(k)) for k in range(12)]
        for node in fleet[:4]:
            await asyncio.sleep(0.1)
            running.remove(node)
            node.stop_requested.set()
        await asyncio.gather(*tasks[:4])
        finished = True
        await asyncio.gather(*clients)
        assert lost == 0
        assert served > 50
        assert all(not n.dispatcher.requests for n in fleet[:4])
        for task in tasks[4:]:
            task.cancel()

    run(test())


@pytest.mark.parametrize(("path", "key", "runs"), [("/read/1", "", 2), ("/put/1", "k", 2), ("/pay/1", "", 1)])
def test_a_request_that_is_reset_before_its_answer_is_retried_only_if_it_may_run_twice(path, key, runs):
    """Idempotent requests and those with a key are retried.

    Any other request may have been processed, so its client gets an error.
    """

    async def test(env: NodeEnvironment) -> None:
        client = await env.client()
        for warm in range(3):  # without these samples, a class of low weight may be shed
            client.send("/put/1", key=f"w{warm}")
            arrived = await first_received(*env.upstreams)
            arrived.answer()
            await client.answer()
        client.send(path, key=key)
        (await first_received(*env.upstreams)).writer.transport.abort()
        if runs == 2:
            (await first_received(*env.upstreams)).answer(body=b"second")
        status, _, body = await client.answer()
        assert (status, body) == ((200, b"second") if runs == 2 else (502, b""))
        assert all(o.received.empty() for o in env.upstreams)

    run_with_node(test, servers=2)


def test_a_node_with_one_request_per_second_sheds_none_and_avoids_a_failing_server():
    node, recorder = balancer(24, instance_count=40)
    rng, now, unserved, sent = Random(1), 0, 0, [0] * 25
    for n in range(1, 601):
        now += SEC
        node.request(now, n, 0, 0, 3 * SEC, False)
        attempt = 0
        actions = [a for a in recorder.take_calls() if a[0] in ("send", "shed", "fail")]
        while actions and actions[0][0] == "send":
            server = actions[0][2]
            sent[server] += 1
            now += 50_000
            outcome = Outcome.ERROR if server == 7 else Outcome.OK
            actions = end_attempt(
                node, recorder, now, n, attempt, server, outcome, 50_000 + rng.randrange(20_000)
            )
            attempt += 1
        unserved += bool(actions)
        node.timer(now, 0)
        recorder.take_calls()
    assert unserved <= 3, "requests that failed or were shed"
    mean_of_others = sum(sent[s] for s in range(1, 25) if s != 7) / 23
    assert sent[7] < 1.0 * mean_of_others
    assert not node.requests
    assert len(node.subset.servers) == 24


def test_tables_keep_no_entries_of_servers_that_were_replaced_at_the_same_addresses():
    """Ten releases in a row replace six in ten servers, in steps; new ids get the addresses of the old ones."""

    async def test(env: NodeEnvironment) -> None:
        registry, servers = env.node.registry, 20
        now = {i: entry(f"r0-{i}", f"127.0.0.1:{2000 + i}", zone=f"z{i % 3}") for i in range(servers)}
        registry.apply(update(42, *now.values(), reset=True))
        generation = 42
        for round_ in range(1, 11):
            for step in range(0, 12, 3):
                generation += 1
                changed = []
                for i in range(step, step + 3):
                    old = {**now[i], "lifecycle": "terminating" if round_ % 2 else "terminated"}
                    now[i] = entry(f"r{round_}-{i}", f"127.0.0.1:{2000 + i}", zone=f"z{round_}-{i % 3}",
                                   startedAtMs=1_700_000_000_000 + generation)  # fmt: skip
                    changed += [old, now[i]]
                registry.apply(update(generation, *changed))
                used = {n for n, at in registry.numbers.items() if at in registry.listed}
                assert used == {item["instanceId"] for item in now.values()}
                assert {t.port for t in env.node.pool.processes.values() if t.in_service} == set(
                    range(2000, 2020)
                )
            generation += 1
            registry.apply(update(generation, *now.values(), reset=True))
            assert len(registry.numbers) == len(registry.listed) == len(registry.owner_by_address) == servers
            assert len(env.node.pool.processes) == servers
            assert not registry.draining
            assert len(env.node.dispatcher.balancer.subset.servers) == servers
            assert len(registry.zones.dynamic) <= 6

    run_with_node(test, servers=1)


def test_a_server_that_accepts_and_never_responds_gets_few_requests_of_a_node_with_little_traffic():
    """At two requests per second, a node can only learn from the first requests that get no response."""
    node, recorder = balancer([Endpoint(i + 1) for i in range(6)], instance_count=6)
    now, sent, queue = 0, [0] * 7, []
    for n in range(1, 241):
        now += SEC // 2
        for at, *more in [q for q in queue if q[0] <= now]:
            queue.remove((at, *more))
            request, attempt, server = more
            end_attempt(node, recorder, at, request, attempt, server, Outcome.TIMEOUT, 3 * SEC)
        node.request(now, n, 2, 0, 3 * SEC, False)
        for action in recorder.take_calls("send"):
            sent[action[2]] += 1
            if action[2] == 3:
                queue.append((now + 3 * SEC, n, 0, 3))
            else:
                end_attempt(node, recorder, now + 40_000, n, 0, action[2], Outcome.OK, 40_000)
    assert sent[3] < 0.5 * sum(sent) / 6


def test_a_list_that_arrives_in_single_bytes_between_requests_is_applied_as_a_whole():
    """A slow discovery sends an endpoint list in pieces; a part of a list must not be applied."""

    async def test(env: NodeEnvironment) -> None:
        watch, client = await env.watch(), await env.client()
        env.upstreams[0].answer_all()
        text = chunk(
            line(42, entry("s1", "127.0.0.1:9", "in_service"), entry("s0", env.upstreams[0].address))
        )
        for i in range(len(text)):
            watch.write(text[i : i + 1])
            if i % 40 == 0:
                client.send("/put/1", key="k")
                assert (await client.answer())[0] == 200
                assert len(env.node.registry.listed) == 1
        await wait_until(lambda: len(env.node.registry.listed) == 2)

    run_with_node(test)


@pytest.mark.parametrize("kind", [EndpointUpdateKind.CHANGES, EndpointUpdateKind.FULL])
def test_when_most_nodes_are_gone_the_others_send_warming_up_servers_no_more_than_their_part(kind):
    """A node gets three times its traffic while members have just started: each gets less than a warm one."""
    node, recorder = balancer(10, instance_count=10)
    now, n, sent = 0, 0, [0] * 11
    warming_up: set[int] = set()
    for rate, seconds in ((20, 6), (60, 3)):
        if rate == 60:
            warming_up = {8, 9, 10}
            node.endpoint_update(
                now, kind, [Endpoint(i, ready_at=now if i in warming_up else 0) for i in range(1, 11)]
            )
            sent = [0] * 11
        for _ in range(rate * seconds):
            now += SEC // rate
            n += 1
            node.request(now, n, 0, 0, 3 * SEC, False)
            for action in recorder.take_calls("send"):
                sent[action[2]] += 1
                end_attempt(node, recorder, now, n, 0, action[2], Outcome.OK, 10_000)
    warm = sum(sent[1:8]) / 7
    assert all(0 < sent[s] <= 0.85 * warm for s in warming_up), sent
