"""What the nodes of a fleet add up to at each server: connections, TLS handshakes, requests while minRTT is measured,
requests to servers that warm up.

Each node decides by `harecross.policy.fleet_limits`, from its own count of servers and nodes; here hundreds of them
call the same servers, with uneven traffic, in virtual time and from one seed. Each sum has a bound, computed from the
fleet's own figures and not from `fleet_limits`: a limit that is not divided by the number of nodes exceeds it. There
are no health checks: the policy uses real requests as recovery probes.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from heapq import heappop, heappush
from math import ceil, sqrt
from random import Random
from typing import NamedTuple

from harecross.fleet.tier_scenario import TierEvent, TierScenario
from harecross.policy import fleet_limits

# What a bound leaves to chance, in standard deviations of a Poisson count: exceeded less than once in a billion.
BOUND_DEVIATIONS = 6
HANDSHAKE_WINDOW_S = 1.0


@dataclass(slots=True)
class BoundedSum:
    """The highest sum at one server, and its bound."""

    highest: float
    bound: float

    @property
    def within_bound(self) -> bool:
        """Whether the sum keeps to its bound, but for rounding."""
        return self.highest <= self.bound * (1 + 1e-9)


class TokenBucket(NamedTuple):
    """The slow-start tokens of one node for one server."""

    tokens: float = 0.0
    updated_at: float = 0.0


@dataclass(slots=True)
class TierNode:
    """One node: its traffic, its subset and its connections."""

    requests_per_second: float
    subset: list[int]  # servers
    connections: dict[int, list[float]] = field(default_factory=dict)  # by server: when each becomes idle
    buckets: dict[int, TokenBucket] = field(default_factory=dict)  # by server that warms up


def poisson_bound(mean: float, batch: float = 1.0) -> float:
    """A bound for a count of that mean whose parts come in batches of that size."""
    return mean + BOUND_DEVIATIONS * sqrt(mean * batch) + BOUND_DEVIATIONS


def max_count_within(times: list[float], window_s: float) -> int:
    """The most of the times, which are in order, within any window of that length."""
    highest = first = 0
    for last, at in enumerate(times):
        while times[first] <= at - window_s:
            first += 1
        highest = max(highest, last - first + 1)
    return highest


class TierLoad:
    """A tier's servers and the nodes that call them."""

    def __init__(self, scenario: TierScenario) -> None:
        self.scenario = scenario
        self.rng = Random(scenario.seed)
        rates = self._draw_rates()
        # The servers are sized for the fleet before the event.
        self.server_capacity = sum(rates) / scenario.servers / scenario.utilization
        self.nodes = [TierNode(rate, self._draw_subset()) for rate in rates]
        self.warming_up: set[int] = set()  # servers
        self._apply_event()
        self._open = [0] * scenario.servers  # connections by server
        self._max_open = [0] * scenario.servers
        self._handshakes: list[list[float]] = [[] for _ in range(scenario.servers)]  # times by server
        self._warm_up_requests: list[list[float]] = [[] for _ in range(scenario.servers)]  # times by server

    def _draw_rates(self) -> list[float]:
        """Requests a second by node: most nodes have little traffic, few have much."""
        scenario = self.scenario
        weights = [1 + (scenario.traffic_skew - 1) * self.rng.random() ** 3 for _ in range(scenario.nodes)]
        mean = sum(weights) / len(weights)
        return [scenario.requests_per_second * weight / mean for weight in weights]

    def _draw_subset(self) -> list[int]:
        servers, nodes = self.scenario.servers, self.scenario.nodes
        return self.rng.sample(range(servers), fleet_limits.subset_size(servers, nodes))

    def _apply_event(self) -> None:
        scenario = self.scenario
        if scenario.event is TierEvent.LOST:
            self._remove_nodes()
        elif scenario.event is TierEvent.REPLACED:
            count = ceil(scenario.event_fraction * scenario.servers)
            self.warming_up = set(self.rng.sample(range(scenario.servers), count))
        elif scenario.event is TierEvent.RETURNED:
            self.warming_up = set(range(0, scenario.servers, scenario.zones))

    def _remove_nodes(self) -> None:
        """Removes a part of the nodes; the others get its traffic."""
        scenario = self.scenario
        removed = ceil(scenario.event_fraction * scenario.nodes)
        remaining = self.nodes[: max(1, scenario.nodes - removed)]
        total = sum(node.requests_per_second for node in self.nodes)
        factor = total / sum(node.requests_per_second for node in remaining)
        for node in remaining:
            node.requests_per_second *= factor
        self.nodes = remaining

    # ---- requests -----------------------------------------------------------------------------------------

    def run(self) -> dict[str, BoundedSum]:
        """Plays the scenario, and returns the sums by their names."""
        started = 0
        if self.scenario.event is TierEvent.HERD:
            started = ceil(self.scenario.event_fraction * len(self.nodes))
        for node in self.nodes[started:]:
            self._open_connections(node)
        self._max_open = list(self._open)
        for at, node in self._requests():
            self._send(node, at)
        return self._sums(started)

    def _open_connections(self, node: TierNode) -> None:
        """A node that has run for long has connections to each subset member, as many as its traffic takes."""
        for server in node.subset:
            if server in self.warming_up:
                continue  # the connections ended with the process before
            in_flight = node.requests_per_second * self.scenario.service_time
            count = max(1, round(in_flight / len(node.subset)))
            node.connections[server] = [0.0] * count
            self._open[server] += count

    def _requests(self) -> Iterator[tuple[float, TierNode]]:
        """The requests of all nodes in order of time, each node's as a Poisson process."""
        queue: list[tuple[float, int]] = []
        for index, node in enumerate(self.nodes):
            heappush(queue, (self.rng.expovariate(node.requests_per_second), index))
        while queue:
            at, index = heappop(queue)
            if at < self.scenario.duration:
                node = self.nodes[index]
                yield at, node
                heappush(queue, (at + self.rng.expovariate(node.requests_per_second), index))

    def _send(self, node: TierNode, at: float) -> None:
        """Sends one request to one of two random members, or to any that may get it; sheds it where none may."""
        subset = node.subset
        first, second = self.rng.randrange(len(subset)), self.rng.randrange(len(subset))
        for server in (subset[first], subset[second], *subset):
            if server not in self.warming_up or self.may_send(node, server, at):
                self._send_to(node, server, at)
                return

    def _send_to(self, node: TierNode, server: int, at: float) -> None:
        if server in self.warming_up:
            self._warm_up_requests[server].append(at)
        idle_at = node.connections.setdefault(server, [])
        ends_at = at + self.scenario.service_time
        for index, since in enumerate(idle_at):
            if since <= at:
                idle_at[index] = ends_at
                return
        idle_at.append(ends_at)
        self._open[server] += 1
        self._max_open[server] = max(self._max_open[server], self._open[server])
        self._handshakes[server].append(at)

    def may_send(self, node: TierNode, server: int, at: float) -> bool:
        """Takes a token for a server that warms up, as the policy does; False where there is none."""
        full_members = sum(member not in self.warming_up for member in node.subset)
        if full_members:
            rate = node.requests_per_second / full_members
        else:
            fraction = fleet_limits.all_warming_up_fraction(
                0.0, self.scenario.overload_multiple, True, False, 0
            )
            rate = fraction * node.requests_per_second / len(node.subset)
        bucket = node.buckets.get(server, TokenBucket())
        elapsed_us = int((at - bucket.updated_at) * 1e6)
        tokens = fleet_limits.slow_start_tokens(bucket.tokens, rate * self._capacity_fraction(at), elapsed_us)
        node.buckets[server] = TokenBucket(tokens - 1 if tokens >= 1 else tokens, at)
        return tokens >= 1

    def _capacity_fraction(self, at: float) -> float:
        """The present capacity of the servers that warm up, which all started with the event."""
        window = self.scenario.slow_start_window
        return fleet_limits.slow_start_factor(
            self.scenario.slow_start_capacity, max(0.0, window - at), window
        )

    # ---- sums and bounds ----------------------------------------------------------------------------------

    def _sums(self, started: int) -> dict[str, BoundedSum]:
        """The sums by their names; `started` nodes began without connections."""
        in_flight = self._in_flight_bound()
        calling = len(self.nodes) * self._subset_size() / self.scenario.servers
        connecting = (started or len(self.nodes)) * self._subset_size() / self.scenario.servers
        handshakes = max(max_count_within(times, HANDSHAKE_WINDOW_S) for times in self._handshakes)
        sums = {
            "connections": BoundedSum(max(self._max_open), poisson_bound(calling) + in_flight),
            "handshakes a second": BoundedSum(handshakes, poisson_bound(connecting) + in_flight),
            "calls of a pass": self._min_rtt_sum(),
            "calls that nobody refuses": self._limit_floor_sum(),
        }
        if self.warming_up:
            overload = max(self._overload_fraction(server) for server in self.warming_up)
            sums["calls to a cold server, of what pushes it over"] = BoundedSum(overload, 1.0)
        return sums

    def _subset_size(self) -> float:
        """The size of a subset by the design, computed without `fleet_limits`."""
        servers, nodes = self.scenario.servers, self.scenario.nodes
        return min(servers, max(10.0, min(24.0, ceil(16 * servers / nodes))))

    def _in_flight_bound(self) -> float:
        """A bound for the requests in flight at one server. Servers that warm up have fewer.

        The requests that one node has in flight at one server come together: a compound Poisson sum.
        """
        scenario = self.scenario
        full_servers = max(1, scenario.servers - len(self.warming_up))
        total = sum(node.requests_per_second for node in self.nodes) * scenario.service_time
        batch = scenario.traffic_skew * total / len(self.nodes) / self._subset_size()
        return poisson_bound(total / full_servers, 1 + batch)

    def _min_rtt_sum(self) -> BoundedSum:
        """Requests in flight at one server while all nodes measure minRTT."""
        servers, nodes = self.scenario.servers, self.scenario.nodes
        total = sum(fleet_limits.min_rtt_limit(len(node.subset), servers, nodes) for node in self.nodes)
        return BoundedSum(total / servers, 9 * max(1.0, servers / nodes))

    def _limit_floor_sum(self) -> BoundedSum:
        """Requests in flight at one server where all nodes are at their lowest limit."""
        servers, nodes = self.scenario.servers, self.scenario.nodes
        total = sum(fleet_limits.limit_floor(servers, nodes) for _ in self.nodes)
        return BoundedSum(total / servers, 3.0)

    def _overload_fraction(self, server: int) -> float:
        """The highest load of a server that warms up, in any overload duration, by the load at which it fails."""
        scenario, times = self.scenario, self._warm_up_requests[server]
        duration = scenario.overload_duration
        highest, first = 0.0, 0
        for last, at in enumerate(times):
            while times[first] <= at - duration:
                first += 1
            fraction = self._capacity_fraction(max(0.0, at - duration / 2))
            limit = scenario.overload_multiple * self.server_capacity * fraction * duration
            highest = max(highest, (last - first + 1) / limit)
        return highest
