"""Which of the lists that one discovery sends is newer, free of I/O.

A list that overtakes a newer one brings back a server that the newer one said leaves. Versions of one address only
grow (`generation` in PROTOCOL, "Discovery"), but for a discovery that has begun anew: it counts from a lower number,
and what it says first, on a call made after the old watch had ended, is a whole list. Told apart so:

| version | what came | it is |
| --- | --- | --- |
| higher, or the same | anything | NEWER |
| lower | a whole list, the first word of the watch's own call | ANEW: it counts, and so do its versions |
| lower | a change, the first word of the watch's own call | UNUSABLE: what it follows on is not known |
| lower | anything later on that call, or the answer of a call beside the watch | OLDER: left out |

What is UNUSABLE ends the call, and the list is asked for whole.
"""

from __future__ import annotations

from enum import Enum


class Verdict(Enum):
    """What to do with a list or change."""

    NEWER = "newer"
    ANEW = "anew"
    UNUSABLE = "unusable"
    OLDER = "older"


def judge(newest: int | None, version: object, whole: bool, first: bool) -> Verdict:
    """`newest` is the last version used of that address, None before the first; `version` what came with this one.

    `first`: it is the first word of the watch's own call. Without a version nothing can be told, and it is used.
    """
    if newest is None or not isinstance(version, int) or version >= newest:
        return Verdict.NEWER
    if not first:
        return Verdict.OLDER
    return Verdict.ANEW if whole else Verdict.UNUSABLE
