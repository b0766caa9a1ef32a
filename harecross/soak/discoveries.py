"""Stand-in discoveries that lag, repeat, omit, fall silent and fail, and record when nodes count as notified."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from typing import Any

from harecross.soak.plan import DiscoveryPlan
from harecross.soak.records import EndpointChange, Lifecycle, NotificationRecord, Records
from harecross.standins.discovery import chunk, entry, update
from harecross.standins.http import answer, read_message, write_or_raise

POLL_INTERVAL_S = 0.01  # between two looks at the records
HEARTBEAT_INTERVAL_S = 1.8  # without a change; the protocol has 2
LISTED_NOTIFIED_S = 6.0  # after a polled list has a change, and can be reached, nodes count as notified of it
MIGRATION_NOTIFIED_S = 4.0  # after SIGHUP, a node counts as notified of all changes
SILENT_NOTIFIED_S = 6.0  # after a watch fell silent, its node counts as notified of what it missed
RETIRED_WATCH_S = 1.5  # for which a discovery keeps its watches open after a migration
PIECE_INTERVAL_S = 0.004  # between two writes of one line


class OpenWatch:
    """One watch that a node has open."""

    def __init__(self, writer: asyncio.StreamWriter, sent_changes: int) -> None:
        self.writer = writer
        self.sent_changes = sent_changes
        self.silent_since: float | None = None


class SoakDiscovery:
    """One discovery of one node: an agent on the node's machine, or a service that the node polls."""

    def __init__(
        self,
        plan: DiscoveryPlan,
        records: Records,
        node: str,
        address_of: Callable[[str], str],
        known_changes: int,
        *,
        polled: bool = False,
    ) -> None:
        """`node` is the node's process, `address_of` a server's address by its name.

        `known_changes` are known from the beginning. `polled`: it is a service, otherwise an agent.
        """
        self.known_changes = known_changes
        self.notified_changes = 0  # of which the present process counts, or will count, as notified
        self.pending: dict[
            int, float
        ] = {}  # polled: when the node counts as notified, by change not yet written
        self.active_from = time.monotonic()  # when SIGHUP named it
        self.address_of = address_of
        self._plan = plan
        self._polled = polled
        self.records = records
        self._node = node
        self._is_first = plan.caught_up_after == 0.0
        self._down = False
        self._retired = False
        self._watches: list[OpenWatch] = []
        self._listener: asyncio.Server | None = None
        self._port = 0
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """Where the node connects."""
        return f"127.0.0.1:{self._port}"

    async def open(self) -> None:
        """Listens, and begins to learn of changes."""
        self._listener = await asyncio.start_server(self._serve, "127.0.0.1", self._port)
        self._port = self._listener.sockets[0].getsockname()[1]
        task = asyncio.create_task(self._learn_regularly())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _learn_regularly(self) -> None:
        """A node counts as notified whether or not it has a watch open."""
        while True:
            self.learn()
            await asyncio.sleep(POLL_INTERVAL_S)

    # ---- known changes and notifications ------------------------------------------------------------------

    def learn(self) -> None:
        """Learns of changes, unless it is down, and records from when on the node counts as notified."""
        now = time.monotonic()
        if self._down:
            return
        caught_up = self._is_first or now >= self.active_from + self._plan.caught_up_after
        horizon = now - (0.0 if caught_up else self._plan.delay)
        changes = self.records.changes
        while self.known_changes < len(changes) and changes[self.known_changes].at <= horizon:
            self.known_changes += 1
        if self._polled:
            self.record_polled_notifications(now)
        else:
            self.record_pushed_notifications(now)

    def record_pushed_notifications(self, now: float) -> None:
        """A node counts as notified of what its agent has, and of what a silent watch misses some time after."""
        migrated = self._is_first or now >= self.active_from + MIGRATION_NOTIFIED_S
        if self._retired or not migrated:
            return
        silent = [watch.silent_since for watch in self._watches if watch.silent_since is not None]
        for number in range(self.notified_changes, self.known_changes):
            if silent:
                self._record(number, max(now, max(silent) + SILENT_NOTIFIED_S), "silent watch")
            else:
                self._record(number, now, "agent has it")
        self.notified_changes = self.known_changes

    def record_polled_notifications(self, now: float) -> None:
        """A node counts as notified of a change some time after it could be polled."""
        if self._retired:
            return
        migrated_at = 0.0 if self._is_first else self.active_from + MIGRATION_NOTIFIED_S
        for number in range(self.notified_changes, self.known_changes):
            self.pending[number] = max(now + LISTED_NOTIFIED_S, migrated_at)
        self.notified_changes = self.known_changes
        for number in [number for number, due in self.pending.items() if due <= now]:
            self._record(number, self.pending.pop(number), f"{LISTED_NOTIFIED_S:g} s after it was listed")

    def _record(self, number: int, at: float, reason: str) -> None:
        notification = NotificationRecord(self._node, number, at, f"{reason}, {self.address}")
        self.records.notifications.append(notification)

    def _record_written(self, start: int, end: int) -> None:
        now = time.monotonic()
        for number in range(start, end):
            self._record(number, now, "written")

    def begin_process(self, node: str) -> None:
        """Another process of the node starts: it counts as notified of what was notified to a node before."""
        now = time.monotonic()
        self._node, self.notified_changes = node, self.known_changes
        self.active_from = min(self.active_from, now - MIGRATION_NOTIFIED_S)
        for number in range(self.known_changes):
            if self._polled:
                self._record_listed_before(number, now)
            else:
                self._record(number, now, "agent has it at the start")

    def _record_listed_before(self, number: int, now: float) -> None:
        due = self.records.changes[number].at + LISTED_NOTIFIED_S
        if due <= now:
            self._record(number, now, f"listed {LISTED_NOTIFIED_S:g} s before the start")
        else:
            self.pending[number] = due

    # ---- lists and watch events ---------------------------------------------------------------------------

    def full_list(self, end: int) -> dict[str, Any]:
        """The list after so many changes."""
        last = {change.server: change for change in self.records.changes[:end]}
        listed = {Lifecycle.IN_SERVICE}
        if not self._plan.omits_draining:
            listed.add(Lifecycle.DRAINING)
        entries = [self._entry(change) for change in last.values() if change.lifecycle in listed]
        return update(self._plan.first_generation + end, *entries, reset=True)

    def _entry(self, change: EndpointChange) -> dict[str, Any]:
        address = self.address_of(change.server)
        return entry(change.server, address, change.lifecycle, startedAtMs=change.started_ms)

    def _event(self, changes: list[EndpointChange], end: int) -> dict[str, Any]:
        return update(self._plan.first_generation + end, *(self._entry(change) for change in changes))

    def _group_end(self, start: int) -> int:
        """The end of the changes that happened at the same time as that one."""
        changes, end = self.records.changes, start
        while end < self.known_changes and changes[end].at == changes[start].at:
            end += 1
        return end

    # ---- connections --------------------------------------------------------------------------------------

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while await self._serve_call(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass  # the node is gone, or this discovery closes
        finally:
            self._tasks.discard(task)
            self._watches = [watch for watch in self._watches if watch.writer is not writer]
            writer.close()

    async def _serve_call(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Answers one call; False where no other may follow on the connection."""
        head, _ = await read_message(reader)
        await asyncio.sleep(self._plan.answer_delay)
        if self._down and self._polled:
            writer.write(answer(503, b""))
            return False
        while self._down:
            await asyncio.sleep(POLL_INTERVAL_S)
        path = head.split(b" ", 2)[1]
        if b"watch=1" in path:
            await self._serve_watch(writer, int(path.rpartition(b"after=")[2]) - self._plan.first_generation)
            return False
        self.learn()
        end = self.known_changes
        writer.write(answer(200, json.dumps(self.full_list(end)).encode()))
        self._record_written(0, end)
        return True

    async def _serve_watch(self, writer: asyncio.StreamWriter, after: int) -> None:
        """Sends what changes after so many changes, one line for all changes of one time."""
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        watch = OpenWatch(writer, after)
        self._watches.append(watch)
        watch.sent_changes = await self._send_first_line(writer, after)
        sent_at = time.monotonic()
        while not writer.is_closing():
            if watch.silent_since is None and not self._down:
                self.learn()
                if await self._send_changes(watch):
                    sent_at = time.monotonic()
                if time.monotonic() > sent_at + HEARTBEAT_INTERVAL_S:
                    writer.write(chunk(b""))
                    sent_at = time.monotonic()
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _send_first_line(self, writer: asyncio.StreamWriter, after: int) -> int:
        """Sends a full list, all later changes in one line, or a heartbeat; returns how many changes are sent."""
        end = self.known_changes
        if not 0 <= after <= end:
            await self._send(writer, self.full_list(end))
            self._record_written(0, end)
        elif after < end:
            last = {change.server: change for change in self.records.changes[after:end]}
            await self._send(writer, self._event(list(last.values()), end))
            self._record_written(after, end)
        else:
            writer.write(chunk(b""))
        return end

    async def _send_changes(self, watch: OpenWatch) -> bool:
        """Sends the changes that the watch does not have; whether there were any."""
        sent = False
        while watch.sent_changes < self.known_changes and watch.silent_since is None:
            start, end = watch.sent_changes, self._group_end(watch.sent_changes)
            await self._send(watch.writer, self._event(self.records.changes[start:end], end))
            watch.sent_changes = end
            self._record_written(start, end)
            sent = True
        return sent

    async def _send(self, writer: asyncio.StreamWriter, document: dict[str, Any]) -> None:
        """Sends one line, in as many pieces as the plan has."""
        data = chunk(json.dumps(document).encode())
        piece_bytes = -(-len(data) // self._plan.line_pieces)
        for start in range(0, len(data), piece_bytes):
            if start:
                await asyncio.sleep(PIECE_INTERVAL_S)
            write_or_raise(writer, data[start : start + piece_bytes])
        await writer.drain()

    # ---- faults -------------------------------------------------------------------------------------------

    def silence_watches(self) -> None:
        """The open watches stay open and send nothing more."""
        for watch in self._watches:
            if watch.silent_since is None:
                watch.silent_since = time.monotonic()

    def reset_watches(self) -> None:
        """Resets the connections of the open watches."""
        for watch in self._watches:
            watch.writer.transport.abort()

    async def retire(self) -> None:
        """The node has migrated: no new connections, and the open ones end some time later."""
        self._retired = True
        if self._listener is not None:
            self._listener.close()
        await asyncio.sleep(RETIRED_WATCH_S)
        self.close()

    async def go_down(self, seconds: float) -> None:
        """Learns nothing for a while. An agent is silent; a service that is polled ends watches and fails calls."""
        self._down = True
        if self._polled:
            self.reset_watches()
        await asyncio.sleep(seconds)
        self._down = False
        reachable = time.monotonic() + LISTED_NOTIFIED_S
        self.pending = {number: max(due, reachable) for number, due in self.pending.items()}
        self.learn()

    def close(self) -> None:
        """Ends everything at once."""
        if self._listener is not None:
            self._listener.close()
        for task in self._tasks:
            task.cancel()
        self.reset_watches()
