"""Whether the candidate does harm that the control, at the same moment, does not. Free of I/O.

The unit of the test is what keeps to its pool (a captain). Each kind of harm in each class has a sequential test of its
own (`eprocess`), and the mean of their e-values is the evidence.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from math import inf
from typing import Any, NamedTuple

from harecross.shifts.eprocess import EProcess, PoolCounts
from harecross.shifts.plan import JudgeSettings

MAX_CONTROL_LATENCIES = 2000  # from which the control's quantiles are taken
MIN_CONTROL_LATENCIES = 50  # fewer have no quantiles
GROSS_MIN_UNITS = 20  # of each pool, over `GROSS_WINDOWS`
GROSS_CANDIDATE_SHARE, GROSS_CONTROL_SHARE = 0.5, 0.1  # of units with an event
GROSS_WINDOWS = 3


@dataclass(frozen=True, slots=True)
class FirstAttempt:
    """The end of a request's first attempt, in the pool that it was sent to.

    Neither a client's retry nor a further attempt of the node is one.
    """

    unit: int
    request_class: str
    candidate: bool  # the pool
    latency_s: float  # inf where no answer came
    failed: bool  # an error, a time-out or a rejection
    late: bool  # after its latency objective


@dataclass(frozen=True, slots=True)
class Verdict:
    """The result of a window."""

    harm: bool
    gross: bool  # harm that needs no test
    shared: bool  # the control is in trouble too
    evidence: float  # the mean e-value; an alarm is 1/false_alarms
    strongest: str  # the kinds of harm with the largest e-values
    units: PoolCounts  # at risk in the window


class HarmKey(NamedTuple):
    """What one test is about."""

    request_class: str
    harm: str  # errors, late, or slower than a quantile of the control


class UnitSets:
    """The units at risk, and those with an event, of one window."""

    def __init__(self) -> None:
        self._at_risk: tuple[set[int], set[int]] = (set(), set())  # control, candidate
        self._events: tuple[set[int], set[int]] = (set(), set())

    def add(self, attempt: FirstAttempt, *, event: bool) -> None:
        """Counts an attempt's unit, once in each set."""
        self._at_risk[attempt.candidate].add(attempt.unit)
        if event:
            self._events[attempt.candidate].add(attempt.unit)

    @property
    def at_risk(self) -> PoolCounts:
        """How many units were at risk."""
        return PoolCounts(*map(len, self._at_risk))

    @property
    def events(self) -> PoolCounts:
        """How many units had an event."""
        return PoolCounts(*map(len, self._events))

    def units_with_event(self) -> set[int]:
        """The units of either pool that had an event."""
        return self._events[0] | self._events[1]


class ControlLatencies:
    """The control's latencies in one class, and the bounds above which a latency counts as slow."""

    def __init__(self, quantiles: Sequence[float], slower: float) -> None:
        self._quantiles, self._slower = quantiles, slower
        self._latencies: deque[float] = deque(maxlen=MAX_CONTROL_LATENCIES)
        self.bounds_s = [inf] * len(quantiles)  # inf until enough is known

    def add(self, attempts: Iterable[FirstAttempt]) -> None:
        """Takes the control's answers, and computes the bounds anew."""
        self._latencies.extend(
            attempt.latency_s
            for attempt in attempts
            if not attempt.candidate and attempt.latency_s < inf and not attempt.failed
        )
        if len(self._latencies) < MIN_CONTROL_LATENCIES:
            return
        ranked = sorted(self._latencies)
        for index, quantile in enumerate(self._quantiles):
            rank = min(int(quantile * len(ranked)), len(ranked) - 1)
            self.bounds_s[index] = ranked[rank] * (1 + self._slower)


class Judge:
    """Collects first attempts and closes windows."""

    def __init__(self, settings: JudgeSettings, classes: Sequence[str]) -> None:
        self.settings = settings
        self._slow_harms = [f"slow p{100 * quantile:g}" for quantile in settings.quantiles]
        harms = ["errors", "late", *self._slow_harms]
        self.tests = {HarmKey(name, harm): EProcess() for name in classes for harm in harms}
        self._control = {name: ControlLatencies(settings.quantiles, settings.slower) for name in classes}
        self._attempts: list[FirstAttempt] = []
        # Units whose event was counted, by the time until when a further one does not count.
        self._counted_until: dict[tuple[HarmKey, int], float] = {}
        self._recent: deque[UnitSets] = deque(maxlen=GROSS_WINDOWS)

    def add(self, attempts: Iterable[FirstAttempt]) -> None:
        """Adds first attempts that have ended; those of a class that the plan does not name are left out."""
        self._attempts.extend(attempt for attempt in attempts if attempt.request_class in self._control)

    def close_window(self, now: float) -> Verdict:
        """Ends a window. `now` is monotonic seconds."""
        attempts, self._attempts = self._attempts, []
        for name, control in self._control.items():
            of_class = [attempt for attempt in attempts if attempt.request_class == name]
            self._update_tests(now, name, of_class, control.bounds_s)
            # After the tests: the latencies compared with a bound must have had no part in it.
            control.add(of_class)
        window = UnitSets()
        for attempt in attempts:
            window.add(attempt, event=attempt.failed or attempt.late)
        self._recent.append(window)
        self._counted_until = {key: until for key, until in self._counted_until.items() if until > now}
        return self.verdict(window)

    def _update_tests(
        self, now: float, request_class: str, attempts: list[FirstAttempt], bounds_s: list[float]
    ) -> None:
        errors = [attempt.failed for attempt in attempts]
        self._update_test(now, HarmKey(request_class, "errors"), attempts, errors)
        late = [attempt.late or attempt.latency_s == inf for attempt in attempts]
        self._update_test(now, HarmKey(request_class, "late"), attempts, late)
        for harm, bound_s in zip(self._slow_harms, bounds_s, strict=True):
            if bound_s < inf:
                slow = [attempt.latency_s > bound_s for attempt in attempts]
                self._update_test(now, HarmKey(request_class, harm), attempts, slow)

    def _update_test(
        self, now: float, key: HarmKey, attempts: list[FirstAttempt], events: list[bool]
    ) -> None:
        units = UnitSets()
        for attempt, event in zip(attempts, events, strict=True):
            # One unit whose own requests always fail must not pass for a pool that fails.
            if (key, attempt.unit) not in self._counted_until:
                units.add(attempt, event=event)
        for unit in units.units_with_event():
            self._counted_until[key, unit] = now + self.settings.again_s
        self.tests[key].update(units.at_risk, units.events, self.settings.ratio)

    # ---- verdicts -----------------------------------------------------------------------------------------

    def verdict(self, window: UnitSets) -> Verdict:
        """The result of the window just closed."""
        values = {key: test.value() for key, test in self.tests.items()}
        evidence = sum(values.values()) / len(values)
        ranked = sorted(values.items(), key=lambda item: -item[1])
        # A difference may be certain, and still too small to matter.
        relevant = [item for item in ranked if self.tests[item[0]].excess_risk() >= self.settings.least]
        alarm = evidence >= 1 / self.settings.false_alarms
        harm = alarm and bool(relevant) and relevant[0][1] >= evidence
        strongest = [
            f"{key.request_class}: {key.harm}" for key, value in (relevant or ranked)[:3] if value > 1
        ]
        return Verdict(
            harm, self._gross(), self._shared(window), evidence, ", ".join(strongest), window.at_risk
        )

    def _shared(self, window: UnitSets) -> bool:
        """Whether so much of the control has an event that both pools must have a common trouble."""
        at_risk, events = window.at_risk.control, window.events.control
        return at_risk >= GROSS_MIN_UNITS and events / at_risk >= self.settings.shared

    def _gross(self) -> bool:
        """Whether half of the candidate's units had an event, and under a tenth of the control's: what anybody can
        see is acted upon while the tests still count evidence.
        """
        at_risk = events = PoolCounts(0, 0)
        for window in self._recent:
            at_risk, events = at_risk.plus(window.at_risk), events.plus(window.events)
        if min(at_risk) < GROSS_MIN_UNITS:
            return False
        return (
            events.candidate >= GROSS_CANDIDATE_SHARE * at_risk.candidate
            and events.control <= GROSS_CONTROL_SHARE * at_risk.control
        )

    # ---- stored over a restart ------------------------------------------------------------------------------

    def to_json(self) -> dict[str, Any]:
        """The tests in their stored form; without it a restart would lose the evidence."""
        return {f"{key.request_class}/{key.harm}": test.to_json() for key, test in self.tests.items()}

    def restore(self, document: Mapping[str, Any]) -> None:
        """Goes on from the stored form; tests that the plan no longer has are left out."""
        for key, test in self.tests.items():
            stored = document.get(f"{key.request_class}/{key.harm}")
            if stored is not None:
                test.restore(stored)
