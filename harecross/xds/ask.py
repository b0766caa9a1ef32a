"""Asks a running service for its status over CSDS."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import grpc
from envoy.service.status.v3 import csds_pb2

from harecross.xds.cache import CDS, EDS, LDS, RDS
from harecross.xds.status import CSDS

SHORT = {CDS: "CDS", EDS: "EDS", LDS: "LDS", RDS: "RDS"}
WAIT = 5.0  # seconds


class BadAnswer(Exception):
    """The service cannot be reached, or does not answer this client."""


def ask(address: str, ca: Path | None, cert: Path | None, key: Path | None) -> list[dict[str, Any]]:
    """A row for each stream. BadAnswer; OSError for a file that cannot be read."""
    if ca is not None:
        pair = (key.read_bytes(), cert.read_bytes()) if key is not None and cert is not None else (None, None)
        channel = grpc.secure_channel(address, grpc.ssl_channel_credentials(ca.read_bytes(), *pair))
    else:
        channel = grpc.insecure_channel(address)
    with channel:
        call = channel.unary_unary(
            f"/{CSDS}/FetchClientStatus",
            request_serializer=csds_pb2.ClientStatusRequest.SerializeToString,
            response_deserializer=csds_pb2.ClientStatusResponse.FromString,
        )
        try:
            found = call(csds_pb2.ClientStatusRequest(), timeout=WAIT)
        except grpc.RpcError as e:
            raise BadAnswer(f"{address}: {e.code().name}: {e.details()}") from None
    return [row(c) for c in found.config]


def row(c: Any) -> dict[str, Any]:
    meta = dict(c.node.metadata.items())
    return {
        "node": c.node.id, "zone": c.node.locality.zone, **meta,
        "types": [
            {
                "type": SHORT.get(g.type_url, g.type_url),
                "state": csds_pb2.ConfigStatus.Name(g.config_status),
                "acked": g.version_info,
                "refused": g.error_state.version_info,
                "reason": g.error_state.details,
            }
            for g in c.generic_xds_configs
        ],
    }  # fmt: skip
