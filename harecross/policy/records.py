"""Data classes for servers, machine types, zones and open requests of one node. Times are in microseconds."""

from __future__ import annotations

from dataclasses import dataclass

from harecross.interface import Idempotency

FAILURE_WEIGHT = 8  # a server that fails every request counts as this many times slower
RETENTION_US = 5_000_000  # the measurements of a server fade over this time without an outcome


@dataclass(slots=True, eq=False)
class MachineType:
    """Averages over the servers of one machine type.

    Attributes:
        slowness: The round-trip, relative to the mean round-trip.
        cost: The expected time of one more request according to load reports, 0 without a report.
    """

    slowness: float = 1.0
    samples: int = 0
    cost: float = 0.0
    reports: int = 0


@dataclass(slots=True, eq=False)
class Zone:
    """The state of one zone, by the responses of its servers.

    Attributes:
        last_failed: The id of the last server that did not answer an attempt.
        sends: The number of attempts sent since the last response.
        first_send_at: When the first of these attempts was sent.
        unanswered: The number of attempts without an answer since the last response. Consecutive attempts at
            one server count once.
    """

    id: int
    ejected: bool = False
    next_probe_at: int = 0
    probes: int = 0
    last_failed: int = 0
    sends: int = 0
    first_send_at: int = 0
    unanswered: int = 0


@dataclass(slots=True, eq=False)
class Server:
    """The state and the measurements of one server.

    The fields from `slowness` on belong to the current process of the server.

    Attributes:
        excluded_from_limit: Whether its requests do not count against the concurrency limit.
        open_attempts: The number of attempts without an outcome. The record is kept as long as there is one.
        in_flight: How many of these load the server, which excludes those whose body is being forwarded.
        probing: Whether a recovery probe is in flight.
        last_progress_at: When the last attempt ended, or when the first one after an idle time was sent.
        newest_answered_sent_at: When the newest of the answered requests was sent.
        slowness: The round-trip, relative to the mean round-trip.
        cost: The expected time of one more request according to load reports, 0 without a report.
        tokens: The number of requests that the server may be sent now during slow start.
        tokens_updated_at: When `tokens` was last updated.
    """

    id: int
    machine_type: MachineType
    ready_at: int = -1
    cell: int = 0
    zone: int = 0
    weight: float = 1.0
    listed: bool = False
    in_subset: bool = False
    excluded_from_limit: bool = False
    ejected: bool = False
    probing: bool = False
    open_attempts: int = 0
    in_flight: int = 0
    last_progress_at: int = 0
    last_outcome_at: int = 0
    newest_answered_sent_at: int = 0
    slowness: float = 1.0
    cost: float = 0.0
    failure_rate: float = 0.0
    consecutive_failures: int = 0
    outcomes: int = 0
    unresponsive: bool = False
    next_probe_at: int = 0
    ejections: int = 0
    slow_start_until: int = 0
    tokens: float = 0.0
    tokens_updated_at: int = 0

    def restart(self, ready_at: int) -> None:
        """Resets the measurements, which belong to an earlier process."""
        self.ready_at = ready_at
        self.slowness = self.machine_type.slowness
        self.cost = self.failure_rate = self.tokens = 0.0
        self.consecutive_failures = self.outcomes = self.ejections = 0
        self.next_probe_at = self.slow_start_until = self.tokens_updated_at = 0
        self.unresponsive = False

    def load(self, now: int, mean_rtt: float, retention: float, mean_cost: float = 0.0) -> float:
        """Returns the expected time of the requests in flight and one more, by which servers are compared.

        Measurements fade to those of the machine type, so that a slow server is measured again. Load reports
        outweigh round-trips, which show little of the load of a server that calls other servers.
        """
        idle = now - self.last_outcome_at
        typical, own = self.machine_type.slowness, self.slowness
        if self.machine_type.cost:
            typical = self.machine_type.cost / mean_cost
            own = (own + self.cost / mean_cost) / 2 if self.cost else typical
        slowness = typical + (own - typical) * max(0.0, 1 - idle / RETENTION_US)
        failures = FAILURE_WEIGHT * self.failure_rate * max(0.0, 1 - idle / retention)
        load = (self.in_flight + 1) * slowness * (1 + failures)
        if self.in_flight and now - self.last_progress_at > mean_rtt:
            # The averages of a server that has just become slow still look good, but requests are overdue.
            load *= (now - self.last_progress_at) / mean_rtt
        return load


@dataclass(slots=True, eq=False)
class Attempt:
    """An attempt from its sending to its outcome, which may come after the end of its request.

    Attributes:
        number: The index of the attempt within its request.
        cell: The cell of the server when the attempt was sent.
        zone: The zone of the server when the attempt was sent.
        uploading: Whether the body is being forwarded. The attempt does not load the server meanwhile.
    """

    server: Server
    number: int
    request_class: int
    cell: int
    zone: int
    uploading: bool = False


@dataclass(slots=True, eq=False)
class Request:
    """An open request, which has at most one attempt in flight.

    Attributes:
        attempts: The number of attempts that were sent.
        attempt: The attempt in flight.
        previous: The server of the previous attempt.
        possibly_processed: The first attempt whose server may have processed the request; None if none has.
        possibly_processed_at: When that attempt was sent.
        timed_out: Whether the per-try timeout cancelled the attempt in flight.
    """

    id: int
    request_class: int
    idempotency: Idempotency
    deadline: int
    attempts: int = 0
    attempt: Attempt | None = None
    previous: Server | None = None
    sent_at: int = 0
    possibly_processed: Attempt | None = None
    possibly_processed_at: int = 0
    response_started: bool = False
    queued: bool = False
    timed_out: bool = False

    @property
    def server(self) -> Server | None:
        """The server of the attempt in flight."""
        return self.attempt.server if self.attempt is not None else None

    @property
    def uploading(self) -> bool:
        """Whether the body of the request is being forwarded."""
        return self.attempt is not None and self.attempt.uploading
