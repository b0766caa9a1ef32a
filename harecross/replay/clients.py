"""Open-loop clients: each request is sent when it is due, whatever became of those before it.

Times are integer microseconds, counted from the start of the run where nothing else is said.
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

MAX_LATENCY_US = 3_600_000_000  # the histograms' range
NODE_DOWN_US = 500_000  # for so long no connection is tried to a node that could not be reached
NO_STATUS = 0  # in place of an HTTP status, of an attempt whose connection ended
SHED_STATUSES = (429, 503)


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request of the plan: when it is due, the index of its class, its work, and its tier."""

    due_us: int
    class_index: int
    work_us: int
    tier: int = 0


class ClientConnection(asyncio.Protocol):
    """A connection to a node, and the one attempt that is in flight on it."""

    __slots__ = ("buffer", "on_response", "pool", "transport")

    def __init__(self, pool: NodePool) -> None:
        self.pool = pool
        self.transport: asyncio.Transport | None = None
        self.buffer = b""
        self.on_response: Callable[[int, bytes], None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is up."""
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection has ended; an attempt on it has no response."""
        self.pool.remove(self)
        self._finish_attempt(NO_STATUS, b"")

    def data_received(self, data: bytes) -> None:
        """Collects the response; a complete one ends the attempt and frees the connection."""
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
    """Connections to one node: the most recently used idle one goes first, more are opened when all are busy."""

    def __init__(self, name: str, address: Callable[[], tuple[str, int]]) -> None:
        self.name = name
        self.address = address
        self.idle: deque[ClientConnection] = deque()
        self.connections: set[ClientConnection] = set()
        self.down_until_us = 0  # of the process's clock: the front has noticed that the node is dead

    def remove(self, connection: ClientConnection) -> None:
        """Forgets a connection that has ended."""
        self.connections.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)

    def acquire_idle(self) -> ClientConnection | None:
        """Takes an idle connection that is still up; None if there is none."""
        while self.idle:
            connection = self.idle.pop()
            if connection.transport is not None and not connection.transport.is_closing():
                return connection
        return None

    async def open(self) -> ClientConnection | None:
        """Opens a connection; None if the node cannot be reached, which is remembered for `NODE_DOWN_US`."""
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
    """A request and its attempts."""

    __slots__ = ("arrival", "attempts", "connection", "deadline_timer", "number")

    def __init__(self, number: int, arrival: Arrival) -> None:
        self.number = number
        self.arrival = arrival
        self.attempts = 0
        self.connection: ClientConnection | None = None
        self.deadline_timer: asyncio.TimerHandle | None = None


class OpenLoopGenerator:
    """Sends a plan to the nodes of `pools`, one list a tier, and accounts for each request."""

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
        self.started_at_us = 0  # of the process's clock; 0 before the start
        self.next_number = 0
        self.all_finished = asyncio.Event()
        self.all_finished.set()
        self.last_node = [0] * len(pools)  # by tier: the index of the node that got the last request
        self.connecting: set[asyncio.Task[None]] = set()

    async def run(self, plan: AsyncIterator[Arrival]) -> None:
        """Sends all of the plan at its times and waits for the last request, at most its deadline."""
        self.started_at_us = clock()
        async for arrival in plan:
            wait_us = self.started_at_us + arrival.due_us - clock()
            while wait_us > 0:
                await asyncio.sleep(wait_us / 1e6)
                wait_us = self.started_at_us + arrival.due_us - clock()
            self._start_request(arrival)
        await self.all_finished.wait()

    def now_us(self) -> int:
        """Microseconds since the start."""
        return clock() - self.started_at_us

    def _start_request(self, arrival: Arrival) -> None:
        request = ClientRequest(self.next_number, arrival)
        self.next_number += 1
        self.all_finished.clear()
        self.accounting.request_due(request.number, arrival.class_index, arrival.due_us)
        self.lateness.record_value(max(1, self.now_us() - arrival.due_us))
        # The client's deadline counts from when the request was due, over all its attempts.
        time_left_us = self._deadline_us(request) - self.now_us()
        request.deadline_timer = self.loop.call_later(max(0, time_left_us) / 1e6, self._expire, request)
        self._start_attempt(request)

    def _deadline_us(self, request: ClientRequest) -> int:
        return request.arrival.due_us + self.classes[request.arrival.class_index].deadline_us

    def _is_open(self, request: ClientRequest) -> bool:
        return request.number in self.accounting.open_requests

    def _pick_node(self, tier: int) -> NodePool:
        """Returns the tier's next node in turn that is not known to be down; the last one tried if all are."""
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
        # Mostly an idle connection is at hand, and no task is needed.
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
        safe = idempotency == Idempotency.IDEMPOTENT
        keyed = idempotency == Idempotency.IDEMPOTENCY_KEY
        key = f"Idempotency-Key: k{request.number}\r\n" if keyed else ""
        length = "" if safe else "Content-Length: 0\r\n"
        timeout_us = max(1, self._deadline_us(request) - self.now_us())
        return (
            f"{'GET' if safe else 'POST'} /{request_class.name}/{request.number} HTTP/1.1\r\nHost: backend.local\r\n"
            f"X-Request-ID: q{request.number}-{request.attempts}\r\nX-Timeout: {timeout_us}u\r\n"
            f"X-Cost: {request.arrival.work_us}\r\n{key}{length}\r\n"
        ).encode()

    def _attempt_ended(self, request: ClientRequest, status: int, head: bytes) -> None:
        """Finishes the request, or starts the client's retry after its delay."""
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
        """The request's deadline has passed: the client closes its connection."""
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
