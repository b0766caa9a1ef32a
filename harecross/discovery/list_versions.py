"""Determines which of two lists from one discovery is newer.

Applying an older list after a newer one would put a server back that the newer list stated as leaving. The versions of
one address only increase (`generation` in PROTOCOL, "Discovery") unless discovery restarts. A restarted discovery
counts from a lower number, and its first response to a call made after the old watch ended is a full list.
Updates are therefore ordered as follows:

| version | update | order |
| --- | --- | --- |
| the same or higher | any | NEWER |
| lower | a full list, the first response to the watch's own call | RESTARTED: the list and its version are used |
| lower | a change, the first response to the watch's own call | UNUSABLE: the version it is based on is unknown |
| lower | any later response to that call, or a response to a separate poll | OLDER: the update is ignored |

An UNUSABLE change ends the call, and the next call requests the full list.
"""

from __future__ import annotations

from enum import Enum


class VersionOrder(Enum):
    """How an update relates to the last one that was used. The values appear in the log."""

    NEWER = "newer"
    RESTARTED = "anew"
    UNUSABLE = "unusable"
    OLDER = "older"


def compare_versions(newest: int | None, version: object, *, full: bool, first: bool) -> VersionOrder:
    """Compares an update's `version` with `newest`, the last version used (None before the first).

    `full`: the update is a full list. `first`: it is the first response to the watch's own call. An update without a
    version is always NEWER.
    """
    if newest is None or not isinstance(version, int) or version >= newest:
        return VersionOrder.NEWER
    if not first:
        return VersionOrder.OLDER
    return VersionOrder.RESTARTED if full else VersionOrder.UNUSABLE
