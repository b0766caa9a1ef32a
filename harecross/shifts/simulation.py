"""A seeded simulation of shifts between two pools, fast enough for thousands of shifts per minute.

It exercises the judge and the state machine. Requests arrive in bursts. The request rates of the units are
heavy-tailed: some units send a hundred times more often than others. Latencies are lognormal with a heavy tail, and
servers that are warming up are slow. Retries by clients are not simulated, since the judge only gets first attempts. A
fault changes one or both pools from a given share or time on.
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
# After each step the candidate's latencies are multiplied by the factor for this time.
WARMUP_S, WARMUP_FACTOR = 5.0, 1.3
REQUEST_CLASS = "read"
# The number of servers that each pool lists.
LISTED = PoolCounts(10, 10)
END_STATES = (ShiftState.UNDONE, ShiftState.DONE, ShiftState.HELD)


@dataclass(slots=True)
class LoadScenario:
    """The behaviour of a pool at one moment. The defaults are those of a healthy pool.

    Attributes:
        latency_factor: The factor by which latencies are multiplied.
        error_fraction: The fraction of attempts that fail.
        lost_fraction: The fraction of attempts that get no response.
        affects_unit: Returns whether a unit is affected; other units see a healthy pool.
    """

    latency_factor: float = 1.0
    error_fraction: float = 0.002
    lost_fraction: float = 0.001
    affects_unit: Callable[[int], bool] = field(default=lambda unit: True)


HEALTHY = LoadScenario()

# Called with the seconds since the fault began, the candidate's share, and whether the pool is the candidate. Returns
# the behaviour of the pool, or None if it is healthy.
Fault = Callable[[float, float, bool], LoadScenario | None]
# Called with the time and the candidate's share. Returns whether the fault begins.
FaultStart = Callable[[float, float], bool]
# Called with the shift and the time. Returns whether the shift must be undone.
CustomJudge = Callable[[Shift, float], bool]


@dataclass(slots=True)
class SimulationResult:
    """The result of one simulated shift.

    Attributes:
        state: The last state.
        seconds: The simulated time.
        step: The index of the last step.
        decisions: All decisions, in order.
        undone_after_s: The time from the start of the fault until the candidate's share was 0, or inf.
        attempts_harmed: The number of first attempts in the candidate that failed or were late because of the fault.
    """

    state: ShiftState
    seconds: float
    step: int
    decisions: list[Decision]
    undone_after_s: float = inf
    attempts_harmed: int = 0


def simulate(
    plan: Plan,
    seed: int,
    fault: Fault | None = None,
    rate: float = 60.0,
    fault_start: FaultStart | None = None,
    seconds: float = 3600.0,
    judge: CustomJudge | None = None,
) -> SimulationResult:
    """Simulates a shift from its start until its end, or for `seconds`.

    `rate` is the number of first attempts per second. Without `fault_start`, the fault begins immediately. `judge` is
    called for each window and can also undo the shift, which allows comparisons with other methods.
    """
    return Simulation(plan, seed, fault, rate, fault_start, judge).run(seconds)


class Simulation:
    """Simulates one shift."""

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
        self._rate = self._current_rate = rate
        self._now = 0.0
        self._fault_began_at: float | None = None
        # The remaining time for which the candidate is warming up.
        self._warmup_s = 0.0
        self._shift = Shift(plan, (REQUEST_CLASS,), 0.0)
        decisions = [self._shift.execute(0.0, 0.0, OperatorCommand.START)]
        self._weights = [1.0 / (1 + self._rng.paretovariate(1.2)) for _ in range(UNITS)]
        self._result = SimulationResult(ShiftState.RUNNING, 0.0, 0, decisions)

    def run(self, seconds: float) -> SimulationResult:
        """Simulates window by window until the shift ends, or for the given time in seconds."""
        while self._now < seconds and self._shift.state not in END_STATES:
            self._simulate_window()
        result = self._result
        result.state, result.seconds, result.step = self._shift.state, self._now, self._shift.step
        return result

    def _simulate_window(self) -> None:
        self._now += self._plan.judge.window_s
        if self._rng.random() < 0.05:
            self._current_rate = self._rate * self._rng.choice([0.3, 1.0, 1.0, 3.0])
        self._update_fault()
        self._shift.judge.add(self._draw_attempts())
        decision = self._shift.close_window(self._now, self._now, LISTED, 0)
        if decision is None:
            decision = self._custom_decision()
        if decision is not None:
            self._record(decision)

    def _update_fault(self) -> None:
        if self._fault is None or self._fault_began_at is not None:
            return
        if self._fault_start is None or self._fault_start(self._now, self._shift.share):
            self._fault_began_at = self._now

    def _draw_attempts(self) -> list[FirstAttempt]:
        expected = self._current_rate * self._plan.judge.window_s
        count = max(0, int(self._rng.gauss(expected, expected**0.5)))
        self._warmup_s = max(0.0, self._warmup_s - self._plan.judge.window_s)
        # Retries by clients are not drawn, since the judge only gets first attempts.
        return [self._draw_attempt(unit) for unit in self._rng.choices(range(UNITS), self._weights, k=count)]

    def _draw_attempt(self, unit: int) -> FirstAttempt:
        candidate = goes_to_candidate(self._plan.name, b"%d" % unit, self._shift.share)
        scenario = self._faulty_scenario(candidate)
        faulty = scenario is not None and scenario.affects_unit(unit)
        effective = scenario if scenario is not None and faulty else HEALTHY
        latency_s = self._draw_latency_s(effective, warming_up=candidate and self._warmup_s > 0)
        failed = self._rng.random() < effective.error_fraction + effective.lost_fraction
        if self._rng.random() < effective.lost_fraction:
            latency_s = inf
        late = latency_s > LATENCY_OBJECTIVE_S
        if candidate and faulty and (failed or late):
            self._result.attempts_harmed += 1
        return FirstAttempt(unit, REQUEST_CLASS, candidate, latency_s, failed, late)

    def _faulty_scenario(self, candidate: bool) -> LoadScenario | None:
        if self._fault is None or self._fault_began_at is None:
            return None
        return self._fault(self._now - self._fault_began_at, self._shift.share, candidate)

    def _draw_latency_s(self, scenario: LoadScenario, *, warming_up: bool) -> float:
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
        if undoing and self._fault_began_at is not None and self._result.undone_after_s == inf:
            self._result.undone_after_s = self._now - self._fault_began_at
