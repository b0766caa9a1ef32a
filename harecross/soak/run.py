"""Runs one soak in real time: node processes, stand-in servers, discoveries and clients, with the faults of a plan."""

from __future__ import annotations

import asyncio
import tempfile
import time
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

from harecross.soak.abusive_clients import start_process
from harecross.soak.discoveries import SoakDiscovery
from harecross.soak.node import SoakNode
from harecross.soak.oracle import Breach, Oracle
from harecross.soak.plan import AbusePlan, ListChange, NodeAction, NodeEvent, Plan
from harecross.soak.records import CrowdRecord, EndpointChange, Lifecycle, NodeEventRecord, Records
from harecross.soak.servers import SoakServer
from harecross.standins.cluster import ClusterError

DELAY_CHECK_INTERVAL_S = 0.005
# Clients that may fill 1,024 descriptors, each with a connection to a server.
MIN_CROWD_CLIENTS = 200
# Time for which a node may keep the connections of clients that stalled.
CROWD_AFTERMATH_S = 3.0
# Time from the start of a process until the next kill of a series.
KILL_INTERVAL_S = 0.4
# Time from the end of the load until the records are complete.
SETTLE_S = 0.5


class SoakRun:
    """One run of a plan."""

    def __init__(self, plan: Plan, folder: Path, shim: Path | None) -> None:
        self.records = Records()
        self._plan = plan
        self._servers: dict[str, SoakServer] = {}
        for server in plan.servers:
            faults = [fault for fault in plan.link_faults if fault.server == server.name]
            self._servers[server.name] = SoakServer(
                server, plan.seed, self.records, faults, plan.late_answer_probability
            )
        self._nodes = {name: SoakNode(plan, name, folder, self.records, shim) for name in plan.nodes}
        self._tasks: set[asyncio.Task[None]] = set()
        self._started_at = 0.0

    async def run(self) -> Records:
        """Runs the plan. Raises ClusterError if a node does not start."""
        watchers: list[asyncio.Task[None]] = []
        try:
            await self._start()
            watchers = [asyncio.create_task(self._measure_loop_delay())]
            watchers += [asyncio.create_task(node.watch_process()) for node in self._nodes.values()]
            await self._run_plan()
        finally:
            for task in watchers:
                task.cancel()
            await self._close()
        return self.records

    async def _start(self) -> None:
        now = time.monotonic()
        for server in self._servers.values():
            await server.open()
            self.records.changes.append(EndpointChange(now, server.plan.name, Lifecycle.IN_SERVICE, 0))
        for node in self._nodes.values():
            node.discoveries.append(await self._open_first_discovery(node))
        await asyncio.gather(*(node.start() for node in self._nodes.values()))

    async def _open_first_discovery(self, node: SoakNode) -> SoakDiscovery:
        discovery = SoakDiscovery(
            self._plan.discoveries[node.name][0],
            self.records,
            node.process_name,
            self._address_of,
            len(self.records.changes),
            polled=self._plan.polled,
        )
        await discovery.open()
        return discovery

    def _address_of(self, server: str) -> str:
        return self._servers[server].address

    async def _run_plan(self) -> None:
        """Runs the load and all faults until they end."""
        self._started_at = time.monotonic()
        for server in self._servers.values():
            server.set_run_start(self._started_at)
        end = self._started_at + self._plan.duration
        clients = [asyncio.create_task(node.clients.run(end)) for node in self._nodes.values()]
        for abuse in self._plan.abuse:
            self._start_task(self._run_abuse(abuse))
        await self._run_events()
        await asyncio.gather(*clients)
        await asyncio.sleep(SETTLE_S)
        if self._tasks:
            await asyncio.gather(*self._tasks)

    async def _close(self) -> None:
        for node in self._nodes.values():
            await node.close()
        for server in self._servers.values():
            server.close()

    async def _run_events(self) -> None:
        """Applies all changes and events in order of time."""
        events: list[ListChange | NodeEvent] = [*self._plan.changes, *self._plan.events]
        for event in sorted(events, key=lambda event: event.at):
            await asyncio.sleep(max(0.0, self._started_at + event.at - time.monotonic()))
            if isinstance(event, ListChange):
                await self._change_servers(event)
            else:
                self._start_task(self._apply_event(event))

    async def _change_servers(self, change: ListChange) -> None:
        at = time.monotonic()
        for name in change.servers:
            server = self._servers[name]
            lifecycle = await server.change(change.lifecycle)
            self.records.changes.append(EndpointChange(at, name, lifecycle, server.started_ms))

    async def _apply_event(self, event: NodeEvent) -> None:
        node = self._nodes[event.node]
        match event.action:
            case NodeAction.MIGRATE:
                await node.migrate()
            case NodeAction.SUSPEND:
                await node.suspend(event.duration)
            case NodeAction.SILENCE_WATCHES:
                node.record_event("watches muted")
                node.discovery.silence_watches()
            case NodeAction.RESET_WATCHES:
                node.record_event("watches reset")
                node.discovery.reset_watches()
            case NodeAction.DISCOVERY_DOWN:
                node.record_event(f"discovery down {event.duration:.1f} s")
                await node.discovery.go_down(event.duration)
            case NodeAction.STOP | NodeAction.KILL:
                await node.restart(graceful=event.action is NodeAction.STOP)
            case NodeAction.KILL_AGAIN:
                for _ in range(2):
                    await node.restart(graceful=False)
                    await asyncio.sleep(KILL_INTERVAL_S)

    async def _run_abuse(self, abuse: AbusePlan) -> None:
        """Runs abusive clients in a process of their own."""
        await asyncio.sleep(max(0.0, self._started_at + abuse.start - time.monotonic()))
        node = self._nodes[abuse.node]
        node.record_event(f"{abuse.clients} abusive clients: {abuse.kind}, {abuse.duration:.1f} s")
        if abuse.clients >= MIN_CROWD_CLIENTS:
            now = time.monotonic()
            until = now + abuse.duration + CROWD_AFTERMATH_S
            self.records.crowds.append(CrowdRecord(node.name, now, until))
        process = await start_process(abuse.kind, abuse.clients, node.clients.address, abuse.duration)
        await process.wait()

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _measure_loop_delay(self) -> None:
        """Measures the longest delay of the event loop, by which the recorded times may be late."""
        while True:
            due_at = time.monotonic() + DELAY_CHECK_INTERVAL_S
            await asyncio.sleep(DELAY_CHECK_INTERVAL_S)
            self.records.max_delay = max(self.records.max_delay, time.monotonic() - due_at)


async def run_soak(plan: Plan, shim: Path | None) -> tuple[Records, list[Breach]]:
    """Runs a plan and returns its records and breaches. A node that does not start is a breach."""
    with tempfile.TemporaryDirectory(prefix="harecross-soak-") as folder:
        run = SoakRun(plan, Path(folder), shim)
        try:
            await run.run()
        except ClusterError as error:
            run.records.crashes.append(NodeEventRecord("", time.monotonic(), str(error)))
    return run.records, Oracle(run.records).breaches()
