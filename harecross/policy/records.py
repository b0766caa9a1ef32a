"""Records of the servers, machine types, zones and open requests of one node. Times are in microseconds."""

from __future__ import annotations

from dataclasses import dataclass

from harecross.interface import Idempotency

FAILURE_WEIGHT = 8  # a server that fails every request counts as this many times slower
RETENTION_US = 5_000_000  # without an outcome, measurements of a server fade over this time


@dataclass(slots=True, eq=False)
class MachineType:
    """Averages over the servers of one machine type."""

    slowness: float = 1.0
    samples: int = 0
    cost: float = 0.0  # of one more request, by load reports
    reports: int = 0


@dataclass(slots=True, eq=False)
class Zone:
    """Answers from the servers of one zone."""

    id: int
    ejected: bool = False
    next_probe_at: int = 0
    probes: int = 0
    last_failed: int = 0  # server id
    sends: int = 0  # since the last answer
    first_send_at: int = 0
    unanswered: int = 0  # attempts that failed without an answer since then; one for each server in turn


@dataclass(slots=True, eq=False)
class Server:
    """Measurements of one server. The fields from `slowness` on are of its present process."""

    id: int
    machine_type: MachineType
    ready_at: int = -1
    cell: int = 0
    zone: int = 0
    weight: float = 1.0
    listed: bool = False
    in_subset: bool = False
    excluded: bool = False  # its requests do not count against the concurrency limit
    ejected: bool = False
    probing: bool = False  # a recovery probe is in flight
    in_flight: int = 0
    last_progress_at: int = 0  # of the last outcome, or of the first send after idling
    last_outcome_at: int = 0
    answered_send_at: int = 0  # when the newest answered request was sent
    slowness: float = 1.0  # round-trip in mean round-trips
    cost: float = 0.0  # of one more request, by load reports
    failure_rate: float = 0.0
    failures_in_row: int = 0
    outcomes: int = 0
    unresponsive: bool = False
    next_probe_at: int = 0
    ejections: int = 0
    slow_start_until: int = 0
    tokens: float = 0.0  # requests it may be sent during slow start
    tokens_at: int = 0

    def restart(self, ready_at: int) -> None:
        """Forgets the measurements of an earlier process."""
        self.ready_at = ready_at
        self.slowness = self.machine_type.slowness
        self.cost = self.failure_rate = self.tokens = 0.0
        self.failures_in_row = self.outcomes = self.ejections = 0
        self.next_probe_at = self.slow_start_until = self.tokens_at = 0
        self.unresponsive = False

    def load(self, now: int, mean_rtt: float, retention: float, mean_cost: float = 0.0) -> float:
        """Expected time of the requests in flight and one more: what two random choices compare.

        Measurements fade to those of the machine type, so that a slow server is measured again. Load reports
        outweigh round-trips, which show little of the load where servers call other servers.
        """
        quiet = now - self.last_outcome_at
        typical, own = self.machine_type.slowness, self.slowness
        if self.machine_type.cost:
            typical = self.machine_type.cost / mean_cost
            own = (own + self.cost / mean_cost) / 2 if self.cost else typical
        slowness = typical + (own - typical) * max(0.0, 1 - quiet / RETENTION_US)
        failures = FAILURE_WEIGHT * self.failure_rate * max(0.0, 1 - quiet / retention)
        load = (self.in_flight + 1) * slowness * (1 + failures)
        if self.in_flight and now - self.last_progress_at > mean_rtt:
            # A server that has just become slow shows it by requests that are overdue, not yet by averages.
            load *= (now - self.last_progress_at) / mean_rtt
        return load


@dataclass(slots=True, eq=False)
class Request:
    """An open request; it has at most one attempt in flight."""

    id: int
    request_class: int
    idempotency: Idempotency
    deadline: int
    attempts: int = 0
    server: Server | None = None  # of the attempt in flight
    previous: Server | None = None  # of the attempt before
    sent_at: int = 0
    ran_on: Server | None = None  # the first server that may have processed it
    ran_at: int = 0
    response_started: bool = False
    queued: bool = False
    uploading: bool = False
    timed_out: bool = False  # the attempt in flight was given up by the per-try timeout
