"""Whether the candidate does harm that the control, at the same moment, does not. Free of I/O.

The unit is what keeps to its pool (a captain). In each window every unit that was seen is at risk, and each that had
a bad first try is harmed. If the pools are alike, those harmed are a random part of those at risk: given the window's
numbers the candidate's part of them is hypergeometric, whatever the traffic, its bursts, or troubles that both pools
share.

Against "the candidate harms at most `ratio` times as often" each kind of harm is tested by betting (Waudby-Smith and
Ramdas, "Estimating means of bounded random variables by betting", JRSS B 2024): a wealth that starts at 1 and, where
the pools are alike, does not grow on average; a sum drawn without replacement is bounded by one drawn with it
(Hoeffding 1963, section 6). The mean of such wealths over kinds, classes, stakes and starting times is one too, and
by Ville's inequality it ever reaches 1/a with a chance of a at most: looking more often makes no alarm likelier.
Later starts see harm that comes late.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from math import exp, inf, log
from typing import Any

from harecross.shifts.plan import Judging

STAKES = (0.1, 0.25, 0.5, 0.8)  # parts of the largest stake that cannot lose everything
STARTS_MOST = 40  # wealths begun at different times, of each kind
START_EVERY = 15  # windows between two
CONTROL_KEPT = 2000  # latencies of the control from which quantiles are taken
CONTROL_LEAST = 50  # of them, before there is a quantile
GROSS_UNITS, GROSS_BAD, GROSS_GOOD = 20, 0.5, 0.1  # see `gross`
GROSS_WINDOWS = 3


@dataclass(frozen=True, slots=True)
class Try:
    """A first try's end, under the pool and share it was sent with. A client's retry is not one, nor is a further
    attempt.

    `latency` in seconds, inf where no answer came; `failed`: error, time-out or refusal; `late`: past its aim.
    """

    unit: int
    klass: str
    candidate: bool
    latency: float
    failed: bool
    late: bool


@dataclass(slots=True)
class Bet:
    """Wealths against one kind of harm in one class, as logarithms: by starting time, by stake."""

    starts: list[list[float]] = field(default_factory=lambda: [[0.0] * len(STAKES)])
    windows: int = 0
    at_risk: list[int] = field(default_factory=lambda: [0, 0])  # control, candidate
    harmed: list[int] = field(default_factory=lambda: [0, 0])

    def window(self, risk: tuple[int, int], harm: tuple[int, int], ratio: float) -> None:
        """Books one window's units: (control, candidate)."""
        for pool in (0, 1):
            self.at_risk[pool] += risk[pool]
            self.harmed[pool] += harm[pool]
        self.windows += 1
        if self.windows % START_EVERY == 0 and len(self.starts) < STARTS_MOST:
            self.starts.append([0.0] * len(STAKES))
        bad = harm[0] + harm[1]
        if not bad or not risk[0] or not risk[1]:
            return  # with one pool alone there is nothing to compare
        q = risk[1] / (risk[0] + risk[1])
        q = q * ratio / (q * ratio + 1 - q)
        for logs in self.starts:
            for i, part in enumerate(STAKES):
                stake = part / q  # loses a part of all where the control is harmed
                logs[i] += harm[1] * log(1 + stake * (1 - q)) + harm[0] * log(1 - stake * q)

    def value(self) -> float:
        """The wealth: a start's share of the first stake falls with its number, 1/(n(n+1)), and all together are 1."""
        left, total = 1.0, 0.0
        for n, logs in enumerate(self.starts, 1):
            share = 1 / (n * (n + 1))
            left -= share
            total += share * sum(exp(min(x, 500.0)) for x in logs) / len(logs)
        return total + left  # starts still to come

    def worse_by(self) -> float:
        """How much larger the candidate's share of harmed units is."""
        shares = [h / r if r else 0.0 for h, r in zip(self.harmed, self.at_risk, strict=True)]
        return shares[1] - shares[0]


@dataclass(frozen=True, slots=True)
class Verdict:
    """`evidence`: the wealth, beside 1/false_alarms; `why` names the kinds of harm that made it, the strongest
    first."""

    harm: bool
    gross: bool
    shared: bool
    evidence: float
    why: str
    units: tuple[int, int]  # at risk in the window just closed: control, candidate


class Judge:
    """Collects first tries and closes windows."""

    def __init__(self, told: Judging, classes: Sequence[str]) -> None:
        self.told = told
        self.kinds = ["errors", "late", *(f"slow p{100 * q:g}" for q in told.quantiles)]
        self.bets = {(c, k): Bet() for c in classes for k in self.kinds}
        self.latencies: dict[str, deque[float]] = {c: deque(maxlen=CONTROL_KEPT) for c in classes}
        self.bounds: dict[str, list[float]] = {c: [inf] * len(told.quantiles) for c in classes}
        self.tries: list[Try] = []
        self.counted: dict[
            tuple[str, str, int], float
        ] = {}  # harmed units, until when they do not count again
        self.recent: deque[tuple[tuple[int, int], tuple[int, int]]] = deque(maxlen=GROSS_WINDOWS)

    def add(self, tries: Iterable[Try]) -> None:
        """First tries that have ended; those of a class that the plan does not name are passed over."""
        self.tries.extend(t for t in tries if t.klass in self.latencies)

    def close(self, now: float) -> Verdict:
        """Ends a window. `now` is a clock that never goes back."""
        tries, self.tries = self.tries, []
        for klass in self.latencies:
            mine = [t for t in tries if t.klass == klass]
            for n, kind in enumerate(self.kinds):
                self.book(now, klass, kind, n, mine)
            # Bounds are those of windows before the next one: what is compared with them had no part in them.
            self.learn(klass, mine)
        risk, bad = self.units(tries)
        self.recent.append((risk, bad))
        self.counted = {k: until for k, until in self.counted.items() if until > now}
        return self.verdict(risk, bad)

    def book(self, now: float, klass: str, kind: str, n: int, tries: list[Try]) -> None:
        bound = self.bounds[klass][n - 2] if n >= 2 else inf
        if n >= 2 and bound == inf:
            return
        risk: tuple[set[int], set[int]] = (set(), set())
        harm: tuple[set[int], set[int]] = (set(), set())
        for t in tries:
            # Guards against: one captain whose own calls always fail is taken for a pool that does.
            if (klass, kind, t.unit) in self.counted:
                continue
            risk[t.candidate].add(t.unit)
            if (t.failed, t.late or t.latency == inf)[n] if n < 2 else t.latency > bound:
                harm[t.candidate].add(t.unit)
        for units in harm:
            for unit in units:
                self.counted[klass, kind, unit] = now + self.told.again_s
        self.bets[klass, kind].window(
            (len(risk[0]), len(risk[1])), (len(harm[0]), len(harm[1])), self.told.ratio
        )

    def learn(self, klass: str, tries: list[Try]) -> None:
        kept = self.latencies[klass]
        kept.extend(t.latency for t in tries if not t.candidate and t.latency < inf and not t.failed)
        if len(kept) >= CONTROL_LEAST:
            ranked = sorted(kept)
            for i, q in enumerate(self.told.quantiles):
                at = min(int(q * len(ranked)), len(ranked) - 1)
                self.bounds[klass][i] = ranked[at] * (1 + self.told.slower)

    # ---- kept over a restart ----------------------------------------------------------------------------

    def to_doc(self) -> dict[str, Any]:
        """What was learned, in plain values: without it a restart would forget the evidence, and begin a new bet."""
        return {
            f"{klass}/{kind}": {
                "starts": [[round(x, 4) for x in logs] for logs in bet.starts],
                "windows": bet.windows, "at_risk": list(bet.at_risk), "harmed": list(bet.harmed),
            }
            for (klass, kind), bet in self.bets.items()
        }  # fmt: skip

    def restore(self, doc: Mapping[str, Any]) -> None:
        """From `to_doc`; kinds and classes that the plan no longer has are left out."""
        for (klass, kind), bet in self.bets.items():
            raw = doc.get(f"{klass}/{kind}")
            if raw is not None:
                bet.starts, bet.windows = [list(x) for x in raw["starts"]], raw["windows"]
                bet.at_risk, bet.harmed = list(raw["at_risk"]), list(raw["harmed"])

    # ---- verdicts -----------------------------------------------------------------------------------------

    def units(self, tries: list[Try]) -> tuple[tuple[int, int], tuple[int, int]]:
        """Units seen in this window, and those with a failed or late try, in any class."""
        risk: tuple[set[int], set[int]] = (set(), set())
        bad: tuple[set[int], set[int]] = (set(), set())
        for t in tries:
            risk[t.candidate].add(t.unit)
            if t.failed or t.late:
                bad[t.candidate].add(t.unit)
        return (len(risk[0]), len(risk[1])), (len(bad[0]), len(bad[1]))

    def verdict(self, risk: tuple[int, int], bad: tuple[int, int]) -> Verdict:
        values = {key: bet.value() for key, bet in self.bets.items()}
        evidence = sum(values.values()) / len(values)
        ranked = sorted(values.items(), key=lambda item: -item[1])
        # What is worse by less than counts may be sure, and is still no harm.
        real = [(key, v) for key, v in ranked if self.bets[key].worse_by() >= self.told.least]
        harm = evidence >= 1 / self.told.false_alarms and bool(real) and real[0][1] >= evidence
        named = [f"{c}: {k}" for (c, k), v in (real or ranked)[:3] if v > 1]
        gross = self.gross()
        shared = risk[0] >= GROSS_UNITS and bad[0] / risk[0] >= self.told.shared
        return Verdict(harm, gross, shared, evidence, ", ".join(named), risk)

    def gross(self) -> bool:
        """Half of the candidate's units harmed in three windows together, and under a tenth of the control's.

        Guards against: worth is lost while the evidence for what anybody can see is still being counted.
        """
        risk = [sum(r[pool] for r, _ in self.recent) for pool in (0, 1)]
        bad = [sum(b[pool] for _, b in self.recent) for pool in (0, 1)]
        if min(risk) < GROSS_UNITS:
            return False
        return bad[1] >= GROSS_BAD * risk[1] and bad[0] <= GROSS_GOOD * risk[0]
