"""What one node of many takes for itself: pure functions of the numbers of servers, members and nodes.

Headroom that is harmless in one node adds up over hundreds: these figures are divided by the nodes that call
the tier (`Settings.instance_count`). `fleet/tier_load.py` adds them up over a fleet.
"""

from __future__ import annotations

from math import ceil

MIN_SUBSET_SIZE, MAX_SUBSET_SIZE = 10, 24
SUBSETS_PER_SERVER = 16  # between these bounds, subsets are large enough for each server to be in so many
MIN_CONCURRENCY = 3  # requests in flight at a server, of all nodes together, that are always allowed
MIN_RTT_FLOORS = 3  # times that many are allowed in a minRTT window
MAX_INITIAL_FACTOR = 3.0  # times the minRTT window's limit, where few nodes each carry much
GROWTH_TIME_US = 2_000_000  # the all-warming-up fraction doubles over this time
INITIAL_OVERLOAD_FRACTION = 0.25  # of the overload multiple, where it begins


def subset_size(servers: int, nodes: int, most: int = 0) -> int:
    """How many servers a node calls; `most` of them where it is set."""
    wanted = ceil(SUBSETS_PER_SERVER * servers / nodes)
    return min(most or min(MAX_SUBSET_SIZE, max(MIN_SUBSET_SIZE, wanted)), servers)


def limit_floor(servers: int, nodes: int) -> float:
    """Requests in flight that a node is always allowed."""
    return servers * MIN_CONCURRENCY / nodes


def min_rtt_limit(members: int, servers: int, nodes: int) -> float:
    """Requests in flight that a node is allowed in a minRTT window; the fewer nodes, the more."""
    alone = max(1.0, servers / nodes)
    return min(float(members * MIN_CONCURRENCY), MIN_RTT_FLOORS * limit_floor(servers, nodes) * alone)


def initial_limit(members: int, servers: int, nodes: int) -> float:
    """The limit that a node starts with; one of few nodes may start into full traffic."""
    alone = max(1.0, servers / nodes)
    return min_rtt_limit(members, servers, nodes) * min(MAX_INITIAL_FACTOR, 2 * alone - 1)


def min_cross_zone_fraction(local: int, members: int, nodes: int) -> float:
    """The least part of requests that leaves the zone: what exceeds the zone's part of all members."""
    return max(0.0, 1 - local * nodes / members)


def all_warming_up_fraction(before: float, multiple: float, on_time: bool, warm: bool, span_us: int) -> float:
    """What each member may get while none is warm, as a part of an even part of all requests.

    It grows while answers are on time, up to the multiple at which a server fails, since servers may be
    replaced before they are warm; it is kept while a member is warm.
    """
    part = min(1.0, INITIAL_OVERLOAD_FRACTION * multiple)
    if not on_time:
        return part
    return min(multiple, max(part, before * (1 if warm else 1 + min(span_us / GROWTH_TIME_US, 0.5))))


def slow_start_factor(min_capacity: float, left: float, duration: float) -> float:
    """The part of its capacity that a server has when `left` of its slow start is still to come."""
    return min_capacity + (1 - min_capacity) * max(0.0, 1 - left / duration)


def slow_start_tokens(tokens: float, rate: float, elapsed_us: int) -> float:
    """A bucket of one token after it has filled at `rate` a second."""
    return min(1.0, tokens + rate * elapsed_us / 1e6)
