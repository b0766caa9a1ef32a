"""Limits of one node in a fleet: pure functions of the numbers of servers, members and nodes.

Concurrency that is harmless for one node adds up over hundreds of nodes. These limits are therefore divided
by the number of nodes that call the tier (`Settings.instance_count`). `fleet/tier_load.py` sums them over a
fleet.
"""

from __future__ import annotations

from math import ceil

MIN_SUBSET_SIZE, MAX_SUBSET_SIZE = 10, 24
# Subsets between the minimum and the maximum size are so large that each server is in this many of them.
SUBSETS_PER_SERVER = 16
MIN_CONCURRENCY = 3  # all nodes together may always have this many requests in flight at a server
MIN_RTT_FLOOR_MULTIPLE = 3  # a minRTT window allows this multiple of the limit floor
MAX_INITIAL_FACTOR = 3.0  # the initial limit is at most this multiple of the limit in a minRTT window
GROWTH_TIME_US = 2_000_000  # time constant by which the all-warming-up fraction grows
INITIAL_OVERLOAD_FRACTION = 0.25  # the all-warming-up fraction starts at this part of the overload multiple


def subset_size(servers: int, nodes: int, configured_size: int = 0) -> int:
    """Returns how many servers a node calls, which is `configured_size` of them if it is not 0."""
    shared_size = ceil(SUBSETS_PER_SERVER * servers / nodes)
    return min(configured_size or min(MAX_SUBSET_SIZE, max(MIN_SUBSET_SIZE, shared_size)), servers)


def limit_floor(servers: int, nodes: int) -> float:
    """Returns the number of requests in flight that a node is always allowed."""
    return servers * MIN_CONCURRENCY / nodes


def min_rtt_limit(members: int, servers: int, nodes: int) -> float:
    """Returns the requests in flight that a minRTT window allows a node; with few nodes, each gets more."""
    share = max(1.0, servers / nodes)
    return min(float(members * MIN_CONCURRENCY), MIN_RTT_FLOOR_MULTIPLE * limit_floor(servers, nodes) * share)


def initial_limit(members: int, servers: int, nodes: int) -> float:
    """Returns the limit that a node starts with.

    It is higher where there are few nodes, because each of them may get much traffic from its start on.
    """
    share = max(1.0, servers / nodes)
    return min_rtt_limit(members, servers, nodes) * min(MAX_INITIAL_FACTOR, 2 * share - 1)


def min_cross_zone_fraction(local: int, members: int, nodes: int) -> float:
    """Returns the smallest fraction of requests that must leave the zone.

    It is the fraction by which the zone's members would get more than their part of all requests.
    """
    return max(0.0, 1 - local * nodes / members)


def all_warming_up_fraction(
    previous: float, overload_multiple: float, on_time: bool, any_warm: bool, span_us: int
) -> float:
    """Returns the all-warming-up fraction: what each member may get while no member is warm.

    It is relative to an even part of all requests. It grows while responses are on time, up to the multiple
    at which a server fails, because servers may be replaced before they are warm. It stays the same while any
    member is warm, and goes back to its start when responses are late.
    """
    initial = min(1.0, INITIAL_OVERLOAD_FRACTION * overload_multiple)
    if not on_time:
        return initial
    return min(
        overload_multiple,
        max(initial, previous * (1 if any_warm else 1 + min(span_us / GROWTH_TIME_US, 0.5))),
    )


def slow_start_factor(min_capacity: float, remaining: float, duration: float) -> float:
    """Returns the fraction of its capacity that a server has when `remaining` of its slow start is left."""
    return min_capacity + (1 - min_capacity) * max(0.0, 1 - remaining / duration)


def slow_start_tokens(tokens: float, rate: float, elapsed_us: int) -> float:
    """Returns the tokens of a bucket that holds one token at most and fills at `rate` tokens per second."""
    return min(1.0, tokens + rate * elapsed_us / 1e6)
