"""Measures the rate, CPU time per megabyte and memory of large bodies through one or two processes of a node.

python benchmarks/bodies.py [--memory-mb 80] [--streams 200] [--size-mb 8] [--slow-kbps 400] [--seconds 8]

There are three runs: four streams at full speed through one process; `--streams` slow streams through one process;
and the same through two processes, half of the streams on each, as in an upgrade. Memory is the highest sum of the
processes' proportional set sizes (PSS), printed next to `limits.memory_mb`. The memory of the kernel's TCP sockets is
printed separately.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import uvloop

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from harecross.standins.cluster import node_settings  # noqa: E402
from harecross.standins.discovery import StandinDiscovery, entry  # noqa: E402
from harecross.standins.http import listen  # noqa: E402

CLASSES = [
    {"name": "read", "effect": "free", "goal_time": 20_000_000, "hard_limit": 30_000_000, "worth": 1},
    {"name": "put", "effect": "guarded", "goal_time": 20_000_000, "hard_limit": 30_000_000, "worth": 1,
     "group": "cell", "window": 20_000_000},
]  # fmt: skip
CHUNK = bytes(1 << 16)


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Accepts uploads of any size, and responds to a GET with as many bytes as the last segment of its path says."""
    try:
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).lower()
            length = (
                int(head.split(b"content-length: ")[1].split(b"\r\n")[0]) if b"content-length" in head else 0
            )
            while length > 0:
                chunk = await reader.read(min(length, 1 << 16))
                if not chunk:
                    raise ConnectionError
                length -= len(chunk)
            size = int(head.split(b" ")[1].rsplit(b"/", 1)[1]) if head.startswith(b"get") else 2
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
            while size > 0:
                writer.write(CHUNK[: min(size, len(CHUNK))])
                size -= len(CHUNK)
                await writer.drain()
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        writer.close()


class Stream:
    """A client that transfers bodies of `size` bytes one after another, at `rate` bytes per second (0: no limit)."""

    count = 0

    def __init__(self, address: tuple[str, int], size: int, rate: float, upload: bool) -> None:
        self.address, self.size, self.rate, self.upload = address, size, rate, upload
        self.transferred_bytes = self.completed = self.failed = 0

    async def run(self, until: float) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            try:
                await self.transfer(until)
            except (OSError, asyncio.IncompleteReadError, EOFError):
                self.failed += 1
                await asyncio.sleep(0.05)

    async def transfer(self, until: float) -> None:
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        sock.setblocking(False)
        for option in (socket.SO_SNDBUF, socket.SO_RCVBUF):
            sock.setsockopt(socket.SOL_SOCKET, option, 1 << 15)
        Stream.count += 1
        head = f"Host: b\r\nX-Request-ID: b{Stream.count}\r\nX-Timeout: 25000m\r\n"
        try:
            await loop.sock_connect(sock, self.address)
            if self.upload:
                line = (
                    f"POST /put/1 HTTP/1.1\r\n{head}Idempotency-Key: k\r\nContent-Length: {self.size}\r\n\r\n"
                )
            else:
                line = f"GET /read/{self.size} HTTP/1.1\r\n{head}\r\n"
            await loop.sock_sendall(sock, line.encode())
            response = b""
            while not self.upload and b"\r\n\r\n" not in response:
                response += await loop.sock_recv(sock, 1 << 10) or b"\r\n\r\n"
            if not self.upload and b" 200 " not in response:
                raise EOFError
            started_at, transferred = (
                loop.time(),
                0 if self.upload else len(response.partition(b"\r\n\r\n")[2]),
            )
            while transferred < self.size and loop.time() < until:
                if self.upload:
                    n = min(1 << 14, self.size - transferred)
                    await loop.sock_sendall(sock, CHUNK[:n])
                else:
                    n = len(await loop.sock_recv(sock, 1 << 14))
                    if n == 0:
                        raise EOFError
                transferred += n
                self.transferred_bytes += n
                if self.rate:
                    await asyncio.sleep(max(0, started_at + transferred / self.rate - loop.time()))
            if self.upload and transferred == self.size and b" 200 " not in await loop.sock_recv(sock, 4096):
                raise EOFError
            self.completed += transferred >= self.size
        finally:
            sock.close()


class Process:
    """A process of the node; all processes accept connections from the same listening socket."""

    def __init__(self, folder: Path, number: int, config: dict, sock: socket.socket) -> None:
        path = folder / f"c{number}.json"
        path.write_text(json.dumps(config))
        env = {**os.environ, "LB_CONFIG": str(path), "TMPDIR": str(folder), "LB_INHERITED_FD": str(sock.fileno()),
               "LB_ADMIN": f"127.0.0.1:{free_port()}"}  # fmt: skip
        self.process = subprocess.Popen(
            [sys.executable, "-m", "harecross.node"], cwd=ROOT, env=env, pass_fds=[sock.fileno()],
            stderr=subprocess.PIPE,
        )  # fmt: skip
        assert self.process.stderr is not None
        while b"listening on" not in (line := self.process.stderr.readline()):
            if not line:
                raise SystemExit("the node exited before it was listening")

    def memory_mb(self) -> float:
        """Returns the proportional set size in megabytes, which counts a page once over all processes that share it."""
        text = Path(f"/proc/{self.process.pid}/smaps_rollup").read_text()
        return int(text.split("Pss:")[1].split()[0]) / 1024

    def cpu_seconds(self) -> float:
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def kill(self) -> None:
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def kernel_tcp_mb() -> float:
    """Returns the megabytes of the kernel's TCP buffers for all sockets of this machine."""
    line = next(x for x in Path("/proc/net/sockstat").read_text().splitlines() if x.startswith("TCP:"))
    return int(line.split("mem ")[1]) * 4096 / 1e6


async def measure(args: argparse.Namespace, processes: int, streams: int, rate: float) -> str:
    discovery = await StandinDiscovery().start()
    servers = [await listen(serve) for _ in range(4)]
    for i, (_, address) in enumerate(servers):
        discovery.put(entry(f"s{i}", address))
    sock = socket.socket()
    sock.bind(("127.0.0.1", 0))
    sock.listen(1024)
    settings = node_settings(CLASSES, 1)
    config = {"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.address, "seed": "1", "settings": settings,
              "limits": {"sockets": 1024, "memory_mb": args.memory_mb}}  # fmt: skip
    address = sock.getsockname()
    loop = asyncio.get_running_loop()
    with tempfile.TemporaryDirectory() as folder:
        nodes = [await asyncio.to_thread(Process, Path(folder), 0, config, sock)]
        clients: list[Stream] = []
        tasks = []
        try:
            await asyncio.sleep(1)
            idle, end = nodes[0].memory_mb(), loop.time() + args.seconds * processes
            for index in range(processes):
                if index:
                    # SIGTERM makes the previous process stop accepting connections; it completes its open requests.
                    nodes.append(await asyncio.to_thread(Process, Path(folder), index, config, sock))
                    await asyncio.sleep(0.5)
                    nodes[index - 1].process.send_signal(signal.SIGTERM)
                    await asyncio.sleep(0.2)
                new_clients = [
                    Stream(
                        address,
                        args.size_mb << 20,
                        rate,
                        (i % 2 == 0) if args.only is None else args.only == "up",
                    )
                    for i in range(streams // processes)
                ]
                clients += new_clients
                tasks += [asyncio.create_task(c.run(end)) for c in new_clients]
                await asyncio.sleep(args.seconds / 2 if index + 1 < processes else 0)
            peak_mb, kernel_mb = 0.0, 0.0
            cpu_before, started_at = (
                sum(n.cpu_seconds() for n in nodes if n.process.poll() is None),
                time.monotonic(),
            )
            while loop.time() < end - 0.2:
                await asyncio.sleep(0.1)
                alive = [n for n in nodes if n.process.poll() is None]
                peak_mb = max(peak_mb, sum(n.memory_mb() for n in alive))
                kernel_mb = max(kernel_mb, kernel_tcp_mb())
            cpu = sum(n.cpu_seconds() for n in nodes if n.process.poll() is None) - cpu_before
            # At the end only clients that wait for a response are left; they get a few seconds to complete.
            await asyncio.wait(tasks, timeout=5)
            for task in tasks:
                task.cancel()
            transferred_mb = sum(c.transferred_bytes for c in clients) / 1e6
            failed, done = sum(c.failed for c in clients), sum(c.completed for c in clients)
            elapsed_s = time.monotonic() - started_at
            return (
                f"{processes} process{'es' if processes > 1 else ''}, {streams} streams at {rate / 1000:g} kB/s: "
                f"{transferred_mb / elapsed_s:.0f} MB/s, {1000 * cpu / max(transferred_mb, 1e-9):.2f} ms CPU a MB, "
                f"{done} bodies whole, "
                f"{failed} broken or refused, memory {idle:.0f} MB idle and {peak_mb:.0f} MB at most "
                f"of {args.memory_mb}, TCP of the whole machine {kernel_mb:.0f} MB"
            )
        finally:
            for n in nodes:
                n.kill()
            for server, _ in servers:
                server.close()
            sock.close()
            await discovery.stop()


async def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--memory-mb", type=int, default=80)
    parser.add_argument("--streams", type=int, default=200)
    parser.add_argument("--size-mb", type=int, default=8)
    parser.add_argument("--slow-kbps", type=int, default=400)
    parser.add_argument("--seconds", type=float, default=8)
    parser.add_argument("--only", choices=("up", "down"), help="uploads or downloads alone")
    args = parser.parse_args()
    print(await measure(args, 1, 4, 0), flush=True)
    for processes in (1, 2):
        print(await measure(args, processes, args.streams, args.slow_kbps * 1000), flush=True)


if __name__ == "__main__":
    uvloop.run(main())
