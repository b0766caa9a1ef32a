"""Deadlines of requests and attempts. Times are in monotonic microseconds."""

from __future__ import annotations

from harecross.dispatch.request import DispatchedRequest
from harecross.http.request_parser import ParsedRequest
from harecross.upstream.exchange import NO_DEADLINE_US

# Part of a request's timeout reserved for its response to reach the client: `RESPONSE_MARGIN_US`, or for a short
# timeout that timeout divided by `RESPONSE_MARGIN_DIVISOR`.
RESPONSE_MARGIN_US = 15_000
RESPONSE_MARGIN_DIVISOR = 20


class ResponseDeadlines:
    """Computes the deadlines of requests, which a graceful shutdown may bring forward.

    Attributes:
        shutdown_deadline_us: Deadline of requests received at or after `shutdown_applies_from_us`; None before a
            graceful shutdown.
        shutdown_applies_from_us: Time from which received requests have the shutdown deadline.
    """

    __slots__ = ("shutdown_applies_from_us", "shutdown_deadline_us")

    def __init__(self) -> None:
        self.shutdown_deadline_us: int | None = None
        self.shutdown_applies_from_us = 0

    def set_shutdown_deadline(self, *, applies_from_us: int, deadline_us: int) -> None:
        """Limits the deadline of requests received at or after `applies_from_us` to `deadline_us`.

        Called at a graceful shutdown: otherwise a request received late could still be in flight when the process is
        killed.
        """
        self.shutdown_applies_from_us = applies_from_us
        self.shutdown_deadline_us = deadline_us

    def response_deadline_us(self, parsed: ParsedRequest, received_us: int, read_delay_us: int = 0) -> int:
        """Returns the time by which a request must be answered.

        The request was read at `received_us`, after waiting in the kernel for `read_delay_us`.
        """
        margin = min(RESPONSE_MARGIN_US, parsed.timeout_us // RESPONSE_MARGIN_DIVISOR)
        deadline_us = received_us - read_delay_us + parsed.timeout_us - margin
        if self.shutdown_deadline_us is None or received_us < self.shutdown_applies_from_us:
            return deadline_us
        return min(deadline_us, self.shutdown_deadline_us)


def attempt_deadline_us(request: DispatchedRequest, now: int, timeout: int) -> int:
    """Returns the deadline of an attempt that starts at `now`.

    The result is `now` if the attempt must not be sent, and `NO_DEADLINE_US` while the request body is still being
    received. `timeout` is the per-try timeout; 0 means none.
    """
    upload = request.parsed.upload
    if upload is not None and not upload.replayable:
        return now  # the first bytes of the body are no longer buffered
    assert request.response_writer is not None
    if not request.being_admitted and not request.response_writer.is_connected():
        return now  # the client disconnected while the request waited
    if upload is not None and not upload.complete:
        return NO_DEADLINE_US
    return min(now + timeout, request.deadline_us) if timeout > 0 else request.deadline_us
