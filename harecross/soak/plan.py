"""What happens in one soak, drawn from its seed alone: the same plan every time."""

from __future__ import annotations

import errno
from dataclasses import dataclass
from enum import Enum
from random import Random
from typing import NamedTuple

from harecross.soak.records import Effect
from harecross.soak.shim import CUT, HELD_UP, CallFault, ClockStep

QUIET_END = 3.0  # seconds at the end of a run without new trouble
OLD_WATCH = 1.5  # seconds that a discovery that has been left keeps its watches open
CATCH_UP_MOST = 3.6  # seconds after SIGHUP by which a new discovery has all; the pages allow 4
ASKED_PART = 0.3  # of the runs
QUIET_BY = 1.5  # seconds by which a watch falls silent, or a discovery is down, in a run about that
ALWAYS = 1000.0  # seconds, more than any run takes
FIRST_MOVE = 1.5  # SIGHUP comes never in a node's first second


class Emphasis(Enum):
    """What most of a run's trouble is."""

    MOVES = "moves"
    MUTE = "watches fall silent"  # few changes, so that what they missed still holds when it is binding
    DOWN = "discoveries are down for long"  # the same
    RESTARTS = "restarts"

    @property
    def quiet(self) -> bool:
        """Whether nodes stay with their discovery, and changes are few."""
        return self in (Emphasis.MUTE, Emphasis.DOWN)


# What consecutive seeds are about.
ROUND = (
    Emphasis.MOVES,
    Emphasis.MUTE,
    Emphasis.MOVES,
    Emphasis.RESTARTS,
    Emphasis.MOVES,
    Emphasis.DOWN,
    Emphasis.RESTARTS,
)


class ClassPlan(NamedTuple):
    """One class of requests."""

    name: str
    effect: Effect
    deadline: float  # seconds, the longest


class ServerPlan(NamedTuple):
    """How one server behaves; probabilities are of each request."""

    name: str
    mean_time: float  # seconds of work
    slow: float  # probability of ten times as much
    error: float  # 500
    reset: float  # the connection is reset once the request has come
    silent: float  # no answer ever
    closes: float  # the connection ends after the answer
    half_close: float  # it ends its sending before any answer


class LinkFaultKind(Enum):
    """What goes wrong between nodes and a server."""

    DELAY = "delay"  # each way, of `seconds`
    REQUESTS_HELD = "requests held"  # until the end; the server has them then
    ANSWERS_HELD = "answers held"  # until the end
    RESET = "reset"  # in the middle of an answer
    HALF_CLOSE = "half-close"  # an end in the place of an answer
    PIECES = "pieces"  # an answer comes some bytes at a time


class LinkFault(NamedTuple):
    """One fault between nodes and a server. Times in seconds of the run; `probability` is of each answer."""

    server: str
    kind: LinkFaultKind
    start: float
    end: float
    probability: float = 0.0
    seconds: float = 0.0


class ListChange(NamedTuple):
    """The truth changes for some servers at once. `lifecycle` is discovery's word, or `restarted`."""

    at: float
    servers: tuple[str, ...]
    lifecycle: str


class DiscoveryPlan(NamedTuple):
    """One address of a node's discovery."""

    lag: float  # seconds behind the truth until it has caught up
    caught_up: float  # seconds after SIGHUP by which it has
    leaves_out: bool  # a whole list does not name what drains
    first_version: int
    pieces: int  # a line comes in so many
    answers_after: float  # seconds that its first answer takes


class NodeEvent(NamedTuple):
    """Something done to one node: move, hold, mute, reset, down, stop, kill."""

    at: float
    node: str
    what: str
    seconds: float = 0.0  # that it lasts, where it does


@dataclass(frozen=True, slots=True)
class Plan:
    """One soak."""

    seed: int
    seconds: float
    classes: tuple[ClassPlan, ...]
    nodes: tuple[str, ...]
    asked: bool  # lists are asked for, of a service; else an agent pushes them
    rate: float  # requests a second to one node
    leaves: float  # probability that a client leaves before its answer
    anew: float  # probability that a request goes out on a new connection though one is kept
    crowd_at: float  # clients come as a crowd then, negative for never
    servers: tuple[ServerPlan, ...]
    changes: tuple[ListChange, ...]
    discoveries: dict[str, tuple[DiscoveryPlan, ...]]  # by node, in the order of its moves
    events: tuple[NodeEvent, ...]
    calls: dict[str, tuple[CallFault, ...]]  # by node; without a compiler they are left out
    clock: dict[str, tuple[ClockStep, ...]]
    links: tuple[LinkFault, ...]  # servers that are named stand behind a proxy


def make_plan(seed: int, seconds: float = 14.0, nodes_most: int = 3) -> Plan:
    """The plan of one seed. `seconds` of load, on 1 to `nodes_most` nodes."""
    rng = Random(seed)
    nodes = tuple(f"n{i}" for i in range(rng.randint(1, nodes_most)))
    longest = rng.choice([0.6, 1.0, 2.0])
    classes = (
        ClassPlan("read", Effect.SAFE, longest),
        ClassPlan("put", Effect.KEYED, longest * 0.8),
        ClassPlan("pay", Effect.UNSAFE, longest),
    )
    servers = tuple(draw_server(rng, i) for i in range(rng.randint(5, 9)))
    emphasis = ROUND[seed % len(ROUND)]
    events = tuple(sorted(e for node in nodes for e in draw_events(rng, node, seconds, longest, emphasis)))
    return Plan(
        seed,
        seconds,
        classes,
        nodes,
        asked=Random(f"{seed}/asked").random() < ASKED_PART,
        rate=rng.choice([20.0, 40.0, 60.0]),
        leaves=rng.choice([0.0, 0.03, 0.15]),
        anew=Random(f"{seed}/anew").choice([0.0, 0.1, 0.5]),
        crowd_at=rng.uniform(2, seconds - QUIET_END) if rng.random() < 0.3 else -1.0,
        servers=servers,
        changes=tuple(draw_changes(rng, [s.name for s in servers], seconds, emphasis)),
        discoveries={node: draw_discoveries(rng, node, events) for node in nodes},
        events=events,
        calls={
            node: (
                *draw_calls(rng, seconds, emphasis),
                *draw_closing(Random(f"{seed}/{node}/closing"), emphasis),
            )
            for node in nodes
        },
        clock={node: draw_clock(rng, seconds) for node in nodes},
        links=draw_links(Random(f"{seed}/links"), [s.name for s in servers], seconds),
    )


def draw_server(rng: Random, number: int) -> ServerPlan:
    def rare(most: float) -> float:
        return rng.choice([0.0, 0.0, rng.uniform(0, most)])

    return ServerPlan(
        f"s{number}",
        mean_time=rng.uniform(0.004, 0.03),
        slow=rare(0.05),
        error=rare(0.03),
        reset=rare(0.04),
        silent=rare(0.02),
        closes=rng.choice([0.0, 0.1, 1.0]) if rng.random() < 0.5 else 0.0,
        half_close=rare(0.03),
    )


def draw_changes(rng: Random, names: list[str], seconds: float, emphasis: Emphasis) -> list[ListChange]:
    """Groups of servers drain, are recalled without a restart, drain again, go and come back as new processes."""
    changes = []
    pauses = [8.0, 10.0] if emphasis.quiet else [0.2, 0.3, 0.6, 1.0, 2.0, 4.0]
    at = rng.uniform(QUIET_BY if emphasis.quiet else 1.0, 3.0)
    lifecycles = dict.fromkeys(names, "in_service")
    while at < seconds - QUIET_END:
        away = [n for n in names if lifecycles[n] != "in_service"]
        here = [n for n in names if lifecycles[n] == "in_service"]
        if away and (rng.random() < 0.55 or len(here) <= len(names) // 2):
            group = rng.sample(away, rng.randint(1, len(away)))
            gone = [n for n in group if lifecycles[n] == "terminated"]
            draining = [n for n in group if lifecycles[n] == "terminating"]
            if gone:
                changes.append(ListChange(at, tuple(sorted(gone)), "restarted"))
            if draining:
                what = rng.choice(["in_service", "in_service", "terminated", "restarted"])
                changes.append(ListChange(at, tuple(sorted(draining)), what))
            lifecycles.update(dict.fromkeys(gone, "in_service"))
            if draining:
                lifecycles.update(
                    dict.fromkeys(draining, "terminated" if what == "terminated" else "in_service")
                )
        else:
            group = rng.sample(here, rng.randint(1, max(1, len(here) - len(names) // 2)))
            what = "terminating" if rng.random() < 0.9 else "terminated"
            changes.append(ListChange(at, tuple(sorted(group)), what))
            lifecycles.update(dict.fromkeys(group, what))
        at += rng.choice(pauses)
    return changes


def draw_events(
    rng: Random, node: str, seconds: float, longest: float, emphasis: Emphasis
) -> list[NodeEvent]:
    events = []
    end = seconds - QUIET_END
    at = rng.uniform(FIRST_MOVE, 4.0)
    if emphasis.quiet:
        # Nothing else opens its watch again, and the next drain lasts until it is binding.
        begin = rng.uniform(0.5, QUIET_BY)
        if emphasis is Emphasis.MUTE:
            return [NodeEvent(begin, node, "mute")]
        return [NodeEvent(begin, node, "down", rng.uniform(3.0, 7.0))]
    while at < end:
        for _ in range(rng.choice([1, 1, 2, 5])):
            events.append(NodeEvent(at, node, "move"))
            at += rng.choice([0.3, 0.5, 1.0])
        at += rng.uniform(1.0, 6.0)
    for _ in range(rng.randint(0, 2)):
        events.append(NodeEvent(rng.uniform(1, end), node, "mute"))
    if rng.random() < 0.4:
        events.append(NodeEvent(rng.uniform(1, end), node, "reset"))
    if rng.random() < 0.3:
        events.append(NodeEvent(rng.uniform(1, end), node, "down", rng.uniform(0.5, 4.0)))
    for _ in range(rng.randint(0, 6)):
        events.append(NodeEvent(rng.uniform(1, end), node, "hold", rng.uniform(0.03, 0.14)))
    if rng.random() < (1.0 if emphasis is Emphasis.RESTARTS else 0.3):
        # Clients send on until the kill; a node is moved neither while it stops nor in its first second.
        what, at = rng.choice(["stop", "kill"]), rng.uniform(3, end)
        back = at + (longest + 0.7 if what == "stop" else 0.0) + 2.0
        events = [e for e in events if not at - 0.2 < e.at < back]
        events.append(NodeEvent(at, node, what))
        if rng.random() < 0.5:
            # The next process starts while its discovery is silent.
            down = at + (longest + 0.7 if what == "stop" else 0.0) - 0.05
            events.append(NodeEvent(down, node, "down", rng.uniform(1.5, 3.0)))
    return events


def draw_discoveries(rng: Random, node: str, events: tuple[NodeEvent, ...]) -> tuple[DiscoveryPlan, ...]:
    moves = sum(e.node == node and e.what == "move" for e in events)
    first = DiscoveryPlan(0.0, 0.0, rng.random() < 0.3, rng.randint(1, 90), rng.choice([1, 1, 3]), 0.0)
    return (first, *(draw_discovery(rng) for _ in range(moves)))


def draw_discovery(rng: Random) -> DiscoveryPlan:
    return DiscoveryPlan(
        lag=rng.choice([0.0, 0.3, 1.0, 3.0]),
        caught_up=rng.uniform(0.5, CATCH_UP_MOST),
        leaves_out=rng.random() < 0.3,
        first_version=rng.randint(1, 90),
        pieces=rng.choice([1, 1, 1, 3]),
        answers_after=rng.choice([0.0, 0.0, 0.05, 0.6]),
    )


ACCEPT_ERRORS = [errno.ECONNABORTED, errno.ENFILE, errno.ENOBUFS, errno.EPROTO]
CONNECT_ERRORS = [errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS, errno.ETIMEDOUT, errno.EHOSTUNREACH]


def draw_calls(rng: Random, seconds: float, emphasis: Emphasis) -> tuple[CallFault, ...]:
    """System calls that fail for a while, and reads and writes that are cut short throughout."""
    faults = []

    def add(call: str, error: int, probability: float) -> None:
        start = rng.uniform(1, seconds - QUIET_END)
        faults.append(CallFault(call, error, probability, start, start + rng.uniform(0.5, 3.0)))

    if emphasis is Emphasis.RESTARTS and rng.random() < 0.7:
        faults.append(CallFault("accept", rng.choice(ACCEPT_ERRORS), 0.5, 1.0, ALWAYS))
    elif rng.random() < 0.4:
        add("accept", rng.choice(ACCEPT_ERRORS), rng.choice([0.3, 0.8]))
    if rng.random() < 0.4:
        add("connect", rng.choice(CONNECT_ERRORS), 0.3)
    if rng.random() < 0.3:
        add("socket", rng.choice([errno.ENFILE, errno.ENOBUFS]), 0.3)
    if rng.random() < 0.3:
        add("setsockopt", errno.ENOBUFS, 0.3)
    if rng.random() < 0.3:
        faults.append(CallFault(rng.choice(["read", "write"]), CUT, 0.05, 0.0, ALWAYS))
    return tuple(faults)


def draw_closing(rng: Random, emphasis: Emphasis) -> tuple[CallFault, ...]:
    """Some nodes that stop are held up just before they close their listening socket."""
    if emphasis is Emphasis.RESTARTS and rng.random() < 0.5:
        return (CallFault("close_listener", HELD_UP, 1.0, 0.0, ALWAYS),)
    return ()


def draw_clock(rng: Random, seconds: float) -> tuple[ClockStep, ...]:
    if rng.random() < 0.6:
        return ()
    step = rng.choice([-3600.0, -5.0, 5.0, 3600.0])
    return (ClockStep(rng.uniform(1, seconds), step),)


LINK_FAULTS_MOST = 4  # of one run
HELD_MOST = 1.5  # seconds that a direction is silent
DELAY_MOST = 0.06  # seconds


def draw_links(rng: Random, names: list[str], seconds: float) -> tuple[LinkFault, ...]:
    """Faults between nodes and some of the servers, in every second run."""
    if rng.random() < 0.5:
        return ()
    faults = []
    for _ in range(rng.randint(1, LINK_FAULTS_MOST)):
        kind = rng.choice(list(LinkFaultKind))
        start = rng.uniform(1, seconds - QUIET_END)
        held = kind in (LinkFaultKind.REQUESTS_HELD, LinkFaultKind.ANSWERS_HELD)
        lasts = rng.uniform(0.2, HELD_MOST) if held else rng.uniform(0.5, 4.0)
        probability = rng.choice([0.1, 0.5]) if not held and kind is not LinkFaultKind.DELAY else 0.0
        delay = rng.uniform(0.005, DELAY_MOST) if kind is LinkFaultKind.DELAY else 0.0
        end = min(start + lasts, seconds)
        faults.append(LinkFault(rng.choice(names), kind, start, end, probability, delay))
    return tuple(faults)
