"""The merge rule: from what each source says of an endpoint to whether it is used. Free of I/O.

docs/design-sources.md holds the same as a table; a test compares every combination with it.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import StrEnum
from typing import NamedTuple


class ListingStatus(StrEnum):
    """What one source says of one endpoint. The values are what operators read."""

    LISTED = "yes"  # the source is fresh, and lists it in service
    DRAINING = "drain"  # the source said that it drains, and has not taken that back
    NEVER_LISTED = "never"  # the source is fresh, and has never listed it
    RECENTLY_DROPPED = "new no"  # the source is fresh, and dropped it a short while ago
    FLAPPING = "flap no"  # as before, and the source has dropped it repeatedly
    DROPPED = "no"  # the source is fresh, and dropped it longer ago
    MASS_DROPPED = "mass no"  # the source is fresh, and dropped it together with a large part of its list
    STALE_LISTED = "old yes"  # the source is stale, and listed it
    UNKNOWN = "silent"  # the source has said nothing yet, or nothing that still counts


class MergeDecision(StrEnum):
    """What becomes of an endpoint. The values are what operators read."""

    USE = "use"
    KEEP = "keep"  # as it was: used if it was, and not added
    DRAIN = "drain"
    REMOVE = "gone"


class RuleLine(StrEnum):
    """The line of the rule that decided, as operators read it."""

    DRAINING = "1 a source drains it"
    LISTED = "2 listed, and no source has dropped it"
    RECENTLY_DROPPED = "3 listed by one, dropped by another a short while ago"
    MASS_DROPPED = "4 listed by one, dropped by another with many others"
    HIGHER_RANK_LISTS = "5 listed by the source that ranks higher, dropped by another"
    HIGHER_RANK_DROPPED = "6 dropped by the source that ranks higher, listed by another"
    STALE_LISTED = "7 a stale source lists it, and none has dropped it"
    STALE_UNCERTAIN = "8 a stale source lists it, dropped by another just now or with many others"
    STALE_DROPPED = "9 a stale source lists it, dropped by another"
    FLAPPING = "10 dropped just now by a source that drops it and lists it again and again"
    DROPPED = "11 dropped, and no source lists it"
    NO_EVIDENCE = "12 no source says anything of it that counts"


DROP_STATUSES = frozenset(
    {
        ListingStatus.RECENTLY_DROPPED,
        ListingStatus.FLAPPING,
        ListingStatus.DROPPED,
        ListingStatus.MASS_DROPPED,
    }
)


class Evidence(NamedTuple):
    """What one source says of an endpoint. The source with the lower rank is believed."""

    rank: int
    status: ListingStatus


class Verdict(NamedTuple):
    """What becomes of an endpoint, and by which line of the rule."""

    decision: MergeDecision
    line: RuleLine


def decide(evidence: Sequence[Evidence]) -> Verdict:
    """Applies the rule to one endpoint. Operators' maintenance stands above it.

    Failures of sources alone (`UNKNOWN`, `STALE_LISTED`) never remove an endpoint, and a drain overrides the rest.
    """
    statuses = {item.status for item in evidence}
    if ListingStatus.DRAINING in statuses:
        return Verdict(MergeDecision.DRAIN, RuleLine.DRAINING)
    drops = statuses & DROP_STATUSES
    if ListingStatus.LISTED in statuses:
        return _decide_listed(evidence, drops)
    if ListingStatus.STALE_LISTED in statuses:
        return _decide_stale(drops)
    return _decide_unlisted(evidence, drops)


def _decide_listed(evidence: Sequence[Evidence], drops: set[ListingStatus]) -> Verdict:
    if not drops:
        return Verdict(MergeDecision.USE, RuleLine.LISTED)
    # Sources may be out of step for a while, as in a release; nothing is removed and added again meanwhile.
    if ListingStatus.RECENTLY_DROPPED in drops or ListingStatus.FLAPPING in drops:
        return Verdict(MergeDecision.USE, RuleLine.RECENTLY_DROPPED)
    # A source that suddenly lists a part only is not believed against one that lists all.
    if drops == {ListingStatus.MASS_DROPPED}:
        return Verdict(MergeDecision.USE, RuleLine.MASS_DROPPED)
    if _best_rank(evidence, ListingStatus.LISTED) < _best_rank(evidence, ListingStatus.DROPPED):
        return Verdict(MergeDecision.USE, RuleLine.HIGHER_RANK_LISTS)
    return Verdict(MergeDecision.REMOVE, RuleLine.HIGHER_RANK_DROPPED)


def _decide_stale(drops: set[ListingStatus]) -> Verdict:
    if not drops:
        return Verdict(MergeDecision.USE, RuleLine.STALE_LISTED)
    if ListingStatus.DROPPED not in drops:
        return Verdict(MergeDecision.KEEP, RuleLine.STALE_UNCERTAIN)
    return Verdict(MergeDecision.REMOVE, RuleLine.STALE_DROPPED)


def _decide_unlisted(evidence: Sequence[Evidence], drops: set[ListingStatus]) -> Verdict:
    if not drops:
        return Verdict(MergeDecision.KEEP, RuleLine.NO_EVIDENCE)
    # An endpoint that flaps stays as it is: each return would find it warming up and without connections.
    if ListingStatus.FLAPPING in drops and (
        ListingStatus.DROPPED not in drops
        or _best_rank(evidence, ListingStatus.FLAPPING) < _best_rank(evidence, ListingStatus.DROPPED)
    ):
        return Verdict(MergeDecision.KEEP, RuleLine.FLAPPING)
    return Verdict(MergeDecision.REMOVE, RuleLine.DROPPED)


def _best_rank(evidence: Sequence[Evidence], status: ListingStatus) -> int:
    return min(item.rank for item in evidence if item.status == status)
