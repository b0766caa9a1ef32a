"""What one copy holds, its members among it: who they are and which of them may be drawn."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from random import Random

from harecross.interface import Actions, FinalReason, Idempotency, Settings
from harecross.policy import fleet_limits
from harecross.policy.controller import AIM_SHARE, GradientController
from harecross.policy.fleet_limits import MIN_LIMIT
from harecross.policy.members import MachineType, Server, Zone
from harecross.policy.shares import Shares

EJECT_SHARE = 0.34  # of the members, at most
TRY_ABOVE = 2  # further deviations for each tier below, which is to cut off first
ZONE_PRICE = 0.01  # calls keep to their zone only where a crossing costs this share of a request's worth
MAX_MACHINE_TYPES = 64  # kinds of machine remembered while no server of theirs is listed


@dataclass(slots=True, eq=False)
class Request:
    """An open request. At most one attempt is out at a time."""

    id: int
    request_class: int
    idempotency: Idempotency
    useful_until: int
    attempts: int = 0
    out: Server | None = None
    ran_on: Server | None = None  # the first server that may have run it
    ran_at: int = 0
    last: Server | None = None  # where the attempt before this one went
    sent_at: int = 0
    begun: bool = False
    held: bool = False
    parked: bool = False  # its body is still on the way
    cut: bool = False  # the per-try timeout ended the attempt that is out, and the next one is paid


class Copy:
    """One copy's state, and the keeping of its members."""

    def __init__(self, settings: Settings, seed: int, actions: Actions) -> None:
        self.settings = s = settings
        self.actions = actions
        self.rng = Random(seed)
        self.servers: dict[int, Server] = {}
        self.machine_types: dict[int, MachineType] = {}
        self.report_cost = {
            f: i for i, f in enumerate(s.report_fields) if f in ("latency_ms", "util", "queue")
        }
        self.final_reason = FinalReason.NO_SERVER  # of the last refusal or failure; read within that action
        self.zones: dict[int, Zone] = {}
        self.cut: list[Zone] = []
        self.members: list[Server] = []
        self.wanted = 0  # of them, in zones that are not cut off
        self.stand_ins: list[Server] = []  # members while too many others are in zones that are
        self.near: list[Server] = []  # members in this zone that may be drawn
        self.able: list[Server] = []  # all members that may be drawn
        self.ejected: list[Server] = []
        self.joined: list[Server] = []  # listed since the subset was last filled
        self.uneven = False  # members have different weights
        self.next_trial = 0
        self.requests: dict[int, Request] = {}
        self.waiting: deque[Request] = deque()
        classes = len(s.classes)
        share = AIM_SHARE * (s.tiers - s.tier) / s.tiers
        self.controller = GradientController(
            [int(c.latency_objective * share) for c in s.classes], s.max_open, self.rng, 0
        )
        self.mean_rtt = [c.latency_objective * share / 2 for c in s.classes]  # until measured
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
        self.zoned = s.cross_zone_cost >= ZONE_PRICE
        self.spill = 0.0 if self.zoned else 1.0  # share of calls that may leave the zone
        self.spill_least = self.spill
        self.spill_at = 0
        self.retry_tokens = float(MIN_LIMIT)
        self.shares = Shares([t.quota / s.instance_count for t in s.tenants])
        self.rank = [0] * classes
        self.warm_rate = 0.0  # sends a second to a warm member, smoothed
        self.warm_sent = 0
        self.cold_part = 0.0  # of an even part of what is asked for: what members may get while all are cold
        self.asked = 0  # requests since the last window
        self.blocked = 0  # rq_blocked
        self.rank_classes()

    def rank_classes(self) -> None:
        """Rank 1 for classes whose worth for their time is under half the best class's."""
        density = [
            c.priority_weight / max(1.0, self.mean_rtt[i]) for i, c in enumerate(self.settings.classes)
        ]
        best = max(density)
        self.rank = [int(d < best / 2) for d in density]

    def forget_gone(self) -> None:
        for key in [k for k, srv in self.servers.items() if not srv.in_list and srv.in_flight == 0]:
            del self.servers[key]
        # Failure prevented: names of zones and kinds that are ever new pile up.
        used = {srv.zone for srv in self.servers.values()}
        if len(self.zones) > len(used):
            self.zones = {k: zone for k, zone in self.zones.items() if k in used or zone.cut}
        if len(self.machine_types) > MAX_MACHINE_TYPES:
            kept = {srv.machine_type for srv in self.servers.values()}
            self.machine_types = {k: kind for k, kind in self.machine_types.items() if kind in kept}

    def refill(self, now: int) -> None:
        """Members that left are replaced by random others, up to the bound; who joins may replace one."""
        joined, self.joined = (self.joined if self.members else []), []
        self.members = [m for m in self.members if m.member]
        self.stand_ins = [m for m in self.stand_ins if m.member]
        listed = sum(srv.in_list for srv in self.servers.values())
        self.wanted = wanted = fleet_limits.subset(
            listed, self.settings.instance_count, self.settings.subset_max
        )
        # Failure prevented: a node in a zone that is cut off from the others has one or two members left of
        # its subset, and buries them under all its calls while the zone's other servers are idle.
        away = sum(self.zones[m.zone].cut for m in self.members)
        whole = away <= EJECT_SHARE * (len(self.members) - len(self.stand_ins))
        have = len(self.members) - (0 if whole else away)
        if have < wanted:
            free = [srv for _, srv in sorted(self.servers.items()) if srv.in_list and not srv.member]
            pool = [srv for srv in free if whole or not self.zones[srv.zone].cut]
            while pool and have < wanted:
                i = int(self.rng.random() * len(pool))
                pool[i], pool[-1] = pool[-1], pool[i]
                srv = pool.pop()
                srv.member = True
                self.members.append(srv)
                have += 1
                if not whole:
                    self.stand_ins.append(srv)
        # Failure prevented: a release drains servers before it brings others. Every subset has been refilled
        # by those that stay, none has a place for the new ones: they stand idle while the old are buried. Who
        # joins takes a random member's place, as often as keeps all subsets equally likely (Vitter, 1985).
        for srv in joined if whole else ():
            if srv.in_list and not srv.member and self.rng.random() * listed < len(self.members):
                i = int(self.rng.random() * len(self.members))
                old = self.members[i]
                if not old.ejected and not self.zones[old.zone].cut:
                    old.member, srv.member, self.members[i] = False, True, srv
                    self.actions.close_idle(old.id)
        if whole and self.stand_ins:
            for srv in self.stand_ins:
                srv.member = srv.ejected
            self.stand_ins.clear()
            self.members = [m for m in self.members if m.member]
        self.controller.resize(len(self.members), listed, self.settings.instance_count)
        if self.zoned and self.members:
            near = sum(m.zone == self.settings.zone for m in self.members)
            self.spill_least = fleet_limits.leaving_zone(
                near, len(self.members), self.settings.instance_count
            )
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
        self.controller.reach(min(1.0, max(1, len(self.able)) / max(1.0, self.wanted * (1 - EJECT_SHARE))))
        self.near = [m for m in self.able if m.zone == self.settings.zone]
        self.uneven = len({m.weight for m in self.able}) > 1
