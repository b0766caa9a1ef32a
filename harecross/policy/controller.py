"""The gradient controller: an adaptive limit on one node's requests in flight, modelled on Envoy's."""

from __future__ import annotations

from collections.abc import Sequence
from math import ceil, inf, sqrt
from random import Random

from harecross.policy import fleet_limits
from harecross.policy.fleet_limits import MIN_CONCURRENCY

# A sampling window lasts at least WINDOW_US and ends when it has MIN_WINDOW_SAMPLES or after MAX_WINDOW_US.
WINDOW_US = 100_000
SAMPLE_PERCENTILE = 0.9
MIN_WINDOW_SAMPLES = 80
MAX_WINDOW_US = 10 * WINDOW_US
MIN_RTT_INTERVAL_US = 60_000_000
JITTER = 0.1
MIN_RTT_REQUESTS = 50  # number of samples in a minRTT window
MIN_RTT_BUFFER = 0.25
MAX_WINDOWS_AT_FLOOR = 5  # this many consecutive windows at the floor start a minRTT window
MIN_GRADIENT, MAX_GRADIENT = 0.5, 2.0
# The headroom is at most this fraction of the limit, because the square root of a small limit would outweigh
# any gradient.
MAX_HEADROOM_FRACTION = 0.25
OBJECTIVE_FRACTION = 0.5  # fraction of the latency objective that a round-trip may take
MAX_OBJECTIVE_FRACTION = 0.75  # the latency target never exceeds this fraction of the latency objective
# Failures are a sign of overload if a larger fraction of the requests is lost. The second bound applies while
# more than MAX_LATE_FRACTION of the responses are late.
MAX_LOST_FRACTION = 0.3
MAX_LOST_FRACTION_WHEN_LATE = 0.05
MAX_LATE_FRACTION = 0.1
BASELINE_SMOOTHING_US = 3_000_000
BASELINE_DECAY_US = 12_000_000  # time constant by which the baseline decays while requests are lost
RAMP_RTTS = 2  # while ramping, the baseline follows the requests in flight within this many round-trips
RAMP_RESTART_FRACTION = 0.7  # ramping restarts if at least this fraction of the limit is in flight
# The limit stays within this multiple of the baseline or of the floor, whichever is larger.
MAX_BASELINE_MULTIPLE = 2.0
MAX_FLOOR_MULTIPLE = 2
MAX_BURST = 4  # requests in flight at one instant if a small limit is only kept on average


def percentile(samples: list[float], fraction: float) -> float:
    """Returns the nearest-rank percentile of a non-empty list, which is sorted in place."""
    samples.sort()
    return samples[ceil(len(samples) * fraction) - 1]


class GradientController:
    """The concurrency limit over the whole subset.

    A sample is a latency relative to the latency target of its class, so that a change in the mix of classes
    does not look like overload. The target is min_rtt plus a buffer, and at least the class's latency
    allowance.

    Attributes:
        latency_allowances: By class, the longest round-trip with which a response still meets its objective.
        min_rtt: The minimum round-trip by class, measured in minRTT windows.
        target: The latency target by class.
        floor: The lowest limit.
        subset_fraction: The fraction of the subset that the limit is for.
        burst_tokens: Concurrency that the limit allowed and was not used, in requests times microseconds.
        baseline_in_flight: The smoothed number of requests in flight while latency was good.
        ramping: Whether the baseline follows the requests in flight within a few round-trips.
        lost_fraction: The smoothed fraction of requests that timed out or failed.
        late_fraction: The smoothed fraction of responses and timeouts above their latency target.
        samples: For each sample, the relative latency and whether it was sent before the last decrease.
        in_flight_sum: The sum over the samples of the requests in flight.
        latency_sum: The sum over the samples of their latency.
        sample_rtt: The latency of the last window, relative to the target.
    """

    def __init__(self, latency_allowances: Sequence[int], max_limit: int, rng: Random, now: int) -> None:
        self.latency_allowances = latency_allowances
        self.max_limit = max_limit
        self.rng = rng
        self.min_rtt = [0.0] * len(latency_allowances)
        self.target = [float(allowance) for allowance in latency_allowances]
        self.floor = self.min_rtt_limit = self.initial_limit = float(MIN_CONCURRENCY)
        self.limit = 0.0
        self.subset_fraction = 1.0
        self.in_flight = 0
        self.in_flight_changed_at = now
        self.burst_tokens = 0.0
        self.baseline_in_flight = 0.0
        self.ramping = True
        self.lost_fraction = 0.0
        self.late_fraction = 0.0
        self.samples: list[tuple[float, bool]] = []
        self.in_flight_sum = self.latency_sum = 0
        self.window_start = now
        self.last_decrease_at = -inf
        self.sample_rtt = 0.0
        self.gradient = 1.0
        self.windows_at_floor = 0
        self.min_rtt_windows = 0
        self.start_min_rtt_window(now)

    def resize(self, members: int, servers: int, instances: int) -> None:
        """Updates the limits that depend on the numbers of members, servers and nodes."""
        self.floor = fleet_limits.limit_floor(servers, instances)
        self.min_rtt_limit = fleet_limits.min_rtt_limit(members, servers, instances)
        self.initial_limit = fleet_limits.initial_limit(members, servers, instances)
        start = max(2 * self.min_rtt_limit, self.initial_limit)
        self.limit = max(self.limit, start if self.min_rtt_windows == 0 else self.floor)

    def scale_to_subset(self, fraction: float) -> None:
        """Scales the limit to the fraction of the subset that may get requests now."""
        self.limit *= fraction / self.subset_fraction
        self.baseline_in_flight *= fraction / self.subset_fraction
        self.subset_fraction = fraction

    def headroom(self) -> float:
        """Returns by how much the limit may grow in one window."""
        return min(sqrt(self.limit), MAX_HEADROOM_FRACTION * self.limit)

    def current_limit(self) -> float:
        """Returns the limit in force, which a minRTT window lowers, but not below the baseline."""
        if not self.measuring_min_rtt:
            return self.limit
        least = self.min_rtt_limit if self.min_rtt_windows else self.initial_limit
        return min(self.limit, max(least, self.baseline_in_flight))

    def change_in_flight(self, now: int, change: int, limit: float, mean_rtt: float) -> None:
        """Changes the requests in flight; concurrency that was unused until now becomes burst tokens."""
        unused = (limit - self.in_flight) * (now - self.in_flight_changed_at)
        self.burst_tokens = max(0.0, min(self.burst_tokens + unused, MIN_CONCURRENCY * mean_rtt))
        self.in_flight_changed_at = now
        self.in_flight += change

    def admits(self, now: int, limit: float, mean_rtt: float) -> bool:
        """Returns whether the limit allows one more request, now or, if it is small, on average over time."""
        if self.in_flight + 1 <= limit:
            return True
        self.change_in_flight(now, 0, limit, mean_rtt)
        return self.in_flight < MAX_BURST and self.burst_tokens >= mean_rtt

    def start_min_rtt_window(self, now: int) -> None:
        """Starts to measure min_rtt at a low limit."""
        self.measuring_min_rtt = True
        self.min_rtt_samples: list[list[float]] = [[] for _ in self.latency_allowances]
        self.min_rtt_requests_left = MIN_RTT_REQUESTS
        self.min_rtt_window_end = now + MAX_WINDOW_US
        self.windows_at_floor = 0
        self.in_flight_sum = self.latency_sum = 0

    def end_min_rtt_window(self, now: int) -> None:
        """Updates min_rtt and the latency targets of the classes that had enough samples."""
        for request_class, samples in enumerate(self.min_rtt_samples):
            if len(samples) >= MIN_CONCURRENCY:
                min_rtt = self.min_rtt[request_class] = percentile(samples, SAMPLE_PERCENTILE)
                allowance = self.latency_allowances[request_class]
                # A min_rtt that was measured under load would otherwise allow queues to grow.
                max_target = MAX_OBJECTIVE_FRACTION / OBJECTIVE_FRACTION * allowance
                self.target[request_class] = min(max(min_rtt * (1 + MIN_RTT_BUFFER), allowance), max_target)
        samples_taken = MIN_RTT_REQUESTS - self.min_rtt_requests_left
        on_target = all(rtt <= target for rtt, target in zip(self.min_rtt, self.target, strict=True))
        if self.min_rtt_windows == 0 and samples_taken and on_target:
            self.baseline_in_flight = self.in_flight_sum / samples_taken
        self.measuring_min_rtt = False
        self.min_rtt_windows += 1
        self.next_min_rtt_at = now + int(MIN_RTT_INTERVAL_US * (1 + JITTER * self.rng.random()))
        self.samples.clear()
        self.in_flight_sum = self.latency_sum = 0
        self.window_start = now

    def record_sample(self, now: int, request_class: int, latency: int) -> None:
        """Adds the latency of a response, or the time after which a request timed out."""
        self.in_flight_sum += self.in_flight
        if not self.measuring_min_rtt:
            self.samples.append((latency / self.target[request_class], now - latency < self.last_decrease_at))
            self.latency_sum += latency
            self.close_window_if_due(now)
            return
        self.min_rtt_samples[request_class].append(latency)
        self.min_rtt_requests_left -= 1
        # A window that ended with its last required sample would contain short requests only.
        grace = 0 if self.min_rtt_requests_left <= 0 else 2 * MAX_WINDOW_US
        if now >= self.min_rtt_window_end + grace:
            self.end_min_rtt_window(now)

    def answers_on_time(self) -> bool:
        """Returns whether only a small fraction of the requests is late or lost."""
        return self.late_fraction <= MAX_LATE_FRACTION and self.lost_fraction <= MAX_LOST_FRACTION_WHEN_LATE

    def failures_mean_overload(self) -> bool:
        """Returns whether failures are a sign of overload: many fail, or some fail and many are late."""
        late = self.late_fraction > MAX_LATE_FRACTION
        return self.lost_fraction > (MAX_LOST_FRACTION_WHEN_LATE if late else MAX_LOST_FRACTION)

    def record_failure(self, now: int, request_class: int) -> None:
        """Adds a failure that is a sign of overload as a late sample, but not as a measurement of min_rtt."""
        if not self.measuring_min_rtt:
            self.record_sample(now, request_class, int(2 * self.target[request_class]))
        elif now >= self.min_rtt_window_end:
            self.end_min_rtt_window(now)

    def close_window_if_due(self, now: int) -> None:
        """Updates the limit if the window has lasted long enough and contains enough samples."""
        age, count = now - self.window_start, len(self.samples)
        if age < WINDOW_US or count == 0 or (count < MIN_WINDOW_SAMPLES and age < MAX_WINDOW_US):
            return
        window_rtt = percentile([ratio for ratio, _ in self.samples], SAMPLE_PERCENTILE)
        # Only requests sent after the last decrease can lower the limit again (as in RFC 6582, section 3.2).
        recent = [ratio for ratio, sent_before in self.samples if not sent_before] or [1.0]
        previous_rtt, self.sample_rtt = (
            self.sample_rtt,
            min(window_rtt, max(1.0, percentile(recent, SAMPLE_PERCENTILE))),
        )
        self.samples.clear()
        self.window_start = now
        self.gradient = min(MAX_GRADIENT, max(MIN_GRADIENT, 1.0 / max(self.sample_rtt, 1e-9)))
        limit = self._next_limit(window_rtt)
        self._update_baseline(age, count, window_rtt, previous_rtt)
        if self.sample_rtt > 1:
            self.last_decrease_at = now
        baseline_fraction = (1 - self.lost_fraction) ** 2 if self.failures_mean_overload() else 1.0
        self.limit = max(limit, self.floor, self.baseline_in_flight * baseline_fraction)
        self.windows_at_floor = self.windows_at_floor + 1 if self.limit <= self.floor else 0
        if self.windows_at_floor >= MAX_WINDOWS_AT_FLOOR or now >= self.next_min_rtt_at:
            self.start_min_rtt_window(now)

    def _next_limit(self, window_rtt: float) -> float:
        """Returns the limit by the gradient, bounded by recent traffic: samples confirm no unused limit."""
        grows = window_rtt <= 1 or self.sample_rtt > 1
        limit = self.gradient * self.limit + (self.headroom() if grows else 0.0)
        bound = MAX_BASELINE_MULTIPLE * self.baseline_in_flight + sqrt(self.limit)
        return min(limit, max(self.min_rtt_limit, MAX_FLOOR_MULTIPLE * self.floor, bound), self.max_limit)

    def _update_baseline(self, age: int, count: int, window_rtt: float, previous_rtt: float) -> None:
        """Moves the baseline towards the requests in flight while latency is good.

        A limit below the baseline would shed requests without making the others faster. After a start the
        baseline ramps: it follows within a few round-trips, until a window is above its target or not bound
        by the limit. It ramps again from the second consecutive good window that is bound by the limit. It
        decays while requests are lost.
        """
        in_flight = self.in_flight_sum / count
        smoothing = BASELINE_SMOOTHING_US
        bound = in_flight >= (0.5 if self.ramping else RAMP_RESTART_FRACTION) * self.limit
        fast = window_rtt <= 1 and (self.ramping or (bound and previous_rtt <= 1))
        if fast:
            smoothing = min(smoothing, int(RAMP_RTTS * self.latency_sum / count))
        self.ramping = fast and bound
        self.in_flight_sum = self.latency_sum = 0
        if window_rtt <= 1 and (in_flight > self.baseline_in_flight or in_flight < 0.8 * self.limit):
            self.baseline_in_flight += min(1.0, age / max(smoothing, 1)) * (
                in_flight - self.baseline_in_flight
            )
        if self.sample_rtt > 1 and self.failures_mean_overload():
            self.baseline_in_flight -= min(1.0, age / BASELINE_DECAY_US) * self.baseline_in_flight
