"""What a fleet's nodes add up to at each server: connections, handshakes, calls of a pass, calls to cold servers.

Each node decides by `harecross.policy.fleet_limits`, from its own count of servers and nodes; here hundreds of them
call the same servers, with uneven traffic, at a quiet time or at an event, in virtual time and from one seed. Beside
each sum stands the bound that arithmetic gives, from the fleet's own figures and not from `fleet_limits`: a limit that
lacks its division by nodes exceeds it. There are no health checks: the decision module recovers by real calls.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from heapq import heappop, heappush
from math import ceil, sqrt
from random import Random

from harecross.policy import fleet_limits

EVENTS = ("calm", "herd", "lost", "replaced", "returned")
DEVIATIONS = 6  # of a Poisson count that a bound leaves to chance: passed less than once in a billion
WINDOW = 1.0  # seconds over which handshakes are counted


@dataclass(frozen=True, slots=True)
class Fleet:
    """One tier's servers and the nodes that call them. ValueError where it cannot be."""

    nodes: int = 200
    servers: int = 120
    zones: int = 4
    rate: float = 20.0  # calls a second of a node, in the mean
    uneven: float = 3.0  # a node's traffic is up to so many times the mean
    service: float = 0.5  # seconds that a call takes
    load: float = 0.6  # of the servers' capacity, all together
    event: str = "calm"
    part: float = 0.7  # herd, lost: of the nodes; replaced: of the servers
    cold_s: float = 5.0  # until a server that has started is warm
    cold_from: float = 0.4  # of its capacity, at its start
    multiple: float = 3.0  # of its present capacity that pushes a cold server over...
    fall_s: float = 2.0  # ...when it is sent for so long
    length: float = 6.0  # seconds, from the event on
    seed: int = 1

    def __post_init__(self) -> None:
        if self.event not in EVENTS:
            raise ValueError(f"event: {self.event!r} is none of {', '.join(EVENTS)}")
        for key in ("nodes", "servers", "zones"):
            if getattr(self, key) < 1:
                raise ValueError(f"{key}: 1 or more")
        for key in ("rate", "service", "load", "cold_s", "multiple", "fall_s", "length"):
            if getattr(self, key) <= 0:
                raise ValueError(f"{key}: above 0")
        if self.uneven < 1:
            raise ValueError("uneven: 1 or more")
        for key in ("part", "cold_from"):
            if not 0 < getattr(self, key) <= 1:
                raise ValueError(f"{key}: above 0, and 1 at most")


@dataclass(slots=True)
class Sum:
    """The most that one server saw, and the bound beside it."""

    most: float
    bound: float

    @property
    def kept(self) -> bool:
        return self.most <= self.bound * (1 + 1e-9)


@dataclass(slots=True)
class Node:
    """What one node holds: its members, its traffic, its connections and, of cold members, its tokens."""

    rate: float
    members: list[int]
    idle: dict[int, list[float]] = field(default_factory=dict)  # by server: when each connection is free
    tokens: dict[int, tuple[float, float]] = field(
        default_factory=dict
    )  # by server: how many, and as of when
    cold_part: float = 0.0


def chance(mean: float, each: float = 1.0) -> float:
    """A count of that mean, and what chance may add where it comes in parts of `each`."""
    return mean + DEVIATIONS * sqrt(mean * each) + DEVIATIONS


class Sums:
    """The fleet's day."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = f = fleet
        self.rng = Random(f.seed)
        # Most nodes have little traffic, few have much; the mean is as told.
        shares = [1 + (f.uneven - 1) * self.rng.random() ** 3 for _ in range(f.nodes)]
        mean = sum(shares) / len(shares)
        self.rates = [f.rate * share / mean for share in shares]
        # The fleet that the servers were sized for: an event changes who calls them, not what they can do.
        self.capacity = sum(self.rates) / f.servers / f.load
        self.nodes = [Node(rate, self.draw()) for rate in self.rates]
        self.cold: set[int] = set()
        if f.event == "lost":
            # The clients of those that are gone come to the others.
            left = self.nodes[: max(1, f.nodes - ceil(f.part * f.nodes))]
            more = sum(self.rates) / sum(n.rate for n in left)
            for node in left:
                node.rate *= more
            self.nodes = left
        elif f.event == "replaced":
            self.cold = set(self.rng.sample(range(f.servers), ceil(f.part * f.servers)))
        elif f.event == "returned":
            self.cold = {s for s in range(f.servers) if s % f.zones == 0}
        self.open = [0] * f.servers  # connections at each server
        self.most_open = [0] * f.servers
        self.shaken: list[list[float]] = [[] for _ in range(f.servers)]  # times of handshakes
        self.sent: list[list[float]] = [[] for _ in range(f.servers)]  # of calls to cold servers

    def draw(self) -> list[int]:
        f = self.fleet
        return self.rng.sample(range(f.servers), fleet_limits.subset_size(f.servers, f.nodes))

    # ---- the day ------------------------------------------------------------------------------------------

    def run(self) -> dict[str, Sum]:
        """What summed up, by name."""
        f = self.fleet
        began = self.nodes[: ceil(f.part * len(self.nodes))] if f.event == "herd" else []
        for node in self.nodes[len(began) :]:
            self.settle(node)
        self.most_open = list(self.open)
        for at, node in self.calls():
            self.call(node, at)
        return self.result(len(began))

    def settle(self, node: Node) -> None:
        """A node that has run for long has a connection to each member, and as many as its calls take."""
        for server in node.members:
            if server in self.cold:
                continue  # what it had there went with the process before
            count = max(1, round(node.rate * self.fleet.service / len(node.members)))
            node.idle[server] = [0.0] * count
            self.open[server] += count

    def calls(self) -> Iterator[tuple[float, Node]]:
        """Calls of all nodes in order of time, each node's by chance."""
        queue: list[tuple[float, int]] = []
        for i, node in enumerate(self.nodes):
            heappush(queue, (self.rng.expovariate(node.rate), i))
        while queue:
            at, i = heappop(queue)
            if at < self.fleet.length:
                yield at, self.nodes[i]
                heappush(queue, (at + self.rng.expovariate(self.nodes[i].rate), i))

    def call(self, node: Node, at: float) -> None:
        """One call goes to the member that has least of two, a cold one where its share has room."""
        members = node.members
        i, j = self.rng.randrange(len(members)), self.rng.randrange(len(members))
        for server in (members[i], members[j], *members):
            if server not in self.cold or self.may_send(node, server, at):
                break
        else:
            return  # refused: no member's share has room
        if server in self.cold:
            self.sent[server].append(at)
        free = node.idle.setdefault(server, [])
        for k, since in enumerate(free):
            if since <= at:
                free[k] = at + self.fleet.service
                return
        free.append(at + self.fleet.service)
        self.open[server] += 1
        self.most_open[server] = max(self.most_open[server], self.open[server])
        self.shaken[server].append(at)

    def may_send(self, node: Node, server: int, at: float) -> bool:
        """Slow start as the decision module has it: a bucket of one call that fills at the member's share."""
        f = self.fleet
        warm = sum(s not in self.cold for s in node.members)
        if warm:
            rate = node.rate / warm  # what a warm member gets of this node now
        else:
            part = fleet_limits.all_warming_up_fraction(node.cold_part, f.multiple, True, False, 0)
            rate = part * node.rate / len(node.members)
        had, since = node.tokens.get(server, (0.0, 0.0))
        tokens = fleet_limits.slow_start_tokens(had, rate * self.warmth(at), int((at - since) * 1e6))
        node.tokens[server] = (tokens - 1 if tokens >= 1 else tokens, at)
        return tokens >= 1

    def warmth(self, at: float) -> float:
        """Of the cold servers, which all started with the event."""
        return fleet_limits.slow_start_factor(
            self.fleet.cold_from, max(0.0, self.fleet.cold_s - at), self.fleet.cold_s
        )

    # ---- sums and bounds ----------------------------------------------------------------------------------

    def result(self, began: int) -> dict[str, Sum]:
        f, n = self.fleet, len(self.nodes)
        each = min(f.servers, max(10.0, min(24.0, ceil(16 * f.servers / f.nodes))))  # of the design page
        callers = chance(n * each / f.servers)
        # Calls in flight, on servers that are warm: cold ones hold less. What a node has in flight at one member comes
        # together: the more a node carries, the more chance adds (a compound Poisson sum).
        warm = max(1, f.servers - len(self.cold))
        total = sum(node.rate for node in self.nodes) * f.service
        together = f.uneven * total / n / each
        inside = chance(total / warm, 1 + together)
        found = {
            "connections": Sum(max(self.most_open), callers + inside),
            "handshakes a second": Sum(
                max(busiest(times, WINDOW) for times in self.shaken),
                chance((began or n) * each / f.servers) + inside,
            ),
            "calls of a pass": Sum(
                sum(fleet_limits.min_rtt_limit(len(node.members), f.servers, f.nodes) for node in self.nodes)
                / f.servers,
                9 * max(1.0, f.servers / f.nodes),
            ),
            "calls that nobody refuses": Sum(
                sum(fleet_limits.limit_floor(f.servers, f.nodes) for _ in self.nodes) / f.servers, 3.0
            ),
        }
        if self.cold:
            found["calls to a cold server, of what pushes it over"] = Sum(
                max(map(self.pushed, self.cold)), 1.0
            )
        return found

    def pushed(self, server: int) -> float:
        """The most that a cold server was sent, as a part of what it falls over at, over any such window."""
        f, times = self.fleet, self.sent[server]
        worst, first = 0.0, 0
        for last, at in enumerate(times):
            while times[first] <= at - f.fall_s:
                first += 1
            warmth = self.warmth(max(0.0, at - f.fall_s / 2))
            worst = max(worst, (last - first + 1) / (f.multiple * self.capacity * warmth * f.fall_s))
        return worst


def busiest(times: list[float], window: float) -> int:
    """How many fall into the fullest window of that length; `times` are in order."""
    most = first = 0
    for last, at in enumerate(times):
        while times[first] <= at - window:
            first += 1
        most = max(most, last - first + 1)
    return most
