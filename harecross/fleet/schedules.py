"""Alternative subscription schedules for comparison with that of the nodes: an earlier one, and common ones."""

from __future__ import annotations

from harecross.discovery.subscription_schedule import MIN_CALL_DELAY_S, CallEnd, SubscriptionSchedule

# The initial and the largest delay of `ExponentialSchedule` are the longest poll interval divided by these.
INITIAL_DELAY_DIVISOR, MAX_DELAY_DIVISOR = 20, 4


class ExponentialSchedule(SubscriptionSchedule):
    """Exponential backoff with a random factor from 0.5 to 1.5, which nodes used until 2026-12-01."""

    __slots__ = ()

    def poll_delay(self, end: CallEnd) -> float:
        """Returns the delay before the next call, in seconds."""
        interval = self.settings.max_poll_interval_s
        failures = min(self.consecutive_failures - (end is CallEnd.FAILED), 3)
        doubled = interval / INITIAL_DELAY_DIVISOR * 2.0**failures
        return min(doubled, interval / MAX_DELAY_DIVISOR) * (0.5 + self.rng.random())


class UnstaggeredSchedule(SubscriptionSchedule):
    """Rounds without slots: nodes that lose their watches at the same moment call again at the same moment."""

    __slots__ = ()

    def round_position(self) -> float:
        """Returns the same position in the round for every node."""
        return 0.0


class FullJitterSchedule(SubscriptionSchedule):
    """Exponential backoff with full jitter: the bound of the random delay doubles up to the longest poll interval."""

    __slots__ = ()

    def poll_delay(self, end: CallEnd) -> float:
        """Returns the delay before the next call, in seconds."""
        doubled = 0.5 * 2.0 ** min(self.consecutive_failures + 1, 20)
        return MIN_CALL_DELAY_S + min(self.settings.max_poll_interval_s, doubled) * self.rng.random()


class UniformSchedule(SubscriptionSchedule):
    """Uniform delays: up to 4 s after a watch has ended, up to 5 s after a failed call."""

    __slots__ = ()

    def poll_delay(self, end: CallEnd) -> float:
        """Returns the delay before the next call, in seconds."""
        return 0.3 + (4.7 if end is CallEnd.FAILED else 3.7) * self.rng.random()


# The schedules by the values of the option `harecross fleet rehearse --waits`.
SCHEDULES: dict[str, type[SubscriptionSchedule]] = {
    "turns": SubscriptionSchedule,
    "former": ExponentialSchedule,
    "together": UnstaggeredSchedule,
    "jitter": FullJitterSchedule,
    "even": UniformSchedule,
}
