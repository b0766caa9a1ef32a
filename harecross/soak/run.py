"""One soak: real node processes, their stand-in world, and the faults of a plan, played in real time."""

from __future__ import annotations

import asyncio
import json
import signal
import tempfile
import time
from pathlib import Path
from random import Random

from harecross.soak.clients import NodeClients
from harecross.soak.discoveries import SoakDiscovery
from harecross.soak.oracle import Breach, Oracle
from harecross.soak.plan import ListChange, NodeEvent, Plan
from harecross.soak.records import Change, Records, SignalRecord
from harecross.soak.servers import SoakServer, own_host
from harecross.soak.shim import environment
from harecross.soak.slow_start import Terms
from harecross.standins.cluster import ClusterError, NodeProcess, node_settings

KILL_AFTER = 0.7  # seconds after SIGTERM and the longest deadline
RESTART_AFTER = 0.3
ASK_WITHIN = 10_000_000  # microseconds: the longest silence allowed to a node without a watch
COME_ANEW = 1.2  # seconds after SIGTERM for which clients open new connections all the time
LAG_LOOK = 0.005  # seconds between two looks at how late this process is
SETTLED = 0.5  # seconds after the load ends until the records are closed


class SoakNode:
    """One node: its process of the moment, its discoveries and its clients."""

    def __init__(self, plan: Plan, name: str, folder: Path, records: Records, shim: Path | None) -> None:
        self.plan = plan
        self.name = name
        self.folder = folder
        self.records = records
        self.shim = shim
        self.rng = Random(f"{plan.seed}/{name}/node")
        self.lives = 0
        self.discoveries: list[SoakDiscovery] = []
        self.clients = NodeClients(plan, name, records)
        self.process: NodeProcess | None = None
        self.listen = f"{own_host()}:0"
        self.expected_end = False  # what ends the process now is this program's doing

    @property
    def life(self) -> str:
        """The present process, as the records name it."""
        return f"{self.name}.{self.lives}"

    @property
    def discovery(self) -> SoakDiscovery:
        return self.discoveries[-1]

    def note(self, what: str) -> None:
        self.records.signals.append(SignalRecord(self.life, time.monotonic(), what))

    def config(self) -> dict[str, object]:
        classes = [
            {
                "name": c.name,
                "effect": c.effect.value,
                "goal_time": int(c.deadline * 1e6),
                "hard_limit": int(c.deadline * 1e6),
                "worth": 1,
                "window": int(c.deadline * 1e6),
            }
            for c in self.plan.classes
        ]
        return {
            "name": self.name,
            "listen": self.listen,
            "discovery": self.discovery.address,
            "seed": f"{self.plan.seed * 100 + self.lives:x}",
            "limits": {"sockets": 1024, "memory_mb": 192},
            "known": self.discovery.whole(self.known_upto()),
            "settings": node_settings(
                classes,
                len(self.plan.nodes),
                rules={**Terms().rules(), "ask_within": ASK_WITHIN},
                discovery="ask" if self.plan.asked else "push",
                self_index=self.plan.nodes.index(self.name),
            ),
        }

    def known_upto(self) -> int:
        """The list of a configuration may be old: so many changes are in it."""
        servers = len(self.plan.servers)
        return max(servers, self.discovery.known - self.rng.choice([0, 0, 2, 5, 10]))

    async def start(self) -> None:
        """A new process of the node. ClusterError if it does not start."""
        self.lives += 1
        faults = {}
        if self.shim is not None:
            calls, clock = self.plan.calls[self.name], self.plan.clock[self.name]
            if self.lives > 1:
                # Their times count from the start of the process; a restarted one keeps what holds throughout.
                calls, clock = tuple(c for c in calls if c.start == 0), ()
            faults = environment(self.shim, self.plan.seed, calls, clock)
        folder = self.folder / self.life
        folder.mkdir()
        self.process = NodeProcess(self.name, folder, dict(self.config()), {**faults, "TMPDIR": str(folder)})
        self.expected_end = False
        self.note("started")
        self.discovery.new_life(self.life)
        self.clients.life = self.life
        await self.process.start(None)
        host, port = self.process.address
        self.listen, self.clients.address = f"{host}:{port}", (host, port)

    async def move(self) -> None:
        """SIGHUP with another discovery."""
        process, old = self.process, self.discovery
        plan = self.plan.discoveries[self.name][len(self.discoveries)]
        if process is None or not process.alive:
            return
        new = SoakDiscovery(plan, self.records, self.life, old.address_of, 0, self.plan.asked)
        await new.open()
        self.discoveries.append(new)
        process.path.write_text(json.dumps({**process.config, "discovery": new.address}))
        process.signal(signal.SIGHUP)
        self.note(f"SIGHUP to {new.address}, {plan.lag:g} s behind until {plan.caught_up:.1f} s")
        new.active_from = time.monotonic()
        await old.leave()

    async def hold(self, seconds: float) -> None:
        """The process is held up, as by a busy machine."""
        if self.process is None or not self.process.alive:
            return
        self.process.signal(signal.SIGSTOP)
        self.note(f"held {seconds:.3f} s")
        await asyncio.sleep(seconds)
        self.process.signal(signal.SIGCONT)

    async def end(self, gently: bool) -> None:
        """The process is killed, at once or at the earliest time after SIGTERM, and started again."""
        process = self.process
        if process is None or not process.alive:
            return
        self.expected_end = True
        if gently:
            process.signal(signal.SIGTERM)
            self.note("SIGTERM")
            self.clients.start(self.clients.come_anew(COME_ANEW))
            await asyncio.sleep(max(c.deadline for c in self.plan.classes) + KILL_AFTER)
        self.note("SIGKILL")
        await process.end()
        self.keep_log()
        await asyncio.sleep(RESTART_AFTER)
        await self.start()

    def keep_log(self) -> None:
        if self.process is not None:
            self.records.logs[self.life] = self.process.log_lines

    async def watch_process(self) -> None:
        """Records an end that nobody asked for."""
        while True:
            process = self.process
            code = process.process.returncode if process is not None and process.process is not None else None
            if code is not None and not self.expected_end:
                self.records.crashes.append(
                    SignalRecord(self.life, time.monotonic(), f"ended by itself: {code}")
                )
                return
            await asyncio.sleep(0.05)


class Soak:
    """One run of a plan."""

    def __init__(self, plan: Plan, folder: Path, shim: Path | None) -> None:
        self.plan = plan
        self.records = Records()
        self.servers = {
            s.name: SoakServer(s, plan.seed, self.records, [f for f in plan.links if f.server == s.name])
            for s in plan.servers
        }
        self.nodes = {name: SoakNode(plan, name, folder, self.records, shim) for name in plan.nodes}
        self.tasks: set[asyncio.Task[None]] = set()
        self.began = 0.0

    async def run(self) -> Records:
        """Plays the plan. ClusterError where a node does not start."""
        watchers: list[asyncio.Task[None]] = []
        try:
            await self.start()
            watchers = [asyncio.create_task(self.look_at_lag())]
            watchers += [asyncio.create_task(n.watch_process()) for n in self.nodes.values()]
            self.began = time.monotonic()
            for server in self.servers.values():
                server.begin(self.began)
            end = self.began + self.plan.seconds
            clients = [asyncio.create_task(n.clients.run(end)) for n in self.nodes.values()]
            await self.play()
            await asyncio.gather(*clients)
            await asyncio.sleep(SETTLED)
            if self.tasks:
                await asyncio.gather(*self.tasks)
        finally:
            for task in watchers:
                task.cancel()
            for node in self.nodes.values():
                node.expected_end = True
                if node.process is not None:
                    await node.process.end()
                node.keep_log()
                for discovery in node.discoveries:
                    discovery.close()
            for server in self.servers.values():
                server.close()
        return self.records

    async def start(self) -> None:
        now = time.monotonic()
        for server in self.servers.values():
            await server.open()
            self.records.changes.append(Change(now, server.plan.name, "in_service", 0))
        for node in self.nodes.values():
            plan = self.plan.discoveries[node.name][0]
            known = len(self.records.changes)
            first = SoakDiscovery(plan, self.records, node.life, self.address_of, known, self.plan.asked)
            await first.open()
            node.discoveries.append(first)
        await asyncio.gather(*(node.start() for node in self.nodes.values()))

    def address_of(self, server: str) -> str:
        return self.servers[server].address

    async def play(self) -> None:
        """All that happens, in order."""
        moments: list[ListChange | NodeEvent] = [*self.plan.changes, *self.plan.events]
        for moment in sorted(moments, key=lambda m: m.at):
            await asyncio.sleep(max(0.0, self.began + moment.at - time.monotonic()))
            if isinstance(moment, ListChange):
                await self.change(moment)
            else:
                self.start_task(self.act(moment))

    async def change(self, change: ListChange) -> None:
        at = time.monotonic()
        for name in change.servers:
            server = self.servers[name]
            lifecycle = await server.change(change.lifecycle)
            self.records.changes.append(Change(at, name, lifecycle, server.started))

    async def act(self, event: NodeEvent) -> None:
        node = self.nodes[event.node]
        if event.what == "move":
            await node.move()
        elif event.what == "hold":
            await node.hold(event.seconds)
        elif event.what == "mute":
            node.note("watches muted")
            node.discovery.mute()
        elif event.what == "reset":
            node.note("watches reset")
            node.discovery.reset()
        elif event.what == "down":
            node.note(f"discovery down {event.seconds:.1f} s")
            await node.discovery.go_down(event.seconds)
        else:
            await node.end(gently=event.what == "stop")

    def start_task(self, work) -> None:  # type: ignore[no-untyped-def]
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def look_at_lag(self) -> None:
        """How late this process's own records may be."""
        while True:
            due = time.monotonic() + LAG_LOOK
            await asyncio.sleep(LAG_LOOK)
            self.records.lag = max(self.records.lag, time.monotonic() - due)


async def soak(plan: Plan, shim: Path | None) -> tuple[Records, list[Breach]]:
    """Plays a plan and judges it. A node that does not start is a breach."""
    with tempfile.TemporaryDirectory(prefix="harecross-soak-") as folder:
        run = Soak(plan, Path(folder), shim)
        try:
            await run.run()
        except ClusterError as error:
            run.records.crashes.append(SignalRecord("", time.monotonic(), str(error)))
    return run.records, Oracle(run.records).breaches()
