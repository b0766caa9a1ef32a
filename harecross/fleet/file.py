"""A fleet's day as a file (TOML): the fleet, its discovery, what happens. Checked strictly."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

import msgspec

from harecross.fleet import sums
from harecross.fleet.discovery import Shape
from harecross.fleet.rehearsal import Day
from harecross.operators import read_toml

Seconds = Annotated[float, msgspec.Meta(ge=0, le=3600)]
Above = Annotated[float, msgspec.Meta(gt=0, le=3600)]


class Fleet(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[fleet]`."""

    nodes: Annotated[int, msgspec.Meta(ge=1, le=20_000)] = 40
    within_s: Above = 10.0  # the longest silence allowed to a node without a watch


class Discovery(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[discovery]`."""

    rate: Annotated[float, msgspec.Meta(gt=0, le=1_000_000)] = 8.0  # calls a second
    timeout_s: Above = 2.0  # a call that has waited for so long is failed, and worked through all the same
    overbook: Annotated[float, msgspec.Meta(gt=0, le=1000)] = 3.0  # time-outs of work that may stand in line
    backlog_s: Seconds = 0.0  # work that stands in line when the trigger comes
    spoilt: Annotated[float, msgspec.Meta(ge=0, lt=1)] = 0.0  # share of answers that break off
    pushed: bool = False  # an agent on each node's machine has the list, and answers at once


class Trigger(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[trigger]`."""

    what: Literal["silent", "ended", "broken", "restart", "down"] = "silent"
    down_s: Seconds = 5.0
    drain_s: Seconds = 0.5  # a drain is listed so long after it...
    again_s: Seconds = 0.0  # ...and again this far apart, where it is above 0
    part: Annotated[float, msgspec.Meta(gt=0, le=1)] = 1.0  # restart: the share of nodes that start again...
    dead_s: Annotated[float, msgspec.Meta(ge=0, le=10)] = 0.0  # ...and for how long they had been dead
    before_s: Annotated[float, msgspec.Meta(ge=0, le=10)] = (
        0.0  # a drain is listed so long before it too; 0: none
    )
    length_s: Above = 120.0  # the day's, from its start; the trigger comes at 10 s


class Tier(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[tier]`: the servers that the nodes call, for `harecross fleet sums`."""

    servers: Annotated[int, msgspec.Meta(ge=1, le=20_000)] = 120
    zones: Annotated[int, msgspec.Meta(ge=1, le=1000)] = 4
    rate: Annotated[float, msgspec.Meta(gt=0, le=100_000)] = 20.0  # calls a second of a node, in the mean
    uneven: Annotated[float, msgspec.Meta(ge=1, le=100)] = (
        3.0  # a node's traffic is up to so many times the mean
    )
    service_s: Above = 0.5  # that a call takes
    load: Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.6  # of the servers' capacity, before the event
    event: Literal["calm", "herd", "lost", "replaced", "returned"] = "calm"
    part: Annotated[float, msgspec.Meta(gt=0, le=1)] = (
        0.7  # of the nodes (herd, lost) or the servers (replaced)
    )
    cold_s: Above = 5.0  # until a server that has started is warm
    cold_from: Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.4  # of its capacity, at its start
    multiple: Annotated[float, msgspec.Meta(gt=0, le=100)] = (
        3.0  # of what a cold server can do that pushes it over...
    )
    fall_s: Above = 2.0  # ...when it is sent for so long
    length_s: Annotated[float, msgspec.Meta(gt=0, le=60)] = 6.0  # from the event on


class FleetFile(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The file. Every key is optional."""

    fleet: Fleet = Fleet()
    discovery: Discovery = Discovery()
    trigger: Trigger = Trigger()
    tier: Tier = Tier()

    def summed(self, seed: int) -> sums.Fleet:
        """What is summed up over the fleet."""
        t = self.tier
        return sums.Fleet(
            self.fleet.nodes, t.servers, t.zones, t.rate, t.uneven, t.service_s, t.load, t.event, t.part, t.cold_s,
            t.cold_from, t.multiple, t.fall_s, t.length_s, seed,
        )  # fmt: skip

    def day(self, seed: int) -> Day:
        """The day to rehearse. ValueError where its parts do not go together."""
        f, d, t = self.fleet, self.discovery, self.trigger
        if t.length_s <= 10.0 + t.drain_s:
            raise ValueError("trigger.length_s: above 10 s and trigger.drain_s together")
        return Day(
            f.nodes, seed, Shape(d.rate, d.timeout_s, d.overbook), f.within_s, t.what, 10.0, d.backlog_s, t.down_s,
            d.spoilt, t.drain_s, t.again_s, t.part, t.dead_s, t.before_s, d.pushed, t.length_s,
        )  # fmt: skip


def read_fleet(path: Path) -> FleetFile:
    """The file. OperatorsFileError for one that is missing, not TOML, or holds what cannot be."""
    return read_toml(path, FleetFile)
