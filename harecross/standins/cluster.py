"""Real node processes and a stand-in world round them, started and ended together."""

from __future__ import annotations

import asyncio
import ctypes
import json
import os
import signal
import sys
import tempfile
from pathlib import Path
from types import TracebackType
from typing import Any

from harecross.standins.http import read_message

START_WITHIN = 20.0  # seconds
SAID_MOST = 500  # lines of a node's log that are kept
PR_SET_PDEATHSIG = 1
LIBC = ctypes.CDLL(None, use_errno=True) if sys.platform == "linux" else None


class ClusterError(RuntimeError):
    """A part of the cluster did not start or did not do what it was told."""


def with_parent() -> None:
    """In a child before it starts: it is killed when its parent dies, however that ends."""
    if LIBC is not None:
        LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    os.setpgid(0, 0)  # Ctrl-C is the parent's to handle


def node_settings(classes: list[dict[str, Any]], instances: int, **changes: Any) -> dict[str, Any]:
    """The settings object that a node finds in its configuration, for so many nodes of one tier."""
    return {
        "classes": classes,
        "dcs": ["here"],
        "kinds": ["m1"],
        "layers": ["front"],
        "discovery": "push",
        "group_size": instances,
        "tick": 5000,
        "policy_limits": {
            "cancel": True,
            "conn_idle": 15_000_000,
            "connect_timeout": 500_000,
            "max_attempts": 4,
            "max_retry_after": 1_500_000,
            "retry_after": True,
        },
        "report": {"columns": ["concurrent", "depth", "load_share", "err_ps"], "how": "inline"},
        "rules": {"cold": 5_000_000, "start_capacity": 0.4, "fall_multiple": 3.0, "tip_after": 2_000_000},
        **changes,
    }


class NodeProcess:
    """One real node. `stats` holds what its latest line on how things stand said."""

    def __init__(
        self, name: str, folder: Path, config: dict[str, Any], environment: dict[str, str] | None = None
    ) -> None:
        """`environment` is added to that of this process."""
        self.name = name
        self.environment = environment or {}
        self.path = folder / f"{name}.json"
        self.config = config
        self.process: asyncio.subprocess.Process | None = None
        self.address: tuple[str, int] = ("127.0.0.1", 0)
        self.stats: dict[str, float] = {}
        self.said: list[str] = []  # its latest lines of log
        self.ready = asyncio.Event()
        self.reading: asyncio.Task[None] | None = None

    @property
    def alive(self) -> bool:
        return self.process is not None and self.process.returncode is None

    async def start(self, operators: Path | None) -> None:
        self.path.write_text(json.dumps(self.config))
        env = {k: v for k, v in os.environ.items() if not k.startswith("LB_")}
        env |= {"LB_CONFIG": str(self.path), **self.environment}
        if operators is not None:
            env["HARECROSS_CONFIG"] = str(operators)
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "harecross.node",
            stdin=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
            env=env,
            preexec_fn=with_parent,
        )
        self.reading = asyncio.create_task(self.read())
        # It starts, or it ends with a line that says why.
        starting = asyncio.create_task(self.wait_started())
        ended = asyncio.create_task(self.process.wait())
        await asyncio.wait([starting, ended], timeout=START_WITHIN, return_when=asyncio.FIRST_COMPLETED)
        started = starting.done()
        for task in (starting, ended):
            task.cancel()
        if not started:
            if not self.alive:
                await self.reading
            raise ClusterError(f"{self.name} did not start: {' / '.join(self.said[-3:])}")

    async def wait_started(self) -> None:
        await self.ready.wait()
        await self.wait_healthy()

    async def read(self) -> None:
        assert self.process is not None and self.process.stderr is not None
        async for raw in self.process.stderr:
            text = raw.decode(errors="replace").strip().removeprefix("harecross: ")
            if text.startswith("listening on "):
                host, _, port = text.removeprefix("listening on ").rpartition(":")
                self.address = (host, int(port))
                self.ready.set()
            elif text.startswith("served="):
                self.stats = {k: float(v) for k, _, v in (p.partition("=") for p in text.split(" "))}
            else:
                self.said = [*self.said[1 - SAID_MOST :], text]

    async def wait_healthy(self) -> None:
        while True:
            try:
                reader, writer = await asyncio.open_connection(*self.address)
                writer.write(b"GET /_health HTTP/1.1\r\nHost: n\r\n\r\n")
                head, _ = await read_message(reader)
                writer.close()
                if b" 200 " in head.split(b"\r\n", 1)[0] + b" ":
                    return
            except (OSError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.02)

    def signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()
        if self.reading is not None:
            await self.reading


class Cluster:
    """A world in a process of its own and real nodes before it; an async context manager that leaves nothing."""

    def __init__(
        self,
        servers: list[dict[str, Any]],
        nodes: int,
        classes: list[dict[str, Any]],
        seed: int = 1,
        prefix: str = "",
        **settings: Any,
    ) -> None:
        self.servers = servers
        self.count = nodes
        self.settings = node_settings(classes, nodes, **settings)
        self.seed = seed
        self.prefix = prefix  # of the nodes' names
        self.nodes: list[NodeProcess] = []
        self.folder = tempfile.TemporaryDirectory(prefix="harecross-")
        self.world: asyncio.subprocess.Process | None = None
        self.turn = asyncio.Lock()

    async def __aenter__(self) -> Cluster:
        try:
            await self.start()
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        await self.close()

    async def start(self) -> None:
        folder = Path(self.folder.name)
        self.world = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "harecross.standins.world",
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=1 << 22,
            env={**os.environ, "HARECROSS_SEED": str(self.seed)},
            preexec_fn=with_parent,
        )
        for server in self.servers:
            await self.order(do="add", **server)
        told = await self.order(do="list")
        operators = folder / "harecross.toml"
        operators.write_text("[log]\nreport_every_s = 0.5\n")
        for i in range(self.count):
            config = {
                "name": f"{self.prefix}n{i}",
                "listen": "127.0.0.1:0",
                "discovery": told["discovery"],
                "seed": f"{self.seed * 1000 + i:x}",
                "limits": {"sockets": 1024, "memory_mb": 256},
                "known": told["known"],
                "settings": self.settings,
            }
            self.nodes.append(NodeProcess(f"{self.prefix}n{i}", folder, config))
        await asyncio.gather(*(n.start(operators) for n in self.nodes))

    async def order(self, **order: Any) -> dict[str, Any]:
        """Tells the world what to do; ClusterError if it cannot."""
        world = self.world
        if world is None or world.stdin is None or world.stdout is None:
            raise ClusterError("the stand-in servers have not been started")
        async with self.turn:
            try:
                world.stdin.write(json.dumps(order).encode() + b"\n")
                text = await world.stdout.readline()
            except ConnectionError:
                text = b""
        if not text:
            raise ClusterError("the stand-in servers have ended")
        answer: dict[str, Any] = json.loads(text)
        if not answer["ok"]:
            raise ClusterError(answer["error"])
        return answer

    async def close(self) -> None:
        """Ends every process; safe to call twice."""
        await asyncio.gather(*(n.end() for n in self.nodes))
        if self.world is not None:
            if self.world.returncode is None:
                self.world.kill()
            await self.world.wait()
        self.folder.cleanup()
