"""Compares inspecting a large trace with a plain polars scan of the same file, each in a process of its own.

    python benchmarks/read_traces.py [--rows 10000000]

Prints rows per second, peak memory and the ratio of the times, for the given rows and for a tenth of them, which shows
whether memory use is independent of the number of rows.
"""

from __future__ import annotations

import argparse
import os
import random
import resource
import subprocess
import sys
import tempfile
import time
from pathlib import Path

COLUMNS = 13


def write_trace(path: Path, rows: int) -> None:
    """Writes a google-2011 task_events file of SUBMIT, SCHEDULE and FINISH events, a tenth of them out of order."""
    rng = random.Random(1)
    step_us = max(1, 86_400_000_000 // rows)
    with path.open("w") as f:
        buffer = []
        for i in range(rows):
            task = i // 3
            time_us = 600_000_000 + i * step_us + (rng.randrange(2_000_000) if i % 10 == 0 else 0)
            buffer.append(
                f"{time_us},,{task // 50},{task % 50},{i % 12000},{(0, 1, 4)[i % 3]},u{i % 400},{task % 4},"
                f"{i % 12},0.0625,0.0311,0.0004,0\n"
            )
            if len(buffer) == 100_000:
                f.write("".join(buffer))
                buffer.clear()
        f.write("".join(buffer))


def measure(workload: str, path: Path) -> None:
    """Runs a workload and prints the seconds and the peak resident megabytes of this process on one line."""
    started = time.perf_counter()
    if workload == "scan":
        import polars as pl

        frame = pl.scan_csv(path, has_header=False).select(pl.all().max()).collect(engine="streaming")
        assert frame.width == COLUMNS
    else:
        from harecross.traces.summary import Trace, inspect

        summary = inspect(Trace([path]))
        assert summary["rows_read"] == summary["rows_kept"]
    print(time.perf_counter() - started, resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024)


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--rows", type=int, default=10_000_000)
    parser.add_argument("--measure", nargs=2)
    args = parser.parse_args()
    if args.measure:
        measure(args.measure[0], Path(args.measure[1]))
        return
    print(f"{os.cpu_count()} cores")
    with tempfile.TemporaryDirectory() as folder:
        for rows in (args.rows // 10, args.rows):
            path = Path(folder) / "trace.csv"
            write_trace(path, rows)
            durations: dict[str, list[float]] = {"scan": [], "plan": []}
            peak = {"scan": 0.0, "plan": 0.0}
            for _ in range(3):
                for workload in durations:
                    command = [sys.executable, __file__, "--measure", workload, str(path)]
                    text = subprocess.run(command, check=True, capture_output=True, text=True).stdout
                    seconds, memory = map(float, text.split())
                    durations[workload].append(seconds)
                    peak[workload] = max(peak[workload], memory)
            plan, scan = sorted(durations["plan"])[1], sorted(durations["scan"])[1]
            print(
                f"{rows:,} rows ({path.stat().st_size >> 20} MB): plan {plan:.2f} s ({rows / plan:,.0f} rows a second, "
                f"{peak['plan']:.0f} MB), bare scan {scan:.2f} s ({peak['scan']:.0f} MB), ratio {plan / scan:.2f}"
            )


if __name__ == "__main__":
    main()
