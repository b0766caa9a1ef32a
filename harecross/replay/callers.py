"""Open-loop clients: each request goes out when it is due, whatever became of those before it."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from typing import cast

from hdrh.histogram import HdrHistogram

from harecross.replay.account import Account, End, Klass, retry_after
from harecross.standins.http import header
from harecross.standins.servers import clock

MOST_US = 3_600_000_000


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request of the plan: when it is due (microseconds since the start), its class and its work."""

    due: int
    klass: int
    work: int
    tier: int = 0


@dataclass(frozen=True, slots=True)
class Habits:
    """What clients do when they are turned away or fail."""

    retries: int = 1
    backoff: int = 100_000


class Try(asyncio.Protocol):
    """A connection to a node, and the one try that is out on it."""

    __slots__ = ("pool", "transport", "buffer", "done")

    def __init__(self, pool: Pool) -> None:
        self.pool = pool
        self.transport: asyncio.Transport | None = None
        self.buffer = b""
        self.done: Callable[[int, bytes], None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.pool.lost(self)
        self.finish(0, b"")

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        end = self.buffer.find(b"\r\n\r\n")
        if end < 0:
            return
        head = self.buffer[: end + 2]
        size = int(header(head, b"content-length") or b"0")
        if len(self.buffer) < end + 4 + size:
            return
        self.buffer = b""
        if header(head, b"connection").lower() == b"close":
            self.close()
        else:
            self.pool.idle.append(self)
        self.finish(int(head.split(b" ", 2)[1]), head)

    def finish(self, status: int, head: bytes) -> None:
        done, self.done = self.done, None
        if done is not None:
            done(status, head)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()


class Pool:
    """Connections to one node: the idle one used last goes first, more are opened when all are busy."""

    def __init__(self, name: str, address: Callable[[], tuple[str, int]]) -> None:
        self.name = name
        self.address = address
        self.idle: deque[Try] = deque()
        self.all: set[Try] = set()
        self.down_until = 0  # the front has noticed that the node is dead

    def lost(self, conn: Try) -> None:
        self.all.discard(conn)
        if conn in self.idle:
            self.idle.remove(conn)

    def waiting(self) -> Try | None:
        """An idle connection that is still up."""
        while self.idle:
            conn = self.idle.pop()
            if conn.transport is not None and not conn.transport.is_closing():
                return conn
        return None

    async def open(self) -> Try | None:
        """A new connection; None if the node cannot be reached, which the front then knows for a while."""
        try:
            _, conn = await asyncio.get_running_loop().create_connection(lambda: Try(self), *self.address())
        except OSError:
            self.down_until = clock() + 500_000
            return None
        self.all.add(conn)
        return conn

    def close(self) -> None:
        for conn in list(self.all):
            conn.close()


class Ask:
    """A first try and all that follows from it."""

    __slots__ = ("number", "arrival", "tries", "conn", "timer")

    def __init__(self, number: int, arrival: Arrival) -> None:
        self.number = number
        self.arrival = arrival
        self.tries = 0
        self.conn: Try | None = None
        self.timer: asyncio.TimerHandle | None = None


class OpenLoop:
    """Sends a plan to the nodes of `pools`, one list a tier, and keeps the account."""

    def __init__(self, classes: list[Klass], pools: list[list[Pool]], habits: Habits, window: int) -> None:
        self.classes = classes
        self.pools = pools
        self.habits = habits
        self.loop = asyncio.get_running_loop()
        self.account = Account(classes, window)
        self.window = window
        self.lateness = HdrHistogram(1, MOST_US, 3)
        self.latency = HdrHistogram(1, MOST_US, 3)
        self.class_latency = [HdrHistogram(1, MOST_US, 3) for _ in classes]
        self.window_latency: list[HdrHistogram] = []
        self.start = 0
        self.count = 0
        self.idle = asyncio.Event()
        self.idle.set()
        self.turn = [0] * len(pools)
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self, plan: AsyncIterator[Arrival]) -> None:
        """Sends all of the plan at its times and waits for the last end; at most the longest deadline."""
        self.start = clock()
        async for arrival in plan:
            wait = self.start + arrival.due - clock()
            while wait > 0:
                await asyncio.sleep(wait / 1e6)
                wait = self.start + arrival.due - clock()
            self.begin(arrival)
        await self.idle.wait()

    def now(self) -> int:
        return clock() - self.start

    def begin(self, arrival: Arrival) -> None:
        ask = Ask(self.count, arrival)
        self.count += 1
        self.idle.clear()
        self.account.ask(ask.number, arrival.klass, arrival.due)
        self.lateness.record_value(max(1, self.now() - arrival.due))
        # The client's patience runs from when the request was due, over all its tries.
        left = arrival.due + self.classes[arrival.klass].deadline - self.now()
        ask.timer = self.loop.call_later(max(0, left) / 1e6, self.give_up, ask)
        self.go(ask)

    def pick(self, tier: int) -> Pool:
        """The front's part: the tier's next node in turn that is not known to be dead."""
        now = clock()
        pools = self.pools[tier]
        for _ in pools:
            self.turn[tier] = (self.turn[tier] + 1) % len(pools)
            if pools[self.turn[tier]].down_until <= now:
                break
        return pools[self.turn[tier]]

    def go(self, ask: Ask) -> None:
        if ask.number not in self.account.open:
            return
        pool = self.pick(ask.arrival.tier)
        # The usual way takes no task: an idle connection is at hand.
        conn = pool.waiting()
        if conn is not None:
            self.send(ask, conn)
            return
        task = asyncio.create_task(self.connect(ask, pool))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def connect(self, ask: Ask, pool: Pool) -> None:
        conn = await pool.open()
        if ask.number not in self.account.open:
            if conn is not None:
                pool.idle.append(conn)
        elif conn is not None:
            self.send(ask, conn)
        else:
            self.account.sent(ask.number)
            ask.tries += 1
            self.ended(ask, 0, b"")

    def send(self, ask: Ask, conn: Try) -> None:
        a = ask.arrival
        c = self.classes[a.klass]
        left = a.due + c.deadline - self.now()
        ask.tries += 1
        self.account.sent(ask.number)
        ask.conn = conn
        conn.done = lambda status, head: self.ended(ask, status, head)
        extra = f"Idempotency-Key: k{ask.number}\r\n" if c.effect == "keyed" else ""
        body = "Content-Length: 0\r\n" if c.effect != "safe" else ""
        assert conn.transport is not None
        conn.transport.write(
            f"{'GET' if c.effect == 'safe' else 'POST'} /{c.name}/{ask.number} HTTP/1.1\r\nHost: backend.local\r\n"
            f"X-Request-ID: q{ask.number}-{ask.tries}\r\nX-Timeout: {max(1, left)}u\r\nX-Cost: {a.work}\r\n"
            f"{extra}{body}\r\n".encode()
        )

    def ended(self, ask: Ask, status: int, head: bytes) -> None:
        """One try has ended: the first try's end, or the client's retry."""
        ask.conn = None
        if ask.number not in self.account.open:
            return
        c = self.classes[ask.arrival.klass]
        if status == 200:
            self.close(ask, End.IN_TIME)
            return
        how = End.REFUSED if status in (429, 503) else End.FAILED
        told = header(head, b"retry-after")
        wait = retry_after(
            how, c.effect, ask.tries, self.habits.retries, int(float(told) * 1e6) if told else None,
            self.habits.backoff,
        )  # fmt: skip
        if wait is None or self.now() + wait >= ask.arrival.due + c.deadline:
            self.close(ask, how)
        else:
            self.loop.call_later(wait / 1e6, self.go, ask)

    def give_up(self, ask: Ask) -> None:
        if ask.number not in self.account.open:
            return
        conn = ask.conn
        self.close(ask, End.FAILED)
        if conn is not None:
            conn.done = None
            conn.close()

    def close(self, ask: Ask, how: End) -> None:
        a = ask.arrival
        now = self.now()
        how = self.account.end(ask.number, now, how)
        if ask.timer is not None:
            ask.timer.cancel()
        if how in (End.IN_TIME, End.LATE):
            took = max(1, now - a.due)
            at = a.due // self.window
            while len(self.window_latency) <= at:
                self.window_latency.append(HdrHistogram(1, MOST_US, 2))
            for h in (self.latency, self.class_latency[a.klass], self.window_latency[at]):
                h.record_value(took)
        if not self.account.open:
            self.idle.set()
