"""A stand-in for an xDS proxy, with the state-of-the-world and delta variants and scripted faults.

It is written from the published protocol (Envoy's page "xDS REST and gRPC protocol"): it ACKs or NACKs the resources
that it receives, reconnects with the versions that it has, and picks endpoints as Envoy does, by priority, health and
weight. The module needs the extra `xds`.
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
    """One endpoint of a cluster load assignment; `health` is Envoy's health status."""

    name: str
    port: int
    health: int
    weight: int
    priority: int


def targets(body: bytes) -> list[Target]:
    """Returns the endpoints of an encoded cluster load assignment."""
    assignment = endpoint_pb2.ClusterLoadAssignment.FromString(body)
    return [
        Target(
            locality.locality.sub_zone, item.endpoint.address.socket_address.port_value, item.health_status,
            locality.load_balancing_weight.value, locality.priority,
        )
        for locality in assignment.endpoints
        for item in locality.lb_endpoints
    ]  # fmt: skip


def pick(rng: Random, endpoints: list[Target]) -> Target | None:
    """Picks the endpoint of a request by weight, among the healthy ones of the first priority that has any.

    If no endpoint is healthy, picks among the degraded ones in the same way. Returns None if there are none either.
    """
    for usable_health in (HEALTHY, (DEGRADED,)):
        usable = [target for target in endpoints if target.health in usable_health]
        if usable:
            priority = min(target.priority for target in usable)
            usable = [target for target in usable if target.priority == priority]
            return rng.choices(usable, [target.weight for target in usable])[0]
    return None


INITIAL_BACKOFF_S, MAX_BACKOFF_S = 0.01, 0.5
WRITE_FAILED = "Internal error from Core"  # the error details that grpc.aio itself sets for a failed write


def accept_all(_type_url: str, _names: list[str]) -> str:
    """Accepts every response, by returning an empty rejection reason."""
    return ""


class XdsProxy:
    """An xDS proxy with one stream at a time. `rejection_reason`, `may_read` and `acknowledges` control its faults.

    Attributes:
        channel: The gRPC channel.
        names: Names of the assignments to subscribe to; None means those of all clusters.
        delta: Whether the delta variant is used.
        node: Id of the xDS node.
        zone: Zone of the xDS node's locality.
        types: Type URLs of the resources.
        path: gRPC method.
        accepted: The accepted resources, by type and name.
        versions: Versions of the accepted resources, by type and name (delta only).
        version: Version of the last accepted response, by type (state of the world only).
        nonce: Nonce of the last response, by type.
        subscribed: Names of the subscribed assignments.
        rejection_reason: Called with the type and the names of a response; it is rejected if the result is not empty.
        may_read: While this event is not set, the proxy reads no responses.
        acknowledges: Whether responses are answered with an ACK or a NACK.
        keeps_state: Whether resources are kept across reconnects, and their versions sent.
        changed: Set when a stream starts or fails, or a response has been processed.
        arrivals: Accepted assignments: monotonic time of arrival, name and encoded resource.
        tracked_clusters: Clusters whose assignments are added to `arrivals`; None means all.
        responses: All responses: type, names of the resources, names of the removed resources.
        received_count: Number of resources received since the last connect.
        received_at: Monotonic time of the newest response.
        streams: Number of streams started.
        stopping: Set by `stop`.
        error: The error with which the last stream ended, if any.
        call: The current stream.
        task: The task that runs the streams.
        on_response: Called after each response with the proxy, the type and the names of the resources.
    """

    rejection_reason: Callable[[str, list[str]], str]

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
        self.names = names
        self.delta = delta
        self.node, self.zone = node, zone
        self.types = types
        self.path = path or ADS + ("DeltaAggregatedResources" if delta else "StreamAggregatedResources")
        self.accepted: dict[str, dict[str, bytes]] = {type_url: {} for type_url in types}
        self.versions: dict[str, dict[str, str]] = {type_url: {} for type_url in types}
        self.version: dict[str, str] = {}
        self.nonce: dict[str, str] = {}
        self.subscribed: set[str] = set(names or ())
        self.rejection_reason = accept_all
        self.may_read = asyncio.Event()
        self.may_read.set()
        self.acknowledges = True
        self.keeps_state = True
        self.changed = asyncio.Event()
        self.arrivals: list[tuple[float, str, bytes]] = []
        self.tracked_clusters: set[str] | None = None
        self.responses: list[tuple[str, list[str], list[str]]] = []
        self.received_count = 0
        self.received_at = 0.0
        self.streams = 0
        self.stopping = False
        self.error: grpc.aio.AioRpcError | None = None
        self.call: Any = None
        self.task: asyncio.Task[None] | None = None
        self.on_response: Callable[[XdsProxy, str, list[str]], None] = lambda proxy, type_url, names: None

    def start(self) -> XdsProxy:
        """Starts connecting; the proxy reconnects until `stop` is called."""
        self.task = asyncio.create_task(self._run())
        return self

    async def stop(self) -> None:
        """Ends the stream and does not reconnect."""
        self.stopping = True
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)

    async def _run(self) -> None:
        """Runs one stream after the other, with backoff, until cancelled by `stop`."""
        backoff_s = INITIAL_BACKOFF_S
        while True:
            self.error = None
            try:
                await self._run_stream()
                backoff_s = INITIAL_BACKOFF_S
            except grpc.aio.AioRpcError as error:
                # If a write fails because the server has just ended the stream, grpc.aio raises this error instead of
                # the server's status.
                write_failed = error.code() is grpc.StatusCode.INTERNAL and error.details() == WRITE_FAILED
                if not write_failed:
                    self.error = error
                    self.changed.set()
            await asyncio.sleep(backoff_s)
            backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s)

    def cancel_stream(self) -> None:
        """Cancels the current stream; the proxy then reconnects."""
        if self.call is not None:
            self.call.cancel()

    async def _run_stream(self) -> None:
        """Opens a stream and processes its responses until it ends."""
        request_type, response_type = discovery_pb2.DiscoveryRequest, discovery_pb2.DiscoveryResponse
        if self.delta:
            request_type = discovery_pb2.DeltaDiscoveryRequest
            response_type = discovery_pb2.DeltaDiscoveryResponse
        method = self.channel.stream_stream(
            self.path,
            request_serializer=request_type.SerializeToString,
            response_deserializer=response_type.FromString,
        )
        self.nonce.clear()
        self.received_count = 0
        if not self.keeps_state:
            self.version.clear()
            for type_url in self.types:
                self.accepted[type_url].clear()
                self.versions[type_url].clear()
        self.call = method()
        self.streams += 1
        self.changed.set()
        for type_url in self.types:
            if type_url in (CLUSTER, LISTENER) or self.subscribed:
                await self._send_request(type_url)
        while True:
            await self.may_read.wait()
            try:
                response = await self.call.read()
            except asyncio.CancelledError:
                if not self.stopping:  # cancelled by `cancel_stream`
                    return
                raise
            if response is grpc.aio.EOF:
                await self.call.code()
                return
            await self._receive(response)

    def _subscribed_names(self, type_url: str) -> list[str]:
        return [] if type_url in (CLUSTER, LISTENER) else sorted(self.subscribed)

    async def _send_request(self, type_url: str, error: str = "") -> None:
        """Sends a request: the first of the stream, an ACK, a NACK (with `error`) or a changed subscription.

        With the delta variant, changed subscriptions are sent by `subscribe`.
        """
        names = self._subscribed_names(type_url)
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
        """Replaces the set of subscribed assignments."""
        added, dropped = names - self.subscribed, self.subscribed - names
        self.subscribed = set(names)
        for name in dropped:
            self.accepted[ASSIGNMENT].pop(name, None)
            self.versions[ASSIGNMENT].pop(name, None)
        if not self.delta or ASSIGNMENT not in self.nonce:
            await self._send_request(ASSIGNMENT)
        elif added or dropped:
            await self.call.write(
                discovery_pb2.DeltaDiscoveryRequest(
                    type_url=ASSIGNMENT, resource_names_subscribe=sorted(added),
                    resource_names_unsubscribe=sorted(dropped),
                )
            )  # fmt: skip

    async def _receive(self, response: Any) -> None:
        """Processes a response: stores its resources or rejects them, and sends an ACK or a NACK."""
        type_url = response.type_url
        if self.delta:
            found = {item.name: item.resource.value for item in response.resources}
        else:
            found = {name_of(item.value): item.value for item in response.resources}
        removed = list(response.removed_resources) if self.delta else []
        self.nonce[type_url] = response.nonce
        self.responses.append((type_url, list(found), removed))
        self.received_count += len(found)
        self.received_at = time.monotonic()
        error = self.rejection_reason(type_url, list(found))
        if not error:
            accepted = self.accepted[type_url]
            if not self.delta and type_url in (CLUSTER, LISTENER):
                for name in accepted.keys() - found.keys():
                    del accepted[name]
            accepted.update(found)
            for name in removed:
                accepted.pop(name, None)
                self.versions[type_url].pop(name, None)
            if self.delta:
                self.versions[type_url].update({item.name: item.version for item in response.resources})
            self.version[type_url] = "" if self.delta else response.version_info
            if type_url == ASSIGNMENT:
                tracked = found if self.tracked_clusters is None else found.keys() & self.tracked_clusters
                self.arrivals += [(self.received_at, name, found[name]) for name in tracked]
        if self.acknowledges:
            await self._send_request(type_url, error)
        if type_url == CLUSTER and self.names is None and set(self.accepted[CLUSTER]) != self.subscribed:
            await self.subscribe(set(self.accepted[CLUSTER]))
        self.on_response(self, type_url, list(found))
        self.changed.set()

    def first_seen_at(self, cluster: str, server: str, health: int, since: float = 0.0) -> float | None:
        """Returns the monotonic time, not before `since`, at which a server was first received with this health.

        Returns None if that has not happened.
        """
        for at, name, body in self.arrivals:
            if at < since or name != cluster:
                continue
            if any(target.name == server and target.health == health for target in targets(body)):
                return at
        return None

    def endpoints(self, cluster: str) -> list[Target]:
        """Returns the accepted endpoints of a cluster."""
        return targets(self.accepted[ASSIGNMENT].get(cluster, b""))

    async def until(self, condition: Callable[[XdsProxy], bool], seconds: float = 20.0) -> None:
        """Waits until the condition holds. Raises TimeoutError after `seconds`."""
        async with asyncio.timeout(seconds):
            while not condition(self):
                self.changed.clear()
                await self.changed.wait()


def name_of(body: bytes) -> str:
    """Returns the name of an encoded resource, which is field 1 (a short string) in all four types."""
    assert body[0] == 0x0A, "the first field is not the name"
    size, at = body[1], 2
    if size & 0x80:
        size, at = (size & 0x7F) | body[2] << 7, 3
    return body[at : at + size].decode()
