"""A closed connection is freed at once, and does not wait for the garbage collector."""

from __future__ import annotations

import gc

import pytest
from node_support import NodeEnvironment, run_with_node, wait_until

from harecross.downstream.client_connection import ClientConnection
from harecross.soak.abusive_clients import upload_head

REJECTED_INPUT = {
    "many fields": b"GET /read/1 HTTP/1.1\r\n" + b"a: b\r\n" * 3_000,
    "endless trailers": upload_head("Transfer-Encoding: chunked") + b"1\r\nx\r\n0\r\n" + b"t: v\r\n" * 5_000,
    "no request": b"junk\r\n\r\n",
    "unsound length": upload_head("Content-Length: 99999999999"),
}


def live_connections(kind: type) -> int:
    """Returns how many connections of a kind are in memory."""
    return sum(isinstance(each, kind) for each in gc.get_objects())


@pytest.fixture
def no_collection():
    """Switches the garbage collector off."""
    gc.collect()
    gc.disable()
    yield
    gc.enable()


@pytest.mark.parametrize("name", REJECTED_INPUT)
@pytest.mark.usefixtures("no_collection")
def test_a_connection_with_rejected_input_is_freed_when_it_closes(name):
    """Guards against rejected connections that keep their input until the garbage collector runs."""

    async def test(env: NodeEnvironment) -> None:
        before = live_connections(ClientConnection)
        client = await env.client()
        client.writer.write(REJECTED_INPUT[name])
        assert (await client.answer())[0] in (400, 413, 431)
        client.writer.close()
        await wait_until(lambda: not env.node.client_connections.open)
        await wait_until(lambda: live_connections(ClientConnection) == before)

    run_with_node(test)


@pytest.mark.usefixtures("no_collection")
def test_connections_of_answered_requests_are_freed_when_they_close():
    """Guards against connections in reference cycles with their parsers or requests."""

    async def test(env: NodeEnvironment) -> None:
        env.upstreams[0].answer_all()
        before = live_connections(ClientConnection)
        client = await env.client()
        client.send("/pay/1", body=bytes(50_000))
        assert (await client.answer())[0] == 200
        client.writer.close()
        await wait_until(lambda: live_connections(ClientConnection) == before)

    run_with_node(test)
