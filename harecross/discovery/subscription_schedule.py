"""When a node calls discovery: a subscription's state, its backoff, its slot in a staggered round. Free of I/O.

Where lists are pushed, an agent on the node's own machine answers at no cost, and is called again at once. Where lists
are polled, discovery is one service that serves the calls of all nodes in turn. What ends one watch usually ends all
of them. Calls that arrive together wait together; those that wait too long fail, are still processed, and are repeated
together, so that no node gets a list (a metastable failure: Bronson et al., HotOS 2021). Therefore a node that has lost
its watch calls in its own slot of a round that has room for the whole fleet. The slots are spread evenly by instance
index, and the rounds grow while calls fail.

A change that a silent watch misses reaches the staleness limit 6 s after the watch fell silent. So the silence being
detected, the wait for the slot and the call have to fit into that time (`max_round_s`). A round is longer only for a
node that has seen that the queue in front of discovery makes the calls of a short round fail.

Times are seconds of one monotonic clock, which the caller passes in.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import inf
from random import Random

from harecross.interface import Settings

# A change counts as notified this long after discovery listed it (PROTOCOL, "Figures"), ...
STALENESS_LIMIT_S = 6.0
# ... and this long after a new configuration named another discovery (STANDING, "Days at full size").
MIGRATION_STALENESS_LIMIT_S = 4.0
# From then on sends have this long to stop: 250 ms of the settings and 50 ms of the sockets.
SEND_STOP_GRACE_S = 0.3
# A watch without a heartbeat for this long is given up; discovery sends one every 2 s.
WATCH_HEARTBEAT_TIMEOUT_S = 2.5
# The same for the first response of an agent, which answers at once.
AGENT_RESPONSE_TIMEOUT_S = 1.0
# A poll waits this long for its first response; discovery fails it after 2 s.
POLL_TIMEOUT_S = 2.5
# A call that failed after at least this long has waited in discovery's queue. One that failed sooner has not: discovery
# was down, or took no more calls.
MIN_QUEUED_FAILURE_S = 1.5
# A call that was answered after at least this long has found a long queue.
LONG_QUEUE_WAIT_S = 1.75
# After this many calls that were answered sooner, the queue counts as short again.
LONG_QUEUE_CALLS = 3
# Waits between calls to an agent. A change that the agent gets when it comes back counts as notified at once, whether
# or not a call is open: half of the grace may pass before the call, the other half is for its response.
AGENT_BACKOFF_INITIAL_S = 0.05
AGENT_BACKOFF_MAX_S = SEND_STOP_GRACE_S / 2
# A response takes this long at most where calls arrive no faster than discovery serves them.
EXPECTED_RESPONSE_S = 0.5
# A part of a round for each node of the tier, while the queue is short.
ROUND_SLOT_S = 0.1
# The first round while the queue is long.
LONG_QUEUE_ROUND_S = 5.0
# No node calls for this long after its call failed in a long queue, so that discovery can empty the queue.
FAILED_CALL_PAUSE_S = 4.0
# Each further call that fails makes the round this many times longer, ...
ROUND_GROWTH_FACTOR = 2.0
# ... up to this many of the longest poll intervals that the settings allow.
MAX_ROUND_POLL_INTERVALS = 4.0
# The round after a single failure: a watch that ended or could not be read has usually done so alone.
SINGLE_FAILURE_ROUND_S = 0.5
# The shortest time between the end of a call and the next call.
MIN_CALL_DELAY_S = 0.05
# The position in the round moves on by this part from wait to wait, so that no node is always the last.
GOLDEN_RATIO_FRACTION = 0.6180339887498949


def max_round_s(*, migrating: bool = False) -> float:
    """The longest round in which even the last node gets its list before a change that it missed is past its limit.

    The limit less the other waits of that node: until the silence is detected, before the call, and for the response.
    `migrating`: for the second call to another discovery, the first of which was not answered.
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
    WAITING = "waiting"  # until `next_call_at`
    CALLING = "calling"  # a call is open and has brought nothing yet
    SUBSCRIBED = "subscribed"  # the call has brought something


class CallEnd(Enum):
    """How a call or a watch ended."""

    ENDED = "ended"  # discovery ended it after a response
    MALFORMED = "malformed"  # its response could not be read, or broke off within a value
    SILENT = "silent"  # it is open, and no heartbeat came in time
    FAILED = "failed"  # without a response: refused, failed by discovery, or never answered


@dataclass(frozen=True, slots=True)
class DiscoverySettings:
    """What the settings say on a node's discovery."""

    polled: bool = False  # lists are polled; otherwise an agent on the node's machine pushes them
    instance_count: int = 1  # the nodes of this tier
    instance_index: int = 0  # this node's index among them
    max_poll_interval_s: float = 10.0  # the longest time that a node without a watch may go without a poll


def discovery_settings(settings: Settings) -> DiscoverySettings:
    """What a node's settings say on its discovery."""
    return DiscoverySettings(
        settings.discovery_polled,
        settings.instance_count,
        settings.instance_index,
        settings.max_poll_interval / 1e6,
    )


class SubscriptionSchedule:
    """One subscription: its state, the age of its last heartbeat, and when to call next.

    The caller calls `start`, then `call_started` when `next_call_at` has come, `heartbeat_received` for whatever the
    call brings, `update_applied` for a list or change that could be used, and `call_ended` at its end. It gives up a
    call itself at `response_deadline`.
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
        """`migrating`: the subscription at another discovery, which is to replace the present one."""
        self.settings = settings
        self.rng = rng
        self.state = SubscriptionState.IDLE
        self.next_call_at = inf
        self.call_started_at = -inf
        self.last_heartbeat_at = -inf
        self.consecutive_failures = 0  # calls in a row without a list or change
        self.update_received = True  # the present call has brought a list or change that could be used
        self.wait_count = 0  # waits for a slot so far
        self.first_response_wait = 0.0  # seconds that the last answered call waited for its first response
        self.call_count = 0
        self.migrating = migrating
        self.last_end = CallEnd.ENDED
        self.long_queue_calls = 0  # above 0: discovery's queue counts as long for so many more quick answers

    def start(self, now: float) -> None:
        """A list is needed from now on."""
        self.state = SubscriptionState.WAITING
        self.next_call_at = now

    def stop(self) -> None:
        """No list is needed any more."""
        self.state = SubscriptionState.IDLE
        self.next_call_at = inf

    def call_started(self, now: float) -> None:
        """A call has been made."""
        self.state = SubscriptionState.CALLING
        self.next_call_at = inf
        self.call_started_at = now
        self.update_received = False
        self.call_count += 1

    def heartbeat_received(self, now: float) -> None:
        """The call has brought something, even if it is only an empty line."""
        if self.state is SubscriptionState.CALLING:
            self.state = SubscriptionState.SUBSCRIBED
            self.first_response_wait = now - self.call_started_at
            waited_long = self.first_response_wait >= LONG_QUEUE_WAIT_S
            self.long_queue_calls = LONG_QUEUE_CALLS if waited_long else max(0, self.long_queue_calls - 1)
        self.last_heartbeat_at = now

    def update_applied(self) -> None:
        """The call has brought a list or a change that could be used."""
        self.update_received = True
        self.consecutive_failures = 0

    def call_ended(self, now: float, end: CallEnd) -> None:
        """The call is over; sets `next_call_at`."""
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
        """Seconds until the next call to an agent: exponential backoff."""
        return min(AGENT_BACKOFF_INITIAL_S * 2.0 ** min(self.consecutive_failures, 10), AGENT_BACKOFF_MAX_S)

    def poll_delay(self, end: CallEnd) -> float:
        """Seconds until this node's slot in the present round.

        A call that failed in the queue shows that more calls wait than discovery can serve in time. Further calls would
        fail too and lengthen the queue, so each node whose call failed there pauses first. A call that was refused,
        reset or never answered says nothing about a queue: discovery is or was down, and a change that it lists when it
        is back reaches the staleness limit 6 s later.
        """
        self.wait_count += 1
        if end is CallEnd.FAILED and self.long_queue_calls:
            return FAILED_CALL_PAUSE_S + self.round_length() * self.round_position()
        single_failure = end is not CallEnd.SILENT and self.consecutive_failures <= 1
        round_s = SINGLE_FAILURE_ROUND_S if single_failure else self.round_length()
        return MIN_CALL_DELAY_S + round_s * self.round_position()

    def round_length(self) -> float:
        """Seconds of the present round."""
        growth = ROUND_GROWTH_FACTOR ** max(0, min(self.consecutive_failures, 20) - 1)
        if self.long_queue_calls:
            longest = max(LONG_QUEUE_ROUND_S, MAX_ROUND_POLL_INTERVALS * self.settings.max_poll_interval_s)
            return float(min(LONG_QUEUE_ROUND_S * growth, longest))
        limit = max_round_s(migrating=self.migrating)
        length = min(ROUND_SLOT_S * self.settings.instance_count, limit) * growth
        # A discovery whose responses cannot be read is up and spends work on each call: its rounds grow past the limit.
        return float(length if self.last_end is CallEnd.MALFORMED else min(length, limit))

    def round_position(self) -> float:
        """This node's position in the present round, in [0, 1)."""
        settings = self.settings
        slot = (settings.instance_index + self.rng.random()) / max(1, settings.instance_count)
        return (slot + self.wait_count * GOLDEN_RATIO_FRACTION) % 1.0

    # ---- the age of the list ----------------------------------------------------------------------------

    def response_deadline(self) -> float:
        """When the open call or watch is given up unless it brings something."""
        if self.state is SubscriptionState.CALLING:
            timeout = POLL_TIMEOUT_S if self.settings.polled else AGENT_RESPONSE_TIMEOUT_S
            return self.call_started_at + timeout
        if self.state is SubscriptionState.SUBSCRIBED:
            return self.last_heartbeat_at + WATCH_HEARTBEAT_TIMEOUT_S
        return inf

    def staleness_limit_at(self) -> float:
        """When the first change that this node may have missed counts as notified."""
        return self.last_heartbeat_at + STALENESS_LIMIT_S

    def staleness_limit_passed(self, now: float) -> bool:
        """Whether a change that this node has not received may count as notified."""
        return now > self.staleness_limit_at()

    def report_fields(self, now: float) -> dict[str, float]:
        """For the node's report: the age of the last heartbeat in seconds, and the calls it took.

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
