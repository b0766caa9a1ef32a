"""Resources and their versions, and the order in which changes go out. Free of I/O.

A version is a hash of the content: two services with the same content, or one before and after its restart,
give the same, and a proxy that comes back is sent only what differs.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

PREFIX = "type.googleapis.com/"
CDS = PREFIX + "envoy.config.cluster.v3.Cluster"
EDS = PREFIX + "envoy.config.endpoint.v3.ClusterLoadAssignment"
LDS = PREFIX + "envoy.config.listener.v3.Listener"
RDS = PREFIX + "envoy.config.route.v3.RouteConfiguration"
ORDER = (CDS, EDS, LDS, RDS)  # make before break: what is referred to goes before what refers to it
WILDCARDS = frozenset((CDS, LDS))  # types whose first request may ask for all by naming none


@dataclass(frozen=True, slots=True)
class Resource:
    """One resource, encoded once for all streams."""

    name: str
    body: bytes
    version: str

    @classmethod
    def of(cls, name: str, body: bytes) -> Resource:
        return cls(name, body, hashlib.sha256(body).hexdigest()[:16])


Resources = Mapping[str, Resource]


def version_of(resources: Iterable[Resource]) -> str:
    """The version of a set, whatever its order; one of its own for the empty set."""
    text = "\n".join(sorted(f"{r.name}={r.version}" for r in resources))
    return hashlib.sha256(text.encode()).hexdigest()[:16]


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All resources at one time, by type."""

    types: Mapping[str, Resources]

    def get(self, type_url: str) -> Resources:
        return self.types.get(type_url, {})


def steps(before: Snapshot, after: Snapshot) -> list[Snapshot]:
    """The way from one snapshot to the next: what is new and changed first, what is gone last.

    Failure prevented: a cluster goes while a route still leads to it, and its calls fail (the published rules
    on ordering: a cluster update is pushed before the routes that use it, removals after them).
    """
    union: dict[str, Resources] = {}
    gone = False
    for type_url in ORDER:
        old, new = before.get(type_url), after.get(type_url)
        left = {n: r for n, r in old.items() if n not in new}
        gone = gone or bool(left)
        union[type_url] = {**left, **new}
    if not gone:
        return [after]
    # Routes and listeners may go at once: nothing refers to them but what goes with them.
    union[LDS], union[RDS] = after.get(LDS), after.get(RDS)
    return [Snapshot(union), after]
