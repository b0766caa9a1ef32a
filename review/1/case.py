"""While the process is replaced, a request that a server runs is answered as refused."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import socket
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig import (
    LATEST,
    Agent,
    Case,
    Node,
    Received,
    Server,
    entry,
    free_port,
    read_message,
    request_bytes,
    response,
    run_case,
    settings,
)

# The classes of riga-tiles; STANDING lets the settings mark a class as unsafe to repeat.
TILE_GET = {
    **LATEST,
    "name": "tile-get",
    "goal_time": 2_500_000,
    "hard_limit": 6_000_000,
    "window": 10_000_000,
}
ALERT_SET = {**TILE_GET, "name": "alert-set", "effect": "single_shot", "worth": 8.0}
DEADLINE_MS = 6000
KILL_AFTER_S = 3.0 + 0.7  # SIGKILL follows SIGTERM after the longest deadline (counted as 3 s) and 0.7 s
SERVERS = 10
MEMORY_MB = 128
SMALL_CLIENTS, SMALL_BODY = 250, 60_000
LARGE_CLIENTS, LARGE_BODY, FIRST_PIECE = 40, 100_000, 70_000
LARGE_PAUSE_S = (0.3, 0.8)  # before the last piece; the whole body comes at 100 kB/s or faster
REPLACE_AT_S = 14.0


class Clients:
    """The clients, and the status of each answered request."""

    def __init__(self, case: Case, node: Node) -> None:
        self.case = case
        self.node = node
        self.rng = random.Random(1)
        self.statuses: dict[str, str] = {}

    async def run(self, name: str, body: bytes, first: int) -> None:
        """Sends requests one after another on a kept connection; waits before the bytes after `first`."""
        await asyncio.sleep(self.rng.uniform(0, 2))
        number = 0
        while True:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(self.node.host, self.node.port)
                head = b""
                while b"connection: close" not in head.lower():
                    # A refused request is sent once more under a new id, as clients may.
                    last = f"{name}-{number}"
                    again = self.statuses.get(last) == "503"
                    number += not again
                    request_id = f"{last}-again" if again else f"{name}-{number}"
                    number += again
                    head = await self.send(reader, writer, request_id, body, first)
                writer.close()

    async def send(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request_id: str,
        body: bytes,
        first: int,
    ) -> bytes:
        """Sends one request and returns the head of its answer."""
        data = request_bytes("alert-set", request_id, DEADLINE_MS, body)
        self.case.record.write(f"client: {request_id}: sends {len(body)} bytes")
        writer.write(data[:first])
        if first < len(data):
            await writer.drain()
            await asyncio.sleep(self.rng.uniform(*LARGE_PAUSE_S))
            writer.write(data[first:])
        head, _ = await read_message(reader)
        status = head.split(b" ", 2)[1].decode()
        self.statuses[request_id] = status
        self.case.record.write(f"client: {request_id}: {status}")
        if status != "200":
            await asyncio.sleep(0.2)
        return head


async def answer_later(server: Server, request: Received, writer: asyncio.StreamWriter) -> None:
    """Answers after about a second."""
    await asyncio.sleep(random.uniform(0.8, 1.0))
    writer.write(response("200 OK", f"{server.name} {request.id}".encode()))


def start_node(case: Case, agent: Agent, listener: socket.socket) -> Node:
    """Returns a process of the node that is still to be started."""
    riga = settings(
        [TILE_GET, ALERT_SET],
        dcs=["riga-office"],
        kinds=["front-fast", "front-mid", "front-slow"],
        layers=["tile-front", "tile-render", "radar-store"],
        report={"columns": [], "how": "off"},
    )
    node = Node(case, agent, riga, listener)
    node.config["limits"]["memory_mb"] = MEMORY_MB
    node.config["admin"] = f"127.0.0.1:{free_port('127.0.0.1')}"
    return node


async def play(case: Case) -> bool:
    """Returns whether no request was refused that a server ran."""
    record = case.record
    agent = Agent(case, "discovery", 41)
    servers = [Server(case, f"s-{number}", answer_later) for number in range(SERVERS)]
    for server in servers:
        await server.start()
    await agent.start()
    agent.instances = {
        server.name: entry(server.name, server.address, zone="riga-office") for server in servers
    }
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen(1000)
        old = start_node(case, agent, listener)
        await old.start()
        clients = Clients(case, old)
        tasks = [
            asyncio.create_task(clients.run(f"small-{i}", b"x" * SMALL_BODY, 1 << 20))
            for i in range(SMALL_CLIENTS)
        ]
        tasks += [
            asyncio.create_task(clients.run(f"large-{i}", b"y" * LARGE_BODY, FIRST_PIECE))
            for i in range(LARGE_CLIENTS)
        ]
        await asyncio.sleep(REPLACE_AT_S)
        if case.trouble:
            new = start_node(case, agent, listener)
            await new.start()
            record.write("memory of both: {} MB".format(*[sum(p.peak_memory_mb() for p in (old, new))]))
            old.signal(signal.SIGTERM)
            await asyncio.sleep(KILL_AFTER_S)
            old.signal(signal.SIGKILL)
        await asyncio.sleep(2.0)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    ran = {request.id for server in servers for _, request in server.received}
    broken = [name for name, status in clients.statuses.items() if status in ("429", "503") and name in ran]
    twice = [name for name in broken if f"{name}-again" in ran]
    record.write(f"answers: {dict(Counter(clients.statuses.values()))}")
    record.write(f"requests that a server ran and that were refused: {broken}")
    record.write(f"of these, run again when the client tried again as it may: {twice}")
    if not ran:
        raise RuntimeError("nothing was run")
    return not broken


run_case(Path(__file__).resolve().with_name("record.txt"), play)
