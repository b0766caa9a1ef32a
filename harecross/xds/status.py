"""Who holds what: each proxy's state by type, as a table, and the client status discovery service (CSDS).

Source: `envoy.service.status.v3`.
"""

from __future__ import annotations

import time
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import grpc
from envoy.service.status.v3 import csds_pb2

from harecross.xds.server import Control, certificate_names

CSDS = "envoy.service.status.v3.ClientStatusDiscoveryService"


def status_table(control: Control) -> list[dict[str, Any]]:
    """Each stream and, by type, what it was sent, has acknowledged and has refused; times in seconds."""
    now = time.time()
    return [
        {
            "node": p.node, "zone": p.zone, "peer": p.peer, "certificate": list(p.names),
            "variant": p.stream.variant, "age_s": round(now - p.since, 1), "heard_s": round(now - p.heard, 1),
            "types": {
                t: {"sent": s.status.sent, "acked": s.status.acked, "refused": s.status.refused,
                    "reason": s.status.reason, "names": len(s.known)}
                for t, s in p.stream.types.items()
            },
        }
        for p in sorted(control.proxies, key=lambda p: (p.node, p.peer))
    ]  # fmt: skip


def rows_of(control: Control) -> Callable[[], Awaitable[list[dict[str, Any]]]]:
    """The table of one Control alone, for `handler`."""

    async def rows() -> list[dict[str, Any]]:
        return status_table(control)

    return rows


def config_status(state: dict[str, Any]) -> int:
    """`envoy.service.status.v3.ConfigStatus` of one type."""
    if not state["sent"]:
        return int(csds_pb2.NOT_SENT)
    if state["reason"]:
        return int(csds_pb2.ERROR)
    return int(csds_pb2.SYNCED if state["acked"] == state["sent"] else csds_pb2.STALE)


def client_status(rows: list[dict[str, Any]]) -> Any:
    """The whole answer of CSDS. What the message has no field for stands in the node's metadata."""
    response = csds_pb2.ClientStatusResponse()
    for row in rows:
        c = response.config.add()
        c.node.id = row["node"]
        c.node.locality.zone = row["zone"]
        meta = {k: row[k] for k in ("peer", "variant", "age_s", "heard_s")}
        c.node.metadata.update({**meta, "certificate": ", ".join(row["certificate"])})
        for type_url, state in sorted(row["types"].items()):
            g = c.generic_xds_configs.add(type_url=type_url, config_status=config_status(state))
            g.version_info = state["acked"]
            if state["reason"]:
                g.error_state.details = state["reason"]
                g.error_state.version_info = state["refused"]
            if state["sent"] != state["acked"]:
                c.node.metadata.update({f"sent {type_url.rpartition('.')[2]}": state["sent"]})
    return response


def handler(rows: Callable[[], Awaitable[list[dict[str, Any]]]], may: Any) -> Any:
    """The service's handler; `rows` gives the table, `may` tells by certificate names who may ask."""

    async def fetch(request: Any, context: Any) -> bytes:
        await checked(context)
        return bytes(client_status(await rows()).SerializeToString())

    async def stream(requests: AsyncIterator[Any], context: Any) -> None:
        await checked(context)
        async for _ in requests:
            await context.write(client_status(await rows()).SerializeToString())

    async def checked(context: Any) -> None:
        if not may(certificate_names(context)):
            await context.abort(grpc.StatusCode.PERMISSION_DENIED, "the status is not for this certificate")

    read = csds_pb2.ClientStatusRequest.FromString
    return grpc.method_handlers_generic_handler(
        CSDS,
        {
            "FetchClientStatus": grpc.unary_unary_rpc_method_handler(fetch, request_deserializer=read),
            "StreamClientStatus": grpc.stream_stream_rpc_method_handler(stream, request_deserializer=read),
        },
    )
