"""Stand-in servers on loopback sockets, with load reports, health checks and faults.

They process requests in real time, according to the model in `model.py`.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from random import Random
from time import monotonic_ns
from typing import Any, cast

from harecross.standins.http import answer, header
from harecross.standins.model import KeyCache, ServerCapacity, ServerModel

MAX_HEAD_BYTES = 1 << 16
LOAD_REPORT_INTERVAL_US = 200_000
REPEAT_WORK_US = 1  # work of a request whose idempotency key has already taken effect
REJECTED = answer(503, extra=b"X-Not-Processed: 1\r\n")


def clock() -> int:
    """Returns the monotonic time in microseconds."""
    return monotonic_ns() // 1000


@dataclass(slots=True)
class Faults:
    """The fractions of requests for which the response is faulty.

    Attributes:
        errors: Fraction with status 500.
        truncated: Fraction for which the connection is closed in the middle of the response.
        silent: Fraction for which no response is sent while the connection stays open.
    """

    errors: float = 0.0
    truncated: float = 0.0
    silent: float = 0.0


class ReceivedRequest:
    """A request that a server has received."""

    __slots__ = ("connection", "id", "key", "takes_effect")

    def __init__(self, connection: NodeConnection, request_id: bytes, key: bytes) -> None:
        self.connection = connection
        self.id = request_id
        self.key = key
        self.takes_effect = True  # False if the idempotency key has already taken effect


class NodeConnection(asyncio.Protocol):
    """A connection from a node. It carries one request at a time."""

    __slots__ = ("_server", "_transport", "buffer", "request")

    def __init__(self, server: StandinServer) -> None:
        self.request: ReceivedRequest | None = None
        self.buffer = b""
        self._server = server
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Adds the open connection to the server."""
        self._transport = cast(asyncio.Transport, transport)
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Removes the closed connection from the server, and cancels its request."""
        self._server.connections.discard(self)
        if self.request is not None:
            self._server.cancel(self.request)

    def data_received(self, data: bytes) -> None:
        """Passes each complete request to the server, once the previous one has been answered."""
        self.buffer += data
        while self.request is None:
            end = self.buffer.find(b"\r\n\r\n")
            if end < 0:
                if len(self.buffer) > MAX_HEAD_BYTES:
                    self.close()
                return
            head = self.buffer[: end + 2]
            body_bytes = int(header(head, b"content-length") or b"0")
            if len(self.buffer) < end + 4 + body_bytes:
                return
            self.buffer = self.buffer[end + 4 + body_bytes :]
            self._server.receive(self, head)

    def write(self, data: bytes) -> None:
        """Sends bytes unless the connection is closed."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def close(self) -> None:
        """Closes the connection after all buffered data is sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Closes the connection at once."""
        if self._transport is not None:
            self._transport.abort()


class LoadReport:
    """The value of the header `X-Server-Load`, updated at most once per LOAD_REPORT_INTERVAL_US."""

    def __init__(self, model: ServerModel) -> None:
        self._model = model
        self._text = b""
        self._updated_us = 0
        self._measured_us = clock()
        self._worked_us = 0

    def text(self) -> bytes:
        """Returns the value of the header."""
        now_us = clock()
        if now_us - self._updated_us >= LOAD_REPORT_INTERVAL_US or not self._text:
            self._update(now_us)
        return self._text

    def _update(self, now_us: int) -> None:
        model = self._model
        available_us = max(1, (now_us - self._measured_us) * model.capacity.slots)
        utilization = min(1.0, (model.worked_us - self._worked_us) / available_us)
        self._worked_us, self._measured_us, self._updated_us = model.worked_us, now_us, now_us
        counts = (len(model.running), len(model.waiting))
        self._text = b"inflight=%d,queue=%d,util=%.3f,eps=0" % (*counts, utilization)


class StandinServer:
    """A server. A request's work in microseconds is given by its header `X-Cost`, or else by `work_us`.

    Attributes:
        name: Name of the server.
        model: The model of the server's slots and queue.
        faults: The fractions of faulty responses.
        connections: The open connections.
        address: HOST:PORT at which the server listens.
        unresponsive: If set, connections stay open but no request is answered.
    """

    def __init__(
        self,
        name: str,
        capacity: ServerCapacity,
        key_cache: KeyCache | None = None,
        faults: Faults | None = None,
        work_us: int = 1000,
        seed: int = 0,
    ) -> None:
        self.name = name
        self.model = ServerModel(capacity, clock())
        self.faults = faults or Faults()
        self.connections: set[NodeConnection] = set()
        self.address = ""
        self.unresponsive = False
        self._key_cache = key_cache or KeyCache()
        self._work_us = work_us
        self._rng = Random(f"{seed}/{name}")
        self._listener: asyncio.Server | None = None
        self._load_report = LoadReport(self.model)
        self._received = 0
        # Completed requests, without those whose idempotency key had already taken effect.
        self._processed = 0
        # Time at which discovery was notified that this server drains or is removed; 0 before that.
        self._drain_us = 0
        # For each request received after `_drain_us`, the time from then until it was received.
        self._late_requests_us: list[int] = []

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> StandinServer:
        """Starts listening; port 0 means any free port."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(lambda: NodeConnection(self), host, port)
        self.address = f"{host}:{self._listener.sockets[0].getsockname()[1]}"
        self.model.started_us = clock()
        return self

    def drain(self) -> None:
        """Starts draining. Called when discovery is notified that the server must not receive new requests."""
        self._drain_us = clock()
        self.model.draining = True

    def stop(self) -> None:
        """Stops listening and aborts all connections, as if the process had died."""
        if self._listener is not None:
            self._listener.close()
        for connection in list(self.connections):
            connection.abort()

    def receive(self, connection: NodeConnection, head: bytes) -> None:
        """Starts processing a request, or answers a health check or a call for the load report."""
        _, path, _ = head.split(b"\r\n", 1)[0].split(b" ", 2)
        if self.unresponsive:
            return
        if path in (b"/ping", b"/_load"):
            connection.write(answer(200, self._load_report.text() if path == b"/_load" else b""))
            return
        now_us = clock()
        self._received += 1
        if self._drain_us:
            self._late_requests_us.append(now_us - self._drain_us)
        key = header(head, b"idempotency-key")
        request = ReceivedRequest(connection, header(head, b"x-request-id"), key)
        connection.request = request
        if key:
            request.takes_effect = self._key_cache.add(now_us, key)
        work_us = int(header(head, b"x-cost") or self._work_us) if request.takes_effect else REPEAT_WORK_US
        self._process(request, now_us, work_us)

    def _process(self, request: ReceivedRequest, now_us: int, work_us: int) -> None:
        ends_us = self.model.add(now_us, request, work_us)
        if ends_us is None:
            request.connection.request = None
            self._undo(request)
            request.connection.write(REJECTED)
        elif ends_us > 0:
            self._schedule_completion(request, ends_us)

    def _schedule_completion(self, request: ReceivedRequest, ends_us: int) -> None:
        delay_s = max(0, ends_us - clock()) / 1e6
        asyncio.get_running_loop().call_later(delay_s, self._complete, request)

    def _complete(self, request: ReceivedRequest) -> None:
        started = self.model.complete(clock(), request)
        if started is not None:
            self._schedule_completion(cast(ReceivedRequest, started.request), started.ends_us)
        self._processed += request.takes_effect
        connection = request.connection
        if connection.request is not request or self.unresponsive:
            return  # the node has closed the connection, or the server no longer answers
        connection.request = None
        self._answer(connection, request)

    def _answer(self, connection: NodeConnection, request: ReceivedRequest) -> None:
        """Sends the response, modified or suppressed if a fault is drawn."""
        faults = self.faults
        draw = self._rng.random()
        if draw < faults.silent:
            return
        draw -= faults.silent
        if draw < faults.errors:
            connection.write(answer(500, b"error"))
            return
        body = b'{"id":"%s","server":"%s"}' % (request.id, self.name.encode())
        data = answer(200, body, b"X-Server-Load: %s\r\n" % self._load_report.text())
        if draw < faults.errors + faults.truncated:
            connection.write(data[: len(data) // 2])
            connection.close()
            return
        connection.write(data)
        if connection.buffer:
            connection.data_received(b"")

    def cancel(self, request: ReceivedRequest) -> None:
        """Called when the node has closed the connection: a queued request is removed, a running one continues."""
        request.connection.request = None
        if self.model.cancel(request):
            self._undo(request)

    def _undo(self, request: ReceivedRequest) -> None:
        """Makes the idempotency key of a request that was not processed usable again."""
        if request.key and request.takes_effect:
            self._key_cache.undo(request.key)

    def stats(self) -> dict[str, Any]:
        """Returns the server's statistics for the `stats` command of `world.py`."""
        model = self.model
        return {
            "arrived": self._received,
            "ran": self._processed,
            "rejected": model.rejected,
            "busy": len(model.running),
            "waiting": len(model.waiting),
            "slow": model.slowdown,
            "draining": model.draining,
            "latest_after_told_us": max(self._late_requests_us, default=0),
        }
