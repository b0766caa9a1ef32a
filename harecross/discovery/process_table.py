"""Which server processes may get new work, by whose word: free of I/O, times are handed in.

A node hears of servers from one discovery at a time, and moves to another address on SIGHUP. The new one may be behind
the old one for some seconds, and versions of two addresses cannot be compared. So each record keeps apart what the
present discovery said last and what earlier ones said last, and nothing is decided ahead of time: what a record amounts
to is worked out from its statements whenever one of them changes.

| the present discovery said | an earlier one, while the present one may be behind | the process is |
| --- | --- | --- |
| nothing, or it left the server out of a whole list | anything | GONE |
| draining or gone | anything | that |
| in service | nothing, or in service, or of an older process | IN_SERVICE |
| in service | draining or gone, of this process or a later one | HELD |
| in service | in service, of a later process | IN_SERVICE, as that later process |

What earlier discoveries said is dropped as a whole once the present one has caught up: with its first word (a change,
or that there is none) after `behind_until` and `FIRST_LIST_SETTLES`. A stream brings words in order, so what it had to
say before has come by then. Time alone ends nothing: a discovery that is silent confirms nothing.

A word of an earlier discovery still counts while its watch is open: it replaces what the same discovery said before.
A process is known by its server's name and `startedAtMs`; a restart is a later process.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from enum import Enum
from math import inf
from typing import Any, NamedTuple

FIRST_LIST_SETTLES = 2.0  # seconds after its first list in which a discovery may still replay older changes
TOMBSTONES_MOST = 8192  # servers remembered as gone: a release of the largest fleets twice over
CARRIED_MOST = 4  # statements of earlier discoveries kept of one server, the most binding ones

Item = Mapping[str, Any]  # one entry of a list, in discovery's form


class Lifecycle(Enum):
    """What a discovery says of a server process."""

    IN_SERVICE = "in service"
    DRAINING = "draining"  # or a state never heard of: nothing new is sent
    GONE = "gone"


class ProcessState(Enum):
    """What a record amounts to."""

    IN_SERVICE = "in service"
    HELD = "held"  # the present discovery may not have heard yet that it leaves
    DRAINING = "draining"
    GONE = "gone"


class TransitionCause(Enum):
    """Why a record's state changed."""

    SAID = "said"  # the present discovery's word
    SAID_BEFORE = "said by an earlier discovery"
    OMITTED = "left out of a whole list"
    CAUGHT_UP = "caught up"


class Source(NamedTuple):
    """One discovery, as of one configuration or one life of it."""

    address: str
    number: int  # later ones have higher numbers
    behind_until: float = -inf  # it may not have heard all before then: monotonic seconds


class Statement(NamedTuple):
    """The last thing that one discovery said of one server."""

    lifecycle: Lifecycle
    source: Source
    at: float  # monotonic seconds
    version: object  # of the list or change it came with
    started: int  # of the process, Unix milliseconds; 0 for long ago
    item: Item

    @property
    def leaves(self) -> bool:
        return self.lifecycle is not Lifecycle.IN_SERVICE


class Transition(NamedTuple):
    """A server's state changed: one line of the log."""

    name: str
    before: ProcessState
    after: ProcessState
    cause: TransitionCause
    statement: Statement  # what decided it


class TableUpdate(NamedTuple):
    """What a word comes to: the list or change to use, and what changed by it."""

    update: dict[str, Any]
    transitions: list[Transition]


LIFECYCLES = {
    "in_service": Lifecycle.IN_SERVICE,
    "terminating": Lifecycle.DRAINING,
    "terminated": Lifecycle.GONE,
}
AS_STATE = {
    Lifecycle.IN_SERVICE: ProcessState.IN_SERVICE,
    Lifecycle.DRAINING: ProcessState.DRAINING,
    Lifecycle.GONE: ProcessState.GONE,
}


def server_name(item: object) -> str | None:
    """The server that an entry is about; None for what is no entry."""
    if not isinstance(item, dict) or "instanceId" not in item:
        return None
    return str(item["instanceId"])


def started_at(item: Item) -> int:
    """When the process started, in Unix milliseconds; 0 where that cannot be read."""
    try:
        return int(item.get("startedAtMs") or 0)
    except (TypeError, ValueError, OverflowError):
        return 0


def lifecycle_of(item: Item) -> Lifecycle:
    """A state never heard of counts as draining."""
    told = item.get("lifecycle")
    return LIFECYCLES.get(told, Lifecycle.DRAINING) if isinstance(told, str) else Lifecycle.DRAINING


def instances_of(update: Any) -> list[Any]:
    """The entries of a list or change. ValueError for what is neither."""
    found = update.get("instances") if isinstance(update, dict) else None
    if not isinstance(found, list):
        raise ValueError("no list of servers")
    return found


def binding_rank(statement: Statement) -> tuple[bool, int]:
    """Which of two statements of earlier discoveries says more: one that a later process leaves."""
    return (statement.leaves, statement.started)


class ProcessTable:
    """The records of one node's servers."""

    def __init__(self, source: Source) -> None:
        self.present = source
        self.words: dict[str, Statement] = {}  # by server, of the present discovery
        self.carried: dict[str, dict[Source, Statement]] = {}  # of earlier ones, until it has caught up
        self.tombstones: dict[str, None] = {}  # servers whose last word is GONE, the oldest first
        self.catching_up = False
        self.caught_up_after = -inf  # the first word after this monotonic time ends it

    # ---- what is said -----------------------------------------------------------------------------------

    def receive(self, now: float, source: Source, update: Any, whole: bool) -> TableUpdate:
        """A list or change, and what is to be used in its place. ValueError for what is neither.

        `whole`: a server that it does not name is gone.
        """
        instances = instances_of(update)
        if source.number < self.present.number:
            return self.receive_from_earlier(now, source, update, whole or bool(update.get("reset")))
        said = self.statements(now, source, update)
        moves = source.number > self.present.number
        affected = {**self.words, **said} if whole or moves else said
        before = {name: self.state(name) for name in affected}
        if moves:
            self.hand_over(now, source)
        for name, statement in said.items():
            self.put(name, statement)
        if whole:
            for name in [n for n in (*self.words, *self.carried) if n not in said]:
                self.omit(name, now, update.get("generation"))
        transitions = [
            self.transition(name, was, TransitionCause.SAID if name in said else TransitionCause.OMITTED)
            for name, was in before.items()
            if name in self.words and self.state(name) is not was
        ]
        used = [self.entry_for(item) for item in instances]
        settled = self.settle(now)
        return TableUpdate(
            {**update, "instances": used + settled.update["instances"]}, transitions + settled.transitions
        )

    def spoke(self, now: float, source: Source) -> TableUpdate:
        """A word without news: the watch is alive, and nothing is new."""
        return (
            self.settle(now) if source.number == self.present.number else TableUpdate({"instances": []}, [])
        )

    def receive_from_earlier(self, now: float, source: Source, update: Any, whole: bool) -> TableUpdate:
        """What the old discovery still says: that a server leaves counts at once."""
        if not self.catching_up:
            return TableUpdate({"instances": []}, [])
        said = self.statements(now, source, update)
        if whole:
            for name, by_source in self.carried.items():
                if name not in said and source in by_source:
                    said[name] = by_source[source]._replace(lifecycle=Lifecycle.GONE, at=now)
        before = {name: (self.state(name), self.entry(name)) for name in said if name in self.words}
        for name, statement in said.items():
            self.carry(name, statement)
        used, transitions = [], []
        for name, (state, entry) in before.items():
            if self.state(name) is not state:
                transitions.append(self.transition(name, state, TransitionCause.SAID_BEFORE))
            if self.entry(name) != entry:
                used.append(self.entry(name))
        return TableUpdate({"instances": used}, transitions)

    def statements(self, now: float, source: Source, update: Any) -> dict[str, Statement]:
        """What a list or change says, by server."""
        version = update.get("generation")
        said = {}
        for item in update["instances"]:
            name = server_name(item)
            if name is None:
                continue
            started = started_at(item)
            if "startedAtMs" not in item:
                # Guards against: a line that a server leaves, with nothing but its name, is taken for another process.
                started = max((s.started for s in self.known_of(name)), default=0)
            said[name] = Statement(lifecycle_of(item), source, now, version, started, item)
        return said

    # ---- records ----------------------------------------------------------------------------------------

    def put(self, name: str, statement: Statement) -> None:
        """The present discovery's word."""
        self.words[name] = statement
        self.tombstones.pop(name, None)
        if statement.lifecycle is Lifecycle.GONE:
            self.tombstones[name] = None
            while len(self.tombstones) > TOMBSTONES_MOST:
                oldest = next(iter(self.tombstones))
                del self.tombstones[oldest], self.words[oldest]

    def omit(self, name: str, now: float, version: object) -> None:
        """A whole list of the present discovery does not name the server."""
        last = max(self.known_of(name), key=binding_rank)
        if name not in self.words or last.lifecycle is not Lifecycle.GONE:
            self.put(name, Statement(Lifecycle.GONE, self.present, now, version, last.started, last.item))

    def carry(self, name: str, statement: Statement) -> None:
        """An earlier discovery's word.

        Guards against: a long series of moves piles up a statement of each discovery.
        """
        by_source = self.carried.setdefault(name, {})
        by_source[statement.source] = statement
        while len(by_source) > CARRIED_MOST:
            del by_source[min(by_source, key=lambda source: binding_rank(by_source[source]))]

    def hand_over(self, now: float, source: Source) -> None:
        """Another discovery is the present one: what was said before it counts until it has caught up."""
        for name, word in self.words.items():
            self.carry(name, word)
        self.words, self.tombstones = {}, {}
        self.present = source
        self.catching_up = True
        self.caught_up_after = max(source.behind_until, now + FIRST_LIST_SETTLES)

    def settle(self, now: float) -> TableUpdate:
        """Drops what earlier discoveries said, if the present one has caught up; the entries to use by it."""
        if not self.catching_up or now < self.caught_up_after:
            return TableUpdate({"instances": []}, [])
        held = {name: self.state(name) for name in self.carried if self.differs(name)}
        self.catching_up = False
        self.carried = {}
        transitions = [
            self.transition(name, state, TransitionCause.CAUGHT_UP)
            for name, state in held.items()
            if state is ProcessState.HELD
        ]
        return TableUpdate({"instances": [self.words[name].item for name in held]}, transitions)

    # ---- what records amount to -------------------------------------------------------------------------

    def state(self, name: str) -> ProcessState:
        """Of a server never heard of: GONE."""
        word = self.words.get(name)
        if word is None:
            return ProcessState.GONE
        if word.lifecycle is not Lifecycle.IN_SERVICE:
            return AS_STATE[word.lifecycle]
        return ProcessState.IN_SERVICE if self.objection(name, word) is None else ProcessState.HELD

    def entry(self, name: str) -> Item:
        """The entry to use of a server of which the present discovery has said something: its own, if it decides."""
        word = self.words[name]
        earlier = self.carried.get(name)
        if earlier is None or word.lifecycle is not Lifecycle.IN_SERVICE:
            return word.item
        if self.objection(name, word) is not None:
            return {**word.item, "lifecycle": "terminating"}
        latest = word
        for statement in earlier.values():
            if statement.started > latest.started:
                latest = statement
        return latest.item

    def differs(self, name: str) -> bool:
        """Whether something else than the present discovery's own entry is used of a server."""
        return name in self.words and self.entry(name) is not self.words[name].item

    def entry_for(self, item: Any) -> Any:
        """The entry to use in the place of one that has just been put; what is no entry stays as it is."""
        name = server_name(item)
        return item if name is None or name not in self.words else self.entry(name)

    def held(self) -> list[str]:
        """The servers that the present discovery lists as in service and that get nothing new all the same."""
        return [name for name in self.carried if self.state(name) is ProcessState.HELD]

    def objection(self, name: str, word: Statement) -> Statement | None:
        """An earlier discovery's word that this process, or a later one of the server, leaves."""
        earlier = self.carried.get(name)
        if earlier is not None:
            for statement in earlier.values():
                if statement.lifecycle is not Lifecycle.IN_SERVICE and statement.started >= word.started:
                    return statement
        return None

    def known_of(self, name: str) -> Iterator[Statement]:
        """All that stands in the records of a server."""
        if name in self.words:
            yield self.words[name]
        yield from self.carried.get(name, {}).values()

    def transition(self, name: str, before: ProcessState, cause: TransitionCause) -> Transition:
        word = self.words[name]
        after = self.state(name)
        decided = self.objection(name, word) if after is ProcessState.HELD else None
        return Transition(name, before, after, cause, decided or word)
