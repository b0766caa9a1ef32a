"""What several sources cost, and how soon a change counts.

    python benchmarks/sources.py [--names 500] [--boxes 200] [--instances 1000]

Three measurements, each in this process and on loopback or a virtual clock:
- `ledger`: `--names` SRV names of `--boxes` boxes each, beside a watch that lists every box; CPU for the first list,
  for one name that changes a tenth of its boxes, and for a step in which nothing changes; memory.
- `change`: from the moment a DNS server's record changes to the node's decision module having the box, beside the TTL.
- `evenness`: `--instances` resolvers with the same set, questions a second over an hour of virtual time.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import resource
import sys
import time
from collections import Counter
from pathlib import Path
from random import Random
from statistics import median

sys.path[:0] = [str(Path(__file__).parent.parent), str(Path(__file__).parent.parent / "tests")]

from harecross.dns.lifetime import CachedName, CacheLimits  # noqa: E402
from harecross.dns.srv import SrvAnswer, SrvEndpoint  # noqa: E402
from harecross.sources.publisher import MembershipPublisher  # noqa: E402
from harecross.sources.statements import srv_statements  # noqa: E402


def memory_mb() -> float:
    with open("/proc/self/statm") as f:
        return int(f.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


class CountingConsumer:
    """A consumer that counts the entries it gets."""

    lines = 0

    def apply(self, update: dict, *, cached: bool = False, full: bool = False) -> None:
        self.lines += len(update["instances"])

    def unhealthy(self) -> set[str]:
        return set()

    def maintenance(self) -> tuple[str, ...]:
        return ()

    def names_changed(self) -> None:
        pass


def ledger(names: int, boxes: int) -> dict[str, float]:
    """CPU seconds and megabytes; the consumer is told, and does nothing with it."""
    consumer = CountingConsumer()
    base = memory_mb()
    publisher = MembershipPublisher(consumer)
    sets = []
    for n in range(names):
        publisher.reconciler.add_source(f"srv:{n}", 1)
        sets.append(
            [
                SrvEndpoint(0, f"b{b}.n{n}.", f"10.{n >> 8}.{n & 255}.{b & 255}", 1000 + (b >> 8), 1)
                for b in range(boxes)
            ]
        )
    watch = [
        {"instanceId": f"{n}-{b}", "hostPort": f"{e.address}:{e.port}", "lifecycle": "in_service"}
        for n, found in enumerate(sets)
        for b, e in enumerate(found)
    ]
    began = time.process_time()
    publisher.update_watch(0.0, 0.0, {"reset": True, "instances": watch}, cached=False, full=True)
    for n, found in enumerate(sets):
        publisher.update_source(0.0, f"srv:{n}", srv_statements(found))
    publisher.publish_changes(0.0, 0.0)
    first = time.process_time() - began
    held = memory_mb() - base
    changes = []
    for i in range(20):
        found = sets[i % names]
        kept = found[boxes // 10 :] if i % 2 else found
        began = time.process_time()
        publisher.update_source(100.0 + i, f"srv:{i % names}", srv_statements(kept))
        publisher.publish_changes(100.0 + i, 100.0)
        changes.append(time.process_time() - began)
    began = time.process_time()
    for i in range(100):
        publisher.publish_changes(200.0 + i / 100, 200.0)
    idle = (time.process_time() - began) / 100
    return {
        "boxes": names * boxes, "first_s": round(first, 3), "one_name_ms": round(1000 * median(changes), 2),
        "nothing_ms": round(1000 * idle, 3), "memory_mb": round(held, 1), "lines_told": consumer.lines,
    }  # fmt: skip


def evenness(instances: int, ttl: float = 60.0) -> dict[str, float]:
    """Questions a second over an hour, all instances started in one second; the first ten minutes left out."""
    rng, asked = Random(1), Counter[int]()
    names = [CachedName(CacheLimits(), rng, 0.0) for _ in range(instances)]
    found = SrvAnswer((SrvEndpoint(0, "a.", "10.0.0.1", 80, 1),), ttl)
    for now in range(3600):
        for name in names:
            if name.due(now):
                name.refresh_started()
                name.receive_answer(float(now), found)
                asked[now] += 1
    counts = [asked[t] for t in range(600, 3600)]
    mean = sum(counts) / len(counts)
    return {
        "ttl_s": ttl,
        "a_second": round(mean, 1),
        "peak": max(counts),
        "peak_to_mean": round(max(counts) / mean, 2),
    }


async def change(ttl: int, rounds: int) -> dict[str, float]:
    """Seconds from a changed record to the box in the decision module of a real node."""
    from node_support import config_dict

    from harecross.node.config import config_from
    from harecross.node.node import Node
    from harecross.node.options import NodeOptions
    from harecross.sources.config import SourcesTable, SrvConfig
    from harecross.sources.manager import SourceManager
    from harecross.standins.dns import DnsServer

    server = await DnsServer().start()
    name = "_r._tcp.example.org"
    server.set_records("box.example.org.", "A", "127.0.0.1", ttl=ttl)
    server.set_records(f"{name}.", "SRV", "0 1 1000 box.example.org.", ttl=ttl)
    table = SourcesTable(srv=(SrvConfig(name),), resolvers=(server.address,), watch=False)
    node = Node(
        config_from(config_dict("127.0.0.1:1")),
        NodeOptions(additional_sources=lambda d: SourceManager(table, d)),
    )
    task = asyncio.create_task(node.run())
    await node.started.wait()
    took, loop, rng = [], asyncio.get_running_loop(), Random(2)
    while not node.registry.listed:
        await asyncio.sleep(0.01)
    for i in range(rounds):
        await asyncio.sleep(rng.uniform(0, ttl))
        began = loop.time()
        server.set_records(
            f"{name}.", "SRV", "0 1 1000 box.example.org.", f"0 1 {1001 + i} box.example.org.", ttl=ttl
        )
        while f"127.0.0.1:{1001 + i}" not in node.registry.numbers:
            await asyncio.sleep(0.002)
        took.append(loop.time() - began)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    await node.membership.additional_sources.stop()
    server.stop()
    return {
        "ttl_s": ttl,
        "median_s": round(median(took), 2),
        "most_s": round(max(took), 2),
        "changes": rounds,
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--names", type=int, default=500)
    parser.add_argument("--boxes", type=int, default=200)
    parser.add_argument("--instances", type=int, default=1000)
    options = parser.parse_args()
    print("ledger", json.dumps(ledger(options.names, options.boxes)), flush=True)
    print("evenness", json.dumps(evenness(options.instances)), flush=True)
    for ttl in (1, 5):
        print("change", json.dumps(asyncio.run(change(ttl, 8))), flush=True)
    print("peak memory of this process", resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024, "MB")


if __name__ == "__main__":
    main()
