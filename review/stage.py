"""The stand-ins of the second review: clients, servers, discovery and the platform that starts nodes, on loopback.

The nodes are separate processes, started by the `run` line of the deploy file. Everything else runs in the process of
the test. All times are seconds of the monotonic clock.
"""

from __future__ import annotations

import asyncio
import json
import os
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
SOCKET_SLACK_S = 0.05  # PROTOCOL, "The rules on sockets": each time limit is 50 ms longer
ANSWER_SLACK_S = 0.5  # STANDING: up to half a second after its time an answer only earns nothing
HEARTBEAT_S = 2.0
LATEST, LOG_READING = "latest", "log-reading"
DEADLINE_S = {LATEST: 2.5, LOG_READING: 3.0}

# The sample of WIRE, section 12, which is the deployment coastal-feed; two classes, one tier.
SETTINGS: dict[str, Any] = {
    "callers": {"marks_retry": False},
    "classes": [
        {
            "effect": "free",
            "goal_time": 1000000,
            "group": "all",
            "hard_limit": 2500000,
            "late_value": 0.0,
            "name": LATEST,
            "stream": False,
            "window": 5000000,
            "worth": 1.0,
        },
        {
            "effect": "guarded",
            "goal_time": 1200000,
            "group": "cell",
            "hard_limit": 3000000,
            "late_value": 0.0,
            "name": LOG_READING,
            "stream": False,
            "window": 5000000,
            "worth": 5.0,
        },
    ],
    "dcs": ["corpus", "galveston", "freeport", "port-lavaca"],
    "deductions": {
        "connection": 0.0,
        "cross_zone": 0.04,
        "discovery": 0.0,
        "handshake": 0.0,
        "late_fail": 0.08,
        "moves": 0.0,
        "origin": 0.0,
        "peer": 0.0,
        "probe": 0.01,
        "waste": 0.02,
    },
    "discovery": "push",
    "domain_type": "chain",
    "extra": {"passes_deadline": True},
    "goal": {"whole": 0.45, "worst_class": 0.2, "worst_tenant": 0.0, "worst_window": 0.35},
    "group_size": 4,
    "kinds": ["front-fast", "front-slow"],
    "layers": ["front", "readings", "store"],
    "over_share_worth": 0.1,
    "policy_limits": {
        "cancel": True,
        "conn_idle": 15000000,
        "connect_timeout": 200000,
        "cpu_us_per_request": 0.0,
        "cpu_us_per_s": 8000,
        "max_attempts": 4,
        "max_open": 20000,
        "max_retry_after": 1500000,
        "peers": False,
        "probing": True,
        "retry_after": True,
        "second_copies": True,
        "streams_per_conn": 1,
    },
    "report": {"columns": ["load_share", "err_ps"], "how": "inline"},
    "rules": {
        "answer_slack": 20000,
        "ask_within": 10000000,
        "cold": 8700000,
        "fall_multiple": 3.0,
        "start_capacity": 0.3,
        "stop_sending_within": 250000,
        "tip_after": 2000000,
    },
    "self_index": 0,
    "tenants": [],
    "tick": 5000,
    "tier": 0,
    "weights": "nominal",
    "worth_by": "request",
    "zone": 0,
}


class CaseCannotRunError(Exception):
    """The test could not be set up; it tells nothing about the rule."""


class Record:
    """What was sent, answered and run, line by line, with the time since the start of the test."""

    def __init__(self) -> None:
        self.began = time.monotonic()
        self.lines: list[str] = []

    def note(self, text: str) -> None:
        """Adds a line."""
        self.lines.append(f"{time.monotonic() - self.began:8.3f} {text}")

    def write(self, path: Path) -> None:
        """Writes the record to a file."""
        path.write_text("".join(f"{line}\n" for line in self.lines))


def header(head: bytes, name: str) -> str:
    """Returns the value of a header; "" if it is missing."""
    for line in head.split(b"\r\n")[1:]:
        found, _, value = line.partition(b":")
        if found.decode("latin-1").lower() == name.lower():
            return value.strip().decode("latin-1")
    return ""


async def read_body(reader: asyncio.StreamReader, head: bytes) -> int:
    """Reads the body that belongs to a head; returns its size."""
    if header(head, "Transfer-Encoding").lower() == "chunked":
        total = 0
        while size := int(await reader.readuntil(b"\r\n"), 16):
            await reader.readexactly(size + 2)
            total += size
        await reader.readuntil(b"\r\n")
        return total
    length = left = int(header(head, "Content-Length") or 0)
    while left:
        data = await reader.read(min(left, 1 << 16))
        if not data:
            raise asyncio.IncompleteReadError(b"", left)
        left -= len(data)
    return length


class Discovery:
    """Discovery as PROTOCOL describes it: the list, and watches with a heartbeat every 2 s."""

    def __init__(self, record: Record, name: str = "discovery") -> None:
        self.record, self.name = record, name
        self.entries: dict[str, dict[str, Any]] = {}
        self.generation = 1
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.watches: set[asyncio.StreamWriter] = set()
        self.connections: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None
        self.address = ""
        self.is_down = False

    def go_down(self) -> None:
        """Goes down: watches end, and calls get no answer until `come_back`."""
        self.record.note(f"{self.name} goes down")
        self.is_down = True
        for writer in list(self.connections):
            writer.transport.abort()

    def come_back(self) -> None:
        """Comes back: calls that wait are ended, further ones are answered."""
        self.record.note(f"{self.name} is back")
        self.is_down = False
        for writer in list(self.connections):
            writer.transport.abort()

    async def start(self) -> Discovery:
        """Starts listening."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        return self

    def put(self, entry: dict[str, Any]) -> None:
        """Changes one entry, and writes the change to every watch."""
        self.generation += 1
        name = entry["instanceId"]
        if entry["lifecycle"] == "terminated":
            self.entries.pop(name, None)
        else:
            self.entries[name] = entry
        self.changes.append((self.generation, entry))
        self.record.note(f"{self.name} lists {name} {entry['lifecycle']} (version {self.generation})")
        line = self.line([entry], reset=False)
        for watch in self.watches:
            self.write_line(watch, line)

    def line(self, entries: list[dict[str, Any]], *, reset: bool) -> bytes:
        """Returns a list or a change as JSON."""
        return json.dumps({"generation": self.generation, "reset": reset, "instances": entries}).encode()

    @staticmethod
    def write_line(watch: asyncio.StreamWriter, line: bytes) -> None:
        """Writes a line to a watch, as one chunk."""
        if not watch.is_closing():
            watch.write(b"%x\r\n%s\n\r\n" % (len(line) + 1, line))

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection."""
        self.connections.add(writer)
        try:
            while True:
                target = (await reader.readuntil(b"\r\n\r\n")).split(b" ")[1].decode()
                if self.is_down:
                    await reader.read()
                    return
                if "watch=1" not in target:
                    data = self.line(list(self.entries.values()), reset=True)
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(data), data))
                    continue
                await self.watch(int(target.rpartition("after=")[2] or 0), writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.watches.discard(writer)
            self.connections.discard(writer)
            writer.close()

    async def watch(self, after: int, writer: asyncio.StreamWriter) -> None:
        """Serves a watch until its connection ends."""
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        known = after >= 1
        changed = [entry for version, entry in self.changes if version > after]
        if not known:
            self.write_line(writer, self.line(list(self.entries.values()), reset=True))
        else:
            self.write_line(writer, self.line(changed, reset=False) if changed else b"")
        self.watches.add(writer)
        while not writer.is_closing():
            await asyncio.sleep(HEARTBEAT_S)
            self.write_line(writer, b"")
            await writer.drain()

    def full(self) -> dict[str, Any]:
        """Returns the whole list, as the configuration's `known` holds it."""
        return {"generation": self.generation, "reset": True, "instances": list(self.entries.values())}

    def refuse(self) -> None:
        """Takes no new connection."""
        if self.server is not None:
            self.server.close()

    async def stop(self) -> None:
        """Closes everything."""
        self.refuse()
        for writer in list(self.connections):
            writer.transport.abort()


@dataclass
class Arrival:
    """A request that has arrived at a server whole.

    Attributes:
        began: When its first byte was there.
        ended: When its last byte was there.
    """

    server: Server
    writer: asyncio.StreamWriter
    target: str
    id: str
    key: str
    timeout: str
    body_size: int
    began: float
    ended: float

    def write(self, data: bytes) -> None:
        """Writes to the connection, unless the node has closed it."""
        if not self.writer.is_closing():
            self.writer.write(data)

    def answer(self, body: bytes = b"") -> None:
        """Answers with 200 and a load report."""
        body = body or f'{{"id":"{self.id}","server":"{self.server.name}"}}'.encode()
        self.write(
            b"HTTP/1.1 200 OK\r\nX-Server-Load: util=0.30,eps=0\r\nContent-Length: %d\r\n\r\n%s"
            % (len(body), body)
        )


Behaviour = Callable[[Arrival], Awaitable[None]]


async def serve_after(arrival: Arrival, work_s: float = 0.2) -> None:
    """Works for a while and answers."""
    await asyncio.sleep(work_s)
    arrival.answer()


class Server:
    """A sound server; `behaviour` answers each request."""

    def __init__(self, record: Record, name: str, cell: int = 0, zone: str = "corpus") -> None:
        self.record, self.name, self.cell, self.zone = record, name, cell, zone
        self.behaviour: Behaviour = serve_after
        self.begun: list[str] = []  # the ids of all requests whose head has arrived
        self.arrivals: list[Arrival] = []
        self.connections: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None
        self.address = ""
        self.started_ms = 0

    async def start(self) -> Server:
        """Starts listening."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        return self

    def entry(self, lifecycle: str = "in_service") -> dict[str, Any]:
        """Returns the entry in discovery's list."""
        return {
            "instanceId": self.name,
            "hostPort": self.address,
            "zone": self.zone,
            "machineType": "front-fast",
            "cell": self.cell,
            "lifecycle": lifecycle,
            "weight": 1.0,
            "startedAtMs": self.started_ms,
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection."""
        self.connections.add(writer)
        try:
            while True:
                first = await reader.readexactly(1)
                began = time.monotonic()
                head = first + await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ")[1].decode()
                if target in ("/ping", "/_load"):
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\nutil=0.30,eps=0")
                    continue
                self.begun.append(header(head, "X-Request-ID"))
                size = await read_body(reader, head)
                arrival = Arrival(
                    self,
                    writer,
                    target,
                    header(head, "X-Request-ID"),
                    header(head, "Idempotency-Key"),
                    header(head, "X-Timeout"),
                    size,
                    began,
                    time.monotonic(),
                )
                self.arrivals.append(arrival)
                self.record.note(f"{self.name} runs {target} id={arrival.id} key={arrival.key} body={size}")
                await self.behaviour(arrival)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def restart(self) -> None:
        """Ends the process and starts it again at the same address: its connections are reset."""
        self.record.note(f"{self.name} restarts with {len(self.connections)} connections")
        self.started_ms = int(time.time() * 1000)
        for writer in list(self.connections):
            writer.transport.abort()

    async def stop(self) -> None:
        """Closes everything."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()


@dataclass
class Answer:
    """What a client got for a request.

    Attributes:
        status: The status; 0 if there was none.
        end: `whole`, `ended` (the connection ended first), `unsent` (the connection had ended before the request was
            written whole) or `waited` (the client gave up).
        sent: When the last byte of the request was written.
        first: When the first byte of the answer was there; 0.0 without one.
        last: When the last byte was there, or the connection ended, or the client gave up.
        close: Whether the answer said `Connection: close`.
    """

    id: str
    timeout_s: float
    sent: float
    status: int = 0
    end: str = "waited"
    first: float = 0.0
    last: float = 0.0
    size: int = 0
    body: bytes = b""
    close: bool = False

    def took(self) -> float:
        """Returns the seconds from the last byte of the request to the last of the answer."""
        return self.last - self.sent


class Client:
    """One connection of a sound client, which sends one request at a time."""

    def __init__(self, record: Record, name: str, address: str, receive_buffer: int = 0) -> None:
        self.record, self.name, self.address = record, name, address
        self.receive_buffer = receive_buffer
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.limit = 1 << 16

    async def connect(self) -> Client:
        """Opens the connection."""
        host, _, port = self.address.rpartition(":")
        sock = socket.socket()
        sock.settimeout(0)
        if self.receive_buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer)
            self.limit = self.receive_buffer
        try:
            await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
        except OSError:
            sock.close()
            raise
        self.reader, self.writer = await asyncio.open_connection(sock=sock, limit=self.limit)
        self.writer.transport.set_write_buffer_limits(high=0)
        return self

    def is_open(self) -> bool:
        """Returns whether the connection is open as far as the client knows."""
        return (
            self.reader is not None
            and not self.reader.at_eof()
            and self.reader.exception() is None
            and self.writer is not None
            and not self.writer.is_closing()
        )

    async def send(
        self,
        target: str,
        *,
        timeout_s: float = 0.0,
        body: bytes = b"",
        unsafe: bool = False,
        rate: float = 0.0,
    ) -> Answer:
        """Writes a request; with `rate`, its body at that many bytes a second. `unsafe`: a POST without a key."""
        assert self.writer is not None
        kind = target.split("/")[1]
        timeout_s = timeout_s or DEADLINE_S[kind]
        answer = Answer(secrets.token_hex(8), timeout_s, time.monotonic())
        method = "GET" if kind == LATEST else "POST"
        lines = [
            f"{method} {target} HTTP/1.1",
            "Host: backend.local",
            f"X-Request-ID: {answer.id}",
            f"X-Timeout: {round(timeout_s * 1000)}m",
        ]
        if method == "POST":
            lines += [] if unsafe else [f"Idempotency-Key: {secrets.token_hex(16)}"]
            lines += [f"Content-Length: {len(body)}"]
        self.record.note(f"{self.name} sends {target} id={answer.id} timeout={timeout_s} body={len(body)}")
        try:
            self.writer.write("\r\n".join([*lines, "", ""]).encode())
            step = max(1, int(rate / 10)) if rate else max(1, len(body))
            for begin in range(0, len(body), step):
                self.writer.write(body[begin : begin + step])
                await self.writer.drain()
                if rate:
                    await asyncio.sleep(0.1)
            await self.writer.drain()
        except ConnectionError:
            answer.end = "unsent"
        answer.sent = answer.last = time.monotonic()
        return answer

    async def receive(self, answer: Answer, *, rate: float = 0.0, wait_s: float = 10.0) -> Answer:
        """Reads the answer; with `rate`, at that many bytes a second. Gives up after `wait_s` from now."""
        if answer.end == "unsent":
            return answer
        try:
            async with asyncio.timeout(wait_s):
                await self.read_answer(answer, rate)
            answer.end = "whole"
        except TimeoutError:
            answer.end = "waited"
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            answer.end = "ended"
        answer.last = time.monotonic()
        self.record.note(
            f"{self.name} got {answer.status} {answer.end} {answer.size} bytes after {answer.took():.3f} s"
            f" id={answer.id}{' close' if answer.close else ''}"
        )
        return answer

    async def read_answer(self, answer: Answer, rate: float) -> None:
        """Reads one answer to its end."""
        assert self.reader is not None
        head = await self.reader.readuntil(b"\r\n\r\n")
        answer.first = time.monotonic()
        answer.status = int(head.split(b" ")[1])
        answer.close = header(head, "Connection").lower() == "close"
        if header(head, "Transfer-Encoding").lower() == "chunked":
            while size := int(await self.reader.readuntil(b"\r\n"), 16):
                await self.read_exactly(answer, size, rate)
                await self.reader.readexactly(2)
            await self.reader.readuntil(b"\r\n")
        elif header(head, "Content-Length"):
            await self.read_exactly(answer, int(header(head, "Content-Length")), rate)
        else:
            while data := await self.reader.read(1 << 16):
                answer.size += len(data)

    async def read_exactly(self, answer: Answer, size: int, rate: float) -> None:
        """Reads a part of the body."""
        assert self.reader is not None
        step = max(1, int(rate / 10)) if rate else 1 << 16
        while size:
            data = await self.reader.read(min(size, step))
            if not data:
                raise asyncio.IncompleteReadError(b"", size)
            size -= len(data)
            answer.size += len(data)
            if len(answer.body) < 1 << 16:
                answer.body += data
            if rate:
                await asyncio.sleep(len(data) / rate)

    async def ask(self, target: str, **more: Any) -> Answer:
        """Sends a request and reads its answer, waiting for a second longer than its time."""
        answer = await self.send(target, **more)
        return await self.receive(answer, wait_s=answer.timeout_s + 1.0)

    def close(self) -> None:
        """Closes the connection."""
        if self.writer is not None:
            self.writer.transport.abort()


def free_address() -> str:
    """Returns a loopback address with a port that is free now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


def run_line() -> str:
    """Returns the command that starts one node, from the deploy file."""
    return str(tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"])


@dataclass
class Node:
    """One node: the platform's side of it."""

    record: Record
    folder: Path
    discovery: str
    known: dict[str, Any]
    settings: dict[str, Any] = field(default_factory=lambda: json.loads(json.dumps(SETTINGS)))
    limits: dict[str, Any] = field(default_factory=lambda: {"cores": 1.0, "memory_mb": 192, "sockets": 1024})
    listen: str = field(default_factory=free_address)
    listener: socket.socket | None = None
    shared_folder: Path | None = None
    name: str = "n0"
    environment: dict[str, str] = field(default_factory=dict)
    admin: str = field(default_factory=free_address)
    process: subprocess.Popen[bytes] | None = None
    log: Path = Path()

    def write_config(self) -> Path:
        """Writes the configuration, replacing the file as a whole."""
        path = self.folder / "config.json"
        content = {
            "name": self.name,
            "listen": self.listen,
            "discovery": self.discovery,
            "admin": self.admin,
            "seed": secrets.token_hex(8),
            "limits": self.limits,
            "known": self.known,
            "settings": self.settings,
        }
        path.with_suffix(".new").write_text(json.dumps(content))
        path.with_suffix(".new").replace(path)
        return path

    async def start(self) -> Node:
        """Starts the node and waits until it is ready."""
        self.folder.mkdir(parents=True, exist_ok=True)
        temporary = self.shared_folder or self.folder / "tmp"
        temporary.mkdir(exist_ok=True)
        self.log = self.folder / "log.txt"
        environment = {
            **{key: value for key, value in os.environ.items() if not key.startswith("LB_")},
            "LB_NAME": self.name,
            "LB_LISTEN": self.listen,
            "LB_DISCOVERY": self.discovery,
            "LB_CONFIG": str(self.write_config()),
            "LB_ADMIN": self.admin,
            "TMPDIR": str(temporary),
            **self.environment,
        }
        command = run_line()
        pass_fds: tuple[int, ...] = ()
        if self.listener is not None:
            # The shell moves the socket to descriptor 4, by which the platform names it.
            command = f"exec 4<&{self.listener.fileno()}; {command}"
            environment["LB_INHERITED_FD"] = "4"
            pass_fds = (self.listener.fileno(),)
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", command],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                pass_fds=pass_fds,
            )
        self.record.note(f"{self.name} started as process {self.process.pid}")
        await self.wait_ready()
        return self

    async def wait_ready(self) -> None:
        """Waits until the node says yes."""
        for _ in range(300):
            if self.process is None or self.process.poll() is not None:
                raise CaseCannotRunError(f"the node ended: {self.log.read_text()[-500:]}")
            with suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                if await self.call("GET", "/status") == 200:
                    self.record.note(f"{self.name} process {self.process.pid} is ready")
                    return
            await asyncio.sleep(0.1)
        raise CaseCannotRunError("the node did not become ready within 30 s")

    async def call(self, method: str, path: str, body: str = "") -> int:
        """Makes one operators' call; returns the status."""
        return (await self.call_text(method, path, body))[0]

    async def call_text(self, method: str, path: str, body: str = "") -> tuple[int, str]:
        """Makes one operators' call; returns the status and the text."""
        host, _, port = self.admin.rpartition(":")
        async with asyncio.timeout(2.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                text = f"{method} {path} HTTP/1.1\r\nHost: admin\r\nContent-Length: {len(body)}\r\n\r\n{body}"
                writer.write(text.encode())
                data = await reader.read()
            finally:
                writer.close()
        if not data:
            raise ConnectionResetError("no answer")
        status = int(data.split(b" ")[1])
        if method == "POST":
            self.record.note(f"operators: {path} {body}: {status}")
        return status, data.partition(b"\r\n\r\n")[2].decode()

    async def healthy(self) -> int:
        """Returns the status of the health check on the clients' address; 0 without an answer."""
        host, _, port = self.listen.rpartition(":")
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                data = await reader.read()
                writer.close()
                return int(data.split(b" ")[1])
        except (OSError, TimeoutError, IndexError):
            return 0

    def is_running(self) -> bool:
        """Returns whether the process has not ended."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process that `run` started."""
        if self.process is not None and self.is_running():
            self.record.note(f"platform: {number.name} to process {self.process.pid}")
            self.process.send_signal(number)

    async def stop(self) -> None:
        """Kills the process and waits for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            await asyncio.to_thread(self.process.wait)


@dataclass
class Stage:
    """The record, a temporary folder, and all that has to be stopped at the end."""

    folder: Path
    record: Record = field(default_factory=Record)
    parts: list[Any] = field(default_factory=list)
    nodes: list[Node] = field(default_factory=list)

    async def discovery(self, name: str = "discovery") -> Discovery:
        """Starts a discovery."""
        discovery = await Discovery(self.record, name).start()
        self.parts.append(discovery)
        return discovery

    async def servers(self, count: int, discovery: Discovery, cells: int = 1) -> list[Server]:
        """Starts servers and lists them."""
        servers = []
        for number in range(count):
            server = await Server(self.record, f"s-{number}", number % cells).start()
            self.parts.append(server)
            servers.append(server)
            discovery.put(server.entry())
        return servers

    def node(self, discovery: Discovery, **more: Any) -> Node:
        """Returns a node that is not started yet."""
        folder = self.folder / f"node{len(self.nodes)}"
        node = Node(self.record, folder, discovery.address, discovery.full(), **more)
        self.nodes.append(node)
        return node

    def client(self, name: str, address: str, receive_buffer: int = 0) -> Client:
        """Returns a client that is not connected yet."""
        client = Client(self.record, name, address, receive_buffer)
        self.parts.append(client)
        return client

    async def stop(self) -> None:
        """Stops all parts."""
        for node in self.nodes:
            await node.stop()
        for part in self.parts:
            result = part.stop() if hasattr(part, "stop") else part.close()
            if result is not None:
                await result


def listening_socket() -> socket.socket:
    """Returns the clients' listening socket, as the platform holds it."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", 0))
    sock.listen(1024)
    return sock


async def warm_up(stage: Stage, address: str) -> None:
    """Sends small requests, as any running node gets, until its measurements have settled."""
    await keep_asking(stage, address, 2.0)


async def keep_asking(stage: Stage, address: str, seconds: float, clients: int = 6) -> None:
    """Sends a quiet stream of small requests."""
    end = time.monotonic() + seconds

    async def ask(number: int) -> None:
        client = stage.client(f"usual-{number}", address)
        while time.monotonic() < end:
            if not client.is_open():
                client.close()
                try:
                    await client.connect()
                except OSError:
                    await asyncio.sleep(0.05)
                    continue
            await client.ask(f"/{LATEST}/usual")
        client.close()

    await asyncio.gather(*(ask(number) for number in range(clients)))


def write_record(stage: Stage, path: Path) -> None:
    """Writes the record, with the last lines of each node's log."""
    for node in stage.nodes:
        if node.log.is_file():
            text = node.log.read_text(errors="replace").replace(str(stage.folder), "TMP")
            stage.record.lines += [f"log of {node.name}: {line}" for line in text.splitlines()[-60:]]
    stage.record.write(path)


def main(case: Callable[[Stage], Awaitable[bool]], record_path: Path, limit_s: float = 110.0) -> None:
    """Runs a case, writes its record to `record_path` and exits.

    The status is 1 if the rule was broken (`case` returned True), 0 if it held, and 2 if the case couldn't run.
    """

    async def run(temporary: Path) -> int:
        # The tasks of the stand-ins that are cancelled at the end report nothing.
        asyncio.get_running_loop().set_exception_handler(lambda _loop, _context: None)
        stage = Stage(temporary)
        stage.record.note(f"TROUBLE={int(TROUBLE)}")
        try:
            async with asyncio.timeout(limit_s):
                broken = await case(stage)
            stage.record.note("the rule was BROKEN" if broken else "the rule held")
            return BROKEN if broken else HELD
        except (CaseCannotRunError, OSError, TimeoutError) as error:
            stage.record.note(f"the case could not run: {error!r}")
            return NOT_RUN
        finally:
            if sys.exc_info()[0] is not None:
                stage.record.note(f"the case could not run: {traceback.format_exc()}")
            try:
                await stage.stop()
            finally:
                write_record(stage, record_path)

    status = NOT_RUN
    try:
        with tempfile.TemporaryDirectory(prefix="review-") as temporary:
            status = asyncio.run(run(Path(temporary)))
    finally:
        if sys.exc_info()[0] is not None:
            traceback.print_exc()
        sys.exit(status)
