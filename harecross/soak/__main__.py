"""`python -m harecross.soak`: plays seeds and prints the timeline of each that breaks a rule."""

from __future__ import annotations

import argparse
import sys
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import NamedTuple

import uvloop

from harecross.soak.oracle import Breach
from harecross.soak.planner import make_plan
from harecross.soak.records import ClientOutcome, Records
from harecross.soak.report import report
from harecross.soak.run import run_soak
from harecross.soak.shim import build_shim

MAX_DELAY_S = 0.25  # of the recording process; above it a run shows nothing, since its records are too late
VOID = -1


class SeedResult(NamedTuple):
    """The result of one seed."""

    breaches: int  # VOID where the machine was too busy to tell
    requests: int
    lines: list[str]  # the report


def run_seed(seed: int, seconds: float, nodes: int, shim: Path | None) -> SeedResult:
    """Plays one seed, with so many seconds of load on at most so many nodes."""
    records, breaches = uvloop.run(run_soak(make_plan(seed, seconds, nodes), shim))
    return summarize(seed, records, breaches)


def summarize(seed: int, records: Records, breaches: list[Breach]) -> SeedResult:
    """The result of a seed by its records and the rules that it broke."""
    requests = len(records.clients)
    counts = Counter(client.outcome for client in records.clients.values())
    outcomes = ", ".join(f"{outcome.value} {counts[outcome]}" for outcome in ClientOutcome if counts[outcome])
    served = sum(client.status == 200 for client in records.clients.values())
    head = f"seed {seed}: {requests} requests, {outcomes}, served {served}, lag {records.max_delay:.3f} s"
    if records.max_delay > MAX_DELAY_S and not breaches:
        return SeedResult(VOID, requests, [f"{head}: void, this process was held up"])
    verdict = f"{len(breaches)} broken" if breaches else "no rule broken"
    return SeedResult(len(breaches), requests, [f"{head}: {verdict}", *report(records, breaches)])


def store_report(folder: Path, seed: int, lines: list[str]) -> None:
    """Writes the report of a seed that broke a rule to a file, since the output may be lost."""
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"soak-seed-{seed}-{time.strftime('%Y%m%dT%H%M%S')}.txt"
    path.write_text("\n".join(lines) + "\n")
    print(f"report kept: {path}", flush=True)


def main() -> int:
    """0 if no rule was broken, 1 otherwise, 2 for bad arguments."""
    options = parse_arguments()
    shim = build_shim()
    if shim is None:
        print("no C compiler here: system calls and clocks are left alone", flush=True)
    failed = void = 0
    with ProcessPoolExecutor(options.side_by_side) as pool:
        runs = [
            pool.submit(run_seed, seed, options.seconds, options.nodes, shim)
            for seed in range(options.first, options.first + options.seeds)
        ]
        for seed, run in enumerate(runs, options.first):
            result = run.result()
            failed += result.breaches > 0
            void += result.breaches == VOID
            print("\n".join(result.lines), flush=True)
            if result.breaches > 0:
                store_report(options.reports, seed, result.lines)
    print(f"{options.seeds - failed - void} passed, {failed} failed, {void} void")
    return 1 if failed else 0


def parse_arguments() -> argparse.Namespace:
    """The command's options."""
    parser = argparse.ArgumentParser(prog="python -m harecross.soak", description=__doc__)
    parser.add_argument("--seeds", type=int, default=5, help="how many (5)")
    parser.add_argument("--first", type=int, default=1, help="the first seed (1)")
    parser.add_argument("--seconds", type=float, default=14.0, help="of load in each (14)")
    parser.add_argument("--nodes", type=int, default=3, help="at most, 1 to 14 (3)")
    parser.add_argument("--side-by-side", type=int, default=2, help="runs at once (2)")
    parser.add_argument(
        "--reports", type=Path, default=Path("logs"), help="folder of failed seeds' reports (logs)"
    )
    options = parser.parse_args()
    if options.seeds < 1 or options.seconds < 8 or not 1 <= options.nodes <= 14 or options.side_by_side < 1:
        parser.error("seeds from 1, seconds from 8, nodes 1 to 14, side by side from 1")
    return options


if __name__ == "__main__":
    sys.exit(main())
