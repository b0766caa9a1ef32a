"""What a copy knows of servers, their kinds and the zones they stand in."""

from __future__ import annotations

from dataclasses import dataclass

from harecross.interface import Endpoint

FAILURE_WEIGHT = 8  # a member that fails all its calls counts as so many times slower
RETENTION_US = 5_000_000  # what is known of a member is forgotten after so long without an outcome of it...


class MachineType:
    """What this copy knows of one kind of machine, pooled over the members of that kind."""

    __slots__ = ("slowness", "sample_count", "load_cost", "report_count")

    def __init__(self) -> None:
        self.slowness = 1.0
        self.sample_count = 0
        self.load_cost = 0.0  # what the members' reports make one more call cost
        self.report_count = 0


@dataclass(slots=True, eq=False)
class Server:
    """What this copy knows of one server."""

    id: int
    machine_type: MachineType
    ready_at: int = -1
    cell: int = 0
    zone: int = 0
    weight: float = 1.0
    listed: bool = False
    in_subset: bool = False
    in_flight: int = 0
    silent_since: int = 0
    last_outcome_at: int = 0
    newest_answered_at: int = 0  # when the newest call that it has answered was sent
    ejected: bool = False
    excluded_from_limit: bool = False  # its calls do not count against the limit
    probe_in_flight: bool = False
    # Of the present process: see renew().
    slowness: float = 1.0
    load_cost: float = 0.0
    failure_rate: float = 0.0
    consecutive_failures: int = 0
    outcome_count: int = 0
    unresponsive: bool = False
    next_probe_at: int = 0
    ejection_count: int = 0
    slow_start_until: int = 0
    slow_start_tokens: float = 0.0
    slow_start_tokens_at: int = 0

    def renew(self, entry: Endpoint) -> None:
        """A new process: nothing learned of the old one holds."""
        self.ready_at = entry.ready_at
        self.slowness = self.machine_type.slowness
        self.load_cost = 0.0
        self.failure_rate = 0.0
        self.consecutive_failures = 0
        self.outcome_count = 0
        self.unresponsive = False
        self.next_probe_at = 0
        self.ejection_count = 0
        self.slow_start_until = 0
        self.slow_start_tokens = 0.0
        self.slow_start_tokens_at = 0

    def load(self, now: int, mean_rtt: float, memory: float, mean_cost: float = 0.0) -> float:
        """Calls in flight, this one included, in expected time: the draw's measure.

        Failure prevented: a member once found slow is never drawn again, so its estimate is never renewed.
        The estimate fades while no outcome comes, to that of the member's kind: a thin copy meets a member
        too seldom to know it, but it knows the kinds, and equal shares would drown the slowest kind.
        """
        quiet = now - self.last_outcome_at
        # Failure prevented: where servers call servers a round-trip hides the member's own part, and the
        # slowest are crowded before it shows. What members report of themselves goes before round-trips.
        usual, own = self.machine_type.slowness, self.slowness
        if self.machine_type.load_cost:
            usual = self.machine_type.load_cost / mean_cost
            own = (own + self.load_cost / mean_cost) / 2 if self.load_cost else usual
        speed = usual + (own - usual) * max(0.0, 1 - quiet / RETENTION_US)
        fails = FAILURE_WEIGHT * self.failure_rate * max(0.0, 1 - quiet / memory)
        load = (self.in_flight + 1) * speed * (1 + fails)
        if self.in_flight and now - self.silent_since > mean_rtt:
            # Failure prevented: a member that has just turned slow looks as before until its calls come back.
            load *= (now - self.silent_since) / mean_rtt
        return load


class Zone:
    """What this copy knows of the way to one zone's servers."""

    __slots__ = (
        "id",
        "sent_count",
        "first_sent_at",
        "unanswered_servers",
        "last_failed_server",
        "ejected",
        "next_probe_at",
        "probe_count",
    )

    def __init__(self, zone: int) -> None:
        self.id = zone
        self.last_failed_server = 0
        self.next_probe_at = 0
        self.probe_count = 0
        self.ejected = False
        self.reset_unanswered()

    def reset_unanswered(self) -> None:
        self.sent_count = 0  # calls since the last answer
        self.first_sent_at = 0  # time of the first of them
        self.unanswered_servers = (
            0  # calls that ended without any answer since then; of one server only the first
        )
