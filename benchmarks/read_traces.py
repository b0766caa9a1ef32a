"""Reading and planning a large trace against a bare polars scan of the same file, each in a process of its own.

    python benchmarks/read_traces.py [--rows 10000000]

Prints rows a second, peak memory and the ratio; also at a tenth of the rows, to see that memory stays flat.
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


def write(path: Path, rows: int) -> None:
    """A google-2011 task_events file of SUBMIT, SCHEDULE and FINISH, a tenth of the rows out of order."""
    rng = random.Random(1)
    step = max(1, 86_400_000_000 // rows)
    with path.open("w") as f:
        buffer = []
        for i in range(rows):
            task = i // 3
            at = 600_000_000 + i * step + (rng.randrange(2_000_000) if i % 10 == 0 else 0)
            buffer.append(
                f"{at},,{task // 50},{task % 50},{i % 12000},{(0, 1, 4)[i % 3]},u{i % 400},{task % 4},"
                f"{i % 12},0.0625,0.0311,0.0004,0\n"
            )
            if len(buffer) == 100_000:
                f.write("".join(buffer))
                buffer.clear()
        f.write("".join(buffer))


def measure(what: str, path: Path) -> None:
    """In a process of its own: seconds and peak resident megabytes, on one line."""
    began = time.perf_counter()
    if what == "scan":
        import polars as pl

        frame = pl.scan_csv(path, has_header=False).select(pl.all().max()).collect(engine="streaming")
        assert frame.width == COLUMNS
    else:
        from harecross.traces.summary import Trace, inspect

        told = inspect(Trace([path]))
        assert told["rows_read"] == told["rows_kept"]
    print(time.perf_counter() - began, resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024)


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
            write(path, rows)
            took: dict[str, list[float]] = {"scan": [], "plan": []}
            peak = {"scan": 0.0, "plan": 0.0}
            for _ in range(3):
                for what in took:
                    command = [sys.executable, __file__, "--measure", what, str(path)]
                    text = subprocess.run(command, check=True, capture_output=True, text=True).stdout
                    seconds, memory = map(float, text.split())
                    took[what].append(seconds)
                    peak[what] = max(peak[what], memory)
            plan, scan = sorted(took["plan"])[1], sorted(took["scan"])[1]
            print(
                f"{rows:,} rows ({path.stat().st_size >> 20} MB): plan {plan:.2f} s ({rows / plan:,.0f} rows a second, "
                f"{peak['plan']:.0f} MB), bare scan {scan:.2f} s ({peak['scan']:.0f} MB), ratio {plan / scan:.2f}"
            )


if __name__ == "__main__":
    main()
