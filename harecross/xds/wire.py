"""Responses as bytes: each resource is framed once, for all streams, and a response is its frames put together.

Concatenating the encodings of two messages merges them (Protocol Buffers, "Last One Wins" and repeated fields), so
a header and ready frames make a whole response.
"""

from __future__ import annotations

from envoy.service.discovery.v3 import discovery_pb2
from google.protobuf.any_pb2 import Any as AnyMessage

from harecross.xds.cache import Resource
from harecross.xds.streams import Response


def sotw_frame(type_url: str, resource: Resource) -> bytes:
    if "sotw" not in resource.frames:
        body = AnyMessage(type_url=type_url, value=resource.body)
        resource.frames["sotw"] = discovery_pb2.DiscoveryResponse(resources=[body]).SerializeToString()
    return resource.frames["sotw"]


def delta_frame(type_url: str, resource: Resource) -> bytes:
    if "delta" not in resource.frames:
        body = AnyMessage(type_url=type_url, value=resource.body)
        one = discovery_pb2.Resource(name=resource.name, version=resource.version, resource=body)
        resource.frames["delta"] = discovery_pb2.DeltaDiscoveryResponse(resources=[one]).SerializeToString()
    return resource.frames["delta"]


def sotw_bytes(response: Response) -> bytes:
    head: bytes = discovery_pb2.DiscoveryResponse(
        version_info=response.version, nonce=response.nonce, type_url=response.type_url
    ).SerializeToString()
    return head + b"".join(sotw_frame(response.type_url, r) for r in response.resources)


def delta_bytes(response: Response) -> bytes:
    head: bytes = discovery_pb2.DeltaDiscoveryResponse(
        system_version_info=response.version, nonce=response.nonce, type_url=response.type_url,
        removed_resources=response.removed,
    ).SerializeToString()  # fmt: skip
    return head + b"".join(delta_frame(response.type_url, r) for r in response.resources)
