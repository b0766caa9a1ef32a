"""Stand-in discoveries that lag, repeat or omit changes, fall silent and fail; they record when nodes are notified."""

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

# Interval at which a discovery checks the records for new changes.
POLL_INTERVAL_S = 0.01
# Time without a change after which a watch sends a heartbeat; the protocol has 2 s.
HEARTBEAT_INTERVAL_S = 1.8
# Time from when a polled list has a change, and the service can be reached, until the node counts as notified of it.
LISTED_NOTIFIED_S = 6.0
# Time from SIGHUP until a node counts as notified of all changes.
MIGRATION_NOTIFIED_S = 4.0
# Time from when a watch fell silent until its node counts as notified of the changes that it missed.
SILENT_NOTIFIED_S = 6.0
# Time for which a discovery keeps its watches open after the node has migrated away from it.
RETIRED_WATCH_S = 1.5
# Pause between two writes of one line.
WRITE_INTERVAL_S = 0.004


class OpenWatch:
    """One open watch of a node.

    Attributes:
        sent_changes: Number of changes that have been sent on the watch.
        silent_since: Monotonic time since which the watch sends nothing; None if it works.
    """

    def __init__(self, writer: asyncio.StreamWriter, sent_changes: int) -> None:
        self.writer = writer
        self.sent_changes = sent_changes
        self.silent_since: float | None = None


class SoakDiscovery:
    """One discovery of one node: an agent on the node's machine, or a service that the node polls.

    Attributes:
        known_changes: Number of changes that the discovery has learned of.
        notified_changes: Number of changes of which the current process of the node counts, or will count, as
            notified.
        pending: For a polled service: when the node will count as notified, by the index of each change whose
            notification is not recorded yet.
        active_from: When SIGHUP told the node to migrate to this discovery, in monotonic seconds. If the process
            started with this discovery, it is at least `MIGRATION_NOTIFIED_S` before that start.
        address_of: Returns the address of a server by its name.
    """

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
        """Creates a discovery for the node's process `node`.

        It knows the first `known_changes` changes from the beginning. If `polled`, it is a service that the node
        polls, otherwise an agent that pushes changes.
        """
        self.known_changes = known_changes
        self.notified_changes = 0
        self.pending: dict[int, float] = {}
        self.active_from = time.monotonic()
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
        """The address that the node connects to."""
        return f"127.0.0.1:{self._port}"

    async def open(self) -> None:
        """Starts to listen and to learn of changes."""
        self._listener = await asyncio.start_server(self._serve, "127.0.0.1", self._port)
        self._port = self._listener.sockets[0].getsockname()[1]
        task = asyncio.create_task(self._learn_regularly())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _learn_regularly(self) -> None:
        """Learns of changes all the time, since a node counts as notified whether or not it has a watch open."""
        while True:
            self.learn()
            await asyncio.sleep(POLL_INTERVAL_S)

    def learn(self) -> None:
        """Learns of changes unless the discovery is down, and records when the node counts as notified of them."""
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
        """Records that a node is notified of the changes that its agent has.

        If a watch is silent, the node counts as notified `SILENT_NOTIFIED_S` after it fell silent.
        """
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
        """Records that a node is notified of a change `LISTED_NOTIFIED_S` after the change could be polled."""
        if self._retired:
            return
        migrated_at = 0.0 if self._is_first else self.active_from + MIGRATION_NOTIFIED_S
        for number in range(self.notified_changes, self.known_changes):
            self.pending[number] = max(now + LISTED_NOTIFIED_S, migrated_at)
        self.notified_changes = self.known_changes
        for number in [number for number, due_at in self.pending.items() if due_at <= now]:
            self._record(number, self.pending.pop(number), f"{LISTED_NOTIFIED_S:g} s after it was listed")

    def _record(self, number: int, at: float, reason: str) -> None:
        notification = NotificationRecord(self._node, number, at, f"{reason}, {self.address}")
        self.records.notifications.append(notification)

    def _record_written(self, start: int, end: int) -> None:
        now = time.monotonic()
        for number in range(start, end):
            self._record(number, now, "written")

    def begin_process(self, node: str) -> None:
        """Starts to record for a new process of the node, which counts as notified of all earlier changes.

        If the node polls, this holds for each change from `LISTED_NOTIFIED_S` after the change. The time limit after a
        migration does not apply to a process that starts with this discovery.
        """
        now = time.monotonic()
        self._node, self.notified_changes = node, self.known_changes
        self.active_from = min(self.active_from, now - MIGRATION_NOTIFIED_S)
        for number in range(self.known_changes):
            if self._polled:
                self._record_listed_before(number, now)
            else:
                self._record(number, now, "agent has it at the start")

    def _record_listed_before(self, number: int, now: float) -> None:
        due_at = self.records.changes[number].at + LISTED_NOTIFIED_S
        if due_at <= now:
            self._record(number, now, f"listed {LISTED_NOTIFIED_S:g} s before the start")
        else:
            self.pending[number] = due_at

    def full_list(self, end: int) -> dict[str, Any]:
        """Returns the full list after the first `end` changes."""
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
        """Returns the index after the last change that happened at the same time as the change `start`."""
        changes, end = self.records.changes, start
        while end < self.known_changes and changes[end].at == changes[start].at:
            end += 1
        return end

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while await self._serve_call(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass  # the node has closed the connection, or this discovery is closing
        finally:
            self._tasks.discard(task)
            self._watches = [watch for watch in self._watches if watch.writer is not writer]
            writer.close()

    async def _serve_call(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Answers one call; returns whether another call may follow on the connection."""
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
        """Serves a watch of a node that has the first `after` changes.

        All changes that happened at the same time are sent in one line.
        """
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
        """Sends a full list, all later changes in one line, or a heartbeat.

        Returns the number of changes that the node has afterwards.
        """
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
        """Sends the changes that the watch does not have yet; returns whether there were any."""
        sent = False
        while watch.sent_changes < self.known_changes and watch.silent_since is None:
            start, end = watch.sent_changes, self._group_end(watch.sent_changes)
            await self._send(watch.writer, self._event(self.records.changes[start:end], end))
            watch.sent_changes = end
            self._record_written(start, end)
            sent = True
        return sent

    async def _send(self, writer: asyncio.StreamWriter, document: dict[str, Any]) -> None:
        """Sends one line, in as many writes as the plan says."""
        data = chunk(json.dumps(document).encode())
        write_bytes = -(-len(data) // self._plan.writes_per_line)
        for start in range(0, len(data), write_bytes):
            if start:
                await asyncio.sleep(WRITE_INTERVAL_S)
            write_or_raise(writer, data[start : start + write_bytes])
        await writer.drain()

    def silence_watches(self) -> None:
        """Makes the open watches send nothing more while they stay open."""
        for watch in self._watches:
            if watch.silent_since is None:
                watch.silent_since = time.monotonic()

    def reset_watches(self) -> None:
        """Resets the connections of the open watches."""
        for watch in self._watches:
            watch.writer.transport.abort()

    async def retire(self) -> None:
        """Closes the discovery after the node has migrated away from it.

        New connections are refused at once; the open ones are closed after `RETIRED_WATCH_S`.
        """
        self._retired = True
        if self._listener is not None:
            self._listener.close()
        await asyncio.sleep(RETIRED_WATCH_S)
        self.close()

    async def go_down(self, seconds: float) -> None:
        """Stops learning of changes for a while.

        Meanwhile an agent sends nothing; a polled service resets its watches and answers calls with status 503.
        """
        self._down = True
        if self._polled:
            self.reset_watches()
        await asyncio.sleep(seconds)
        self._down = False
        earliest = time.monotonic() + LISTED_NOTIFIED_S
        self.pending = {number: max(due_at, earliest) for number, due_at in self.pending.items()}
        self.learn()

    def close(self) -> None:
        """Closes the listener and all connections at once."""
        if self._listener is not None:
            self._listener.close()
        for task in self._tasks:
            task.cancel()
        self.reset_watches()
