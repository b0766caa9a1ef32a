"""A listening socket: connections are taken one by one, and no failure of a system call costs another one its place.

The event loop's own server closes its listener for good where accept(2) fails with ENOBUFS, and takes connections only
to close them where descriptors run out.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from contextlib import suppress

from harecross.downstream.accept_filter import refuse_new_connections
from harecross.downstream.read_delay import Heartbeat, WaitingSocket
from harecross.platform.clock import monotonic_us
from harecross.platform.log import log_line
from harecross.platform.system_errors import AcceptFailure, accept_failure

SHORTAGE_TRIES = 8  # in a row where this machine is short of something...
SHORTAGE_PAUSE = 0.005  # ...and seconds until the next ones
HANDSHAKE = 0.005  # seconds in which a handshake that has begun ends, between machines near one another
WELCOME_TRIES = 200  # of setting up one connection, each `SHORTAGE_PAUSE` after the one before


class Listener:
    """One listening socket. `ready` is called when connections wait, and takes them with `take`.

    After a shortage it is called again by itself.
    """

    def __init__(
        self,
        sock: socket.socket,
        protocol: Callable[[WaitingSocket], asyncio.Protocol],
        ready: Callable[[], object],
        heartbeat: Heartbeat | None = None,
    ) -> None:
        """`sock` is bound and listens; `protocol` makes one for each connection."""
        sock.setblocking(False)
        self.loop = asyncio.get_running_loop()
        self.sock = sock
        self.protocol = protocol
        self.ready = ready
        self.dropped: Callable[[], None] = lambda: None  # a connection that was taken came to nothing
        self.tasks: set[asyncio.Task[None]] = set()  # connections that are being set up
        self.resuming: asyncio.TimerHandle | None = None
        self.short = False  # this machine is: said once in the log
        self.heartbeat = heartbeat or Heartbeat()
        # What waits may have come since then, in monotonic microseconds; None while nothing does.
        self.waiting_since: int | None = monotonic_us()
        self.came_after = 0  # the connection taken last did

    def start(self) -> None:
        """Takes connections from now on."""
        self.resuming = None
        if self.sock.fileno() >= 0:
            self.loop.add_reader(self.sock, self.ready)
            self.loop.call_soon(self.look)

    def look(self) -> None:
        """What has come while nobody watched is taken now, so that what comes later has not waited."""
        if self.resuming is None and self.sock.fileno() >= 0:
            self.ready()

    def pause(self, seconds: float) -> None:
        """Leaves what comes in the backlog for so long."""
        self.stop()
        self.resuming = self.loop.call_later(seconds, self.start)

    def stop(self) -> None:
        """Takes no more until `start`. Connections that come wait in the backlog."""
        if self.resuming is not None:
            self.resuming.cancel()
            self.resuming = None
        if self.waiting_since is None:
            self.waiting_since = monotonic_us()
        if self.sock.fileno() >= 0:
            self.loop.remove_reader(self.sock)

    def take(self) -> socket.socket | AcceptFailure:
        """The next connection that waits.

        Guards against: while the machine is short of something the loop calls again and again, and does nothing else.
        """
        for _ in range(SHORTAGE_TRIES):
            try:
                connection, _ = self.sock.accept()
            except OSError as error:
                failure = accept_failure(error)
                if failure is AcceptFailure.NONE_WAITS:
                    self.waiting_since = None
                if failure is not AcceptFailure.SHORTAGE:
                    return failure
                last = error
                continue
            self.note_shortage(None)
            if self.waiting_since is None:
                now = monotonic_us()
                self.waiting_since = now - self.heartbeat.behind(now)
            # Guards against: what stands far behind in a crowd passes for one that came when its turn did.
            self.came_after = self.waiting_since
            return connection
        self.note_shortage(last)
        self.pause(SHORTAGE_PAUSE)
        return AcceptFailure.SHORTAGE

    def note_shortage(self, error: OSError | None) -> None:
        """Says in the log that a shortage has begun, or that it is over."""
        if self.short != (error is not None):
            self.short = error is not None
            log_line(f"connections wait: {error.strerror}" if error else "connections are taken again")

    def welcome(self, connection: socket.socket) -> None:
        """Hands a connection to its protocol."""
        connection.setblocking(False)
        task = self.loop.create_task(self.set_up(connection, self.came_after))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def set_up(self, connection: socket.socket, came_after: int) -> None:
        """Guards against: a socket option that cannot be set at this moment costs the client its connection."""
        with suppress(OSError):
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for _ in range(WELCOME_TRIES):
            try:
                await self.loop.connect_accepted_socket(
                    lambda: self.protocol(WaitingSocket(monotonic_us(), came_after)), connection
                )
                return
            except OSError as error:
                failed = error
            await asyncio.sleep(SHORTAGE_PAUSE)
        log_line(f"a connection could not be set up: {failed.strerror}")
        connection.close()
        self.dropped()

    async def refuse_new(self) -> None:
        """New handshakes get no answer from now on; those that have begun end, and wait to be taken.

        Guards against: what the kernel takes between the last accept and the close is reset. Not for a socket that
        another process shares, which would get no connection either.
        """
        for _ in range(SHORTAGE_TRIES):
            try:
                refuse_new_connections(self.sock)
            except OSError as error:
                failed = error
                await asyncio.sleep(SHORTAGE_PAUSE)
            else:
                await asyncio.sleep(HANDSHAKE)
                return
        log_line(f"connections that come at the very end may be reset: {failed.strerror}")

    async def close(self) -> None:
        """Closes the socket, and waits for connections that are being set up."""
        self.stop()
        self.sock.close()
        if self.tasks:
            await asyncio.wait(self.tasks)
