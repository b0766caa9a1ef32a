"""One request that was admitted, its attempts, and the client that waits for its final answer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from enum import StrEnum
from typing import Protocol

from harecross.http.request_parser import ParsedRequest
from harecross.interface import Outcome
from harecross.upstream.connection_pool import ConnectionPool
from harecross.upstream.exchange import Exchange


class FinalAnswer(StrEnum):
    """What a client got. The values are words of the report and of the attempt log."""

    SERVED = "served"  # a server's response
    SHED = "refused"  # no server has run it: a retry does no harm
    FAILED = "failed"  # a server may have run it
    CLIENT_DISCONNECTED = "left"  # nothing, for the client had gone


class ResponseWriter(Protocol):
    """The client connection on which a request's final answer is written."""

    def is_connected(self) -> bool:
        """Whether the kernel reports that the client is still there; if not, `client_disconnected` follows."""

    def begin_response(self, length: int | None, set_paused: Callable[[bool], None]) -> None:
        """Starts a streamed response of `length` bytes, if that is known.

        `finish_response` or `send_failure` ends it. `set_paused` stops reading it from the server, or goes on.
        """

    def send_part(self, data: bytes) -> None:
        """Writes the next part of a streamed response."""

    def finish_response(self, body: bytes) -> None:
        """Writes a whole response with `body`, or ends a streamed one."""

    def send_shed(self, retry_after: int) -> None:
        """Writes that the request was shed; it may come back after `retry_after` microseconds, unless that is 0."""

    def send_failure(self) -> None:
        """Writes that the request failed."""


class AttemptListener(Protocol):
    """What an attempt reports its progress to."""

    @property
    def pool(self) -> ConnectionPool:
        """The connections to servers."""

    def response_started(self, attempt: UpstreamAttempt, length: int | None, report: Sequence[float]) -> bool:
        """A streamed response begins; returns whether its client still waits."""

    def notify_upload_ended(self, request: DispatchedRequest) -> None:
        """The request's body is no longer on its way to a server."""

    def attempt_written(self, attempt: UpstreamAttempt, *, fresh: bool, whole: bool) -> None:
        """The request was written to a connection, see `Exchange.request_written`."""


class UpstreamAttempt(Exchange):
    """One attempt of a request."""

    __slots__ = ("dispatcher", "number", "request")

    request: DispatchedRequest
    number: int  # 0 for the first attempt
    dispatcher: AttemptListener

    def response_started(self, length: int | None, report: Sequence[float]) -> bool:
        """See `Exchange`."""
        return self.dispatcher.response_started(self, length, report)

    def response_part(self, data: bytes) -> None:
        """See `Exchange`."""
        if self.request.response_writer is not None:
            self.request.response_writer.send_part(data)

    def is_wanted(self) -> bool:
        """See `Exchange`."""
        return self.request.response_writer is not None and self.request.response_writer.is_connected()

    def upload_sent(self) -> None:
        """See `Exchange`."""
        self.dispatcher.notify_upload_ended(self.request)

    def request_id(self) -> str:
        """See `Exchange`."""
        return self.request.parsed.request_id.decode("latin-1")

    def request_written(self, *, fresh: bool, whole: bool) -> None:
        """See `Exchange`."""
        self.dispatcher.attempt_written(self, fresh=fresh, whole=whole)


class DispatchedRequest:
    """A request that was admitted."""

    __slots__ = (
        "attempt_count",
        "being_admitted",
        "deadline_timer",
        "deadline_us",
        "first_run_us",
        "id",
        "in_flight",
        "last_outcome",
        "parsed",
        "response_writer",
    )

    def __init__(
        self, number: int, response_writer: ResponseWriter, parsed: ParsedRequest, deadline_us: int
    ) -> None:
        self.id = number  # the balancer's name for it
        self.response_writer: ResponseWriter | None = response_writer  # None after the final answer
        self.parsed = parsed
        self.deadline_us = deadline_us
        self.attempt_count = 0
        self.in_flight: list[UpstreamAttempt] = []
        self.deadline_timer: asyncio.TimerHandle | None = None
        self.first_run_us: int | None = None  # when the first attempt was sent that a server may have run
        self.being_admitted = True  # its client was connected a moment ago
        self.last_outcome: Outcome | None = None  # of the attempt that ended last: the cause of the next one
