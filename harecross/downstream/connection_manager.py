"""All connections from callers: the listener, who is let in, who is put out, and what each owes."""

from __future__ import annotations

import asyncio
import socket
from enum import Enum

from harecross.dispatch.close_reasons import ClosedConnection, CloseReason
from harecross.dispatch.dispatcher import RequestDispatcher
from harecross.downstream.client_connection import OWED, ClientConnection
from harecross.downstream.listener import Listener
from harecross.downstream.read_delay import Heartbeat
from harecross.http.request_parser import RequestParser
from harecross.platform.clock import monotonic_us
from harecross.platform.descriptor_budget import DescriptorBudget
from harecross.platform.system_errors import AcceptFailure

LAGGING = 10_000_000  # a caller that takes nothing of a large answer for so long is put out
EMPTIED = 1_200_000  # after a standby began, idle connections close; none may be held after 4 s
RESTING = 5_000_000  # an idle connection is kept so long
YOUNG = 200_000  # a new connection that has said nothing yet is not put out before
STUCK = 900_000  # a head without a new byte is not put out before; slow callers write a piece every 0.8 s
QUEUED = 200_000  # new connections wait so long for room before they are closed
LOOK_AGAIN = 0.005  # seconds between two looks for room
ACCEPTS = 16  # connections taken in one go: each holds a descriptor before it can be turned away
LINGER = 1_000_000  # a connection that ends may take so long over it


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
        self, host: RequestDispatcher, reader: RequestParser, room: DescriptorBudget, held_most: int
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.dispatcher = host
        self.reader = reader
        self.room = room
        host.pool.on_descriptor_shortage = self.make_room
        self.short_since: int | None = None  # there is no room for the next connection
        self.held = 0  # bytes of bodies, over all connections
        self.held_most = held_most
        self.open: set[ClientConnection] = set()
        self.silent: dict[ClientConnection, int] = {}  # said nothing yet
        self.owing: dict[
            ClientConnection, int
        ] = {}  # part of a message has come, or an answer waits to be read
        self.resting: dict[ClientConnection, int] = {}  # served, and idle
        self.ending: dict[ClientConnection, int] = {}  # has had its last answer
        self.lagging: dict[ClientConnection, int] = {}  # does not take a large answer as fast as it comes
        self.bad: dict[int, int] = {}  # what was answered here, by status; 0: closed for silence
        self.turned_away = 0  # connections closed at once
        self.stopping = False  # health says so
        self.leaving = False  # connections close after what is on them
        self.standing_by = False
        self.stood_at = 0
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
        self.listener.dropped = self.dropped

    def begin(self) -> None:
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
        for taken_now in range(ACCEPTS):
            fits = self.room.caller_fits()
            if not fits and taken_now:
                # The loop says whether another waits: nobody is put out for one that does not come.
                return Backlog.MORE
            fits = fits or self.make_room()
            if fits:
                self.short_since = None
            elif self.waits():
                return Backlog.WAITS
            connection = self.listener.take()
            if connection is AcceptFailure.CONNECTION_GONE:
                continue
            if connection is AcceptFailure.SHORTAGE:
                return Backlog.WAITS
            if isinstance(connection, AcceptFailure):
                return Backlog.EMPTY
            if not fits:
                self.turned_away += 1
                connection.close()
                self.dispatcher.connection_closed(
                    ClosedConnection("client", "", CloseReason.DESCRIPTOR_SHORTAGE)
                )
                continue
            self.room.callers += 1
            self.listener.welcome(connection)
        return Backlog.MORE

    def waits(self) -> bool:
        """Leaves what has come in the backlog for a moment; False once that has lasted."""
        now = monotonic_us()
        if self.short_since is None:
            self.short_since = now
        if self.leaving or now - self.short_since > QUEUED or self.listener is None:
            return False
        self.listener.pause(LOOK_AGAIN)
        return True

    def dropped(self) -> None:
        """A connection could not be set up: its place is free."""
        self.room.callers -= 1

    def make_room(self) -> bool:
        """Puts out who holds a connection and nothing else: those that never spoke before those served.

        Whether anybody has been.
        """
        for group, age in ((self.ending, YOUNG), (self.silent, YOUNG), (self.resting, 0)):
            for caller, since in group.items():
                if monotonic_us() - since < age:
                    break
                if not caller.has_unread():
                    return self.put_out(caller)
        if self.room.servers_may_give() and self.dispatcher.pool.close_one_idle():
            return True
        # Guards against: callers that send half a head and stay hold every place for as long as a slow one may.
        stuck = (c for c in self.owing if c.reading and not c.head_done and c.heard < monotonic_us() - STUCK)
        oldest = min(stuck, key=lambda c: c.heard, default=None)
        return oldest is not None and self.put_out(oldest)

    def put_out(self, caller: ClientConnection) -> bool:
        """Ends a connection at once. Its place counts as free, though the descriptor goes a moment later."""
        self.owes_nothing(caller)
        self.ending.pop(caller, None)
        caller.abort(CloseReason.DESCRIPTOR_SHORTAGE)
        return True

    async def close(self, by: float, shared: bool = False) -> None:
        """Closes the listener, once nothing waits any more; `by` that time of the loop at the latest.

        `shared`: another process may have the socket too. Guards against: closing it resets what waits in its
        backlog, and a request that a caller has written to such a connection counts as taken.
        """
        assert self.listener is not None
        self.listener.stop()
        await self.take_waiting(by)
        if not shared:
            await self.listener.refuse_new()
            await self.take_waiting(by)
        await self.listener.close()

    async def take_waiting(self, by: float) -> None:
        """Takes connections until none waits, or until that time of the loop."""
        assert self.listener is not None
        while (backlog := self.accept()) is not Backlog.EMPTY and self.loop.time() < by:
            self.listener.stop()
            await asyncio.sleep(0 if backlog is Backlog.MORE else LOOK_AGAIN)

    async def hand_over(self) -> None:
        """Takes no more: what waits on the listening socket is for the process that shares it."""
        assert self.listener is not None
        self.leaving = True
        await self.listener.close()

    def stand(self, by: bool) -> None:
        """Sends clients away, or takes them again.

        Health says no and every answer ends its connection; those that stay idle are closed once clients
        have had time to hear of it.
        """
        self.standing_by = self.stopping = self.leaving = by
        self.stood_at = monotonic_us()

    # ---- what connections owe -------------------------------------------------------------------------

    def joined(self, caller: ClientConnection) -> None:
        self.open.add(caller)
        self.silent[caller] = monotonic_us()

    def parted(self, caller: ClientConnection) -> None:
        self.open.discard(caller)
        self.room.callers -= 1
        self.owes_nothing(caller)
        self.ending.pop(caller, None)
        self.lagging.pop(caller, None)

    def found(self, status: int) -> None:
        """Counts what was wrong with a caller."""
        self.bad[status] = self.bad.get(status, 0) + 1

    def owes(self, caller: ClientConnection) -> None:
        """The caller has begun something that it must end in time."""
        self.owes_nothing(caller)
        self.owing[caller] = monotonic_us()

    def owes_nothing(self, caller: ClientConnection) -> None:
        for group in (self.silent, self.owing, self.resting):
            group.pop(caller, None)

    def rests(self, caller: ClientConnection) -> None:
        self.owes_nothing(caller)
        self.resting[caller] = monotonic_us()

    def lags(self, caller: ClientConnection) -> None:
        self.owes_nothing(caller)
        self.lagging[caller] = monotonic_us()

    def ends(self, caller: ClientConnection) -> None:
        self.owes_nothing(caller)
        self.ending[caller] = monotonic_us()

    def sweep(self) -> None:
        """Ends what has gone on for too long.

        Guards against: connections that say nothing, or half a request, or read nothing, are held for good.
        """
        now = monotonic_us()
        emptied = self.standing_by and now > self.stood_at + EMPTIED
        for group, most in ((self.silent, EMPTIED // 2 if emptied else OWED), (self.owing, OWED)):
            for caller in taken(group, now - most):
                if caller.has_unread():
                    group[caller] = now  # what it owes has come in this turn
                else:
                    caller.overdue()
        for caller in taken(self.resting, now if emptied else now - RESTING):
            reason = CloseReason.SHUTDOWN if emptied else CloseReason.IDLE
            if not caller.end_idle(reason) and caller.transport is not None:
                self.rests(caller)
        for group, most in ((self.ending, LINGER), (self.lagging, LAGGING)):
            for caller in taken(group, now - most):
                caller.abort(CloseReason.RESPONSE_NOT_READ)

    def close_idle(self) -> None:
        """Closes connections that have had an answer and hold nothing; new ones may have a request coming."""
        for caller in list(self.resting):
            caller.end_idle(CloseReason.SHUTDOWN)

    def close_all(self) -> None:
        for caller in list(self.open):
            caller.close(CloseReason.SHUTDOWN)

    def busy(self) -> bool:
        """Whether a request that came whole has no answer yet, be it that nobody has read it."""
        return any(c.busy or c.queue or c.has_unread() for c in self.open)
