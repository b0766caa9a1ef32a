"""Compares the judge of shifts with fixed thresholds, by false alarms and power, on the seeded simulation of two pools.

    python benchmarks/shifts.py [--shifts 1000] [--each 100] [--processes 7]

A/A: shifts between equal pools with bursty traffic and heavy-tailed latencies. The output is the number of shifts by
their last state; `undone` is a false alarm.

Power: from the 30 % step on, the candidate has a fault of the given kind and size. The output is the number of undone
shifts, the time until they were undone, and the first attempts harmed by the fault.

The fixed thresholds check only the candidate, every 10 s, as Flagger's defaults do: a shift is undone after five checks
with a success rate below 99 % or a p99 latency above 0.5 s. Both methods use the same seeds.
"""

from __future__ import annotations

import argparse
import json
import sys
from collections import Counter
from collections.abc import Callable, Iterable
from functools import partial
from math import inf
from multiprocessing import Pool as Processes
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from harecross.shifts.judge import FirstAttempt, Judge, UnitSets, Verdict
from harecross.shifts.plan import JudgeSettings, Plan, Pool, Step
from harecross.shifts.shift import Shift, ShiftState
from harecross.shifts.simulation import LoadScenario, SimulationResult, simulate

FAULTS = {
    "errors +1%": LoadScenario(error_fraction=0.012),
    "errors +2%": LoadScenario(error_fraction=0.022),
    "errors +5%": LoadScenario(error_fraction=0.052),
    "errors +20%": LoadScenario(error_fraction=0.202),
    "slow x1.25": LoadScenario(latency_factor=1.25),
    "slow x1.5": LoadScenario(latency_factor=1.5),
    "slow x2": LoadScenario(latency_factor=2.0),
    "slow x4": LoadScenario(latency_factor=4.0),
    "errors +50% for a tenth": LoadScenario(error_fraction=0.5, affects_unit=lambda unit: unit % 10 == 0),
}


def plan(false_alarms: float) -> Plan:
    steps = tuple(Step(share, 60.0, 200) for share in (0.05, 0.3, 0.6))
    return Plan(
        "readings-2",
        Pool(kinds=("m1",)),
        Pool(kinds=("m2",)),
        steps,
        JudgeSettings(false_alarms=false_alarms),
    )


class FixedThresholds:
    """Compares the candidate with fixed thresholds instead of the control.

    An instance is called for each window and returns whether the shift must be undone.
    """

    def __init__(self) -> None:
        self._candidate_attempts: list[FirstAttempt] = []
        self._failed_checks = 0
        self._next_check = 10.0
        self._verdicts_replaced = False

    def _replace_verdicts(self, judge: Judge) -> None:
        """Makes the judge find no harm, and records the attempts that it gets."""
        add = judge.add

        def add_and_record(attempts: Iterable[FirstAttempt]) -> None:
            attempts = list(attempts)
            self._candidate_attempts += [attempt for attempt in attempts if attempt.candidate]
            add(attempts)

        judge.add = add_and_record  # type: ignore[method-assign]
        judge.verdict = no_harm  # type: ignore[method-assign]

    def __call__(self, shift: Shift, now: float) -> bool:
        if not self._verdicts_replaced:
            self._verdicts_replaced = True
            self._replace_verdicts(shift.judge)
        if now < self._next_check:
            return False
        self._next_check = now + 10.0
        attempts, self._candidate_attempts = self._candidate_attempts, []
        if attempts:
            success_rate = sum(not attempt.failed for attempt in attempts) / len(attempts)
            ranked = sorted(attempt.latency_s for attempt in attempts)
            p99_s = ranked[min(int(0.99 * len(ranked)), len(ranked) - 1)]
            self._failed_checks += success_rate < 0.99 or p99_s > 0.5
        return self._failed_checks >= 5


def no_harm(window: UnitSets) -> Verdict:
    return Verdict(False, False, False, 1.0, "", window.at_risk)


def run_shift(false_alarms: float, fault_name: str, fixed: bool, seed: int) -> SimulationResult:
    scenario = FAULTS.get(fault_name)
    fault = (
        (lambda since_s, share, candidate: scenario if candidate else None) if scenario is not None else None
    )
    judge = FixedThresholds() if fixed else None
    result = simulate(
        plan(false_alarms), seed, fault, fault_start=lambda now, share: share >= 0.3, judge=judge
    )
    result.decisions = []
    return result


def summary(results: list[SimulationResult]) -> dict[str, object]:
    times = sorted(result.undone_after_s for result in results)
    undone = sum(result.state == ShiftState.UNDONE for result in results)

    def quantile(fraction: float) -> float | None:
        time = times[min(int(fraction * len(times)), len(times) - 1)]
        return None if time == inf else time

    harmed = sorted(result.attempts_harmed for result in results)
    return {
        "undone": f"{undone} of {len(results)}", "median_s": quantile(0.5), "p95_s": quantile(0.95),
        "harmed_median": harmed[len(harmed) // 2],
    }  # fmt: skip


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--shifts", type=int, default=1000)
    parser.add_argument("--each", type=int, default=100)
    parser.add_argument("--processes", type=int, default=7)
    options = parser.parse_args()
    with Processes(options.processes) as pool:

        def run(
            simulate_seed: Callable[[int], SimulationResult], count: int, first_seed: int
        ) -> list[SimulationResult]:
            return pool.map(simulate_seed, range(first_seed, first_seed + count), chunksize=4)

        for name, alarms, fixed in (
            ("ours, stated 1%", 0.01, False),
            ("ours, stated 5%", 0.05, False),
            ("fixed", 0.01, True),
        ):
            # FAULTS has no entry "like", so the pools of these shifts are equal.
            results = run(partial(run_shift, alarms, "like", fixed), options.shifts, 100_000)
            print("A/A", name, json.dumps(Counter(str(result.state) for result in results)), flush=True)
        for fault_name in FAULTS:
            for name, fixed in (("ours", False), ("fixed", True)):
                results = run(partial(run_shift, 0.01, fault_name, fixed), options.each, 500_000)
                print(f"{fault_name:24} {name:6}", json.dumps(summary(results)), flush=True)


if __name__ == "__main__":
    main()
