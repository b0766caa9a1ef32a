"""Scripted servers, scripted discoveries, a client and a node, all on loopback and on ports that the system picks."""

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
# The start of the response to a watch.
WATCH_RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
HEAD = b" HTTP/1.1\r\nX-Request-ID: r\r\nX-Timeout: 9000m\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
# A test fails after this time. No test depends on a tighter bound.
TEST_TIMEOUT_S = 30


def run(test: Awaitable[None]) -> None:
    """Runs a test's coroutine on uvloop, with a timeout."""

    async def limited() -> None:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await test

    uvloop.run(limited())


async def unanswered_discovery() -> tuple[str, asyncio.Queue[asyncio.StreamWriter]]:
    """Starts a discovery that never answers by itself. Returns its address, and a queue of the calls that arrive."""
    calls: asyncio.Queue[asyncio.StreamWriter] = asyncio.Queue()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        calls.put_nowait(writer)

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    return "{}:{}".format(*server.sockets[0].getsockname()), calls


async def wait_until(condition: Callable[[], object]) -> None:
    """Waits until the condition is true."""
    while not condition():
        await asyncio.sleep(0.005)


class ReceivedRequest:
    """A request that a server has received.

    Attributes:
        connection_number: The number of the connection on which it arrived, counted by the server.
        received_at_us: The time at which it arrived, by the monotonic clock.
        disconnected: Set once the node has closed the connection.
    """

    def __init__(
        self, head: bytes, body: bytes, writer: asyncio.StreamWriter, connection_number: int
    ) -> None:
        self.head, self.body, self.writer = head, body, writer
        self.connection_number = connection_number
        self.received_at_us = monotonic_us()
        self.disconnected = asyncio.Event()

    def answer(self, status: int = 200, body: bytes = b"ok", extra: bytes = b"") -> None:
        self.writer.write(answer(status, body, extra))

    def header(self, name: bytes) -> bytes:
        return header(self.head, name)


class ScriptedServer:
    """A server whose requests wait in `received` until the test answers them.

    Attributes:
        received: The requests, in the order in which they arrived.
        connection_count: How many connections the node has opened.
        closed: The numbers of the connections that the node has closed.
    """

    def __init__(self) -> None:
        self.received: asyncio.Queue[ReceivedRequest] = asyncio.Queue()
        self.connection_count = 0
        self.closed: asyncio.Queue[int] = asyncio.Queue()

    async def start(self) -> ScriptedServer:
        self.server, self.address = await listen(self.serve)
        return self

    def answer_all(self) -> None:
        """Answers every request with 200, both those that wait already and those that arrive later."""

        async def answer() -> None:
            while True:
                (await self.received.get()).answer()

        self.answer_task = asyncio.create_task(answer())

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        number = self.connection_count
        self.connection_count += 1
        request = None
        try:
            while True:
                head, body = await read_message(reader)
                request = ReceivedRequest(head, body, writer, number)
                self.received.put_nowait(request)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed.put_nowait(number)
            if request is not None:
                request.disconnected.set()
            writer.close()


async def first_received(*servers: ScriptedServer):
    """Returns the request that arrives first at any of the servers."""
    waits = [asyncio.ensure_future(server.received.get()) for server in servers]
    done, pending = await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    for task in pending:
        task.cancel()
    return done.pop().result()


class ScriptedDiscovery:
    """A discovery with push.

    Attributes:
        watches: The open watches, each with the path that was requested.
        full_list: The answer to calls that are not watches.
        first_update: The first line of each watch.
    """

    full_list = b""
    # This line says that nothing has changed since the version that the client asks for.
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


# Functions of the stand-ins that the tests import from here.
__all__ = ["entry", "line", "update"]


class SerialDiscovery:
    """A discovery that answers one call at a time, each after a delay.

    Attributes:
        entries: The entry of each server, by its id.
        draining: The servers that are draining.
        answered: How many calls were answered.
    """

    def __init__(self, response_delay_s: float) -> None:
        self.response_delay_s = response_delay_s
        self.entries: dict[str, dict] = {}
        self.generation = 41
        self.draining: set[str] = set()
        self.watches: list[asyncio.StreamWriter] = []
        self.call_lock = asyncio.Lock()
        self.answered = 0

    async def start(self) -> str:
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return "{}:{}".format(*server.sockets[0].getsockname())

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        async with self.call_lock:
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
    """Returns the settings of node `number` of a fleet of `nodes` that poll discovery for their lists."""
    rules = {**SETTINGS["rules"], "ask_within": 10_000_000}
    return {"discovery": "ask", "group_size": nodes, "self_index": number, "rules": rules}


request_ids = count(1)


class Client:
    """A client with one connection."""

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
    """A running node with its servers and its discovery. `task` runs the node."""

    def __init__(
        self, node: Node, upstreams: list[ScriptedServer], discovery: ScriptedDiscovery, task: asyncio.Task
    ) -> None:
        self.node, self.upstreams, self.discovery_server, self.task = node, upstreams, discovery, task

    def client(self) -> Awaitable[Client]:
        return Client.open(self.node.address)

    async def watch(self) -> asyncio.StreamWriter:
        return (await self.discovery_server.watches.get())[1]


def config_dict(discovery: str, settings: dict | None = None, **more) -> dict:
    """Returns a node's configuration. `settings` override those of `SETTINGS`, `more` are further top-level keys."""
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
    """Runs a node that uses the discovery at this address. `more` are options of the node."""
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
    """Runs a test against a node with `servers` servers in its configured list.

    `known` replaces the entries of that list. `zones` has one letter for the zone of each server: "h" for "here", "t"
    for "there". `limits` are the keys of the configuration's `limits`.
    """

    async def body() -> None:
        upstreams = [await ScriptedServer().start() for _ in range(servers)]
        discovery = await ScriptedDiscovery().start()
        entries = known or [entry(f"s{i}", o.address) for i, o in enumerate(upstreams)]
        for item, zone in zip(entries, zones, strict=False):
            item["zone"] = {"h": "here", "t": "there"}[zone]
        known_list = update(41, *entries, reset=True)
        config = config_dict(
            discovery.address, settings, limits={"sockets": 1024, **limits}, known=known_list
        )
        node = Node(config_from(config))
        task = asyncio.create_task(node.run())
        await node.started.wait()
        try:
            await test(NodeEnvironment(node, upstreams, discovery, task))
        finally:
            task.cancel()

    run(body())
