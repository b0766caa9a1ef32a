"""The plan of one soak: its nodes, servers and discoveries, and all faults with their times."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from harecross.soak.records import Idempotency, Lifecycle
from harecross.soak.shim import CallFault, ClockStep


class ClassPlan(NamedTuple):
    """One request class.

    Attributes:
        max_deadline: Longest deadline of a request of the class, in seconds.
    """

    name: str
    idempotency: Idempotency
    max_deadline: float


class ServerPlan(NamedTuple):
    """How one server behaves. Each probability applies to each request.

    Attributes:
        mean_work: Mean processing time of a request, in seconds.
        slow_probability: Probability that a request takes ten times its processing time.
        error_probability: Probability of a response with status 500.
        reset_probability: Probability that the server resets the connection instead of responding.
        silent_probability: Probability that the server never responds.
        close_probability: Probability that the server closes the connection after the response.
        half_close_probability: Probability that the server closes its sending side instead of responding.
    """

    name: str
    mean_work: float
    slow_probability: float
    error_probability: float
    reset_probability: float
    silent_probability: float
    close_probability: float
    half_close_probability: float


class LinkFaultKind(Enum):
    """A kind of network fault between nodes and a server.

    Attributes:
        DELAY: Both directions are delayed by `LinkFault.delay`.
        REQUESTS_HELD: Requests arrive only when the fault ends.
        ANSWERS_HELD: Responses arrive only when the fault ends.
        RESET: The connection is reset in the middle of a response.
        HALF_CLOSE: The sending side is closed instead of a response.
        PIECES: A response arrives a few bytes at a time.
    """

    DELAY = "delay"
    REQUESTS_HELD = "requests held"
    ANSWERS_HELD = "answers held"
    RESET = "reset"
    HALF_CLOSE = "half-close"
    PIECES = "pieces"


class LinkFault(NamedTuple):
    """One fault between nodes and a server. Times are seconds from the start of the run.

    Attributes:
        probability: Probability that the fault affects a response; 0 for faults that delay or hold bytes.
        delay: Delay of each direction in seconds, for `LinkFaultKind.DELAY`.
    """

    server: str
    kind: LinkFaultKind
    start: float
    end: float
    probability: float = 0.0
    delay: float = 0.0


class ListChange(NamedTuple):
    """A change of the state of several servers at the same time, in seconds from the start of the run."""

    at: float
    servers: tuple[str, ...]
    lifecycle: Lifecycle


class DiscoveryPlan(NamedTuple):
    """How one discovery of a node behaves. Times are seconds.

    Attributes:
        delay: Delay with which it learns of changes until it has caught up.
        caught_up_after: Time from SIGHUP until it has caught up; 0 for the first discovery of a node.
        omits_draining: Whether its full lists leave out draining servers.
        first_generation: Generation of its list before any change.
        writes_per_line: Number of writes in which it sends one line of a watch.
        answer_delay: Delay before it answers a call.
    """

    delay: float
    caught_up_after: float
    omits_draining: bool
    first_generation: int
    writes_per_line: int
    answer_delay: float


class NodeAction(Enum):
    """An action on a node or its discovery.

    Attributes:
        MIGRATE: Migrate the node to another discovery, by SIGHUP.
        SUSPEND: Suspend the process for a while.
        SILENCE_WATCHES: Keep the open watches open, but send nothing more on them.
        RESET_WATCHES: Reset the connections of the open watches.
        DISCOVERY_DOWN: Take the discovery down for a while.
        STOP: Send SIGTERM, later SIGKILL, and restart the process.
        KILL: Send SIGKILL and restart the process.
        KILL_AGAIN: The same, and once more soon after the restart.
    """

    MIGRATE = "move"
    SUSPEND = "hold"
    SILENCE_WATCHES = "mute"
    RESET_WATCHES = "reset"
    DISCOVERY_DOWN = "down"
    STOP = "stop"
    KILL = "kill"
    KILL_AGAIN = "kill again"


class NodeEvent(NamedTuple):
    """A planned action on one node. Times are seconds; `at` counts from the start of the run."""

    at: float
    node: str
    action: NodeAction
    duration: float = 0.0


class AbusePlan(NamedTuple):
    """Abusive clients of one node. Times are seconds; `start` counts from the start of the run.

    Attributes:
        kind: A key of `abusive_clients.KINDS`.
        clients: How many of them act at the same time.
    """

    node: str
    kind: str
    start: float
    duration: float
    clients: int


@dataclass(frozen=True, slots=True)
class Plan:
    """One soak. Times are seconds from the start of the run.

    Attributes:
        duration: Duration of the load.
        polled: Whether nodes poll their lists from a service; otherwise an agent on their machine pushes them.
        requests_per_second: Rate of requests to each node.
        disconnect_probability: Probability that a client disconnects before it has its response.
        new_connection_probability: Probability that a request uses a new connection although one is idle.
        burst_at: Start of a burst of clients; negative for no burst.
        discoveries: Discoveries of each node, in the order in which the node migrates to them.
        call_faults: Faults of system calls of each node; not applied without a C compiler.
        clock_steps: Steps of the wall clock of each node; not applied without a C compiler.
        link_faults: Network faults; a server that one of them names is behind a proxy.
        memory_mb: Memory limit of each node.
        abuse: Clients that flood nodes, stall or are slow, in a process of their own.
        repeat_probability: Probability that a client that has left sends its request again with the same ID.
        unread_probability: Probability that a client that leaves has sent much behind its request, which lies unread.
        late_answer_probability: Probability that an answer is large, has no length and is written with a pause.
    """

    seed: int
    duration: float
    classes: tuple[ClassPlan, ...]
    nodes: tuple[str, ...]
    polled: bool
    requests_per_second: float
    disconnect_probability: float
    new_connection_probability: float
    burst_at: float
    servers: tuple[ServerPlan, ...]
    changes: tuple[ListChange, ...]
    discoveries: dict[str, tuple[DiscoveryPlan, ...]]
    events: tuple[NodeEvent, ...]
    call_faults: dict[str, tuple[CallFault, ...]]
    clock_steps: dict[str, tuple[ClockStep, ...]]
    link_faults: tuple[LinkFault, ...]
    memory_mb: int
    abuse: tuple[AbusePlan, ...]
    repeat_probability: float
    unread_probability: float
    late_answer_probability: float
