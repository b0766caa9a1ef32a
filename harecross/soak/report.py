"""The report of a seed that broke a rule: a timeline of each breach, as operators read it."""

from __future__ import annotations

from harecross.soak.oracle import Breach
from harecross.soak.records import AttemptRecord, ClientRecord, Idempotency, Records

IDEMPOTENCY_WORDS = {
    Idempotency.IDEMPOTENT: "safe",
    Idempotency.IDEMPOTENCY_KEY: "keyed",
    Idempotency.NON_IDEMPOTENT: "unsafe",
}


def report(records: Records, breaches: list[Breach], max_breaches: int = 5) -> list[str]:
    """The lines of the report; times count from the first change."""
    zero = min((change.at for change in records.changes), default=0.0)
    lines: list[str] = []
    nodes = set()
    for breach in breaches[:max_breaches]:
        lines.append(f"rule {breach.rule.value}: {breach.at - zero:.3f} {breach.text}")
        client = records.clients.get(breach.id)
        if client is not None:
            nodes.add(client.node)
            lines += request_lines(records, client, zero)
    if len(breaches) > max_breaches:
        lines.append(f"and {len(breaches) - max_breaches} more")
    for node in sorted(nodes):
        lines += node_lines(records, node, zero)
    return lines


def request_lines(records: Records, client: ClientRecord, zero: float) -> list[str]:
    """A request and its attempts."""
    outcome = client.outcome.value if client.outcome else "open"
    connection = "a kept connection"
    if client.new_connection:
        connection = "a new connection, sent again" if client.resent else "a new connection"
    text = (
        f"  client: id {client.id} {IDEMPOTENCY_WORDS[client.idempotency]} to {client.node} on {connection},"
        f" sent {client.sent_at - zero:.3f}, would wait {client.timeout:.3f} s,"
        f" ended {client.ended_at - zero:.3f}: {outcome} {client.status or ''}"
    )
    attempts = [attempt for attempt in records.attempts if attempt.id == client.id]
    return [text, *(attempt_line(attempt, zero) for attempt in attempts)]


def attempt_line(attempt: AttemptRecord, zero: float) -> str:
    """One attempt."""
    return (
        f"    server {attempt.server}: bytes {attempt.first_byte_at - zero:.3f} to {attempt.received_at - zero:.3f},"
        f" ended {attempt.ended_at - zero:.3f}: {attempt.outcome.value}"
    )


def node_lines(records: Records, node: str, zero: float) -> list[str]:
    """What was done to a node, of what it was notified, and its log."""
    signals = [signal for signal in records.node_events if signal.node == node]
    lines = [f"signals of {node}:", *(f"  {signal.at - zero:.3f} {signal.text}" for signal in signals)]
    lines.append(f"told to {node}:")
    for notification in records.notifications:
        if notification.node == node:
            change = records.changes[notification.change]
            lines.append(
                f"  {notification.at - zero:.3f} {change.server} {change.lifecycle} of {change.at - zero:.3f}:"
                f" {notification.reason}"
            )
    lines.append(f"log of {node}:")
    return lines + [f"  {text}" for text in records.logs.get(node, [])]
