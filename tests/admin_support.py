"""A site of servers, a discovery and one listening socket, with any number of node processes behind it."""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

from node_support import Client, ScriptedDiscovery, ScriptedServer, config_dict, entry, run, update

from harecross.node.config import config_from
from harecross.node.node import Node
from harecross.node.options import NodeOptions
from harecross.standins.http import read_message


class MultiProcessSite:
    """Servers, a discovery, one listening socket and any number of processes behind it."""

    def __init__(self, folder: Path, servers: int) -> None:
        self.folder = str(folder)
        self.servers = servers
        self.answering: list[asyncio.Task] = []
        self.sock = socket.socket()
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(64)
        self.address = self.sock.getsockname()

    async def start(self) -> MultiProcessSite:
        self.upstreams = [await ScriptedServer().start() for _ in range(self.servers)]
        self.discovery_server = await ScriptedDiscovery().start()
        self.entries = [entry(f"s{i}", o.address) for i, o in enumerate(self.upstreams)]
        self.known = update(41, *self.entries, reset=True)
        return self

    @asynccontextmanager
    async def node(self, **settings) -> AsyncIterator[Node]:
        config = config_dict(
            self.discovery_server.address,
            settings,
            admin="127.0.0.1:0",
            known=self.known,
            limits={"sockets": 512},
        )
        inherited = socket.socket(fileno=os.dup(self.sock.fileno()))
        node = Node(config_from(config), NodeOptions(inherited_listener=inherited, state_folder=self.folder))
        task = asyncio.create_task(node.run())
        await node.started.wait()
        node.discovery.list_received = True  # these tests' discovery speaks only where a test says so
        try:
            yield node
        finally:
            task.cancel()
            assert node.admin_operations is not None
            node.admin_operations.close()

    async def answer(self, i: int) -> None:
        while True:
            (await self.upstreams[i].received.get()).answer(body=b"%d" % i)

    async def wait_until_called(self, server: int) -> None:
        """A cold server gets its first call in time, not at once."""
        while await self.send_and_identify_server() != server:
            await asyncio.sleep(0.01)

    def client(self):
        return Client.open(self.address)

    async def send_and_identify_server(self) -> int:
        """One request from a client of its own; which server it went to. All are answered from now on."""
        if not self.answering:
            self.answering = [asyncio.create_task(self.answer(i)) for i in range(self.servers)]
        client = await self.client()
        # Of the class worth most: a copy that has not measured its servers yet keeps room for it.
        client.send("/put/1", key="k")
        status, _, body = await client.answer()
        client.writer.close()
        assert status == 200
        return int(body)


def run_with_site(test, folder: Path, servers: int = 1) -> None:
    async def body() -> None:
        site = await MultiProcessSite(folder, servers).start()
        try:
            await test(site)
        finally:
            site.sock.close()

    run(body())


async def call_admin(node: Node, path: str, text: str = "", method: str = "") -> tuple[int, bytes]:
    assert node.admin_operations is not None
    reader, writer = await asyncio.open_connection(*node.admin_operations.server.address)
    method = method or ("GET" if path == "/status" else "POST")
    writer.write(f"{method} {path} HTTP/1.1\r\nHost: d\r\nContent-Length: {len(text)}\r\n\r\n{text}".encode())
    head, body = await read_message(reader)
    assert await reader.read() == b""  # one call to each connection
    writer.close()
    return int(head.split(b" ")[1]), body
