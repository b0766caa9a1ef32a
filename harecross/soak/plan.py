"""The plan of one soak: its nodes, servers and discoveries, and all faults with their times."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from harecross.soak.records import Idempotency, Lifecycle
from harecross.soak.shim import CallFault, ClockStep


class ClassPlan(NamedTuple):
    """One request class."""

    name: str
    idempotency: Idempotency
    max_deadline: float  # seconds


class ServerPlan(NamedTuple):
    """How one server behaves. Probabilities are of each request."""

    name: str
    mean_work: float  # seconds
    slow_probability: float  # of ten times as much work
    error_probability: float  # of status 500
    reset_probability: float  # of a reset connection in place of the answer
    silent_probability: float  # of no answer
    close_probability: float  # of a connection that is closed after the answer
    half_close_probability: float  # of an end of sending in place of the answer


class LinkFaultKind(Enum):
    """What goes wrong between nodes and a server."""

    DELAY = "delay"  # of each direction, by `delay`
    REQUESTS_HELD = "requests held"  # requests arrive at the end of the fault
    ANSWERS_HELD = "answers held"  # answers arrive at the end of the fault
    RESET = "reset"  # within an answer
    HALF_CLOSE = "half-close"  # an end of sending in place of an answer
    PIECES = "pieces"  # an answer arrives some bytes at a time


class LinkFault(NamedTuple):
    """One fault between nodes and a server. Times in seconds from the run's start."""

    server: str
    kind: LinkFaultKind
    start: float
    end: float
    probability: float = 0.0  # of each answer
    delay: float = 0.0


class ListChange(NamedTuple):
    """The state of some servers changes at once."""

    at: float
    servers: tuple[str, ...]
    lifecycle: Lifecycle


class DiscoveryPlan(NamedTuple):
    """How one discovery of a node behaves. Times in seconds."""

    delay: float  # with which it learns of changes until it has caught up
    caught_up_after: float  # from SIGHUP on; 0 for a node's first discovery
    omits_draining: bool  # its full lists do not name servers that drain
    first_generation: int
    line_pieces: int  # in so many writes it sends a line
    answer_delay: float


class NodeAction(Enum):
    """What is done to a node or its discovery."""

    MIGRATE = "move"  # to another discovery, by SIGHUP
    SUSPEND = "hold"  # the process, for a while
    SILENCE_WATCHES = "mute"
    RESET_WATCHES = "reset"
    DISCOVERY_DOWN = "down"  # for a while
    STOP = "stop"  # SIGTERM, then SIGKILL and a restart
    KILL = "kill"  # SIGKILL and a restart


class NodeEvent(NamedTuple):
    """Something that is done to one node."""

    at: float
    node: str
    action: NodeAction
    duration: float = 0.0


@dataclass(frozen=True, slots=True)
class Plan:
    """One soak. Times in seconds from the run's start."""

    seed: int
    duration: float  # of the load
    classes: tuple[ClassPlan, ...]
    nodes: tuple[str, ...]
    polled: bool  # nodes poll their lists from a service; otherwise an agent on their machine pushes them
    requests_per_second: float  # to one node
    disconnect_probability: float  # that a client closes before its answer
    new_connection_probability: float  # that a request uses a new connection though one is idle
    burst_at: float  # when a burst of clients comes; negative for never
    servers: tuple[ServerPlan, ...]
    changes: tuple[ListChange, ...]
    discoveries: dict[str, tuple[DiscoveryPlan, ...]]  # by node, in the order of its migrations
    events: tuple[NodeEvent, ...]
    call_faults: dict[str, tuple[CallFault, ...]]  # by node; left out without a compiler
    clock_steps: dict[str, tuple[ClockStep, ...]]  # by node; left out without a compiler
    link_faults: tuple[LinkFault, ...]  # a server that one names stands behind a proxy
