"""The control server: serves the published resources over gRPC."""

from __future__ import annotations

from collections.abc import Collection
from typing import Any

import grpc

from harecross.xds.client_identity import AllowedClusters, Log, discard_log_line
from harecross.xds.config import Limits
from harecross.xds.proxy_stream import ProxyStream
from harecross.xds.publication import Publication, SnapshotSource
from harecross.xds.stream_service import StreamService

# The interval of gRPC keepalive pings on a connection, and how long an answer to one may take, in milliseconds.
KEEPALIVE_MS, KEEPALIVE_TIMEOUT_MS = 10_000, 5_000


def all_clusters(names: tuple[str, ...]) -> frozenset[str] | None:
    """Lets every client see all clusters."""
    return None


class ControlServer:
    """Serves the published resources to proxies; sends nothing before the first `publish`."""

    def __init__(
        self,
        limits: Limits | None = None,
        allowed_clusters: AllowedClusters = all_clusters,
        log: Log = discard_log_line,
    ) -> None:
        self.port = 0
        self._limits = limits or Limits()
        self._allowed_clusters = allowed_clusters
        self._publication = Publication()
        self._streams = StreamService(self._publication, self._limits, allowed_clusters, log)
        self._handlers = self._streams.handlers()
        self._server: grpc.aio.Server | None = None

    @property
    def proxies(self) -> set[ProxyStream]:
        """The open streams of proxies."""
        return self._streams.proxies

    @property
    def source(self) -> SnapshotSource | None:
        """The published resources, or None before the first `publish`."""
        return self._publication.source

    @property
    def bytes_sent(self) -> int:
        """Bytes of all responses that were sent on streams."""
        return self._streams.bytes_sent

    @property
    def slow_proxies_dropped(self) -> int:
        """The number of streams that were ended because the proxy did not read or acknowledge responses."""
        return self._streams.slow_proxies_dropped

    def count(self) -> int:
        """Returns the number of open streams."""
        return len(self.proxies)

    def add_handler(self, handler: Any) -> None:
        """Adds another gRPC service. It has to be added before the start."""
        self._handlers.append(handler)

    async def start(self, address: str, credentials: Any = None, *, shared: bool = False) -> int:
        """Starts to listen and returns the port.

        If the port is `shared` with other processes (SO_REUSEPORT), this server accepts a part of the connections.

        Raises:
            OSError: If the server cannot listen on the address.
        """
        self._server = grpc.aio.server(options=self._options(shared=shared))
        self._server.add_generic_rpc_handlers(tuple(self._handlers))
        try:
            if credentials is None:
                self.port = self._server.add_insecure_port(address)
            else:
                self.port = self._server.add_secure_port(address, credentials)
        except RuntimeError as error:
            raise OSError(f"{address}: {error}") from None
        await self._server.start()
        return self.port

    def _options(self, *, shared: bool) -> list[tuple[str, int]]:
        return [
            ("grpc.max_receive_message_length", self._limits.message_bytes),
            ("grpc.keepalive_time_ms", KEEPALIVE_MS),
            ("grpc.keepalive_timeout_ms", KEEPALIVE_TIMEOUT_MS),
            ("grpc.keepalive_permit_without_calls", 1),
            ("grpc.http2.ping_timeout_ms", KEEPALIVE_TIMEOUT_MS),
            ("grpc.http2.max_pings_without_data", 0),
            ("grpc.http2.min_ping_interval_without_data_ms", KEEPALIVE_MS // 2),
            ("grpc.so_reuseport", int(shared)),
        ]

    async def stop(self) -> None:
        """Ends every stream. Proxies keep their resources and reconnect."""
        if self._server is not None:
            await self._server.stop(0)

    def publish(self, source: SnapshotSource, urgent: Collection[str] = ()) -> None:
        """Serves these resources from now on; sends the endpoint assignments named in `urgent` at once."""
        self._publication.replace(source, urgent)
        for proxy in self.proxies:
            proxy.stream.push(self._streams.snapshot_for(proxy), urgent)
            if urgent:
                proxy.wake.set()
            self._streams.write_slots.enqueue(proxy)

    def refresh_access(self) -> None:
        """Applies changed rules on which clusters a client may see, to open streams too."""
        for proxy in self.proxies:
            proxy.allowed_clusters = self._allowed_clusters(proxy.certificate_names)
        if self.source is not None:
            self.publish(self.source)
