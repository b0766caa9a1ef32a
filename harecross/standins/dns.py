"""A scripted DNS server over UDP, TCP and TLS on loopback, with faults (RFC 1035, 7766, 7858)."""

from __future__ import annotations

import asyncio
import ssl
import struct
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple, cast

import dns.flags
import dns.message
import dns.name
import dns.rcode
import dns.rdatatype
import dns.rrset

MAX_MESSAGE_BYTES = 65_535
MAX_UDP_BYTES = 512  # largest reply over UDP to a query without EDNS
MIN_RECORD_BYTES = 30  # smallest size of an encoded SRV record
MAX_ALIASES = 20
NEVER_CLOSE = -1


class Exchange(NamedTuple):
    """A query and the reply built from the server's records. A fault may modify the reply.

    `transport` is "udp" or "tcp".
    """

    server: DnsServer
    query: dns.message.Message
    reply: dns.message.Message
    transport: str


# A fault returns the messages to send (an empty list to send no reply), or None to pass the exchange to the next fault.
Fault = Callable[[Exchange], list[bytes] | None]


class RecordSet(NamedTuple):
    """The records of one name and type.

    Attributes:
        ttl: Time to live in seconds.
        data: The data of each record, in zone file format.
    """

    ttl: int
    data: list[str]


class DnsServer:
    """A DNS server.

    Attributes:
        records: Record sets by name and type.
        faults: Applied to each exchange, in order, until one of them returns messages.
        reply_delay_s: Delay of each reply.
        tcp_bytes_before_close: Number of bytes of a reply over TCP after which the connection is closed; NEVER_CLOSE
            means that replies are sent completely.
        sends_additional: Whether replies with SRV records hold the targets' addresses in the additional section.
        negative_ttl: TTL of negative answers in seconds.
        queries: Number of received queries, by name, type and transport.
        connections: Number of accepted TCP and TLS connections.
        address: HOST:PORT at which the server listens over UDP and TCP.
        tls_address: tls://HOST:PORT at which the server listens over TLS; empty without TLS.
    """

    tcp_listener: asyncio.Server
    udp_transport: asyncio.DatagramTransport

    def __init__(self) -> None:
        self.records: dict[tuple[str, str], RecordSet] = {}
        self.faults: list[Fault] = []
        self.reply_delay_s = 0.0
        self.tcp_bytes_before_close = NEVER_CLOSE
        self.sends_additional = True
        self.negative_ttl = 2
        self.queries: Counter[tuple[str, str, str]] = Counter()
        self.connections = 0
        self.address = ""
        self.tls_address = ""
        self.tls_listener: asyncio.Server | None = None

    async def start(self, host: str = "127.0.0.1", tls: ssl.SSLContext | None = None) -> DnsServer:
        """Listens on one port over UDP and TCP, and with `tls` on another port over TLS (RFC 7858)."""
        if tls is not None:
            self.tls_listener = await asyncio.start_server(self._serve_connection, host, 0, ssl=tls)
            self.tls_address = f"tls://{host}:{self.tls_listener.sockets[0].getsockname()[1]}"
        port = await self._listen(host)
        self.address = f"{host}:{port}"
        return self

    async def _listen(self, host: str) -> int:
        """Listens on a port that is free for both UDP and TCP, and returns the port."""
        loop = asyncio.get_running_loop()
        while True:
            self.tcp_listener = await asyncio.start_server(self._serve_connection, host, 0)
            port: int = self.tcp_listener.sockets[0].getsockname()[1]
            try:
                self.udp_transport, _ = await loop.create_datagram_endpoint(
                    lambda: UdpProtocol(self), local_addr=(host, port)
                )
            except OSError:
                self.tcp_listener.close()  # the port is already in use for UDP
            else:
                return port

    def stop(self) -> None:
        """Closes the listening sockets."""
        self.tcp_listener.close()
        if self.tls_listener is not None:
            self.tls_listener.close()
        self.udp_transport.close()

    def set_records(self, name: str, record_type: str, *data: str, ttl: int = 5) -> None:
        """Sets the records of a name and type."""
        self.records[name, record_type] = RecordSet(ttl, list(data))

    def remove_records(self, name: str, record_type: str) -> None:
        """Removes the records of a name and type."""
        self.records.pop((name, record_type), None)

    def answer(self, query: dns.message.Message, transport: str) -> list[bytes]:
        """Returns the messages to send in reply to a query; an empty list if a fault suppresses the reply."""
        question = query.question[0]
        name, record_type = question.name.canonicalize().to_text(), dns.rdatatype.to_text(question.rdtype)
        self.queries[name, record_type, transport] += 1
        reply = dns.message.make_response(query, recursion_available=True)
        reply.flags |= dns.flags.AA
        self._fill_reply(reply, name, record_type)
        exchange = Exchange(self, query, reply, transport)
        for fault in self.faults:
            messages = fault(exchange)
            if messages is not None:
                return messages
        udp_bytes = query.payload if query.edns >= 0 else MAX_UDP_BYTES
        return [to_wire(reply, MAX_MESSAGE_BYTES if transport == "tcp" else udp_bytes)]

    def _fill_reply(self, reply: dns.message.Message, name: str, record_type: str) -> None:
        """Adds to the reply the aliases and records of a name, or a negative answer."""
        for _ in range(MAX_ALIASES):
            rrset = self._rrset(name, record_type)
            alias = self._rrset(name, "CNAME")
            if rrset is not None or alias is None:
                break
            reply.answer.append(alias)
            name = alias[0].target.to_text()
        if rrset is not None:
            reply.answer.append(rrset)
            if record_type == "SRV" and self.sends_additional:
                self._add_target_addresses(reply, rrset)
        elif not reply.answer or alias is None:
            self._add_negative_answer(reply, name)

    def _rrset(self, name: str, record_type: str) -> dns.rrset.RRset | None:
        records = self.records.get((name, record_type))
        if records is None:
            return None
        return dns.rrset.from_text(name, records.ttl, "IN", record_type, *records.data)

    def _add_target_addresses(self, reply: dns.message.Message, rrset: dns.rrset.RRset) -> None:
        for target in dict.fromkeys(record.target.to_text() for record in rrset):
            for record_type in ("A", "AAAA"):
                addresses = self._rrset(target, record_type)
                if addresses is not None:
                    reply.additional.append(addresses)

    def _add_negative_answer(self, reply: dns.message.Message, name: str) -> None:
        if not any(known_name == name for known_name, _ in self.records):
            reply.set_rcode(dns.rcode.NXDOMAIN)
        soa = f"ns. admin. 1 60 60 60 {self.negative_ttl}"
        reply.authority.append(dns.rrset.from_text("example.org.", self.negative_ttl, "IN", "SOA", soa))

    async def _serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            while await self._serve_query(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError, ssl.SSLError):
            pass
        writer.close()

    async def _serve_query(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Answers one query; returns False if the connection must be closed."""
        (size,) = struct.unpack("!H", await reader.readexactly(2))
        messages = self.answer(dns.message.from_wire(await reader.readexactly(size)), "tcp")
        await asyncio.sleep(self.reply_delay_s)
        data = b"".join(struct.pack("!H", len(message)) + message for message in messages)
        if 0 <= self.tcp_bytes_before_close < len(data):
            writer.write(data[: self.tcp_bytes_before_close])
            await writer.drain()
            return False
        writer.write(data)
        return True


class UdpProtocol(asyncio.DatagramProtocol):
    """The UDP socket of a server."""

    def __init__(self, server: DnsServer) -> None:
        self._server = server
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport of the open socket."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Answers a query after the server's reply delay."""
        assert self._transport is not None
        loop = asyncio.get_running_loop()
        for message in self._server.answer(dns.message.from_wire(data), "udp"):
            loop.call_later(self._server.reply_delay_s, self._transport.sendto, message, addr)


def to_wire(reply: dns.message.Message, max_bytes: int = MAX_MESSAGE_BYTES) -> bytes:
    """Returns the reply in wire format.

    If it is larger than `max_bytes`, the additional records are omitted; if that is not enough, it is truncated.
    """
    try:
        return reply.to_wire(max_size=max_bytes)
    except dns.exception.TooBig:
        reply.additional.clear()
    try:
        return reply.to_wire(max_size=max_bytes)
    except dns.exception.TooBig:
        return truncated_to_wire(reply, max_bytes)


def truncated_to_wire(reply: dns.message.Message, max_bytes: int) -> bytes:
    """Returns the reply with the TC flag set and as many answer records as fit, as many real servers do."""
    truncated = dns.message.Message(reply.id)
    truncated.flags, truncated.question = reply.flags | dns.flags.TC, reply.question
    count = min(len(reply.answer[0]) - 1, max_bytes // MIN_RECORD_BYTES) if reply.answer else 0
    while count:
        truncated.answer = [first_records(reply.answer[0], count)]
        try:
            return truncated.to_wire(max_size=max_bytes)
        except dns.exception.TooBig:
            count = count * 4 // 5
    truncated.answer = []
    return truncated.to_wire(max_size=max_bytes)


def first_records(rrset: dns.rrset.RRset, count: int) -> dns.rrset.RRset:
    """Returns the first `count` records of a record set."""
    return dns.rrset.from_rdata_list(rrset.name, rrset.ttl, list(rrset)[:count])


def silent(exchange: Exchange) -> list[bytes]:
    """Sends no reply."""
    return []


def error_reply(rcode: int) -> Fault:
    """Returns a fault that answers every query with this error code."""

    def fault(exchange: Exchange) -> list[bytes]:
        error = dns.message.make_response(exchange.query)
        error.set_rcode(dns.rcode.Rcode(rcode))
        return [to_wire(error)]

    return fault


def no_edns(exchange: Exchange) -> list[bytes] | None:
    """Does not support EDNS: answers a query that has an OPT record with FORMERR, without the question."""
    if exchange.query.edns < 0:
        return None
    error = dns.message.Message(exchange.query.id)
    error.flags = dns.flags.QR
    error.set_rcode(dns.rcode.FORMERR)
    return [error.to_wire()]


def forged(exchange: Exchange) -> list[bytes] | None:
    """Over UDP, sends a forged reply with another id before the genuine one."""
    if exchange.transport != "udp":
        return None
    data = to_wire(exchange.reply)
    return [bytes([data[0] ^ 0xFF, *data[1:]]), data]


def lame(exchange: Exchange) -> list[bytes]:
    """Sends a referral to other servers instead of an answer, like a lame server."""
    referral = dns.message.make_response(exchange.query)
    referral.authority.append(dns.rrset.from_text("example.org.", 60, "IN", "NS", "ns.other.example."))
    return [to_wire(referral)]


def always_truncated(exchange: Exchange) -> list[bytes] | None:
    """Over UDP, sends one record of each record set, with the TC flag set."""
    if exchange.transport != "udp":
        return None
    reply = exchange.reply
    reply.answer = [first_records(rrset, 1) for rrset in reply.answer]
    reply.flags |= dns.flags.TC
    return [to_wire(reply)]


def compression_loop(exchange: Exchange) -> list[bytes]:
    """Sends a name whose compression pointer points to itself."""
    header = struct.pack("!HHHHHH", exchange.query.id, 0x8580, 1, 1, 0, 0)
    pointer = b"\xc0\x0c"
    question = pointer + struct.pack("!HH", 33, 1)
    return [header + question + pointer + struct.pack("!HHIH", 33, 1, 5, 0)]
