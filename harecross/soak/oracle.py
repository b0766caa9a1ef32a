"""Checks a soak against the rules of the protocol.

The only input is the records of clients, servers and discoveries; nothing that a node reports is used. Every bound is
widened by the longest delay of the recording process, since recorded times may be late by as much.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterator
from enum import Enum
from itertools import pairwise
from typing import NamedTuple

from harecross.soak.records import (
    AttemptOutcome,
    AttemptRecord,
    ClientOutcome,
    ClientRecord,
    Idempotency,
    Lifecycle,
    Records,
)
from harecross.soak.slow_start import SlowStartOracle, SlowStartRules

# Time after a node is notified in which it may still send to a server that drains or is gone: the 250 ms of the
# protocol, and 50 ms for the node's sockets.
DRAIN_GRACE_S = 0.3
# Time after a client has closed its connection in which an attempt for it may still begin.
DISCONNECT_GRACE_S = 0.1
# Tolerance by which the time given to a server may exceed the time that the client has left.
DEADLINE_SLACK_S = 0.15
# Time after the deadline of a request in which its final answer may still come.
ANSWER_GRACE_S = 0.5
# SIGKILL may end a request sent up to this time after SIGTERM; one sent later and not answered counts as lost.
STOP_INTAKE_S = 0.7


# The last byte of an answer up to this size is timed, of a larger one the first byte.
MAX_SMALL_ANSWER_BYTES = 1 << 16
# Time after a server has written the first bytes of an answer in which the node may not have seen them.
BEGUN_MARGIN_S = 0.15


class Rule(Enum):
    """The rules of the protocol. The values are those of the reports."""

    LOST = "lost"
    DUPLICATE = "duplicate"
    DRAIN = "drain"
    CLIENT_GONE = "client gone"
    DEADLINE = "deadline"
    SLOW_START = "slow start"
    CRASH = "crash"


class Breach(NamedTuple):
    """One broken rule.

    Attributes:
        text: What happened, with the times that show it.
        id: Identifier of the request; empty if the breach belongs to none.
    """

    rule: Rule
    at: float
    text: str
    id: str = ""


class Oracle:
    """Checks the records of one run, indexed by request and by server."""

    def __init__(self, records: Records) -> None:
        self._records = records
        self._slack = records.max_delay
        self._attempts: dict[str, list[AttemptRecord]] = defaultdict(list)
        for attempt in records.attempts:
            self._attempts[attempt.id].append(attempt)
        # The indexes of each server's changes in `Records.changes`.
        self._changes: dict[str, list[int]] = defaultdict(list)
        for number, change in enumerate(records.changes):
            self._changes[change.server].append(number)
        self._notified_at = records.notified_at()

    def breaches(self) -> list[Breach]:
        """Returns all broken rules, in order of time."""
        breaches = [Breach(Rule.CRASH, c.at, f"{c.node} {c.text}") for c in self._records.crashes]
        for client in self._records.clients.values():
            attempts = self._attempts[client.id]
            breaches += self._check_answer(client, attempts)
            breaches += self._check_cut_off(client, attempts)
            breaches += self._check_duplicates(client, attempts)
            for attempt in attempts:
                breaches += self._check_drain(client, attempt)
                breaches += self._check_disconnect(client, attempt)
                breaches += self._check_deadline(client, attempt)
        breaches += self._check_slow_start()
        return sorted(breaches, key=lambda breach: breach.at)

    def _check_answer(self, client: ClientRecord, attempts: list[AttemptRecord]) -> Iterator[Breach]:
        """Checks that each request gets one final answer in time, unless SIGKILL ended it.

        An answer that its server broke off after its first bytes is not lost. Of a large one the first bytes are timed.
        """
        broken_off = any(each.began_at and each.outcome is AttemptOutcome.RESET for each in attempts)
        if client.first_byte_at and broken_off and client.outcome is ClientOutcome.CLOSED:
            return
        if client.outcome is ClientOutcome.CLOSED and not attempts and self._closed_in_crowd(client):
            return
        if client.outcome in (ClientOutcome.CLOSED, ClientOutcome.UNANSWERED):
            text = self._lost_reason(client, client.outcome)
            if text:
                yield Breach(Rule.LOST, client.ended_at, text, client.id)
        elif client.outcome is ClientOutcome.ANSWERED:
            answered_at = client.first_byte_at if client.size > MAX_SMALL_ANSWER_BYTES else client.ended_at
            late = answered_at - client.sent_at - client.timeout
            if late > ANSWER_GRACE_S + self._slack:
                yield Breach(Rule.LOST, client.ended_at, f"answered {late:.3f} s after its time", client.id)

    def _closed_in_crowd(self, client: ClientRecord) -> bool:
        """Returns whether a new connection was closed unread while others filled the descriptors, as it may be."""
        return client.new_connection and any(
            client.node.startswith(f"{crowd.node}.") and crowd.start <= client.ended_at <= crowd.end
            for crowd in self._records.crowds
        )

    def _check_cut_off(self, client: ClientRecord, attempts: list[AttemptRecord]) -> Iterator[Breach]:
        """Checks that an answer of unknown length is passed on if its server writes it, but for late in a shutdown."""
        if client.outcome is ClientOutcome.DISCONNECTED or client.status == 200:
            return
        signals = [event for event in self._records.node_events if event.node == client.node]
        if any(event.text in ("SIGTERM", "SIGKILL") and event.at <= client.ended_at for event in signals):
            return
        for attempt in attempts:
            seen_until = attempt.began_at + BEGUN_MARGIN_S + self._slack
            if (
                attempt.began_at
                and attempt.outcome is AttemptOutcome.UNFINISHED
                and attempt.ended_at > seen_until
            ):
                text = f"a sound answer of {attempt.server} was cut off, begun {attempt.began_at:.3f}"
                yield Breach(Rule.LOST, attempt.ended_at, text, client.id)

    def _lost_reason(self, client: ClientRecord, outcome: ClientOutcome) -> str:
        """Returns why a request without an answer is lost; empty if SIGKILL ended it as the protocol allows."""
        terminated_at = self._kill_between(client.node, client.sent_at, client.ended_at)
        if terminated_at is None:
            return f"{outcome.value}, sent {client.sent_at:.3f}"
        if terminated_at and client.sent_at > terminated_at + STOP_INTAKE_S + self._slack:
            return f"sent {client.sent_at - terminated_at:.3f} s after SIGTERM"
        return ""

    def _kill_between(self, node: str, start: float, end: float) -> float | None:
        """Returns the time of the SIGTERM before a SIGKILL of the process between two times.

        It is 0 if there was a SIGKILL without a SIGTERM, and None if there was no SIGKILL. Until a killed process has
        ended, the kernel goes on completing connections to it.
        """
        terminated_at, killed = 0.0, False
        for event in self._records.node_events:
            if event.node != node:
                continue
            if event.text == "ended" and killed and event.at >= start - self._slack:
                return terminated_at
            if event.at > end + self._slack:
                continue
            killed = killed or event.text == "SIGKILL"
            if event.text == "SIGTERM":
                terminated_at = event.at
            elif event.text == "SIGKILL" and event.at >= start - self._slack:
                return terminated_at
            elif event.text == "started":
                terminated_at = 0.0
        return None

    @staticmethod
    def _check_duplicates(client: ClientRecord, attempts: list[AttemptRecord]) -> Iterator[Breach]:
        """Checks that a non-idempotent request that may have been processed is not sent again."""
        if client.idempotency is not Idempotency.NON_IDEMPOTENT:
            return
        for before, after in pairwise(sorted(attempts, key=lambda attempt: attempt.first_byte_at)):
            if before.outcome is not AttemptOutcome.REJECTED:
                text = f"at {after.server} after {before.server}: {before.outcome.value}"
                yield Breach(Rule.DUPLICATE, after.first_byte_at, text, client.id)

    def _check_drain(self, client: ClientRecord, attempt: AttemptRecord) -> Iterator[Breach]:
        """Checks that a node sends nothing new to a server that drains or is gone.

        The rule holds from `DRAIN_GRACE_S` after the node was notified.
        """
        leaving = self._leaving_changes(attempt.server, attempt.first_byte_at)
        keys = [(client.node, number) for number in leaving]
        notified_at = min((self._notified_at[key] for key in keys if key in self._notified_at), default=None)
        if notified_at is None:
            return
        late = attempt.first_byte_at - notified_at
        if attempt.first_byte_at > notified_at + DRAIN_GRACE_S + self._slack:
            text = f"{client.node} to {attempt.server} {late:.3f} s after it was told"
            yield Breach(Rule.DRAIN, attempt.first_byte_at, text, client.id)

    def _leaving_changes(self, server: str, at: float) -> list[int]:
        """Returns the indexes of the changes by which the server drains or is gone at a time; none if in service."""
        numbers = self._changes[server]
        times = [self._records.changes[number].at for number in numbers]
        leaving: list[int] = []
        for number in reversed(numbers[: bisect_right(times, at)]):
            if self._records.changes[number].lifecycle == Lifecycle.IN_SERVICE:
                break
            leaving.append(number)
        return leaving

    def _check_disconnect(self, client: ClientRecord, attempt: AttemptRecord) -> Iterator[Breach]:
        """Checks that no attempt begins for a client that has closed its connection."""
        late = attempt.first_byte_at - client.ended_at
        limit = client.ended_at + DISCONNECT_GRACE_S + self._slack
        if client.repeated_at and attempt.first_byte_at >= client.repeated_at:
            return
        if client.outcome is ClientOutcome.DISCONNECTED and attempt.first_byte_at > limit:
            text = f"{late:.3f} s after its client closed"
            yield Breach(Rule.CLIENT_GONE, attempt.first_byte_at, text, client.id)

    def _check_deadline(self, client: ClientRecord, attempt: AttemptRecord) -> Iterator[Breach]:
        """Checks that a server is given no more time than the client has left."""
        if client.repeated_at and attempt.first_byte_at >= client.repeated_at:
            return
        excess = attempt.first_byte_at + attempt.timeout - client.sent_at - client.timeout
        if excess > DEADLINE_SLACK_S + self._slack:
            text = f"{excess:.3f} s more than its client has"
            yield Breach(Rule.DEADLINE, attempt.first_byte_at, text, client.id)

    def _check_slow_start(self) -> Iterator[Breach]:
        """Checks that no server is overloaded during its slow start."""
        for overload in SlowStartOracle(self._records, SlowStartRules()).overloads():
            text = (
                f"{overload.server} got {overload.requests} requests of at most {overload.limit:.1f},"
                f" {overload.age:.1f} s old"
            )
            yield Breach(Rule.SLOW_START, overload.at, text)
