"""The one rule: from what each source says of a box to whether it is used. Free of I/O.

docs/design-sources.md holds the same as a table; a test goes through every combination against it.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum


class Word(StrEnum):
    """What one source says of one box."""

    YES = "yes"  # fresh, and lists it in service
    DRAIN = "drain"  # said that it drains, and has not taken that back
    NEVER = "never"  # fresh, and has never listed it: it speaks of other boxes
    NEW_NO = "new no"  # fresh, and dropped it a short while ago
    FLAP_NO = "flap no"  # fresh, and dropped it a short while ago, as it has done again and again
    NO = "no"  # fresh, and dropped it longer ago
    MASS_NO = "mass no"  # fresh, and dropped it together with a large part of what it listed
    OLD_YES = "old yes"  # stale, and listed it
    SILENT = "silent"  # no word yet, or none that still counts


class Outcome(StrEnum):
    """What becomes of a box."""

    USE = "use"
    KEEP = "keep"  # as it was: used if it was, and not begun with
    DRAIN = "drain"
    GONE = "gone"


class Line(StrEnum):
    """The line of the rule that decided, as operators read it."""

    DRAINED = "1 a source drains it"
    AGREED = "2 listed, and no source has dropped it"
    FRESH_DROP = "3 listed by one, dropped by another a short while ago"
    MASS_DROP = "4 listed by one, dropped by another with many others"
    RANK_KEEPS = "5 listed by the source that ranks higher, dropped by another"
    RANK_DROPS = "6 dropped by the source that ranks higher, listed by another"
    STALE_LISTS = "7 a stale source lists it, and none has dropped it"
    STALE_DOUBT = "8 a stale source lists it, dropped by another just now or with many others"
    STALE_LOSES = "9 a stale source lists it, dropped by another"
    FLAPS = "10 dropped just now by a source that drops it and lists it again and again"
    DROPPED = "11 dropped, and no source lists it"
    UNSAID = "12 no source says anything of it that counts"


DROPS = frozenset({Word.NEW_NO, Word.FLAP_NO, Word.NO, Word.MASS_NO})


@dataclass(frozen=True, slots=True)
class Evidence:
    """One source's word on a box. `rank`: the lower, the more it is believed."""

    rank: int
    word: Word


def decide(evidence: Sequence[Evidence]) -> tuple[Outcome, Line]:
    """The outcome for a box, and the line that made it. What operators hold out stands above this rule.

    Failures alone (`SILENT`, `OLD_YES`) never lead to GONE, and DRAIN wins over all.
    """
    words = {e.word for e in evidence}
    if Word.DRAIN in words:
        return Outcome.DRAIN, Line.DRAINED
    drops = words & DROPS
    if Word.YES in words:
        if not drops:
            return Outcome.USE, Line.AGREED
        # Guards against: a release in which two sources are out of step takes boxes out and in again.
        if Word.NEW_NO in words or Word.FLAP_NO in words:
            return Outcome.USE, Line.FRESH_DROP
        # Guards against: one source that lists half empties half the fleet while another knows better.
        if drops == {Word.MASS_NO}:
            return Outcome.USE, Line.MASS_DROP
        best_yes = min(e.rank for e in evidence if e.word == Word.YES)
        best_no = min(e.rank for e in evidence if e.word == Word.NO)
        if best_yes < best_no:
            return Outcome.USE, Line.RANK_KEEPS
        return Outcome.GONE, Line.RANK_DROPS
    if Word.OLD_YES in words:
        if not drops:
            return Outcome.USE, Line.STALE_LISTS
        if Word.NO not in drops:
            return Outcome.KEEP, Line.STALE_DOUBT
        return Outcome.GONE, Line.STALE_LOSES
    if Word.FLAP_NO in drops:
        # Guards against: a set that flaps takes its boxes out and in, each time cold and with no connection.
        best_flap = min(e.rank for e in evidence if e.word == Word.FLAP_NO)
        if best_flap < min((e.rank for e in evidence if e.word == Word.NO), default=best_flap + 1):
            return Outcome.KEEP, Line.FLAPS
    if drops:
        return Outcome.GONE, Line.DROPPED
    return Outcome.KEEP, Line.UNSAID
