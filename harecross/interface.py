"""The interface between a host and `harecross.policy.balancer.Balancer`: settings, events and actions.

The host does all I/O: it reports events to the balancer and carries out the actions that the balancer asks
for. Times are integer microseconds. Points in time are those of one monotonic clock, which the host passes as
`now`.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum, StrEnum
from typing import Protocol


class Idempotency(IntEnum):
    """Whether a request may be processed twice.

    Attributes:
        IDEMPOTENT: Processing the request again does no harm.
        IDEMPOTENCY_KEY: Servers of one deduplication scope discard a repeat within the deduplication window.
        NON_IDEMPOTENT: The request must not be processed twice. This is also the value for requests of which
            the host does not know whether they may be.
    """

    IDEMPOTENT = 0
    IDEMPOTENCY_KEY = 1
    NON_IDEMPOTENT = 2


class DeduplicationScope(IntEnum):
    """The servers that discard the repeat of a request with an idempotency key."""

    ALL = 0
    ZONE = 1
    CELL = 2


class Outcome(IntEnum):
    """How an attempt ended. The first three outcomes prove that the server did not process the request.

    Attributes:
        REJECTED: The server responded that it did not process the request: it is overloaded or draining.
        UNKNOWN: The host does not recognise the outcome; the request may have been processed.
    """

    REJECTED = 0
    CONNECT_FAILED = 1
    NOT_SENT = 2
    OK = 3
    ERROR = 4
    TIMEOUT = 5
    RESET = 6
    CANCELLED = 7
    UNKNOWN = 8


class FinalReason(StrEnum):
    """Why a request was shed or failed; logs and metrics contain the values.

    The balancer gives the reasons before `EXPIRED`, the host gives `EXPIRED` and those after it.

    Attributes:
        AT_LIMIT: The concurrency limit, or the part of it for the request's class or tenant, is reached.
        OVER_QUOTA: The tenant is above its quota.
        QUEUE_FULL: The queue for requests that wait at the concurrency limit is full.
        QUEUE_TIMEOUT: The request waited too long in that queue.
        NO_SERVER: There is no server that the request may be sent to.
        MAY_HAVE_RUN: An attempt may have been processed, and processing the request again may do harm.
        ATTEMPTS_USED: All attempts that the settings allow were made.
        RETRY_BUDGET: The retry budget is used up.
        NO_TIME_TO_RETRY: A further attempt would probably end after the deadline.
        RESPONSE_BROKEN: The attempt failed after a part of the response had been sent to the client.
        EXPIRED: The deadline had passed when the request arrived.
        TOO_MANY_OPEN: The host has as many open requests as the settings allow.
        NO_ENDPOINT_LIST: There is no endpoint list by which requests may be sent.
        DEADLINE: The deadline passed while the request was open.
        INTERNAL: An exception was raised; the log contains it.
    """

    AT_LIMIT = "at_limit"
    OVER_QUOTA = "over_share"
    QUEUE_FULL = "queue_full"
    QUEUE_TIMEOUT = "queue_timeout"
    NO_SERVER = "no_server"
    MAY_HAVE_RUN = "may_have_run"
    ATTEMPTS_USED = "attempts_used"
    RETRY_BUDGET = "retry_budget"
    NO_TIME_TO_RETRY = "no_time_to_retry"
    RESPONSE_BROKEN = "answer_broke"
    EXPIRED = "no_time"
    TOO_MANY_OPEN = "open_requests"
    NO_ENDPOINT_LIST = "no_list"
    DEADLINE = "deadline"
    INTERNAL = "internal"


# The outcomes that prove that the server did not process the request.
NOT_PROCESSED = frozenset((Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT))


class EndpointState(IntEnum):
    """The state of a server in the endpoint list."""

    GONE = 0
    READY = 1
    DRAINING = 2


class EndpointUpdateKind(IntEnum):
    """What an endpoint update contains.

    Attributes:
        CHANGES: The entries that changed.
        FULL: All entries of the endpoint list.
        CACHED: A full list from before this node started, which may be stale.
        FAILED: Nothing, because a watch or poll failed; the current list stays in use.
    """

    CHANGES = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


@dataclass(frozen=True)
class ClassSettings:
    """The settings of one request class.

    Attributes:
        latency_objective: A response within this time has the full priority weight.
        deadline: The time after which the client stops waiting.
        late_priority_weight: The fraction of the priority weight that a response after the objective has.
    """

    idempotency: Idempotency
    latency_objective: int
    deadline: int
    priority_weight: float
    late_priority_weight: float = 0.0
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window: int = 0
    stream: bool = False


@dataclass(frozen=True)
class TenantSettings:
    """The settings of one tenant.

    Attributes:
        quota: Requests per second over all nodes; 0 means that the tenant has no quota.
    """

    quota: float = 0.0


@dataclass(frozen=True)
class Settings:
    """The settings of one node.

    Raises ValueError, which names the key and the value, for an invalid value.

    Attributes:
        tier: The tier that this node sends to. Above 0, the node's clients are servers of the tier above.
        instance_count: The number of nodes that send to this tier, including this one.
        instance_index: The index of this node among those nodes.
        tick: The shortest time between two batches of events.
        cancel: Whether attempts may be cancelled.
        retry_after: Whether a shed request may be given a time after which to retry.
        max_open: The largest number of open requests.
        discovery_polled: Whether the balancer has to ask its host to subscribe to the endpoint list; otherwise the list
            is pushed.
        max_poll_interval: The longest time without a response from discovery, if `discovery_polled` is set.
        slow_start_duration: The time after its start when a server has its full capacity.
        slow_start_min_capacity: The fraction of its capacity that a server has at its start.
        overload_multiple: A server fails if it gets this multiple of its present capacity for
            `overload_duration`.
        cross_zone_cost: The fraction of a request's priority weight that sending it to another zone costs.
        over_quota_weight: The fraction of its priority weight that a request above its tenant's quota has.
        report_fields: The fields of load reports, in order.
        subset_max: The largest number of subset members; 0 derives it from the numbers of servers and nodes.
    """

    classes: Sequence[ClassSettings]
    tenants: Sequence[TenantSettings] = ()
    tier: int = 0
    tiers: int = 1
    zone: int = 0
    instance_count: int = 1
    instance_index: int = 0
    tick: int = 1000
    max_attempts: int = 1
    cancel: bool = False
    retry_after: bool = False
    max_retry_after: int = 0
    max_open: int = 20000
    discovery_polled: bool = False
    max_poll_interval: int = 0
    slow_start_duration: int = 0
    slow_start_min_capacity: float = 1.0
    overload_multiple: float = 0.0
    overload_duration: int = 0
    cross_zone_cost: float = 0.0
    over_quota_weight: float = 1.0
    report_fields: Sequence[str] = ()
    subset_max: int = 0

    def __post_init__(self) -> None:
        _require(len(self.classes) > 0, "classes", self.classes)
        for i, item in enumerate(self.classes):
            prefix = f"classes[{i}]"
            _require(item.latency_objective > 0, f"{prefix}.latency_objective", item.latency_objective)
            _require(item.deadline > 0, f"{prefix}.deadline", item.deadline)
            _require(item.priority_weight >= 0, f"{prefix}.priority_weight", item.priority_weight)
            window = item.deduplication_window
            _require(window >= 0, f"{prefix}.deduplication_window", window)
        for i, tenant in enumerate(self.tenants):
            _require(tenant.quota >= 0, f"tenants[{i}].quota", tenant.quota)
        _require(0 <= self.tier < self.tiers, "tier", self.tier)
        _require(self.tick > 0, "tick", self.tick)
        for key in ("instance_count", "max_attempts", "max_open"):
            _require(getattr(self, key) >= 1, key, getattr(self, key))
        for key in ("instance_index", "slow_start_duration", "overload_multiple", "overload_duration"):
            _require(getattr(self, key) >= 0, key, getattr(self, key))
        _require(self.subset_max >= 0, "subset_max", self.subset_max)
        capacity = self.slow_start_min_capacity
        _require(0 < capacity <= 1, "slow_start_min_capacity", capacity)


def _require(valid: bool, key: str, value: object) -> None:
    """Raises ValueError, which names the key and the value, unless the value is valid."""
    if not valid:
        raise ValueError(f"settings: invalid value for {key}: {value!r}")


@dataclass(frozen=True)
class Endpoint:
    """One entry of the endpoint list.

    Attributes:
        ready_at: When the server last started; 0 means that it started long ago.
    """

    server: int
    state: EndpointState = EndpointState.READY
    cell: int = 0
    zone: int = 0
    machine_type: int = 0
    weight: float = 1.0
    ready_at: int = 0


@dataclass(frozen=True, slots=True)
class EndpointSnapshot:
    """What a balancer knows about one server.

    Attributes:
        state: DRAINING for a server that is no longer listed but still has requests in flight.
        slow_start_factor: The fraction of its full capacity that the server has now, in (0, 1].
        cost: The expected time of one more request, relative to the mean round-trip or mean load report.
        limit: The concurrency limit of this node, divided by the number of servers that may be picked.
    """

    server: int
    state: EndpointState
    ejected: bool
    slow_start_factor: float
    cost: float
    limit: float


class Actions(Protocol):
    """What a balancer asks its host to do. A call takes effect at the `now` of the event being handled."""

    def send(self, request: int, server: int, timeout: int) -> None:
        """Start the request's next attempt; exactly one `outcome` event follows, within `timeout`."""

    def cancel(self, request: int, attempt: int) -> None:
        """Cancel an attempt; its `outcome` event still follows."""

    def shed(self, request: int, retry_after: int) -> None:
        """Give the final answer that the request was not served and that a retry does no harm.

        `retry_after` is the time after which the client should retry, 0 if the client is not told one.
        """

    def fail(self, request: int) -> None:
        """Give the final answer that the request failed and that a server may have processed it."""

    def health_check(self, server: int) -> None:
        """Send a health check to a server; one `health_checked` event follows."""

    def set_timer(self, delay: int, token: int) -> None:
        """Request a `timer` event with this token after `delay`; a timer cannot be cancelled."""

    def send_peer_message(self, peer: int, data: bytes) -> None:
        """Send a short message to another node of this tier, or to all of them if `peer` is -1."""

    def subscribe(self, on: bool) -> None:
        """Start or stop watching the endpoint list."""

    def poll_endpoints(self) -> None:
        """Request the full endpoint list once."""

    def close_idle(self, server: int) -> None:
        """Close the idle connections to a server."""

    def log_event(self, text: str) -> None:
        """Log a change of state."""


class Events(Protocol):
    """What a host reports to a balancer, which implements all of these methods."""

    def start(self, now: int) -> None:
        """The node starts. This is the first event."""

    def endpoint_update(self, now: int, kind: EndpointUpdateKind, entries: Sequence[Endpoint]) -> None:
        """The endpoint list changed or could not be fetched. The last of several entries for a server counts."""

    def request(
        self, now: int, request_id: int, request_class: int, tenant: int, time_left: int, repeat: bool
    ) -> None:
        """A request arrived; `repeat` tells that its client has sent it before."""

    def outcome(
        self,
        now: int,
        request_id: int,
        attempt: int,
        server_id: int,
        outcome: Outcome,
        latency: int,
        final: bool,
        report: Sequence[float],
    ) -> None:
        """An attempt ended.

        `final` tells that the host has already answered the request. `report` is a load report or empty.
        """

    def response_started(self, now: int, request_id: int, attempt: int, server_id: int, latency: int) -> None:
        """A part of the response was sent to the client, so that the request cannot be retried."""

    def uploading(self, now: int, request_id: int, on: bool) -> None:
        """A request body that is forwarded as it arrives begins (`on`) or is complete.

        The request counts as in flight only while no body is being forwarded.
        """

    def client_disconnected(self, now: int, request_id: int) -> None:
        """The client disconnected; it gets no response."""

    def health_checked(
        self, now: int, server_id: int, ok: bool, latency: int, report: Sequence[float]
    ) -> None:
        """A health check ended."""

    def load_reported(self, now: int, server_id: int, good: int, bad: int, report: Sequence[float]) -> None:
        """Others reported outcomes of a server: `good` successes and `bad` failures, of requests or checks."""

    def timer(self, now: int, token: int) -> None:
        """A timer expired."""

    def peer_message(self, now: int, peer: int, data: bytes) -> None:
        """A message from another node arrived."""
