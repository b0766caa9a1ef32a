"""The table of open requests, which gives each request its final answer exactly once."""

from __future__ import annotations

from collections import Counter

from harecross.dispatch.close_reasons import ClosedConnection
from harecross.dispatch.remembered_ids import RememberedIds
from harecross.dispatch.request import DispatchedRequest, FinalAnswer, ResponseWriter
from harecross.dispatch.statistics import DispatchStatistics
from harecross.dispatch.tracer import RequestTracer
from harecross.interface import FinalReason
from harecross.platform.clock import monotonic_us


class RequestTable:
    """The requests that have no final answer yet, or still have an attempt in flight.

    Attributes:
        requests: The open requests by number.
        open_request_ids: X-Request-ID of each open request.
        remembered_ids: X-Request-ID of each request that must not run twice, and may have run.
        tracer: Receives events of requests and connections; None if they are not traced.
    """

    def __init__(self, remembered_ids: RememberedIds, *, retry_after_allowed: bool) -> None:
        self.remembered_ids = remembered_ids
        self.retry_after_allowed = retry_after_allowed
        self.requests: dict[int, DispatchedRequest] = {}
        self.open_request_ids: set[bytes] = set()
        self.last_request_number = 0
        self.statistics = DispatchStatistics()
        self.tracer: RequestTracer | None = None

    def is_open(self, request_id: bytes) -> bool:
        """Returns whether a request with that ID has no final answer yet, or still has an attempt in flight."""
        return request_id in self.open_request_ids

    def in_flight_by_server(self) -> Counter[int]:
        """Returns the number of attempts in flight to each server, including streamed uploads and responses."""
        return Counter(attempt.server for request in self.requests.values() for attempt in request.in_flight)

    def detach_client(self, request: DispatchedRequest) -> ResponseWriter | None:
        """Detaches the client from a request; returns its connection, or None if it was already detached."""
        response_writer, request.response_writer = request.response_writer, None
        if request.deadline_timer is not None:
            request.deadline_timer.cancel()
            request.deadline_timer = None
        if request.parsed.upload is not None and response_writer is not None:
            request.parsed.upload.discard()
        self.remove_if_done(request)
        return response_writer

    def remove_if_done(self, request: DispatchedRequest) -> None:
        """Removes the request if it has its final answer and no attempt in flight."""
        if (
            request.response_writer is None
            and not request.in_flight
            and self.requests.pop(request.id, None) is not None
        ):
            self.open_request_ids.discard(request.parsed.request_id)
            if request.must_not_repeat:
                may_have_run = request.first_run_us is not None
                self.remembered_ids.request_ended(
                    request.parsed.request_id, monotonic_us(), may_have_run=may_have_run
                )

    def send_final_answer(
        self,
        request: DispatchedRequest,
        answer: FinalAnswer,
        reason: FinalReason | None = None,
        body: bytes = b"",
        retry_after: int = 0,
    ) -> None:
        """Gives a request its final answer; any further answer is ignored.

        `reason` tells why the request is shed or fails. `body` is the body of a response that was not streamed.
        `retry_after` is the time in microseconds after which the client may retry a shed request.
        """
        response_writer = self.detach_client(request)
        if response_writer is None:
            return
        self.statistics.final_answers[answer] += 1
        if reason is not None:
            self.statistics.final_reasons[answer, reason] += 1
        if self.tracer is not None:
            self.tracer.request_answered(request, answer, reason)
        if answer is FinalAnswer.SERVED:
            response_writer.finish_response(body)
        elif answer is FinalAnswer.SHED:
            response_writer.send_shed(retry_after if self.retry_after_allowed else 0)
        else:
            response_writer.send_failure()

    def fail_request(self, request: DispatchedRequest, reason: FinalReason) -> None:
        """Fails a request: a server may have run it."""
        self.send_final_answer(request, FinalAnswer.FAILED, reason)

    def connection_closed(self, closed: ClosedConnection) -> None:
        """Counts a closed client or upstream connection and reports it to the tracer."""
        self.statistics.close_reasons[closed.reason] += 1
        if self.tracer is not None:
            self.tracer.connection_closed(closed)
