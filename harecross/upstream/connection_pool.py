"""Pool of the connections to servers: connects, idle connections, health checks and timeouts.

A connection carries one exchange at a time, and no exchange is sent twice. Times are in microseconds.
"""

from __future__ import annotations

import asyncio
from bisect import bisect_right
from collections.abc import Callable, Sequence
from typing import cast

from harecross.dispatch.close_reasons import ClosedConnection, CloseReason
from harecross.http.body_buffer import MAX_STREAM_BUFFER_BYTES
from harecross.http.request_parser import UPSTREAM_HOST
from harecross.http.response_parser import parse_load_report, report_positions
from harecross.interface import Outcome
from harecross.platform.clock import monotonic_us
from harecross.platform.descriptor_budget import DescriptorBudget
from harecross.platform.memory_ledger import MemoryLedger
from harecross.platform.peer_state import has_no_pending_events
from harecross.platform.system_errors import is_local_shortage
from harecross.upstream import duplicate_responses
from harecross.upstream.connection import ServerConnection
from harecross.upstream.duplicate_responses import ResponseVariety
from harecross.upstream.exchange import NO_DEADLINE_US, Exchange, HealthCheck
from harecross.upstream.response_reads import ResponseReads
from harecross.upstream.server_process import ServerProcess
from harecross.upstream.stream_buffers import StreamBuffers

IDLE_MARGIN_US = 1_500_000  # an idle connection is closed this long before its server would close it
DEFAULT_MEMORY_BUDGET_BYTES = 1 << 25
DEFAULT_STREAMING_BUDGET_BYTES = 1 << 25  # shared by all streamed responses
# A response of unknown length that has begun is passed on after this time. Held back for 2 s, a large one is lost.
MAX_HOLD_S = 1.0
STALL_TIMEOUT_US = 6_000_000  # how long a server may neither read nor send a streamed body


class ConnectionPool(StreamBuffers):
    """The connections of this node to all servers.

    Attributes:
        idle_time: Time after which an idle connection is closed.
        report_positions: Index of each load report field by name, see `report_positions`.
        report_size: Number of load report fields.
        on_descriptor_shortage: Closes a client connection to free a descriptor; returns whether it closed one.
        ledger: The account of the bytes that the process holds.
        response_reads: The connections whose responses wait for memory.
        load_reports: Number of valid load reports received.
        malformed_responses: Number of malformed responses received.
        responses_passed_on_early: Number of responses of unknown length that were passed on at a deadline.
        response_variety: Whether different requests may get equal responses.
        processes: The current process of each server, by server number.
        earlier_processes: Earlier processes of each server that had connections when they were replaced.
        streaming: Connections that carry a streamed body.
        streaming_budget_bytes: Memory budget shared by all streamed responses.
        stream_buffer_bytes: Size of the kernel's receive buffer for a streamed response.
        initial_buffer_bytes: Size of that buffer before it is known whether the response will be streamed.
    """

    def __init__(
        self,
        connect_timeout: int,
        idle_time: int,
        report_fields: Sequence[str],
        descriptors: DescriptorBudget,
    ) -> None:
        """Creates an empty pool.

        `connect_timeout` limits the opening of a connection, `idle_time` is the time after which servers close an idle
        connection, and `report_fields` are the fields of load reports in order.
        """
        self.loop = asyncio.get_running_loop()
        self.connect_timeout_s = connect_timeout / 1e6
        self.idle_time = max(idle_time - IDLE_MARGIN_US, idle_time // 2)
        self.report_positions = report_positions(report_fields)
        self.report_size = len(report_fields)
        self.descriptors = descriptors
        self.on_connection_closed: Callable[[ClosedConnection], None] = lambda closed: None
        self.on_descriptor_shortage: Callable[[], bool] = lambda: False
        self.ledger = MemoryLedger(DEFAULT_MEMORY_BUDGET_BYTES)
        self.response_reads = ResponseReads(self.ledger, self.loop.call_later)
        self.load_reports = 0
        self.malformed_responses = 0
        self.responses_passed_on_early = 0
        self.response_variety = ResponseVariety()
        self.processes: dict[int, ServerProcess] = {}
        self.earlier_processes: dict[int, list[ServerProcess]] = {}
        self.connect_tasks: set[asyncio.Task[None]] = set()
        self.streaming: set[ServerConnection] = set()
        self.streaming_budget_bytes = 0
        self.stream_buffer_bytes = MAX_STREAM_BUFFER_BYTES
        self.initial_buffer_bytes = MAX_STREAM_BUFFER_BYTES
        self.set_streaming_budget(DEFAULT_STREAMING_BUDGET_BYTES)

    @property
    def open_connections(self) -> int:
        """Number of connections to servers, including those that are being opened."""
        return self.descriptors.upstream_connections

    def update(self, server: int, address: str, started_at: int) -> None:
        """Puts a server in service at `address`. Connections to an earlier process or address are not reused."""
        host, _, port = address.rpartition(":")
        old = self.processes.get(server)
        if old is not None:
            if (old.host, old.port, old.started_at) == (host, int(port), started_at):
                old.in_service = True
                return
            self.take_out_of_service(server)
            self.earlier_processes[server] = [*self.earlier_with_connections(server), old]
        self.processes[server] = ServerProcess(server, host, int(port), started_at)

    def take_out_of_service(self, server: int) -> None:
        """Stops sending new exchanges to the server; exchanges in flight may still complete."""
        process = self.processes.get(server)
        if process is not None:
            process.in_service = False
            self.close_idle_to_process(process, CloseReason.SERVER_OUT_OF_SERVICE)

    def remove_if_unused(self, server: int) -> bool:
        """Removes a server that is out of service and has no connection; returns whether it is no longer known.

        Connections to its earlier processes count as well: they may carry requests that are known by its number.
        """
        process = self.processes.get(server)
        if process is None:
            return True
        if process.in_service or process.connection_count or self.earlier_with_connections(server):
            return False
        del self.processes[server]
        self.earlier_processes.pop(server, None)
        return True

    def earlier_with_connections(self, server: int) -> list[ServerProcess]:
        """Returns the earlier processes of a server that still have connections."""
        return [process for process in self.earlier_processes.get(server, []) if process.connection_count]

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

    def send(self, exchange: Exchange) -> None:
        """Sends on the most recently used idle connection, or on a new one.

        The outcome is never reported within this call.
        """
        now = monotonic_us()
        exchange.started_us = now
        process = self.processes.get(exchange.server)
        exchange.process = process
        if (
            process is None
            or not process.in_service
            or min(exchange.deadline_us, exchange.start_by_us) <= now
            or (exchange.needs_known_process and process.may_be_another(now))
        ):
            self.loop.call_soon(self.finish, exchange, Outcome.NOT_SENT)
            return
        if exchange.deadline_us < NO_DEADLINE_US:
            self.start_deadline_timer(exchange)
        descriptor_available = self.descriptors.upstream_connection_fits()
        connection = self.acquire_idle(process, now)
        if connection is None and not descriptor_available and not self.response_variety.equal_expected:
            # Reusing a connection before its reuse delay is over is better than closing another to make room.
            connection = self.acquire_idle(process, now, honor_reuse_delay=False)
        if connection is not None:
            connection.start(exchange, now)
            return
        # Without free descriptors the node could not accept connections in order to shed their requests.
        if not (descriptor_available or self.close_one_idle() or self.on_descriptor_shortage()):
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
        """Takes the most recently used idle connection without unread input; returns None if there is none.

        The kernel may already hold a close or bytes that this process has not read. A request written to such a
        connection could be reset although the server ran it, or those bytes could be mistaken for its response. With
        `honor_reuse_delay`, a connection whose reuse delay is not over is skipped as well.
        """
        idle = process.idle
        position = len(idle) - 1
        if honor_reuse_delay and self.response_variety.equal_expected:
            rested_since = now - duplicate_responses.DUPLICATE_WINDOW_US
            position = bisect_right(idle, rested_since, key=lambda connection: connection.idle_since_us) - 1
        while position >= 0:
            connection = idle[position]
            if now - connection.idle_since_us >= self.idle_time:
                # The connections before it in the list were used even earlier.
                for expired in idle[: position + 1]:
                    expired.discard(CloseReason.IDLE)
                del idle[: position + 1]
                return None
            if not honor_reuse_delay or connection.rested(now):
                del idle[position]
                if (
                    connection.transport is not None
                    and not connection.transport.is_closing()
                    and has_no_pending_events(connection.descriptor)
                ):
                    return connection
                connection.discard(CloseReason.PEER)
            position -= 1
        return None

    def start_deadline_timer(self, exchange: Exchange) -> None:
        """Schedules the abandonment of the exchange at its deadline."""
        delay_us = exchange.deadline_us - monotonic_us()
        exchange.deadline_timer = self.loop.call_later(delay_us / 1e6, self.deadline_passed, exchange)

    def make_health_check(
        self, server: int, on_ended: Callable[[Exchange, Outcome, bytes, Sequence[float]], None]
    ) -> Exchange:
        """Returns a health check to be sent; its timeout is the connect timeout."""
        path = b"/_load" if self.report_size else b"/ping"
        head = b"GET %s HTTP/1.1\r\nHost: %s\r\n" % (path, UPSTREAM_HOST)
        deadline_us = monotonic_us() + int(self.connect_timeout_s * 1e6)
        return HealthCheck(server, head, b"", deadline_us, on_ended)

    def close_one_idle(self) -> bool:
        """Closes an idle connection to free a descriptor; returns whether there was one."""
        for process in self.processes.values():
            if process.idle:
                process.idle.pop(0).discard(CloseReason.DESCRIPTOR_SHORTAGE)
                return True
        return False

    async def connect(self, exchange: Exchange, process: ServerProcess) -> None:
        """Opens a connection for an exchange and starts the exchange on it if it is still needed."""
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
        """Ends an exchange whose connection failed or timed out.

        A local resource shortage is reported as not sent, so that it does not count against the server.
        """
        if connection.transport is not None:
            connection.discard(CloseReason.CONNECT_TIMEOUT)
        else:
            self.descriptors.upstream_connections -= 1
            connection.process.connection_count -= 1
        if isinstance(error, ConnectionRefusedError):
            connection.process.connection_broke(monotonic_us())
        is_local = isinstance(error, OSError) and is_local_shortage(error)
        self.finish(exchange, Outcome.NOT_SENT if is_local else Outcome.CONNECT_FAILED)

    def start_on_new(self, connection: ServerConnection, exchange: Exchange) -> None:
        """Starts an exchange on the connection that was opened for it.

        While the connection was being opened, the server may have gone out of service, the deadline may have passed or
        the client may have disconnected. In these cases nothing is sent, and the connection is released.
        """
        if exchange.finished:
            self.release(connection)
            return
        now = monotonic_us()
        process = connection.process
        expired = min(exchange.deadline_us, exchange.start_by_us) <= now
        unknown = exchange.needs_known_process and process.may_be_another(now)
        if not process.in_service or expired or unknown or not exchange.is_wanted():
            self.release(connection)
            self.finish(exchange, Outcome.NOT_SENT)
        elif connection.transport is None or connection.transport.is_closing():
            self.finish(exchange, Outcome.CONNECT_FAILED)
        else:
            connection.start(exchange, now)

    def record_load_report(self, text: bytes) -> Sequence[float]:
        """Parses and counts a load report from a header or body; returns () if it is invalid."""
        report = parse_load_report(text, self.report_positions, self.report_size) if text else ()
        self.load_reports += bool(report)
        return report

    def release(self, connection: ServerConnection) -> None:
        """Keeps a connection as idle for another exchange, or closes it if it cannot be reused."""
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
        """Removes a closed connection."""
        self.descriptors.upstream_connections -= 1
        connection.process.connection_count -= 1
        self.streaming.discard(connection)
        if connection in connection.process.idle:
            connection.process.idle.remove(connection)

    def finish(
        self, exchange: Exchange, outcome: Outcome, body: bytes = b"", report: Sequence[float] = ()
    ) -> None:
        """Reports the outcome of an exchange; any further outcome is ignored."""
        if exchange.finished:
            return
        exchange.finished = True
        if exchange.deadline_timer is not None:
            exchange.deadline_timer.cancel()
        exchange.connection = None
        exchange.on_ended(exchange, outcome, body, report)

    def start_hold_timer(self, connection: ServerConnection) -> asyncio.TimerHandle:
        """Schedules that a response that has begun is passed on, if it is not complete by then."""
        return self.loop.call_later(MAX_HOLD_S, connection.pass_on_begun_response)

    def deadline_passed(self, exchange: Exchange) -> None:
        """Abandons an exchange whose deadline has passed, or passes on its response if it has begun."""
        if exchange.connection is not None and exchange.connection.pass_on_begun_response():
            return
        self.abandon(exchange, Outcome.TIMEOUT)

    def abandon(self, exchange: Exchange, outcome: Outcome) -> None:
        """Ends an exchange with `outcome`, or as not sent if its last byte has not left this process.

        Its connection is closed. If the connection is still being opened, it is kept for other exchanges.
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

    def sweep(self) -> None:
        """Closes connections that were idle for too long, and those whose streamed body stalled at the server.

        A connection whose body waits for the client is not closed here.
        """
        now = monotonic_us()
        self.resize_stream_buffers()
        stalled_before = now - STALL_TIMEOUT_US
        for connection in [each for each in self.streaming if each.progress_us < stalled_before]:
            waits_for_server = connection.write_blocked or not connection.upload_unfinished
            if connection.exchange is not None and not connection.read_paused and waits_for_server:
                connection.fail_exchange(CloseReason.STALLED)
        idle_before = now - self.idle_time
        for process in self.processes.values():
            while process.idle and process.idle[0].idle_since_us <= idle_before:
                process.idle.pop(0).discard(CloseReason.IDLE)

    def close_all(self) -> None:
        """Closes idle connections and cancels connects in progress; exchanges in flight continue."""
        for task in self.connect_tasks:
            task.cancel()
        for process in self.processes.values():
            self.close_idle_to_process(process, CloseReason.SHUTDOWN)
