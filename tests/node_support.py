"""Scripted servers, a scripted discovery and a caller, all on loopback and on ports the system picks."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from itertools import count

import uvloop

from harecross.node.config import config_from
from harecross.node.node import Node
from harecross.node.options import NodeOptions
from harecross.platform.clock import monotonic_us
from harecross.standins.discovery import chunk, entry, line, update
from harecross.standins.http import answer, header, listen, read_message

SETTINGS = {
    "classes": [
        {"name": "read", "effect": "free", "goal_time": 20_000_000, "hard_limit": 30_000_000, "worth": 1},
        {
            "name": "put",
            "effect": "guarded",
            "goal_time": 20_000_000,
            "hard_limit": 30_000_000,
            "worth": 5,
            "group": "cell",
            "window": 20_000_000,
        },
        {
            "name": "pay",
            "effect": "single_shot",
            "goal_time": 20_000_000,
            "hard_limit": 30_000_000,
            "worth": 5,
        },
    ],
    "dcs": ["here", "there"],
    "kinds": ["m1", "m2"],
    "layers": ["front"],
    "discovery": "push",
    "group_size": 1,
    "tick": 5000,
    "policy_limits": {
        "cancel": True,
        "conn_idle": 15_000_000,
        "connect_timeout": 5_000_000,
        "max_attempts": 3,
        "max_retry_after": 1_500_000,
        "retry_after": True,
    },
    "report": {"columns": ["load_share", "err_ps"], "how": "inline"},
    "rules": {"cold": 5_000_000, "start_capacity": 0.4, "fall_multiple": 3.0, "tip_after": 1_000_000},
}
STARTED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"  # a watch begins
HEAD = b" HTTP/1.1\r\nX-Request-ID: r\r\nX-Timeout: 9000m\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
WAIT = 30  # seconds after which a test has failed; nothing is timed more closely


def run(test: Awaitable[None]) -> None:
    async def limited() -> None:
        async with asyncio.timeout(WAIT):
            await test

    uvloop.run(limited())


async def held_calls() -> tuple[str, asyncio.Queue[asyncio.StreamWriter]]:
    """A discovery that answers nothing by itself: its address, and its calls as they come."""
    came: asyncio.Queue[asyncio.StreamWriter] = asyncio.Queue()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        came.put_nowait(writer)

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    return "{}:{}".format(*server.sockets[0].getsockname()), came


async def until(true: Callable[[], object]) -> None:
    """Waits for something to become true."""
    while not true():
        await asyncio.sleep(0.005)


class Arrived:
    """A request at a server."""

    def __init__(self, head: bytes, body: bytes, writer: asyncio.StreamWriter, link: int) -> None:
        self.head, self.body, self.writer = head, body, writer
        self.link = link  # the number of the connection it came on
        self.came = monotonic_us()
        self.gone = asyncio.Event()  # the node has closed the connection

    def answer(self, status: int = 200, body: bytes = b"ok", extra: bytes = b"") -> None:
        self.writer.write(answer(status, body, extra))

    def header(self, name: bytes) -> bytes:
        return header(self.head, name)


class Origin:
    """A server: what arrives stands in `arrived` until the test answers it."""

    def __init__(self) -> None:
        self.arrived: asyncio.Queue[Arrived] = asyncio.Queue()
        self.links = 0
        self.closed: asyncio.Queue[int] = asyncio.Queue()  # connections that the node closed

    async def start(self) -> Origin:
        self.server, self.address = await listen(self.serve)
        return self

    def answer_all(self) -> None:
        """Answers what has arrived and what will."""

        async def answer() -> None:
            while True:
                (await self.arrived.get()).answer()

        self.answering = asyncio.create_task(answer())

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        link = self.links
        self.links += 1
        item = None
        try:
            while True:
                head, body = await read_message(reader)
                item = Arrived(head, body, writer, link)
                self.arrived.put_nowait(item)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed.put_nowait(link)
            if item is not None:
                item.gone.set()
            writer.close()


async def first(*origins: Origin):
    """What arrives first at any of them."""
    waits = [asyncio.ensure_future(o.arrived.get()) for o in origins]
    done, rest = await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    for task in rest:
        task.cancel()
    return done.pop().result()


class Catalog:
    """Discovery: watches stand in `watches`, each with the path it asked for; `whole` answers other calls."""

    whole = b""
    first = b"1\r\n\n\r\n"  # what a watch begins with: nothing has changed since the version it asks after

    def __init__(self) -> None:
        self.watches: asyncio.Queue[tuple[bytes, asyncio.StreamWriter]] = asyncio.Queue()

    async def start(self) -> Catalog:
        self.server, self.address = await listen(self.serve)
        return self

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head, _ = await read_message(reader)
        if b"watch=1" not in head:
            writer.write(answer(200, self.whole))
            return
        writer.write(STARTED + self.first)
        self.watches.put_nowait((head.split(b" ")[1], writer))

    @staticmethod
    def push(writer: asyncio.StreamWriter, line: bytes) -> None:
        writer.write(chunk(line))


__all__ = ["entry", "line", "update"]  # of the stand-ins, for the tests


class Desk:
    """A discovery that is asked: one call at a time, each takes its time; a list of servers of which some leave."""

    def __init__(self, takes: float) -> None:
        self.takes = takes
        self.entries: dict[str, dict] = {}
        self.generation = 41
        self.left: set[str] = set()
        self.watches: list[asyncio.StreamWriter] = []
        self.line = asyncio.Lock()
        self.answered = 0

    async def start(self) -> str:
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return "{}:{}".format(*server.sockets[0].getsockname())

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        async with self.line:
            await asyncio.sleep(self.takes)
            self.answered += 1
        writer.write(STARTED + chunk(json.dumps(self.whole()).encode()))
        self.watches.append(writer)

    def whole(self) -> dict:
        return update(self.generation, *self.entries.values(), reset=True)

    def drain(self, name: str) -> None:
        self.generation += 1
        self.left.add(name)
        self.entries[name] = {**self.entries[name], "lifecycle": "terminating"}
        for writer in self.watches:
            writer.write(chunk(line(self.generation, self.entries[name])))


def asked(nodes: int, number: int) -> dict:
    """The settings of one of so many nodes that ask for their lists."""
    rules = {**SETTINGS["rules"], "ask_within": 10_000_000}
    return {"discovery": "ask", "group_size": nodes, "self_index": number, "rules": rules}


ids = count(1)


class Client:
    """A client on one connection."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    @classmethod
    async def open(cls, address: tuple[str, int]) -> Client:
        client = cls()
        client.reader, client.writer = await asyncio.open_connection(*address)
        return client

    def send(
        self, path: str = "/read/1", left: str = "25000m", body: bytes = b"", key: str = "", **more: str
    ):
        headers = {"Host": "backend.local", "X-Request-ID": f"r{next(ids)}", "X-Timeout": left}
        headers.update({name.replace("_", "-"): value for name, value in more.items()})
        if key:
            headers["Idempotency-Key"] = key
        method = "GET" if path.startswith("/read") or path.startswith("/_") else "POST"
        if method == "POST":
            headers["Content-Length"] = str(len(body))
        text = "".join(f"{k}: {v}\r\n" for k, v in headers.items() if v)
        self.writer.write(f"{method} {path} HTTP/1.1\r\n{text}\r\n".encode() + body)

    async def answer(self) -> tuple[int, bytes, bytes]:
        head, body = await read_message(self.reader)
        return int(head.split(b" ")[1]), head, body


class World:
    """A node with some servers and a discovery."""

    def __init__(self, node: Node, origins: list[Origin], catalog: Catalog, task: asyncio.Task) -> None:
        self.node, self.origins, self.catalog, self.task = node, origins, catalog, task

    def client(self) -> Awaitable[Client]:
        return Client.open(self.node.address)

    async def watch(self) -> asyncio.StreamWriter:
        return (await self.catalog.watches.get())[1]


def config_of(discovery: str, settings: dict | None = None, **more) -> dict:
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": discovery,
        "seed": "8c1f",
        "settings": {**SETTINGS, **(settings or {})},
        **more,
    }


@asynccontextmanager
async def node_at(discovery: str, **more) -> AsyncIterator[Node]:
    """A node that watches a discovery of the test's own."""
    node = Node(config_from(config_of(discovery)), NodeOptions(**more))
    task = asyncio.create_task(node.run())
    await node.started.wait()
    try:
        yield node
    finally:
        task.cancel()
        if node.options.embedded_service is not None:
            await node.options.embedded_service.stop()


def with_node(
    test: Callable[[World], Awaitable[None]],
    servers: int = 1,
    known: list[dict] | None = None,
    settings: dict | None = None,
    zones: str = "",
    **limits,
) -> None:
    """Runs a test against a node that knows so many servers; `zones` names theirs by first letters."""

    async def body() -> None:
        origins = [await Origin().start() for _ in range(servers)]
        catalog = await Catalog().start()
        entries = known or [entry(f"s{i}", o.address) for i, o in enumerate(origins)]
        for item, zone in zip(entries, zones, strict=False):
            item["zone"] = {"h": "here", "t": "there"}[zone]
        known_list = update(41, *entries, reset=True)
        config = config_of(catalog.address, settings, limits={"sockets": 1024, **limits}, known=known_list)
        node = Node(config_from(config))
        task = asyncio.create_task(node.run())
        await node.started.wait()
        try:
            await test(World(node, origins, catalog, task))
        finally:
            task.cancel()

    run(body())
