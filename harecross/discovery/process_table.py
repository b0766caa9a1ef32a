"""The process table: what each discovery has stated about server processes. The caller passes all times.

A node reads lists from one discovery at a time, and migrates to another address on SIGHUP. The new discovery may lag
behind the old one for some seconds, and versions of two addresses cannot be compared. Each record therefore keeps the
last statement of the current source separate from the last statements of earlier sources. The state of a process is
derived from its statements whenever one of them changes:

| statement of the current source | statement of an earlier source, while the current one may lag | state |
| --- | --- | --- |
| none, or the server is absent from a full list | any | GONE |
| draining or gone | any | as the current source states |
| in service | none, in service, or about an older process | IN_SERVICE |
| in service | none, but its complete list lacked the server (see `discovery/absences.py`) | QUARANTINED |
| in service | draining or gone, about this process or a later one | QUARANTINED |
| in service | in service, about a later process | IN_SERVICE, as the later process |

All statements of earlier sources are dropped once the current source has caught up: at its first change or heartbeat
after both `may_lag_until` and `REPLAY_SETTLE_S`. A stream preserves order, so all earlier changes have arrived by then.
Absences from its list count until `absences_count_until`, if that is later.
Elapsed time alone does not end a quarantine, because a silent discovery confirms nothing.

While the watch of an earlier source is open, its statements still count, and replace those that it made earlier.
A process is identified by its server's name and `startedAtMs`; a restart is a later process.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from enum import Enum
from math import inf
from typing import Any, NamedTuple

from harecross.discovery import wire_format
from harecross.discovery.absences import Absences
from harecross.discovery.statements import DiscoverySource, Statement
from harecross.discovery.wire_format import Entry, Lifecycle

REPLAY_SETTLE_S = 2.0  # how long a discovery may replay older changes after its first list
MAX_TOMBSTONES = 8192  # enough for two releases of the largest fleets
MAX_EARLIER_STATEMENTS = 4  # statements of earlier sources kept per server


class ProcessState(Enum):
    """The state of a process, derived from its statements. The values appear in the log and the attempt log."""

    IN_SERVICE = "in service"
    QUARANTINED = "held"  # listed as in service, but an earlier source stated that it drains or is gone
    DRAINING = "draining"
    GONE = "gone"


class TransitionCause(Enum):
    """Why a process changed its state. The values appear in the log and the attempt log."""

    STATED = "said"  # stated by the current source
    STATED_BY_EARLIER_SOURCE = "said by an earlier discovery"
    ABSENT_FROM_FULL_LIST = "left out of a whole list"
    CAUGHT_UP = "caught up"


class Transition(NamedTuple):
    """A state change of a process; `statement` is the statement that determined the new state."""

    server: str
    before: ProcessState
    after: ProcessState
    cause: TransitionCause
    statement: Statement


class TableUpdate(NamedTuple):
    """The result of a list, change or heartbeat: the list or change to apply, and the transitions."""

    update: dict[str, Any]
    transitions: list[Transition]


def no_update() -> TableUpdate:
    """Returns an update without entries and transitions."""
    return TableUpdate(wire_format.change([]), [])


STATE_OF_LIFECYCLE = {
    Lifecycle.IN_SERVICE: ProcessState.IN_SERVICE,
    Lifecycle.DRAINING: ProcessState.DRAINING,
    Lifecycle.GONE: ProcessState.GONE,
}


def restriction_rank(statement: Statement) -> tuple[bool, int]:
    """Sort key for statements: leaving processes rank higher, then processes that started later."""
    return (statement.is_leaving, statement.started_ms)


class ProcessTable:
    """The process records of the servers that one node knows.

    Attributes:
        current_source: The discovery that lists are currently read from.
        current_statements: The current source's last statement about each server.
        earlier_statements: Earlier sources' last statements by server, until the current source has caught up.
        tombstones: Servers that the current source stated as gone, the oldest first.
        catching_up: Whether the current source may still lag behind an earlier one.
        caught_up_from: The current source has caught up at its first change or heartbeat from this monotonic time on.
        absences: Servers that the complete list of an earlier source lacked.
    """

    def __init__(self, source: DiscoverySource, unix_offset_s: float = 0.0) -> None:
        """`unix_offset_s` is Unix time minus monotonic time, in seconds."""
        self.current_source = source
        self.current_statements: dict[str, Statement] = {}
        self.earlier_statements: dict[str, dict[DiscoverySource, Statement]] = {}
        self.tombstones: dict[str, None] = {}
        self.catching_up = False
        self.caught_up_from = -inf
        self.absences = Absences(unix_offset_s)

    def receive(
        self, now: float, source: DiscoverySource, update: Any, *, full: bool, configured: bool = False
    ) -> TableUpdate:
        """Records a list or change; returns the one to apply in its place. Raises ValueError if it is neither.

        `full`: servers that it does not name are gone, as with a list that says so itself. `configured`: it is a list
        from before this process started, which may be old.
        """
        entries = wire_format.entries_of(update)
        full = full or wire_format.is_reset(update)
        if source.sequence < self.current_source.sequence:
            return self.receive_from_earlier(now, source, update, full=full)
        stated = self.statements_of(now, source, update)
        migrates = source.sequence > self.current_source.sequence
        affected = {**self.current_statements, **stated} if full or migrates else stated
        before = {name: self.state(name) for name in affected}
        if migrates:
            self.switch_source(now, source)
        self.record_all(now, stated, wire_format.generation_of(update), full=full)
        if migrates and not any(name in self.earlier_statements for name in stated):
            self.absences.clear()
        if not configured:
            self.absences.list_confirmed(source, wire_format.generation_of(update), now)
        transitions = self.transitions_since(before, stated)
        used = [self.replacement_for(entry) for entry in entries]
        caught_up = self.finish_catching_up(now)
        instances = used + caught_up.update[wire_format.INSTANCES]
        return TableUpdate({**update, wire_format.INSTANCES: instances}, transitions + caught_up.transitions)

    def heartbeat(self, now: float, source: DiscoverySource) -> TableUpdate:
        """Handles a heartbeat, by which the source states that nothing has changed."""
        if source.sequence != self.current_source.sequence:
            return no_update()
        self.absences.list_confirmed(source, None, now)
        return self.finish_catching_up(now)

    def receive_from_earlier(
        self, now: float, source: DiscoverySource, update: Any, *, full: bool
    ) -> TableUpdate:
        """Records an update of an earlier source; servers that it states as leaving are taken out of service."""
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
            if not statement.is_leaving:
                self.absences.revoke(name, source)
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
        """Returns GONE statements for servers that an earlier source listed but omits from its new full list."""
        return {
            name: by_source[source]._replace(lifecycle=Lifecycle.GONE, stated_at=now)
            for name, by_source in self.earlier_statements.items()
            if name not in stated and source in by_source
        }

    def statements_of(self, now: float, source: DiscoverySource, update: Any) -> dict[str, Statement]:
        """Returns the statements in a list or change, by server."""
        version = wire_format.generation_of(update)
        statements = {}
        for entry in wire_format.entries_of(update):
            name = wire_format.server_name(entry)
            if name is None:
                continue
            started_ms = wire_format.start_time_ms(entry)
            if wire_format.STARTED_AT_MS not in entry:
                # An entry without a start time refers to the process that is already known.
                started_ms = max((s.started_ms for s in self.all_statements(name)), default=0)
            lifecycle = wire_format.lifecycle_of(entry)
            statements[name] = Statement(lifecycle, source, now, version, started_ms, entry)
        return statements

    def record_all(self, now: float, stated: Mapping[str, Statement], version: object, *, full: bool) -> None:
        """Records the statements in one list or change of the current source."""
        for name, statement in stated.items():
            self.record(name, statement)
        if full:
            known = [*self.current_statements, *self.earlier_statements]
            for name in [name for name in known if name not in stated]:
                self.record_absent(name, now, version)

    def record(self, name: str, statement: Statement) -> None:
        """Records a statement of the current source."""
        if statement.is_leaving:
            self.absences.revoke(name)
        elif name not in self.current_statements and name not in self.earlier_statements:
            self.absences.infer(name, statement)
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
        """Records a statement of an earlier source; keeps the most restrictive ones if there are too many."""
        by_source = self.earlier_statements.setdefault(name, {})
        by_source[statement.source] = statement
        while len(by_source) > MAX_EARLIER_STATEMENTS:
            del by_source[min(by_source, key=lambda source: restriction_rank(by_source[source]))]

    def switch_source(self, now: float, source: DiscoverySource) -> None:
        """Makes another source the current one; the previous statements count until it has caught up."""
        for name, statement in self.current_statements.items():
            self.record_earlier(name, statement)
        self.current_statements, self.tombstones = {}, {}
        self.current_source = source
        self.catching_up = True
        self.caught_up_from = max(source.may_lag_until, now + REPLAY_SETTLE_S)
        self.absences.source_switched(max(source.absences_count_until, self.caught_up_from))

    def finish_catching_up(self, now: float) -> TableUpdate:
        """Drops what earlier sources stated if the current one has caught up; returns the entries that change."""
        drops_statements = self.catching_up and now >= self.caught_up_from
        drops_absences = self.absences.have_ended(now)
        if not (drops_statements or drops_absences):
            return no_update()
        known_to_earlier = {*self.earlier_statements, *self.absences.statements}
        overridden = {name: self.state(name) for name in known_to_earlier if self.is_overridden(name)}
        if drops_statements:
            self.catching_up = False
            self.earlier_statements = {}
        if drops_absences:
            self.absences.clear()
        released = {name: state for name, state in overridden.items() if not self.is_overridden(name)}
        transitions = [
            self.transition(name, state, TransitionCause.CAUGHT_UP)
            for name, state in released.items()
            if state is ProcessState.QUARANTINED
        ]
        entries = [self.current_statements[name].entry for name in released]
        return TableUpdate(wire_format.change(entries), transitions)

    def state(self, name: str) -> ProcessState:
        """Returns the state of a server's process; GONE for an unknown server."""
        statement = self.current_statements.get(name)
        if statement is None:
            return ProcessState.GONE
        if statement.is_leaving:
            return STATE_OF_LIFECYCLE[statement.lifecycle]
        overriding = self.overriding_statement(name, statement)
        return ProcessState.IN_SERVICE if overriding is None else ProcessState.QUARANTINED

    def effective_entry(self, name: str) -> Entry:
        """Returns the entry to apply for a server that the current source has made a statement about."""
        statement = self.current_statements[name]
        if statement.is_leaving:
            return statement.entry
        if self.overriding_statement(name, statement) is not None:
            return {**statement.entry, wire_format.LIFECYCLE: wire_format.TERMINATING}
        latest = statement
        for candidate in self.earlier_statements.get(name, {}).values():
            if candidate.started_ms > latest.started_ms:
                latest = candidate
        return latest.entry

    def entries_in_use(self) -> list[Entry]:
        """Returns the entry to apply for each server that the current source lists."""
        listed = [
            name for name, each in self.current_statements.items() if each.lifecycle is not Lifecycle.GONE
        ]
        return [self.effective_entry(name) for name in listed]

    def is_overridden(self, name: str) -> bool:
        """Whether the entry in use differs from the current source's entry."""
        if name not in self.current_statements:
            return False
        return self.effective_entry(name) is not self.current_statements[name].entry

    def replacement_for(self, entry: Any) -> Any:
        """Returns the entry to apply in place of a recorded one; a malformed entry is returned unchanged."""
        name = wire_format.server_name(entry)
        return entry if name is None or name not in self.current_statements else self.effective_entry(name)

    def quarantined(self) -> list[str]:
        """Returns the servers that are quarantined although the current source lists them as in service."""
        known_to_earlier = {*self.earlier_statements, *self.absences.statements}
        return [name for name in known_to_earlier if self.state(name) is ProcessState.QUARANTINED]

    def overriding_statement(self, name: str, statement: Statement) -> Statement | None:
        """Returns an earlier source's statement that this or a later process of the server is draining or gone."""
        for candidate in self.earlier_statements.get(name, {}).values():
            if candidate.is_leaving and candidate.started_ms >= statement.started_ms:
                return candidate
        absence = self.absences.statements.get(name)
        return absence if absence is not None and absence.started_ms >= statement.started_ms else None

    def all_statements(self, name: str) -> Iterator[Statement]:
        """Yields all statements about a server, the current source's first."""
        if name in self.current_statements:
            yield self.current_statements[name]
        yield from self.earlier_statements.get(name, {}).values()

    def transitions_since(
        self, before: Mapping[str, ProcessState], stated: Mapping[str, Statement]
    ) -> list[Transition]:
        """Returns the transitions from the states `before`, caused by statements or by absence from a full list."""
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
        """Builds the transition of a server from `before` to its current state."""
        statement = self.current_statements[name]
        after = self.state(name)
        if after is ProcessState.QUARANTINED:
            statement = self.overriding_statement(name, statement) or statement
        return Transition(name, before, after, cause, statement)
