"""The status of each proxy by resource type, as a table and over the client status discovery service (CSDS).

Source: `envoy.service.status.v3`.
"""

from __future__ import annotations

import time
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import grpc
from envoy.service.status.v3 import csds_pb2

from harecross.xds.client_identity import certificate_names
from harecross.xds.proxy_stream import ProxyStream
from harecross.xds.server import ControlServer
from harecross.xds.subscription import Subscription

CSDS = "envoy.service.status.v3.ClientStatusDiscoveryService"

# Returns the status table, which may have to be collected from other processes.
StatusRows = Callable[[], Awaitable[list[dict[str, Any]]]]


def status_table(server: ControlServer) -> list[dict[str, Any]]:
    """Returns a row for each stream: what its proxy was sent, acknowledged and refused, by type; times in seconds."""
    now = time.time()
    return [stream_row(proxy, now) for proxy in sorted(server.proxies, key=lambda p: (p.node, p.peer))]


def stream_row(proxy: ProxyStream, now: float) -> dict[str, Any]:
    """Returns the row of one stream; `now` is in Unix seconds."""
    return {
        "node": proxy.node,
        "zone": proxy.zone,
        "peer": proxy.peer,
        "certificate": list(proxy.certificate_names),
        "variant": proxy.stream.variant,
        "age_s": round(now - proxy.connected_at, 1),
        "heard_s": round(now - proxy.last_request_at, 1),
        "types": {
            type_url: type_values(subscription)
            for type_url, subscription in proxy.stream.subscriptions.items()
        },
    }


def type_values(subscription: Subscription) -> dict[str, Any]:
    """Returns the part of a stream's row that describes one resource type."""
    status = subscription.status
    return {
        "sent": status.sent,
        "acked": status.acked,
        "refused": status.refused,
        "reason": status.reason,
        "names": len(subscription.known),
    }


def local_status_rows(server: ControlServer) -> StatusRows:
    """Returns the source of status rows for a service with one process, whose streams are all on `server`."""

    async def rows() -> list[dict[str, Any]]:
        return status_table(server)

    return rows


def config_status(state: dict[str, Any]) -> int:
    """Returns the `envoy.service.status.v3.ConfigStatus` of one type."""
    if not state["sent"]:
        return int(csds_pb2.NOT_SENT)
    if state["reason"]:
        return int(csds_pb2.ERROR)
    return int(csds_pb2.SYNCED if state["acked"] == state["sent"] else csds_pb2.STALE)


def client_status(rows: list[dict[str, Any]]) -> Any:
    """Builds the CSDS response. Values without a field of their own are stored in the node's metadata."""
    response = csds_pb2.ClientStatusResponse()
    for row in rows:
        config = response.config.add()
        config.node.id = row["node"]
        config.node.locality.zone = row["zone"]
        metadata = {key: row[key] for key in ("peer", "variant", "age_s", "heard_s")}
        config.node.metadata.update({**metadata, "certificate": ", ".join(row["certificate"])})
        for type_url, state in sorted(row["types"].items()):
            add_type_status(config, type_url, state)
    return response


def add_type_status(config: Any, type_url: str, state: dict[str, Any]) -> None:
    """Adds the state of one type to the status of a client."""
    resource = config.generic_xds_configs.add(type_url=type_url, config_status=config_status(state))
    resource.version_info = state["acked"]
    if state["reason"]:
        resource.error_state.details = state["reason"]
        resource.error_state.version_info = state["refused"]
    if state["sent"] != state["acked"]:
        config.node.metadata.update({f"sent {type_url.rpartition('.')[2]}": state["sent"]})


def status_handler(rows: StatusRows, is_authorized: Callable[[tuple[str, ...]], bool]) -> Any:
    """Returns the gRPC handler of the status service.

    `rows` returns the table. `is_authorized` decides whether a client with these certificate names may read it.
    """

    async def check_access(context: Any) -> None:
        if not is_authorized(certificate_names(context)):
            await context.abort(grpc.StatusCode.PERMISSION_DENIED, "the status is not for this certificate")

    async def fetch(request: Any, context: Any) -> bytes:
        await check_access(context)
        return bytes(client_status(await rows()).SerializeToString())

    async def stream(requests: AsyncIterator[Any], context: Any) -> None:
        await check_access(context)
        async for _ in requests:
            await context.write(client_status(await rows()).SerializeToString())

    deserializer = csds_pb2.ClientStatusRequest.FromString
    return grpc.method_handlers_generic_handler(
        CSDS,
        {
            "FetchClientStatus": grpc.unary_unary_rpc_method_handler(fetch, deserializer),
            "StreamClientStatus": grpc.stream_stream_rpc_method_handler(stream, deserializer),
        },
    )
