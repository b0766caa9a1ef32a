"""Schedules a node's calls to discovery: subscription state, backoff, and slots in staggered rounds.

If lists are pushed, an agent on the node's own machine responds at negligible cost, and is called again after a short
backoff. If lists are polled, discovery is a single service that serves the calls of all nodes in turn. An event that
ends one watch usually ends all of them. Calls that arrive together queue together. Those that wait too long fail, are
processed nevertheless, and are retried together, so that no node gets a list (a metastable failure: Bronson et al.,
HotOS 2021). A node that has lost its watch therefore calls in its own slot of a round that is long enough for the whole
fleet. The slots are spread evenly by instance index, and the rounds grow while calls fail.

A change that a silent watch misses reaches the staleness limit 6 s after the watch fell silent. Detecting the silence,
waiting for the slot and making the call must fit into that time (`max_round_s`). Rounds are longer only for a node that
has observed that discovery's queue makes the calls of a short round fail.

Times are seconds of one monotonic clock, which the caller passes in.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import inf
from random import Random

from harecross.interface import Settings

# A change counts as notified this long after discovery listed it (PROTOCOL, "Figures").
STALENESS_LIMIT_S = 6.0
# After a migration, a change counts as notified this long after the new configuration named the other discovery
# (STANDING, "Days at full size").
MIGRATION_STALENESS_LIMIT_S = 4.0
# Once a change counts as notified, sending must stop within this time: 250 ms allowed by the settings plus 50 ms
# for the sockets.
SEND_STOP_GRACE_S = 0.3
# A watch without a heartbeat for this long is closed; discovery sends a heartbeat every 2 s.
WATCH_HEARTBEAT_TIMEOUT_S = 2.5
# An agent responds immediately, so a call to it is closed if the first response takes longer than this.
AGENT_RESPONSE_TIMEOUT_S = 1.0
# A poll waits this long for its first response; discovery itself fails the poll after 2 s.
POLL_TIMEOUT_S = 2.5
# A call that failed after at least this long has waited in discovery's queue. A call that failed sooner has not,
# because discovery was down or accepted no more calls.
MIN_QUEUED_FAILURE_S = 1.5
# A call whose first response took at least this long has met a long queue.
LONG_QUEUE_WAIT_S = 1.75
# The queue counts as short again after this many calls that were answered in less than `LONG_QUEUE_WAIT_S`.
LONG_QUEUE_CALLS = 3
# The backoff between calls to an agent. A change that the agent receives when it comes back counts as notified at
# once, whether or not a call is open. Half of the grace may pass before the call; the other half is left for its
# response.
AGENT_BACKOFF_INITIAL_S = 0.05
AGENT_BACKOFF_MAX_S = SEND_STOP_GRACE_S / 2
# The longest expected response time while calls arrive no faster than discovery serves them.
EXPECTED_RESPONSE_S = 0.5
# The share of a round per node of the tier while the queue is short.
ROUND_SLOT_S = 0.1
# The length of the first round while the queue is long.
LONG_QUEUE_ROUND_S = 5.0
# A node whose call failed in a long queue waits at least this long, so that discovery can drain the queue.
FAILED_CALL_PAUSE_S = 4.0
# Each further failed call multiplies the length of the round by this factor.
ROUND_GROWTH_FACTOR = 2.0
# While the queue is long, a round grows to at most this many times the longest poll interval in the settings.
MAX_ROUND_POLL_INTERVALS = 4.0
# The length of the round after a single failure: one watch that ended or was malformed is usually an isolated case.
SINGLE_FAILURE_ROUND_S = 0.5
# The shortest time between the end of a call and the next call.
MIN_CALL_DELAY_S = 0.05
# The position in the round advances by this fraction from wait to wait, so that no node is always the last.
GOLDEN_RATIO_FRACTION = 0.6180339887498949


def max_round_s(*, migrating: bool = False) -> float:
    """Returns the longest round in which the last node still gets its list before the staleness limit.

    This is the limit minus the node's other waits: for the silence to be detected, before the call, and for the
    response. `migrating`: the result is for the second call to a new discovery, after the first one was not answered.
    """
    before_call = (
        MIGRATION_STALENESS_LIMIT_S - POLL_TIMEOUT_S
        if migrating
        else STALENESS_LIMIT_S - WATCH_HEARTBEAT_TIMEOUT_S
    )
    return before_call - MIN_CALL_DELAY_S - EXPECTED_RESPONSE_S


class SubscriptionState(Enum):
    """The state of one subscription."""

    IDLE = "idle"  # no list is needed
    WAITING = "waiting"  # the next call is due at `next_call_at`
    CALLING = "calling"  # a call is open and has received no data yet
    SUBSCRIBED = "subscribed"  # the open call has received data


class CallEnd(Enum):
    """How a call or a watch ended."""

    ENDED = "ended"  # discovery ended the call after a response
    MALFORMED = "malformed"  # the response could not be parsed, or ended within a value
    SILENT = "silent"  # the connection is open, but no heartbeat arrived in time
    FAILED = "failed"  # there was no response: refused, failed by discovery, or never answered


@dataclass(frozen=True, slots=True)
class DiscoverySettings:
    """The settings of a node's discovery subscription.

    Attributes:
        polled: Whether lists are polled; otherwise an agent on the node's machine pushes them.
        instance_count: The number of nodes in this tier.
        instance_index: This node's index among them.
        max_poll_interval_s: The longest time between polls of a node without a watch, in seconds.
    """

    polled: bool = False
    instance_count: int = 1
    instance_index: int = 0
    max_poll_interval_s: float = 10.0


def discovery_settings(settings: Settings) -> DiscoverySettings:
    """Returns the part of a node's settings that concerns its discovery subscription."""
    return DiscoverySettings(
        settings.discovery_polled,
        settings.instance_count,
        settings.instance_index,
        settings.max_poll_interval / 1e6,
    )


class SubscriptionSchedule:
    """Tracks one subscription: its state, the age of its last heartbeat, and when the next call is due.

    The caller calls `start`, then `call_started` once `next_call_at` is reached, `heartbeat_received` for any data that
    the call receives, `update_applied` for a list or change that was applied, and `call_ended` when the call ends. The
    caller must end a call itself at `response_deadline`.

    Attributes:
        consecutive_failures: The number of calls in a row that delivered no list or change.
        update_received: Whether the current call has delivered a list or change that was applied.
        wait_count: The number of waits for a slot so far.
        first_response_wait: How long the last answered call waited for its first response, in seconds.
        migrating: Whether this is the subscription to another discovery that is to replace the current one.
        long_queue_calls: How many more quick responses it takes until discovery's queue counts as short.
    """

    __slots__ = (
        "call_count",
        "call_started_at",
        "consecutive_failures",
        "first_response_wait",
        "last_end",
        "last_heartbeat_at",
        "long_queue_calls",
        "migrating",
        "next_call_at",
        "rng",
        "settings",
        "state",
        "update_received",
        "wait_count",
    )

    def __init__(self, settings: DiscoverySettings, rng: Random, *, migrating: bool = False) -> None:
        self.settings = settings
        self.rng = rng
        self.state = SubscriptionState.IDLE
        self.next_call_at = inf
        self.call_started_at = -inf
        self.last_heartbeat_at = -inf
        self.consecutive_failures = 0
        self.update_received = True
        self.wait_count = 0
        self.first_response_wait = 0.0
        self.call_count = 0
        self.migrating = migrating
        self.last_end = CallEnd.ENDED
        self.long_queue_calls = 0

    def start(self, now: float) -> None:
        """Starts the subscription; the first call is due at once."""
        self.state = SubscriptionState.WAITING
        self.next_call_at = now

    def stop(self) -> None:
        """Stops the subscription; no further call is due."""
        self.state = SubscriptionState.IDLE
        self.next_call_at = inf

    def call_started(self, now: float) -> None:
        """Records the start of a call."""
        self.state = SubscriptionState.CALLING
        self.next_call_at = inf
        self.call_started_at = now
        self.update_received = False
        self.call_count += 1

    def heartbeat_received(self, now: float) -> None:
        """Records that the call has received data, even if it is only an empty line."""
        if self.state is SubscriptionState.CALLING:
            self.state = SubscriptionState.SUBSCRIBED
            self.first_response_wait = now - self.call_started_at
            waited_long = self.first_response_wait >= LONG_QUEUE_WAIT_S
            self.long_queue_calls = LONG_QUEUE_CALLS if waited_long else max(0, self.long_queue_calls - 1)
        self.last_heartbeat_at = now

    def update_applied(self) -> None:
        """Records that a list or change from the call has been applied."""
        self.update_received = True
        self.consecutive_failures = 0

    def call_ended(self, now: float, end: CallEnd) -> None:
        """Records the end of a call and sets `next_call_at`."""
        if self.state is SubscriptionState.IDLE:
            return
        if not self.update_received:
            self.consecutive_failures += 1
        if end is CallEnd.FAILED and MIN_QUEUED_FAILURE_S <= now - self.call_started_at < POLL_TIMEOUT_S:
            self.long_queue_calls = LONG_QUEUE_CALLS
        self.state = SubscriptionState.WAITING
        self.last_end = end
        self.next_call_at = now + (self.poll_delay(end) if self.settings.polled else self.agent_backoff())

    def agent_backoff(self) -> float:
        """Returns the exponential backoff until the next call to an agent, in seconds."""
        return min(AGENT_BACKOFF_INITIAL_S * 2.0 ** min(self.consecutive_failures, 10), AGENT_BACKOFF_MAX_S)

    def poll_delay(self, end: CallEnd) -> float:
        """Returns the seconds until this node's slot in the current round.

        A call that failed in the queue shows that more calls are waiting than discovery can serve in time. While the
        queue counts as long, a node whose call failed pauses first, because further calls would also fail and lengthen
        the queue. A call that was refused, reset or never answered does not make the queue count as long. In that case
        discovery is or was down, and the node must not pause, because a change that discovery lists on its return
        reaches the staleness limit 6 s later.
        """
        self.wait_count += 1
        if end is CallEnd.FAILED and self.long_queue_calls:
            return FAILED_CALL_PAUSE_S + self.round_length() * self.round_position()
        single_failure = end is not CallEnd.SILENT and self.consecutive_failures <= 1
        round_s = SINGLE_FAILURE_ROUND_S if single_failure else self.round_length()
        return MIN_CALL_DELAY_S + round_s * self.round_position()

    def round_length(self) -> float:
        """Returns the length of the current round in seconds."""
        growth = ROUND_GROWTH_FACTOR ** max(0, min(self.consecutive_failures, 20) - 1)
        if self.long_queue_calls:
            longest = max(LONG_QUEUE_ROUND_S, MAX_ROUND_POLL_INTERVALS * self.settings.max_poll_interval_s)
            return float(min(LONG_QUEUE_ROUND_S * growth, longest))
        limit = max_round_s(migrating=self.migrating)
        length = min(ROUND_SLOT_S * self.settings.instance_count, limit) * growth
        # A discovery that sends malformed responses is up and spends work on each call, so its rounds may exceed the
        # limit.
        return float(length if self.last_end is CallEnd.MALFORMED else min(length, limit))

    def round_position(self) -> float:
        """Returns this node's position in the current round, in [0, 1)."""
        settings = self.settings
        slot = (settings.instance_index + self.rng.random()) / max(1, settings.instance_count)
        return (slot + self.wait_count * GOLDEN_RATIO_FRACTION) % 1.0

    def response_deadline(self) -> float:
        """Returns when the open call or watch must be closed unless it receives data before."""
        if self.state is SubscriptionState.CALLING:
            timeout = POLL_TIMEOUT_S if self.settings.polled else AGENT_RESPONSE_TIMEOUT_S
            return self.call_started_at + timeout
        if self.state is SubscriptionState.SUBSCRIBED:
            return self.last_heartbeat_at + WATCH_HEARTBEAT_TIMEOUT_S
        return inf

    def staleness_limit_at(self) -> float:
        """Returns when the first change that this node may have missed counts as notified."""
        return self.last_heartbeat_at + STALENESS_LIMIT_S

    def staleness_limit_passed(self, now: float) -> bool:
        """Whether a change that this node has not received may count as notified."""
        return now > self.staleness_limit_at()

    def report_fields(self, now: float) -> dict[str, float]:
        """Returns the fields for the node's report: the age of the last heartbeat in seconds and call statistics.

        `list_overdue` is 1 while a change that this node has not received may count as notified.
        """
        age = now - self.last_heartbeat_at
        fields = {
            "list_calls": float(self.call_count),
            "list_waited": round(self.first_response_wait, 2),
        }
        if age < inf:
            fields["list_age"] = round(age, 1)
        if self.consecutive_failures:
            fields["list_failures"] = float(self.consecutive_failures)
        if self.staleness_limit_passed(now):
            fields["list_overdue"] = 1.0
        return fields
