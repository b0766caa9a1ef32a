"""Stand-in discoveries that lag, replay, leave out, fall silent and vanish, and record from when on a node was told."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from typing import Any

from harecross.soak.plan import OLD_WATCH, DiscoveryPlan
from harecross.soak.records import Change, Records, ToldRecord
from harecross.standins.discovery import chunk, entry, update
from harecross.standins.http import answer, read_message, write_open

LOOK_EVERY = 0.01  # seconds between two looks at the truth
WORD_EVERY = 1.8  # seconds without a change after which an empty line comes; the pages have 2
LISTED_BINDING = (
    6.0  # seconds after a list that is asked for has a change, and can be reached, by which it does
)
MOVED = 4.0  # seconds after SIGHUP by which all counts as told
SILENT_BINDING = 6.0  # seconds after a watch fell silent by which what it missed does
PIECE_PAUSE = 0.004  # seconds between two pieces of a line


class OpenWatch:
    """One watch that a node has open."""

    def __init__(self, writer: asyncio.StreamWriter, sent: int) -> None:
        self.writer = writer
        self.sent = sent  # so many changes have been told on it
        self.muted_at: float | None = None


class SoakDiscovery:
    """One address that tells one node the list: an agent on the node's own machine."""

    def __init__(
        self,
        plan: DiscoveryPlan,
        records: Records,
        node: str,
        address_of: Callable[[str], str],
        known: int,
        asked: bool = False,
    ) -> None:
        """`node` is the node's life that it tells; `known`: so many changes were known from the beginning.

        `asked`: it is a service that nodes ask, else an agent on the node's own machine.
        """
        self.plan = plan
        self.asked = asked
        self.due: dict[int, float] = {}  # where asked: when a change counts as told that has not been written
        self.records = records
        self.node = node
        self.address_of = address_of
        self.active_from = time.monotonic()  # SIGHUP named it then
        self.first = plan.caught_up == 0.0
        self.known = known
        self.told = 0  # so many changes count as told to the present life
        self.down = False
        self.left = False
        self.watches: list[OpenWatch] = []
        self.server: asyncio.Server | None = None
        self.port = 0
        self.tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def open(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        ticker = asyncio.create_task(self.look_on())
        self.tasks.add(ticker)
        ticker.add_done_callback(self.tasks.discard)

    async def look_on(self) -> None:
        """What it has counts as told whether or not a watch is open."""
        while True:
            self.look()
            await asyncio.sleep(LOOK_EVERY)

    # ---- what it knows, and what counts as told ---------------------------------------------------------

    def look(self) -> None:
        """Learns what has happened, unless it is down."""
        now = time.monotonic()
        if self.down:
            return
        caught_up = self.first or now >= self.active_from + self.plan.caught_up
        horizon = now - (0.0 if caught_up else self.plan.lag)
        while self.known < len(self.records.changes) and self.records.changes[self.known].at <= horizon:
            self.known += 1
        if self.asked:
            self.count_asked(now)
        else:
            self.count_pushed(now)

    def count_pushed(self, now: float) -> None:
        """What an agent has counts as told at once; what a silent watch misses a while after it fell silent."""
        binding = self.first or now >= self.active_from + MOVED
        if self.left or not binding:
            return
        muted = [w.muted_at for w in self.watches if w.muted_at is not None]
        for number in range(self.told, self.known):
            if muted:
                self.tell(number, max(now, max(muted) + SILENT_BINDING), "silent watch")
            else:
                self.tell(number, now, "agent has it")
        self.told = self.known

    def count_asked(self, now: float) -> None:
        """What has not been written counts as told 6 s after it was there to be asked for."""
        if self.left:
            return
        moved = 0.0 if self.first else self.active_from + MOVED
        for number in range(self.told, self.known):
            self.due[number] = max(now + LISTED_BINDING, moved)
        self.told = self.known
        for number in [n for n, due in self.due.items() if due <= now]:
            self.tell(number, self.due.pop(number), f"{LISTED_BINDING:g} s after it was listed")

    def tell(self, number: int, at: float, how: str) -> None:
        self.records.told.append(ToldRecord(self.node, number, at, f"{how}, {self.address}"))

    def new_life(self, node: str) -> None:
        """Another process of the node: what the agent has counts as told from its first moment on."""
        now = time.monotonic()
        self.node, self.told = node, self.known
        self.active_from = min(self.active_from, now - MOVED)
        if not self.asked:
            for number in range(self.known):
                self.tell(number, now, "agent has it at the start")
            return
        for number in range(self.known):
            listed = self.records.changes[number].at + LISTED_BINDING
            if listed <= now:
                self.tell(number, now, f"listed {LISTED_BINDING:g} s before the start")
            else:
                self.due[number] = listed

    # ---- calls ------------------------------------------------------------------------------------------

    def item(self, change: Change) -> dict[str, Any]:
        return entry(
            change.server, self.address_of(change.server), change.lifecycle, startedAtMs=change.started
        )

    def whole(self, upto: int) -> dict[str, Any]:
        last: dict[str, Change] = {}
        for change in self.records.changes[:upto]:
            last[change.server] = change
        wanted = {"in_service"} if self.plan.leaves_out else {"in_service", "terminating"}
        items = [self.item(change) for change in last.values() if change.lifecycle in wanted]
        return update(self.plan.first_version + upto, *items, reset=True)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        try:
            while True:
                head, _ = await read_message(reader)
                await asyncio.sleep(self.plan.answers_after)
                if self.down and self.asked:
                    writer.write(answer(503, b""))
                    return
                while self.down:
                    await asyncio.sleep(LOOK_EVERY)
                path = head.split(b" ", 2)[1]
                if b"watch=1" in path:
                    await self.watch(writer, int(path.rpartition(b"after=")[2]) - self.plan.first_version)
                    return
                self.look()
                upto = self.known
                writer.write(answer(200, json.dumps(self.whole(upto)).encode()))
                self.wrote(0, upto)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass  # the node has gone, or this discovery closes
        finally:
            self.tasks.discard(task)
            self.watches = [w for w in self.watches if w.writer is not writer]
            writer.close()

    async def watch(self, writer: asyncio.StreamWriter, after: int) -> None:
        """Tells what changes, one line for all changes of one moment."""
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        opened = OpenWatch(writer, after)
        self.watches.append(opened)
        upto = self.known
        if not 0 <= after <= upto:
            await self.send(writer, self.whole(upto))
            self.wrote(0, upto)
        elif after < upto:
            # The first line holds all that changed after that version (PROTOCOL, "Discovery").
            last = {change.server: change for change in self.records.changes[after:upto]}
            items = [self.item(change) for change in last.values()]
            await self.send(writer, update(self.plan.first_version + upto, *items))
            self.wrote(after, upto)
        else:
            writer.write(chunk(b""))
        opened.sent = upto
        word_at = time.monotonic()
        while not writer.is_closing():
            if opened.muted_at is None and not self.down:
                self.look()
                while opened.sent < self.known and opened.muted_at is None:
                    start, end = opened.sent, self.group_end(opened.sent)
                    items = [self.item(c) for c in self.records.changes[start:end]]
                    await self.send(writer, update(self.plan.first_version + end, *items))
                    opened.sent = end
                    self.wrote(start, end)
                    word_at = time.monotonic()
                if time.monotonic() > word_at + WORD_EVERY:
                    writer.write(chunk(b""))
                    word_at = time.monotonic()
            await asyncio.sleep(LOOK_EVERY)

    def group_end(self, start: int) -> int:
        """Where the changes end that happened at the same moment as that one."""
        end = start
        while end < self.known and self.records.changes[end].at == self.records.changes[start].at:
            end += 1
        return end

    async def send(self, writer: asyncio.StreamWriter, told: dict[str, Any]) -> None:
        text = chunk(json.dumps(told).encode())
        size = -(-len(text) // self.plan.pieces)
        for at in range(0, len(text), size):
            if at:
                await asyncio.sleep(PIECE_PAUSE)
            write_open(writer, text[at : at + size])
        await writer.drain()

    def wrote(self, start: int, end: int) -> None:
        now = time.monotonic()
        for number in range(start, end):
            self.tell(number, now, "written")

    # ---- trouble ----------------------------------------------------------------------------------------

    def mute(self) -> None:
        """The open watches stay open and say nothing more."""
        for watch in self.watches:
            if watch.muted_at is None:
                watch.muted_at = time.monotonic()

    def reset(self) -> None:
        for watch in self.watches:
            watch.writer.transport.abort()

    async def leave(self) -> None:
        """The node was sent elsewhere: no new connection, and the open ones end a moment later."""
        self.left = True
        if self.server is not None:
            self.server.close()
        await asyncio.sleep(OLD_WATCH)
        self.close()

    async def go_down(self, seconds: float) -> None:
        """Learns nothing for so long. An agent is silent; a service that is asked ends its watches and fails calls."""
        self.down = True
        if self.asked:
            self.reset()
        await asyncio.sleep(seconds)
        self.down = False
        reachable = time.monotonic() + LISTED_BINDING
        self.due = {number: max(due, reachable) for number, due in self.due.items()}
        self.look()

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for task in self.tasks:
            task.cancel()
        self.reset()
