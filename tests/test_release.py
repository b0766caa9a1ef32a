"""A release of servers: the state machine against simulated nodes with faults, and the command against real nodes."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
from collections import Counter
from dataclasses import dataclass, field
from random import Random

import pytest
from node_support import ScriptedDiscovery, ScriptedServer, config_dict, entry, line, run, update, wait_until

from harecross.admin_client.calls import CallResult, NodeStatus, ServerStatus, StatusFailure
from harecross.admin_client.release import Release
from harecross.admin_client.release_state import Action, ActionKind, Phase, ReleaseLimits
from harecross.discovery.endpoint_status import IN_MAINTENANCE, IN_USE
from harecross.node.config import config_from
from harecross.node.node import Node

LIMITS = ReleaseLimits(drain_timeout_s=20, restart_timeout_s=20, warm_up_timeout_s=20)


@dataclass
class SimulatedNodes:
    """Nodes and servers with a simulated clock.

    Attributes:
        faults: The probability of each fault whenever it can occur.
        queue: The scheduled events: when each is due, a number that breaks ties, and the function to call.
        requests_until: By node and server, until when requests are in flight.
        slow_start_until: By server, until when it is in slow start.
        other_process_until: By node, until when another process serves as this node.
        delayed_calls: Calls, by node and server, that take effect after the call that follows them.
        unreachable_until: By node, until when no call reaches it.
    """

    release: Release
    rng: Random
    faults: float = 0.0
    restart_fails: float = 0.0
    now: float = 0.0
    queue: list = field(default_factory=list)
    in_maintenance: dict[str, set[str]] = field(default_factory=dict)
    requests_until: dict[tuple[str, str], float] = field(default_factory=dict)
    slow_start_until: dict[str, float] = field(default_factory=dict)
    other_process_until: dict[str, float] = field(default_factory=dict)
    delayed_calls: set[tuple[str, str]] = field(default_factory=set)
    unreachable_until: dict[str, float] = field(default_factory=dict)
    restarts: Counter = field(default_factory=Counter)
    running: set[str] = field(default_factory=set)
    max_in_maintenance: int = 0
    seen: Counter = field(default_factory=Counter)

    def fault_occurs(self, fault: str, share: float = 1.0) -> bool:
        hit = self.rng.random() < self.faults * share
        self.seen[fault] += hit
        return hit

    def schedule(self, delay: float, event) -> None:
        self.queue.append((self.now + delay, len(self.queue) + self.rng.random(), event))

    def perform(self, actions: list[Action]) -> None:
        for action in actions:
            delay = self.rng.uniform(0.01, 0.2)
            if action.kind is ActionKind.FETCH_STATUS:
                self.schedule(delay, lambda action=action: self.send_status(action.node))
            elif action.kind in (ActionKind.ENTER_MAINTENANCE, ActionKind.EXIT_MAINTENANCE):
                self.schedule(delay, lambda action=action: self.call(action))
            elif action.kind is ActionKind.RESTART:
                self.restart(action.server)
            else:
                self.schedule(delay, lambda action=action: self.end_restart(action.server, False))

    def send_status(self, node: str) -> None:
        if self.unreachable_until.get(node, 0) > self.now or self.fault_occurs("status lost"):
            return self.perform(self.release.status_received(self.now, node, StatusFailure("no answer")))
        if self.fault_occurs("maintenance ended by others", 0.1) and self.in_maintenance[node]:
            self.in_maintenance[node].discard(self.rng.choice(sorted(self.in_maintenance[node])))
        rows = {}
        for name in SERVERS:
            state = IN_MAINTENANCE if name in self.in_maintenance[node] else IN_USE
            out = int(self.requests_until.get((node, name), 0) > self.now)
            rows[name] = ServerStatus(
                name, state, True, out, 1.0 if self.slow_start_until.get(name, 0) <= self.now else 0.5, False
            )
        if self.fault_occurs("another process"):
            self.other_process_until[node] = self.now + 3
        others = int(self.other_process_until.get(node, 0) > self.now)
        return self.perform(
            self.release.status_received(self.now, node, NodeStatus(node, False, others, rows))
        )

    def call(self, action: Action) -> None:
        if self.fault_occurs("node unreachable", 0.3):
            self.unreachable_until[action.node] = self.now + self.rng.choice([1, 60])
        if self.unreachable_until.get(action.node, 0) > self.now:
            result = CallResult(False, "connection refused")
        elif self.fault_occurs("call lost"):
            result = CallResult(False, "no answer", effect_unknown=True)
        elif action.kind is ActionKind.ENTER_MAINTENANCE and self.fault_occurs("call delayed"):
            self.delayed_calls.add((action.node, action.server))
            result = CallResult(False, "no answer", effect_unknown=True)
        elif self.fault_occurs("refused"):
            result = CallResult(False, "refused")
        else:
            self.apply_call(action)
            lost = self.fault_occurs("answer lost")
            result = CallResult(False, "no answer", effect_unknown=True) if lost else CallResult(True, "yes")
        self.perform(self.release.call_answered(self.now, action.kind, action.node, action.server, result))

    def apply_call(self, action: Action) -> None:
        assert action.server not in self.running, "maintenance starts or ends during a restart"
        if action.kind is ActionKind.ENTER_MAINTENANCE:
            self.in_maintenance[action.node].add(action.server)
            self.requests_until[action.node, action.server] = self.now + (
                40 if self.fault_occurs("slow drain") else self.rng.choice([0, 1, 5])
            )
        else:
            self.in_maintenance[action.node].discard(action.server)
            if (action.node, action.server) in self.delayed_calls:
                self.delayed_calls.discard((action.node, action.server))
                self.in_maintenance[action.node].add(action.server)
        out = set().union(*self.in_maintenance.values())
        failed = {s.id for s in self.release.servers if s.phase == Phase.LEFT_IN_MAINTENANCE}
        self.max_in_maintenance = max(self.max_in_maintenance, len(out - failed))

    def restart(self, server: str) -> None:
        for node in NODES:
            # Another operator may have ended the maintenance after the last status, which the release cannot know.
            assert server in self.in_maintenance[node] or self.seen["maintenance ended by others"]
            assert self.requests_until[node, server] <= self.now, "restarted with requests in flight"
            assert self.other_process_until.get(node, 0) <= self.now, (
                "restarted while another process of a node used it"
            )
        self.running.add(server)
        self.restarts[server] += 1
        if not self.fault_occurs("restart hangs"):
            ok = self.rng.random() >= self.restart_fails
            self.schedule(self.rng.uniform(0.5, 3), lambda: self.end_restart(server, ok))

    def end_restart(self, server: str, ok: bool) -> None:
        if server in self.running:
            self.running.discard(server)
            self.slow_start_until[server] = self.now + 2
            self.perform(self.release.restart_ended(self.now, server, ok=ok, how="ended"))

    def run(self, interrupts: list[float]) -> None:
        for at in interrupts:
            self.schedule(at, lambda: self.perform(self.release.interrupt(self.now)))
        self.perform(self.release.begin(self.now))
        while not self.release.finished:
            self.now += 0.1
            assert self.now < 1500, "the release does not end"
            for event in sorted(e for e in self.queue if e[0] <= self.now):
                if not self.release.finished:
                    self.queue.remove(event)
                    event[2]()
            if not self.release.finished:
                self.perform(self.release.tick(self.now))


NODES = ["a:1", "b:1", "c:1"]
SERVERS = [f"s{i}" for i in range(8)]


def simulate(
    seed: int, batch: int, faults: float, restart_fails: float = 0.0, keep: float = 0.5
) -> SimulatedNodes:
    limits = ReleaseLimits(
        batch, keep, LIMITS.drain_timeout_s, LIMITS.restart_timeout_s, LIMITS.warm_up_timeout_s
    )
    release = Release(SERVERS[:6], NODES, limits)
    return SimulatedNodes(
        release, Random(seed), faults, restart_fails, in_maintenance={node: set() for node in NODES}
    )


@pytest.mark.parametrize("batch", [1, 2, 7])
def test_without_faults_each_server_is_restarted_once_and_none_stays_in_maintenance(batch):
    for seed in range(10):
        simulation = simulate(seed, batch, 0)
        simulation.run([])
        release = simulation.release
        assert not release.stop_reason
        assert not release.servers_in_maintenance()
        assert not any(simulation.in_maintenance.values())
        assert simulation.restarts == Counter(SERVERS[:6])
        assert all(s.phase == Phase.DONE for s in release.servers)
        assert simulation.max_in_maintenance == min(batch, 4), "four of eight stay in use"


def test_with_faults_servers_left_in_maintenance_are_listed_and_none_is_restarted_with_requests_in_flight():
    results, seen = Counter(), Counter()
    for seed in range(600):
        rng = Random(seed)
        restart_fails = rng.choice([0, 0.1])
        simulation = simulate(seed, rng.choice([1, 2, 3]), rng.choice([0.0005, 0.01, 0.05]), restart_fails)
        simulation.run(sorted(rng.uniform(0, 60) for _ in range(rng.choice([0, 0, 0, 1, 2]))))
        release = simulation.release
        held = {(node, name) for name, nodes in release.servers_in_maintenance().items() for node in nodes}
        unnamed = {(node, name) for node, names in simulation.in_maintenance.items() for name in names} - held
        # Calls in progress at a second Ctrl-C may still take effect, so their servers are listed as well.
        assert not unnamed, (seed, unnamed)
        assert simulation.max_in_maintenance <= release.limits.batch
        assert all(n == 1 for n in simulation.restarts.values())
        if not release.stop_reason:
            assert set(simulation.restarts) == set(SERVERS[:6])
            assert not held
        if release.interrupts < 2:
            assert not simulation.running
            assert not release.running_restarts()
            left = {s.id for s in release.servers if s.phase == Phase.LEFT_IN_MAINTENANCE}
            assert {name for _, name in held} <= left
            if not (restart_fails or simulation.seen["node unreachable"] or simulation.seen["restart hangs"]):
                assert not held, (seed, held)
        results["stopped" if release.stop_reason else "done"] += 1
        seen += simulation.seen
    assert min(results["done"], results["stopped"]) > 50, "releases ended in both ways"
    assert len(seen) == 10 and min(seen.values()) > 2, f"every fault occurred: {seen}"


def test_a_release_does_nothing_if_a_server_is_unknown_or_in_maintenance_or_too_few_would_stay_in_use():
    for name, keep, out, why in (
        ("nobody", 0.5, "", "no such server"),
        ("s0", 0.5, "s0", "not in use but out"),
        ("s0", 1.0, "", "8 servers are in use and 8 must stay"),
    ):
        simulation = simulate(1, 1, 0, keep=keep)
        simulation.release = Release([name], NODES, ReleaseLimits(min_in_use=keep))
        simulation.in_maintenance["b:1"] = {out} - {""}
        simulation.run([])
        assert why in simulation.release.stop_reason
        assert not simulation.restarts
        assert not simulation.release.servers_in_maintenance()


class Site:
    """Two nodes with admin servers, and three servers behind them."""

    async def start(self) -> Site:
        self.upstreams = [await ScriptedServer().start() for _ in range(3)]
        self.discovery_server = await ScriptedDiscovery().start()
        self.nodes, self.tasks, self.watches = [], [], []
        entries = [entry(f"s{i}", o.address) for i, o in enumerate(self.upstreams)]
        known = update(1, *entries, reset=True)
        rules = {
            "rules": {"cold": 300_000, "start_capacity": 0.4, "fall_multiple": 3.0, "tip_after": 1_000_000}
        }
        for i in range(2):
            config = config_dict(
                self.discovery_server.address,
                rules,
                limits={"sockets": 256},
                known=known,
                admin="127.0.0.1:0",
            )
            node = Node(config_from({**config, "name": f"n{i}"}))
            self.nodes.append(node)
            self.tasks.append(asyncio.create_task(node.run()))
            await node.started.wait()
            # `status` fails until discovery has sent a list, for one second at most.
            _, watch = await self.discovery_server.watches.get()
            self.watches.append(watch)
            self.discovery_server.push(watch, line(2, *entries))
            await wait_until(node.admin_operations.has_current_list)
        return self

    def node_options(self) -> list[str]:
        addresses = [n.admin_operations.server.address for n in self.nodes]
        return [word for host, port in addresses for word in ("--at", f"{host}:{port}")]

    def in_maintenance(self) -> list[set[str]]:
        return [set(n.registry.in_maintenance) for n in self.nodes]

    async def run_door(self, *words: str, **more) -> tuple[int, str]:
        """Runs `harecross door`; returns its exit status and its output."""
        done = await asyncio.to_thread(
            subprocess.run,
            [sys.executable, "-m", "harecross", "door", *words],
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            **more,
        )
        return done.returncode, done.stdout


def with_site(test) -> None:
    async def body() -> None:
        site = await Site().start()
        try:
            await test(site)
        finally:
            for task in site.tasks:
                task.cancel()

    run(body())


def test_the_command_puts_servers_into_maintenance_at_every_node_waits_until_drained_and_ends_it():
    async def test(site: Site) -> None:
        from node_support import Client

        client = await Client.open(site.nodes[0].address)
        client.send(left="28000m")
        arrived = await asyncio.wait_for(
            next(
                iter(
                    (
                        await asyncio.wait(
                            [asyncio.create_task(o.received.get()) for o in site.upstreams],
                            return_when=asyncio.FIRST_COMPLETED,
                        )
                    )[0]
                )
            ),
            5,
        )
        busy = next(f"s{i}" for i, o in enumerate(site.upstreams) if o.connection_count)
        waiting = asyncio.create_task(
            site.run_door("out", busy, *site.node_options(), "--wait", "--within", "25")
        )
        await wait_until(lambda: site.in_maintenance() == [{busy}, {busy}])
        code, text = await site.run_door("servers", busy, *site.node_options()[:2])
        assert code == 0
        assert "out" in text
        assert " 1 " in text
        assert not waiting.done()
        arrived.answer()
        assert (await client.answer())[0] == 200
        code, text = await waiting
        assert code == 0
        assert f"{busy} has 1 in flight at" in text
        assert "no requests in flight" in text
        code, text = await site.run_door("status", *site.node_options())
        assert code == 0
        assert text.count(f"servers out: {busy}") == 2
        assert (await site.run_door("back", busy, *site.node_options()))[0] == 0
        assert site.in_maintenance() == [set(), set()]
        # A refused call gives exit status 1 and a message that names the node; invalid arguments give 2.
        code, text = await site.run_door("out", "nobody", *site.node_options())
        assert code == 1
        assert text.count("nobody: no such server") == 2
        nowhere = ["--at", "127.0.0.1:1"]
        assert (await site.run_door("status", *nowhere))[0] == 1
        for wrong in (["out", "s0"], ["out", "s0", "--at", "here"], ["release", "s0", "s0", *nowhere]):
            code, text = await site.run_door(
                *wrong, env={k: v for k, v in os.environ.items() if k != "LB_ADMIN"}
            )
            assert code == 2 and "Traceback" not in text, text

    with_site(test)


def test_the_release_command_restarts_each_server_and_stops_at_a_failed_restart(tmp_path):
    async def test(site: Site) -> None:
        log = tmp_path / "log"
        restart = f'echo $HARECROSS_SERVER >> {log}; test "$HARECROSS_SERVER" != s2'
        code, text = await site.run_door(
            "release", "s0", "s1", *site.node_options(), "--restart", restart, "--keep", "0.3"
        )
        assert code == 0 and "2 of 2 restarted" in text, text
        assert log.read_text().split() == ["s0", "s1"]
        assert site.in_maintenance() == [set(), set()]
        code, text = await site.run_door("release", "s2", "s0", *site.node_options(), "--restart", restart)
        assert code == 1
        assert "ended with status 1; the server stays in maintenance" in text
        assert text.count("harecross door back s2 --at") == 1
        assert log.read_text().split() == ["s0", "s1", "s2"]
        assert site.in_maintenance() == [{"s2"}, {"s2"}]

    with_site(test)


def test_a_second_interrupt_stops_a_release_immediately_and_lists_servers_in_maintenance(tmp_path):
    async def test(site: Site) -> None:
        words = [
            "release",
            "s0",
            "s1",
            *site.node_options(),
            "--restart",
            f"echo $$ > {tmp_path}/pid; exec sleep 30",
        ]
        made = subprocess.Popen(
            [sys.executable, "-m", "harecross", "door", *words], stdout=subprocess.PIPE, text=True
        )
        try:
            pid = tmp_path / "pid"
            await wait_until(lambda: pid.exists() and pid.read_text().strip())
            assert site.in_maintenance() == [{"s0"}, {"s0"}]
            made.send_signal(signal.SIGINT)
            while "interrupted" not in (line := await asyncio.to_thread(made.stdout.readline)):
                assert line
            made.send_signal(signal.SIGINT)
            assert await asyncio.to_thread(made.wait) == 130
            # Do not read to the end of the pipe: the restart that is still running keeps it open.
            while "harecross door back s0 --at" not in (
                line := await asyncio.to_thread(made.stdout.readline)
            ):
                assert "restarted; stopped: interrupted" in line or "s0: its restart is still running" in line
        finally:
            made.kill()
            made.wait()
            made.stdout.close()
            os.kill(int(pid.read_text()), signal.SIGKILL)

    with_site(test)
