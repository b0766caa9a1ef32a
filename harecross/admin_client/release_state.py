"""The records of a release: phases, actions, limits, and the state of one server."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, auto

from harecross.admin_client.calls import ServerStatus
from harecross.discovery.endpoint_status import IN_USE


class Phase(Enum):
    """The phase of one server. Operators read the values."""

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
    """What an action does."""

    FETCH_STATUS = auto()  # at a node
    ENTER_MAINTENANCE = auto()  # of a server at a node
    EXIT_MAINTENANCE = auto()  # of a server at a node
    RESTART = auto()  # a server
    END_RESTART = auto()  # of a server, because it takes too long


@dataclass(frozen=True, slots=True)
class Action:
    """One action, for a node, a server or both."""

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
    """The release of one server. The sets and maps are by node."""

    id: str
    phase: Phase = Phase.WAITING
    phase_began: float = 0.0
    maybe_in_maintenance: set[str] = field(
        default_factory=set
    )  # the server is in maintenance there, or may be
    pending_nodes: set[str] = field(default_factory=set)  # a call is under way there, or due again
    retry_at: dict[str, float] = field(default_factory=dict)  # when the call to put it back is due again
    exit_calls: dict[str, int] = field(default_factory=dict)  # calls to put it back
    effect_unknown: set[str] = field(default_factory=set)  # a call to take it out was never answered there
    restarted: bool = False


def reason_not_warm(status: ServerStatus | None) -> str:
    """Why a server does not get its full share at one node; empty for a warm server in use."""
    if status is None:
        return "not listed"
    if status.state != IN_USE:
        return status.state
    if status.ejected:
        return "ejected"
    return f"{status.slow_start_factor:.0%} warm" if status.slow_start_factor < 1 else ""
