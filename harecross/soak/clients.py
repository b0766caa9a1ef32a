"""Clients of one node: they keep connections, leave early, come as a crowd, and record how each request ended."""

from __future__ import annotations

import asyncio
import time
from random import Random

from harecross.soak.plan import ClassPlan, Plan
from harecross.soak.records import ClientRecord, Effect, End, Records
from harecross.standins.http import read_message

PATIENCE = 0.8  # seconds after its time for which a client waits, to see that nothing comes
CROWD = 150  # connections of a crowd
CROWD_STAYS = 2.0  # seconds
RESENDS = 1
ANEW_EVERY = 0.008  # seconds

Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class NodeClients:
    """All that sends to one node."""

    def __init__(self, plan: Plan, name: str, records: Records) -> None:
        self.plan = plan
        self.name = name
        self.records = records
        self.rng = Random(f"{plan.seed}/{name}/clients")
        self.life = name  # the node's process of the moment, in the records
        self.address = ("127.0.0.1", 0)
        self.idle: list[Connection] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.count = 0

    async def run(self, end: float) -> None:
        """Sends until that monotonic time, and waits for what is out."""
        crowd = self.plan.crowd_at
        began = time.monotonic()
        while (now := time.monotonic()) < end:
            await asyncio.sleep(self.rng.expovariate(self.plan.rate))
            self.start(self.request(self.rng.choice(self.plan.classes)))
            if 0 <= crowd < now - began:
                crowd = -1.0
                for _ in range(CROWD):
                    self.start(self.idler())
                    self.start(self.request(self.plan.classes[0]))
        if self.tasks:
            await asyncio.wait(self.tasks)
        for _, writer in self.idle:
            writer.close()

    async def come_anew(self, seconds: float) -> None:
        """Requests on new connections, as of clients that are sent away and come back at once."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.start(self.request(self.rng.choice(self.plan.classes), anew=True))
            await asyncio.sleep(ANEW_EVERY)

    def start(self, work) -> None:  # type: ignore[no-untyped-def]
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def idler(self) -> None:
        """Holds a connection and says nothing."""
        try:
            _, writer = await asyncio.open_connection(*self.address)
            await asyncio.sleep(CROWD_STAYS)
            writer.close()
        except OSError:
            pass

    def message(self, record: ClientRecord, told: ClassPlan) -> bytes:
        method = "GET" if told.effect is Effect.SAFE else "POST"
        key = f"Idempotency-Key: {record.id}\r\n" if told.effect is Effect.KEYED else ""
        length = "" if method == "GET" else "Content-Length: 4\r\n"
        body = "" if method == "GET" else "body"
        return (
            f"{method} /{told.name}/{record.id} HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: {record.id}\r\n"
            f"X-Timeout: {round(record.timeout * 1000)}m\r\n{key}{length}\r\n{body}"
        ).encode()

    async def request(self, told: ClassPlan, anew: bool = False) -> None:
        """One request, on a kept connection if there is one, or `anew`."""
        self.count += 1
        timeout = round(told.deadline * self.rng.uniform(0.3, 1.0), 3)
        leaves = self.rng.uniform(0, timeout) if self.rng.random() < self.plan.leaves else None
        record = ClientRecord(f"{self.name}-{self.count}", self.life, told.effect, 0.0, timeout, True)
        connection = None if anew or self.rng.random() < self.plan.anew else self.kept()
        record.fresh = connection is None
        for _ in range(1 + RESENDS):
            if connection is None:
                try:
                    connection = await asyncio.open_connection(*self.address)
                except OSError:
                    record.end, record.ended = End.NOT_TAKEN, time.monotonic()
                    return
            record.node, record.sent = self.life, time.monotonic()
            self.records.clients[record.id] = record
            connection[1].write(self.message(record, told))
            await self.follow(record, connection, leaves)
            if record.end is not End.CLOSED or record.fresh:
                return
            # A kept connection that ended before anything came: the request may have crossed its end.
            connection, record.fresh, record.resent = None, True, True

    def kept(self) -> Connection | None:
        while self.idle:
            connection = self.idle.pop()
            if not connection[0].at_eof() and not connection[1].is_closing():
                return connection
            connection[1].close()
        return None

    async def follow(self, record: ClientRecord, connection: Connection, leaves: float | None) -> None:
        """Waits for the answer, or leaves before it."""
        reader, writer = connection
        wait = leaves if leaves is not None else record.timeout + PATIENCE
        try:
            async with asyncio.timeout(wait):
                head, _ = await read_message(reader)
            record.end, record.status = End.ANSWERED, int(head.split(b" ")[1])
            record.ended = time.monotonic()
            if b"connection: close" in head.lower():
                writer.close()
            else:
                self.idle.append(connection)
        except TimeoutError:
            record.end = End.LEFT if leaves is not None else End.UNANSWERED
            record.ended = time.monotonic()
            writer.close()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            record.end, record.ended = End.CLOSED, time.monotonic()
            writer.close()
