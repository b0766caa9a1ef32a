"""What a soak's clients, servers and discoveries saw: the oracle's only evidence. Times are monotonic seconds."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, StrEnum
from typing import NamedTuple


class Idempotency(Enum):
    """What a repeat of a request does. The values are those of the settings."""

    IDEMPOTENT = "free"
    IDEMPOTENCY_KEY = "guarded"
    NON_IDEMPOTENT = "single_shot"


class ClientOutcome(Enum):
    """How a request ended for its client. The values are those of the reports."""

    ANSWERED = "answered"
    DISCONNECTED = "left"  # the client closed its connection first
    CLOSED = "closed"  # the node closed the connection without a complete answer
    NOT_ACCEPTED = "not taken"  # no connection could be made
    UNANSWERED = "unanswered"  # nothing came within the client's patience after its deadline


class AttemptOutcome(Enum):
    """What a server did with an attempt. The values are those of the reports."""

    OK = "ok"
    ERROR = "error"
    REJECTED = "turned away"
    RESET = "reset"
    SILENT = "no answer"
    UNFINISHED = "not ended"


class Lifecycle(StrEnum):
    """The state of a server. The values are those of discovery, but for RESTARTED, which a plan alone has."""

    IN_SERVICE = "in_service"
    DRAINING = "terminating"
    GONE = "terminated"
    RESTARTED = "restarted"  # a new process, in service


@dataclass(slots=True)
class ClientRecord:
    """One request, as its client saw it."""

    id: str
    node: str  # the node's process
    idempotency: Idempotency
    sent_at: float  # when its last byte was written
    timeout: float
    new_connection: bool  # it is the first on its connection
    outcome: ClientOutcome | None = None
    status: int = 0
    ended_at: float = 0.0
    resent: bool = False  # its connection ended between requests, and it was sent once more on a new one


@dataclass(slots=True)
class AttemptRecord:
    """One attempt, as its server saw it."""

    id: str  # of the request
    server: str
    first_byte_at: float
    received_at: float  # when its last byte came
    timeout: float  # X-Timeout, in seconds
    outcome: AttemptOutcome = AttemptOutcome.UNFINISHED
    ended_at: float = 0.0


class EndpointChange(NamedTuple):
    """The state of one server changed."""

    at: float
    server: str
    lifecycle: str
    started_ms: int  # of the process, Unix time; 0 for long ago


class NotificationRecord(NamedTuple):
    """From when on a node counts as notified of a change."""

    node: str
    change: int  # its number
    at: float
    reason: str  # written by which discovery, or which term of the protocol holds


class NodeEventRecord(NamedTuple):
    """Something was done to a node's process, or happened to it."""

    node: str
    at: float
    text: str


@dataclass(slots=True)
class Records:
    """All records of one run."""

    clients: dict[str, ClientRecord] = field(default_factory=dict)  # by request
    attempts: list[AttemptRecord] = field(default_factory=list)
    changes: list[EndpointChange] = field(default_factory=list)
    notifications: list[NotificationRecord] = field(default_factory=list)
    node_events: list[NodeEventRecord] = field(default_factory=list)
    max_delay: float = 0.0  # by which the recording process was late at most
    logs: dict[str, list[str]] = field(default_factory=dict)  # by node process
    crashes: list[NodeEventRecord] = field(default_factory=list)

    def notified_at(self) -> dict[tuple[str, int], float]:
        """From when on each node process counts as notified of each change, by process and the change's number."""
        earliest: dict[tuple[str, int], float] = {}
        for notification in self.notifications:
            key = (notification.node, notification.change)
            earliest[key] = min(notification.at, earliest.get(key, notification.at))
        return earliest
