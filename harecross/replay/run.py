"""Runs a replay: starts nodes and stand-in servers, sends requests open loop, and applies events at their times."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from collections.abc import AsyncIterator, Callable, Iterable
from dataclasses import dataclass, field
from itertools import chain
from typing import Any

from harecross.interface import Idempotency
from harecross.replay.accounting import RequestClass, RetryPolicy
from harecross.replay.clients import Arrival, NodePool, OpenLoopGenerator
from harecross.replay.plan import SERVER_SLOTS, Event, EventAction, tier_prefix
from harecross.standins.cluster import Cluster, ClusterError

SAMPLE_INTERVAL_S = 0.5
START_POLL_S = 0.001
SLOW_START_US = 5_000_000
# The names of the effects in a node's settings.
WIRE_EFFECTS = {
    Idempotency.IDEMPOTENT: "free",
    Idempotency.IDEMPOTENCY_KEY: "guarded",
    Idempotency.NON_IDEMPOTENT: "single_shot",
}


@dataclass(slots=True)
class ReplayRun:
    """The state and the results of a run.

    Attributes:
        generator: The load generator with its accounting and histograms.
        clusters: The nodes and stand-in servers of each tier.
        seconds: The length of the run.
        samples: The periodic samples of the nodes' statistics, as rows of the JSON report.
        events: The events so far, as rows of the JSON report.
        servers: The statistics of each server by name.
        effects: The number of idempotency keys that took effect at the servers.
        nodes: The last statistics of each node, as rows of the JSON report.
    """

    generator: OpenLoopGenerator
    clusters: list[Cluster]
    seconds: float = 0.0
    samples: list[dict[str, Any]] = field(default_factory=list)
    events: list[dict[str, Any]] = field(default_factory=list)
    servers: dict[str, Any] = field(default_factory=dict)
    effects: int = 0
    nodes: list[dict[str, Any]] = field(default_factory=list)


Observer = Callable[[ReplayRun], None]


async def run_replay(
    arrivals: Iterable[Arrival],
    classes: list[RequestClass],
    servers: list[list[str]],
    nodes: int,
    events: list[Event],
    retry_policy: RetryPolicy | None = None,
    seed: int = 1,
    window_s: float = 1.0,
    observer: Observer | None = None,
) -> ReplayRun:
    """Starts the nodes and servers, sends the requests, stops all processes and returns the results.

    `servers` has the names of the servers of each tier, and `nodes` is the number of nodes of each tier. Raises
    ClusterError if a node or the servers do not start.
    """
    async with contextlib.AsyncExitStack() as stack:
        clusters = await _start_clusters(stack, classes, servers, nodes, seed)
        pools = [[NodePool(n.name, lambda n=n: n.address) for n in c.nodes] for c in clusters]  # type: ignore[misc]
        generator = OpenLoopGenerator(classes, pools, retry_policy or RetryPolicy(), int(window_s * 1e6))
        run = ReplayRun(generator, clusters)
        try:
            await _send_plan(run, arrivals, events, observer)
        finally:
            for pool in chain(*pools):
                pool.close()
        await _collect_statistics(run)
        return run


async def _start_clusters(
    stack: contextlib.AsyncExitStack,
    classes: list[RequestClass],
    servers: list[list[str]],
    nodes: int,
    seed: int,
) -> list[Cluster]:
    layers = [f"tier{tier}" for tier in range(len(servers))]
    settings = _class_settings(classes)
    clusters = []
    for tier, names in enumerate(servers):
        server_commands = [_server_command(name) for name in names]
        cluster = Cluster(
            server_commands, nodes, settings, seed + tier, tier_prefix(tier), layers=layers, tier=tier
        )
        clusters.append(await stack.enter_async_context(cluster))
    return clusters


def _class_settings(classes: list[RequestClass]) -> list[dict[str, Any]]:
    """Returns the request classes as a list for a node's settings."""
    return [
        {
            "name": c.name,
            "effect": WIRE_EFFECTS[c.idempotency],
            "goal_time": c.latency_objective_us,
            "hard_limit": c.deadline_us,
            "worth": c.priority_weight,
            "late_value": 0.0,
            "group": "cell",
            "window": 5_000_000,
        }
        for c in classes
    ]


def _server_command(name: str, *, cold: bool = False) -> dict[str, Any]:
    """Returns the parameters of the stand-ins' command to add a server; a `cold` one begins with slow start."""
    shape = {"slots": SERVER_SLOTS, "queue": 8 * SERVER_SLOTS, "cold_share": 0.4, "cold_time": SLOW_START_US}
    return {"name": name, "shape": shape, "cold": cold}


async def _send_plan(
    run: ReplayRun, arrivals: Iterable[Arrival], events: list[Event], observer: Observer | None
) -> None:
    """Sends the requests while events are applied and samples are taken."""

    async def plan() -> AsyncIterator[Arrival]:
        for arrival in arrivals:
            yield arrival

    background = [
        asyncio.create_task(_apply_events(run, events)),
        asyncio.create_task(_sample_nodes(run, observer)),
    ]
    sending = asyncio.create_task(run.generator.run(plan()))
    try:
        # The background tasks end only by an exception, which then ends the run: its results would be misleading.
        done, _ = await asyncio.wait([sending, *background], return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            task.result()
        await sending
        run.seconds = run.generator.now_us() / 1e6
        await asyncio.sleep(2 * SAMPLE_INTERVAL_S)  # so that the nodes' last report lines arrive
    finally:
        for task in (sending, *background):
            task.cancel()
        await asyncio.gather(sending, *background, return_exceptions=True)


async def _collect_statistics(run: ReplayRun) -> None:
    for cluster in run.clusters:
        statistics = await cluster.command(do="stats")
        run.servers |= statistics["servers"]
        run.effects += statistics["effects"]
    run.nodes = [{"name": n.name, "alive": n.alive, **n.stats} for c in run.clusters for n in c.nodes]


async def _apply_events(run: ReplayRun, events: list[Event]) -> None:
    """Applies each event at its time, and records failed events with their error."""
    while run.generator.started_at_us == 0:
        await asyncio.sleep(START_POLL_S)
    for event in sorted(events, key=lambda event: event.at_us):
        wait_us = event.at_us - run.generator.now_us()
        if wait_us > 0:
            await asyncio.sleep(wait_us / 1e6)
        row: dict[str, Any] = {
            "at_s": event.at_us / 1e6,
            "what": event.action.value,
            "name": event.name,
            "done": True,
        }
        try:
            await _apply_event(run, event)
            if event.action is EventAction.SLOW:
                row["factor"] = event.factor
        except ClusterError as error:
            row.update(done=False, error=str(error))
        run.events.append(row)
    await asyncio.Event().wait()


async def _apply_event(run: ReplayRun, event: Event) -> None:
    """Applies an event to its server or node. Raises ClusterError if that is not possible."""
    if event.action in (EventAction.KILL_NODE, EventAction.STOP_NODE):
        nodes = [node for cluster in run.clusters for node in cluster.nodes if node.name == event.name]
        if not nodes:
            raise ClusterError(f"no node named {event.name!r}")
        nodes[0].signal(signal.SIGKILL if event.action is EventAction.KILL_NODE else signal.SIGTERM)
    elif event.action is EventAction.ADD:
        await run.clusters[0].command(do="add", **_server_command(event.name, cold=True))
    else:
        parameters = {"factor": event.factor} if event.action is EventAction.SLOW else {}
        cluster = _cluster_of_server(run, event.name)
        await cluster.command(do=event.action.value, name=event.name, **parameters)


def _cluster_of_server(run: ReplayRun, name: str) -> Cluster:
    """Returns the cluster that has the server `name`.

    If there is none, returns the first cluster, whose command then fails with an error for the unknown name.
    """
    for cluster in run.clusters:
        if any(server["name"] == name for server in cluster.servers):
            return cluster
    return run.clusters[0]


async def _sample_nodes(run: ReplayRun, observer: Observer | None) -> None:
    """Samples the nodes' statistics every `SAMPLE_INTERVAL_S` for the report, and calls the observer."""
    while True:
        await asyncio.sleep(SAMPLE_INTERVAL_S)
        if run.generator.started_at_us == 0:
            continue
        statistics = [node.stats for cluster in run.clusters for node in cluster.nodes if node.alive]
        run.samples.append(
            {
                "at_s": round(run.generator.now_us() / 1e6, 2),
                "limit": round(sum(s.get("concurrency_limit", 0.0) for s in statistics), 1),
                "in_flight": sum(s.get("in_flight", 0.0) for s in statistics),
                "ejected": sum(s.get("ejected", 0.0) for s in statistics),
                "nodes": len(statistics),
            }
        )
        if observer is not None:
            observer(run)
