"""The endpoint registry: applies discovery's lists to the balancer and the connection pool."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace
from typing import Any, NamedTuple, Protocol

from harecross.discovery import wire_format
from harecross.discovery.start_times import LONG_AGO, StartTimes
from harecross.discovery.wire_format import Lifecycle
from harecross.dispatch.dispatcher import RequestDispatcher
from harecross.interface import Endpoint, EndpointState, EndpointUpdateKind
from harecross.platform.clock import monotonic_us
from harecross.platform.log import log_line
from harecross.upstream.connection_pool import ConnectionPool

STATE_OF_LIFECYCLE = {
    Lifecycle.DRAINING: EndpointState.DRAINING,
    Lifecycle.GONE: EndpointState.GONE,
}
MAX_SLOW_START_US = 60_000_000  # upper bound of the slow-start period, in microseconds


class NameIndex(dict[str, int]):
    """Maps names to numbers: permanently for names in the settings, while in use for all other names."""

    def __init__(self, names: Sequence[str]) -> None:
        super().__init__({name: index for index, name in enumerate(names)})
        self.fixed_count = len(names)
        self.next_index = len(names)

    def __missing__(self, name: str) -> int:
        """Assigns the next number to a name that has none."""
        index = self[name] = self.next_index
        self.next_index += 1
        return index

    @property
    def dynamic(self) -> dict[str, int]:
        """The names that are not in the settings, with their numbers."""
        return {name: index for name, index in self.items() if index >= self.fixed_count}

    def retain(self, used: set[int]) -> None:
        """Drops the names that are neither in the settings nor in `used`, which holds numbers."""
        for name, index in self.dynamic.items():
            if index not in used:
                del self[name]


class ListedEndpoint(NamedTuple):
    """A server that discovery lists as in service."""

    endpoint: Endpoint
    address: str
    started_ms: int  # when its process started, Unix milliseconds


class EndpointListConsumer(Protocol):
    """Receives lists and changes: the registry, or a component that merges them with other sources."""

    def apply(self, update: Any, *, cached: bool = False, full: bool = False) -> None:
        """Applies a list or change. Raises ValueError if it is neither.

        `full`: servers that it does not name are gone. `cached`: it is a full list from before this process started.
        """

    def connectivity_changed(self, *, connected: bool) -> None:
        """Called when a watch has received data, or its connection has ended or could not be opened."""


class UpdateListener(Protocol):
    """Is called with each list or change after it has been applied, for example by `xds.feed.Feed`."""

    def __call__(self, update: Any, full: bool, cached: bool, /) -> None: ...


class EndpointRegistry:
    """The endpoints in use, each with a number by which the balancer and the connection pool refer to it.

    A server in maintenance is reported to the balancer as DRAINING, whatever discovery states.

    Attributes:
        listed: The servers in service by number, as the balancer was last notified.
        draining: The names of the servers that discovery lists as draining.
        in_maintenance: The servers in maintenance, each with its current entry in discovery's list, if in service.
        restored_at: When each server's maintenance ended, in monotonic microseconds.
        owner_by_address: The number of the server that listens at each address.
        uses_listed_weights: Whether the lists' weights are measured. Otherwise they are nominal values of the
            platform, and the balancer measures the servers' speeds itself.
        resolve_name: Maps a server name that operators use to the name that lists use.
    """

    def __init__(
        self,
        dispatcher: RequestDispatcher,
        pool: ConnectionPool,
        zones: Sequence[str],
        machine_types: Sequence[str],
    ) -> None:
        """`zones` and `machine_types` are the names in the settings; each name's number is its position."""
        self.dispatcher = dispatcher
        self.pool = pool
        self.zones = NameIndex(zones)
        self.machine_types = NameIndex(machine_types)
        self.numbers: dict[str, int] = {}
        self.last_number = 0
        self.listed: dict[int, Endpoint] = {}
        self.draining: set[str] = set()
        self.in_maintenance: dict[str, ListedEndpoint | None] = {}
        self.restored_at: dict[str, int] = {}
        self.owner_by_address: dict[str, int] = {}
        self.uses_listed_weights = False
        self.resolve_name: Callable[[str], str] = str
        self.update_listener: UpdateListener | None = None
        self.start_times = StartTimes(time.time_ns() // 1000 - monotonic_us())

    def set_update_listener(self, listener: UpdateListener | None) -> None:
        """Sets the listener for lists and changes, or removes it if None."""
        self.update_listener = listener

    def use_merged_sources(self, resolve_name: Callable[[str], str]) -> None:
        """Switches to merged lists with measured weights; `resolve_name` maps operators' names to listed ones."""
        self.resolve_name = resolve_name
        self.uses_listed_weights = True

    def connectivity_changed(self, *, connected: bool) -> None:
        """Does nothing, because the last list stays in use regardless of its age."""

    def number_of(self, name: str) -> int:
        """Returns the server's number, which stays the same while the server is listed or has requests in flight."""
        number = self.numbers.get(name)
        if number is None:
            self.last_number += 1
            number = self.numbers[name] = self.last_number
        return number

    def apply(self, update: Any, *, cached: bool = False, full: bool = False) -> None:
        """Applies a list or change. Raises ValueError if it is neither; logs and ignores invalid entries."""
        entries = wire_format.entries_of(update)
        full = full or cached or wire_format.is_reset(update)
        kind = EndpointUpdateKind.CHANGES
        if full:
            kind = EndpointUpdateKind.CACHED if cached else EndpointUpdateKind.FULL
        before = set(self.listed) if self.dispatcher.tracer is not None else set()
        changed = self.use_entries(entries)
        if full:
            self.remove_unlisted(entries, changed)
        self.dispatcher.endpoint_update(kind, list(changed.values()))
        self.trace_update(kind, wire_format.generation_of(update), before)
        self.drop_unused()
        if self.update_listener is not None:
            self.update_listener(update, full, cached)

    def use_entries(self, entries: Sequence[Any]) -> dict[int, Endpoint]:
        """Applies the entries and returns the changed endpoints by number, for the balancer."""
        changed: dict[int, Endpoint] = {}
        for entry in entries:
            try:
                for endpoint in self.use_entry(entry):
                    changed[endpoint.server] = endpoint
            except (KeyError, TypeError, ValueError) as error:
                log_line(f"discovery: ignoring invalid entry {entry!r:.200}: {error!r}")
        return changed

    def remove_unlisted(self, entries: Sequence[Any], changed: Mapping[int, Endpoint]) -> None:
        """Removes the servers that a full list omits. The balancer infers their removal from the full list."""
        for number in [number for number in self.listed if number not in changed]:
            self.withdraw(number)
        names = {str(entry.get(wire_format.INSTANCE_ID)) for entry in entries if isinstance(entry, dict)}
        self.draining &= names
        self.in_maintenance.update({name: None for name in self.in_maintenance if name not in names})

    def trace_update(self, kind: EndpointUpdateKind, generation: Any, before: set[int]) -> None:
        """Writes the servers added to and removed from the set `before` to the attempt log, if it is enabled."""
        tracer = self.dispatcher.tracer
        if tracer is None:
            return
        names = {number: name for name, number in self.numbers.items()}
        now_listed = set(self.listed)
        added = {names[number] for number in now_listed - before}
        removed = {names[number] for number in before - now_listed}
        tracer.endpoints_listed(kind, generation, added, removed)

    def use_entry(self, entry: Any) -> list[Endpoint]:
        """Applies one entry; returns the changed endpoints: its server, and one whose address that server takes over.

        Raises KeyError, TypeError or ValueError if the entry is invalid.
        """
        name, lifecycle = wire_format.name_and_lifecycle(entry)
        if name in self.draining:
            self.draining.remove(name)
        if lifecycle is not Lifecycle.IN_SERVICE:
            return self.use_leaving_entry(name, STATE_OF_LIFECYCLE[lifecycle])
        listed = self.listed_endpoint(name, entry)
        if name in self.in_maintenance:
            self.in_maintenance[name] = listed
            return []
        return self.activate(name, listed)

    def use_leaving_entry(self, name: str, state: EndpointState) -> list[Endpoint]:
        """Applies an entry for a server that is draining or gone; the entry's other fields are ignored."""
        if state == EndpointState.DRAINING:
            self.draining.add(name)
        if name in self.in_maintenance:
            self.in_maintenance[name] = None
        return [self.withdraw(self.numbers[name], state)] if name in self.numbers else []

    def listed_endpoint(self, name: str, entry: Any) -> ListedEndpoint:
        """Parses an in-service entry. Raises KeyError, TypeError or ValueError if it is invalid."""
        fields = wire_format.parse_in_service(entry, uses_weight=self.uses_listed_weights)
        ready_at = LONG_AGO
        if fields.started_ms > 0:
            ready_at = self.start_times.ready_at(name, fields.started_ms, monotonic_us())
        endpoint = Endpoint(
            server=self.number_of(name),
            cell=fields.cell,
            zone=self.zones[fields.zone],
            machine_type=self.machine_types[fields.machine_type],
            weight=fields.weight,
            ready_at=ready_at,
        )
        return ListedEndpoint(endpoint, fields.address, fields.started_ms)

    def activate(self, name: str, listed: ListedEndpoint) -> list[Endpoint]:
        """Puts a server into service unless a more recent one owns its address; returns the changed endpoints."""
        endpoint, address, started_ms = listed
        number = endpoint.server
        owner = self.listed.get(self.owner_by_address.get(address, number))
        if owner is not None and owner.server != number and owner.ready_at > endpoint.ready_at:
            return [self.withdraw(number)]
        if self.restored_at.get(name, 0) > endpoint.ready_at:
            # A server that returns from maintenance gets a slow start even if the list shows no restart.
            endpoint = replace(endpoint, ready_at=self.restored_at[name])
        self.pool.update(number, address, started_ms)
        self.listed[number] = endpoint
        self.owner_by_address[address] = number
        if owner is None or owner.server == number:
            return [endpoint]
        # The previous owner of the address was replaced. Requests sent to it would reach the new server, and its slow
        # start would not account for them.
        return [self.withdraw(owner.server), endpoint]

    def withdraw(self, number: int, state: EndpointState = EndpointState.GONE) -> Endpoint:
        """Takes a server out of service and returns the endpoint to report to the balancer."""
        self.pool.take_out_of_service(number)
        self.listed.pop(number, None)
        return Endpoint(number, state)

    def drop_unused(self) -> None:
        """Drops the state of servers that are gone, so that memory stays bounded when servers are replaced often."""
        for name, number in list(self.numbers.items()):
            if number not in self.listed and self.pool.remove_if_unused(number):
                del self.numbers[name]
        slow_start_since = monotonic_us() - MAX_SLOW_START_US
        self.restored_at = {
            name: restored_at
            for name, restored_at in self.restored_at.items()
            if name in self.numbers or restored_at > slow_start_since
        }
        self.owner_by_address = {
            address: number for address, number in self.owner_by_address.items() if number in self.listed
        }
        self.zones.retain({endpoint.zone for endpoint in self.listed.values()})
        self.machine_types.retain({endpoint.machine_type for endpoint in self.listed.values()})

    def is_known(self, name: str) -> bool:
        """Whether discovery lists the server or the server is in maintenance."""
        name = self.resolve_name(name)
        if name in self.in_maintenance or name in self.draining:
            return True
        return self.numbers.get(name) in self.listed

    def enter_maintenance(self, name: str) -> None:
        """Takes the server out of service until `exit_maintenance`, whatever discovery states in the meantime."""
        name = self.resolve_name(name)
        if name in self.in_maintenance:
            return
        number = self.numbers.get(name, 0)
        endpoint, process = self.listed.get(number), self.pool.processes.get(number)
        self.in_maintenance[name] = None
        if endpoint is not None and process is not None:
            self.in_maintenance[name] = ListedEndpoint(endpoint, process.address, process.started_at)
            draining = self.withdraw(number, EndpointState.DRAINING)
            self.dispatcher.endpoint_update(EndpointUpdateKind.CHANGES, [draining])

    def exit_maintenance(self, name: str) -> None:
        """Ends the server's maintenance; if discovery lists it, returns it to service with a slow start."""
        name = name if name in self.in_maintenance else self.resolve_name(name)
        if name not in self.in_maintenance:
            return
        listed = self.in_maintenance.pop(name)
        self.restored_at[name] = monotonic_us()
        if listed is not None:
            endpoint = replace(listed.endpoint, server=self.number_of(name))
            changed = self.activate(name, listed._replace(endpoint=endpoint))
            self.dispatcher.endpoint_update(EndpointUpdateKind.CHANGES, changed)
