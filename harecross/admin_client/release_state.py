"""The data types of a release: phases, actions, limits, and the state of one server."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, auto

from harecross.admin_client.calls import ServerStatus
from harecross.discovery.endpoint_status import IN_USE


class Phase(Enum):
    """The phase of one server in a release. The values are shown to operators."""

    WAITING = "waiting"
    ENTERING_MAINTENANCE = "being taken out"
    DRAINING = "emptying"
    RESTARTING = "restarting"
    EXITING_MAINTENANCE = "being put back"
    WARMING_UP = "warming"
    DONE = "done"
    LEFT_IN_MAINTENANCE = "left out"


ACTIVE_PHASES = frozenset(
    {
        Phase.ENTERING_MAINTENANCE,
        Phase.DRAINING,
        Phase.RESTARTING,
        Phase.EXITING_MAINTENANCE,
        Phase.WARMING_UP,
    }
)


class ActionKind(Enum):
    """The kind of an action.

    Attributes:
        FETCH_STATUS: Fetch the status of a node.
        ENTER_MAINTENANCE: Put a server into maintenance at a node.
        EXIT_MAINTENANCE: End the maintenance of a server at a node.
        RESTART: Restart a server.
        END_RESTART: Terminate the restart of a server because it takes too long.
    """

    FETCH_STATUS = auto()
    ENTER_MAINTENANCE = auto()
    EXIT_MAINTENANCE = auto()
    RESTART = auto()
    END_RESTART = auto()


@dataclass(frozen=True, slots=True)
class Action:
    """One action on a node, a server, or a server at a node."""

    kind: ActionKind
    node: str = ""
    server: str = ""


@dataclass(frozen=True, slots=True)
class ReleaseLimits:
    """The limits of a release. `min_in_use` is a share of the servers in use; times are seconds."""

    batch: int = 1
    min_in_use: float = 0.5
    drain_timeout_s: float = 120.0
    restart_timeout_s: float = 600.0
    warm_up_timeout_s: float = 300.0


@dataclass(slots=True, eq=False)
class ServerRelease:
    """The state of one server in a release. Sets and mappings hold nodes.

    Attributes:
        maybe_in_maintenance: Nodes where the server is, or may be, in maintenance.
        pending_nodes: Nodes with a call for this server that is in progress or will be retried.
        retry_at: By node, when the call that ends the maintenance is retried.
        exit_calls: By node, the number of calls made to end the maintenance.
        effect_unknown: Nodes that never answered a call to put the server into maintenance.
    """

    id: str
    phase: Phase = Phase.WAITING
    phase_began: float = 0.0
    maybe_in_maintenance: set[str] = field(default_factory=set)
    pending_nodes: set[str] = field(default_factory=set)
    retry_at: dict[str, float] = field(default_factory=dict)
    exit_calls: dict[str, int] = field(default_factory=dict)
    effect_unknown: set[str] = field(default_factory=set)
    restarted: bool = False


def reason_not_warm(status: ServerStatus | None) -> str:
    """Returns why a server does not get its full share of traffic at one node; empty if it does."""
    if status is None:
        return "not listed"
    if status.state != IN_USE:
        return status.state
    if status.ejected:
        return "ejected"
    return f"{status.slow_start_factor:.0%} warm" if status.slow_start_factor < 1 else ""
