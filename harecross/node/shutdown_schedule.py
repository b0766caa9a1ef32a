"""When a node that was told to stop leaves its callers and what it must still answer: free of I/O.

Times are seconds after SIGTERM (PROTOCOL, "Figures"): new connections come for up to 0.4, and SIGKILL comes no sooner
than the longest deadline, of which 3 s count at most, and 0.7 more. A request that came in the first 0.7 and finds
SIGKILL is not lost; one that came later is.
"""

from __future__ import annotations

from dataclasses import dataclass

KILL_MOST = 3.0  # of the longest deadline, so much counts
BEFORE_KILL = 0.5  # after that deadline; the process is killed 0.7 after it
COME_BACK = 0.05  # clients whose idle connection was closed connect again within this time
STILL_COMING = 0.6  # connections come for 0.4
COUNTED = 0.6  # what comes later is lost if SIGKILL finds it unanswered; 0.7, less what clocks may differ by
CLOSE_TAKES = 0.05  # what has come by the time of the close has still to be taken
LAST_REQUESTS = 0.2  # for requests on connections that came last


@dataclass(frozen=True, slots=True)
class Stopping:
    """`leave` < `close` < `end`, and `counted` <= `end`."""

    leave: float  # from now on connections end with their answers, and idle ones at once
    close: float  # no connection is taken any more
    counted: float  # what comes from now on...
    end: float  # ...has its answer by now


def stopping(longest: float, usual: float) -> Stopping:
    """The times for the longest deadline, and for the time within which nearly every request is answered.

    Failure prevented: where answers take longer than is left, requests that come while others take over are killed
    half way. And a node that leaves at once where answers are quick is out, while its neighbour restarts too.
    Where idle connections and the listener are closed in the same moment, clients that come back at once are not taken.
    """
    end = min(longest, KILL_MOST) + BEFORE_KILL
    leave = max(0.0, end - usual - LAST_REQUESTS)
    close = min(max(STILL_COMING, leave + COME_BACK), end - CLOSE_TAKES)
    return Stopping(leave, close, min(COUNTED, end), end)
