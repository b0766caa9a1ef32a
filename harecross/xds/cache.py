"""Resources and their versions, and the order in which changes go out. Free of I/O.

A version is a hash of the content: two services with the same content, or one before and after its restart, have the
same versions, and a proxy that reconnects gets only what differs.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from functools import lru_cache

PREFIX = "type.googleapis.com/"
CDS = PREFIX + "envoy.config.cluster.v3.Cluster"
EDS = PREFIX + "envoy.config.endpoint.v3.ClusterLoadAssignment"
LDS = PREFIX + "envoy.config.listener.v3.Listener"
RDS = PREFIX + "envoy.config.route.v3.RouteConfiguration"
TYPES_IN_ORDER = (CDS, EDS, LDS, RDS)  # make before break: a resource goes before those that refer to it
WILDCARD_TYPES = frozenset((CDS, LDS))  # a first request that names none asks for all
VERSION_SPACE = 1 << 64


@lru_cache(1 << 16)
def resource_digest(name: str, version: str) -> int:
    """One resource's part of the version of a set."""
    return int.from_bytes(hashlib.sha256(f"{name}={version}".encode()).digest()[:8], "big")


def format_version(total: int) -> str:
    """The version of a set whose digests sum up to `total`."""
    return f"{total % VERSION_SPACE:016x}"


@dataclass(frozen=True, slots=True)
class Resource:
    """One resource, encoded once for all streams."""

    name: str
    body: bytes
    version: str
    encodings: dict[str, bytes] = field(default_factory=dict, compare=False, repr=False)  # see `wire`

    @classmethod
    def from_body(cls, name: str, body: bytes) -> Resource:
        """A resource with the version that its content has."""
        return cls(name, body, hashlib.sha256(body).hexdigest()[:16])


Resources = Mapping[str, Resource]


def combined_version(resources: Iterable[Resource]) -> str:
    """The version of a set, whatever its order: a sum, so that a stream can update it as the set changes."""
    return format_version(sum(resource_digest(resource.name, resource.version) for resource in resources))


@dataclass(frozen=True, eq=False, slots=True)
class Snapshot:
    """All resources at one time, by type.

    `withheld` are the names of assignments of which nothing is known yet: they are neither sent nor reported as
    removed.
    """

    resources_by_type: Mapping[str, Resources]
    withheld: frozenset[str] = frozenset()

    def get(self, type_url: str) -> Resources:
        """The resources of one type, by name."""
        return self.resources_by_type.get(type_url, {})

    def for_zone(self, zone: str) -> Snapshot:
        """The same for every zone; see `resources.PublishedSnapshots`."""
        return self

    def restricted_to(self, clusters: frozenset[str]) -> Snapshot:
        """What a client sees that may see these clusters; a cluster's four resources have its name."""
        types = {
            type_url: {name: resource for name, resource in resources.items() if name in clusters}
            for type_url, resources in self.resources_by_type.items()
        }
        return Snapshot(types, self.withheld & clusters)


@lru_cache(64)  # by identity: a thousand streams take the same way
def update_steps(before: Snapshot, after: Snapshot) -> tuple[Snapshot, ...]:
    """The way from one snapshot to the next: what is new and changed first, what is removed last.

    A cluster must not be removed while a route still leads to it (the published rules on ordering: a cluster update
    is pushed before the routes that use it, removals after them).
    """
    if all(before.get(type_url).keys() <= after.get(type_url).keys() for type_url in TYPES_IN_ORDER):
        return (after,)
    union = {type_url: {**before.get(type_url), **after.get(type_url)} for type_url in (CDS, EDS)}
    # Routes and listeners may go at once: nothing refers to them but what goes with them.
    union[LDS], union[RDS] = dict(after.get(LDS)), dict(after.get(RDS))
    return (Snapshot(union, after.withheld), after)
