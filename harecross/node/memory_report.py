"""The report line's figures on memory: the resident size, and which bytes are held for clients and servers."""

from __future__ import annotations

from harecross.node.composition import NodeParts
from harecross.platform.process_memory import resident_memory

KILOBYTE = 1 << 10
MEGABYTE = 1 << 20


def held_bytes(parts: NodeParts) -> dict[str, int]:
    """Returns the bytes that the process holds, by what they are held for. Counts them one by one."""
    clients = parts.client_connections.open
    uploads = [upload for client in clients for upload in client.uploads()]
    attempts = [attempt for request in parts.dispatcher.requests.values() for attempt in request.in_flight]
    carriers = [attempt.connection for attempt in attempts if attempt.connection is not None]
    return {
        "body": sum(client.held_message_bytes() for client in clients),
        "upload": sum(len(upload.buffered) for upload in uploads),
        "to_clients": parts.client_connections.unsent_bytes(),
        "to_servers": sum(carrier.unsent_bytes() for carrier in carriers),
        "answers": sum(carrier.held_response_bytes() for carrier in carriers),
    }


def memory_fields(parts: NodeParts) -> dict[str, float]:
    """Returns the fields of the report line."""
    resident = resident_memory()
    fields = {"rss_mb": resident.current // MEGABYTE, "peak_rss_mb": resident.peak // MEGABYTE}
    held = {f"held_{owner}_kb": size // KILOBYTE for owner, size in held_bytes(parts).items()}
    return {**fields, **held}
