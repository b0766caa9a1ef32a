"""One node of a soak: its current process, its discoveries and its clients."""

from __future__ import annotations

import asyncio
import json
import signal
import time
from pathlib import Path
from random import Random

from harecross.platform.process_memory import parse_status
from harecross.soak.clients import NodeClients
from harecross.soak.discoveries import SoakDiscovery
from harecross.soak.plan import Plan
from harecross.soak.records import NodeEventRecord, Records
from harecross.soak.servers import process_loopback_host
from harecross.soak.shim import shim_environment
from harecross.soak.slow_start import SlowStartRules
from harecross.standins.cluster import NodeProcess, node_settings

# Time from SIGTERM until SIGKILL, in addition to the longest deadline.
KILL_AFTER_S = 0.7
# Time from SIGKILL until the next process starts.
RESTART_AFTER_S = 0.3
# Time after SIGTERM for which clients keep opening new connections.
RECONNECT_S = 1.2
EXIT_POLL_INTERVAL_S = 0.05
# Longest interval between two polls of a node without a watch.
MAX_POLL_INTERVAL_US = 10_000_000


class SoakNode:
    """One node.

    Attributes:
        discoveries: All discoveries that the node has had; the last one is the current one.
    """

    def __init__(self, plan: Plan, name: str, folder: Path, records: Records, shim: Path | None) -> None:
        self.name = name
        self.discoveries: list[SoakDiscovery] = []
        self.clients = NodeClients(plan, name, records)
        self._plan = plan
        self._folder = folder
        self._records = records
        self._shim = shim
        self._rng = Random(f"{plan.seed}/{name}/node")
        self._process: NodeProcess | None = None
        self._process_count = 0
        self._listen = f"{process_loopback_host()}:0"
        self._exit_expected = False  # whether the soak itself ends the process

    @property
    def process_name(self) -> str:
        """The name of the current process in the records."""
        return f"{self.name}.{self._process_count}"

    @property
    def discovery(self) -> SoakDiscovery:
        """The current discovery."""
        return self.discoveries[-1]

    def record_event(self, text: str) -> None:
        """Records an event of the current process."""
        self._records.node_events.append(NodeEventRecord(self.process_name, time.monotonic(), text))

    async def start(self) -> None:
        """Starts a process. Raises ClusterError if it does not become healthy."""
        self._process_count += 1
        folder = self._folder / self.process_name
        folder.mkdir()
        variables = {**self._fault_variables(), "TMPDIR": str(folder)}
        self._process = NodeProcess(self.name, folder, self._config(), variables)
        self._exit_expected = False
        self.record_event("started")
        self.discovery.begin_process(self.process_name)
        self.clients.process_name = self.process_name
        await self._process.start(None)
        host, port = self._process.address
        self._listen, self.clients.address = f"{host}:{port}", (host, port)

    def _fault_variables(self) -> dict[str, str]:
        """Returns the environment variables that configure the shim; empty without a shim."""
        if self._shim is None:
            return {}
        calls, clock_steps = self._plan.call_faults[self.name], self._plan.clock_steps[self.name]
        if self._process_count > 1:
            # Times count from the start of the process, so a restarted process has only the faults of the whole run.
            calls, clock_steps = tuple(fault for fault in calls if fault.start == 0), ()
        return shim_environment(self._shim, self._plan.seed, calls, clock_steps)

    def _config(self) -> dict[str, object]:
        return {
            "name": self.name,
            "listen": self._listen,
            "discovery": self.discovery.address,
            "seed": f"{self._plan.seed * 100 + self._process_count:x}",
            "limits": {"sockets": 1024, "memory_mb": self._plan.memory_mb},
            "known": self.discovery.full_list(self._configured_changes()),
            "settings": node_settings(
                self._class_settings(),
                len(self._plan.nodes),
                rules={**SlowStartRules().rules(), "ask_within": MAX_POLL_INTERVAL_US},
                discovery="ask" if self._plan.polled else "push",
                self_index=self._plan.nodes.index(self.name),
            ),
        }

    def _class_settings(self) -> list[dict[str, object]]:
        settings: list[dict[str, object]] = []
        for request_class in self._plan.classes:
            deadline_us = int(request_class.max_deadline * 1e6)
            settings.append(
                {
                    "name": request_class.name,
                    "effect": request_class.idempotency.value,
                    "goal_time": deadline_us,
                    "hard_limit": deadline_us,
                    "worth": 1,
                    "window": deadline_us,
                }
            )
        return settings

    def _configured_changes(self) -> int:
        """Draws how many changes the list in the configuration includes; it may lack the latest ones."""
        missing = self._rng.choice([0, 0, 2, 5, 10])
        return max(len(self._plan.servers), self.discovery.known_changes - missing)

    async def close(self) -> None:
        """Ends the process and closes the discoveries."""
        self._check_memory()
        self._exit_expected = True
        if self._process is not None:
            await self._process.end()
        self._store_log()
        for discovery in self.discoveries:
            discovery.close()

    def _check_memory(self) -> None:
        """Records a crash if the process was larger than its limit at any time."""
        process = self._process.process if self._process is not None else None
        if process is None or process.returncode is not None:
            return
        try:
            peak = parse_status(Path(f"/proc/{process.pid}/status").read_text()).peak
        except OSError:
            return
        if peak > self._plan.memory_mb << 20:
            text = f"{peak >> 20} MB resident of {self._plan.memory_mb}"
            self._records.crashes.append(NodeEventRecord(self.process_name, time.monotonic(), text))

    def _store_log(self) -> None:
        if self._process is not None:
            self._records.logs[self.process_name] = self._process.log_lines

    async def watch_process(self) -> None:
        """Records a crash if the process ends although the soak did not end it."""
        while True:
            process = self._process.process if self._process is not None else None
            code = process.returncode if process is not None else None
            if code is not None and not self._exit_expected:
                crash = NodeEventRecord(self.process_name, time.monotonic(), f"ended by itself: {code}")
                self._records.crashes.append(crash)
                return
            await asyncio.sleep(EXIT_POLL_INTERVAL_S)

    async def migrate(self) -> None:
        """Writes another discovery to the configuration and sends SIGHUP."""
        process, old = self._process, self.discovery
        plan = self._plan.discoveries[self.name][len(self.discoveries)]
        if process is None or not process.alive:
            return
        new = SoakDiscovery(
            plan, self._records, self.process_name, old.address_of, 0, polled=self._plan.polled
        )
        await new.open()
        self.discoveries.append(new)
        process.path.write_text(json.dumps({**process.config, "discovery": new.address}))
        process.signal(signal.SIGHUP)
        self.record_event(
            f"SIGHUP to {new.address}, {plan.delay:g} s behind until {plan.caught_up_after:.1f} s"
        )
        new.active_from = time.monotonic()
        await old.retire()

    async def suspend(self, seconds: float) -> None:
        """Suspends the process for a while, like a busy machine that does not schedule it."""
        if self._process is None or not self._process.alive:
            return
        self._process.signal(signal.SIGSTOP)
        self.record_event(f"held {seconds:.3f} s")
        await asyncio.sleep(seconds)
        self._process.signal(signal.SIGCONT)

    async def restart(self, *, graceful: bool) -> None:
        """Sends SIGKILL, at once or as soon after SIGTERM as the protocol allows, and starts another process."""
        process = self._process
        if process is None or not process.alive:
            return
        self._exit_expected = True
        if graceful:
            process.signal(signal.SIGTERM)
            self.record_event("SIGTERM")
            self.clients.reconnect_for(RECONNECT_S)
            max_deadline = max(request_class.max_deadline for request_class in self._plan.classes)
            await asyncio.sleep(max_deadline + KILL_AFTER_S)
        self._check_memory()
        self.record_event("SIGKILL")
        await process.end()
        self.record_event("ended")
        self._store_log()
        await asyncio.sleep(RESTART_AFTER_S)
        await self.start()
