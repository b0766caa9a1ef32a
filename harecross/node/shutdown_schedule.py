"""The times of a graceful shutdown, free of I/O.

Times are seconds after SIGTERM. By the protocol ("Figures") clients open new connections for up to 0.4 s, and SIGKILL
follows no sooner than the longest deadline, of which at most 3 s count, plus 0.7 s. A request that came within the
first 0.7 s and is open at SIGKILL does not count as lost; one that came later does.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_DEADLINE_S = 3.0  # of the longest deadline; the rest does not delay SIGKILL
AFTER_DEADLINE_S = 0.5  # SIGKILL comes 0.7 s after the deadline
RECONNECT_S = 0.05  # clients whose idle connection was closed connect again within this time
NEW_CONNECTIONS_S = 0.6  # the listener stays open for so long; clients open connections for 0.4 s
COUNTED_FROM_S = 0.6  # requests that come later may be lost; 0.7 s less the difference that clocks may have
LISTENER_CLOSE_S = 0.05  # what has come by the close of the listener still has to be accepted
LAST_REQUESTS_S = 0.2  # for requests on the connections that were accepted last


@dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """`drain_connections_s` < `close_listener_s` < `deadline_s`, and `deadline_from_s` <= `deadline_s`."""

    drain_connections_s: float  # from now on connections end with their answer, idle ones at once
    close_listener_s: float  # no more connections are accepted
    deadline_from_s: float  # requests that come from now on are answered by `deadline_s`
    deadline_s: float


def shutdown_schedule(longest_deadline_s: float, response_time_s: float) -> ShutdownSchedule:
    """The schedule for the longest deadline, and for the time within which nearly every request is answered.

    Connections are drained late enough that the node serves while its neighbour restarts, and early enough that slow
    answers are complete before SIGKILL. The listener stays open after idle connections are closed, because their
    clients come back at once.
    """
    deadline = min(longest_deadline_s, MAX_DEADLINE_S) + AFTER_DEADLINE_S
    drain_connections = max(0.0, deadline - response_time_s - LAST_REQUESTS_S)
    close_listener = min(max(NEW_CONNECTIONS_S, drain_connections + RECONNECT_S), deadline - LISTENER_CLOSE_S)
    return ShutdownSchedule(drain_connections, close_listener, min(COUNTED_FROM_S, deadline), deadline)
