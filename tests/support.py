"""A recording host for tests."""

from __future__ import annotations

from dataclasses import replace

from harecross.interface import ClassSettings, Effect, Group, ListKind, Outcome, ServerEntry, Settings
from harecross.policy.balancer import Balancer

SEC = 1_000_000
SAFE = ClassSettings(Effect.SAFE, aim=1 * SEC, deadline=3 * SEC, worth=1, late_worth=0.2)
KEYED = ClassSettings(
    Effect.KEYED, aim=1 * SEC, deadline=3 * SEC, worth=1, late_worth=0.2, group=Group.CELL, window=2 * SEC
)
UNSAFE = ClassSettings(Effect.UNSAFE, aim=1 * SEC, deadline=3 * SEC, worth=1, late_worth=0.2)
BASE = Settings(
    classes=(SAFE, KEYED, UNSAFE),
    max_attempts=4,
    cancel=True,
    retry_after=True,
    max_retry_after=2 * SEC,
    cold_time=4 * SEC,
    cold_share=0.4,
    fall_multiple=3.0,
    fall_time=SEC,
)


class Recorder:
    def __init__(self) -> None:
        self.calls: list[tuple] = []

    def __getattr__(self, name: str):
        return lambda *args: self.calls.append((name, *args))

    def take(self, *names: str) -> list[tuple]:
        """The calls since the last take, of these names if any are given."""
        calls, self.calls = self.calls, []
        return [c for c in calls if not names or c[0] in names]


def balancer(servers: int | list[ServerEntry] = 4, seed: int = 1, **changes) -> tuple[Balancer, Recorder]:
    recorder = Recorder()
    node = Balancer(replace(BASE, **changes), seed, recorder)
    node.start(0)
    entries = [ServerEntry(i + 1) for i in range(servers)] if isinstance(servers, int) else servers
    node.server_list(0, ListKind.CACHED, entries)
    recorder.take()
    return node, recorder


def ask(
    node: Balancer, recorder: Recorder, now: int, request: int, klass: int = 0, left: int = 3 * SEC
) -> tuple:
    """Sends a request in and returns the one action it leads to."""
    node.request(now, request, klass, 0, left, False)
    (action,) = recorder.take("send", "refuse", "fail")
    return action


def end(
    node: Balancer,
    recorder: Recorder,
    now: int,
    request: int,
    attempt: int,
    server: int,
    outcome: Outcome,
    latency: int = 10_000,
) -> list[tuple]:
    final = outcome == Outcome.OK
    node.outcome(now, request, attempt, server, outcome, latency, final, ())
    return recorder.take("send", "refuse", "fail")
