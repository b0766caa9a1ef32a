"""What one copy holds, its members among it: who they are and which of them may be drawn."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from random import Random

from harecross.interface import Actions, FinalReason, Idempotency, Settings
from harecross.policy import fleet_limits
from harecross.policy.controller import OBJECTIVE_FRACTION, GradientController
from harecross.policy.fleet_limits import MIN_CONCURRENCY
from harecross.policy.server_state import MachineType, Server, Zone
from harecross.policy.tenant_quotas import TenantQuotas

MAX_EJECTED_FRACTION = 0.34  # of the members, at most
DEVIATIONS_PER_TIER = 2  # further deviations for each tier below, which is to cut off first
MIN_CROSS_ZONE_COST = (
    0.01  # calls keep to their zone only where a crossing costs this share of a request's worth
)
MAX_MACHINE_TYPES = 64  # kinds of machine remembered while no server of theirs is listed


@dataclass(slots=True, eq=False)
class Request:
    """An open request. At most one attempt is out at a time."""

    id: int
    request_class: int
    idempotency: Idempotency
    deadline: int
    attempts: int = 0
    server: Server | None = None
    may_have_run_on: Server | None = None  # the first server that may have run it
    may_have_run_at: int = 0
    previous_server: Server | None = None  # where the attempt before this one went
    sent_at: int = 0
    response_begun: bool = False
    queued: bool = False
    upload_parked: bool = False  # its body is still on the way
    timed_out_per_try: bool = (
        False  # the per-try timeout ended the attempt that is out, and the next one is paid
    )


class Copy:
    """One copy's state, and the keeping of its members."""

    def __init__(self, settings: Settings, seed: int, actions: Actions) -> None:
        self.settings = s = settings
        self.actions = actions
        self.rng = Random(seed)
        self.servers: dict[int, Server] = {}
        self.machine_types: dict[int, MachineType] = {}
        self.report_columns = {
            f: i for i, f in enumerate(s.report_fields) if f in ("latency_ms", "util", "queue")
        }
        self.final_reason = FinalReason.NO_SERVER  # of the last refusal or failure; read within that action
        self.zones: dict[int, Zone] = {}
        self.ejected_zones: list[Zone] = []
        self.members: list[Server] = []
        self.target_size = 0  # of them, in zones that are not cut off
        self.substitutes: list[Server] = []  # members while too many others are in zones that are
        self.local: list[Server] = []  # members in this zone that may be drawn
        self.eligible: list[Server] = []  # all members that may be drawn
        self.ejected: list[Server] = []
        self.newly_listed: list[Server] = []  # listed since the subset was last filled
        self.weighted = False  # members have different weights
        self.next_probe_at = 0
        self.requests: dict[int, Request] = {}
        self.queue: deque[Request] = deque()
        classes = len(s.classes)
        share = OBJECTIVE_FRACTION * (s.tiers - s.tier) / s.tiers
        self.controller = GradientController(
            [int(c.latency_objective * share) for c in s.classes], s.max_open, self.rng, 0
        )
        self.mean_rtt = [c.latency_objective * share / 2 for c in s.classes]  # until measured
        self.rtt_deviation = [m / 2 for m in self.mean_rtt]
        self.tier_retry_margin = DEVIATIONS_PER_TIER * (s.tiers - 1 - s.tier)
        self.per_try_timeouts = self.overtaken_timeouts = (
            0  # per-try timeouts; time-outs whose server had answered later calls
        )
        self.mean_load_cost = 0.0  # of what members report, smoothed
        self.mean_outcome_interval = 0.0  # time between outcomes, smoothed
        self.last_outcome_at = 0
        self.failure_rate = 0.0
        self.local_latency_ratio = (
            0.5  # mean latency over what the class can bear, for servers of this zone...
        )
        self.remote_latency_ratio = 0.5  # ...and of the others
        self.best_local_ratio = 0.0
        self.zone_aware = s.cross_zone_cost >= MIN_CROSS_ZONE_COST
        self.cross_zone_fraction = 0.0 if self.zone_aware else 1.0  # share of calls that may leave the zone
        self.min_cross_zone_fraction = self.cross_zone_fraction
        self.window_started_at = 0
        self.retry_tokens = float(MIN_CONCURRENCY)
        self.tenant_quotas = TenantQuotas([t.quota / s.instance_count for t in s.tenants])
        self.class_rank = [0] * classes
        self.warm_server_rate = 0.0  # sends a second to a warm member, smoothed
        self.warm_send_count = 0
        self.all_cold_fraction = (
            0.0  # of an even part of what is asked for: what members may get while all are cold
        )
        self.request_count = 0  # requests since the last window
        self.blocked_count = 0  # rq_blocked
        self.rank_classes()

    def rank_classes(self) -> None:
        """Rank 1 for classes whose worth for their time is under half the best class's."""
        density = [
            c.priority_weight / max(1.0, self.mean_rtt[i]) for i, c in enumerate(self.settings.classes)
        ]
        best = max(density)
        self.class_rank = [int(d < best / 2) for d in density]

    def remove_unused(self) -> None:
        for key in [k for k, srv in self.servers.items() if not srv.listed and srv.in_flight == 0]:
            del self.servers[key]
        # Failure prevented: names of zones and kinds that are ever new pile up.
        used = {srv.zone for srv in self.servers.values()}
        if len(self.zones) > len(used):
            self.zones = {k: zone for k, zone in self.zones.items() if k in used or zone.ejected}
        if len(self.machine_types) > MAX_MACHINE_TYPES:
            kept = {srv.machine_type for srv in self.servers.values()}
            self.machine_types = {k: kind for k, kind in self.machine_types.items() if kind in kept}

    def refill(self, now: int) -> None:
        """Members that left are replaced by random others, up to the bound; who joins may replace one."""
        joined, self.newly_listed = (self.newly_listed if self.members else []), []
        self.members = [m for m in self.members if m.in_subset]
        self.substitutes = [m for m in self.substitutes if m.in_subset]
        listed = sum(srv.listed for srv in self.servers.values())
        self.target_size = wanted = fleet_limits.subset_size(
            listed, self.settings.instance_count, self.settings.subset_max
        )
        # Failure prevented: a node in a zone that is cut off from the others has one or two members left of
        # its subset, and buries them under all its calls while the zone's other servers are idle.
        away = sum(self.zones[m.zone].ejected for m in self.members)
        whole = away <= MAX_EJECTED_FRACTION * (len(self.members) - len(self.substitutes))
        have = len(self.members) - (0 if whole else away)
        if have < wanted:
            free = [srv for _, srv in sorted(self.servers.items()) if srv.listed and not srv.in_subset]
            pool = [srv for srv in free if whole or not self.zones[srv.zone].ejected]
            while pool and have < wanted:
                i = int(self.rng.random() * len(pool))
                pool[i], pool[-1] = pool[-1], pool[i]
                srv = pool.pop()
                srv.in_subset = True
                self.members.append(srv)
                have += 1
                if not whole:
                    self.substitutes.append(srv)
        # Failure prevented: a release drains servers before it brings others. Every subset has been refilled
        # by those that stay, none has a place for the new ones: they stand idle while the old are buried. Who
        # joins takes a random member's place, as often as keeps all subsets equally likely (Vitter, 1985).
        for srv in joined if whole else ():
            if srv.listed and not srv.in_subset and self.rng.random() * listed < len(self.members):
                i = int(self.rng.random() * len(self.members))
                old = self.members[i]
                if not old.ejected and not self.zones[old.zone].ejected:
                    old.in_subset, srv.in_subset, self.members[i] = False, True, srv
                    self.actions.close_idle(old.id)
        if whole and self.substitutes:
            for srv in self.substitutes:
                srv.in_subset = srv.ejected
            self.substitutes.clear()
            self.members = [m for m in self.members if m.in_subset]
        self.controller.resize(len(self.members), listed, self.settings.instance_count)
        if self.zone_aware and self.members:
            near = sum(m.zone == self.settings.zone for m in self.members)
            self.min_cross_zone_fraction = fleet_limits.min_cross_zone_fraction(
                near, len(self.members), self.settings.instance_count
            )
            self.cross_zone_fraction = max(self.cross_zone_fraction, self.min_cross_zone_fraction)
        self.classify_members()

    def classify_members(self) -> None:
        self.eligible = []
        for m in self.members:
            aside = m.ejected or self.zones[m.zone].ejected
            if not aside:
                self.eligible.append(m)
            if aside != m.excluded_from_limit:
                # Failure prevented: calls stuck on a silent member fill the limit for all the others.
                self.controller.in_flight += -m.in_flight if aside else m.in_flight
                m.excluded_from_limit = aside
        self.controller.scale_to_subset(
            min(1.0, max(1, len(self.eligible)) / max(1.0, self.target_size * (1 - MAX_EJECTED_FRACTION)))
        )
        self.local = [m for m in self.eligible if m.zone == self.settings.zone]
        self.weighted = len({m.weight for m in self.eligible}) > 1
