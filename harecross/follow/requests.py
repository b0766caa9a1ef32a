"""Reconstructs requests and their attempts from the events of attempt logs. Times are Unix nanoseconds."""

from __future__ import annotations

from dataclasses import dataclass, field

from harecross.follow.events import Event
from harecross.interface import Idempotency

# The time after the deadline of a request before its answer counts as late or missing (FLEET, "rules").
ANSWER_SLACK_NS = 500_000_000
# The values of `error.type` that prove that the server did not process the attempt (`interface.NOT_PROCESSED`).
NOT_PROCESSED_ERROR_TYPES = frozenset(("rejected", "connect_failed", "not_sent"))
# The value of a final answer if the client disconnected first.
CLIENT_DISCONNECTED = "left"


@dataclass(slots=True)
class LoggedAttempt:
    """One attempt of a request. The time of an event that the logs do not have is None.

    `error_type` is the outcome of a failed attempt; empty if it succeeded or has not ended.
    """

    number: int
    server: str
    sent_ns: int
    written_ns: int | None = None
    ended_ns: int | None = None
    error_type: str = ""


@dataclass(slots=True)
class LoggedRequest:
    """One request at one node.

    Attributes:
        admitted_ns: When the node admitted the request; 0 if the logs begin after that.
        answer: The final answer: served, refused, failed or left; empty if there is none.
    """

    id: str
    node: str
    events: list[Event] = field(default_factory=list)
    request_class: str = ""
    admitted_ns: int = 0
    deadline_ns: int = 0
    answer: str = ""
    answered_ns: int | None = None
    attempts: list[LoggedAttempt] = field(default_factory=list)

    def add(self, event: Event) -> None:
        """Adds the next event in order of time."""
        self.events.append(event)
        if event.name == "taken":
            self.admitted_ns = event.time_ns
            self.deadline_ns = event.time_ns + int(event.fields.get("time_left", 0)) * 1000
            self.request_class = str(event.fields.get("request.class", ""))
        elif event.name == "sent":
            self.attempts.append(LoggedAttempt(event.attempt_number, event.server, event.time_ns))
        elif event.name == "final":
            # Two final answers are a fault of the node, which `problems` reports. The time of the first one counts.
            self.answer = str(event.fields.get("answer", ""))
            self.answered_ns = self.answered_ns or event.time_ns
        else:
            self.add_to_attempt(event)

    def add_to_attempt(self, event: Event) -> None:
        """Adds an event of an attempt after it was sent."""
        attempt = self.attempt(event.attempt_number)
        if attempt is not None and event.name == "written":
            attempt.written_ns = event.time_ns
        elif attempt is not None and event.name == "ended":
            attempt.ended_ns = event.time_ns
            attempt.error_type = str(event.fields.get("error.type", ""))

    def attempt(self, number: int) -> LoggedAttempt | None:
        """Returns an attempt by its number; None if the logs begin after it was sent."""
        return next((attempt for attempt in self.attempts if attempt.number == number), None)

    def problems(self, end_ns: int, idempotency: Idempotency) -> list[str]:
        """Describes what went wrong with the request; `end_ns` is the last time in the logs.

        The logs do not tell which servers discard repeats of a request with an idempotency key, so such repeats are not
        reported.
        """
        found = []
        final_answers = sum(event.name == "final" for event in self.events)
        if final_answers > 1:
            found.append(f"{final_answers} final answers")
        found += self.deadline_problems(end_ns)
        runs = sum(
            attempt.written_ns is not None and attempt.error_type not in NOT_PROCESSED_ERROR_TYPES
            for attempt in self.attempts
        )
        if runs > 1 and idempotency == Idempotency.NON_IDEMPOTENT:
            found.append(f"may have run {runs} times")
        return found

    def deadline_problems(self, end_ns: int) -> list[str]:
        """Reports a missing or late answer; nothing if the deadline is not known."""
        latest_ns = self.deadline_ns + ANSWER_SLACK_NS
        if not self.admitted_ns:
            return []
        if self.answered_ns is None:
            return ["no final answer"] if end_ns > latest_ns else []
        if self.answer != CLIENT_DISCONNECTED and self.answered_ns > latest_ns:
            return [f"answered {(self.answered_ns - self.deadline_ns) / 1e9:.2f} s after its deadline"]
        return []
