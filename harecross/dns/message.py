"""Encoding and decoding of DNS messages with dnspython (RFC 1035, 2181, 2782, 6891)."""

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

# The UDP payload size advertised with EDNS (RFC 6891). Since 2020 this is the usual value: it avoids IP fragmentation
# on all common paths.
UDP_PAYLOAD_BYTES = 1232
MAX_TTL = (1 << 31) - 1  # a TTL above this has its highest bit set and counts as 0 (RFC 2181, 8)
RECORD_TYPES = ("SRV", "A", "AAAA", "CNAME", "SOA", "NS")
NOERROR, FORMERR, SERVFAIL, NXDOMAIN, NOTIMP, REFUSED, BADVERS = 0, 1, 2, 3, 4, 5, 16


class MessageError(Exception):
    """The bytes are not the expected DNS reply; the message says why."""


@dataclass(frozen=True, slots=True)
class Question:
    """The question of a query.

    Attributes:
        name: Absolute domain name in lower case, with the trailing dot.
        record_type: SRV, A or AAAA.
    """

    name: str
    record_type: str

    def __str__(self) -> str:
        return f"{self.name} {self.record_type}"


@dataclass(frozen=True, slots=True)
class Record:
    """A resource record of class IN. Names have the form that they have in a `Question`.

    Attributes:
        name: Owner name of the record.
        record_type: One of RECORD_TYPES.
        ttl: Time to live in seconds.
        data: (priority, weight, port, target) for SRV, (address,) for A and AAAA, (minimum,) for SOA, and (name,) for
            the other types.
    """

    name: str
    record_type: str
    ttl: int
    data: tuple[int | str, ...]


@dataclass(frozen=True, slots=True)
class Reply:
    """A decoded DNS reply."""

    id: int
    question: Question | None
    rcode: int
    truncated: bool
    authoritative: bool
    answers: tuple[Record, ...]
    authority: tuple[Record, ...]
    additional: tuple[Record, ...]


def normalize_name(name: str) -> str:
    """Returns a domain name in the form of `Question.name`. Raises ValueError if it is invalid."""
    try:
        text = dns.name.from_text(name.strip()).canonicalize().to_text()
    except (dns.exception.DNSException, UnicodeError) as error:
        raise ValueError(f"{name!r} is not a valid domain name: {error}") from None
    if text == "." or " " in name.strip():
        raise ValueError(f"{name!r} is not a valid domain name: expected labels without spaces, not the root")
    return text


def encode_query(question: Question, message_id: int, *, edns: bool) -> bytes:
    """Returns a query in wire format, with the RD flag (recursion desired) set."""
    query = dns.message.make_query(question.name, question.record_type, use_edns=False)
    if edns:
        query.use_edns(0, payload=UDP_PAYLOAD_BYTES)
    query.id = message_id
    return query.to_wire()


def decode_reply(data: bytes) -> Reply:
    """Decodes a reply; records of other types than RECORD_TYPES are left out.

    Raises:
        MessageError: `data` is not a DNS message, or is a query.
    """
    try:
        message = dns.message.from_wire(data, one_rr_per_rrset=True, raise_on_truncation=False)
    except (dns.exception.DNSException, ValueError, IndexError, KeyError, struct.error) as error:
        raise MessageError(f"malformed DNS message: {type(error).__name__}") from None
    if not message.flags & dns.flags.QR:
        raise MessageError("expected a reply, received a query")
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
    """Returns the records of a section whose type is in RECORD_TYPES and whose class is IN."""
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
    """Returns a record's data in the form of `Record.data`."""
    get = item.__getattribute__
    if record_type == "SRV":
        return get("priority"), get("weight"), get("port"), _name(get("target"))
    if record_type in ("A", "AAAA"):
        return (str(ip_address(get("address"))),)
    if record_type == "SOA":
        return (min(get("minimum"), MAX_TTL),)
    return (_name(get("target")),)
