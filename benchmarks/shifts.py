"""False alarms and power of the judge of shifts, beside fixed thresholds, on the seeded model of two pools.

    python benchmarks/shifts.py [--shifts 1000] [--each 100] [--processes 7]

A/A: so many shifts between like pools with bursty traffic and heavy-tailed latencies; how many are undone. Power:
from the 30% step on the candidate does more harm, by kind and size; how many are undone, after how long, and the
first tries harmed beyond the usual. The other judge looks each 10 s at the candidate alone, as Flagger's defaults do:
success rate under 99% or p99 over 0.5 s five times, then undo. The same seeds for both.
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

SIZES = {
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
    """A canary against fixed bounds, without a control. It is called at each window, and says whether to undo."""

    def __init__(self) -> None:
        self._candidate_attempts: list[FirstAttempt] = []
        self._failed_checks = 0
        self._next_check = 10.0
        self._wrapped = False

    def _wrap(self, judge: Judge) -> None:
        """Lets the judge find no harm, and records what it gets."""
        add = judge.add

        def add_and_record(attempts: Iterable[FirstAttempt]) -> None:
            attempts = list(attempts)
            self._candidate_attempts += [attempt for attempt in attempts if attempt.candidate]
            add(attempts)

        judge.add = add_and_record  # type: ignore[method-assign]
        judge.verdict = no_harm  # type: ignore[method-assign]

    def __call__(self, shift: Shift, now: float) -> bool:
        if not self._wrapped:
            self._wrapped = True
            self._wrap(shift.judge)
        if now < self._next_check:
            return False
        self._next_check = now + 10.0
        attempts, self._candidate_attempts = self._candidate_attempts, []
        if attempts:
            good = sum(not attempt.failed for attempt in attempts) / len(attempts)
            ranked = sorted(attempt.latency_s for attempt in attempts)
            p99_s = ranked[min(int(0.99 * len(ranked)), len(ranked) - 1)]
            self._failed_checks += good < 0.99 or p99_s > 0.5
        return self._failed_checks >= 5


def no_harm(window: UnitSets) -> Verdict:
    return Verdict(False, False, False, 1.0, "", window.at_risk)


def one(false_alarms: float, what: str, fixed: bool, seed: int) -> SimulationResult:
    scenario = SIZES.get(what)
    fault = (lambda since, share, c: scenario if c else None) if scenario is not None else None
    judge = FixedThresholds() if fixed else None
    result = simulate(
        plan(false_alarms), seed, fault, fault_start=lambda now, share: share >= 0.3, judge=judge
    )
    result.decisions = []
    return result


def summary(outs: list[SimulationResult]) -> dict[str, object]:
    times = sorted(o.undone_after_s for o in outs)
    undone = sum(o.state == ShiftState.UNDONE for o in outs)

    def at(share: float) -> float | None:
        t = times[min(int(share * len(times)), len(times) - 1)]
        return None if t == inf else t

    harmed = sorted(o.attempts_harmed for o in outs)
    return {
        "undone": f"{undone} of {len(outs)}", "median_s": at(0.5), "p95_s": at(0.95),
        "harmed_median": harmed[len(harmed) // 2],
    }  # fmt: skip


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--shifts", type=int, default=1000)
    parser.add_argument("--each", type=int, default=100)
    parser.add_argument("--processes", type=int, default=7)
    options = parser.parse_args()
    with Processes(options.processes) as pool:

        def run(job: Callable[[int], SimulationResult], count: int, first: int) -> list[SimulationResult]:
            return pool.map(job, range(first, first + count), chunksize=4)

        for name, alarms, fixed in (
            ("ours, stated 1%", 0.01, False),
            ("ours, stated 5%", 0.05, False),
            ("fixed", 0.01, True),
        ):
            outs = run(partial(one, alarms, "like", fixed), options.shifts, 100_000)
            print("A/A", name, json.dumps(Counter(str(o.state) for o in outs)), flush=True)
        for what in SIZES:
            for name, fixed in (("ours", False), ("fixed", True)):
                outs = run(partial(one, 0.01, what, fixed), options.each, 500_000)
                print(f"{what:24} {name:6}", json.dumps(summary(outs)), flush=True)


if __name__ == "__main__":
    main()
