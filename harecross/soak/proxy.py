"""A TCP proxy between nodes and one server whose link fails as its plan says.

A fault that delays or holds bytes keeps their order, and holds what a node has written even where the node has closed
its connection meanwhile, as a network does that loses packets for a while.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Sequence
from random import Random

from harecross.soak.plan import LinkFault, LinkFaultKind
from harecross.standins.http import write_or_raise

MAX_READ_BYTES = 1 << 16
PIECE_BYTES = 5  # of an answer that arrives in pieces
PIECE_INTERVAL_S = 0.004
RESET_AFTER_BYTES = 20  # of an answer

Stream = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class Relay:
    """One connection of a node, and its connection to the server."""

    def __init__(self, proxy: FaultProxy, node: Stream, server: Stream) -> None:
        # When the first byte came of the request that the server has not received yet, in monotonic seconds.
        self.request_began: float | None = None
        self._proxy = proxy
        self._node = node
        self._server = server

    async def run(self) -> None:
        """Relays until both directions have ended."""
        try:
            await asyncio.gather(self._relay_requests(), self._relay_answers())
        finally:
            for _, writer in (self._node, self._server):
                writer.close()

    async def _relay_requests(self) -> None:
        reader, writer = self._node[0], self._server[1]
        try:
            while data := await reader.read(MAX_READ_BYTES):
                if self.request_began is None:
                    self.request_began = time.monotonic()
                await self._proxy.wait_for_link(LinkFaultKind.REQUESTS_HELD)
                write_or_raise(writer, data)
        except ConnectionError:
            pass
        # The node has closed, which ends the server's work; nodes never close their sending side alone.
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
        """Writes an answer, in pieces if that fault is drawn."""
        if not self._proxy.draw_fault(LinkFaultKind.PIECES):
            write_or_raise(writer, data)
            return
        for start in range(0, len(data), PIECE_BYTES):
            write_or_raise(writer, data[start : start + PIECE_BYTES])
            await asyncio.sleep(PIECE_INTERVAL_S)


class FaultProxy:
    """Listens in a server's place."""

    def __init__(self, host: str, faults: Sequence[LinkFault], rng: Random) -> None:
        self.port = 0
        self.relays: dict[int, Relay] = {}  # by the port of the connection to the server
        self._host = host
        self._faults = faults
        self._rng = rng
        self._run_began = float("inf")
        self._server_port = 0
        self._listener: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def begin(self, at: float) -> None:
        """The run began at that monotonic time, from which the plan's times count."""
        self._run_began = at

    async def open(self, server_port: int) -> None:
        """Relays to that port of the same host; the proxy's own port stays the same."""
        self._server_port = server_port
        self._listener = await asyncio.start_server(self._serve, self._host, self.port, reuse_address=True)
        self.port = self._listener.sockets[0].getsockname()[1]

    def close(self) -> None:
        """The server's process dies: no connection is accepted, and held bytes are lost."""
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
            pass  # the server is gone, or this proxy closes
        finally:
            writer.close()
            self.relays.pop(port, None)
            self._tasks.discard(task)

    # ---- faults -------------------------------------------------------------------------------------------

    def _active_fault(self, kind: LinkFaultKind) -> LinkFault | None:
        at = time.monotonic() - self._run_began
        active = (fault for fault in self._faults if fault.kind is kind and fault.start <= at < fault.end)
        return next(active, None)

    def draw_fault(self, kind: LinkFaultKind) -> bool:
        """Draws whether a fault of that kind happens now."""
        fault = self._active_fault(kind)
        return fault is not None and self._rng.random() < fault.probability

    async def wait_for_link(self, held_kind: LinkFaultKind) -> None:
        """Waits as long as bytes are delayed, and held by a fault of that kind."""
        delay = self._active_fault(LinkFaultKind.DELAY)
        if delay is not None:
            await asyncio.sleep(delay.delay)
        held = self._active_fault(held_kind)
        if held is not None:
            await asyncio.sleep(self._run_began + held.end - time.monotonic())
