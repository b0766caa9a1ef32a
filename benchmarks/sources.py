"""Measures the cost of several membership sources, and the delay until a change takes effect.

    python benchmarks/sources.py [--names 500] [--boxes 200] [--instances 1000]

All measurements run in this process, on loopback or with a virtual clock:
- `ledger`: the CPU time and memory for `--names` SRV names with `--boxes` endpoints each and a watch that lists all
  endpoints. CPU time is measured for the first list, for a change of a tenth of one name's endpoints, and for a step
  without changes.
- `change`: the delay from a change of a DNS record until the node's endpoint registry has the endpoint, for each TTL.
- `evenness`: the queries per second of `--instances` resolvers of the same name over an hour of virtual time.
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
    """A consumer that counts the instances in the updates it receives."""

    instances = 0

    def apply(self, update: dict, *, cached: bool = False, full: bool = False) -> None:
        self.instances += len(update["instances"])

    def unhealthy(self) -> set[str]:
        return set()

    def maintenance(self) -> tuple[str, ...]:
        return ()

    def names_changed(self) -> None:
        pass


def measure_publisher(names: int, endpoints: int) -> dict[str, float]:
    """Returns the CPU times and the memory of a publisher whose consumer only counts the instances it receives."""
    consumer = CountingConsumer()
    base_mb = memory_mb()
    publisher = MembershipPublisher(consumer)
    endpoint_lists = []
    for n in range(names):
        publisher.reconciler.add_source(f"srv:{n}", 1)
        endpoint_lists.append(
            [
                SrvEndpoint(0, f"b{b}.n{n}.", f"10.{n >> 8}.{n & 255}.{b & 255}", 1000 + (b >> 8), 1)
                for b in range(endpoints)
            ]
        )
    watch = [
        {"instanceId": f"{n}-{b}", "hostPort": f"{e.address}:{e.port}", "lifecycle": "in_service"}
        for n, listed in enumerate(endpoint_lists)
        for b, e in enumerate(listed)
    ]
    started_at = time.process_time()
    publisher.update_watch(0.0, 0.0, {"reset": True, "instances": watch}, cached=False, full=True)
    for n, listed in enumerate(endpoint_lists):
        publisher.update_source(0.0, f"srv:{n}", srv_statements(listed))
    publisher.publish_changes(0.0, 0.0)
    first_s = time.process_time() - started_at
    used_mb = memory_mb() - base_mb
    change_times = []
    for i in range(20):
        listed = endpoint_lists[i % names]
        kept = listed[endpoints // 10 :] if i % 2 else listed
        started_at = time.process_time()
        publisher.update_source(100.0 + i, f"srv:{i % names}", srv_statements(kept))
        publisher.publish_changes(100.0 + i, 100.0)
        change_times.append(time.process_time() - started_at)
    started_at = time.process_time()
    for i in range(100):
        publisher.publish_changes(200.0 + i / 100, 200.0)
    idle_s = (time.process_time() - started_at) / 100
    return {
        "boxes": names * endpoints, "first_s": round(first_s, 3), "one_name_ms": round(1000 * median(change_times), 2),
        "nothing_ms": round(1000 * idle_s, 3), "memory_mb": round(used_mb, 1), "lines_told": consumer.instances,
    }  # fmt: skip


def measure_query_evenness(instances: int, ttl: float = 60.0) -> dict[str, float]:
    """Returns the queries per second of instances that start in the same second, without the first ten minutes."""
    rng, queries = Random(1), Counter[int]()
    names = [CachedName(CacheLimits(), rng, 0.0) for _ in range(instances)]
    answer = SrvAnswer((SrvEndpoint(0, "a.", "10.0.0.1", 80, 1),), ttl)
    for now in range(3600):
        for name in names:
            if name.due(now):
                name.refresh_started()
                name.receive_answer(float(now), answer)
                queries[now] += 1
    counts = [queries[t] for t in range(600, 3600)]
    mean = sum(counts) / len(counts)
    return {
        "ttl_s": ttl,
        "a_second": round(mean, 1),
        "peak": max(counts),
        "peak_to_mean": round(max(counts) / mean, 2),
    }


async def measure_change_delay(ttl: int, rounds: int) -> dict[str, float]:
    """Returns the seconds from a change of an SRV record until the endpoint is in the registry of a running node."""
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
    delays, loop, rng = [], asyncio.get_running_loop(), Random(2)
    while not node.registry.listed:
        await asyncio.sleep(0.01)
    for i in range(rounds):
        await asyncio.sleep(rng.uniform(0, ttl))
        started_at = loop.time()
        server.set_records(
            f"{name}.", "SRV", "0 1 1000 box.example.org.", f"0 1 {1001 + i} box.example.org.", ttl=ttl
        )
        while f"127.0.0.1:{1001 + i}" not in node.registry.numbers:
            await asyncio.sleep(0.002)
        delays.append(loop.time() - started_at)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    await node.membership.additional_sources.stop()
    server.stop()
    return {
        "ttl_s": ttl,
        "median_s": round(median(delays), 2),
        "most_s": round(max(delays), 2),
        "changes": rounds,
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--names", type=int, default=500)
    parser.add_argument("--boxes", type=int, default=200)
    parser.add_argument("--instances", type=int, default=1000)
    options = parser.parse_args()
    print("ledger", json.dumps(measure_publisher(options.names, options.boxes)), flush=True)
    print("evenness", json.dumps(measure_query_evenness(options.instances)), flush=True)
    for ttl in (1, 5):
        print("change", json.dumps(asyncio.run(measure_change_delay(ttl, 8))), flush=True)
    print("peak memory of this process", resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024, "MB")


if __name__ == "__main__":
    main()
