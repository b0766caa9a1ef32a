"""A shift's states, and what leads from one to the next. Free of I/O: windows, orders and the time are handed in.

| state | the candidate's share | entered | left |
| --- | --- | --- | --- |
| running | the step's | by an operator; when the cause of a pause has been gone for `BACK_S` | by any of the below |
| paused | the step's | by a `Cause` | as above |
| undoing | 0 | by harm, an operator, a candidate that stays empty | when nothing is out on it, or after `EMPTY_S` |
| undone | 0 | after undoing | by an operator's new start only |
| held | the last | after the last step, where `at_end` says so | by an operator |
| done | 1 | after the last step | |

Time in a step counts while running. Nothing leads back up from `undoing`: a shift does not swing.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from math import sqrt
from typing import Any

from harecross.shifts.judge import Judge, Verdict
from harecross.shifts.plan import Plan

BACK_S = 10.0  # seconds for which the cause of a pause must be gone
EMPTY_S = 60.0  # seconds after which an undone candidate's open work is no longer waited for
STARVED_S = 30.0  # seconds after which an empty candidate is undone


class State(StrEnum):
    """The values are what operators read."""

    RUNNING = "running"
    PAUSED = "paused"
    UNDOING = "undoing"
    UNDONE = "undone"
    HELD = "held"
    DONE = "done"


class Cause(StrEnum):
    """Why a shift is paused."""

    OPERATOR = "an operator"
    QUIET = "too little traffic in the candidate"
    BLIND = "no data of either pool"
    SHARED = "both pools are slow or failing"
    EMPTY = "the candidate lists no servers"
    NO_CONTROL = "the control lists no servers"
    CHANGED = "the plan has changed since it was started"


ORDERS_NEEDED = frozenset({Cause.OPERATOR, Cause.CHANGED})  # only an operator ends these


class Refused(ValueError):
    """An order that does not fit the state; the text says what would."""


@dataclass(frozen=True, slots=True)
class Decision:
    """One change and what led to it: a record of the store. `at` is Unix time."""

    at: float
    state: State
    share: float
    why: str
    figures: Mapping[str, Any] = field(default_factory=dict)

    def to_doc(self) -> dict[str, Any]:
        return {
            "at": self.at,
            "state": str(self.state),
            "share": self.share,
            "why": self.why,
            "figures": dict(self.figures),
        }


class Shift:
    """One shift. `now` is a clock that never goes back, `wall` the Unix time, for people alone."""

    def __init__(self, plan: Plan, classes: tuple[str, ...], now: float) -> None:
        """`classes`: those the plan is about, by name."""
        self.plan = plan
        self.judge = Judge(plan.judge, classes)
        self.state = State.PAUSED
        self.cause: Cause | None = Cause.OPERATOR
        self.step = 0
        self.in_step = 0.0  # seconds of running
        self.units = 0  # candidate units seen in this step, window by window
        self.why = "not started"
        self.last = now  # when the last window was closed
        self.since = now  # of the state
        self.seen = [now, now]  # when the control and the candidate were last seen to serve
        self.clear_since = now  # since when the cause of a pause is gone
        self.empty_since: float | None = None
        self.evidence = 1.0

    # ---- what it means for traffic ------------------------------------------------------------------------

    @property
    def share(self) -> float:
        """The candidate's share of units."""
        if self.state in (State.UNDOING, State.UNDONE):
            return 0.0
        if self.state == State.DONE:
            return 1.0
        return self.plan.steps[self.step].share if self.started else 0.0

    @property
    def started(self) -> bool:
        return self.why != "not started"

    # ---- operators ----------------------------------------------------------------------------------------

    def order(self, now: float, wall: float, what: str) -> Decision:
        """start, pause, resume, undo or done. Refused where that does not fit."""
        state = self.state
        if what == "start" and not self.started:
            self.step, self.seen = 0, [now, now]
            return self.go(now, wall, State.RUNNING, "started by an operator")
        if not self.started:
            raise Refused(f"{what}: it has not been started")
        if what == "pause" and state in (State.RUNNING, State.PAUSED) and self.cause not in ORDERS_NEEDED:
            return self.go(now, wall, State.PAUSED, f"paused: {Cause.OPERATOR}", Cause.OPERATOR)
        if what == "resume" and state == State.PAUSED:
            self.seen = [now, now]
            return self.go(now, wall, State.RUNNING, "resumed by an operator")
        if what == "undo" and state not in (State.UNDOING, State.UNDONE):
            return self.go(now, wall, State.UNDOING, "undone by an operator")
        if what == "done" and state == State.HELD:
            return self.go(now, wall, State.DONE, "confirmed by an operator")
        raise Refused(f"{what}: it is {state}{f', by {self.cause}' if self.cause else ''}")

    def go(self, now: float, wall: float, state: State, why: str, cause: Cause | None = None) -> Decision:
        self.state, self.cause, self.why, self.since = state, cause, why, now
        self.clear_since = now
        return Decision(wall, state, self.share, why, self.figures())

    def figures(self) -> dict[str, Any]:
        """What a decision rests on."""
        return {
            "step": self.step,
            "in_step_s": round(self.in_step, 1),
            "units": self.units,
            "evidence": round(min(self.evidence, 1e12), 3),
            "alarm_at": round(1 / self.plan.judge.false_alarms, 1),
            "harmed": {
                f"{c}: {k}": [bet.harmed, bet.at_risk]
                for (c, k), bet in self.judge.bets.items()
                if any(bet.harmed)
            },
        }

    # ---- windows ------------------------------------------------------------------------------------------

    def window(
        self, now: float, wall: float, listed: tuple[int, int], open_on_candidate: int
    ) -> Decision | None:
        """Closes a window; the change that follows, if any. `listed`: servers of the control and of the candidate."""
        span, self.last = max(0.0, now - self.last), now
        verdict = self.judge.close(now)
        self.evidence = verdict.evidence
        for pool in (0, 1):
            if verdict.units[pool]:
                self.seen[pool] = now
        if self.state == State.UNDOING:
            if not open_on_candidate:
                return self.go(now, wall, State.UNDONE, f"{self.why}; nothing is out on the candidate")
            if now - self.since >= EMPTY_S:
                return self.go(
                    now, wall, State.UNDONE, f"{self.why}; {open_on_candidate} still out after {EMPTY_S:g} s"
                )
            return None
        if not self.started or self.state in (State.UNDONE, State.DONE):
            return None
        harmed = self.harmed(now, wall, verdict)
        if harmed is not None:
            return harmed
        if self.state == State.HELD:
            return None
        return self.pausing(now, wall, verdict, listed) or self.progress(now, wall, span, verdict)

    def harmed(self, now: float, wall: float, verdict: Verdict) -> Decision | None:
        if verdict.gross:
            return self.go(
                now, wall, State.UNDOING, f"gross harm: half of the candidate's units; {verdict.why}"
            )
        # Guards against: both pools slow down, the weaker one a little more, and a good release is undone.
        if verdict.harm and not verdict.shared:
            return self.go(now, wall, State.UNDOING, f"harm: {verdict.why}")
        return None

    def causes(self, now: float, verdict: Verdict, listed: tuple[int, int]) -> Cause | None:
        """What would pause a running shift now."""
        quiet = self.plan.judge.quiet_s
        if not listed[1]:
            return Cause.EMPTY
        if not listed[0]:
            return Cause.NO_CONTROL
        if verdict.shared:
            return Cause.SHARED
        if now - max(self.seen) >= quiet:
            return Cause.BLIND
        if now - self.seen[1] >= quiet:
            return Cause.QUIET
        return None

    def pausing(self, now: float, wall: float, verdict: Verdict, listed: tuple[int, int]) -> Decision | None:
        cause = self.causes(now, verdict, listed)
        if listed[1]:
            self.empty_since = None
        elif self.empty_since is None:
            self.empty_since = now
        elif now - self.empty_since >= STARVED_S:
            return self.go(now, wall, State.UNDOING, f"{Cause.EMPTY}, for {STARVED_S:g} s")
        if self.state == State.RUNNING:
            return self.go(now, wall, State.PAUSED, f"paused: {cause}", cause) if cause is not None else None
        if self.cause in ORDERS_NEEDED:
            return None
        if cause is not None:
            self.clear_since, self.cause = now, cause
            return None
        # Guards against: a trickle at the bound pauses and resumes at each call. One that was quiet has to be seen.
        if now - self.clear_since >= BACK_S:
            return self.go(now, wall, State.RUNNING, f"resumed: {self.cause} no longer, for {BACK_S:g} s")
        return None

    def progress(self, now: float, wall: float, span: float, verdict: Verdict) -> Decision | None:
        if self.state != State.RUNNING:
            return None
        self.in_step += span
        self.units += verdict.units[1]
        step = self.plan.steps[self.step]
        # Evidence half way to an alarm, on its own scale, is no ground for a larger share.
        doubtful = verdict.evidence >= sqrt(1 / self.plan.judge.false_alarms)
        if self.in_step < step.least_s or self.units < step.least_units or doubtful:
            return None
        decided = (
            f"step {self.step + 1} of {len(self.plan.steps)} held: {self.in_step:.0f} s, {self.units} units"
        )
        self.in_step, self.units = 0.0, 0
        if self.step + 1 < len(self.plan.steps):
            self.step += 1
            return self.go(now, wall, State.RUNNING, decided)
        return self.go(now, wall, State.HELD if self.plan.at_end == "hold" else State.DONE, decided)

    # ---- kept over a restart ------------------------------------------------------------------------------

    def to_doc(self) -> dict[str, Any]:
        return {
            "plan": self.plan.digest(), "state": str(self.state), "cause": str(self.cause) if self.cause else None,
            "step": self.step, "in_step": round(self.in_step, 3), "units": self.units, "why": self.why,
            "share": self.share, "judge": self.judge.to_doc(),
        }  # fmt: skip

    def restore(self, now: float, doc: Mapping[str, Any]) -> None:
        """From `to_doc`. A running shift whose plan has changed since is paused, at the step where it stood, or at
        the last."""
        self.state = State(doc["state"])
        self.cause = Cause(doc["cause"]) if doc["cause"] else None
        self.step = min(int(doc["step"]), len(self.plan.steps) - 1)
        self.in_step, self.units, self.why = float(doc["in_step"]), int(doc["units"]), str(doc["why"])
        self.last = self.since = self.clear_since = now
        self.seen = [now, now]
        self.judge.restore(doc["judge"])
        if doc["plan"] != self.plan.digest() and self.state in (State.RUNNING, State.PAUSED):
            self.state, self.cause, self.why = State.PAUSED, Cause.CHANGED, f"paused: {Cause.CHANGED}"


class NodeShare:
    """What one node does with what controllers tell it. A larger token is a later leader's (fencing)."""

    def __init__(self, contact_s: float, now: float) -> None:
        self.contact_s = contact_s
        self.token = 0
        self.heard = now
        self.told = 0.0

    def tell(self, now: float, token: int, share: float) -> bool:
        """Whether it was taken: one from a leader that another has followed is not."""
        if token < self.token:
            return False
        self.token, self.heard, self.told = token, now, share
        return True

    def share(self, now: float) -> float:
        """The candidate's share; 0 once nothing has been heard for `contact_s`. All of it, once done, stays."""
        if self.told >= 1.0 or now - self.heard < self.contact_s:
            return self.told
        return 0.0
