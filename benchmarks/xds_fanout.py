"""The control service under many streams: drains while weights churn, a return of all proxies, CPU, bytes, memory.

    python benchmarks/xds_fanout.py --streams 100,1000

The service runs in a process of its own, the proxies (harecross/standins/xds.py) in some others, all on one machine;
the clock is the machine's monotonic one. Every proxy follows `--each` clusters, the first of them the one that drains.
Beside it, in the same run, a bare grpcio asyncio server sends the same bytes to as many streams: the ratio is what our
own work adds. One line of JSON for each figure.
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

os.environ.setdefault("GRPC_VERBOSITY", "ERROR")  # a line for each stream that ends, otherwise

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

CALLERS = 5  # processes of proxies
DRAINS = 10


def quantiles(values: list[float]) -> dict[str, float]:
    values = sorted(values)
    return {
        "median_ms": round(1000 * values[len(values) // 2], 1),
        "p99_ms": round(1000 * values[min(len(values) - 1, int(len(values) * 0.99))], 1),
        "max_ms": round(1000 * values[-1], 1),
    }


def used(pids: list[int]) -> dict[str, float]:
    """CPU and resident memory of some processes together."""
    cpu = rss = 0.0
    for pid in pids:
        with open(f"/proc/{pid}/stat") as f:
            fields = f.read().rpartition(")")[2].split()
        cpu += (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
        rss += int(fields[21]) * os.sysconf("SC_PAGE_SIZE") / 1e6
    return {"cpu_s": round(cpu, 2), "rss_mb": round(rss, 1)}


# ---- the service's process ------------------------------------------------------------------------------


class Board:
    """What is told of all clusters, changed endpoint by endpoint."""

    def __init__(self, clusters: int, endpoints: int, seed: int) -> None:
        self.rng = random.Random(seed)
        each = endpoints // clusters
        self.lists = {
            f"c{c}": [
                PublishedEndpoint(
                    f"c{c}-{i}", f"127.0.0.1:{1 + (c * each + i) % 65000}", "z", Health.HEALTHY, 100
                )
                for i in range(each)
            ]
            for c in range(clusters)
        }

    def told(self, name: str) -> PublishedCluster:
        return PublishedCluster(tuple(self.lists[name]))

    def weigh(self) -> str:
        """Changes one endpoint's weight; its cluster."""
        name = self.rng.choice(list(self.lists))
        i = self.rng.randrange(len(self.lists[name]))
        e = self.lists[name][i]
        self.lists[name][i] = PublishedEndpoint(
            e.name, e.address, e.zone, e.health, self.rng.randrange(50, 200)
        )
        return name

    def weigh_all(self, name: str) -> None:
        self.lists[name] = [
            PublishedEndpoint(e.name, e.address, e.zone, e.health, self.rng.randrange(50, 200))
            for e in self.lists[name]
        ]

    def mark(self, name: str, i: int, health: Health) -> str:
        e = self.lists[name][i]
        self.lists[name][i] = PublishedEndpoint(e.name, e.address, e.zone, health, e.weight)
        return e.name


def service(
    pipe: Connection, clusters: int, endpoints: int, churn: float, interval: float, workers: int
) -> None:
    import uvloop

    async def body() -> None:
        loop = asyncio.get_running_loop()
        board = Board(clusters, endpoints, 1)
        control: ControlServer | WorkerPool
        if workers > 1:
            setup = WorkerSetup("127.0.0.1:0", None, Limits(), {}, ("*",), False, 0.0)
            control = WorkerPool(workers, setup, lambda name: None, print)
            port = await control.start()
            pids = [os.getpid(), *(m.process.pid for m in control.workers if m.process is not None)]
        else:
            control = ControlServer()
            port = await control.start("127.0.0.1:0")
            pids = [os.getpid()]
        release, encoder = ReleaseSchedule(int(interval * 1e6)), ResourceEncoder()
        changes = 0

        def out() -> None:
            due = release.take_due(time.monotonic_ns() // 1000)
            if due is not None:
                control.publish(PublishedSnapshots(encoder, due.clusters), due.urgent)

        for name in board.lists:
            release.offer(name, board.told(name))
        out()

        async def churning() -> None:
            nonlocal changes
            began = loop.time()
            done = 0
            while True:
                await asyncio.sleep(0.01)
                due = int((loop.time() - began) * churn)
                for name in {board.weigh() for _ in range(due - done)}:
                    release.offer(name, board.told(name))
                changes += due - done
                done = due
                out()

        task: asyncio.Task[None] | None = None
        pipe.send(port)
        while True:
            what, *args = await loop.run_in_executor(None, pipe.recv)
            if what == "churn":
                task = asyncio.create_task(churning())
                pipe.send(None)
            elif what == "calm":
                if task is not None:
                    task.cancel()
                pipe.send(None)
            elif what == "all":
                # Every assignment is another one: a full resend on standing streams.
                for name in board.lists:
                    board.weigh_all(name)
                    release.offer(name, board.told(name))
                release.released_at = 0
                out()
                pipe.send(None)
            elif what == "mark":
                told = time.monotonic()
                name = board.mark("c0", args[0], args[1])
                release.offer("c0", board.told("c0"))
                out()
                pipe.send((told, name))
            elif what == "used":
                await asyncio.sleep(0.3)  # workers tell what they have sent every quarter of a second
                sent = sum(m.count.bytes_sent for m in control.workers) if workers > 1 else control.bytes_sent
                pipe.send({**used(pids), "bytes": sent, "changes": changes, "streams": control.count()})
            elif what == "frames":
                held = PublishedSnapshots(encoder, release.released).for_zone("").get(EDS)
                pipe.send(b"".join(encode_sotw_resource(EDS, held[n]) for n in args[0]))
            else:
                await control.stop()
                return

    uvloop.run(body())


# ---- a bare server: the same bytes, nothing else --------------------------------------------------------


def bare(pipe: Connection) -> None:
    import uvloop

    async def body() -> None:
        loop = asyncio.get_running_loop()
        waiting: set[asyncio.Event] = set()
        text = b""

        async def run(requests: Any, context: Any) -> None:
            event = asyncio.Event()
            waiting.add(event)

            async def read() -> None:
                async for _ in requests:
                    pass

            task = asyncio.create_task(read())
            try:
                while True:
                    await event.wait()
                    event.clear()
                    await context.write(text)
            finally:
                task.cancel()
                waiting.discard(event)

        server = grpc.aio.server(options=[("grpc.so_reuseport", 0)])
        handler = grpc.stream_stream_rpc_method_handler(
            run, request_deserializer=discovery_pb2.DiscoveryRequest.FromString
        )
        service = "envoy.service.discovery.v3.AggregatedDiscoveryService"
        server.add_generic_rpc_handlers(
            (grpc.method_handlers_generic_handler(service, {"StreamAggregatedResources": handler}),)
        )
        port = server.add_insecure_port("127.0.0.1:0")
        await server.start()
        pipe.send(port)
        while True:
            what, *args = await loop.run_in_executor(None, pipe.recv)
            if what == "send":
                text = args[0]
                told = time.monotonic()
                for event in waiting:
                    event.set()
                pipe.send(told)
            elif what == "used":
                pipe.send({**used([os.getpid()]), "streams": len(waiting)})
            else:
                await server.stop(0)
                return

    uvloop.run(body())


# ---- the proxies' processes -----------------------------------------------------------------------------


def callers(
    pipe: Connection, port: int, count: int, each: int, clusters: int, delta: bool, seed: int
) -> None:
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
            p = XdsProxy(channel, names, delta, types=(ASSIGNMENT,))
            p.tracked_clusters = {"c0"}
            proxies.append(p.start())

        async def held() -> None:
            for p in proxies:
                await p.until(lambda x: len(x.accepted[ASSIGNMENT]) >= each, 300)

        while True:
            what, *args = await loop.run_in_executor(None, pipe.recv)
            if what == "ready":
                await held()
                pipe.send(None)
            elif what == "times":
                name, told = args
                # Read afterwards: to take an assignment apart for each proxy would be what is measured.
                times: list[float | None] = [None]
                while None in times:
                    await asyncio.sleep(0.6)
                    times = [p.first_seen_at("c0", name, DRAINING, told) for p in proxies]
                pipe.send([t - told for t in times if t is not None])
                for p in proxies:
                    p.arrivals.clear()
            elif what == "back":
                # All streams end at once; those of a state-of-the-world proxy lose what they held.
                began = time.monotonic()
                for p in proxies:
                    p.keeps_state = args[0]
                    p.accepted[ASSIGNMENT].clear()
                    if not args[0]:
                        p.versions[ASSIGNMENT].clear()
                        p.version.clear()
                    p.cancel_stream()
                ends = []
                for p in proxies:
                    if not args[0]:
                        await p.until(lambda x: len(x.accepted[ASSIGNMENT]) >= each, 300)
                    ends.append(time.monotonic() - began)
                pipe.send(ends)
            elif what == "bare":
                began = args[0]
                for p in proxies:
                    await p.until(lambda x: bool(x.responses), 60)
                pipe.send([p.received_at - began for p in proxies])
                for p in proxies:
                    p.responses.clear()
            else:
                for p in proxies:
                    await p.stop()
                return

    uvloop.run(body())


def child(work: Any, *args: Any) -> tuple[Any, Connection]:
    ours, theirs = multiprocessing.Pipe()
    p = multiprocessing.get_context("spawn").Process(target=work, args=(theirs, *args), daemon=True)
    p.start()
    return p, ours


def ask(pipe: Connection, *message: Any) -> Any:
    pipe.send(message)
    return pipe.recv()


def all_of(pipes: list[Connection], *message: Any) -> list[Any]:
    for p in pipes:
        p.send(message)
    return [p.recv() for p in pipes]


def measure(streams: int, a: argparse.Namespace, delta: bool) -> None:
    def say(what: str, **figures: Any) -> None:
        variant = "delta" if delta else "sotw"
        print(
            json.dumps(
                {"what": what, "streams": streams, "variant": variant, "workers": a.workers, **figures}
            ),
            flush=True,
        )

    process, control = child(service, a.clusters, a.endpoints, a.churn, a.interval, a.workers)
    port = control.recv()
    empty = ask(control, "used")
    made = [child(callers, port, streams // CALLERS, a.each, a.clusters, delta, i) for i in range(CALLERS)]
    pipes = [p for _, p in made]
    began = time.monotonic()
    all_of(pipes, "ready")
    say(
        "first lists",
        seconds=round(time.monotonic() - began, 2),
        rss_mb_empty=empty["rss_mb"],
        **ask(control, "used"),
    )

    def drains(label: str) -> None:
        times: list[float] = []
        worst: list[float] = []
        for i in range(DRAINS):
            told, name = ask(control, "mark", i, Health.DRAINING)
            got = [t for part in all_of(pipes, "times", name, told) for t in part]
            times += got
            worst.append(max(got))
            ask(control, "mark", i, Health.HEALTHY)
            time.sleep(0.3)
        say(label, **quantiles(times), last_client=quantiles(worst), drains=DRAINS)

    drains("drain, calm")
    before = ask(control, "used")
    ask(control, "churn")
    time.sleep(a.seconds)
    after = ask(control, "used")
    changes = max(1, after["changes"] - before["changes"])
    say(
        "churn", changes_a_second=a.churn, released_every_s=a.interval,
        cpu_ms_per_change=round(1000 * (after["cpu_s"] - before["cpu_s"]) / changes, 2),
        cpu_share=round((after["cpu_s"] - before["cpu_s"]) / a.seconds, 2),
        kb_per_change=round((after["bytes"] - before["bytes"]) / changes / 1000, 1), rss_mb=after["rss_mb"],
    )  # fmt: skip
    drains("drain, under churn")
    ask(control, "calm")
    time.sleep(2 * a.interval)
    before = ask(control, "used")
    ends = [t for part in all_of(pipes, "back", False) for t in part]
    after = ask(control, "used")
    sent = after["bytes"] - before["bytes"]
    cpu = round(after["cpu_s"] - before["cpu_s"], 2)
    say("all return with nothing", last_s=round(max(ends), 2), mb=round(sent / 1e6, 1), cpu_s=cpu)
    late = []
    for i in range(5):
        ask(control, "all")
        time.sleep(0.05)
        told, name = ask(control, "mark", 30 + i, Health.DRAINING)
        late += [t for part in all_of(pipes, "times", name, told) for t in part]
        time.sleep(1.0)
    say("drain, 50 ms into a full resend on standing streams", **quantiles(late), drains=5)
    # A drain in the middle of a return: the service is told as soon as the first streams are back.
    for p in pipes:
        p.send(("back", False))
    time.sleep(0.15)
    told, name = ask(control, "mark", 50, Health.DRAINING)
    for p in pipes:
        p.recv()
    got = [t for part in all_of(pipes, "times", name, told) for t in part]
    say("drain, 150 ms into a return of all", **quantiles(got))
    text = ask(control, "frames", ["c0"])
    for p in pipes:
        p.send(("end",))
    control.send(("end",))
    process.join(10)
    for p, _ in made:
        p.join(10)

    process, control = child(bare)
    port = control.recv()
    made = [child(callers, port, streams // CALLERS, a.each, a.clusters, False, i) for i in range(CALLERS)]
    pipes = [p for _, p in made]
    while ask(control, "used")["streams"] < streams // CALLERS * CALLERS:
        time.sleep(0.05)
    time.sleep(0.5)
    message = discovery_pb2.DiscoveryResponse(version_info="0" * 16, nonce="1", type_url=ASSIGNMENT)
    worst, times = [], []
    before = ask(control, "used")
    for _ in range(DRAINS):
        began = ask(control, "send", message.SerializeToString() + text)
        got = [t for part in all_of(pipes, "bare", began) for t in part]
        times += got
        worst.append(max(got))
        time.sleep(0.3)
    after = ask(control, "used")
    say(
        "a bare grpcio server, the same bytes", **quantiles(times), last_client=quantiles(worst), bytes=len(text),
        cpu_ms_per_send=round(1000 * (after["cpu_s"] - before["cpu_s"]) / DRAINS / streams, 3), rss_mb=after["rss_mb"],
    )  # fmt: skip
    for p in [*pipes, control]:
        p.send(("end",))
    for p, _ in [*made, (process, None)]:
        p.join(10)


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--streams", default="100,1000")
    parser.add_argument("--clusters", type=int, default=100)
    parser.add_argument("--endpoints", type=int, default=10_000)
    parser.add_argument("--each", type=int, default=10, help="clusters that one proxy follows")
    parser.add_argument("--churn", type=float, default=100.0, help="weight changes a second")
    parser.add_argument("--interval", type=float, default=1.0, help="seconds between releases of weights")
    parser.add_argument("--seconds", type=float, default=10.0, help="of churn that are measured")
    parser.add_argument("--workers", type=int, default=1, help="processes of the service")
    parser.add_argument("--variants", default="sotw,delta")
    a = parser.parse_args()
    with open("/proc/meminfo") as f:
        memory = int(f.readline().split()[1]) / 1e6
    print(json.dumps({"cores": os.cpu_count(), "memory_gb": round(memory, 1), **vars(a)}), flush=True)
    for count in a.streams.split(","):
        for variant in a.variants.split(","):
            measure(int(count), a, variant == "delta")


if __name__ == "__main__":
    main()
