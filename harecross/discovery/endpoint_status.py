"""The status of each server that a process knows, for operators. Free of I/O."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TypedDict

from harecross.discovery.endpoint_registry import EndpointRegistry

# The values of `state` in the answers to operators:
IN_USE, IN_MAINTENANCE, DRAINING, GONE = "in use", "out", "draining", "gone"


class EndpointStatus(TypedDict):
    """One server; the keys are those of the answers to operators."""

    id: str
    state: str  # in use; out (in maintenance); draining; or gone, with requests still in flight
    listed: bool  # discovery lists it as in service
    open: int  # requests in flight
    warmth: float  # its part of full capacity during slow start; 1 where it is not in use
    ejected: bool


def endpoint_status_rows(
    registry: EndpointRegistry, in_flight: Mapping[int, int], now: int
) -> list[EndpointStatus]:
    """The status of each server that is listed, in maintenance, or has requests in flight.

    `in_flight` counts them by the server's number; `now` in monotonic microseconds.
    """
    snapshots = {
        snapshot.server: snapshot for snapshot in registry.dispatcher.balancer.endpoint_snapshots(now)
    }
    rows: list[EndpointStatus] = []
    for name in sorted({*registry.numbers, *registry.in_maintenance, *registry.draining}):
        number = registry.numbers.get(name, 0)
        state = state_of(registry, name)
        snapshot = snapshots.get(number) if state == IN_USE else None
        rows.append(
            {
                "id": name,
                "state": state,
                "listed": number in registry.listed or registry.in_maintenance.get(name) is not None,
                "open": in_flight.get(number, 0),
                "warmth": 1.0 if snapshot is None else round(snapshot.slow_start_factor, 3),
                "ejected": snapshot is not None and bool(snapshot.ejected),
            }
        )
    return rows


def state_of(registry: EndpointRegistry, name: str) -> str:
    """The server's `state`."""
    if name in registry.in_maintenance:
        return IN_MAINTENANCE
    if registry.numbers.get(name, 0) in registry.listed:
        return IN_USE
    return DRAINING if name in registry.draining else GONE
