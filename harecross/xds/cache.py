"""Resources, their versions and the order in which changes are sent.

A version is a hash of the content. Two services with the same content, or one service before and after a restart,
therefore publish the same versions, and a proxy that reconnects is sent only what differs.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from functools import lru_cache

TYPE_URL_PREFIX = "type.googleapis.com/"
CDS = TYPE_URL_PREFIX + "envoy.config.cluster.v3.Cluster"
EDS = TYPE_URL_PREFIX + "envoy.config.endpoint.v3.ClusterLoadAssignment"
LDS = TYPE_URL_PREFIX + "envoy.config.listener.v3.Listener"
RDS = TYPE_URL_PREFIX + "envoy.config.route.v3.RouteConfiguration"
# Make before break: a resource is sent before the resources that refer to it.
TYPES_IN_ORDER = (CDS, EDS, LDS, RDS)
# A first request for one of these types that names no resources subscribes to all of them.
WILDCARD_TYPES = frozenset((CDS, LDS))
# Versions of sets of resources are computed modulo this number.
VERSION_SPACE = 1 << 64


@lru_cache(1 << 16)
def resource_digest(name: str, version: str) -> int:
    """Returns what one resource contributes to the version of a set of resources."""
    return int.from_bytes(hashlib.sha256(f"{name}={version}".encode()).digest()[:8], "big")


def format_version(total: int) -> str:
    """Formats the version of a set of resources whose digests add up to `total`."""
    return f"{total % VERSION_SPACE:016x}"


@dataclass(frozen=True, slots=True)
class Resource:
    """One resource, encoded once for all streams.

    Attributes:
        name: The resource's name, unique within its type.
        body: The encoded protobuf message.
        version: A hash of `body`.
        encodings: The resource as part of a response, by xDS variant; filled in by the module `wire` on first use.
    """

    name: str
    body: bytes
    version: str
    encodings: dict[str, bytes] = field(default_factory=dict, compare=False, repr=False)

    @classmethod
    def from_body(cls, name: str, body: bytes) -> Resource:
        """Creates a resource whose version is the hash of its content."""
        return cls(name, body, hashlib.sha256(body).hexdigest()[:16])


Resources = Mapping[str, Resource]


def combined_version(resources: Iterable[Resource]) -> str:
    """Returns the version of a set of resources, regardless of their order.

    The version is a sum of digests, so that a stream can update it incrementally when one resource changes.
    """
    return format_version(sum(resource_digest(resource.name, resource.version) for resource in resources))


@dataclass(frozen=True, eq=False, slots=True)
class Snapshot:
    """All resources at one moment.

    Attributes:
        resources_by_type: The resources by type URL, then by name.
        withheld: Names of endpoint assignments (EDS) whose content is not known yet. They are neither sent nor
            reported as removed.
    """

    resources_by_type: Mapping[str, Resources]
    withheld: frozenset[str] = frozenset()

    def get(self, type_url: str) -> Resources:
        """Returns the resources of one type, by name."""
        return self.resources_by_type.get(type_url, {})

    def for_zone(self, zone: str) -> Snapshot:
        """Returns this snapshot, which serves every zone; `resources.PublishedSnapshots` has one for each zone."""
        return self

    def restricted_to(self, clusters: frozenset[str]) -> Snapshot:
        """Returns what a client that is allowed these clusters sees.

        The four resources of a cluster all have the cluster's name.
        """
        types = {
            type_url: {name: resource for name, resource in resources.items() if name in clusters}
            for type_url, resources in self.resources_by_type.items()
        }
        return Snapshot(types, self.withheld & clusters)


# Snapshots are compared by identity: a thousand streams move between the same two snapshots.
@lru_cache(64)
def update_steps(before: Snapshot, after: Snapshot) -> tuple[Snapshot, ...]:
    """Returns the snapshots to send in turn to get from one snapshot to the next.

    New and changed resources are sent first, removals last: a cluster must not be removed while a route still refers
    to it. The xDS rules on ordering say that a cluster update is pushed before the routes that use it, and removals
    are pushed after them.
    """
    if all(before.get(type_url).keys() <= after.get(type_url).keys() for type_url in TYPES_IN_ORDER):
        return (after,)
    union = {type_url: {**before.get(type_url), **after.get(type_url)} for type_url in (CDS, EDS)}
    # Routes and listeners can be removed in the first step: only resources removed with them refer to them.
    union[LDS], union[RDS] = dict(after.get(LDS)), dict(after.get(RDS))
    return (Snapshot(union, after.withheld), after)
