"""Measures what other clients of a node get, and how large the node grows, while abusive clients act.

    python benchmarks/other_clients.py [--kind WORD] [--clients 1 6 900] [--seconds 5] [--memory 192 96]

Prints a row for each kind and number of abusive clients: the latency of a polite client that sends 20 requests a
second, how many of its requests were late, unanswered or refused, and the node's largest resident size. The abusive
clients run in a process of their own.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
import tempfile
import time
from collections.abc import Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NamedTuple

import uvloop

from harecross.platform.process_memory import ResidentMemory, parse_status
from harecross.soak.abusive_clients import KINDS, start_process
from harecross.standins.cluster import NodeProcess, node_settings
from harecross.standins.discovery import entry, update
from harecross.standins.http import answer, header, listen, read_message

REQUEST_INTERVAL_S = 0.05
REQUEST_TIMEOUT_S = 1.0
ANSWER_GRACE_S = 0.5
SETTLE_S = 0.5
ANSWER_DELAY_S = 0.01
LARGE_ANSWER = bytes(400_000)
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


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answers requests after a short time; a body is read to its end."""
    try:
        while True:
            head, _ = await read_message(reader)
            await asyncio.sleep(ANSWER_DELAY_S)
            large = b"/large" in head.split(b"\r\n", 1)[0]
            writer.write(answer(200, LARGE_ANSWER if large else header(head, b"X-Request-ID")))
            await writer.drain()
    except (asyncio.IncompleteReadError, ConnectionError):
        writer.close()


async def ignore(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answers nothing: the discovery of the node, which uses its configured list."""


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


async def measure(kind: str, clients: int, seconds: float, memory_mb: int, servers: int) -> Measurement:
    """Runs one node under one kind of abuse."""
    listening = [await listen(serve) for _ in range(servers)]
    entries = [entry(f"s{i}", address) for i, (_, address) in enumerate(listening)]
    discovery, discovery_address = await listen(ignore)
    with tempfile.TemporaryDirectory() as folder:
        config = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "discovery": discovery_address,
            "seed": "1",
            "limits": {"sockets": 1024, "memory_mb": memory_mb},
            "known": update(41, *entries, reset=True),
            "settings": node_settings(CLASSES, 1),
        }
        node = NodeProcess("n0", Path(folder), config)
        await node.start(None)
        assert node.process is not None
        status = Path(f"/proc/{node.process.pid}/status")
        idle = parse_status(status.read_text()).current
        outcome = Outcome()
        abuser = await start_process(kind, clients, node.address, seconds)
        polite = []
        for number in range(int(seconds / REQUEST_INTERVAL_S)):
            polite.append(asyncio.create_task(send_politely(node.address, outcome, number)))
            await asyncio.sleep(REQUEST_INTERVAL_S)
        await asyncio.gather(*polite)
        await abuser.wait()
        await asyncio.sleep(SETTLE_S)
        memory = parse_status(status.read_text()) if node.alive else None
        await node.end()
    for server, _ in listening:
        server.close()
    discovery.close()
    return Measurement(outcome, idle, memory)


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
                row = run(measure(kind, clients, options.seconds, memory_mb, options.servers))
                sys.stdout.write(f"{kind}, {clients} clients, {memory_mb} MB: {row.row()}\n")
                sys.stdout.flush()


if __name__ == "__main__":
    main()
