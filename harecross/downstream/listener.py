"""A listening socket on which a failed system call for one connection does not affect the others.

The server of the event loop closes its listener permanently if accept(2) fails with ENOBUFS, and accepts connections
only to close them when descriptors run out.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from contextlib import suppress

from harecross.downstream.accept_filter import refuse_new_connections
from harecross.downstream.read_delay import Heartbeat, UnreadInterval
from harecross.platform.clock import monotonic_us
from harecross.platform.log import log_line
from harecross.platform.system_errors import AcceptFailure, classify_accept_error

# The number of immediate attempts of a system call that fails because the machine is short of a resource.
MAX_SHORTAGE_TRIES = 8
# The pause before the next attempts after such a shortage.
SHORTAGE_PAUSE_S = 0.005
# The time in which a handshake in progress completes between machines of one network.
HANDSHAKE_S = 0.005
# The maximum number of attempts to set up one accepted connection, `SHORTAGE_PAUSE_S` apart.
MAX_SETUP_TRIES = 200


class Listener:
    """One listening socket.

    `on_ready` is called when connections are waiting, and accepts them with `accept`. After a resource shortage it is
    called again without another event.

    Attributes:
        waiting_since: The earliest time at which connections in the backlog may have arrived, in monotonic
            microseconds; None if the backlog is empty.
        earliest_arrival_us: The value of `waiting_since` for the connection accepted last.
    """

    def __init__(
        self,
        sock: socket.socket,
        protocol_factory: Callable[[UnreadInterval], asyncio.BaseProtocol],
        on_ready: Callable[[], object],
        heartbeat: Heartbeat | None = None,
        on_setup_failed: Callable[[], None] = lambda: None,
    ) -> None:
        """`sock` is bound and listening; `protocol_factory` creates the protocol of one connection.

        `on_setup_failed` is called for each accepted connection that could not be set up.
        """
        sock.setblocking(False)
        self.loop = asyncio.get_running_loop()
        self.sock = sock
        self.protocol_factory = protocol_factory
        self.on_ready = on_ready
        self.on_setup_failed = on_setup_failed
        self.setup_tasks: set[asyncio.Task[None]] = set()
        self.resume_timer: asyncio.TimerHandle | None = None
        self.shortage_logged = False
        self.heartbeat = heartbeat or Heartbeat()
        self.waiting_since: int | None = monotonic_us()
        self.earliest_arrival_us = 0

    def start(self) -> None:
        """Starts accepting connections."""
        self.resume_timer = None
        if self.sock.fileno() >= 0:
            self.loop.add_reader(self.sock, self.on_ready)
            self.loop.call_soon(self.accept_backlog)

    def accept_backlog(self) -> None:
        """Accepts the connections that arrived while the listener was not watched.

        Connections that arrive later then do not count as having waited for as long.
        """
        if self.resume_timer is None and self.sock.fileno() >= 0:
            self.on_ready()

    def pause(self, seconds: float) -> None:
        """Leaves connections in the backlog for this many seconds."""
        self.stop()
        self.resume_timer = self.loop.call_later(seconds, self.start)

    def stop(self) -> None:
        """Leaves connections in the backlog until `start` is called."""
        if self.resume_timer is not None:
            self.resume_timer.cancel()
            self.resume_timer = None
        if self.waiting_since is None:
            self.waiting_since = monotonic_us()
        if self.sock.fileno() >= 0:
            self.loop.remove_reader(self.sock)

    def accept(self) -> socket.socket | AcceptFailure:
        """Accepts the next connection from the backlog.

        After a resource shortage the listener pauses, because the event loop would otherwise spin.
        """
        for _ in range(MAX_SHORTAGE_TRIES):
            try:
                connection, _ = self.sock.accept()
            except OSError as error:
                failure = classify_accept_error(error)
                if failure is AcceptFailure.NO_CONNECTION:
                    self.waiting_since = None
                if failure is not AcceptFailure.SHORTAGE:
                    return failure
                last_error = error
                continue
            self.log_shortage(None)
            if self.waiting_since is None:
                now = monotonic_us()
                self.waiting_since = now - self.heartbeat.lag_us(now)
            # `waiting_since` is kept, because later connections in the backlog may have waited as long.
            self.earliest_arrival_us = self.waiting_since
            return connection
        self.log_shortage(last_error)
        self.pause(SHORTAGE_PAUSE_S)
        return AcceptFailure.SHORTAGE

    def log_shortage(self, error: OSError | None) -> None:
        """Logs the start or the end of a resource shortage."""
        if self.shortage_logged != (error is not None):
            self.shortage_logged = error is not None
            log_line(
                f"accepting connections failed, retrying: {error.strerror}"
                if error
                else "accepting connections again"
            )

    def set_up(self, connection: socket.socket) -> None:
        """Creates the protocol of an accepted connection in a task."""
        connection.setblocking(False)
        task = self.loop.create_task(self.connect_protocol(connection, self.earliest_arrival_us))
        self.setup_tasks.add(task)
        task.add_done_callback(self.setup_tasks.discard)

    async def connect_protocol(self, connection: socket.socket, earliest_arrival_us: int) -> None:
        """Connects an accepted socket to its protocol; retries on errors and ignores a failure to set TCP_NODELAY."""
        with suppress(OSError):
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for _ in range(MAX_SETUP_TRIES):
            try:
                await self.loop.connect_accepted_socket(
                    lambda: self.protocol_factory(UnreadInterval(monotonic_us(), earliest_arrival_us)),
                    connection,
                )
                return
            except OSError as error:
                last_error = error
            await asyncio.sleep(SHORTAGE_PAUSE_S)
        log_line(f"closing an accepted connection that could not be set up: {last_error.strerror}")
        connection.close()
        self.on_setup_failed()

    async def refuse_new(self) -> bool:
        """Makes the kernel drop new handshakes; handshakes in progress complete and can be accepted.

        Returns whether the kernel does so.

        Otherwise, connections that the kernel completes between the last accept and the close would be reset. Do not
        call this on a socket that another process shares, because that process would get no connections either.
        """
        for _ in range(MAX_SHORTAGE_TRIES):
            try:
                refuse_new_connections(self.sock)
            except OSError as error:
                last_error = error
                await asyncio.sleep(SHORTAGE_PAUSE_S)
            else:
                await asyncio.sleep(HANDSHAKE_S)
                return True
        log_line(
            f"connections established just before the listener closes may be reset: {last_error.strerror}"
        )
        return False

    async def close(self) -> None:
        """Closes the socket and waits for connections that are being set up."""
        self.stop()
        self.sock.close()
        if self.setup_tasks:
            await asyncio.wait(self.setup_tasks)
