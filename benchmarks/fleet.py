"""How fast a fleet recovers, by schedule and by discovery's capacity: `python benchmarks/fleet.py [--nodes 40]`.

Every watch falls silent at one instant, with the backlog of a common start. A line: when half, nine in ten and all of
the nodes are subscribed again, in seconds after the trigger, means over seeds; "-" where a seed's nodes were not after
300 s.
"""

from __future__ import annotations

import argparse
from math import inf
from statistics import mean
from time import perf_counter

from harecross.fleet.discovery import DiscoveryCapacity
from harecross.fleet.rehearsal import Rehearsal
from harecross.fleet.scenario import Scenario
from harecross.fleet.schedules import SCHEDULES


def scenarios(nodes: int, seeds: int, round_s: float) -> list[Scenario]:
    """One for each seed; discovery serves one call of each node in `round_s` seconds."""
    capacity = DiscoveryCapacity(nodes / round_s)
    return [Scenario(nodes, seed, capacity, backlog=0.85 * round_s, duration=310.0) for seed in range(seeds)]


def measure(played: list[Scenario], schedule: str) -> str:
    """The figures of one schedule."""
    nodes = played[0].nodes
    results = [Rehearsal(scenario, SCHEDULES[schedule]).run() for scenario in played]
    times = [[result.recovery_time(fraction) for result in results] for fraction in (0.5, 0.9, 1.0)]
    text = ", ".join("-" if inf in row else f"{mean(row):.1f}" for row in times)
    calls = mean(sum(result.calls.values()) for result in results) / nodes
    late = mean(result.late_drains for result in results) / nodes
    return f"{schedule:9s} {text}; {calls:.1f} calls a node, a drain known late by {late:.0%}"


def main() -> None:
    """Measures all schedules at several capacities."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, default=40)
    parser.add_argument("--seeds", type=int, default=20)
    options = parser.parse_args()
    began = perf_counter()
    for round_s in (2.0, 3.0, 4.0, 5.0, 6.0, 8.0, 16.0):
        played = scenarios(options.nodes, options.seeds, round_s)
        bound = played[0].earliest_recovery_s
        for schedule in SCHEDULES:
            print(
                f"{round_s:4.0f} s a round of calls (bound {bound:.1f}): {measure(played, schedule)}",
                flush=True,
            )
    print(f"{perf_counter() - began:.1f} s")


if __name__ == "__main__":
    main()
