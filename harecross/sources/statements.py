"""From an SRV name's endpoints, or the platform's watch, to statements. Free of I/O."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import TYPE_CHECKING, Any, NamedTuple

from harecross.discovery import wire_format
from harecross.settings import parse_address
from harecross.sources.source import Statement

if TYPE_CHECKING:
    from harecross.dns.srv import SrvEndpoint

MIN_WEIGHT, MAX_WEIGHT = 0.05, 20.0  # of a record, in mean weights of its priority
DRAINING_BY_LIFECYCLE = {wire_format.IN_SERVICE: False, wire_format.TERMINATING: True}


class WeightedEndpoint(NamedTuple):
    """An SRV record's endpoint with its place among the records of its name."""

    endpoint: SrvEndpoint
    priority: int  # counted from 0 within the name
    weight: float  # in mean weights of that priority


def weighted_endpoints(endpoints: Iterable[SrvEndpoint]) -> list[WeightedEndpoint]:
    """Each endpoint with its relative priority and weight.

    RFC 2782: priorities and weights compare within one name only. A weight of 0 among others still gets a
    little; where all are 0 they are alike.
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
    """What an SRV name says of its endpoints."""
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
    """HOST:PORT, with an IPv6 address in brackets."""
    return f"[{ip_address}]:{port}" if ":" in ip_address else f"{ip_address}:{port}"


def watch_entries_by_address(entries: Iterable[Mapping[str, Any]]) -> dict[str, Mapping[str, Any]]:
    """The watch's entries by address: the younger one where a server has taken over another's address, and of two as
    young the one that drains. Lines without a usable address are left out.
    """
    by_address: dict[str, Mapping[str, Any]] = {}
    for entry in entries:
        address = str(entry.get(wire_format.HOST_PORT, ""))
        try:
            parse_address(address)
        except ValueError:
            continue
        other = by_address.get(address)
        if other is None or _youth(entry) > _youth(other):
            by_address[address] = entry
    return by_address


def _youth(entry: Mapping[str, Any]) -> tuple[int, bool]:
    """Sorts entries of one address: later starts last, and drains after the rest."""
    return watch_started_at_ms(entry), entry.get(wire_format.LIFECYCLE) != wire_format.IN_SERVICE


def watch_started_at_ms(entry: Mapping[str, Any]) -> int:
    """When the server started, in Unix milliseconds; 0 where the watch does not say."""
    started_at_ms = entry.get(wire_format.STARTED_AT_MS)
    return started_at_ms if isinstance(started_at_ms, int) else 0


def watch_statement(address: str, entry: Mapping[str, Any]) -> Statement:
    """What the watch says of the endpoint at an address.

    Its weights are nominal sizes, which the decision module measures itself: they are left out.
    """
    return Statement(
        address=address,
        name=str(entry.get(wire_format.INSTANCE_ID, address)),
        draining=DRAINING_BY_LIFECYCLE.get(str(entry.get(wire_format.LIFECYCLE)), True),
        zone=str(entry.get(wire_format.ZONE, "")),
        started_at_ms=watch_started_at_ms(entry),
    )
