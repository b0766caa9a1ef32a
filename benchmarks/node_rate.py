"""Requests a second and processor time a request of one node, this checkout against another one, in turn.

python benchmarks/node_rate.py [--other FOLDER] [--runs 10] [--seconds 4] [--clients 16]

One node process stands between closed-loop clients and four servers that answer at once; clients, servers and
discovery share this process. Both checkouts use the present interpreter and differ in the node alone. Processor time
is the node process's own, user and system, from /proc.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import statistics
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import NamedTuple

import uvloop

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from harecross.standins.cluster import node_settings  # noqa: E402
from harecross.standins.discovery import StandinDiscovery, entry  # noqa: E402
from harecross.standins.http import listen  # noqa: E402

CLASSES = [{"name": "read", "effect": "free", "goal_time": 1_000_000, "hard_limit": 2_500_000, "worth": 1}]
SERVERS = 4
WARM_UP_S = 1.0
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Server-Load: inflight=1,queue=0,util=0.2,eps=0\r\n\r\nok"
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


class Sample(NamedTuple):
    """One run of one checkout."""

    requests_per_second: float
    cpu_us_per_request: float
    failed: int


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """A server that answers each request at once."""
    try:
        while True:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(ANSWER)
    except (asyncio.IncompleteReadError, ConnectionError):
        writer.close()


class Client:
    """A client that sends its next request when it has its answer."""

    def __init__(self, number: int, address: tuple[str, int]) -> None:
        self.number = number
        self.address = address
        self.answered = 0
        self.failed = 0

    async def run(self) -> None:
        """Sends requests until it is cancelled."""
        reader, writer = await asyncio.open_connection(*self.address)
        sent = 0
        while True:
            sent += 1
            writer.write(
                f"GET /read/{sent} HTTP/1.1\r\nHost: b\r\nX-Request-ID: {self.number}-{sent}\r\n"
                "X-Timeout: 2000m\r\n\r\n".encode()
            )
            head = await reader.readuntil(b"\r\n\r\n")
            length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
            await reader.readexactly(length)
            self.answered += 1
            self.failed += not head.startswith(b"HTTP/1.1 200")


def processor_seconds(pid: int) -> float:
    """User and system time of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def start_node(checkout: Path, config: Path) -> subprocess.Popen[str]:
    """Starts a node of that checkout, and returns once it listens."""
    environment = {**os.environ, "LB_CONFIG": str(config), "PYTHONPATH": str(checkout)}
    environment.pop("HARECROSS_CONFIG", None)
    return subprocess.Popen(
        [sys.executable, "-m", "harecross.node"],
        cwd=checkout,
        env=environment,
        stderr=subprocess.PIPE,
        text=True,
    )


def listening_port(node: subprocess.Popen[str]) -> int:
    """The port in the node's log line; blocks until it has come."""
    assert node.stderr is not None
    for line in node.stderr:
        if "listening on" in line:
            return int(line.rpartition(":")[2])
    raise RuntimeError("the node ended before it listened")


async def play(checkout: Path, folder: Path, seconds: float, clients: int) -> Sample:
    """One run: warm-up, then requests and processor time over that many seconds."""
    catalog = await StandinDiscovery().start()
    servers = [await listen(serve) for _ in range(SERVERS)]
    catalog.put(*(entry(f"s{i}", address) for i, (_, address) in enumerate(servers)))
    config = folder / "node.json"
    settings = node_settings(CLASSES, 1)
    config.write_text(
        json.dumps({"listen": "127.0.0.1:0", "discovery": catalog.address, "seed": "1", "settings": settings})
    )
    node = start_node(checkout, config)
    try:
        port = await asyncio.to_thread(listening_port, node)
        crowd = [Client(i, ("127.0.0.1", port)) for i in range(clients)]
        tasks = [asyncio.create_task(client.run()) for client in crowd]
        await asyncio.sleep(WARM_UP_S)
        answered, spent = sum(c.answered for c in crowd), processor_seconds(node.pid)
        await asyncio.sleep(seconds)
        answered = sum(c.answered for c in crowd) - answered
        spent = processor_seconds(node.pid) - spent
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return Sample(answered / seconds, spent * 1e6 / answered, sum(c.failed for c in crowd))
    finally:
        node.kill()
        node.wait()
        await catalog.stop()
        for server, _ in servers:
            server.close()


def main() -> None:
    """Plays the checkouts in turn and prints the medians."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--other", type=Path)
    parser.add_argument("--runs", type=int, default=10)
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--clients", type=int, default=16)
    args = parser.parse_args()
    checkouts = {"this": ROOT, **({"other": args.other.resolve()} if args.other else {})}
    found: dict[str, list[Sample]] = {name: [] for name in checkouts}
    with tempfile.TemporaryDirectory() as folder:
        for _ in range(args.runs):
            for name, checkout in checkouts.items():
                found[name].append(uvloop.run(play(checkout, Path(folder), args.seconds, args.clients)))
    print(f"{os.cpu_count()} cores, {args.runs} runs of {args.seconds:g} s each, in turn; medians")
    for name, samples in found.items():
        rates = [s.requests_per_second for s in samples]
        costs = [s.cpu_us_per_request for s in samples]
        print(
            f"{name}: {statistics.median(rates):,.0f} requests a second ({min(rates):,.0f} to {max(rates):,.0f}), "
            f"{statistics.median(costs):.1f} us of processor a request ({min(costs):.1f} to {max(costs):.1f}), "
            f"{sum(s.failed for s in samples)} not served"
        )


if __name__ == "__main__":
    main()
