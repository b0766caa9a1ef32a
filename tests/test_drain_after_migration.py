"""The incident of 2026-12: new work to servers that drain, 12 s after a node moved to another discovery (SIGHUP)."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

from harecross.discovery.subscription_schedule import SEND_STOP_GRACE_S
from harecross.standins.cluster import NodeProcess
from harecross.standins.discovery import Catalog
from tests.node_support import Client, Origin, config_of, entry, run, until

SERVERS = 4
LEAVING = ("s0", "s1")
SEND_EVERY = 0.01  # seconds


class RecordingServer(Origin):
    """A server that answers all at once and remembers when requests arrived."""

    def __init__(self) -> None:
        super().__init__()
        self.times: list[float] = []

    def answer_all(self) -> None:
        async def answer() -> None:
            loop = asyncio.get_running_loop()
            while True:
                arrived = await self.arrived.get()
                self.times.append(loop.time())
                arrived.answer()

        self.answering = asyncio.create_task(answer())


class Fleet:
    """One real node process, its servers and two discoveries; requests are sent without pause."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.loop = asyncio.get_running_loop()

    async def start(self) -> None:
        self.servers = {f"s{i}": await RecordingServer().start() for i in range(SERVERS)}
        for server in self.servers.values():
            server.answer_all()
        self.old, self.new = Catalog(), Catalog()
        for catalog in (self.old, self.new):
            await catalog.start()
            catalog.put(*(self.entry(name) for name in self.servers))
        config = config_of(self.old.address, limits={"sockets": 1024}, known=self.old.whole())
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
            await asyncio.sleep(SEND_EVERY)

    async def move(self) -> float:
        """SIGHUP to the new discovery; when it was sent."""
        self.node.path.write_text(self.node.path.read_text().replace(self.old.address, self.new.address))
        self.node.signal(signal.SIGHUP)
        moved_at = self.loop.time()
        await until(lambda: any("moved to" in text for text in self.node.said))
        return moved_at

    def sends(self, after: float, before: float) -> list[float]:
        """Arrivals at the servers that leave, within that span."""
        return [t for name in LEAVING for t in self.servers[name].times if after < t < before]

    async def end(self) -> None:
        self.sending.cancel()
        await self.node.end()


@asynccontextmanager
async def fleet_in(folder: Path) -> AsyncIterator[Fleet]:
    """A fleet that has started; it is ended however the test ends."""
    fleet = Fleet(folder)
    try:
        await fleet.start()
        yield fleet
    finally:
        await fleet.end()


def test_a_server_recalled_and_drained_again_gets_nothing_when_the_doubt_of_its_move_ends(tmp_path):
    """The new discovery's list is older than the drain that the old one told; it recalls the servers, and they drain
    again. 12 s after the move the entry of that old list was put back over the newer drain."""

    async def test() -> None:
        async with fleet_in(tmp_path) as fleet:
            fleet.old.put(*(fleet.entry(name, "terminating") for name in LEAVING))
            await asyncio.sleep(SEND_STOP_GRACE_S)
            moved_at = await fleet.move()
            await asyncio.sleep(1.0)
            fleet.new.put(*(fleet.entry(name) for name in LEAVING))
            await asyncio.sleep(moved_at + 8.0 - fleet.loop.time())
            drained_at = fleet.loop.time()
            fleet.new.put(*(fleet.entry(name, "terminating") for name in LEAVING))
            await asyncio.sleep(moved_at + 14.0 - fleet.loop.time())
            assert fleet.sends(moved_at, drained_at), "recalled servers are used again"
            late = fleet.sends(drained_at + SEND_STOP_GRACE_S, fleet.loop.time())
            assert not late, f"{len(late)} sends, the first {late[0] - moved_at:.2f} s after the move"

    run(test())
