"""A small seeded simulation of two pools, for the judge and the states: thousands of shifts a minute. Free of I/O.

Arrivals come in bursts, units are heavy-tailed (some send a hundred times more often), latencies are lognormal with a
heavy tail, servers that warm up are slow, clients retry. A fault changes one pool or both from a share or a time on.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from math import exp, inf
from random import Random

from harecross.shifts.eprocess import PoolCounts
from harecross.shifts.judge import FirstAttempt
from harecross.shifts.plan import Plan, goes_to_candidate
from harecross.shifts.shift import Decision, OperatorCommand, Shift, ShiftState

LATENCY_OBJECTIVE_S = 1.0
MEDIAN_LATENCY_S = 0.12
UNITS = 2000
WARMUP_S, WARMUP_FACTOR = 5.0, 1.3  # after each step the candidate is slower for a while
REQUEST_CLASS = "read"
LISTED = PoolCounts(10, 10)  # servers
END_STATES = (ShiftState.UNDONE, ShiftState.DONE, ShiftState.HELD)


@dataclass(slots=True)
class LoadScenario:
    """How a pool behaves at one moment. The defaults are those of a healthy one."""

    latency_factor: float = 1.0  # multiplies latencies
    error_fraction: float = 0.002  # share of attempts
    lost_fraction: float = 0.001  # share of attempts that get no answer
    affects_unit: Callable[[int], bool] = field(default=lambda unit: True)  # the units that are affected


HEALTHY = LoadScenario()

# From the seconds since the fault began, the candidate's share, and whether the pool is the candidate; None: healthy.
Fault = Callable[[float, float, bool], LoadScenario | None]
FaultStart = Callable[[float, float], bool]  # from the time and the share: whether the fault is there
CustomJudge = Callable[[Shift, float], bool]  # from the shift and the time: whether to undo it


@dataclass(slots=True)
class SimulationResult:
    """One shift, simulated to its end."""

    state: ShiftState
    seconds: float
    step: int
    decisions: list[Decision]
    undone_after_s: float = inf  # from the fault's start to a share of 0
    attempts_harmed: int = (
        0  # first attempts in the candidate that failed or were late while it had the fault
    )


def simulate(
    plan: Plan,
    seed: int,
    fault: Fault | None = None,
    rate: float = 60.0,
    fault_start: FaultStart | None = None,
    seconds: float = 3600.0,
    judge: CustomJudge | None = None,
) -> SimulationResult:
    """Simulates a plan from its start.

    `rate` is in first attempts a second. Without `fault_start` a fault is there from the beginning. `judge`, which
    is asked at each window, takes the place of the plan's own, for comparisons.
    """
    return Simulation(plan, seed, fault, rate, fault_start, judge).run(seconds)


class Simulation:
    """One simulated shift."""

    def __init__(
        self,
        plan: Plan,
        seed: int,
        fault: Fault | None,
        rate: float,
        fault_start: FaultStart | None,
        judge: CustomJudge | None,
    ) -> None:
        self._plan, self._fault, self._fault_start, self._judge = plan, fault, fault_start, judge
        self._rng = Random(seed)
        self._rate = self._present_rate = rate
        self._now = 0.0
        self._fault_began: float | None = None
        self._warmup_s = 0.0  # left
        self._shift = Shift(plan, (REQUEST_CLASS,), 0.0)
        decisions = [self._shift.execute(0.0, 0.0, OperatorCommand.START)]
        self._weights = [1.0 / (1 + self._rng.paretovariate(1.2)) for _ in range(UNITS)]
        self._result = SimulationResult(ShiftState.RUNNING, 0.0, 0, decisions)

    def run(self, seconds: float) -> SimulationResult:
        """Simulates window by window, to the shift's end or for that long."""
        while self._now < seconds and self._shift.state not in END_STATES:
            self._simulate_window()
        result = self._result
        result.state, result.seconds, result.step = self._shift.state, self._now, self._shift.step
        return result

    def _simulate_window(self) -> None:
        self._now += self._plan.judge.window_s
        if self._rng.random() < 0.05:
            self._present_rate = self._rate * self._rng.choice([0.3, 1.0, 1.0, 3.0])
        self._begin_fault()
        self._shift.judge.add(self._attempts())
        decision = self._shift.close_window(self._now, self._now, LISTED, 0)
        if decision is None:
            decision = self._custom_decision()
        if decision is not None:
            self._record(decision)

    def _begin_fault(self) -> None:
        if self._fault is None or self._fault_began is not None:
            return
        if self._fault_start is None or self._fault_start(self._now, self._shift.share):
            self._fault_began = self._now

    def _attempts(self) -> list[FirstAttempt]:
        expected = self._present_rate * self._plan.judge.window_s
        count = max(0, int(self._rng.gauss(expected, expected**0.5)))
        self._warmup_s = max(0.0, self._warmup_s - self._plan.judge.window_s)
        # Clients retry, for the most part with success; the judge does not get such attempts.
        return [self._attempt(unit) for unit in self._rng.choices(range(UNITS), self._weights, k=count)]

    def _attempt(self, unit: int) -> FirstAttempt:
        candidate = goes_to_candidate(self._plan.name, b"%d" % unit, self._shift.share)
        scenario = self._faulty_scenario(candidate)
        faulty = scenario is not None and scenario.affects_unit(unit)
        present = scenario if scenario is not None and faulty else HEALTHY
        latency_s = self._latency_s(present, warming_up=candidate and self._warmup_s > 0)
        failed = self._rng.random() < present.error_fraction + present.lost_fraction
        if self._rng.random() < present.lost_fraction:
            latency_s = inf
        late = latency_s > LATENCY_OBJECTIVE_S
        if candidate and faulty and (failed or late):
            self._result.attempts_harmed += 1
        return FirstAttempt(unit, REQUEST_CLASS, candidate, latency_s, failed, late)

    def _faulty_scenario(self, candidate: bool) -> LoadScenario | None:
        if self._fault is None or self._fault_began is None:
            return None
        return self._fault(self._now - self._fault_began, self._shift.share, candidate)

    def _latency_s(self, scenario: LoadScenario, *, warming_up: bool) -> float:
        latency_s = MEDIAN_LATENCY_S * scenario.latency_factor * exp(self._rng.gauss(0, 0.5))
        if warming_up:
            latency_s *= WARMUP_FACTOR
        if self._rng.random() < 0.01:
            latency_s *= self._rng.paretovariate(1.5)
        return latency_s

    def _custom_decision(self) -> Decision | None:
        running = self._shift.state == ShiftState.RUNNING
        if self._judge is None or not running or not self._judge(self._shift, self._now):
            return None
        return self._shift.enter(self._now, self._now, ShiftState.UNDOING, "by the other judge")

    def _record(self, decision: Decision) -> None:
        self._result.decisions.append(decision)
        if self._shift.state == ShiftState.RUNNING:
            self._warmup_s = WARMUP_S
        undoing = self._shift.state == ShiftState.UNDOING
        if undoing and self._fault_began is not None and self._result.undone_after_s == inf:
            self._result.undone_after_s = self._now - self._fault_began
