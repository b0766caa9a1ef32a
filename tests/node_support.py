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
WATCH_RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"  # a watch begins
HEAD = b" HTTP/1.1\r\nX-Request-ID: r\r\nX-Timeout: 9000m\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
TEST_TIMEOUT_S = 30  # seconds after which a test has failed; nothing is timed more closely


def run(test: Awaitable[None]) -> None:
    async def limited() -> None:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await test

    uvloop.run(limited())


async def unanswered_discovery() -> tuple[str, asyncio.Queue[asyncio.StreamWriter]]:
    """A discovery that answers nothing by itself: its address, and its calls as they come."""
    came: asyncio.Queue[asyncio.StreamWriter] = asyncio.Queue()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        came.put_nowait(writer)

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    return "{}:{}".format(*server.sockets[0].getsockname()), came


async def wait_until(true: Callable[[], object]) -> None:
    """Waits for something to become true."""
    while not true():
        await asyncio.sleep(0.005)


class ReceivedRequest:
    """A request at a server."""

    def __init__(self, head: bytes, body: bytes, writer: asyncio.StreamWriter, link: int) -> None:
        self.head, self.body, self.writer = head, body, writer
        self.connection_number = link  # the number of the connection it came on
        self.received_at_us = monotonic_us()
        self.disconnected = asyncio.Event()  # the node has closed the connection

    def answer(self, status: int = 200, body: bytes = b"ok", extra: bytes = b"") -> None:
        self.writer.write(answer(status, body, extra))

    def header(self, name: bytes) -> bytes:
        return header(self.head, name)


class ScriptedServer:
    """A server: what arrives stands in `arrived` until the test answers it."""

    def __init__(self) -> None:
        self.received: asyncio.Queue[ReceivedRequest] = asyncio.Queue()
        self.connection_count = 0
        self.closed: asyncio.Queue[int] = asyncio.Queue()  # connections that the node closed

    async def start(self) -> ScriptedServer:
        self.server, self.address = await listen(self.serve)
        return self

    def answer_all(self) -> None:
        """Answers what has arrived and what will."""

        async def answer() -> None:
            while True:
                (await self.received.get()).answer()

        self.answering = asyncio.create_task(answer())

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        link = self.connection_count
        self.connection_count += 1
        item = None
        try:
            while True:
                head, body = await read_message(reader)
                item = ReceivedRequest(head, body, writer, link)
                self.received.put_nowait(item)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed.put_nowait(link)
            if item is not None:
                item.disconnected.set()
            writer.close()


async def first_received(*origins: ScriptedServer):
    """What arrives first at any of them."""
    waits = [asyncio.ensure_future(o.received.get()) for o in origins]
    done, rest = await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    for task in rest:
        task.cancel()
    return done.pop().result()


class ScriptedDiscovery:
    """Discovery: watches stand in `watches`, each with the path it asked for; `full_list` answers other calls."""

    full_list = b""
    # The first line of a watch: nothing has changed since the version that the client asks for.
    first_update = b"1\r\n\n\r\n"

    def __init__(self) -> None:
        self.watches: asyncio.Queue[tuple[bytes, asyncio.StreamWriter]] = asyncio.Queue()

    async def start(self) -> ScriptedDiscovery:
        self.server, self.address = await listen(self.serve)
        return self

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head, _ = await read_message(reader)
        if b"watch=1" not in head:
            writer.write(answer(200, self.full_list))
            return
        writer.write(WATCH_RESPONSE_HEAD + self.first_update)
        self.watches.put_nowait((head.split(b" ")[1], writer))

    @staticmethod
    def push(writer: asyncio.StreamWriter, line: bytes) -> None:
        writer.write(chunk(line))


__all__ = ["entry", "line", "update"]  # of the stand-ins, for the tests


class SerialDiscovery:
    """A discovery that is asked: one call at a time, each takes its time; a list of servers of which some leave."""

    def __init__(self, response_delay_s: float) -> None:
        self.response_delay_s = response_delay_s
        self.entries: dict[str, dict] = {}
        self.generation = 41
        self.draining: set[str] = set()
        self.watches: list[asyncio.StreamWriter] = []
        self.line = asyncio.Lock()
        self.answered = 0

    async def start(self) -> str:
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return "{}:{}".format(*server.sockets[0].getsockname())

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        async with self.line:
            await asyncio.sleep(self.response_delay_s)
            self.answered += 1
        writer.write(WATCH_RESPONSE_HEAD + chunk(json.dumps(self.full_list()).encode()))
        self.watches.append(writer)

    def full_list(self) -> dict:
        return update(self.generation, *self.entries.values(), reset=True)

    def drain(self, name: str) -> None:
        self.generation += 1
        self.draining.add(name)
        self.entries[name] = {**self.entries[name], "lifecycle": "terminating"}
        for writer in self.watches:
            writer.write(chunk(line(self.generation, self.entries[name])))


def polling_settings(nodes: int, number: int) -> dict:
    """The settings of one of so many nodes that ask for their lists."""
    rules = {**SETTINGS["rules"], "ask_within": 10_000_000}
    return {"discovery": "ask", "group_size": nodes, "self_index": number, "rules": rules}


request_ids = count(1)


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
        headers = {"Host": "backend.local", "X-Request-ID": f"r{next(request_ids)}", "X-Timeout": left}
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


class NodeEnvironment:
    """A node with some servers and a discovery."""

    def __init__(
        self, node: Node, origins: list[ScriptedServer], catalog: ScriptedDiscovery, task: asyncio.Task
    ) -> None:
        self.node, self.upstreams, self.discovery_server, self.task = node, origins, catalog, task

    def client(self) -> Awaitable[Client]:
        return Client.open(self.node.address)

    async def watch(self) -> asyncio.StreamWriter:
        return (await self.discovery_server.watches.get())[1]


def config_dict(discovery: str, settings: dict | None = None, **more) -> dict:
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": discovery,
        "seed": "8c1f",
        "settings": {**SETTINGS, **(settings or {})},
        **more,
    }


@asynccontextmanager
async def started_node(discovery: str, **more) -> AsyncIterator[Node]:
    """A node that watches a discovery of the test's own."""
    node = Node(config_from(config_dict(discovery)), NodeOptions(**more))
    task = asyncio.create_task(node.run())
    await node.started.wait()
    try:
        yield node
    finally:
        task.cancel()
        if node.options.embedded_service is not None:
            await node.options.embedded_service.stop()


def run_with_node(
    test: Callable[[NodeEnvironment], Awaitable[None]],
    servers: int = 1,
    known: list[dict] | None = None,
    settings: dict | None = None,
    zones: str = "",
    **limits,
) -> None:
    """Runs a test against a node that knows so many servers; `zones` names theirs by first letters."""

    async def body() -> None:
        origins = [await ScriptedServer().start() for _ in range(servers)]
        catalog = await ScriptedDiscovery().start()
        entries = known or [entry(f"s{i}", o.address) for i, o in enumerate(origins)]
        for item, zone in zip(entries, zones, strict=False):
            item["zone"] = {"h": "here", "t": "there"}[zone]
        known_list = update(41, *entries, reset=True)
        config = config_dict(catalog.address, settings, limits={"sockets": 1024, **limits}, known=known_list)
        node = Node(config_from(config))
        task = asyncio.create_task(node.run())
        await node.started.wait()
        try:
            await test(NodeEnvironment(node, origins, catalog, task))
        finally:
            task.cancel()

    run(body())
