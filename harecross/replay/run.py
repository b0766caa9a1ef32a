"""One run: real nodes and stand-in servers, the plan sent open loop, events played, all of it reported."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from collections.abc import AsyncIterator, Callable, Iterable
from dataclasses import dataclass, field
from itertools import chain
from typing import Any

from harecross.replay.account import LATENESS_BOUND, Klass
from harecross.replay.callers import Arrival, Habits, OpenLoop, Pool
from harecross.replay.plan import SLOTS, Event, prefix
from harecross.standins.cluster import Cluster, ClusterError

SAMPLE_EVERY = 0.5  # seconds between two looks at nodes and servers
EFFECTS = {"safe": "free", "keyed": "guarded", "unsafe": "single_shot"}
OUTCOMES = ("ok", "error", "timeout", "reset", "cancelled", "rejected", "connect_failed", "unknown")
COLD_S = 5.0


@dataclass(slots=True)
class Run:
    """What a run came to."""

    loop: OpenLoop
    clusters: list[Cluster]  # one a tier
    seconds: float = 0.0
    samples: list[dict[str, Any]] = field(default_factory=list)
    events: list[dict[str, Any]] = field(default_factory=list)
    world: dict[str, Any] = field(default_factory=dict)
    nodes: list[dict[str, Any]] = field(default_factory=list)


def node_classes(classes: list[Klass]) -> list[dict[str, Any]]:
    """The classes as the settings of a node have them."""
    return [
        {
            "name": c.name, "effect": EFFECTS[c.effect], "goal_time": c.aim, "hard_limit": c.deadline,
            "worth": c.worth, "late_value": 0.0, "group": "cell", "window": 5_000_000,
        }
        for c in classes
    ]  # fmt: skip


def server(name: str, cold: bool = False) -> dict[str, Any]:
    shape = {"slots": SLOTS, "queue": 8 * SLOTS, "cold_share": 0.4, "cold_time": int(COLD_S * 1e6)}
    return {"name": name, "shape": shape, "cold": cold}


async def execute(
    arrivals: Iterable[Arrival],
    classes: list[Klass],
    servers: list[list[str]],
    nodes: int,
    events: list[Event],
    habits: Habits | None = None,
    seed: int = 1,
    window_s: float = 1.0,
    watch: Callable[[Run], None] | None = None,
) -> Run:
    """Starts it all, sends the plan and ends it all; `servers` are those of each tier, before each so many nodes.

    ClusterError if a part does not start.
    """
    async with contextlib.AsyncExitStack() as stack:
        names = [f"tier{t}" for t in range(len(servers))]
        clusters = [
            await stack.enter_async_context(
                Cluster(
                    [server(n) for n in pool], nodes, node_classes(classes), seed + tier, prefix(tier),
                    layers=names, tier=tier,
                )
            )
            for tier, pool in enumerate(servers)
        ]  # fmt: skip
        pools = [[Pool(n.name, lambda n=n: n.address) for n in c.nodes] for c in clusters]  # type: ignore[misc]
        loop = OpenLoop(classes, pools, habits or Habits(), int(window_s * 1e6))
        run = Run(loop, clusters)

        async def plan() -> AsyncIterator[Arrival]:
            for arrival in arrivals:
                yield arrival

        side = [
            asyncio.create_task(play(run, events)),
            asyncio.create_task(sample(run, watch)),
        ]
        sending = asyncio.create_task(loop.run(plan()))
        try:
            # The side tasks go on for ever: a fault in one ends the run: figures without its events would mislead.
            done, _ = await asyncio.wait([sending, *side], return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                task.result()
            await sending
            run.seconds = loop.now() / 1e6
            await asyncio.sleep(2 * SAMPLE_EVERY)  # the nodes' last line on how things stand
        finally:
            for task in (sending, *side):
                task.cancel()
            await asyncio.gather(sending, *side, return_exceptions=True)
            for pool in chain(*pools):
                pool.close()
        told = [await c.order(do="stats") for c in clusters]
        run.world = {
            "servers": {name: stats for t in told for name, stats in t["servers"].items()},
            "effects": sum(t["effects"] for t in told),
        }
        run.nodes = [{"name": n.name, "alive": n.alive, **n.stats} for c in clusters for n in c.nodes]
        return run


async def play(run: Run, events: list[Event]) -> None:
    """Does each event at its time; one that cannot be done is told in the report, not skipped."""
    while run.loop.start == 0:
        await asyncio.sleep(0.001)
    for event in sorted(events, key=lambda e: e.at):
        wait = event.at - run.loop.now()
        if wait > 0:
            await asyncio.sleep(wait / 1e6)
        told: dict[str, Any] = {"at_s": event.at / 1e6, "what": event.what, "name": event.name, "done": True}
        try:
            if event.what in ("kill-node", "stop-node"):
                nodes = [n for c in run.clusters for n in c.nodes if n.name == event.name]
                if not nodes:
                    raise ClusterError(f"no node named {event.name!r}")
                nodes[0].signal(signal.SIGKILL if event.what == "kill-node" else signal.SIGTERM)
            elif event.what == "add":
                await run.clusters[0].order(do="add", **server(event.name, cold=True))
            else:
                # A server's name tells its tier; one that no tier has is told by the first.
                at = next(
                    (c for c in run.clusters if any(s["name"] == event.name for s in c.servers)),
                    run.clusters[0],
                )
                more = {"factor": event.factor} if event.what == "slow" else {}
                await at.order(do=event.what, name=event.name, **more)
                told.update(more)
        except ClusterError as e:
            told.update(done=False, error=str(e))
        run.events.append(told)
    await asyncio.Event().wait()


async def sample(run: Run, watch: Callable[[Run], None] | None) -> None:
    """Looks at nodes twice a second, for the plots and for whoever watches."""
    while True:
        await asyncio.sleep(SAMPLE_EVERY)
        if run.loop.start == 0:
            continue
        stats = [n.stats for c in run.clusters for n in c.nodes if n.alive]
        run.samples.append(
            {
                "at_s": round(run.loop.now() / 1e6, 2),
                "limit": round(sum(s.get("concurrency_limit", 0.0) for s in stats), 1),
                "in_flight": sum(s.get("in_flight", 0.0) for s in stats),
                "ejected": sum(s.get("ejected", 0.0) for s in stats),
                "nodes": len(stats),
            }
        )
        if watch is not None:
            watch(run)


def percentiles(h: Any) -> dict[str, float]:
    """Milliseconds."""
    points = {"p50": 50.0, "p90": 90.0, "p99": 99.0, "p999": 99.9}
    return {name: round(h.get_value_at_percentile(p) / 1000, 3) for name, p in points.items()}


def report(run: Run) -> dict[str, Any]:
    """The report as JSON has it. RuntimeError where the account does not add up: a fault of the program."""
    account = run.loop.account
    wrong = account.check()
    if wrong:
        raise RuntimeError(f"the account does not add up: {'; '.join(wrong)}")
    lateness = percentiles(run.loop.lateness)
    attempts = sum(int(n.get(o, 0)) for n in run.nodes for o in OUTCOMES)
    asked = account.whole.asked
    late = run.loop.lateness.get_value_at_percentile(99.0)
    windows = []
    for i, tally in enumerate(account.windows):
        row = {"from_s": round(i * account.window / 1e6, 3), **tally.figures()}
        if i < len(run.loop.window_latency) and run.loop.window_latency[i].total_count:
            row["latency_ms"] = percentiles(run.loop.window_latency[i])
        windows.append(row)
    return {
        **account.whole.figures(),
        "valid": bool(late <= LATENESS_BOUND),
        "lateness_ms": lateness,
        "lateness_bound_ms": LATENESS_BOUND / 1000,
        "seconds": round(run.seconds, 3),
        "attempts": attempts,
        "attempts_per_request": round(attempts / asked, 4) if asked else None,
        "latency_ms": percentiles(run.loop.latency) if run.loop.latency.total_count else None,
        "by_class": {
            c.name: {
                **tally.figures(),
                "latency_ms": percentiles(h) if h.total_count else None,
            }
            for c, tally, h in zip(run.loop.classes, account.by_class, run.loop.class_latency, strict=True)
        },
        "windows": windows,
        "events": run.events,
        "nodes": run.nodes,
        "servers": run.world.get("servers", {}),
        "samples": run.samples,
    }
