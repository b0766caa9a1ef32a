"""Rules on which clusters a client may see, by the names in its certificate."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from fnmatch import fnmatchcase
from ipaddress import ip_address

# Stands for every cluster in a rule, and for every client in a list of patterns.
ALL = "*"


def allowed_clusters(rules: Mapping[str, Sequence[str]], names: Sequence[str]) -> frozenset[str] | None:
    """Returns the clusters that a client with these certificate names may see; None stands for all of them.

    A rule maps a pattern such as `*.partner.example` to names of clusters or to `*`. Without rules every client sees
    all clusters. With rules, a client that no pattern matches sees none.
    """
    if not rules:
        return None
    allowed: set[str] = set()
    for pattern, clusters in rules.items():
        if any(fnmatchcase(name, pattern) for name in names):
            allowed.update(clusters)
    return None if ALL in allowed else frozenset(allowed)


def matches_any(patterns: Sequence[str], names: Sequence[str]) -> bool:
    """Returns whether a pattern matches one of a client's names; `*` matches clients without a certificate too."""
    return ALL in patterns or any(fnmatchcase(name, pattern) for pattern in patterns for name in names)


def is_loopback(host: str) -> bool:
    """Returns whether a host can be reached from this machine only."""
    if host == "localhost":
        return True
    try:
        return ip_address(host.strip("[]")).is_loopback
    except ValueError:
        return False
