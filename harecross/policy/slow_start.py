"""Slow start: a server that has just started gets a growing fraction of the requests."""

from __future__ import annotations

from collections.abc import Sequence

from harecross.interface import Settings
from harecross.policy import fleet_limits
from harecross.policy.records import Server

WARM_RATE_SMOOTHING_US = 2e6  # time constant of the smoothed request rate of a warm member


class SlowStart:
    """Limits the requests to servers that are warming up, relative to what a warm member gets from this node.

    Attributes:
        warm_rate: The smoothed number of requests per second to a warm member.
        warm_sends: The number of attempts sent to warm members since the last window.
        requests: The number of requests since the last window.
        all_warming_up_fraction: What each member may get while no member is warm, relative to an even part of
            all requests.
    """

    def __init__(self, settings: Settings) -> None:
        self.duration = settings.slow_start_duration
        self.min_capacity = settings.slow_start_min_capacity
        self.overload_multiple = settings.overload_multiple
        self.warm_rate = 0.0
        self.warm_sends = self.requests = 0
        self.all_warming_up_fraction = 0.0

    def begin(self, now: int, server: Server) -> None:
        """Begins the slow start of a listed server, unless the server started long ago."""
        if server.ready_at > 0 and now < server.ready_at + self.duration:
            if server.slow_start_until == 0:
                server.tokens_updated_at = now
            server.slow_start_until = server.ready_at + self.duration

    def factor(self, now: int, server: Server) -> float:
        """Returns the fraction of its full capacity that the server has now."""
        left = server.slow_start_until - now
        return 1.0 if left <= 0 else fleet_limits.slow_start_factor(self.min_capacity, left, self.duration)

    def take_token(self, now: int, server: Server) -> bool:
        """Returns whether the server may be sent a request now, and takes a token if it may.

        The bucket of a server that is warming up holds one token at most and starts empty.
        """
        if server.slow_start_until <= now:
            return True
        rate = self.warm_rate * self.factor(now, server)
        server.tokens = fleet_limits.slow_start_tokens(server.tokens, rate, now - server.tokens_updated_at)
        server.tokens_updated_at = now
        if server.tokens < 1:
            return False
        server.tokens -= 1
        return True

    def on_window_end(self, now: int, span: int, members: Sequence[Server], on_time: bool) -> None:
        """Updates the warm rate and the all-warming-up fraction.

        `on_time` tells that only a small fraction of the requests is late or lost.
        """
        warm = sum(member.slow_start_until <= now and not member.ejected for member in members)
        rate = -1.0
        if warm:
            rate = self.warm_sends * 1e6 / span / warm
        elif members:
            rate = self.all_warming_up_fraction * self.requests * 1e6 / span / len(members)
        previous, multiple = self.all_warming_up_fraction, self.overload_multiple
        self.all_warming_up_fraction = fleet_limits.all_warming_up_fraction(
            previous, multiple, on_time, warm > 0, span
        )
        if rate >= 0:
            self.warm_rate += min(1.0, span / WARM_RATE_SMOOTHING_US) * (rate - self.warm_rate)
        self.warm_sends = self.requests = 0
