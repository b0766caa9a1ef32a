"""Who listens again when, by ways to wait and by discovery's load: `python benchmarks/fleet.py [--nodes 40]`.

Every watch falls silent at one instant, behind the line of a common start. A row: half, nine in ten and all of the
nodes, seconds after the trigger, means over seeds; "-" where some seed's nodes were still out after 300 s.
"""

from __future__ import annotations

import argparse
from math import inf
from statistics import mean
from time import perf_counter

from harecross.fleet.discovery import Shape
from harecross.fleet.rehearsal import Day, Rehearsal, bound
from harecross.fleet.waits import WAITS


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, default=40)
    parser.add_argument("--seeds", type=int, default=20)
    told = parser.parse_args()
    began = perf_counter()
    for seconds in (2.0, 3.0, 4.0, 5.0, 6.0, 8.0, 16.0):
        shape = Shape(told.nodes / seconds)
        for name, waits in WAITS.items():
            days = [
                Day(told.nodes, seed, shape, backlog=0.85 * seconds, length=310.0)
                for seed in range(told.seeds)
            ]
            results = [Rehearsal(day, waits).run() for day in days]
            times = [[r.share(part) for r in results] for part in (0.5, 0.9, 1.0)]
            text = ", ".join("-" if inf in t else f"{mean(t):.1f}" for t in times)
            calls = mean(sum(r.calls.values()) for r in results) / told.nodes
            late = mean(r.late for r in results) / told.nodes
            print(
                f"{seconds:4.0f} s a round of calls (bound {bound(days[0]):.1f}): {name:9s} {text}; "
                f"{calls:.1f} calls a node, a drain known late by {late:.0%}",
                flush=True,
            )
    print(f"{perf_counter() - began:.1f} s")


if __name__ == "__main__":
    main()
