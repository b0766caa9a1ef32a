"""When requests must be answered and attempts are given up. Times in monotonic microseconds."""

from __future__ import annotations

from harecross.dispatch.request import DispatchedRequest
from harecross.http.request_parser import ParsedRequest
from harecross.upstream.exchange import NO_DEADLINE_US

# Of a request's timeout this much is left for its answer to reach the client: a fixed time, or a part of a short one.
RESPONSE_MARGIN_US = 15_000
RESPONSE_MARGIN_DIVISOR = 20


class ResponseDeadlines:
    """The deadlines of requests; a graceful shutdown makes them earlier."""

    __slots__ = ("shutdown_applies_from_us", "shutdown_deadline_us")

    def __init__(self) -> None:
        # Applies to requests received at or after `shutdown_applies_from_us`; None while no shutdown is under way.
        self.shutdown_deadline_us: int | None = None
        self.shutdown_applies_from_us = 0

    def set_shutdown_deadline(self, *, applies_from_us: int, deadline_us: int) -> None:
        """At a graceful shutdown: what is received from `applies_from_us` on is answered by `deadline_us`.

        Otherwise a request received late could still be in flight when the process is killed.
        """
        self.shutdown_applies_from_us = applies_from_us
        self.shutdown_deadline_us = deadline_us

    def response_deadline_us(self, parsed: ParsedRequest, received_us: int, read_delay_us: int = 0) -> int:
        """When a request received at `received_us`, after waiting unread for `read_delay_us`, must be answered."""
        margin = min(RESPONSE_MARGIN_US, parsed.timeout_us // RESPONSE_MARGIN_DIVISOR)
        deadline_us = received_us - read_delay_us + parsed.timeout_us - margin
        if self.shutdown_deadline_us is None or received_us < self.shutdown_applies_from_us:
            return deadline_us
        return min(deadline_us, self.shutdown_deadline_us)


def attempt_deadline_us(request: DispatchedRequest, now: int, timeout: int) -> int:
    """When an attempt that starts `now` is given up; `now` if it must not be sent at all.

    `timeout`: of this attempt alone, or 0. `NO_DEADLINE_US` while the body still comes.
    """
    upload = request.parsed.upload
    if upload is not None and not upload.replayable:
        return now  # the first bytes of the body are gone
    assert request.response_writer is not None
    if not request.being_admitted and not request.response_writer.is_connected():
        return now  # the client has gone while the request waited
    if upload is not None and not upload.complete:
        return NO_DEADLINE_US
    return min(now + timeout, request.deadline_us) if timeout > 0 else request.deadline_us
