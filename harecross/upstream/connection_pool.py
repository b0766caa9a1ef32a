"""Connections to servers: the pool of them, connects, probes, and the end of what takes too long.

A connection carries one exchange at a time. Nothing here ever sends an exchange twice.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import cast

from harecross.dispatch.close_reasons import CloseReason, Closing
from harecross.http.body_buffer import STREAM_MOST, stream_buffer
from harecross.http.request_parser import HOST
from harecross.http.response_parser import report_places
from harecross.interface import Outcome
from harecross.platform.clock import monotonic_us
from harecross.platform.descriptor_budget import DescriptorBudget
from harecross.platform.peer_state import is_quiet
from harecross.platform.system_errors import is_local_shortage
from harecross.upstream.connection import ServerConnection
from harecross.upstream.exchange import NEVER, Exchange, HealthCheck, ServerProcess

IDLE_MARGIN = 1_500_000  # an idle connection is dropped so long before the server would close it
PASSING = 1 << 25  # bytes of large answers that may stand here, where nothing else is told
CROWD = 4  # one in so many descriptors may be a large answer that begins
STALLED = 6_000_000  # a large body that its server neither takes nor gives on for so long is given up


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
        self.idle_time = max(idle_time - IDLE_MARGIN, idle_time // 2)
        self.places = report_places(columns)
        self.fields = len(columns)
        self.descriptor_budget = descriptor_budget
        self.on_closed: Callable[[Closing], None] = lambda closing: None
        # Asks callers for a place: True if one of theirs has been put out.
        self.on_short: Callable[[], bool] = lambda: False
        self.reports = 0  # load reports read
        self.spoilt = 0  # answers that could not be read
        self.targets: dict[int, ServerProcess] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.streams: set[ServerConnection] = set()  # those that carry a large body
        self.passing_most = 0  # bytes of large answers that may stand here, all together
        self.buffer = STREAM_MOST  # the kernel's for each of them, as last set
        self.first = STREAM_MOST  # and for any answer, until it is known to be large
        self.set_passing(PASSING)

    @property
    def open(self) -> int:
        """Connections to servers, and attempts at one."""
        return self.descriptor_budget.upstream_connections

    def update(self, server: int, address: str, started: int) -> None:
        """A server in service. Old connections never lead to a new process or address."""
        host, _, port = address.rpartition(":")
        old = self.targets.get(server)
        if old is not None:
            if (old.host, old.port, old.started) == (host, int(port), started):
                old.ready = True
                return
            self.withdraw(server)
        self.targets[server] = ServerProcess(server, host, int(port), started)

    def withdraw(self, server: int) -> None:
        """Nothing new goes to the server from now on; what is out on its connections is waited for."""
        target = self.targets.get(server)
        if target is not None:
            target.ready = False
            self.close_idle(target, CloseReason.SERVER_LEAVES)

    def forget(self, server: int) -> bool:
        """Lets go of a server that is not in service, once nothing is out on it."""
        target = self.targets.get(server)
        if target is None:
            return True
        if target.ready or target.links:
            return False
        del self.targets[server]
        return True

    def close_idle(self, target: ServerProcess, reason: CloseReason) -> None:
        for conn in list(target.idle):
            conn.discard(reason)
        target.idle.clear()

    def close(self, server: int) -> None:
        target = self.targets.get(server)
        if target is not None:
            self.close_idle(target, CloseReason.EJECTED)

    def send(self, exchange: Exchange) -> None:
        """Sends on the connection used last, or on a new one. The outcome never comes within this call."""
        now = monotonic_us()
        exchange.began = now
        target = exchange.target = self.targets.get(exchange.server)
        if target is None or not target.ready or min(exchange.until, exchange.begin_by) <= now:
            self.loop.call_soon(self.end, exchange, Outcome.NOT_SENT)
            return
        if exchange.until < NEVER:
            self.limit(exchange)
        fits = self.descriptor_budget.upstream_connection_fits()
        # Where no other one fits, the one that has not rested is better than the work of another handshake.
        conn = self.kept(target, now) or (None if fits else self.kept(target, now, rested=False))
        if conn is not None:
            conn.start(exchange, now)
            return
        if not (fits or self.spare() or self.on_short()):
            # Guards against: at the descriptor limit the node could not even accept and refuse.
            self.loop.call_soon(self.end, exchange, Outcome.NOT_SENT)
            return
        self.descriptor_budget.upstream_connections += 1
        target.links += 1
        task = self.loop.create_task(self.connect(exchange, target))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def kept(self, target: ServerProcess, now: int, rested: bool = True) -> ServerConnection | None:
        """The idle connection used last that has rested and on which nothing has come; None if there is none.

        Guards against: a request written as the server closes its idle end is a reset, which may have run; and on one
        whose server has said something more, that is taken for the answer. Both may be in the kernel, not yet read.
        """
        idle = target.idle
        at = len(idle) - 1
        while at >= 0:
            conn = idle[at]
            if now - conn.since >= self.idle_time:
                for old in idle[: at + 1]:  # it, and all that stand before it
                    old.discard(CloseReason.IDLE)
                del idle[: at + 1]
                return None
            if conn.rested <= now or not rested:
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

    def limit(self, exchange: Exchange) -> None:
        """Gives it up at its time."""
        exchange.timer = self.loop.call_later((exchange.until - monotonic_us()) / 1e6, self.expire, exchange)

    def probe(
        self, server: int, ended: Callable[[Exchange, Outcome, bytes, Sequence[float]], None]
    ) -> Exchange:
        """A probe of a server, which waits as long as a connection may take to come up."""
        head = b"GET %s HTTP/1.1\r\nHost: %s\r\n" % (b"/_load" if self.fields else b"/ping", HOST)
        return HealthCheck(server, head, b"", monotonic_us() + int(self.connect_timeout * 1e6), ended)

    def spare(self) -> bool:
        """Closes an idle connection to make room for a new one."""
        for target in self.targets.values():
            if target.idle:
                target.idle.pop(0).discard(CloseReason.NO_ROOM)
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
                self.descriptor_budget.upstream_connections -= 1
                target.links -= 1
            # Guards against: a server is blamed, and put out, for a shortage of this machine's own.
            blameless = isinstance(error, OSError) and is_local_shortage(error)
            self.end(exchange, Outcome.NOT_SENT if blameless else Outcome.CONNECT_FAILED)
            return
        finally:
            limit.cancel()
        if exchange.over:
            self.put(conn)
            return
        # Guards against: while the connection came up the list may have said that the server drains, is
        # gone or is another process, the time may have run out, or the caller may have left. Not a byte has gone out.
        now = monotonic_us()
        if not target.ready or min(exchange.until, exchange.begin_by) <= now or not exchange.wanted():
            self.put(conn)
            self.end(exchange, Outcome.NOT_SENT)
        elif conn.transport is None or conn.transport.is_closing():
            self.end(exchange, Outcome.CONNECT_FAILED)
        else:
            conn.start(exchange, now)

    def put(self, conn: ServerConnection) -> None:
        """Keeps an idle connection for the next exchange."""
        if (
            conn.target.ready
            and conn.usable
            and conn.transport is not None
            and not conn.transport.is_closing()
        ):
            conn.since = monotonic_us()
            conn.target.idle.append(conn)
        else:
            conn.discard(CloseReason.PEER if conn.target.ready else CloseReason.SERVER_LEAVES)

    def end(
        self, exchange: Exchange, outcome: Outcome, body: bytes = b"", report: Sequence[float] = ()
    ) -> None:
        if exchange.over:
            return
        exchange.over = True
        if exchange.timer is not None:
            exchange.timer.cancel()
        exchange.conn = None
        exchange.ended(exchange, outcome, body, report)

    def expire(self, exchange: Exchange) -> None:
        self.abandon(exchange, Outcome.TIMEOUT)

    def abandon(self, exchange: Exchange, outcome: Outcome) -> None:
        """Stops waiting: the connection is closed, for the answer could still come on it.

        Before the last byte has left nothing has run. A connection still coming up is kept for others.
        """
        if exchange.over:
            return
        conn = exchange.conn
        if conn is None:
            outcome = Outcome.NOT_SENT
        else:
            if not conn.sent:
                outcome = Outcome.NOT_SENT
            conn.let_go(exchange)
            conn.exchange = None
            conn.discard(CloseReason.GIVEN_UP, exchange)
        self.end(exchange, outcome)

    def set_passing(self, most: int) -> None:
        """Bounds what large answers may hold here, in bytes; what has begun keeps to it after the next sweep.

        Guards against: a crowd of answers begins at once, each with the buffer of a single one.
        """
        if most != self.passing_most:
            self.passing_most = most
            self.first = stream_buffer(most, self.descriptor_budget.total // CROWD)

    def fit_buffers(self) -> None:
        """Makes the kernel's buffers smaller where many large bodies pass, and larger again where few do.

        Guards against: hundreds of slow callers, each with an answer's buffer of the time when there were few.
        """
        buffer = stream_buffer(self.passing_most, len(self.streams))
        if self.buffer // 2 < buffer < 2 * self.buffer:
            return
        self.buffer = buffer
        for conn in self.streams:
            conn.narrow(buffer)

    def sweep(self) -> None:
        """Drops connections that have stood idle almost as long as the server allows.

        Guards against: a large body that its server has left half way holds its caller for good. What waits
        for the caller is not the server's doing.
        """
        now = monotonic_us()
        self.fit_buffers()
        for conn in [c for c in self.streams if now - c.moved > STALLED]:
            if conn.exchange is not None and not conn.held and (conn.stuck or not conn.rest):
                conn.lost(CloseReason.STALLED)
        oldest = now - self.idle_time
        for target in self.targets.values():
            while target.idle and target.idle[0].since <= oldest:
                target.idle.pop(0).discard(CloseReason.IDLE)

    def shut(self) -> None:
        for task in self.tasks:
            task.cancel()
        for target in self.targets.values():
            self.close_idle(target, CloseReason.STOP)
