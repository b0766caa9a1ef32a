"""A request with a large body gets no answer in its time if its server hangs."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent))

from rig import Agent, Case, Node, end_with_parent, entry, read_message, request_bytes, run_case

DEADLINE_S = 3.0
LATEST_S = DEADLINE_S + 0.5  # STANDING: an answer later than that loses the request
BODY_BYTES = (500_000, 1_000_000, 2_000_000, 3_000_000, 4_000_000, 5_000_000)
CLIENTS = 10
HANG_AT_S, HANG_S, END_AT_S = 2.0, 10.0, 18.0


class ServerProcess:
    """A stand-in server in a process of its own."""

    def __init__(self, case: Case, name: str) -> None:
        self.case = case
        self.name = name
        self.address = ""
        self.process: asyncio.subprocess.Process | None = None
        self.output: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts the process."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-B",
            str(Path(__file__).with_name("server.py")),
            stdout=asyncio.subprocess.PIPE,
            preexec_fn=end_with_parent,
        )
        self.case.endings.append(self.kill)
        assert self.process.stdout is not None
        self.address = (await self.process.stdout.readline()).decode().strip()
        self.output = asyncio.create_task(self.copy_output(self.process.stdout))

    async def copy_output(self, output: asyncio.StreamReader) -> None:
        """Copies what the server runs to the record."""
        async for line in output:
            self.case.record.write(f"{self.name}: {line.decode().rstrip()}")

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        assert self.process is not None
        self.case.record.write(f"{self.name}: {number.name}")
        self.process.send_signal(number)

    async def kill(self) -> None:
        """Ends the process."""
        assert self.process is not None
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        if self.output is not None:
            await self.output


class Upload:
    """One request: when its last byte was written, and when and how it was answered."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.written_at: float | None = None
        self.answered_at: float | None = None
        self.status = ""

    def is_lost(self, now: float) -> bool:
        """Returns whether the node has taken the request and not answered in time."""
        if self.written_at is None:
            return False
        return (self.answered_at or now) > self.written_at + LATEST_S


async def send(case: Case, node: Node, upload: Upload, body: bytes) -> None:
    """Sends one request on a connection of its own, and waits for its answer."""
    loop = asyncio.get_running_loop()
    client = socket.socket()
    client.settimeout(0)
    try:
        await loop.sock_connect(client, (node.host, node.port))
        timeout_ms = int(DEADLINE_S * 1000)
        data = request_bytes("log-reading", upload.name, timeout_ms, body, key=f"key-{upload.name}")
        case.record.write(f"client: {upload.name}: sends {len(body)} bytes")
        await loop.sock_sendall(client, data)
        upload.written_at = case.record.now()
        reader, writer = await asyncio.open_connection(sock=client)
        head, _ = await read_message(reader)
        upload.status = head.split(b" ", 2)[1].decode()
        upload.answered_at = case.record.now()
        took = upload.answered_at - upload.written_at
        case.record.write(
            f"client: {upload.name}: {len(body)} bytes, {upload.status} {took:.3f} s after the last byte"
        )
        writer.close()
    finally:
        client.close()


async def send_uploads(case: Case, node: Node, client: int, uploads: list[Upload]) -> None:
    """Sends requests one after another."""
    number = 0
    while True:
        number += 1
        upload = Upload(f"c{client}-{number}")
        uploads.append(upload)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await send(case, node, upload, b"x" * BODY_BYTES[(client + number) % len(BODY_BYTES)])
        await asyncio.sleep(0.5)


async def play(case: Case) -> bool:
    """Returns whether each request that was written whole was answered in time."""
    agent = Agent(case, "discovery", 41)
    servers = [ServerProcess(case, f"s-{number}") for number in (1, 2, 3, 4)]
    for server in servers:
        await server.start()
    await agent.start()
    agent.instances = {server.name: entry(server.name, server.address) for server in servers}
    node = Node(case, agent)
    await node.start()
    uploads: list[Upload] = []
    tasks = [asyncio.create_task(send_uploads(case, node, number, uploads)) for number in range(CLIENTS)]
    await asyncio.sleep(HANG_AT_S)
    if case.trouble:
        servers[0].signal(signal.SIGSTOP)
    await asyncio.sleep(HANG_S)
    if case.trouble:
        servers[0].signal(signal.SIGCONT)
    await asyncio.sleep(END_AT_S - HANG_AT_S - HANG_S)
    now = case.record.now()
    lost = [(u.name, u.status, u.written_at, u.answered_at) for u in uploads if u.is_lost(now)]
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    case.record.write(f"{len(uploads)} requests; written whole and not answered within {LATEST_S} s: {lost}")
    if not any(upload.status == "200" for upload in uploads):
        raise RuntimeError("nothing was served")
    return not lost


run_case(Path(__file__).resolve().with_name("record.txt"), play)
