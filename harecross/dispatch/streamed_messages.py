"""Requests whose bodies are forwarded while they arrive, and responses that are passed on while they arrive."""

from __future__ import annotations

import asyncio
from abc import abstractmethod
from collections.abc import Callable, Sequence

from harecross.dispatch.deadlines import ResponseDeadlines
from harecross.dispatch.request import DispatchedRequest, FinalAnswer, ResponseWriter, UpstreamAttempt
from harecross.dispatch.request_table import RequestTable
from harecross.interface import FinalReason, Outcome
from harecross.platform.clock import monotonic_us
from harecross.policy.balancer import Balancer
from harecross.upstream.connection_pool import ConnectionPool


def ignore_pause(paused: bool) -> None:  # noqa: FBT001
    """Does nothing: the connection that would be paused is closed."""


class StreamedMessages(RequestTable):
    """The timeouts of streamed bodies, and the start and the end of streamed responses.

    Attributes:
        deadlines: Computes the deadlines of requests.
    """

    balancer: Balancer
    deadlines: ResponseDeadlines
    loop: asyncio.AbstractEventLoop
    pool: ConnectionPool

    @abstractmethod
    def notify_client_disconnected(self, request: DispatchedRequest) -> None:
        """Notifies the balancer that the client no longer waits for the request."""

    @abstractmethod
    def notify_outcome(
        self, attempt: UpstreamAttempt, outcome: Outcome, report: Sequence[float], *, final: bool
    ) -> None:
        """Notifies the balancer of the outcome of an attempt; `final`: the request has its final answer."""

    @abstractmethod
    def notify_uploading(self, request: DispatchedRequest, *, on: bool) -> None:
        """Notifies the balancer whether the request's body is being sent to a server."""

    @abstractmethod
    def deadline_passed(self, request: DispatchedRequest) -> None:
        """Fails a request whose deadline has passed, independently of the balancer."""

    def body_received(self, request: DispatchedRequest, read_delay_us: int = 0) -> None:
        """Starts the request's timeout, because the last byte of its streamed body was received."""
        if request.response_writer is None or request.received_us is not None or request.is_streamed():
            return
        if request.deadline_timer is not None:
            request.deadline_timer.cancel()
        request.received_us = now = monotonic_us()
        request.deadline_us = self.deadlines.response_deadline_us(request.parsed, now, read_delay_us)
        delay_us = max(0, request.deadline_us - now)
        request.deadline_timer = self.loop.call_later(delay_us / 1e6, self.deadline_passed, request)

    def body_paused(self, request: DispatchedRequest, last_byte_us: Callable[[], int]) -> None:
        """Starts the request's timeout when its streamed body is not read, because no server takes more of it.

        The last byte may be among those that are not read. `last_byte_us` returns since when it may have been written.
        """
        if request.response_writer is None or request.deadline_timer is not None or request.is_streamed():
            return
        self.check_paused_body(request, last_byte_us)

    def check_paused_body(self, request: DispatchedRequest, last_byte_us: Callable[[], int]) -> None:
        """Fails a request whose time is up if its body was written; the client may be writing on meanwhile."""
        now = monotonic_us()
        request.deadline_us = self.deadlines.response_deadline_us(request.parsed, last_byte_us())
        if request.deadline_us > now:
            request.deadline_timer = self.loop.call_later(
                (request.deadline_us - now) / 1e6, self.check_paused_body, request, last_byte_us
            )
            return
        if self.pass_on_begun_response(request):
            return
        self.fail_request(request, FinalReason.DEADLINE)
        for attempt in list(request.in_flight):
            self.pool.abandon(attempt, Outcome.TIMEOUT)
        self.notify_upload_ended(request)
        self.notify_client_disconnected(request)

    def body_consumed(self, request: DispatchedRequest) -> None:
        """Notifies the balancer if no other attempt is possible: the first bytes of the body are no longer buffered.

        Called after a part of a streamed body was sent to a server.
        """
        upload = request.parsed.upload
        if upload is not None and not upload.replayable and request.response_writer is not None:
            self.balancer.response_started(monotonic_us(), request.id, request.attempt_count - 1, 0, 0)

    def notify_upload_started(self, request: DispatchedRequest) -> None:
        """Notifies the balancer that the request's body is being sent to a server, if that is still the case."""
        upload = request.parsed.upload
        if upload is None or not request.in_flight or request.in_flight[0].finished or upload.complete:
            return
        self.notify_uploading(request, on=True)

    def notify_upload_ended(self, request: DispatchedRequest) -> None:
        """Notifies the balancer that a streamed request body is no longer being sent to a server."""
        if request.parsed.upload is not None:
            self.notify_uploading(request, on=False)

    @staticmethod
    def pass_on_begun_response(request: DispatchedRequest) -> bool:
        """Passes on a response of unknown length that has begun; returns whether there is one."""
        carriers = [attempt.connection for attempt in request.in_flight]
        return any(carrier is not None and carrier.pass_on_begun_response() for carrier in carriers)

    def response_started(self, attempt: UpstreamAttempt, length: int | None, report: Sequence[float]) -> bool:
        """Starts a streamed response to the client; returns whether the client still waits for it.

        The balancer is notified of the outcome now, because the latency objective applies to the first bytes, and a
        slow reader must not occupy the concurrency limit of the server.
        """
        request, connection = attempt.request, attempt.connection
        if request.response_writer is None:
            return False
        if self.needs_whole_response(request):
            self.fail_large_response(request, request.response_writer)
            return False
        if request.deadline_timer is not None:
            request.deadline_timer.cancel()
        set_paused: Callable[[bool], None] = (
            connection.set_read_paused if connection is not None else ignore_pause
        )
        request.response_writer.begin_response(length, set_paused)
        self.notify_outcome(attempt, Outcome.OK, report, final=True)
        return True

    def needs_whole_response(self, request: DispatchedRequest) -> bool:
        """Returns whether the response must be complete before it is sent to the client."""
        received_us = monotonic_us() if request.received_us is None else request.received_us
        return self.deadlines.needs_whole_response(received_us)

    def fail_large_response(self, request: DispatchedRequest, response_writer: ResponseWriter) -> None:
        """Fails a request whose response is too large to be held until it is complete.

        The connection is closed, so that the client sends its next request to another node.
        """
        response_writer.drain()
        self.fail_request(request, FinalReason.DEADLINE)
        self.notify_client_disconnected(request)

    def streamed_response_ended(self, attempt: UpstreamAttempt, outcome: Outcome) -> None:
        """Handles the end of a streamed response, whose outcome the balancer already has.

        If the response was truncated, a failure is still recorded for its server.
        """
        request = attempt.request
        if outcome == Outcome.OK:
            self.send_final_answer(request, FinalAnswer.SERVED)
        else:
            self.fail_request(request, FinalReason.RESPONSE_BROKEN)
        self.remove_if_done(request)
        if outcome not in (Outcome.OK, Outcome.CANCELLED):
            self.balancer.load_reported(monotonic_us(), attempt.server, 0, 1, ())
