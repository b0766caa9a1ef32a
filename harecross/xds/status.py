"""Who has what: each proxy's state by type, as a table, and the client status discovery service (CSDS).

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

StatusRows = Callable[[], Awaitable[list[dict[str, Any]]]]


def status_table(server: ControlServer) -> list[dict[str, Any]]:
    """Each stream and, by type, what it was sent, has acknowledged and has refused; times in seconds."""
    now = time.time()
    return [stream_row(proxy, now) for proxy in sorted(server.proxies, key=lambda p: (p.node, p.peer))]


def stream_row(proxy: ProxyStream, now: float) -> dict[str, Any]:
    """One stream's row."""
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
    """One type's part of a stream's row."""
    status = subscription.status
    return {
        "sent": status.sent,
        "acked": status.acked,
        "refused": status.refused,
        "reason": status.reason,
        "names": len(subscription.known),
    }


def local_status_rows(server: ControlServer) -> StatusRows:
    """The table of one control server alone, for `status_handler`."""

    async def rows() -> list[dict[str, Any]]:
        return status_table(server)

    return rows


def config_status(state: dict[str, Any]) -> int:
    """`envoy.service.status.v3.ConfigStatus` of one type."""
    if not state["sent"]:
        return int(csds_pb2.NOT_SENT)
    if state["reason"]:
        return int(csds_pb2.ERROR)
    return int(csds_pb2.SYNCED if state["acked"] == state["sent"] else csds_pb2.STALE)


def client_status(rows: list[dict[str, Any]]) -> Any:
    """The whole answer of CSDS. What the message has no field for goes into the node's metadata."""
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
    """Adds one type to a client's status."""
    resource = config.generic_xds_configs.add(type_url=type_url, config_status=config_status(state))
    resource.version_info = state["acked"]
    if state["reason"]:
        resource.error_state.details = state["reason"]
        resource.error_state.version_info = state["refused"]
    if state["sent"] != state["acked"]:
        config.node.metadata.update({f"sent {type_url.rpartition('.')[2]}": state["sent"]})


def status_handler(rows: StatusRows, is_authorized: Callable[[tuple[str, ...]], bool]) -> Any:
    """The service's handler; `rows` returns the table, `is_authorized` tells by certificate names who may ask."""

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
