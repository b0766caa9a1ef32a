"""Measures how late the load generator is at a given rate, and searches for the highest rate with a valid replay.

    python benchmarks/replay_rate.py [--rate 1000] [--seconds 60] [--search]

The nodes, the servers and the load generator share the cores of this machine, as they do in any replay.
"""

from __future__ import annotations

import argparse
import os
from collections.abc import Iterator
from random import Random
from typing import Any

import uvloop

from harecross.interface import Idempotency
from harecross.replay.accounting import RequestClass
from harecross.replay.clients import Arrival
from harecross.replay.report import replay_report
from harecross.replay.run import run_replay

CLASSES = [RequestClass("read", Idempotency.IDEMPOTENT, 1, 1_000_000, 2_500_000)]
WORK_US = 5_000


def arrivals(rate: float, seconds: float) -> Iterator[Arrival]:
    rng, due_s = Random(1), 0.0
    while (due_s := due_s + rng.expovariate(rate)) < seconds:
        yield Arrival(int(due_s * 1e6), 0, WORK_US)


def replay(rate: float, seconds: float, nodes: int) -> dict[str, Any]:
    servers = [f"s{i}" for i in range(max(4, int(rate * WORK_US / 1e6 / 8 / 0.5) + 1))]
    return replay_report(uvloop.run(run_replay(arrivals(rate, seconds), CLASSES, [servers], nodes, [])))


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--rate", type=float, default=1000)
    parser.add_argument("--seconds", type=float, default=60)
    parser.add_argument("--nodes", type=int, default=3)
    parser.add_argument(
        "--search", action="store_true", help="raise the rate by half until a replay is not valid"
    )
    args = parser.parse_args()
    print(f"{os.cpu_count()} cores, {args.nodes} nodes")
    rate = args.rate
    while True:
        report = replay(rate, args.seconds, args.nodes)
        print(
            f"{rate:,.0f} a second for {args.seconds:g} s: lateness p99 {report['lateness_ms']['p99']} ms, p99.9 "
            f"{report['lateness_ms']['p999']} ms, service {report['service']}, "
            f"{'valid' if report['valid'] else 'NOT valid'}",
            flush=True,
        )
        if not args.search or not report["valid"]:
            return
        rate *= 1.5


if __name__ == "__main__":
    main()
