"""Stand-in servers that fail according to their plan and record every attempt."""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Callable, Sequence
from random import Random
from typing import cast

from harecross.soak.plan import LinkFault, ServerPlan
from harecross.soak.proxy import FaultProxy, Relay
from harecross.soak.records import AttemptOutcome, AttemptRecord, Lifecycle, Records
from harecross.standins.http import answer, header

# Factor by which a slow request takes longer.
SLOW_FACTOR = 10.0
# The answer to abusive clients that read slowly, and one whose rest is late.
LARGE_ANSWER_PATH = b"/read/large"
LARGE_ANSWER = bytes(400_000)
LATE_ANSWER = bytes(120_000)
TIMEOUT_UNITS_S = {b"m": 1e-3, b"u": 1e-6}


def process_loopback_host() -> str:
    """Returns a loopback address that only this process uses.

    No other process can take a port of it while nothing listens there, for instance during a restart.
    """
    return f"127.77.{os.getpid() >> 8 & 0xFF}.{os.getpid() & 0xFF or 1}"


def timeout_seconds(value: bytes) -> float:
    """Returns the value of an X-Timeout header in seconds; 0 if it is malformed."""
    unit_s = TIMEOUT_UNITS_S.get(value[-1:])
    return float(value[:-1]) * unit_s if unit_s is not None and value[:-1].isdigit() else 0.0


class SoakServer:
    """One server: its current process and its listener, at the same address for the whole run.

    Attributes:
        started_ms: Start of the process in Unix time; 0 if it started long before the run.
    """

    def __init__(
        self,
        plan: ServerPlan,
        seed: int,
        records: Records,
        faults: Sequence[LinkFault] = (),
        late_answer_probability: float = 0.0,
    ) -> None:
        """Creates a server with the given faults of its link; without any, there is no proxy in front of it.

        `late_answer_probability` applies to servers without a proxy.
        """
        self.late_answer_probability = 0.0 if faults else late_answer_probability
        self.late_rng = Random(f"{seed}/{plan.name}/late")
        self.plan = plan
        self.rng = Random(f"{seed}/{plan.name}")
        self.records = records
        self.lifecycle: str = Lifecycle.IN_SERVICE
        self.started_ms = 0
        self.connections: set[ServerConnection] = set()
        self.proxy: FaultProxy | None = None
        self._listener: asyncio.Server | None = None
        self._port = 0
        if faults:
            self.proxy = FaultProxy(process_loopback_host(), faults, Random(f"{seed}/{plan.name}/link"))

    @property
    def address(self) -> str:
        """The address that nodes connect to."""
        return f"{process_loopback_host()}:{self.proxy.port if self.proxy is not None else self._port}"

    def set_run_start(self, at: float) -> None:
        """Sets the monotonic time of the start of the run."""
        if self.proxy is not None:
            self.proxy.set_run_start(at)

    async def open(self) -> None:
        """Starts to listen."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: ServerConnection(self), process_loopback_host(), self._port, reuse_address=True
        )
        self._port = self._listener.sockets[0].getsockname()[1]
        if self.proxy is not None:
            await self.proxy.open(self._port)

    def close(self) -> None:
        """Ends the process: resets its connections and refuses new ones."""
        if self.proxy is not None:
            self.proxy.close()
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for connection in list(self.connections):
            connection.abort()

    async def change(self, lifecycle: Lifecycle) -> str:
        """Applies a change and returns the resulting state as discovery names it."""
        if lifecycle == Lifecycle.RESTARTED:
            self.close()
            self.started_ms = time.time_ns() // 1_000_000
        if lifecycle == Lifecycle.GONE:
            self.close()
        elif self._listener is None:
            await self.open()
        self.lifecycle = Lifecycle.IN_SERVICE if lifecycle == Lifecycle.RESTARTED else lifecycle
        return self.lifecycle


class ServerConnection(asyncio.Protocol):
    """One connection from a node, which carries one request at a time."""

    def __init__(self, server: SoakServer) -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._buffer = b""
        self._first_byte_at = 0.0
        self._record: AttemptRecord | None = None
        self._work_timer: asyncio.TimerHandle | None = None
        self._asks_large_answer = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the open connection."""
        self._transport = cast(asyncio.Transport, transport)
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the work when the connection has ended."""
        self._server.connections.discard(self)
        self._transport = None
        if self._work_timer is not None:
            self._work_timer.cancel()
        self._finish(AttemptOutcome.UNFINISHED)

    def abort(self) -> None:
        """Resets the connection, because the server's process ends."""
        self._finish(AttemptOutcome.RESET)
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Buffers received bytes, and handles a request once it is complete."""
        if not self._buffer:
            self._first_byte_at = self._sent_at()
        self._buffer += data
        head, separator, body = self._buffer.partition(b"\r\n\r\n")
        if not separator or len(body) < int(header(head, b"Content-Length") or 0):
            return
        self._buffer = b""
        self._receive(head)

    def _relay(self) -> Relay | None:
        """Returns the proxy's relay of this connection, or None without a proxy."""
        if self._server.proxy is None or self._transport is None:
            return None
        return self._server.proxy.relays.get(self._transport.get_extra_info("peername")[1])

    def _sent_at(self) -> float:
        """Returns when the node sent the byte that has just arrived.

        With a proxy, it is the time when the byte reached the proxy, since the link may hold it.
        """
        relay = self._relay()
        request_started_at = relay.request_started_at if relay is not None else None
        return time.monotonic() if request_started_at is None else request_started_at

    def _receive(self, head: bytes) -> None:
        """Records a complete request, and rejects it or starts its work."""
        relay = self._relay()
        if relay is not None:
            relay.request_started_at = None
        self._asks_large_answer = LARGE_ANSWER_PATH in head.split(b"\r\n", 1)[0]
        self._record = AttemptRecord(
            header(head, b"X-Request-ID").decode("latin-1"),
            self._server.plan.name,
            self._first_byte_at,
            time.monotonic(),
            timeout_seconds(header(head, b"X-Timeout")),
        )
        self._server.records.attempts.append(self._record)
        if self._server.lifecycle == Lifecycle.IN_SERVICE:
            self._start_work()
        else:
            self._answer(AttemptOutcome.REJECTED, answer(503, b"", b"X-Not-Processed: 1\r\n"))

    def _start_work(self) -> None:
        plan, rng = self._server.plan, self._server.rng
        draw = rng.random()
        work_s = plan.mean_work * rng.expovariate(1.0)
        if rng.random() < plan.slow_probability:
            work_s *= SLOW_FACTOR
        self._work_timer = asyncio.get_running_loop().call_later(work_s, self._action_after_work(draw))

    def _action_after_work(self, draw: float) -> Callable[[], None]:
        """Returns the action of the server after the work, selected by a draw between 0 and 1."""
        plan = self._server.plan
        for probability, action in (
            (plan.reset_probability, self._reset),
            (plan.half_close_probability, self._half_close),
            (plan.silent_probability, self._stay_silent),
            (plan.error_probability, self._fail),
        ):
            draw -= probability
            if draw < 0:
                return action
        return self._succeed

    def _finish(self, outcome: AttemptOutcome) -> None:
        if self._record is not None:
            self._record.outcome, self._record.ended_at = outcome, time.monotonic()
            self._record = None

    def _answer(self, outcome: AttemptOutcome, data: bytes) -> None:
        self._finish(outcome)
        if self._transport is not None:
            self._transport.write(data)

    def _succeed(self) -> None:
        server = self._server
        if self._asks_large_answer:
            self._answer(AttemptOutcome.OK, answer(200, LARGE_ANSWER))
            return
        if server.late_rng.random() < server.late_answer_probability:
            self._answer_late()
            return
        close = self._server.rng.random() < self._server.plan.close_probability
        self._answer(AttemptOutcome.OK, answer(200, b"ok", b"Connection: close\r\n" if close else b""))
        if close and self._transport is not None:
            self._transport.close()

    def _answer_late(self) -> None:
        """Writes the first bytes of a large answer of unknown length, and the rest after a pause."""
        rng = self._server.late_rng
        first_bytes = rng.choice([75, 5_000, 15_000])
        chunk = b"%x\r\n%s\r\n" % (len(LATE_ANSWER), LATE_ANSWER)
        text = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk + b"0\r\n\r\n"
        if self._transport is not None and self._record is not None:
            self._record.began_at = time.monotonic()
            self._transport.write(text[:first_bytes])
            pause_s = rng.uniform(0.3, 1.6)
            rest = text[first_bytes:]
            self._work_timer = asyncio.get_running_loop().call_later(
                pause_s, self._answer, AttemptOutcome.OK, rest
            )

    def _fail(self) -> None:
        self._answer(AttemptOutcome.ERROR, answer(500, b"no"))

    def _reset(self) -> None:
        self._finish(AttemptOutcome.RESET)
        self.abort()

    def _half_close(self) -> None:
        self._finish(AttemptOutcome.RESET)
        if self._transport is not None:
            self._transport.write_eof()

    def _stay_silent(self) -> None:
        self._finish(AttemptOutcome.SILENT)
