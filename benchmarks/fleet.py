"""Measures how fast a fleet recovers, by schedule and by discovery's capacity.

    python benchmarks/fleet.py [--nodes 40] [--seeds 20]

All watches fall silent at the same moment, with about the backlog of a fleet whose nodes have all started at once. Each
line shows when 50 %, 90 % and all of the nodes are subscribed again, in seconds after the trigger, as means over the
seeds. "-" means that with at least one seed, they were not subscribed after 300 s.
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
    """Returns a scenario for each seed. Discovery needs `round_s` seconds to serve one call of each node."""
    capacity = DiscoveryCapacity(nodes / round_s)
    return [Scenario(nodes, seed, capacity, backlog=0.85 * round_s, duration=310.0) for seed in range(seeds)]


def measure(simulated: list[Scenario], schedule: str) -> str:
    """Runs the scenarios with one schedule and returns the measurements as text."""
    nodes = simulated[0].nodes
    results = [Rehearsal(scenario, SCHEDULES[schedule]).run() for scenario in simulated]
    times = [[result.recovery_time(fraction) for result in results] for fraction in (0.5, 0.9, 1.0)]
    text = ", ".join("-" if inf in seed_times else f"{mean(seed_times):.1f}" for seed_times in times)
    calls = mean(sum(result.calls.values()) for result in results) / nodes
    late = mean(result.late_drains for result in results) / nodes
    return f"{schedule:9s} {text}; {calls:.1f} calls a node, a drain known late by {late:.0%}"


def main() -> None:
    """Measures all schedules with several capacities of discovery."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, default=40)
    parser.add_argument("--seeds", type=int, default=20)
    options = parser.parse_args()
    started_at = perf_counter()
    for round_s in (2.0, 3.0, 4.0, 5.0, 6.0, 8.0, 16.0):
        simulated = scenarios(options.nodes, options.seeds, round_s)
        bound = simulated[0].earliest_recovery_s
        for schedule in SCHEDULES:
            print(
                f"{round_s:4.0f} s a round of calls (bound {bound:.1f}): {measure(simulated, schedule)}",
                flush=True,
            )
    print(f"{perf_counter() - started_at:.1f} s")


if __name__ == "__main__":
    main()
