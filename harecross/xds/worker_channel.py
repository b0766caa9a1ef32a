"""The channel between the service and a worker, with length-prefixed msgpack messages over a socket pair."""

from __future__ import annotations

import asyncio
import struct
from collections.abc import Callable
from typing import Any

import msgspec

from harecross.xds.config import Limits, TlsTable
from harecross.xds.published import PublishedCluster


class WorkerSetup(msgspec.Struct, frozen=True, tag="setup"):
    """The first message to a worker, with its settings.

    Attributes:
        clients: The clusters that clients may see, by a pattern of the certificate name.
        status: Patterns of the certificate names that may query the status.
        adaptive: Whether listeners contain the adaptive concurrency filter.
        load_reports_s: The interval at which proxies send load reports, 0 for no load reports.
    """

    listen: str
    tls: TlsTable | None
    limits: Limits
    clients: dict[str, tuple[str, ...]]
    status: tuple[str, ...]
    adaptive: bool
    load_reports_s: float


class PublishMessage(msgspec.Struct, frozen=True, tag="publish"):
    """The changes of what is published since the previous message; the first one contains all clusters."""

    changed: dict[str, PublishedCluster]
    removed: tuple[str, ...]
    urgent: tuple[str, ...]


class AccessMessage(msgspec.Struct, frozen=True, tag="clients"):
    """New rules for which clusters clients may see."""

    rules: dict[str, tuple[str, ...]]


class StatusQuery(msgspec.Struct, frozen=True, tag="ask"):
    """A query for stream status, answered by a `StatusAnswer` with the same number.

    A worker asks the service for the streams of all workers; the service asks each worker for its own streams.
    """

    number: int


class StatusAnswer(msgspec.Struct, frozen=True, tag="rows"):
    """The status rows that answer a `StatusQuery`."""

    number: int
    rows: list[dict[str, Any]]


class Listening(msgspec.Struct, frozen=True, tag="listening"):
    """A worker's first message: the port that it listens on, or why it cannot listen."""

    port: int
    error: str = ""


class StreamCount(msgspec.Struct, frozen=True, tag="streams"):
    """How many streams a worker has open, and how many bytes of responses it has sent."""

    streams: int
    bytes_sent: int


class LoadReportMessage(msgspec.Struct, frozen=True, tag="report"):
    """One server's figures in a proxy's load report; see `load_reports.LoadReports.add`."""

    cluster: str
    reporter: str
    server: str
    good: int
    bad: int
    in_progress: int
    seconds: float


Message = (
    WorkerSetup
    | PublishMessage
    | AccessMessage
    | StatusQuery
    | StatusAnswer
    | Listening
    | StreamCount
    | LoadReportMessage
)
encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Message).decode
LENGTH = struct.Struct("!I")


def frame(message: Message) -> bytes:
    """Encodes a message, with its length as a prefix."""
    body = encode(message)
    return LENGTH.pack(len(body)) + body


class WorkerChannel:
    """One end of the socket pair."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer

    def send(self, message: Message) -> None:
        """Sends a message. Does nothing if the channel is closing."""
        self.send_frame(frame(message))

    def send_frame(self, framed: bytes) -> None:
        """Sends a message that `frame` has encoded. Does nothing if the channel is closing."""
        if not self._writer.transport.is_closing():
            self._writer.write(framed)

    async def flush(self) -> None:
        """Waits until the send buffer has drained."""
        await self._writer.drain()

    def close(self) -> None:
        """Closes this end; the other end then receives EOF."""
        self._writer.close()

    async def receive(self) -> Message:
        """Returns the next message. Raises EOFError once the other end is closed."""
        try:
            (length,) = LENGTH.unpack(await self._reader.readexactly(LENGTH.size))
            return decode(await self._reader.readexactly(length))
        except (asyncio.IncompleteReadError, ConnectionError):
            raise EOFError from None

    async def receive_all(self, handle: Callable[[Message], None]) -> None:
        """Calls `handle` with each message until the other end is closed."""
        while True:
            try:
                handle(await self.receive())
            except EOFError:
                return
