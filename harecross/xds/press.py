"""From feeds to what is published: looks at clusters when they change and now and then, and releases in time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from harecross.platform.clock import monotonic_us
from harecross.platform.log import log_exception
from harecross.xds.feed import Feed
from harecross.xds.fleet import Fleet
from harecross.xds.publish import Publisher, Told, calls_out
from harecross.xds.release import Release
from harecross.xds.resources import Encoder, Published
from harecross.xds.server import Control

STEP = 0.1  # seconds: warmth, ejections by time and releases are looked at so often
SWEEP = 10  # steps in which every cluster is looked at once


class Press:
    """Publishes the feeds' views through one Control."""

    def __init__(self, control: Control | Fleet, encoder: Encoder, interval_s: float) -> None:
        self.control = control
        self.encoder = encoder
        self.release = Release(int(interval_s * 1e6))
        self.feeds: dict[str, Feed] = {}
        self.publishers: dict[str, Publisher] = {}
        self.prices: dict[str, float] = {}
        self.each: dict[str, float | None] = {}  # calls out at a warm server; None: as the feed's own limit
        self.told: dict[str, Told] = {}
        self.dirty: set[str] = set()
        self.wake = asyncio.Event()
        self.open = False  # nothing is published before
        self.turn = 0
        self.task: asyncio.Task[None] | None = None
        self.every_step: Callable[[], None] = lambda: None

    def add(self, feed: Feed, price: float, each: float | None) -> None:
        """A cluster; one of that name before it keeps its memory."""
        self.feeds[feed.name] = feed
        self.publishers.setdefault(feed.name, Publisher())
        self.prices[feed.name], self.each[feed.name] = price, each
        self.changed(feed.name)

    def remove(self, name: str) -> None:
        self.feeds.pop(name).close()
        del self.publishers[name], self.prices[name], self.each[name]
        self.told.pop(name, None)
        self.release.withdraw(name)
        self.wake.set()

    def changed(self, name: str) -> None:
        """Something is new in a cluster: it is looked at before anything else happens."""
        self.dirty.add(name)
        self.wake.set()

    def start(self) -> None:
        self.task = asyncio.get_running_loop().create_task(self.run())

    def stop(self) -> None:
        if self.task is not None:
            self.task.cancel()
        for feed in self.feeds.values():
            feed.close()

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        next_step = loop.time()
        while True:
            self.wake.clear()
            try:
                if loop.time() >= next_step:
                    next_step = loop.time() + STEP
                    self.turn = (self.turn + 1) % SWEEP
                    self.dirty.update(
                        n for i, n in enumerate(self.feeds) if i % SWEEP == self.turn or len(self.feeds) == 1
                    )
                    self.every_step()
                self.step()
            except Exception:
                log_exception("control")
            try:
                async with asyncio.timeout(max(0.0, next_step - loop.time())):
                    await self.wake.wait()
            except TimeoutError:
                pass

    def step(self) -> None:
        """Looks at what has changed, and publishes what is due."""
        dirty, self.dirty = self.dirty, set()
        for name in dirty:
            if name in self.feeds:
                self.look(name)
        if not self.open:
            return
        due = self.release.due(monotonic_us())
        if due is not None:
            clusters, urgent = due
            self.control.publish(Published(self.encoder, clusters), urgent)

    def look(self, name: str) -> None:
        feed = self.feeds[name]
        if not feed.roster.is_publishable():
            told = Told(None)
        else:
            views, own = feed.views()
            each, proxies = self.each[name], self.control.count()
            limit = calls_out(views, own, 2) if each is None else calls_out(views, each, proxies)
            ended = feed.roster.ended
            told = self.publishers[name].tell(monotonic_us(), views, limit, self.prices[name], ended)
        before = self.told.get(name)
        if before is None or not before.same(told):
            self.told[name] = told
            self.release.offer(name, told)
