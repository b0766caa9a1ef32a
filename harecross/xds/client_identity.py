"""Identifies gRPC clients by their certificate and decides which clusters they may see."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

import grpc

# Maps the names in a client's certificate to the clusters that the client may see; None stands for all of them.
AllowedClusters = Callable[[tuple[str, ...]], frozenset[str] | None]
Log = Callable[[str], None]


class ClientIdentity(NamedTuple):
    """A client that may see at least one cluster.

    Attributes:
        certificate_names: The names in the client's certificate.
        allowed_clusters: The clusters that the client may see; None stands for all of them.
    """

    certificate_names: tuple[str, ...]
    allowed_clusters: frozenset[str] | None


def discard_log_line(text: str) -> None:
    """Discards a log line; the default where no log is given."""


def certificate_names(context: Any) -> tuple[str, ...]:
    """Returns the names in the client's certificate.

    These are the subject alternative names or, if there are none, the common name. A client without a certificate has
    no names.
    """
    auth = context.auth_context()
    names = auth.get("x509_subject_alternative_name") or auth.get("x509_common_name") or ()
    return tuple(name.decode("utf-8", "replace") for name in names)


async def identify(
    context: Any, allowed_clusters: AllowedClusters, log: Log = discard_log_line
) -> ClientIdentity:
    """Identifies the client of a call. Aborts the call if the client may not see any cluster."""
    names = certificate_names(context)
    allowed = allowed_clusters(names)
    if allowed is not None and not allowed:
        log(
            f"xds: {context.peer()}: no cluster is allowed for {', '.join(names) or 'a client without a name'}"
        )
        await context.abort(grpc.StatusCode.PERMISSION_DENIED, "no cluster may be seen by this certificate")
    return ClientIdentity(names, allowed)
