"""Accounting of a replay's requests.

The service level is the priority weight of the requests answered in time, divided by the weight of all requests that
were due. A client's retries count as attempts of the same request, and latency is measured from when the request was
due, so that neither retries nor a stalled system improve the results. Times are integer microseconds.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any

from harecross.interface import Idempotency

# If the load generator is later than this at the 99th percentile, the results measure it instead of the system.
MAX_LATENESS_P99_US = 5_000


class Disposition(IntEnum):
    """The state of a request: open, or how it ended."""

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
    """A request class with its priority weight and latency limits, as clients apply them."""

    name: str
    idempotency: Idempotency
    priority_weight: float
    latency_objective_us: int
    deadline_us: int


@dataclass(slots=True)
class DispositionTally:
    """Counts of requests by disposition, and sums of their priority weight."""

    counts: list[int] = field(default_factory=lambda: [0] * len(Disposition))
    offered_weight: float = 0.0
    weight_in_time: float = 0.0
    attempts: int = 0

    @property
    def requests(self) -> int:
        """The number of requests that were due."""
        return sum(self.counts)

    def report(self) -> dict[str, Any]:
        """Returns the counts and weights under the keys of the JSON report."""
        service_level = round(self.weight_in_time / self.offered_weight, 6) if self.offered_weight else None
        return {
            "asked": self.requests,
            **{key: self.counts[disposition] for disposition, key in REPORT_KEYS.items()},
            "worth_asked": round(self.offered_weight, 6),
            "worth_in_time": round(self.weight_in_time, 6),
            "service": service_level,
            "tries": self.attempts,
        }


class RequestAccounting:
    """Tallies of all requests of a run: in total, by class, and by the time window in which they were due."""

    def __init__(self, classes: Sequence[RequestClass], window_us: int) -> None:
        """Starts with empty tallies. Raises ValueError if `window_us` is not above 0."""
        if window_us <= 0:
            raise ValueError(f"window_us is {window_us}: must be above 0")
        self.classes = classes
        self.window_us = window_us
        self.total = DispositionTally()
        self.by_class = [DispositionTally() for _ in classes]
        self.windows: list[DispositionTally] = []
        self.open_requests: dict[int, tuple[int, int]] = {}  # request number -> (class index, due time)

    def request_due(self, number: int, class_index: int, due_us: int) -> None:
        """Counts a request that has become due. Raises ValueError if a request of this number is open already."""
        if number in self.open_requests:
            raise ValueError(f"request {number} is already open")
        self.open_requests[number] = class_index, due_us
        for tally in self._tallies_for(class_index, due_us):
            tally.counts[Disposition.OPEN] += 1
            tally.offered_weight += self.classes[class_index].priority_weight

    def attempt_sent(self, number: int) -> None:
        """Counts an attempt of an open request: the first one or a retry by the client."""
        for tally in self._tallies_for(*self.open_requests[number]):
            tally.attempts += 1

    def finish(self, number: int, now_us: int, disposition: Disposition) -> Disposition:
        """Records how a request ended and returns its final disposition.

        If `disposition` is IN_TIME or LATE, `now_us` decides which of the two applies. Raises KeyError for a request
        that is not open.
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
        """Returns a description of each inconsistent count; an empty list if there are none."""
        found = []
        if self.total.counts[Disposition.OPEN] != len(self.open_requests):
            found.append(
                f"{self.total.counts[Disposition.OPEN]} requests counted as open, {len(self.open_requests)} are"
            )
        for grouping, tallies in (("classes", self.by_class), ("windows", self.windows)):
            for disposition, key in REPORT_KEYS.items():
                in_total = self.total.counts[disposition]
                added = sum(tally.counts[disposition] for tally in tallies)
                if added != in_total:
                    found.append(f"{key}: {in_total} in total, {added} over {grouping}")
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
    """When clients retry a request after an attempt that was shed or failed."""

    max_retries: int = 1
    backoff_us: int = 100_000

    def delay_us(
        self, disposition: Disposition, idempotency: Idempotency, attempts: int, retry_after_us: int | None
    ) -> int | None:
        """Returns the delay before the next attempt in microseconds; None if the request is not retried.

        A shed request had no effect and can be repeated. After a failure, only an idempotent request or one with an
        idempotency key is retried. The delay is never shorter than the server's Retry-After.
        """
        repeatable = disposition == Disposition.SHED or idempotency != Idempotency.NON_IDEMPOTENT
        if attempts > self.max_retries or not repeatable:
            return None
        return max(self.backoff_us, retry_after_us or 0)
