"""The list of servers as the module and the connections are told it."""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import Any, NamedTuple, Protocol

from harecross.discovery.start_times import LONG_AGO, StartTimes
from harecross.dispatch.dispatcher import RequestDispatcher
from harecross.interface import Endpoint, EndpointState, EndpointUpdateKind
from harecross.platform.clock import monotonic_us
from harecross.platform.log import log_line
from harecross.upstream.connection_pool import ConnectionPool

STATES = {
    "in_service": EndpointState.READY,
    "terminating": EndpointState.DRAINING,
    "terminated": EndpointState.GONE,
}
COLD_MOST = 60_000_000  # microseconds after which a server put back is warm anywhere


class NameIndex:
    """Positions of names: those in the settings keep theirs, others get one for as long as it is in use."""

    def __init__(self, names: Sequence[str]) -> None:
        self.fixed = {name: i for i, name in enumerate(names)}
        self.others: dict[str, int] = {}
        self.last = len(names)

    def place(self, name: str) -> int:
        if name in self.fixed:
            return self.fixed[name]
        if name not in self.others:
            self.others[name] = self.last
            self.last += 1
        return self.others[name]

    def keep(self, used: set[int]) -> None:
        self.others = {name: at for name, at in self.others.items() if at in used}


class ListedEndpoint(NamedTuple):
    """What discovery says of a server in service."""

    entry: Endpoint
    address: str
    started: int  # Unix time in milliseconds


class EndpointListConsumer(Protocol):
    """Who is told what a watch brings: the directory itself, or what stands between where there are more sources."""

    def apply(self, update: Any, cached: bool = False, full: bool = False) -> None:
        """One list or change. ValueError if it is none."""

    def reached(self, good: bool) -> None:
        """The watch has just spoken, or its connection has ended or come to nothing."""


class EndpointRegistry:
    """Makes lists of discovery into the module's entries, and tells the connections of them.

    A server that operators hold out is DRAINING to the module, whatever discovery says of it.
    """

    def __init__(
        self, host: RequestDispatcher, servers: ConnectionPool, zones: Sequence[str], kinds: Sequence[str]
    ) -> None:
        self.dispatcher = host
        self.pool = servers
        self.zones = NameIndex(zones)
        self.kinds = NameIndex(kinds)
        self.numbers: dict[str, int] = {}
        self.last = 0
        self.listed: dict[int, Endpoint] = {}  # in service, as last told
        self.draining: set[str] = set()  # names that discovery lists as such
        self.out: dict[str, ListedEndpoint | None] = {}  # held out: what discovery says of them meanwhile
        self.back: dict[str, int] = {}  # when they were put back
        self.owners: dict[str, int] = {}  # who listens at an address
        self.weighted = False  # the platform's weights are nominal, and the module measures speeds itself
        self.resolve: Callable[[str], str] = str  # from a name that operators use to the one that lists use
        self.heard: Callable[[Any, bool, bool], None] | None = (
            None  # each update, whether full, whether cached
        )
        self.start_times = StartTimes(time.time_ns() // 1000 - monotonic_us())

    def reached(self, good: bool) -> None:
        """The only source there is: its last list holds however old it is."""

    def number(self, name: str) -> int:
        """The server's number: the same for as long as it is listed or anything is out on it."""
        number = self.numbers.get(name)
        if number is None:
            self.last += 1
            number = self.numbers[name] = self.last
        return number

    def apply(self, update: Any, cached: bool = False, full: bool = False) -> None:
        """One list or change. ValueError if it is none; a bad entry is logged and left out."""
        if not isinstance(update, dict) or not isinstance(update.get("instances"), list):
            raise ValueError("no list of servers")
        full = full or cached or bool(update.get("reset"))
        trace = self.dispatcher.tracer
        before = set(self.listed) if trace is not None else set()
        entries: dict[int, Endpoint] = {}
        for item in update["instances"]:
            try:
                for entry in self.entries(item):
                    entries[entry.server] = entry
            except (KeyError, TypeError, ValueError) as e:
                log_line(f"discovery: bad entry {item!r:.200}: {e!r}")
        if full:
            for server in [n for n in self.listed if n not in entries]:
                self.withdraw(server)
            names = {str(item.get("instanceId")) for item in update["instances"] if isinstance(item, dict)}
            self.draining &= names
            self.out.update({name: None for name in self.out if name not in names})
        kind = (
            EndpointUpdateKind.CACHED
            if cached
            else EndpointUpdateKind.FULL
            if full
            else EndpointUpdateKind.CHANGES
        )
        self.dispatcher.endpoint_update(kind, list(entries.values()))
        if trace is not None:
            named = {number: name for name, number in self.numbers.items()}
            now_listed = set(self.listed)
            came, left = ({named[n] for n in part} for part in (now_listed - before, before - now_listed))
            trace.endpoints_listed(kind, update.get("generation"), came, left)
        self.forget()
        if self.heard is not None:
            self.heard(update, full, cached)

    def entries(self, item: Any) -> list[Endpoint]:
        """What one line says, of its server and of one whose address it takes over."""
        name = str(item["instanceId"])
        # A state never heard of counts as draining: nothing new is sent.
        state = STATES.get(item["lifecycle"], EndpointState.DRAINING)
        self.draining.discard(name)
        if state != EndpointState.READY:
            if state == EndpointState.DRAINING:
                self.draining.add(name)
            if name in self.out:
                self.out[name] = None
            # Guards against: a line on a server that goes is left out over a field that no longer matters.
            return [self.withdraw(self.numbers[name], state)] if name in self.numbers else []
        started = int(item.get("startedAtMs") or 0)
        address = str(item["hostPort"])
        number = self.number(name)
        entry = Endpoint(
            server=number,
            cell=int(item.get("cell") or 0),
            zone=self.zones.place(str(item.get("zone", ""))),
            machine_type=self.kinds.place(str(item.get("machineType", ""))),
            weight=float(item.get("weight", 1.0)) if self.weighted else 1.0,
            ready_at=self.start_times.ready_at(name, started, monotonic_us()) if started > 0 else LONG_AGO,
        )
        listed = ListedEndpoint(entry, address, started)
        if name in self.out:
            self.out[name] = listed
            return []
        return self.place(name, listed)

    def place(self, name: str, listed: ListedEndpoint) -> list[Endpoint]:
        """Uses a server, unless a younger one listens at its address."""
        entry, address, started = listed
        number = entry.server
        owner = self.listed.get(self.owners.get(address, number))
        if owner is not None and owner.server != number and owner.ready_at > entry.ready_at:
            return [self.withdraw(number)]
        if self.back.get(name, 0) > entry.ready_at:
            # Guards against: a server comes back cold, and the list has not told that it was restarted.
            entry = replace(entry, ready_at=self.back[name])
        self.pool.update(number, address, started)
        self.listed[number] = entry
        self.owners[address] = number
        if owner is None or owner.server == number:
            return [entry]
        # Guards against: what is sent to a server that has been replaced reaches the new one at its address,
        # which is cold and is not counted as having got it.
        return [self.withdraw(owner.server), entry]

    # ---- held out by hand ----------------------------------------------------------------------------

    def knows(self, name: str) -> bool:
        """Whether discovery lists the server, or operators hold it out."""
        name = self.resolve(name)
        return name in self.out or name in self.draining or self.numbers.get(name) in self.listed

    def hold(self, name: str) -> None:
        """Takes the server out until it is `put_back`, whatever discovery says meanwhile."""
        name = self.resolve(name)
        if name in self.out:
            return
        number = self.numbers.get(name, 0)
        entry, target = self.listed.get(number), self.pool.processes.get(number)
        self.out[name] = None
        if entry is not None and target is not None:
            self.out[name] = ListedEndpoint(entry, target.address, target.started_at)
            self.dispatcher.endpoint_update(
                EndpointUpdateKind.CHANGES, [self.withdraw(number, EndpointState.DRAINING)]
            )

    def put_back(self, name: str) -> None:
        """Uses the server again if discovery lists it, as one that has just started."""
        name = name if name in self.out else self.resolve(name)
        if name not in self.out:
            return
        listed = self.out.pop(name)
        self.back[name] = monotonic_us()
        if listed is not None:
            entry = replace(listed.entry, server=self.number(name))
            self.dispatcher.endpoint_update(
                EndpointUpdateKind.CHANGES, self.place(name, listed._replace(entry=entry))
            )

    def withdraw(self, number: int, state: EndpointState = EndpointState.GONE) -> Endpoint:
        self.pool.take_out_of_service(number)
        self.listed.pop(number, None)
        return Endpoint(number, state)

    def forget(self) -> None:
        """Guards against: where servers are replaced all day, what was known of those gone piles up."""
        for name, number in list(self.numbers.items()):
            if number not in self.listed and self.pool.remove_if_unused(number):
                del self.numbers[name]
        cold = monotonic_us() - COLD_MOST
        self.back = {name: at for name, at in self.back.items() if name in self.numbers or at > cold}
        self.owners = {address: n for address, n in self.owners.items() if n in self.listed}
        self.zones.keep({e.zone for e in self.listed.values()})
        self.kinds.keep({e.machine_type for e in self.listed.values()})
