"""The resolution of an SRV name to endpoints (RFC 2782): which questions to look up, and the result."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from harecross.dns.message import NXDOMAIN, Question, Record, Reply

MAX_ALIASES = 8  # number of CNAME records that are followed from one name
MAX_TARGETS = 10_000  # number of targets of one SRV name that are used
ADDRESS_TYPES = ("A", "AAAA")
DEFAULT_NEGATIVE_TTL_S = 60.0  # TTL of a negative answer without a SOA record
NO_SERVICE = "."  # SRV target that means that the service is not available at this domain (RFC 2782)


@dataclass(frozen=True, slots=True, order=True)
class SrvEndpoint:
    """One address of the target of one SRV record.

    `weight` is the weight in the SRV record, 0 to 65535.
    """

    priority: int
    target: str
    address: str
    port: int
    weight: int


@dataclass(frozen=True, slots=True)
class SrvAnswer:
    """The result of resolving an SRV name.

    Attributes:
        endpoints: The endpoints, sorted.
        ttl: Smallest TTL of the records used, in seconds.
        empty_reason: Why the name has no endpoints; empty if it has some, or if some targets are unresolved.
        unresolved_targets: Targets whose address lookup failed.
        notes: Remarks for operators.
    """

    endpoints: tuple[SrvEndpoint, ...]
    ttl: float
    empty_reason: str = ""
    unresolved_targets: tuple[str, ...] = ()
    notes: tuple[str, ...] = ()


class SrvData(NamedTuple):
    """The data of an SRV record."""

    priority: int
    weight: int
    port: int
    target: str


def srv_data(record: Record) -> SrvData:
    """Returns the data of an SRV record."""
    priority, weight, port, target = record.data
    return SrvData(int(priority), int(weight), int(port), str(target))


class TargetAddresses(NamedTuple):
    """The addresses of a target.

    Attributes:
        addresses: The IP addresses.
        ttl: Smallest TTL of the address records, in seconds.
        failure: Why no address is known; empty if one is known, or if no lookup failed.
    """

    addresses: list[str]
    ttl: float
    failure: str = ""


class AddressQuery(NamedTuple):
    """The lookup of a target's addresses of one type."""

    target: str
    record_type: str


def zone_of(name: str) -> str:
    """Returns an SRV name without its leading labels that start with an underscore.

    Address records in the additional section are accepted only for names within this zone.
    """
    labels = name.split(".")
    while len(labels) > 2 and labels[0].startswith("_"):
        labels.pop(0)
    return ".".join(labels)


def is_within(name: str, zone: str) -> bool:
    """Returns whether a name is in a zone (in its bailiwick)."""
    return name == zone or name.endswith("." + zone)


def negative_ttl(reply: Reply) -> float:
    """Returns the TTL of a negative answer in seconds (RFC 2308, 5)."""
    ttls = [min(r.ttl, int(r.data[0])) for r in reply.authority if r.record_type == "SOA"]
    return float(min(ttls)) if ttls else DEFAULT_NEGATIVE_TTL_S


class AliasChain:
    """The lookup of one name and record type through a chain of CNAME records.

    Attributes:
        names: The name, followed by the aliases' targets in the order in which they were followed.
        records: The records of the last name; empty until the chain is done, or if there are none.
        ttl: Smallest TTL of all records used, in seconds.
        reason: Why there are no records; empty until the chain is done, or if there are records.
    """

    def __init__(self, name: str, record_type: str) -> None:
        self.names = [name]
        self.records: list[Record] = []
        self.ttl = float("inf")
        self.reason = ""
        self._record_type = record_type

    @property
    def question(self) -> Question:
        """The next question to look up."""
        return Question(self.names[-1], self._record_type)

    @property
    def done(self) -> bool:
        """Whether the records, or the reason for having none, are known."""
        return bool(self.records or self.reason)

    def receive(self, reply: Reply) -> None:
        """Processes a reply and follows the CNAME records in it."""
        while True:
            name = self.names[-1]
            records = [record for record in reply.answers if record.name == name]
            self.records = [record for record in records if record.record_type == self._record_type]
            if self.records:
                self.ttl = min(self.ttl, *(record.ttl for record in self.records))
                return
            alias = next((record for record in records if record.record_type == "CNAME"), None)
            if alias is None:
                self._finish_reply(reply)
                return
            if not self._follow(alias):
                return

    def _finish_reply(self, reply: Reply) -> None:
        """Ends the chain without records, unless the reply ends at an alias, whose target then needs its own query."""
        queried = reply.question.name if reply.question is not None else ""
        at_alias = len(self.names) > 1 and bool(reply.answers) and queried != self.names[-1]
        if reply.rcode == NXDOMAIN or not at_alias:
            self.reason = "NXDOMAIN" if reply.rcode == NXDOMAIN else "no data"
            self.ttl = min(self.ttl, negative_ttl(reply))

    def _follow(self, alias: Record) -> bool:
        """Follows an alias. Returns False, and sets the reason, for a loop or too many aliases."""
        target = str(alias.data[0])
        self.ttl = min(self.ttl, alias.ttl)
        if target in self.names or len(self.names) > MAX_ALIASES:
            self.reason = "a loop of aliases" if target in self.names else "too many aliases"
            self.ttl = min(self.ttl, DEFAULT_NEGATIVE_TTL_S)
            return False
        self.names.append(target)
        return True


@dataclass(slots=True)
class CollectedEndpoints:
    """The intermediate result while the endpoints of the SRV records are collected."""

    ttl: float
    endpoints: set[SrvEndpoint] = field(default_factory=set)
    unresolved_targets: list[str] = field(default_factory=list)
    notes: list[str] = field(default_factory=list)


class Resolution:
    """The resolution of one SRV name.

    The caller looks up what `questions` returns and reports the results, until the resolution is `done`.

    Attributes:
        failure: Why the lookup of the SRV records failed; empty if it has not failed.
    """

    def __init__(self, name: str) -> None:
        self.failure = ""
        self._srv = AliasChain(name, "SRV")
        self._chains: dict[AddressQuery, AliasChain] = {}
        self._failures: dict[AddressQuery, str] = {}
        # Address records from the additional section of the SRV reply, by target.
        self._additional_addresses: dict[str, list[Record]] = {}
        self._notes: list[str] = []

    def _open_chains(self) -> list[AliasChain]:
        chains = [chain for query, chain in self._chains.items() if query not in self._failures]
        return [chain for chain in (self._srv, *chains) if not chain.done]

    def questions(self) -> list[Question]:
        """Returns the questions that have no result yet."""
        if self.failure:
            return []
        return list(dict.fromkeys(chain.question for chain in self._open_chains()))

    @property
    def done(self) -> bool:
        """Whether no lookup is left to do."""
        return bool(self.failure) or not self._open_chains()

    def receive_failure(self, question: Question, reason: str) -> None:
        """Records that the lookup of a question has failed."""
        if self._srv.question == question and not self._srv.done:
            self.failure = reason
            return
        for query, chain in self._chains.items():
            if chain.question == question and not chain.done:
                self._failures[query] = reason

    def receive_reply(self, question: Question, reply: Reply) -> None:
        """Processes the reply to a question."""
        for chain in self._open_chains():
            if chain.question == question:
                chain.receive(reply)
                if chain is self._srv and chain.done:
                    self._start_address_lookups(reply.additional)

    def _start_address_lookups(self, additional: Iterable[Record]) -> None:
        """Takes the targets' addresses from the additional section, and starts lookups for the other targets."""
        targets = dict.fromkeys(srv_data(record).target for record in self._srv.records)
        if len(targets) > MAX_TARGETS:
            self._notes.append(f"{len(targets)} targets, of which only the first {MAX_TARGETS} are used")
        self._accept_additional(additional, targets)
        for target in [target for target in targets if target != NO_SERVICE][:MAX_TARGETS]:
            if target not in self._additional_addresses:
                for record_type in ADDRESS_TYPES:
                    query = AddressQuery(target, record_type)
                    self._chains[query] = AliasChain(target, record_type)

    def _accept_additional(self, additional: Iterable[Record], targets: Iterable[str]) -> None:
        """Accepts address records of targets within the zone of the SRV name.

        Others are ignored, because a server may add addresses of names for which it is not authoritative (RFC 2181,
        5.4.1).
        """
        zone = zone_of(self._srv.names[-1])
        names = set(targets)
        for record in additional:
            if record.record_type not in ADDRESS_TYPES or record.name not in names:
                continue
            if is_within(record.name, zone):
                self._additional_addresses.setdefault(record.name, []).append(record)
            else:
                self._notes.append(f"{record.name}: ignored the additional address record: outside {zone}")

    def result(self) -> SrvAnswer:
        """Returns the result. Raises ValueError if the resolution is not done or has failed."""
        if not self.done or self.failure:
            raise ValueError(self.failure or "the resolution is not done yet")
        records = [srv_data(record) for record in self._srv.records]
        if not records:
            return SrvAnswer((), self._srv.ttl, empty_reason=self._srv.reason)
        if all(record.target == NO_SERVICE for record in records):
            return SrvAnswer((), self._srv.ttl, empty_reason="no service (target .)")
        collected = CollectedEndpoints(self._srv.ttl, notes=list(dict.fromkeys(self._notes)))
        for record in records:
            self._collect(record, collected)
        empty_reason = (
            "" if collected.endpoints or collected.unresolved_targets else "no target has an address"
        )
        return SrvAnswer(
            tuple(sorted(collected.endpoints)),
            collected.ttl,
            empty_reason,
            tuple(dict.fromkeys(collected.unresolved_targets)),
            tuple(dict.fromkeys(collected.notes)),
        )

    def _collect(self, record: SrvData, collected: CollectedEndpoints) -> None:
        """Adds the endpoints of one SRV record."""
        target = record.target
        if target == NO_SERVICE or record.port == 0:
            collected.notes.append(f"skipped the SRV record with target {target} and port {record.port}")
            return
        found = self._addresses(target)
        collected.ttl = min(collected.ttl, found.ttl)
        if found.failure:
            collected.unresolved_targets.append(target)
            collected.notes.append(f"{target}: address lookup failed: {found.failure}")
        elif not found.addresses:
            collected.notes.append(f"{target}: has no address")
        chain = self._chains.get(AddressQuery(target, "A"))
        if chain is not None and len(chain.names) > 1:
            alias = chain.names[-1]
            collected.notes.append(f"{target}: is an alias of {alias}, which RFC 2782 forbids; followed")
        collected.endpoints.update(
            SrvEndpoint(record.priority, target, address, record.port, record.weight)
            for address in found.addresses
        )

    def _addresses(self, target: str) -> TargetAddresses:
        if target in self._additional_addresses:
            records = self._additional_addresses[target]
            ttl = float(min(record.ttl for record in records))
            return TargetAddresses([str(record.data[0]) for record in records], ttl)
        addresses: list[str] = []
        ttl, failure = float("inf"), ""
        for record_type in ADDRESS_TYPES:
            query = AddressQuery(target, record_type)
            if query in self._failures:
                failure = self._failures[query]
            elif query in self._chains:
                chain = self._chains[query]
                addresses += [str(record.data[0]) for record in chain.records]
                ttl = min(ttl, chain.ttl) if chain.records else ttl
        return TargetAddresses(addresses, ttl, "" if addresses else failure)
