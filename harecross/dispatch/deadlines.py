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

    A streamed response has no deadline, and how long it takes depends on its server and its client. Requests whose
    responses must have left this process by a certain time therefore need whole responses, see `needs_whole_response`.

    Attributes:
        shutdown_deadline_us: Deadline of requests received at or after `shutdown_applies_from_us`; None before a
            graceful shutdown.
        shutdown_applies_from_us: Time from which received requests have the shutdown deadline.
        standby_applies_from_us: Time from which requests received in standby need whole responses; None outside
            standby.
    """

    __slots__ = ("shutdown_applies_from_us", "shutdown_deadline_us", "standby_applies_from_us")

    def __init__(self) -> None:
        self.shutdown_deadline_us: int | None = None
        self.shutdown_applies_from_us = 0
        self.standby_applies_from_us: int | None = None

    def set_shutdown_deadline(self, *, applies_from_us: int, deadline_us: int) -> None:
        """Limits the deadline of requests received at or after `applies_from_us` to `deadline_us`.

        Called at a graceful shutdown: otherwise a request received late could still be in flight when the process is
        killed.
        """
        self.shutdown_applies_from_us = applies_from_us
        self.shutdown_deadline_us = deadline_us

    def has_shutdown_deadline(self, received_us: int) -> bool:
        """Returns whether the shutdown deadline applies to a request received at that time."""
        return self.shutdown_deadline_us is not None and received_us >= self.shutdown_applies_from_us

    def needs_whole_response(self, received_us: int) -> bool:
        """Returns whether the response to a request received at that time must be complete before it is sent.

        Otherwise SIGKILL could cut it off, or its connection would still be open long after the node entered standby.
        """
        standby_from_us = self.standby_applies_from_us
        in_standby = standby_from_us is not None and received_us >= standby_from_us
        return in_standby or self.has_shutdown_deadline(received_us)

    def response_deadline_us(self, parsed: ParsedRequest, received_us: int, read_delay_us: int = 0) -> int:
        """Returns the time by which a request must be answered.

        The request was read at `received_us`, after waiting in the kernel for `read_delay_us`.
        """
        margin = min(RESPONSE_MARGIN_US, parsed.timeout_us // RESPONSE_MARGIN_DIVISOR)
        deadline_us = received_us - read_delay_us + parsed.timeout_us - margin
        if self.shutdown_deadline_us is not None and self.has_shutdown_deadline(received_us):
            return min(deadline_us, self.shutdown_deadline_us)
        return deadline_us


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
