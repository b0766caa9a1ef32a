"""`python -m harecross.soak`: runs a soak for each seed and prints a timeline of each seed that breaks a rule."""

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

# Longest acceptable delay of the recording process. A run with a longer one proves nothing, since the times in its
# records are too late.
MAX_RECORDING_DELAY_S = 0.25
# Value of `SeedResult.breaches` for a run whose records are too late to be checked.
VOID = -1


class SeedResult(NamedTuple):
    """The result of one seed.

    Attributes:
        breaches: Number of broken rules, or `VOID` if the machine was too busy for a verdict.
        lines: The report.
    """

    breaches: int
    requests: int
    lines: list[str]


def run_seed(seed: int, seconds: float, nodes: int, shim: Path | None) -> SeedResult:
    """Runs the soak of one seed, with `seconds` of load on at most `nodes` nodes."""
    records, breaches = uvloop.run(run_soak(make_plan(seed, seconds, nodes), shim))
    return summarize(seed, records, breaches)


def summarize(seed: int, records: Records, breaches: list[Breach]) -> SeedResult:
    """Returns the result of a seed, from its records and the rules that it broke."""
    requests = len(records.clients)
    counts = Counter(client.outcome for client in records.clients.values())
    outcomes = ", ".join(f"{outcome.value} {counts[outcome]}" for outcome in ClientOutcome if counts[outcome])
    served = sum(client.status == 200 for client in records.clients.values())
    summary = f"seed {seed}: {requests} requests, {outcomes}, served {served}, lag {records.max_delay:.3f} s"
    if records.max_delay > MAX_RECORDING_DELAY_S and not breaches:
        return SeedResult(VOID, requests, [f"{summary}: void, the recording process was delayed"])
    verdict = f"{len(breaches)} broken" if breaches else "no rule broken"
    return SeedResult(len(breaches), requests, [f"{summary}: {verdict}", *report(records, breaches)])


def store_report(folder: Path, seed: int, lines: list[str]) -> None:
    """Writes the report of a seed that broke a rule to a file, since the standard output may be lost."""
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"soak-seed-{seed}-{time.strftime('%Y%m%dT%H%M%S')}.txt"
    path.write_text("\n".join(lines) + "\n")
    print(f"report written to {path}", flush=True)


def main() -> int:
    """Runs the command; returns 0 if no rule was broken and 1 otherwise. Bad arguments exit with status 2."""
    options = parse_arguments()
    shim = build_shim()
    if shim is None:
        print("no C compiler found: running without system call faults and clock steps", flush=True)
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
    """Parses the command line; exits with status 2 if an option is out of range."""
    parser = argparse.ArgumentParser(prog="python -m harecross.soak", description=__doc__)
    parser.add_argument("--seeds", type=int, default=5, help="number of seeds to run (5)")
    parser.add_argument("--first", type=int, default=1, help="the first seed (1)")
    parser.add_argument(
        "--seconds", type=float, default=14.0, help="seconds of load for each seed, at least 8 (14)"
    )
    parser.add_argument("--nodes", type=int, default=3, help="maximum number of nodes of a run, 1 to 14 (3)")
    parser.add_argument("--side-by-side", type=int, default=2, help="number of runs in parallel (2)")
    parser.add_argument(
        "--reports", type=Path, default=Path("logs"), help="folder for the reports of failed seeds (logs)"
    )
    options = parser.parse_args()
    if options.seeds < 1 or options.seconds < 8 or not 1 <= options.nodes <= 14 or options.side_by_side < 1:
        parser.error(
            "--seeds and --side-by-side must be at least 1, --seconds at least 8, --nodes from 1 to 14"
        )
    return options


if __name__ == "__main__":
    sys.exit(main())
