"""A fleet as a file (TOML): its nodes, its discovery, the trigger, and the tier that it calls. Checked strictly.

The field names are the keys of the file.
"""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import msgspec

from harecross.fleet.discovery import DiscoveryCapacity
from harecross.fleet.scenario import Scenario, Trigger
from harecross.fleet.tier_scenario import TierEvent, TierScenario
from harecross.operators import read_toml

Seconds = Annotated[float, msgspec.Meta(ge=0, le=3600)]
PositiveSeconds = Annotated[float, msgspec.Meta(gt=0, le=3600)]
UpToTrigger = Annotated[float, msgspec.Meta(ge=0, le=10)]  # seconds before TRIGGER_AT_S
Fraction = Annotated[float, msgspec.Meta(gt=0, le=1)]
TRIGGER_AT_S = 10.0


class FleetSection(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[fleet]`."""

    nodes: Annotated[int, msgspec.Meta(ge=1, le=20_000)] = 40
    within_s: PositiveSeconds = 10.0  # the longest poll interval of a node without a watch


class DiscoverySection(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[discovery]`."""

    rate: Annotated[float, msgspec.Meta(gt=0, le=1_000_000)] = 8.0  # calls a second
    timeout_s: PositiveSeconds = (
        2.0  # a call that has waited for so long fails, and is processed all the same
    )
    overbook: Annotated[float, msgspec.Meta(gt=0, le=1000)] = 3.0  # the longest queue, in timeouts
    backlog_s: Seconds = 0.0  # work in the queue at the trigger
    spoilt: Annotated[float, msgspec.Meta(ge=0, lt=1)] = 0.0  # the malformed fraction of the answers
    pushed: bool = False  # an agent on each node's machine has the list, and answers at once


class TriggerSection(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[trigger]`."""

    what: Trigger = Trigger.SILENT
    down_s: Seconds = 5.0  # down: how long discovery refuses calls
    drain_s: Seconds = 0.5  # from the trigger to the first drain in the list
    again_s: Seconds = 0.0  # between further drains; 0: no further ones
    part: Fraction = 1.0  # restart: the fraction of the nodes
    dead_s: UpToTrigger = 0.0  # restart: how long the nodes had been stopped
    before_s: UpToTrigger = 0.0  # how long before the trigger another drain is listed; 0: none
    length_s: PositiveSeconds = 120.0  # of the rehearsal, from its start; the trigger comes at TRIGGER_AT_S


class TierSection(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[tier]`: the servers that the nodes call, for `harecross fleet sums`."""

    servers: Annotated[int, msgspec.Meta(ge=1, le=20_000)] = 120
    zones: Annotated[int, msgspec.Meta(ge=1, le=1000)] = 4
    rate: Annotated[float, msgspec.Meta(gt=0, le=100_000)] = 20.0  # requests a second of a node, the mean
    uneven: Annotated[float, msgspec.Meta(ge=1, le=100)] = 3.0  # the most traffic of a node, by the least
    service_s: PositiveSeconds = 0.5  # that a request takes
    load: Fraction = 0.6  # of the servers' capacity, before the event
    event: TierEvent = TierEvent.CALM
    part: Fraction = 0.7  # of the nodes (herd, lost) or the servers (replaced)
    cold_s: PositiveSeconds = 5.0  # how long a started server warms up
    cold_from: Fraction = 0.4  # of its capacity, at its start
    multiple: Annotated[float, msgspec.Meta(gt=0, le=100)] = 3.0  # the overload multiple
    fall_s: PositiveSeconds = 2.0  # the overload duration
    length_s: Annotated[float, msgspec.Meta(gt=0, le=60)] = 6.0  # from the event on


class FleetFile(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The file. Every key is optional."""

    fleet: FleetSection = FleetSection()
    discovery: DiscoverySection = DiscoverySection()
    trigger: TriggerSection = TriggerSection()
    tier: TierSection = TierSection()

    def tier_scenario(self, seed: int) -> TierScenario:
        """What `harecross fleet sums` plays."""
        tier = self.tier
        return TierScenario(
            nodes=self.fleet.nodes,
            servers=tier.servers,
            zones=tier.zones,
            requests_per_second=tier.rate,
            traffic_skew=tier.uneven,
            service_time=tier.service_s,
            utilization=tier.load,
            event=tier.event,
            event_fraction=tier.part,
            slow_start_window=tier.cold_s,
            slow_start_capacity=tier.cold_from,
            overload_multiple=tier.multiple,
            overload_duration=tier.fall_s,
            duration=tier.length_s,
            seed=seed,
        )

    def scenario(self, seed: int) -> Scenario:
        """What `harecross fleet rehearse` plays. ValueError for values that do not go together."""
        discovery, trigger = self.discovery, self.trigger
        if trigger.length_s <= TRIGGER_AT_S + trigger.drain_s:
            raise ValueError("trigger.length_s: above 10 s and trigger.drain_s together")
        return Scenario(
            nodes=self.fleet.nodes,
            seed=seed,
            discovery=DiscoveryCapacity(discovery.rate, discovery.timeout_s, discovery.overbook),
            max_poll_interval=self.fleet.within_s,
            trigger=trigger.what,
            trigger_at=TRIGGER_AT_S,
            backlog=discovery.backlog_s,
            outage=trigger.down_s,
            malformed_fraction=discovery.spoilt,
            drain_delay=trigger.drain_s,
            drain_interval=trigger.again_s,
            restart_fraction=trigger.part,
            stopped_before=trigger.dead_s,
            earlier_drain=trigger.before_s,
            local_agent=discovery.pushed,
            duration=trigger.length_s,
        )


def read_fleet(path: Path) -> FleetFile:
    """The file. OperatorsFileError for one that is missing, not TOML, or holds what cannot be."""
    return read_toml(path, FleetFile)
