"""The merge rule: decides by the statuses of an endpoint in all sources whether it is used.

docs/design-sources.md holds the same rule as a table; a test compares every combination with it.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import StrEnum
from typing import NamedTuple


class ListingStatus(StrEnum):
    """The status of one endpoint in one source. The values are shown to operators.

    Attributes:
        LISTED: The source is fresh and lists the endpoint as in service.
        DRAINING: The source is not lost, and its last list holds the endpoint as draining.
        NEVER_LISTED: The source is fresh, and does not remember that it ever listed the endpoint.
        RECENTLY_DROPPED: The source is fresh and dropped the endpoint less than the grace period ago.
        FLAPPING: The source is fresh, dropped the endpoint less than the grace period ago, and has dropped it
            repeatedly.
        DROPPED: The source is fresh and dropped the endpoint at least the grace period ago.
        MASS_DROPPED: The source is fresh and dropped the endpoint at least the grace period ago, together with a
            large part of its list.
        STALE_LISTED: The source is stale, and its last list holds the endpoint as in service.
        UNKNOWN: The source has not provided a list yet, or its last list says nothing that still counts.
    """

    LISTED = "yes"
    DRAINING = "drain"
    NEVER_LISTED = "never"
    RECENTLY_DROPPED = "new no"
    FLAPPING = "flap no"
    DROPPED = "no"
    MASS_DROPPED = "mass no"
    STALE_LISTED = "old yes"
    UNKNOWN = "silent"


class MergeDecision(StrEnum):
    """The decision on an endpoint. The values are shown to operators.

    Attributes:
        USE: The endpoint gets new work.
        KEEP: The endpoint stays as it is; if there is none, none is added.
        DRAIN: The endpoint gets no new work.
        REMOVE: The endpoint is removed.
    """

    USE = "use"
    KEEP = "keep"
    DRAIN = "drain"
    REMOVE = "gone"


class RuleLine(StrEnum):
    """The line of the merge rule's table that decided. The values are shown to operators."""

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
    """The rank of a source, and the status of an endpoint in it. A lower rank takes precedence."""

    rank: int
    status: ListingStatus


class Verdict(NamedTuple):
    """The decision on an endpoint, and the line of the merge rule that led to it."""

    decision: MergeDecision
    line: RuleLine


def decide(evidence: Sequence[Evidence]) -> Verdict:
    """Applies the merge rule to one endpoint. The caller applies maintenance, which overrides the decision.

    Failures of sources alone (`UNKNOWN`, `STALE_LISTED`) never remove an endpoint. A drain overrides all other
    statuses.
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
    # Sources may disagree for a while, for example during a release. Removing the endpoint now could mean adding it
    # again shortly after.
    if ListingStatus.RECENTLY_DROPPED in drops or ListingStatus.FLAPPING in drops:
        return Verdict(MergeDecision.USE, RuleLine.RECENTLY_DROPPED)
    # A source that suddenly lists only a part of the endpoints does not override one that lists all of them.
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
    # A flapping endpoint stays as it is: otherwise, it would return in slow start and without connections each time.
    if ListingStatus.FLAPPING in drops and (
        ListingStatus.DROPPED not in drops
        or _best_rank(evidence, ListingStatus.FLAPPING) < _best_rank(evidence, ListingStatus.DROPPED)
    ):
        return Verdict(MergeDecision.KEEP, RuleLine.FLAPPING)
    return Verdict(MergeDecision.REMOVE, RuleLine.DROPPED)


def _best_rank(evidence: Sequence[Evidence], status: ListingStatus) -> int:
    return min(item.rank for item in evidence if item.status == status)
