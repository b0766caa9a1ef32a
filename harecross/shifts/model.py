"""A small seeded model of two pools, for the judge and the states: thousands of shifts a minute. Free of I/O.

Arrivals come in bursts, units are heavy-tailed (some captains ask a hundred times more often), latencies are
lognormal with a heavy tail, cold servers are slow, clients try again. A fault changes one pool or both from a share
or a time on.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from math import exp, inf
from random import Random

from harecross.shifts.judge import Try
from harecross.shifts.plan import Plan, chosen
from harecross.shifts.shift import Decision, Shift, State

AIM = 1.0  # seconds
UNITS = 2000


@dataclass(slots=True)
class Weather:
    """What a pool does at one moment. `slow` multiplies latencies; `errors` and `lost` are shares."""

    slow: float = 1.0
    errors: float = 0.002
    lost: float = 0.001
    only: Callable[[int], bool] = field(
        default=lambda unit: True
    )  # the units that slow, errors and lost are for


Fault = Callable[[float, float, bool], Weather | None]  # time, share, candidate; None for the usual


@dataclass(slots=True)
class Outcome:
    """One shift played to its end."""

    state: State
    seconds: float
    step: int
    decisions: list[Decision]
    undone_after: float = inf  # seconds from the fault's beginning to a share of 0
    worth_lost: float = 0.0  # units of first tries harmed in the candidate beyond the usual


def play(
    plan: Plan,
    seed: int,
    fault: Fault | None = None,
    rate: float = 60.0,
    begins: Callable[[float, float], bool] | None = None,
    seconds: float = 3600.0,
    judge: Callable[[Shift, float], bool] | None = None,
) -> Outcome:
    """Plays a plan from its start. `rate`: first tries a second; `begins` tells from time and share when the fault is
    there.

    `judge` takes the place of the plan's own: whether to undo, asked each window (for comparisons).
    """
    rng = Random(seed)
    shift = Shift(plan, ("read",), 0.0)
    decisions = [shift.order(0.0, 0.0, "start")]
    window, now, busy, began, cold = plan.judge.window_s, 0.0, rate, None, 0.0
    weights = [1.0 / (1 + rng.paretovariate(1.2)) for _ in range(UNITS)]
    harmed_beyond = 0
    out = Outcome(State.RUNNING, 0.0, 0, decisions)
    while now < seconds and shift.state not in (State.UNDONE, State.DONE, State.HELD):
        now += window
        if rng.random() < 0.05:
            busy = rate * rng.choice([0.3, 1.0, 1.0, 3.0])
        if fault is not None and began is None and (begins is None or begins(now, shift.share)):
            began = now
        count = int(rng.gauss(busy * window, (busy * window) ** 0.5))
        # A step brings servers that are cold for some seconds: kept apart by the cold rule, and slower.
        cold = max(0.0, cold - window)
        tries, lost_here = [], 0
        for unit in rng.choices(range(UNITS), weights, k=max(0, count)):
            candidate = chosen(plan.name, b"%d" % unit, shift.share)
            weather = (
                fault(now - began, shift.share, candidate)
                if fault is not None and began is not None
                else None
            )
            mine = weather if weather is not None and weather.only(unit) else Weather()
            latency = 0.12 * mine.slow * exp(rng.gauss(0, 0.5)) * (1.3 if candidate and cold else 1.0)
            if rng.random() < 0.01:
                latency *= rng.paretovariate(1.5)
            failed = rng.random() < mine.errors + mine.lost
            if rng.random() < mine.lost:
                latency = inf
            late = latency > AIM
            lost_here += candidate and mine is weather and (failed or late)
            # Clients try again, with success for the most part; such tries are not handed to the judge.
            tries.append(Try(unit, "read", candidate, latency, failed, late))
        harmed_beyond += lost_here
        shift.judge.add(tries)
        decision = shift.window(now, now, (10, 10), 0)
        if decision is None and judge is not None and shift.state == State.RUNNING and judge(shift, now):
            decision = shift.go(now, now, State.UNDOING, "by the other judge")
        if decision is not None:
            decisions.append(decision)
            if shift.state == State.RUNNING:
                cold = 5.0
            if shift.state == State.UNDOING and began is not None and out.undone_after == inf:
                out.undone_after = now - began
    out.state, out.seconds, out.step, out.worth_lost = shift.state, now, shift.step, float(harmed_beyond)
    return out
