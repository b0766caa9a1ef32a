"""Outlier detection: members and zones that fail get no requests but recovery probes for a while."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random

from harecross.interface import Actions, Outcome
from harecross.policy.controller import JITTER
from harecross.policy.records import Server, Zone
from harecross.policy.subset import MAX_EJECTED_FRACTION, Subset
from harecross.policy.traffic_stats import TrafficStats

MIN_FAILURES = 3  # least failures in a row, or of recent outcomes, before an ejection
FAILURE_RATE_MARGIN = 0.3  # failure rate above the subset's own that ejects
BASE_EJECTION_US = 2_000_000  # of the first ejection; it doubles with each further one...
MAX_DOUBLINGS = 4  # ...so many times
UNRESPONSIVE_RTTS = 4  # mean round-trips without an outcome after which a member is unresponsive

UNANSWERED = (Outcome.TIMEOUT, Outcome.CONNECT_FAILED)


@dataclass(slots=True, eq=False)
class OutlierDetector:
    """Which members and zones are ejected, and when they get their next recovery probes."""

    rng: Random
    actions: Actions
    subset: Subset
    traffic: TrafficStats
    min_objective: int  # the least latency objective of all classes
    ejected: list[Server] = field(default_factory=list)
    ejected_zones: list[Zone] = field(default_factory=list)
    next_probe_at: int = 0  # the earliest of the ejected members

    def record_outcome(self, now: int, server: Server, *, ok: bool, timed_out: bool) -> None:
        """Ejects a member that fails or loses requests; readmits one whose recovery probe succeeds."""
        if ok:
            server.failures_in_row = 0
            if server.ejected and (server.probing or server.unresponsive):
                self.readmit(server)
        elif not timed_out:
            server.failures_in_row += 1
            if server.probing if server.ejected else self._fails(server):
                self.eject(now, server, unresponsive=False)
        elif server.probing:
            self.eject(now, server, unresponsive=server.unresponsive)
        elif not server.ejected and server.outcomes >= MIN_FAILURES and self._loses_requests(server):
            self.eject(now, server, unresponsive=False)
        server.probing = False

    def record_outcomes(self, now: int, server: Server, good: int, bad: int, report: Sequence[float]) -> None:
        """Outcomes that others saw: health checks, which are recovery probes too, or a proxy's requests."""
        if report and self.traffic.columns:
            self.traffic.record_load_report(server, report)
        if good + bad <= 0:
            return
        server.last_outcome_at = now
        self.traffic.record_outcomes(server, good, bad)
        if server.ejected:
            if now >= server.next_probe_at and bad:
                self.eject(now, server, unresponsive=False)
            elif now >= server.next_probe_at:
                self.readmit(server)
        elif bad and self._fails(server):
            self.eject(now, server, unresponsive=False)

    def _fails(self, server: Server) -> bool:
        """Whether it fails several times in a row, or far more often than the subset."""
        rate, mean = server.failure_rate, self.traffic.failure_rate
        in_row = server.failures_in_row >= MIN_FAILURES and rate > mean * 2
        return in_row or (server.outcomes >= MIN_FAILURES and rate > FAILURE_RATE_MARGIN + mean)

    def _loses_requests(self, server: Server) -> bool:
        """Whether it fails far more often than the members; in an overload all of them lose requests."""
        members = self.subset.members
        mean = sum(member.failure_rate for member in members) / max(1, len(members))
        return server.failure_rate > max(FAILURE_RATE_MARGIN + mean, 2 * mean)

    def is_unresponsive(self, now: int, server: Server) -> bool:
        """Ejects a member with several requests in flight that has answered none for long."""
        quiet = now - server.last_progress_at
        if server.in_flight > 1 and quiet > UNRESPONSIVE_RTTS * max(self.traffic.mean_rtt):
            self.eject(now, server, unresponsive=True)
        return server.ejected

    def eject(self, now: int, server: Server, *, unresponsive: bool) -> None:
        """Ejects a member, or prolongs its ejection, unless too many are ejected."""
        if not server.in_subset:
            return
        if not server.ejected:
            if len(self.ejected) + 1 > MAX_EJECTED_FRACTION * len(self.subset.members):
                return
            server.ejected = True
            self.ejected.append(server)
            reason = f"silent={int(unresponsive)} fail_rate={server.failure_rate:.2f}"
            self.actions.log_event(f"eject server={server.id} {reason}")
        server.unresponsive = unresponsive
        # A node with little traffic must not probe the member more often than it would have picked it.
        base = max(BASE_EJECTION_US, int(self.traffic.outcome_interval * len(self.subset.members)))
        duration = base << min(server.ejections, MAX_DOUBLINGS)
        server.next_probe_at = now + int(duration * (1 + JITTER * self.rng.random()))
        server.ejections += 1
        self.next_probe_at = min(member.next_probe_at for member in self.ejected)
        self.subset.classify_members()

    def readmit(self, server: Server) -> None:
        """Ends an ejection."""
        server.ejected = server.unresponsive = False
        server.failure_rate = self.traffic.failure_rate
        server.failures_in_row = 0
        server.ejections = max(0, server.ejections - 1)
        self.ejected.remove(server)
        if self.ejected:
            self.next_probe_at = min(member.next_probe_at for member in self.ejected)
        self.actions.log_event(f"readmit server={server.id}")
        self.subset.classify_members()

    def remove(self, server: Server) -> None:
        """The server drains or is gone; its last requests may fail, and it gets no recovery probe."""
        server.listed = False
        if server.ejected:
            self.readmit(server)
        server.in_subset = False

    def record_zone_outcome(self, now: int, server: Server, outcome: Outcome) -> None:
        """Ejects a zone that gives no answer while another one answers; any answer restores it."""
        zone = self.subset.zones[server.zone]
        if outcome not in UNANSWERED:
            zone.sends = zone.first_send_at = zone.unanswered = 0
            if zone.ejected:
                zone.ejected = False
                self.ejected_zones.remove(zone)
                self.actions.log_event(f"restore zone={zone.id}")
                self.subset.refill()
            return
        if server.id != zone.last_failed:
            zone.unanswered += 1
            zone.last_failed = server.id
        # A slow first request to a zone that is seldom used, given up early, is no sign.
        silent = zone.sends >= MIN_FAILURES and now - zone.first_send_at > self.min_objective
        if zone.ejected or not (silent or zone.unanswered >= MIN_FAILURES):
            return
        if any(self.subset.zones[member.zone].unanswered == 0 for member in self.subset.eligible):
            self.eject_zone(zone, now + BASE_EJECTION_US)
            self.actions.log_event(f"cut zone={zone.id}")
            self.subset.refill()

    def eject_zone(self, zone: Zone, next_probe_at: int) -> None:
        """Marks the zone as ejected; the caller renews the subset."""
        zone.ejected = True
        zone.probes = 0
        zone.next_probe_at = next_probe_at
        self.ejected_zones.append(zone)
