"""The resolver's sockets: one UDP socket for each try, one connection for each server. Decisions are `lookup`'s."""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import Callable, Sequence
from functools import partial
from random import Random
from typing import Any, cast

from harecross.dns.frames import Frames, framed
from harecross.dns.lookup import Lookup, Send
from harecross.dns.message import Question, Reply, plain
from harecross.dns.servers import TLS, Servers
from harecross.dns.srv import Resolution, SrvAnswer
from harecross.settings import address

IDLE = 5.0  # seconds after which a connection without a question is closed (RFC 7766, 6.2.3)
ASK_MOST = 32  # lookups at once for one name's addresses
SOCKETS_MOST = 16  # lookups at once of one client, each with a socket: descriptors are for callers


class LookupFailed(Exception):
    """There is no answer; the text holds each server's reason."""


class Datagram(asyncio.DatagramProtocol):
    """One try. The socket is connected: what comes from another address never arrives."""

    def __init__(self, came: Callable[[bytes], None], broken: Callable[[str], None]) -> None:
        self.came, self.broken = came, broken

    def datagram_received(self, data: bytes, addr: object) -> None:
        self.came(data)

    def error_received(self, exc: Exception) -> None:
        self.broken(f"cannot be reached: {exc}")


class Stream(asyncio.Protocol):
    """A connection to one server, shared by all lookups that need one; questions on it do not wait for each other."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.frames = Frames()
        self.transport: asyncio.Transport | None = None
        self.waiting: dict[int, list[tuple[Callable[[bytes], None], Callable[[str], None]]]] = {}
        self.idle: asyncio.TimerHandle | None = None
        self.closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def ask(self, data: bytes, came: Callable[[bytes], None], broken: Callable[[str], None]) -> None:
        assert self.transport is not None
        if self.idle is not None:
            self.idle.cancel()
        self.waiting.setdefault(int.from_bytes(data[:2], "big"), []).append((came, broken))
        self.transport.write(framed(data))

    def data_received(self, data: bytes) -> None:
        for message in self.frames.feed(data):
            for came, _ in self.waiting.pop(int.from_bytes(message[:2], "big"), ()):
                came(message)
        if not self.waiting and not self.closed:
            if self.idle is not None:
                self.idle.cancel()
            self.idle = self.loop.call_later(IDLE, self.close)

    def close(self) -> None:
        self.closed = True
        if self.transport is not None:
            self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        if self.idle is not None:
            self.idle.cancel()
        waiting, self.waiting = self.waiting, {}
        for group in waiting.values():
            for _, broken in group:
                broken("the connection was cut")


class Client:
    """Asks DNS servers. At most one lookup is out for one question: who asks meanwhile gets the same answer."""

    def __init__(
        self, servers: Sequence[str], rng: Random, tls: ssl.SSLContext | None = None, tls_name: str = ""
    ) -> None:
        """`servers` are HOST:PORT, by IP address, with `tls://` before it for DNS over TLS. `tls_name` is the name that
        their certificate must bear in place of their address. ValueError without any server."""
        self.loop = asyncio.get_running_loop()
        self.servers = Servers(servers, rng)
        self.rng = rng
        self.open: dict[Question, asyncio.Task[Reply]] = {}
        self.streams: dict[str, asyncio.Task[Stream]] = {}
        self.asked = 0  # messages sent
        self.room = asyncio.Semaphore(SOCKETS_MOST)
        self.tls, self.tls_name = tls, tls_name

    async def ask(self, question: Question) -> Reply:
        """The answer. LookupFailed where there is none; a caller that is cancelled stops no other."""
        task = self.open.get(question)
        if task is None:
            task = self.open[question] = asyncio.create_task(self.lookup(question))
            task.add_done_callback(lambda done: self.open.pop(question, None))
        return await asyncio.shield(task)

    async def resolve(self, name: str) -> SrvAnswer:
        """What an SRV name holds. LookupFailed where the name itself has no answer; ValueError for no name."""
        resolution = Resolution(plain(name))
        room = asyncio.Semaphore(ASK_MOST)

        async def one(question: Question) -> None:
            async with room:
                try:
                    resolution.answered(question, await self.ask(question))
                except LookupFailed as e:
                    resolution.could_not(question, str(e))

        while not resolution.over:
            await asyncio.gather(*(one(q) for q in resolution.questions()))
        if resolution.failed:
            raise LookupFailed(resolution.failed)
        return resolution.result()

    async def lookup(self, question: Question) -> Reply:
        async with self.room:
            return await self.look_up(question)

    async def look_up(self, question: Question) -> Reply:
        now = self.loop.time
        lookup = Lookup(question, self.servers, self.rng, now())
        moved = asyncio.Event()
        sockets: list[asyncio.DatagramTransport] = []
        sending: set[asyncio.Task[None]] = set()

        def do(todo: list[Send]) -> None:
            for send in todo:
                self.asked += 1
                task = asyncio.create_task(self.send(send, came, broken, sockets))
                sending.add(task)
                task.add_done_callback(sending.discard)
            moved.set()

        def came(number: int, data: bytes) -> None:
            do(lookup.received(now(), number, data))

        def broken(number: int, why: str) -> None:
            do(lookup.broken(now(), number, why))

        try:
            do(lookup.begin(now()))
            while not lookup.over:
                moved.clear()
                try:
                    async with asyncio.timeout_at(lookup.due):
                        await moved.wait()
                except TimeoutError:
                    do(lookup.tick(now()))
        finally:
            for task in sending:
                task.cancel()
            for sock in sockets:
                sock.close()
        if lookup.reply is None:
            raise LookupFailed(f"{question}: {lookup.failed}")
        return lookup.reply

    async def send(
        self,
        send: Send,
        came: Callable[[int, bytes], None],
        broken: Callable[[int, str], None],
        sockets: list[asyncio.DatagramTransport],
    ) -> None:
        mine, lost = partial(came, send.number), partial(broken, send.number)
        try:
            if send.transport == "udp":
                host, port = address(send.server)
                sock, _ = await self.loop.create_datagram_endpoint(
                    lambda: Datagram(mine, lost), remote_addr=(host.strip("[]"), port)
                )
                sockets.append(sock)
                sock.sendto(send.data)
            else:
                stream = await self.stream(send.server)
                stream.ask(send.data, mine, lost)
        except OSError as e:
            lost(f"cannot be reached: {e.strerror or e}")

    async def stream(self, server: str) -> Stream:
        """The connection to a server, a new one where there is none. OSError where none comes up."""
        task = self.streams.get(server)
        if (
            task is not None
            and task.done()
            and (task.cancelled() or task.exception() or task.result().closed)
        ):
            task = None
        if task is None:
            task = self.streams[server] = asyncio.create_task(self.connect(server))
        return await asyncio.shield(task)

    async def connect(self, server: str) -> Stream:
        host, port = address(server.removeprefix(TLS))
        more: dict[str, Any] = {}
        if server.startswith(TLS):
            more = {"ssl": self.tls or ssl.create_default_context(), "server_hostname": self.tls_name or host}
        try:
            _, stream = await self.loop.create_connection(
                lambda: Stream(self.loop), host.strip("[]"), port, **more
            )
        except ssl.SSLError as e:
            raise OSError(f"TLS: {e.reason or e}") from None
        return stream

    async def close(self) -> None:
        """Ends what is out, and the connections."""
        tasks = [*self.open.values(), *self.streams.values()]
        for task in tasks:
            if (
                task.done()
                and not task.cancelled()
                and task.exception() is None
                and isinstance(task.result(), Stream)
            ):
                cast(Stream, task.result()).close()
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
