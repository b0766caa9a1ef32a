"""Sources at work: asks DNS, looks at files, keeps sets on disk, and stands between a watch and its directory."""

from __future__ import annotations

import asyncio
import os
import ssl
import threading
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random, SystemRandom
from typing import TYPE_CHECKING, Any

from harecross.discovery.endpoint_registry import EndpointRegistry
from harecross.platform.clock import monotonic_us
from harecross.platform.log import log_exception, log_line
from harecross.sources.config import File, SourcesTable, Srv, name_of
from harecross.sources.files import BadFile, read_file
from harecross.sources.ledger import Credit, Priorities
from harecross.sources.membership import FIRST_WORDS, WATCH, Membership, stated_by_dns

if TYPE_CHECKING:
    from harecross.dns.client import Client
    from harecross.dns.lifetime import Name, View

STEP_LEAST, STEP_MOST = 0.02, 0.5  # seconds between two looks at what is due
FILE_EVERY = 1.0  # seconds between two looks at a file
SICK = 4.0  # a box on which a call costs so many times the mean is not healthy
KEEP_EVERY = 1.0  # seconds between two writes of the kept sets, at least


@dataclass(slots=True)
class Asked:
    """An SRV name at work."""

    told: Srv
    source: str
    name: Name
    client: Client
    seen: tuple[object, ...] = ()  # the standing and the answer that the ledger last heard of
    noted: frozenset[str] = frozenset()


@dataclass(slots=True)
class Read:
    """A file at work."""

    told: File
    source: str
    due: float = 0.0
    signature: tuple[int, ...] = ()  # of the file as it was last looked at
    used: tuple[int, ...] = ()  # of the file as it was last read
    why: str = ""


def signature(path: str) -> tuple[int, ...]:
    """Changes whenever a file does. OSError where there is none."""
    stat = os.stat(path)
    return stat.st_ino, stat.st_size, stat.st_mtime_ns


class Sources:
    """The `Lists` of a `Discovery`. Every decision is the membership's, the ledger's or a name's."""

    def __init__(
        self, told: SourcesTable, directory: EndpointRegistry, label: str = "", rng: Random | None = None
    ) -> None:
        """Reads the kept sets and the files. ValueError for a file that is bad at the start."""
        self.loop = asyncio.get_running_loop()
        self.told = told
        self.registry = directory
        self.label = f"{label}: " if label else ""
        self.rng = rng or SystemRandom()
        self.now = self.loop.time
        self.wall = time.time
        self.membership = Membership(
            directory.apply,
            told.limits(),
            Priorities(told.overflow_enter, told.overflow_leave),
            told.watch_rank if told.watch else None,
            self.now() + FIRST_WORDS,
        )
        self.membership.sick, self.membership.held = self.sick, lambda: directory.in_maintenance
        directory.resolve_name, directory.uses_listed_weights = self.membership.resolve, True
        self.watch_heard = self.now()
        self.clients: dict[tuple[object, ...], Client] = {}
        self.asked: dict[str, Asked] = {}
        self.files: dict[str, Read] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.wake = asyncio.Event()
        self.dirty, self.kept_at = False, 0.0
        self.writing = threading.Lock()  # two threads into one file would make neither's
        self.running: asyncio.Task[None] | None = None
        self.put(told, first=True)

    # ---- configuration ----------------------------------------------------------------------------------

    def put(self, told: SourcesTable, first: bool = False) -> None:
        """Sources added, changed and removed; nothing that another source names is lost."""
        self.told = told
        now, ledger = self.now(), self.membership.ledger
        ledger.limits = told.limits()
        self.membership.priorities.enter = told.overflow_enter
        self.membership.priorities.leave = told.overflow_leave
        if told.watch:
            ledger.add(WATCH, told.watch_rank)
        kept = self.recall() if first and told.keep and told.srv else {}
        names, files = {f"srv:{s.name}" for s in told.srv}, {f"file:{f.path}" for f in told.file}
        for gone in (
            (self.asked.keys() - names) | (self.files.keys() - files) | ({WATCH} if not told.watch else set())
        ):
            self.asked.pop(gone, None)
            self.files.pop(gone, None)
            ledger.remove(gone)
        for srv in told.srv:
            self.put_name(srv, now, kept)
        for file in told.file:
            source = f"file:{file.path}"
            ledger.add(source, file.rank)
            old = self.files.get(source)
            if old is None:
                old = self.files[source] = Read(file, source)
            elif old.told != file:
                old.told, old.used = file, ()
            if first:
                self.look_first(old)
        self.wake.set()

    def put_name(self, srv: Srv, now: float, kept: dict[str, Any]) -> None:
        from harecross.dns.lifetime import Lifetimes, Name

        source = f"srv:{srv.name}"
        self.membership.ledger.add(source, srv.rank)
        life = Lifetimes(srv.floor_s, srv.ceiling_s, stale_max=srv.stale_max_s, doubt=srv.doubt_s)
        client = self.client(self.told.servers(srv))
        known = self.asked.get(source)
        if known is not None:
            if known.told != srv:
                known.told, known.name.limits, known.seen = srv, life, ()
            known.client = client
            return
        name = Name(life, self.rng, now)
        if srv.name in kept:
            age, past = kept[srv.name].age(self.wall())
            # Whatever its life says: it comes from before the start, and counts as stale until DNS has answered.
            name.restore(now, kept[srv.name].found, age, -max(past, 0.001))
        self.asked[source] = Asked(srv, source, name, client)

    def client(self, servers: Sequence[str]) -> Client:
        from harecross.dns.client import Client
        from harecross.dns.servers import TLS

        key = (tuple(servers), self.told.tls_ca, self.told.tls_name)
        if key not in self.clients:
            context = None
            if any(s.startswith(TLS) for s in servers):
                context = ssl.create_default_context(cafile=self.told.tls_ca or None)
            self.clients[key] = Client(servers, self.rng, context, self.told.tls_name)
        return self.clients[key]

    def recall(self) -> dict[str, Any]:
        """The kept sets; a file that is no good is said, and nothing of it used."""
        from harecross.sources import keep

        try:
            keep.clear(self.told.keep)
            return keep.read(self.told.keep)
        except (keep.BadKept, OSError) as e:
            log_line(f"sources: {self.told.keep}: kept sets not used: {e}")
            return {}

    def look_first(self, file: Read) -> None:
        """A file at the start: one that is missing or bad ends the start."""
        try:
            file.signature = file.used = signature(file.told.path)
            stated = read_file(file.told.path, file.told.zone, file.told.priority)
        except OSError as e:
            raise ValueError(f"sources.file: {file.told.path}: {e.strerror}") from None
        except BadFile as e:
            raise ValueError(f"sources.file: {file.told.path}: {e}") from None
        file.due = self.now() + FILE_EVERY
        self.membership.told(self.now(), file.source, stated)

    # ---- between the watch and the directory --------------------------------------------------------------

    def apply(self, update: Any, *, cached: bool = False, full: bool = False) -> None:
        """The watch's word. ValueError if it is none."""
        if not self.told.watch:
            return
        self.membership.watched(self.now(), self.wall(), update, cached, full)
        for item in update["instances"]:
            # What cannot be used is said; a line on a server that goes is no matter.
            if not isinstance(item, dict) or (
                item.get("lifecycle") == "in_service" and item.get("hostPort") not in self.membership.raw
            ):
                log_line(f"discovery: bad entry {item!r:.200}")
        self.settle()

    def connectivity_changed(self, *, connected: bool) -> None:
        """The watch has received something, or its connection has ended."""
        if not connected or not self.told.watch:
            return
        self.watch_heard = self.now()
        if self.membership.ledger.sources[WATCH].credit == Credit.STALE and self.membership.whole:
            self.membership.watch_back(self.now())
            self.wake.set()

    def sick(self) -> set[str]:
        """Addresses of servers that the decision module holds ejected, or takes for much slower or failing.

        It ejects a third of its members at most; the others of a dead priority show by what a call costs there.
        """
        names = {number: name for name, number in self.registry.numbers.items()}
        views = self.registry.dispatcher.balancer.endpoint_snapshots(monotonic_us())
        return {names[v.server] for v in views if (v.ejected or v.cost >= SICK) and v.server in names}

    @property
    def heard(self) -> bool:
        """Whether the host has been told a whole list of what is fresh."""
        return self.membership.whole

    @property
    def watches(self) -> bool:
        """Whether the platform's watch is a source."""
        return self.told.watch

    def follow(self, moved: Callable[[], None]) -> None:
        """`moved` is called before a box with a new name is told."""
        self.membership.renamed = moved

    def again(self) -> None:
        """Tells the host the whole list once more, soon."""
        lines = self.membership.lines
        self.loop.call_soon(
            lambda: self.registry.apply({"reset": True, "instances": list(lines.values())}, full=True)
        )

    def explain(self, box: str = "") -> dict[str, Any]:
        """What each source says, and how each box came to be in or out."""
        from harecross.sources.explain import explained

        return explained(self, box)

    # ---- at work ------------------------------------------------------------------------------------------

    def start(self) -> None:
        self.running = self.loop.create_task(self.run())

    async def stop(self) -> None:
        """Ends what is out, and writes what is to be kept."""
        tasks = [*self.tasks, *([self.running] if self.running is not None else [])]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for client in self.clients.values():
            await client.close()
        if self.told.keep and self.asked:
            # A write that was cancelled above may not have begun: what is kept is written once more.
            self.write(self.kept())

    async def run(self) -> None:
        while True:
            try:
                self.step()
            except Exception:
                log_exception("sources")
            due = self.next_due()
            try:
                async with asyncio.timeout_at(min(max(due, self.now() + STEP_LEAST), self.now() + STEP_MOST)):
                    await self.wake.wait()
                    await asyncio.sleep(STEP_LEAST)
            except TimeoutError:
                pass
            self.wake.clear()

    def next_due(self) -> float:
        times = [a.name.ask_at for a in self.asked.values() if not a.name.asking]
        times += [f.due for f in self.files.values()]
        ripe = self.membership.ledger.due()
        return min([*times, *([ripe] if ripe is not None else [])], default=self.now() + STEP_MOST)

    def step(self) -> None:
        """Everything that is due now."""
        now = self.now()
        for asked in list(self.asked.values()):
            if asked.name.due(now):
                asked.name.asked()
                self.keep_task(self.ask(asked))
            self.look(asked)
        for file in self.files.values():
            if now >= file.due:
                file.due = now + FILE_EVERY
                self.keep_task(self.look_at(file))
        if self.told.watch and now - self.watch_heard > self.told.watch_stale_s:
            source = self.membership.ledger.sources[WATCH]
            if source.credit == Credit.FRESH:
                log_line(
                    f"sources: {self.label}watch: silent for {self.told.watch_stale_s:g} s, its list is stale"
                )
            if source.credit != Credit.NONE:
                self.membership.worth(WATCH, Credit.STALE)
        self.settle()
        if self.dirty and now >= self.kept_at + KEEP_EVERY:
            self.dirty, self.kept_at = False, now
            self.keep_task(asyncio.to_thread(self.write, self.kept()))

    def settle(self) -> None:
        try:
            self.membership.settle(self.now(), self.wall())
        except ValueError as e:
            log_line(f"sources: {self.label}{e}")

    def keep_task(self, work: Any) -> None:
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    # ---- DNS ------------------------------------------------------------------------------------------------

    async def ask(self, asked: Asked) -> None:
        from harecross.dns.client import LookupFailed

        try:
            found = await asked.client.resolve(name_of(asked.told.name, asked.source))
        except LookupFailed as e:
            asked.name.could_not(self.now(), str(e))
        except Exception:
            log_exception(asked.source)
            asked.name.could_not(self.now(), "failed: see the log")
        else:
            asked.name.answered(self.now(), found)
        if self.asked.get(asked.source) is asked:  # not removed meanwhile
            self.look(asked)
            self.wake.set()

    def look(self, asked: Asked) -> None:
        """Tells the ledger how a name stands, where that is new."""
        view = asked.name.view(self.now())
        seen = (view.standing, asked.name.at, view.why)
        if seen == asked.seen:
            return
        before, asked.seen = asked.seen, seen
        if not before or before[0] != view.standing:
            why = f": {view.why}" if view.why else ""
            log_line(
                f"sources: {self.label}{asked.source}: {view.standing}, {len(view.endpoints)} endpoints{why}"
            )
        for note in set(view.notes) - asked.noted:
            log_line(f"sources: {self.label}{asked.source}: {note}")
        asked.noted = frozenset(view.notes)
        self.state(asked, view)

    def state(self, asked: Asked, view: View) -> None:
        from harecross.dns.lifetime import Standing

        membership, source = self.membership, asked.source
        silent = membership.ledger.sources[source].credit == Credit.NONE
        if view.standing in (Standing.FRESH, Standing.EMPTY) or (silent and view.endpoints):
            stated = stated_by_dns(view.endpoints, asked.told.zone, asked.told.priority)
            membership.told(self.now(), source, stated)
            self.dirty = self.dirty or (bool(self.told.keep) and view.standing == Standing.FRESH)
        if view.standing in (Standing.STALE, Standing.DOUBTED):
            membership.worth(source, Credit.STALE)
        elif view.standing == Standing.EXPIRED:
            membership.worth(source, Credit.LOST)

    # ---- files ----------------------------------------------------------------------------------------------

    async def look_at(self, file: Read) -> None:
        """Reads a file that has changed, once it stays as it is for one look."""
        try:
            now, before = signature(file.told.path), file.signature
            file.signature = now
            if now == file.used or now != before:
                return
            stated = await asyncio.to_thread(read_file, file.told.path, file.told.zone, file.told.priority)
        except (OSError, BadFile) as e:
            why = (e.strerror or str(e)) if isinstance(e, OSError) else str(e)
            if why != file.why:
                log_line(f"sources: {file.told.path}: {why}; its last list is stale")
            file.why, file.used = why, ()
            if self.files.get(file.source) is file:
                self.membership.worth(file.source, Credit.STALE)
        else:
            if self.files.get(file.source) is file:
                file.why, file.used = "", now
                self.membership.told(self.now(), file.source, stated)
        self.wake.set()

    # ---- what is kept ---------------------------------------------------------------------------------------

    def kept(self) -> dict[str, Any]:
        from harecross.sources.keep import Kept

        now, wall = self.now(), self.wall()
        return {
            a.told.name: Kept(a.name.held, wall - (now - a.name.at), wall + (a.name.until - now))
            for a in self.asked.values()
            if a.name.held is not None and a.name.held.endpoints
        }

    def write(self, sets: dict[str, Any]) -> None:
        from harecross.sources import keep

        try:
            with self.writing:
                keep.write(self.told.keep, sets)
        except OSError as e:
            log_line(f"sources: {self.told.keep}: sets not kept: {e.strerror}")
