"""Admitted requests, their attempts, and the interface to the client that waits for the final answer."""

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
    """The kind of answer that a client received. The values are written to the report line and the attempt log.

    Attributes:
        SERVED: The client received the response of a server.
        SHED: No server has run the request, and a retry is safe.
        FAILED: A server may have run the request.
        CLIENT_DISCONNECTED: Nothing was answered, because the client had disconnected.
    """

    SERVED = "served"
    SHED = "refused"
    FAILED = "failed"
    CLIENT_DISCONNECTED = "left"


class ResponseWriter(Protocol):
    """The client connection to which a request's final answer is written."""

    def is_connected(self) -> bool:
        """Returns whether the client is still connected, according to the kernel.

        If it is not, a call of `RequestDispatcher.client_disconnected` follows.
        """

    def begin_response(self, length: int | None, set_paused: Callable[[bool], None]) -> None:
        """Starts a streamed response of `length` bytes; None means an unknown length.

        `finish_response` or `send_failure` ends the response. `set_paused` pauses or resumes reading it from the
        server.
        """

    def send_part(self, data: bytes) -> None:
        """Writes the next part of a streamed response."""

    def drain(self) -> None:
        """Closes the connection after the response to the current request and to those that are queued behind it."""

    def finish_response(self, body: bytes) -> None:
        """Writes a complete response with `body`, or ends a streamed response."""

    def send_shed(self, retry_after: int) -> None:
        """Writes that the request was shed. `retry_after` is the Retry-After time in microseconds; 0 omits it."""

    def send_failure(self) -> None:
        """Writes that the request failed."""


class AttemptListener(Protocol):
    """Receives the progress of attempts."""

    @property
    def pool(self) -> ConnectionPool:
        """The pool of connections to servers."""

    def needs_whole_response(self, request: DispatchedRequest) -> bool:
        """Returns whether the response must be complete before it is sent to the client."""

    def response_started(self, attempt: UpstreamAttempt, length: int | None, report: Sequence[float]) -> bool:
        """Called when a streamed response starts; returns whether the client still waits for it."""

    def notify_upload_ended(self, request: DispatchedRequest) -> None:
        """Called when the request's body is no longer being sent to a server."""

    def attempt_written(self, attempt: UpstreamAttempt, *, fresh: bool, whole: bool) -> None:
        """Called when the request was written to a connection, see `Exchange.request_written`."""


class UpstreamAttempt(Exchange):
    """One attempt of a request.

    Attributes:
        request: The request.
        number: Index of the attempt within the request; 0 for the first.
        dispatcher: Receiver of the attempt's progress.
    """

    __slots__ = ("dispatcher", "number", "request")

    request: DispatchedRequest
    number: int
    dispatcher: AttemptListener

    def may_be_passed_on(self) -> bool:
        """See `Exchange`."""
        return self.request.response_writer is not None and not self.needs_whole_response()

    def needs_whole_response(self) -> bool:
        """See `Exchange`."""
        return self.dispatcher.needs_whole_response(self.request)

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
    """A request from its admission to its final answer and the end of its last attempt.

    Attributes:
        id: Number of the request, by which the balancer refers to it.
        response_writer: The client connection; None after the final answer.
        parsed: The request as parsed.
        received_us: Time at which the last byte of the request was read; None while its body is being read.
        deadline_us: Time by which the request must be answered, in monotonic microseconds.
        attempt_count: Number of attempts started.
        in_flight: Attempts without an outcome.
        deadline_timer: Timer for `deadline_us`; None while the body is being read and after the final answer.
        must_not_repeat: Whether the request must not run again if a server may have run it.
        first_run_us: Start time of the first attempt to end that a server may have run; None if there is none.
        being_admitted: Whether the request is being admitted, so that its client is known to be connected.
        last_outcome: Outcome of the attempt that ended last, which is the cause of the next attempt.
    """

    __slots__ = (
        "attempt_count",
        "being_admitted",
        "deadline_timer",
        "deadline_us",
        "first_run_us",
        "id",
        "in_flight",
        "last_outcome",
        "must_not_repeat",
        "parsed",
        "received_us",
        "response_writer",
    )

    def __init__(
        self, number: int, response_writer: ResponseWriter, parsed: ParsedRequest, deadline_us: int
    ) -> None:
        self.id = number
        self.response_writer: ResponseWriter | None = response_writer
        self.parsed = parsed
        whole = parsed.upload is None or parsed.upload.complete
        self.received_us: int | None = parsed.received_us if whole else None
        self.deadline_us = deadline_us
        self.attempt_count = 0
        self.in_flight: list[UpstreamAttempt] = []
        self.deadline_timer: asyncio.TimerHandle | None = None
        self.must_not_repeat = False
        self.first_run_us: int | None = None
        self.being_admitted = True
        self.last_outcome: Outcome | None = None

    def is_streamed(self) -> bool:
        """Returns whether the response of an attempt is being streamed to the client."""
        return any(attempt.response_streamed for attempt in self.in_flight)
