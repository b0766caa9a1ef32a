"""From an SRV name to endpoints: which questions it takes, and what their answers make. RFC 2782. Free of I/O."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from harecross.dns.message import NXDOMAIN, Question, Record, Reply

CHAIN_MOST = 8  # aliases followed from one name
TARGETS_MOST = 10_000  # of one name
FAMILIES = ("A", "AAAA")
NEGATIVE = 60.0  # seconds that a negative answer without a SOA lives


@dataclass(frozen=True, slots=True, order=True)
class SrvEndpoint:
    """One address of one SRV record; `weight` is the record's own, 0 to 65535."""

    priority: int
    target: str
    address: str
    port: int
    weight: int


@dataclass(frozen=True, slots=True)
class SrvAnswer:
    """What a name holds. `ttl` in seconds; `empty` says why there is nothing; `unknown` are targets whose address
    could not be looked up; `notes` are for operators."""

    endpoints: tuple[SrvEndpoint, ...]
    ttl: float
    empty: str = ""
    unknown: tuple[str, ...] = ()
    notes: tuple[str, ...] = ()


def zone_of(name: str) -> str:
    """The part of an SRV name below its underscored labels: what its server is believed on."""
    labels = name.split(".")
    while len(labels) > 2 and labels[0].startswith("_"):
        labels.pop(0)
    return ".".join(labels)


def within(name: str, zone: str) -> bool:
    """Whether a name lies in a zone (its bailiwick)."""
    return name == zone or name.endswith("." + zone)


def negative_ttl(reply: Reply) -> float:
    """How long an answer without records lives (RFC 2308, 5)."""
    soas = [min(r.ttl, int(r.data[0])) for r in reply.authority if r.kind == "SOA"]
    return float(min(soas)) if soas else NEGATIVE


class Chain:
    """One name with its aliases, asked for records of one kind. Ends with `records`, or with `why` there are none."""

    def __init__(self, name: str, kind: str) -> None:
        self.kind = kind
        self.names = [name]
        self.records: list[Record] = []
        self.ttl = float("inf")
        self.why = ""

    @property
    def question(self) -> Question:
        """What is to be asked next."""
        return Question(self.names[-1], self.kind)

    @property
    def over(self) -> bool:
        return bool(self.records or self.why)

    def read(self, reply: Reply) -> None:
        """Follows the aliases in an answer as far as they go."""
        while True:
            here = self.names[-1]
            at = [r for r in reply.answers if r.name == here]
            self.records = [r for r in at if r.kind == self.kind]
            alias = next((r for r in at if r.kind == "CNAME"), None)
            if self.records:
                self.ttl = min(self.ttl, *(r.ttl for r in self.records))
                return
            if alias is None:
                # Where the answer ends at an alias, what it stands for is asked on its own.
                if (
                    reply.rcode == NXDOMAIN
                    or len(self.names) == 1
                    or not reply.answers
                    or asked(reply) == here
                ):
                    self.why = "NXDOMAIN" if reply.rcode == NXDOMAIN else "no data"
                    self.ttl = min(self.ttl, negative_ttl(reply))
                return
            target = str(alias.data[0])
            self.ttl = min(self.ttl, alias.ttl)
            if target in self.names or len(self.names) > CHAIN_MOST:
                self.why = "a loop of aliases" if target in self.names else "too many aliases"
                self.ttl = min(self.ttl, NEGATIVE)
                return
            self.names.append(target)


def asked(reply: Reply) -> str:
    return reply.question.name if reply.question is not None else ""


class Resolution:
    """One SRV name on its way to endpoints. Ask what `questions` gives; `result` is there once nothing is open."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.srv = Chain(name, "SRV")
        self.chains: dict[tuple[str, str], Chain] = {}  # by target and family
        self.given: dict[str, list[Record]] = {}  # addresses that came with the SRV records
        self.lost: dict[tuple[str, str], str] = {}  # and why
        self.failed = ""  # why the name itself has no answer
        self.notes: list[str] = []

    def open(self) -> list[Chain]:
        chains = [c for key, c in self.chains.items() if key not in self.lost]
        return [c for c in (self.srv, *chains) if not c.over]

    def questions(self) -> list[Question]:
        """What is to be asked now; the same again until it is answered."""
        return [] if self.failed else list(dict.fromkeys(c.question for c in self.open()))

    @property
    def over(self) -> bool:
        return bool(self.failed) or not self.open()

    def could_not(self, question: Question, why: str) -> None:
        """A lookup has failed."""
        if self.srv.question == question and not self.srv.over:
            self.failed = why
            return
        for key, chain in self.chains.items():
            if chain.question == question and not chain.over:
                self.lost[key] = why

    def answered(self, question: Question, reply: Reply) -> None:
        """An answer to a question."""
        for chain in self.open():
            if chain.question == question:
                chain.read(reply)
                if chain is self.srv and chain.over:
                    self.targets(reply.additional)

    def targets(self, additional: Iterable[Record]) -> None:
        """The SRV records are there: takes addresses that came along, and asks for the others.

        Guards against: a server that adds an address for a name it has no say in (RFC 2181, 5.4.1).
        """
        zone = zone_of(self.srv.names[-1])
        names = dict.fromkeys(str(r.data[3]) for r in self.srv.records)
        if len(names) > TARGETS_MOST:
            self.notes.append(f"{len(names)} targets, of which {TARGETS_MOST} are used")
        wanted = [n for n in names if n != "."][:TARGETS_MOST]
        for r in additional:
            if r.kind in FAMILIES and r.name in names:
                if within(r.name, zone):
                    self.given.setdefault(r.name, []).append(r)
                else:
                    self.notes.append(
                        f"{r.name}: the address beside the answer is not believed: outside {zone}"
                    )
        for name in wanted:
            if name not in self.given:
                for family in FAMILIES:
                    self.chains[name, family] = Chain(name, family)

    def result(self) -> SrvAnswer:
        """What the name holds. ValueError while something is open or where the name itself has no answer."""
        if not self.over or self.failed:
            raise ValueError(self.failed or "not over")
        srv = self.srv
        if not srv.records:
            return SrvAnswer((), srv.ttl, empty=srv.why)
        if all(r.data[3] == "." for r in srv.records):
            return SrvAnswer((), srv.ttl, empty="no service (target .)")
        notes, unknown, ttl = list(dict.fromkeys(self.notes)), [], srv.ttl
        endpoints: set[SrvEndpoint] = set()
        for r in srv.records:
            priority, weight, port, target = int(r.data[0]), int(r.data[1]), int(r.data[2]), str(r.data[3])
            if target == "." or port == 0:
                notes.append(f"a record with target {target} and port {port} is passed over")
                continue
            addresses, least, why = self.addresses(target)
            ttl = min(ttl, least)
            if why:
                unknown.append(target)
                notes.append(f"{target}: no address: {why}")
            elif not addresses:
                notes.append(f"{target}: has no address")
            chain = self.chains.get((target, "A"))
            if chain is not None and len(chain.names) > 1:
                notes.append(f"{target}: is an alias of {chain.names[-1]}, which RFC 2782 forbids; followed")
            endpoints.update(SrvEndpoint(priority, target, a, port, weight) for a in addresses)
        empty = "" if endpoints or unknown else "no target has an address"
        return SrvAnswer(
            tuple(sorted(endpoints)), ttl, empty, tuple(dict.fromkeys(unknown)), tuple(dict.fromkeys(notes))
        )

    def addresses(self, target: str) -> tuple[list[str], float, str]:
        """A target's addresses, the least of their lives, and why none is known where a lookup has failed."""
        if target in self.given:
            given = self.given[target]
            return [str(r.data[0]) for r in given], float(min(r.ttl for r in given)), ""
        found: list[str] = []
        ttl, why = float("inf"), ""
        for family in FAMILIES:
            if (target, family) in self.lost:
                why = self.lost[target, family]
                continue
            chain = self.chains.get((target, family))
            if chain is not None:
                found += [str(r.data[0]) for r in chain.records]
                if chain.records:
                    ttl = min(ttl, chain.ttl)
        return found, ttl, "" if found else why
