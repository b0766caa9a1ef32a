"""The gradient controller: the adaptive limit on a copy's calls in flight."""

from __future__ import annotations

from collections.abc import Sequence
from math import ceil, inf, sqrt
from random import Random

from harecross.policy import fleet_limits
from harecross.policy.fleet_limits import MIN_CONCURRENCY

# The source's figures, kept as they are; what the design leaves open has its reason in docs/design.md.
WINDOW_US = 100_000  # least length of a sampling window
SAMPLE_PERCENTILE = 0.9  # of a window's samples, and of a pass's
MIN_RTT_INTERVAL_US = 60_000_000
JITTER = 0.1
MAX_WINDOWS_AT_MIN = 5  # so many windows at the floor start a pass
MIN_RTT_REQUESTS = 50  # at most so many calls make a pass
MIN_GRADIENT, MAX_GRADIENT = 0.5, 2.0  # one window moves the limit by this much at most
MIN_WINDOW_SAMPLES = 80  # a window stays open until it holds so many samples...
MAX_WINDOW_STRETCH = 10  # ...or has lasted so many times its least length
MIN_RTT_BUFFER = 0.25  # least buffer_pct
OBJECTIVE_FRACTION = 0.5  # the buffer reaches up to this share of a class's aim
MAX_OBJECTIVE_FRACTION = 0.75  # min_rtt + B stays within this share of it
MAX_LOST_FRACTION = 0.3  # when more of the whole subset's calls fail, failures count as overload
MAX_LOST_WHEN_LATE = 0.05  # the same while calls are late as well...
MAX_LATE_FRACTION = 0.1  # ...so many of them; per-try timeouts withdraw then too
BASELINE_SMOOTHING_US = 3_000_000  # over so long the usual number of calls in flight is smoothed
RAMP_RESTART_FRACTION = 0.7  # so much of the limit, carried in good time, begins a ramp anew
RAMP_RTTS = 2  # ...and, after a start, over so many mean round-trips
BASELINE_DECAY_US = 12_000_000  # over so long it is given up while calls are lost
MAX_BASELINES = 2.0  # the limit stays within so many times the usual number
MAX_HEADROOM_FRACTION = 0.25  # of the limit: in a thin copy its square root outweighs any gradient
MAX_BURST = 4  # calls in flight that a copy held to less on average may have at one instant
MAX_FLOORS = 2  # floors it may reach outside passes even where a pass's limit on few members is less


def percentile(samples: list[float], share: float) -> float:
    """The nearest-rank percentile of a non-empty list, which is sorted in place."""
    samples.sort()
    return samples[ceil(len(samples) * share) - 1]


class GradientController:
    """The adaptive limit on this copy's calls in flight, over its whole subset.

    A sample counts relative to what its class can bear, min_rtt + B. With one class this is the source's
    gradient (min_rtt + B) / sample_rtt; with several, a shift of their mix no longer looks like overload.
    B = min_rtt x buffer_pct, BUFFER or more: as much as lets min_rtt + B reach `latency_allowance`, the part
    of the class's aim that a round-trip may use up, since an answer within the aim has its full worth.
    """

    def __init__(self, latency_allowance: Sequence[int], max_limit: int, rng: Random, now: int) -> None:
        self.latency_allowance = latency_allowance
        self.min_rtt = [0.0] * len(latency_allowance)
        self.target = [float(a) for a in latency_allowance]
        self.floor = float(MIN_CONCURRENCY)
        self.burst_tokens = 0.0
        self.in_flight_changed_at = now
        self.min_rtt_limit = self.initial_limit = float(MIN_CONCURRENCY)
        self.max_limit = max_limit
        self.subset_fraction = 1.0  # part of the subset that the limit is for
        self.limit = 0.0
        self.in_flight = 0
        self.in_flight_sum = 0
        self.latency_sum = 0
        self.ramping = True  # since the start the limit bound, and no window was above target
        self.lost_fraction = 0.0  # share of calls that ended without an answer, smoothed
        self.late_fraction = 0.0  # share of answers and time-outs that came later than the target, smoothed
        self.baseline_in_flight = 0.0  # calls in flight while latency was good, smoothed
        self.samples: list[
            tuple[float, bool]
        ] = []  # relative latency; whether sent before `last_decrease_at`
        self.window_start = now
        self.last_decrease_at = -inf  # when a window above target last lowered the limit
        self.sample_rtt = 0.0  # relative to min_rtt + B
        self.gradient = 1.0
        self.windows_at_min = 0
        self.rng = rng
        self.min_rtt_windows = 0
        self.start_min_rtt_window(now)

    def resize(self, members: int, servers: int, instances: int) -> None:
        """The floor and the pass's limit follow the subset: an idle member adds a call without queueing."""
        self.floor = fleet_limits.limit_floor(servers, instances)
        self.min_rtt_limit = fleet_limits.min_rtt_limit(members, servers, instances)
        self.initial_limit = fleet_limits.initial_limit(members, servers, instances)
        start = max(2 * self.min_rtt_limit, self.initial_limit)
        self.limit = max(self.limit, start if self.min_rtt_windows == 0 else self.floor)

    def scale_to_subset(self, part: float) -> None:
        """The limit is for so much of the subset now: what was right for all of it buries the few left."""
        self.limit *= part / self.subset_fraction
        self.baseline_in_flight *= part / self.subset_fraction
        self.subset_fraction = part

    def headroom(self) -> float:
        """The square root of the limit, and no more than a part of it."""
        return min(sqrt(self.limit), MAX_HEADROOM_FRACTION * self.limit)

    def current_limit(self) -> float:
        """The limit in force: the gradient's, or the pass's while one is on.

        Failure prevented: a pass closes a copy that carries far more than its part. It is held to what it
        usually carries while latency is good.
        """
        if not self.measuring_min_rtt:
            return self.limit
        return min(
            self.limit,
            max(self.min_rtt_limit if self.min_rtt_windows else self.initial_limit, self.baseline_in_flight),
        )

    def change_in_flight(self, now: int, calls: int, limit: float, mean_rtt: float) -> None:
        """Calls in flight change: books the room left until now as credit, up to MIN_LIMIT calls."""
        room = (limit - self.in_flight) * (now - self.in_flight_changed_at)
        self.burst_tokens = max(0.0, min(self.burst_tokens + room, MIN_CONCURRENCY * mean_rtt))
        self.in_flight_changed_at = now
        self.in_flight += calls

    def admits(self, now: int, limit: float, mean_rtt: float) -> bool:
        """Whether one more call keeps within the limit, at this instant or on average.

        Failure prevented: a copy with one call in flight, give or take chance, can be held to no whole
        number: it is held to its limit on average, room left unused standing for MIN_LIMIT calls at most.
        """
        if self.in_flight + 1 <= limit:
            return True
        self.change_in_flight(now, 0, limit, mean_rtt)
        return self.in_flight < MAX_BURST and self.burst_tokens >= mean_rtt

    def start_min_rtt_window(self, now: int) -> None:
        self.measuring_min_rtt = True
        self.min_rtt_samples: list[list[float]] = [[] for _ in self.latency_allowance]
        self.min_rtt_requests_left = MIN_RTT_REQUESTS
        self.min_rtt_window_end = now + WINDOW_US * MAX_WINDOW_STRETCH
        self.windows_at_min = 0
        self.in_flight_sum = self.latency_sum = 0

    def end_min_rtt_window(self, now: int) -> None:
        for request_class, samples in enumerate(self.min_rtt_samples):
            if len(samples) >= MIN_CONCURRENCY:
                self.min_rtt[request_class] = percentile(samples, SAMPLE_PERCENTILE)
                # Failure prevented: a min_rtt measured under load lets queues grow past the aim.
                most = MAX_OBJECTIVE_FRACTION / OBJECTIVE_FRACTION * self.latency_allowance[request_class]
                self.target[request_class] = min(
                    max(
                        self.min_rtt[request_class] * (1 + MIN_RTT_BUFFER),
                        self.latency_allowance[request_class],
                    ),
                    most,
                )
        taken = MIN_RTT_REQUESTS - self.min_rtt_requests_left
        if (
            self.min_rtt_windows == 0
            and taken
            and all(m <= t for m, t in zip(self.min_rtt, self.target, strict=True))
        ):
            self.baseline_in_flight = self.in_flight_sum / taken  # what the first pass carried, in good time
        self.measuring_min_rtt = False
        self.min_rtt_windows += 1
        self.next_min_rtt_at = now + int(MIN_RTT_INTERVAL_US * (1 + JITTER * self.rng.random()))
        self.samples.clear()
        self.in_flight_sum = self.latency_sum = 0
        self.window_start = now

    def record_sample(self, now: int, request_class: int, latency: int) -> None:
        """A served call's latency, or the time-out of one that timed out."""
        if self.measuring_min_rtt:
            self.min_rtt_samples[request_class].append(latency)
            self.min_rtt_requests_left -= 1
            self.in_flight_sum += self.in_flight
            # Failure prevented: a pass that ends at its last answer has seen only the short calls.
            if now >= self.min_rtt_window_end + (
                0 if self.min_rtt_requests_left <= 0 else 2 * WINDOW_US * MAX_WINDOW_STRETCH
            ):
                self.end_min_rtt_window(now)
            return
        self.samples.append((latency / self.target[request_class], now - latency < self.last_decrease_at))
        self.in_flight_sum += self.in_flight
        self.latency_sum += latency
        self.close_window_if_due(now)

    def failures_mean_overload(self) -> bool:
        """Whether failures are a sign of overload.

        Failure prevented: peers that spoil one answer in ten are taken for overloaded ones, and the limit is
        halved window by window. Overload shows in latency too, or fails most calls.
        """
        return self.lost_fraction > (
            MAX_LOST_WHEN_LATE if self.late_fraction > MAX_LATE_FRACTION else MAX_LOST_FRACTION
        )

    def record_failure(self, now: int, request_class: int) -> None:
        """A failed call while the whole subset fails: overload in a window, no measure of min_rtt."""
        if not self.measuring_min_rtt:
            self.record_sample(now, request_class, int(2 * self.target[request_class]))
        elif now >= self.min_rtt_window_end:
            self.end_min_rtt_window(now)

    def close_window_if_due(self, now: int) -> None:
        """Closes the window when it has lasted and holds enough; an empty window changes nothing."""
        age = now - self.window_start
        count = len(self.samples)
        if (
            age < WINDOW_US
            or count == 0
            or (count < MIN_WINDOW_SAMPLES and age < WINDOW_US * MAX_WINDOW_STRETCH)
        ):
            return
        # Failure prevented: where a round-trip takes several windows each of them judges the same late calls,
        # and a copy is closed long after its servers stand idle. Only calls sent since the last judgement can
        # lower the limit again (RFC 6582, 3.2: once a round-trip); while others are late it holds.
        found = percentile([ratio for ratio, _ in self.samples], SAMPLE_PERCENTILE)
        fresh = [ratio for ratio, paid in self.samples if not paid] or [1.0]
        before, self.sample_rtt = self.sample_rtt, min(found, max(1.0, percentile(fresh, SAMPLE_PERCENTILE)))
        self.samples.clear()
        self.window_start = now
        self.gradient = min(MAX_GRADIENT, max(MIN_GRADIENT, 1.0 / max(self.sample_rtt, 1e-9)))
        limit = self.gradient * self.limit + (self.headroom() if found <= 1 or self.sample_rtt > 1 else 0.0)
        # A limit that calls never reach is not measured by their latency, and grows without end in quiet
        # times: it stays within twice the calls lately in flight. Failure prevented: one copy of few servers,
        # bound outside passes too to three calls a server, refuses the lesser class while all is well.
        most = max(
            self.min_rtt_limit,
            MAX_FLOORS * self.floor,
            MAX_BASELINES * self.baseline_in_flight + sqrt(self.limit),
        )
        limit = min(limit, most, self.max_limit)
        # Failure prevented: when everything is slow at once no lower limit makes it faster, and the gradient
        # would close the fleet. What this copy carried while latency was good stays allowed.
        carried = self.in_flight_sum / count
        # Failure prevented: a copy that starts into full traffic refuses half of it for five seconds, since
        # "usual" starts at nothing; one whose neighbour is emptied a tenth. It follows within RAMP_RTTS, up
        # to the first window above target or not bound by the limit, and again from the second good one.
        span = BASELINE_SMOOTHING_US
        binds = carried >= (0.5 if self.ramping else RAMP_RESTART_FRACTION) * self.limit
        quick = found <= 1 and (self.ramping or (binds and before <= 1))
        if quick:
            span = min(span, int(RAMP_RTTS * self.latency_sum / count))
        self.ramping = quick and binds
        self.in_flight_sum = self.latency_sum = 0
        if found <= 1 and (carried > self.baseline_in_flight or carried < 0.8 * self.limit):
            self.baseline_in_flight += min(1.0, age / max(span, 1)) * (carried - self.baseline_in_flight)
        if self.sample_rtt > 1:
            self.last_decrease_at = now
        kept = (1 - self.lost_fraction) ** 2 if self.failures_mean_overload() else 1.0
        if self.sample_rtt > 1 and self.failures_mean_overload():
            # Failure prevented: servers that slow down when crowded stay crowded, and slow, at what they
            # carried before. Where calls are not only late but lost, less in flight gives them rest.
            self.baseline_in_flight -= min(1.0, age / BASELINE_DECAY_US) * self.baseline_in_flight
        floor = max(self.floor, self.baseline_in_flight * kept)
        self.limit = max(limit, floor)
        # Failure prevented: "usual" is met in any overload, and a pass each few seconds closes a busy copy.
        self.windows_at_min = self.windows_at_min + 1 if self.limit <= self.floor else 0
        if self.windows_at_min >= MAX_WINDOWS_AT_MIN or now >= self.next_min_rtt_at:
            self.start_min_rtt_window(now)
