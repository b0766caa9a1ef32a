"""Fetches the status of a running control service over CSDS."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import grpc
from envoy.service.status.v3 import csds_pb2

from harecross.xds.cache import CDS, EDS, LDS, RDS
from harecross.xds.status import CSDS

SHORT_NAMES = {CDS: "CDS", EDS: "EDS", LDS: "LDS", RDS: "RDS"}
# How long the service may take to answer.
TIMEOUT_S = 5.0


class StatusError(Exception):
    """The control service could not be reached or refused the request."""


def fetch_status(
    address: str, ca: Path | None, certificate: Path | None, key: Path | None
) -> list[dict[str, Any]]:
    """Returns a row for each stream of the service at `address`.

    Raises:
        StatusError: If the service does not answer or does not allow the request.
        OSError: If a certificate or key file cannot be read.
    """
    with open_channel(address, ca, certificate, key) as channel:
        call = channel.unary_unary(
            f"/{CSDS}/FetchClientStatus",
            request_serializer=csds_pb2.ClientStatusRequest.SerializeToString,
            response_deserializer=csds_pb2.ClientStatusResponse.FromString,
        )
        try:
            response = call(csds_pb2.ClientStatusRequest(), timeout=TIMEOUT_S)
        except grpc.RpcError as error:
            raise StatusError(f"{address}: {error.code().name}: {error.details()}") from None
    return [stream_row(config) for config in response.config]


def open_channel(address: str, ca: Path | None, certificate: Path | None, key: Path | None) -> Any:
    """Opens a channel to the service, with TLS if `ca` is given."""
    if ca is None:
        return grpc.insecure_channel(address)
    pair: tuple[bytes | None, bytes | None] = (None, None)
    if key is not None and certificate is not None:
        pair = (key.read_bytes(), certificate.read_bytes())
    return grpc.secure_channel(address, grpc.ssl_channel_credentials(ca.read_bytes(), *pair))


def stream_row(config: Any) -> dict[str, Any]:
    """Converts one client's status to the row that the command prints."""
    metadata = dict(config.node.metadata.items())
    types = [type_row(resource) for resource in config.generic_xds_configs]
    return {"node": config.node.id, "zone": config.node.locality.zone, **metadata, "types": types}


def type_row(resource: Any) -> dict[str, str]:
    """Converts the status of one resource type to the part of the row that describes it."""
    return {
        "type": SHORT_NAMES.get(resource.type_url, resource.type_url),
        "state": csds_pb2.ConfigStatus.Name(resource.config_status),
        "acked": resource.version_info,
        "refused": resource.error_state.version_info,
        "reason": resource.error_state.details,
    }
