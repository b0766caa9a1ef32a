"""A node that receives endpoint lists over loopback sockets."""

from __future__ import annotations

import asyncio

from node_support import (
    TEST_TIMEOUT_S,
    NodeEnvironment,
    ScriptedDiscovery,
    ScriptedServer,
    config_dict,
    entry,
    line,
    run,
    run_with_node,
    unanswered_discovery,
    update,
    wait_until,
)

from harecross.discovery import subscription_schedule
from harecross.discovery.endpoint_registry import EndpointRegistry
from harecross.interface import EndpointState, EndpointUpdateKind
from harecross.node.config import config_from
from harecross.node.node import Node
from harecross.platform.clock import monotonic_us
from harecross.platform.descriptor_budget import DescriptorBudget
from harecross.standins.discovery import chunk
from harecross.upstream.connection_pool import ConnectionPool


def test_nothing_new_goes_to_a_server_that_drains_or_was_restarted():
    async def test(env: NodeEnvironment) -> None:
        client, watch, origin = await env.client(), await env.watch(), env.upstreams[0]
        client.send()
        (await origin.received.get()).answer()
        await client.answer()
        ScriptedDiscovery.push(watch, line(42, entry("s0", origin.address, startedAtMs=1000)))
        assert await origin.closed.get() == 0  # the connection to the old process is closed
        # The new process is in slow start whatever start time its entry states, so requests reach it only gradually.
        arrival = asyncio.ensure_future(origin.received.get())
        while not arrival.done():
            client.send()
            refusal = asyncio.ensure_future(client.answer())
            await asyncio.wait([arrival, refusal], return_when=asyncio.FIRST_COMPLETED)
            if arrival.done():
                refusal.cancel()
            else:
                assert (await refusal)[0] == 503
                await asyncio.sleep(0.05)
        at = await arrival
        ScriptedDiscovery.push(watch, line(43, entry("s0", origin.address, "terminating", startedAtMs=1000)))
        while env.node.discovery.current.generation < 43:
            await asyncio.sleep(0)
        at.answer(body=b"finished")  # the request in flight is still answered
        assert at.connection_number == 1
        assert (await client.answer())[2] == b"finished"
        assert await origin.closed.get() == 1
        client.send()
        assert (await client.answer())[0] == 503
        assert origin.received.empty()
        assert origin.connection_count == 2

    run_with_node(test)


def test_a_reopened_watch_continues_after_the_last_version_that_was_applied():
    async def test(env: NodeEnvironment) -> None:
        path, watch = await env.discovery_server.watches.get()
        assert path == b"/catalog/members?watch=1&after=41"
        ScriptedDiscovery.push(watch, b"")
        ScriptedDiscovery.push(watch, line(44, entry("s0", env.upstreams[0].address), reset=True))
        ScriptedDiscovery.push(watch, b'{"generation": 45, "instances": 7}')
        path, watch = await env.discovery_server.watches.get()  # the malformed line is not skipped
        assert path.endswith(b"after=44")
        ScriptedDiscovery.push(
            watch, line(46, entry("s0", env.upstreams[0].address, "terminated"), {"instanceId": "s9"})
        )
        watch.close()
        path, _ = await env.discovery_server.watches.get()
        assert path.endswith(b"after=46")
        client = await env.client()
        client.send()
        assert (await client.answer())[0] == 503

    run_with_node(test)


def test_a_list_received_in_pieces_moves_a_server_to_its_new_address():
    async def test(env: NodeEnvironment) -> None:
        watch = await env.watch()
        text = line(42, entry("s0", env.upstreams[1].address), reset=True) + b"\n"
        for part in (text[:20], text[20:]):
            watch.write(b"%x\r\n%s\r\n" % (len(part), part))
            await watch.drain()
        while env.node.discovery.current.generation < 42:
            await asyncio.sleep(0)
        client = await env.client()
        client.send("/pay/1")
        (await env.upstreams[1].received.get()).answer()
        assert (await client.answer())[0] == 200
        assert env.upstreams[0].connection_count == 0

    run_with_node(test, servers=2)


class RecordingDispatcher:
    def __init__(self) -> None:
        self.updates: list[tuple] = []
        self.tracer = None

    def endpoint_update(self, kind, entries) -> None:
        self.updates.append((kind, list(entries)))


def test_entries_are_converted_to_endpoints_of_the_decision_module():
    async def test() -> None:
        host, pool = RecordingDispatcher(), ConnectionPool(1, 1, [], DescriptorBudget(1))
        registry = EndpointRegistry(host, pool, ["here", "there"], ["m1", "m2"])
        now_ms = (monotonic_us() + registry.start_times.unix_offset) // 1000
        item = entry("b", "127.0.0.1:1", zone="there", machineType="m2", cell=3, startedAtMs=now_ms - 1000)
        at_2 = entry("c", "127.0.0.1:2")
        item["hostPort"] = "127.0.0.1:3"
        registry.apply(update(1, entry("a", "127.0.0.1:1"), item, at_2, "junk"), cached=True)
        registry.apply(update(2, item, {**at_2, "lifecycle": "resting"}))
        (kind, (a, b, _)), (later, (b2, c)) = host.updates
        assert (kind, later) == (EndpointUpdateKind.CACHED, EndpointUpdateKind.CHANGES)
        assert (a.ready_at, b.cell, b.zone, b.machine_type) == (0, 3, 1, 1)
        assert b == b2
        assert c.state == EndpointState.DRAINING
        assert abs(monotonic_us() - b.ready_at) < 60_000_000
        # An entry for a server that is gone is applied even if its other fields are missing.
        registry.apply(update(3, {"instanceId": "a", "lifecycle": "terminated"}))
        assert host.updates[-1][1][0].state == EndpointState.GONE
        assert a.server not in pool.processes
        registry.apply(update(4, item, reset=True))
        assert host.updates[-1][0] == EndpointUpdateKind.FULL
        # A server that is gone and has no requests is forgotten. An entry that states an unknown server as gone adds
        # nothing.
        registry.apply(update(5, entry("z", "127.0.0.1:9", "terminated")))
        assert list(pool.processes) == list(registry.listed) == list(registry.numbers.values()) == [b.server]
        # A new server at a known address is another process, so nothing is sent there under the old name.
        registry.apply(update(6, entry("d", "127.0.0.1:3", startedAtMs=now_ms)))
        gone, d = host.updates[-1][1]
        assert (gone.server, gone.state, d.server) == (b.server, EndpointState.GONE, 4)
        registry.apply(update(7, item))  # an older entry that arrives late
        assert list(registry.listed) == [d.server] == list(pool.processes)
        for n in range(20):
            registry.apply(update(8 + n, entry(f"e{n}", "127.0.0.1:4", zone=f"z{n}"), reset=True))
        assert len(pool.processes) == len(registry.numbers) == len(registry.zones.dynamic) == 1

    run(test())


def test_the_old_discovery_is_used_until_the_new_one_has_sent_a_list():
    async def test(env: NodeEnvironment) -> None:
        watch, new = await env.watch(), await ScriptedDiscovery().start()
        assert env.node.discovery.migrate(("127.0.0.1", 1))  # nothing listens there
        ScriptedDiscovery.push(watch, line(42, entry("s0", env.upstreams[1].address)))
        while env.node.discovery.current.generation < 42:
            await asyncio.sleep(0)
        client = await env.client()
        client.send("/pay/1")
        (await env.upstreams[1].received.get()).answer()
        assert (await client.answer())[0] == 200
        host, _, port = new.address.rpartition(":")
        new.full_list = line(3, entry("s0", env.upstreams[0].address), reset=True)
        assert env.node.discovery.migrate((host, int(port)))
        assert (await new.watches.get())[0].endswith(b"after=3")
        client.send("/pay/2")
        (await env.upstreams[0].received.get()).answer()
        assert (await client.answer())[0] == 200

    run_with_node(test, servers=2)


def test_a_watch_that_never_responds_is_closed_soon_and_the_next_one_is_used(monkeypatch):
    """Guards against two silent watches in a row, which would exceed the staleness limit of a drain."""
    monkeypatch.setattr(subscription_schedule, "AGENT_RESPONSE_TIMEOUT_S", 0.05)
    monkeypatch.setattr(subscription_schedule, "WATCH_HEARTBEAT_TIMEOUT_S", 4 * TEST_TIMEOUT_S)

    async def test() -> None:
        origin = await ScriptedServer().start()
        address, calls = await unanswered_discovery()
        known = update(41, entry("s1", origin.address), reset=True)
        node = Node(config_from(config_dict(address, known=known)))
        task = asyncio.create_task(node.run())
        for _ in range(2):
            await calls.get()  # the call is not answered
        writer = await calls.get()
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        writer.write(chunk(line(42, entry("s1", origin.address, "terminating"))))
        await wait_until(lambda: not node.registry.listed)
        assert calls.empty(), "a watch that has received data has the longer timeout"
        task.cancel()

    run(test())
