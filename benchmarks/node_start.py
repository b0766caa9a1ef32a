"""Measures the start time and resident memory of a node, alternating between this checkout and another one.

python benchmarks/node_start.py [--other FOLDER] [--runs 15]
"""

from __future__ import annotations

import argparse
import json
import os
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

CLASSES = [{"name": "read", "effect": "free", "goal_time": 1_000_000, "hard_limit": 2_500_000, "worth": 1}]


def measure_start(folder: Path, config: Path) -> tuple[float, float]:
    """Starts a node; returns the milliseconds until it listens, and its resident megabytes at that time."""
    env = {**os.environ, "LB_CONFIG": str(config), "PYTHONPATH": str(folder)}
    env.pop("HARECROSS_CONFIG", None)
    started = time.perf_counter()
    node = subprocess.Popen(
        [sys.executable, "-m", "harecross.node"], cwd=folder, env=env, stderr=subprocess.PIPE, text=True
    )
    assert node.stderr is not None
    while "listening on" not in node.stderr.readline():
        pass
    elapsed_ms = (time.perf_counter() - started) * 1000
    status = Path(f"/proc/{node.pid}/status").read_text()
    resident_mb = int(status.split("VmRSS:")[1].split()[0]) / 1024
    node.kill()
    node.wait()
    return elapsed_ms, resident_mb


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--other", type=Path)
    parser.add_argument("--runs", type=int, default=15)
    args = parser.parse_args()
    from harecross.standins.cluster import node_settings

    here = Path(__file__).resolve().parent.parent
    folders = {"this": here, **({"other": args.other.resolve()} if args.other else {})}
    samples: dict[str, list[tuple[float, float]]] = {name: [] for name in folders}
    with tempfile.TemporaryDirectory() as folder:
        config = Path(folder) / "c.json"
        config.write_text(
            json.dumps(
                {
                    "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1",
                    "settings": node_settings(CLASSES, 1),
                }
            )
        )  # fmt: skip
        for _ in range(args.runs):
            for name, path in folders.items():
                samples[name].append(measure_start(path, config))
    print(f"{os.cpu_count()} cores, {args.runs} runs each, in turn; medians")
    for name, runs in samples.items():
        print(
            f"{name}: listens after {statistics.median(r[0] for r in runs):.0f} ms "
            f"({min(r[0] for r in runs):.0f} to {max(r[0] for r in runs):.0f}), "
            f"{statistics.median(r[1] for r in runs):.1f} MB resident"
        )


if __name__ == "__main__":
    main()
