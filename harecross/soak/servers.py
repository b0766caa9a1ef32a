"""Stand-in servers that fail as their plan says, and record every attempt."""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Sequence
from random import Random
from typing import cast

from harecross.soak.plan import LinkFault, ServerPlan
from harecross.soak.proxy import FaultProxy, Relay
from harecross.soak.records import Ran, Records, ServerRecord
from harecross.standins.http import answer, header

SLOW_TIMES = 10.0  # of the mean time of work
UNITS = {b"m": 1e-3, b"u": 1e-6}


def own_host() -> str:
    """A loopback address of this process alone: a port of its own stays its own while nothing listens there."""
    return f"127.77.{os.getpid() >> 8 & 0xFF}.{os.getpid() & 0xFF or 1}"


def seconds_of(text: bytes) -> float:
    """An X-Timeout in seconds; 0 for what is none."""
    unit = UNITS.get(text[-1:])
    return float(text[:-1]) * unit if unit is not None and text[:-1].isdigit() else 0.0


class SoakServer:
    """One server: its process of the moment and its listener, at one address all along."""

    def __init__(
        self, plan: ServerPlan, seed: int, records: Records, faults: Sequence[LinkFault] = ()
    ) -> None:
        """`faults` are those of its link; without any there is no proxy before it."""
        self.plan = plan
        self.rng = Random(f"{seed}/{plan.name}")
        self.records = records
        self.lifecycle = "in_service"
        self.started = 0  # Unix milliseconds, 0 for long ago
        self.links: set[Link] = set()
        self.listener: asyncio.Server | None = None
        self.port = 0
        self.proxy: FaultProxy | None = None
        if faults:
            self.proxy = FaultProxy(own_host(), faults, Random(f"{seed}/{plan.name}/link"))

    @property
    def address(self) -> str:
        """Where nodes connect."""
        return f"{own_host()}:{self.proxy.port if self.proxy is not None else self.port}"

    def begin(self, at: float) -> None:
        """The run began at that monotonic time."""
        if self.proxy is not None:
            self.proxy.began = at

    async def open(self) -> None:
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            lambda: Link(self), own_host(), self.port, reuse_address=True
        )
        self.port = self.listener.sockets[0].getsockname()[1]
        if self.proxy is not None:
            await self.proxy.open(self.port)

    def close(self) -> None:
        """The process dies: its connections are reset, new ones refused."""
        if self.proxy is not None:
            self.proxy.close()
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        for link in list(self.links):
            link.abort()

    async def change(self, lifecycle: str) -> str:
        """Carries out a change of the truth; the lifecycle that discovery has for it."""
        if lifecycle == "restarted":
            self.close()
            self.started = time.time_ns() // 1_000_000
        if lifecycle == "terminated":
            self.close()
        elif self.listener is None:
            await self.open()
        self.lifecycle = "in_service" if lifecycle == "restarted" else lifecycle
        return self.lifecycle


class Link(asyncio.Protocol):
    """One connection from a node. It carries one request at a time."""

    def __init__(self, server: SoakServer) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.buffer = b""
        self.first_byte = 0.0
        self.record: ServerRecord | None = None
        self.work: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.server.links.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.links.discard(self)
        self.transport = None
        if self.work is not None:
            self.work.cancel()
        self.ended(Ran.OUT)

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        if not self.buffer:
            self.first_byte = self.when_sent()
        self.buffer += data
        head, found, body = self.buffer.partition(b"\r\n\r\n")
        if not found or len(body) < int(header(head, b"Content-Length") or 0):
            return
        self.buffer = b""
        self.take(head)

    def relay(self) -> Relay | None:
        """The proxy's end of this connection."""
        if self.server.proxy is None or self.transport is None:
            return None
        return self.server.proxy.relays.get(self.transport.get_extra_info("peername")[1])

    def when_sent(self) -> float:
        """When the first byte came that comes now, at the proxy if there is one: from then on its sender is judged."""
        relay = self.relay()
        came = relay.request_came if relay is not None else None
        return time.monotonic() if came is None else came

    def take(self, head: bytes) -> None:
        """A whole request has come."""
        relay = self.relay()
        if relay is not None:
            relay.request_came = None
        plan, rng = self.server.plan, self.server.rng
        self.record = ServerRecord(
            header(head, b"X-Request-ID").decode("latin-1"),
            plan.name,
            self.first_byte,
            time.monotonic(),
            seconds_of(header(head, b"X-Timeout")),
        )
        self.server.records.servers.append(self.record)
        if self.server.lifecycle != "in_service":
            self.reply(Ran.TURNED_AWAY, answer(503, b"", b"X-Not-Processed: 1\r\n"))
            return
        drawn = rng.random()
        span = plan.mean_time * rng.expovariate(1.0) * (SLOW_TIMES if rng.random() < plan.slow else 1.0)
        for probability, act in (
            (plan.reset, self.reset),
            (plan.half_close, self.half_close),
            (plan.silent, self.stay_silent),
            (plan.error, self.fail),
        ):
            drawn -= probability
            if drawn < 0:
                self.later(span, act)
                return
        self.later(span, self.succeed)

    def later(self, span: float, act: object) -> None:
        self.work = asyncio.get_running_loop().call_later(span, act)  # type: ignore[arg-type]

    def ended(self, ran: Ran) -> None:
        if self.record is not None:
            self.record.ran, self.record.ended = ran, time.monotonic()
            self.record = None

    def reply(self, ran: Ran, text: bytes) -> None:
        self.ended(ran)
        if self.transport is not None:
            self.transport.write(text)

    def succeed(self) -> None:
        closes = self.server.rng.random() < self.server.plan.closes
        self.reply(Ran.OK, answer(200, b"ok", b"Connection: close\r\n" if closes else b""))
        if closes and self.transport is not None:
            self.transport.close()

    def fail(self) -> None:
        self.reply(Ran.ERROR, answer(500, b"no"))

    def reset(self) -> None:
        self.ended(Ran.RESET)
        self.abort()

    def half_close(self) -> None:
        self.ended(Ran.RESET)
        if self.transport is not None:
            self.transport.write_eof()

    def stay_silent(self) -> None:
        self.ended(Ran.SILENT)
