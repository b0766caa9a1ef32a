"""One message to a server and its outcome. Times in monotonic microseconds."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import Protocol

from harecross.http.body_buffer import Upload
from harecross.interface import Outcome

NO_DEADLINE_US = 1 << 62


class ServerAddress(Protocol):
    """Where a server listens."""

    @property
    def host(self) -> str:
        """An IP address or a host name."""

    @property
    def port(self) -> int:
        """A TCP port."""


class ExchangeCarrier(Protocol):
    """The connection that carries an exchange."""

    sent: bool  # the last byte of the message has left this process

    def set_read_paused(self, paused: bool) -> None:
        """Stops reading the response, or goes on."""

    def abandon_exchange(self, exchange: Exchange) -> None:
        """Closes the connection, for the response could still come on it. The exchange gets no outcome here."""


class Exchange:
    """One message to a server and its outcome; `on_ended` is called exactly once, with a body and a load report.

    Subclasses get the parts of a streamed response and learn how far the message has come.
    """

    __slots__ = (
        "body",
        "connection",
        "deadline_timer",
        "deadline_us",
        "finished",
        "head",
        "on_ended",
        "process",
        "response_streamed",
        "server",
        "start_by_us",
        "started_us",
        "upload",
        "upload_timeout_us",
    )

    def __init__(
        self,
        server: int,
        head: bytes,
        body: bytes,
        deadline_us: int,
        on_ended: Callable[[Exchange, Outcome, bytes, Sequence[float]], None],
    ) -> None:
        """`head`: all but the X-Timeout header, which says how much time is left when the first byte is sent."""
        self.server = server
        self.head = head
        self.body = body
        self.deadline_us = deadline_us
        self.on_ended = on_ended
        self.started_us = 0
        self.process: ServerAddress | None = None
        self.deadline_timer: asyncio.TimerHandle | None = None
        self.connection: ExchangeCarrier | None = None
        self.finished = False
        self.upload: Upload | None = None  # in place of `body`
        self.upload_timeout_us = 0  # time for the response once the last byte of the upload has left
        self.response_streamed = False  # its response is being streamed
        self.start_by_us = NO_DEADLINE_US  # its first byte is sent before then or not at all

    def response_started(self, length: int | None, report: Sequence[float]) -> bool:
        """A streamed response of `length` bytes begins (None: not known); returns whether anybody wants it."""
        return False

    def response_part(self, data: bytes) -> None:
        """The next part of a streamed response was received."""

    def is_wanted(self) -> bool:
        """Whether anybody waits for its outcome; asked before the first byte if the connection took time."""
        return True

    def is_sent(self) -> bool:
        """Whether its last byte has left this process, so that a server may run it."""
        return self.connection is not None and self.connection.sent

    def upload_sent(self) -> None:
        """The last byte of the upload has left this process."""

    def request_written(self, *, fresh: bool, whole: bool) -> None:
        """It was written to a new connection (`fresh`) or a kept one; `whole`: all of it has left this process."""

    def request_id(self) -> str:
        """The id of the request that it is an attempt of; "" for none."""
        return ""


class HealthCheck(Exchange):
    """A health check of a server."""

    __slots__ = ()
