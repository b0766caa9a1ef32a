"""Runs one review case: starts nodes by the deploy file, and plays discovery, servers and clients as stand-ins.

Everything is on loopback addresses and the real clock. Each case is a coroutine that returns a `Verdict`.
"""

from __future__ import annotations

import asyncio
import ctypes
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Coroutine
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN = 10, 11  # `run.sh` turns any other status, such as that of an exception, into 2
CASE_TIMEOUT_S = 110.0
NODE_START_TIMEOUT_S = 30.0
HEARTBEAT_INTERVAL_S = 2.0  # PROTOCOL: while nothing changes, an empty line comes every 2 s
PR_SET_PDEATHSIG = 1  # see prctl(2)
INHERITED_DESCRIPTOR = 4  # DAYS: every process inherits the clients' listening socket as descriptor 4
OLD_WATCH_CLOSE_S = 1.5  # LATER: the old discovery closes the open watches after 1.5 s


class CaseError(Exception):
    """The case could not run."""


class Record:
    """The record of a case; times are seconds since the start of the case."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w")
        self.began = time.monotonic()

    def now(self) -> float:
        """Returns the seconds since the start of the case."""
        return time.monotonic() - self.began

    def write(self, text: str) -> None:
        """Writes one line."""
        self.file.write(f"{self.now():9.4f} {text}\n")
        self.file.flush()


class Case:
    """What a case needs: the record, a temporary folder, and what has to be ended."""

    def __init__(self, record_file: Path, temporary: Path) -> None:
        while os.dup(0) <= INHERITED_DESCRIPTOR:  # no other file gets that number in a new process
            pass
        self.record = Record(record_file)
        self.temporary = temporary
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.endings: list[Callable[[], Awaitable[None]]] = []

    async def end(self) -> None:
        """Ends all that was started, the latest first."""
        for ending in reversed(self.endings):
            await ending()


def end_with_parent() -> None:
    """Runs in a new process: the kernel kills it when this process ends."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def free_port(host: str) -> int:
    """Returns a free TCP port of a loopback host."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return int(probe.getsockname()[1])


def settings(classes: list[dict[str, Any]], **changes: Any) -> dict[str, Any]:
    """Returns the settings of a node: the sample of WIRE, section 12, with one node."""
    return {
        "callers": {"marks_retry": False},
        "classes": classes,
        "dcs": ["corpus", "galveston", "freeport", "port-lavaca"],
        "deductions": {"cross_zone": 0.04, "late_fail": 0.08, "probe": 0.01, "waste": 0.02},
        "discovery": "push",
        "domain_type": "chain",
        "extra": {"passes_deadline": True},
        "goal": {"whole": 0.45, "worst_class": 0.2, "worst_tenant": 0.0, "worst_window": 0.35},
        "group_size": 1,
        "kinds": ["front-fast", "front-slow"],
        "layers": ["front", "readings", "store"],
        "over_share_worth": 0.1,
        "policy_limits": {
            "cancel": True,
            "conn_idle": 15_000_000,
            "connect_timeout": 200_000,
            "cpu_us_per_request": 0.0,
            "cpu_us_per_s": 8000,
            "max_attempts": 4,
            "max_open": 20_000,
            "max_retry_after": 1_500_000,
            "peers": False,
            "probing": True,
            "retry_after": True,
            "second_copies": True,
            "streams_per_conn": 1,
        },
        "report": {"columns": ["load_share", "err_ps"], "how": "inline"},
        "rules": {
            "answer_slack": 20_000,
            "ask_within": 10_000_000,
            "cold": 8_700_000,
            "fall_multiple": 3.0,
            "start_capacity": 0.3,
            "stop_sending_within": 250_000,
            "tip_after": 2_000_000,
        },
        "self_index": 0,
        "tenants": [],
        "tick": 5000,
        "tier": 0,
        "weights": "nominal",
        "worth_by": "request",
        "zone": 0,
        **changes,
    }


LATEST = {
    "effect": "free",
    "goal_time": 1_000_000,
    "group": "all",
    "hard_limit": 2_500_000,
    "late_value": 0.0,
    "name": "latest",
    "stream": False,
    "window": 5_000_000,
    "worth": 1.0,
}
LOG_READING = {
    "effect": "guarded",
    "goal_time": 1_200_000,
    "group": "cell",
    "hard_limit": 3_000_000,
    "late_value": 0.0,
    "name": "log-reading",
    "stream": False,
    "window": 5_000_000,
    "worth": 5.0,
}


class Node:
    """A real node, started by the `run` command of the deploy file."""

    def __init__(
        self,
        case: Case,
        agent: Agent,
        node_settings: dict[str, Any] | None = None,
        listener: socket.socket | None = None,
    ) -> None:
        """`listener` is the clients' socket if the platform holds it; the process inherits it as descriptor 4."""
        self.case = case
        self.name = "n0"
        self.host = "127.0.0.1"
        self.listener = listener
        self.port = free_port(self.host) if listener is None else int(listener.getsockname()[1])
        self.folder = case.temporary / f"process-{len(case.endings)}"
        self.temporary = case.temporary / "shared"  # $TMPDIR, which the processes of one node share
        self.process: asyncio.subprocess.Process | None = None
        self.log: asyncio.Task[None] | None = None
        self.config: dict[str, Any] = {
            "name": self.name,
            "listen": f"{self.host}:{self.port}",
            "discovery": agent.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": agent.known(),
            "settings": node_settings or settings([LATEST, LOG_READING]),
        }

    async def start(self) -> None:
        """Starts the process and waits until its health check says yes."""
        self.folder.mkdir()
        self.temporary.mkdir(exist_ok=True)
        self.write_config()
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        variables = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}
        variables |= {
            "LB_NAME": self.name,
            "LB_LISTEN": self.config["listen"],
            "LB_DISCOVERY": self.config["discovery"],
            "LB_CONFIG": str(self.folder / "config.json"),
            "TMPDIR": str(self.temporary),
        }
        if self.listener is not None:
            variables["LB_INHERITED_FD"] = str(INHERITED_DESCRIPTOR)
        if "admin" in self.config:
            variables["LB_ADMIN"] = self.config["admin"]
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            command,
            cwd=ROOT,
            env=variables,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            preexec_fn=self.prepare_process,
            pass_fds=() if self.listener is None else (INHERITED_DESCRIPTOR,),
        )
        self.case.endings.append(self.kill)
        self.log = asyncio.create_task(self.copy_log(self.process))
        async with asyncio.timeout(NODE_START_TIMEOUT_S):
            while not await self.is_ready():
                if self.process.returncode is not None:
                    raise CaseError(f"{self.name} ended with {self.process.returncode}")
                await asyncio.sleep(0.05)
        self.case.record.write(f"{self.name}: ready")

    def prepare_process(self) -> None:
        """Runs in the new process: ends it with this one, and gives the clients' socket its descriptor number."""
        end_with_parent()
        if self.listener is not None:
            os.dup2(self.listener.fileno(), INHERITED_DESCRIPTOR)

    def write_config(self) -> None:
        """Replaces the configuration file."""
        new = self.folder / "config.new"
        new.write_text(json.dumps(self.config))
        new.replace(self.folder / "config.json")

    async def copy_log(self, process: asyncio.subprocess.Process) -> None:
        """Copies the log of the process to the record."""
        assert process.stdout is not None
        async for line in process.stdout:
            self.case.record.write(f"{self.name} log: {line.decode(errors='replace').rstrip()}")

    async def is_ready(self) -> bool:
        """Returns whether GET /status of the operators, or without an operators' address GET /_health, gets 200."""
        host, port, path = self.host, str(self.port), "/_health"
        if "admin" in self.config:
            host, _, port = self.config["admin"].rpartition(":")
            path = "/status"
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return False
        try:
            writer.write(f"GET {path} HTTP/1.1\r\nHost: backend.local\r\n\r\n".encode())
            return b" 200 " in await reader.readline()
        except OSError:
            return False
        finally:
            writer.close()

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.case.record.write(f"{self.name}: {number.name}")
            self.process.send_signal(number)

    def peak_memory_mb(self) -> int:
        """Returns the peak of the resident memory of the process."""
        if self.process is None or self.process.returncode is not None:
            return 0
        text = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(text.split("VmHWM:")[1].split()[0]) >> 10

    async def kill(self) -> None:
        """Ends the process."""
        if self.process is not None:
            if self.process.returncode is None:
                self.process.kill()
            await self.process.wait()
        if self.log is not None:
            await self.log


def entry(name: str, address: str, lifecycle: str = "in_service", **changes: Any) -> dict[str, Any]:
    """Returns discovery's entry of one server that has run for long."""
    return {
        "instanceId": name,
        "hostPort": address,
        "zone": "corpus",
        "machineType": "front-fast",
        "cell": 0,
        "lifecycle": lifecycle,
        "weight": 1.0,
        "startedAtMs": 0,
        **changes,
    }


class Agent:
    """The agent of pushed discovery on a node's machine, as PROTOCOL describes it."""

    def __init__(self, case: Case, name: str, generation: int) -> None:
        self.case = case
        self.name = name
        self.generation = generation
        self.instances: dict[str, dict[str, Any]] = {}
        self.watches: list[asyncio.StreamWriter] = []
        self.address = ""
        self.listener: asyncio.Server | None = None
        self.whole_list_sent_at: float | None = None

    async def start(self) -> None:
        """Listens on a free port."""
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.listener.sockets[0].getsockname()[1]}"
        heartbeats = asyncio.create_task(self.send_heartbeats())

        async def end() -> None:
            heartbeats.cancel()
            self.close()

        self.case.endings.append(end)

    def known(self) -> dict[str, Any]:
        """Returns the whole list."""
        return {"generation": self.generation, "reset": True, "instances": list(self.instances.values())}

    def put(self, item: dict[str, Any]) -> None:
        """Changes one entry and tells the watches."""
        self.generation += 1
        self.instances[item["instanceId"]] = item
        change = {"generation": self.generation, "reset": False, "instances": [item]}
        self.tell(json.dumps(change).encode())

    def tell(self, line: bytes) -> None:
        """Writes one line to every watch."""
        if line:
            self.case.record.write(f"{self.name}: tells {line.decode()}")
        for writer in self.watches:
            if not writer.is_closing():
                writer.write(b"%x\r\n%s\n\r\n" % (len(line) + 1, line))

    def end_watches(self) -> None:
        """Ends all open watches; the listener stays open."""
        self.case.record.write(f"{self.name}: ends {len(self.watches)} watches")
        for writer in self.watches:
            writer.close()
        self.watches.clear()

    def close(self) -> None:
        """Ends all watches and stops listening."""
        if self.listener is not None:
            self.listener.close()
        self.end_watches()

    async def retire(self) -> None:
        """Takes no new connection, and closes the open ones after 1.5 s."""
        if self.listener is not None:
            self.listener.close()
        await asyncio.sleep(OLD_WATCH_CLOSE_S)
        self.end_watches()

    async def send_heartbeats(self) -> None:
        """Writes an empty line to every watch at the interval of PROTOCOL."""
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            self.tell(b"")

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers the calls of one connection."""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ", 2)[1].decode()
                self.answer(target, writer)
        except (asyncio.IncompleteReadError, OSError):
            writer.close()

    def answer(self, target: str, writer: asyncio.StreamWriter) -> None:
        """Answers one call: the whole list, or a watch that begins with the whole list if there are changes."""
        whole = json.dumps(self.known()).encode()
        self.case.record.write(f"{self.name}: GET {target}, has generation {self.generation}")
        if "watch=1" not in target:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(whole), whole))
            return
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        line = b"" if target.endswith(f"after={self.generation}") else whole
        if line:
            self.whole_list_sent_at = self.case.record.now()
            self.case.record.write(f"{self.name}: answers with the whole list {whole.decode()}")
        writer.write(b"%x\r\n%s\n\r\n" % (len(line) + 1, line))
        self.watches.append(writer)


class Received:
    """A request that a stand-in has read completely."""

    def __init__(self, head: bytes, body: bytes) -> None:
        first, *lines = head.decode("latin-1").split("\r\n")
        self.method, self.target, _ = first.split(" ", 2)
        pairs = (line.partition(":") for line in lines if line)
        self.headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
        self.body = body

    @property
    def id(self) -> str:
        """The X-Request-ID."""
        return self.headers.get("x-request-id", "")


async def read_message(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    """Returns the head and the body of the next message."""
    head = await reader.readuntil(b"\r\n\r\n")
    lower = head.lower()
    if b"transfer-encoding: chunked" in lower:
        body = b""
        while size := int(await reader.readline(), 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
        return head, body
    if b"content-length:" in lower:
        size = int(lower.split(b"content-length:", 1)[1].split(b"\r\n", 1)[0])
        return head, await reader.readexactly(size)
    return head, b""


def response(status: str, body: bytes = b"", *headers: str) -> bytes:
    """Returns a whole HTTP response."""
    lines = "".join(f"{line}\r\n" for line in headers)
    return f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n{lines}\r\n".encode() + body


Answer = Callable[["Server", Received, asyncio.StreamWriter], Awaitable[None]]


class Server:
    """A stand-in server; `answer` answers each request."""

    def __init__(self, case: Case, name: str, answer: Answer) -> None:
        self.case = case
        self.name = name
        self.answer = answer
        self.address = ""
        self.listener: asyncio.Server | None = None
        self.received: list[tuple[float, Received]] = []
        self.connections: set[asyncio.Task[None]] = set()

    async def start(self, **options: Any) -> None:
        """Listens on a free port."""
        self.listener = await asyncio.start_server(self.connected, "127.0.0.1", 0, **options)
        self.address = f"127.0.0.1:{self.listener.sockets[0].getsockname()[1]}"

        async def end() -> None:
            if self.listener is not None:
                self.listener.close()
            tasks = list(self.connections)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        self.case.endings.append(end)

    def connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves a new connection in a task of its own."""
        task = asyncio.create_task(self.serve(reader, writer))
        self.connections.add(task)
        task.add_done_callback(self.connections.discard)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers the requests of one connection in turn."""
        try:
            while True:
                request = Received(*await read_message(reader))
                self.received.append((self.case.record.now(), request))
                self.case.record.write(f"{self.name}: run {request.method} {request.target} {request.id}")
                await self.answer(self, request, writer)
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()


def request_bytes(
    request_class: str, request_id: str, timeout_ms: int, body: bytes | None = None, key: str = ""
) -> bytes:
    """Returns a request: a GET without a body, or a POST, keyed if `key` is given."""
    lines = [
        f"{'GET' if body is None else 'POST'} /{request_class}/{request_id} HTTP/1.1",
        "Host: backend.local",
        f"X-Request-ID: {request_id}",
        f"X-Timeout: {timeout_ms}m",
    ]
    if key:
        lines.append(f"Idempotency-Key: {key}")
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + (body or b"")


def run_case(record_file: Path, play: Callable[[Case], Coroutine[Any, Any, bool]]) -> None:
    """Plays a case, writes its record and exits with its status. `play` returns whether the rule held."""

    async def main() -> int:
        with tempfile.TemporaryDirectory(prefix="review-") as temporary:
            case = Case(record_file, Path(temporary))
            try:
                async with asyncio.timeout(CASE_TIMEOUT_S):
                    held = await play(case)
                case.record.write("the rule held" if held else "the rule was broken")
            finally:
                await case.end()
            return HELD if held else BROKEN

    sys.exit(asyncio.run(main()))
