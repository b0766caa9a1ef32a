"""Requests and their attempts, put together from the events of attempt logs. Times in Unix nanoseconds."""

from __future__ import annotations

from dataclasses import dataclass, field

from harecross.follow.events import Event
from harecross.interface import Idempotency

ANSWER_SLACK_NS = 500_000_000  # after its deadline, before an answer counts as never given (FLEET, "rules")
NEVER_RAN = frozenset(("rejected", "connect_failed", "not_sent"))  # outcomes that prove that no server ran it
CLIENT_DISCONNECTED = "left"  # as a final answer


@dataclass(slots=True)
class LoggedAttempt:
    """One attempt of a request; None for an event that the logs do not have."""

    number: int
    server: str
    sent_ns: int
    written_ns: int | None = None
    ended_ns: int | None = None
    error_type: str = ""  # of its end; "" for a good response, or while it has none


@dataclass(slots=True)
class LoggedRequest:
    """One request at one node."""

    id: str
    node: str
    events: list[Event] = field(default_factory=list)
    request_class: str = ""
    admitted_ns: int = 0  # 0 if the logs begin in the middle of it
    deadline_ns: int = 0
    answer: str = ""  # served, refused, failed, left; "" for none
    answered_ns: int | None = None
    attempts: list[LoggedAttempt] = field(default_factory=list)

    def add(self, event: Event) -> None:
        """Adds the next event in time."""
        self.events.append(event)
        if event.name == "taken":
            self.admitted_ns = event.time_ns
            self.deadline_ns = event.time_ns + int(event.fields.get("time_left", 0)) * 1000
            self.request_class = str(event.fields.get("request.class", ""))
        elif event.name == "sent":
            self.attempts.append(LoggedAttempt(event.attempt_number, event.server, event.time_ns))
        elif event.name == "final":
            # Of two final answers, a fault of the node that `problems` reports, the time of the first counts.
            self.answer = str(event.fields.get("answer", ""))
            self.answered_ns = self.answered_ns or event.time_ns
        else:
            self.add_to_attempt(event)

    def add_to_attempt(self, event: Event) -> None:
        """Adds what became of an attempt."""
        attempt = self.attempt(event.attempt_number)
        if attempt is not None and event.name == "written":
            attempt.written_ns = event.time_ns
        elif attempt is not None and event.name == "ended":
            attempt.ended_ns = event.time_ns
            attempt.error_type = str(event.fields.get("error.type", ""))

    def attempt(self, number: int) -> LoggedAttempt | None:
        """Returns an attempt; None if the logs begin after it was sent."""
        return next((attempt for attempt in self.attempts if attempt.number == number), None)

    def problems(self, end_ns: int, idempotency: Idempotency) -> list[str]:
        """Returns what went wrong with it; `end_ns`: the last time in the logs.

        Which servers discard the repeats of a request with an idempotency key is not in the logs: repeats of those
        are no problem.
        """
        found = []
        final_answers = sum(event.name == "final" for event in self.events)
        if final_answers > 1:
            found.append(f"{final_answers} final answers")
        found += self.deadline_problems(end_ns)
        runs = sum(
            attempt.written_ns is not None and attempt.error_type not in NEVER_RAN
            for attempt in self.attempts
        )
        if runs > 1 and idempotency == Idempotency.NON_IDEMPOTENT:
            found.append(f"may have run {runs} times")
        return found

    def deadline_problems(self, end_ns: int) -> list[str]:
        """Returns that it had no answer, or a late one; nothing if its deadline is not known."""
        latest_ns = self.deadline_ns + ANSWER_SLACK_NS
        if not self.admitted_ns:
            return []
        if self.answered_ns is None:
            return ["no final answer"] if end_ns > latest_ns else []
        if self.answer != CLIENT_DISCONNECTED and self.answered_ns > latest_ns:
            return [f"answered {(self.answered_ns - self.deadline_ns) / 1e9:.2f} s after its time"]
        return []
