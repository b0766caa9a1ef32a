"""A sequential test by betting: an e-process against "the candidate has at most `ratio` times the control's events".

In each window, every unit that was seen is at risk, and some units have an event (an error or a late response). If the
pools are equal, the units with an event are a random sample of the units at risk. Given the counts of the window, the
number of them in the candidate then has a hypergeometric distribution, regardless of the traffic, its bursts, and
problems that both pools share.

The test bets on the pool of each event (Waudby-Smith and Ramdas, "Estimating means of bounded random variables by
betting", JRSS B 2024). A wealth starts at 1 and does not grow on average if the pools are equal, because a sum drawn
without replacement is bounded by one drawn with replacement (Hoeffding 1963, section 6). The same is true of the mean
of such wealths over several stakes and starting times. By Ville's inequality, the probability that this mean ever
reaches 1/a is at most a, so looking at it in every window does not increase the probability of a false alarm. The
later starting times are there to detect harm that begins late.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from math import exp, log
from typing import Any, NamedTuple

# The stakes, as fractions of the largest stake that cannot lose the whole wealth.
STAKES = (0.1, 0.25, 0.5, 0.8)
# The largest number of starting times.
MAX_STARTS = 40
# The number of windows between two starting times.
WINDOWS_PER_START = 15
# Logarithms of wealths are limited to this value so that exp() stays finite; it is far above any alarm.
MAX_LOG_WEALTH = 500.0


class PoolCounts(NamedTuple):
    """A count for each pool."""

    control: int
    candidate: int

    def plus(self, other: PoolCounts) -> PoolCounts:
        """Returns the sum of both counts for each pool."""
        return PoolCounts(self.control + other.control, self.candidate + other.candidate)


@dataclass(slots=True)
class EProcess:
    """The state of one test.

    Attributes:
        log_wealths: The logarithms of the wealths, by starting time and then by stake.
        windows: The number of windows added so far.
        at_risk: The number of units at risk, summed over the windows.
        events: The number of units with an event, summed over the windows.
    """

    log_wealths: list[list[float]] = field(default_factory=lambda: [[0.0] * len(STAKES)])
    windows: int = 0
    at_risk: PoolCounts = PoolCounts(0, 0)
    events: PoolCounts = PoolCounts(0, 0)

    def update(self, at_risk: PoolCounts, events: PoolCounts, ratio: float) -> None:
        """Adds the counts of one window. `ratio` is the largest ratio of event rates under the hypothesis."""
        self.at_risk, self.events = self.at_risk.plus(at_risk), self.events.plus(events)
        self.windows += 1
        if self.windows % WINDOWS_PER_START == 0 and len(self.log_wealths) < MAX_STARTS:
            self.log_wealths.append([0.0] * len(STAKES))
        if any(events) and all(at_risk):  # a single pool cannot be compared with another
            self._bet(at_risk, events, ratio)

    def _bet(self, at_risk: PoolCounts, events: PoolCounts, ratio: float) -> None:
        # The largest probability under the hypothesis that a unit with an event belongs to the candidate.
        probability = at_risk.candidate / (at_risk.control + at_risk.candidate)
        probability = probability * ratio / (probability * ratio + 1 - probability)
        for wealths in self.log_wealths:
            for index, fraction in enumerate(STAKES):
                # An event in the control loses this fraction of the wealth.
                stake = fraction / probability
                gain, loss = log(1 + stake * (1 - probability)), log(1 - stake * probability)
                wealths[index] += events.candidate * gain + events.control * loss

    def value(self) -> float:
        """Returns the e-value, which is the weighted mean of the wealths.

        The n-th starting time has the weight 1/(n(n+1)). The weights of all possible starting times add up to 1.
        """
        remaining, total = 1.0, 0.0
        for number, wealths in enumerate(self.log_wealths, 1):
            weight = 1 / (number * (number + 1))
            remaining -= weight
            total += weight * sum(exp(min(wealth, MAX_LOG_WEALTH)) for wealth in wealths) / len(wealths)
        return total + remaining  # the wealth of each later start is still 1

    def excess_risk(self) -> float:
        """Returns the candidate's fraction of units with an event minus the control's fraction."""
        control, candidate = (
            events / at_risk if at_risk else 0.0
            for events, at_risk in zip(self.events, self.at_risk, strict=True)
        )
        return candidate - control

    def to_json(self) -> dict[str, Any]:
        """Returns the state of the test in its stored form."""
        return {
            "starts": [[round(wealth, 4) for wealth in wealths] for wealths in self.log_wealths],
            "windows": self.windows,
            "at_risk": list(self.at_risk),
            "harmed": list(self.events),
        }

    def restore(self, document: Mapping[str, Any]) -> None:
        """Restores the state of the test from its stored form."""
        self.log_wealths = [list(wealths) for wealths in document["starts"]]
        self.windows = document["windows"]
        self.at_risk = PoolCounts(*document["at_risk"])
        self.events = PoolCounts(*document["harmed"])
