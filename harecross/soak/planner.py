"""Draws the plan of one soak from its seed; the same seed always gives the same plan."""

from __future__ import annotations

import errno
from enum import Enum
from random import Random

from harecross.soak.abusive_clients import HOARDING_KINDS
from harecross.soak.plan import (
    AbusePlan,
    ClassPlan,
    DiscoveryPlan,
    LinkFault,
    LinkFaultKind,
    ListChange,
    NodeAction,
    NodeEvent,
    Plan,
    ServerPlan,
)
from harecross.soak.records import Idempotency, Lifecycle
from harecross.soak.shim import CUT_SHORT, DELAYED, CallFault, ClockStep

# Time at the end of a run for which no faults are drawn, except for clock steps and the rest of a series of events that
# began earlier.
QUIET_END_S = 3.0
# Longest time from SIGHUP until a new discovery has all changes; the protocol allows 4 s.
MAX_CAUGHT_UP_S = 3.6
# Fraction of the runs in which nodes poll their lists.
POLLED_FRACTION = 0.3
# Latest start of the single fault of each node in a quiet run.
QUIET_EVENT_BY_S = 1.5
# Longer than any run.
WHOLE_RUN_S = 1000.0
# Earliest time of a migration: SIGHUP never comes in the first second of a node.
FIRST_MIGRATION_S = 1.5
# Maximum number of link faults in a run.
MAX_LINK_FAULTS = 4
# Longest time for which one direction of a link is held.
MAX_HELD_S = 1.5
MAX_LINK_DELAY_S = 0.06
# Fraction of the kills that are followed by another one.
KILL_SERIES_FRACTION = 0.5
# Fraction of the runs without abusive clients.
ABUSE_FREE_FRACTION = 1 / 3
# Fraction of the runs with a crowd that makes a node hold much, besides other abusive clients.
CROWD_FRACTION = 0.5
# Kinds of which a run has a few clients or many; in a fixed order, so that a seed gives the same plan every time.
SINGLE_KINDS = (
    "departures",
    "half heads",
    "half small bodies",
    "half uploads",
    "half uploads of one id",
    "health checks",
    "slow readers",
    "tiny chunks",
    "unsound requests",
)
# Kinds of abusive clients of which a few are enough.
FLOODS = frozenset(("health checks", "unsound requests", "tiny chunks"))
ACCEPT_ERRORS = [errno.ECONNABORTED, errno.ENFILE, errno.ENOBUFS, errno.EPROTO]
CONNECT_ERRORS = [errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS, errno.ETIMEDOUT, errno.EHOSTUNREACH]


class Emphasis(Enum):
    """The kind of most faults of a run.

    Attributes:
        SILENT_WATCHES: Watches fall silent. Changes are few, so that a missed change lasts past the staleness limit.
        DISCOVERY_DOWN: Discoveries are down for several seconds. Changes are few, for the same reason.
    """

    MIGRATIONS = "moves"
    SILENT_WATCHES = "watches fall silent"
    DISCOVERY_DOWN = "discoveries are down for long"
    RESTARTS = "restarts"

    @property
    def quiet(self) -> bool:
        """Whether nodes keep their discovery and changes of servers are few."""
        return self in (Emphasis.SILENT_WATCHES, Emphasis.DISCOVERY_DOWN)


# Consecutive seeds use these emphases in turn.
EMPHASES = (
    Emphasis.MIGRATIONS,
    Emphasis.SILENT_WATCHES,
    Emphasis.MIGRATIONS,
    Emphasis.RESTARTS,
    Emphasis.MIGRATIONS,
    Emphasis.DISCOVERY_DOWN,
    Emphasis.RESTARTS,
)


def make_plan(seed: int, duration: float = 14.0, max_nodes: int = 3) -> Plan:
    """Returns the plan of one seed, with `duration` seconds of load on 1 to `max_nodes` nodes."""
    # A seed gives the same plan only as long as the order of the draws stays, also among the arguments of Plan.
    rng = Random(seed)
    nodes = tuple(f"n{i}" for i in range(rng.randint(1, max_nodes)))
    max_deadline = rng.choice([0.6, 1.0, 2.0])
    servers = tuple(draw_server(rng, i) for i in range(rng.randint(5, 9)))
    names = [server.name for server in servers]
    emphasis = EMPHASES[seed % len(EMPHASES)]
    events = tuple(
        sorted(
            (
                event
                for node in nodes
                for event in NodeEventDraw(rng, node, duration, max_deadline, emphasis).draw()
            ),
            key=lambda event: (event.at, event.node, event.action.value, event.duration),
        )
    )
    return Plan(
        seed,
        duration,
        request_classes(max_deadline),
        nodes,
        polled=Random(f"{seed}/asked").random() < POLLED_FRACTION,
        requests_per_second=rng.choice([20.0, 40.0, 60.0]),
        disconnect_probability=rng.choice([0.0, 0.03, 0.15]),
        new_connection_probability=Random(f"{seed}/anew").choice([0.0, 0.1, 0.5]),
        burst_at=rng.uniform(2, duration - QUIET_END_S) if rng.random() < 0.3 else -1.0,
        servers=servers,
        changes=tuple(ChangeDraw(rng, names, duration, emphasis).draw()),
        discoveries={node: draw_discoveries(rng, node, events) for node in nodes},
        events=events,
        call_faults={node: draw_call_faults(rng, seed, node, duration, emphasis) for node in nodes},
        clock_steps={node: draw_clock_steps(rng, duration) for node in nodes},
        link_faults=draw_link_faults(Random(f"{seed}/links"), names, duration),
        memory_mb=Random(f"{seed}/limit").choice([32, 64, 96, 192]),
        abuse=(
            *draw_abuse(Random(f"{seed}/abuse"), nodes, duration),
            *draw_crowd(Random(f"{seed}/crowd"), nodes, duration),
        ),
        repeat_probability=Random(f"{seed}/repeats").choice([0.0, 0.5, 1.0]),
        unread_probability=Random(f"{seed}/unread").choice([0.0, 0.5]),
        late_answer_probability=Random(f"{seed}/late").choice([0.0, 0.03, 0.1]),
    )


def draw_abuse(rng: Random, nodes: tuple[str, ...], duration: float) -> tuple[AbusePlan, ...]:
    """Draws abusive clients, in two of three runs: a few that flood a node, or many that stall or are slow."""
    if rng.random() < ABUSE_FREE_FRACTION:
        return ()
    return tuple(draw_abusive_clients(rng, rng.choice(nodes), duration) for _ in range(rng.randint(1, 2)))


def draw_crowd(rng: Random, nodes: tuple[str, ...], duration: float) -> tuple[AbusePlan, ...]:
    """Draws hundreds of clients that make a node hold much for each of them, in some of the runs."""
    if rng.random() >= CROWD_FRACTION:
        return ()
    kind = rng.choice([*HOARDING_KINDS, "mix"])
    start = rng.uniform(0.5, duration - QUIET_END_S)
    return (AbusePlan(rng.choice(nodes), kind, start, rng.uniform(2.0, 5.0), rng.choice([300, 850])),)


def draw_abusive_clients(rng: Random, node: str, duration: float) -> AbusePlan:
    """Draws the abusive clients of one kind."""
    kind = rng.choice(SINGLE_KINDS)
    clients = rng.choice([1, 2, 6]) if kind in FLOODS else rng.choice([40, 200, 800])
    start = rng.uniform(1, duration - QUIET_END_S)
    return AbusePlan(node, kind, start, rng.uniform(2.0, 5.0), clients)


def request_classes(max_deadline: float) -> tuple[ClassPlan, ...]:
    """Returns one request class for each kind of idempotency."""
    return (
        ClassPlan("read", Idempotency.IDEMPOTENT, max_deadline),
        ClassPlan("put", Idempotency.IDEMPOTENCY_KEY, max_deadline * 0.8),
        ClassPlan("pay", Idempotency.NON_IDEMPOTENT, max_deadline),
    )


def draw_server(rng: Random, number: int) -> ServerPlan:
    """Draws the behaviour of one server."""

    def draw_rare(maximum: float) -> float:
        return rng.choice([0.0, 0.0, rng.uniform(0, maximum)])

    return ServerPlan(
        f"s{number}",
        mean_work=rng.uniform(0.004, 0.03),
        slow_probability=draw_rare(0.05),
        error_probability=draw_rare(0.03),
        reset_probability=draw_rare(0.04),
        silent_probability=draw_rare(0.02),
        close_probability=rng.choice([0.0, 0.1, 1.0]) if rng.random() < 0.5 else 0.0,
        half_close_probability=draw_rare(0.03),
    )


class ChangeDraw:
    """Draws changes of groups of servers: drains, recalls to service, ends and restarts as new processes."""

    def __init__(self, rng: Random, names: list[str], duration: float, emphasis: Emphasis) -> None:
        self._rng = rng
        self._duration = duration
        self._quiet = emphasis.quiet
        self._lifecycles = dict.fromkeys(names, Lifecycle.IN_SERVICE)
        self._changes: list[ListChange] = []

    def draw(self) -> list[ListChange]:
        """Draws all changes, in order of time."""
        pauses = [8.0, 10.0] if self._quiet else [0.2, 0.3, 0.6, 1.0, 2.0, 4.0]
        at = self._rng.uniform(QUIET_EVENT_BY_S if self._quiet else 1.0, 3.0)
        while at < self._duration - QUIET_END_S:
            self._draw_change(at)
            at += self._rng.choice(pauses)
        return self._changes

    def _draw_change(self, at: float) -> None:
        unavailable = [name for name in self._lifecycles if self._lifecycles[name] != Lifecycle.IN_SERVICE]
        in_service = [name for name in self._lifecycles if self._lifecycles[name] == Lifecycle.IN_SERVICE]
        half = len(self._lifecycles) // 2
        if unavailable and (self._rng.random() < 0.55 or len(in_service) <= half):
            self._change_unavailable(at, unavailable)
        else:
            group = self._rng.sample(in_service, self._rng.randint(1, max(1, len(in_service) - half)))
            lifecycle = Lifecycle.DRAINING if self._rng.random() < 0.9 else Lifecycle.GONE
            self._change(at, group, lifecycle)

    def _change_unavailable(self, at: float, unavailable: list[str]) -> None:
        """Restarts servers that are gone; returns draining ones to service, restarts them or ends them."""
        group = self._rng.sample(unavailable, self._rng.randint(1, len(unavailable)))
        gone = [name for name in group if self._lifecycles[name] == Lifecycle.GONE]
        draining = [name for name in group if self._lifecycles[name] == Lifecycle.DRAINING]
        if gone:
            self._change(at, gone, Lifecycle.RESTARTED)
        if draining:
            lifecycles = [
                Lifecycle.IN_SERVICE, Lifecycle.IN_SERVICE, Lifecycle.GONE, Lifecycle.RESTARTED,
            ]  # fmt: skip
            self._change(at, draining, self._rng.choice(lifecycles))

    def _change(self, at: float, group: list[str], lifecycle: Lifecycle) -> None:
        self._changes.append(ListChange(at, tuple(sorted(group)), lifecycle))
        state = Lifecycle.IN_SERVICE if lifecycle == Lifecycle.RESTARTED else lifecycle
        self._lifecycles.update(dict.fromkeys(group, state))


class NodeEventDraw:
    """Draws the events of one node."""

    def __init__(
        self, rng: Random, node: str, duration: float, max_deadline: float, emphasis: Emphasis
    ) -> None:
        self._rng = rng
        self._node = node
        self._end = duration - QUIET_END_S
        self._max_deadline = max_deadline
        self._emphasis = emphasis
        self._events: list[NodeEvent] = []

    def draw(self) -> list[NodeEvent]:
        """Draws all events of the node, in no particular order."""
        at = self._rng.uniform(FIRST_MIGRATION_S, 4.0)
        if self._emphasis.quiet:
            return [self._quiet_event()]
        self._draw_migrations(at)
        self._draw_discovery_faults()
        for _ in range(self._rng.randint(0, 6)):
            self._add(self._rng.uniform(1, self._end), NodeAction.SUSPEND, self._rng.uniform(0.03, 0.14))
        if self._rng.random() < (1.0 if self._emphasis is Emphasis.RESTARTS else 0.3):
            self._draw_restart()
        return self._events

    def _add(self, at: float, action: NodeAction, duration: float = 0.0) -> None:
        self._events.append(NodeEvent(at, self._node, action, duration))

    def _quiet_event(self) -> NodeEvent:
        """Draws the single event of a quiet run.

        Nothing else makes the node open a watch, so a drain that it misses lasts past the staleness limit.
        """
        at = self._rng.uniform(0.5, QUIET_EVENT_BY_S)
        if self._emphasis is Emphasis.SILENT_WATCHES:
            return NodeEvent(at, self._node, NodeAction.SILENCE_WATCHES)
        return NodeEvent(at, self._node, NodeAction.DISCOVERY_DOWN, self._rng.uniform(3.0, 7.0))

    def _draw_migrations(self, at: float) -> None:
        while at < self._end:
            for _ in range(self._rng.choice([1, 1, 2, 5])):
                self._add(at, NodeAction.MIGRATE)
                at += self._rng.choice([0.3, 0.5, 1.0])
            at += self._rng.uniform(1.0, 6.0)

    def _draw_discovery_faults(self) -> None:
        for _ in range(self._rng.randint(0, 2)):
            self._add(self._rng.uniform(1, self._end), NodeAction.SILENCE_WATCHES)
        if self._rng.random() < 0.4:
            self._add(self._rng.uniform(1, self._end), NodeAction.RESET_WATCHES)
        if self._rng.random() < 0.3:
            at = self._rng.uniform(1, self._end)
            self._add(at, NodeAction.DISCOVERY_DOWN, self._rng.uniform(0.5, 4.0))

    def _draw_restart(self) -> None:
        """Draws a restart and removes other events near it; in half of the cases the discovery is down meanwhile."""
        action = self._rng.choice([NodeAction.STOP, NodeAction.KILL])
        at = self._rng.uniform(3, self._end)
        # Clients keep sending until SIGKILL. A node is not migrated while it shuts down or in its first second.
        ended_at = at + (self._max_deadline + 0.7 if action is NodeAction.STOP else 0.0)
        # A generator of its own, so that the draws that follow stay the same.
        in_series = action is NodeAction.KILL and Random(f"{at}/series").random() < KILL_SERIES_FRACTION
        quiet_s = 5.0 if in_series else 2.0
        self._events = [event for event in self._events if not at - 0.2 < event.at < ended_at + quiet_s]
        self._add(at, NodeAction.KILL_AGAIN if in_series else action)
        if self._rng.random() < 0.5:
            self._add(ended_at - 0.05, NodeAction.DISCOVERY_DOWN, self._rng.uniform(1.5, 3.0))


def draw_discoveries(rng: Random, node: str, events: tuple[NodeEvent, ...]) -> tuple[DiscoveryPlan, ...]:
    """Draws the first discovery of a node, and one for each of its migrations."""
    migrations = sum(event.node == node and event.action is NodeAction.MIGRATE for event in events)
    first = DiscoveryPlan(0.0, 0.0, rng.random() < 0.3, rng.randint(1, 90), rng.choice([1, 1, 3]), 0.0)
    return (first, *(draw_discovery(rng) for _ in range(migrations)))


def draw_discovery(rng: Random) -> DiscoveryPlan:
    """Draws a discovery that a node migrates to."""
    return DiscoveryPlan(
        delay=rng.choice([0.0, 0.3, 1.0, 3.0]),
        caught_up_after=rng.uniform(0.5, MAX_CAUGHT_UP_S),
        omits_draining=rng.random() < 0.3,
        first_generation=rng.randint(1, 90),
        writes_per_line=rng.choice([1, 1, 1, 3]),
        answer_delay=rng.choice([0.0, 0.0, 0.05, 0.6]),
    )


def draw_call_faults(
    rng: Random, seed: int, node: str, duration: float, emphasis: Emphasis
) -> tuple[CallFault, ...]:
    """Draws all system call faults of one node."""
    faults = draw_failing_calls(rng, duration, emphasis)
    return (*faults, *draw_delayed_close(Random(f"{seed}/{node}/closing"), emphasis))


def draw_failing_calls(rng: Random, duration: float, emphasis: Emphasis) -> list[CallFault]:
    """Draws system calls that fail for a while, and reads or writes that are cut short during the whole run."""
    faults = []

    def add(call: str, error: int, probability: float) -> None:
        start = rng.uniform(1, duration - QUIET_END_S)
        faults.append(CallFault(call, error, probability, start, start + rng.uniform(0.5, 3.0)))

    if emphasis is Emphasis.RESTARTS and rng.random() < 0.7:
        faults.append(CallFault("accept", rng.choice(ACCEPT_ERRORS), 0.5, 1.0, WHOLE_RUN_S))
    elif rng.random() < 0.4:
        add("accept", rng.choice(ACCEPT_ERRORS), rng.choice([0.3, 0.8]))
    if rng.random() < 0.4:
        add("connect", rng.choice(CONNECT_ERRORS), 0.3)
    if rng.random() < 0.3:
        add("socket", rng.choice([errno.ENFILE, errno.ENOBUFS]), 0.3)
    if rng.random() < 0.3:
        add("setsockopt", errno.ENOBUFS, 0.3)
    if rng.random() < 0.3:
        faults.append(CallFault(rng.choice(["read", "write"]), CUT_SHORT, 0.05, 0.0, WHOLE_RUN_S))
    return faults


def draw_delayed_close(rng: Random, emphasis: Emphasis) -> tuple[CallFault, ...]:
    """Draws a delay just before a node closes its listening socket, for half of the nodes in runs with restarts."""
    if emphasis is Emphasis.RESTARTS and rng.random() < 0.5:
        return (CallFault("close_listener", DELAYED, 1.0, 0.0, WHOLE_RUN_S),)
    return ()


def draw_clock_steps(rng: Random, duration: float) -> tuple[ClockStep, ...]:
    """Draws a step of the wall clock, for 40% of the nodes."""
    if rng.random() < 0.6:
        return ()
    step = rng.choice([-3600.0, -5.0, 5.0, 3600.0])
    return (ClockStep(rng.uniform(1, duration), step),)


def draw_link_faults(rng: Random, names: list[str], duration: float) -> tuple[LinkFault, ...]:
    """Draws faults between nodes and some of the servers, in half of the runs."""
    if rng.random() < 0.5:
        return ()
    return tuple(draw_link_fault(rng, names, duration) for _ in range(rng.randint(1, MAX_LINK_FAULTS)))


def draw_link_fault(rng: Random, names: list[str], duration: float) -> LinkFault:
    """Draws one fault between nodes and a server."""
    kind = rng.choice(list(LinkFaultKind))
    start = rng.uniform(1, duration - QUIET_END_S)
    held = kind in (LinkFaultKind.REQUESTS_HELD, LinkFaultKind.ANSWERS_HELD)
    fault_duration = rng.uniform(0.2, MAX_HELD_S) if held else rng.uniform(0.5, 4.0)
    probability = rng.choice([0.1, 0.5]) if not held and kind is not LinkFaultKind.DELAY else 0.0
    delay = rng.uniform(0.005, MAX_LINK_DELAY_S) if kind is LinkFaultKind.DELAY else 0.0
    end = min(start + fault_duration, duration)
    return LinkFault(rng.choice(names), kind, start, end, probability, delay)
