"""Encodes responses: each resource is encoded once for all streams, and a response is assembled from the encodings.

Concatenating the encodings of two protobuf messages merges them: for a scalar field the last value wins, and repeated
fields are joined. An encoded header followed by encoded resources is therefore a complete response.
"""

from __future__ import annotations

from envoy.service.discovery.v3 import discovery_pb2
from google.protobuf.any_pb2 import Any as AnyMessage

from harecross.xds.cache import Resource
from harecross.xds.subscription import Response


def encode_sotw_resource(type_url: str, resource: Resource) -> bytes:
    """Returns a state-of-the-world response that holds only this resource; the encoding is cached."""
    if "sotw" not in resource.encodings:
        body = AnyMessage(type_url=type_url, value=resource.body)
        resource.encodings["sotw"] = discovery_pb2.DiscoveryResponse(resources=[body]).SerializeToString()
    return resource.encodings["sotw"]


def encode_delta_resource(type_url: str, resource: Resource) -> bytes:
    """Returns an incremental response that holds only this resource; the encoding is cached."""
    if "delta" not in resource.encodings:
        body = AnyMessage(type_url=type_url, value=resource.body)
        message = discovery_pb2.Resource(name=resource.name, version=resource.version, resource=body)
        response = discovery_pb2.DeltaDiscoveryResponse(resources=[message])
        resource.encodings["delta"] = response.SerializeToString()
    return resource.encodings["delta"]


def encode_sotw(response: Response) -> bytes:
    """Encodes a state-of-the-world response."""
    header: bytes = discovery_pb2.DiscoveryResponse(
        version_info=response.version, nonce=response.nonce, type_url=response.type_url
    ).SerializeToString()
    return header + b"".join(
        encode_sotw_resource(response.type_url, resource) for resource in response.resources
    )


def encode_delta(response: Response) -> bytes:
    """Encodes an incremental response."""
    header: bytes = discovery_pb2.DeltaDiscoveryResponse(
        system_version_info=response.version,
        nonce=response.nonce,
        type_url=response.type_url,
        removed_resources=response.removed,
    ).SerializeToString()
    return header + b"".join(
        encode_delta_resource(response.type_url, resource) for resource in response.resources
    )
