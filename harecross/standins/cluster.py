"""A cluster of real node processes with a stand-in discovery and stand-in servers, started and stopped together."""

from __future__ import annotations

import asyncio
import ctypes
import json
import os
import signal
import socket
import sys
import tempfile
from pathlib import Path
from types import TracebackType
from typing import Any

from harecross.standins.http import read_message

NODE_START_TIMEOUT_S = 20.0
HEALTH_CHECK_INTERVAL_S = 0.02
MAX_LOG_LINES = 500  # log lines kept for each node
MAX_LINE_BYTES = 1 << 22  # longest reply line of the process that runs `world.py`
PR_SET_PDEATHSIG = 1  # prctl(2) option: sets the signal that a process receives when its parent dies
LIBC = ctypes.CDLL(None, use_errno=True) if sys.platform == "linux" else None


class ClusterError(RuntimeError):
    """A process of the cluster did not start, or a command failed."""


def die_with_parent() -> None:
    """Makes the kernel kill this process when its parent dies; used as `preexec_fn` of child processes."""
    if LIBC is not None:
        LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    os.setpgid(0, 0)  # in a process group of its own, the child does not receive Ctrl-C


def node_settings(classes: list[dict[str, Any]], instances: int, **changes: Any) -> dict[str, Any]:
    """Returns the settings in a node's configuration, for a tier of `instances` nodes."""
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
    """A real node process.

    Attributes:
        name: Name of the node.
        path: Path of the node's configuration file.
        config: The node's configuration.
        process: The process; None before it is started.
        address: Host and port at which the node listens.
        stats: The values of the node's latest report line.
        log_lines: The latest log lines, without report lines.
        listener: A listening socket that the process inherits; None if it binds its own.
    """

    def __init__(
        self, name: str, folder: Path, config: dict[str, Any], environment: dict[str, str] | None = None
    ) -> None:
        """`environment` is added to the environment of this process."""
        self.name = name
        self.path = folder / f"{name}.json"
        self.config = config
        self.process: asyncio.subprocess.Process | None = None
        self.address: tuple[str, int] = ("127.0.0.1", 0)
        self.stats: dict[str, float] = {}
        self.log_lines: list[str] = []
        self.listener: socket.socket | None = None
        self._environment = environment or {}
        self._listening = asyncio.Event()
        self._log_reader: asyncio.Task[None] | None = None

    @property
    def alive(self) -> bool:
        """Whether the process is running."""
        return self.process is not None and self.process.returncode is None

    async def start(self, operators: Path | None) -> None:
        """Starts the process and waits until its health check succeeds.

        Args:
            operators: Path of the operators' configuration file.

        Raises:
            ClusterError: The process exited or did not become healthy in time; the message holds its last log lines.
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
            pass_fds=() if self.listener is None else (self.listener.fileno(),),
        )
        self._log_reader = asyncio.create_task(self._read_log())
        if await self._becomes_healthy(self.process):
            return
        if not self.alive:
            await self._log_reader
        raise ClusterError(f"{self.name} did not start: {' / '.join(self.log_lines[-3:])}")

    def _process_environment(self, operators: Path | None) -> dict[str, str]:
        environment = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}
        environment |= {"LB_CONFIG": str(self.path), **self._environment}
        if self.listener is not None:
            environment["LB_INHERITED_FD"] = str(self.listener.fileno())
        if operators is not None:
            environment["HARECROSS_CONFIG"] = str(operators)
        return environment

    async def _becomes_healthy(self, process: asyncio.subprocess.Process) -> bool:
        """Waits until the process is healthy, exits, or the timeout ends; returns whether it is healthy."""
        healthy = asyncio.create_task(self._wait_healthy())
        exited = asyncio.create_task(process.wait())
        await asyncio.wait(
            [healthy, exited], timeout=NODE_START_TIMEOUT_S, return_when=asyncio.FIRST_COMPLETED
        )
        started = healthy.done()
        for task in (healthy, exited):
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
        """Sends a signal to the process if it is running."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kills the process and reads its log to the end."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()
        if self._log_reader is not None:
            await self._log_reader


class Cluster:
    """A process of `world.py` (discovery and servers) and real nodes; an async context manager that ends them all."""

    def __init__(
        self,
        servers: list[dict[str, Any]],
        nodes: int,
        classes: list[dict[str, Any]],
        seed: int = 1,
        prefix: str = "",
        **settings: Any,
    ) -> None:
        """Prepares the cluster without starting it.

        Args:
            servers: Arguments of the world's `add` command, one item for each server.
            nodes: Number of nodes.
            classes: The request classes in the nodes' settings.
            seed: Seed of the servers' faults and of the nodes.
            prefix: Prefix of the nodes' names.
            settings: Further settings of the nodes, which replace the defaults of `node_settings`.
        """
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
        """Returns the configuration of a node; `world` is the reply to the `list` command."""
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
        """Sends a command to the world process and returns the reply. Raises ClusterError if the command fails."""
        world = self.world
        if world is None or world.stdin is None or world.stdout is None:
            raise ClusterError("the process of the stand-in servers has not been started")
        async with self._command_lock:
            try:
                world.stdin.write(json.dumps(command).encode() + b"\n")
                line = await world.stdout.readline()
            except ConnectionError:
                line = b""
        if not line:
            raise ClusterError("the process of the stand-in servers has exited")
        reply: dict[str, Any] = json.loads(line)
        if not reply["ok"]:
            raise ClusterError(reply["error"])
        return reply

    async def close(self) -> None:
        """Kills all processes; may be called more than once."""
        await asyncio.gather(*(node.end() for node in self.nodes))
        if self.world is not None:
            if self.world.returncode is None:
                self.world.kill()
            await self.world.wait()
        self._folder.cleanup()
