"""Races at upstream connections and retries: ends, late bytes and changes while a request is sent."""

import asyncio
import socket

import pytest
from node_support import SETTINGS, NodeEnvironment, first_received, run_with_node, wait_until
from race_support import REQUEST_KIND_NAMES, REQUEST_KINDS, DelayedConnects, run_event_loop, warm_up

from harecross.dispatch.close_reasons import CloseReason
from harecross.interface import Outcome
from harecross.upstream import connection

every_kind = pytest.mark.parametrize("kind", REQUEST_KINDS, ids=REQUEST_KIND_NAMES)


def deduplication_window(ms: int) -> dict:
    return {"classes": [{**c, "window": ms * 1000} for c in SETTINGS["classes"]]}


class Direct:
    """A server whose connections are plain sockets of the test: bytes and ends reach the kernel when it says so."""

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


def with_direct(test) -> None:
    """Runs a test on a node whose one server is a `Direct`."""
    direct: list[Direct] = []

    async def body(world: NodeEnvironment) -> None:
        direct.append(Direct())
        world.node.pool.update(1, direct[0].address, 0)
        await test(world, direct[0])

    run_with_node(body)


@every_kind
@pytest.mark.parametrize("what", ["end", "reset", "more bytes"])
@pytest.mark.parametrize("order", ["unread", "read"])
def test_an_idle_connection_that_the_server_has_ended_is_not_used(kind, what, order):
    """The end is still in the kernel when the next request comes, in one turn of the loop; or it was read before."""

    async def test(world: NodeEnvironment, server: Direct) -> None:
        client = await world.client()
        client.send("/pay/1")
        conn = await server.accept()
        await server.request(conn)
        conn.sendall(answer(b"one"))
        assert (await client.answer())[2] == b"one"
        await asyncio.sleep(connection.MAX_REST_US / 1e6 + 0.01)
        target = world.node.pool.processes[1]
        assert len(target.idle) == 1

        def happens() -> None:
            if what == "reset":
                conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            conn.sendall(answer(b"other")) if what == "more bytes" else conn.close()

        if order == "read":
            happens()
            await wait_until(lambda: not target.idle)
            client.send(kind[0], key=kind[1])
        else:
            real = world.node.dispatcher.balancer.request

            def request(*args) -> None:
                happens()  # in the turn in which the request is admitted
                real(*args)

            world.node.dispatcher.balancer.request = request
            client.send(kind[0], key=kind[1])
        again = await server.accept()
        await server.request(again)
        again.sendall(answer(b"two"))
        assert (await client.answer())[2] == b"two"
        assert world.node.dispatcher.statistics.outcomes[Outcome.RESET] == 0

    with_direct(test)


@every_kind
def test_a_late_second_response_is_not_taken_for_the_next_request_s(kind):
    """The connection would be the first choice; a rest keeps it from carrying the next request at once."""

    async def test(world: NodeEnvironment, server: Direct) -> None:
        client = await world.client()
        client.send("/pay/1")
        conn = await server.accept()
        await server.request(conn)
        await asyncio.sleep(0.1)  # a usual response time
        conn.sendall(answer(b"one"))
        assert (await client.answer())[2] == b"one"
        client.send(kind[0], key=kind[1])
        again = asyncio.ensure_future(server.accept())
        reused = asyncio.ensure_future(server.request(conn))
        await asyncio.wait([again, reused], return_when=asyncio.FIRST_COMPLETED)
        conn.sendall(answer(b"one"))  # some milliseconds late
        await run_event_loop()
        if again.done():
            other = again.result()
            await server.request(other)
            other.sendall(answer(b"two"))
        status, _, body = await client.answer()
        assert (status, body) == (200, b"two")
        assert not world.node.pool.processes[1].idle or len(world.node.pool.processes[1].idle) == 1

    with_direct(test)


def test_a_connection_is_used_again_after_its_rest_which_is_short_for_a_quick_server():
    async def test(world: NodeEnvironment, server: Direct) -> None:
        client = await world.client()
        client.send("/pay/1")
        conn = await server.accept()
        for n in range(30):
            await server.request(conn)
            conn.sendall(answer(b"%d" % n))
            assert (await client.answer())[2] == b"%d" % n
            (kept,) = world.node.pool.processes[1].idle
            rest = kept.reusable_from_us - kept.idle_since_us
            assert rest <= connection.MAX_REST_US
            await asyncio.sleep(max(0, rest) / 1e6 + 0.002)
            client.send("/pay/1")
        assert world.node.pool.open_connections == 1

    with_direct(test)


@pytest.mark.parametrize("late", [True, False], ids=["behind its window", "within it"])
def test_a_retry_with_an_idempotency_key_is_sent_within_its_deduplication_window_or_not_at_all(late):
    """Decided within it, the retry waits for a connection; by then servers may no longer discard the repeat."""

    async def test(world: NodeEnvironment) -> None:
        await warm_up(world)
        for target in world.node.pool.processes.values():
            world.node.pool.close_idle_of(target, CloseReason.IDLE)
        client = await world.client()
        client.send("/put/1", key="k")
        received = await first_received(*world.upstreams)
        held = DelayedConnects(world.node.pool)
        received.writer.transport.abort()  # the request may have run
        await held.started_connects.get()  # the retry waits for its connection
        if late:
            await asyncio.sleep(0.45)
        held.release()
        if not late:
            (await first_received(*world.upstreams)).answer(body=b"again")
        status, _, body = await client.answer()
        assert (status, body) == ((502, b"") if late else (200, b"again"))
        assert all(o.received.empty() for o in world.upstreams)

    run_with_node(test, servers=2, settings=deduplication_window(400 if late else 20_000))
