"""One question, from the first try to an answer or a failure. Free of I/O.

The host sends what `Send` says, each UDP try from a socket of its own (a new random port, RFC 5452), and tells what
comes back. Only one try is waited for at a time; answers to earlier ones still count.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import Literal

from harecross.dns.message import (
    BADVERS,
    FORMERR,
    NOERROR,
    NOTIMP,
    NXDOMAIN,
    BadMessage,
    Question,
    Reply,
    decode,
    encode,
)
from harecross.dns.servers import EDNS_AGAIN, Server, Servers

ROUNDS = 3  # times each server is asked at most
WHOLE = 6.0  # seconds for a lookup
RCODES = {1: "FORMERR", 2: "SERVFAIL", 4: "NOTIMP", 5: "REFUSED", 16: "BADVERS"}

Transport = Literal["udp", "tcp"]


@dataclass(frozen=True, slots=True)
class Send:
    """A message to send. The host tells what comes of it by this number."""

    number: int
    transport: Transport
    server: str
    data: bytes


@dataclass(slots=True)
class Try:
    """One message that is out."""

    server: Server
    transport: Transport
    id: int
    edns: bool
    began: float


class Lookup:
    """`reply` or `failed` is set once it has ended. Every method returns what is to be sent now, if anything."""

    def __init__(self, question: Question, servers: Servers, rng: Random, now: float) -> None:
        self.question = question
        self.rng = rng
        self.reply: Reply | None = None
        self.server = ""  # who answered
        self.failed = ""  # why there is no answer: each server's reason
        self.reasons: list[str] = []
        self.ignored = 0  # messages that were not the answer to what was asked
        self.tries: dict[int, Try] = {}
        self.sent = 0
        self.ends_at = now + WHOLE
        self.times: dict[str, int] = {}
        self.left = [s for _ in range(ROUNDS) for s in servers.order(now)]
        self.current = 0  # the number of the try that is waited for
        self.due = now

    @property
    def over(self) -> bool:
        return self.reply is not None or bool(self.failed)

    def begin(self, now: float) -> list[Send]:
        """The first message."""
        return self.next(now)

    def next(self, now: float) -> list[Send]:
        """Asks the next server."""
        if not self.left or now >= self.ends_at:
            self.failed = "; ".join(dict.fromkeys(self.reasons)) or "no time left"
            return []
        server = self.left.pop(0)
        return [self.send(now, server, "tcp" if server.stream else "udp")]

    def send(self, now: float, server: Server, transport: Transport) -> Send:
        self.sent += 1
        self.current = self.sent
        edns = now >= server.plain_until
        number = self.rng.getrandbits(16)
        self.tries[self.current] = Try(server, transport, number, edns, now)
        count = self.times.get(server.address, 0)
        self.times[server.address] = count + 1
        # A connection takes a round-trip to come up.
        patience = server.patience(count) * (2 if transport == "tcp" else 1)
        self.due = min(now + patience, self.ends_at)
        return Send(self.current, transport, server.address, encode(self.question, number, edns))

    # ---- what happens ---------------------------------------------------------------------------------

    def tick(self, now: float) -> list[Send]:
        """Time has passed; acts at `due`."""
        if self.over or now < self.due:
            return []
        return self.give_up(now, self.current, "no answer in time")

    def broken(self, now: float, number: int, why: str) -> list[Send]:
        """A try cannot be answered any more: refused by the network, or a connection that was cut."""
        return [] if self.over else self.give_up(now, number, why)

    def give_up(self, now: float, number: int, why: str) -> list[Send]:
        """A try has failed; the next one where it was the one that is waited for."""
        tried = self.tries[number]
        tried.server.failed(now)
        self.reasons.append(f"{tried.server.address}: {why}")
        return self.next(now) if number == self.current else []

    def received(self, now: float, number: int, data: bytes) -> list[Send]:
        """A whole message came for a try, from the address it was sent to.

        Guards against: a forged answer. One whose id or question differs is passed over, and the true one is
        still waited for (RFC 5452, 9); over a connection nothing else can follow, and the try has failed.
        """
        tried = self.tries.get(number)
        if tried is None or self.over:
            return []
        try:
            reply = decode(data)
            if reply.id != tried.id:
                raise BadMessage("another id")
            # A server that cannot read the query may leave its question out.
            if reply.question != self.question and not (reply.question is None and reply.rcode == FORMERR):
                raise BadMessage("another question")
        except BadMessage as e:
            self.ignored += 1
            return [] if tried.transport == "udp" else self.give_up(now, number, str(e))
        server = tried.server
        if tried.edns and reply.rcode in (FORMERR, NOTIMP, BADVERS):
            # RFC 6891, 7: it does not know the OPT record. Asked again at once without one.
            server.plain_until = now + EDNS_AGAIN
            return [self.send(now, server, tried.transport)]
        if reply.truncated:
            # RFC 7766, 5: a part of a set is no set. Over TCP there is no reason to cut one.
            if tried.transport == "tcp":
                return self.give_up(now, number, "truncated over TCP")
            server.answered(now - tried.began)
            return [self.send(now, server, "tcp")] if number == self.current else []
        if reply.rcode not in (NOERROR, NXDOMAIN):
            return self.give_up(now, number, RCODES.get(reply.rcode, f"rcode {reply.rcode}"))
        if lame(reply):
            return self.give_up(now, number, "lame: it refers to others")
        server.answered(now - tried.began)
        self.reply, self.server = reply, server.address
        return []


def lame(reply: Reply) -> bool:
    """Whether a server that should know, or ask for us, points to other servers in place of an answer."""
    return (
        reply.rcode == NOERROR
        and not reply.answers
        and not reply.authoritative
        and any(r.kind == "NS" for r in reply.authority)
        and not any(r.kind == "SOA" for r in reply.authority)
    )
