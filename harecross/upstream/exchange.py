"""One message to a server and what becomes of it, and the server's process that it goes to."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

from harecross.http.body_buffer import Upload
from harecross.interface import Outcome

if TYPE_CHECKING:
    from harecross.upstream.connection import ServerConnection

NEVER = 1 << 62  # no time at all


class ServerProcess:
    """One process of a server, as discovery lists it. A restart makes a new one."""

    __slots__ = ("server", "host", "port", "started", "ready", "idle", "links")

    def __init__(self, server: int, host: str, port: int, started: int) -> None:
        self.server = server
        self.host = host
        self.port = port
        self.started = started
        self.ready = True  # in service
        self.links = 0  # connections to it, and attempts at one
        self.idle: list[ServerConnection] = []  # the one used last stands last

    @property
    def address(self) -> str:
        return f"{self.host}:{self.port}"


class Exchange:
    """One message to a server and what becomes of it; `ended` is called exactly once."""

    __slots__ = (
        "server",
        "target",
        "head",
        "body",
        "until",
        "began",
        "timer",
        "conn",
        "over",
        "ended",
        "upload",
        "patience",
        "begun",
        "begin_by",
    )

    def __init__(
        self,
        server: int,
        head: bytes,
        body: bytes,
        until: int,
        ended: Callable[[Exchange, Outcome, bytes, Sequence[float]], None],
    ) -> None:
        self.server = server
        self.head = head  # up to the X-Timeout header, which tells what is left when the first byte goes out
        self.body = body
        self.until = until
        self.ended = ended
        self.began = 0
        self.target: ServerProcess | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.conn: ServerConnection | None = None
        self.over = False
        self.upload: Upload | None = None  # in place of `body`; `until` is set once all of it has left
        self.patience = 0  # and is then so much later
        self.begun = False  # its answer is being passed on
        self.begin_by = NEVER  # its first byte goes out before then or not at all

    def begin(self, length: int | None, report: Sequence[float]) -> bool:
        """A large answer begins, of that many bytes if it says so. Whether anybody wants it."""
        return False

    def part(self, data: bytes) -> None:
        """More of that answer."""

    def wanted(self) -> bool:
        """Whether anybody waits for what comes of it: asked again before its first byte goes out late."""
        return True

    def is_sent(self) -> bool:
        """Whether its last byte has left, so that it may run."""
        return self.conn is not None and self.conn.sent

    def left(self) -> None:
        """The last byte of the upload has left."""

    def written(self, fresh: bool, whole: bool) -> None:
        """It was written to a connection, `fresh` or kept; not `whole` while bytes of it stand here."""

    def request_id(self) -> str:
        """Of the request that it is an attempt of; "" if it is none."""
        return ""


class HealthCheck(Exchange):
    """A test of a server."""

    __slots__ = ()
