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
from harecross.standins.http import write_open

READ_MOST = 1 << 16  # bytes
PIECE = 5  # bytes of an answer that comes in pieces
PIECE_PAUSE = 0.004  # seconds between two of them
CUT_AT = 20  # bytes of an answer that a reset lets through

Stream = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class Relay:
    """One connection of a node and the one to the server that belongs to it."""

    def __init__(self, proxy: FaultProxy, node: Stream, server: Stream) -> None:
        self.proxy = proxy
        self.node = node
        self.server = server
        # When the first byte of the request that the server has not taken yet came here, in monotonic seconds.
        self.request_came: float | None = None

    async def run(self) -> None:
        """Until both directions have ended."""
        try:
            await asyncio.gather(self.to_server(), self.to_node())
        finally:
            for _, writer in (self.node, self.server):
                writer.close()

    async def to_server(self) -> None:
        reader, writer = self.node[0], self.server[1]
        try:
            while data := await reader.read(READ_MOST):
                if self.request_came is None:
                    self.request_came = time.monotonic()
                await self.proxy.hold(LinkFaultKind.REQUESTS_HELD)
                write_open(writer, data)
        except ConnectionError:
            pass
        # The node has closed, which ends the server's work; nodes never close their sending side alone.
        writer.close()

    async def to_node(self) -> None:
        reader, writer = self.server[0], self.node[1]
        try:
            while data := await reader.read(READ_MOST):
                await self.proxy.hold(LinkFaultKind.ANSWERS_HELD)
                if self.proxy.strikes(LinkFaultKind.RESET):
                    write_open(writer, data[:CUT_AT])
                    writer.transport.abort()
                    return
                if self.proxy.strikes(LinkFaultKind.HALF_CLOSE):
                    break
                await self.pass_on(data, writer)
            if not writer.is_closing():
                writer.write_eof()
        except (ConnectionError, OSError):
            writer.transport.abort()

    async def pass_on(self, data: bytes, writer: asyncio.StreamWriter) -> None:
        """Writes what came, in pieces where the plan says so."""
        if not self.proxy.strikes(LinkFaultKind.PIECES):
            write_open(writer, data)
            return
        for at in range(0, len(data), PIECE):
            write_open(writer, data[at : at + PIECE])
            await asyncio.sleep(PIECE_PAUSE)


class FaultProxy:
    """Listens in a server's place. `began` is the monotonic time that the plan's times count from."""

    def __init__(self, host: str, faults: Sequence[LinkFault], rng: Random) -> None:
        self.host = host
        self.faults = faults
        self.rng = rng
        self.began = float("inf")
        self.port = 0
        self.server_port = 0
        self.listener: asyncio.Server | None = None
        self.relays: dict[int, Relay] = {}  # by the port of the connection to the server
        self.tasks: set[asyncio.Task[None]] = set()

    async def open(self, server_port: int) -> None:
        """Connections go to that port of the same host; the proxy's own port stays the same."""
        self.server_port = server_port
        self.listener = await asyncio.start_server(self.serve, self.host, self.port, reuse_address=True)
        self.port = self.listener.sockets[0].getsockname()[1]

    def close(self) -> None:
        """The server's process dies: nothing more is accepted, what is held is lost."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        for task in self.tasks:
            task.cancel()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        port = 0
        try:
            server = await asyncio.open_connection(self.host, self.server_port)
            port = server[1].get_extra_info("sockname")[1]
            relay = self.relays[port] = Relay(self, (reader, writer), server)
            await relay.run()
        except (OSError, asyncio.CancelledError):
            pass  # the server has gone, or this proxy closes
        finally:
            writer.close()
            self.relays.pop(port, None)
            self.tasks.discard(task)

    # ---- faults -----------------------------------------------------------------------------------------

    def active(self, kind: LinkFaultKind) -> LinkFault | None:
        """The fault of that kind that holds now."""
        at = time.monotonic() - self.began
        return next((f for f in self.faults if f.kind is kind and f.start <= at < f.end), None)

    def strikes(self, kind: LinkFaultKind) -> bool:
        """Draws whether a fault that comes with a probability hits now."""
        fault = self.active(kind)
        return fault is not None and self.rng.random() < fault.probability

    async def hold(self, kind: LinkFaultKind) -> None:
        """Waits as long as bytes of that direction are held or delayed."""
        delay = self.active(LinkFaultKind.DELAY)
        if delay is not None:
            await asyncio.sleep(delay.seconds)
        held = self.active(kind)
        if held is not None:
            await asyncio.sleep(self.began + held.end - time.monotonic())
