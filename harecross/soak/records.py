"""What a soak's clients, servers and discoveries saw: the oracle's only evidence. Times are monotonic seconds."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple


class Effect(Enum):
    """What may be done with a request that may have run; the value is the settings' word."""

    SAFE = "free"
    KEYED = "guarded"
    UNSAFE = "single_shot"


class End(Enum):
    """How a request ended for its client."""

    ANSWERED = "answered"
    LEFT = "left"  # the client closed its connection first
    CLOSED = "closed"  # the node closed the connection with no whole answer
    NOT_TAKEN = "not taken"  # the node's machine accepted no connection
    UNANSWERED = "unanswered"  # nothing came for half a second after its time


class Ran(Enum):
    """What a server did with an attempt."""

    OK = "ok"
    ERROR = "error"
    TURNED_AWAY = "turned away"
    RESET = "reset"
    SILENT = "no answer"
    OUT = "not ended"


@dataclass(slots=True)
class ClientRecord:
    """One request, as its client saw it."""

    id: str
    node: str
    effect: Effect
    sent: float  # its last byte was written
    timeout: float
    fresh: bool  # it is the first on its connection
    end: End | None = None
    status: int = 0
    ended: float = 0.0
    resent: bool = False  # its connection ended between requests: sent once more on a new one


@dataclass(slots=True)
class ServerRecord:
    """One attempt, as its server saw it."""

    id: str
    server: str
    first_byte: float
    whole: float  # its last byte had come
    timeout: float  # X-Timeout, in seconds
    ran: Ran = Ran.OUT
    ended: float = 0.0


class Change(NamedTuple):
    """The truth about one server changed."""

    at: float
    server: str
    lifecycle: str  # discovery's word
    started: int  # of the process, Unix milliseconds


class ToldRecord(NamedTuple):
    """From when on a change counts as told to a node."""

    node: str
    change: int  # its number
    at: float
    how: str  # written by which discovery, or which term of the pages holds


class SignalRecord(NamedTuple):
    """Something was done to a node."""

    node: str
    at: float
    what: str


@dataclass(slots=True)
class Records:
    """All of one run."""

    clients: dict[str, ClientRecord] = field(default_factory=dict)
    servers: list[ServerRecord] = field(default_factory=list)
    changes: list[Change] = field(default_factory=list)
    told: list[ToldRecord] = field(default_factory=list)
    signals: list[SignalRecord] = field(default_factory=list)
    lag: float = 0.0  # the longest time that the recording process itself was held up
    logs: dict[str, list[str]] = field(default_factory=dict)
    crashes: list[SignalRecord] = field(default_factory=list)

    def told_at(self) -> dict[tuple[str, int], float]:
        """From when on each change counts as told, by node and the change's number: the earliest of its records."""
        earliest: dict[tuple[str, int], float] = {}
        for told in self.told:
            key = (told.node, told.change)
            earliest[key] = min(told.at, earliest.get(key, told.at))
        return earliest
