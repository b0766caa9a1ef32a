"""DNS messages on the wire, by dnspython, as plain values. RFC 1035, 2181, 2782, 6891."""

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
MAX_TTL = (1 << 31) - 1  # a larger one has its highest bit set and counts as 0 (RFC 2181, 8)
RECORD_TYPES = ("SRV", "A", "AAAA", "CNAME", "SOA", "NS")
NOERROR, FORMERR, SERVFAIL, NXDOMAIN, NOTIMP, REFUSED, BADVERS = 0, 1, 2, 3, 4, 5, 16


class MessageError(Exception):
    """Bytes that are no answer; the text says why."""


@dataclass(frozen=True, slots=True)
class Question:
    """What is queried."""

    name: str  # absolute, in lower case, with its last dot
    record_type: str  # SRV, A or AAAA

    def __str__(self) -> str:
        return f"{self.name} {self.record_type}"


@dataclass(frozen=True, slots=True)
class Record:
    """One record of class IN.

    `data` is (priority, weight, port, target) of an SRV record, (address,) of A and AAAA, (minimum,) of a SOA, else
    (name,). Names are as in a `Question`.
    """

    name: str
    record_type: str
    ttl: int  # seconds
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


def normalize_name(name: str) -> str:
    """A name as a `Question` has it. ValueError for one that cannot be."""
    try:
        text = dns.name.from_text(name.strip()).canonicalize().to_text()
    except (dns.exception.DNSException, UnicodeError) as error:
        raise ValueError(f"{name!r} is no domain name: {error}") from None
    if text == "." or " " in name.strip():
        raise ValueError(f"{name!r} is no domain name")
    return text


def encode_query(question: Question, message_id: int, *, edns: bool) -> bytes:
    """The query, with recursion desired."""
    query = dns.message.make_query(question.name, question.record_type, use_edns=False)
    if edns:
        query.use_edns(0, payload=UDP_SIZE)
    query.id = message_id
    return query.to_wire()


def decode_reply(data: bytes) -> Reply:
    """The answer in `data`. MessageError for anything else; records of types not used here are left out."""
    try:
        message = dns.message.from_wire(data, one_rr_per_rrset=True, raise_on_truncation=False)
    except (dns.exception.DNSException, ValueError, IndexError, KeyError, struct.error) as error:
        raise MessageError(f"no DNS message: {type(error).__name__}") from None
    if not message.flags & dns.flags.QR:
        raise MessageError("a query, no answer")
    return Reply(
        id=message.id,
        question=_question(message),
        rcode=int(message.rcode()),
        truncated=bool(message.flags & dns.flags.TC),
        authoritative=bool(message.flags & dns.flags.AA),
        answers=_records(message.answer),
        authority=_records(message.authority),
        additional=_records(message.additional),
    )


def _question(message: dns.message.Message) -> Question | None:
    if not message.question or message.question[0].rdclass != dns.rdataclass.IN:
        return None
    rrset = message.question[0]
    return Question(_name(rrset.name), dns.rdatatype.to_text(rrset.rdtype))


def _name(name: dns.name.Name) -> str:
    return name.canonicalize().to_text()


def _records(section: list[dns.rrset.RRset]) -> tuple[Record, ...]:
    """The records of a section that are used here."""
    records = []
    for rrset in section:
        record_type = dns.rdatatype.to_text(rrset.rdtype)
        if record_type not in RECORD_TYPES or rrset.rdclass != dns.rdataclass.IN:
            continue
        ttl = 0 if rrset.ttl > MAX_TTL else int(rrset.ttl)
        for item in rrset:
            records.append(Record(_name(rrset.name), record_type, ttl, _data(record_type, item)))
    return tuple(records)


def _data(record_type: str, item: object) -> tuple[int | str, ...]:
    """A record's data."""
    get = item.__getattribute__
    if record_type == "SRV":
        return get("priority"), get("weight"), get("port"), _name(get("target"))
    if record_type in ("A", "AAAA"):
        return (str(ip_address(get("address"))),)
    if record_type == "SOA":
        return (min(get("minimum"), MAX_TTL),)
    return (_name(get("target")),)
