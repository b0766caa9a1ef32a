"""A release of servers: the machine against a world that fails in every way, then the command against real nodes."""

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
from harecross.admin_client.release_state import Action, ActionKind, Limits, Phase
from harecross.discovery.endpoint_status import IN_USE, OUT
from harecross.node.config import config_from
from harecross.node.node import Node

LIMITS = Limits(drain_timeout_s=20, restart_timeout_s=20, warm_up_timeout_s=20)


# ---- the machine, against a world that fails ---------------------------------------------------------------


@dataclass
class World:
    """Nodes and servers on a clock of their own. `faults` is the chance of each fault at each chance for it."""

    release: Release
    rng: Random
    faults: float = 0.0
    restart_fails: float = 0.0
    now: float = 0.0
    queue: list = field(default_factory=list)  # (due, number, what happens)
    out: dict[str, set[str]] = field(default_factory=dict)
    open: dict[tuple[str, str], float] = field(default_factory=dict)  # until when something is out
    cold: dict[str, float] = field(default_factory=dict)
    beside: dict[str, float] = field(default_factory=dict)  # doors with another process, until when
    late: set[tuple[str, str]] = field(default_factory=set)  # calls that come behind the one after them
    dead: dict[str, float] = field(default_factory=dict)  # doors that answer nothing until then
    restarts: Counter = field(default_factory=Counter)
    running: set[str] = field(default_factory=set)
    most_out: int = 0
    seen: Counter = field(default_factory=Counter)

    def chance(self, what: str, share: float = 1.0) -> bool:
        hit = self.rng.random() < self.faults * share
        self.seen[what] += hit
        return hit

    def later(self, delay: float, event) -> None:
        self.queue.append((self.now + delay, len(self.queue) + self.rng.random(), event))

    def do(self, todo: list[Action]) -> None:
        for d in todo:
            delay = self.rng.uniform(0.01, 0.2)
            if d.kind is ActionKind.FETCH_STATUS:
                self.later(delay, lambda d=d: self.look(d.node))
            elif d.kind in (ActionKind.ENTER_MAINTENANCE, ActionKind.EXIT_MAINTENANCE):
                self.later(delay, lambda d=d: self.call(d))
            elif d.kind is ActionKind.RESTART:
                self.restart(d.server)
            else:
                self.later(delay, lambda d=d: self.end(d.server, False))

    def look(self, door: str) -> None:
        if self.dead.get(door, 0) > self.now or self.chance("look lost"):
            return self.do(self.release.status_received(self.now, door, StatusFailure("no answer")))
        if self.chance("put back by others", 0.1) and self.out[door]:
            self.out[door].discard(self.rng.choice(sorted(self.out[door])))
        rows = {}
        for name in NAMES:
            state = OUT if name in self.out[door] else IN_USE
            out = int(self.open.get((door, name), 0) > self.now)
            rows[name] = ServerStatus(
                name, state, True, out, 1.0 if self.cold.get(name, 0) <= self.now else 0.5, False
            )
        if self.chance("another process"):
            self.beside[door] = self.now + 3
        others = int(self.beside.get(door, 0) > self.now)
        return self.do(self.release.status_received(self.now, door, NodeStatus(door, False, others, rows)))

    def call(self, d: Action) -> None:
        if self.chance("door dies", 0.3):
            self.dead[d.node] = self.now + self.rng.choice([1, 60])
        if self.dead.get(d.node, 0) > self.now:
            result = CallResult(False, "nobody listens there")
        elif self.chance("call lost before"):
            result = CallResult(False, "no answer", effect_unknown=True)
        elif d.kind is ActionKind.ENTER_MAINTENANCE and self.chance("call late"):
            self.late.add((d.node, d.server))
            result = CallResult(False, "no answer", effect_unknown=True)
        elif self.chance("no"):
            result = CallResult(False, "a no")
        else:
            self.effect(d)
            lost = self.chance("answer lost")
            result = CallResult(False, "no answer", effect_unknown=True) if lost else CallResult(True, "yes")
        self.do(self.release.call_answered(self.now, d.kind, d.node, d.server, result))

    def effect(self, d: Action) -> None:
        assert d.server not in self.running, "a server is put back, or out, in its restart"
        if d.kind is ActionKind.ENTER_MAINTENANCE:
            self.out[d.node].add(d.server)
            self.open[d.node, d.server] = self.now + (
                40 if self.chance("long work") else self.rng.choice([0, 1, 5])
            )
        else:
            self.out[d.node].discard(d.server)
            if (d.node, d.server) in self.late:
                self.late.discard((d.node, d.server))
                self.out[d.node].add(d.server)
        out = set().union(*self.out.values())
        failed = {s.id for s in self.release.servers if s.phase == Phase.LEFT_OUT}
        self.most_out = max(self.most_out, len(out - failed))

    def restart(self, server: str) -> None:
        for door in DOORS:
            # Somebody else's call may have come after the look; the release cannot know.
            assert server in self.out[door] or self.seen["put back by others"]
            assert self.open[door, server] <= self.now, "restarted with work out on it"
            assert self.beside.get(door, 0) <= self.now, (
                "restarted while a process not seen from here used it"
            )
        self.running.add(server)
        self.restarts[server] += 1
        if not self.chance("restart hangs"):
            ok = self.rng.random() >= self.restart_fails
            self.later(self.rng.uniform(0.5, 3), lambda: self.end(server, ok))

    def end(self, server: str, ok: bool) -> None:
        if server in self.running:
            self.running.discard(server)
            self.cold[server] = self.now + 2
            self.do(self.release.restart_ended(self.now, server, ok=ok, how="ended"))

    def play(self, interrupts: list[float]) -> None:
        for at in interrupts:
            self.later(at, lambda: self.do(self.release.interrupt(self.now)))
        self.do(self.release.begin(self.now))
        while not self.release.finished:
            self.now += 0.1
            assert self.now < 1500, "it never ends"
            for event in sorted(e for e in self.queue if e[0] <= self.now):
                if not self.release.finished:
                    self.queue.remove(event)
                    event[2]()
            if not self.release.finished:
                self.do(self.release.tick(self.now))


DOORS = ["a:1", "b:1", "c:1"]
NAMES = [f"s{i}" for i in range(8)]


def world(seed: int, batch: int, faults: float, restart_fails: float = 0.0, keep: float = 0.5) -> World:
    limits = Limits(batch, keep, LIMITS.drain_timeout_s, LIMITS.restart_timeout_s, LIMITS.warm_up_timeout_s)
    release = Release(NAMES[:6], DOORS, limits)
    return World(release, Random(seed), faults, restart_fails, out={d: set() for d in DOORS})


@pytest.mark.parametrize("batch", [1, 2, 7])
def test_without_faults_each_server_is_restarted_once_and_none_stays_out(batch):
    for seed in range(10):
        w = world(seed, batch, 0)
        w.play([])
        r = w.release
        assert not r.stop_reason
        assert not r.servers_out()
        assert not any(w.out.values())
        assert w.restarts == Counter(NAMES[:6])
        assert all(s.phase == Phase.DONE for s in r.servers)
        assert w.most_out == min(batch, 4), "four of eight stay in use"


def test_with_faults_every_server_that_stays_out_is_named_and_none_is_restarted_with_requests_in_flight():
    ends, seen = Counter(), Counter()
    for seed in range(600):
        rng = Random(seed)
        restart_fails = rng.choice([0, 0.1])
        w = world(seed, rng.choice([1, 2, 3]), rng.choice([0.0005, 0.01, 0.05]), restart_fails)
        w.play(sorted(rng.uniform(0, 60) for _ in range(rng.choice([0, 0, 0, 1, 2]))))
        r = w.release
        held = {(d, name) for name, doors in r.servers_out().items() for d in doors}
        unnamed = {(d, name) for d, names in w.out.items() for name in names} - held
        # What a second Ctrl-C cuts off may still be under way: it is named all the same.
        assert not unnamed, (seed, unnamed)
        assert w.most_out <= r.limits.batch
        assert all(n == 1 for n in w.restarts.values())
        if not r.stop_reason:
            assert set(w.restarts) == set(NAMES[:6])
            assert not held
        if r.interrupts < 2:
            assert not w.running
            assert not r.running_restarts()
            left = {s.id for s in r.servers if s.phase == Phase.LEFT_OUT}
            assert {name for _, name in held} <= left
            if not (restart_fails or w.seen["door dies"] or w.seen["restart hangs"]):
                assert not held, (seed, held)
        ends["stopped" if r.stop_reason else "done"] += 1
        seen += w.seen
    assert min(ends["done"], ends["stopped"]) > 50, "both kinds of end were played"
    assert len(seen) == 10 and min(seen.values()) > 2, f"every fault was met: {seen}"


def test_a_release_does_nothing_if_a_server_is_unknown_or_out_or_too_few_would_stay():
    for name, keep, out, why in (
        ("nobody", 0.5, "", "no such server"),
        ("s0", 0.5, "s0", "not in use but out"),
        ("s0", 1.0, "", "8 servers are in use and 8 must stay"),
    ):
        w = world(1, 1, 0, keep=keep)
        w.release = Release([name], DOORS, Limits(min_in_use=keep))
        w.out["b:1"] = {out} - {""}
        w.play([])
        assert why in w.release.stop_reason
        assert not w.restarts
        assert not w.release.servers_out()


# ---- the command, against real nodes -------------------------------------------------------------------------


class Site:
    """Two nodes with doors before three servers."""

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
            # Until discovery has told a list, or for a second, `status` says no.
            _, watch = await self.discovery_server.watches.get()
            self.watches.append(watch)
            self.discovery_server.push(watch, line(2, *entries))
            await wait_until(node.admin_operations.has_current_list)
        return self

    def at(self) -> list[str]:
        doors = [n.admin_operations.server.address for n in self.nodes]
        return [word for host, port in doors for word in ("--at", f"{host}:{port}")]

    def out(self) -> list[set[str]]:
        return [set(n.registry.in_maintenance) for n in self.nodes]

    async def door(self, *words: str, **more) -> tuple[int, str]:
        """The command to its end: status and all it said."""
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


def test_the_command_takes_servers_out_at_every_node_waits_until_drained_and_puts_them_back():
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
        waiting = asyncio.create_task(site.door("out", busy, *site.at(), "--wait", "--within", "25"))
        await wait_until(lambda: site.out() == [{busy}, {busy}])
        code, text = await site.door("servers", busy, *site.at()[:2])
        assert code == 0
        assert "out" in text
        assert " 1 " in text
        assert not waiting.done()
        arrived.answer()
        assert (await client.answer())[0] == 200
        code, text = await waiting
        assert code == 0
        assert f"{busy} has 1 at" in text
        assert "nothing is out" in text
        code, text = await site.door("status", *site.at())
        assert code == 0
        assert text.count(f"servers out: {busy}") == 2
        assert (await site.door("back", busy, *site.at()))[0] == 0
        assert site.out() == [set(), set()]
        # A no is status 1 and says who said it; wrong use is status 2.
        code, text = await site.door("out", "nobody", *site.at())
        assert code == 1
        assert text.count("nobody: no such server") == 2
        nowhere = ["--at", "127.0.0.1:1"]
        assert (await site.door("status", *nowhere))[0] == 1
        for wrong in (["out", "s0"], ["out", "s0", "--at", "here"], ["release", "s0", "s0", *nowhere]):
            code, text = await site.door(*wrong, env={k: v for k, v in os.environ.items() if k != "LB_ADMIN"})
            assert code == 2 and "Traceback" not in text, text

    with_site(test)


def test_the_release_command_restarts_each_server_and_ends_at_a_failed_restart(tmp_path):
    async def test(site: Site) -> None:
        log = tmp_path / "log"
        restart = f'echo $HARECROSS_SERVER >> {log}; test "$HARECROSS_SERVER" != s2'
        code, text = await site.door("release", "s0", "s1", *site.at(), "--restart", restart, "--keep", "0.3")
        assert code == 0 and "2 of 2 restarted" in text, text
        assert log.read_text().split() == ["s0", "s1"]
        assert site.out() == [set(), set()]
        code, text = await site.door("release", "s2", "s0", *site.at(), "--restart", restart)
        assert code == 1
        assert "ended with status 1; it stays out" in text
        assert text.count("harecross door back s2 --at") == 1
        assert log.read_text().split() == ["s0", "s1", "s2"]
        assert site.out() == [{"s2"}, {"s2"}]

    with_site(test)


def test_a_second_interrupt_ends_a_release_at_once_and_names_what_is_out(tmp_path):
    async def test(site: Site) -> None:
        words = ["release", "s0", "s1", *site.at(), "--restart", f"echo $$ > {tmp_path}/pid; exec sleep 30"]
        made = subprocess.Popen(
            [sys.executable, "-m", "harecross", "door", *words], stdout=subprocess.PIPE, text=True
        )
        try:
            pid = tmp_path / "pid"
            await wait_until(lambda: pid.exists() and pid.read_text().strip())
            assert site.out() == [{"s0"}, {"s0"}]
            made.send_signal(signal.SIGINT)
            while "interrupted" not in (line := await asyncio.to_thread(made.stdout.readline)):
                assert line
            made.send_signal(signal.SIGINT)
            assert await asyncio.to_thread(made.wait) == 130
            # Not to the pipe's end: the restart that still runs holds it too.
            while "harecross door back s0 --at" not in (
                line := await asyncio.to_thread(made.stdout.readline)
            ):
                assert "restarted; ended: interrupted" in line or "s0: its restart still runs" in line
        finally:
            made.kill()
            made.wait()
            made.stdout.close()
            os.kill(int(pid.read_text()), signal.SIGKILL)

    with_site(test)
