"""The stand-alone control service: configuration, clusters, memory, signals."""

from __future__ import annotations

import asyncio
import json
import os
import signal
from pathlib import Path
from typing import Any

import msgspec

from harecross.operators import OperatorsFileError
from harecross.platform.log import log_line
from harecross.xds.access import allowed
from harecross.xds.config import ControlFile, read_control
from harecross.xds.feed import OwnFeed
from harecross.xds.fleet import Fleet
from harecross.xds.front import encoder, front, listen
from harecross.xds.link import Setup
from harecross.xds.press import Press
from harecross.xds.server import Control

REMEMBER_EVERY = 1.0  # seconds between two writes of the remembered lists, at least


class Service:
    """`harecross control`."""

    def __init__(self, path: Path, told: ControlFile, seed: int = 1) -> None:
        self.path = path
        self.told = told
        self.seed = seed
        c = told.control
        self.setup = Setup(
            c.listen, told.tls, told.limits, told.clients, c.status, c.adaptive_concurrency, c.load_reports_s
        )
        self.control: Control | Fleet
        if c.workers > 1:
            self.control = Fleet(c.workers, self.setup, self.loads, log_line)
        else:
            self.control = front(self.setup, self.see, self.loads)
        self.press = Press(self.control, encoder(self.setup), c.interval_s)
        self.press.every_step = self.every_step
        self.stop = asyncio.Event()
        self.ready = asyncio.Event()
        self.dirty = False
        self.wrote = 0.0
        self.loaded = 0.0
        self.until = 0.0

    def see(self, names: tuple[str, ...]) -> frozenset[str] | None:
        return allowed(self.told.clients, names)

    def loads(self, cluster: str) -> Any:
        feed = self.press.feeds.get(cluster)
        return feed.loads if feed is not None else None

    async def run(self) -> None:
        """Serves until a signal. OperatorsFileError if it cannot listen."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        memory = self.remembered()
        for name in self.told.clusters:
            try:
                self.begin(name, memory.get(name))
            except ValueError as e:
                raise OperatorsFileError(f"{self.path}: clusters.{name}: {e}") from None
        try:
            if isinstance(self.control, Fleet):
                port = await self.control.start()
            else:
                port = await listen(self.control, self.setup)
        except (OSError, ValueError) as e:
            raise OperatorsFileError(f"{self.path}: control.listen: {e}") from None
        self.until = loop.time() + self.told.control.wait_s
        self.press.start()
        log_line(f"control: listening on port {port}, {len(self.told.clusters)} clusters")
        self.ready.set()
        await self.stop.wait()
        log_line("control: stopping")
        self.press.stop()
        for feed in self.press.feeds.values():
            if isinstance(feed, OwnFeed) and feed.sources is not None:
                await feed.sources.stop()
        self.remember(True)
        await self.control.stop()

    def begin(self, name: str, memory: Any = None) -> None:
        told = self.told.clusters[name]
        feed = OwnFeed(name, told, self.seed, self.changed)
        self.press.add(feed, told.cross_zone_price, told.calls_per_server)
        feed.start(memory)

    def changed(self, name: str) -> None:
        self.dirty = True
        self.press.changed(name)

    def every_step(self) -> None:
        """Opens once all lists are there, or after the stated wait; load reports; memory."""
        now = asyncio.get_running_loop().time()
        if not self.press.open:
            waiting = [n for n, f in self.press.feeds.items() if not f.roster.has_full_list]
            if not waiting or now >= self.until:
                self.press.open = True
                for name in waiting:
                    known = self.press.feeds[name].roster.is_publishable()
                    how = (
                        "the remembered list, which is old"
                        if known
                        else "nothing: proxies keep what they have"
                    )
                    log_line(
                        f"control: no list of {name} after {self.told.control.wait_s:g} s; it is served {how}"
                    )
        if now >= self.loaded + self.told.control.load_reports_s:
            self.loaded = now
            for feed in self.press.feeds.values():
                feed.take_loads()
        self.remember(False)

    # ---- memory ---------------------------------------------------------------------------------------

    def remembered(self) -> dict[str, Any]:
        """The lists of an earlier run; a file that cannot be read is said and left out."""
        name = self.told.control.remember
        if not name or not Path(name).exists():
            return {}
        try:
            found = json.loads(Path(name).read_text())
            return found if isinstance(found, dict) else {}
        except (OSError, ValueError) as e:
            log_line(f"control: {name}: remembered lists not read: {e}")
            return {}

    def remember(self, now: bool) -> None:
        """Writes the lists, by a new file put in the old one's place: a kill leaves a whole one."""
        name, time = self.told.control.remember, asyncio.get_running_loop().time()
        if not name or not self.dirty or (not now and time < self.wrote + REMEMBER_EVERY):
            return
        self.dirty, self.wrote = False, time
        lists = {n: f.roster.memory() for n, f in self.press.feeds.items() if f.roster.is_publishable()}
        try:
            fresh = Path(f"{name}.new")
            fresh.write_text(json.dumps(lists))
            os.replace(fresh, name)
        except OSError as e:
            log_line(f"control: {name}: lists not remembered: {e.strerror}")

    # ---- reload ---------------------------------------------------------------------------------------

    def reload(self) -> None:
        """SIGHUP: clusters and clients are read again; the rest counts from the next start."""
        try:
            told = read_control(self.path)
        except OperatorsFileError as e:
            log_line(f"control: configuration not changed: {e}")
            return
        old, later = self.told, []
        if (old.control, old.tls, old.limits) != (told.control, told.tls, told.limits):
            later = ["control", "tls", "limits"]
        # Guards against: rules that need the new [tls] take all clusters from clients that show no certificate.
        clients = told.clients if old.tls == told.tls else old.clients
        later += ["clients"] if clients != told.clients else []
        self.told = told = msgspec.structs.replace(
            told, control=old.control, tls=old.tls, limits=old.limits, clients=clients
        )
        gone = old.clusters.keys() - told.clusters.keys()
        for name in gone:
            self.press.remove(name)
        fresh = [n for n, c in told.clusters.items() if old.clusters.get(n) != c]
        for name in fresh:
            memory = None
            if name in old.clusters:
                # The new watch begins with the old list: proxies see no gap.
                memory = self.press.feeds[name].roster.memory()
                self.press.feeds[name].close()
            self.begin(name, memory)
        if old.clients != told.clients:
            if isinstance(self.control, Fleet):
                self.control.allow(told.clients)
            else:
                self.control.refresh()
        text = f"control: configuration read again: {len(fresh)} clusters new or changed, {len(gone)} gone"
        if later:
            text += f"; {', '.join(later)} will count from the next start"
        log_line(text)


def main(path: Path) -> None:
    """Runs the service. OperatorsFileError for a file that cannot be used."""
    import uvloop

    told = read_control(path)

    async def body() -> None:
        await Service(path, told).run()

    uvloop.run(body())
