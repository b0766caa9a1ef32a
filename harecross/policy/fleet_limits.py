"""What one node of many takes for itself of what all of them share: arithmetic alone, free of I/O and of state.

Whatever is harmless in one node and harmful in hundreds is decided here, from facts of configuration and list: how
many servers a node calls, how many calls it may hold whatever happens, what it gives a cold server, what leaves its
zone. The decision module asks it in the node and the simulator's adapter; `fleet/sums.py` adds it up over a fleet.
Servers are those listed for the tier, nodes those that call it (`Settings.instance_count`), calls are calls in flight.
"""

from __future__ import annotations

from math import ceil

MIN_SUBSET_SIZE, MAX_SUBSET_SIZE = 10, 24  # members of a node's random subset...
SUBSETS_PER_SERVER = 16  # ...in between, as many as put each server into so many nodes' subsets
MIN_CONCURRENCY = 3  # calls a server, over all copies together: the floor; in a pass calls a member, at most
MIN_RTT_FLOORS = 3  # floors a copy may always reach: nine calls a server, all copies together
MAX_INITIAL_FACTOR = (
    3.0  # times a pass's limit that few copies start with: each carries much and knows nothing yet
)
GROWTH_TIME_US = 2_000_000  # over so long that part doubles while calls are answered in good time
INITIAL_OVERLOAD_FRACTION = 0.25  # of the multiple at which a cold server falls over, where no member is warm


def subset_size(servers: int, nodes: int, most: int = 0) -> int:
    """How many servers a node calls; `most` members where it is set.

    Failure prevented: a copy with a call a second knows none of many members and keeps no connection to them. Where
    copies are many, few members each still spread the load over all servers.
    """
    wanted = ceil(SUBSETS_PER_SERVER * servers / nodes)
    return min(most or min(MAX_SUBSET_SIZE, max(MIN_SUBSET_SIZE, wanted)), servers)


def limit_floor(servers: int, nodes: int) -> float:
    """Calls that a node may always hold, this part of MIN_LIMIT for each server.

    Failure prevented: headroom and floor meant for a sole controller, once in each of hundreds of copies, add up to
    several times what the servers bear. They are those of all copies together.
    """
    return servers * MIN_CONCURRENCY / nodes


def min_rtt_limit(members: int, servers: int, nodes: int) -> float:
    """Calls that a node holds at most while it measures minRTT.

    Failure prevented: while a first pass is on in hundreds of copies nothing is refused, and servers that never drop a
    call are buried in seconds under more than they can work off in a minute. Few copies, each of which carries much,
    are spared: the fewer, the nearer to a sole controller.
    """
    alone = max(1.0, servers / nodes)
    return min(float(members * MIN_CONCURRENCY), MIN_RTT_FLOORS * limit_floor(servers, nodes) * alone)


def initial_limit(members: int, servers: int, nodes: int) -> float:
    """Calls that a node begins with.

    Failure prevented: one of few copies starts into full traffic and refuses a third of it for five seconds, while the
    limit doubles from window to window. It may begin near what such a copy carries.
    """
    alone = max(1.0, servers / nodes)
    return min_rtt_limit(members, servers, nodes) * min(MAX_INITIAL_FACTOR, 2 * alone - 1)


def min_cross_zone_fraction(near: int, members: int, nodes: int) -> float:
    """The least part of a node's calls that leaves its zone, where `near` of its members stand there.

    Failure prevented: a zone with few servers takes all calls of the one node beside it. At least what exceeds the
    zone's part of all members leaves it, were all nodes alike.
    """
    return max(0.0, 1 - near * nodes / members)


def all_cold_fraction(before: float, multiple: float, in_good_time: bool, warm: bool, span: int) -> float:
    """What a member may get where none is warm, as a part of an even part of what is asked for; `span` in microseconds.

    Failure prevented: after a mass restart no member is warm, none may be sent anything, and all is refused until the
    warm-up has passed. An even part of what is asked for stands in, small enough that, asked for by every copy and with
    clients that retry, no cold server falls over. Where servers are replaced before they are warm it would refuse for
    good: it grows while calls are answered in good time, up to the multiple at which a server falls over, and is kept
    while a member is warm: the next one that is cold again would set all the others back.
    """
    part = min(1.0, INITIAL_OVERLOAD_FRACTION * multiple)
    if not in_good_time:
        return part
    return min(multiple, max(part, before * (1 if warm else 1 + min(span / GROWTH_TIME_US, 0.5))))


def slow_start_factor(share: float, left: float, time: float) -> float:
    """The part of its capacity that a cold server has: `share` at its start, all when nothing is `left` of `time`."""
    return share + (1 - share) * max(0.0, 1 - left / time)


def slow_start_tokens(tokens: float, rate: float, elapsed: int) -> float:
    """Calls that a node may send a cold server: a bucket of one, filled at `rate` a second; `elapsed` microseconds."""
    return min(1.0, tokens + rate * elapsed / 1e6)
