"""The state machine of a shift. The caller passes in windows, commands of operators, and the time.

| State | Candidate's share | Entered | Left |
| --- | --- | --- | --- |
| running | the step's | by an operator, or `RESUME_AFTER_S` after a pause's cause is gone | to all but undone |
| paused | the step's | by a `PauseCause` | to running or undoing |
| undoing | 0 | by harm, an operator, or an empty candidate | if nothing is in flight, or after `DRAIN_TIMEOUT_S` |
| undone | 0 | after undoing | never; a plan with another name is another shift |
| held | the last step's | after the last step if `at_end` is "hold" | by an operator or by harm |
| done | 1 | after the last step, or from held by an operator | by an operator's undo |

Only time in the state running counts as time in a step. No state after undoing gives the candidate traffic again, so a
shift does not oscillate.
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

# A paused shift resumes once the cause of the pause has been gone for this long.
RESUME_AFTER_S = 10.0
# A shift that is being undone waits at most this long for the requests in flight in the candidate.
DRAIN_TIMEOUT_S = 60.0
# A shift is undone if the candidate has listed no servers for this long.
EMPTY_TIMEOUT_S = 30.0
MAX_REPORTED_EVIDENCE = 1e12
# The reason of a shift that has not been started.
NOT_STARTED = "not started"


class ShiftState(StrEnum):
    """The state of a shift. The values are stored and shown to operators."""

    RUNNING = "running"
    PAUSED = "paused"
    UNDOING = "undoing"
    UNDONE = "undone"
    HELD = "held"
    DONE = "done"


class PauseCause(StrEnum):
    """Why a shift is paused. The values are stored and shown to operators."""

    OPERATOR = "an operator"
    LOW_TRAFFIC = "too little traffic in the candidate"
    NO_DATA = "no data of either pool"
    SHARED_TROUBLE = "both pools are slow or failing"
    EMPTY_CANDIDATE = "the candidate lists no servers"
    EMPTY_CONTROL = "the control lists no servers"
    PLAN_CHANGED = "the plan has changed since it was started"


class OperatorCommand(StrEnum):
    """A command that an operator can give."""

    START = "start"
    PAUSE = "pause"
    RESUME = "resume"
    UNDO = "undo"
    DONE = "done"


# Pauses with these causes end only when an operator resumes the shift.
OPERATOR_RESUMED_CAUSES = frozenset({PauseCause.OPERATOR, PauseCause.PLAN_CHANGED})


class CommandRejectedError(ValueError):
    """A command does not fit the shift's state or cannot be executed; the message says why."""


@dataclass(frozen=True, slots=True)
class Decision:
    """A change of a shift's state or share, which is stored as a record.

    Attributes:
        at: When the decision was made, in Unix time.
        state: The new state.
        share: The new share of the candidate.
        reason: Why the decision was made.
        figures: The measurements at the time of the decision.
    """

    at: float
    state: ShiftState
    share: float
    reason: str
    figures: Mapping[str, Any] = field(default_factory=dict)

    def to_json(self) -> dict[str, Any]:
        """Returns the decision in its stored form."""
        return {
            "at": self.at,
            "state": str(self.state),
            "share": self.share,
            "why": self.reason,
            "figures": dict(self.figures),
        }


class Shift:
    """The state of one shift.

    `now` is always in seconds of a monotonic clock. `wall` is the Unix time, which is only used for records.

    Attributes:
        plan: The plan of the shift.
        judge: The tests that compare the candidate with the control.
        state: The current state.
        cause: The cause of the pause if the shift is paused, else None.
        reason: Why the shift entered its current state.
        step: The index of the current step.
        step_running_s: How long the current step has been running, in seconds.
        step_units: The candidate's units in the current step, counted once per window.
        evidence: The evidence against the candidate in the last window.
    """

    def __init__(self, plan: Plan, classes: tuple[str, ...], now: float) -> None:
        """`classes` are the names of the request classes that the plan covers."""
        self.plan = plan
        self.judge = Judge(plan.judge, classes)
        self.state = ShiftState.PAUSED
        self.cause: PauseCause | None = PauseCause.OPERATOR
        self.reason = NOT_STARTED
        self.step = 0
        self.step_running_s = 0.0
        self.step_units = 0
        self.evidence = 1.0
        self._window_closed_at = now
        # When the current state was entered.
        self._entered_at = now
        # When a unit was last seen in each pool.
        self._control_seen_at = self._candidate_seen_at = now
        # When the cause of a pause was last present.
        self._cause_seen_at = now
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
        """Whether an operator has started the shift."""
        return self.reason != NOT_STARTED

    def execute(self, now: float, wall: float, command: OperatorCommand) -> Decision:
        """Executes an operator's command. Raises CommandRejectedError if it does not fit the state."""
        if command == OperatorCommand.START and not self.started:
            self.step = 0
            self._mark_pools_seen(now)
            return self.enter(now, wall, ShiftState.RUNNING, "started by an operator")
        if not self.started:
            raise CommandRejectedError(f"{command}: the shift has not been started")
        if command == OperatorCommand.PAUSE and self._can_pause():
            reason = f"paused: {PauseCause.OPERATOR}"
            return self.enter(now, wall, ShiftState.PAUSED, reason, PauseCause.OPERATOR)
        if command == OperatorCommand.RESUME and self.state == ShiftState.PAUSED:
            self._mark_pools_seen(now)
            return self.enter(now, wall, ShiftState.RUNNING, "resumed by an operator")
        if command == OperatorCommand.UNDO and self.state not in (ShiftState.UNDOING, ShiftState.UNDONE):
            return self.enter(now, wall, ShiftState.UNDOING, "undone by an operator")
        if command == OperatorCommand.DONE and self.state == ShiftState.HELD:
            return self.enter(now, wall, ShiftState.DONE, "confirmed by an operator")
        cause = f" (cause: {self.cause})" if self.cause else ""
        raise CommandRejectedError(f"{command}: not allowed while the shift is {self.state}{cause}")

    def _can_pause(self) -> bool:
        pausable = self.state in (ShiftState.RUNNING, ShiftState.PAUSED)
        return pausable and self.cause not in OPERATOR_RESUMED_CAUSES

    def _mark_pools_seen(self, now: float) -> None:
        self._control_seen_at = self._candidate_seen_at = now

    def enter(
        self, now: float, wall: float, state: ShiftState, reason: str, cause: PauseCause | None = None
    ) -> Decision:
        """Enters a state and returns the decision to be stored."""
        self.state, self.cause, self.reason = state, cause, reason
        self._entered_at = self._cause_seen_at = now
        return Decision(wall, state, self.share, reason, self.figures())

    def figures(self) -> dict[str, Any]:
        """Returns the measurements that decisions are based on, as they are stored."""
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

    def close_window(
        self, now: float, wall: float, listed: PoolCounts, candidate_in_flight: int
    ) -> Decision | None:
        """Closes a window and returns the decision that follows, if any.

        `listed` is the number of servers that each pool lists. `candidate_in_flight` is the number of requests in
        flight in the candidate.
        """
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
        undo = self._undo_if_harmful(now, wall, verdict)
        if undo is not None or self.state == ShiftState.HELD:
            return undo
        return self._pause_or_resume(now, wall, verdict, listed) or self._advance_step(
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

    def _undo_if_harmful(self, now: float, wall: float, verdict: Verdict) -> Decision | None:
        if verdict.gross:
            reason = f"gross harm: half of the candidate's units; {verdict.strongest}"
            return self.enter(now, wall, ShiftState.UNDOING, reason)
        # If both pools have a problem, slightly slower responses of the candidate do not show that it is faulty.
        if verdict.harm and not verdict.shared:
            return self.enter(now, wall, ShiftState.UNDOING, f"harm: {verdict.strongest}")
        return None

    def _find_pause_cause(self, now: float, verdict: Verdict, listed: PoolCounts) -> PauseCause | None:
        """Returns why a running shift must pause now, or None."""
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
        cause = self._find_pause_cause(now, verdict, listed)
        if self._candidate_stays_empty(now, listed):
            reason = f"{PauseCause.EMPTY_CANDIDATE}, for {EMPTY_TIMEOUT_S:g} s"
            return self.enter(now, wall, ShiftState.UNDOING, reason)
        if self.state == ShiftState.RUNNING:
            if cause is None:
                return None
            return self.enter(now, wall, ShiftState.PAUSED, f"paused: {cause}", cause)
        if self.cause in OPERATOR_RESUMED_CAUSES:
            return None
        if cause is not None:
            self._cause_seen_at, self.cause = now, cause
            return None
        # The cause must be gone for a while, because traffic near a limit would otherwise pause and resume repeatedly.
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

    def _advance_step(self, now: float, wall: float, window_s: float, verdict: Verdict) -> Decision | None:
        if self.state != ShiftState.RUNNING:
            return None
        self.step_running_s += window_s
        self.step_units += verdict.units.candidate
        step = self.plan.steps[self.step]
        # The share does not increase while the evidence is at least halfway to an alarm on a logarithmic scale.
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

    def to_json(self) -> dict[str, Any]:
        """Returns the shift in its stored form."""
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
        """Restores the shift from its stored form.

        A running or paused shift whose plan has changed since is paused. It keeps its step, or gets the last step of
        the new plan if that has fewer steps.
        """
        self.state = ShiftState(document["state"])
        self.cause = PauseCause(document["cause"]) if document["cause"] else None
        self.step = min(int(document["step"]), len(self.plan.steps) - 1)
        self.step_running_s, self.step_units = float(document["in_step"]), int(document["units"])
        self.reason = str(document["why"])
        self._window_closed_at = self._entered_at = self._cause_seen_at = now
        self._mark_pools_seen(now)
        self.judge.restore(document["judge"])
        changed = document["plan"] != self.plan.digest()
        if changed and self.state in (ShiftState.RUNNING, ShiftState.PAUSED):
            self.state, self.cause = ShiftState.PAUSED, PauseCause.PLAN_CHANGED
            self.reason = f"paused: {PauseCause.PLAN_CHANGED}"
