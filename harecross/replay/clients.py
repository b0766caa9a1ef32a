"""Open-loop clients: each request is sent when it is due, even if earlier requests have no response yet.

Times are integer microseconds since the start of the run, unless a comment says otherwise.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from typing import cast

from hdrh.histogram import HdrHistogram

from harecross.interface import Idempotency
from harecross.replay.accounting import Disposition, RequestAccounting, RequestClass, RetryPolicy
from harecross.standins.http import header
from harecross.standins.servers import clock

MAX_LATENCY_US = 3_600_000_000  # the upper limit of the histograms
NODE_DOWN_US = 500_000  # how long clients avoid a node after a failed connection attempt
NO_STATUS = 0  # takes the place of the HTTP status if the connection ended before a response
SHED_STATUSES = (429, 503)


@dataclass(frozen=True, slots=True)
class Arrival:
    """A planned request: its due time, the index of its class, the work it costs a server, and its tier."""

    due_us: int
    class_index: int
    work_us: int
    tier: int = 0


class ClientConnection(asyncio.Protocol):
    """A connection to a node, which carries one attempt at a time."""

    __slots__ = ("buffer", "on_response", "pool", "transport")

    def __init__(self, pool: NodePool) -> None:
        self.pool = pool
        self.transport: asyncio.Transport | None = None
        self.buffer = b""
        self.on_response: Callable[[int, bytes], None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport of the new connection."""
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Removes the connection from its pool, and ends an attempt in flight without a response."""
        self.pool.remove(self)
        self._finish_attempt(NO_STATUS, b"")

    def data_received(self, data: bytes) -> None:
        """Buffers the response; once it is complete, the attempt ends and the connection is idle or closed."""
        self.buffer += data
        end = self.buffer.find(b"\r\n\r\n")
        if end < 0:
            return
        head = self.buffer[: end + 2]
        size = int(header(head, b"content-length") or b"0")
        if len(self.buffer) < end + 4 + size:
            return
        self.buffer = b""
        if header(head, b"connection").lower() == b"close":
            self.close()
        else:
            self.pool.idle.append(self)
        self._finish_attempt(int(head.split(b" ", 2)[1]), head)

    def close(self) -> None:
        """Closes the connection."""
        if self.transport is not None:
            self.transport.close()

    def _finish_attempt(self, status: int, head: bytes) -> None:
        on_response, self.on_response = self.on_response, None
        if on_response is not None:
            on_response(status, head)


class NodePool:
    """Connections to one node. The most recently used idle one is taken first; a new one is opened if none is idle."""

    def __init__(self, name: str, address: Callable[[], tuple[str, int]]) -> None:
        self.name = name
        self.address = address
        self.idle: deque[ClientConnection] = deque()
        self.connections: set[ClientConnection] = set()
        # Clients avoid the node until this time on the process's clock (not since the start of the run), as a front
        # end that has detected the failure would.
        self.down_until_us = 0

    def remove(self, connection: ClientConnection) -> None:
        """Removes a connection that has ended."""
        self.connections.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)

    def acquire_idle(self) -> ClientConnection | None:
        """Removes and returns an idle connection that is still open; None if there is none."""
        while self.idle:
            connection = self.idle.pop()
            if connection.transport is not None and not connection.transport.is_closing():
                return connection
        return None

    async def open(self) -> ClientConnection | None:
        """Opens a connection. Returns None if the node cannot be reached, and marks it as down for `NODE_DOWN_US`."""
        loop = asyncio.get_running_loop()
        try:
            _, connection = await loop.create_connection(lambda: ClientConnection(self), *self.address())
        except OSError:
            self.down_until_us = clock() + NODE_DOWN_US
            return None
        self.connections.add(connection)
        return connection

    def close(self) -> None:
        """Closes all connections."""
        for connection in list(self.connections):
            connection.close()


class ClientRequest:
    """A request that is open, with the number of its attempts and the connection of the current one."""

    __slots__ = ("arrival", "attempts", "connection", "deadline_timer", "number")

    def __init__(self, number: int, arrival: Arrival) -> None:
        self.number = number
        self.arrival = arrival
        self.attempts = 0
        self.connection: ClientConnection | None = None
        self.deadline_timer: asyncio.TimerHandle | None = None


class OpenLoopGenerator:
    """Sends planned requests to nodes and accounts for each request.

    `pools` has one list for each tier, with a pool for each node.
    """

    def __init__(
        self,
        classes: list[RequestClass],
        pools: list[list[NodePool]],
        retry_policy: RetryPolicy,
        window_us: int,
    ) -> None:
        self.classes = classes
        self.pools = pools
        self.retry_policy = retry_policy
        self.loop = asyncio.get_running_loop()
        self.accounting = RequestAccounting(classes, window_us)
        self.window_us = window_us
        self.lateness = HdrHistogram(1, MAX_LATENCY_US, 3)
        self.latency = HdrHistogram(1, MAX_LATENCY_US, 3)
        self.class_latency = [HdrHistogram(1, MAX_LATENCY_US, 3) for _ in classes]
        self.window_latency: list[HdrHistogram] = []
        self.started_at_us = 0  # on the process's clock; 0 before the start
        self.next_number = 0
        self.all_finished = asyncio.Event()
        self.all_finished.set()
        self.last_node = [0] * len(pools)  # for each tier, the index of the node that got the latest request
        self.connecting: set[asyncio.Task[None]] = set()

    async def run(self, plan: AsyncIterator[Arrival]) -> None:
        """Sends each request of the plan when it is due, and waits until all have ended or passed their deadlines."""
        self.started_at_us = clock()
        async for arrival in plan:
            wait_us = self.started_at_us + arrival.due_us - clock()
            while wait_us > 0:
                await asyncio.sleep(wait_us / 1e6)
                wait_us = self.started_at_us + arrival.due_us - clock()
            self._start_request(arrival)
        await self.all_finished.wait()

    def now_us(self) -> int:
        """Returns the microseconds since the start of the run."""
        return clock() - self.started_at_us

    def _start_request(self, arrival: Arrival) -> None:
        request = ClientRequest(self.next_number, arrival)
        self.next_number += 1
        self.all_finished.clear()
        self.accounting.request_due(request.number, arrival.class_index, arrival.due_us)
        self.lateness.record_value(max(1, self.now_us() - arrival.due_us))
        # The deadline counts from when the request was due and covers all its attempts.
        time_left_us = self._deadline_us(request) - self.now_us()
        request.deadline_timer = self.loop.call_later(max(0, time_left_us) / 1e6, self._expire, request)
        self._start_attempt(request)

    def _deadline_us(self, request: ClientRequest) -> int:
        return request.arrival.due_us + self.classes[request.arrival.class_index].deadline_us

    def _is_open(self, request: ClientRequest) -> bool:
        return request.number in self.accounting.open_requests

    def _pick_node(self, tier: int) -> NodePool:
        """Returns the next node of a tier in round-robin order, skipping nodes that are down unless all of them are."""
        now_us = clock()
        pools = self.pools[tier]
        for _ in pools:
            self.last_node[tier] = (self.last_node[tier] + 1) % len(pools)
            if pools[self.last_node[tier]].down_until_us <= now_us:
                break
        return pools[self.last_node[tier]]

    def _start_attempt(self, request: ClientRequest) -> None:
        if not self._is_open(request):
            return
        pool = self._pick_node(request.arrival.tier)
        # In most cases a connection is idle, so the attempt is sent without the cost of a task.
        connection = pool.acquire_idle()
        if connection is not None:
            self._send(request, connection)
            return
        task = asyncio.create_task(self._connect_and_send(request, pool))
        self.connecting.add(task)
        task.add_done_callback(self.connecting.discard)

    async def _connect_and_send(self, request: ClientRequest, pool: NodePool) -> None:
        connection = await pool.open()
        if not self._is_open(request):
            if connection is not None:
                pool.idle.append(connection)
        elif connection is not None:
            self._send(request, connection)
        else:
            self.accounting.attempt_sent(request.number)
            request.attempts += 1
            self._attempt_ended(request, NO_STATUS, b"")

    def _send(self, request: ClientRequest, connection: ClientConnection) -> None:
        request.attempts += 1
        self.accounting.attempt_sent(request.number)
        request.connection = connection
        connection.on_response = lambda status, head: self._attempt_ended(request, status, head)
        assert connection.transport is not None
        connection.transport.write(self._request_message(request))

    def _request_message(self, request: ClientRequest) -> bytes:
        request_class = self.classes[request.arrival.class_index]
        idempotency = request_class.idempotency
        is_idempotent = idempotency == Idempotency.IDEMPOTENT
        has_key = idempotency == Idempotency.IDEMPOTENCY_KEY
        key = f"Idempotency-Key: k{request.number}\r\n" if has_key else ""
        length = "" if is_idempotent else "Content-Length: 0\r\n"
        timeout_us = max(1, self._deadline_us(request) - self.now_us())
        return (
            f"{'GET' if is_idempotent else 'POST'} /{request_class.name}/{request.number} HTTP/1.1\r\n"
            f"Host: backend.local\r\nX-Request-ID: q{request.number}-{request.attempts}\r\nX-Timeout: {timeout_us}u\r\n"
            f"X-Cost: {request.arrival.work_us}\r\n{key}{length}\r\n"
        ).encode()

    def _attempt_ended(self, request: ClientRequest, status: int, head: bytes) -> None:
        """Finishes the request, or schedules a retry by the client."""
        request.connection = None
        if not self._is_open(request):
            return
        if status == 200:
            self._finish(request, Disposition.IN_TIME)
            return
        disposition = Disposition.SHED if status in SHED_STATUSES else Disposition.FAILED
        retry_after_s = header(head, b"retry-after")
        delay_us = self.retry_policy.delay_us(
            disposition,
            self.classes[request.arrival.class_index].idempotency,
            request.attempts,
            int(float(retry_after_s) * 1e6) if retry_after_s else None,
        )
        if delay_us is None or self.now_us() + delay_us >= self._deadline_us(request):
            self._finish(request, disposition)
        else:
            self.loop.call_later(delay_us / 1e6, self._start_attempt, request)

    def _expire(self, request: ClientRequest) -> None:
        """Fails a request whose deadline has passed, and closes the connection of its attempt."""
        if not self._is_open(request):
            return
        connection = request.connection
        self._finish(request, Disposition.FAILED)
        if connection is not None:
            connection.on_response = None
            connection.close()

    def _finish(self, request: ClientRequest, disposition: Disposition) -> None:
        now_us = self.now_us()
        disposition = self.accounting.finish(request.number, now_us, disposition)
        if request.deadline_timer is not None:
            request.deadline_timer.cancel()
        if disposition in (Disposition.IN_TIME, Disposition.LATE):
            self._record_latency(request.arrival, now_us)
        if not self.accounting.open_requests:
            self.all_finished.set()

    def _record_latency(self, arrival: Arrival, now_us: int) -> None:
        latency_us = max(1, now_us - arrival.due_us)
        window = arrival.due_us // self.window_us
        while len(self.window_latency) <= window:
            self.window_latency.append(HdrHistogram(1, MAX_LATENCY_US, 2))
        for histogram in (self.latency, self.class_latency[arrival.class_index], self.window_latency[window]):
            histogram.record_value(latency_us)
