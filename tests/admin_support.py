"""Servers, a discovery, and one listening socket that several instances of a node share; calls to the admin server."""

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
    """Servers, a discovery, and one listening socket that any number of instances of a node share.

    Each instance acts as a process of the node, although all run in the test's process.

    Attributes:
        folder: The folder in which the instances store their state.
        answer_tasks: One task per server, which answers its requests; empty until a request is sent to any server.
    """

    def __init__(self, folder: Path, servers: int) -> None:
        self.folder = str(folder)
        self.servers = servers
        self.answer_tasks: list[asyncio.Task] = []
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
        # The discovery sends a list only if the test does, and the node must not wait for it.
        node.discovery.list_received = True
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
        """Sends requests until one reaches the server, which may take several while it is in slow start."""
        while await self.send_and_identify_server() != server:
            await asyncio.sleep(0.01)

    def client(self):
        return Client.open(self.address)

    async def send_and_identify_server(self) -> int:
        """Sends one request on a new connection and returns the index of the server that received it.

        From the first call on, every server answers all of its requests.
        """
        if not self.answer_tasks:
            self.answer_tasks = [asyncio.create_task(self.answer(i)) for i in range(self.servers)]
        client = await self.client()
        # The request has the class with the highest priority weight, because an instance that has not measured its
        # servers yet reserves capacity for that class.
        client.send("/put/1", key="k")
        status, _, body = await client.answer()
        client.writer.close()
        assert status == 200
        return int(body)


def run_with_site(test, folder: Path, servers: int = 1) -> None:
    """Runs a test on a site with `servers` servers, whose state is stored in `folder`."""

    async def body() -> None:
        site = await MultiProcessSite(folder, servers).start()
        try:
            await test(site)
        finally:
            site.sock.close()

    run(body())


async def call_admin(node: Node, path: str, text: str = "", method: str = "") -> tuple[int, bytes]:
    """Calls the node's admin server with the body `text`. Returns the status and the body of the answer."""
    assert node.admin_operations is not None
    reader, writer = await asyncio.open_connection(*node.admin_operations.server.address)
    method = method or ("GET" if path == "/status" else "POST")
    writer.write(f"{method} {path} HTTP/1.1\r\nHost: d\r\nContent-Length: {len(text)}\r\n\r\n{text}".encode())
    head, body = await read_message(reader)
    assert await reader.read() == b""  # the server closes the connection after one call
    writer.close()
    return int(head.split(b" ")[1]), body
