"""A TCP proxy between nodes and one server that injects the network faults of the plan.

Faults that delay or hold bytes keep their order. Bytes that a node has written are still delivered if the node closes
its connection meanwhile, as on a network that loses packets for a while and retransmits them.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Sequence
from random import Random

from harecross.soak.plan import LinkFault, LinkFaultKind
from harecross.standins.http import write_or_raise

MAX_READ_BYTES = 1 << 16
# Size of the pieces of a response that arrives in pieces, and the pause between two of them.
PIECE_BYTES = 5
PIECE_INTERVAL_S = 0.004
# Number of bytes of a response that are delivered before the connection is reset.
RESET_AFTER_BYTES = 20

Stream = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class Relay:
    """One connection of a node and the matching connection to the server.

    Attributes:
        request_started_at: When the first byte arrived of the request that the server has not received completely,
            in monotonic seconds; None if there is no such request.
    """

    def __init__(self, proxy: FaultProxy, node: Stream, server: Stream) -> None:
        self.request_started_at: float | None = None
        self._proxy = proxy
        self._node = node
        self._server = server

    async def run(self) -> None:
        """Relays bytes until both directions have ended."""
        try:
            await asyncio.gather(self._relay_requests(), self._relay_answers())
        finally:
            for _, writer in (self._node, self._server):
                writer.close()

    async def _relay_requests(self) -> None:
        reader, writer = self._node[0], self._server[1]
        try:
            while data := await reader.read(MAX_READ_BYTES):
                if self.request_started_at is None:
                    self.request_started_at = time.monotonic()
                await self._proxy.wait_for_link(LinkFaultKind.REQUESTS_HELD)
                write_or_raise(writer, data)
        except ConnectionError:
            pass
        # Nodes never half-close, so the node has closed its connection. Closing the other one ends the server's work.
        writer.close()

    async def _relay_answers(self) -> None:
        reader, writer = self._server[0], self._node[1]
        try:
            while data := await reader.read(MAX_READ_BYTES):
                await self._proxy.wait_for_link(LinkFaultKind.ANSWERS_HELD)
                if self._proxy.draw_fault(LinkFaultKind.RESET):
                    write_or_raise(writer, data[:RESET_AFTER_BYTES])
                    writer.transport.abort()
                    return
                if self._proxy.draw_fault(LinkFaultKind.HALF_CLOSE):
                    break
                await self._write_answer(data, writer)
            if not writer.is_closing():
                writer.write_eof()
        except (ConnectionError, OSError):
            writer.transport.abort()

    async def _write_answer(self, data: bytes, writer: asyncio.StreamWriter) -> None:
        """Writes a response, in pieces if that fault is drawn."""
        if not self._proxy.draw_fault(LinkFaultKind.PIECES):
            write_or_raise(writer, data)
            return
        for start in range(0, len(data), PIECE_BYTES):
            write_or_raise(writer, data[start : start + PIECE_BYTES])
            await asyncio.sleep(PIECE_INTERVAL_S)


class FaultProxy:
    """Listens in place of a server and relays connections to it.

    Attributes:
        port: The port of the proxy; 0 until it listens.
        relays: Open relays by the local port of their connection to the server.
    """

    def __init__(self, host: str, faults: Sequence[LinkFault], rng: Random) -> None:
        self.port = 0
        self.relays: dict[int, Relay] = {}
        self._host = host
        self._faults = faults
        self._rng = rng
        self._run_started_at = float("inf")
        self._server_port = 0
        self._listener: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def set_run_start(self, at: float) -> None:
        """Sets the monotonic time of the start of the run, from which the times of the plan count."""
        self._run_started_at = at

    async def open(self, server_port: int) -> None:
        """Starts to relay to a port of the same host; the port of the proxy itself stays the same."""
        self._server_port = server_port
        self._listener = await asyncio.start_server(self._serve, self._host, self.port, reuse_address=True)
        self.port = self._listener.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Refuses new connections and drops held bytes, because the process of the server has ended."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for task in self._tasks:
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        port = 0
        try:
            server = await asyncio.open_connection(self._host, self._server_port)
            port = server[1].get_extra_info("sockname")[1]
            relay = self.relays[port] = Relay(self, (reader, writer), server)
            await relay.run()
        except (OSError, asyncio.CancelledError):
            pass  # the server is gone, or this proxy is closing
        finally:
            writer.close()
            self.relays.pop(port, None)
            self._tasks.discard(task)

    def _active_fault(self, kind: LinkFaultKind) -> LinkFault | None:
        at = time.monotonic() - self._run_started_at
        active = (fault for fault in self._faults if fault.kind is kind and fault.start <= at < fault.end)
        return next(active, None)

    def draw_fault(self, kind: LinkFaultKind) -> bool:
        """Draws whether a fault of the kind affects the current response."""
        fault = self._active_fault(kind)
        return fault is not None and self._rng.random() < fault.probability

    async def wait_for_link(self, held_kind: LinkFaultKind) -> None:
        """Waits for as long as bytes are delayed or held by a fault of the kind `held_kind`."""
        delay = self._active_fault(LinkFaultKind.DELAY)
        if delay is not None:
            await asyncio.sleep(delay.delay)
        held = self._active_fault(held_kind)
        if held is not None:
            await asyncio.sleep(self._run_started_at + held.end - time.monotonic())
