"""Whether anything new may be sent, and by what list: the standing of one node's list of servers, free of I/O.

A node that has just started has the list of its configuration, which "may be old" (DEPLOY, `known`), while what the
agent on its machine has, or what was listed 6 s ago, counts as told to it from its first moment on (PROTOCOL,
"Discovery" and "Figures"). A server that left the list meanwhile must get nothing. So nothing is sent by that list
until discovery has said a word to this process, were it that nothing has changed; what comes before is refused at
once, and health says no. The wait is bounded: a start that waits for a discovery that is down would never end.

Once discovery has spoken, its list is used however old its last word is: a fleet that refuses everything while
discovery is down serves nobody (docs/design-fleet.md has the plays). Times are seconds of one monotonic clock.
"""

from __future__ import annotations

from enum import Enum

from harecross.discovery.subscription_schedule import (
    POLL_TIMEOUT_S,
    STALENESS_LIMIT_S,
    WATCH_HEARTBEAT_TIMEOUT_S,
    DiscoveryTerms,
    SubscriptionSchedule,
)

# Where lists are pushed the agent answers at once or discovery is down; after so long all that was listed before the
# start counts as told, and more waiting tells nothing.
PUSHED_MOST = STALENESS_LIMIT_S
# Where they are asked for: clients come to a fleet that starts after 30 s, ready or not (DEPLOY, "Limits"),
# and a call that goes out late may still be answered by then: two failed calls, their pauses and rounds fit in.
ASKED_MOST = 30.0 - POLL_TIMEOUT_S
BESIDE_MOST = 1.0  # where another process serves on as this node meanwhile, and is to be replaced in time


class Freshness(Enum):
    """Of when the list in hand is."""

    NONE = "none"  # there is no list
    KNOWN = "known"  # the configuration's, and discovery has not spoken to this process
    CURRENT = "current"  # discovery has spoken within a beat of its watch
    STALE = "stale"  # not since, and nothing that it may have told is binding yet
    STALENESS_LIMIT_S = "binding"  # something may count as told that this node has not heard


def longest_wait(terms: DiscoveryTerms, beside: bool = False) -> float:
    """How long a start waits for discovery's first word, in seconds, before it serves by the list it has."""
    if beside:
        return BESIDE_MOST
    return ASKED_MOST if terms.polled else PUSHED_MOST


class ListReadiness:
    """One node's list, from its start on. A host tells it `told` and asks `may_send` whenever it is about to send."""

    __slots__ = ("until", "listed", "heard", "open")

    def __init__(self, now: float, longest: float) -> None:
        """`longest` is how long to wait for the first word at most, in seconds."""
        self.until = now + longest
        self.listed = False  # there is a list
        self.heard = False  # and it is of this process's own time
        self.open = False

    def remembered(self) -> None:
        """There is a list from before this process started."""
        self.listed = True

    def told(self) -> None:
        """Discovery has told this process its list, or that nothing has changed since the one in hand."""
        self.listed = self.heard = self.open = True

    def may_send(self, now: float) -> bool:
        """Whether anything new may go to a server."""
        if not self.open and now >= self.until:
            self.open = True
        return self.open

    def word(self, now: float, asking: SubscriptionSchedule) -> Freshness:
        """`asking` is the watch in use."""
        if not self.heard:
            return Freshness.KNOWN if self.listed else Freshness.NONE
        if asking.staleness_limit_passed(now):
            return Freshness.STALENESS_LIMIT_S
        return (
            Freshness.STALE
            if now > asking.last_heartbeat_at + WATCH_HEARTBEAT_TIMEOUT_S
            else Freshness.CURRENT
        )
