"""The channel between the service and a worker: length-prefixed msgpack messages over a socket pair."""

from __future__ import annotations

import asyncio
import struct
from collections.abc import Callable
from typing import Any

import msgspec

from harecross.xds.config import Limits, TlsTable
from harecross.xds.published import PublishedCluster


class WorkerSetup(msgspec.Struct, frozen=True, tag="setup"):
    """The first message to a worker: what it serves, and how."""

    listen: str
    tls: TlsTable | None
    limits: Limits
    clients: dict[str, tuple[str, ...]]  # which clusters clients may see
    status: tuple[str, ...]  # certificate names that may ask for the status
    adaptive: bool  # concurrency
    load_reports_s: float


class PublishMessage(msgspec.Struct, frozen=True, tag="publish"):
    """What has changed of what is published."""

    changed: dict[str, PublishedCluster]
    removed: tuple[str, ...]
    urgent: tuple[str, ...]


class AccessMessage(msgspec.Struct, frozen=True, tag="clients"):
    """Other rules on which clusters clients may see."""

    rules: dict[str, tuple[str, ...]]


class StatusQuery(msgspec.Struct, frozen=True, tag="ask"):
    """Asks for the status of all streams, or of one worker's; answered by `StatusAnswer` of the same number."""

    number: int


class StatusAnswer(msgspec.Struct, frozen=True, tag="rows"):
    """Rows of the status."""

    number: int
    rows: list[dict[str, Any]]


class Listening(msgspec.Struct, frozen=True, tag="listening"):
    """A worker listens, or cannot."""

    port: int
    error: str = ""


class StreamCount(msgspec.Struct, frozen=True, tag="streams"):
    """How many streams a worker has, and how many bytes it has sent."""

    streams: int
    bytes_sent: int


class LoadReportMessage(msgspec.Struct, frozen=True, tag="report"):
    """One line of a proxy's load report, see `load_reports.LoadReports.add`."""

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
    """A message with its length before it."""
    body = encode(message)
    return LENGTH.pack(len(body)) + body


class WorkerChannel:
    """One end of the socket pair."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer

    def send(self, message: Message) -> None:
        """Sends a message; does nothing once the channel closes."""
        self.send_frame(frame(message))

    def send_frame(self, framed: bytes) -> None:
        """Sends a message that is framed already."""
        if not self._writer.transport.is_closing():
            self._writer.write(framed)

    async def flush(self) -> None:
        """Waits until what was sent is on its way."""
        await self._writer.drain()

    def close(self) -> None:
        """Closes this end, which ends the other."""
        self._writer.close()

    async def receive(self) -> Message:
        """The next message. EOFError once the other end is closed."""
        try:
            (length,) = LENGTH.unpack(await self._reader.readexactly(LENGTH.size))
            return decode(await self._reader.readexactly(length))
        except (asyncio.IncompleteReadError, ConnectionError):
            raise EOFError from None

    async def receive_all(self, handle: Callable[[Message], None]) -> None:
        """Hands over messages until the other end is closed."""
        while True:
            try:
                handle(await self.receive())
            except EOFError:
                return
