"""The report of a seed that broke a rule: a timeline of each breach, for operators."""

from __future__ import annotations

from harecross.soak.oracle import Breach
from harecross.soak.records import AttemptRecord, ClientRecord, Idempotency, Records

IDEMPOTENCY_LABELS = {
    Idempotency.IDEMPOTENT: "safe",
    Idempotency.IDEMPOTENCY_KEY: "keyed",
    Idempotency.NON_IDEMPOTENT: "unsafe",
}


def report(records: Records, breaches: list[Breach], max_breaches: int = 5) -> list[str]:
    """Returns the lines of the report. Times are seconds from the first change."""
    start = min((change.at for change in records.changes), default=0.0)
    lines: list[str] = []
    nodes = set()
    for breach in breaches[:max_breaches]:
        lines.append(f"rule {breach.rule.value}: {breach.at - start:.3f} {breach.text}")
        client = records.clients.get(breach.id)
        if client is not None:
            nodes.add(client.node)
            lines += request_lines(records, client, start)
    if len(breaches) > max_breaches:
        lines.append(f"and {len(breaches) - max_breaches} more")
    for node in sorted(nodes):
        lines += node_lines(records, node, start)
    return lines


def request_lines(records: Records, client: ClientRecord, start: float) -> list[str]:
    """Returns the lines of a request and its attempts."""
    outcome = client.outcome.value if client.outcome else "open"
    connection = "a kept connection"
    if client.new_connection:
        connection = "a new connection, sent again" if client.resent else "a new connection"
    text = (
        f"  client: id {client.id} {IDEMPOTENCY_LABELS[client.idempotency]} to {client.node} on {connection},"
        f" sent {client.sent_at - start:.3f}, would wait {client.timeout:.3f} s,"
        f" ended {client.ended_at - start:.3f}: {outcome} {client.status or ''}"
    )
    attempts = [attempt for attempt in records.attempts if attempt.id == client.id]
    return [text, *(attempt_line(attempt, start) for attempt in attempts)]


def attempt_line(attempt: AttemptRecord, start: float) -> str:
    """Returns the line of one attempt."""
    return (
        f"    server {attempt.server}: bytes {attempt.first_byte_at - start:.3f} to {attempt.received_at - start:.3f},"
        f" ended {attempt.ended_at - start:.3f}: {attempt.outcome.value}"
    )


def node_lines(records: Records, node: str, start: float) -> list[str]:
    """Returns the lines of a node's events, of the changes that it was notified of, and of its log."""
    events = [event for event in records.node_events if event.node == node]
    lines = [f"signals of {node}:", *(f"  {event.at - start:.3f} {event.text}" for event in events)]
    lines.append(f"told to {node}:")
    for notification in records.notifications:
        if notification.node == node:
            change = records.changes[notification.change]
            lines.append(
                f"  {notification.at - start:.3f} {change.server} {change.lifecycle} of {change.at - start:.3f}:"
                f" {notification.reason}"
            )
    lines.append(f"log of {node}:")
    return lines + [f"  {text}" for text in records.logs.get(node, [])]
