"""Simulates the load that all nodes of a fleet together put on each server.

The load consists of connections, TLS handshakes, requests during minRTT measurements, and requests to servers that are
warming up. Each node applies `harecross.policy.fleet_limits` to the numbers of servers and nodes that it knows. Here
hundreds of nodes with uneven traffic call the same servers in virtual time; one seed determines all random numbers.

Each sum over the nodes has a bound, which is computed from the figures of the fleet and not by `fleet_limits`, so a
limit that is not divided by the number of nodes exceeds it. There are no health checks, because the policy uses real
requests as recovery probes.
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

# The margin of a bound, in standard deviations of a Poisson count: chance exceeds it less than once in a billion.
BOUND_DEVIATIONS = 6
# Handshakes are counted in windows of this length.
HANDSHAKE_WINDOW_S = 1.0


@dataclass(slots=True)
class BoundedSum:
    """The highest sum over the nodes at any server, and its bound."""

    highest: float
    bound: float

    @property
    def within_bound(self) -> bool:
        """Whether the sum does not exceed its bound, apart from rounding errors."""
        return self.highest <= self.bound * (1 + 1e-9)


class TokenBucket(NamedTuple):
    """The slow-start tokens of one node for one server."""

    tokens: float = 0.0
    updated_at: float = 0.0


@dataclass(slots=True)
class TierNode:
    """One simulated node.

    Attributes:
        requests_per_second: The node's traffic.
        subset: The indexes of the servers in the node's subset.
        connections: For each server, when each of the node's connections to it becomes idle.
        buckets: The token bucket for each server that is warming up.
    """

    requests_per_second: float
    subset: list[int]
    connections: dict[int, list[float]] = field(default_factory=dict)
    buckets: dict[int, TokenBucket] = field(default_factory=dict)


def poisson_bound(mean: float, batch: float = 1.0) -> float:
    """Returns an upper bound of a Poisson count with the given mean whose events come in batches of the given size."""
    return mean + BOUND_DEVIATIONS * sqrt(mean * batch) + BOUND_DEVIATIONS


def max_count_within(times: list[float], window_s: float) -> int:
    """Returns the highest number of the sorted times within any window of the given length."""
    highest = first = 0
    for last, at in enumerate(times):
        while times[first] <= at - window_s:
            first += 1
        highest = max(highest, last - first + 1)
    return highest


class TierLoad:
    """Simulates the servers of a tier and the nodes that call them."""

    def __init__(self, scenario: TierScenario) -> None:
        self.scenario = scenario
        self.rng = Random(scenario.seed)
        rates = self._draw_rates()
        # The requests per second that one server can handle, sized for the fleet's traffic before the event.
        self.server_capacity = sum(rates) / scenario.servers / scenario.utilization
        self.nodes = [TierNode(rate, self._draw_subset()) for rate in rates]
        self.warming_up: set[int] = set()  # the indexes of the servers that are warming up
        self._apply_event()
        # The current and the highest number of open connections of each server.
        self._open_connections = [0] * scenario.servers
        self._max_open_connections = [0] * scenario.servers
        # The times of each server's TLS handshakes, and of its requests while it is warming up.
        self._handshakes: list[list[float]] = [[] for _ in range(scenario.servers)]
        self._warm_up_requests: list[list[float]] = [[] for _ in range(scenario.servers)]

    def _draw_rates(self) -> list[float]:
        """Returns the requests per second of each node: most nodes have little traffic, a few have much."""
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
        """Removes a fraction of the nodes and distributes their traffic over the remaining ones."""
        scenario = self.scenario
        removed = ceil(scenario.event_fraction * scenario.nodes)
        remaining = self.nodes[: max(1, scenario.nodes - removed)]
        total = sum(node.requests_per_second for node in self.nodes)
        factor = total / sum(node.requests_per_second for node in remaining)
        for node in remaining:
            node.requests_per_second *= factor
        self.nodes = remaining

    def run(self) -> dict[str, BoundedSum]:
        """Runs the scenario and returns the sums by name."""
        started = 0
        if self.scenario.event is TierEvent.HERD:
            started = ceil(self.scenario.event_fraction * len(self.nodes))
        for node in self.nodes[started:]:
            self._connect_to_subset(node)
        self._max_open_connections = list(self._open_connections)
        for at, node in self._requests():
            self._send(node, at)
        return self._sums(started)

    def _connect_to_subset(self, node: TierNode) -> None:
        """Gives a long-running node the connections to each subset member that its traffic requires."""
        for server in node.subset:
            if server in self.warming_up:
                continue  # the connections ended with the previous process of the server
            in_flight = node.requests_per_second * self.scenario.service_time
            count = max(1, round(in_flight / len(node.subset)))
            node.connections[server] = [0.0] * count
            self._open_connections[server] += count

    def _requests(self) -> Iterator[tuple[float, TierNode]]:
        """Yields the requests of all nodes in order of time; each node's requests are a Poisson process."""
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
        """Sends a request to one of two random subset members, or else to any member that may receive it.

        The request is shed if no member may receive it.
        """
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
        self._open_connections[server] += 1
        self._max_open_connections[server] = max(
            self._max_open_connections[server], self._open_connections[server]
        )
        self._handshakes[server].append(at)

    def may_send(self, node: TierNode, server: int, at: float) -> bool:
        """Takes a token for a server that is warming up, as the policy does. Returns False if there is none."""
        warm_members = sum(member not in self.warming_up for member in node.subset)
        if warm_members:
            rate = node.requests_per_second / warm_members
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
        """Returns the current fraction of their capacity that servers have which started at the event."""
        window = self.scenario.slow_start_window
        return fleet_limits.slow_start_factor(
            self.scenario.slow_start_capacity, max(0.0, window - at), window
        )

    def _sums(self, started: int) -> dict[str, BoundedSum]:
        """Returns the sums by name. `started` is the number of nodes that started without connections."""
        in_flight = self._in_flight_bound()
        calling_nodes = len(self.nodes) * self._subset_size() / self.scenario.servers
        connecting_nodes = (started or len(self.nodes)) * self._subset_size() / self.scenario.servers
        handshakes = max(max_count_within(times, HANDSHAKE_WINDOW_S) for times in self._handshakes)
        sums = {
            "connections": BoundedSum(
                max(self._max_open_connections), poisson_bound(calling_nodes) + in_flight
            ),
            "handshakes a second": BoundedSum(handshakes, poisson_bound(connecting_nodes) + in_flight),
            "calls of a pass": self._min_rtt_sum(),
            "calls that nobody refuses": self._limit_floor_sum(),
        }
        if self.warming_up:
            overload = max(self._overload_fraction(server) for server in self.warming_up)
            sums["calls to a cold server, of what pushes it over"] = BoundedSum(overload, 1.0)
        return sums

    def _subset_size(self) -> float:
        """Returns the intended size of a subset, computed without `fleet_limits`."""
        servers, nodes = self.scenario.servers, self.scenario.nodes
        return min(servers, max(10.0, min(24.0, ceil(16 * servers / nodes))))

    def _in_flight_bound(self) -> float:
        """Returns an upper bound of the requests in flight at one server.

        Servers that are warming up have fewer requests, so the bound is that of the other servers. The requests of one
        node at one server arrive in batches, so their sum is compound Poisson.
        """
        scenario = self.scenario
        warm_servers = max(1, scenario.servers - len(self.warming_up))
        total = sum(node.requests_per_second for node in self.nodes) * scenario.service_time
        batch = scenario.traffic_skew * total / len(self.nodes) / self._subset_size()
        return poisson_bound(total / warm_servers, 1 + batch)

    def _min_rtt_sum(self) -> BoundedSum:
        """Returns the requests in flight at one server while all nodes measure minRTT.

        The bound is 9 requests, multiplied by the number of servers per node if there are more servers than nodes.
        """
        servers, nodes = self.scenario.servers, self.scenario.nodes
        total = sum(fleet_limits.min_rtt_limit(len(node.subset), servers, nodes) for node in self.nodes)
        return BoundedSum(total / servers, 9 * max(1.0, servers / nodes))

    def _limit_floor_sum(self) -> BoundedSum:
        """Returns the requests in flight at one server while all nodes are at their lowest limit; the bound is 3."""
        servers, nodes = self.scenario.servers, self.scenario.nodes
        total = sum(fleet_limits.limit_floor(servers, nodes) for _ in self.nodes)
        return BoundedSum(total / servers, 3.0)

    def _overload_fraction(self, server: int) -> float:
        """Returns the highest load of a server that is warming up, as a fraction of the load at which it fails.

        The load is the number of requests within any window of the overload duration.
        """
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
