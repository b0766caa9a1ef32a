"""A rehearsal: nodes that listen, one discovery, a trigger, and who knew what when. One seed, the same day every time.

At the trigger every watch falls silent, breaks or ends, or nodes that were killed start again by the list they last
had; discovery may be down for a while. Changes are listed at stated times, and reach the nodes whose watch is open.
A drain that a node has not heard of when it becomes binding is counted (PROTOCOL, "Figures"), and so is the time
for which a node may send all the same.
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from math import ceil, inf
from random import Random

from harecross.discovery.readiness import ListReadiness, max_start_wait_s
from harecross.discovery.subscription_schedule import (
    SEND_STOP_GRACE_S,
    STALENESS_LIMIT_S,
    WATCH_HEARTBEAT_TIMEOUT_S,
    CallEnd,
    DiscoveryTerms,
    SubscriptionSchedule,
    SubscriptionState,
)
from harecross.fleet.discovery import Desk, Reply, Shape

TRIGGERS = ("silent", "ended", "broken", "restart", "down")
BOOT = 0.3  # from a process's start to its first call
Build = Callable[[DiscoveryTerms, Random], SubscriptionSchedule]


@dataclass(frozen=True, slots=True)
class Day:
    """What is rehearsed. Times in seconds from the start. ValueError where it cannot be."""

    nodes: int = 40
    seed: int = 1
    discovery: Shape = Shape()
    within: float = 10.0  # the longest silence allowed to a node without a watch
    trigger: str = "silent"
    at: float = 10.0  # when the trigger comes
    backlog: float = 0.0  # seconds of work that stand in discovery's line at that moment
    down: float = 5.0  # trigger "down": discovery refuses calls for so long
    spoilt: float = 0.0  # share of answers that break off or cannot be read
    change: float = 0.5  # a drain is listed so long after the trigger...
    more: float = 0.0  # ...and again this far apart, where it is above 0
    part: float = 1.0  # trigger "restart": the share of nodes that start again
    dead: float = 0.0  # and for how long they had been dead then
    before: float = 0.0  # a drain is listed so long before the trigger too, where it is above 0
    pushed: bool = False  # an agent on each node's machine has the list, and answers at once
    length: float = 120.0

    def __post_init__(self) -> None:
        if self.nodes < 1:
            raise ValueError("nodes: 1 or more")
        if self.trigger not in TRIGGERS:
            raise ValueError(f"trigger: {self.trigger!r} is none of {', '.join(TRIGGERS)}")
        if not 0 <= self.spoilt < 1:
            raise ValueError("spoilt: 0 or more, and under 1")
        for key in ("within", "length"):
            if getattr(self, key) <= 0:
                raise ValueError(f"{key}: above 0")
        if not 0 < self.part <= 1:
            raise ValueError("part: above 0, and 1 at most")
        if self.before > self.at or self.dead > self.at:
            raise ValueError("before, dead: no longer than `at`")
        for key in ("at", "backlog", "down", "change", "more", "dead", "before"):
            if getattr(self, key) < 0:
                raise ValueError(f"{key}: 0 or more")


@dataclass(slots=True)
class Result:
    """A rehearsal played. Times in seconds after the trigger; inf for what never came."""

    day: Day
    back: list[float]  # when each node listened again, in order
    knew: list[float]  # how long after the first drain was listed each node knew
    calls: Counter[int] = field(default_factory=Counter)  # calls that came to discovery, by second
    answered: Counter[int] = field(default_factory=Counter)
    line: dict[int, float] = field(default_factory=dict)  # seconds of work in line, by second
    late: int = 0  # drains that were binding at a node before it knew, all nodes and drains together
    forbidden: float = 0.0  # seconds for which nodes might send by a list that was binding-old, all together
    waited: float = 0.0  # seconds for which nodes that had started sent nothing, all together
    ready: list[float] = field(default_factory=list)  # how long after its start each might send, in order
    in_vain: int = 0
    turned_away: int = 0

    def share(self, part: float) -> float:
        """When that part of the nodes listened again."""
        return self.back[ceil(part * len(self.back)) - 1]

    def after_start(self, part: float) -> float:
        """How long after its start that part of the nodes that started might send."""
        return self.ready[ceil(part * len(self.ready)) - 1]

    @property
    def recovered(self) -> bool:
        """Whether every node listened again by the end."""
        return self.back[-1] < inf


def bound(day: Day) -> float:
    """The soonest that every node can have been answered after a trigger that all notice at once, by arithmetic.

    Calls divided by rate, behind what stood in line, from the moment a silence can be known.
    """
    known = (
        WATCH_HEARTBEAT_TIMEOUT_S if day.trigger == "silent" else day.down if day.trigger == "down" else 0.0
    )
    return known + max(0.0, day.backlog - known) + day.nodes / day.discovery.rate


def merged(spans: list[tuple[float, float]]) -> list[tuple[float, float]]:
    """The same times, none of them twice."""
    found: list[tuple[float, float]] = []
    for begin, end in sorted(spans):
        if found and begin <= found[-1][1]:
            found[-1] = (found[-1][0], max(found[-1][1], end))
        else:
            found.append((begin, end))
    return found


class Node:
    """One node of the rehearsal."""

    __slots__ = ("schedule", "version", "turn", "back", "readiness", "dead", "began", "opened", "learned")

    def __init__(self, schedule: SubscriptionSchedule) -> None:
        self.readiness: ListReadiness | None = None  # of a process that began within the day
        self.dead = False
        self.began = -inf
        self.opened = -inf  # when it might send
        self.learned: list[float] = []  # by change: when it knew of it
        self.schedule = schedule
        self.version = 0  # changes that it knows
        self.turn = 0  # of its events: what was planned before the last change of state is void
        self.back = inf


class Rehearsal:
    """The day's events in order."""

    def __init__(self, day: Day, build: Build = SubscriptionSchedule) -> None:
        self.day = day
        self.rng = Random(day.seed)
        self.desk = Desk(day.discovery)
        self.nodes = [
            Node(build(DiscoveryTerms(True, day.nodes, i, day.within), Random(self.rng.getrandbits(64))))
            for i in range(day.nodes)
        ]
        self.events: list[tuple[float, int, Callable[[float], None]]] = []
        self.count = 0
        self.version = 0  # changes listed so far
        self.listed: list[float] = []
        self.knew: list[list[float]] = []  # by change: when each node knew of it
        self.result = Result(day, [], [])

    def later(self, at: float, what: Callable[[float], None]) -> None:
        self.count += 1
        heapq.heappush(self.events, (at, self.count, what))

    def run(self) -> Result:
        day = self.day
        for place, node in enumerate(self.nodes, 1):
            # A fleet that has run since a common start, whose line each node remembers as it found it: every watch
            # is open, and was spoken to within one beat.
            schedule, stood = node.schedule, place / day.discovery.rate
            schedule.start(0.0)
            schedule.call_started(0.0)
            if stood > day.discovery.timeout:
                schedule.call_ended(day.discovery.timeout, CallEnd.FAILED)
                schedule.call_started(day.at)
            schedule.heartbeat_received(min(stood, day.discovery.timeout))
            schedule.update_applied()
            schedule.heartbeat_received(day.at)
        if day.trigger == "restart" and day.dead > 0:
            self.later(day.at - day.dead, self.kill)
        if day.before > 0:
            self.later(day.at - day.before, self.change)
        self.later(day.at, self.trigger)
        at = day.at + day.change
        while at < day.length:
            self.later(at, self.change)
            at = at + day.more if day.more > 0 else inf
        while self.events and self.events[0][0] <= day.length:
            now, _, what = heapq.heappop(self.events)
            what(now)
        return self.close()

    def close(self) -> Result:
        r, day = self.result, self.day
        r.back = sorted(node.back - day.at for node in self.nodes)
        for node in self.nodes:
            if node.readiness is not None:
                opened = min(node.opened, max(node.readiness.wait_until, node.began))
                r.ready.append(opened - node.began)
                r.waited += min(opened, day.length) - node.began
                r.forbidden += self.sent_late(node, opened)
        r.ready.sort()
        for at, knew in zip(self.listed, self.knew, strict=True):
            took = sorted(t - at for t in knew) + [inf] * (len(self.nodes) - len(knew))
            if not r.knew:
                r.knew = took
            if at + STALENESS_LIMIT_S <= day.length:
                r.late += sum(t > STALENESS_LIMIT_S for t in took)
        r.in_vain, r.turned_away = self.desk.in_vain, self.desk.turned_away
        return r

    def sent_late(self, node: Node, opened: float) -> float:
        """For how long a process might send that had not heard of a change which was binding.

        What an agent has counts as told from the process's first moment on, what is listed 6 s later.
        """
        late: list[tuple[float, float]] = []
        for version, at in enumerate(self.listed):
            told = max(at, node.began) if self.day.pushed else max(at + STALENESS_LIMIT_S, node.began)
            knew = node.learned[version] if version < len(node.learned) else inf
            begin, end = max(told + SEND_STOP_GRACE_S, opened), min(knew, self.day.length)
            if begin < end:
                late.append((begin, end))
        return sum(end - begin for begin, end in merged(late))

    # ---- events -------------------------------------------------------------------------------------------

    def hit(self) -> list[Node]:
        """The nodes that restart: a front's part of the fleet, the same all day."""
        return self.nodes[: ceil(self.day.part * len(self.nodes))]

    def kill(self, now: float) -> None:
        for node in self.hit():
            node.turn += 1
            node.dead = True

    def trigger(self, now: float) -> None:
        day = self.day
        self.desk.free_at = now + day.backlog
        end = {"silent": CallEnd.SILENT, "broken": CallEnd.MALFORMED}.get(day.trigger, CallEnd.ENDED)
        hit = self.hit() if day.trigger == "restart" else self.nodes
        for node in self.nodes[len(hit) :]:
            node.back = now  # its watch was never lost
        for node in hit:
            node.turn += 1
            if day.trigger == "restart":
                node.schedule = type(node.schedule)(node.schedule.terms, Random(self.rng.getrandbits(64)))
                node.schedule.start(now + BOOT)
                node.readiness = ListReadiness(now, max_start_wait_s(node.schedule.terms))
                node.dead, node.began, node.opened = False, now, inf
                self.plan(node)
            elif end is CallEnd.SILENT:
                # The last word came up to a beat ago; all heard it at once, as the beats of one service come.
                self.later(now + WATCH_HEARTBEAT_TIMEOUT_S, self.ends(node, end))
            else:
                self.ends(node, end)(now)

    def change(self, now: float) -> None:
        self.version += 1
        self.listed.append(now)
        self.knew.append([])
        for node in self.nodes:
            listens = now < self.day.at or node.back < inf
            if node.schedule.state is SubscriptionState.SUBSCRIBED and listens and not node.dead:
                self.learn(node, now)

    def learn(self, node: Node, now: float) -> None:
        for version in range(node.version, self.version):
            self.knew[version].append(now)
            node.learned.append(now)
        node.version = self.version

    def ends(self, node: Node, end: CallEnd) -> Callable[[float], None]:
        turn = node.turn

        def event(now: float) -> None:
            if node.turn == turn:
                node.schedule.call_ended(now, end)
                self.plan(node)

        return event

    def plan(self, node: Node) -> None:
        node.turn += 1
        turn = node.turn

        def event(now: float) -> None:
            if node.turn == turn:
                self.call(node, now)

        self.later(node.schedule.next_call_at, event)

    def call(self, node: Node, now: float) -> None:
        day, r = self.day, self.result
        node.schedule.call_started(now)
        r.calls[int(now - day.at)] += 1
        if day.trigger == "down" and now < day.at + day.down:
            self.ends(node, CallEnd.FAILED)(now)
            return
        reply = Reply(now, True) if day.pushed else self.desk.call(now)
        r.line[int(now - day.at)] = self.desk.backlog(now)
        if not reply.good:
            self.later(reply.at, self.ends(node, CallEnd.FAILED))
            return
        spoilt = self.rng.random() < day.spoilt
        turn = node.turn

        def word(at: float) -> None:
            if node.turn != turn:
                return
            node.schedule.heartbeat_received(at)
            if spoilt:
                self.ends(node, CallEnd.MALFORMED)(at)
                return
            node.schedule.update_applied()
            r.answered[int(at - day.at)] += 1
            node.back = at
            if node.readiness is not None:
                node.readiness.list_confirmed()
                node.opened = min(node.opened, at)
            self.learn(node, at)

        self.later(reply.at, word)
