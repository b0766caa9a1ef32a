"""The requests without a final answer, and the one place that gives each its answer."""

from __future__ import annotations

from collections import Counter

from harecross.dispatch.close_reasons import ClosedConnection
from harecross.dispatch.request import DispatchedRequest, FinalAnswer, ResponseWriter
from harecross.dispatch.statistics import DispatchStatistics
from harecross.dispatch.tracer import RequestTracer
from harecross.interface import FinalReason


class RequestTable:
    """The requests that have no final answer yet, or are still in flight to a server."""

    def __init__(self, *, retry_after_allowed: bool) -> None:
        self.retry_after_allowed = retry_after_allowed
        self.requests: dict[int, DispatchedRequest] = {}
        self.open_request_ids: set[bytes] = set()  # X-Request-ID of these
        self.last_request_number = 0
        self.statistics = DispatchStatistics()
        self.tracer: RequestTracer | None = None

    def is_open(self, request_id: bytes) -> bool:
        """Whether a request of that id has no answer yet, or is still in flight to a server."""
        return request_id in self.open_request_ids

    def in_flight_by_server(self) -> Counter[int]:
        """How many attempts each server has in flight, streamed bodies and responses among them."""
        return Counter(attempt.server for request in self.requests.values() for attempt in request.in_flight)

    def detach_client(self, request: DispatchedRequest) -> ResponseWriter | None:
        """Ends the client's part of a request: returns the client the first time, None after that."""
        response_writer, request.response_writer = request.response_writer, None
        if request.deadline_timer is not None:
            request.deadline_timer.cancel()
            request.deadline_timer = None
        if request.parsed.upload is not None and response_writer is not None:
            request.parsed.upload.discard()
        self.remove_if_done(request)
        return response_writer

    def remove_if_done(self, request: DispatchedRequest) -> None:
        """Removes a request that has its final answer and no attempt in flight."""
        if (
            request.response_writer is None
            and not request.in_flight
            and self.requests.pop(request.id, None) is not None
        ):
            self.open_request_ids.discard(request.parsed.request_id)

    def send_final_answer(
        self,
        request: DispatchedRequest,
        answer: FinalAnswer,
        reason: FinalReason | None = None,
        body: bytes = b"",
        retry_after: int = 0,
    ) -> None:
        """Gives a request its one final answer; a second one is dropped.

        `reason`: why it is shed or fails. `body`: of the response, if that was not streamed. `retry_after`: when a
        shed request may come back, in microseconds.
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
        """Ends a request with no promise on whether a server has run it."""
        self.send_final_answer(request, FinalAnswer.FAILED, reason)

    def connection_closed(self, closed: ClosedConnection) -> None:
        """Counts a connection that was closed, on either side."""
        self.statistics.close_reasons[closed.reason] += 1
        if self.tracer is not None:
            self.tracer.connection_closed(closed)
