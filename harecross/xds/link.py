"""Messages between the service and its workers: length-prefixed msgpack over a socket pair."""

from __future__ import annotations

import asyncio
import struct
from collections.abc import Callable
from typing import Any

import msgspec

from harecross.xds.config import Limits, TlsTable
from harecross.xds.publish import Told


class Setup(msgspec.Struct, frozen=True, tag="setup"):
    """The first message to a worker: what it serves, and how."""

    listen: str
    tls: TlsTable | None
    limits: Limits
    clients: dict[str, tuple[str, ...]]
    status: tuple[str, ...]
    adaptive: bool
    load_reports_s: float


class Publish(msgspec.Struct, frozen=True, tag="publish"):
    """What has changed of what is told."""

    changed: dict[str, Told]
    gone: tuple[str, ...]
    urgent: tuple[str, ...]


class Clients(msgspec.Struct, frozen=True, tag="clients"):
    """Other rules on who may see what."""

    rules: dict[str, tuple[str, ...]]


class Ask(msgspec.Struct, frozen=True, tag="ask"):
    """A question for the status of all streams, or of one worker's; answered by `Rows` of the same number."""

    number: int


class Rows(msgspec.Struct, frozen=True, tag="rows"):
    """Rows of the status."""

    number: int
    rows: list[dict[str, Any]]


class Listening(msgspec.Struct, frozen=True, tag="listening"):
    """A worker serves, or cannot."""

    port: int
    error: str = ""


class Streams(msgspec.Struct, frozen=True, tag="streams"):
    """How many streams a worker has, and how many bytes it has sent."""

    count: int
    sent: int


class Report(msgspec.Struct, frozen=True, tag="report"):
    """One line of a proxy's load report."""

    cluster: str
    voice: str
    server: str
    good: int
    bad: int
    in_progress: int
    seconds: float


Message = Setup | Publish | Clients | Ask | Rows | Listening | Streams | Report
encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Message).decode
SIZE = struct.Struct("!I")


def framed(message: Message) -> bytes:
    text = encode(message)
    return SIZE.pack(len(text)) + text


class Link:
    """One end of a socket pair."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    def send(self, message: Message) -> None:
        self.send_bytes(framed(message))

    def send_bytes(self, text: bytes) -> None:
        if not self.writer.transport.is_closing():
            self.writer.write(text)

    async def receive(self) -> Message:
        """The next message. EOFError when the other end has gone."""
        try:
            (size,) = SIZE.unpack(await self.reader.readexactly(SIZE.size))
            return decode(await self.reader.readexactly(size))
        except (asyncio.IncompleteReadError, ConnectionError):
            raise EOFError from None

    async def each(self, take: Callable[[Message], None]) -> None:
        """Takes messages until the other end has gone."""
        while True:
            try:
                take(await self.receive())
            except EOFError:
                return
