"""Computes the times of a graceful shutdown.

All times are in seconds after SIGTERM. According to the protocol ("Figures"), clients open new connections for up to
0.4 s, and SIGKILL follows no sooner than 0.7 s after the longest deadline, of which at most 3 s count. A request that
arrived within the first 0.7 s and is open at SIGKILL does not count as lost; a request that arrived later does.
"""

from __future__ import annotations

from dataclasses import dataclass

# At most this part of the longest deadline delays SIGKILL.
MAX_DEADLINE_S = 3.0
# Late requests are answered by this time after the longest deadline. SIGKILL follows 0.7 s after that deadline.
AFTER_DEADLINE_S = 0.5
# Clients whose idle connection was closed reconnect within this time.
RECONNECT_S = 0.05
# The listener stays open for at least this time after SIGTERM, unless the deadline is earlier. Clients open new
# connections for up to 0.4 s.
NEW_CONNECTIONS_S = 0.6
# Requests that arrive later than this after SIGTERM may count as lost. The protocol's limit is 0.7 s; the margin covers
# the difference between the clocks.
COUNTED_FROM_S = 0.6
# Time to accept the connections that are in the backlog when the listener is closed.
LISTENER_CLOSE_S = 0.05
# Time to answer requests on the connections that were accepted last.
LAST_REQUESTS_S = 0.2


@dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """The times of a graceful shutdown, in seconds after SIGTERM.

    `drain_connections_s` < `close_listener_s` < `deadline_s`, and `deadline_from_s` <= `deadline_s`.

    Attributes:
        drain_connections_s: From this time, idle connections are closed, and other connections after their answer.
        close_listener_s: From this time, no more connections are accepted.
        deadline_from_s: Requests that arrive from this time on are answered by `deadline_s`.
        deadline_s: The time by which those requests are answered.
    """

    drain_connections_s: float
    close_listener_s: float
    deadline_from_s: float
    deadline_s: float


def shutdown_schedule(longest_deadline_s: float, response_time_s: float) -> ShutdownSchedule:
    """Returns the schedule of a shutdown.

    `longest_deadline_s` is the longest deadline of any request class. `response_time_s` is the time within which
    nearly every request is answered. Connections are drained late enough that the node serves while its neighbour
    restarts, and early enough that slow answers are complete before SIGKILL. The listener stays open after idle
    connections are closed, because their clients reconnect at once.
    """
    deadline = min(longest_deadline_s, MAX_DEADLINE_S) + AFTER_DEADLINE_S
    drain_connections = max(0.0, deadline - response_time_s - LAST_REQUESTS_S)
    close_listener = min(max(NEW_CONNECTIONS_S, drain_connections + RECONNECT_S), deadline - LISTENER_CLOSE_S)
    return ShutdownSchedule(drain_connections, close_listener, min(COUNTED_FROM_S, deadline), deadline)
