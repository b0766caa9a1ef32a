"""The gradient controller: the adaptive limit on a copy's calls in flight."""

from __future__ import annotations

from collections.abc import Sequence
from math import ceil, inf, sqrt
from random import Random

from harecross.policy import fleet_limits
from harecross.policy.fleet_limits import MIN_LIMIT

# The source's figures, kept as they are; what the design leaves open has its reason in docs/design.md.
WINDOW = 100_000  # least length of a sampling window
PERCENTILE = 0.9  # of a window's samples, and of a pass's
PASS_INTERVAL = 60_000_000
PASS_JITTER = 0.1
WINDOWS_AT_MIN = 5  # so many windows at the floor start a pass
PASS_CALLS = 50  # at most so many calls make a pass
GRADIENT_LOW, GRADIENT_HIGH = 0.5, 2.0  # one window moves the limit by this much at most
WINDOW_SAMPLES = 80  # a window stays open until it holds so many samples...
WINDOW_STRETCH = 10  # ...or has lasted so many times its least length
BUFFER = 0.25  # least buffer_pct
AIM_SHARE = 0.5  # the buffer reaches up to this share of a class's aim
AIM_MOST = 0.75  # min_rtt + B stays within this share of it
LOST_MOST = 0.3  # when more of the whole subset's calls fail, failures count as overload
LOST_LATE = 0.05  # the same while calls are late as well...
LATE_MOST = 0.1  # ...so many of them; per-try timeouts withdraw then too
USUAL_TIME = 3_000_000  # over so long the usual number of calls in flight is smoothed
RAMP_AGAIN = 0.7  # so much of the limit, carried in good time, begins a ramp anew
RAMP_RTTS = 2  # ...and, after a start, over so many mean round-trips
USUAL_FADE = 12_000_000  # over so long it is given up while calls are lost
USUAL_MOST = 2.0  # the limit stays within so many times the usual number
HEADROOM_MOST = 0.25  # of the limit: in a thin copy its square root outweighs any gradient
BURST = 4  # calls in flight that a copy held to less on average may have at one instant
SOLE_MOST = 2  # floors it may reach outside passes even where a pass's limit on few members is less


def percentile(samples: list[float], share: float) -> float:
    """The nearest-rank percentile of a non-empty list, which is sorted in place."""
    samples.sort()
    return samples[ceil(len(samples) * share) - 1]


class GradientController:
    """The adaptive limit on this copy's calls in flight, over its whole subset.

    A sample counts relative to what its class can bear, min_rtt + B. With one class this is the source's
    gradient (min_rtt + B) / sample_rtt; with several, a shift of their mix no longer looks like overload.
    B = min_rtt x buffer_pct, BUFFER or more: as much as lets min_rtt + B reach `allowance`, the part of the
    class's aim that a round-trip may use up, since an answer within the aim has its full worth.
    """

    def __init__(self, allowance: Sequence[int], ceiling: int, rng: Random, now: int) -> None:
        self.allowance = allowance
        self.min_rtt = [0.0] * len(allowance)
        self.target = [float(a) for a in allowance]
        self.floor = float(MIN_LIMIT)
        self.credit = 0.0
        self.counted_at = now
        self.pass_limit = self.start_limit = float(MIN_LIMIT)
        self.ceiling = ceiling
        self.reached = 1.0  # part of the subset that the limit is for
        self.limit = 0.0
        self.in_flight = 0
        self.flight_sum = 0
        self.latency_sum = 0
        self.ramping = True  # since the start the limit bound, and no window was above target
        self.lost = 0.0  # share of calls that ended without an answer, smoothed
        self.late = 0.0  # share of answers and time-outs that came later than the target, smoothed
        self.usual = 0.0  # calls in flight while latency was good, smoothed
        self.samples: list[tuple[float, bool]] = []  # relative latency; whether sent before `judged_at`
        self.window_start = now
        self.judged_at = -inf  # when a window above target last lowered the limit
        self.sample_rtt = 0.0  # relative to min_rtt + B
        self.gradient = 1.0
        self.at_min = 0
        self.rng = rng
        self.passes = 0
        self.start_pass(now)

    def resize(self, members: int, servers: int, instances: int) -> None:
        """The floor and the pass's limit follow the subset: an idle member adds a call without queueing."""
        self.floor = fleet_limits.floor(servers, instances)
        self.pass_limit = fleet_limits.pass_limit(members, servers, instances)
        self.start_limit = fleet_limits.start_limit(members, servers, instances)
        start = max(2 * self.pass_limit, self.start_limit)
        self.limit = max(self.limit, start if self.passes == 0 else self.floor)

    def reach(self, part: float) -> None:
        """The limit is for so much of the subset now: what was right for all of it buries the few left."""
        self.limit *= part / self.reached
        self.usual *= part / self.reached
        self.reached = part

    def headroom(self) -> float:
        """The square root of the limit, and no more than a part of it."""
        return min(sqrt(self.limit), HEADROOM_MOST * self.limit)

    def allowed(self) -> float:
        """The limit in force: the gradient's, or the pass's while one is on.

        Failure prevented: a pass closes a copy that carries far more than its part. It is held to what it
        usually carries while latency is good.
        """
        if not self.in_pass:
            return self.limit
        return min(self.limit, max(self.pass_limit if self.passes else self.start_limit, self.usual))

    def count(self, now: int, calls: int, limit: float, mean_rtt: float) -> None:
        """Calls in flight change: books the room left until now as credit, up to MIN_LIMIT calls."""
        room = (limit - self.in_flight) * (now - self.counted_at)
        self.credit = max(0.0, min(self.credit + room, MIN_LIMIT * mean_rtt))
        self.counted_at = now
        self.in_flight += calls

    def admits(self, now: int, limit: float, mean_rtt: float) -> bool:
        """Whether one more call keeps within the limit, at this instant or on average.

        Failure prevented: a copy with one call in flight, give or take chance, can be held to no whole
        number: it is held to its limit on average, room left unused standing for MIN_LIMIT calls at most.
        """
        if self.in_flight + 1 <= limit:
            return True
        self.count(now, 0, limit, mean_rtt)
        return self.in_flight < BURST and self.credit >= mean_rtt

    def start_pass(self, now: int) -> None:
        self.in_pass = True
        self.pass_samples: list[list[float]] = [[] for _ in self.allowance]
        self.pass_count = PASS_CALLS
        self.pass_until = now + WINDOW * WINDOW_STRETCH
        self.at_min = 0
        self.flight_sum = self.latency_sum = 0

    def end_pass(self, now: int) -> None:
        for request_class, samples in enumerate(self.pass_samples):
            if len(samples) >= MIN_LIMIT:
                self.min_rtt[request_class] = percentile(samples, PERCENTILE)
                # Failure prevented: a min_rtt measured under load lets queues grow past the aim.
                most = AIM_MOST / AIM_SHARE * self.allowance[request_class]
                self.target[request_class] = min(
                    max(self.min_rtt[request_class] * (1 + BUFFER), self.allowance[request_class]), most
                )
        taken = PASS_CALLS - self.pass_count
        if self.passes == 0 and taken and all(m <= t for m, t in zip(self.min_rtt, self.target, strict=True)):
            self.usual = self.flight_sum / taken  # what the first pass carried, in good time
        self.in_pass = False
        self.passes += 1
        self.next_pass = now + int(PASS_INTERVAL * (1 + PASS_JITTER * self.rng.random()))
        self.samples.clear()
        self.flight_sum = self.latency_sum = 0
        self.window_start = now

    def sample(self, now: int, request_class: int, latency: int) -> None:
        """A served call's latency, or the time-out of one that timed out."""
        if self.in_pass:
            self.pass_samples[request_class].append(latency)
            self.pass_count -= 1
            self.flight_sum += self.in_flight
            # Failure prevented: a pass that ends at its last answer has seen only the short calls.
            if now >= self.pass_until + (0 if self.pass_count <= 0 else 2 * WINDOW * WINDOW_STRETCH):
                self.end_pass(now)
            return
        self.samples.append((latency / self.target[request_class], now - latency < self.judged_at))
        self.flight_sum += self.in_flight
        self.latency_sum += latency
        self.roll(now)

    def losing(self) -> bool:
        """Whether failures are a sign of overload.

        Failure prevented: peers that spoil one answer in ten are taken for overloaded ones, and the limit is
        halved window by window. Overload shows in latency too, or fails most calls.
        """
        return self.lost > (LOST_LATE if self.late > LATE_MOST else LOST_MOST)

    def failure(self, now: int, request_class: int) -> None:
        """A failed call while the whole subset fails: overload in a window, no measure of min_rtt."""
        if not self.in_pass:
            self.sample(now, request_class, int(2 * self.target[request_class]))
        elif now >= self.pass_until:
            self.end_pass(now)

    def roll(self, now: int) -> None:
        """Closes the window when it has lasted and holds enough; an empty window changes nothing."""
        age = now - self.window_start
        count = len(self.samples)
        if age < WINDOW or count == 0 or (count < WINDOW_SAMPLES and age < WINDOW * WINDOW_STRETCH):
            return
        # Failure prevented: where a round-trip takes several windows each of them judges the same late calls,
        # and a copy is closed long after its servers stand idle. Only calls sent since the last judgement can
        # lower the limit again (RFC 6582, 3.2: once a round-trip); while others are late it holds.
        found = percentile([ratio for ratio, _ in self.samples], PERCENTILE)
        fresh = [ratio for ratio, paid in self.samples if not paid] or [1.0]
        before, self.sample_rtt = self.sample_rtt, min(found, max(1.0, percentile(fresh, PERCENTILE)))
        self.samples.clear()
        self.window_start = now
        self.gradient = min(GRADIENT_HIGH, max(GRADIENT_LOW, 1.0 / max(self.sample_rtt, 1e-9)))
        limit = self.gradient * self.limit + (self.headroom() if found <= 1 or self.sample_rtt > 1 else 0.0)
        # A limit that calls never reach is not measured by their latency, and grows without end in quiet
        # times: it stays within twice the calls lately in flight. Failure prevented: one copy of few servers,
        # bound outside passes too to three calls a server, refuses the lesser class while all is well.
        most = max(self.pass_limit, SOLE_MOST * self.floor, USUAL_MOST * self.usual + sqrt(self.limit))
        limit = min(limit, most, self.ceiling)
        # Failure prevented: when everything is slow at once no lower limit makes it faster, and the gradient
        # would close the fleet. What this copy carried while latency was good stays allowed.
        carried = self.flight_sum / count
        # Failure prevented: a copy that starts into full traffic refuses half of it for five seconds, since
        # "usual" starts at nothing; one whose neighbour is emptied a tenth. It follows within RAMP_RTTS, up
        # to the first window above target or not bound by the limit, and again from the second good one.
        span = USUAL_TIME
        binds = carried >= (0.5 if self.ramping else RAMP_AGAIN) * self.limit
        quick = found <= 1 and (self.ramping or (binds and before <= 1))
        if quick:
            span = min(span, int(RAMP_RTTS * self.latency_sum / count))
        self.ramping = quick and binds
        self.flight_sum = self.latency_sum = 0
        if found <= 1 and (carried > self.usual or carried < 0.8 * self.limit):
            self.usual += min(1.0, age / max(span, 1)) * (carried - self.usual)
        if self.sample_rtt > 1:
            self.judged_at = now
        kept = (1 - self.lost) ** 2 if self.losing() else 1.0
        if self.sample_rtt > 1 and self.losing():
            # Failure prevented: servers that slow down when crowded stay crowded, and slow, at what they
            # carried before. Where calls are not only late but lost, less in flight gives them rest.
            self.usual -= min(1.0, age / USUAL_FADE) * self.usual
        floor = max(self.floor, self.usual * kept)
        self.limit = max(limit, floor)
        # Failure prevented: "usual" is met in any overload, and a pass each few seconds closes a busy copy.
        self.at_min = self.at_min + 1 if self.limit <= self.floor else 0
        if self.at_min >= WINDOWS_AT_MIN or now >= self.next_pass:
            self.start_pass(now)
