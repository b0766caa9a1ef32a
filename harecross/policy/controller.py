"""The gradient controller: an adaptive limit on one node's requests in flight, after Envoy's."""

from __future__ import annotations

from collections.abc import Sequence
from math import ceil, inf, sqrt
from random import Random

from harecross.policy import fleet_limits
from harecross.policy.fleet_limits import MIN_CONCURRENCY

WINDOW_US = 100_000  # least length of a sampling window
SAMPLE_PERCENTILE = 0.9
MIN_WINDOW_SAMPLES = 80  # a window stays open until it holds so many samples...
MAX_WINDOW_US = 10 * WINDOW_US  # ...or has lasted so long
MIN_RTT_INTERVAL_US = 60_000_000
JITTER = 0.1
MIN_RTT_REQUESTS = 50  # samples of a minRTT window
MIN_RTT_BUFFER = 0.25
MAX_WINDOWS_AT_MIN = 5  # consecutive windows at the floor that start a minRTT window
MIN_GRADIENT, MAX_GRADIENT = 0.5, 2.0
MAX_HEADROOM_FRACTION = 0.25  # of the limit: the square root of a small limit outweighs any gradient
OBJECTIVE_FRACTION = 0.5  # part of the latency objective that a round-trip may take...
MAX_OBJECTIVE_FRACTION = 0.75  # ...and the largest part that the latency target may reach
MAX_LOST_FRACTION = 0.3  # of requests; when more of them fail, failures mean overload
MAX_LOST_WHEN_LATE = 0.05  # the same while more than MAX_LATE_FRACTION are late
MAX_LATE_FRACTION = 0.1
BASELINE_SMOOTHING_US = 3_000_000
BASELINE_DECAY_US = 12_000_000  # the baseline is given up over this time while requests are lost
RAMP_RTTS = 2  # while ramping it follows within this many round-trips
RAMP_RESTART_FRACTION = 0.7  # part of the limit in flight that starts ramping again
MAX_BASELINES = 2.0  # the limit stays within this many times the baseline...
MAX_FLOORS = 2  # ...or this many times the floor
MAX_BURST = 4  # requests in flight at one instant for a limit that is kept on average


def percentile(samples: list[float], fraction: float) -> float:
    """The nearest-rank percentile of a non-empty list, which is sorted in place."""
    samples.sort()
    return samples[ceil(len(samples) * fraction) - 1]


class GradientController:
    """The concurrency limit over the whole subset.

    Samples count relative to the latency target of their class, min_rtt and a buffer, so that a shift between
    classes does not look like overload. The buffer reaches up to the latency allowance of the class.
    """

    def __init__(self, allowances: Sequence[int], max_limit: int, rng: Random, now: int) -> None:
        self.allowances = allowances  # by class: round-trip that still lets an answer meet its objective
        self.max_limit = max_limit
        self.rng = rng
        self.min_rtt = [0.0] * len(allowances)
        self.target = [float(allowance) for allowance in allowances]
        self.floor = self.min_rtt_limit = self.initial_limit = float(MIN_CONCURRENCY)
        self.limit = 0.0
        self.subset_fraction = 1.0  # part of the subset that the limit is for
        self.in_flight = 0
        self.in_flight_changed_at = now
        self.burst_tokens = 0.0  # unused concurrency times microseconds
        self.baseline_in_flight = 0.0  # while latency was good, smoothed
        self.ramping = True  # since the start the limit bound, and no window was above its target
        self.lost_fraction = 0.0  # of requests that ended without an answer, smoothed
        self.late_fraction = 0.0  # of answers and time-outs above their target, smoothed
        self.samples: list[tuple[float, bool]] = []  # relative latency; sent before the last decrease?
        self.in_flight_sum = self.latency_sum = 0  # over the samples
        self.window_start = now
        self.last_decrease_at = -inf
        self.sample_rtt = 0.0  # relative to the target
        self.gradient = 1.0
        self.windows_at_min = 0
        self.min_rtt_windows = 0
        self.start_min_rtt_window(now)

    def resize(self, members: int, servers: int, instances: int) -> None:
        """Renews the limits that follow from the numbers of servers and nodes."""
        self.floor = fleet_limits.limit_floor(servers, instances)
        self.min_rtt_limit = fleet_limits.min_rtt_limit(members, servers, instances)
        self.initial_limit = fleet_limits.initial_limit(members, servers, instances)
        start = max(2 * self.min_rtt_limit, self.initial_limit)
        self.limit = max(self.limit, start if self.min_rtt_windows == 0 else self.floor)

    def scale_to_subset(self, fraction: float) -> None:
        """Scales the limit to the part of the subset that may get requests now."""
        self.limit *= fraction / self.subset_fraction
        self.baseline_in_flight *= fraction / self.subset_fraction
        self.subset_fraction = fraction

    def headroom(self) -> float:
        """Requests in flight that the limit may grow by in one window."""
        return min(sqrt(self.limit), MAX_HEADROOM_FRACTION * self.limit)

    def current_limit(self) -> float:
        """The limit in force; in a minRTT window a lower one, but never less than the baseline."""
        if not self.measuring_min_rtt:
            return self.limit
        least = self.min_rtt_limit if self.min_rtt_windows else self.initial_limit
        return min(self.limit, max(least, self.baseline_in_flight))

    def change_in_flight(self, now: int, change: int, limit: float, mean_rtt: float) -> None:
        """Requests were sent or have ended; what the limit left unused until now becomes burst tokens."""
        unused = (limit - self.in_flight) * (now - self.in_flight_changed_at)
        self.burst_tokens = max(0.0, min(self.burst_tokens + unused, MIN_CONCURRENCY * mean_rtt))
        self.in_flight_changed_at = now
        self.in_flight += change

    def admits(self, now: int, limit: float, mean_rtt: float) -> bool:
        """Whether one more request keeps within the limit, now or, where the limit is small, on average."""
        if self.in_flight + 1 <= limit:
            return True
        self.change_in_flight(now, 0, limit, mean_rtt)
        return self.in_flight < MAX_BURST and self.burst_tokens >= mean_rtt

    def start_min_rtt_window(self, now: int) -> None:
        """Starts to measure min_rtt, at a low limit."""
        self.measuring_min_rtt = True
        self.min_rtt_samples: list[list[float]] = [[] for _ in self.allowances]
        self.min_rtt_requests_left = MIN_RTT_REQUESTS
        self.min_rtt_window_end = now + MAX_WINDOW_US
        self.windows_at_min = 0
        self.in_flight_sum = self.latency_sum = 0

    def end_min_rtt_window(self, now: int) -> None:
        """Renews min_rtt and the latency targets of the classes that had samples enough."""
        for request_class, samples in enumerate(self.min_rtt_samples):
            if len(samples) >= MIN_CONCURRENCY:
                min_rtt = self.min_rtt[request_class] = percentile(samples, SAMPLE_PERCENTILE)
                allowance = self.allowances[request_class]
                # Measured under load, min_rtt must not let queues grow.
                most = MAX_OBJECTIVE_FRACTION / OBJECTIVE_FRACTION * allowance
                self.target[request_class] = min(max(min_rtt * (1 + MIN_RTT_BUFFER), allowance), most)
        taken = MIN_RTT_REQUESTS - self.min_rtt_requests_left
        good = all(rtt <= target for rtt, target in zip(self.min_rtt, self.target, strict=True))
        if self.min_rtt_windows == 0 and taken and good:
            self.baseline_in_flight = self.in_flight_sum / taken
        self.measuring_min_rtt = False
        self.min_rtt_windows += 1
        self.next_min_rtt_at = now + int(MIN_RTT_INTERVAL_US * (1 + JITTER * self.rng.random()))
        self.samples.clear()
        self.in_flight_sum = self.latency_sum = 0
        self.window_start = now

    def record_sample(self, now: int, request_class: int, latency: int) -> None:
        """Adds the latency of an answer, or the time after which a request timed out."""
        self.in_flight_sum += self.in_flight
        if not self.measuring_min_rtt:
            self.samples.append((latency / self.target[request_class], now - latency < self.last_decrease_at))
            self.latency_sum += latency
            self.close_window_if_due(now)
            return
        self.min_rtt_samples[request_class].append(latency)
        self.min_rtt_requests_left -= 1
        # A window that ended at its last sample would have seen short requests only.
        grace = 0 if self.min_rtt_requests_left <= 0 else 2 * MAX_WINDOW_US
        if now >= self.min_rtt_window_end + grace:
            self.end_min_rtt_window(now)

    def answers_on_time(self) -> bool:
        """Whether hardly any request is late or lost."""
        return self.late_fraction <= MAX_LATE_FRACTION and self.lost_fraction <= MAX_LOST_WHEN_LATE

    def failures_mean_overload(self) -> bool:
        """Whether failures are a sign of overload: most requests fail, or they are late as well."""
        late = self.late_fraction > MAX_LATE_FRACTION
        return self.lost_fraction > (MAX_LOST_WHEN_LATE if late else MAX_LOST_FRACTION)

    def record_failure(self, now: int, request_class: int) -> None:
        """A failure that means overload counts as a late sample, but not as a measure of min_rtt."""
        if not self.measuring_min_rtt:
            self.record_sample(now, request_class, int(2 * self.target[request_class]))
        elif now >= self.min_rtt_window_end:
            self.end_min_rtt_window(now)

    def close_window_if_due(self, now: int) -> None:
        """Renews the limit when the window has lasted long enough and holds samples enough."""
        age, count = now - self.window_start, len(self.samples)
        if age < WINDOW_US or count == 0 or (count < MIN_WINDOW_SAMPLES and age < MAX_WINDOW_US):
            return
        found = percentile([ratio for ratio, _ in self.samples], SAMPLE_PERCENTILE)
        # Only requests sent since the last decrease can lower the limit again (as in RFC 6582, 3.2).
        fresh = [ratio for ratio, sent_before in self.samples if not sent_before] or [1.0]
        before, self.sample_rtt = self.sample_rtt, min(found, max(1.0, percentile(fresh, SAMPLE_PERCENTILE)))
        self.samples.clear()
        self.window_start = now
        self.gradient = min(MAX_GRADIENT, max(MIN_GRADIENT, 1.0 / max(self.sample_rtt, 1e-9)))
        limit = self._next_limit(found)
        self._update_baseline(age, count, found, before)
        if self.sample_rtt > 1:
            self.last_decrease_at = now
        kept = (1 - self.lost_fraction) ** 2 if self.failures_mean_overload() else 1.0
        self.limit = max(limit, self.floor, self.baseline_in_flight * kept)
        self.windows_at_min = self.windows_at_min + 1 if self.limit <= self.floor else 0
        if self.windows_at_min >= MAX_WINDOWS_AT_MIN or now >= self.next_min_rtt_at:
            self.start_min_rtt_window(now)

    def _next_limit(self, found: float) -> float:
        """The gradient's limit, bounded by what lately was in flight: one never reached is not measured."""
        grows = found <= 1 or self.sample_rtt > 1
        limit = self.gradient * self.limit + (self.headroom() if grows else 0.0)
        baselines = MAX_BASELINES * self.baseline_in_flight + sqrt(self.limit)
        return min(limit, max(self.min_rtt_limit, MAX_FLOORS * self.floor, baselines), self.max_limit)

    def _update_baseline(self, age: int, count: int, found: float, before: float) -> None:
        """Follows the requests in flight while latency is good: a limit below them would help nobody.

        After a start it follows quickly, up to the first window above target or not bound by the limit, and
        again from the second good window that the limit binds. It decays while requests are lost.
        """
        carried = self.in_flight_sum / count
        span = BASELINE_SMOOTHING_US
        binds = carried >= (0.5 if self.ramping else RAMP_RESTART_FRACTION) * self.limit
        quick = found <= 1 and (self.ramping or (binds and before <= 1))
        if quick:
            span = min(span, int(RAMP_RTTS * self.latency_sum / count))
        self.ramping = quick and binds
        self.in_flight_sum = self.latency_sum = 0
        if found <= 1 and (carried > self.baseline_in_flight or carried < 0.8 * self.limit):
            self.baseline_in_flight += min(1.0, age / max(span, 1)) * (carried - self.baseline_in_flight)
        if self.sample_rtt > 1 and self.failures_mean_overload():
            self.baseline_in_flight -= min(1.0, age / BASELINE_DECAY_US) * self.baseline_in_flight
