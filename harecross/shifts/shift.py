"""A shift's states, and what leads from one to the next. Free of I/O: windows, orders and the time are handed in.

| state | the candidate's share | entered | left |
| --- | --- | --- | --- |
| running | the step's | by an operator; `RESUME_AFTER_S` after the cause of a pause is gone | by any of the below |
| paused | the step's | by a `PauseCause` | as above |
| undoing | 0 | by harm, an operator, an empty candidate | with no request in flight, or after `DRAIN_TIMEOUT_S` |
| undone | 0 | after undoing | by an operator's new start only |
| held | the last | after the last step, where `at_end` says so | by an operator |
| done | 1 | after the last step | |

Time in a step counts while running. Nothing leads back up from `undoing`: a shift does not oscillate.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from math import sqrt
from typing import Any

from harecross.shifts.eprocess import PoolCounts
from harecross.shifts.judge import Judge, Verdict
from harecross.shifts.plan import Plan

RESUME_AFTER_S = 10.0  # for which the cause of a pause must be gone
DRAIN_TIMEOUT_S = 60.0  # after which requests in flight on an undone candidate are no longer waited for
EMPTY_TIMEOUT_S = 30.0  # after which an empty candidate is undone
MAX_REPORTED_EVIDENCE = 1e12
NOT_STARTED = "not started"  # the reason of a shift that has not been started


class ShiftState(StrEnum):
    """The values are stored, and what operators read."""

    RUNNING = "running"
    PAUSED = "paused"
    UNDOING = "undoing"
    UNDONE = "undone"
    HELD = "held"
    DONE = "done"


class PauseCause(StrEnum):
    """Why a shift is paused. The values are stored, and what operators read."""

    OPERATOR = "an operator"
    LOW_TRAFFIC = "too little traffic in the candidate"
    NO_DATA = "no data of either pool"
    SHARED_TROUBLE = "both pools are slow or failing"
    EMPTY_CANDIDATE = "the candidate lists no servers"
    EMPTY_CONTROL = "the control lists no servers"
    PLAN_CHANGED = "the plan has changed since it was started"


class OperatorCommand(StrEnum):
    """What operators may order."""

    START = "start"
    PAUSE = "pause"
    RESUME = "resume"
    UNDO = "undo"
    DONE = "done"


ENDED_BY_OPERATORS = frozenset({PauseCause.OPERATOR, PauseCause.PLAN_CHANGED})


class CommandRejectedError(ValueError):
    """An order that does not fit the state, or cannot be carried out; the text says why."""


@dataclass(frozen=True, slots=True)
class Decision:
    """One change of a shift and what led to it: a record of the store."""

    at: float  # Unix time
    state: ShiftState
    share: float
    reason: str
    figures: Mapping[str, Any] = field(default_factory=dict)

    def to_json(self) -> dict[str, Any]:
        """The stored form."""
        return {
            "at": self.at,
            "state": str(self.state),
            "share": self.share,
            "why": self.reason,
            "figures": dict(self.figures),
        }


class Shift:
    """One shift. `now` is monotonic seconds; `wall`, the Unix time, is for records only."""

    def __init__(self, plan: Plan, classes: tuple[str, ...], now: float) -> None:
        """`classes`: the names of the request classes that the plan is about."""
        self.plan = plan
        self.judge = Judge(plan.judge, classes)
        self.state = ShiftState.PAUSED
        self.cause: PauseCause | None = PauseCause.OPERATOR
        self.reason = NOT_STARTED
        self.step = 0
        self.step_running_s = 0.0
        self.step_units = 0  # candidate units seen in this step, window by window
        self.evidence = 1.0
        self._window_closed_at = now
        self._entered_at = now  # the state
        self._control_seen_at = self._candidate_seen_at = now  # when each pool was last seen to serve
        self._cause_seen_at = now  # when the cause of a pause was last there
        self._candidate_empty_since: float | None = None

    @property
    def share(self) -> float:
        """The candidate's share of units."""
        if self.state in (ShiftState.UNDOING, ShiftState.UNDONE):
            return 0.0
        if self.state == ShiftState.DONE:
            return 1.0
        return self.plan.steps[self.step].share if self.started else 0.0

    @property
    def started(self) -> bool:
        """Whether an operator has started it."""
        return self.reason != NOT_STARTED

    # ---- operators ------------------------------------------------------------------------------------------

    def execute(self, now: float, wall: float, command: OperatorCommand) -> Decision:
        """Carries out an operator's order. CommandRejectedError where it does not fit the state."""
        if command == OperatorCommand.START and not self.started:
            self.step = 0
            self._pools_seen(now)
            return self.enter(now, wall, ShiftState.RUNNING, "started by an operator")
        if not self.started:
            raise CommandRejectedError(f"{command}: it has not been started")
        if command == OperatorCommand.PAUSE and self._can_pause():
            reason = f"paused: {PauseCause.OPERATOR}"
            return self.enter(now, wall, ShiftState.PAUSED, reason, PauseCause.OPERATOR)
        if command == OperatorCommand.RESUME and self.state == ShiftState.PAUSED:
            self._pools_seen(now)
            return self.enter(now, wall, ShiftState.RUNNING, "resumed by an operator")
        if command == OperatorCommand.UNDO and self.state not in (ShiftState.UNDOING, ShiftState.UNDONE):
            return self.enter(now, wall, ShiftState.UNDOING, "undone by an operator")
        if command == OperatorCommand.DONE and self.state == ShiftState.HELD:
            return self.enter(now, wall, ShiftState.DONE, "confirmed by an operator")
        by = f", by {self.cause}" if self.cause else ""
        raise CommandRejectedError(f"{command}: it is {self.state}{by}")

    def _can_pause(self) -> bool:
        pausable = self.state in (ShiftState.RUNNING, ShiftState.PAUSED)
        return pausable and self.cause not in ENDED_BY_OPERATORS

    def _pools_seen(self, now: float) -> None:
        self._control_seen_at = self._candidate_seen_at = now

    def enter(
        self, now: float, wall: float, state: ShiftState, reason: str, cause: PauseCause | None = None
    ) -> Decision:
        """Enters a state, and returns the record of it."""
        self.state, self.cause, self.reason = state, cause, reason
        self._entered_at = self._cause_seen_at = now
        return Decision(wall, state, self.share, reason, self.figures())

    def figures(self) -> dict[str, Any]:
        """What a decision is based on."""
        return {
            "step": self.step,
            "in_step_s": round(self.step_running_s, 1),
            "units": self.step_units,
            "evidence": round(min(self.evidence, MAX_REPORTED_EVIDENCE), 3),
            "alarm_at": round(1 / self.plan.judge.false_alarms, 1),
            "harmed": {
                f"{key.request_class}: {key.harm}": [list(test.events), list(test.at_risk)]
                for key, test in self.judge.tests.items()
                if any(test.events)
            },
        }

    # ---- windows --------------------------------------------------------------------------------------------

    def close_window(
        self, now: float, wall: float, listed: PoolCounts, candidate_in_flight: int
    ) -> Decision | None:
        """Closes a window; returns the change that follows, if any. `listed` are the servers of each pool."""
        window_s, self._window_closed_at = max(0.0, now - self._window_closed_at), now
        verdict = self.judge.close_window(now)
        self.evidence = verdict.evidence
        if verdict.units.control:
            self._control_seen_at = now
        if verdict.units.candidate:
            self._candidate_seen_at = now
        if self.state == ShiftState.UNDOING:
            return self._finish_undoing(now, wall, candidate_in_flight)
        if not self.started or self.state in (ShiftState.UNDONE, ShiftState.DONE):
            return None
        undo = self._undo_harm(now, wall, verdict)
        if undo is not None or self.state == ShiftState.HELD:
            return undo
        return self._pause_or_resume(now, wall, verdict, listed) or self._advance(
            now, wall, window_s, verdict
        )

    def _finish_undoing(self, now: float, wall: float, candidate_in_flight: int) -> Decision | None:
        if not candidate_in_flight:
            reason = f"{self.reason}; nothing is out on the candidate"
            return self.enter(now, wall, ShiftState.UNDONE, reason)
        if now - self._entered_at >= DRAIN_TIMEOUT_S:
            reason = f"{self.reason}; {candidate_in_flight} still out after {DRAIN_TIMEOUT_S:g} s"
            return self.enter(now, wall, ShiftState.UNDONE, reason)
        return None

    def _undo_harm(self, now: float, wall: float, verdict: Verdict) -> Decision | None:
        if verdict.gross:
            reason = f"gross harm: half of the candidate's units; {verdict.strongest}"
            return self.enter(now, wall, ShiftState.UNDOING, reason)
        # Where both pools are in trouble, a candidate that is a little slower is no bad release.
        if verdict.harm and not verdict.shared:
            return self.enter(now, wall, ShiftState.UNDOING, f"harm: {verdict.strongest}")
        return None

    def _pause_cause(self, now: float, verdict: Verdict, listed: PoolCounts) -> PauseCause | None:
        """What would pause a running shift now."""
        quiet_s = self.plan.judge.quiet_s
        if not listed.candidate:
            return PauseCause.EMPTY_CANDIDATE
        if not listed.control:
            return PauseCause.EMPTY_CONTROL
        if verdict.shared:
            return PauseCause.SHARED_TROUBLE
        if now - max(self._control_seen_at, self._candidate_seen_at) >= quiet_s:
            return PauseCause.NO_DATA
        if now - self._candidate_seen_at >= quiet_s:
            return PauseCause.LOW_TRAFFIC
        return None

    def _pause_or_resume(
        self, now: float, wall: float, verdict: Verdict, listed: PoolCounts
    ) -> Decision | None:
        cause = self._pause_cause(now, verdict, listed)
        if self._candidate_stays_empty(now, listed):
            reason = f"{PauseCause.EMPTY_CANDIDATE}, for {EMPTY_TIMEOUT_S:g} s"
            return self.enter(now, wall, ShiftState.UNDOING, reason)
        if self.state == ShiftState.RUNNING:
            if cause is None:
                return None
            return self.enter(now, wall, ShiftState.PAUSED, f"paused: {cause}", cause)
        if self.cause in ENDED_BY_OPERATORS:
            return None
        if cause is not None:
            self._cause_seen_at, self.cause = now, cause
            return None
        # The cause must be gone for a while, or traffic near a bound would pause and resume all the time.
        if now - self._cause_seen_at >= RESUME_AFTER_S:
            reason = f"resumed: {self.cause} no longer, for {RESUME_AFTER_S:g} s"
            return self.enter(now, wall, ShiftState.RUNNING, reason)
        return None

    def _candidate_stays_empty(self, now: float, listed: PoolCounts) -> bool:
        if listed.candidate:
            self._candidate_empty_since = None
        elif self._candidate_empty_since is None:
            self._candidate_empty_since = now
        return (
            self._candidate_empty_since is not None and now - self._candidate_empty_since >= EMPTY_TIMEOUT_S
        )

    def _advance(self, now: float, wall: float, window_s: float, verdict: Verdict) -> Decision | None:
        if self.state != ShiftState.RUNNING:
            return None
        self.step_running_s += window_s
        self.step_units += verdict.units.candidate
        step = self.plan.steps[self.step]
        # Evidence half way to an alarm, on its logarithmic scale, holds a larger share back.
        doubtful = verdict.evidence >= sqrt(1 / self.plan.judge.false_alarms)
        if self.step_running_s < step.least_s or self.step_units < step.least_units or doubtful:
            return None
        reason = (
            f"step {self.step + 1} of {len(self.plan.steps)} held:"
            f" {self.step_running_s:.0f} s, {self.step_units} units"
        )
        self.step_running_s, self.step_units = 0.0, 0
        if self.step + 1 < len(self.plan.steps):
            self.step += 1
            return self.enter(now, wall, ShiftState.RUNNING, reason)
        end = ShiftState.HELD if self.plan.at_end == "hold" else ShiftState.DONE
        return self.enter(now, wall, end, reason)

    # ---- stored over a restart --------------------------------------------------------------------------------

    def to_json(self) -> dict[str, Any]:
        """The stored form."""
        return {
            "plan": self.plan.digest(),
            "state": str(self.state),
            "cause": str(self.cause) if self.cause else None,
            "step": self.step,
            "in_step": round(self.step_running_s, 3),
            "units": self.step_units,
            "why": self.reason,
            "share": self.share,
            "judge": self.judge.to_json(),
        }

    def restore(self, now: float, document: Mapping[str, Any]) -> None:
        """Goes on from the stored form. A running shift whose plan has changed since is paused, at the step where it
        stood, or at the last.
        """
        self.state = ShiftState(document["state"])
        self.cause = PauseCause(document["cause"]) if document["cause"] else None
        self.step = min(int(document["step"]), len(self.plan.steps) - 1)
        self.step_running_s, self.step_units = float(document["in_step"]), int(document["units"])
        self.reason = str(document["why"])
        self._window_closed_at = self._entered_at = self._cause_seen_at = now
        self._pools_seen(now)
        self.judge.restore(document["judge"])
        changed = document["plan"] != self.plan.digest()
        if changed and self.state in (ShiftState.RUNNING, ShiftState.PAUSED):
            self.state, self.cause = ShiftState.PAUSED, PauseCause.PLAN_CHANGED
            self.reason = f"paused: {PauseCause.PLAN_CHANGED}"
