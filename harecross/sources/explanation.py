"""Explains to operators why endpoints are in service or not: the body of `GET /sources`."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from harecross.sources.publisher import WATCH, MembershipPublisher
from harecross.sources.reconciler import MergedEndpoint
from harecross.sources.source import Confidence

if TYPE_CHECKING:
    from harecross.sources.dns_source import DnsSource
    from harecross.sources.file_source import FileSource


@dataclass(frozen=True, slots=True)
class SourcesView:
    """The state from which an explanation is built.

    Attributes:
        now: The current time, in seconds of the monotonic clock.
        publisher: The publisher, with the endpoints and the sources.
        dns_sources: The SRV names that are sources, by the source's name.
        file_sources: The address files that are sources, by the source's name.
        maintenance: The names and addresses that are in maintenance.
        watch_heard_at: The time at which the watch last received data, on the same clock as `now`.
    """

    now: float
    publisher: MembershipPublisher
    dns_sources: Mapping[str, DnsSource]
    file_sources: Mapping[str, FileSource]
    maintenance: set[str]
    watch_heard_at: float


def explain(view: SourcesView, name: str = "") -> dict[str, Any]:
    """Returns the explanation as JSON values.

    `sources` holds a row for each source. `boxes` holds a row for each endpoint, or for the endpoints with the name or
    address `name` if one is given. It includes endpoints that were removed and still have a tombstone. Ages and
    remaining times are in seconds.
    """
    reconciler = view.publisher.reconciler
    removed = (e for a, e in reconciler.tombstones.items() if a not in reconciler.endpoints)
    endpoints = [*reconciler.endpoints.values(), *removed]
    if name:
        endpoints = [e for e in endpoints if name == e.address or name in e.names]
    return {
        "priorities": view.publisher.priorities_in_use,
        "sources": [_source_row(view, source) for source in reconciler.sources],
        "boxes": [
            _endpoint_row(view, endpoint, with_statuses=bool(name))
            for endpoint in sorted(endpoints, key=lambda e: e.address)
        ],
    }


def _source_row(view: SourcesView, name: str) -> dict[str, Any]:
    source = view.publisher.reconciler.sources[name]
    row: dict[str, Any] = {
        "source": name,
        "rank": source.rank,
        "credit": str(source.confidence),
        "lists": len(source.listed),
        "drains": len(source.draining),
        "age_s": round(view.now - source.updated_at, 1) if source.updated_at is not None else None,
        "left_s": None,
        "why": "",
    }
    if name in view.dns_sources:
        row.update(_dns_values(view.dns_sources[name], view.now))
    elif name in view.file_sources:
        row["why"] = view.file_sources[name].problem
    elif name == WATCH and source.confidence != Confidence.FRESH:
        row["why"] = f"silent for {view.now - view.watch_heard_at:.1f} s"
    return row


def _dns_values(source: DnsSource, now: float) -> dict[str, Any]:
    cached_name = source.cached_name
    view = cached_name.view(now)
    answered = cached_name.answer is not None
    next_s = 0.0 if cached_name.refreshing else round(max(0.0, cached_name.refresh_at - now), 1)
    return {
        "credit": str(view.status),
        "age_s": round(view.age_s, 1) if answered else None,
        "left_s": round(view.remaining_s, 1) if answered else None,
        "why": view.problem,
        "notes": list(view.notes),
        "next_s": next_s,
        "believed_after_s": source.config.doubt_s,
        "stale_max_s": source.config.stale_max_s,
    }


def _endpoint_row(view: SourcesView, endpoint: MergedEndpoint, *, with_statuses: bool) -> dict[str, Any]:
    reconciler, in_use = view.publisher.reconciler, view.publisher.priorities_in_use
    present = endpoint.address in reconciler.endpoints
    held_out = endpoint.is_in_maintenance(view.maintenance)
    spare = present and endpoint.eligible and endpoint.statement.priority not in in_use
    row: dict[str, Any] = {
        "address": endpoint.address,
        "names": sorted(endpoint.names),
        "in": present and endpoint.eligible and not held_out and not spare,
        "outcome": str(endpoint.verdict.decision),
        "line": str(endpoint.verdict.line),
        "held_out": held_out,
        "spare": spare,
        "priority": endpoint.statement.priority,
        "weight": round(endpoint.statement.weight, 3),
        "zone": endpoint.statement.zone,
        "changes": [
            {
                "ago_s": round(view.now - change.at, 1),
                "outcome": str(change.verdict.decision),
                "line": str(change.verdict.line),
            }
            for change in reversed(endpoint.changes)
        ],
    }
    if with_statuses:
        evidence = reconciler.evidence(endpoint.address, view.now)
        row["words"] = {name: str(item.status) for name, item in evidence.items()}
    return row
