"""Measures the request rate and the CPU time per request of a node, alternating between two checkouts.

python benchmarks/node_rate.py [--other FOLDER] [--runs 10] [--seconds 4] [--clients 16]

A node process forwards requests of closed-loop clients to four servers that respond immediately; clients, servers and
discovery share this process. Both checkouts run with the current interpreter, so only the node differs. CPU time is
the user and system time of the node process from /proc.
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
RESPONSE = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Server-Load: inflight=1,queue=0,util=0.2,eps=0\r\n\r\nok"
)
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


class Sample(NamedTuple):
    """The results of one run with one checkout."""

    requests_per_second: float
    cpu_us_per_request: float
    failed: int


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Responds to each request immediately."""
    try:
        while True:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(RESPONSE)
    except (asyncio.IncompleteReadError, ConnectionError):
        writer.close()


class Client:
    """A closed-loop client: it sends a request when the previous one has its response."""

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


def cpu_seconds(pid: int) -> float:
    """Returns the user and system time of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def start_node(checkout: Path, config: Path) -> subprocess.Popen[str]:
    """Starts a node from a checkout, without waiting until it listens."""
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
    """Returns the port in the node's log; blocks until the node has logged it."""
    assert node.stderr is not None
    for line in node.stderr:
        if "listening on" in line:
            return int(line.rpartition(":")[2])
    raise RuntimeError("the node exited before it was listening")


async def measure(checkout: Path, folder: Path, seconds: float, clients: int) -> Sample:
    """Runs a node; returns its request rate and CPU time per request over `seconds`, after a warm-up."""
    discovery = await StandinDiscovery().start()
    servers = [await listen(serve) for _ in range(SERVERS)]
    discovery.put(*(entry(f"s{i}", address) for i, (_, address) in enumerate(servers)))
    config = folder / "node.json"
    settings = node_settings(CLASSES, 1)
    config.write_text(
        json.dumps(
            {"listen": "127.0.0.1:0", "discovery": discovery.address, "seed": "1", "settings": settings}
        )
    )
    node = start_node(checkout, config)
    try:
        port = await asyncio.to_thread(listening_port, node)
        load_clients = [Client(i, ("127.0.0.1", port)) for i in range(clients)]
        tasks = [asyncio.create_task(client.run()) for client in load_clients]
        await asyncio.sleep(WARM_UP_S)
        answered, cpu_s = sum(c.answered for c in load_clients), cpu_seconds(node.pid)
        await asyncio.sleep(seconds)
        answered = sum(c.answered for c in load_clients) - answered
        cpu_s = cpu_seconds(node.pid) - cpu_s
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return Sample(answered / seconds, cpu_s * 1e6 / answered, sum(c.failed for c in load_clients))
    finally:
        node.kill()
        node.wait()
        await discovery.stop()
        for server, _ in servers:
            server.close()


def main() -> None:
    """Measures the checkouts alternately and prints the medians."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--other", type=Path)
    parser.add_argument("--runs", type=int, default=10)
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--clients", type=int, default=16)
    args = parser.parse_args()
    checkouts = {"this": ROOT, **({"other": args.other.resolve()} if args.other else {})}
    samples_by_checkout: dict[str, list[Sample]] = {name: [] for name in checkouts}
    with tempfile.TemporaryDirectory() as folder:
        for _ in range(args.runs):
            for name, checkout in checkouts.items():
                samples_by_checkout[name].append(
                    uvloop.run(measure(checkout, Path(folder), args.seconds, args.clients))
                )
    print(f"{os.cpu_count()} cores, {args.runs} runs of {args.seconds:g} s each, in turn; medians")
    for name, samples in samples_by_checkout.items():
        rates = [s.requests_per_second for s in samples]
        costs = [s.cpu_us_per_request for s in samples]
        print(
            f"{name}: {statistics.median(rates):,.0f} requests a second ({min(rates):,.0f} to {max(rates):,.0f}), "
            f"{statistics.median(costs):.1f} us of processor a request ({min(costs):.1f} to {max(costs):.1f}), "
            f"{sum(s.failed for s in samples)} not served"
        )


if __name__ == "__main__":
    main()
