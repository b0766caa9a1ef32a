"""Several processes for one service: each worker serves the streams that the kernel gives it (SO_REUSEPORT).

One process of grpcio sends some four thousand responses a second. The service keeps discovery, probes and decisions
to itself and tells its workers only what has changed.
"""

from __future__ import annotations

import asyncio
import socket
import sys
from collections.abc import Callable, Collection, Mapping
from typing import Any

import msgspec

from harecross.platform.child_process import ChildProcess, describe_exit
from harecross.settings import address
from harecross.xds.link import (
    Ask,
    Clients,
    Link,
    Listening,
    Message,
    Publish,
    Report,
    Rows,
    Setup,
    Streams,
    framed,
)
from harecross.xds.loads import Loads
from harecross.xds.publish import Told
from harecross.xds.resources import Published

AGAIN = 0.2  # seconds before a worker that has ended is started again...
AGAIN_MOST = 5.0  # ...doubling up to so many while it ends at once
START = 20.0  # seconds a worker may take to listen
LAST_BREATH = 2.0  # seconds from its link's end to its own


class Member:
    """One worker, as the service sees it."""

    def __init__(self) -> None:
        self.link: Link | None = None
        self.process: ChildProcess | None = None
        self.streams = Streams(0, 0)


class Fleet:
    """Stands where a `Control` would: `publish`, `count`, `stop`."""

    def __init__(
        self, size: int, setup: Setup, loads: Callable[[str], Loads | None], log: Callable[[str], None]
    ) -> None:
        self.setup = setup
        self.loads = loads
        self.log = log
        self.members = [Member() for _ in range(size)]
        self.told: dict[str, Told] = {}
        self.known = False
        self.port = 0
        self.tasks: set[asyncio.Task[None]] = set()
        self.waiting: dict[int, tuple[Member, int, set[int], list[dict[str, Any]]]] = {}
        self.asked = 0
        self.stopping = False

    def count(self) -> int:
        """Streams of all workers, a quarter of a second old at most."""
        return sum(m.streams.count for m in self.members)

    async def start(self) -> int:
        """All workers listen; the port. OSError if they cannot."""
        host, port = address(self.setup.listen)
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        with socket.socket(family) as probe:
            # Guards against: another program's port, shared with it without a word.
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            probe.bind((host.strip("[]"), port))
            self.port = probe.getsockname()[1]
        self.setup = msgspec.structs.replace(self.setup, listen=f"{host}:{self.port}")
        try:
            await asyncio.gather(*(self.begin(m) for m in self.members))
        except BaseException:
            await self.stop()
            raise
        for member in self.members:
            task = asyncio.create_task(self.keep(member))
            self.tasks.add(task)
        return self.port

    async def begin(self, member: Member) -> None:
        """Starts a worker and tells it all there is."""
        ours, theirs = socket.socketpair()
        with theirs:
            number = theirs.fileno()
            command = [sys.executable, "-m", "harecross.xds.worker", str(number)]
            member.process = ChildProcess(command, pass_fds=(number,))
        member.link = Link(*await asyncio.open_connection(sock=ours))
        member.link.send(self.setup)
        try:
            async with asyncio.timeout(START):
                answer = await member.link.receive()
        except (EOFError, TimeoutError):
            why = await self.end_of(member)
            raise OSError(f"{self.setup.listen}: a worker did not start: it {why}") from None
        if not isinstance(answer, Listening) or answer.error:
            raise OSError(answer.error if isinstance(answer, Listening) else "a worker answered out of turn")
        if self.known:
            member.link.send(Publish(self.told, (), ()))

    async def keep(self, member: Member) -> None:
        """Reads from a worker; one that ends is started again, and its proxies come back to any of them."""
        wait = AGAIN
        loop = asyncio.get_running_loop()
        while True:
            began = loop.time()
            if member.link is not None:
                await member.link.each(lambda message: self.take(member, message))
            self.lost(member)
            if self.stopping:
                return
            wait = AGAIN if loop.time() - began > AGAIN_MOST else min(2 * wait, AGAIN_MOST)
            self.log(f"xds: a worker {await self.end_of(member)}; another one in {wait:g} s")
            await asyncio.sleep(wait)
            try:
                await self.begin(member)
            except OSError as e:
                # Guards against: one that listens after all, was told nothing, and keeps its proxies waiting.
                self.log(f"xds: worker: {e}")
                self.lost(member)

    async def end_of(self, member: Member) -> str:
        """How the worker ended, in words; one that has let go of its link and lives on is killed."""
        if member.process is None:
            return "did not start"
        try:
            async with asyncio.timeout(LAST_BREATH):
                return describe_exit(await member.process.wait())
        except TimeoutError:
            member.process.kill()
            await member.process.wait()
            return "had lost its link and was killed"

    def lost(self, member: Member) -> None:
        if member.link is not None:
            member.link.writer.close()
        member.link = None
        member.streams = Streams(0, 0)
        for number, (_, _, missing, _) in list(self.waiting.items()):
            missing.discard(self.members.index(member))
            self.answer(number)

    async def stop(self) -> None:
        """Closes the links: workers end their streams and themselves."""
        self.stopping = True
        for m in self.members:
            if m.link is not None:
                m.link.writer.close()
        for m in self.members:
            if m.process is not None:
                try:
                    async with asyncio.timeout(5):
                        await m.process.wait()
                except TimeoutError:
                    m.process.kill()
                    await m.process.wait()
        for task in self.tasks:
            task.cancel()

    # ---- what is told ---------------------------------------------------------------------------------

    def publish(self, source: Published, urgent: Collection[str] = ()) -> None:
        """Tells every worker what differs from the last time; encoded once."""
        now: Mapping[str, Told] = source.clusters
        changed = {n: told for n, told in now.items() if self.told.get(n) is not told}
        gone = tuple(n for n in self.told if n not in now)
        self.told, self.known = dict(now), True
        text = framed(Publish(changed, gone, tuple(urgent)))
        for m in self.members:
            if m.link is not None:
                m.link.send_bytes(text)

    def allow(self, rules: dict[str, tuple[str, ...]]) -> None:
        """Other rules on who may see what."""
        self.setup = msgspec.structs.replace(self.setup, clients=rules)
        for m in self.members:
            if m.link is not None:
                m.link.send(Clients(rules))

    # ---- what workers say -----------------------------------------------------------------------------

    def take(self, member: Member, message: Message) -> None:
        if isinstance(message, Streams):
            member.streams = message
        elif isinstance(message, Report):
            account = self.loads(message.cluster)
            if account is not None:
                m = message
                account.add(m.voice, m.server, m.good, m.bad, m.in_progress, m.seconds)
        elif isinstance(message, Ask):
            self.asked += 1
            there = {i for i, m in enumerate(self.members) if m.link is not None}
            self.waiting[self.asked] = (member, message.number, there, [])
            for i in there:
                link = self.members[i].link
                assert link is not None
                link.send(Ask(self.asked))
        elif isinstance(message, Rows) and message.number in self.waiting:
            _, _, missing, rows = self.waiting[message.number]
            missing.discard(self.members.index(member))
            rows.extend(message.rows)
            self.answer(message.number)

    def answer(self, number: int) -> None:
        """Gives a worker the rows it asked for, once all are there."""
        asker, its_number, missing, rows = self.waiting[number]
        if not missing:
            del self.waiting[number]
            if asker.link is not None:
                asker.link.send(Rows(its_number, rows))
