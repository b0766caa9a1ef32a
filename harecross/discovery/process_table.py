"""The records of server processes, by the discovery that stated them. Free of I/O; times are passed in.

A node reads lists from one discovery at a time, and migrates to another address on SIGHUP. The new discovery may lag
behind the old one for some seconds, and versions of two addresses cannot be compared. So each record keeps the last
statement of the current source apart from the last statements of earlier sources. The state of a process is derived
from its statements whenever one of them changes:

| the current source states | an earlier source, while the current one may lag | the process is |
| --- | --- | --- |
| nothing, or the server is absent from a full list | anything | GONE |
| draining or gone | anything | that |
| in service | nothing, or in service, or of an older process | IN_SERVICE |
| in service | draining or gone, of this process or a later one | QUARANTINED |
| in service | in service, of a later process | IN_SERVICE, as that later process |

The statements of earlier sources are dropped together once the current source has caught up: at its first change or
heartbeat after both `may_lag_until` and `REPLAY_SETTLE_S`. A stream is in order, so all earlier changes have arrived by
then. Time alone ends nothing, because a silent discovery confirms nothing.

While the watch of an earlier source is open, its statements still count, and replace those that it made before.
A process is identified by its server's name and `startedAtMs`; a restart is a later process.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from enum import Enum
from math import inf
from typing import Any, NamedTuple

from harecross.discovery import wire_format
from harecross.discovery.wire_format import Entry, Lifecycle

REPLAY_SETTLE_S = 2.0  # after its first list a discovery may replay older changes for so long
MAX_TOMBSTONES = 8192  # two releases of the largest fleets
MAX_EARLIER_STATEMENTS = 4  # kept of one server


class ProcessState(Enum):
    """The state of a process by its record. The values are words of the log and of the attempt log."""

    IN_SERVICE = "in service"
    QUARANTINED = "held"  # listed as in service, but an earlier source stated that it drains or is gone
    DRAINING = "draining"
    GONE = "gone"


class TransitionCause(Enum):
    """Why a process changed its state. The values are words of the log and of the attempt log."""

    STATED = "said"  # by the current source
    STATED_BY_EARLIER_SOURCE = "said by an earlier discovery"
    ABSENT_FROM_FULL_LIST = "left out of a whole list"
    CAUGHT_UP = "caught up"


class DiscoverySource(NamedTuple):
    """One discovery, between two migrations or restarts of it."""

    address: str
    sequence: int  # later sources have higher numbers
    may_lag_until: float = -inf  # monotonic seconds; it may not have received all changes from before


class Statement(NamedTuple):
    """What one source stated last on one server."""

    lifecycle: Lifecycle
    source: DiscoverySource
    stated_at: float  # monotonic seconds
    version: object  # of the list or change
    started_ms: int  # when the process started, Unix milliseconds; 0 for long ago
    entry: Entry

    @property
    def is_leaving(self) -> bool:
        """Whether the process is to get nothing new."""
        return self.lifecycle is not Lifecycle.IN_SERVICE


class Transition(NamedTuple):
    """A process changed its state."""

    server: str
    before: ProcessState
    after: ProcessState
    cause: TransitionCause
    statement: Statement  # that decided the new state


class TableUpdate(NamedTuple):
    """The result of a list, change or heartbeat: the list or change to use, and the transitions."""

    update: dict[str, Any]
    transitions: list[Transition]


def no_update() -> TableUpdate:
    """Nothing to use and no transition."""
    return TableUpdate(wire_format.change([]), [])


STATE_OF_LIFECYCLE = {
    Lifecycle.IN_SERVICE: ProcessState.IN_SERVICE,
    Lifecycle.DRAINING: ProcessState.DRAINING,
    Lifecycle.GONE: ProcessState.GONE,
}


def restriction_rank(statement: Statement) -> tuple[bool, int]:
    """Orders statements: those of leaving processes above others, and then by the start of the process."""
    return (statement.is_leaving, statement.started_ms)


class ProcessTable:
    """The records of one node's servers."""

    def __init__(self, source: DiscoverySource) -> None:
        self.current_source = source
        self.current_statements: dict[str, Statement] = {}  # of the current source, by server
        # Of earlier sources, until the current one has caught up:
        self.earlier_statements: dict[str, dict[DiscoverySource, Statement]] = {}
        self.tombstones: dict[
            str, None
        ] = {}  # servers that the current source stated as gone, the oldest first
        self.catching_up = False
        self.caught_up_from = (
            -inf
        )  # the first change or heartbeat after this monotonic time ends the catching up

    # ---- what sources state -----------------------------------------------------------------------------

    def receive(self, now: float, source: DiscoverySource, update: Any, *, full: bool) -> TableUpdate:
        """Records a list or change; returns the one to use in its place. ValueError for what is neither.

        `full`: a server that it does not name is gone.
        """
        entries = wire_format.entries_of(update)
        if source.sequence < self.current_source.sequence:
            return self.receive_from_earlier(now, source, update, full=full or wire_format.is_reset(update))
        stated = self.statements_of(now, source, update)
        migrates = source.sequence > self.current_source.sequence
        affected = {**self.current_statements, **stated} if full or migrates else stated
        before = {name: self.state(name) for name in affected}
        if migrates:
            self.switch_source(now, source)
        self.record_all(now, stated, wire_format.generation_of(update), full=full)
        transitions = self.transitions_since(before, stated)
        used = [self.replacement_for(entry) for entry in entries]
        caught_up = self.finish_catching_up(now)
        instances = used + caught_up.update[wire_format.INSTANCES]
        return TableUpdate({**update, wire_format.INSTANCES: instances}, transitions + caught_up.transitions)

    def heartbeat(self, now: float, source: DiscoverySource) -> TableUpdate:
        """The source has stated that nothing has changed."""
        if source.sequence != self.current_source.sequence:
            return no_update()
        return self.finish_catching_up(now)

    def receive_from_earlier(
        self, now: float, source: DiscoverySource, update: Any, *, full: bool
    ) -> TableUpdate:
        """Records a list or change of an earlier source: a server that it states as leaving is taken out at once."""
        if not self.catching_up:
            return no_update()
        stated = self.statements_of(now, source, update)
        if full:
            stated.update(self.absent_from_earlier(now, source, stated))
        before = {
            name: (self.state(name), self.effective_entry(name))
            for name in stated
            if name in self.current_statements
        }
        for name, statement in stated.items():
            self.record_earlier(name, statement)
        used, transitions = [], []
        for name, (state, entry) in before.items():
            if self.state(name) is not state:
                transitions.append(self.transition(name, state, TransitionCause.STATED_BY_EARLIER_SOURCE))
            if self.effective_entry(name) != entry:
                used.append(self.effective_entry(name))
        return TableUpdate(wire_format.change(used), transitions)

    def absent_from_earlier(
        self, now: float, source: DiscoverySource, stated: Mapping[str, Statement]
    ) -> dict[str, Statement]:
        """The servers that an earlier source listed and that are absent from its new full list, as gone."""
        return {
            name: by_source[source]._replace(lifecycle=Lifecycle.GONE, stated_at=now)
            for name, by_source in self.earlier_statements.items()
            if name not in stated and source in by_source
        }

    def statements_of(self, now: float, source: DiscoverySource, update: Any) -> dict[str, Statement]:
        """The statements of a list or change, by server."""
        version = wire_format.generation_of(update)
        statements = {}
        for entry in wire_format.entries_of(update):
            name = wire_format.server_name(entry)
            if name is None:
                continue
            started_ms = wire_format.start_time_ms(entry)
            if wire_format.STARTED_AT_MS not in entry:
                # An entry that holds only a name and a state is about the process that is known.
                started_ms = max((s.started_ms for s in self.all_statements(name)), default=0)
            lifecycle = wire_format.lifecycle_of(entry)
            statements[name] = Statement(lifecycle, source, now, version, started_ms, entry)
        return statements

    # ---- records ----------------------------------------------------------------------------------------

    def record_all(self, now: float, stated: Mapping[str, Statement], version: object, *, full: bool) -> None:
        """Records the statements of one list or change of the current source."""
        for name, statement in stated.items():
            self.record(name, statement)
        if full:
            known = [*self.current_statements, *self.earlier_statements]
            for name in [name for name in known if name not in stated]:
                self.record_absent(name, now, version)

    def record(self, name: str, statement: Statement) -> None:
        """Records a statement of the current source."""
        self.current_statements[name] = statement
        self.tombstones.pop(name, None)
        if statement.lifecycle is Lifecycle.GONE:
            self.tombstones[name] = None
            while len(self.tombstones) > MAX_TOMBSTONES:
                oldest = next(iter(self.tombstones))
                del self.tombstones[oldest], self.current_statements[oldest]

    def record_absent(self, name: str, now: float, version: object) -> None:
        """Records that the server is absent from a full list of the current source."""
        last = max(self.all_statements(name), key=restriction_rank)
        if name not in self.current_statements or last.lifecycle is not Lifecycle.GONE:
            gone = Statement(Lifecycle.GONE, self.current_source, now, version, last.started_ms, last.entry)
            self.record(name, gone)

    def record_earlier(self, name: str, statement: Statement) -> None:
        """Records a statement of an earlier source; of many sources the most restrictive statements are kept."""
        by_source = self.earlier_statements.setdefault(name, {})
        by_source[statement.source] = statement
        while len(by_source) > MAX_EARLIER_STATEMENTS:
            del by_source[min(by_source, key=lambda source: restriction_rank(by_source[source]))]

    def switch_source(self, now: float, source: DiscoverySource) -> None:
        """Makes another source the current one; the statements before count until it has caught up."""
        for name, statement in self.current_statements.items():
            self.record_earlier(name, statement)
        self.current_statements, self.tombstones = {}, {}
        self.current_source = source
        self.catching_up = True
        self.caught_up_from = max(source.may_lag_until, now + REPLAY_SETTLE_S)

    def finish_catching_up(self, now: float) -> TableUpdate:
        """Drops the statements of earlier sources if the current one has caught up; returns the entries that change."""
        if not self.catching_up or now < self.caught_up_from:
            return no_update()
        overridden = {name: self.state(name) for name in self.earlier_statements if self.is_overridden(name)}
        self.catching_up = False
        self.earlier_statements = {}
        transitions = [
            self.transition(name, state, TransitionCause.CAUGHT_UP)
            for name, state in overridden.items()
            if state is ProcessState.QUARANTINED
        ]
        entries = [self.current_statements[name].entry for name in overridden]
        return TableUpdate(wire_format.change(entries), transitions)

    # ---- states and entries that follow from the records ------------------------------------------------

    def state(self, name: str) -> ProcessState:
        """The state of a server's process; GONE for an unknown server."""
        statement = self.current_statements.get(name)
        if statement is None:
            return ProcessState.GONE
        if statement.is_leaving:
            return STATE_OF_LIFECYCLE[statement.lifecycle]
        overriding = self.overriding_statement(name, statement)
        return ProcessState.IN_SERVICE if overriding is None else ProcessState.QUARANTINED

    def effective_entry(self, name: str) -> Entry:
        """The entry to use for a server on which the current source has made a statement."""
        statement = self.current_statements[name]
        earlier = self.earlier_statements.get(name)
        if earlier is None or statement.is_leaving:
            return statement.entry
        if self.overriding_statement(name, statement) is not None:
            return {**statement.entry, wire_format.LIFECYCLE: wire_format.TERMINATING}
        latest = statement
        for candidate in earlier.values():
            if candidate.started_ms > latest.started_ms:
                latest = candidate
        return latest.entry

    def is_overridden(self, name: str) -> bool:
        """Whether the entry in use is another one than that of the current source."""
        if name not in self.current_statements:
            return False
        return self.effective_entry(name) is not self.current_statements[name].entry

    def replacement_for(self, entry: Any) -> Any:
        """The entry to use in place of one that has just been recorded; what is no entry is returned as it is."""
        name = wire_format.server_name(entry)
        return entry if name is None or name not in self.current_statements else self.effective_entry(name)

    def quarantined(self) -> list[str]:
        """The servers that the current source lists as in service and that get nothing new."""
        return [name for name in self.earlier_statements if self.state(name) is ProcessState.QUARANTINED]

    def overriding_statement(self, name: str, statement: Statement) -> Statement | None:
        """An earlier source's statement that this process, or a later one of the server, drains or is gone."""
        earlier = self.earlier_statements.get(name)
        if earlier is not None:
            for candidate in earlier.values():
                if candidate.is_leaving and candidate.started_ms >= statement.started_ms:
                    return candidate
        return None

    def all_statements(self, name: str) -> Iterator[Statement]:
        """All statements on a server, the current source's first."""
        if name in self.current_statements:
            yield self.current_statements[name]
        yield from self.earlier_statements.get(name, {}).values()

    def transitions_since(
        self, before: Mapping[str, ProcessState], stated: Mapping[str, Statement]
    ) -> list[Transition]:
        """The transitions from the states `before`, caused by statements or by their absence from a full list."""
        return [
            self.transition(
                name,
                state,
                TransitionCause.STATED if name in stated else TransitionCause.ABSENT_FROM_FULL_LIST,
            )
            for name, state in before.items()
            if name in self.current_statements and self.state(name) is not state
        ]

    def transition(self, name: str, before: ProcessState, cause: TransitionCause) -> Transition:
        """The transition of a server from a state to its present one."""
        statement = self.current_statements[name]
        after = self.state(name)
        if after is ProcessState.QUARANTINED:
            statement = self.overriding_statement(name, statement) or statement
        return Transition(name, before, after, cause, statement)
