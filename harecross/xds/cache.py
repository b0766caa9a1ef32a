"""Resources and their versions, and the order in which changes go out. Free of I/O.

A version is a hash of the content: two services with the same content, or one before and after its restart,
give the same, and a proxy that comes back is sent only what differs.
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
ORDER = (CDS, EDS, LDS, RDS)  # make before break: what is referred to goes before what refers to it
WILDCARDS = frozenset((CDS, LDS))  # types whose first request may ask for all by naming none
SPACE = 1 << 64


@lru_cache(1 << 16)
def digest(name: str, version: str) -> int:
    """One resource's part in the version of a set."""
    return int.from_bytes(hashlib.sha256(f"{name}={version}".encode()).digest()[:8], "big")


def version_text(total: int) -> str:
    """The version of a set whose digests sum up to `total`."""
    return f"{total % SPACE:016x}"


@dataclass(frozen=True, slots=True)
class Resource:
    """One resource, encoded once for all streams."""

    name: str
    body: bytes
    version: str
    frames: dict[str, bytes] = field(default_factory=dict, compare=False, repr=False)  # see `wire`

    @classmethod
    def of(cls, name: str, body: bytes) -> Resource:
        return cls(name, body, hashlib.sha256(body).hexdigest()[:16])


Resources = Mapping[str, Resource]


def version_of(resources: Iterable[Resource]) -> str:
    """The version of a set, whatever its order: a sum, so that a stream can keep it up as the set changes."""
    return version_text(sum(digest(r.name, r.version) for r in resources))


@dataclass(frozen=True, eq=False, slots=True)
class Snapshot:
    """All resources at one time, by type.

    `withheld` names assignments of which nothing is known yet: they are neither sent nor told as removed.
    """

    types: Mapping[str, Resources]
    withheld: frozenset[str] = frozenset()

    def get(self, type_url: str) -> Resources:
        return self.types.get(type_url, {})

    def for_zone(self, zone: str) -> Snapshot:
        """The same for every zone; see `resources.Published`."""
        return self

    def only(self, names: frozenset[str]) -> Snapshot:
        """What a client sees that may see these clusters; a cluster's four resources bear its name."""
        return Snapshot(
            {t: {n: r for n, r in resources.items() if n in names} for t, resources in self.types.items()},
            self.withheld & names,
        )


@lru_cache(64)  # by identity: a thousand streams take the same step
def steps(before: Snapshot, after: Snapshot) -> tuple[Snapshot, ...]:
    """The way from one snapshot to the next: what is new and changed first, what is gone last.

    Failure prevented: a cluster goes while a route still leads to it, and its calls fail (the published rules
    on ordering: a cluster update is pushed before the routes that use it, removals after them).
    """
    if all(before.get(t).keys() <= after.get(t).keys() for t in ORDER):
        return (after,)
    union = {t: {**before.get(t), **after.get(t)} for t in (CDS, EDS)}
    # Routes and listeners may go at once: nothing refers to them but what goes with them.
    union[LDS], union[RDS] = dict(after.get(LDS)), dict(after.get(RDS))
    return (Snapshot(union, after.withheld), after)
