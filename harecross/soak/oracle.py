"""Judges a soak by the protocol's rules, from what clients, servers and discoveries recorded, and by nothing of a node.

Every bound is widened by the longest delay of the recording process, since its times are late by as much.
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

DRAIN_GRACE_S = 0.3  # after a node is notified: the protocol's 250 ms, and 50 for its sockets
DISCONNECT_GRACE_S = 0.1  # after a client has closed its connection
DEADLINE_SLACK_S = 0.15  # of the time that a server is given
ANSWER_GRACE_S = 0.5  # after a request's deadline
STOP_INTAKE_S = 0.7  # after SIGTERM; a later request that SIGKILL ends is lost


class Rule(Enum):
    """The rules. The values are those of the reports."""

    LOST = "lost"
    DUPLICATE = "duplicate"
    DRAIN = "drain"
    CLIENT_GONE = "client gone"
    DEADLINE = "deadline"
    SLOW_START = "slow start"
    CRASH = "crash"


class Breach(NamedTuple):
    """One broken rule, with the times that show it."""

    rule: Rule
    at: float
    text: str
    id: str = ""  # of the request


class Oracle:
    """The evidence of one run, indexed."""

    def __init__(self, records: Records) -> None:
        self._records = records
        self._slack = records.max_delay
        self._attempts: dict[str, list[AttemptRecord]] = defaultdict(list)  # by request
        for attempt in records.attempts:
            self._attempts[attempt.id].append(attempt)
        self._changes: dict[str, list[int]] = defaultdict(list)  # numbers by server
        for number, change in enumerate(records.changes):
            self._changes[change.server].append(number)
        self._notified_at = records.notified_at()

    def breaches(self) -> list[Breach]:
        """All broken rules, in order of time."""
        breaches = [Breach(Rule.CRASH, c.at, f"{c.node} {c.text}") for c in self._records.crashes]
        for client in self._records.clients.values():
            attempts = self._attempts[client.id]
            breaches += self._check_answer(client)
            breaches += self._check_duplicates(client, attempts)
            for attempt in attempts:
                breaches += self._check_drain(client, attempt)
                breaches += self._check_disconnect(client, attempt)
                breaches += self._check_deadline(client, attempt)
        breaches += self._check_slow_start()
        return sorted(breaches, key=lambda breach: breach.at)

    # ---- the rules ----------------------------------------------------------------------------------------

    def _check_answer(self, client: ClientRecord) -> Iterator[Breach]:
        """Each request gets one final answer in time, unless SIGKILL ends it."""
        if client.outcome in (ClientOutcome.CLOSED, ClientOutcome.UNANSWERED):
            text = self._why_lost(client, client.outcome)
            if text:
                yield Breach(Rule.LOST, client.ended_at, text, client.id)
        elif client.outcome is ClientOutcome.ANSWERED:
            late = client.ended_at - client.sent_at - client.timeout
            if late > ANSWER_GRACE_S + self._slack:
                yield Breach(Rule.LOST, client.ended_at, f"answered {late:.3f} s after its time", client.id)

    def _why_lost(self, client: ClientRecord, outcome: ClientOutcome) -> str:
        """Why a request without an answer is lost; empty where SIGKILL ended it as the protocol allows."""
        terminated_at = self._kill_between(client.node, client.sent_at, client.ended_at)
        if terminated_at is None:
            return f"{outcome.value}, sent {client.sent_at:.3f}"
        if terminated_at and client.sent_at > terminated_at + STOP_INTAKE_S + self._slack:
            return f"sent {client.sent_at - terminated_at:.3f} s after SIGTERM"
        return ""

    def _kill_between(self, node: str, start: float, end: float) -> float | None:
        """For a SIGKILL between two times: when SIGTERM came before, 0 if it did not. None without a SIGKILL."""
        terminated_at = 0.0
        for signal in self._records.node_events:
            if signal.node != node or signal.at > end + self._slack:
                continue
            if signal.text == "SIGTERM":
                terminated_at = signal.at
            elif signal.text == "SIGKILL" and signal.at >= start - self._slack:
                return terminated_at
            elif signal.text == "started":
                terminated_at = 0.0
        return None

    @staticmethod
    def _check_duplicates(client: ClientRecord, attempts: list[AttemptRecord]) -> Iterator[Breach]:
        """A non-idempotent request that may have been processed is not sent again."""
        if client.idempotency is not Idempotency.NON_IDEMPOTENT:
            return
        for before, after in pairwise(sorted(attempts, key=lambda attempt: attempt.first_byte_at)):
            if before.outcome is not AttemptOutcome.REJECTED:
                text = f"at {after.server} after {before.server}: {before.outcome.value}"
                yield Breach(Rule.DUPLICATE, after.first_byte_at, text, client.id)

    def _check_drain(self, client: ClientRecord, attempt: AttemptRecord) -> Iterator[Breach]:
        """A server that drains or is gone gets nothing new once the node is notified and the grace is over."""
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
        """The changes by which the server drains or is gone at that time; none if it is in service."""
        numbers = self._changes[server]
        times = [self._records.changes[number].at for number in numbers]
        leaving: list[int] = []
        for number in reversed(numbers[: bisect_right(times, at)]):
            if self._records.changes[number].lifecycle == Lifecycle.IN_SERVICE:
                break
            leaving.append(number)
        return leaving

    def _check_disconnect(self, client: ClientRecord, attempt: AttemptRecord) -> Iterator[Breach]:
        """No attempt begins for a client that has closed its connection."""
        late = attempt.first_byte_at - client.ended_at
        limit = client.ended_at + DISCONNECT_GRACE_S + self._slack
        if client.outcome is ClientOutcome.DISCONNECTED and attempt.first_byte_at > limit:
            text = f"{late:.3f} s after its client closed"
            yield Breach(Rule.CLIENT_GONE, attempt.first_byte_at, text, client.id)

    def _check_deadline(self, client: ClientRecord, attempt: AttemptRecord) -> Iterator[Breach]:
        """A server is given no more time than the client has left."""
        excess = attempt.first_byte_at + attempt.timeout - client.sent_at - client.timeout
        if excess > DEADLINE_SLACK_S + self._slack:
            text = f"{excess:.3f} s more than its client has"
            yield Breach(Rule.DEADLINE, attempt.first_byte_at, text, client.id)

    def _check_slow_start(self) -> Iterator[Breach]:
        """No server that warms up is overloaded."""
        for overload in SlowStartOracle(self._records, SlowStartRules()).overloads():
            text = (
                f"{overload.server} got {overload.requests} requests of at most {overload.limit:.1f},"
                f" {overload.age:.1f} s old"
            )
            yield Breach(Rule.SLOW_START, overload.at, text)
