"""The subset: the servers that one node calls, a random choice among those listed."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from harecross.interface import Actions, Endpoint, Settings
from harecross.policy import fleet_limits
from harecross.policy.controller import GradientController
from harecross.policy.records import MachineType, Server, Zone
from harecross.policy.zone_preference import ZonePreference

MAX_EJECTED_FRACTION = 0.34  # of the members
MAX_MACHINE_TYPES = 64  # remembered while no server of theirs is listed


@dataclass(slots=True, eq=False)
class Subset:
    """The servers known to the node, the members among them, and which members may be picked."""

    settings: Settings
    rng: Random
    actions: Actions
    controller: GradientController
    zone_preference: ZonePreference
    servers: dict[int, Server] = field(default_factory=dict)
    machine_types: dict[int, MachineType] = field(default_factory=dict)
    zones: dict[int, Zone] = field(default_factory=dict)
    members: list[Server] = field(default_factory=list)
    size: int = 0  # members wanted, in zones that are not ejected
    substitutes: list[Server] = field(default_factory=list)  # while too many others are in ejected zones
    eligible: list[Server] = field(default_factory=list)  # members that may be picked
    local: list[Server] = field(default_factory=list)  # those of them in the node's zone
    weighted: bool = False  # eligible members differ in weight
    newly_listed: list[Server] = field(default_factory=list)  # since the last refill

    def add(self, entry: Endpoint) -> Server:
        """A server that was not known."""
        machine_type = self.machine_types.setdefault(entry.machine_type, MachineType())
        self.servers[entry.server] = server = Server(entry.server, machine_type)
        return server

    def list_server(self, server: Server, entry: Endpoint) -> None:
        """The server is listed as ready, at that place."""
        if not server.listed:
            self.newly_listed.append(server)
        server.listed = True
        server.cell, server.zone, server.weight = entry.cell, entry.zone, entry.weight
        self.zones.setdefault(entry.zone, Zone(entry.zone))

    def remove_unused(self) -> None:
        """Forgets servers that are gone, and zones and machine types without servers."""
        for key in [k for k, s in self.servers.items() if not s.listed and s.in_flight == 0]:
            del self.servers[key]
        used = {server.zone for server in self.servers.values()}
        if len(self.zones) > len(used):
            self.zones = {key: zone for key, zone in self.zones.items() if key in used or zone.ejected}
        if len(self.machine_types) > MAX_MACHINE_TYPES:
            kept = {server.machine_type for server in self.servers.values()}
            self.machine_types = {key: mt for key, mt in self.machine_types.items() if mt in kept}

    def refill(self) -> None:
        """Replaces members that left by random servers; newly listed ones may replace members."""
        newly_listed, self.newly_listed = (self.newly_listed if self.members else []), []
        self.members = [member for member in self.members if member.in_subset]
        self.substitutes = [member for member in self.substitutes if member.in_subset]
        listed = sum(server.listed for server in self.servers.values())
        nodes = self.settings.instance_count
        self.size = fleet_limits.subset_size(listed, nodes, self.settings.subset_max)
        unreachable = sum(self.zones[member.zone].ejected for member in self.members)
        whole = unreachable <= MAX_EJECTED_FRACTION * (len(self.members) - len(self.substitutes))
        missing = self.size - len(self.members) + (0 if whole else unreachable)
        if missing > 0:
            self._fill(missing, whole=whole)
        if whole:
            self._replace_members(newly_listed, listed)
            for server in self.substitutes:
                server.in_subset = server.ejected
            self.substitutes.clear()
            self.members = [member for member in self.members if member.in_subset]
        self.controller.resize(len(self.members), listed, nodes)
        self.zone_preference.resize(self.members)
        self.classify_members()

    def _fill(self, missing: int, *, whole: bool) -> None:
        """Adds random servers; unless the subset is whole, substitutes in zones that are not ejected."""
        free = [s for _, s in sorted(self.servers.items()) if s.listed and not s.in_subset]
        pool = [server for server in free if whole or not self.zones[server.zone].ejected]
        for _ in range(min(missing, len(pool))):
            i = int(self.rng.random() * len(pool))
            pool[i], pool[-1] = pool[-1], pool[i]
            server = pool.pop()
            server.in_subset = True
            self.members.append(server)
            if not whole:
                self.substitutes.append(server)

    def _replace_members(self, newly_listed: list[Server], listed: int) -> None:
        """Reservoir sampling (Vitter, 1985): who is listed late is in as many subsets as the others."""
        for server in newly_listed:
            if not server.listed or server.in_subset or self.rng.random() * listed >= len(self.members):
                continue
            i = int(self.rng.random() * len(self.members))
            old = self.members[i]
            if not old.ejected and not self.zones[old.zone].ejected:
                old.in_subset, server.in_subset, self.members[i] = False, True, server
                self.actions.close_idle(old.id)

    def classify_members(self) -> None:
        """Renews which members may be picked; requests stuck at the others do not use up the limit."""
        self.eligible = []
        for member in self.members:
            excluded = member.ejected or self.zones[member.zone].ejected
            if not excluded:
                self.eligible.append(member)
            if excluded != member.excluded:
                self.controller.in_flight += -member.in_flight if excluded else member.in_flight
                member.excluded = excluded
        least = max(1.0, self.size * (1 - MAX_EJECTED_FRACTION))
        self.controller.scale_to_subset(min(1.0, max(1, len(self.eligible)) / least))
        self.local = [member for member in self.eligible if member.zone == self.settings.zone]
        self.weighted = len({member.weight for member in self.eligible}) > 1
