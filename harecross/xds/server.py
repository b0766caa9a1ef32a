"""The gRPC front: the aggregated discovery service, both variants, on grpcio's asyncio server.

A stream is a task that reads, and a queue of responses that another one empties; a proxy that does not read is
let go when its queue is full. All protocol logic stands in `streams`.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Any

import grpc
from envoy.service.discovery.v3 import ads_pb2_grpc, discovery_pb2
from google.protobuf.any_pb2 import Any as AnyMessage

from harecross.xds.cache import Snapshot, steps
from harecross.xds.streams import BadRequest, DeltaStream, Response, SotwStream

STREAMS_MOST = 5000
QUEUE_MOST = 64  # responses that a proxy may leave unread
MESSAGE_MOST = 1 << 20  # bytes of a request
KEEPALIVE_MS, KEEPALIVE_TIMEOUT_MS = 10_000, 5_000


@dataclass(eq=False)
class Proxy:
    """One stream of one proxy."""

    node: str
    peer: str
    stream: SotwStream | DeltaStream
    queue: asyncio.Queue[Response] = field(default_factory=lambda: asyncio.Queue(QUEUE_MOST))
    overrun: asyncio.Event = field(default_factory=asyncio.Event)

    def offer(self, responses: list[Response]) -> None:
        for response in responses:
            try:
                self.queue.put_nowait(response)
            except asyncio.QueueFull:
                # Guards against: a proxy that reads nothing holds every version that was ever published.
                self.overrun.set()


class Control(ads_pb2_grpc.AggregatedDiscoveryServiceServicer):  # type: ignore[misc]
    """Serves snapshots; nothing is sent before the first one is `published`."""

    def __init__(self) -> None:
        self.snapshot: Snapshot | None = None
        self.known = asyncio.Event()
        self.proxies: set[Proxy] = set()
        self.server: grpc.aio.Server | None = None
        self.port = 0

    async def start(self, address: str) -> int:
        """Listens; the port. OSError if it cannot."""
        self.server = grpc.aio.server(
            options=[
                ("grpc.max_receive_message_length", MESSAGE_MOST),
                ("grpc.keepalive_time_ms", KEEPALIVE_MS),
                ("grpc.keepalive_timeout_ms", KEEPALIVE_TIMEOUT_MS),
                ("grpc.http2.max_pings_without_data", 0),
                ("grpc.so_reuseport", 0),
            ]
        )
        ads_pb2_grpc.add_AggregatedDiscoveryServiceServicer_to_server(self, self.server)
        try:
            self.port = self.server.add_insecure_port(address)
        except RuntimeError as e:
            raise OSError(f"{address}: {e}") from None
        await self.server.start()
        return self.port

    async def stop(self) -> None:
        """Ends every stream; proxies keep what they have and come back."""
        if self.server is not None:
            await self.server.stop(0)

    def publish(self, after: Snapshot) -> None:
        """From now on this is what every proxy is to hold; changes go out in make-before-break order."""
        before, self.snapshot = self.snapshot, after
        self.known.set()
        if before is None:
            return
        for step in steps(before, after):
            for proxy in self.proxies:
                proxy.offer(proxy.stream.push(step))

    def status(self) -> list[dict[str, Any]]:
        """Each stream and, by type, what it was sent, has acknowledged and has refused."""
        return [
            {
                "node": p.node, "peer": p.peer, "unread": p.queue.qsize(),
                "types": {
                    t: {"sent": s.status.sent, "acked": s.status.acked, "refused": s.status.refused,
                        "reason": s.status.reason}
                    for t, s in p.stream.types.items()
                },
            }
            for p in self.proxies
        ]  # fmt: skip

    async def StreamAggregatedResources(  # noqa: N802 - the service's own name
        self, requests: AsyncIterator[Any], context: Any
    ) -> None:
        def handle(stream: SotwStream, r: Any) -> list[Response]:
            return stream.request(r.type_url, r.response_nonce, r.resource_names, r.error_detail.message)

        await self.serve(requests, context, SotwStream, handle, sotw_message)

    async def DeltaAggregatedResources(  # noqa: N802
        self, requests: AsyncIterator[Any], context: Any
    ) -> None:
        def handle(stream: DeltaStream, r: Any) -> list[Response]:
            return stream.request(
                r.type_url, r.response_nonce, r.resource_names_subscribe, r.resource_names_unsubscribe,
                r.initial_resource_versions, r.error_detail.message,
            )  # fmt: skip

        await self.serve(requests, context, DeltaStream, handle, delta_message)

    async def serve(
        self, requests: AsyncIterator[Any], context: Any, kind: Any, handle: Any, message: Any
    ) -> None:
        """One stream, from its first request to its end."""
        if len(self.proxies) >= STREAMS_MOST:
            await context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, f"{STREAMS_MOST} streams are open")
        # Guards against: a service that has just started tells every proxy that nothing exists.
        await self.known.wait()
        assert self.snapshot is not None
        proxy = Proxy("", context.peer(), kind(self.snapshot))
        self.proxies.add(proxy)

        async def read() -> None:
            async for request in requests:
                proxy.node = proxy.node or request.node.id
                proxy.offer(handle(proxy.stream, request))

        async def write() -> None:
            while True:
                await context.write(message(await proxy.queue.get()))

        tasks = [asyncio.create_task(t) for t in (read(), write(), proxy.overrun.wait())]
        reading, writing, overrun = tasks
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self.proxies.discard(proxy)
            for task in tasks:
                task.cancel()
            ended = await asyncio.gather(*tasks, return_exceptions=True)
        if overrun.done() and not overrun.cancelled():
            # The status may wait behind what the proxy does not read; nothing more is kept for it meanwhile.
            await context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, "responses are left unread")
        if isinstance(ended[0], BadRequest):
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(ended[0]))
        for error in ended[:2]:
            if isinstance(error, Exception):
                raise error


def sotw_message(response: Response) -> Any:
    return discovery_pb2.DiscoveryResponse(
        version_info=response.version,
        nonce=response.nonce,
        type_url=response.type_url,
        resources=[AnyMessage(type_url=response.type_url, value=r.body) for r in response.resources],
    )


def delta_message(response: Response) -> Any:
    return discovery_pb2.DeltaDiscoveryResponse(
        system_version_info=response.version,
        nonce=response.nonce,
        type_url=response.type_url,
        resources=[
            discovery_pb2.Resource(
                name=r.name, version=r.version, resource=AnyMessage(type_url=response.type_url, value=r.body)
            )
            for r in response.resources
        ],
        removed_resources=response.removed,
    )
