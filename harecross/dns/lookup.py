"""The lookup of one question, from the first attempt to a reply or a failure.

The caller sends each `OutgoingQuery`, over UDP from a new socket with a random port (RFC 5452), and reports its result.
Only the newest attempt has a timeout, but a reply to an earlier attempt is accepted as well.
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
TCP_TIMEOUT_FACTOR = 2  # opening a TCP connection takes an additional round-trip
RCODE_NAMES = {1: "FORMERR", 2: "SERVFAIL", 4: "NOTIMP", 5: "REFUSED", 16: "BADVERS"}

Transport = Literal["udp", "tcp"]


@dataclass(frozen=True, slots=True)
class OutgoingQuery:
    """A query to send.

    Attributes:
        attempt: Number of the attempt, with which the caller reports the result.
        transport: How to send the query; "tcp" includes TLS.
        server: Address of the DNS server, as in `NameServer.address`.
        data: The query in wire format.
    """

    attempt: int
    transport: Transport
    server: str
    data: bytes


@dataclass(slots=True)
class Attempt:
    """One query that was sent."""

    server: NameServer
    transport: Transport
    message_id: int
    edns: bool
    sent_at: float


class Lookup:
    """The lookup of one question. Its methods return the queries to send now, if any.

    Attributes:
        question: The question to look up.
        reply: The reply, once the lookup has succeeded.
        failure: The reason for each failed attempt, once the lookup has failed; empty until then.
        due: Time at which to call `check_timeout`.
    """

    def __init__(self, question: Question, servers: NameServers, rng: Random, now: float) -> None:
        self.question = question
        self.reply: Reply | None = None
        self.failure = ""
        self.due = now
        self._rng = rng
        self._reasons: list[str] = []
        self._attempts: dict[int, Attempt] = {}
        self._attempts_by_server: dict[str, int] = {}
        self._current_attempt = 0  # number of the newest attempt, the only one with a timeout
        self._ends_at = now + LOOKUP_TIMEOUT_S
        self._remaining = [
            server for _ in range(MAX_ATTEMPTS_PER_SERVER) for server in servers.by_preference(now)
        ]

    @property
    def done(self) -> bool:
        """Whether the lookup has succeeded or failed."""
        return self.reply is not None or bool(self.failure)

    def start(self, now: float) -> list[OutgoingQuery]:
        """Starts the lookup with the first server."""
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

    def check_timeout(self, now: float) -> list[OutgoingQuery]:
        """Fails the current attempt if `due` has been reached."""
        if self.done or now < self.due:
            return []
        return self._fail(now, self._current_attempt, "no answer in time")

    def transport_failed(self, now: float, attempt: int, reason: str) -> list[OutgoingQuery]:
        """Fails an attempt that can no longer be answered because of a network error or a closed connection."""
        return [] if self.done else self._fail(now, attempt, reason)

    def _fail(self, now: float, number: int, reason: str) -> list[OutgoingQuery]:
        """Records the failure of an attempt, and starts the next attempt if it was the current one."""
        server = self._attempts[number].server
        server.record_failure(now)
        self._reasons.append(f"{server.address}: {reason}")
        return self._query_next(now) if number == self._current_attempt else []

    def receive(self, now: float, number: int, data: bytes) -> list[OutgoingQuery]:
        """Processes a complete message that arrived for an attempt, from the address to which the query was sent.

        Over UDP, a message with another id or question may be forged: it is ignored, and the lookup continues to wait
        for the genuine reply (RFC 5452, 9). Over a connection no genuine reply can follow, so the attempt fails.
        """
        attempt = self._attempts.get(number)
        if attempt is None or self.done:
            return []
        try:
            reply = decode_reply(data)
            self._check_reply(reply, attempt)
        except MessageError as error:
            return [] if attempt.transport == "udp" else self._fail(now, number, str(error))
        return self._process_reply(now, number, attempt, reply)

    def _check_reply(self, reply: Reply, attempt: Attempt) -> None:
        """Raises MessageError if a reply does not belong to the attempt's query."""
        if reply.id != attempt.message_id:
            raise MessageError("the reply's id does not match the query's")
        # A server that cannot parse the query may omit the question from its FORMERR reply.
        unparsed = reply.question is None and reply.rcode == FORMERR
        if reply.question != self.question and not unparsed:
            raise MessageError("the reply's question does not match the query's")

    def _process_reply(self, now: float, number: int, attempt: Attempt, reply: Reply) -> list[OutgoingQuery]:
        server = attempt.server
        if attempt.edns and reply.rcode in (FORMERR, NOTIMP, BADVERS):
            # The server does not support EDNS (RFC 6891, 7), so the query is repeated at once without the OPT record.
            server.without_edns_until = now + EDNS_RETRY_S
            return [self._query(now, server, attempt.transport)]
        if reply.truncated:
            return self._process_truncated(now, number, attempt)
        if reply.rcode not in (NOERROR, NXDOMAIN):
            return self._fail(now, number, RCODE_NAMES.get(reply.rcode, f"rcode {reply.rcode}"))
        if is_referral(reply):
            return self._fail(now, number, "referral instead of an answer (lame server)")
        server.record_answer(now - attempt.sent_at)
        self.reply = reply
        return []

    def _process_truncated(self, now: float, number: int, attempt: Attempt) -> list[OutgoingQuery]:
        """Repeats the query over TCP, because a partial record set must not be used (RFC 7766, 5).

        A truncated reply over TCP is a failure, because no transport carries a larger message.
        """
        if attempt.transport == "tcp":
            return self._fail(now, number, "truncated over TCP")
        attempt.server.record_answer(now - attempt.sent_at)
        return [self._query(now, attempt.server, "tcp")] if number == self._current_attempt else []


def is_referral(reply: Reply) -> bool:
    """Returns whether a reply refers to other servers instead of answering.

    A server that is authoritative for the name, or a recursive resolver, never sends a referral.
    """
    authority = {record.record_type for record in reply.authority}
    return (
        reply.rcode == NOERROR
        and not reply.answers
        and not reply.authoritative
        and "NS" in authority
        and "SOA" not in authority
    )
