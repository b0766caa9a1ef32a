"""Why an endpoint is in service or not, in plain values for operators (`GET /sources`). Free of I/O."""

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
    """What an explanation is made from, at one moment."""

    now: float  # monotonic seconds
    publisher: MembershipPublisher
    dns_sources: Mapping[str, DnsSource]
    file_sources: Mapping[str, FileSource]
    maintenance: set[str]  # names that operators hold out of service
    watch_heard_at: float


def explain(view: SourcesView, name: str = "") -> dict[str, Any]:
    """`sources`: a row for each; `boxes`: for the endpoint of that name or address, or for all.

    Ages and times left are seconds. Endpoints that were removed are among them for a while.
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
