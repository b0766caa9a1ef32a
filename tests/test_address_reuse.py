"""A new process at the address of one that has gone, before the endpoint list tells of it."""

from __future__ import annotations

import asyncio

import pytest
from node_support import NodeEnvironment, ReceivedRequest, ScriptedServer, run_with_node, wait_until
from streaming_support import reset_connection

TRIES = 30


async def next_request(servers: list[ScriptedServer]) -> tuple[ScriptedServer, ReceivedRequest]:
    """Returns the next request that a server receives, and the server."""
    await wait_until(lambda: any(server.received.qsize() for server in servers))
    server = next(each for each in servers if each.received.qsize())
    return server, server.received.get_nowait()


async def replace_process(server: ScriptedServer, writers: list[asyncio.StreamWriter]) -> ScriptedServer:
    """Ends the process of a server, which resets its connections, and starts another one at its address."""
    host, _, port = server.address.rpartition(":")
    server.server.close()
    for writer in writers:
        reset_connection(writer)
    await asyncio.sleep(0.05)
    successor = ScriptedServer()
    successor.address = server.address
    successor.server = await asyncio.start_server(successor.serve, host, int(port))
    return successor


async def connect_to_all(env: NodeEnvironment) -> dict[ScriptedServer, list[asyncio.StreamWriter]]:
    """Lets the node open connections to every server; returns the servers' sides of them."""
    writers: dict[ScriptedServer, list[asyncio.StreamWriter]] = {server: [] for server in env.upstreams}
    number = 0
    while not all(writers.values()):
        client = await env.client()
        client.send("/put/1", key=f"warm{(number := number + 1)}")
        server, received = await next_request(env.upstreams)
        writers[server].append(received.writer)
        received.answer(body=b"%d" % number)
        assert (await client.answer())[0] == 200
        client.writer.close()
    return writers


@pytest.mark.parametrize(
    "connected", [True, False], ids=["its connections were reset", "it refused a connection"]
)
def test_a_keyed_repeat_is_not_sent_to_a_new_process_at_the_address_of_a_server(connected):
    """Guards against a repeat that reaches a process of another cell, which does not know its key."""

    async def test(env: NodeEnvironment) -> None:
        gone, staying = env.upstreams
        if connected:
            writers = await connect_to_all(env)
            successor = await replace_process(gone, writers[gone])
        else:
            gone.server.close()
            client = await env.client()
            while not env.node.dispatcher.statistics.outcomes[1]:
                client.send("/put/1", key="refused")
                _, received = await next_request([staying])
                received.answer(body=received.head)
                assert (await client.answer())[0] == 200
            successor = await replace_process(gone, [])
        for number in range(TRIES):
            client = await env.client()
            client.send("/put/1", key=f"k{number}", X_Request_ID=f"id{number}")
            server, received = await next_request([successor, staying])
            if server is staying:
                reset_connection(received.writer)
                assert (await client.answer())[0] == 502
                assert not successor.received.qsize()
                return
            received.answer(body=received.head)
            await client.answer()
        pytest.fail("no request reached the server that stayed")

    run_with_node(test, servers=2)
