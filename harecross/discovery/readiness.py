"""Decides whether requests may be sent using the current server list, and how old that list is.

A node that has just started has the list of its configuration, which "may be old" (DEPLOY, `known`). However, a change
that the agent on its machine already has, or that was listed 6 s ago, counts as notified as soon as the node starts
(PROTOCOL, "Discovery" and "Figures"), so a server that has left the list must not receive requests. The node therefore
sends nothing based on the configured list until discovery has confirmed a list to this process, which includes a
confirmation that nothing has changed. Until then requests are rejected immediately and the health check fails. The wait
is bounded, because otherwise a node could not start while discovery is down.

After that the list is used regardless of its age, because a fleet that rejects all requests while discovery is down
serves no one (docs/design-fleet.md). Times are seconds of one monotonic clock.
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

# If lists are pushed, the agent responds immediately unless discovery is down. After this time every change listed
# before the start counts as notified, so a longer wait would gain nothing.
MAX_PUSHED_WAIT_S = STALENESS_LIMIT_S
# If lists are polled, clients connect at most 30 s after a fleet's start (DEPLOY, "Limits"), and the last call must
# have been answered by then. This leaves time for two failed calls with their pauses and rounds.
MAX_POLLED_WAIT_S = 30.0 - POLL_TIMEOUT_S
# The longest wait of a process that replaces another one of this node, which still serves and must be replaced in time.
MAX_REPLACEMENT_WAIT_S = 1.0


class Freshness(Enum):
    """How old the current list is. The values are parts of keys in reports."""

    # There is no list.
    NONE = "none"
    # The list is the configured one; discovery has not confirmed any list to this process.
    CONFIGURED = "known"
    # Discovery has sent a heartbeat within the heartbeat timeout.
    CURRENT = "current"
    # The heartbeat timeout has passed, but no change that the node may have missed counts as notified yet.
    STALE = "stale"
    # A change that this node has not received may count as notified.
    PAST_LIMIT = "binding"


def max_start_wait_s(settings: DiscoverySettings, *, replaces_process: bool = False) -> float:
    """Returns how many seconds a starting node waits for discovery before it uses the list it has."""
    if replaces_process:
        return MAX_REPLACEMENT_WAIT_S
    return MAX_POLLED_WAIT_S if settings.polled else MAX_PUSHED_WAIT_S


class ListReadiness:
    """Tracks the readiness of one process's list. `may_send` must be checked before any request is sent."""

    __slots__ = ("has_confirmed_list", "has_list", "ready", "wait_until")

    def __init__(self, now: float, max_wait_s: float) -> None:
        """`max_wait_s` is the longest time to wait for discovery, in seconds."""
        self.wait_until = now + max_wait_s
        self.has_list = False
        self.has_confirmed_list = False
        self.ready = False

    def configured_list_loaded(self) -> None:
        """Records that a list from before this process started has been loaded."""
        self.has_list = True

    def list_confirmed(self) -> None:
        """Records that discovery has sent this process a list, or confirmed that the current one is unchanged."""
        self.has_list = self.has_confirmed_list = self.ready = True

    def may_send(self, now: float) -> bool:
        """Whether new requests may be sent to servers."""
        if not self.ready and now >= self.wait_until:
            self.ready = True
        return self.ready

    def freshness(self, now: float, schedule: SubscriptionSchedule) -> Freshness:
        """Returns how old the list is; `schedule` is that of the current watch."""
        if not self.has_confirmed_list:
            return Freshness.CONFIGURED if self.has_list else Freshness.NONE
        if schedule.staleness_limit_passed(now):
            return Freshness.PAST_LIMIT
        heartbeat_missed = now > schedule.last_heartbeat_at + WATCH_HEARTBEAT_TIMEOUT_S
        return Freshness.STALE if heartbeat_missed else Freshness.CURRENT
