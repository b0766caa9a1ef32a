"""The gRPC front: ADS and the separate services, both variants, on grpcio's asyncio server.

A stream is a task that reads and one that writes. The writer pulls one response at a time, so that nothing piles up
for a proxy that is slow. What is urgent every writer sends at once; for the rest, a thousand returning proxies among
it, writers take turns. All protocol logic stands in `streams`.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import AsyncIterator, Callable, Collection
from dataclasses import dataclass, field
from typing import Any, Protocol

import grpc
from envoy.service.discovery.v3 import discovery_pb2

from harecross.xds.cache import CDS, EDS, LDS, RDS, Snapshot
from harecross.xds.config import Limits
from harecross.xds.streams import UNACKED_MOST, BadRequest, DeltaStream, Response, SotwStream
from harecross.xds.wire import delta_bytes, sotw_bytes

TURNS = 16  # proxies at once that are sent what can wait
TURN_MOST = 0.25  # seconds: a proxy that reads slowly keeps no turn from the others
UNREAD_MOST = 10.0  # seconds that one response may stay unread
RECENT = 2.0  # seconds for which an urgent change goes first on streams that are new
KEEPALIVE_MS, KEEPALIVE_TIMEOUT_MS = 10_000, 5_000

ADS = "envoy.service.discovery.v3.AggregatedDiscoveryService"
SERVICES = {
    CDS: ("envoy.service.cluster.v3.ClusterDiscoveryService", "Clusters"),
    EDS: ("envoy.service.endpoint.v3.EndpointDiscoveryService", "Endpoints"),
    LDS: ("envoy.service.listener.v3.ListenerDiscoveryService", "Listeners"),
    RDS: ("envoy.service.route.v3.RouteDiscoveryService", "Routes"),
}


class Source(Protocol):
    """What is published: `cache.Snapshot` for all zones alike, or `resources.Published`."""

    def for_zone(self, zone: str) -> Snapshot: ...


class Unread(Exception):
    """A proxy that does not take what it is sent."""


@dataclass(eq=False)
class Proxy:
    """One stream of one proxy."""

    peer: str
    stream: SotwStream | DeltaStream
    allowed: frozenset[str] | None
    names: tuple[str, ...] = ()  # of its certificate
    node: str = ""
    zone: str = ""
    since: float = field(default_factory=time.time)
    heard: float = field(default_factory=time.time)
    wake: asyncio.Event = field(default_factory=asyncio.Event)
    turn: bool = False
    lined: bool = False
    stuck: bool = False  # a response has stood unread for longer than a turn
    gone: bool = False
    begun: bool = False


class Control:
    """Serves what is published; nothing is sent before the first `publish`."""

    def __init__(
        self,
        limits: Limits | None = None,
        see: Callable[[tuple[str, ...]], frozenset[str] | None] = lambda names: None,
        log: Callable[[str], None] = lambda text: None,
    ) -> None:
        self.limits = limits or Limits()
        self.see = see
        self.log = log
        self.source: Source | None = None
        self.views: dict[tuple[Snapshot, frozenset[str]], Snapshot] = {}
        self.recent: deque[tuple[float, frozenset[str]]] = deque()
        self.known = asyncio.Event()
        self.proxies: set[Proxy] = set()
        self.line: deque[Proxy] = deque()
        self.turns = 0
        self.bytes_sent = 0
        self.let_go = 0
        self.server: grpc.aio.Server | None = None
        self.more: list[Any] = []  # handlers of further services: status, load reports
        self.port = 0

    # ---- start and stop -------------------------------------------------------------------------------

    async def start(self, address: str, credentials: Any = None, shared: bool = False) -> int:
        """Listens; the port. OSError if it cannot. `shared` with other processes, each gets some connections."""
        self.server = grpc.aio.server(
            options=[
                ("grpc.max_receive_message_length", self.limits.message_bytes),
                ("grpc.keepalive_time_ms", KEEPALIVE_MS),
                ("grpc.keepalive_timeout_ms", KEEPALIVE_TIMEOUT_MS),
                ("grpc.keepalive_permit_without_calls", 1),
                ("grpc.http2.ping_timeout_ms", KEEPALIVE_TIMEOUT_MS),
                ("grpc.http2.max_pings_without_data", 0),
                ("grpc.http2.min_ping_interval_without_data_ms", KEEPALIVE_MS // 2),
                ("grpc.so_reuseport", int(shared)),
            ]
        )
        self.server.add_generic_rpc_handlers((*self.handlers(), *self.more))
        try:
            if credentials is None:
                self.port = self.server.add_insecure_port(address)
            else:
                self.port = self.server.add_secure_port(address, credentials)
        except RuntimeError as e:
            raise OSError(f"{address}: {e}") from None
        await self.server.start()
        return self.port

    async def stop(self) -> None:
        """Ends every stream; proxies keep what they have and come back."""
        if self.server is not None:
            await self.server.stop(0)

    def handlers(self) -> list[Any]:
        def stream(delta: bool, only: str = "") -> Any:
            async def run(requests: AsyncIterator[Any], context: Any) -> None:
                await self.serve(requests, context, delta, only)

            kind = discovery_pb2.DeltaDiscoveryRequest if delta else discovery_pb2.DiscoveryRequest
            return grpc.stream_stream_rpc_method_handler(run, request_deserializer=kind.FromString)

        def fetch(only: str) -> Any:
            async def run(request: Any, context: Any) -> bytes:
                return await self.fetch(request, context, only)

            return grpc.unary_unary_rpc_method_handler(
                run, request_deserializer=discovery_pb2.DiscoveryRequest.FromString
            )

        of = grpc.method_handlers_generic_handler
        found = [
            of(ADS, {"StreamAggregatedResources": stream(False), "DeltaAggregatedResources": stream(True)})
        ]
        for type_url, (service, name) in SERVICES.items():
            methods = {f"Stream{name}": stream(False, type_url), f"Delta{name}": stream(True, type_url)}
            found.append(of(service, {**methods, f"Fetch{name}": fetch(type_url)}))
        return found

    def count(self) -> int:
        """Streams that are open."""
        return len(self.proxies)

    # ---- what is published ----------------------------------------------------------------------------

    def publish(self, source: Source, urgent: Collection[str] = ()) -> None:
        """From now on this is what every proxy is to hold; the assignments of `urgent` go out at once."""
        self.source = source
        self.views.clear()
        first = not self.known.is_set()
        self.known.set()
        if urgent and not first:
            self.recent.append((time.monotonic(), frozenset(urgent)))
        for proxy in self.proxies:
            proxy.stream.push(self.view(proxy), urgent)
            if urgent:
                proxy.wake.set()
            self.line_up(proxy)

    def refresh(self) -> None:
        """What proxies may see has changed."""
        for proxy in self.proxies:
            proxy.allowed = self.see(proxy.names)
        if self.source is not None:
            self.publish(self.source)

    def view(self, proxy: Proxy) -> Snapshot:
        assert self.source is not None
        whole = self.source.for_zone(proxy.zone)
        if proxy.allowed is None:
            return whole
        key = (whole, proxy.allowed)
        if key not in self.views:
            self.views[key] = whole.only(proxy.allowed)
        return self.views[key]

    def lately(self) -> set[str]:
        """Assignments with an urgent change of late: a proxy that comes back hears of them first."""
        while self.recent and self.recent[0][0] < time.monotonic() - RECENT:
            self.recent.popleft()
        return set().union(*(names for _, names in self.recent))

    # ---- turns ----------------------------------------------------------------------------------------

    def line_up(self, proxy: Proxy) -> None:
        """The proxy may be owed something that can wait."""
        if not proxy.lined and not proxy.stream.settled:
            proxy.lined = True
            self.line.append(proxy)
            self.give_turns()

    def give_turns(self) -> None:
        while self.turns < TURNS and self.line:
            proxy = self.line.popleft()
            proxy.lined = False
            # Guards against: proxies that read nothing are given turn after turn, and no one else has any.
            if not (proxy.gone or proxy.turn or proxy.stuck):
                self.turns += 1
                proxy.turn = True
                proxy.wake.set()

    def turn_over(self, proxy: Proxy) -> None:
        if proxy.turn:
            proxy.turn = False
            self.turns -= 1
            self.give_turns()

    def too_long(self, proxy: Proxy) -> None:
        """The proxy reads slowly, or not at all: the others go on."""
        proxy.stuck = True
        self.turn_over(proxy)

    # ---- one stream -----------------------------------------------------------------------------------

    async def admitted(self, context: Any, delta: bool) -> Proxy:
        """The stream's proxy, once there is something to tell it. Aborts for one that may not come."""
        if len(self.proxies) >= self.limits.streams:
            await context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, f"{self.limits.streams} streams are open")
        names, allowed = await identified(context, self.see, self.log)
        # Guards against: a service that has just started tells every proxy that nothing exists.
        await self.known.wait()
        assert self.source is not None
        stream = (DeltaStream if delta else SotwStream)(Snapshot({}))
        stream.names_most = self.limits.subscriptions
        return Proxy(context.peer(), stream, allowed, names)

    async def serve(self, requests: AsyncIterator[Any], context: Any, delta: bool, only: str) -> None:
        """One stream, from its first request to its end."""
        proxy = await self.admitted(context, delta)
        self.proxies.add(proxy)
        tasks = [
            asyncio.create_task(self.read(proxy, requests, only)),
            asyncio.create_task(self.write(proxy, context, delta_bytes if delta else sotw_bytes)),
        ]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self.proxies.discard(proxy)
            proxy.gone = True
            self.turn_over(proxy)
            for task in tasks:
                task.cancel()
            ended = await asyncio.gather(*tasks, return_exceptions=True)
        for error in ended:
            if isinstance(error, BadRequest):
                self.log(f"xds: {proxy.node or proxy.peer}: {error}")
                await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
            if isinstance(error, Unread):
                # The status may wait behind what the proxy does not read; nothing more is kept for it meanwhile.
                self.let_go += 1
                self.log(f"xds: {proxy.node or proxy.peer} let go: {error}")
                await context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, str(error))
        for error in ended:
            if isinstance(error, Exception) and not isinstance(error, grpc.RpcError):
                raise error

    async def read(self, proxy: Proxy, requests: AsyncIterator[Any], only: str) -> None:
        async for request in requests:
            proxy.heard = time.time()
            type_url = request.type_url or only
            if only and type_url != only:
                raise BadRequest(f"{type_url}: not served by this service")
            if not proxy.begun:
                # Only the first request of a stream need name the node.
                proxy.begun = True
                proxy.node, proxy.zone = request.node.id, request.node.locality.zone
                proxy.stream.snapshot = self.view(proxy)
                proxy.stream.hurry.update(self.lately())
            self.hear(proxy, request, type_url)
            if proxy.stream.hurry:
                proxy.wake.set()
            self.line_up(proxy)

    def hear(self, proxy: Proxy, request: Any, type_url: str) -> None:
        error = ""
        if request.HasField("error_detail"):
            error = request.error_detail.message or f"code {request.error_detail.code}"
            kind = type_url.rpartition(".")[2]
            self.log(f"xds: {proxy.node or proxy.peer} refused {kind}: {error[:500]}")
        stream = proxy.stream
        if isinstance(stream, DeltaStream):
            stream.request(
                type_url, request.response_nonce, request.resource_names_subscribe,
                request.resource_names_unsubscribe, request.initial_resource_versions, error,
            )  # fmt: skip
        else:
            stream.request(
                type_url, request.response_nonce, request.resource_names, error, request.version_info
            )

    async def write(self, proxy: Proxy, context: Any, encode: Callable[[Response], bytes]) -> None:
        loop = asyncio.get_running_loop()
        stream = proxy.stream
        while True:
            response = stream.next(urgent=not proxy.turn)
            if response is None:
                self.turn_over(proxy)
                await proxy.wake.wait()
                proxy.wake.clear()
                continue
            if stream.unacked() > UNACKED_MOST:
                raise Unread("responses are left without their ACK")
            text = encode(response)
            self.bytes_sent += len(text)
            late = loop.call_later(TURN_MOST, self.too_long, proxy)
            try:
                async with asyncio.timeout(UNREAD_MOST):
                    await context.write(text)
            except TimeoutError:
                raise Unread("responses are left unread") from None
            finally:
                late.cancel()
                proxy.stuck = False
            if proxy.turn:
                # To the end of the line: those that are owed little are not kept waiting by those owed much.
                self.turn_over(proxy)
            self.line_up(proxy)

    async def fetch(self, request: Any, context: Any, only: str) -> bytes:
        """One answer, without a stream."""
        proxy = await self.admitted(context, False)
        proxy.zone = request.node.locality.zone
        stream = SotwStream(self.view(proxy))
        stream.chunk = 1 << 62
        try:
            stream.request(only, "", request.resource_names)
        except BadRequest as e:
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(e))
        response = stream.next()
        if response is None:
            await context.abort(grpc.StatusCode.NOT_FOUND, "nothing of what was asked for exists")
        assert response is not None
        return sotw_bytes(response)


def certificate_names(context: Any) -> tuple[str, ...]:
    """Names in the client's certificate: subject alternative names, else its common name; none without TLS."""
    auth = context.auth_context()
    found = auth.get("x509_subject_alternative_name") or auth.get("x509_common_name") or ()
    return tuple(n.decode("utf-8", "replace") for n in found)


async def identified(
    context: Any,
    see: Callable[[tuple[str, ...]], frozenset[str] | None],
    log: Callable[[str], None] = lambda text: None,
) -> tuple[tuple[str, ...], frozenset[str] | None]:
    """The client's names and the clusters it may see, None for all. Aborts for one that may see none."""
    names = certificate_names(context)
    allowed = see(names)
    if allowed is not None and not allowed:
        log(f"xds: {context.peer()}: no cluster may be seen by {', '.join(names) or 'no name'}")
        await context.abort(grpc.StatusCode.PERMISSION_DENIED, "no cluster may be seen by this certificate")
    return names, allowed
