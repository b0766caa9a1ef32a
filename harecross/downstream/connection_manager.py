"""All client connections: accepting, eviction where descriptors run out, and timeouts."""

from __future__ import annotations

import asyncio
import socket
from enum import Enum

from harecross.dispatch.close_reasons import ClosedConnection, CloseReason
from harecross.dispatch.dispatcher import RequestDispatcher
from harecross.downstream.client_connection import ClientConnection
from harecross.downstream.connection_state import RECEIVE_TIMEOUT_US, ConnectionState
from harecross.downstream.listener import Listener
from harecross.downstream.read_delay import Heartbeat
from harecross.http.request_parser import RequestParser
from harecross.platform.clock import monotonic_us
from harecross.platform.descriptor_budget import DescriptorBudget
from harecross.platform.system_errors import AcceptFailure

IDLE_TIMEOUT_US = 5_000_000
SLOW_READER_TIMEOUT_US = 10_000_000  # a client that reads nothing of a large response
LINGER_TIMEOUT_US = 1_000_000  # for the close of a connection after its last response
STANDBY_DRAIN_US = (
    1_200_000  # after which a node in standby closes idle connections; none may be open after 4 s
)
EVICTION_GRACE_US = 200_000  # a connection that is silent or lingers is not evicted before
STALLED_HEAD_US = 900_000  # nor one without new bytes of a head; slow clients send some every 0.8 s
DESCRIPTOR_WAIT_US = 200_000  # connections wait in the backlog for a descriptor before they are refused
BACKLOG_RECHECK_S = 0.005
MAX_ACCEPTS_PER_TURN = 16  # each takes a descriptor before it can be refused


class BacklogState(Enum):
    """What is left of the connections that had come."""

    EMPTY = "no connection waits"
    MORE = "another connection may wait"
    BLOCKED = "connections wait for a descriptor, or until a shortage of this machine is over"


def pop_added_before(group: dict[ConnectionState, int], time_us: int) -> list[ConnectionState]:
    """Removes the connections that were added by that time; the group is in order of time."""
    old = []
    for connection, since in group.items():
        if since > time_us:
            break
        old.append(connection)
    for connection in old:
        del group[connection]
    return old


class ConnectionManager:
    """The listener and its connections. A `ConnectionOwner`.

    `silent`, `receiving`, `idle`, `lingering` and `slow_readers` map connections to the time since when they are in
    that state, in order of time, because all timeouts of one state are equal. A connection is in one of them at most.
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
        self.budget_full_since: int | None = None  # no descriptor is left for the next connection
        self.buffered_body_bytes = 0  # over all connections
        self.max_buffered_body_bytes = max_buffered_body_bytes
        self.open: set[ConnectionState] = set()
        self.silent: dict[ConnectionState, int] = {}  # nothing has come yet
        self.receiving: dict[
            ConnectionState, int
        ] = {}  # part of a request has come, or a response is not read
        self.idle: dict[ConnectionState, int] = {}  # between two requests
        self.lingering: dict[ConnectionState, int] = {}  # had the last response
        self.slow_readers: dict[ConnectionState, int] = {}  # read a large response more slowly than it comes
        self.bad_requests: dict[int, int] = {}  # by status; 0 for connections closed for silence
        self.refused_connections = 0
        self.health_check_failing = False
        self.draining = False  # connections are closed after their responses
        self.in_standby = False
        self.standby_since = 0
        self.listener: Listener | None = None
        self.heartbeat = Heartbeat()

    # ---- the listener ---------------------------------------------------------------------------------

    def listen(self, sock: socket.socket, backlog: int) -> None:
        """Opens the listener; connections wait in its backlog until `start_accepting`."""
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
        """Accepts connections from now on."""
        assert self.listener is not None
        self.heartbeat.start()
        self.listener.start()

    def accept(self) -> BacklogState:
        """Accepts connections that have come; refuses those beyond the budget.

        The budget is kept so that clients that only open connections cannot take the descriptors that servers and other
        clients need.
        """
        assert self.listener is not None
        for accepted in range(MAX_ACCEPTS_PER_TURN):
            fits = self.descriptor_budget.client_connection_fits()
            if not fits and accepted:
                # Whether another one waits is not known: nothing is evicted for one that does not come.
                return BacklogState.MORE
            fits = fits or self.evict_one()
            if fits:
                self.budget_full_since = None
            elif self.leave_in_backlog():
                return BacklogState.BLOCKED
            connection = self.listener.accept()
            if connection is AcceptFailure.CONNECTION_GONE:
                continue
            if connection is AcceptFailure.SHORTAGE:
                return BacklogState.BLOCKED
            if isinstance(connection, AcceptFailure):
                return BacklogState.EMPTY
            if fits:
                self.descriptor_budget.client_connections += 1
                self.listener.set_up(connection)
            else:
                self.refuse(connection)
        return BacklogState.MORE

    def leave_in_backlog(self) -> bool:
        """Leaves connections in the backlog for a moment; False once they have waited long enough."""
        now = monotonic_us()
        if self.budget_full_since is None:
            self.budget_full_since = now
        if self.draining or now - self.budget_full_since > DESCRIPTOR_WAIT_US or self.listener is None:
            return False
        self.listener.pause(BACKLOG_RECHECK_S)
        return True

    def refuse(self, connection: socket.socket) -> None:
        """Closes a connection for which there is no descriptor."""
        self.refused_connections += 1
        connection.close()
        self.dispatcher.connection_closed(ClosedConnection("client", "", CloseReason.DESCRIPTOR_SHORTAGE))

    def connection_setup_failed(self) -> None:
        """An accepted connection could not be set up: its descriptor is free."""
        self.descriptor_budget.client_connections -= 1

    async def drain_listener(self, deadline: float, *, shared: bool = False) -> None:
        """Accepts what waits in the backlog, and closes the listener; `by` that time of the loop at the latest.

        Closing resets the connections in the backlog, and a request that was sent on one counts as received. Where
        another process may have the socket too (`shared`), new connections are left to it.
        """
        assert self.listener is not None
        self.listener.stop()
        await self.accept_until_empty(deadline)
        if not shared:
            await self.listener.refuse_new()
            await self.accept_until_empty(deadline)
        await self.listener.close()

    async def accept_until_empty(self, deadline: float) -> None:
        """Accepts connections until none waits, or until that time of the loop."""
        assert self.listener is not None
        while (backlog := self.accept()) is not BacklogState.EMPTY and self.loop.time() < deadline:
            self.listener.stop()
            await asyncio.sleep(0 if backlog is BacklogState.MORE else BACKLOG_RECHECK_S)

    async def close_listener_at_once(self) -> None:
        """Accepts nothing more: what waits in the backlog is for the process that shares the socket."""
        assert self.listener is not None
        self.draining = True
        await self.listener.close()

    # ---- standby --------------------------------------------------------------------------------------

    def enter_standby(self) -> None:
        """Sends clients away: the health check fails and each response closes its connection.

        Idle connections are closed once clients have had time to notice.
        """
        self.set_standby(standby=True)

    def leave_standby(self) -> None:
        """Accepts clients again."""
        self.set_standby(standby=False)

    def set_standby(self, *, standby: bool) -> None:
        """Sets all that standby changes."""
        self.in_standby = self.health_check_failing = self.draining = standby
        self.standby_since = monotonic_us()

    # ---- eviction -------------------------------------------------------------------------------------

    def evict_one(self) -> bool:
        """Closes a connection without an open request to free a descriptor; returns whether there was one.

        Connections that end or were silent go first, then idle ones of clients, of servers, and stalled heads.
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
        if self.descriptor_budget.upstream_may_release() and self.dispatcher.pool.close_one_idle():
            return True
        stalled = self.longest_stalled_head()
        if stalled is None:
            return False
        self.evict(stalled)
        return True

    def longest_stalled_head(self) -> ConnectionState | None:
        """The connection that has waited longest for the rest of a head."""
        before = monotonic_us() - STALLED_HEAD_US
        stalled = (
            c for c in self.receiving if c.receiving and not c.head_complete and c.last_data_us < before
        )
        return min(stalled, key=lambda c: c.last_data_us, default=None)

    def evict(self, connection: ConnectionState) -> None:
        """Closes a connection at once. It counts as closed, though its descriptor is free only a moment later."""
        self.unmark(connection)
        self.lingering.pop(connection, None)
        connection.abort(CloseReason.DESCRIPTOR_SHORTAGE)

    # ---- states of connections ------------------------------------------------------------------------

    def connection_opened(self, connection: ConnectionState) -> None:
        """The connection is set up; it is silent until its first byte."""
        self.open.add(connection)
        self.silent[connection] = monotonic_us()

    def connection_closed(self, connection: ConnectionState) -> None:
        """The connection is closed."""
        self.open.discard(connection)
        self.descriptor_budget.client_connections -= 1
        self.unmark(connection)
        self.lingering.pop(connection, None)
        self.slow_readers.pop(connection, None)

    def count_bad_request(self, status: int) -> None:
        """Counts an error of a client by its status; 0 for a connection closed for silence."""
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

    def mark_lingering(self, connection: ConnectionState) -> None:
        """Starts the timeout for the end of a connection that had its last response."""
        self.unmark(connection)
        self.lingering[connection] = monotonic_us()

    def unmark(self, connection: ConnectionState) -> None:
        """Stops the timeouts of a silent, receiving or idle connection."""
        for group in (self.silent, self.receiving, self.idle):
            group.pop(connection, None)

    def unmark_slow_reader(self, connection: ConnectionState) -> None:
        """Stops the timeout for a slow reader."""
        self.slow_readers.pop(connection, None)

    # ---- timeouts -------------------------------------------------------------------------------------

    def sweep(self) -> None:
        """Ends what has taken longer than its timeout."""
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
        """Ends connections that have sent nothing for too long, unless something lies unread."""
        for connection in pop_added_before(group, now - timeout):
            if connection.has_unread_data():
                group[connection] = now
            else:
                connection.timed_out()

    def close_idle(self) -> None:
        """Closes idle connections; silent ones stay, because a request may be on its way."""
        for connection in list(self.idle):
            connection.close_if_nothing_unread(CloseReason.SHUTDOWN)

    def close_all(self) -> None:
        """Closes all connections once what was written has been sent."""
        for connection in list(self.open):
            connection.close(CloseReason.SHUTDOWN)

    def has_open_requests(self) -> bool:
        """Whether a request that was received, or lies unread, has no response yet."""
        return any(c.busy or c.pending or c.has_unread_data() for c in self.open)
