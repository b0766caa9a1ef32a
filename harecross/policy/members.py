"""What a copy knows of servers, their kinds and the zones they stand in."""

from __future__ import annotations

from dataclasses import dataclass

from harecross.interface import Endpoint

FAIL_WEIGHT = 8  # a member that fails all its calls counts as so many times slower
FADE = 5_000_000  # what is known of a member is forgotten after so long without an outcome of it...


class MachineType:
    """What this copy knows of one kind of machine, pooled over the members of that kind."""

    __slots__ = ("slowness", "calls", "cost", "reports")

    def __init__(self) -> None:
        self.slowness = 1.0
        self.calls = 0
        self.cost = 0.0  # what the members' reports make one more call cost
        self.reports = 0


@dataclass(slots=True, eq=False)
class Server:
    """What this copy knows of one server."""

    id: int
    machine_type: MachineType
    ready_at: int = -1
    cell: int = 0
    zone: int = 0
    weight: float = 1.0
    in_list: bool = False
    member: bool = False
    in_flight: int = 0
    quiet_since: int = 0
    seen_at: int = 0
    heard: int = 0  # when the newest call that it has answered was sent
    ejected: bool = False
    aside: bool = False  # its calls do not count against the limit
    trial_out: bool = False
    # Of the present process: see renew().
    slowness: float = 1.0
    cost: float = 0.0
    fail_rate: float = 0.0
    fails_in_row: int = 0
    calls: int = 0
    silent: bool = False
    trial_at: int = 0
    ejections: int = 0
    cold_until: int = 0
    tokens: float = 0.0
    tokens_at: int = 0

    def renew(self, entry: Endpoint) -> None:
        """A new process: nothing learned of the old one holds."""
        self.ready_at = entry.ready_at
        self.slowness = self.machine_type.slowness
        self.cost = 0.0
        self.fail_rate = 0.0
        self.fails_in_row = 0
        self.calls = 0
        self.silent = False
        self.trial_at = 0
        self.ejections = 0
        self.cold_until = 0
        self.tokens = 0.0
        self.tokens_at = 0

    def load(self, now: int, mean_rtt: float, memory: float, mean_cost: float = 0.0) -> float:
        """Calls in flight, this one included, in expected time: the draw's measure.

        Failure prevented: a member once found slow is never drawn again, so its estimate is never renewed.
        The estimate fades while no outcome comes, to that of the member's kind: a thin copy meets a member
        too seldom to know it, but it knows the kinds, and equal shares would drown the slowest kind.
        """
        quiet = now - self.seen_at
        # Failure prevented: where servers call servers a round-trip hides the member's own part, and the
        # slowest are crowded before it shows. What members report of themselves goes before round-trips.
        usual, own = self.machine_type.slowness, self.slowness
        if self.machine_type.cost:
            usual = self.machine_type.cost / mean_cost
            own = (own + self.cost / mean_cost) / 2 if self.cost else usual
        speed = usual + (own - usual) * max(0.0, 1 - quiet / FADE)
        fails = FAIL_WEIGHT * self.fail_rate * max(0.0, 1 - quiet / memory)
        load = (self.in_flight + 1) * speed * (1 + fails)
        if self.in_flight and now - self.quiet_since > mean_rtt:
            # Failure prevented: a member that has just turned slow looks as before until its calls come back.
            load *= (now - self.quiet_since) / mean_rtt
        return load


class Zone:
    """What this copy knows of the way to one zone's servers."""

    __slots__ = ("id", "sent", "sent_since", "unanswered", "last_bad", "cut", "trial_at", "trials")

    def __init__(self, zone: int) -> None:
        self.id = zone
        self.last_bad = 0
        self.trial_at = 0
        self.trials = 0
        self.cut = False
        self.answered()

    def answered(self) -> None:
        self.sent = 0  # calls since the last answer
        self.sent_since = 0  # time of the first of them
        self.unanswered = 0  # calls that ended without any answer since then; of one server only the first
