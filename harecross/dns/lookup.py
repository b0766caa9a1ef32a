"""One question, from the first attempt to an answer or a failure. Free of I/O.

The caller sends each `OutgoingQuery`, over UDP from a socket of its own (a new random port, RFC 5452), and reports what
comes back. One attempt is waited for at a time; answers to earlier ones still count.
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
    MessageError,
    Question,
    Reply,
    decode_reply,
    encode_query,
)
from harecross.dns.servers import EDNS_RETRY_S, NameServer, NameServers

MAX_ATTEMPTS_PER_SERVER = 3
LOOKUP_TIMEOUT_S = 6.0
TCP_TIMEOUT_FACTOR = 2  # a connection takes a round-trip to come up
RCODE_NAMES = {1: "FORMERR", 2: "SERVFAIL", 4: "NOTIMP", 5: "REFUSED", 16: "BADVERS"}

Transport = Literal["udp", "tcp"]


@dataclass(frozen=True, slots=True)
class OutgoingQuery:
    """A message to send."""

    attempt: int  # by this number the result is reported
    transport: Transport
    server: str
    data: bytes


@dataclass(slots=True)
class Attempt:
    """One message that was sent."""

    server: NameServer
    transport: Transport
    message_id: int
    edns: bool
    sent_at: float


class Lookup:
    """`reply` or `failure` is set once it has ended. Its methods return what is to be sent now, if anything."""

    def __init__(self, question: Question, servers: NameServers, rng: Random, now: float) -> None:
        self.question = question
        self.reply: Reply | None = None
        self.failure = ""  # why there is no answer: each server's reason
        self.due = now  # when to call `check_timeout`
        self._rng = rng
        self._reasons: list[str] = []
        self._attempts: dict[int, Attempt] = {}
        self._attempts_by_server: dict[str, int] = {}
        self._current_attempt = 0  # the number of the one that is waited for
        self._ends_at = now + LOOKUP_TIMEOUT_S
        self._remaining = [server for _ in range(MAX_ATTEMPTS_PER_SERVER) for server in servers.in_order(now)]

    @property
    def done(self) -> bool:
        """Whether it has ended."""
        return self.reply is not None or bool(self.failure)

    def start(self, now: float) -> list[OutgoingQuery]:
        """Begins with the first server."""
        return self._query_next(now)

    def _query_next(self, now: float) -> list[OutgoingQuery]:
        if not self._remaining or now >= self._ends_at:
            self.failure = "; ".join(dict.fromkeys(self._reasons)) or "no time left"
            return []
        server = self._remaining.pop(0)
        return [self._query(now, server, "tcp" if server.uses_tls else "udp")]

    def _query(self, now: float, server: NameServer, transport: Transport) -> OutgoingQuery:
        self._current_attempt += 1
        edns = now >= server.without_edns_until
        message_id = self._rng.getrandbits(16)
        self._attempts[self._current_attempt] = Attempt(server, transport, message_id, edns, now)
        attempts = self._attempts_by_server.get(server.address, 0)
        self._attempts_by_server[server.address] = attempts + 1
        timeout_s = server.timeout_s(attempts) * (TCP_TIMEOUT_FACTOR if transport == "tcp" else 1)
        self.due = min(now + timeout_s, self._ends_at)
        data = encode_query(self.question, message_id, edns=edns)
        return OutgoingQuery(self._current_attempt, transport, server.address, data)

    # ---- results ------------------------------------------------------------------------------------------

    def check_timeout(self, now: float) -> list[OutgoingQuery]:
        """Gives up the current attempt once `due` has come."""
        if self.done or now < self.due:
            return []
        return self._fail(now, self._current_attempt, "no answer in time")

    def transport_failed(self, now: float, attempt: int, reason: str) -> list[OutgoingQuery]:
        """An attempt cannot be answered any more: the network refused it, or its connection was cut."""
        return [] if self.done else self._fail(now, attempt, reason)

    def _fail(self, now: float, number: int, reason: str) -> list[OutgoingQuery]:
        """An attempt has failed; the next one follows where it was the current one."""
        server = self._attempts[number].server
        server.record_failure(now)
        self._reasons.append(f"{server.address}: {reason}")
        return self._query_next(now) if number == self._current_attempt else []

    def receive(self, now: float, number: int, data: bytes) -> list[OutgoingQuery]:
        """Takes a whole message that came for an attempt, from the address it was sent to.

        One whose id or question differs may be forged: it is ignored, and the true one still waited for (RFC 5452, 9).
        On a connection no other can follow, and the attempt has failed.
        """
        attempt = self._attempts.get(number)
        if attempt is None or self.done:
            return []
        try:
            reply = decode_reply(data)
            self._check_reply(reply, attempt)
        except MessageError as error:
            return [] if attempt.transport == "udp" else self._fail(now, number, str(error))
        return self._take_reply(now, number, attempt, reply)

    def _check_reply(self, reply: Reply, attempt: Attempt) -> None:
        """MessageError for a reply to another query."""
        if reply.id != attempt.message_id:
            raise MessageError("another id")
        # A server that cannot read the query may leave its question out.
        unread = reply.question is None and reply.rcode == FORMERR
        if reply.question != self.question and not unread:
            raise MessageError("another question")

    def _take_reply(self, now: float, number: int, attempt: Attempt, reply: Reply) -> list[OutgoingQuery]:
        server = attempt.server
        if attempt.edns and reply.rcode in (FORMERR, NOTIMP, BADVERS):
            # RFC 6891, 7: it does not know the OPT record. Queried again at once without one.
            server.without_edns_until = now + EDNS_RETRY_S
            return [self._query(now, server, attempt.transport)]
        if reply.truncated:
            return self._take_truncated(now, number, attempt)
        if reply.rcode not in (NOERROR, NXDOMAIN):
            return self._fail(now, number, RCODE_NAMES.get(reply.rcode, f"rcode {reply.rcode}"))
        if is_referral(reply):
            return self._fail(now, number, "lame: it refers to others")
        server.record_answer(now - attempt.sent_at)
        self.reply = reply
        return []

    def _take_truncated(self, now: float, number: int, attempt: Attempt) -> list[OutgoingQuery]:
        """RFC 7766, 5: a part of a set is not used. Over TCP there is no reason to cut one."""
        if attempt.transport == "tcp":
            return self._fail(now, number, "truncated over TCP")
        attempt.server.record_answer(now - attempt.sent_at)
        return [self._query(now, attempt.server, "tcp")] if number == self._current_attempt else []


def is_referral(reply: Reply) -> bool:
    """Whether a server that should know, or ask for us, refers to other servers in place of an answer."""
    authority = {record.record_type for record in reply.authority}
    return (
        reply.rcode == NOERROR
        and not reply.answers
        and not reply.authoritative
        and "NS" in authority
        and "SOA" not in authority
    )
