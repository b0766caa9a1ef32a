"""A sequential test by betting: an e-process against "the candidate has at most `ratio` times the control's events".

In each window every unit that was seen is at risk, and some have an event (an error, a late answer). If the pools are
alike, the units with an event are a random part of those at risk: given the window's counts, the candidate's part of
them is hypergeometric, whatever the traffic, its bursts, or troubles that both pools share.

The test is by betting (Waudby-Smith and Ramdas, "Estimating means of bounded random variables by betting", JRSS B
2024): a wealth starts at 1 and, where the pools are alike, does not grow on average; a sum drawn without replacement is
bounded by one drawn with it (Hoeffding 1963, section 6). The mean of such wealths over stakes and starting times is
one too, and by Ville's inequality it ever reaches 1/a with a probability of a at most, so that a look at every window
makes no false alarm likelier. Later starts detect harm that comes late.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from math import exp, log
from typing import Any, NamedTuple

STAKES = (0.1, 0.25, 0.5, 0.8)  # parts of the largest stake that cannot lose everything
MAX_STARTS = 40  # wealths begun at different times
WINDOWS_PER_START = 15
MAX_LOG_WEALTH = 500.0  # keeps exp() finite; far above any alarm


class PoolCounts(NamedTuple):
    """A number of units in each pool."""

    control: int
    candidate: int

    def plus(self, other: PoolCounts) -> PoolCounts:
        """The sum of both, pool by pool."""
        return PoolCounts(self.control + other.control, self.candidate + other.candidate)


@dataclass(slots=True)
class EProcess:
    """The wealths of one test, as logarithms: by starting time, then by stake."""

    log_wealths: list[list[float]] = field(default_factory=lambda: [[0.0] * len(STAKES)])
    windows: int = 0
    at_risk: PoolCounts = PoolCounts(0, 0)  # summed over the windows
    events: PoolCounts = PoolCounts(0, 0)

    def update(self, at_risk: PoolCounts, events: PoolCounts, ratio: float) -> None:
        """Adds one window."""
        self.at_risk, self.events = self.at_risk.plus(at_risk), self.events.plus(events)
        self.windows += 1
        if self.windows % WINDOWS_PER_START == 0 and len(self.log_wealths) < MAX_STARTS:
            self.log_wealths.append([0.0] * len(STAKES))
        if any(events) and all(at_risk):  # with one pool alone there is nothing to compare
            self._bet(at_risk, events, ratio)

    def _bet(self, at_risk: PoolCounts, events: PoolCounts, ratio: float) -> None:
        # The largest probability, under the hypothesis, that a unit with an event is the candidate's.
        probability = at_risk.candidate / (at_risk.control + at_risk.candidate)
        probability = probability * ratio / (probability * ratio + 1 - probability)
        for wealths in self.log_wealths:
            for index, part in enumerate(STAKES):
                stake = part / probability  # loses `part` of the wealth where the event is the control's
                gain, loss = log(1 + stake * (1 - probability)), log(1 - stake * probability)
                wealths[index] += events.candidate * gain + events.control * loss

    def value(self) -> float:
        """The e-value: the mean wealth. Start n has the weight 1/(n(n+1)), and all possible starts together 1."""
        remaining, total = 1.0, 0.0
        for number, wealths in enumerate(self.log_wealths, 1):
            weight = 1 / (number * (number + 1))
            remaining -= weight
            total += weight * sum(exp(min(wealth, MAX_LOG_WEALTH)) for wealth in wealths) / len(wealths)
        return total + remaining  # starts still to come have a wealth of 1

    def excess_risk(self) -> float:
        """By how much the candidate's share of units with an event is larger than the control's."""
        control, candidate = (
            events / at_risk if at_risk else 0.0
            for events, at_risk in zip(self.events, self.at_risk, strict=True)
        )
        return candidate - control

    def to_json(self) -> dict[str, Any]:
        """The stored form."""
        return {
            "starts": [[round(wealth, 4) for wealth in wealths] for wealths in self.log_wealths],
            "windows": self.windows,
            "at_risk": list(self.at_risk),
            "harmed": list(self.events),
        }

    def restore(self, document: Mapping[str, Any]) -> None:
        """Goes on from the stored form."""
        self.log_wealths = [list(wealths) for wealths in document["starts"]]
        self.windows = document["windows"]
        self.at_risk = PoolCounts(*document["at_risk"])
        self.events = PoolCounts(*document["harmed"])
