"""How outcomes change what a copy holds of its members: samples, averages, ejection, zones."""

from __future__ import annotations

from collections.abc import Sequence

from harecross.interface import Outcome
from harecross.policy import fleet_limits
from harecross.policy.controller import JITTER, MAX_LATE_FRACTION, MAX_LOST_WHEN_LATE
from harecross.policy.server_state import RETENTION_US, Server
from harecross.policy.subset import MAX_EJECTED_FRACTION, Copy, Request

SERVER_SMOOTHING = 0.1  # weight of the newest sample in a server's averages
REPORT_SMOOTHING = 0.5  # weight of the newest load report: a report is an average already
MAX_LOAD_COST = 1e9  # a report above it cannot be true
# A call costs 1/UTIL_ROOM at a fully busy server, 1/(1+UTIL_ROOM) at an idle one: more oscillates.
UTILIZATION_RESERVE = 0.5
MACHINE_TYPE_SMOOTHING = (
    0.05  # the same for the averages of a kind of machine, once it has answered a few calls
)
MIN_SLOWNESS, MAX_SLOWNESS = 0.25, 8.0  # one round-trip counts between these multiples of the mean
SUBSET_SMOOTHING = 0.02  # the same for averages over the whole subset
MIN_FAILURES = 3  # least failures in a row, or of recent calls, before ejection
EJECT_RATE_MARGIN = 0.3  # failure rate above the subset's own that ejects
BASE_EJECTION_US = 2_000_000  # first ejection; doubles up to 16 times
OUTLIER_SLOWNESS = 2.0  # a member so many times slower than the subset does not speak for it
NO_LOAD_SIGNAL = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.RESET)  # tell nothing of a server's load
FAILURE_RATE_PRIOR = 2  # a member's first outcomes count as if so many good ones had come before
CROSS_ZONE_GAIN = (
    0.1  # a window moves the share of calls that may leave the zone by this part of the imbalance
)
MAX_CROSS_ZONE_STEP = 0.04  # and by so much at most
CROSS_ZONE_COST_FACTOR = (
    10  # a call twice as slow is taken to lose a tenth of its worth, set against a crossing's price
)


class Health(Copy):
    """A copy that learns from outcomes."""

    def record_outcome(
        self, now: int, srv: Server, r: Request | None, outcome: Outcome, latency: int
    ) -> None:
        """Books an attempt's end: in-flight, samples, the server's averages, ejection."""
        srv.in_flight -= 1
        ctl = self.controller
        if not srv.excluded_from_limit:
            ctl.change_in_flight(now, -1, ctl.current_limit(), max(self.mean_rtt))
        srv.silent_since = now
        if outcome in (Outcome.CANCELLED, Outcome.NOT_SENT):
            return
        srv.last_outcome_at = now
        if len(self.zones) > 1:
            self.record_zone_outcome(now, srv, outcome)
        ok = outcome == Outcome.OK
        # Failure prevented: lost calls pass for overload, and a few in a hundred halve the limit. A time-out
        # tells of latency only while its server has answered nothing that was sent later.
        overtaken = r is not None and outcome == Outcome.TIMEOUT and srv.newest_answered_at > r.sent_at
        self.overtaken_timeouts += overtaken
        if r is not None and outcome != Outcome.TIMEOUT and outcome != Outcome.CONNECT_FAILED:
            srv.newest_answered_at = max(srv.newest_answered_at, r.sent_at)
        if r is not None and (ok or outcome == Outcome.TIMEOUT) and not overtaken:
            request_class = r.request_class
            if srv.slowness < OUTLIER_SLOWNESS and not srv.ejected:
                ctl.late_fraction += SUBSET_SMOOTHING * (
                    (latency > ctl.target[request_class]) - ctl.late_fraction
                )
                ctl.record_sample(now, request_class, latency)
            self.record_latency(srv, min(latency / self.mean_rtt[request_class], MAX_SLOWNESS))
            if srv.zone == self.settings.zone:
                self.local_latency_ratio += SUBSET_SMOOTHING * (
                    latency / ctl.target[request_class] - self.local_latency_ratio
                )
            else:
                self.remote_latency_ratio += SUBSET_SMOOTHING * (
                    latency / ctl.target[request_class] - self.remote_latency_ratio
                )
            off = latency - self.mean_rtt[request_class]
            self.rtt_deviation[request_class] += SUBSET_SMOOTHING * (
                abs(off) - self.rtt_deviation[request_class]
            )
            self.mean_rtt[request_class] += SUBSET_SMOOTHING * off
        srv.outcome_count += 1
        self.mean_outcome_interval += MACHINE_TYPE_SMOOTHING * (
            min(now - self.last_outcome_at, RETENTION_US) - self.mean_outcome_interval
        )
        self.last_outcome_at = now
        # Failure prevented: a member that turns every call away holds none of them and wins the draws; one
        # that loses answers costs each such call its whole time, and looks quick by those that it gives.
        lost = float(not ok)
        srv.failure_rate += max(SERVER_SMOOTHING, 1 / (srv.outcome_count + FAILURE_RATE_PRIOR)) * (
            lost - srv.failure_rate
        )
        self.failure_rate += SUBSET_SMOOTHING * (lost - self.failure_rate)
        bad = lost and outcome != Outcome.TIMEOUT
        # A reset, a failed connect or an overtaken time-out is a connection's end, and no sign of overload.
        if not (srv.ejected or overtaken or outcome in NO_LOAD_SIGNAL):
            ctl.lost_fraction += SUBSET_SMOOTHING * ((0.0 if ok else 1.0) - ctl.lost_fraction)
            if bad and r is not None and ctl.failures_mean_overload():
                # Failure prevented: the tiers below have lost servers, most calls sink work and come back as
                # errors, and errors that add no sample leave the limit where it was.
                ctl.record_failure(now, r.request_class)
        if ok:
            srv.consecutive_failures = 0
            if srv.ejected and (srv.probe_in_flight or srv.unresponsive):
                self.readmit(srv)
        elif bad:
            srv.consecutive_failures += 1
            if srv.ejected:
                if srv.probe_in_flight:
                    self.eject(now, srv, silent=False)
            elif self.is_failing(srv):
                # Failure prevented: a member that fails quickly holds few calls and wins the draws.
                self.eject(now, srv, silent=False)
        elif srv.probe_in_flight:
            self.eject(now, srv, silent=srv.unresponsive)
        elif not srv.ejected and srv.outcome_count >= MIN_FAILURES:
            # Where all lose calls it is overload, and nobody is an outlier: members' own rates rise together.
            usual = sum(m.failure_rate for m in self.members) / max(1, len(self.members))
            if srv.failure_rate > max(EJECT_RATE_MARGIN + usual, 2 * usual):
                self.eject(now, srv, silent=False)
        srv.probe_in_flight = False

    def is_failing(self, srv: Server) -> bool:
        """Fails in a row, or far more often than the others."""
        rate, row = srv.failure_rate, srv.consecutive_failures >= MIN_FAILURES
        return (
            row
            and rate > self.failure_rate * 2
            or srv.outcome_count >= MIN_FAILURES
            and rate > EJECT_RATE_MARGIN + self.failure_rate
        )

    def record_external_results(
        self, now: int, srv: Server, good: int, bad: int, report: Sequence[float]
    ) -> None:
        """Books what others saw: a probe (which is a trial as well), or the calls that a proxy reports."""
        if report and self.report_columns:
            self.record_load_report(srv, report)
        n = good + bad
        if n <= 0:
            return
        srv.last_outcome_at = now
        srv.outcome_count += n
        part = max(1 - (1 - SERVER_SMOOTHING) ** n, n / (srv.outcome_count + FAILURE_RATE_PRIOR))
        srv.failure_rate += part * (bad / n - srv.failure_rate)
        # Failure prevented: one proxy's thousand failures at one server pass for the failures of all.
        self.failure_rate += SUBSET_SMOOTHING * (bad / n - self.failure_rate)
        srv.consecutive_failures = 0 if good else srv.consecutive_failures + bad
        if srv.ejected:
            if now >= srv.next_probe_at and bad:
                self.eject(now, srv, silent=False)
            elif now >= srv.next_probe_at:
                self.readmit(srv)
        elif bad and self.is_failing(srv):
            self.eject(now, srv, silent=False)

    def record_latency(self, srv: Server, ratio: float) -> None:
        """Books a round-trip, in mean round-trips, to the member and to its kind."""
        kind = srv.machine_type
        kind.sample_count += 1
        kind.slowness += max(MACHINE_TYPE_SMOOTHING, 1 / (kind.sample_count + 1)) * (ratio - kind.slowness)
        srv.slowness = max(MIN_SLOWNESS, srv.slowness + SERVER_SMOOTHING * (ratio - srv.slowness))

    def record_load_report(self, srv: Server, report: Sequence[float]) -> None:
        """Books a load report: the time one more call would take there, by its speed and its load."""
        at = self.report_columns
        n = len(report)
        known = 0 <= at.get("latency_ms", -1) < n
        cost = max(report[at["latency_ms"]], 1e-3) if known else srv.slowness
        if 0 <= at.get("util", -1) < n:
            cost /= 1 + UTILIZATION_RESERVE - min(max(report[at["util"]], 0.0), 1.0)
        if 0 <= at.get("queue", -1) < n:
            cost *= 1 + max(report[at["queue"]], 0.0)
        if not 0 < cost < MAX_LOAD_COST:
            return  # a report that cannot be: one of them would stay in the averages for good
        kind = srv.machine_type
        kind.report_count += 1
        kind.load_cost += max(MACHINE_TYPE_SMOOTHING, 1 / kind.report_count) * (cost - kind.load_cost)
        srv.load_cost += (REPORT_SMOOTHING if srv.load_cost else 1.0) * (cost - srv.load_cost)
        self.mean_load_cost += (SUBSET_SMOOTHING if self.mean_load_cost else 1.0) * (
            cost - self.mean_load_cost
        )

    def eject(self, now: int, srv: Server, silent: bool) -> None:
        # Failure prevented: a drained server's last calls fail, it is ejected and later gets a trial call.
        if not srv.in_subset:
            return
        if not srv.ejected:
            if len(self.ejected) + 1 > MAX_EJECTED_FRACTION * len(self.members):
                return
            srv.ejected = True
            self.ejected.append(srv)
            self.actions.log_event(
                f"eject server={srv.id} silent={int(silent)} fail_rate={srv.failure_rate:.2f}"
            )
        srv.unresponsive = silent
        # Failure prevented: a thin copy sends an ejected member more trials than it would have drawn it.
        base = max(BASE_EJECTION_US, int(self.mean_outcome_interval * len(self.members)))
        srv.next_probe_at = now + int((base << min(srv.ejection_count, 4)) * (1 + JITTER * self.rng.random()))
        srv.ejection_count += 1
        self.next_probe_at = min(e.next_probe_at for e in self.ejected)
        self.classify_members()

    def stop_using(self, srv: Server) -> None:
        """The server drains or is gone: nothing new goes to it from now on."""
        srv.listed = False
        if srv.ejected:
            self.readmit(srv)
        srv.in_subset = False

    def readmit(self, srv: Server) -> None:
        srv.ejected = False
        srv.unresponsive = False
        srv.failure_rate = self.failure_rate
        srv.consecutive_failures = 0
        srv.ejection_count = max(0, srv.ejection_count - 1)
        self.ejected.remove(srv)
        if self.ejected:
            self.next_probe_at = min(e.next_probe_at for e in self.ejected)
        self.actions.log_event(f"readmit server={srv.id}")
        self.classify_members()

    def record_zone_outcome(self, now: int, srv: Server, outcome: Outcome) -> None:
        """A zone is watched as a member is: while it gives no answer it gets no calls but trials.

        Failure prevented: the network between two zones parts, half the members or more are out of reach,
        beyond what may be ejected, and each is found out by itself. Acts only while another zone answers.
        """
        zone = self.zones[srv.zone]
        if outcome not in (Outcome.TIMEOUT, Outcome.CONNECT_FAILED):
            zone.reset_unanswered()
            if zone.ejected:
                zone.ejected = False
                self.ejected_zones.remove(zone)
                self.actions.log_event(f"restore zone={zone.id}")
                self.refill(now)
            return
        if srv.id != zone.last_failed_server:
            zone.unanswered_servers += 1
            zone.last_failed_server = srv.id
        # Failure prevented: the first slow call to a zone seldom visited, cut off early, cuts off the zone.
        waited = now - zone.first_sent_at > min(c.latency_objective for c in self.settings.classes)
        silent = zone.sent_count >= MIN_FAILURES and waited
        if zone.ejected or not (silent or zone.unanswered_servers >= MIN_FAILURES):
            return
        if any(self.zones[m.zone].unanswered_servers == 0 for m in self.eligible):
            zone.ejected = True
            zone.probe_count = 0
            zone.next_probe_at = now + BASE_EJECTION_US
            self.ejected_zones.append(zone)
            self.actions.log_event(f"cut zone={zone.id}")
            self.refill(now)

    def on_window_end(self, now: int) -> None:
        """Slow bookkeeping, at most once a window: warm rate, class ranks, spill between zones."""
        span = now - self.window_started_at
        self.window_started_at = now
        warm = sum(m.slow_start_until <= now and not m.ejected for m in self.members)
        rate = -1.0
        if warm:
            rate = self.warm_send_count * 1e6 / span / warm
        elif self.members:
            rate = self.all_cold_fraction * self.request_count * 1e6 / span / len(self.members)
        ctl, most = self.controller, self.settings.overload_multiple
        good = ctl.late_fraction <= MAX_LATE_FRACTION and ctl.lost_fraction <= MAX_LOST_WHEN_LATE
        self.all_cold_fraction = fleet_limits.all_cold_fraction(
            self.all_cold_fraction, most, good, warm > 0, span
        )
        if rate >= 0:
            self.warm_server_rate += min(1.0, span / 2e6) * (rate - self.warm_server_rate)
        self.warm_send_count = self.request_count = 0
        self.rank_classes()
        # Calls leave the zone only as far as its own servers are slower than the others.
        if self.zone_aware and self.local:
            # Failure prevented: one zone's servers drown while another's stand idle. Unvisited, the other
            # zones are taken to do as well as this one did at its best.
            if self.local_latency_ratio < self.best_local_ratio or self.best_local_ratio == 0:
                self.best_local_ratio = self.local_latency_ratio
            if self.cross_zone_fraction < 0.05:
                self.remote_latency_ratio += SERVER_SMOOTHING * (
                    self.best_local_ratio - self.remote_latency_ratio
                )
            self.best_local_ratio *= 1.001
            patience = 1 + CROSS_ZONE_COST_FACTOR * self.settings.cross_zone_cost
            step = CROSS_ZONE_GAIN * (
                self.local_latency_ratio / max(self.remote_latency_ratio, 1e-9) - patience
            )
            self.cross_zone_fraction += min(MAX_CROSS_ZONE_STEP, max(-MAX_CROSS_ZONE_STEP, step))
            self.cross_zone_fraction = min(1.0, max(self.min_cross_zone_fraction, self.cross_zone_fraction))
