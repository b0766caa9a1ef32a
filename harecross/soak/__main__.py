"""`python -m harecross.soak`: plays seeds and prints the timeline of each that breaks a rule."""

from __future__ import annotations

import argparse
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import uvloop

from harecross.soak.oracle import report
from harecross.soak.plan import make_plan
from harecross.soak.records import End
from harecross.soak.run import soak
from harecross.soak.shim import build

LAG_MOST = 0.25  # seconds: above it a run shows nothing, since its records are too late


def play(seed: int, seconds: float, nodes: int, shim: Path | None) -> tuple[int, int, list[str]]:
    """One seed: how many rules were broken (-1: the machine was too busy to tell), requests, and the report."""
    plan = make_plan(seed, seconds, nodes)

    async def one() -> tuple[int, int, list[str]]:
        records, breaches = await soak(plan, shim)
        requests = len(records.clients)
        ends = {end: sum(c.end is end for c in records.clients.values()) for end in End}
        text = ", ".join(f"{end.value} {count}" for end, count in ends.items() if count)
        served = sum(c.status == 200 for c in records.clients.values())
        head = f"seed {seed}: {requests} requests, {text}, served {served}, lag {records.lag:.3f} s"
        if records.lag > LAG_MOST and not breaches:
            return -1, requests, [f"{head}: void, this process was held up"]
        verdict = f"{len(breaches)} broken" if breaches else "no rule broken"
        return len(breaches), requests, [f"{head}: {verdict}", *report(records, breaches)]

    return uvloop.run(one())


def keep_report(folder: Path, seed: int, lines: list[str]) -> None:
    """Writes the report of a seed that broke a rule: a failure is traced, and its output may be cut or lost."""
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"soak-seed-{seed}-{time.strftime('%Y%m%dT%H%M%S')}.txt"
    path.write_text("\n".join(lines) + "\n")
    print(f"report kept: {path}", flush=True)


def main() -> int:
    """0 if no rule was broken, 1 otherwise, 2 for bad arguments."""
    parser = argparse.ArgumentParser(prog="python -m harecross.soak", description=__doc__)
    parser.add_argument("--seeds", type=int, default=5, help="how many (5)")
    parser.add_argument("--first", type=int, default=1, help="the first seed (1)")
    parser.add_argument("--seconds", type=float, default=14.0, help="of load in each (14)")
    parser.add_argument("--nodes", type=int, default=3, help="at most, 1 to 14 (3)")
    parser.add_argument("--side-by-side", type=int, default=2, help="runs at once (2)")
    parser.add_argument(
        "--reports", type=Path, default=Path("logs"), help="folder of failed seeds' reports (logs)"
    )
    told = parser.parse_args()
    if told.seeds < 1 or told.seconds < 8 or not 1 <= told.nodes <= 14 or told.side_by_side < 1:
        parser.error("seeds from 1, seconds from 8, nodes 1 to 14, side by side from 1")
    shim = build()
    if shim is None:
        print("no C compiler here: system calls and clocks are left alone", flush=True)
    failed = void = 0
    with ProcessPoolExecutor(told.side_by_side) as pool:
        runs = [
            pool.submit(play, seed, told.seconds, told.nodes, shim)
            for seed in range(told.first, told.first + told.seeds)
        ]
        for seed, run in enumerate(runs, told.first):
            broken, _, lines = run.result()
            failed += broken > 0
            void += broken < 0
            print("\n".join(lines), flush=True)
            if broken > 0:
                keep_report(told.reports, seed, lines)
    print(f"{told.seeds - failed - void} passed, {failed} failed, {void} void")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
