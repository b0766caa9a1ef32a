"""Admits the responses that may be received while memory is short; the others wait in the kernel.

A response is admitted when there is room for all that is missing of it, so that none is received in part and then
waits for others of the same kind. This module performs no I/O.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from harecross.platform.memory_ledger import MIN_BUDGET_BYTES, REFUSE_EIGHTHS, MemoryLedger

# How long a response waits before it is asked again whether there is room for it.
RECHECK_S = 0.002


class ReadSource(Protocol):
    """A connection to a server on which a response is received that is held until it is complete."""

    def expected_bytes(self) -> int:
        """Returns the size of the response."""

    def missing_bytes(self) -> int:
        """Returns how many bytes of the response have not been received."""

    def resume_response(self) -> None:
        """Continues to read the response."""


class ResponseReads:
    """The connections whose responses were admitted, and those that wait in the order in which they began to.

    Attributes:
        call_later: Calls a function after a number of seconds.
        scheduled: Whether `admit_waiting` will be called.
    """

    __slots__ = ("admitted", "call_later", "ledger", "scheduled", "waiting")

    def __init__(
        self, ledger: MemoryLedger, call_later: Callable[[float, Callable[[], None]], object]
    ) -> None:
        self.ledger = ledger
        self.call_later = call_later
        self.scheduled = False
        self.waiting: dict[ReadSource, None] = {}
        self.admitted: set[ReadSource] = set()

    def may_read(self, source: ReadSource) -> bool:
        """Returns whether the connection may read more than the beginning of a response."""
        return not self.ledger.is_short or source in self.admitted

    def admit(self, source: ReadSource) -> bool:
        """Admits a response that has begun; returns whether it was, otherwise `resume_response` is called later."""
        if not self.waiting and source.missing_bytes() <= self.room():
            self.admitted.add(source)
            return True
        self.waiting[source] = None
        self.schedule()
        return False

    def leave(self, source: ReadSource) -> bool:
        """Removes a connection whose response has ended or is streamed; returns whether it was waiting."""
        self.admitted.discard(source)
        if source not in self.waiting:
            return False
        del self.waiting[source]
        return True

    def room(self) -> int:
        """Returns how many bytes may be missing of one more response.

        However little memory is left, the admitted responses may together be as large as the least budget.
        """
        missing = sum(source.missing_bytes() for source in self.admitted)
        expected = sum(source.expected_bytes() for source in self.admitted)
        left = self.ledger.budget * REFUSE_EIGHTHS // 8 - self.ledger.held
        return max(left - missing, MIN_BUDGET_BYTES - expected)

    def admit_waiting(self) -> None:
        """Admits the responses for which there is room by now; one that is larger than all room is admitted alone."""
        self.scheduled = False
        self.ledger.refresh()
        while self.waiting:
            source = next(iter(self.waiting))
            if source.missing_bytes() > self.room() and self.admitted:
                break
            del self.waiting[source]
            self.admitted.add(source)
            source.resume_response()
        if self.waiting:
            self.schedule()

    def schedule(self) -> None:
        """Has `admit_waiting` called soon."""
        if not self.scheduled:
            self.scheduled = True
            self.call_later(RECHECK_S, self.admit_waiting)
