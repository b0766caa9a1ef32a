"""One request message to a server and its outcome. Times are in monotonic microseconds."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import Protocol

from harecross.http.body_buffer import Upload
from harecross.interface import Outcome

NO_DEADLINE_US = 1 << 62


class ServerAddress(Protocol):
    """The address on which a server listens."""

    @property
    def host(self) -> str:
        """An IP address or a host name."""

    @property
    def port(self) -> int:
        """A TCP port."""


class ExchangeCarrier(Protocol):
    """The connection that carries an exchange, as the exchange sees it.

    Attributes:
        sent: Whether the last byte of the message has left this process.
    """

    sent: bool

    def set_read_paused(self, paused: bool) -> None:
        """Pauses or resumes reading the response."""

    def has_begun_response(self) -> bool:
        """Returns whether a response of unknown length has begun that may still be passed on."""

    def pass_on_begun_response(self) -> bool:
        """Passes on a response of unknown length that has begun; returns whether there is one."""

    def unsent_bytes(self) -> int:
        """Returns the number of bytes that the kernel has not accepted yet."""

    def held_response_bytes(self) -> int:
        """Returns the number of bytes of the response that are not passed on yet."""

    def abandon_exchange(self, exchange: Exchange) -> None:
        """Closes the connection, because the response could still arrive on it. Does not report an outcome."""


class Exchange:
    """One request message to a server and its outcome.

    Subclasses override the callback methods to receive a streamed response and to follow the progress of the message.

    Attributes:
        head: Request head without the X-Timeout header, whose value is set when the first byte is sent.
        body: The body; empty if `upload` is set.
        upload: A body that is still being received; None if `body` is complete.
        deadline_us: Time at which the exchange is abandoned.
        start_by_us: The first byte is sent before this time or not at all.
        needs_known_process: Whether the exchange may be sent only to the process that discovery has listed, and not
            to one that may have taken over its address.
        started_us: Time at which the exchange was passed to the pool, or at which its upload was sent completely.
        upload_timeout_us: Timeout for the response, counted from when the last byte of the upload was sent.
        on_ended: Called exactly once, with the exchange, its outcome, the response body and the load report.
        finished: Whether `on_ended` was called.
        response_streamed: Whether a streamed response has started.
    """

    __slots__ = (
        "body",
        "connection",
        "deadline_timer",
        "deadline_us",
        "finished",
        "head",
        "needs_known_process",
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
        """Creates an exchange with a complete body; see the class for the parameters."""
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
        self.upload: Upload | None = None
        self.upload_timeout_us = 0
        self.response_streamed = False
        self.start_by_us = NO_DEADLINE_US
        self.needs_known_process = False

    def may_be_passed_on(self) -> bool:
        """Returns whether the first bytes of a response may be passed on before the rest has come."""
        return False

    def has_begun_response(self) -> bool:
        """Returns whether a response has begun whose rest may follow after every deadline."""
        return self.connection is not None and self.connection.has_begun_response()

    def needs_whole_response(self) -> bool:
        """Returns whether the response must be complete before any of it is passed on."""
        return False

    def response_started(self, length: int | None, report: Sequence[float]) -> bool:
        """Called when a streamed response of `length` bytes starts; None means an unknown length.

        Returns whether the response is still needed.
        """
        return False

    def response_part(self, data: bytes) -> None:
        """Called with each part of a streamed response."""

    def is_wanted(self) -> bool:
        """Returns whether the outcome is still needed; checked before the first byte is sent on a new connection."""
        return True

    def is_sent(self) -> bool:
        """Returns whether the last byte has left this process, so that the server may run the request."""
        return self.connection is not None and self.connection.sent

    def upload_sent(self) -> None:
        """Called when the last byte of the upload has left this process."""

    def request_written(self, *, fresh: bool, whole: bool) -> None:
        """Called when the message was written to a connection.

        `fresh` tells whether the connection is new, and `whole` whether the complete message has left this process.
        """

    def request_id(self) -> str:
        """Returns the ID of the request that this is an attempt of; "" if there is none."""
        return ""


class HealthCheck(Exchange):
    """A health check request to a server."""

    __slots__ = ()
