"""Slow start: a server that has just started gets a growing part of the requests."""

from __future__ import annotations

from collections.abc import Sequence

from harecross.interface import Settings
from harecross.policy import fleet_limits
from harecross.policy.records import Server

WARM_RATE_SMOOTHING_US = 2e6  # the rate of requests to a warm member is smoothed over this time


class SlowStart:
    """How much a warming-up server may be sent, by what a warm member gets of this node."""

    def __init__(self, settings: Settings) -> None:
        self.duration = settings.slow_start_duration
        self.min_capacity = settings.slow_start_min_capacity
        self.overload_multiple = settings.overload_multiple
        self.warm_rate = 0.0  # requests a second to a warm member
        self.warm_sends = self.requests = 0  # since the last window
        self.all_warming_up_fraction = (
            0.0  # of an even part of all requests, for each member while none is warm
        )

    def begin(self, now: int, server: Server) -> None:
        """The server was listed; slow start begins unless it has been up for long."""
        if server.ready_at > 0 and now < server.ready_at + self.duration:
            if server.slow_start_until == 0:
                server.tokens_at = now
            server.slow_start_until = server.ready_at + self.duration

    def factor(self, now: int, server: Server) -> float:
        """The part of its full capacity that the server has now."""
        left = server.slow_start_until - now
        return 1.0 if left <= 0 else fleet_limits.slow_start_factor(self.min_capacity, left, self.duration)

    def take_token(self, now: int, server: Server) -> bool:
        """Whether the server may be sent a request now. The bucket holds one and starts empty."""
        if server.slow_start_until <= now:
            return True
        rate = self.warm_rate * self.factor(now, server)
        server.tokens = fleet_limits.slow_start_tokens(server.tokens, rate, now - server.tokens_at)
        server.tokens_at = now
        if server.tokens < 1:
            return False
        server.tokens -= 1
        return True

    def on_window_end(self, now: int, span: int, members: Sequence[Server], on_time: bool) -> None:
        """Renews the warm rate; `on_time`: requests are answered in good time."""
        warm = sum(member.slow_start_until <= now and not member.ejected for member in members)
        rate = -1.0
        if warm:
            rate = self.warm_sends * 1e6 / span / warm
        elif members:
            rate = self.all_warming_up_fraction * self.requests * 1e6 / span / len(members)
        before, multiple = self.all_warming_up_fraction, self.overload_multiple
        self.all_warming_up_fraction = fleet_limits.all_warming_up_fraction(
            before, multiple, on_time, warm > 0, span
        )
        if rate >= 0:
            self.warm_rate += min(1.0, span / WARM_RATE_SMOOTHING_US) * (rate - self.warm_rate)
        self.warm_sends = self.requests = 0
