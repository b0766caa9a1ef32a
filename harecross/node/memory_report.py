"""Log lines and the report line's figures on memory: sizes, and which bytes are held for clients and servers."""

from __future__ import annotations

from harecross.node.composition import NodeParts
from harecross.platform.log import log_line
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


def leading_memory_fields(parts: NodeParts) -> dict[str, float]:
    """Returns the fields that come early in the report line, where an excerpt of it still has them."""
    control = parts.memory_control
    return {
        "memory_mb": control.limit // MEGABYTE,
        "resident_kb": control.size.resident // KILOBYTE,
        "left_kb": control.left() // KILOBYTE,
        "held_kb": control.ledger.held // KILOBYTE,
        "clients": len(parts.client_connections.open),
    }


def log_memory_state(parts: NodeParts) -> None:
    """Logs that memory is short or no longer, and what takes it."""
    control, ledger = parts.memory_control, parts.pool.ledger
    others = control.sizes.others_bytes if control.sizes is not None else 0
    fields = {
        **leading_memory_fields(parts),
        "others_kb": others // KILOBYTE,
        "held_bodies_kb": ledger.bodies // KILOBYTE,
        "held_input_kb": ledger.input // KILOBYTE,
        "held_upstream_kb": ledger.upstream // KILOBYTE,
        "requests": len(parts.dispatcher.requests),
        "bodies_refused": ledger.refused,
    }
    state = "short" if control.is_short else "no longer short"
    log_line(f"memory {state}: " + " ".join(f"{key}={value}" for key, value in fields.items()))


def log_memory_at_start(parts: NodeParts) -> None:
    """Logs what is left of the limit if that is less than the share for bodies and answers."""
    control = parts.memory_control
    left = control.left()
    if left >= control.ledger.share or not control.size.resident:
        return
    taken = f"memory_mb={control.limit // MEGABYTE}: the process takes {control.size.resident // MEGABYTE} MB"
    if left > 0:
        log_line(f"{taken}, {left // KILOBYTE} KB are left for bodies and answers")
    else:
        log_line(f"{taken}, which leaves nothing for large bodies and answers: only small ones are served")
