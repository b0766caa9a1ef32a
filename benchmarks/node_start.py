"""Start time and resident memory of a node, this checkout against another one, in turn.

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


def start(folder: Path, config: Path) -> tuple[float, float]:
    """Milliseconds until it listens, and resident megabytes then."""
    env = {**os.environ, "LB_CONFIG": str(config), "PYTHONPATH": str(folder)}
    env.pop("HARECROSS_CONFIG", None)
    began = time.perf_counter()
    node = subprocess.Popen(
        [sys.executable, "-m", "harecross.node"], cwd=folder, env=env, stderr=subprocess.PIPE, text=True
    )
    assert node.stderr is not None
    while "listening on" not in node.stderr.readline():
        pass
    took = (time.perf_counter() - began) * 1000
    status = Path(f"/proc/{node.pid}/status").read_text()
    resident = int(status.split("VmRSS:")[1].split()[0]) / 1024
    node.kill()
    node.wait()
    return took, resident


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--other", type=Path)
    parser.add_argument("--runs", type=int, default=15)
    args = parser.parse_args()
    from harecross.standins.cluster import node_settings

    here = Path(__file__).resolve().parent.parent
    folders = {"this": here, **({"other": args.other.resolve()} if args.other else {})}
    found: dict[str, list[tuple[float, float]]] = {name: [] for name in folders}
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
                found[name].append(start(path, config))
    print(f"{os.cpu_count()} cores, {args.runs} runs each, in turn; medians")
    for name, runs in found.items():
        print(
            f"{name}: listens after {statistics.median(r[0] for r in runs):.0f} ms "
            f"({min(r[0] for r in runs):.0f} to {max(r[0] for r in runs):.0f}), "
            f"{statistics.median(r[1] for r in runs):.1f} MB resident"
        )


if __name__ == "__main__":
    main()
