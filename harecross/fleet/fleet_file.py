"""The TOML file that describes a simulated fleet: its nodes, discovery, the trigger, and the tier that it calls.

The field names are the keys of the file. Unknown keys and values out of range are errors.
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
# A time in seconds before the trigger; the simulation starts `TRIGGER_AT_S` before it.
SecondsBeforeTrigger = Annotated[float, msgspec.Meta(ge=0, le=10)]
Fraction = Annotated[float, msgspec.Meta(gt=0, le=1)]
# The trigger occurs this long after the start of the simulation.
TRIGGER_AT_S = 10.0


class FleetSection(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The table `[fleet]`.

    Attributes:
        nodes: The number of nodes.
        within_s: The longest time between polls of a node without a watch, in seconds.
    """

    nodes: Annotated[int, msgspec.Meta(ge=1, le=20_000)] = 40
    within_s: PositiveSeconds = 10.0


class DiscoverySection(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The table `[discovery]`.

    Attributes:
        rate: The number of calls that discovery serves per second.
        timeout_s: The time in seconds after which a waiting call fails; discovery still processes it.
        overbook: The queue length above which calls are rejected, as a multiple of `timeout_s`.
        backlog_s: The work in the queue at the trigger, in seconds.
        spoilt: The fraction of the responses that are malformed.
        pushed: Whether an agent on each node's machine has the list and responds immediately.
    """

    rate: Annotated[float, msgspec.Meta(gt=0, le=1_000_000)] = 8.0
    timeout_s: PositiveSeconds = 2.0
    overbook: Annotated[float, msgspec.Meta(gt=0, le=1000)] = 3.0
    backlog_s: Seconds = 0.0
    spoilt: Annotated[float, msgspec.Meta(ge=0, lt=1)] = 0.0
    pushed: bool = False


class TriggerSection(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The table `[trigger]`. All times are in seconds.

    Attributes:
        what: The kind of the trigger.
        down_s: For the trigger `down`: how long discovery refuses calls.
        drain_s: The time from the trigger until discovery lists the first drain.
        again_s: The interval at which discovery lists further drains; 0 means that there are none.
        part: For the trigger `restart`: the fraction of the nodes that restart.
        dead_s: For the trigger `restart`: how long these nodes were stopped before the trigger.
        before_s: How long before the trigger discovery lists another drain; 0 means that there is none.
        length_s: The length of the simulation, which starts `TRIGGER_AT_S` before the trigger.
    """

    what: Trigger = Trigger.SILENT
    down_s: Seconds = 5.0
    drain_s: Seconds = 0.5
    again_s: Seconds = 0.0
    part: Fraction = 1.0
    dead_s: SecondsBeforeTrigger = 0.0
    before_s: SecondsBeforeTrigger = 0.0
    length_s: PositiveSeconds = 120.0


class TierSection(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The table `[tier]`: the servers that the nodes call, for `harecross fleet sums`.

    Attributes:
        servers: The number of servers.
        zones: The number of zones that the servers are spread over.
        rate: The mean number of requests per second of a node.
        uneven: The ratio of the highest to the lowest traffic of a node.
        service_s: The time in seconds that a server takes for a request.
        load: The fraction of the servers' capacity that is in use before the event.
        event: The event at the start of the simulation.
        part: The fraction of the nodes (herd, lost) or of the servers (replaced) that the event affects.
        cold_s: The time in seconds for which a started server warms up.
        cold_from: The capacity of a server at its start, as a fraction of its full capacity.
        multiple: The overload multiple: a warming-up server fails under this multiple of its present capacity.
        fall_s: The overload duration: the time in seconds for which the overload must last until the server fails.
        length_s: The length of the simulation in seconds, from the event on.
    """

    servers: Annotated[int, msgspec.Meta(ge=1, le=20_000)] = 120
    zones: Annotated[int, msgspec.Meta(ge=1, le=1000)] = 4
    rate: Annotated[float, msgspec.Meta(gt=0, le=100_000)] = 20.0
    uneven: Annotated[float, msgspec.Meta(ge=1, le=100)] = 3.0
    service_s: PositiveSeconds = 0.5
    load: Fraction = 0.6
    event: TierEvent = TierEvent.CALM
    part: Fraction = 0.7
    cold_s: PositiveSeconds = 5.0
    cold_from: Fraction = 0.4
    multiple: Annotated[float, msgspec.Meta(gt=0, le=100)] = 3.0
    fall_s: PositiveSeconds = 2.0
    length_s: Annotated[float, msgspec.Meta(gt=0, le=60)] = 6.0


class FleetFile(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The content of the file. Every key is optional."""

    fleet: FleetSection = FleetSection()
    discovery: DiscoverySection = DiscoverySection()
    trigger: TriggerSection = TriggerSection()
    tier: TierSection = TierSection()

    def tier_scenario(self, seed: int) -> TierScenario:
        """Returns the scenario that `harecross fleet sums` simulates."""
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
        """Returns the scenario that `harecross fleet rehearse` simulates.

        Raises ValueError if the simulation ends before the first drain is listed.
        """
        discovery, trigger = self.discovery, self.trigger
        if trigger.length_s <= TRIGGER_AT_S + trigger.drain_s:
            raise ValueError(
                f"trigger.length_s: {trigger.length_s} is not greater than 10 s plus trigger.drain_s"
            )
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
    """Reads a fleet file. Raises OperatorsFileError if it is missing, is not TOML, or has an invalid key or value."""
    return read_toml(path, FleetFile)
