"""The scenario of `harecross demo`: in six seconds one server slows down and another one drains."""

from __future__ import annotations

from collections.abc import Iterator
from random import Random

from harecross.interface import Idempotency
from harecross.replay.accounting import RequestClass
from harecross.replay.clients import Arrival
from harecross.replay.plan import Event, EventAction

CLASSES = [
    RequestClass("latest", Idempotency.IDEMPOTENT, 1, 300_000, 1_000_000),
    RequestClass("log-reading", Idempotency.IDEMPOTENCY_KEY, 5, 400_000, 1_500_000),
]
LOG_READING_FRACTION = 0.4  # the fraction of requests of the class "log-reading"
SERVERS = [f"s{i}" for i in range(6)]
NODES = 3
SECONDS = 6.0
REQUESTS_PER_SECOND = 400.0
BURST_FACTOR, BURST_START_S, BURST_END_S = 1.5, 2.0, 3.5
MEAN_WORK_US, MIN_WORK_US, MAX_WORK_US = 40_000, 2_000, 400_000
EVENTS = [
    Event(1_500_000, EventAction.SLOW, "s0", 8.0),
    Event(3_000_000, EventAction.DRAIN, "s1"),
    Event(4_500_000, EventAction.SLOW, "s0", 1.0),
]


def arrivals(seed: int = 1) -> Iterator[Arrival]:
    """Yields Poisson arrivals with exponentially distributed work, at a higher rate during a burst in the middle."""
    rng = Random(seed)
    at_s = 0.0
    while True:
        in_burst = BURST_START_S <= at_s <= BURST_END_S
        at_s += rng.expovariate(REQUESTS_PER_SECOND * (BURST_FACTOR if in_burst else 1.0))
        if at_s >= SECONDS:
            return
        work_us = min(MAX_WORK_US, max(MIN_WORK_US, int(rng.expovariate(1 / MEAN_WORK_US))))
        yield Arrival(int(at_s * 1e6), int(rng.random() < LOG_READING_FRACTION), work_us)
