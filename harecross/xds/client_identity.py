"""Who a gRPC client is, by its certificate, and what it may see."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

import grpc

# From a client's certificate names to the clusters that it may see; None stands for all.
AllowedClusters = Callable[[tuple[str, ...]], frozenset[str] | None]
Log = Callable[[str], None]


class ClientIdentity(NamedTuple):
    """A client that may see something."""

    certificate_names: tuple[str, ...]
    allowed_clusters: frozenset[str] | None  # clusters; None: all


def discard_log_line(text: str) -> None:
    """A log that keeps nothing."""


def certificate_names(context: Any) -> tuple[str, ...]:
    """Names in the client's certificate: subject alternative names, else its common name; none without TLS."""
    auth = context.auth_context()
    names = auth.get("x509_subject_alternative_name") or auth.get("x509_common_name") or ()
    return tuple(name.decode("utf-8", "replace") for name in names)


async def identify(
    context: Any, allowed_clusters: AllowedClusters, log: Log = discard_log_line
) -> ClientIdentity:
    """The client of a call. Aborts the call of one that may see nothing."""
    names = certificate_names(context)
    allowed = allowed_clusters(names)
    if allowed is not None and not allowed:
        log(f"xds: {context.peer()}: no cluster may be seen by {', '.join(names) or 'no name'}")
        await context.abort(grpc.StatusCode.PERMISSION_DENIED, "no cluster may be seen by this certificate")
    return ClientIdentity(names, allowed)
