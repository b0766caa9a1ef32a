"""Messages on the wire, by dnspython, made into plain values. RFC 1035, 2181, 2782, 6891."""

from __future__ import annotations

import struct
from dataclasses import dataclass
from ipaddress import ip_address

import dns.exception
import dns.flags
import dns.message
import dns.name
import dns.rcode
import dns.rdataclass
import dns.rdatatype
import dns.rrset

UDP_SIZE = 1232  # RFC 6891 as deployed since 2020: no fragment on any usual path
TTL_MOST = (1 << 31) - 1  # a larger one has its highest bit set and counts as 0 (RFC 2181, 8)
KINDS = ("SRV", "A", "AAAA", "CNAME", "SOA", "NS")
NOERROR, FORMERR, SERVFAIL, NXDOMAIN, NOTIMP, REFUSED, BADVERS = 0, 1, 2, 3, 4, 5, 16


class BadMessage(Exception):
    """Bytes that are no answer; the text says why."""


@dataclass(frozen=True, slots=True)
class Question:
    """`name` is absolute, in lower case, with its last dot; `kind` one of SRV, A, AAAA."""

    name: str
    kind: str

    def __str__(self) -> str:
        return f"{self.name} {self.kind}"


@dataclass(frozen=True, slots=True)
class Record:
    """One record of class IN. `data`: SRV (priority, weight, port, target), A and AAAA (address,), else (name,)
    or, for a SOA, (minimum,). Names are as in a `Question`. `ttl` in seconds."""

    name: str
    kind: str
    ttl: int
    data: tuple[int | str, ...]


@dataclass(frozen=True, slots=True)
class Reply:
    """An answer that could be read."""

    id: int
    question: Question | None
    rcode: int
    truncated: bool
    authoritative: bool
    answers: tuple[Record, ...]
    authority: tuple[Record, ...]
    additional: tuple[Record, ...]


def plain(name: str) -> str:
    """A name as a `Question` holds it. ValueError for one that cannot be."""
    try:
        text = dns.name.from_text(name.strip()).canonicalize().to_text()
    except (dns.exception.DNSException, UnicodeError) as e:
        raise ValueError(f"{name!r} is no domain name: {e}") from None
    if text == "." or " " in name.strip():
        raise ValueError(f"{name!r} is no domain name")
    return text


def encode(question: Question, number: int, edns: bool) -> bytes:
    """The query, with recursion desired."""
    query = dns.message.make_query(question.name, question.kind, use_edns=False)
    if edns:
        query.use_edns(0, payload=UDP_SIZE)
    query.id = number
    return query.to_wire()


def decode(data: bytes) -> Reply:
    """The answer in `data`. BadMessage for anything else; records of kinds not used here are passed over."""
    try:
        message = dns.message.from_wire(data, one_rr_per_rrset=True, raise_on_truncation=False)
    except (dns.exception.DNSException, ValueError, IndexError, KeyError, struct.error) as e:
        raise BadMessage(f"no DNS message: {type(e).__name__}") from None
    if not message.flags & dns.flags.QR:
        raise BadMessage("a query, no answer")
    asked = None
    if message.question:
        rrset = message.question[0]
        if rrset.rdclass == dns.rdataclass.IN:
            asked = Question(lower(rrset.name), dns.rdatatype.to_text(rrset.rdtype))
    return Reply(
        message.id, asked, int(message.rcode()), bool(message.flags & dns.flags.TC),
        bool(message.flags & dns.flags.AA), records(message.answer), records(message.authority),
        records(message.additional),
    )  # fmt: skip


def lower(name: dns.name.Name) -> str:
    return name.canonicalize().to_text()


def records(section: list[dns.rrset.RRset]) -> tuple[Record, ...]:
    """What is used of a section."""
    found = []
    for rrset in section:
        kind = dns.rdatatype.to_text(rrset.rdtype)
        if kind not in KINDS or rrset.rdclass != dns.rdataclass.IN:
            continue
        for item in rrset:
            found.append(
                Record(
                    lower(rrset.name), kind, 0 if rrset.ttl > TTL_MOST else int(rrset.ttl), values(kind, item)
                )
            )
    return tuple(found)


def values(kind: str, item: object) -> tuple[int | str, ...]:
    """A record's data."""
    get = item.__getattribute__
    if kind == "SRV":
        return get("priority"), get("weight"), get("port"), lower(get("target"))
    if kind in ("A", "AAAA"):
        return (str(ip_address(get("address"))),)
    if kind == "SOA":
        return (min(get("minimum"), TTL_MOST),)
    return (lower(get("target")),)
