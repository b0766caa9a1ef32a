"""The status of each server known to a process, as shown to operators."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TypedDict

from harecross.discovery.endpoint_registry import EndpointRegistry

# Values of `state` in the admin server's responses; "out" means that the server is in maintenance.
IN_USE, IN_MAINTENANCE, DRAINING, GONE = "in use", "out", "draining", "gone"


class EndpointStatus(TypedDict):
    """The status of one server; the keys are those of the admin server's responses.

    Attributes:
        id: The server's name.
        state: "in use", "out" (in maintenance), "draining", or "gone" while requests are still in flight.
        listed: Whether discovery lists the server as in service.
        open: The number of requests in flight.
        warmth: The fraction of full capacity during slow start; 1 if the server is not in use.
        ejected: Whether the server is ejected as an outlier.
    """

    id: str
    state: str
    listed: bool
    open: int
    warmth: float
    ejected: bool


def endpoint_status_rows(
    registry: EndpointRegistry, in_flight: Mapping[int, int], now: int
) -> list[EndpointStatus]:
    """Returns the status of each server that is listed, in maintenance, or has requests in flight.

    `in_flight` holds the number of requests in flight by server number; `now` is in monotonic microseconds.
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
    """Returns the server's `state` as shown to operators."""
    if name in registry.in_maintenance:
        return IN_MAINTENANCE
    if registry.numbers.get(name, 0) in registry.listed:
        return IN_USE
    return DRAINING if name in registry.draining else GONE
