"""Whether requests may be sent by the present list of servers, and how old that list is. Free of I/O.

A node that has just started has the list of its configuration, which "may be old" (DEPLOY, `known`). But a change that
the agent on its machine has, or that was listed 6 s ago, counts as notified from the node's first moment on (PROTOCOL,
"Discovery" and "Figures"): a server that has left the list must get nothing. So nothing is sent by the configured list
until discovery has confirmed a list to this process, if only that nothing has changed. Until then requests are refused
at once, and the health check answers no. The wait is bounded, because a start that waits for a discovery that is down
would never end.

After that the list is used however old it is: a fleet that refuses everything while discovery is down serves nobody
(docs/design-fleet.md). Times are seconds of one monotonic clock.
"""

from __future__ import annotations

from enum import Enum

from harecross.discovery.subscription_schedule import (
    POLL_TIMEOUT_S,
    STALENESS_LIMIT_S,
    WATCH_HEARTBEAT_TIMEOUT_S,
    DiscoverySettings,
    SubscriptionSchedule,
)

# Where lists are pushed, the agent answers at once or discovery is down. After so long all that was listed before the
# start counts as notified, and a longer wait would gain nothing.
MAX_PUSHED_WAIT_S = STALENESS_LIMIT_S
# Where they are polled: clients come 30 s after a fleet's start at the latest (DEPLOY, "Limits"), and the last call
# has to be answered by then. Two failed calls with their pauses and rounds fit in.
MAX_POLLED_WAIT_S = 30.0 - POLL_TIMEOUT_S
# Where another process of this node still serves, and is to be replaced in time.
MAX_REPLACEMENT_WAIT_S = 1.0


class Freshness(Enum):
    """How old the present list is. The values are parts of keys in reports."""

    NONE = "none"  # there is no list
    CONFIGURED = "known"  # it is the configuration's; discovery has confirmed none to this process
    CURRENT = "current"  # discovery has sent a heartbeat within the heartbeat timeout
    STALE = "stale"  # not since, but no change that may have been missed counts as notified yet
    PAST_LIMIT = "binding"  # a change that this node has not received may count as notified


def max_start_wait_s(settings: DiscoverySettings, *, replaces_process: bool = False) -> float:
    """How long a start waits for discovery, in seconds, before it uses the list that it has."""
    if replaces_process:
        return MAX_REPLACEMENT_WAIT_S
    return MAX_POLLED_WAIT_S if settings.polled else MAX_PUSHED_WAIT_S


class ListReadiness:
    """The list of one process, from its start on. `may_send` is asked before anything is sent."""

    __slots__ = ("has_confirmed_list", "has_list", "ready", "wait_until")

    def __init__(self, now: float, max_wait_s: float) -> None:
        """`max_wait_s` is how long to wait for discovery."""
        self.wait_until = now + max_wait_s
        self.has_list = False
        self.has_confirmed_list = False
        self.ready = False

    def configured_list_loaded(self) -> None:
        """There is a list from before this process started."""
        self.has_list = True

    def list_confirmed(self) -> None:
        """Discovery has sent this process a list, or confirmed that the present one has not changed."""
        self.has_list = self.has_confirmed_list = self.ready = True

    def may_send(self, now: float) -> bool:
        """Whether anything new may be sent to a server."""
        if not self.ready and now >= self.wait_until:
            self.ready = True
        return self.ready

    def freshness(self, now: float, schedule: SubscriptionSchedule) -> Freshness:
        """How old the list is; `schedule` is that of the watch in use."""
        if not self.has_confirmed_list:
            return Freshness.CONFIGURED if self.has_list else Freshness.NONE
        if schedule.staleness_limit_passed(now):
            return Freshness.PAST_LIMIT
        heartbeat_missed = now > schedule.last_heartbeat_at + WATCH_HEARTBEAT_TIMEOUT_S
        return Freshness.STALE if heartbeat_missed else Freshness.CURRENT
