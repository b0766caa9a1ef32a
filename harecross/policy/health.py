"""How outcomes change what a copy holds of its members: samples, averages, ejection, zones."""

from __future__ import annotations

from collections.abc import Sequence

from harecross.interface import Outcome
from harecross.policy import fleet_limits
from harecross.policy.controller import LATE_MOST, LOST_LATE, PASS_JITTER
from harecross.policy.members import FADE, Server
from harecross.policy.state import EJECT_SHARE, Copy, Request

SMOOTH = 0.1  # weight of the newest sample in a server's averages
SMOOTH_REPORT = 0.5  # weight of the newest load report: a report is an average already
LARGEST_COST = 1e9  # a report above it cannot be true
# A call costs 1/UTIL_ROOM at a fully busy server, 1/(1+UTIL_ROOM) at an idle one: more oscillates.
UTIL_ROOM = 0.5
SMOOTH_KIND = 0.05  # the same for the averages of a kind of machine, once it has answered a few calls
FASTEST, SLOWEST = 0.25, 8.0  # one round-trip counts between these multiples of the mean
SMOOTH_ALL = 0.02  # the same for averages over the whole subset
EJECT_FAILS = 3  # least failures in a row, or of recent calls, before ejection
EJECT_RATE = 0.3  # failure rate above the subset's own that ejects
EJECT_TIME = 2_000_000  # first ejection; doubles up to 16 times
OUTLIER = 2.0  # a member so many times slower than the subset does not speak for it
UNLOADED = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.RESET)  # tell nothing of a server's load
FAIL_PRIOR = 2  # a member's first outcomes count as if so many good ones had come before
SPILL_GAIN = 0.1  # a window moves the share of calls that may leave the zone by this part of the imbalance
SPILL_STEP = 0.04  # and by so much at most
CROSSING = 10  # a call twice as slow is taken to lose a tenth of its worth, set against a crossing's price


class Health(Copy):
    """A copy that learns from outcomes."""

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
            request_class = r.request_class
            if srv.slowness < OUTLIER and not srv.ejected:
                ctl.late += SMOOTH_ALL * ((latency > ctl.target[request_class]) - ctl.late)
                ctl.sample(now, request_class, latency)
            self.learn_speed(srv, min(latency / self.mean_rtt[request_class], SLOWEST))
            if srv.zone == self.settings.zone:
                self.near_ratio += SMOOTH_ALL * (latency / ctl.target[request_class] - self.near_ratio)
            else:
                self.far_ratio += SMOOTH_ALL * (latency / ctl.target[request_class] - self.far_ratio)
            off = latency - self.mean_rtt[request_class]
            self.deviation[request_class] += SMOOTH_ALL * (abs(off) - self.deviation[request_class])
            self.mean_rtt[request_class] += SMOOTH_ALL * off
        srv.calls += 1
        self.gap += SMOOTH_KIND * (min(now - self.ended_at, FADE) - self.gap)
        self.ended_at = now
        # Failure prevented: a member that turns every call away holds none of them and wins the draws; one
        # that loses answers costs each such call its whole time, and looks quick by those that it gives.
        lost = float(not ok)
        srv.fail_rate += max(SMOOTH, 1 / (srv.calls + FAIL_PRIOR)) * (lost - srv.fail_rate)
        self.fail_rate += SMOOTH_ALL * (lost - self.fail_rate)
        bad = lost and outcome != Outcome.TIMEOUT
        # A reset, a failed connect or an overtaken time-out is a connection's end, and no sign of overload.
        if not (srv.ejected or overtaken or outcome in UNLOADED):
            ctl.lost += SMOOTH_ALL * ((0.0 if ok else 1.0) - ctl.lost)
            if bad and r is not None and ctl.losing():
                # Failure prevented: the tiers below have lost servers, most calls sink work and come back as
                # errors, and errors that add no sample leave the limit where it was.
                ctl.failure(now, r.request_class)
        if ok:
            srv.fails_in_row = 0
            if srv.ejected and (srv.trial_out or srv.silent):
                self.readmit(srv)
        elif bad:
            srv.fails_in_row += 1
            if srv.ejected:
                if srv.trial_out:
                    self.eject(now, srv, silent=False)
            elif self.failing(srv):
                # Failure prevented: a member that fails quickly holds few calls and wins the draws.
                self.eject(now, srv, silent=False)
        elif srv.trial_out:
            self.eject(now, srv, silent=srv.silent)
        elif not srv.ejected and srv.calls >= EJECT_FAILS:
            # Where all lose calls it is overload, and nobody is an outlier: members' own rates rise together.
            usual = sum(m.fail_rate for m in self.members) / max(1, len(self.members))
            if srv.fail_rate > max(EJECT_RATE + usual, 2 * usual):
                self.eject(now, srv, silent=False)
        srv.trial_out = False

    def failing(self, srv: Server) -> bool:
        """Fails in a row, or far more often than the others."""
        rate, row = srv.fail_rate, srv.fails_in_row >= EJECT_FAILS
        return (
            row
            and rate > self.fail_rate * 2
            or srv.calls >= EJECT_FAILS
            and rate > EJECT_RATE + self.fail_rate
        )

    def observe(self, now: int, srv: Server, good: int, bad: int, report: Sequence[float]) -> None:
        """Books what others saw: a probe (which is a trial as well), or the calls that a proxy reports."""
        if report and self.report_cost:
            self.learn_cost(srv, report)
        n = good + bad
        if n <= 0:
            return
        srv.seen_at = now
        srv.calls += n
        part = max(1 - (1 - SMOOTH) ** n, n / (srv.calls + FAIL_PRIOR))
        srv.fail_rate += part * (bad / n - srv.fail_rate)
        # Failure prevented: one proxy's thousand failures at one server pass for the failures of all.
        self.fail_rate += SMOOTH_ALL * (bad / n - self.fail_rate)
        srv.fails_in_row = 0 if good else srv.fails_in_row + bad
        if srv.ejected:
            if now >= srv.trial_at and bad:
                self.eject(now, srv, silent=False)
            elif now >= srv.trial_at:
                self.readmit(srv)
        elif bad and self.failing(srv):
            self.eject(now, srv, silent=False)

    def learn_speed(self, srv: Server, ratio: float) -> None:
        """Books a round-trip, in mean round-trips, to the member and to its kind."""
        kind = srv.machine_type
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
        kind = srv.machine_type
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
            self.actions.log_event(
                f"eject server={srv.id} silent={int(silent)} fail_rate={srv.fail_rate:.2f}"
            )
        srv.silent = silent
        # Failure prevented: a thin copy sends an ejected member more trials than it would have drawn it.
        base = max(EJECT_TIME, int(self.gap * len(self.members)))
        srv.trial_at = now + int((base << min(srv.ejections, 4)) * (1 + PASS_JITTER * self.rng.random()))
        srv.ejections += 1
        self.next_trial = min(e.trial_at for e in self.ejected)
        self.sort_members()

    def drop(self, srv: Server) -> None:
        """The server drains or is gone: nothing new goes to it from now on."""
        srv.in_list = False
        if srv.ejected:
            self.readmit(srv)
        srv.member = False

    def readmit(self, srv: Server) -> None:
        srv.ejected = False
        srv.silent = False
        srv.fail_rate = self.fail_rate
        srv.fails_in_row = 0
        srv.ejections = max(0, srv.ejections - 1)
        self.ejected.remove(srv)
        if self.ejected:
            self.next_trial = min(e.trial_at for e in self.ejected)
        self.actions.log_event(f"readmit server={srv.id}")
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
                self.actions.log_event(f"restore zone={zone.id}")
                self.refill(now)
            return
        if srv.id != zone.last_bad:
            zone.unanswered += 1
            zone.last_bad = srv.id
        # Failure prevented: the first slow call to a zone seldom visited, cut off early, cuts off the zone.
        waited = now - zone.sent_since > min(c.latency_objective for c in self.settings.classes)
        silent = zone.sent >= EJECT_FAILS and waited
        if zone.cut or not (silent or zone.unanswered >= EJECT_FAILS):
            return
        if any(self.zones[m.zone].unanswered == 0 for m in self.able):
            zone.cut = True
            zone.trials = 0
            zone.trial_at = now + EJECT_TIME
            self.cut.append(zone)
            self.actions.log_event(f"cut zone={zone.id}")
            self.refill(now)

    def each_window(self, now: int) -> None:
        """Slow bookkeeping, at most once a window: warm rate, class ranks, spill between zones."""
        span = now - self.spill_at
        self.spill_at = now
        warm = sum(m.cold_until <= now and not m.ejected for m in self.members)
        rate = -1.0
        if warm:
            rate = self.warm_sent * 1e6 / span / warm
        elif self.members:
            rate = self.cold_part * self.asked * 1e6 / span / len(self.members)
        ctl, most = self.controller, self.settings.overload_multiple
        good = ctl.late <= LATE_MOST and ctl.lost <= LOST_LATE
        self.cold_part = fleet_limits.cold_part(self.cold_part, most, good, warm > 0, span)
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
            patience = 1 + CROSSING * self.settings.cross_zone_cost
            step = SPILL_GAIN * (self.near_ratio / max(self.far_ratio, 1e-9) - patience)
            self.spill += min(SPILL_STEP, max(-SPILL_STEP, step))
            self.spill = min(1.0, max(self.spill_least, self.spill))
