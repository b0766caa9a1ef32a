"""The subset: a random selection of the listed servers, which are those that one node calls."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from harecross.interface import Actions, Endpoint, Settings
from harecross.policy import fleet_limits
from harecross.policy.controller import GradientController
from harecross.policy.records import MachineType, Server, Zone
from harecross.policy.zone_preference import ZonePreference

MAX_EJECTED_FRACTION = 0.34  # largest fraction of the members that may be ejected
MAX_MACHINE_TYPES = 64  # above this number, machine types without a server are removed


@dataclass(slots=True, eq=False)
class Subset:
    """The servers that the node knows, the members among them, and the members that may be picked.

    Attributes:
        size: The intended number of members in zones that are not ejected.
        substitutes: Members that were added because too many others are in ejected zones.
        eligible: The members that may be picked.
        local: The eligible members in the node's own zone.
        weighted: Whether the eligible members differ in weight.
        newly_listed: The servers that were listed since the last refill.
    """

    settings: Settings
    rng: Random
    actions: Actions
    controller: GradientController
    zone_preference: ZonePreference
    servers: dict[int, Server] = field(default_factory=dict)
    machine_types: dict[int, MachineType] = field(default_factory=dict)
    zones: dict[int, Zone] = field(default_factory=dict)
    members: list[Server] = field(default_factory=list)
    size: int = 0
    substitutes: list[Server] = field(default_factory=list)
    eligible: list[Server] = field(default_factory=list)
    local: list[Server] = field(default_factory=list)
    weighted: bool = False
    newly_listed: list[Server] = field(default_factory=list)

    def add(self, entry: Endpoint) -> Server:
        """Adds a server that the node did not know."""
        machine_type = self.machine_types.setdefault(entry.machine_type, MachineType())
        self.servers[entry.server] = server = Server(entry.server, machine_type)
        return server

    def list_server(self, server: Server, entry: Endpoint) -> None:
        """Marks the server as listed, with the cell, the zone and the weight of the entry."""
        if not server.listed:
            self.newly_listed.append(server)
        server.listed = True
        server.cell, server.zone, server.weight = entry.cell, entry.zone, entry.weight
        self.zones.setdefault(entry.zone, Zone(entry.zone))

    def remove_unused(self) -> None:
        """Removes servers that are gone, and zones and machine types without servers.

        A server with an open attempt is kept, also while a body is being forwarded to it: if it returned with
        a new record, the outcome of that attempt would be subtracted from requests that were counted there.
        """
        for key in [k for k, s in self.servers.items() if not s.listed and s.open_attempts == 0]:
            del self.servers[key]
        used = {server.zone for server in self.servers.values()}
        if len(self.zones) > len(used):
            self.zones = {key: zone for key, zone in self.zones.items() if key in used or zone.ejected}
        if len(self.machine_types) > MAX_MACHINE_TYPES:
            kept = {server.machine_type for server in self.servers.values()}
            self.machine_types = {key: mt for key, mt in self.machine_types.items() if mt in kept}

    def refill(self) -> None:
        """Replaces members that left with random servers, and lets newly listed servers replace members."""
        newly_listed, self.newly_listed = (self.newly_listed if self.members else []), []
        self.members = [member for member in self.members if member.in_subset]
        self.substitutes = [member for member in self.substitutes if member.in_subset]
        listed = sum(server.listed for server in self.servers.values())
        nodes = self.settings.instance_count
        self.size = fleet_limits.subset_size(listed, nodes, self.settings.subset_max)
        unreachable = sum(self.zones[member.zone].ejected for member in self.members)
        reachable = unreachable <= MAX_EJECTED_FRACTION * (len(self.members) - len(self.substitutes))
        missing = self.size - len(self.members) + (0 if reachable else unreachable)
        if missing > 0:
            self._fill(missing, reachable=reachable)
        if reachable:
            self._replace_members(newly_listed, listed)
            for server in self.substitutes:
                server.in_subset = server.ejected
            self.substitutes.clear()
            self.members = [member for member in self.members if member.in_subset]
        self.controller.resize(len(self.members), listed, nodes)
        self.zone_preference.resize(self.members)
        self.classify_members()

    def _fill(self, missing: int, *, reachable: bool) -> None:
        """Adds random servers.

        Unless enough of the subset is reachable, these are substitutes in zones that are not ejected.
        """
        free = [s for _, s in sorted(self.servers.items()) if s.listed and not s.in_subset]
        pool = [server for server in free if reachable or not self.zones[server.zone].ejected]
        for _ in range(min(missing, len(pool))):
            i = int(self.rng.random() * len(pool))
            pool[i], pool[-1] = pool[-1], pool[i]
            server = pool.pop()
            server.in_subset = True
            self.members.append(server)
            if not reachable:
                self.substitutes.append(server)

    def _replace_members(self, newly_listed: list[Server], listed: int) -> None:
        """Replaces random members with newly listed servers.

        Reservoir sampling (Vitter, 1985) puts servers that are listed late in as many subsets as the others.
        """
        for server in newly_listed:
            if not server.listed or server.in_subset or self.rng.random() * listed >= len(self.members):
                continue
            i = int(self.rng.random() * len(self.members))
            old = self.members[i]
            if not old.ejected and not self.zones[old.zone].ejected:
                old.in_subset, server.in_subset, self.members[i] = False, True, server
                self.actions.close_idle(old.id)

    def classify_members(self) -> None:
        """Updates which members may be picked and takes the requests of the others out of the limit.

        Otherwise requests that are stuck at ejected members would use up the limit.
        """
        self.eligible = []
        for member in self.members:
            excluded_from_limit = member.ejected or self.zones[member.zone].ejected
            if not excluded_from_limit:
                self.eligible.append(member)
            if excluded_from_limit != member.excluded_from_limit:
                self.controller.in_flight += -member.in_flight if excluded_from_limit else member.in_flight
                member.excluded_from_limit = excluded_from_limit
        min_eligible = max(1.0, self.size * (1 - MAX_EJECTED_FRACTION))
        self.controller.scale_to_subset(min(1.0, max(1, len(self.eligible)) / min_eligible))
        self.local = [member for member in self.eligible if member.zone == self.settings.zone]
        self.weighted = len({member.weight for member in self.eligible}) > 1
