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
from collections.abc import Callable
from functools import partial
from math import inf
from multiprocessing import Pool as Processes
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from harecross.shifts.judge import Judge  # noqa: E402
from harecross.shifts.model import Outcome, Weather, play  # noqa: E402
from harecross.shifts.plan import Judging, Plan, Pool, Step  # noqa: E402
from harecross.shifts.shift import Shift, State  # noqa: E402

SIZES = {
    "errors +1%": Weather(errors=0.012), "errors +2%": Weather(errors=0.022), "errors +5%": Weather(errors=0.052),
    "errors +20%": Weather(errors=0.202), "slow x1.25": Weather(slow=1.25), "slow x1.5": Weather(slow=1.5),
    "slow x2": Weather(slow=2.0), "slow x4": Weather(slow=4.0),
    "errors +50% for a tenth": Weather(errors=0.5, only=lambda unit: unit % 10 == 0),
}  # fmt: skip


def plan(false_alarms: float) -> Plan:
    steps = tuple(Step(share, 60.0, 200) for share in (0.05, 0.3, 0.6))
    return Plan(
        "readings-2", Pool(kinds=("m1",)), Pool(kinds=("m2",)), steps, Judging(false_alarms=false_alarms)
    )


class Fixed:
    """A canary against fixed bounds, without a control."""

    def __init__(self) -> None:
        self.seen: list = []
        self.failed = 0
        self.next = 10.0

    def wrap(self, judge: Judge) -> None:
        add = judge.add

        def both(tries) -> None:
            tries = list(tries)
            self.seen += [t for t in tries if t.candidate]
            add(tries)

        judge.add = both  # type: ignore[method-assign]
        judge.verdict = lambda risk, bad: JUST(risk)  # type: ignore[method-assign]

    def __call__(self, shift: Shift, now: float) -> bool:
        if not self.seen and shift.judge.add.__name__ != "both":
            self.wrap(shift.judge)
        if now < self.next:
            return False
        self.next = now + 10.0
        seen, self.seen = self.seen, []
        if seen:
            good = sum(not t.failed for t in seen) / len(seen)
            p99 = sorted(t.latency for t in seen)[min(int(0.99 * len(seen)), len(seen) - 1)]
            self.failed += good < 0.99 or p99 > 0.5
        return self.failed >= 5


def JUST(risk: tuple[int, int]):  # noqa: N802
    from harecross.shifts.judge import Verdict

    return Verdict(False, False, False, 1.0, "", risk)


def one(false_alarms: float, what: str, fixed: bool, seed: int) -> Outcome:
    weather = SIZES.get(what)
    fault = (lambda since, share, c: weather if c else None) if weather is not None else None
    judge = Fixed() if fixed else None
    out = play(plan(false_alarms), seed, fault, begins=lambda now, share: share >= 0.3, judge=judge)
    out.decisions = []
    return out


def summary(outs: list[Outcome]) -> dict[str, object]:
    times = sorted(o.undone_after for o in outs)
    undone = sum(o.state == State.UNDONE for o in outs)

    def at(share: float) -> float | None:
        t = times[min(int(share * len(times)), len(times) - 1)]
        return None if t == inf else t

    harmed = sorted(o.worth_lost for o in outs)
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

        def run(job: Callable[[int], Outcome], count: int, first: int) -> list[Outcome]:
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
