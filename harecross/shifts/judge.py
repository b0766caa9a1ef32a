"""Decides whether the candidate does harm that the control does not do at the same time.

Harm means errors or slow responses. The unit of the tests is whatever always goes to the same pool, such as a key. Each
kind of harm in each request class has its own sequential test (`eprocess`), and the mean of their e-values is the
evidence against the candidate.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from math import inf
from typing import Any, NamedTuple

from harecross.shifts.eprocess import EProcess, PoolCounts
from harecross.shifts.plan import JudgeSettings

# The quantiles of the control's latency are computed from this many of its most recent latencies.
MAX_CONTROL_LATENCIES = 2000
# Quantiles are not computed from fewer latencies than this.
MIN_CONTROL_LATENCIES = 50
# Harm is gross if at least the first fraction of the candidate's units and at most the second fraction of the
# control's units had an event over the last `GROSS_WINDOWS` windows, with at least `GROSS_MIN_UNITS` units in each
# pool.
GROSS_MIN_UNITS = 20
GROSS_CANDIDATE_SHARE, GROSS_CONTROL_SHARE = 0.5, 0.1
GROSS_WINDOWS = 3


@dataclass(frozen=True, slots=True)
class FirstAttempt:
    """The result of a request's first attempt.

    A client's retry and a further attempt by the node are not first attempts.

    Attributes:
        unit: The unit that the request belongs to.
        request_class: The class of the request.
        candidate: Whether the attempt was sent to the candidate pool.
        latency_s: The time until the response in seconds, or inf if there was none.
        failed: Whether the attempt ended with an error, a timeout or a rejection.
        late: Whether the response came after its latency objective.
    """

    unit: int
    request_class: str
    candidate: bool
    latency_s: float
    failed: bool
    late: bool


@dataclass(frozen=True, slots=True)
class Verdict:
    """The result of a window.

    Attributes:
        harm: Whether the tests show that the candidate does relevant harm.
        gross: Whether the harm is so large that no test is needed.
        shared: Whether the control has the same problem.
        evidence: The mean e-value; an alarm requires 1 / `false_alarms`.
        strongest: The kinds of harm with the largest e-values.
        units: The number of units at risk in the window.
    """

    harm: bool
    gross: bool
    shared: bool
    evidence: float
    strongest: str
    units: PoolCounts


class HarmKey(NamedTuple):
    """Identifies one test.

    Attributes:
        request_class: The name of the request class.
        harm: The kind of harm: "errors", "late", or, for example, "slow p90".
    """

    request_class: str
    harm: str


class UnitSets:
    """The sets of units at risk and of units with an event in one window."""

    def __init__(self) -> None:
        # The sets of the control and of the candidate; a `bool` that is true for the candidate is the index.
        self._at_risk: tuple[set[int], set[int]] = (set(), set())
        self._events: tuple[set[int], set[int]] = (set(), set())

    def add(self, attempt: FirstAttempt, *, event: bool) -> None:
        """Adds the unit of an attempt to the sets."""
        self._at_risk[attempt.candidate].add(attempt.unit)
        if event:
            self._events[attempt.candidate].add(attempt.unit)

    @property
    def at_risk(self) -> PoolCounts:
        """The number of units at risk in each pool."""
        return PoolCounts(*map(len, self._at_risk))

    @property
    def events(self) -> PoolCounts:
        """The number of units with an event in each pool."""
        return PoolCounts(*map(len, self._events))

    def units_with_event(self) -> set[int]:
        """Returns the units of both pools that had an event."""
        return self._events[0] | self._events[1]


class ControlLatencies:
    """The control's latencies in one request class, and the bounds above which a latency counts as slow.

    Attributes:
        bounds_s: The bound for each quantile in seconds, or inf while there are too few latencies.
    """

    def __init__(self, quantiles: Sequence[float], slower: float) -> None:
        self._quantiles, self._slower = quantiles, slower
        self._latencies: deque[float] = deque(maxlen=MAX_CONTROL_LATENCIES)
        self.bounds_s = [inf] * len(quantiles)

    def add(self, attempts: Iterable[FirstAttempt]) -> None:
        """Adds the latencies of the control's successful attempts and recomputes the bounds."""
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
    """Collects first attempts, and evaluates them when a window closes.

    Attributes:
        settings: The settings from the plan.
        tests: The tests by request class and kind of harm.
    """

    def __init__(self, settings: JudgeSettings, classes: Sequence[str]) -> None:
        self.settings = settings
        self._slow_harms = [f"slow p{100 * quantile:g}" for quantile in settings.quantiles]
        harms = ["errors", "late", *self._slow_harms]
        self.tests = {HarmKey(name, harm): EProcess() for name in classes for harm in harms}
        self._control = {name: ControlLatencies(settings.quantiles, settings.slower) for name in classes}
        self._attempts: list[FirstAttempt] = []
        # For each test and unit whose event was counted, the time until which further events do not count.
        self._counted_until: dict[tuple[HarmKey, int], float] = {}
        self._recent: deque[UnitSets] = deque(maxlen=GROSS_WINDOWS)

    def add(self, attempts: Iterable[FirstAttempt]) -> None:
        """Adds first attempts that have ended. Attempts of classes that the plan does not cover are ignored."""
        self._attempts.extend(attempt for attempt in attempts if attempt.request_class in self._control)

    def close_window(self, now: float) -> Verdict:
        """Closes a window and returns its result. `now` is in seconds of a monotonic clock."""
        attempts, self._attempts = self._attempts, []
        for name, control in self._control.items():
            class_attempts = [attempt for attempt in attempts if attempt.request_class == name]
            self._update_tests(now, name, class_attempts, control.bounds_s)
            # This follows the tests because latencies must not influence the bound that they are compared with.
            control.add(class_attempts)
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
            # A single unit whose requests always fail must not make its whole pool look faulty.
            if (key, attempt.unit) not in self._counted_until:
                units.add(attempt, event=event)
        for unit in units.units_with_event():
            self._counted_until[key, unit] = now + self.settings.again_s
        self.tests[key].update(units.at_risk, units.events, self.settings.ratio)

    def verdict(self, window: UnitSets) -> Verdict:
        """Returns the result of the window that was just closed."""
        values = {key: test.value() for key, test in self.tests.items()}
        evidence = sum(values.values()) / len(values)
        ranked = sorted(values.items(), key=lambda item: -item[1])
        # A difference can be statistically certain but too small to matter.
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
        """Whether so many of the control's units have an event that both pools must share a problem."""
        at_risk, events = window.at_risk.control, window.events.control
        return at_risk >= GROSS_MIN_UNITS and events / at_risk >= self.settings.shared

    def _gross(self) -> bool:
        """Whether at least half of the candidate's units and at most a tenth of the control's units had an event.

        Such obvious harm is acted upon immediately, without waiting for the tests to collect enough evidence.
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

    def to_json(self) -> dict[str, Any]:
        """Returns the tests in their stored form, which preserves the evidence across a restart."""
        return {f"{key.request_class}/{key.harm}": test.to_json() for key, test in self.tests.items()}

    def restore(self, document: Mapping[str, Any]) -> None:
        """Restores the tests from their stored form. Stored tests that the plan no longer has are ignored."""
        for key, test in self.tests.items():
            stored = document.get(f"{key.request_class}/{key.harm}")
            if stored is not None:
                test.restore(stored)
