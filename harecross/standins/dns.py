"""A DNS server over UDP and TCP on loopback that says what its script says, faults included. RFC 1035."""

from __future__ import annotations

import asyncio
import ssl
import struct
from collections import Counter
from collections.abc import Callable
from typing import cast

import dns.flags
import dns.message
import dns.name
import dns.opcode
import dns.rcode
import dns.rdatatype
import dns.rrset

Fault = Callable[["DnsServer", dns.message.Message, dns.message.Message, str], "list[bytes] | None"]


class DnsServer:
    """`records` maps (name, kind) to lines of data with a TTL; `faults` are tried in order on each answer.

    A fault gets the server, the query, the honest answer and the transport. It returns the messages to send, none
    at all to say nothing, or None to leave the answer to the next fault.
    """

    def __init__(self) -> None:
        self.records: dict[tuple[str, str], tuple[int, list[str]]] = {}
        self.faults: list[Fault] = []
        self.delay = 0.0  # seconds before each answer
        self.cut_tcp = -1  # bytes of an answer over TCP after which the connection is cut; -1 for none
        self.additional = True  # addresses of SRV targets come along
        self.negative_ttl = 2
        self.asked: Counter[tuple[str, str, str]] = Counter()  # name, kind, transport
        self.connections = 0
        self.address = self.tls_address = ""
        self.tls: asyncio.Server | None = None

    async def start(self, host: str = "127.0.0.1", tls: ssl.SSLContext | None = None) -> DnsServer:
        """Listens on one port over both transports; with `tls` on another one too, at `tls_address` (RFC 7858)."""
        loop = asyncio.get_running_loop()
        if tls is not None:
            self.tls = await asyncio.start_server(self.serve, host, 0, ssl=tls)
            self.tls_address = f"tls://{host}:{self.tls.sockets[0].getsockname()[1]}"
        while True:
            self.tcp = await asyncio.start_server(self.serve, host, 0)
            port = self.tcp.sockets[0].getsockname()[1]
            try:
                self.udp, _ = await loop.create_datagram_endpoint(lambda: Udp(self), local_addr=(host, port))
                break
            except OSError:
                self.tcp.close()  # the port is another's over UDP
        self.address = f"{host}:{port}"
        return self

    def stop(self) -> None:
        self.tcp.close()
        if self.tls is not None:
            self.tls.close()
        self.udp.close()

    def put(self, name: str, kind: str, *data: str, ttl: int = 5) -> None:
        """Sets what a name holds of a kind."""
        self.records[name, kind] = (ttl, list(data))

    def remove(self, name: str, kind: str) -> None:
        self.records.pop((name, kind), None)

    # ---- answers --------------------------------------------------------------------------------------

    def rrset(self, name: str, kind: str) -> dns.rrset.RRset | None:
        held = self.records.get((name, kind))
        return dns.rrset.from_text(name, held[0], "IN", kind, *held[1]) if held is not None else None

    def answer(self, query: dns.message.Message, transport: str) -> list[bytes]:
        """The messages to send; none where the script says so."""
        asked = query.question[0]
        name, kind = asked.name.canonicalize().to_text(), dns.rdatatype.to_text(asked.rdtype)
        self.asked[name, kind, transport] += 1
        reply = dns.message.make_response(query, recursion_available=True)
        reply.flags |= dns.flags.AA
        for _ in range(20):
            found = self.rrset(name, kind)
            alias = self.rrset(name, "CNAME")
            if found is not None or alias is None:
                break
            reply.answer.append(alias)
            name = alias[0].target.to_text()
        if found is not None:
            reply.answer.append(found)
            if kind == "SRV" and self.additional:
                for target in dict.fromkeys(item.target.to_text() for item in found):
                    extra = (self.rrset(target, "A"), self.rrset(target, "AAAA"))
                    reply.additional.extend(r for r in extra if r is not None)
        elif not reply.answer or alias is None:
            if not any(n == name for n, _ in self.records):
                reply.set_rcode(dns.rcode.NXDOMAIN)
            soa = f"ns. admin. 1 60 60 60 {self.negative_ttl}"
            reply.authority.append(dns.rrset.from_text("example.org.", self.negative_ttl, "IN", "SOA", soa))
        for fault in self.faults:
            said = fault(self, query, reply, transport)
            if said is not None:
                return said
        size = 65_535 if transport == "tcp" else (query.payload if query.edns >= 0 else 512)
        return [wire(reply, size)]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            while True:
                (size,) = struct.unpack("!H", await reader.readexactly(2))
                said = self.answer(dns.message.from_wire(await reader.readexactly(size)), "tcp")
                await asyncio.sleep(self.delay)
                whole = b"".join(struct.pack("!H", len(data)) + data for data in said)
                if 0 <= self.cut_tcp < len(whole):
                    writer.write(whole[: self.cut_tcp])
                    await writer.drain()
                    break
                writer.write(whole)
        except (asyncio.IncompleteReadError, ConnectionError, ssl.SSLError):
            pass
        writer.close()


class Udp(asyncio.DatagramProtocol):
    """The server's UDP side."""

    def __init__(self, server: DnsServer) -> None:
        self.server = server

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        for answer in self.server.answer(dns.message.from_wire(data), "udp"):
            asyncio.get_running_loop().call_later(self.server.delay, self.transport.sendto, answer, addr)


def wire(reply: dns.message.Message, size: int = 65_535) -> bytes:
    """The message, cut at whole records with TC set where it is larger than `size`; additional records go first."""
    try:
        return reply.to_wire(max_size=size)
    except dns.exception.TooBig:
        reply.additional.clear()
    try:
        return reply.to_wire(max_size=size)
    except dns.exception.TooBig:
        pass
    short = dns.message.Message(reply.id)
    short.flags, short.question = reply.flags | dns.flags.TC, reply.question
    # As many servers do: what fits of the set stays, and only TC tells that it is not whole.
    count = min(len(reply.answer[0]) - 1, size // 30) if reply.answer else 0
    while count:
        short.answer = [part(reply.answer[0], count)]
        try:
            return short.to_wire(max_size=size)
        except dns.exception.TooBig:
            count = count * 4 // 5
    short.answer = []
    return short.to_wire(max_size=size)


def part(rrset: dns.rrset.RRset, count: int) -> dns.rrset.RRset:
    """The first records of a set."""
    return dns.rrset.from_rdata_list(rrset.name, rrset.ttl, list(rrset)[:count])


# ---- faults ---------------------------------------------------------------------------------------------


def silent(
    server: DnsServer, query: dns.message.Message, reply: dns.message.Message, transport: str
) -> list[bytes]:
    """Says nothing."""
    return []


def rcode(code: int) -> Fault:
    """Every answer is this error."""

    def fault(
        server: DnsServer, query: dns.message.Message, reply: dns.message.Message, transport: str
    ) -> list[bytes]:
        empty = dns.message.make_response(query)
        empty.set_rcode(dns.rcode.Rcode(code))
        return [wire(empty)]

    return fault


def no_edns(
    server: DnsServer, query: dns.message.Message, reply: dns.message.Message, transport: str
) -> list[bytes] | None:
    """Does not know the OPT record: FORMERR without a question."""
    if query.edns < 0:
        return None
    error = dns.message.Message(query.id)
    error.flags = dns.flags.QR
    error.set_rcode(dns.rcode.FORMERR)
    return [error.to_wire()]


def forged(
    server: DnsServer, query: dns.message.Message, reply: dns.message.Message, transport: str
) -> list[bytes] | None:
    """Over UDP an answer with another id comes first, the honest one behind it."""
    if transport != "udp":
        return None
    data = wire(reply)
    return [bytes([data[0] ^ 0xFF, *data[1:]]), data]


def lame(
    server: DnsServer, query: dns.message.Message, reply: dns.message.Message, transport: str
) -> list[bytes]:
    """Points to other servers in place of an answer."""
    other = dns.message.make_response(query)
    other.authority.append(dns.rrset.from_text("example.org.", 60, "IN", "NS", "ns.other.example."))
    return [wire(other)]


def always_truncated(
    server: DnsServer, query: dns.message.Message, reply: dns.message.Message, transport: str
) -> list[bytes] | None:
    """Over UDP one record of each set comes, and TC."""
    if transport != "udp":
        return None
    reply.answer = [part(rrset, 1) for rrset in reply.answer]
    reply.flags |= dns.flags.TC
    return [wire(reply)]


def compression_loop(
    server: DnsServer, query: dns.message.Message, reply: dns.message.Message, transport: str
) -> list[bytes]:
    """A name that points to itself."""
    head = struct.pack("!HHHHHH", query.id, 0x8580, 1, 1, 0, 0)
    return [head + b"\xc0\x0c" + struct.pack("!HH", 33, 1) + b"\xc0\x0c" + struct.pack("!HHIH", 33, 1, 5, 0)]
