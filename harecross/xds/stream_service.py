"""The discovery services on grpcio's asyncio server: streams of both xDS variants, and single fetches.

Each stream has a task that reads and one that writes. The writer pulls one response at a time, so that nothing is
queued for a slow proxy. Every writer sends urgent responses at once. For all other responses, such as the full resends
to a thousand reconnecting proxies, a writer needs a write slot. The protocol logic is in `streams` and its subclasses.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator, Callable
from typing import Any

import grpc
from envoy.service.discovery.v3 import discovery_pb2

from harecross.xds.cache import CDS, EDS, LDS, RDS, Snapshot
from harecross.xds.client_identity import AllowedClusters, Log, identify
from harecross.xds.config import Limits
from harecross.xds.delta_stream import DeltaStream
from harecross.xds.proxy_stream import ProxyStream, WriteSlots
from harecross.xds.publication import Publication
from harecross.xds.sotw_stream import SotwStream
from harecross.xds.streams import MAX_UNACKNOWLEDGED
from harecross.xds.subscription import BadRequestError, Response
from harecross.xds.wire import encode_delta, encode_sotw

# How long a stream may hold its write slot while the proxy does not read. A slow proxy does not delay the others.
SLOT_TIMEOUT_S = 0.25
# How long one response may stay unread before the stream is ended.
UNREAD_TIMEOUT_S = 10.0
# The most characters of a proxy's error message that are logged.
MAX_LOGGED_ERROR = 500
# A part size for fetches, whose only response holds everything.
UNLIMITED_BYTES = 1 << 62

ADS = "envoy.service.discovery.v3.AggregatedDiscoveryService"
# The services for a single type, by its URL: the name of the service and the suffix of its methods' names.
SERVICES = {
    CDS: ("envoy.service.cluster.v3.ClusterDiscoveryService", "Clusters"),
    EDS: ("envoy.service.endpoint.v3.EndpointDiscoveryService", "Endpoints"),
    LDS: ("envoy.service.listener.v3.ListenerDiscoveryService", "Listeners"),
    RDS: ("envoy.service.route.v3.RouteDiscoveryService", "Routes"),
}


class SlowProxyError(Exception):
    """A proxy does not read or does not acknowledge the responses that it is sent."""


class StreamService:
    """Serves the resources of a publication to proxies.

    Attributes:
        proxies: The open streams.
        write_slots: The slots for non-urgent responses.
        bytes_sent: Bytes of all responses that were sent on streams.
        slow_proxies_dropped: Streams that were ended because the proxy did not read or acknowledge responses.
    """

    def __init__(
        self, publication: Publication, limits: Limits, allowed_clusters: AllowedClusters, log: Log
    ) -> None:
        self.proxies: set[ProxyStream] = set()
        self.write_slots = WriteSlots()
        self.bytes_sent = 0
        self.slow_proxies_dropped = 0
        self._publication = publication
        self._limits = limits
        self._allowed_clusters = allowed_clusters
        self._log = log

    def handlers(self) -> list[Any]:
        """Returns the gRPC handlers of the aggregated service and of the services for a single type."""
        methods = {
            "StreamAggregatedResources": self._stream_handler(delta=False),
            "DeltaAggregatedResources": self._stream_handler(delta=True),
        }
        handlers = [grpc.method_handlers_generic_handler(ADS, methods)]
        for type_url, (service, name) in SERVICES.items():
            methods = {
                f"Stream{name}": self._stream_handler(delta=False, only_type=type_url),
                f"Delta{name}": self._stream_handler(delta=True, only_type=type_url),
                f"Fetch{name}": self._fetch_handler(type_url),
            }
            handlers.append(grpc.method_handlers_generic_handler(service, methods))
        return handlers

    def _stream_handler(self, *, delta: bool, only_type: str = "") -> Any:
        async def call(requests: AsyncIterator[Any], context: Any) -> None:
            await self._serve(requests, context, delta=delta, only_type=only_type)

        request = discovery_pb2.DeltaDiscoveryRequest if delta else discovery_pb2.DiscoveryRequest
        return grpc.stream_stream_rpc_method_handler(call, request_deserializer=request.FromString)

    def _fetch_handler(self, type_url: str) -> Any:
        async def call(request: Any, context: Any) -> bytes:
            return await self._fetch(request, context, type_url)

        deserializer = discovery_pb2.DiscoveryRequest.FromString
        return grpc.unary_unary_rpc_method_handler(call, request_deserializer=deserializer)

    def snapshot_for(self, proxy: ProxyStream) -> Snapshot:
        """Returns the resources that a proxy should have now."""
        return self._publication.snapshot_for(proxy.zone, proxy.allowed_clusters)

    async def _admit(self, context: Any, *, delta: bool) -> ProxyStream:
        """Waits for the first publication and returns the state of a new stream.

        Aborts the call if too many streams are open or if the client may not see any cluster.
        """
        if len(self.proxies) >= self._limits.streams:
            text = f"{self._limits.streams} streams are open"
            await context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, text)
        identity = await identify(context, self._allowed_clusters, self._log)
        # A service that has just started must not report to proxies that no resources exist.
        await self._publication.ready.wait()
        stream = (DeltaStream if delta else SotwStream)(Snapshot({}), self._limits.subscriptions)
        return ProxyStream(context.peer(), stream, identity.allowed_clusters, identity.certificate_names)

    async def _serve(
        self, requests: AsyncIterator[Any], context: Any, *, delta: bool, only_type: str
    ) -> None:
        """Serves one stream until it ends; `only_type` is the type URL if the service serves a single type."""
        proxy = await self._admit(context, delta=delta)
        self.proxies.add(proxy)
        tasks = [
            asyncio.create_task(self._read(proxy, requests, only_type)),
            asyncio.create_task(self._write(proxy, context, encode_delta if delta else encode_sotw)),
        ]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self.proxies.discard(proxy)
            proxy.closed = True
            self.write_slots.release(proxy)
            for task in tasks:
                task.cancel()
            results = await asyncio.gather(*tasks, return_exceptions=True)
        await self._end(proxy, context, [r for r in results if isinstance(r, Exception)])

    async def _end(self, proxy: ProxyStream, context: Any, errors: list[Exception]) -> None:
        """Ends a call with the gRPC status that corresponds to its errors."""
        for error in errors:
            if isinstance(error, BadRequestError):
                self._log(f"xds: {proxy.node or proxy.peer} sent an invalid request: {error}")
                await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
            if isinstance(error, SlowProxyError):
                # The status may have to wait until the proxy reads the pending response. The stream is no longer
                # among `proxies`, so nothing further is kept for it meanwhile.
                self.slow_proxies_dropped += 1
                self._log(f"xds: {proxy.node or proxy.peer} disconnected: {error}")
                await context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, str(error))
        for error in errors:
            if not isinstance(error, grpc.RpcError):
                raise error

    async def _fetch(self, request: Any, context: Any, type_url: str) -> bytes:
        """Answers a fetch: one response without a stream."""
        proxy = await self._admit(context, delta=False)
        proxy.zone = request.node.locality.zone
        stream = SotwStream(self.snapshot_for(proxy), max_part_bytes=UNLIMITED_BYTES)
        try:
            stream.request(type_url, "", request.resource_names)
        except BadRequestError as error:
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
        response = stream.next()
        if response is None:
            await context.abort(grpc.StatusCode.NOT_FOUND, "nothing of what was asked for exists")
        assert response is not None
        return encode_sotw(response)

    async def _read(self, proxy: ProxyStream, requests: AsyncIterator[Any], only_type: str) -> None:
        async for request in requests:
            proxy.last_request_at = time.time()
            type_url = request.type_url or only_type
            if only_type and type_url != only_type:
                raise BadRequestError(f"{type_url}: not served by this service")
            if not proxy.identified:
                # A proxy may leave its node out of all requests but the first.
                proxy.identified = True
                proxy.node, proxy.zone = request.node.id, request.node.locality.zone
                proxy.stream.snapshot = self.snapshot_for(proxy)
                proxy.stream.urgent.update(self._publication.recently_urgent())
            self._receive(proxy, request, type_url)
            if proxy.stream.urgent:
                proxy.wake.set()
            self.write_slots.enqueue(proxy)

    def _receive(self, proxy: ProxyStream, request: Any, type_url: str) -> None:
        error = ""
        if request.HasField("error_detail"):
            error = request.error_detail.message or f"code {request.error_detail.code}"
            type_name = type_url.rpartition(".")[2]
            self._log(f"xds: {proxy.node or proxy.peer} refused {type_name}: {error[:MAX_LOGGED_ERROR]}")
        stream, nonce = proxy.stream, request.response_nonce
        if isinstance(stream, DeltaStream):
            stream.request(
                type_url,
                nonce,
                request.resource_names_subscribe,
                request.resource_names_unsubscribe,
                request.initial_resource_versions,
                error,
            )
        else:
            stream.request(type_url, nonce, request.resource_names, error, request.version_info)

    async def _write(self, proxy: ProxyStream, context: Any, encode: Callable[[Response], bytes]) -> None:
        stream = proxy.stream
        while True:
            response = stream.next(urgent_only=not proxy.has_slot)
            if response is None:
                self.write_slots.release(proxy)
                await proxy.wake.wait()
                proxy.wake.clear()
                continue
            if stream.unacknowledged() > MAX_UNACKNOWLEDGED:
                raise SlowProxyError("responses are left without their ACK")
            await self._send(proxy, context, encode(response))
            # The stream goes to the end of the queue, so that streams with many responses due do not delay the others.
            self.write_slots.release(proxy)
            self.write_slots.enqueue(proxy)

    async def _send(self, proxy: ProxyStream, context: Any, message: bytes) -> None:
        self.bytes_sent += len(message)
        loop = asyncio.get_running_loop()
        slot_timeout = loop.call_later(SLOT_TIMEOUT_S, self.write_slots.block, proxy)
        try:
            async with asyncio.timeout(UNREAD_TIMEOUT_S):
                await context.write(message)
        except TimeoutError:
            raise SlowProxyError("responses are left unread") from None
        finally:
            slot_timeout.cancel()
            proxy.blocked = False
