"""Which of the lists that one discovery sends is newer. Free of I/O.

A list that overtakes a newer one would bring back a server that the newer one stated as leaving. Versions of one
address only grow (`generation` in PROTOCOL, "Discovery"), except for a discovery that has restarted: it counts from a
lower number, and its first response to a call made after the old watch ended is a full list. So:

| version | update | order |
| --- | --- | --- |
| higher, or the same | any | NEWER |
| lower | a full list, the first response of the watch's own call | RESTARTED: it is used, and so are its versions |
| lower | a change, the first response of the watch's own call | UNUSABLE: the version it follows is unknown |
| lower | anything later on that call, or the response of a call beside the watch | OLDER: it is ignored |

An UNUSABLE change ends the call, and the next call is for the full list.
"""

from __future__ import annotations

from enum import Enum


class VersionOrder(Enum):
    """How an update relates to the last one that was used. The values are words of the log."""

    NEWER = "newer"
    RESTARTED = "anew"
    UNUSABLE = "unusable"
    OLDER = "older"


def compare_versions(newest: int | None, version: object, *, full: bool, first: bool) -> VersionOrder:
    """The order of an update with `version` after the last used one, `newest` (None before the first).

    `first`: it is the first response of the watch's own call. An update without a version is always used.
    """
    if newest is None or not isinstance(version, int) or version >= newest:
        return VersionOrder.NEWER
    if not first:
        return VersionOrder.OLDER
    return VersionOrder.RESTARTED if full else VersionOrder.UNUSABLE
