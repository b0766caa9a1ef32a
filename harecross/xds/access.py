"""Which clusters a client may see, by the name in its certificate. Free of I/O."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from fnmatch import fnmatchcase
from ipaddress import ip_address


def allowed(rules: Mapping[str, Sequence[str]], names: Sequence[str]) -> frozenset[str] | None:
    """Clusters for a client of these certificate names, None for all of them.

    Rules map a pattern (`*.partner.example`) to clusters, or to `*`. Without rules every client sees all; with
    rules a name that none fits sees nothing.
    """
    if not rules:
        return None
    found: set[str] = set()
    for pattern, clusters in rules.items():
        if any(fnmatchcase(name, pattern) for name in names):
            found.update(clusters)
    return None if "*" in found else frozenset(found)


def fits(patterns: Sequence[str], names: Sequence[str]) -> bool:
    """Whether a client of these names is among the patterns; `*` is everyone, without a certificate too."""
    return "*" in patterns or any(fnmatchcase(name, p) for p in patterns for name in names)


def loopback(host: str) -> bool:
    """Whether an address reaches this machine alone."""
    if host == "localhost":
        return True
    try:
        return ip_address(host.strip("[]")).is_loopback
    except ValueError:
        return False
