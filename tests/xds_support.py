"""Test support: snapshots, grpcio's xDS client in a process of its own, and gRPC servers for it to call."""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import sys
from collections import Counter
from pathlib import Path

import grpc

from harecross.xds.cache import Snapshot
from harecross.xds.published import PublishedCluster, PublishedEndpoint
from harecross.xds.resources import ResourceEncoder


def snapshot(clusters: dict[str, tuple[list[PublishedEndpoint], int]]) -> Snapshot:
    """Builds the snapshot of clusters, each given by its endpoints and its limit on concurrent calls."""
    return ResourceEncoder().snapshot(
        {name: PublishedCluster(tuple(endpoints), limit) for name, (endpoints, limit) in clusters.items()}
    )


CLIENT_SCRIPT = """
import grpc, sys
channel = grpc.insecure_channel("xds:///svc")
call = channel.unary_unary("/t.T/Who", request_serializer=bytes, response_deserializer=bytes)
for line in sys.stdin:
    names = []
    for _ in range(int(line)):
        try:
            names.append(call(b"", timeout=20).decode())
        except grpc.RpcError as e:
            names.append("error " + e.code().name)
    print(" ".join(n.replace(" ", "_") for n in names), flush=True)
"""


async def start_backend(name: str):
    """Starts a gRPC server that answers every call with `name`; returns it and its address."""

    async def who(request: bytes, context) -> bytes:
        return name.encode()

    server = grpc.aio.server()
    handlers = {"Who": grpc.unary_unary_rpc_method_handler(who)}
    server.add_generic_rpc_handlers((grpc.method_handlers_generic_handler("t.T", handlers),))
    port = server.add_insecure_port("127.0.0.1:0")
    await server.start()
    return server, f"127.0.0.1:{port}"


class GrpcXdsClient:
    """A gRPC client that resolves `xds:///svc` with grpcio's own xDS client, in a process of its own."""

    process: asyncio.subprocess.Process

    @classmethod
    async def start(cls, address: str, folder: Path) -> GrpcXdsClient:
        bootstrap = {
            "xds_servers": [
                {
                    "server_uri": address,
                    "channel_creds": [{"type": "insecure"}],
                    "server_features": ["xds_v3"],
                }
            ],
            "node": {"id": "real", "locality": {"zone": "here"}},
        }
        path = folder / "bootstrap.json"
        path.write_text(json.dumps(bootstrap))
        client = cls()
        client.process = await asyncio.create_subprocess_exec(
            sys.executable, "-c", CLIENT_SCRIPT, stdin=subprocess.PIPE, stdout=subprocess.PIPE,
            env={**os.environ, "GRPC_XDS_BOOTSTRAP": str(path)},
        )  # fmt: skip
        return client

    async def calls(self, n: int) -> Counter[str]:
        self.process.stdin.write(b"%d\n" % n)
        return Counter((await self.process.stdout.readline()).decode().split())

    async def stop(self) -> None:
        self.process.kill()
        await self.process.wait()
