"""A second copy of an answer, some milliseconds late, is served as the answer to another request."""

from __future__ import annotations

import asyncio
import contextlib
import random
import sys
from collections import Counter
from pathlib import Path
from typing import cast

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig import Agent, Case, Node, entry, read_message, request_bytes, response, run_case

LATENCY_S = 0.008  # one way between two sites; the site file says 5.6 to 10 ms (cross_ms)
WORK_S = 0.012
COPY_SHARE = 0.1
COPY_LATE_S = (0.006, 0.010)
CLIENTS = 8
DURATION_S = 15.0


class RemoteServer:
    """A server of another site, behind a link with a latency."""

    def __init__(self, case: Case, name: str, seed: int) -> None:
        self.case = case
        self.name = name
        self.rng = random.Random(seed)
        self.address = ""
        self.copies = 0

    async def start(self) -> None:
        """Listens on a free port, and on another one for the link to it."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: ServerConnection(self), "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        links: set[asyncio.Task[None]] = set()

        def connected(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            task = asyncio.create_task(link(reader, writer, port))
            links.add(task)
            task.add_done_callback(links.discard)

        proxy = await asyncio.start_server(connected, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{proxy.sockets[0].getsockname()[1]}"

        async def end() -> None:
            proxy.close()
            server.close()
            tasks = list(links)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        self.case.endings.append(end)


class ServerConnection(asyncio.Protocol):
    """One connection of a server. Requests without a body are answered in turn.

    Attributes:
        received: The number of bytes received.
    """

    def __init__(self, server: RemoteServer) -> None:
        self.server = server
        self.buffer = b""
        self.received = 0
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See `asyncio.Protocol`."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Runs each complete request."""
        self.buffer += data
        self.received += len(data)
        while b"\r\n\r\n" in self.buffer:
            head, _, self.buffer = self.buffer.partition(b"\r\n\r\n")
            request_id = head.split(b"X-Request-ID: ")[1].split(b"\r\n")[0].decode()
            self.server.case.record.write(f"{self.server.name}: run {request_id}")
            asyncio.get_running_loop().call_later(WORK_S, self.answer, request_id)

    def answer(self, request_id: str) -> None:
        """Sends the answer, whose body is the id of the request; after some of them a copy follows."""
        data = response("200 OK", request_id.encode())
        self.write(data)
        rng = self.server.rng
        if self.server.case.trouble and rng.random() < COPY_SHARE:
            late = rng.uniform(*COPY_LATE_S)
            asyncio.get_running_loop().call_later(late, self.send_copy, data, request_id, self.received)

    def send_copy(self, data: bytes, request_id: str, received: int) -> None:
        """Sends the second copy if nothing else waits: not a byte has come since the request."""
        if self.received == received and self.transport is not None and not self.transport.is_closing():
            self.server.copies += 1
            self.server.case.record.write(f"{self.server.name}: second copy of {request_id}")
            self.write(data)

    def write(self, data: bytes) -> None:
        """Writes bytes unless the connection is closed."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)


async def link(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, port: int) -> None:
    """Connects two sites: each byte arrives later by the latency, in order."""
    far_reader, far_writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        await asyncio.gather(carry(reader, far_writer), carry(far_reader, writer))
    finally:
        writer.close()
        far_writer.close()


async def carry(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Carries one direction of a connection, and its end."""
    loop = asyncio.get_running_loop()
    with contextlib.suppress(OSError):
        while data := await reader.read(1 << 16):
            loop.call_later(LATENCY_S, writer.write, data)
    loop.call_later(LATENCY_S, writer.close)
    await asyncio.sleep(2 * LATENCY_S)


async def send_requests(case: Case, node: Node, client: int, answers: dict[str, tuple[str, str]]) -> None:
    """Sends requests one after another on a kept connection."""
    rng = random.Random(client)
    number = 0
    while True:
        reader, writer = await asyncio.open_connection(node.host, node.port)
        head = b""
        while b"connection: close" not in head.lower():
            number += 1
            request_id = f"c{client}-{number}"
            case.record.write(f"client: {request_id}: sends")
            writer.write(request_bytes("latest", request_id, 2500))
            head, body = await read_message(reader)
            answers[request_id] = head.split(b" ", 2)[1].decode(), body.decode()
            case.record.write(f"client: {request_id}: {answers[request_id]}")
            await asyncio.sleep(rng.uniform(0, 0.05))
        writer.close()


async def play(case: Case) -> bool:
    """Returns whether each answer with status 200 was made for its request."""
    agent = Agent(case, "discovery", 41)
    servers = [RemoteServer(case, f"s-{number}", number) for number in (1, 2, 3)]
    for server in servers:
        await server.start()
    await agent.start()
    agent.instances = {
        server.name: entry(server.name, server.address, zone="galveston") for server in servers
    }
    node = Node(case, agent)
    await node.start()
    answers: dict[str, tuple[str, str]] = {}
    tasks = [asyncio.create_task(send_requests(case, node, number, answers)) for number in range(CLIENTS)]
    await asyncio.sleep(DURATION_S)
    for task in tasks:
        if task.done():
            await task
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    foreign = {name: body for name, (status, body) in answers.items() if status == "200" and body != name}
    copies = sum(server.copies for server in servers)
    case.record.write(f"answers: {dict(Counter(status for status, _ in answers.values()))}; copies: {copies}")
    case.record.write(f"requests that were served with the answer to another one: {foreign}")
    if not answers or (case.trouble and not copies):
        raise RuntimeError("nothing was answered, or no copy was sent")
    return not foreign


run_case(Path(__file__).resolve().with_name("record.txt"), play)
