"""Measures the control service with many streams: drains while weights change, reconnects, CPU, bytes and memory.

    python benchmarks/xds_fanout.py --streams 100,1000

The service runs in its own process and the proxies (harecross/standins/xds.py) in several others, all on one machine,
so that times are comparable by the machine's monotonic clock. Each proxy subscribes to `--each` clusters, including c0,
in which servers drain. In the same run, a bare grpcio asyncio server sends the same bytes to as many streams; the ratio
of the two results is the cost of the control service's own work. Prints one line of JSON for each result.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import multiprocessing
import os
import random
import time
from multiprocessing.connection import Connection
from typing import Any

os.environ.setdefault("GRPC_VERBOSITY", "ERROR")  # otherwise gRPC logs a line for each stream that ends

import grpc
from envoy.service.discovery.v3 import discovery_pb2

from harecross.standins.xds import ASSIGNMENT, DRAINING, XdsProxy
from harecross.xds.cache import EDS
from harecross.xds.config import Limits
from harecross.xds.published import Health, PublishedCluster, PublishedEndpoint
from harecross.xds.release import ReleaseSchedule
from harecross.xds.resources import PublishedSnapshots, ResourceEncoder
from harecross.xds.server import ControlServer
from harecross.xds.wire import encode_sotw_resource
from harecross.xds.worker_channel import WorkerSetup
from harecross.xds.worker_pool import WorkerPool

PROXY_PROCESSES = 5
DRAINS = 10  # number of drains in each measurement


def quantiles(values: list[float]) -> dict[str, float]:
    """Returns quantiles of times in seconds, in milliseconds."""
    values = sorted(values)
    return {
        "median_ms": round(1000 * values[len(values) // 2], 1),
        "p99_ms": round(1000 * values[min(len(values) - 1, int(len(values) * 0.99))], 1),
        "max_ms": round(1000 * values[-1], 1),
    }


def resource_usage(pids: list[int]) -> dict[str, float]:
    """Returns the CPU time and the resident memory of several processes together."""
    cpu = rss = 0.0
    for pid in pids:
        with open(f"/proc/{pid}/stat") as f:
            fields = f.read().rpartition(")")[2].split()
        cpu += (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
        rss += int(fields[21]) * os.sysconf("SC_PAGE_SIZE") / 1e6
    return {"cpu_s": round(cpu, 2), "rss_mb": round(rss, 1)}


class ClusterContents:
    """The published content of all clusters, which is changed endpoint by endpoint."""

    def __init__(self, clusters: int, endpoints: int, seed: int) -> None:
        self.rng = random.Random(seed)
        per_cluster = endpoints // clusters
        self.lists = {
            f"c{c}": [
                PublishedEndpoint(
                    f"c{c}-{i}", f"127.0.0.1:{1 + (c * per_cluster + i) % 65000}", "z", Health.HEALTHY, 100
                )
                for i in range(per_cluster)
            ]
            for c in range(clusters)
        }

    def content(self, name: str) -> PublishedCluster:
        return PublishedCluster(tuple(self.lists[name]))

    def change_weight(self) -> str:
        """Changes the weight of a random endpoint and returns the name of its cluster."""
        name = self.rng.choice(list(self.lists))
        i = self.rng.randrange(len(self.lists[name]))
        e = self.lists[name][i]
        self.lists[name][i] = PublishedEndpoint(
            e.name, e.address, e.zone, e.health, self.rng.randrange(50, 200)
        )
        return name

    def change_all_weights(self, name: str) -> None:
        self.lists[name] = [
            PublishedEndpoint(e.name, e.address, e.zone, e.health, self.rng.randrange(50, 200))
            for e in self.lists[name]
        ]

    def set_health(self, name: str, i: int, health: Health) -> str:
        """Sets the health of a cluster's endpoint and returns the name of the endpoint."""
        e = self.lists[name][i]
        self.lists[name][i] = PublishedEndpoint(e.name, e.address, e.zone, health, e.weight)
        return e.name


def run_service(
    pipe: Connection, clusters: int, endpoints: int, churn: float, interval: float, workers: int
) -> None:
    """Runs the control service and executes the commands that arrive on the pipe."""
    import uvloop

    async def body() -> None:
        loop = asyncio.get_running_loop()
        contents = ClusterContents(clusters, endpoints, 1)
        control: ControlServer | WorkerPool
        if workers > 1:
            setup = WorkerSetup("127.0.0.1:0", None, Limits(), {}, ("*",), False, 0.0)
            control = WorkerPool(workers, setup, lambda name: None, print)
            port = await control.start()
            pids = [os.getpid(), *(w.process.pid for w in control.workers if w.process is not None)]
        else:
            control = ControlServer()
            port = await control.start("127.0.0.1:0")
            pids = [os.getpid()]
        release, encoder = ReleaseSchedule(int(interval * 1e6)), ResourceEncoder()
        changes = 0

        def publish_due() -> None:
            batch = release.take_due(time.monotonic_ns() // 1000)
            if batch is not None:
                control.publish(PublishedSnapshots(encoder, batch.clusters), batch.urgent)

        for name in contents.lists:
            release.offer(name, contents.content(name))
        publish_due()

        async def change_weights() -> None:
            nonlocal changes
            started_at = loop.time()
            done = 0
            while True:
                await asyncio.sleep(0.01)
                due = int((loop.time() - started_at) * churn)
                for name in {contents.change_weight() for _ in range(due - done)}:
                    release.offer(name, contents.content(name))
                changes += due - done
                done = due
                publish_due()

        task: asyncio.Task[None] | None = None
        pipe.send(port)
        while True:
            command, *args = await loop.run_in_executor(None, pipe.recv)
            if command == "churn":
                task = asyncio.create_task(change_weights())
                pipe.send(None)
            elif command == "calm":
                if task is not None:
                    task.cancel()
                pipe.send(None)
            elif command == "all":
                # Changes all assignments, which makes the service resend them on open streams.
                for name in contents.lists:
                    contents.change_all_weights(name)
                    release.offer(name, contents.content(name))
                release.released_at = 0
                publish_due()
                pipe.send(None)
            elif command == "mark":
                changed_at = time.monotonic()
                name = contents.set_health("c0", args[0], args[1])
                release.offer("c0", contents.content("c0"))
                publish_due()
                pipe.send((changed_at, name))
            elif command == "used":
                await asyncio.sleep(0.3)  # workers report their sent bytes every quarter of a second
                sent = sum(w.count.bytes_sent for w in control.workers) if workers > 1 else control.bytes_sent
                pipe.send(
                    {**resource_usage(pids), "bytes": sent, "changes": changes, "streams": control.count()}
                )
            elif command == "frames":
                assignments = PublishedSnapshots(encoder, release.released).for_zone("").get(EDS)
                pipe.send(b"".join(encode_sotw_resource(EDS, assignments[name]) for name in args[0]))
            else:
                await control.stop()
                return

    uvloop.run(body())


def run_bare_server(pipe: Connection) -> None:
    """Runs a server that sends prepared bytes to all streams, and executes the commands on the pipe."""
    import uvloop

    async def body() -> None:
        loop = asyncio.get_running_loop()
        waiting: set[asyncio.Event] = set()
        message = b""

        async def serve_stream(requests: Any, context: Any) -> None:
            event = asyncio.Event()
            waiting.add(event)

            async def discard_requests() -> None:
                async for _ in requests:
                    pass

            task = asyncio.create_task(discard_requests())
            try:
                while True:
                    await event.wait()
                    event.clear()
                    await context.write(message)
            finally:
                task.cancel()
                waiting.discard(event)

        server = grpc.aio.server(options=[("grpc.so_reuseport", 0)])
        handler = grpc.stream_stream_rpc_method_handler(
            serve_stream, request_deserializer=discovery_pb2.DiscoveryRequest.FromString
        )
        service = "envoy.service.discovery.v3.AggregatedDiscoveryService"
        server.add_generic_rpc_handlers(
            (grpc.method_handlers_generic_handler(service, {"StreamAggregatedResources": handler}),)
        )
        port = server.add_insecure_port("127.0.0.1:0")
        await server.start()
        pipe.send(port)
        while True:
            command, *args = await loop.run_in_executor(None, pipe.recv)
            if command == "send":
                message = args[0]
                sent_at = time.monotonic()
                for event in waiting:
                    event.set()
                pipe.send(sent_at)
            elif command == "used":
                pipe.send({**resource_usage([os.getpid()]), "streams": len(waiting)})
            else:
                await server.stop(0)
                return

    uvloop.run(body())


def run_proxies(
    pipe: Connection, port: int, count: int, each: int, clusters: int, delta: bool, seed: int
) -> None:
    """Runs `count` proxies, which subscribe to `each` clusters, and executes the commands on the pipe."""
    import uvloop

    async def body() -> None:
        loop = asyncio.get_running_loop()
        rng = random.Random(seed)
        channels = [
            grpc.aio.insecure_channel(f"127.0.0.1:{port}", options=[("grpc.use_local_subchannel_pool", 1)])
            for _ in range(count)
        ]
        proxies = []
        for channel in channels:
            names = ["c0", *(f"c{c}" for c in rng.sample(range(1, clusters), each - 1))]
            proxy = XdsProxy(channel, names, delta, types=(ASSIGNMENT,))
            proxy.tracked_clusters = {"c0"}
            proxies.append(proxy.start())

        async def wait_for_assignments() -> None:
            for proxy in proxies:
                await proxy.until(lambda proxy: len(proxy.accepted[ASSIGNMENT]) >= each, 300)

        while True:
            command, *args = await loop.run_in_executor(None, pipe.recv)
            if command == "ready":
                await wait_for_assignments()
                pipe.send(None)
            elif command == "times":
                name, changed_at = args
                # The times are read afterwards. To decode each assignment of each proxy meanwhile would take so much
                # CPU time that it would dominate the result.
                times: list[float | None] = [None]
                while None in times:
                    await asyncio.sleep(0.6)
                    times = [proxy.first_seen_at("c0", name, DRAINING, changed_at) for proxy in proxies]
                pipe.send([t - changed_at for t in times if t is not None])
                for proxy in proxies:
                    proxy.arrivals.clear()
            elif command == "back":
                # Ends all streams at once. Unless the proxies keep their state, they lose what they have received.
                started_at = time.monotonic()
                for proxy in proxies:
                    proxy.keeps_state = args[0]
                    proxy.accepted[ASSIGNMENT].clear()
                    if not args[0]:
                        proxy.versions[ASSIGNMENT].clear()
                        proxy.version.clear()
                    proxy.cancel_stream()
                durations = []
                for proxy in proxies:
                    if not args[0]:
                        await proxy.until(lambda proxy: len(proxy.accepted[ASSIGNMENT]) >= each, 300)
                    durations.append(time.monotonic() - started_at)
                pipe.send(durations)
            elif command == "bare":
                sent_at = args[0]
                for proxy in proxies:
                    await proxy.until(lambda proxy: bool(proxy.responses), 60)
                pipe.send([proxy.received_at - sent_at for proxy in proxies])
                for proxy in proxies:
                    proxy.responses.clear()
            else:
                for proxy in proxies:
                    await proxy.stop()
                return

    uvloop.run(body())


def start_process(target: Any, *args: Any) -> tuple[Any, Connection]:
    """Starts a process that runs `target` with one end of a pipe; returns the process and the other end."""
    ours, theirs = multiprocessing.Pipe()
    process = multiprocessing.get_context("spawn").Process(target=target, args=(theirs, *args), daemon=True)
    process.start()
    return process, ours


def ask(pipe: Connection, *message: Any) -> Any:
    """Sends a command to a process and returns its answer."""
    pipe.send(message)
    return pipe.recv()


def ask_all(pipes: list[Connection], *message: Any) -> list[Any]:
    """Sends a command to several processes and returns their answers."""
    for pipe in pipes:
        pipe.send(message)
    return [pipe.recv() for pipe in pipes]


def measure(streams: int, options: argparse.Namespace, delta: bool) -> None:
    """Measures the service with `streams` proxies, then the bare server with as many."""

    def print_result(what: str, **figures: Any) -> None:
        variant = "delta" if delta else "sotw"
        print(
            json.dumps(
                {"what": what, "streams": streams, "variant": variant, "workers": options.workers, **figures}
            ),
            flush=True,
        )

    process, control = start_process(
        run_service, options.clusters, options.endpoints, options.churn, options.interval, options.workers
    )
    port = control.recv()
    empty = ask(control, "used")
    proxy_processes = [
        start_process(run_proxies, port, streams // PROXY_PROCESSES, options.each, options.clusters, delta, i)
        for i in range(PROXY_PROCESSES)
    ]
    pipes = [pipe for _, pipe in proxy_processes]
    started_at = time.monotonic()
    ask_all(pipes, "ready")
    print_result(
        "first lists",
        seconds=round(time.monotonic() - started_at, 2),
        rss_mb_empty=empty["rss_mb"],
        **ask(control, "used"),
    )

    def measure_drains(label: str) -> None:
        times: list[float] = []
        worst: list[float] = []
        for i in range(DRAINS):
            changed_at, name = ask(control, "mark", i, Health.DRAINING)
            part_times = [t for part in ask_all(pipes, "times", name, changed_at) for t in part]
            times += part_times
            worst.append(max(part_times))
            ask(control, "mark", i, Health.HEALTHY)
            time.sleep(0.3)
        print_result(label, **quantiles(times), last_client=quantiles(worst), drains=DRAINS)

    measure_drains("drain, calm")
    before = ask(control, "used")
    ask(control, "churn")
    time.sleep(options.seconds)
    after = ask(control, "used")
    changes = max(1, after["changes"] - before["changes"])
    print_result(
        "churn", changes_a_second=options.churn, released_every_s=options.interval,
        cpu_ms_per_change=round(1000 * (after["cpu_s"] - before["cpu_s"]) / changes, 2),
        cpu_share=round((after["cpu_s"] - before["cpu_s"]) / options.seconds, 2),
        kb_per_change=round((after["bytes"] - before["bytes"]) / changes / 1000, 1), rss_mb=after["rss_mb"],
    )  # fmt: skip
    measure_drains("drain, under churn")
    ask(control, "calm")
    time.sleep(2 * options.interval)
    before = ask(control, "used")
    durations = [t for part in ask_all(pipes, "back", False) for t in part]
    after = ask(control, "used")
    sent = after["bytes"] - before["bytes"]
    cpu = round(after["cpu_s"] - before["cpu_s"], 2)
    print_result(
        "all return with nothing", last_s=round(max(durations), 2), mb=round(sent / 1e6, 1), cpu_s=cpu
    )
    late = []
    for i in range(5):
        ask(control, "all")
        time.sleep(0.05)
        changed_at, name = ask(control, "mark", 30 + i, Health.DRAINING)
        late += [t for part in ask_all(pipes, "times", name, changed_at) for t in part]
        time.sleep(1.0)
    print_result("drain, 50 ms into a full resend on standing streams", **quantiles(late), drains=5)
    # Drains a server while the proxies reconnect, as soon as the first streams are open again.
    for pipe in pipes:
        pipe.send(("back", False))
    time.sleep(0.15)
    changed_at, name = ask(control, "mark", 50, Health.DRAINING)
    for pipe in pipes:
        pipe.recv()
    part_times = [t for part in ask_all(pipes, "times", name, changed_at) for t in part]
    print_result("drain, 150 ms into a return of all", **quantiles(part_times))
    frames = ask(control, "frames", ["c0"])
    for pipe in pipes:
        pipe.send(("end",))
    control.send(("end",))
    process.join(10)
    for proxy_process, _ in proxy_processes:
        proxy_process.join(10)

    process, control = start_process(run_bare_server)
    port = control.recv()
    proxy_processes = [
        start_process(run_proxies, port, streams // PROXY_PROCESSES, options.each, options.clusters, False, i)
        for i in range(PROXY_PROCESSES)
    ]
    pipes = [pipe for _, pipe in proxy_processes]
    while ask(control, "used")["streams"] < streams // PROXY_PROCESSES * PROXY_PROCESSES:
        time.sleep(0.05)
    time.sleep(0.5)
    message = discovery_pb2.DiscoveryResponse(version_info="0" * 16, nonce="1", type_url=ASSIGNMENT)
    worst, times = [], []
    before = ask(control, "used")
    for _ in range(DRAINS):
        sent_at = ask(control, "send", message.SerializeToString() + frames)
        part_times = [t for part in ask_all(pipes, "bare", sent_at) for t in part]
        times += part_times
        worst.append(max(part_times))
        time.sleep(0.3)
    after = ask(control, "used")
    print_result(
        "a bare grpcio server, the same bytes", **quantiles(times), last_client=quantiles(worst), bytes=len(frames),
        cpu_ms_per_send=round(1000 * (after["cpu_s"] - before["cpu_s"]) / DRAINS / streams, 3), rss_mb=after["rss_mb"],
    )  # fmt: skip
    for pipe in [*pipes, control]:
        pipe.send(("end",))
    for child, _ in [*proxy_processes, (process, None)]:
        child.join(10)


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--streams", default="100,1000")
    parser.add_argument("--clusters", type=int, default=100)
    parser.add_argument("--endpoints", type=int, default=10_000)
    parser.add_argument("--each", type=int, default=10, help="clusters that each proxy subscribes to")
    parser.add_argument("--churn", type=float, default=100.0, help="weight changes per second")
    parser.add_argument("--interval", type=float, default=1.0, help="seconds between releases of weights")
    parser.add_argument("--seconds", type=float, default=10.0, help="how many seconds of churn are measured")
    parser.add_argument("--workers", type=int, default=1, help="number of processes of the service")
    parser.add_argument("--variants", default="sotw,delta")
    options = parser.parse_args()
    with open("/proc/meminfo") as f:
        memory = int(f.readline().split()[1]) / 1e6
    print(json.dumps({"cores": os.cpu_count(), "memory_gb": round(memory, 1), **vars(options)}), flush=True)
    for count in options.streams.split(","):
        for variant in options.variants.split(","):
            measure(int(count), options, variant == "delta")


if __name__ == "__main__":
    main()
