"""Servers that the complete list of an earlier discovery lacked. The caller passes all times.

What a complete list does not name is gone. A process that has just started knows of such a server only by that absence:
no list has named the server to it. After a migration, a discovery that lags may still list the server, and so do its
replayed changes. A server that has just joined is also new to the process, so the start of its process decides:

| the server, which no earlier source has named | verdict |
| --- | --- |
| started long before the complete list without it | it has left: an absence is inferred |
| started so late that the complete list may not have had it yet | it has joined |

Nothing is inferred if the new source's first list names no server that an earlier source has named: such lists are of
different fleets.

An absence is a statement that the process is gone, made by the source of that list. It ends with the time that the new
source has to catch up, or once that source has itself stated that the server leaves: what it states afterwards is news.
"""

from __future__ import annotations

from math import inf

from harecross.discovery.statements import DiscoverySource, Statement
from harecross.discovery.wire_format import Lifecycle

# How long after the start of its process a server may still be missing in a list: until it serves, and by as much as
# the list may run behind.
MAX_LISTING_DELAY_S = 15.0


class CompleteList:
    """A source's list at the last time at which it was confirmed as complete.

    Attributes:
        source: The source of the list.
        version: The version of the list.
        confirmed_at: The time in monotonic seconds.
    """

    __slots__ = ("confirmed_at", "source", "version")

    def __init__(self, source: DiscoverySource, version: object, confirmed_at: float) -> None:
        self.source = source
        self.version = version
        self.confirmed_at = confirmed_at


class Absences:
    """The absences that count while the current source may lag behind an earlier one.

    Attributes:
        unix_offset_s: Unix time minus monotonic time, in seconds.
        current: The current source's list; None before its first list or heartbeat.
        earlier: The list of the source before, by which absences are inferred; None if none are.
        counted_until: Absences end at the first change or heartbeat from this monotonic time on.
        statements: The inferred statements by server.
    """

    def __init__(self, unix_offset_s: float) -> None:
        self.unix_offset_s = unix_offset_s
        self.current: CompleteList | None = None
        self.earlier: CompleteList | None = None
        self.counted_until = -inf
        self.statements: dict[str, Statement] = {}

    def list_confirmed(self, source: DiscoverySource, version: object, now: float) -> None:
        """Records that the current source's list is complete; `version` is None if it has not changed."""
        if version is None and self.current is not None:
            version = self.current.version
        self.current = CompleteList(source, version, now)

    def source_switched(self, counted_until: float) -> None:
        """Begins to infer absences from the list of the source that was current until now."""
        self.earlier = self.current
        self.current = None
        self.counted_until = max(self.counted_until, counted_until)

    def infer(self, name: str, statement: Statement) -> None:
        """Infers the absence of a server that is new to this process, unless it may have just joined."""
        if self.earlier is None or statement.is_leaving:
            return
        confirmed_at = self.earlier.confirmed_at
        listed_if_started_by_s = confirmed_at + self.unix_offset_s - MAX_LISTING_DELAY_S
        if statement.started_ms <= max(0.0, listed_if_started_by_s * 1000):
            self.statements[name] = statement._replace(
                lifecycle=Lifecycle.GONE,
                source=self.earlier.source,
                version=self.earlier.version,
                stated_at=confirmed_at,
            )

    def revoke(self, name: str, source: DiscoverySource | None = None) -> None:
        """Ends the absence of a server; with `source`, only if it was inferred from a list of that source."""
        absence = self.statements.get(name)
        if absence is not None and source in (None, absence.source):
            del self.statements[name]

    def have_ended(self, now: float) -> bool:
        """Returns whether the time for which absences count is over."""
        return self.earlier is not None and now >= self.counted_until

    def clear(self) -> None:
        """Ends all absences."""
        self.statements.clear()
        self.earlier = None
