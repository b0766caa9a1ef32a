"""Exports a balancer's measurements as JSON, and imports them in the process that takes over.

The stored key `usual` is the baseline of the requests in flight, and `cut` is the list of the ejected zones' numbers.
No times are stored, since each process has its own clock. Servers are identified by discovery's ids.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from math import isfinite
from typing import Any

from harecross.policy.balancer import Balancer
from harecross.policy.traffic_stats import MAX_SLOWNESS, MIN_SLOWNESS

MAX_RTT_US = 1e9
MAX_RATE = 1e6  # requests per second
MAX_ZONE = 1e6


@dataclass(frozen=True, slots=True)
class ServerMeasurements:
    """The stored measurements of one server."""

    slowness: float
    failure_rate: float
    ejected: bool


@dataclass(frozen=True, slots=True)
class LearnedState:
    """The stored measurements of one balancer. Lists of floats have one value per request class."""

    limit: float
    baseline_in_flight: float
    min_rtt: list[float]
    target: list[float]
    mean_rtt: list[float]
    deviation: list[float]
    warm_rate: float
    ejected_zones: list[int]
    servers: dict[str, ServerMeasurements]


def export_learned_state(balancer: Balancer, numbers: Mapping[str, int]) -> bytes | None:
    """Returns the balancer's measurements as JSON, or None before the first minRTT window has ended.

    `numbers` maps the ids of the servers to their numbers in the balancer.
    """
    controller = balancer.controller
    if controller.min_rtt_windows == 0:
        return None
    servers = {}
    for name, number in numbers.items():
        server = balancer.subset.servers.get(number)
        if server is not None and server.in_subset and server.outcomes:
            servers[name] = [server.slowness, server.failure_rate, server.ejected]
    stored = {
        "limit": controller.limit,
        "usual": controller.baseline_in_flight,
        "min_rtt": controller.min_rtt,
        "target": controller.target,
        "mean_rtt": balancer.traffic.mean_rtt,
        "deviation": balancer.traffic.deviation,
        "warm_rate": balancer.slow_start.warm_rate,
        "cut": [zone.id for zone in balancer.outliers.ejected_zones],
        "servers": servers,
    }
    return json.dumps(stored).encode()


def import_learned_state(balancer: Balancer, numbers: Mapping[str, int], text: bytes, now: int) -> None:
    """Sets the balancer to the measurements of another process.

    Raises ValueError and changes nothing if the text is not a valid export.
    """
    try:
        state = _parse(balancer, json.loads(text))
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"not an export of learned state: {error!r}") from None
    controller = balancer.controller
    controller.end_min_rtt_window(now)
    controller.limit, controller.baseline_in_flight = state.limit, state.baseline_in_flight
    controller.ramping = False
    controller.min_rtt, controller.target = state.min_rtt, state.target
    balancer.traffic.mean_rtt, balancer.traffic.deviation = state.mean_rtt, state.deviation
    balancer.slow_start.warm_rate = state.warm_rate
    _restore_servers(balancer, numbers, state.servers, now)
    _restore_ejected_zones(balancer, state.ejected_zones, now)


def _parse(balancer: Balancer, stored: Any) -> LearnedState:
    """Returns the stored values, limited to the bounds of this balancer. Raises ValueError for malformed values."""
    controller, classes = balancer.controller, len(balancer.settings.classes)
    by_class = {}
    for key in ("min_rtt", "target", "mean_rtt", "deviation"):
        by_class[key] = [_bounded(value, 0, MAX_RTT_US) for value in stored[key]]
        if len(by_class[key]) != classes:
            raise ValueError(f"{key} has values of {len(by_class[key])} request classes, expected {classes}")
    for key in ("mean_rtt", "target"):
        if min(by_class[key]) <= 0:
            raise ValueError(f"{key} has the value {min(by_class[key])}, expected values above 0")
    limit = _bounded(stored["limit"], controller.floor, controller.max_limit)
    return LearnedState(
        limit=limit,
        baseline_in_flight=_bounded(stored["usual"], 0, limit),
        **by_class,
        warm_rate=_bounded(stored["warm_rate"], 0, MAX_RATE),
        ejected_zones=[int(_bounded(zone, 0, MAX_ZONE)) for zone in stored["cut"]],
        servers={
            str(name): ServerMeasurements(
                _bounded(slowness, MIN_SLOWNESS, MAX_SLOWNESS), _bounded(failure_rate, 0, 1), bool(ejected)
            )
            for name, (slowness, failure_rate, ejected) in stored["servers"].items()
        },
    )


def _bounded(value: Any, least: float, most: float) -> float:
    """Returns the number, limited to the bounds. Raises ValueError for anything but a finite number."""
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not isfinite(value):
        raise ValueError(f"{value!r} is not a finite number")
    return min(max(float(value), least), most)


def _restore_servers(
    balancer: Balancer, numbers: Mapping[str, int], servers: Mapping[str, ServerMeasurements], now: int
) -> None:
    """Imports the measurements of those servers that are subset members."""
    for name, stored in servers.items():
        server = balancer.subset.servers.get(numbers.get(name, 0))
        if server is None or not server.in_subset:
            continue
        server.slowness, server.failure_rate = stored.slowness, stored.failure_rate
        server.last_outcome_at = now
        if stored.ejected:
            balancer.outliers.eject(now, server, unresponsive=False)


def _restore_ejected_zones(balancer: Balancer, zones: list[int], now: int) -> None:
    """Ejects the zones again, except for the last one with eligible members."""
    for number in zones:
        zone = balancer.subset.zones.get(number)
        if zone is None or zone.ejected:
            continue
        if any(member.zone != number for member in balancer.subset.eligible):
            balancer.outliers.eject_zone(zone, now)
            balancer.subset.classify_members()
