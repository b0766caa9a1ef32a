"""The interface between a host and `harecross.policy.balancer.Balancer`: settings, events and actions.

Times are integer microseconds of one monotonic clock that the host passes in as `now`.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum, StrEnum
from typing import Protocol


class Idempotency(IntEnum):
    """What a repeat of a request does."""

    IDEMPOTENT = 0  # no harm
    IDEMPOTENCY_KEY = 1  # servers of a deduplication scope discard it within a window
    NON_IDEMPOTENT = 2  # harm; also for whatever the host does not recognise


class DeduplicationScope(IntEnum):
    """Which servers discard the repeat of a request with an idempotency key."""

    ALL = 0
    ZONE = 1
    CELL = 2


class Outcome(IntEnum):
    """How an attempt ended. The first three prove that the server never processed it."""

    REJECTED = 0  # the server answered that it did not process it: overloaded or draining
    CONNECT_FAILED = 1
    NOT_SENT = 2
    OK = 3
    ERROR = 4
    TIMEOUT = 5
    RESET = 6
    CANCELLED = 7
    UNKNOWN = 8  # any outcome the host does not recognise: it may have been processed


class FinalReason(StrEnum):
    """Why a request was shed or failed; logs and metrics hold the values. From `EXPIRED` on the host decides."""

    AT_LIMIT = "at_limit"  # the concurrency limit, or the part of it for this class or tenant
    OVER_QUOTA = "over_share"
    QUEUE_FULL = "queue_full"
    QUEUE_TIMEOUT = "queue_timeout"
    NO_SERVER = "no_server"  # no server may get it
    MAY_HAVE_RUN = "may_have_run"  # an attempt may have been processed, and a repeat may do harm
    ATTEMPTS_USED = "attempts_used"
    RETRY_BUDGET = "retry_budget"
    NO_TIME_TO_RETRY = "no_time_to_retry"
    RESPONSE_BROKEN = "answer_broke"  # after a part of the response had gone to the client
    EXPIRED = "no_time"  # its deadline had passed when it came
    TOO_MANY_OPEN = "open_requests"
    NO_ENDPOINT_LIST = "no_list"  # there is no list by which requests may be sent
    DEADLINE = "deadline"  # its deadline passed
    INTERNAL = "internal"  # an exception, which is in the log


NOT_PROCESSED = frozenset((Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT))


class EndpointState(IntEnum):
    """A server's state in the endpoint list."""

    GONE = 0
    READY = 1
    DRAINING = 2


class EndpointUpdateKind(IntEnum):
    """What an endpoint update carries."""

    CHANGES = 0
    FULL = 1
    CACHED = 2  # a full list from before this node started, possibly stale
    FAILED = 3  # nothing: a watch or poll failed, and the present list holds


@dataclass(frozen=True)
class ClassSettings:
    """One request class."""

    idempotency: Idempotency
    latency_objective: int  # an answer within this time has its full weight
    deadline: int  # after this time the client stops waiting
    priority_weight: float
    late_priority_weight: float = 0.0  # part of the weight for an answer after the objective
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window: int = 0
    stream: bool = False


@dataclass(frozen=True)
class TenantSettings:
    """One tenant: its quota in requests a second over all nodes (0: none)."""

    quota: float = 0.0


@dataclass(frozen=True)
class Settings:
    """The settings of one node. ValueError, with key and value, for impossible ones."""

    classes: Sequence[ClassSettings]
    tenants: Sequence[TenantSettings] = ()
    tier: int = 0  # the tier this node sends to; above 0 its clients are servers
    tiers: int = 1
    zone: int = 0
    instance_count: int = 1  # nodes that send to this tier, this one included
    instance_index: int = 0  # this node's number among them
    tick: int = 1000  # least time between two batches of events
    max_attempts: int = 1
    cancel: bool = False  # attempts may be cancelled
    retry_after: bool = False  # shed requests may be told when to come back
    max_retry_after: int = 0
    max_open: int = 20000  # requests
    discovery_polled: bool = False  # the node has to subscribe to the endpoint list
    max_poll_interval: int = 0  # and this is the longest time without an answer
    slow_start_duration: int = 0  # a server that has started is warm after this time
    slow_start_min_capacity: float = 1.0  # part of its capacity at its start
    overload_multiple: float = 0.0  # a server that gets this multiple of its present capacity
    overload_duration: int = 0  # for this long fails
    cross_zone_cost: float = 0.0  # part of a request's weight that leaving the zone costs
    over_quota_weight: float = 1.0  # part of its weight that a request above its tenant's quota has
    report_fields: Sequence[str] = ()  # of load reports, in order
    subset_max: int = 0  # most members of the subset; 0: by the numbers of servers and nodes

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


def _require(possible: bool, key: str, value: object) -> None:
    """ValueError, with key and value, if the value is not possible."""
    if not possible:
        raise ValueError(f"settings: impossible value for {key}: {value!r}")


@dataclass(frozen=True)
class Endpoint:
    """One entry of the endpoint list."""

    server: int
    state: EndpointState = EndpointState.READY
    cell: int = 0
    zone: int = 0
    machine_type: int = 0
    weight: float = 1.0
    ready_at: int = 0  # when it last started; 0: long ago


@dataclass(frozen=True, slots=True)
class EndpointSnapshot:
    """What a balancer knows of one server."""

    server: int
    state: EndpointState  # DRAINING if it is no longer listed and has requests in flight
    ejected: bool
    slow_start_factor: float  # the part of its full capacity that it has now, in (0, 1]
    cost: float  # expected time of one more request, in mean round-trips or mean load reports
    limit: float  # this node's mean concurrency limit for one server


class Actions(Protocol):
    """What a balancer asks of its host. Calls take effect at the `now` of the event being handled."""

    def send(self, request: int, server: int, timeout: int) -> None:
        """Start the request's next attempt; exactly one `outcome` follows, by the time-out."""

    def cancel(self, request: int, attempt: int) -> None:
        """Stop waiting for an attempt; its outcome still follows."""

    def shed(self, request: int, retry_after: int) -> None:
        """Final answer: not served, a retry does no harm."""

    def fail(self, request: int) -> None:
        """Final answer: not served, and it may have been processed."""

    def health_check(self, server: int) -> None:
        """Test a server; one `health_checked` event follows."""

    def set_timer(self, delay: int, token: int) -> None:
        """Ask for a `timer` event; timers cannot be withdrawn."""

    def send_peer_message(self, peer: int, data: bytes) -> None:
        """Send a short message to another node of this tier (-1: to all)."""

    def subscribe(self, on: bool) -> None:
        """Start or stop watching the endpoint list."""

    def poll_endpoints(self) -> None:
        """Ask for the whole endpoint list once."""

    def close_idle(self, server: int) -> None:
        """Close idle connections to a server."""

    def log_event(self, text: str) -> None:
        """Log a change of state."""


class Events(Protocol):
    """What a host tells a balancer, which implements all of these."""

    def start(self, now: int) -> None:
        """The node starts; the first event."""

    def endpoint_update(self, now: int, kind: EndpointUpdateKind, entries: Sequence[Endpoint]) -> None:
        """The endpoint list has changed, or could not be had. Of entries for one server the last holds."""

    def request(
        self, now: int, request_id: int, request_class: int, tenant: int, time_left: int, repeat: bool
    ) -> None:
        """A request came; `repeat`: its client has sent it before."""

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
        """An attempt ended. `final`: the host has answered the request; `report`: a load report, or empty."""

    def response_started(self, now: int, request_id: int, attempt: int, server_id: int, latency: int) -> None:
        """A part of the response has gone to the client: the request is not retried."""

    def uploading(self, now: int, request_id: int, on: bool) -> None:
        """A body that is passed on while it comes is on its way, or whole; only then is it in flight."""

    def client_disconnected(self, now: int, request_id: int) -> None:
        """The client has left; it gets no answer."""

    def health_checked(
        self, now: int, server_id: int, ok: bool, latency: int, report: Sequence[float]
    ) -> None:
        """A health check has ended."""

    def load_reported(self, now: int, server_id: int, good: int, bad: int, report: Sequence[float]) -> None:
        """Requests of others to a server, by how they ended."""

    def timer(self, now: int, token: int) -> None:
        """A timer has expired."""

    def peer_message(self, now: int, peer: int, data: bytes) -> None:
        """A message of another node."""
