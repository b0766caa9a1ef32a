"""A stand-in xDS client and proxy, both variants, with scripted misbehaviour. Needs the extra `xds`.

Written from the published protocol (Envoy's xDS REST and gRPC protocol page): it holds what it is sent, ACKs or
refuses it, comes back with the versions it holds, and picks endpoints as Envoy does: by priority, health and weight.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

import grpc
from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.service.discovery.v3 import discovery_pb2

PREFIX = "type.googleapis.com/envoy.config."
CLUSTER = PREFIX + "cluster.v3.Cluster"
ASSIGNMENT = PREFIX + "endpoint.v3.ClusterLoadAssignment"
LISTENER = PREFIX + "listener.v3.Listener"
ROUTE = PREFIX + "route.v3.RouteConfiguration"
ADS = "/envoy.service.discovery.v3.AggregatedDiscoveryService/"
HEALTHY, DRAINING, DEGRADED = (0, 1), 3, 5


@dataclass(frozen=True, slots=True)
class Target:
    """One endpoint as the proxy understands it."""

    name: str
    port: int
    health: int
    weight: int
    priority: int


def targets(body: bytes) -> list[Target]:
    """The endpoints of one assignment."""
    a = endpoint_pb2.ClusterLoadAssignment.FromString(body)
    return [
        Target(
            locality.locality.sub_zone, e.endpoint.address.socket_address.port_value, e.health_status,
            locality.load_balancing_weight.value, locality.priority,
        )
        for locality in a.endpoints
        for e in locality.lb_endpoints
    ]  # fmt: skip


def pick(rng: Random, endpoints: list[Target]) -> Target | None:
    """One call's endpoint: the lowest priority with a healthy one, there by weight; degraded ones if none is."""
    for fits in (lambda t: t.health in HEALTHY, lambda t: t.health == DEGRADED):
        able = [t for t in endpoints if fits(t)]
        if able:
            least = min(t.priority for t in able)
            able = [t for t in able if t.priority == least]
            return rng.choices(able, [t.weight for t in able])[0]
    return None


WRITE_FAILED = "Internal error from Core"  # grpc.aio's own text for a write that could not be carried out


class XdsProxy:
    """One proxy over one stream at a time. Misbehaves as `refuse`, `reading` and `acks` say."""

    def __init__(
        self,
        channel: Any,
        names: list[str] | None = None,
        delta: bool = False,
        node: str = "proxy",
        zone: str = "",
        path: str = "",
        types: tuple[str, ...] = (CLUSTER, ASSIGNMENT),
    ) -> None:
        self.channel = channel
        self.names = names  # of assignments; None: those of all clusters
        self.delta = delta
        self.node, self.zone = node, zone
        self.types = types
        self.path = path or ADS + ("DeltaAggregatedResources" if delta else "StreamAggregatedResources")
        self.held: dict[str, dict[str, bytes]] = {t: {} for t in types}
        self.versions: dict[str, dict[str, str]] = {t: {} for t in types}  # delta
        self.version: dict[str, str] = {}  # state of the world
        self.nonce: dict[str, str] = {}
        self.wanted: set[str] = set(names or ())
        self.refuse: Callable[[str, list[str]], str] = lambda type_url, names: ""  # a reason refuses
        self.reading = asyncio.Event()
        self.reading.set()
        self.acks = True
        self.keep_state = True  # what was held before a reconnect is told, and served meanwhile
        self.changed = asyncio.Event()
        self.arrivals: list[tuple[float, str, bytes]] = []  # assignments with their monotonic times, unread
        self.track: set[str] | None = None  # clusters whose assignments are kept there; None for all
        self.responses: list[tuple[str, list[str], list[str]]] = []  # type, names, removed
        self.resources = 0  # received since the last connect
        self.took = 0.0  # when the newest response came, monotonic
        self.streams = 0
        self.stopping = False
        self.error: grpc.aio.AioRpcError | None = None
        self.call: Any = None
        self.task: asyncio.Task[None] | None = None
        self.on_response: Callable[[XdsProxy, str, list[str]], None] = lambda proxy, type_url, names: None

    def start(self) -> XdsProxy:
        self.task = asyncio.create_task(self.run())
        return self

    async def stop(self) -> None:
        self.stopping = True
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)

    async def run(self) -> None:
        """Streams, one after the other, until `stop`."""
        wait = 0.01
        while True:
            self.error = None
            try:
                await self.stream()
                wait = 0.01
            except grpc.aio.AioRpcError as e:
                # Where a write meets the server's end of the stream, grpc has this in the place of its status.
                own_write = e.code() is grpc.StatusCode.INTERNAL and e.details() == WRITE_FAILED
                if not own_write:
                    self.error = e
                    self.changed.set()
            await asyncio.sleep(wait)
            wait = min(0.5, 2 * wait)

    def cut(self) -> None:
        """Ends the stream now; the proxy comes back by itself."""
        if self.call is not None:
            self.call.cancel()

    async def stream(self) -> None:
        kind, reply = discovery_pb2.DiscoveryRequest, discovery_pb2.DiscoveryResponse
        if self.delta:
            kind, reply = discovery_pb2.DeltaDiscoveryRequest, discovery_pb2.DeltaDiscoveryResponse
        method = self.channel.stream_stream(
            self.path, request_serializer=kind.SerializeToString, response_deserializer=reply.FromString
        )
        self.nonce.clear()
        self.resources = 0
        if not self.keep_state:
            self.version.clear()
            for t in self.types:
                self.held[t].clear()
                self.versions[t].clear()
        self.call = method()
        self.streams += 1
        self.changed.set()
        for t in self.types:
            if t in (CLUSTER, LISTENER) or self.wanted:
                await self.ask(t)
        while True:
            await self.reading.wait()
            try:
                response = await self.call.read()
            except asyncio.CancelledError:
                if not self.stopping:  # `cut`
                    return
                raise
            if response is grpc.aio.EOF:
                await self.call.code()
                return
            await self.take(response)

    def names_of(self, type_url: str) -> list[str]:
        return [] if type_url in (CLUSTER, LISTENER) else sorted(self.wanted)

    async def ask(self, type_url: str, error: str = "") -> None:
        """A first request, an ACK, a NACK or another subscription (state of the world)."""
        names = self.names_of(type_url)
        if self.delta:
            request = discovery_pb2.DeltaDiscoveryRequest(
                type_url=type_url, response_nonce=self.nonce.get(type_url, "")
            )
            if type_url not in self.nonce:
                request.resource_names_subscribe.extend(names)
                request.initial_resource_versions.update(self.versions[type_url])
        else:
            request = discovery_pb2.DiscoveryRequest(
                type_url=type_url, response_nonce=self.nonce.get(type_url, ""), resource_names=names,
                version_info=self.version.get(type_url, ""),
            )  # fmt: skip
        request.node.id = self.node
        request.node.locality.zone = self.zone
        if error:
            request.error_detail.code = 3
            request.error_detail.message = error
        await self.call.write(request)

    async def subscribe(self, names: set[str]) -> None:
        """Other assignments from now on."""
        added, dropped = names - self.wanted, self.wanted - names
        self.wanted = set(names)
        for name in dropped:
            self.held[ASSIGNMENT].pop(name, None)
            self.versions[ASSIGNMENT].pop(name, None)
        if not self.delta or ASSIGNMENT not in self.nonce:
            await self.ask(ASSIGNMENT)
        elif added or dropped:
            await self.call.write(
                discovery_pb2.DeltaDiscoveryRequest(
                    type_url=ASSIGNMENT, resource_names_subscribe=sorted(added),
                    resource_names_unsubscribe=sorted(dropped),
                )
            )  # fmt: skip

    async def take(self, response: Any) -> None:
        type_url = response.type_url
        if self.delta:
            found = {r.name: r.resource.value for r in response.resources}
        else:
            found = {name_of(r.value): r.value for r in response.resources}
        removed = list(response.removed_resources) if self.delta else []
        self.nonce[type_url] = response.nonce
        self.responses.append((type_url, list(found), removed))
        self.resources += len(found)
        self.took = time.monotonic()
        error = self.refuse(type_url, list(found))
        if not error:
            held = self.held[type_url]
            if not self.delta and type_url in (CLUSTER, LISTENER):
                for name in held.keys() - found.keys():
                    del held[name]
            held.update(found)
            for name in removed:
                held.pop(name, None)
                self.versions[type_url].pop(name, None)
            if self.delta:
                self.versions[type_url].update({r.name: r.version for r in response.resources})
            self.version[type_url] = "" if self.delta else response.version_info
            if type_url == ASSIGNMENT:
                tracked = found if self.track is None else found.keys() & self.track
                self.arrivals += [(self.took, n, found[n]) for n in tracked]
        if self.acks:
            await self.ask(type_url, error)
        if type_url == CLUSTER and self.names is None and set(self.held[CLUSTER]) != self.wanted:
            await self.subscribe(set(self.held[CLUSTER]))
        self.on_response(self, type_url, list(found))
        self.changed.set()

    def told_at(self, cluster: str, server: str, health: int, since: float = 0.0) -> float | None:
        """When the proxy first heard that of a server, after `since`; read only when it is asked for."""
        for at, name, body in self.arrivals:
            fits = at >= since and name == cluster
            if fits and any(t.name == server and t.health == health for t in targets(body)):
                return at
        return None

    def endpoints(self, cluster: str) -> list[Target]:
        return targets(self.held[ASSIGNMENT].get(cluster, b""))

    async def until(self, fits: Callable[[XdsProxy], bool], seconds: float = 20.0) -> None:
        """Waits for what the proxy holds to fit. TimeoutError if it never does."""
        async with asyncio.timeout(seconds):
            while not fits(self):
                self.changed.clear()
                await self.changed.wait()


def name_of(body: bytes) -> str:
    """The name of a resource: field 1 of all four types, a short string."""
    assert body[0] == 0x0A, "the first field is the name"
    size, at = body[1], 2
    if size & 0x80:
        size, at = (size & 0x7F) | body[2] << 7, 3
    return body[at : at + size].decode()
