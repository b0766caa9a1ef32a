"""Accounting of a replay's requests, free of I/O.

The service level is the priority weight answered in time over the weight that was offered. A client's retries count
under its first attempt, and a request's time counts from when it was due, so that neither a retry nor a stalled system
makes the figures better. Times are integer microseconds.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any

from harecross.interface import Idempotency

MAX_LATENESS_P99_US = 5_000  # a generator later than this measures itself and not the system


class Disposition(IntEnum):
    """What became of a request."""

    OPEN = 0
    IN_TIME = 1
    LATE = 2
    SHED = 3
    FAILED = 4


REPORT_KEYS = {
    Disposition.OPEN: "open",
    Disposition.IN_TIME: "served_in_time",
    Disposition.LATE: "served_late",
    Disposition.SHED: "refused",
    Disposition.FAILED: "failed",
}


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests as clients see it."""

    name: str
    idempotency: Idempotency
    priority_weight: float
    latency_objective_us: int
    deadline_us: int


@dataclass(slots=True)
class DispositionTally:
    """Counts of requests by disposition, and their priority weight."""

    counts: list[int] = field(default_factory=lambda: [0] * len(Disposition))
    offered_weight: float = 0.0
    weight_in_time: float = 0.0
    attempts: int = 0

    @property
    def requests(self) -> int:
        """All requests that were due."""
        return sum(self.counts)

    def report(self) -> dict[str, Any]:
        """Returns the figures under the keys of the JSON report."""
        service = round(self.weight_in_time / self.offered_weight, 6) if self.offered_weight else None
        return {
            "asked": self.requests,
            **{key: self.counts[disposition] for disposition, key in REPORT_KEYS.items()},
            "worth_asked": round(self.offered_weight, 6),
            "worth_in_time": round(self.weight_in_time, 6),
            "service": service,
            "tries": self.attempts,
        }


class RequestAccounting:
    """All requests of one run: in total, by class, and by window of the time they were due."""

    def __init__(self, classes: Sequence[RequestClass], window_us: int) -> None:
        """Raises ValueError for a window that is not above 0."""
        if window_us <= 0:
            raise ValueError(f"window of {window_us} us: must be above 0")
        self.classes = classes
        self.window_us = window_us
        self.total = DispositionTally()
        self.by_class = [DispositionTally() for _ in classes]
        self.windows: list[DispositionTally] = []
        self.open_requests: dict[int, tuple[int, int]] = {}  # by number: class index, due

    def request_due(self, number: int, class_index: int, due_us: int) -> None:
        """Counts a request that falls due. Raises ValueError for one that is open already."""
        if number in self.open_requests:
            raise ValueError(f"request {number} is started twice")
        self.open_requests[number] = class_index, due_us
        for tally in self._tallies_for(class_index, due_us):
            tally.counts[Disposition.OPEN] += 1
            tally.offered_weight += self.classes[class_index].priority_weight

    def attempt_sent(self, number: int) -> None:
        """Counts one more attempt of an open request, the first or a client's retry."""
        for tally in self._tallies_for(*self.open_requests[number]):
            tally.attempts += 1

    def finish(self, number: int, now_us: int, disposition: Disposition) -> Disposition:
        """Records the final disposition and returns it: a served request is in time or late by the clock.

        Raises KeyError for a request that is not open.
        """
        class_index, due_us = self.open_requests.pop(number)
        request_class = self.classes[class_index]
        if disposition in (Disposition.IN_TIME, Disposition.LATE):
            in_time = now_us - due_us <= request_class.latency_objective_us
            disposition = Disposition.IN_TIME if in_time else Disposition.LATE
        for tally in self._tallies_for(class_index, due_us):
            tally.counts[Disposition.OPEN] -= 1
            tally.counts[disposition] += 1
            if disposition == Disposition.IN_TIME:
                tally.weight_in_time += request_class.priority_weight
        return disposition

    def inconsistencies(self) -> list[str]:
        """Returns each sum that does not hold; an empty list if all do."""
        found = []
        if self.total.counts[Disposition.OPEN] != len(self.open_requests):
            found.append(f"{self.total.counts[Disposition.OPEN]} counted open, {len(self.open_requests)} are")
        for what, tallies in (("classes", self.by_class), ("windows", self.windows)):
            for disposition, key in REPORT_KEYS.items():
                in_total = self.total.counts[disposition]
                added = sum(tally.counts[disposition] for tally in tallies)
                if added != in_total:
                    found.append(f"{key}: {in_total} in total, {added} over {what}")
        return found

    def _tallies_for(
        self, class_index: int, due_us: int
    ) -> tuple[DispositionTally, DispositionTally, DispositionTally]:
        window = due_us // self.window_us
        while len(self.windows) <= window:
            self.windows.append(DispositionTally())
        return self.total, self.by_class[class_index], self.windows[window]


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """What clients do when an attempt is shed or fails."""

    max_retries: int = 1
    backoff_us: int = 100_000

    def delay_us(
        self, disposition: Disposition, idempotency: Idempotency, attempts: int, retry_after_us: int | None
    ) -> int | None:
        """Returns the time before the next attempt in microseconds; None if there is none.

        A shed request had no effect and may be repeated. After a failure only an idempotent request, or one with an
        idempotency key, is sent again.
        """
        repeatable = disposition == Disposition.SHED or idempotency != Idempotency.NON_IDEMPOTENT
        if attempts > self.max_retries or not repeatable:
            return None
        return max(self.backoff_us, retry_after_us or 0)
