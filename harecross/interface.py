"""The decision module's interface: settings, servers, outcomes, actions and events.

Times are integer microseconds of one monotonic clock that the host passes in as `now`.
Everything a host must know to embed `harecross.policy.balancer.Balancer` stands in this file.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum, StrEnum
from typing import Protocol


class Idempotency(IntEnum):
    """What a repeat of a request does."""

    IDEMPOTENT = 0  # may run any number of times
    IDEMPOTENCY_KEY = 1  # a group of servers discards repeats for a while
    NON_IDEMPOTENT = 2  # must never run twice (also: any effect the host does not recognise)


class DeduplicationScope(IntEnum):
    """Which servers discard the repeats of a keyed request."""

    ALL = 0
    ZONE = 1
    CELL = 2


class Outcome(IntEnum):
    """How an attempt ended. The first three prove that the server never ran it."""

    REJECTED = 0  # turned away unseen: queue full or draining
    CONNECT_FAILED = 1
    NOT_SENT = 2
    OK = 3
    ERROR = 4
    TIMEOUT = 5
    RESET = 6
    CANCELLED = 7
    UNKNOWN = 8  # any outcome the host does not recognise: it may have run


class FinalReason(StrEnum):
    """Why a request was refused or failed; for logs and metrics. Those from `NO_TIME` on are the host's own."""

    AT_LIMIT = "at_limit"  # the concurrency limit, or what of it this class or tenant may use
    OVER_SHARE = "over_share"  # its tenant has had its share
    QUEUE_FULL = "queue_full"  # no slot, and as many wait as may
    QUEUE_TIMEOUT = "queue_timeout"  # no slot came free in time
    NO_SERVER = "no_server"  # none may be used
    MAY_HAVE_RUN = "may_have_run"  # an attempt may have run, and a repeat may do harm
    ATTEMPTS_USED = "attempts_used"
    RETRY_BUDGET = "retry_budget"  # further attempts would be more than their share
    NO_TIME_TO_RETRY = "no_time_to_retry"
    ANSWER_BROKE = "answer_broke"  # part of an answer had gone to the client
    NO_TIME = "no_time"  # its time had run out when it came
    OPEN_REQUESTS = "open_requests"  # as many are open as may be
    NO_LIST = "no_list"  # no list of servers may be used yet
    DEADLINE = "deadline"  # its time ran out
    INTERNAL = "internal"  # an exception, which the log has


NEVER_RAN = frozenset((Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT))


class EndpointState(IntEnum):
    """A server's state in the list."""

    GONE = 0
    READY = 1
    DRAINING = 2


class EndpointUpdateKind(IntEnum):
    """What a server-list event carries."""

    CHANGES = 0
    FULL = 1
    CACHED = 2  # a full list from before this instance started, possibly stale
    FAILED = 3  # a watch or fetch failed; keep the list in hand


@dataclass(frozen=True)
class ClassSettings:
    """One class of requests."""

    idempotency: Idempotency
    latency_objective: int  # an answer within this time earns the full worth
    deadline: int  # the client's whole patience, over all its tries
    priority_weight: float
    late_priority_weight: float = 0.0  # share of the worth for an answer after the aim
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window: int = 0  # how long a keyed request's group remembers it
    stream: bool = False


@dataclass(frozen=True)
class TenantSettings:
    """One tenant: its share of the service, in requests per second over all nodes (0 = no quota)."""

    quota: float = 0.0


@dataclass(frozen=True)
class Settings:
    """What an instance is told at its start."""

    classes: Sequence[ClassSettings]
    tenants: Sequence[TenantSettings] = ()
    tier: int = 0  # the tier this instance sends to; above 0 its callers are servers
    tiers: int = 1
    zone: int = 0
    instance_count: int = 1  # instances that send to this tier, this one included
    instance_index: int = 0  # this one's number among them
    tick: int = 1000  # least time between two batches of events
    max_attempts: int = 1
    cancel: bool = False
    retry_after: bool = False
    max_retry_after: int = 0
    max_open: int = 20000
    discovery_polled: bool = False  # the server list must be asked for
    max_poll_interval: int = 0  # where it must be asked for: the longest silence allowed
    slow_start_duration: int = 0  # a fresh server is warm within this time
    slow_start_min_capacity: float = 1.0  # and starts at this share of its capacity or more
    overload_multiple: float = 0.0  # sent more than this multiple of its present capacity
    overload_duration: int = 0  # for this long, it falls over
    cross_zone_cost: float = 0.0
    over_quota_weight: float = 1.0
    report_fields: Sequence[str] = ()
    subset_max: int = 0  # members of the subset at most; 0: as many as a node takes

    def __post_init__(self) -> None:
        def need(ok: bool, key: str) -> None:
            if not ok:
                raise ValueError(f"settings: impossible value for {key}")

        need(len(self.classes) > 0, "classes")
        for i, c in enumerate(self.classes):
            need(c.latency_objective > 0, f"classes[{i}].latency_objective")
            need(c.deadline > 0, f"classes[{i}].deadline")
            need(c.priority_weight >= 0, f"classes[{i}].priority_weight")
            need(c.deduplication_window >= 0, f"classes[{i}].deduplication_window")
        for i, t in enumerate(self.tenants):
            need(t.quota >= 0, f"tenants[{i}].quota")
        need(0 <= self.tier < self.tiers, "tier")
        need(self.instance_count >= 1, "instance_count")
        need(self.instance_index >= 0, "instance_index")
        need(self.max_attempts >= 1, "max_attempts")
        need(self.max_open >= 1, "max_open")
        need(self.tick > 0, "tick")
        need(self.slow_start_duration >= 0, "slow_start_duration")
        need(0 < self.slow_start_min_capacity <= 1, "slow_start_min_capacity")
        need(self.overload_multiple >= 0, "overload_multiple")
        need(self.overload_duration >= 0, "overload_duration")
        need(self.subset_max >= 0, "subset_max")


@dataclass(frozen=True)
class Endpoint:
    """One line of the server list."""

    server: int
    state: EndpointState = EndpointState.READY
    cell: int = 0
    zone: int = 0
    machine_type: int = 0
    weight: float = 1.0
    ready_at: int = 0  # when it last started; 0 = long ago


@dataclass(frozen=True, slots=True)
class EndpointSnapshot:
    """What a Balancer thinks of one server, for those who hand it on."""

    server: int
    state: EndpointState  # DRAINING where it has left the list with calls still out
    ejected: bool
    slow_start_factor: float  # present part of a warm server's capacity, in (0, 1]
    cost: float  # expected time of one more call, in mean round-trips or, where it reports, mean reports
    limit: float  # calls that this copy would hold there, on average


class Actions(Protocol):
    """What a Balancer asks of its host. Calls take effect at the `now` of the event being handled."""

    def send(self, request: int, server: int, timeout: int) -> None:
        """Start the request's next attempt; exactly one `outcome` follows, by the time-out."""

    def cancel(self, request: int, attempt: int) -> None:
        """Stop waiting for an attempt; its outcome still follows."""

    def shed(self, request: int, retry_after: int) -> None:
        """Final answer: not served, a retry does no harm."""

    def fail(self, request: int) -> None:
        """Final answer: not served, with no promise about effects."""

    def health_check(self, server: int) -> None:
        """Test a server; one `probed` event follows."""

    def set_timer(self, delay: int, token: int) -> None:
        """Ask for a `timer` event; timers cannot be withdrawn."""

    def send_peer_message(self, peer: int, data: bytes) -> None:
        """Send a short message to another instance of this tier (-1: to all)."""

    def subscribe(self, on: bool) -> None:
        """Subscribe to changes of the server list."""

    def poll_endpoints(self) -> None:
        """Ask for the whole server list once."""

    def close_idle(self, server: int) -> None:
        """Close idle connections to a server."""

    def log_event(self, text: str) -> None:
        """Record a change of state."""


class Events(Protocol):
    """What a host tells a Balancer. A Balancer implements all of these."""

    def start(self, now: int) -> None: ...

    def endpoint_update(self, now: int, kind: EndpointUpdateKind, entries: Sequence[Endpoint]) -> None: ...

    def request(
        self, now: int, request: int, request_class: int, tenant: int, time_left: int, repeat: bool
    ) -> None: ...

    def outcome(
        self,
        now: int,
        request: int,
        attempt: int,
        server: int,
        outcome: Outcome,
        latency: int,
        final: bool,
        report: Sequence[float],
    ) -> None: ...

    def response_started(self, now: int, request: int, attempt: int, server: int, latency: int) -> None: ...

    def uploading(self, now: int, request: int, on: bool) -> None: ...

    def client_disconnected(self, now: int, request: int) -> None: ...

    def health_checked(
        self, now: int, server: int, ok: bool, latency: int, report: Sequence[float]
    ) -> None: ...

    def load_reported(self, now: int, server: int, good: int, bad: int, report: Sequence[float]) -> None: ...

    def timer(self, now: int, token: int) -> None: ...

    def peer_message(self, now: int, peer: int, data: bytes) -> None: ...
