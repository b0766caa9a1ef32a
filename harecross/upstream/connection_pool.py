"""All connections to servers: connects, idle connections, health checks and time limits.

A connection carries one exchange at a time. Nothing here sends an exchange twice. Times in microseconds.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import cast

from harecross.dispatch.close_reasons import ClosedConnection, CloseReason
from harecross.http.body_buffer import MAX_STREAM_BUFFER_BYTES, stream_buffer_bytes
from harecross.http.request_parser import UPSTREAM_HOST
from harecross.http.response_parser import parse_load_report, report_positions
from harecross.interface import Outcome
from harecross.platform.clock import monotonic_us
from harecross.platform.descriptor_budget import DescriptorBudget
from harecross.platform.peer_state import is_quiet
from harecross.platform.system_errors import is_local_shortage
from harecross.upstream.connection import ServerConnection, ServerProcess
from harecross.upstream.exchange import NO_DEADLINE_US, Exchange, HealthCheck

IDLE_MARGIN_US = 1_500_000  # an idle connection is closed this long before its server would close it
DEFAULT_STREAMING_BUDGET_BYTES = 1 << 25  # for all streamed responses together
STREAM_START_DIVISOR = 4  # one in so many descriptors may carry a streamed response that begins
STALL_TIMEOUT_US = 6_000_000  # a streamed body that its server neither reads nor sends on


class ConnectionPool:
    """Every connection of this node to servers."""

    def __init__(
        self,
        connect_timeout: int,
        idle_time: int,
        report_fields: Sequence[str],
        descriptors: DescriptorBudget,
    ) -> None:
        """`idle_time`: after which servers close an idle connection. `report_fields`: of load reports, in order."""
        self.loop = asyncio.get_running_loop()
        self.connect_timeout_s = connect_timeout / 1e6
        self.idle_time = max(idle_time - IDLE_MARGIN_US, idle_time // 2)
        self.report_positions = report_positions(report_fields)
        self.report_size = len(report_fields)
        self.descriptors = descriptors
        self.on_connection_closed: Callable[[ClosedConnection], None] = lambda closed: None
        # Closes a client connection for the sake of a new one to a server; returns whether it has.
        self.on_descriptor_shortage: Callable[[], bool] = lambda: False
        self.load_reports = 0  # valid ones received
        self.malformed_responses = 0
        self.processes: dict[int, ServerProcess] = {}  # by server
        self.connect_tasks: set[asyncio.Task[None]] = set()
        self.streaming: set[ServerConnection] = set()  # those that carry a streamed body
        self.streaming_budget_bytes = 0  # for all streamed responses together
        self.stream_buffer_bytes = MAX_STREAM_BUFFER_BYTES  # the kernel's, for each streamed response
        # Size of the kernel's receive buffer before it is known whether the response will be streamed.
        self.initial_buffer_bytes = MAX_STREAM_BUFFER_BYTES
        self.set_streaming_budget(DEFAULT_STREAMING_BUDGET_BYTES)

    # ---- server processes -----------------------------------------------------------------------------

    @property
    def open_connections(self) -> int:
        """Connections to servers, those that are being opened among them."""
        return self.descriptors.upstream_connections

    def update(self, server: int, address: str, started_at: int) -> None:
        """A server is in service at `address`. A connection to an earlier process or address is not used for it."""
        host, _, port = address.rpartition(":")
        old = self.processes.get(server)
        if old is not None:
            if (old.host, old.port, old.started_at) == (host, int(port), started_at):
                old.in_service = True
                return
            self.take_out_of_service(server)
        self.processes[server] = ServerProcess(server, host, int(port), started_at)

    def take_out_of_service(self, server: int) -> None:
        """Sends nothing new to the server; responses that are waited for still count."""
        process = self.processes.get(server)
        if process is not None:
            process.in_service = False
            self.close_idle_to_process(process, CloseReason.SERVER_OUT_OF_SERVICE)

    def remove_if_unused(self, server: int) -> bool:
        """Removes a server that is out of service and has no connection; returns whether it is gone."""
        process = self.processes.get(server)
        if process is None:
            return True
        if process.in_service or process.connection_count:
            return False
        del self.processes[server]
        return True

    def close_idle_connections(self, server: int) -> None:
        """Closes the idle connections to an ejected server."""
        process = self.processes.get(server)
        if process is not None:
            self.close_idle_to_process(process, CloseReason.EJECTED)

    def close_idle_to_process(self, process: ServerProcess, reason: CloseReason) -> None:
        """Closes the idle connections to one process."""
        for connection in list(process.idle):
            connection.discard(reason)
        process.idle.clear()

    # ---- sending --------------------------------------------------------------------------------------

    def send(self, exchange: Exchange) -> None:
        """Sends on the idle connection used last, or on a new one. The outcome never comes within this call."""
        now = monotonic_us()
        exchange.started_us = now
        process = self.processes.get(exchange.server)
        exchange.process = process
        if (
            process is None
            or not process.in_service
            or min(exchange.deadline_us, exchange.start_by_us) <= now
        ):
            self.loop.call_soon(self.finish, exchange, Outcome.NOT_SENT)
            return
        if exchange.deadline_us < NO_DEADLINE_US:
            self.start_deadline_timer(exchange)
        fits = self.descriptors.upstream_connection_fits()
        connection = self.acquire_idle(process, now)
        if connection is None and not fits:
            # Reusing a connection before its reuse delay is over is better than closing another to make room.
            connection = self.acquire_idle(process, now, honor_reuse_delay=False)
        if connection is not None:
            connection.start(exchange, now)
            return
        # Beyond its descriptors the node could not even accept connections to shed their requests.
        if not (fits or self.close_one_idle() or self.on_descriptor_shortage()):
            self.loop.call_soon(self.finish, exchange, Outcome.NOT_SENT)
            return
        self.descriptors.upstream_connections += 1
        process.connection_count += 1
        task = self.loop.create_task(self.connect(exchange, process))
        self.connect_tasks.add(task)
        task.add_done_callback(self.connect_tasks.discard)

    def acquire_idle(
        self, process: ServerProcess, now: int, *, honor_reuse_delay: bool = True
    ) -> ServerConnection | None:
        """Takes the most recently used idle connection on which no bytes arrived; returns None if there is none.

        With `honor_reuse_delay`, a connection whose reuse delay is not over is skipped. The kernel may already hold
        a close or bytes that this process has not read: a request written to such a connection could be reset
        although the server ran it, or take those bytes for its response.
        """
        idle = process.idle
        at = len(idle) - 1
        while at >= 0:
            connection = idle[at]
            if now - connection.idle_since_us >= self.idle_time:
                for old in idle[: at + 1]:  # it, and all that were used before it
                    old.discard(CloseReason.IDLE)
                del idle[: at + 1]
                return None
            if connection.reusable_from_us <= now or not honor_reuse_delay:
                del idle[at]
                if (
                    connection.transport is not None
                    and not connection.transport.is_closing()
                    and is_quiet(connection.descriptor)
                ):
                    return connection
                connection.discard(CloseReason.PEER)
            at -= 1
        return None

    def start_deadline_timer(self, exchange: Exchange) -> None:
        """Abandons the exchange at its deadline."""
        delay_us = exchange.deadline_us - monotonic_us()
        exchange.deadline_timer = self.loop.call_later(delay_us / 1e6, self.deadline_passed, exchange)

    def make_health_check(
        self, server: int, on_ended: Callable[[Exchange, Outcome, bytes, Sequence[float]], None]
    ) -> Exchange:
        """Returns a health check, to be sent; its timeout is that of a connect."""
        path = b"/_load" if self.report_size else b"/ping"
        head = b"GET %s HTTP/1.1\r\nHost: %s\r\n" % (path, UPSTREAM_HOST)
        deadline_us = monotonic_us() + int(self.connect_timeout_s * 1e6)
        return HealthCheck(server, head, b"", deadline_us, on_ended)

    def close_one_idle(self) -> bool:
        """Closes an idle connection, so that a new one can be opened; returns whether there was one."""
        for process in self.processes.values():
            if process.idle:
                process.idle.pop(0).discard(CloseReason.DESCRIPTOR_SHORTAGE)
                return True
        return False

    async def connect(self, exchange: Exchange, process: ServerProcess) -> None:
        """Opens a connection for an exchange and starts it there, if that is still wanted."""
        connection = ServerConnection(self, process)
        task = cast(asyncio.Task[None], asyncio.current_task())
        timer = self.loop.call_later(self.connect_timeout_s, task.cancel)
        try:
            await self.loop.create_connection(lambda: connection, process.host, process.port)
        except (OSError, asyncio.CancelledError) as error:
            self.connect_failed(connection, exchange, error)
        else:
            self.start_on_new(connection, exchange)
        finally:
            timer.cancel()

    def connect_failed(
        self, connection: ServerConnection, exchange: Exchange, error: OSError | asyncio.CancelledError
    ) -> None:
        """A connection could not be opened, or not in time; a shortage of this machine is no fault of the server."""
        if connection.transport is not None:
            connection.discard(CloseReason.CONNECT_TIMEOUT)
        else:
            self.descriptors.upstream_connections -= 1
            connection.process.connection_count -= 1
        is_local = isinstance(error, OSError) and is_local_shortage(error)
        self.finish(exchange, Outcome.NOT_SENT if is_local else Outcome.CONNECT_FAILED)

    def start_on_new(self, connection: ServerConnection, exchange: Exchange) -> None:
        """Starts an exchange on the connection that was opened for it.

        While it was opened, the server may have gone out of service, the time may have run out or the client may
        have disconnected. Not a byte was sent.
        """
        if exchange.finished:
            self.release(connection)
            return
        now = monotonic_us()
        too_late = min(exchange.deadline_us, exchange.start_by_us) <= now
        if not connection.process.in_service or too_late or not exchange.is_wanted():
            self.release(connection)
            self.finish(exchange, Outcome.NOT_SENT)
        elif connection.transport is None or connection.transport.is_closing():
            self.finish(exchange, Outcome.CONNECT_FAILED)
        else:
            connection.start(exchange, now)

    # ---- what connections report ----------------------------------------------------------------------

    def record_load_report(self, text: bytes) -> Sequence[float]:
        """Returns the load report in a header or body; () if it is none."""
        report = parse_load_report(text, self.report_positions, self.report_size) if text else ()
        self.load_reports += bool(report)
        return report

    def release(self, connection: ServerConnection) -> None:
        """Keeps an idle connection for the next exchange."""
        if (
            connection.process.in_service
            and connection.usable
            and connection.transport is not None
            and not connection.transport.is_closing()
        ):
            connection.idle_since_us = monotonic_us()
            connection.process.idle.append(connection)
        else:
            in_service = connection.process.in_service
            connection.discard(CloseReason.PEER if in_service else CloseReason.SERVER_OUT_OF_SERVICE)

    def remove(self, connection: ServerConnection) -> None:
        """The connection is closed."""
        self.descriptors.upstream_connections -= 1
        connection.process.connection_count -= 1
        self.streaming.discard(connection)
        if connection in connection.process.idle:
            connection.process.idle.remove(connection)

    # ---- the end of exchanges -------------------------------------------------------------------------

    def finish(
        self, exchange: Exchange, outcome: Outcome, body: bytes = b"", report: Sequence[float] = ()
    ) -> None:
        """Gives an exchange its outcome; a second one is dropped."""
        if exchange.finished:
            return
        exchange.finished = True
        if exchange.deadline_timer is not None:
            exchange.deadline_timer.cancel()
        exchange.connection = None
        exchange.on_ended(exchange, outcome, body, report)

    def deadline_passed(self, exchange: Exchange) -> None:
        """The exchange's deadline has passed."""
        self.abandon(exchange, Outcome.TIMEOUT)

    def abandon(self, exchange: Exchange, outcome: Outcome) -> None:
        """Ends an exchange with this outcome, or as not sent if its last byte has not left this process.

        Its connection is closed; one that is still being opened is kept for others.
        """
        if exchange.finished:
            return
        connection = exchange.connection
        if connection is None:
            outcome = Outcome.NOT_SENT
        else:
            if not connection.sent:
                outcome = Outcome.NOT_SENT
            connection.abandon_exchange(exchange)
        self.finish(exchange, outcome)

    # ---- streamed bodies ------------------------------------------------------------------------------

    def set_streaming_budget(self, budget_bytes: int) -> None:
        """Limits what all streamed responses together may keep in memory; those under way follow with the next sweep.

        A response that begins gets its part of a full house: many may begin at once.
        """
        if budget_bytes != self.streaming_budget_bytes:
            self.streaming_budget_bytes = budget_bytes
            self.initial_buffer_bytes = stream_buffer_bytes(
                budget_bytes, self.descriptors.total // STREAM_START_DIVISOR
            )

    def resize_stream_buffers(self) -> None:
        """Fits the kernel's buffers to the number of streamed bodies, once it has doubled or halved."""
        buffer_bytes = stream_buffer_bytes(self.streaming_budget_bytes, len(self.streaming))
        if self.stream_buffer_bytes // 2 < buffer_bytes < 2 * self.stream_buffer_bytes:
            return
        self.stream_buffer_bytes = buffer_bytes
        for connection in self.streaming:
            connection.set_receive_buffer(buffer_bytes)

    # ---- time -----------------------------------------------------------------------------------------

    def sweep(self) -> None:
        """Closes connections that were idle for too long, and those whose streamed body has stalled at the server.

        A body that waits for its client is not closed here.
        """
        now = monotonic_us()
        self.resize_stream_buffers()
        oldest_progress = now - STALL_TIMEOUT_US
        for connection in [each for each in self.streaming if each.progress_us < oldest_progress]:
            waits_for_server = connection.write_blocked or not connection.upload_unfinished
            if connection.exchange is not None and not connection.read_paused and waits_for_server:
                connection.fail_exchange(CloseReason.STALLED)
        oldest = now - self.idle_time
        for process in self.processes.values():
            while process.idle and process.idle[0].idle_since_us <= oldest:
                process.idle.pop(0).discard(CloseReason.IDLE)

    def close_all(self) -> None:
        """Closes idle connections and stops opening new ones; exchanges in flight are left alone."""
        for task in self.connect_tasks:
            task.cancel()
        for process in self.processes.values():
            self.close_idle_to_process(process, CloseReason.SHUTDOWN)
