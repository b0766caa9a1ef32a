"""What discoveries state about server processes: the sources of statements, and the statements themselves."""

from __future__ import annotations

from math import inf
from typing import NamedTuple

from harecross.discovery.wire_format import Entry, Lifecycle


class DiscoverySource(NamedTuple):
    """One discovery between two migrations or restarts.

    Attributes:
        address: The discovery's host and port.
        sequence: Increases from one source to the next.
        may_lag_until: Until when the source may lack changes from before the migration, in monotonic seconds.
        absences_count_until: Until when servers that the complete list of the source before lacked are taken as gone,
            in monotonic seconds; at least until the source has caught up.
    """

    address: str
    sequence: int
    may_lag_until: float = -inf
    absences_count_until: float = -inf


class Statement(NamedTuple):
    """The last statement of one source about one server.

    Attributes:
        lifecycle: The stated lifecycle.
        source: The discovery that made the statement.
        stated_at: When the statement was received, in monotonic seconds.
        version: The version of the list or change that held it.
        started_ms: When the process started, in Unix milliseconds; 0 for a process past its slow start.
        entry: The entry as received.
    """

    lifecycle: Lifecycle
    source: DiscoverySource
    stated_at: float
    version: object
    started_ms: int
    entry: Entry

    @property
    def is_leaving(self) -> bool:
        """Whether the process must not receive new requests."""
        return self.lifecycle is not Lifecycle.IN_SERVICE
