"""Converts the endpoints of SRV names and the entries of the platform's watch to statements."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import TYPE_CHECKING, Any, NamedTuple

from harecross.discovery import wire_format
from harecross.settings import parse_address
from harecross.sources.source import Statement

if TYPE_CHECKING:
    from harecross.dns.srv import SrvEndpoint

# The bounds of a record's weight, relative to the mean weight of its priority.
MIN_WEIGHT, MAX_WEIGHT = 0.05, 20.0
DRAINING_BY_LIFECYCLE = {wire_format.IN_SERVICE: False, wire_format.TERMINATING: True}


class WeightedEndpoint(NamedTuple):
    """The endpoint of an SRV record, with its priority and weight relative to the other records of the name.

    Attributes:
        endpoint: The endpoint.
        priority: The position of the record's priority among those of the name, counted from 0.
        weight: The record's weight, relative to the mean weight of its priority.
    """

    endpoint: SrvEndpoint
    priority: int
    weight: float


def weighted_endpoints(endpoints: Iterable[SrvEndpoint]) -> list[WeightedEndpoint]:
    """Returns each endpoint with its relative priority and weight.

    By RFC 2782, priorities and weights can be compared only within one SRV name. A record with the weight 0 still gets
    a small share of the requests; if all records of a priority have the weight 0, they get equal shares.
    """
    by_priority: dict[int, list[SrvEndpoint]] = {}
    for endpoint in endpoints:
        by_priority.setdefault(endpoint.priority, []).append(endpoint)
    weighted = []
    for priority, (_, group) in enumerate(sorted(by_priority.items(), key=lambda item: item[0])):
        mean = sum(endpoint.weight for endpoint in group) / len(group)
        for endpoint in group:
            weight = min(max(endpoint.weight / mean, MIN_WEIGHT), MAX_WEIGHT) if mean else 1.0
            weighted.append(WeightedEndpoint(endpoint, priority, weight))
    return weighted


def srv_statements(
    endpoints: Iterable[SrvEndpoint], zone: str = "", priority_offset: int = 0
) -> list[Statement]:
    """Returns the statements of an SRV name; `priority_offset` is added to the relative priorities."""
    return [
        Statement(
            address=host_port(endpoint.address, endpoint.port),
            name=f"{endpoint.target.rstrip('.')}:{endpoint.port}",
            zone=zone,
            weight=weight,
            priority=priority + priority_offset,
        )
        for endpoint, priority, weight in weighted_endpoints(endpoints)
    ]


def host_port(ip_address: str, port: int) -> str:
    """Returns HOST:PORT, with an IPv6 address in brackets."""
    return f"[{ip_address}]:{port}" if ":" in ip_address else f"{ip_address}:{port}"


def watch_entries_by_address(entries: Iterable[Mapping[str, Any]]) -> dict[str, Mapping[str, Any]]:
    """Returns the watch's entries by address.

    If several servers have the same address, the entry with the latest start time counts; among equal start times, an
    entry that is not in service counts. Entries without a valid address are omitted.
    """
    by_address: dict[str, Mapping[str, Any]] = {}
    for entry in entries:
        address = str(entry.get(wire_format.HOST_PORT, ""))
        try:
            parse_address(address)
        except ValueError:
            continue
        other = by_address.get(address)
        if other is None or _age_order(entry) > _age_order(other):
            by_address[address] = entry
    return by_address


def _age_order(entry: Mapping[str, Any]) -> tuple[int, bool]:
    """Sort key for the entries of one address: by start time, then entries in service before others."""
    return watch_started_at_ms(entry), entry.get(wire_format.LIFECYCLE) != wire_format.IN_SERVICE


def watch_started_at_ms(entry: Mapping[str, Any]) -> int:
    """Returns the start time of the server, as Unix time in milliseconds; 0 if the entry has none."""
    started_at_ms = entry.get(wire_format.STARTED_AT_MS)
    return started_at_ms if isinstance(started_at_ms, int) else 0


def watch_statement(address: str, entry: Mapping[str, Any]) -> Statement:
    """Returns the statement of the watch for the endpoint at `address`.

    It omits the weight in the entry: that is the nominal capacity of the server, and the balancer measures the actual
    one.
    """
    return Statement(
        address=address,
        name=str(entry.get(wire_format.INSTANCE_ID, address)),
        draining=DRAINING_BY_LIFECYCLE.get(str(entry.get(wire_format.LIFECYCLE)), True),
        zone=str(entry.get(wire_format.ZONE, "")),
        started_at_ms=watch_started_at_ms(entry),
    )
