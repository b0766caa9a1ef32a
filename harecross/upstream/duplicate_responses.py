"""Recognizes a response that may be a late second copy of an earlier response on the same connection.

A faulty server may send a response twice, the second time some milliseconds late. HTTP/1.1 responses carry nothing that
names their request, so a copy that arrives behind the next request looks like its response, and the connection then
stays one response behind. Neither the time since the request was written nor the fastest response of a server tells
the two apart: links have latencies that this process cannot see, and it may itself be held up between two reads.

What a copy cannot be is different from the original. A response that equals the one before it on its connection is
therefore not used. Where different requests may get equal responses, it is not used only if its request was written
within `DUPLICATE_WINDOW_US` of the response before, and a connection rests for that time before it carries another
exchange. Only the time until the request was written counts: bytes that have arrived by then are seen before it is.

This module performs no I/O. Times are in monotonic microseconds.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

DUPLICATE_WINDOW_US = 100_000  # a second copy is some milliseconds late
COMPARED_RESPONSES = 16  # the number of latest responses of all servers among which equal ones are looked for
EQUAL_MEMORY_RESPONSES = (
    1000  # the number of responses for which further equal ones are expected after two were equal
)


class ResponseFingerprint(NamedTuple):
    """What is compared of a response. Headers are left out: a copy may carry a newer load report.

    Attributes:
        status: The status code.
        size: The size of the body in bytes.
        digest: A hash of the body.
    """

    status: int
    size: int
    digest: int


def fingerprint(status: int, body: bytes) -> ResponseFingerprint:
    """Returns the fingerprint of a complete response."""
    return ResponseFingerprint(status, len(body), hash(body))


class ReceivedResponse(NamedTuple):
    """A response that was received at `received_us`."""

    received_us: int
    response: ResponseFingerprint


class ConnectionResponses:
    """The latest responses of one connection, of which a second copy may still arrive: the last one at least."""

    __slots__ = ("recent",)

    def __init__(self) -> None:
        self.recent: list[ReceivedResponse] = []

    def may_be_duplicate(
        self, response: ResponseFingerprint, written_us: int, *, equal_expected: bool
    ) -> bool:
        """Returns whether the response to a request written at `written_us` equals one of which it may be a copy.

        With `equal_expected`, it is taken for the request's own if the other one is older by `DUPLICATE_WINDOW_US`.
        """
        oldest = written_us - DUPLICATE_WINDOW_US
        return any(
            each.response == response and (each.received_us > oldest or not equal_expected)
            for each in self.recent
        )

    def record(self, response: ResponseFingerprint, now: int) -> None:
        """Records a response, and forgets those that are too old to be followed by a copy."""
        oldest = now - DUPLICATE_WINDOW_US
        self.recent = [each for each in self.recent if each.received_us > oldest]
        self.recent.append(ReceivedResponse(now, response))


class ResponseVariety:
    """Whether the servers give equal successful responses to different requests.

    This is a property of the service, so one object serves all connections. Equal responses are expected until two have
    differed, and for some time after two were equal.
    """

    def __init__(self) -> None:
        self.recent: deque[ResponseFingerprint] = deque(maxlen=COMPARED_RESPONSES)
        self.different_seen = False
        self.responses_since_equal = EQUAL_MEMORY_RESPONSES

    @property
    def equal_expected(self) -> bool:
        """Whether two responses may be equal without one being a copy of the other."""
        return not self.different_seen or self.responses_since_equal < EQUAL_MEMORY_RESPONSES

    def record(self, response: ResponseFingerprint) -> None:
        """Records a successful response that is not in doubt."""
        if response in self.recent:
            self.responses_since_equal = 0
        else:
            self.responses_since_equal += 1
            self.different_seen = self.different_seen or bool(self.recent)
        self.recent.append(response)
