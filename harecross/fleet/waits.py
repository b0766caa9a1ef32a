"""Other ways to wait, for comparison in rehearsals: what nodes did before, and what is usual elsewhere."""

from __future__ import annotations

from harecross.discovery.subscription_schedule import MIN_CALL_DELAY_S, CallEnd, SubscriptionSchedule

FORMER_FIRST, FORMER_MOST = 20, 4  # parts of the longest silence allowed


class Former(SubscriptionSchedule):
    """As nodes did up to 2026-12-01: from a twentieth of the longest silence allowed, doubled up to a fourth."""

    __slots__ = ()

    def poll_delay(self, end: CallEnd) -> float:
        within = self.terms.max_poll_interval_s
        first, most = within / FORMER_FIRST, within / FORMER_MOST
        doubled = first * 2.0 ** min(self.consecutive_failures - (end is CallEnd.FAILED), 3)
        return min(doubled, most) * (0.5 + self.rng.random())


class Together(SubscriptionSchedule):
    """Rounds without places: whoever loses his watch at one instant asks again at one instant."""

    __slots__ = ()

    def round_position(self) -> float:
        return 0.0


class FullJitter(SubscriptionSchedule):
    """Exponential back-off with full jitter, from half a second to the longest silence allowed."""

    __slots__ = ()

    def poll_delay(self, end: CallEnd) -> float:
        most = min(self.terms.max_poll_interval_s, 0.5 * 2.0 ** min(self.consecutive_failures + 1, 20))
        return MIN_CALL_DELAY_S + most * self.rng.random()


class Even(SubscriptionSchedule):
    """An even spread: up to 4 s after an end, up to 5 s after a failed call."""

    __slots__ = ()

    def poll_delay(self, end: CallEnd) -> float:
        return 0.3 + (4.7 if end is CallEnd.FAILED else 3.7) * self.rng.random()


WAITS: dict[str, type[SubscriptionSchedule]] = {
    "turns": SubscriptionSchedule,
    "former": Former,
    "together": Together,
    "jitter": FullJitter,
    "even": Even,
}
