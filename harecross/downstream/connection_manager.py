"""All connections from callers: the listener, who is let in, who is put out, and what each owes."""

from __future__ import annotations

import asyncio
import socket
from enum import Enum

from harecross.dispatch.close_reasons import CloseReason, Closing
from harecross.dispatch.dispatcher import RequestDispatcher
from harecross.downstream.client_connection import RECEIVE_TIMEOUT_US, ClientConnection
from harecross.downstream.listener import Listener
from harecross.downstream.read_delay import Heartbeat
from harecross.http.request_parser import RequestReader
from harecross.platform.clock import monotonic_us
from harecross.platform.descriptor_budget import DescriptorBudget
from harecross.platform.system_errors import AcceptFailure

SLOW_READER_TIMEOUT_US = 10_000_000  # a caller that takes nothing of a large answer for so long is put out
STANDBY_DRAIN_US = 1_200_000  # after a standby began, idle connections close; none may be held after 4 s
IDLE_TIMEOUT_US = 5_000_000  # an idle connection is kept so long
EVICTION_GRACE_US = 200_000  # a new connection that has said nothing yet is not put out before
STALLED_HEAD_US = (
    900_000  # a head without a new byte is not put out before; slow callers write a piece every 0.8 s
)
DESCRIPTOR_WAIT_US = 200_000  # new connections wait so long for room before they are closed
BACKLOG_RECHECK_S = 0.005  # seconds between two looks for room
MAX_ACCEPTS_PER_TURN = 16  # connections taken in one go: each holds a descriptor before it can be turned away
LINGER_TIMEOUT_US = 1_000_000  # a connection that ends may take so long over it


class Backlog(Enum):
    """What is left of the connections that had come."""

    EMPTY = "none waits"
    MORE = "another may wait"
    WAITS = "what waits goes on waiting: there is no room, or this machine is short of something"


def taken(group: dict[ClientConnection, int], time: int) -> list[ClientConnection]:
    """Takes out those that have been there since before `time`; the oldest stand first."""
    old = []
    for caller, since in group.items():
        if since > time:
            break
        old.append(caller)
    for caller in old:
        del group[caller]
    return old


class ConnectionManager:
    """The listener and its connections.

    `silent`, `owing`, `resting`, `ending` and `lagging` hold connections and since when, the oldest first:
    every wait of a kind is of the same length. A connection stands in one of them at most.
    """

    def __init__(
        self,
        host: RequestDispatcher,
        reader: RequestReader,
        descriptor_budget: DescriptorBudget,
        held_most: int,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.dispatcher = host
        self.reader = reader
        self.descriptor_budget = descriptor_budget
        host.pool.on_short = self.evict_one
        self.budget_full_since: int | None = None  # there is no room for the next connection
        self.buffered_body_bytes = 0  # bytes of bodies, over all connections
        self.max_buffered_body_bytes = held_most
        self.open: set[ClientConnection] = set()
        self.silent: dict[ClientConnection, int] = {}  # said nothing yet
        self.receiving: dict[
            ClientConnection, int
        ] = {}  # part of a message has come, or an answer waits to be read
        self.idle: dict[ClientConnection, int] = {}  # served, and idle
        self.lingering: dict[ClientConnection, int] = {}  # has had its last answer
        self.slow_readers: dict[
            ClientConnection, int
        ] = {}  # does not take a large answer as fast as it comes
        self.bad_requests: dict[int, int] = {}  # what was answered here, by status; 0: closed for silence
        self.refused_connections = 0  # connections closed at once
        self.health_check_failing = False  # health says so
        self.draining = False  # connections close after what is on them
        self.in_standby = False
        self.standby_since = 0
        self.listener: Listener | None = None
        self.heartbeat = Heartbeat()

    # ---- the listener ---------------------------------------------------------------------------------

    def listen(self, sock: socket.socket, backlog: int) -> None:
        """Connections may come; they are taken once `begin` says so."""
        if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            sock.listen(backlog)
        self.listener = Listener(
            sock, lambda waiting: ClientConnection(self, waiting), self.accept, self.heartbeat
        )
        self.listener.dropped = self.connection_setup_failed

    def start_accepting(self) -> None:
        """Takes connections from now on."""
        assert self.listener is not None
        self.heartbeat.start()
        self.listener.start()

    def accept(self) -> Backlog:
        """Takes connections that have come.

        Guards against: callers that only ever open connections take the last descriptor, and then neither a
        server nor a usual caller can be reached. Beyond the bound a connection is closed at no further cost.
        """
        assert self.listener is not None
        for taken_now in range(MAX_ACCEPTS_PER_TURN):
            fits = self.descriptor_budget.client_connection_fits()
            if not fits and taken_now:
                # The loop says whether another waits: nobody is put out for one that does not come.
                return Backlog.MORE
            fits = fits or self.evict_one()
            if fits:
                self.budget_full_since = None
            elif self.leave_in_backlog():
                return Backlog.WAITS
            connection = self.listener.take()
            if connection is AcceptFailure.CONNECTION_GONE:
                continue
            if connection is AcceptFailure.SHORTAGE:
                return Backlog.WAITS
            if isinstance(connection, AcceptFailure):
                return Backlog.EMPTY
            if not fits:
                self.refused_connections += 1
                connection.close()
                self.dispatcher.connection_closed(Closing("client", "", CloseReason.NO_ROOM))
                continue
            self.descriptor_budget.client_connections += 1
            self.listener.welcome(connection)
        return Backlog.MORE

    def leave_in_backlog(self) -> bool:
        """Leaves what has come in the backlog for a moment; False once that has lasted."""
        now = monotonic_us()
        if self.budget_full_since is None:
            self.budget_full_since = now
        if self.draining or now - self.budget_full_since > DESCRIPTOR_WAIT_US or self.listener is None:
            return False
        self.listener.pause(BACKLOG_RECHECK_S)
        return True

    def connection_setup_failed(self) -> None:
        """A connection could not be set up: its place is free."""
        self.descriptor_budget.client_connections -= 1

    def evict_one(self) -> bool:
        """Puts out who holds a connection and nothing else: those that never spoke before those served.

        Whether anybody has been.
        """
        for group, age in (
            (self.lingering, EVICTION_GRACE_US),
            (self.silent, EVICTION_GRACE_US),
            (self.idle, 0),
        ):
            for caller, since in group.items():
                if monotonic_us() - since < age:
                    break
                if not caller.has_unread():
                    return self.evict(caller)
        if self.descriptor_budget.upstream_may_release() and self.dispatcher.pool.spare():
            return True
        # Guards against: callers that send half a head and stay hold every place for as long as a slow one may.
        stuck = (
            c
            for c in self.receiving
            if c.reading and not c.head_done and c.heard < monotonic_us() - STALLED_HEAD_US
        )
        oldest = min(stuck, key=lambda c: c.heard, default=None)
        return oldest is not None and self.evict(oldest)

    def evict(self, caller: ClientConnection) -> bool:
        """Ends a connection at once. Its place counts as free, though the descriptor goes a moment later."""
        self.unmark(caller)
        self.lingering.pop(caller, None)
        caller.abort(CloseReason.NO_ROOM)
        return True

    async def drain_listener(self, by: float, shared: bool = False) -> None:
        """Closes the listener, once nothing waits any more; `by` that time of the loop at the latest.

        `shared`: another process may have the socket too. Guards against: closing it resets what waits in its
        backlog, and a request that a caller has written to such a connection counts as taken.
        """
        assert self.listener is not None
        self.listener.stop()
        await self.accept_waiting(by)
        if not shared:
            await self.listener.refuse_new()
            await self.accept_waiting(by)
        await self.listener.close()

    async def accept_waiting(self, by: float) -> None:
        """Takes connections until none waits, or until that time of the loop."""
        assert self.listener is not None
        while (backlog := self.accept()) is not Backlog.EMPTY and self.loop.time() < by:
            self.listener.stop()
            await asyncio.sleep(0 if backlog is Backlog.MORE else BACKLOG_RECHECK_S)

    async def close_listener_at_once(self) -> None:
        """Takes no more: what waits on the listening socket is for the process that shares it."""
        assert self.listener is not None
        self.draining = True
        await self.listener.close()

    def enter_standby(self) -> None:
        """Sends clients away: the health check fails and each answer ends its connection.

        Idle connections are closed once clients have had time to notice.
        """
        self.set_standby(True)

    def leave_standby(self) -> None:
        """Accepts clients again."""
        self.set_standby(False)

    def set_standby(self, standby: bool) -> None:
        self.in_standby = self.health_check_failing = self.draining = standby
        self.standby_since = monotonic_us()

    # ---- what connections owe -------------------------------------------------------------------------

    def connection_opened(self, caller: ClientConnection) -> None:
        self.open.add(caller)
        self.silent[caller] = monotonic_us()

    def connection_closed(self, caller: ClientConnection) -> None:
        self.open.discard(caller)
        self.descriptor_budget.client_connections -= 1
        self.unmark(caller)
        self.lingering.pop(caller, None)
        self.slow_readers.pop(caller, None)

    def count_bad_request(self, status: int) -> None:
        """Counts what was wrong with a caller."""
        self.bad_requests[status] = self.bad_requests.get(status, 0) + 1

    def mark_receiving(self, caller: ClientConnection) -> None:
        """The caller has begun something that it must end in time."""
        self.unmark(caller)
        self.receiving[caller] = monotonic_us()

    def unmark(self, caller: ClientConnection) -> None:
        for group in (self.silent, self.receiving, self.idle):
            group.pop(caller, None)

    def mark_idle(self, caller: ClientConnection) -> None:
        self.unmark(caller)
        self.idle[caller] = monotonic_us()

    def mark_slow_reader(self, caller: ClientConnection) -> None:
        self.unmark(caller)
        self.slow_readers[caller] = monotonic_us()

    def mark_lingering(self, caller: ClientConnection) -> None:
        self.unmark(caller)
        self.lingering[caller] = monotonic_us()

    def sweep(self) -> None:
        """Ends what has gone on for too long.

        Guards against: connections that say nothing, or half a request, or read nothing, are held for good.
        """
        now = monotonic_us()
        emptied = self.in_standby and now > self.standby_since + STANDBY_DRAIN_US
        for group, most in (
            (self.silent, STANDBY_DRAIN_US // 2 if emptied else RECEIVE_TIMEOUT_US),
            (self.receiving, RECEIVE_TIMEOUT_US),
        ):
            for caller in taken(group, now - most):
                if caller.has_unread():
                    group[caller] = now  # what it owes has come in this turn
                else:
                    caller.overdue()
        for caller in taken(self.idle, now if emptied else now - IDLE_TIMEOUT_US):
            reason = CloseReason.STOP if emptied else CloseReason.IDLE
            if not caller.end_idle(reason) and caller.transport is not None:
                self.mark_idle(caller)
        for group, most in ((self.lingering, LINGER_TIMEOUT_US), (self.slow_readers, SLOW_READER_TIMEOUT_US)):
            for caller in taken(group, now - most):
                caller.abort(CloseReason.NOT_READ)

    def close_idle(self) -> None:
        """Closes connections that have had an answer and hold nothing; new ones may have a request coming."""
        for caller in list(self.idle):
            caller.end_idle(CloseReason.STOP)

    def close_all(self) -> None:
        for caller in list(self.open):
            caller.close(CloseReason.STOP)

    def has_open_requests(self) -> bool:
        """Whether a request that came whole has no answer yet, be it that nobody has read it."""
        return any(c.busy or c.queue or c.has_unread() for c in self.open)
