"""A node process that migrates to another discovery (SIGHUP) sends nothing to draining servers.

This also holds for servers that are recalled and drain again. The test reproduces the fault described in
docs/incidents/2026-12-02-sends-after-move.md.
"""

from __future__ import annotations

import asyncio
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

from node_support import Client, ScriptedServer, config_dict, entry, run, wait_until

from harecross.discovery.subscription_schedule import SEND_STOP_GRACE_S
from harecross.standins.cluster import NodeProcess
from harecross.standins.discovery import StandinDiscovery

SERVERS = 4
DRAINED = ("s0", "s1")
SEND_INTERVAL_S = 0.01


class RecordingServer(ScriptedServer):
    """A server that answers every request immediately and records its arrival time."""

    def __init__(self) -> None:
        super().__init__()
        self.times: list[float] = []

    def answer_all(self) -> None:
        async def answer() -> None:
            loop = asyncio.get_running_loop()
            while True:
                arrived = await self.received.get()
                self.times.append(loop.time())
                arrived.answer()

        self.answer_task = asyncio.create_task(answer())


class NodeAndServers:
    """One real node process, its servers and two discoveries; a client sends requests continuously."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.loop = asyncio.get_running_loop()

    async def start(self) -> None:
        self.servers = {f"s{i}": await RecordingServer().start() for i in range(SERVERS)}
        for server in self.servers.values():
            server.answer_all()
        self.old, self.new = StandinDiscovery(), StandinDiscovery()
        for catalog in (self.old, self.new):
            await catalog.start()
            catalog.put(*(self.entry(name) for name in self.servers))
        config = config_dict(self.old.address, limits={"sockets": 1024}, known=self.old.full_list())
        self.node = NodeProcess("n0", self.folder, config)
        await self.node.start(None)
        self.sending = asyncio.create_task(self.send())

    def entry(self, name: str, state: str = "in_service") -> dict:
        return entry(name, self.servers[name].address, state)

    async def send(self) -> None:
        client = await Client.open(self.node.address)
        while True:
            client.send("/put/1", key="k")
            await client.answer()
            await asyncio.sleep(SEND_INTERVAL_S)

    async def migrate(self) -> float:
        """Migrates the node to the new discovery by SIGHUP; returns when the signal was sent."""
        self.node.path.write_text(self.node.path.read_text().replace(self.old.address, self.new.address))
        self.node.signal(signal.SIGHUP)
        migrated_at = self.loop.time()
        await wait_until(lambda: any("moved to" in text for text in self.node.log_lines))
        return migrated_at

    def sends(self, after: float, before: float) -> list[float]:
        """Returns when requests arrived at the drained servers within a time span."""
        return [t for name in DRAINED for t in self.servers[name].times if after < t < before]

    async def end(self) -> None:
        self.sending.cancel()
        await self.node.end()


@asynccontextmanager
async def running_node(folder: Path) -> AsyncIterator[NodeAndServers]:
    """Starts a node with its servers, and stops it however the test ends."""
    env = NodeAndServers(folder)
    try:
        await env.start()
        yield env
    finally:
        await env.end()


def test_a_server_recalled_and_drained_again_gets_nothing_when_the_new_discovery_has_caught_up(tmp_path):
    """Guards against entries of the new discovery's first list that are applied after a newer drain.

    The new discovery's first list is older than the drain that the old discovery sent. The new discovery then recalls
    the servers, and they drain again.
    """

    async def test() -> None:
        async with running_node(tmp_path) as env:
            env.old.put(*(env.entry(name, "terminating") for name in DRAINED))
            await asyncio.sleep(SEND_STOP_GRACE_S)
            migrated_at = await env.migrate()
            await asyncio.sleep(1.0)
            env.new.put(*(env.entry(name) for name in DRAINED))
            await asyncio.sleep(migrated_at + 8.0 - env.loop.time())
            drained_at = env.loop.time()
            env.new.put(*(env.entry(name, "terminating") for name in DRAINED))
            await asyncio.sleep(migrated_at + 14.0 - env.loop.time())
            assert env.sends(migrated_at, drained_at), "recalled servers are used again"
            late = env.sends(drained_at + SEND_STOP_GRACE_S, env.loop.time())
            assert not late, f"{len(late)} sends, the first {late[0] - migrated_at:.2f} s after the migration"

    run(test())
