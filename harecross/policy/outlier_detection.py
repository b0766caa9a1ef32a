"""Outlier detection: for a while, members and zones that fail get no requests other than recovery probes."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random

from harecross.interface import Actions, Outcome
from harecross.policy.controller import JITTER
from harecross.policy.records import Server, Zone
from harecross.policy.subset import MAX_EJECTED_FRACTION, Subset
from harecross.policy.traffic_stats import TrafficStats

MIN_FAILURES = 3  # smallest number of consecutive failures, or of outcomes, that can eject
FAILURE_RATE_MARGIN = 0.3  # a failure rate that exceeds the subset's own by more than this ejects
BASE_EJECTION_US = 2_000_000  # duration of the first ejection
MAX_DOUBLINGS = 4  # the duration doubles with each further ejection, this many times at most
UNRESPONSIVE_RTTS = 4  # a member is unresponsive after this many mean round-trips without an outcome

# Outcomes of attempts that got no response of any kind from the server.
UNANSWERED = (Outcome.TIMEOUT, Outcome.CONNECT_FAILED)


@dataclass(slots=True, eq=False)
class OutlierDetector:
    """Ejects and readmits members and zones, and decides when their recovery probes are due.

    Attributes:
        min_objective: The shortest latency objective of all classes.
        next_probe_at: The earliest time when an ejected member is due for a recovery probe.
    """

    rng: Random
    actions: Actions
    subset: Subset
    traffic: TrafficStats
    min_objective: int
    ejected: list[Server] = field(default_factory=list)
    ejected_zones: list[Zone] = field(default_factory=list)
    next_probe_at: int = 0

    def record_outcome(self, now: int, server: Server, *, ok: bool, timed_out: bool) -> None:
        """Ejects a member that fails or times out too often; readmits one whose recovery probe succeeds."""
        if ok:
            server.consecutive_failures = 0
            if server.ejected and (server.probing or server.unresponsive):
                self.readmit(server)
        elif not timed_out:
            server.consecutive_failures += 1
            if server.probing if server.ejected else self._is_failing(server):
                self.eject(now, server, unresponsive=False)
        elif server.probing:
            self.eject(now, server, unresponsive=server.unresponsive)
        elif not server.ejected and server.outcomes >= MIN_FAILURES and self._is_losing_requests(server):
            self.eject(now, server, unresponsive=False)
        server.probing = False

    def record_outcomes(self, now: int, server: Server, good: int, bad: int, report: Sequence[float]) -> None:
        """Records outcomes that were observed elsewhere: health checks or the requests of a proxy.

        Once a recovery probe of an ejected member is due, they count as one.
        """
        if report and self.traffic.report_columns:
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
        elif bad and self._is_failing(server):
            self.eject(now, server, unresponsive=False)

    def _is_failing(self, server: Server) -> bool:
        """Returns whether the server fails several times in a row, or far more often than the subset."""
        rate, mean = server.failure_rate, self.traffic.failure_rate
        consecutive = server.consecutive_failures >= MIN_FAILURES and rate > mean * 2
        return consecutive or (server.outcomes >= MIN_FAILURES and rate > FAILURE_RATE_MARGIN + mean)

    def _is_losing_requests(self, server: Server) -> bool:
        """Returns whether the server fails far more often than the mean member.

        The comparison is with all members because in an overload all of them lose requests.
        """
        members = self.subset.members
        mean = sum(member.failure_rate for member in members) / max(1, len(members))
        return server.failure_rate > max(FAILURE_RATE_MARGIN + mean, 2 * mean)

    def is_unresponsive(self, now: int, server: Server) -> bool:
        """Returns whether a member is ejected; ejects one that has long answered none of several requests."""
        idle = now - server.last_progress_at
        if server.in_flight > 1 and idle > UNRESPONSIVE_RTTS * max(self.traffic.mean_rtt):
            self.eject(now, server, unresponsive=True)
        return server.ejected

    def eject(self, now: int, server: Server, *, unresponsive: bool) -> None:
        """Ejects a member or extends its ejection, unless too many members are ejected."""
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
        # With little traffic, probes must not be more frequent than normal picks of the member would be.
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
        server.consecutive_failures = 0
        server.ejections = max(0, server.ejections - 1)
        self.ejected.remove(server)
        if self.ejected:
            self.next_probe_at = min(member.next_probe_at for member in self.ejected)
        self.actions.log_event(f"readmit server={server.id}")
        self.subset.classify_members()

    def remove(self, server: Server) -> None:
        """Removes a server that drains or is gone.

        Its last requests may fail, so it must leave the subset: an ejected member would get recovery probes.
        """
        server.listed = False
        if server.ejected:
            self.readmit(server)
        server.in_subset = False

    def record_zone_outcome(self, now: int, server: Server, outcome: Outcome) -> None:
        """Ejects a zone that does not answer while another zone does; any response readmits it."""
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
        # A slow first request that was given up early must not eject a zone that is seldom used.
        unresponsive = zone.sends >= MIN_FAILURES and now - zone.first_send_at > self.min_objective
        if zone.ejected or not (unresponsive or zone.unanswered >= MIN_FAILURES):
            return
        if any(self.subset.zones[member.zone].unanswered == 0 for member in self.subset.eligible):
            self.eject_zone(zone, now + BASE_EJECTION_US)
            self.actions.log_event(f"cut zone={zone.id}")
            self.subset.refill()

    def eject_zone(self, zone: Zone, next_probe_at: int) -> None:
        """Marks the zone as ejected; the caller refills the subset."""
        zone.ejected = True
        zone.probes = 0
        zone.next_probe_at = next_probe_at
        self.ejected_zones.append(zone)
