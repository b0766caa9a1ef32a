"""Races of requests and retries with closes, late bytes and connects on upstream connections."""

import asyncio
import socket

import pytest
from node_support import SETTINGS, NodeEnvironment, first_received, run_with_node, wait_until
from race_support import REQUEST_KIND_NAMES, REQUEST_KINDS, DelayedConnects, run_event_loop, warm_up

from harecross.dispatch.close_reasons import CloseReason
from harecross.interface import Outcome
from harecross.upstream import connection, duplicate_responses

every_request_kind = pytest.mark.parametrize("kind", REQUEST_KINDS, ids=REQUEST_KIND_NAMES)


def deduplication_window(ms: int) -> dict:
    """Returns settings in which all classes have that deduplication window."""
    return {"classes": [{**each, "window": ms * 1000} for each in SETTINGS["classes"]]}


class RawServer:
    """A server with plain sockets, so that the test controls when bytes and closes reach the kernel."""

    def __init__(self) -> None:
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.sock.setblocking(False)
        self.address = "{}:{}".format(*self.sock.getsockname())

    async def accept(self) -> socket.socket:
        conn, _ = await asyncio.get_running_loop().sock_accept(self.sock)
        return conn

    async def request(self, conn: socket.socket) -> bytes:
        conn.setblocking(False)
        data = b""
        while b"\r\n\r\n" not in data:
            got = await asyncio.get_running_loop().sock_recv(conn, 65536)
            if not got:
                raise ConnectionError
            data += got
        return data


def answer(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


def with_raw_server(test) -> None:
    """Runs a test on a node whose only server is a `RawServer`."""
    servers: list[RawServer] = []

    async def body(env: NodeEnvironment) -> None:
        servers.append(RawServer())
        env.node.pool.update(1, servers[0].address, 0)
        await test(env, servers[0])

    run_with_node(body)


@every_request_kind
@pytest.mark.parametrize("event", ["close", "reset", "more bytes"])
@pytest.mark.parametrize("order", ["unread", "read"])
def test_an_idle_connection_with_unread_input_is_not_reused(kind, event, order):
    """A server closes an idle connection, or sends bytes on it, just before the next request is sent.

    Either the node has already read the event, or the kernel still holds it because the event and the request occur
    in the same iteration of the event loop.
    """

    async def test(env: NodeEnvironment, server: RawServer) -> None:
        client = await env.client()
        client.send("/pay/1")
        conn = await server.accept()
        await server.request(conn)
        conn.sendall(answer(b"one"))
        assert (await client.answer())[2] == b"one"
        await asyncio.sleep(connection.MAX_REUSE_DELAY_US / 1e6 + 0.01)
        process = env.node.pool.processes[1]
        assert len(process.idle) == 1

        def trigger() -> None:
            if event == "reset":
                conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            conn.sendall(answer(b"other")) if event == "more bytes" else conn.close()

        if order == "read":
            trigger()
            await wait_until(lambda: not process.idle)
            client.send(kind[0], key=kind[1])
        else:
            original = env.node.dispatcher.balancer.request

            def request(*args) -> None:
                trigger()  # the event occurs in the iteration in which the request is admitted
                original(*args)

            env.node.dispatcher.balancer.request = request
            client.send(kind[0], key=kind[1])
        new_conn = await server.accept()
        await server.request(new_conn)
        new_conn.sendall(answer(b"two"))
        assert (await client.answer())[2] == b"two"
        assert env.node.dispatcher.statistics.outcomes[Outcome.RESET] == 0

    with_raw_server(test)


@every_request_kind
def test_a_late_second_response_is_not_taken_for_the_next_response(kind):
    """A faulty server sends a second response a few milliseconds after the first.

    The connection would otherwise be reused for the next request; its reuse delay prevents that.
    """

    async def test(env: NodeEnvironment, server: RawServer) -> None:
        client = await env.client()
        client.send("/pay/1")
        conn = await server.accept()
        await server.request(conn)
        await asyncio.sleep(0.1)  # a typical response time
        conn.sendall(answer(b"one"))
        assert (await client.answer())[2] == b"one"
        client.send(kind[0], key=kind[1])
        accepted = asyncio.ensure_future(server.accept())
        reused = asyncio.ensure_future(server.request(conn))
        await asyncio.wait([accepted, reused], return_when=asyncio.FIRST_COMPLETED)
        conn.sendall(answer(b"one"))  # the second response, a few milliseconds late
        await run_event_loop()
        if accepted.done():
            new_conn = accepted.result()
            await server.request(new_conn)
            new_conn.sendall(answer(b"two"))
        status, _, body = await client.answer()
        assert (status, body) == (200, b"two")
        assert not env.node.pool.processes[1].idle or len(env.node.pool.processes[1].idle) == 1

    with_raw_server(test)


def test_a_connection_is_reused_after_its_reuse_delay_which_is_short_for_a_fast_server():
    async def test(env: NodeEnvironment, server: RawServer) -> None:
        client = await env.client()
        client.send("/pay/1")
        conn = await server.accept()
        # Only after two responses is it known that the responses of this server differ.
        for number in range(32):
            await server.request(conn)
            conn.sendall(answer(b"%d" % number))
            assert (await client.answer())[2] == b"%d" % number
            if number == 0:
                await asyncio.sleep(duplicate_responses.DUPLICATE_WINDOW_US / 1e6 + 0.002)
                client.send("/pay/1")
                continue
            (kept,) = env.node.pool.processes[1].idle
            reuse_delay_us = kept.reusable_from_us - kept.idle_since_us
            assert reuse_delay_us <= connection.MAX_REUSE_DELAY_US
            await asyncio.sleep(max(0, reuse_delay_us) / 1e6 + 0.002)
            client.send("/pay/1")
        assert env.node.pool.open_connections == 1

    with_raw_server(test)


@pytest.mark.parametrize("late", [True, False], ids=["after the window", "within the window"])
def test_a_retry_with_an_idempotency_key_is_sent_within_its_deduplication_window_or_not_at_all(late):
    """A retry is decided within the deduplication window but has to wait for a connection.

    After the window, servers no longer recognize the retry as a duplicate and would run the request again.
    """

    async def test(env: NodeEnvironment) -> None:
        await warm_up(env)
        for process in env.node.pool.processes.values():
            env.node.pool.close_idle_to_process(process, CloseReason.IDLE)
        client = await env.client()
        client.send("/put/1", key="k")
        received = await first_received(*env.upstreams)
        delayed_connects = DelayedConnects(env.node.pool)
        received.writer.transport.abort()  # the server may have run the request
        await delayed_connects.started_connects.get()  # the retry waits for its connection
        if late:
            await asyncio.sleep(0.45)
        delayed_connects.release()
        if not late:
            (await first_received(*env.upstreams)).answer(body=b"again")
        status, _, body = await client.answer()
        assert (status, body) == ((502, b"") if late else (200, b"again"))
        assert all(origin.received.empty() for origin in env.upstreams)

    run_with_node(test, servers=2, settings=deduplication_window(400 if late else 20_000))
