"""Manages all client connections: accepting, eviction when descriptors run out, and timeouts."""

from __future__ import annotations

import asyncio
import socket
from enum import Enum
from typing import cast

from harecross.dispatch.close_reasons import ClosedConnection, CloseReason
from harecross.dispatch.dispatcher import RequestDispatcher
from harecross.downstream.client_connection import ClientConnection
from harecross.downstream.connection_state import RECEIVE_TIMEOUT_US, ConnectionState
from harecross.downstream.held_bytes import HeldBytes
from harecross.downstream.input_scheduler import InputScheduler
from harecross.downstream.listener import Listener
from harecross.downstream.memory_reclaim import MemoryReclaim
from harecross.downstream.read_delay import Heartbeat
from harecross.http.request_parser import RequestParser
from harecross.platform.clock import monotonic_us
from harecross.platform.descriptor_budget import DescriptorBudget
from harecross.platform.system_errors import AcceptFailure

IDLE_TIMEOUT_US = 5_000_000
# The time after which a connection is closed if its client reads nothing of a streamed response.
SLOW_READER_TIMEOUT_US = 10_000_000
# The time that a client has to close its side of a connection after the last response.
LINGER_TIMEOUT_US = 1_000_000
# The time after which a node in standby closes idle connections. No connection may be open after 4 s.
STANDBY_DRAIN_US = 1_200_000
# The time after which requests received in standby need whole responses. No connection may carry a request received
# later than 2 s when 4 s are over.
STANDBY_STREAMING_US = 1_800_000
# The minimum time for which a connection is silent or lingers before it may be evicted.
EVICTION_GRACE_US = 200_000
# The time without new bytes of a head after which a connection may be evicted. Slow clients send some every 0.8 s.
STALLED_HEAD_US = 900_000
# The time for which connections wait in the backlog for a descriptor before they are refused.
DESCRIPTOR_WAIT_US = 200_000
BACKLOG_RECHECK_S = 0.005
# The time beyond the deadline of a shutdown for which the connections in the backlog are accepted. SIGKILL may follow.
BACKLOG_GRACE_S = 0.2
# The maximum number of connections accepted in one turn of the event loop. Each uses a descriptor until it is refused.
MAX_ACCEPTS_PER_TURN = 16


class BacklogState(Enum):
    """The state of the listen backlog after accepting connections."""

    EMPTY = "no connection waits"
    MORE = "another connection may wait"
    BLOCKED = "connections wait for a descriptor, or until a shortage of this machine is over"


def pop_added_before(group: dict[ConnectionState, int], time_us: int) -> list[ConnectionState]:
    """Removes and returns the connections added up to `time_us`; the group is ordered by time."""
    old = []
    for connection, since in group.items():
        if since > time_us:
            break
        old.append(connection)
    for connection in old:
        del group[connection]
    return old


class ConnectionManager(MemoryReclaim):
    """Manages the listener and its connections; implements `ConnectionOwner`.

    `silent`, `receiving`, `idle`, `lingering` and `slow_readers` map connections to the time at which they entered that
    state. They are ordered by time, because all connections in a state have the same timeout. A connection is in at
    most one of them.

    Attributes:
        budget_full_since: Since when connections have waited in the backlog for a descriptor; None while it is empty.
        ledger: The account of the bytes that the process holds.
        silent: Connections on which nothing has been received yet.
        receiving: Connections that have sent a request in part, or whose client does not read a response.
        idle: Connections between two requests.
        lingering: Connections that have had their last response.
        slow_readers: Connections whose clients read a streamed response more slowly than it arrives.
        bad_requests: The number of client errors by status; 0 stands for connections closed because they sent nothing.
        backlogged: Connections on which the kernel has not accepted all of a large response.
        reclaimed_at_us: When memory was reclaimed last.
        unseen_departures: How often it was unknown whether a client is still connected, and its request was not sent.
        draining: Connections are closed after their responses.
    """

    def __init__(
        self,
        dispatcher: RequestDispatcher,
        request_parser: RequestParser,
        descriptor_budget: DescriptorBudget,
        max_buffered_body_bytes: int,
    ) -> None:
        self.loop: asyncio.AbstractEventLoop = asyncio.get_running_loop()
        self.dispatcher = dispatcher
        self.request_parser = request_parser
        self.descriptor_budget = descriptor_budget
        dispatcher.pool.on_descriptor_shortage = self.evict_one
        self.budget_full_since: int | None = None
        self.ledger = dispatcher.pool.ledger
        self.max_buffered_body_bytes = max_buffered_body_bytes
        self.open: set[ConnectionState] = set()
        self.silent: dict[ConnectionState, int] = {}
        self.receiving: dict[ConnectionState, int] = {}
        self.idle: dict[ConnectionState, int] = {}
        self.lingering: dict[ConnectionState, int] = {}
        self.slow_readers: dict[ConnectionState, int] = {}
        self.bad_requests: dict[int, int] = {}
        self.backlogged: set[HeldBytes] = set()
        self.reclaimed_at_us = 0
        self.refused_connections = 0
        self.unseen_departures = 0
        self.health_check_failing = False
        self.draining = False
        self.in_standby = False
        self.standby_since = 0
        self.listener: Listener | None = None
        self.heartbeat = Heartbeat()
        self.input_scheduler = InputScheduler(self.loop)

    @property
    def buffered_body_bytes(self) -> int:
        """The number of body bytes buffered by all connections."""
        return self.ledger.bodies

    @property
    def max_buffered_body_bytes(self) -> int:
        """This process's share of the node's budget, which bodies may not exceed together with all other bytes."""
        return self.ledger.share

    @max_buffered_body_bytes.setter
    def max_buffered_body_bytes(self, size: int) -> None:
        """Sets this process's share of the node's budget."""
        self.ledger.set_share(size)

    def listen(self, sock: socket.socket, backlog: int) -> None:
        """Opens the listener; connections stay in its backlog until `start_accepting` is called."""
        if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            sock.listen(backlog)
        self.listener = Listener(
            sock,
            lambda unread_interval: ClientConnection(self, unread_interval),
            self.accept,
            self.heartbeat,
            self.connection_setup_failed,
        )

    def start_accepting(self) -> None:
        """Starts accepting connections."""
        assert self.listener is not None
        self.heartbeat.start()
        self.listener.start()

    def accept(self) -> BacklogState:
        """Accepts connections from the backlog and refuses those beyond the descriptor budget.

        The budget keeps clients that only open connections from using the descriptors that connections to servers and
        other clients need.
        """
        assert self.listener is not None
        for accepted in range(MAX_ACCEPTS_PER_TURN):
            fits = self.descriptor_budget.client_connection_fits()
            if not fits and accepted:
                # It is unknown whether another connection is waiting, so no connection is evicted for it yet.
                return BacklogState.MORE
            fits = fits or self.evict_one()
            if not fits and self.leave_in_backlog():
                return BacklogState.BLOCKED
            connection = self.listener.accept()
            if connection is AcceptFailure.CONNECTION_GONE:
                continue
            if connection is AcceptFailure.SHORTAGE:
                return BacklogState.BLOCKED
            if isinstance(connection, AcceptFailure):
                # Only an empty backlog tells that none has waited: places that become free now and then do not.
                self.budget_full_since = None
                return BacklogState.EMPTY
            if fits:
                self.descriptor_budget.client_connections += 1
                self.listener.set_up(connection)
            else:
                self.refuse(connection)
        return BacklogState.MORE

    def leave_in_backlog(self) -> bool:
        """Pauses accepting; returns False if connections have waited for `DESCRIPTOR_WAIT_US` or the node drains."""
        now = monotonic_us()
        if self.budget_full_since is None:
            self.budget_full_since = now
        if self.draining or now - self.budget_full_since > DESCRIPTOR_WAIT_US or self.listener is None:
            return False
        self.listener.pause(BACKLOG_RECHECK_S)
        return True

    def refuse(self, connection: socket.socket) -> None:
        """Closes an accepted connection that exceeds the descriptor budget."""
        self.refused_connections += 1
        connection.close()
        self.dispatcher.connection_closed(ClosedConnection("client", "", CloseReason.DESCRIPTOR_SHORTAGE))

    def connection_setup_failed(self) -> None:
        """Returns the descriptor of an accepted connection that could not be set up to the budget."""
        self.descriptor_budget.client_connections -= 1

    async def drain_listener(self, deadline: float, *, shared: bool = False) -> None:
        """Accepts the connections in the backlog and closes the listener.

        Closing the listener resets the connections in its backlog, and a request already sent on one of them counts as
        received. New connections are therefore refused first: otherwise a node that accepts slowly could reach its
        deadline while connections still arrive. Once none arrives, the backlog is emptied beyond the deadline.

        Args:
            deadline: The event loop time after which no further connections are accepted.
            shared: Another process may have the same listening socket; new connections are left to it.
        """
        assert self.listener is not None
        self.listener.stop()
        if not shared:
            refused = await self.listener.refuse_new()
            deadline += BACKLOG_GRACE_S if refused else 0.0
        await self.accept_until_empty(deadline)
        await self.listener.close()

    async def accept_until_empty(self, deadline: float) -> None:
        """Accepts connections until the backlog is empty, or until `deadline` in event loop time."""
        assert self.listener is not None
        while (backlog := self.accept()) is not BacklogState.EMPTY and self.loop.time() < deadline:
            self.listener.stop()
            await asyncio.sleep(0 if backlog is BacklogState.MORE else BACKLOG_RECHECK_S)

    async def close_listener_at_once(self) -> None:
        """Stops accepting immediately; connections in the backlog are left to the process that shares the socket."""
        assert self.listener is not None
        self.draining = True
        await self.listener.close()

    def enter_standby(self) -> None:
        """Enters standby: health checks fail, and connections are closed after their responses.

        Idle connections are closed after `STANDBY_DRAIN_US`, when clients have had time to notice.
        """
        self.set_standby(standby=True)

    def leave_standby(self) -> None:
        """Leaves standby: health checks pass, and connections are kept open."""
        self.set_standby(standby=False)

    def set_standby(self, *, standby: bool) -> None:
        """Sets every attribute that standby affects."""
        self.in_standby = self.health_check_failing = self.draining = standby
        self.standby_since = now = monotonic_us()
        self.dispatcher.deadlines.standby_applies_from_us = now + STANDBY_STREAMING_US if standby else None

    def evict_one(self) -> bool:
        """Closes a connection without an open request to free a descriptor; returns whether there was one.

        Lingering and silent connections are evicted first, then idle client connections, idle connections to servers,
        and finally client connections with a stalled head.
        """
        for group, grace in (
            (self.lingering, EVICTION_GRACE_US),
            (self.silent, EVICTION_GRACE_US),
            (self.idle, 0),
        ):
            for connection, since in group.items():
                if monotonic_us() - since < grace:
                    break
                if not connection.has_unread_data():
                    self.evict(connection)
                    return True
        if self.descriptor_budget.upstream_exceeds_minimum() and self.dispatcher.pool.close_one_idle():
            return True
        stalled = self.longest_stalled_head()
        if stalled is None:
            return False
        self.evict(stalled)
        return True

    def longest_stalled_head(self) -> ConnectionState | None:
        """Returns the connection that has waited longest for the rest of a head, beyond `STALLED_HEAD_US`."""
        before = monotonic_us() - STALLED_HEAD_US
        stalled = (
            c for c in self.receiving if c.receiving and not c.head_complete and c.last_data_us < before
        )
        return min(stalled, key=lambda c: c.last_data_us, default=None)

    def evict(self, connection: ConnectionState) -> None:
        """Closes a connection immediately and treats it as closed, although its descriptor is freed slightly later."""
        self.unmark(connection)
        self.lingering.pop(connection, None)
        connection.abort(CloseReason.DESCRIPTOR_SHORTAGE)

    def connection_opened(self, connection: ConnectionState) -> None:
        """Adds a connection that was set up; it is silent until its first byte."""
        self.open.add(connection)
        self.ledger.connection_opened()
        self.silent[connection] = monotonic_us()

    def connection_closed(self, connection: ConnectionState) -> None:
        """Removes a connection that was closed."""
        self.open.discard(connection)
        self.ledger.connection_closed()
        self.descriptor_budget.client_connections -= 1
        self.unmark(connection)
        self.lingering.pop(connection, None)
        self.slow_readers.pop(connection, None)
        self.backlogged.discard(connection)

    def count_bad_request(self, status: int) -> None:
        """Counts a client error by its status; 0 stands for a connection closed because it sent nothing."""
        self.bad_requests[status] = self.bad_requests.get(status, 0) + 1

    def mark_receiving(self, connection: ConnectionState) -> None:
        """Starts the receive timeout."""
        self.unmark(connection)
        self.receiving[connection] = monotonic_us()

    def mark_idle(self, connection: ConnectionState) -> None:
        """Starts the idle timeout."""
        self.unmark(connection)
        self.idle[connection] = monotonic_us()

    def mark_slow_reader(self, connection: ConnectionState) -> None:
        """Starts the timeout for a client that does not read its response."""
        self.unmark(connection)
        self.slow_readers[connection] = monotonic_us()

    def mark_waiting_for_reader(self, connection: ConnectionState) -> None:
        """Looks at a connection whose requests wait again later; its first wait starts the timeout of a slow reader."""
        self.backlogged.add(connection)
        if connection not in self.slow_readers:
            self.mark_slow_reader(connection)

    def mark_lingering(self, connection: ConnectionState) -> None:
        """Starts the timeout for closing a connection after its last response."""
        self.unmark(connection)
        self.lingering[connection] = monotonic_us()

    def unmark(self, connection: ConnectionState) -> None:
        """Stops the timeouts of a silent, receiving or idle connection."""
        for group in (self.silent, self.receiving, self.idle):
            group.pop(connection, None)

    def unmark_slow_reader(self, connection: HeldBytes) -> None:
        """Stops the timeout for a slow reader."""
        self.slow_readers.pop(cast(ConnectionState, connection), None)

    def sweep(self) -> None:
        """Closes connections whose timeouts have expired."""
        self.shed_excess()
        for connection in list(self.backlogged):
            connection.settle_backlog()
        # The event loop does not tell of a close while reading is paused.
        for connection in [each for each in self.open if each.reading_paused]:
            connection.close_if_departed()
        now = monotonic_us()
        standby_drained = self.in_standby and now > self.standby_since + STANDBY_DRAIN_US
        self.sweep_receiving(
            self.silent, now, STANDBY_DRAIN_US // 2 if standby_drained else RECEIVE_TIMEOUT_US
        )
        self.sweep_receiving(self.receiving, now, RECEIVE_TIMEOUT_US)
        reason = CloseReason.SHUTDOWN if standby_drained else CloseReason.IDLE
        for connection in pop_added_before(self.idle, now if standby_drained else now - IDLE_TIMEOUT_US):
            if not connection.close_if_nothing_unread(reason) and connection.transport is not None:
                self.mark_idle(connection)
        for group, timeout in (
            (self.lingering, LINGER_TIMEOUT_US),
            (self.slow_readers, SLOW_READER_TIMEOUT_US),
        ):
            for connection in pop_added_before(group, now - timeout):
                connection.abort(CloseReason.RESPONSE_NOT_READ)

    def sweep_receiving(self, group: dict[ConnectionState, int], now: int, timeout: int) -> None:
        """Times out connections that have sent nothing for too long, unless data is waiting to be read."""
        for connection in pop_added_before(group, now - timeout):
            if connection.has_unread_data():
                group[connection] = now
            else:
                connection.timed_out()

    def close_idle(self) -> None:
        """Closes idle connections; silent ones are kept, because a request may be on its way."""
        for connection in list(self.idle):
            connection.close_if_nothing_unread(CloseReason.SHUTDOWN)

    def close_all(self) -> None:
        """Closes all connections after buffered data has been sent."""
        for connection in list(self.open):
            connection.close(CloseReason.SHUTDOWN)

    def unsent_bytes(self) -> int:
        """Returns the number of response bytes that the kernel has not accepted yet."""
        return sum(connection.unsent_bytes() for connection in self.open)

    def has_open_requests(self) -> bool:
        """Returns whether a request that was received, or is waiting to be read, has no response yet."""
        return any(c.busy or c.pending or c.has_unread_data() for c in self.open)
