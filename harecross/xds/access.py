"""Which clusters a client may see, by the name in its certificate. Free of I/O."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from fnmatch import fnmatchcase
from ipaddress import ip_address

ALL = "*"


def allowed_clusters(rules: Mapping[str, Sequence[str]], names: Sequence[str]) -> frozenset[str] | None:
    """The clusters for a client of these certificate names, None for all of them.

    Rules map a pattern (`*.partner.example`) to clusters, or to `*`. Without rules every client sees all; with
    rules a client that no pattern matches sees nothing.
    """
    if not rules:
        return None
    allowed: set[str] = set()
    for pattern, clusters in rules.items():
        if any(fnmatchcase(name, pattern) for name in names):
            allowed.update(clusters)
    return None if ALL in allowed else frozenset(allowed)


def matches_any(patterns: Sequence[str], names: Sequence[str]) -> bool:
    """Whether a pattern matches a client of these names; `*` matches everyone, without a certificate too."""
    return ALL in patterns or any(fnmatchcase(name, pattern) for pattern in patterns for name in names)


def is_loopback(host: str) -> bool:
    """Whether an address reaches this machine alone."""
    if host == "localhost":
        return True
    try:
        return ip_address(host.strip("[]")).is_loopback
    except ValueError:
        return False
