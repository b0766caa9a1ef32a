"""Connections to servers and repeats: what ends, comes late or changes while a request is on its way to one."""

import asyncio
import socket

import pytest

from harecross.dispatch.close_reasons import CloseReason
from harecross.interface import Outcome
from harecross.upstream import connection
from tests.crossing_support import KIND_NAMES, KINDS, HeldConnects, turns, warm
from tests.node_support import SETTINGS, World, first, until, with_node

every_kind = pytest.mark.parametrize("kind", KINDS, ids=KIND_NAMES)


def window(ms: int) -> dict:
    return {"classes": [{**c, "window": ms * 1000} for c in SETTINGS["classes"]]}


class Direct:
    """A server whose connections the test holds as plain sockets: bytes and ends reach the kernel when it says."""

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
    """A node whose one server is a `Direct`."""
    direct: list[Direct] = []

    async def body(w: World) -> None:
        direct.append(Direct())
        w.node.pool.update(1, direct[0].address, 0)
        await test(w, direct[0])

    with_node(body)


@every_kind
@pytest.mark.parametrize("what", ["end", "reset", "more bytes"])
@pytest.mark.parametrize("order", ["unread", "read"])
def test_a_kept_connection_that_has_ended_is_not_written_to(kind, what, order):
    """Its end lies in the kernel as the next request comes, in one turn; or it has been read."""

    async def test(w: World, server: Direct) -> None:
        client = await w.client()
        client.send("/pay/1")
        conn = await server.accept()
        await server.request(conn)
        conn.sendall(answer(b"one"))
        assert (await client.answer())[2] == b"one"
        await asyncio.sleep(connection.MAX_REST_US / 1e6 + 0.01)
        target = w.node.pool.processes[1]
        assert len(target.idle) == 1

        def happens() -> None:
            if what == "reset":
                conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            conn.sendall(answer(b"other")) if what == "more bytes" else conn.close()

        if order == "read":
            happens()
            await until(lambda: not target.idle)
            client.send(kind[0], key=kind[1])
        else:
            real = w.node.dispatcher.balancer.request

            def request(*args) -> None:
                happens()  # in the turn in which the request is taken
                real(*args)

            w.node.dispatcher.balancer.request = request
            client.send(kind[0], key=kind[1])
        again = await server.accept()
        await server.request(again)
        again.sendall(answer(b"two"))
        assert (await client.answer())[2] == b"two"
        assert w.node.dispatcher.statistics.outcomes[Outcome.RESET] == 0

    with_direct(test)


@every_kind
def test_a_second_answer_that_comes_late_meets_no_other_request(kind):
    """The connection would be the one used last; what comes on it meanwhile is no answer to the next request."""

    async def test(w: World, server: Direct) -> None:
        client = await w.client()
        client.send("/pay/1")
        conn = await server.accept()
        await server.request(conn)
        await asyncio.sleep(0.1)  # as long as servers take
        conn.sendall(answer(b"one"))
        assert (await client.answer())[2] == b"one"
        client.send(kind[0], key=kind[1])
        again = asyncio.ensure_future(server.accept())
        reused = asyncio.ensure_future(server.request(conn))
        await asyncio.wait([again, reused], return_when=asyncio.FIRST_COMPLETED)
        conn.sendall(answer(b"one"))  # some milliseconds late
        await turns()
        if again.done():
            other = again.result()
            await server.request(other)
            other.sendall(answer(b"two"))
        status, _, body = await client.answer()
        assert (status, body) == (200, b"two")
        assert not w.node.pool.processes[1].idle or len(w.node.pool.processes[1].idle) == 1

    with_direct(test)


def test_a_connection_that_has_rested_is_used_again_and_a_quick_server_s_rests_hardly():
    async def test(w: World, server: Direct) -> None:
        client = await w.client()
        client.send("/pay/1")
        conn = await server.accept()
        for n in range(30):
            await server.request(conn)
            conn.sendall(answer(b"%d" % n))
            assert (await client.answer())[2] == b"%d" % n
            (kept,) = w.node.pool.processes[1].idle
            rest = kept.reusable_from_us - kept.idle_since_us
            assert rest <= connection.MAX_REST_US
            await asyncio.sleep(max(0, rest) / 1e6 + 0.002)
            client.send("/pay/1")
        assert w.node.pool.open_connections == 1

    with_direct(test)


@pytest.mark.parametrize("late", [True, False], ids=["behind its window", "within it"])
def test_a_keyed_repeat_goes_out_within_its_window_or_not_at_all(late):
    """Decided within it; the connection comes up later, and by then the servers may have forgotten the first one."""

    async def test(w: World) -> None:
        await warm(w)
        for target in w.node.pool.processes.values():
            w.node.pool.close_idle_of(target, CloseReason.IDLE)
        client = await w.client()
        client.send("/put/1", key="k")
        at = await first(*w.origins)
        held = HeldConnects(w.node.pool)
        at.writer.transport.abort()  # it may have run
        await held.begun.get()  # the repeat is on its way
        if late:
            await asyncio.sleep(0.45)
        held.release()
        if not late:
            (await first(*w.origins)).answer(body=b"again")
        status, _, body = await client.answer()
        assert (status, body) == ((502, b"") if late else (200, b"again"))
        assert all(o.arrived.empty() for o in w.origins)

    with_node(test, servers=2, settings=window(400 if late else 20_000))
