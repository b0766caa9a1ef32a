"""Every decision of harecross. The interface (types, events, actions) is in harecross/interface.py.

A copy's calls pass one gradient controller (limit on calls in flight, refusal at the limit) and then go
to the less busy of two random members of a bounded random subset of the servers. docs/design.md tells
what was kept of the source, what was changed and why. Times are integer microseconds.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from math import ceil, exp, sqrt
from random import Random

from harecross.interface import (
    NEVER_RAN,
    Actions,
    Effect,
    Group,
    ListKind,
    Outcome,
    ServerEntry,
    Settings,
    State,
)

# The source's figures, kept as they are.
WINDOW = 100_000  # least length of a sampling window
PERCENTILE = 0.9  # of a window's samples, and of a pass's
MIN_LIMIT = 3  # calls a server, over all copies together: the floor; in a pass calls a member, at most
PASS_INTERVAL = 60_000_000
PASS_JITTER = 0.1
WINDOWS_AT_MIN = 5  # so many windows at the floor start a pass
PASS_CALLS = 50  # at most so many calls make a pass
GRADIENT_LOW, GRADIENT_HIGH = 0.5, 2.0  # one window moves the limit by this much at most

# What the design leaves open. docs/design.md gives the reason for each.
WINDOW_SAMPLES = 80  # a window stays open until it holds so many samples...
WINDOW_STRETCH = 10  # ...or has lasted so many times its least length
BUFFER = 0.25  # least buffer_pct
AIM_SHARE = 0.5  # the buffer reaches up to this share of a class's aim
AIM_MOST = 0.75  # min_rtt + B stays within this share of it
SUBSET_MIN, SUBSET_MAX = 10, 24  # members of the subset...
SUBSET_COVER = 16  # ...in between, as many as put each server into so many copies' subsets
RETRY_RATIO = 0.1  # further attempts allowed for each first attempt
SMOOTH = 0.1  # weight of the newest sample in a server's averages
SMOOTH_REPORT = 0.5  # weight of the newest load report: a report is an average already
LARGEST_COST = 1e9  # a report above it cannot be true
UTIL_ROOM = (
    0.5  # a call costs 1/UTIL_ROOM at a fully busy server, 1/(1+UTIL_ROOM) at an idle one: more oscillates
)
SMOOTH_KIND = 0.05  # the same for the averages of a kind of machine, once it has answered a few calls
FASTEST, SLOWEST = 0.25, 8.0  # one round-trip counts between these multiples of the mean
SMOOTH_ALL = 0.02  # the same for averages over the whole subset
TRY_DEVIATIONS = 4  # from the mean round-trip and so many mean deviations on (RFC 6298) a call may be lost...
TRY_MOST = 8  # ...and from so many on it is taken for lost without its server's word
TRY_ABOVE = 2  # further deviations for each tier below, which is to cut off first
SILENT_FACTOR = 4  # a member is silent after this many mean round-trips without any outcome
EJECT_SHARE = 0.34  # of the members, at most
EJECT_FAILS = 3  # least failures in a row, or of recent calls, before ejection
EJECT_RATE = 0.3  # failure rate above the subset's own that ejects
EJECT_TIME = 2_000_000  # first ejection; doubles up to 16 times

LOST_LATE = 0.05  # the same while calls are late as well...
LATE_MOST = 0.1  # ...so many of them; per-try timeouts withdraw then too
LOST_MOST = 0.3  # when more of the whole subset's calls fail, failures count as overload
OUTLIER = 2.0  # a member so many times slower than the subset does not speak for it
FAIL_WEIGHT = 8  # a member that fails all its calls counts as so many times slower
FADE = 5_000_000  # what is known of a member is forgotten after so long without an outcome of it...
FADE_CALLS = 2  # ...or, in a thin copy, after it has called each member so many times
COLD_PART = 0.25  # of the multiple at which a cold server falls over, where no member is warm
FAIL_PRIOR = 2  # a member's first outcomes count as if so many good ones had come before
USUAL_TIME = 3_000_000  # over so long the usual number of calls in flight is smoothed
RAMP_RTTS = 2  # ...and, after a start, over so many mean round-trips
USUAL_FADE = 12_000_000  # over so long it is given up while calls are lost
USUAL_MOST = 2.0  # the limit stays within so many times the usual number
HEADROOM_MOST = 0.25  # of the limit: in a thin copy its square root outweighs any gradient
BURST = 4  # calls in flight that a copy held to less on average may have at one instant
LEAST_MOST = 3  # floors a copy may always reach: nine calls a server, all copies together
SOLE_MOST = 2  # floors it may reach outside passes even where a pass's limit on few members is less
START_MOST = 2.0  # times a pass's limit that few copies start with: each carries much and knows nothing yet
SPILL_GAIN = 0.1  # a window moves the share of calls that may leave the zone by this part of the imbalance
SPILL_STEP = 0.04  # and by so much at most
SHARE_DEPTH = 3.0  # calls a tenant may save up, or one second of its quota: arrivals cluster in thin shares
SHARE_WORTH = 0.5  # calls beyond a share are refused at once where they are worth less than this part
SHARE_TIME = 5e6  # over so long a tenant's own rate is measured
ZONE_PRICE = 0.01  # calls keep to their zone only where a crossing costs this share of a request's worth
CROWDED = 1.2  # even parts of limit x gradient: a member of this zone that holds more is drawn as others are
CROSSING = 10  # a call twice as slow is taken to lose a tenth of its worth, set against a crossing's price

KINDS_MOST = 64  # kinds of machine remembered while no server of theirs is listed
TIMER_LIST, TIMER_HELD, TIMER_TRY = 1, 2, 3  # in a token's top byte
TOKEN_BITS, TRY_BITS = 56, 8


def percentile(samples: list[float], share: float) -> float:
    """The nearest-rank percentile of a non-empty list, which is sorted in place."""
    samples.sort()
    return samples[ceil(len(samples) * share) - 1]


class GradientController:
    """The adaptive limit on this copy's calls in flight, over its whole subset.

    A sample counts relative to what its class can bear, min_rtt + B. With one class this is the source's
    gradient (min_rtt + B) / sample_rtt; with several, a shift of their mix no longer looks like overload.
    B = min_rtt x buffer_pct, where buffer_pct is BUFFER or more: as much as lets min_rtt + B reach
    `allowance`, the part of the class's aim that a round-trip may use up, since an answer within the aim
    has its full worth.
    """

    __slots__ = (
        "allowance",
        "min_rtt",
        "target",
        "limit",
        "in_flight",
        "flight_sum",
        "usual",
        "lost",
        "late",
        "samples",
        "sample_rtt",
        "gradient",
        "at_min",
        "in_pass",
        "pass_samples",
        "pass_count",
        "pass_until",
        "next_pass",
        "floor",
        "credit",
        "counted_at",
        "pass_limit",
        "start_limit",
        "ceiling",
        "rng",
        "passes",
        "window_start",
        "ramping",
        "latency_sum",
    )

    def __init__(self, allowance: Sequence[int], ceiling: int, rng: Random, now: int) -> None:
        self.allowance = allowance
        self.min_rtt = [0.0] * len(allowance)
        self.target = [float(a) for a in allowance]
        self.floor = float(MIN_LIMIT)
        self.credit = 0.0
        self.counted_at = now
        self.pass_limit = self.start_limit = float(MIN_LIMIT)
        self.ceiling = ceiling
        self.limit = 0.0
        self.in_flight = 0
        self.flight_sum = 0
        self.latency_sum = 0
        self.ramping = True  # since the start the limit bound, and no window was above target
        self.lost = 0.0  # share of calls that ended without an answer, smoothed
        self.late = 0.0  # share of answers and time-outs that came later than the target, smoothed
        self.usual = 0.0  # calls in flight while latency was good, smoothed
        self.samples: list[float] = []
        self.window_start = now
        self.sample_rtt = 0.0  # relative to min_rtt + B
        self.gradient = 1.0
        self.at_min = 0
        self.rng = rng
        self.passes = 0
        self.start_pass(now)

    def resize(self, members: int, servers: int, instances: int) -> None:
        """The floor and the pass's limit follow the subset: an idle member adds a call without queueing.

        Failure prevented: headroom and floor meant for a sole controller, once in each of hundreds of
        copies, add up to several times what the servers bear. They are those of all copies together.
        """
        self.floor = servers * MIN_LIMIT / instances
        # Failure prevented: while a first pass is on in hundreds of copies nothing is refused, and servers
        # that never drop a call are buried in seconds under more than they can work off in a minute.
        # Few copies, each of which carries much, are spared: the fewer, the nearer to a sole controller.
        alone = max(1.0, servers / instances)
        self.pass_limit = min(float(members * MIN_LIMIT), LEAST_MOST * self.floor * alone)
        # Failure prevented: one of few copies starts into full traffic and refuses a third of it for five
        # seconds, while the limit doubles from window to window. It may begin near what such a copy carries.
        self.start_limit = self.pass_limit * min(START_MOST, 2 * alone - 1)
        start = max(2 * self.pass_limit, self.start_limit)
        self.limit = max(self.limit, start if self.passes == 0 else self.floor)

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
        number: at three it never refuses, at one it refuses when nothing is wrong. It is held to its limit
        on average, room left unused standing for MIN_LIMIT calls at most.
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
        for klass, samples in enumerate(self.pass_samples):
            if len(samples) >= MIN_LIMIT:
                self.min_rtt[klass] = percentile(samples, PERCENTILE)
                # Failure prevented: a min_rtt measured under load lets queues grow past the aim.
                most = AIM_MOST / AIM_SHARE * self.allowance[klass]
                self.target[klass] = min(max(self.min_rtt[klass] * (1 + BUFFER), self.allowance[klass]), most)
        taken = PASS_CALLS - self.pass_count
        if self.passes == 0 and taken and all(m <= t for m, t in zip(self.min_rtt, self.target, strict=True)):
            self.usual = self.flight_sum / taken  # what the first pass carried, in good time
        self.in_pass = False
        self.passes += 1
        self.next_pass = now + int(PASS_INTERVAL * (1 + PASS_JITTER * self.rng.random()))
        self.samples.clear()
        self.flight_sum = self.latency_sum = 0
        self.window_start = now

    def sample(self, now: int, klass: int, latency: int) -> None:
        """A served call's latency, or the time-out of one that timed out."""
        if self.in_pass:
            self.pass_samples[klass].append(latency)
            self.pass_count -= 1
            self.flight_sum += self.in_flight
            # Failure prevented: a pass that ends at its last answer has seen only the short calls.
            if now >= self.pass_until + (0 if self.pass_count <= 0 else 2 * WINDOW * WINDOW_STRETCH):
                self.end_pass(now)
            return
        self.samples.append(latency / self.target[klass])
        self.flight_sum += self.in_flight
        self.latency_sum += latency
        self.roll(now)

    def losing(self) -> bool:
        """Whether failures are a sign of overload.

        Failure prevented: peers that spoil one answer in ten are taken for overloaded ones, and the limit is
        halved window by window. Overload shows in latency too, or fails most calls.
        """
        return self.lost > (LOST_LATE if self.late > LATE_MOST else LOST_MOST)

    def failure(self, now: int, klass: int) -> None:
        """A failed call while the whole subset fails: overload in a window, no measure of min_rtt."""
        if not self.in_pass:
            self.sample(now, klass, int(2 * self.target[klass]))
        elif now >= self.pass_until:
            self.end_pass(now)

    def roll(self, now: int) -> None:
        """Closes the window when it has lasted and holds enough; an empty window changes nothing."""
        age = now - self.window_start
        count = len(self.samples)
        if age < WINDOW or count == 0 or (count < WINDOW_SAMPLES and age < WINDOW * WINDOW_STRETCH):
            return
        self.sample_rtt = percentile(self.samples, PERCENTILE)
        self.samples.clear()
        self.window_start = now
        self.gradient = min(GRADIENT_HIGH, max(GRADIENT_LOW, 1.0 / max(self.sample_rtt, 1e-9)))
        limit = self.gradient * self.limit + self.headroom()
        # A limit that calls never reach is not measured by their latency: unchecked it grows without end in
        # quiet times, and a burst then meets no limit. It stays within twice the calls lately in flight.
        # Failure prevented: one copy of few servers, bound outside passes too to three calls a server,
        # refuses the lesser class while all is well.
        most = max(self.pass_limit, SOLE_MOST * self.floor, USUAL_MOST * self.usual + sqrt(self.limit))
        limit = min(limit, most, self.ceiling)
        # Failure prevented: when everything is slow at once no lower limit makes it faster, and the gradient
        # would close the fleet. What this copy carried while latency was good stays allowed.
        carried = self.flight_sum / count
        # Failure prevented: a copy that starts into full traffic refuses half of it for five seconds, since
        # "usual" starts at nothing. It follows within RAMP_RTTS, up to the first window that is above target
        # or in which the limit does not bind.
        span = USUAL_TIME
        if self.sample_rtt > 1:
            self.ramping = False
        elif self.ramping:
            span = min(span, int(RAMP_RTTS * self.latency_sum / count))
            self.ramping = carried >= 0.5 * self.limit
        self.flight_sum = self.latency_sum = 0
        if self.sample_rtt <= 1 and (carried > self.usual or carried < 0.8 * self.limit):
            self.usual += min(1.0, age / max(span, 1)) * (carried - self.usual)
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


class Kind:
    """What this copy knows of one kind of machine, pooled over the members of that kind."""

    __slots__ = ("slowness", "calls", "cost", "reports")

    def __init__(self) -> None:
        self.slowness = 1.0
        self.calls = 0
        self.cost = 0.0  # what the members' reports make one more call cost
        self.reports = 0


@dataclass(slots=True, eq=False)
class Server:
    """What this copy knows of one server."""

    id: int
    kind: Kind
    ready_at: int = -1
    cell: int = 0
    zone: int = 0
    in_list: bool = False
    member: bool = False
    in_flight: int = 0
    quiet_since: int = 0
    seen_at: int = 0
    heard: int = 0  # when the newest call that it has answered was sent
    ejected: bool = False
    aside: bool = False  # its calls do not count against the limit
    trial_out: bool = False
    # Of the present process: see renew().
    slowness: float = 1.0
    cost: float = 0.0
    fail_rate: float = 0.0
    fails_in_row: int = 0
    calls: int = 0
    silent: bool = False
    trial_at: int = 0
    ejections: int = 0
    cold_until: int = 0
    tokens: float = 0.0
    tokens_at: int = 0

    def renew(self, entry: ServerEntry) -> None:
        """A new process: nothing learned of the old one holds."""
        self.ready_at = entry.ready_at
        self.slowness = self.kind.slowness
        self.cost = 0.0
        self.fail_rate = 0.0
        self.fails_in_row = 0
        self.calls = 0
        self.silent = False
        self.trial_at = 0
        self.ejections = 0
        self.cold_until = 0
        self.tokens = 0.0
        self.tokens_at = 0

    def load(self, now: int, mean_rtt: float, memory: float, mean_cost: float = 0.0) -> float:
        """Calls in flight, this one included, in expected time: the draw's measure.

        Failure prevented: a member once found slow is never drawn again, so its estimate is never renewed.
        The estimate fades while no outcome comes, to that of the member's kind: a thin copy meets a member
        too seldom to know it, but it knows the kinds, and equal shares would drown the slowest kind.
        """
        quiet = now - self.seen_at
        # Failure prevented: where servers call servers a round-trip hides the member's own part, and the
        # slowest are crowded before it shows. What members report of themselves goes before round-trips.
        usual, own = self.kind.slowness, self.slowness
        if self.kind.cost:
            usual = self.kind.cost / mean_cost
            own = (own + self.cost / mean_cost) / 2 if self.cost else usual
        speed = usual + (own - usual) * max(0.0, 1 - quiet / FADE)
        fails = FAIL_WEIGHT * self.fail_rate * max(0.0, 1 - quiet / memory)
        load = (self.in_flight + 1) * speed * (1 + fails)
        if self.in_flight and now - self.quiet_since > mean_rtt:
            # Failure prevented: a member that has just turned slow looks as before until its calls come back.
            load *= (now - self.quiet_since) / mean_rtt
        return load


class Zone:
    """What this copy knows of the way to one zone's servers."""

    __slots__ = ("id", "sent", "sent_since", "unanswered", "last_bad", "cut", "trial_at", "trials")

    def __init__(self, zone: int) -> None:
        self.id = zone
        self.last_bad = 0
        self.trial_at = 0
        self.trials = 0
        self.cut = False
        self.answered()

    def answered(self) -> None:
        self.sent = 0  # calls since the last answer
        self.sent_since = 0  # time of the first of them
        self.unanswered = 0  # calls that ended without any answer since then; of one server only the first


class Shares:
    """What this node owes each tenant, from its part of the quotas.

    A tenant's tokens fill at its quota and overflow into a pool that any tenant may draw on: as long as all
    together keep within the sum of the quotas nobody is beyond a share.

    Failure prevented: a tenant that sends several times its share crowds out the others, long before a limit
    that no thin copy ever reaches. And a node that carries far more than its part of the traffic takes
    everyone to be beyond a share: quotas are scaled by how far the middle tenant exceeds its own.
    """

    __slots__ = ("quotas", "tokens", "counts", "pool", "scale", "at")

    def __init__(self, quotas: list[float]) -> None:
        self.quotas = quotas  # calls a second at this node; 0 = none
        self.tokens = [max(SHARE_DEPTH, q) for q in quotas]
        self.counts = [0.0] * len(quotas)  # arrivals, fading over SHARE_TIME
        self.pool = 0.0
        self.scale = 1.0
        self.at = 0

    def refill(self, now: int) -> None:
        span, self.at = now - self.at, now
        kept = exp(-span / SHARE_TIME)
        ratios = []
        for tenant, quota in enumerate(self.quotas):
            self.counts[tenant] *= kept
            if quota <= 0:
                continue
            ratios.append(self.counts[tenant] / (quota * SHARE_TIME / 1e6))
            rate = quota * self.scale
            tokens = self.tokens[tenant] + rate * span / 1e6
            self.tokens[tenant] = min(tokens, max(SHARE_DEPTH, rate))
            self.pool += tokens - self.tokens[tenant]
        if len(ratios) > 1:
            self.scale = max(1.0, sorted(ratios)[(len(ratios) - 1) // 2])
        self.pool = min(self.pool, max(SHARE_DEPTH, sum(self.quotas) * self.scale))

    def take(self, now: int, tenant: int) -> bool:
        """Whether the tenant's next request is within its share or what others leave unused."""
        if tenant >= len(self.quotas) or self.quotas[tenant] <= 0:
            return True
        self.refill(now)
        self.counts[tenant] += 1
        if self.tokens[tenant] >= 1:
            self.tokens[tenant] -= 1
        elif self.pool >= 1:
            self.pool -= 1
        else:
            return False
        return True


@dataclass(slots=True, eq=False)
class Request:
    """An open request. At most one attempt is out at a time."""

    id: int
    klass: int
    effect: Effect
    useful_until: int
    attempts: int = 0
    out: Server | None = None
    ran_on: Server | None = None  # the first server that may have run it
    ran_at: int = 0
    last: Server | None = None  # where the attempt before this one went
    sent_at: int = 0
    begun: bool = False
    held: bool = False
    cut: bool = False  # the per-try timeout ended the attempt that is out, and the next one is paid


class Balancer:
    """One copy: the decisions of one node, from its own traffic alone."""

    def __init__(self, settings: Settings, seed: int, actions: Actions) -> None:
        self.settings = s = settings
        self.actions = actions
        self.rng = Random(seed)
        self.servers: dict[int, Server] = {}
        self.kinds: dict[int, Kind] = {}
        self.report_cost = {
            f: i for i, f in enumerate(s.report_fields) if f in ("latency_ms", "util", "queue")
        }
        self.zones: dict[int, Zone] = {}
        self.cut: list[Zone] = []
        self.members: list[Server] = []
        self.near: list[Server] = []  # members in this zone that may be drawn
        self.able: list[Server] = []  # all members that may be drawn
        self.ejected: list[Server] = []
        self.next_trial = 0
        self.requests: dict[int, Request] = {}
        self.waiting: deque[Request] = deque()
        classes = len(s.classes)
        share = AIM_SHARE * (s.tiers - s.tier) / s.tiers
        self.controller = GradientController([int(c.aim * share) for c in s.classes], s.max_open, self.rng, 0)
        self.mean_rtt = [c.aim * share / 2 for c in s.classes]  # until measured
        self.deviation = [m / 2 for m in self.mean_rtt]
        self.above = TRY_ABOVE * (s.tiers - 1 - s.tier)
        self.cuts = self.overtaken = 0  # per-try timeouts; time-outs whose server had answered later calls
        self.mean_cost = 0.0  # of what members report, smoothed
        self.gap = 0.0  # time between outcomes, smoothed
        self.ended_at = 0
        self.fail_rate = 0.0
        self.near_ratio = 0.5  # mean latency over what the class can bear, for servers of this zone...
        self.far_ratio = 0.5  # ...and of the others
        self.best_ratio = 0.0
        self.zoned = s.cross_zone_price >= ZONE_PRICE
        self.spill = 0.0 if self.zoned else 1.0  # share of calls that may leave the zone
        self.spill_least = self.spill
        self.spill_at = 0
        self.retry_tokens = float(MIN_LIMIT)
        self.shares = Shares([t.quota / s.instances for t in s.tenants])
        self.rank = [0] * classes
        self.warm_rate = 0.0  # sends a second to a warm member, smoothed
        self.warm_sent = 0
        self.asked = 0  # requests since the last window
        self.list_failures = 0
        self.blocked = 0  # rq_blocked
        self.rank_classes()

    # ---- events ---------------------------------------------------------------------------------------

    def start(self, now: int) -> None:
        self.controller.start_pass(now)
        self.spill_at = now
        self.shares.at = now
        if self.settings.list_on_request:
            self.actions.watch(True)

    def server_list(self, now: int, kind: ListKind, entries: Sequence[ServerEntry]) -> None:
        if kind == ListKind.FAILED:
            # Only asked-for lists fail. Jittered back-off, well inside the longest silence allowed.
            self.list_failures += 1
            base = max(self.settings.tick, self.settings.list_ask_within // 20)
            delay = min(base << min(self.list_failures - 1, 3), max(base, self.settings.list_ask_within // 4))
            self.actions.set_timer(int(delay * (0.5 + self.rng.random())), TIMER_LIST << TOKEN_BITS)
            return
        if kind != ListKind.CACHED:
            self.list_failures = 0
        latest = {e.server: e for e in entries}  # an entry twice: the last holds
        if kind != ListKind.CHANGES:
            for server in self.servers.values():
                if server.in_list and server.id not in latest:
                    self.drop(server)
        for entry in latest.values():
            known = self.servers.get(entry.server)
            if entry.state != State.READY:
                if known is not None:
                    self.drop(known)
                continue
            if known is None:
                known = Server(entry.server, self.kinds.setdefault(entry.kind, Kind()))
                self.servers[entry.server] = known
            if known.ready_at != entry.ready_at:
                if known.ejected:
                    self.readmit(known)
                known.renew(entry)
            known.in_list = True
            known.cell, known.zone = entry.cell, entry.zone
            if entry.zone not in self.zones:
                self.zones[entry.zone] = Zone(entry.zone)
            if entry.ready_at > 0 and now < entry.ready_at + self.settings.cold_time:
                # Failure prevented: a restarted server looks idle and draws a flood that pushes it over.
                if known.cold_until == 0:
                    known.tokens_at = now
                known.cold_until = entry.ready_at + self.settings.cold_time
        self.forget_gone()
        self.refill(now)

    def request(self, now: int, request: int, klass: int, tenant: int, time_left: int, repeat: bool) -> None:
        s = self.settings
        # Failure prevented: a class never told of runs twice, since it is taken for one that may.
        effect = s.classes[klass].effect if klass < len(s.classes) else Effect.UNSAFE
        klass = min(klass, len(s.classes) - 1)
        c = s.classes[klass]
        useful = time_left
        if c.late_worth <= 0 and c.aim - 2 * s.tick < useful:
            # Late work is waste: an answer after the aim is worth nothing here, so nothing waits for it.
            useful = max(s.tick, c.aim - 2 * s.tick)
        self.asked += 1
        if now - self.spill_at >= WINDOW:
            self.each_window(now)
        r = Request(request, klass, effect, now + useful)
        self.requests[request] = r
        ctl = self.controller
        self.retry_tokens = min(self.retry_tokens + RETRY_RATIO, max(float(MIN_LIMIT), sqrt(ctl.limit)))
        limit = ctl.allowed()
        if s.tier == 0:
            # Trunk reservation: a class of lesser worth for its time leaves sqrt(limit) slots for
            # what is worth more, a tenant beyond its share twice that.
            over = not self.shares.take(now, tenant)
            spare = self.rank[klass] + 2 * over
            limit -= spare * ctl.headroom()
            if not ctl.admits(now, limit, self.mean_rtt[klass]) or (
                over and s.over_share_worth < SHARE_WORTH
            ):
                self.blocked += 1
                self.finish(r, refuse=True)
                return
        elif not ctl.admits(now, limit, self.mean_rtt[klass]):
            self.hold(now, r)
            return
        self.attempt(now, r)

    def outcome(
        self,
        now: int,
        request: int,
        attempt: int,
        server: int,
        outcome: Outcome,
        latency: int,
        final: bool,
        report: Sequence[float],
    ) -> None:
        srv = self.servers.get(server)
        r = self.requests.get(request)
        if r is not None and r.cut and outcome == Outcome.CANCELLED:
            outcome = Outcome.TIMEOUT
        if srv is not None and srv.in_flight > 0:
            if report and self.report_cost:
                self.learn_cost(srv, report)
            self.settle(now, srv, r, outcome, latency)
        if r is not None and r.out is not None and attempt == r.attempts - 1:
            r.out = None
            if final or outcome == Outcome.OK:
                del self.requests[request]
            elif r.begun:
                self.finish(r, refuse=False)
            else:
                self.after_failure(now, r, srv, outcome)
        if self.waiting:
            self.serve_waiting(now)

    def response_started(self, now: int, request: int, attempt: int, server: int, latency: int) -> None:
        r = self.requests.get(request)
        if r is not None:
            r.begun = True

    def client_left(self, now: int, request: int) -> None:
        r = self.requests.pop(request, None)
        if r is not None and r.held:
            # Failure prevented: calls whose client left fill the room for calls that wait for a slot.
            r.held = False
            self.waiting.remove(r)
        if r is None or r.out is None or r.begun:
            return
        waited = now - r.sent_at
        if waited > self.controller.target[r.klass] and not r.out.aside:
            # Failure prevented: clients give up before any time-out, calls end as cancelled, and a copy whose
            # servers answer nobody in time sees no sample of it.
            self.controller.sample(now, r.klass, waited)
            self.learn_speed(r.out, min(waited / self.mean_rtt[r.klass], SLOWEST))
        if self.settings.cancel:
            self.actions.cancel(request, r.attempts - 1)

    def probed(self, now: int, server: int, ok: bool, latency: int, report: Sequence[float]) -> None:
        """Not used: half-open trials are real calls."""

    def timer(self, now: int, token: int) -> None:
        kind, value = token >> TOKEN_BITS, token & ((1 << TOKEN_BITS) - 1)
        if kind == TIMER_LIST:
            self.actions.watch(True)
        elif kind == TIMER_HELD:
            r = self.requests.get(value)
            if r is not None and r.held:
                r.held = False
                self.blocked += 1
                self.finish(r, refuse=True)
        elif kind == TIMER_TRY:
            r = self.requests.get(value >> TRY_BITS)
            if r is not None and r.out is not None and r.attempts == value & ((1 << TRY_BITS) - 1):
                self.per_try_timeout(now, r)

    def peer_message(self, now: int, peer: int, data: bytes) -> None:
        """Not used: a node decides from its own traffic."""

    def stats(self) -> dict[str, float]:
        """Statistics, with the source's names where it has them."""
        c = self.controller
        return {
            "concurrency_limit": c.allowed(),
            "gradient": c.gradient,
            "burst_queue_size": c.headroom(),
            "min_rtt_msecs": max(c.min_rtt) / 1000,
            "sample_rtt_ratio": c.sample_rtt,
            "rq_blocked": self.blocked,
            "min_rtt_calculation_active": float(c.in_pass),
            "in_flight": c.in_flight,
            "members": len(self.members),
            "ejected": len(self.ejected),
            "zones_cut": len(self.cut),
            "spill": self.spill,
            "lost": c.lost,
            "rq_per_try_timeout": self.cuts,
            "rq_overtaken": self.overtaken,
        }

    # ---- a request's life -----------------------------------------------------------------------------

    def attempt(self, now: int, r: Request) -> None:
        """Sends the request to the server drawn for it, or answers it when there is none."""
        srv = self.draw(now, r)
        if srv is None:
            self.finish(r, refuse=r.ran_on is None)
            return
        timeout = r.useful_until - now
        if srv.aside and r.effect != Effect.UNSAFE:
            # A trial of an ejected server or a cut zone must not cost the request its whole time.
            timeout = min(timeout, max(self.settings.tick, int(SILENT_FACTOR * self.mean_rtt[r.klass])))
        if srv.in_flight == 0:
            srv.quiet_since = now
        srv.in_flight += 1
        if not srv.aside:
            ctl = self.controller
            ctl.count(now, 1, ctl.allowed(), self.mean_rtt[r.klass])
        zone = self.zones[srv.zone]
        if zone.sent == 0:
            zone.sent_since = now
        zone.sent += 1
        if srv.cold_until <= now:
            self.warm_sent += 1
        r.out = srv
        r.sent_at = now
        r.attempts += 1
        self.actions.send(r.id, srv.id, timeout)
        if r.effect != Effect.UNSAFE:
            mean, deviation = self.mean_rtt[r.klass], self.deviation[r.klass]
            wait = mean + (TRY_DEVIATIONS + self.above) * deviation
            if wait + mean + deviation <= timeout:
                self.watch_try(r, wait)

    def watch_try(self, r: Request, wait: float) -> None:
        token = r.id << TRY_BITS | r.attempts
        self.actions.set_timer(max(1, int(wait)), TIMER_TRY << TOKEN_BITS | token)

    def per_try_timeout(self, now: int, r: Request) -> None:
        """Gives up an attempt that is lost, where a further one is allowed and paid for.

        Lost and slow are told apart by the server's other calls: it has answered one that was sent a whole
        mean round-trip later, or long enough has passed for that while hardly any call is late. Until then
        the question is put again every mean deviation.

        Failure prevented: a connection that has fallen silent, a cut-off machine or an answer that stops half
        way costs a request its whole time, in every tier above too. It hurts where all is slow: a call that is
        late and not lost is run twice, at the servers that have least to spare.
        """
        s, srv = self.settings, r.out
        assert srv is not None
        if not s.cancel or r.begun or r.attempts >= s.max_attempts:
            return
        mean, deviation = self.mean_rtt[r.klass], self.deviation[r.klass]
        answered = srv.heard > r.sent_at + mean
        lost = answered or now - r.sent_at >= mean + (TRY_MOST + self.above) * deviation
        if lost and self.controller.late <= LATE_MOST and self.retry_tokens >= 1:
            self.retry_tokens -= 1
            self.cuts += 1
            r.cut = True
            self.actions.cancel(r.id, r.attempts - 1)
        elif now + deviation + mean < r.useful_until:
            self.watch_try(r, deviation)

    def after_failure(self, now: int, r: Request, srv: Server | None, outcome: Outcome) -> None:
        """A further attempt where class, time, budget and attempt cap allow it; a final answer otherwise."""
        s = self.settings
        c = s.classes[r.klass]
        if outcome not in NEVER_RAN and r.ran_on is None:
            r.ran_on = srv
            r.ran_at = r.sent_at
        r.last = srv
        ran = r.ran_on is not None
        # An attempt that never ran cost its server nothing: a further one is not counted as a retry.
        price = int(outcome not in NEVER_RAN and not r.cut)
        r.cut = False
        allowed = (
            not ran or r.effect == Effect.SAFE or (r.effect == Effect.KEYED and now < r.ran_at + c.window)
        )
        if (
            allowed
            and r.attempts < s.max_attempts
            and self.retry_tokens >= price
            and now + self.mean_rtt[r.klass] < r.useful_until
        ):
            # Retries multiply through tiers and clients: each copy spends a share of its first attempts.
            self.retry_tokens -= price
            self.attempt(now, r)
            return
        self.finish(r, refuse=not ran or r.effect == Effect.SAFE)

    def finish(self, r: Request, refuse: bool) -> None:
        """The one final answer. `refuse` only where a retry is known to do no harm."""
        del self.requests[r.id]
        s = self.settings
        if not refuse:
            self.actions.fail(r.id)
            return
        after = 0
        if s.retry_after:
            # Failure prevented: told to stay away for long, clients come back when the aim has passed and
            # their calls, served late, are worth little.
            after = min(s.max_retry_after, s.classes[r.klass].aim // 8)
        self.actions.refuse(r.id, after)

    def hold(self, now: int, r: Request) -> None:
        """Below the first tier a refusal wastes the work already sunk above: the call waits for a free slot.

        Acts only where callers are servers, at the limit, for up to half the time left, for as many calls
        as the limit.
        """
        if not self.able or len(self.waiting) >= self.controller.limit:
            self.blocked += 1
            self.finish(r, refuse=True)
            return
        r.held = True
        self.waiting.append(r)
        self.actions.set_timer(max(1, (r.useful_until - now) // 2), TIMER_HELD << TOKEN_BITS | r.id)

    def serve_waiting(self, now: int) -> None:
        waiting = self.waiting
        while waiting and (not waiting[0].held or self.controller.in_flight < self.controller.allowed()):
            r = waiting.popleft()
            if r.held and r.id in self.requests:
                r.held = False
                self.attempt(now, r)

    # ---- fairness -------------------------------------------------------------------------------------

    def rank_classes(self) -> None:
        """Rank 1 for classes whose worth for their time is under half the best class's."""
        density = [c.worth / max(1.0, self.mean_rtt[i]) for i, c in enumerate(self.settings.classes)]
        best = max(density)
        self.rank = [int(d < best / 2) for d in density]

    # ---- server health --------------------------------------------------------------------------------

    def settle(self, now: int, srv: Server, r: Request | None, outcome: Outcome, latency: int) -> None:
        """Books an attempt's end: in-flight, samples, the server's averages, ejection."""
        srv.in_flight -= 1
        ctl = self.controller
        if not srv.aside:
            ctl.count(now, -1, ctl.allowed(), max(self.mean_rtt))
        srv.quiet_since = now
        if outcome in (Outcome.CANCELLED, Outcome.NOT_SENT):
            return
        srv.seen_at = now
        if len(self.zones) > 1:
            self.watch_zone(now, srv, outcome)
        ok = outcome == Outcome.OK
        # Failure prevented: lost calls pass for overload, and a few in a hundred halve the limit. A time-out
        # tells of latency only while its server has answered nothing that was sent later.
        overtaken = r is not None and outcome == Outcome.TIMEOUT and srv.heard > r.sent_at
        self.overtaken += overtaken
        if r is not None and outcome != Outcome.TIMEOUT and outcome != Outcome.CONNECT_FAILED:
            srv.heard = max(srv.heard, r.sent_at)
        if r is not None and (ok or outcome == Outcome.TIMEOUT) and not overtaken:
            klass = r.klass
            if srv.slowness < OUTLIER and not srv.ejected:
                ctl.late += SMOOTH_ALL * ((latency > ctl.target[klass]) - ctl.late)
                ctl.sample(now, klass, latency)
            self.learn_speed(srv, min(latency / self.mean_rtt[klass], SLOWEST))
            if srv.zone == self.settings.zone:
                self.near_ratio += SMOOTH_ALL * (latency / ctl.target[klass] - self.near_ratio)
            else:
                self.far_ratio += SMOOTH_ALL * (latency / ctl.target[klass] - self.far_ratio)
            off = latency - self.mean_rtt[klass]
            self.deviation[klass] += SMOOTH_ALL * (abs(off) - self.deviation[klass])
            self.mean_rtt[klass] += SMOOTH_ALL * off
        srv.calls += 1
        self.gap += SMOOTH_KIND * (min(now - self.ended_at, FADE) - self.gap)
        self.ended_at = now
        # Failure prevented: a member that turns every call away holds none of them and wins the draws.
        bad = 0.0 if ok or outcome == Outcome.TIMEOUT else 1.0
        srv.fail_rate += max(SMOOTH, 1 / (srv.calls + FAIL_PRIOR)) * (bad - srv.fail_rate)
        self.fail_rate += SMOOTH_ALL * (bad - self.fail_rate)
        # A reset or an overtaken time-out is a connection's end, and no sign that the server is overloaded.
        if not (srv.ejected or overtaken or outcome in (Outcome.REJECTED, Outcome.RESET)):
            ctl.lost += SMOOTH_ALL * ((0.0 if ok else 1.0) - ctl.lost)
            if bad and r is not None and ctl.losing():
                # Failure prevented: the tiers below have lost servers, most calls sink work and come back as
                # errors, and errors that add no sample leave the limit where it was.
                ctl.failure(now, r.klass)
        if ok:
            srv.fails_in_row = 0
            if srv.ejected and (srv.trial_out or srv.silent):
                self.readmit(srv)
        elif bad:
            srv.fails_in_row += 1
            if srv.ejected:
                if srv.trial_out:
                    self.eject(now, srv, silent=False)
            elif (
                srv.fails_in_row >= EJECT_FAILS
                and srv.fail_rate > self.fail_rate * 2
                or srv.calls >= EJECT_FAILS
                and srv.fail_rate > EJECT_RATE + self.fail_rate
            ):
                # Failure prevented: a member that fails quickly holds few calls and wins the draws.
                self.eject(now, srv, silent=False)
        elif srv.trial_out:
            self.eject(now, srv, silent=srv.silent)
        srv.trial_out = False

    def learn_speed(self, srv: Server, ratio: float) -> None:
        """Books a round-trip, in mean round-trips, to the member and to its kind."""
        kind = srv.kind
        kind.calls += 1
        kind.slowness += max(SMOOTH_KIND, 1 / (kind.calls + 1)) * (ratio - kind.slowness)
        srv.slowness = max(FASTEST, srv.slowness + SMOOTH * (ratio - srv.slowness))

    def learn_cost(self, srv: Server, report: Sequence[float]) -> None:
        """Books a load report: the time one more call would take there, by its speed and its load."""
        at = self.report_cost
        n = len(report)
        known = 0 <= at.get("latency_ms", -1) < n
        cost = max(report[at["latency_ms"]], 1e-3) if known else srv.slowness
        if 0 <= at.get("util", -1) < n:
            cost /= 1 + UTIL_ROOM - min(max(report[at["util"]], 0.0), 1.0)
        if 0 <= at.get("queue", -1) < n:
            cost *= 1 + max(report[at["queue"]], 0.0)
        if not 0 < cost < LARGEST_COST:
            return  # a report that cannot be: one of them would stay in the averages for good
        kind = srv.kind
        kind.reports += 1
        kind.cost += max(SMOOTH_KIND, 1 / kind.reports) * (cost - kind.cost)
        srv.cost += (SMOOTH_REPORT if srv.cost else 1.0) * (cost - srv.cost)
        self.mean_cost += (SMOOTH_ALL if self.mean_cost else 1.0) * (cost - self.mean_cost)

    def eject(self, now: int, srv: Server, silent: bool) -> None:
        # Failure prevented: a drained server's last calls fail, it is ejected and later gets a trial call.
        if not srv.member:
            return
        if not srv.ejected:
            if len(self.ejected) + 1 > EJECT_SHARE * len(self.members):
                return
            srv.ejected = True
            self.ejected.append(srv)
            self.actions.log(f"eject server={srv.id} silent={int(silent)} fail_rate={srv.fail_rate:.2f}")
        srv.silent = silent
        # Failure prevented: a thin copy sends an ejected member more trials than it would have drawn it.
        base = max(EJECT_TIME, int(self.gap * len(self.members)))
        srv.trial_at = now + int((base << min(srv.ejections, 4)) * (1 + PASS_JITTER * self.rng.random()))
        srv.ejections += 1
        self.next_trial = min(e.trial_at for e in self.ejected)
        self.sort_members()

    def readmit(self, srv: Server) -> None:
        srv.ejected = False
        srv.silent = False
        srv.fail_rate = self.fail_rate
        srv.fails_in_row = 0
        srv.ejections = max(0, srv.ejections - 1)
        self.ejected.remove(srv)
        if self.ejected:
            self.next_trial = min(e.trial_at for e in self.ejected)
        self.actions.log(f"readmit server={srv.id}")
        self.sort_members()

    def watch_zone(self, now: int, srv: Server, outcome: Outcome) -> None:
        """A zone is watched as a member is: while it gives no answer it gets no calls but trials.

        Failure prevented: the network between two zones parts, half the members or more are out of reach,
        beyond what may be ejected, and each is found out by itself. Acts only while another zone answers.
        """
        zone = self.zones[srv.zone]
        if outcome not in (Outcome.TIMEOUT, Outcome.CONNECT_FAILED):
            zone.answered()
            if zone.cut:
                zone.cut = False
                self.cut.remove(zone)
                self.actions.log(f"restore zone={zone.id}")
                self.sort_members()
            return
        if srv.id != zone.last_bad:
            zone.unanswered += 1
            zone.last_bad = srv.id
        # Failure prevented: the first slow call to a zone seldom visited, cut off early, cuts off the zone.
        waited = now - zone.sent_since > min(c.aim for c in self.settings.classes)
        silent = zone.sent >= EJECT_FAILS and waited
        if zone.cut or not (silent or zone.unanswered >= EJECT_FAILS):
            return
        if any(self.zones[m.zone].unanswered == 0 for m in self.able):
            zone.cut = True
            zone.trials = 0
            zone.trial_at = now + EJECT_TIME
            self.cut.append(zone)
            self.actions.log(f"cut zone={zone.id}")
            self.sort_members()

    def each_window(self, now: int) -> None:
        """Slow bookkeeping, at most once a window: warm rate, class ranks, spill between zones."""
        span = now - self.spill_at
        self.spill_at = now
        warm = 0
        for m in self.members:
            warm += m.cold_until <= now and not m.ejected
        rate = -1.0
        if warm:
            rate = self.warm_sent * 1e6 / span / warm
        elif self.members:
            # Failure prevented: after a mass restart no member is warm, none may be sent anything, and all
            # is refused until the warm-up has passed. An even part of what is asked for stands in, small
            # enough that, asked for by every copy and with clients that retry, no cold server falls over.
            part = min(1.0, COLD_PART * self.settings.fall_multiple)
            rate = part * self.asked * 1e6 / span / len(self.members)
        if rate >= 0:
            self.warm_rate += min(1.0, span / 2e6) * (rate - self.warm_rate)
        self.warm_sent = self.asked = 0
        self.rank_classes()
        # Calls leave the zone only as far as its own servers are slower than the others.
        if self.zoned and self.near:
            # Failure prevented: one zone's servers drown while another's stand idle. Unvisited, the other
            # zones are taken to do as well as this one did at its best.
            if self.near_ratio < self.best_ratio or self.best_ratio == 0:
                self.best_ratio = self.near_ratio
            if self.spill < 0.05:
                self.far_ratio += SMOOTH * (self.best_ratio - self.far_ratio)
            self.best_ratio *= 1.001
            patience = 1 + CROSSING * self.settings.cross_zone_price
            step = SPILL_GAIN * (self.near_ratio / max(self.far_ratio, 1e-9) - patience)
            self.spill += min(SPILL_STEP, max(-SPILL_STEP, step))
            self.spill = min(1.0, max(self.spill_least, self.spill))

    # ---- members and the draw -------------------------------------------------------------------------

    def drop(self, srv: Server) -> None:
        """The server drains or is gone: nothing new goes to it from now on."""
        srv.in_list = False
        if srv.ejected:
            self.readmit(srv)
        srv.member = False

    def forget_gone(self) -> None:
        for key in [k for k, srv in self.servers.items() if not srv.in_list and srv.in_flight == 0]:
            del self.servers[key]
        # Failure prevented: names of zones and kinds that are ever new pile up.
        used = {srv.zone for srv in self.servers.values()}
        if len(self.zones) > len(used):
            self.zones = {k: zone for k, zone in self.zones.items() if k in used or zone.cut}
        if len(self.kinds) > KINDS_MOST:
            kept = {srv.kind for srv in self.servers.values()}
            self.kinds = {k: kind for k, kind in self.kinds.items() if kind in kept}

    def refill(self, now: int) -> None:
        """Members that left are replaced by random others, up to the subset's bound."""
        self.members = [m for m in self.members if m.member]
        listed = sum(srv.in_list for srv in self.servers.values())
        # Failure prevented: a copy with a call a second knows none of many members and keeps no connection
        # to them. Where copies are many, few members each still spread the load over all servers.
        wanted = ceil(SUBSET_COVER * listed / self.settings.instances)
        wanted = min(SUBSET_MAX, max(SUBSET_MIN, wanted))
        if len(self.members) < wanted:
            pool = [srv for _, srv in sorted(self.servers.items()) if srv.in_list and not srv.member]
            while pool and len(self.members) < wanted:
                i = int(self.rng.random() * len(pool))
                pool[i], pool[-1] = pool[-1], pool[i]
                srv = pool.pop()
                srv.member = True
                self.members.append(srv)
        self.controller.resize(len(self.members), listed, self.settings.instances)
        if self.zoned and self.members:
            # Failure prevented: a zone with few servers takes all calls of the one node beside it. At least
            # what exceeds the zone's part of all members leaves it, were all nodes alike.
            near = sum(m.zone == self.settings.zone for m in self.members)
            self.spill_least = max(0.0, 1 - near * self.settings.instances / len(self.members))
            self.spill = max(self.spill, self.spill_least)
        self.sort_members()

    def sort_members(self) -> None:
        self.able = []
        for m in self.members:
            aside = m.ejected or self.zones[m.zone].cut
            if not aside:
                self.able.append(m)
            if aside != m.aside:
                # Failure prevented: calls stuck on a silent member fill the limit for all the others.
                self.controller.in_flight += -m.in_flight if aside else m.in_flight
                m.aside = aside
        self.near = [m for m in self.able if m.zone == self.settings.zone]

    def draw(self, now: int, r: Request) -> Server | None:
        """Two random members; the one with less in flight takes the call."""
        effect = r.effect
        if r.ran_on is not None and effect == Effect.KEYED:
            return self.draw_in_group(now, r)
        # Failure prevented: a copy with unsafe calls only never tries an ejected member or a cut zone again.
        # They may be tried with one once no other call has come for as long as a first ejection.
        wait = EJECT_TIME if effect == Effect.UNSAFE else 0
        if self.ejected and now >= self.next_trial + wait:
            for trial in self.ejected:
                if trial.trial_at + wait <= now and not trial.trial_out and self.may_send(now, trial):
                    trial.trial_out = True
                    trial.trial_at = now + EJECT_TIME
                    return trial
        if self.cut:
            for zone in self.cut:
                if zone.trial_at + wait <= now:
                    zone.trials += 1
                    zone.trial_at = now + (EJECT_TIME << min(zone.trials, 4))
                    pool = [m for m in self.members if m.zone == zone.id]
                    i = int(self.rng.random() * len(pool))
                    if pool and self.may_send(now, pool[i]):
                        return pool[i]
        near, able, ctl = self.near, self.able, self.controller
        if r.last is not None:
            # The source's previous_hosts predicate. Failure prevented: the one server of this zone turns
            # calls away, and every further attempt goes there again.
            near, able = [m for m in near if m is not r.last], [m for m in able if m is not r.last]
        if self.zoned and near and self.rng.random() >= self.spill:
            # Failure prevented: the one server beside a node keeps most of its calls while it slows down, and
            # the spill follows only once the late answers are back. It could hurt where a crossing is dear.
            crowded = CROWDED * ctl.gradient * ctl.allowed() / len(self.able)
            srv = self.draw_two(now, [m for m in near if m.in_flight < crowded])
            if srv is not None:
                return srv
        return self.draw_two(now, able) or (self.draw_two(now, self.able) if r.last is not None else None)

    def draw_two(self, now: int, pool: list[Server]) -> Server | None:
        n = len(pool)
        if n == 0:
            return None
        if n == 1:
            return pool[0] if self.may_send(now, pool[0]) else None
        mean = min(self.mean_rtt)
        memory = self.memory()
        for _ in range(3):
            i = int(self.rng.random() * n)
            j = int(self.rng.random() * (n - 1))
            if j >= i:
                j += 1
            a, b = pool[i], pool[j]
            cost = self.mean_cost
            if b.load(now, mean, memory, cost) < a.load(now, mean, memory, cost):
                a, b = b, a
            b_silent = self.is_silent(now, b)
            if not self.is_silent(now, a) and self.may_send(now, a):
                return a
            if not b_silent and self.may_send(now, b):
                return b
        for a in pool:
            if not a.ejected and self.may_send(now, a):
                return a
        return None

    def memory(self) -> float:
        """How long what is known of a member counts.

        Failure prevented: a thin copy has forgotten that a member fails quickly before it draws it again.
        """
        return max(FADE, FADE_CALLS * self.gap * len(self.members))

    def draw_in_group(self, now: int, r: Request) -> Server | None:
        """A keyed request that may have run goes only to the servers that would discard its repeat."""
        first = r.ran_on
        group = self.settings.classes[r.klass].group
        assert first is not None
        pool = [
            m
            for m in self.able
            if group == Group.ALL
            or group == Group.ZONE
            and m.zone == first.zone
            or group == Group.CELL
            and m.cell == first.cell
        ]
        # Failure prevented: a cell with one server left has nowhere to send a repeat. The server that may
        # have run it drops its repeats as well as the others do, and an answer lost on the way says little
        # against it.
        others = [m for m in pool if m is not first and m is not r.last]
        return self.draw_two(now, others or [m for m in pool if m.ready_at <= r.ran_at])

    def is_silent(self, now: int, srv: Server) -> bool:
        """Ejects a member that holds several calls and has answered none for several mean round-trips."""
        if srv.in_flight > 1 and now - srv.quiet_since > SILENT_FACTOR * max(self.mean_rtt):
            self.eject(now, srv, silent=True)
        return srv.ejected

    def may_send(self, now: int, srv: Server) -> bool:
        """Slow start: a cold server takes its present share of what a warm member gets from this copy.

        Failure prevented: all nodes together push a cold server over. A bucket of one call that starts
        empty keeps this copy's part within any window.
        """
        if srv.cold_until <= now:
            return True
        s = self.settings
        warmth = s.cold_share + (1 - s.cold_share) * max(0.0, 1 - (srv.cold_until - now) / s.cold_time)
        srv.tokens = min(1.0, srv.tokens + self.warm_rate * warmth * (now - srv.tokens_at) / 1e6)
        srv.tokens_at = now
        if srv.tokens < 1:
            return False
        srv.tokens -= 1
        return True
