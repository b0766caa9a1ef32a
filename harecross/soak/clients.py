"""Clients of one node: they reuse connections, disconnect early, arrive in bursts and record request outcomes."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Coroutine
from random import Random
from typing import Any

from harecross.soak.plan import ClassPlan, Plan
from harecross.soak.records import ClientOutcome, ClientRecord, Idempotency, Records
from harecross.standins.http import header, read_body, read_message

# Time after the deadline of a request for which a client waits before the request counts as unanswered.
ANSWER_WAIT_S = 0.8
# Time for which a client reads an answer whose head has come, as its size is unknown.
LARGE_ANSWER_WAIT_S = 8.0
# Longest time after which a client that has left sends its request again.
MAX_REPEAT_DELAY_S = 2.0
# An upload that a client sends behind its request before it leaves, so that its close stands behind unread bytes.
UNREAD_UPLOAD = (
    b"POST /put/unread HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: unread\r\nX-Timeout: 500m\r\n"
    b"Idempotency-Key: unread\r\nContent-Length: 2000000\r\n\r\n"
) + bytes(2_000_000)
BURST_CONNECTIONS = 150
# Time for which connections of a burst stay open without a request.
BURST_IDLE_S = 2.0
MAX_RESENDS = 1
RECONNECT_INTERVAL_S = 0.008

Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class NodeClients:
    """All clients of one node.

    Attributes:
        process_name: Name of the current process of the node, for the records.
        address: Where the node listens.
    """

    def __init__(self, plan: Plan, name: str, records: Records) -> None:
        self.process_name = name
        self.address = ("127.0.0.1", 0)
        self._plan = plan
        self._name = name
        self._records = records
        self._rng = Random(f"{plan.seed}/{name}/clients")
        self._idle: list[Connection] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._count = 0

    async def run(self, end: float) -> None:
        """Sends requests until the monotonic time `end`, then waits for the requests in flight."""
        burst_at = self._plan.burst_at
        started_at = time.monotonic()
        while (now := time.monotonic()) < end:
            await asyncio.sleep(self._rng.expovariate(self._plan.requests_per_second))
            self._start_task(self._send(self._rng.choice(self._plan.classes)))
            if 0 <= burst_at < now - started_at:
                burst_at = -1.0
                self._start_burst()
        if self._tasks:
            await asyncio.wait(self._tasks)
        for _, writer in self._idle:
            writer.close()

    def _start_burst(self) -> None:
        for _ in range(BURST_CONNECTIONS):
            self._start_task(self._connect_without_request())
            self._start_task(self._send(self._plan.classes[0]))

    def reconnect_for(self, seconds: float) -> None:
        """Sends requests on new connections, like clients that reconnect as soon as their connection is closed."""
        self._start_task(self._reconnect(time.monotonic() + seconds))

    async def _reconnect(self, end: float) -> None:
        while time.monotonic() < end:
            self._start_task(self._send(self._rng.choice(self._plan.classes), new_connection=True))
            await asyncio.sleep(RECONNECT_INTERVAL_S)

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect_without_request(self) -> None:
        try:
            _, writer = await asyncio.open_connection(*self.address)
            await asyncio.sleep(BURST_IDLE_S)
            writer.close()
        except OSError:
            pass

    async def _send(self, request_class: ClassPlan, *, new_connection: bool = False) -> None:
        """Sends one request, on an idle connection if the plan allows it and one exists, and records its outcome."""
        record = self._new_record(request_class)
        disconnect_after = None
        if self._rng.random() < self._plan.disconnect_probability:
            disconnect_after = self._rng.uniform(0, record.timeout)
        connection = None
        if not new_connection and self._rng.random() >= self._plan.new_connection_probability:
            connection = self._idle_connection()
        record.new_connection = connection is None
        for _ in range(1 + MAX_RESENDS):
            connection = connection or await self._connect(record)
            if connection is None:
                return
            record.node, record.sent_at = self.process_name, time.monotonic()
            self._records.clients[record.id] = record
            connection[1].write(request_bytes(record, request_class))
            sends_more = disconnect_after is not None and self._rng.random() < self._plan.unread_probability
            if sends_more:
                connection[1].write(UNREAD_UPLOAD)
            await self._receive(record, connection, disconnect_after, keep=not sends_more)
            if record.outcome is ClientOutcome.DISCONNECTED:
                self._repeat_later(record, request_class)
            if record.outcome is not ClientOutcome.CLOSED or record.new_connection:
                return
            # The node may have closed an idle connection at the moment the request was sent: send it again.
            connection, record.new_connection, record.resent = None, True, True

    def _repeat_later(self, record: ClientRecord, request_class: ClassPlan) -> None:
        """Sends a request again with the same ID, which a server may run only if it never ran before."""
        idempotent = request_class.idempotency is Idempotency.IDEMPOTENT
        if not idempotent and self._rng.random() < self._plan.repeat_probability:
            self._start_task(self._repeat(record, request_class, self._rng.uniform(0, MAX_REPEAT_DELAY_S)))

    async def _repeat(self, record: ClientRecord, request_class: ClassPlan, delay: float) -> None:
        await asyncio.sleep(delay)
        if self.process_name != record.node:
            return  # a process that starts again after a kill knows nothing of the one before
        try:
            reader, writer = await asyncio.open_connection(*self.address)
            record.repeated_at = time.monotonic()
            writer.write(request_bytes(record, request_class))
            async with asyncio.timeout(record.timeout + ANSWER_WAIT_S):
                await read_message(reader)
            writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass

    def _new_record(self, request_class: ClassPlan) -> ClientRecord:
        self._count += 1
        timeout = round(request_class.max_deadline * self._rng.uniform(0.3, 1.0), 3)
        request_id = f"{self._name}-{self._count}"
        return ClientRecord(request_id, self.process_name, request_class.idempotency, 0.0, timeout, True)

    async def _connect(self, record: ClientRecord) -> Connection | None:
        try:
            return await asyncio.open_connection(*self.address)
        except OSError:
            record.outcome, record.ended_at = ClientOutcome.NOT_ACCEPTED, time.monotonic()
            return None

    def _idle_connection(self) -> Connection | None:
        while self._idle:
            connection = self._idle.pop()
            if not connection[0].at_eof() and not connection[1].is_closing():
                return connection
            connection[1].close()
        return None

    async def _receive(
        self, record: ClientRecord, connection: Connection, disconnect_after: float | None, *, keep: bool
    ) -> None:
        """Waits for the response, or disconnects before it if the client is to disconnect.

        `keep`: the connection may be used again, as nothing else was sent on it.
        """
        reader, writer = connection
        wait_s = disconnect_after if disconnect_after is not None else record.timeout + ANSWER_WAIT_S
        try:
            async with asyncio.timeout(wait_s):
                head = await reader.readuntil(b"\r\n\r\n")
                record.first_byte_at = time.monotonic()
                if not header(head, b"Transfer-Encoding"):
                    record.size = len(await read_body(reader, head))
            if header(head, b"Transfer-Encoding"):
                async with asyncio.timeout(LARGE_ANSWER_WAIT_S):
                    record.size = len(await read_body(reader, head))
            record.outcome, record.status = ClientOutcome.ANSWERED, int(head.split(b" ")[1])
            record.ended_at = time.monotonic()
            if not keep:
                writer.transport.abort()
            elif b"connection: close" in head.lower():
                writer.close()
            else:
                self._idle.append(connection)
        except TimeoutError:
            disconnected = disconnect_after is not None
            record.outcome = ClientOutcome.DISCONNECTED if disconnected else ClientOutcome.UNANSWERED
            record.ended_at = time.monotonic()
            # What the kernel has is still sent, and the close follows behind it.
            writer.transport.abort()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            record.outcome, record.ended_at = ClientOutcome.CLOSED, time.monotonic()
            writer.close()


def request_bytes(record: ClientRecord, request_class: ClassPlan) -> bytes:
    """Encodes a request."""
    idempotent = request_class.idempotency is Idempotency.IDEMPOTENT
    has_key = request_class.idempotency is Idempotency.IDEMPOTENCY_KEY
    method, length, body = ("GET", "", "") if idempotent else ("POST", "Content-Length: 4\r\n", "body")
    key = f"Idempotency-Key: {record.id}\r\n" if has_key else ""
    return (
        f"{method} /{request_class.name}/{record.id} HTTP/1.1\r\nHost: backend.local\r\n"
        f"X-Request-ID: {record.id}\r\nX-Timeout: {round(record.timeout * 1000)}m\r\n{key}{length}\r\n{body}"
    ).encode()
