"""From an SRV name to endpoints: which questions it takes, and what their answers make. RFC 2782. Free of I/O."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from harecross.dns.message import NXDOMAIN, Question, Record, Reply

MAX_ALIASES = 8  # followed from one name
MAX_TARGETS = 10_000  # of one name
ADDRESS_TYPES = ("A", "AAAA")
DEFAULT_NEGATIVE_TTL_S = 60.0  # of a negative answer without a SOA
NO_SERVICE = "."  # the target of a name that offers no service


@dataclass(frozen=True, slots=True, order=True)
class SrvEndpoint:
    """One address of one SRV record."""

    priority: int
    target: str
    address: str
    port: int
    weight: int  # the record's own, 0 to 65535


@dataclass(frozen=True, slots=True)
class SrvAnswer:
    """What a name has."""

    endpoints: tuple[SrvEndpoint, ...]
    ttl: float  # seconds
    empty_reason: str = ""  # why there are no endpoints
    unresolved_targets: tuple[str, ...] = ()  # targets whose address could not be looked up
    notes: tuple[str, ...] = ()  # for operators


class SrvData(NamedTuple):
    """The data of an SRV record."""

    priority: int
    weight: int
    port: int
    target: str


def srv_data(record: Record) -> SrvData:
    """An SRV record's data."""
    priority, weight, port, target = record.data
    return SrvData(int(priority), int(weight), int(port), str(target))


class TargetAddresses(NamedTuple):
    """What is known of a target's addresses."""

    addresses: list[str]
    ttl: float  # the least
    failure: str = ""  # why none is known, where a lookup has failed


class AddressQuery(NamedTuple):
    """A lookup of a target's addresses."""

    target: str
    record_type: str


def zone_of(name: str) -> str:
    """The part of an SRV name below its underscored labels: the zone on which its server is believed."""
    labels = name.split(".")
    while len(labels) > 2 and labels[0].startswith("_"):
        labels.pop(0)
    return ".".join(labels)


def is_within(name: str, zone: str) -> bool:
    """Whether a name lies in a zone (its bailiwick)."""
    return name == zone or name.endswith("." + zone)


def negative_ttl(reply: Reply) -> float:
    """How long an answer without records holds (RFC 2308, 5)."""
    ttls = [min(r.ttl, int(r.data[0])) for r in reply.authority if r.record_type == "SOA"]
    return float(min(ttls)) if ttls else DEFAULT_NEGATIVE_TTL_S


class AliasChain:
    """One name with its aliases, queried for one type. Ends with `records`, or with the reason that there are none."""

    def __init__(self, name: str, record_type: str) -> None:
        self.names = [name]
        self.records: list[Record] = []
        self.ttl = float("inf")
        self.reason = ""
        self._record_type = record_type

    @property
    def question(self) -> Question:
        """What to query next."""
        return Question(self.names[-1], self._record_type)

    @property
    def done(self) -> bool:
        """Whether it has ended."""
        return bool(self.records or self.reason)

    def receive(self, reply: Reply) -> None:
        """Follows the aliases in an answer as far as they go."""
        while True:
            name = self.names[-1]
            records = [record for record in reply.answers if record.name == name]
            self.records = [record for record in records if record.record_type == self._record_type]
            if self.records:
                self.ttl = min(self.ttl, *(record.ttl for record in self.records))
                return
            alias = next((record for record in records if record.record_type == "CNAME"), None)
            if alias is None:
                self._end_of_answer(reply)
                return
            if not self._follow(alias):
                return

    def _end_of_answer(self, reply: Reply) -> None:
        """Ends the chain, or leaves the last name to a query of its own where the answer ends at an alias."""
        queried = reply.question.name if reply.question is not None else ""
        at_alias = len(self.names) > 1 and bool(reply.answers) and queried != self.names[-1]
        if reply.rcode == NXDOMAIN or not at_alias:
            self.reason = "NXDOMAIN" if reply.rcode == NXDOMAIN else "no data"
            self.ttl = min(self.ttl, negative_ttl(reply))

    def _follow(self, alias: Record) -> bool:
        """Follows an alias; False, with a reason, where that leads nowhere."""
        target = str(alias.data[0])
        self.ttl = min(self.ttl, alias.ttl)
        if target in self.names or len(self.names) > MAX_ALIASES:
            self.reason = "a loop of aliases" if target in self.names else "too many aliases"
            self.ttl = min(self.ttl, DEFAULT_NEGATIVE_TTL_S)
            return False
        self.names.append(target)
        return True


@dataclass(slots=True)
class Collected:
    """The endpoints of a name while its records are gone through."""

    ttl: float
    endpoints: set[SrvEndpoint] = field(default_factory=set)
    unknown: list[str] = field(default_factory=list)
    notes: list[str] = field(default_factory=list)


class Resolution:
    """One SRV name on its way to endpoints. Query what `questions` returns, until it is `done`."""

    def __init__(self, name: str) -> None:
        self.failure = ""  # why the name itself has no answer
        self._srv = AliasChain(name, "SRV")
        self._chains: dict[AddressQuery, AliasChain] = {}
        self._failures: dict[AddressQuery, str] = {}
        self._given: dict[str, list[Record]] = {}  # addresses that came with the SRV records, by target
        self._notes: list[str] = []

    def _open_chains(self) -> list[AliasChain]:
        chains = [chain for query, chain in self._chains.items() if query not in self._failures]
        return [chain for chain in (self._srv, *chains) if not chain.done]

    def questions(self) -> list[Question]:
        """What to query now; the same again until it is answered."""
        if self.failure:
            return []
        return list(dict.fromkeys(chain.question for chain in self._open_chains()))

    @property
    def done(self) -> bool:
        """Whether nothing is left to query."""
        return bool(self.failure) or not self._open_chains()

    def receive_failure(self, question: Question, reason: str) -> None:
        """A lookup has failed."""
        if self._srv.question == question and not self._srv.done:
            self.failure = reason
            return
        for query, chain in self._chains.items():
            if chain.question == question and not chain.done:
                self._failures[query] = reason

    def receive_reply(self, question: Question, reply: Reply) -> None:
        """A lookup has an answer."""
        for chain in self._open_chains():
            if chain.question == question:
                chain.receive(reply)
                if chain is self._srv and chain.done:
                    self._begin_targets(reply.additional)

    def _begin_targets(self, additional: Iterable[Record]) -> None:
        """The SRV records are there: takes addresses that came with them, and queries the others."""
        targets = dict.fromkeys(srv_data(record).target for record in self._srv.records)
        if len(targets) > MAX_TARGETS:
            self._notes.append(f"{len(targets)} targets, of which {MAX_TARGETS} are used")
        self._take_additional(additional, targets)
        for target in [target for target in targets if target != NO_SERVICE][:MAX_TARGETS]:
            if target not in self._given:
                for record_type in ADDRESS_TYPES:
                    query = AddressQuery(target, record_type)
                    self._chains[query] = AliasChain(target, record_type)

    def _take_additional(self, additional: Iterable[Record], targets: Iterable[str]) -> None:
        """Takes the targets' addresses within the zone of the name: a server may add an address of a name that it has
        no say in (RFC 2181, 5.4.1).
        """
        zone = zone_of(self._srv.names[-1])
        names = set(targets)
        for record in additional:
            if record.record_type not in ADDRESS_TYPES or record.name not in names:
                continue
            if is_within(record.name, zone):
                self._given.setdefault(record.name, []).append(record)
            else:
                self._notes.append(
                    f"{record.name}: the address beside the answer is not believed: outside {zone}"
                )

    # ---- the result -----------------------------------------------------------------------------------------

    def result(self) -> SrvAnswer:
        """What the name has. ValueError before it is done, and where the name itself has no answer."""
        if not self.done or self.failure:
            raise ValueError(self.failure or "not over")
        records = [srv_data(record) for record in self._srv.records]
        if not records:
            return SrvAnswer((), self._srv.ttl, empty_reason=self._srv.reason)
        if all(record.target == NO_SERVICE for record in records):
            return SrvAnswer((), self._srv.ttl, empty_reason="no service (target .)")
        collected = Collected(self._srv.ttl, notes=list(dict.fromkeys(self._notes)))
        for record in records:
            self._collect(record, collected)
        empty = "" if collected.endpoints or collected.unknown else "no target has an address"
        return SrvAnswer(
            tuple(sorted(collected.endpoints)),
            collected.ttl,
            empty,
            tuple(dict.fromkeys(collected.unknown)),
            tuple(dict.fromkeys(collected.notes)),
        )

    def _collect(self, record: SrvData, collected: Collected) -> None:
        """Adds one record's endpoints."""
        target = record.target
        if target == NO_SERVICE or record.port == 0:
            collected.notes.append(f"a record with target {target} and port {record.port} is passed over")
            return
        found = self._addresses(target)
        collected.ttl = min(collected.ttl, found.ttl)
        if found.failure:
            collected.unknown.append(target)
            collected.notes.append(f"{target}: no address: {found.failure}")
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
        if target in self._given:
            given = self._given[target]
            ttl = float(min(record.ttl for record in given))
            return TargetAddresses([str(record.data[0]) for record in given], ttl)
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
