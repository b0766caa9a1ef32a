"""Records of a soak's clients, servers and discoveries, the only input of the oracle. Times are monotonic seconds."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, StrEnum
from typing import NamedTuple


class Idempotency(Enum):
    """Whether a request may be sent again. The values are those of the settings."""

    IDEMPOTENT = "free"
    IDEMPOTENCY_KEY = "guarded"
    NON_IDEMPOTENT = "single_shot"


class ClientOutcome(Enum):
    """How a request ended for its client. The values are those of the reports.

    Attributes:
        ANSWERED: The client received a complete response.
        DISCONNECTED: The client closed its connection before it had a response.
        CLOSED: The node closed the connection without a complete response.
        NOT_ACCEPTED: The client could not open a connection.
        UNANSWERED: No response came until some time after the deadline, when the client stopped waiting.
    """

    ANSWERED = "answered"
    DISCONNECTED = "left"
    CLOSED = "closed"
    NOT_ACCEPTED = "not taken"
    UNANSWERED = "unanswered"


class AttemptOutcome(Enum):
    """What a server did with an attempt. The values are those of the reports."""

    OK = "ok"
    ERROR = "error"
    REJECTED = "turned away"
    RESET = "reset"
    SILENT = "no answer"
    UNFINISHED = "not ended"


class Lifecycle(StrEnum):
    """The state of a server. The values are those of discovery, except for RESTARTED, which only plans use.

    Attributes:
        RESTARTED: The server starts a new process, which is in service.
    """

    IN_SERVICE = "in_service"
    DRAINING = "terminating"
    GONE = "terminated"
    RESTARTED = "restarted"


@dataclass(slots=True)
class ClientRecord:
    """One request, as its client saw it.

    Attributes:
        node: Name of the node's process that the request was sent to.
        sent_at: When the last byte was written.
        timeout: Seconds from `sent_at` until the deadline.
        new_connection: Whether it was the first request on its connection.
        outcome: None while the request is in flight.
        first_byte_at: When the first byte of the response arrived; 0 if none did.
        size: Size of the body of the response.
        repeated_at: When the client sent the request again with the same ID, after it had left; 0 if it did not.
        resent: Whether its idle connection was closed before a response, so that it was sent again on a new one.
    """

    id: str
    node: str
    idempotency: Idempotency
    sent_at: float
    timeout: float
    new_connection: bool
    outcome: ClientOutcome | None = None
    status: int = 0
    ended_at: float = 0.0
    first_byte_at: float = 0.0
    size: int = 0
    repeated_at: float = 0.0
    resent: bool = False


@dataclass(slots=True)
class AttemptRecord:
    """One attempt, as its server saw it.

    Attributes:
        id: Identifier of the request.
        received_at: When the last byte arrived.
        timeout: Value of the X-Timeout header, in seconds.
        began_at: When the server wrote the first bytes of an answer whose rest follows late; 0 without one.
    """

    id: str
    server: str
    first_byte_at: float
    received_at: float
    timeout: float
    outcome: AttemptOutcome = AttemptOutcome.UNFINISHED
    ended_at: float = 0.0
    began_at: float = 0.0


class EndpointChange(NamedTuple):
    """A change of the state of one server.

    Attributes:
        started_ms: Start of the server's process in Unix time; 0 if it started long before the run.
    """

    at: float
    server: str
    lifecycle: str
    started_ms: int


class NotificationRecord(NamedTuple):
    """The time from which a node counts as notified of a change.

    Attributes:
        change: Index of the change in `Records.changes`.
        reason: Why the node counts as notified: a discovery wrote the change to it, or a time limit of the protocol
            has passed.
    """

    node: str
    change: int
    at: float
    reason: str


class NodeEventRecord(NamedTuple):
    """An event of a node's process: an action of the soak, such as a signal, or a crash."""

    node: str
    at: float
    text: str


class CrowdRecord(NamedTuple):
    """A time in which so many clients hold connections to a process of a node that they fill its descriptors."""

    node: str
    start: float
    end: float


@dataclass(slots=True)
class Records:
    """All records of one run.

    Attributes:
        clients: Requests by their identifier.
        max_delay: Longest delay of the event loop of the recording process; recorded times may be late by as much.
        logs: Log lines of each process of a node, by its name.
    """

    clients: dict[str, ClientRecord] = field(default_factory=dict)
    attempts: list[AttemptRecord] = field(default_factory=list)
    changes: list[EndpointChange] = field(default_factory=list)
    notifications: list[NotificationRecord] = field(default_factory=list)
    node_events: list[NodeEventRecord] = field(default_factory=list)
    max_delay: float = 0.0
    logs: dict[str, list[str]] = field(default_factory=dict)
    crashes: list[NodeEventRecord] = field(default_factory=list)
    crowds: list[CrowdRecord] = field(default_factory=list)

    def notified_at(self) -> dict[tuple[str, int], float]:
        """Returns the time from which each process of a node counts as notified of each change.

        The keys are the name of the process and the index of the change.
        """
        earliest: dict[tuple[str, int], float] = {}
        for notification in self.notifications:
            key = (notification.node, notification.change)
            earliest[key] = min(notification.at, earliest.get(key, notification.at))
        return earliest
