"""Connections to servers: the pool of them, connects, probes, and the end of what takes too long.

A connection carries one exchange at a time. Nothing here ever sends an exchange twice.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import cast

from harecross.dispatch.close_reasons import ClosedConnection, CloseReason
from harecross.http.body_buffer import MAX_STREAM_BUFFER_BYTES, stream_buffer_bytes
from harecross.http.request_parser import UPSTREAM_HOST
from harecross.http.response_parser import report_positions
from harecross.interface import Outcome
from harecross.platform.clock import monotonic_us
from harecross.platform.descriptor_budget import DescriptorBudget
from harecross.platform.peer_state import is_quiet
from harecross.platform.system_errors import is_local_shortage
from harecross.upstream.connection import ServerConnection
from harecross.upstream.exchange import NO_DEADLINE_US, Exchange, HealthCheck, ServerProcess

IDLE_MARGIN_US = 1_500_000  # an idle connection is dropped so long before the server would close it
DEFAULT_STREAMING_BUDGET_BYTES = (
    1 << 25
)  # bytes of large answers that may stand here, where nothing else is told
STREAM_START_DIVISOR = 4  # one in so many descriptors may be a large answer that begins
STALL_TIMEOUT_US = (
    6_000_000  # a large body that its server neither takes nor gives on for so long is given up
)


class ConnectionPool:
    """Every connection of this node to servers."""

    def __init__(
        self,
        connect_timeout: int,
        idle_time: int,
        columns: Sequence[str],
        descriptor_budget: DescriptorBudget,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.connect_timeout = connect_timeout / 1e6
        self.idle_time = max(idle_time - IDLE_MARGIN_US, idle_time // 2)
        self.report_positions = report_positions(columns)
        self.report_size = len(columns)
        self.descriptors = descriptor_budget
        self.on_connection_closed: Callable[[ClosedConnection], None] = lambda closing: None
        # Asks callers for a place: True if one of theirs has been put out.
        self.on_descriptor_shortage: Callable[[], bool] = lambda: False
        self.load_reports = 0  # load reports read
        self.malformed_responses = 0  # answers that could not be read
        self.processes: dict[int, ServerProcess] = {}
        self.connect_tasks: set[asyncio.Task[None]] = set()
        self.streaming: set[ServerConnection] = set()  # those that carry a large body
        self.streaming_budget_bytes = 0  # bytes of large answers that may stand here, all together
        self.stream_buffer_bytes = MAX_STREAM_BUFFER_BYTES  # the kernel's for each of them, as last set
        self.first_buffer_bytes = MAX_STREAM_BUFFER_BYTES  # and for any answer, until it is known to be large
        self.set_streaming_budget(DEFAULT_STREAMING_BUDGET_BYTES)

    @property
    def open_connections(self) -> int:
        """Connections to servers, and attempts at one."""
        return self.descriptors.upstream_connections

    def update(self, server: int, address: str, started: int) -> None:
        """A server in service. Old connections never lead to a new process or address."""
        host, _, port = address.rpartition(":")
        old = self.processes.get(server)
        if old is not None:
            if (old.host, old.port, old.started_at) == (host, int(port), started):
                old.in_service = True
                return
            self.take_out_of_service(server)
        self.processes[server] = ServerProcess(server, host, int(port), started)

    def take_out_of_service(self, server: int) -> None:
        """Nothing new goes to the server from now on; what is out on its connections is waited for."""
        target = self.processes.get(server)
        if target is not None:
            target.in_service = False
            self.close_idle_of(target, CloseReason.SERVER_OUT_OF_SERVICE)

    def remove_if_unused(self, server: int) -> bool:
        """Lets go of a server that is not in service, once nothing is out on it."""
        target = self.processes.get(server)
        if target is None:
            return True
        if target.in_service or target.connection_count:
            return False
        del self.processes[server]
        return True

    def close_idle_of(self, target: ServerProcess, reason: CloseReason) -> None:
        for conn in list(target.idle):
            conn.discard(reason)
        target.idle.clear()

    def close_idle_connections(self, server: int) -> None:
        target = self.processes.get(server)
        if target is not None:
            self.close_idle_of(target, CloseReason.EJECTED)

    def send(self, exchange: Exchange) -> None:
        """Sends on the connection used last, or on a new one. The outcome never comes within this call."""
        now = monotonic_us()
        exchange.started_us = now
        target = exchange.process = self.processes.get(exchange.server)
        if target is None or not target.in_service or min(exchange.deadline_us, exchange.start_by_us) <= now:
            self.loop.call_soon(self.finish, exchange, Outcome.NOT_SENT)
            return
        if exchange.deadline_us < NO_DEADLINE_US:
            self.start_deadline_timer(exchange)
        fits = self.descriptors.upstream_connection_fits()
        # Where no other one fits, the one that has not rested is better than the work of another handshake.
        conn = self.acquire_idle(target, now) or (
            None if fits else self.acquire_idle(target, now, rested=False)
        )
        if conn is not None:
            conn.start(exchange, now)
            return
        if not (fits or self.close_one_idle() or self.on_descriptor_shortage()):
            # Guards against: at the descriptor limit the node could not even accept and refuse.
            self.loop.call_soon(self.finish, exchange, Outcome.NOT_SENT)
            return
        self.descriptors.upstream_connections += 1
        target.connection_count += 1
        task = self.loop.create_task(self.connect(exchange, target))
        self.connect_tasks.add(task)
        task.add_done_callback(self.connect_tasks.discard)

    def acquire_idle(self, target: ServerProcess, now: int, rested: bool = True) -> ServerConnection | None:
        """The idle connection used last that has rested and on which nothing has come; None if there is none.

        Guards against: a request written as the server closes its idle end is a reset, which may have run; and on one
        whose server has said something more, that is taken for the answer. Both may be in the kernel, not yet read.
        """
        idle = target.idle
        at = len(idle) - 1
        while at >= 0:
            conn = idle[at]
            if now - conn.idle_since_us >= self.idle_time:
                for old in idle[: at + 1]:  # it, and all that stand before it
                    old.discard(CloseReason.IDLE)
                del idle[: at + 1]
                return None
            if conn.reusable_from_us <= now or not rested:
                del idle[at]
                if (
                    conn.transport is not None
                    and not conn.transport.is_closing()
                    and is_quiet(conn.descriptor)
                ):
                    return conn
                conn.discard(CloseReason.PEER)
            at -= 1
        return None

    def start_deadline_timer(self, exchange: Exchange) -> None:
        """Gives it up at its time."""
        exchange.deadline_timer = self.loop.call_later(
            (exchange.deadline_us - monotonic_us()) / 1e6, self.deadline_passed, exchange
        )

    def make_health_check(
        self, server: int, ended: Callable[[Exchange, Outcome, bytes, Sequence[float]], None]
    ) -> Exchange:
        """A probe of a server, which waits as long as a connection may take to come up."""
        head = b"GET %s HTTP/1.1\r\nHost: %s\r\n" % (
            b"/_load" if self.report_size else b"/ping",
            UPSTREAM_HOST,
        )
        return HealthCheck(server, head, b"", monotonic_us() + int(self.connect_timeout * 1e6), ended)

    def close_one_idle(self) -> bool:
        """Closes an idle connection to make room for a new one."""
        for target in self.processes.values():
            if target.idle:
                target.idle.pop(0).discard(CloseReason.DESCRIPTOR_SHORTAGE)
                return True
        return False

    async def connect(self, exchange: Exchange, target: ServerProcess) -> None:
        conn = ServerConnection(self, target)
        limit = self.loop.call_later(
            self.connect_timeout, cast(asyncio.Task[None], asyncio.current_task()).cancel
        )
        try:
            await self.loop.create_connection(lambda: conn, target.host, target.port)
        except (OSError, asyncio.CancelledError) as error:
            if conn.transport is not None:
                conn.discard(CloseReason.CONNECT_TIMEOUT)
            else:
                self.descriptors.upstream_connections -= 1
                target.connection_count -= 1
            # Guards against: a server is blamed, and put out, for a shortage of this machine's own.
            blameless = isinstance(error, OSError) and is_local_shortage(error)
            self.finish(exchange, Outcome.NOT_SENT if blameless else Outcome.CONNECT_FAILED)
            return
        finally:
            limit.cancel()
        if exchange.finished:
            self.release(conn)
            return
        # Guards against: while the connection came up the list may have said that the server drains, is
        # gone or is another process, the time may have run out, or the caller may have left. Not a byte has gone out.
        now = monotonic_us()
        if (
            not target.in_service
            or min(exchange.deadline_us, exchange.start_by_us) <= now
            or not exchange.is_wanted()
        ):
            self.release(conn)
            self.finish(exchange, Outcome.NOT_SENT)
        elif conn.transport is None or conn.transport.is_closing():
            self.finish(exchange, Outcome.CONNECT_FAILED)
        else:
            conn.start(exchange, now)

    def release(self, conn: ServerConnection) -> None:
        """Keeps an idle connection for the next exchange."""
        if (
            conn.process.in_service
            and conn.usable
            and conn.transport is not None
            and not conn.transport.is_closing()
        ):
            conn.idle_since_us = monotonic_us()
            conn.process.idle.append(conn)
        else:
            conn.discard(CloseReason.PEER if conn.process.in_service else CloseReason.SERVER_OUT_OF_SERVICE)

    def finish(
        self, exchange: Exchange, outcome: Outcome, body: bytes = b"", report: Sequence[float] = ()
    ) -> None:
        if exchange.finished:
            return
        exchange.finished = True
        if exchange.deadline_timer is not None:
            exchange.deadline_timer.cancel()
        exchange.connection = None
        exchange.on_ended(exchange, outcome, body, report)

    def deadline_passed(self, exchange: Exchange) -> None:
        self.abandon(exchange, Outcome.TIMEOUT)

    def abandon(self, exchange: Exchange, outcome: Outcome) -> None:
        """Stops waiting: the connection is closed, for the answer could still come on it.

        Before the last byte has left nothing has run. A connection still coming up is kept for others.
        """
        if exchange.finished:
            return
        conn = exchange.connection
        if conn is None:
            outcome = Outcome.NOT_SENT
        else:
            if not conn.sent:
                outcome = Outcome.NOT_SENT
            conn.detach(exchange)
            conn.exchange = None
            conn.discard(CloseReason.ABANDONED, exchange)
        self.finish(exchange, outcome)

    def set_streaming_budget(self, most: int) -> None:
        """Bounds what large answers may hold here, in bytes; what has begun keeps to it after the next sweep.

        Guards against: a crowd of answers begins at once, each with the buffer of a single one.
        """
        if most != self.streaming_budget_bytes:
            self.streaming_budget_bytes = most
            self.first_buffer_bytes = stream_buffer_bytes(
                most, self.descriptors.total // STREAM_START_DIVISOR
            )

    def resize_stream_buffers(self) -> None:
        """Makes the kernel's buffers smaller where many large bodies pass, and larger again where few do.

        Guards against: hundreds of slow callers, each with an answer's buffer of the time when there were few.
        """
        buffer = stream_buffer_bytes(self.streaming_budget_bytes, len(self.streaming))
        if self.stream_buffer_bytes // 2 < buffer < 2 * self.stream_buffer_bytes:
            return
        self.stream_buffer_bytes = buffer
        for conn in self.streaming:
            conn.set_receive_buffer(buffer)

    def sweep(self) -> None:
        """Drops connections that have stood idle almost as long as the server allows.

        Guards against: a large body that its server has left half way holds its caller for good. What waits
        for the caller is not the server's doing.
        """
        now = monotonic_us()
        self.resize_stream_buffers()
        for conn in [c for c in self.streaming if now - c.progress_us > STALL_TIMEOUT_US]:
            if (
                conn.exchange is not None
                and not conn.read_paused
                and (conn.write_blocked or not conn.upload_unfinished)
            ):
                conn.fail_exchange(CloseReason.STALLED)
        oldest = now - self.idle_time
        for target in self.processes.values():
            while target.idle and target.idle[0].idle_since_us <= oldest:
                target.idle.pop(0).discard(CloseReason.IDLE)

    def close_all(self) -> None:
        for task in self.connect_tasks:
            task.cancel()
        for target in self.processes.values():
            self.close_idle_of(target, CloseReason.SHUTDOWN)
