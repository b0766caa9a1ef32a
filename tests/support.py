"""A host that records a balancer's actions, and helpers that send events to the balancer."""

from __future__ import annotations

from dataclasses import replace

from harecross.interface import (
    ClassSettings,
    DeduplicationScope,
    Endpoint,
    EndpointUpdateKind,
    Idempotency,
    Outcome,
    Settings,
)
from harecross.policy.balancer import Balancer

SEC = 1_000_000
IDEMPOTENT = ClassSettings(
    Idempotency.IDEMPOTENT,
    latency_objective=1 * SEC,
    deadline=3 * SEC,
    priority_weight=1,
    late_priority_weight=0.2,
)
WITH_IDEMPOTENCY_KEY = ClassSettings(
    Idempotency.IDEMPOTENCY_KEY,
    latency_objective=1 * SEC,
    deadline=3 * SEC,
    priority_weight=1,
    late_priority_weight=0.2,
    deduplication_scope=DeduplicationScope.CELL,
    deduplication_window=2 * SEC,
)
NON_IDEMPOTENT = ClassSettings(
    Idempotency.NON_IDEMPOTENT,
    latency_objective=1 * SEC,
    deadline=3 * SEC,
    priority_weight=1,
    late_priority_weight=0.2,
)
BASE = Settings(
    classes=(IDEMPOTENT, WITH_IDEMPOTENCY_KEY, NON_IDEMPOTENT),
    max_attempts=4,
    cancel=True,
    retry_after=True,
    max_retry_after=2 * SEC,
    slow_start_duration=4 * SEC,
    slow_start_min_capacity=0.4,
    overload_multiple=3.0,
    overload_duration=SEC,
)


class Recorder:
    """A host that records every action of a balancer as a tuple of its name and arguments."""

    def __init__(self) -> None:
        self.calls: list[tuple] = []

    def __getattr__(self, name: str):
        return lambda *args: self.calls.append((name, *args))

    def take_calls(self, *names: str) -> list[tuple]:
        """Returns the actions since the last call, only those with one of the names if any are given."""
        calls, self.calls = self.calls, []
        return [c for c in calls if not names or c[0] in names]


def balancer(servers: int | list[Endpoint] = 4, seed: int = 1, **changes) -> tuple[Balancer, Recorder]:
    """Returns a started balancer and its recorder.

    `servers` is the number of servers, or the list of endpoints. `changes` are settings that differ from `BASE`.
    """
    recorder = Recorder()
    node = Balancer(replace(BASE, **changes), seed, recorder)
    node.start(0)
    entries = [Endpoint(i + 1) for i in range(servers)] if isinstance(servers, int) else servers
    node.endpoint_update(0, EndpointUpdateKind.CACHED, entries)
    recorder.take_calls()
    return node, recorder


def send_request(
    node: Balancer, recorder: Recorder, now: int, request: int, request_class: int = 0, left: int = 3 * SEC
) -> tuple:
    """Sends a request to the balancer and returns the only resulting action. `left` is the remaining time in us."""
    node.request(now, request, request_class, 0, left, False)
    (action,) = recorder.take_calls("send", "shed", "fail")
    return action


def end_attempt(
    node: Balancer,
    recorder: Recorder,
    now: int,
    request: int,
    attempt: int,
    server: int,
    outcome: Outcome,
    latency: int = 10_000,
) -> list[tuple]:
    """Ends an attempt and returns the resulting actions for its request. `latency` is in microseconds."""
    final = outcome == Outcome.OK
    node.outcome(now, request, attempt, server, outcome, latency, final, ())
    return recorder.take_calls("send", "shed", "fail")
