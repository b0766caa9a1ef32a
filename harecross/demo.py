"""`harecross demo`: in ten seconds, what a node does when a server slows down and another one drains."""

from __future__ import annotations

from collections.abc import Iterator
from random import Random

from harecross.replay.account import Klass
from harecross.replay.callers import Arrival
from harecross.replay.plan import Event

CLASSES = [
    Klass("latest", "safe", 1, 300_000, 1_000_000),
    Klass("log-reading", "keyed", 5, 400_000, 1_500_000),
]
SERVERS = [f"s{i}" for i in range(6)]
NODES = 3
SECONDS = 6.0
RATE = 400.0  # requests a second
WORK = 40_000  # microseconds, on average
EVENTS = [
    Event(1_500_000, "slow", "s0", 8.0),
    Event(3_000_000, "drain", "s1"),
    Event(4_500_000, "slow", "s0", 1.0),
]


def arrivals(seed: int = 1) -> Iterator[Arrival]:
    """Poisson arrivals, work drawn from an exponential; a burst of half as much again in the middle."""
    rng = Random(seed)
    at = 0.0
    while True:
        rate = RATE * (1.5 if 2.0 <= at <= 3.5 else 1.0)
        at += rng.expovariate(rate)
        if at >= SECONDS:
            return
        work = min(400_000, max(2_000, int(rng.expovariate(1 / WORK))))
        yield Arrival(int(at * 1e6), int(rng.random() < 0.4), work)
