"""One message to a server and what becomes of it, and the server's process that it goes to."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

from harecross.http.body_buffer import Upload
from harecross.interface import Outcome

if TYPE_CHECKING:
    from harecross.upstream.connection import ServerConnection

NO_DEADLINE_US = 1 << 62  # no time at all


class ServerProcess:
    """One process of a server, as discovery lists it. A restart makes a new one."""

    __slots__ = ("server", "host", "port", "started_at", "in_service", "idle", "connection_count")

    def __init__(self, server: int, host: str, port: int, started: int) -> None:
        self.server = server
        self.host = host
        self.port = port
        self.started_at = started
        self.in_service = True  # in service
        self.connection_count = 0  # connections to it, and attempts at one
        self.idle: list[ServerConnection] = []  # the one used last stands last

    @property
    def address(self) -> str:
        return f"{self.host}:{self.port}"


class Exchange:
    """One message to a server and what becomes of it; `on_ended` is called exactly once."""

    __slots__ = (
        "server",
        "process",
        "head",
        "body",
        "deadline_us",
        "started_us",
        "deadline_timer",
        "connection",
        "finished",
        "on_ended",
        "upload",
        "upload_timeout_us",
        "response_begun",
        "start_by_us",
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
        self.deadline_us = until
        self.on_ended = ended
        self.started_us = 0
        self.process: ServerProcess | None = None
        self.deadline_timer: asyncio.TimerHandle | None = None
        self.connection: ServerConnection | None = None
        self.finished = False
        self.upload: Upload | None = None  # in place of `body`; `deadline_us` is set once all of it has left
        self.upload_timeout_us = 0  # and is then so much later
        self.response_begun = False  # its answer is being passed on
        self.start_by_us = NO_DEADLINE_US  # its first byte goes out before then or not at all

    def response_begins(self, length: int | None, report: Sequence[float]) -> bool:
        """A large answer begins, of that many bytes if it says so. Whether anybody wants it."""
        return False

    def response_part(self, data: bytes) -> None:
        """More of that answer."""

    def is_wanted(self) -> bool:
        """Whether anybody waits for what comes of it: asked again before its first byte goes out late."""
        return True

    def is_sent(self) -> bool:
        """Whether its last byte has left, so that it may run."""
        return self.connection is not None and self.connection.sent

    def upload_sent(self) -> None:
        """The last byte of the upload has left."""

    def request_written(self, fresh: bool, whole: bool) -> None:
        """It was written to a connection, `fresh` or kept; not `whole` while bytes of it stand here."""

    def request_id(self) -> str:
        """Of the request that it is an attempt of; "" if it is none."""
        return ""


class HealthCheck(Exchange):
    """A test of a server."""

    __slots__ = ()
