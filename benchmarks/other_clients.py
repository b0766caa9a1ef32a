"""Measures what other clients of a node get, and how large the node grows, while abusive clients act.

    python benchmarks/other_clients.py [--kind WORD] [--clients 1 6 900] [--seconds 5] [--memory 192 96]

Prints a row for each kind and number of abusive clients: the latency of a polite client that sends 20 requests a
second, how many of its requests were late, unanswered or refused, and the node's largest resident size. The abusive
clients run in a process of their own.
"""

from __future__ import annotations

import argparse
import asyncio
import signal
import socket
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Coroutine
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any, NamedTuple

import uvloop

from harecross.platform.process_memory import ResidentMemory, parse_proportional_size, parse_status
from harecross.soak.abusive_clients import KINDS, start_process
from harecross.standins.cluster import NodeProcess, node_settings
from harecross.standins.discovery import StandinDiscovery, entry, update
from harecross.standins.http import answer, header, listen, read_message

REQUEST_INTERVAL_S = 0.05
REQUEST_TIMEOUT_S = 1.0
ANSWER_GRACE_S = 0.5
SETTLE_S = 0.5
ANSWER_DELAY_S = 0.01
SAMPLE_INTERVAL_S = 0.01
BLOCK_BYTES = 512  # the unit of st_blocks (stat(2))
LISTEN_BACKLOG = 1024
ANSWER_SIZES = {b"/large": 400_000, b"/medium": 60_000, b"/huge": 2_000_000}
CLASSES = [
    {"name": "read", "effect": "free", "goal_time": 1_000_000, "hard_limit": 2_000_000, "worth": 1},
    {
        "name": "put",
        "effect": "guarded",
        "goal_time": 1_000_000,
        "hard_limit": 2_000_000,
        "worth": 1,
        "group": "all",
        "window": 2_000_000,
    },
]


@dataclass
class Outcome:
    """What a polite client got.

    Attributes:
        closed: Connections that were closed unread, as a node may do at its limit on descriptors.
    """

    latencies: list[float] = field(default_factory=list)
    late: int = 0
    closed: int = 0
    refused: int = 0

    def row(self) -> str:
        """Returns the figures as text."""
        ordered = sorted(self.latencies) or [0.0]
        p50, p99 = (ordered[min(len(ordered) - 1, int(len(ordered) * q))] * 1000 for q in (0.5, 0.99))
        total = len(self.latencies) + self.late + self.refused + self.closed
        answered = f"{total} sent, p50 {p50:.0f} ms, p99 {p99:.0f} ms"
        return f"{answered}, {self.late} late, {self.refused} refused, {self.closed} closed unread"


class Servers(NamedTuple):
    """How many servers there are, how long each of them takes for an answer, and how many entries the list has.

    A list with more entries than there are servers names some of them several times.
    """

    number: int
    answer_delay_s: float = ANSWER_DELAY_S
    entries: int = 0


class Suspension(NamedTuple):
    """For how long the node's process is stopped (SIGSTOP), and how long after the abuse has begun."""

    seconds: float
    after_s: float = 0.2


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, answer_delay_s: float) -> None:
    """Answers requests after some time; a body is read to its end."""
    try:
        while True:
            head, _ = await read_message(reader)
            await asyncio.sleep(answer_delay_s)
            path = b"/" + head.split(b" ", 2)[1].rsplit(b"/", 1)[1]
            size = ANSWER_SIZES.get(path)
            writer.write(answer(200, bytes(size) if size else header(head, b"X-Request-ID")))
            await writer.drain()
    except (asyncio.IncompleteReadError, ConnectionError):
        writer.close()


async def send_politely(address: tuple[str, int], outcome: Outcome, number: int) -> None:
    """Sends one request on a new connection and records what comes back."""
    began = time.monotonic()
    timeout_ms = round(REQUEST_TIMEOUT_S * 1000)
    text = f"GET /read/1 HTTP/1.1\r\nX-Request-ID: polite-{number}\r\nX-Timeout: {timeout_ms}m\r\n\r\n"
    try:
        async with asyncio.timeout(REQUEST_TIMEOUT_S + ANSWER_GRACE_S):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(text.encode())
            head, _ = await read_message(reader)
        writer.close()
    except TimeoutError:
        outcome.late += 1
        return
    except (OSError, asyncio.IncompleteReadError):
        outcome.closed += 1
        return
    if head.split(b" ")[1] == b"200":
        outcome.latencies.append(time.monotonic() - began)
    else:
        outcome.refused += 1


class Measurement(NamedTuple):
    """The figures of one run; the sizes are the node's resident ones in bytes, None if it has ended."""

    outcome: Outcome
    idle_bytes: int
    memory: ResidentMemory | None

    def row(self) -> str:
        """Returns the figures as text."""
        if self.memory is None:
            return "the node ended"
        sizes = (size >> 20 for size in (self.idle_bytes, self.memory.peak, self.memory.current))
        return self.outcome.row() + "; resident {} MB idle, {} peak, {} after".format(*sizes)


@asynccontextmanager
async def environment(memory_mb: int, servers: Servers) -> AsyncIterator[tuple[Path, dict[str, Any]]]:
    """Provides servers and a discovery; yields a folder and the configuration of a node that uses them."""
    handler = partial(serve, answer_delay_s=servers.answer_delay_s)
    listening = [await listen(handler) for _ in range(servers.number)]
    count = max(servers.number, servers.entries)
    entries = [entry(f"s{i}", listening[i % servers.number][1]) for i in range(count)]
    discovery = await StandinDiscovery().start()
    discovery.put(*entries)
    with tempfile.TemporaryDirectory() as folder:
        yield (
            Path(folder),
            {
                "name": "n0",
                "listen": "127.0.0.1:0",
                "discovery": discovery.address,
                "seed": "1",
                "limits": {"sockets": 1024, "memory_mb": memory_mb},
                "known": update(41, *entries, reset=True),
                "settings": node_settings(CLASSES, 1),
            },
        )
    for server, _ in listening:
        server.close()
    await discovery.stop()


async def ask_politely(address: tuple[str, int], outcome: Outcome, seconds: float) -> None:
    """Sends requests for some time and waits for their answers."""
    polite = []
    for number in range(int(seconds / REQUEST_INTERVAL_S)):
        polite.append(asyncio.create_task(send_politely(address, outcome, number)))
        await asyncio.sleep(REQUEST_INTERVAL_S)
    await asyncio.gather(*polite)


def resident_size(node: NodeProcess) -> ResidentMemory | None:
    """Returns the resident memory of a node's process; None if it has ended."""
    if node.process is None or not node.alive:
        return None
    return parse_status(Path(f"/proc/{node.process.pid}/status").read_text())


async def suspend(node: NodeProcess, suspension: Suspension) -> None:
    """Stops a node's process for a while."""
    await asyncio.sleep(suspension.after_s)
    node.signal(signal.SIGSTOP)
    await asyncio.sleep(suspension.seconds)
    node.signal(signal.SIGCONT)


class Crowd(NamedTuple):
    """Abusive clients of one kind, and for how many seconds they act."""

    kind: str
    clients: int
    seconds: float


async def measure(
    crowd: Crowd, memory_mb: int, servers: Servers, suspension: Suspension | None = None
) -> Measurement:
    """Runs one node under one kind of abuse."""
    async with environment(memory_mb, servers) as (folder, config):
        node = NodeProcess("n0", folder, config)
        await node.start(None)
        idle = resident_size(node)
        assert idle is not None
        outcome = Outcome()
        abuser = await start_process(*crowd[:2], node.address, crowd.seconds)
        if suspension is not None:
            await suspend(node, suspension)
        await ask_politely(node.address, outcome, crowd.seconds)
        await abuser.wait()
        await asyncio.sleep(SETTLE_S)
        memory = resident_size(node)
        await node.end()
    return Measurement(outcome, idle.current, memory)


def node_bytes(nodes: list[NodeProcess], folder: Path) -> int:
    """Returns the proportional sizes of the processes of one node, and the size of its files."""
    total = 0
    for node in nodes:
        if node.process is not None and node.alive:
            with suppress(OSError):
                text = Path(f"/proc/{node.process.pid}/smaps_rollup").read_text()
                total += parse_proportional_size(text)
    with suppress(OSError):
        total += sum(file.stat().st_blocks * BLOCK_BYTES for file in folder.iterdir())
    return total


async def sample_node_bytes(nodes: list[NodeProcess], folder: Path, sizes: list[int]) -> None:
    """Appends the size of a node at short intervals."""
    while True:
        sizes.append(node_bytes(nodes, folder))
        await asyncio.sleep(SAMPLE_INTERVAL_S)


async def measure_upgrade(crowd: Crowd, memory_mb: int, servers: Servers) -> int:
    """Starts a second process of a node under abuse, and ends the first one; returns the node's largest size."""
    async with environment(memory_mb, servers) as (folder, config):
        state = folder / "state"
        state.mkdir()
        with socket.create_server(("127.0.0.1", 0), backlog=LISTEN_BACKLOG) as listener:
            nodes = []
            for number in range(2):
                admin = {"admin": "127.0.0.1:0"}
                node = NodeProcess("n0", folder, {**config, **admin}, {"TMPDIR": str(state)})
                node.path = folder / f"n0-{number}.json"
                node.listener = listener
                nodes.append(node)
            await nodes[0].start(None)
            sizes: list[int] = []
            sampler = asyncio.create_task(sample_node_bytes(nodes, state, sizes))
            abuser = await start_process(*crowd[:2], nodes[0].address, crowd.seconds)
            outcome = Outcome()
            polite = asyncio.create_task(ask_politely(nodes[0].address, outcome, crowd.seconds))
            await asyncio.sleep(crowd.seconds / 3)
            await nodes[1].start(None)
            await asyncio.sleep(crowd.seconds / 3)
            nodes[0].signal(signal.SIGTERM)
            await polite
            await abuser.wait()
            sampler.cancel()
            assert nodes[1].alive
            for node in nodes:
                await node.end()
    return max(sizes)


def run(work: Coroutine[Any, Any, Any]) -> Any:
    """Runs a coroutine on the event loop of the node."""
    return uvloop.run(work)


def main() -> None:
    """Parses the command line and measures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--kind", default="", help="only kinds whose name contains this text")
    parser.add_argument("--clients", type=int, nargs="+", default=[1, 6, 900])
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--memory", type=int, nargs="+", default=[192, 96])
    parser.add_argument("--servers", type=int, default=6)
    options = parser.parse_args()
    for kind in KINDS:
        for clients in options.clients if options.kind in kind else []:
            for memory_mb in options.memory:
                crowd = Crowd(kind, clients, options.seconds)
                row = run(measure(crowd, memory_mb, Servers(options.servers)))
                sys.stdout.write(f"{kind}, {clients} clients, {memory_mb} MB: {row.row()}\n")
                sys.stdout.flush()


if __name__ == "__main__":
    main()
