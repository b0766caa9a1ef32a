"""Real node processes with a stand-in discovery and servers, started and ended together."""

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

NODE_START_TIMEOUT_S = 20.0
HEALTH_CHECK_INTERVAL_S = 0.02
MAX_LOG_LINES = 500  # of a node
MAX_LINE_BYTES = 1 << 22  # of the world
PR_SET_PDEATHSIG = 1  # prctl(2): the signal that a process gets when its parent dies
LIBC = ctypes.CDLL(None, use_errno=True) if sys.platform == "linux" else None


class ClusterError(RuntimeError):
    """A part of the cluster did not start or did not carry out a command."""


def die_with_parent() -> None:
    """In a child process before it starts (`preexec_fn`): it is killed when its parent dies."""
    if LIBC is not None:
        LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    os.setpgid(0, 0)  # Ctrl-C reaches the parent alone


def node_settings(classes: list[dict[str, Any]], instances: int, **changes: Any) -> dict[str, Any]:
    """The settings of a node's configuration, for so many nodes of one tier."""
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
    """One real node. `stats` are the figures of its latest report line."""

    def __init__(
        self, name: str, folder: Path, config: dict[str, Any], environment: dict[str, str] | None = None
    ) -> None:
        """`environment` is added to that of this process."""
        self.name = name
        self.path = folder / f"{name}.json"  # of its configuration
        self.config = config
        self.process: asyncio.subprocess.Process | None = None
        self.address: tuple[str, int] = ("127.0.0.1", 0)
        self.stats: dict[str, float] = {}
        self.log_lines: list[str] = []  # the latest, without its reports
        self._environment = environment or {}
        self._listening = asyncio.Event()
        self._log_reader: asyncio.Task[None] | None = None

    @property
    def alive(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.returncode is None

    async def start(self, operators: Path | None) -> None:
        """Starts the process, and waits until it is healthy. ClusterError with its last log lines if it ends first.

        `operators` is the operators' configuration file.
        """
        self.path.write_text(json.dumps(self.config))
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "harecross.node",
            stdin=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
            env=self._process_environment(operators),
            preexec_fn=die_with_parent,
        )
        self._log_reader = asyncio.create_task(self._read_log())
        if await self._starts(self.process):
            return
        if not self.alive:
            await self._log_reader
        raise ClusterError(f"{self.name} did not start: {' / '.join(self.log_lines[-3:])}")

    def _process_environment(self, operators: Path | None) -> dict[str, str]:
        environment = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}
        environment |= {"LB_CONFIG": str(self.path), **self._environment}
        if operators is not None:
            environment["HARECROSS_CONFIG"] = str(operators)
        return environment

    async def _starts(self, process: asyncio.subprocess.Process) -> bool:
        """Waits until the process is healthy, ends, or the timeout has passed. Whether it is healthy."""
        healthy = asyncio.create_task(self._wait_healthy())
        ended = asyncio.create_task(process.wait())
        await asyncio.wait(
            [healthy, ended], timeout=NODE_START_TIMEOUT_S, return_when=asyncio.FIRST_COMPLETED
        )
        started = healthy.done()
        for task in (healthy, ended):
            task.cancel()
        return started

    async def _read_log(self) -> None:
        assert self.process is not None
        assert self.process.stderr is not None
        async for line in self.process.stderr:
            self._receive_log_line(line.decode(errors="replace").strip().removeprefix("harecross: "))

    def _receive_log_line(self, text: str) -> None:
        if text.startswith("listening on "):
            host, _, port = text.removeprefix("listening on ").rpartition(":")
            self.address = (host, int(port))
            self._listening.set()
        elif text.startswith("served="):
            figures = (part.partition("=") for part in text.split(" "))
            self.stats = {name: float(value) for name, _, value in figures}
        else:
            self.log_lines = [*self.log_lines[1 - MAX_LOG_LINES :], text]

    async def _wait_healthy(self) -> None:
        await self._listening.wait()
        while not await self._is_healthy():
            await asyncio.sleep(HEALTH_CHECK_INTERVAL_S)

    async def _is_healthy(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(*self.address)
            writer.write(b"GET /_health HTTP/1.1\r\nHost: n\r\n\r\n")
            head, _ = await read_message(reader)
            writer.close()
        except (OSError, asyncio.IncompleteReadError):
            return False
        return b" 200 " in head.split(b"\r\n", 1)[0] + b" "

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kills the process, and reads its log to the end."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()
        if self._log_reader is not None:
            await self._log_reader


class Cluster:
    """A world in a process of its own and real nodes; an async context manager that leaves no process behind."""

    def __init__(
        self,
        servers: list[dict[str, Any]],
        nodes: int,
        classes: list[dict[str, Any]],
        seed: int = 1,
        prefix: str = "",
        **settings: Any,
    ) -> None:
        """`servers` are the world's `add` commands; `prefix` stands before the nodes' names."""
        self.servers = servers
        self.nodes: list[NodeProcess] = []
        self.world: asyncio.subprocess.Process | None = None
        self._node_count = nodes
        self._settings = node_settings(classes, nodes, **settings)
        self._seed = seed
        self._prefix = prefix
        self._folder = tempfile.TemporaryDirectory(prefix="harecross-")
        self._command_lock = asyncio.Lock()

    async def __aenter__(self) -> Cluster:
        try:
            await self._start()
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self.close()

    async def _start(self) -> None:
        self.world = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "harecross.standins.world",
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=MAX_LINE_BYTES,
            env={**os.environ, "HARECROSS_SEED": str(self._seed)},
            preexec_fn=die_with_parent,
        )
        for server in self.servers:
            await self.command(do="add", **server)
        world = await self.command(do="list")
        folder = Path(self._folder.name)
        operators = folder / "harecross.toml"
        operators.write_text("[log]\nreport_every_s = 0.5\n")
        for number in range(self._node_count):
            config = self._node_config(number, world)
            self.nodes.append(NodeProcess(config["name"], folder, config))
        await asyncio.gather(*(node.start(operators) for node in self.nodes))

    def _node_config(self, number: int, world: dict[str, Any]) -> dict[str, Any]:
        """The configuration of a node; `world` is the answer to `list`."""
        return {
            "name": f"{self._prefix}n{number}",
            "listen": "127.0.0.1:0",
            "discovery": world["discovery"],
            "seed": f"{self._seed * 1000 + number:x}",
            "limits": {"sockets": 1024, "memory_mb": 256},
            "known": world["known"],
            "settings": self._settings,
        }

    async def command(self, **command: Any) -> dict[str, Any]:
        """Has the world carry out a command, and returns its answer; ClusterError if it cannot."""
        world = self.world
        if world is None or world.stdin is None or world.stdout is None:
            raise ClusterError("the stand-in servers have not been started")
        async with self._command_lock:
            try:
                world.stdin.write(json.dumps(command).encode() + b"\n")
                line = await world.stdout.readline()
            except ConnectionError:
                line = b""
        if not line:
            raise ClusterError("the stand-in servers have ended")
        answer: dict[str, Any] = json.loads(line)
        if not answer["ok"]:
            raise ClusterError(answer["error"])
        return answer

    async def close(self) -> None:
        """Ends every process; safe to call twice."""
        await asyncio.gather(*(node.end() for node in self.nodes))
        if self.world is not None:
            if self.world.returncode is None:
                self.world.kill()
            await self.world.wait()
        self._folder.cleanup()
