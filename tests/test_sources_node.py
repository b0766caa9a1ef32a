"""A real node, and the control service, fed by DNS that lies, dies and disagrees with the watch: counted at servers."""

from __future__ import annotations

import asyncio
import json
import signal
import subprocess
import sys
from collections import Counter
from contextlib import asynccontextmanager

import pytest
from node_support import TEST_TIMEOUT_S, Client, config_dict, entry, run, wait_until

pytest.importorskip("dns")

from harecross.node.config import config_from
from harecross.node.node import Node
from harecross.node.options import NodeOptions
from harecross.sources.cache_file import CachedSet, read_cache_file, write_cache_file
from harecross.sources.config import AddressFileConfig, SourcesTable, SrvConfig, check
from harecross.sources.manager import SourceManager
from harecross.standins import dns as standin
from harecross.standins.cluster import die_with_parent
from harecross.standins.discovery import StandinDiscovery
from harecross.standins.dns import DnsServer
from harecross.standins.http import answer, header, listen, read_message

NAME, ZONE = "_readings._tcp.site3.example.org", "site3.example.org."


class Box:
    """A server that answers at once and keeps what it has run, by request id and by time."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.ran: list[tuple[float, bytes, bytes]] = []

    async def start(self) -> Box:
        self.server, self.address = await listen(self.serve)
        return self

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head, _ = await read_message(reader)
                now, path = asyncio.get_running_loop().time(), head.split(b" ")[1]
                self.ran.append((now, path, header(head, b"X-Request-ID")))
                writer.write(answer(200, self.name.encode()))
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            writer.close()

    @property
    def port(self) -> str:
        return self.address.split(":")[1]


class Site:
    """DNS, a watch, boxes and one node."""

    def __init__(self) -> None:
        self.boxes: list[Box] = []
        self.node: Node | None = None

    async def start(self, boxes: int) -> None:
        self.dns = await DnsServer().start()
        self.discovery_server = await StandinDiscovery().start()
        self.boxes = [await Box(f"box{i}").start() for i in range(boxes)]
        for i in range(boxes):
            self.dns.set_records(f"box{i}.{ZONE}", "A", "127.0.0.1", ttl=1)

    def srv(
        self, *which: int, ttl: int = 1, weights: dict[int, int] | None = None, second: tuple = ()
    ) -> None:
        """What DNS says: these boxes, those of `second` with the next priority."""
        rows = [
            f"{20 if i in second else 10} {(weights or {}).get(i, 1)} {self.boxes[i].port} box{i}.{ZONE}"
            for i in (*which, *second)
        ]
        self.dns.set_records(f"{NAME}.", "SRV", *rows, ttl=ttl)

    def line(self, *which: int, draining: tuple[int, ...] = ()) -> list[dict]:
        states = {i: "terminating" if i in draining else "in_service" for i in which}
        return [entry(f"s-{i}", self.boxes[i].address, states[i]) for i in which]

    async def serve(self, table: SourcesTable, **more) -> Node:
        check(table)
        config = config_dict(self.discovery_server.address, admin="127.0.0.1:0", **more)
        self.node = Node(
            config_from(config), NodeOptions(additional_sources=lambda d: SourceManager(table, d))
        )
        self.task = asyncio.create_task(self.node.run())
        ready = asyncio.create_task(self.node.started.wait())
        await asyncio.wait([self.task, ready], return_when=asyncio.FIRST_COMPLETED)
        if self.task.done():
            self.task.result()
        return self.node

    def up(self) -> set[str]:
        """Indices of boxes in service, as the node's module has them."""
        numbers = {number: name for name, number in self.node.registry.numbers.items()}
        where = {numbers[n] for n in self.node.registry.listed if n in numbers}
        return {i for i, b in enumerate(self.boxes) if b.address in where}

    async def admin_call(self, call: str, body: str = "") -> tuple[int, str]:
        reader, writer = await asyncio.open_connection(*self.node.admin_operations.server.address)
        writer.write(f"{call} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
        whole = (await reader.read()).decode()
        writer.close()
        return int(whole.split()[1]), whole.partition("\r\n\r\n")[2].strip()

    async def close(self) -> None:
        if self.node is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)
            await self.node.membership.additional_sources.stop()
            self.node.discovery.unsubscribe()
        await self.discovery_server.stop()
        self.dns.stop()


@asynccontextmanager
async def running_site(boxes: int = 4):
    site = Site()
    await site.start(boxes)
    try:
        yield site
    finally:
        await site.close()


def table(site: Site, **more) -> SourcesTable:
    srv = more.pop("srv", {})
    options = {"resolvers": (site.dns.address,), "step_s": 1.0, "watch_stale_s": 1.0, **more}
    return SourcesTable(srv=(SrvConfig(NAME, **{"floor_s": 0.05, "doubt_s": 0.5, **srv}),), **options)


def refreshing(node: Node) -> bool:
    """Whether a DNS query is in progress."""
    sources = node.membership.additional_sources.dns_sources.values()
    return any(source.cached_name.refreshing for source in sources)


class Load:
    """Callers that ask all the time; every answer is counted, each request's id with it."""

    def __init__(self, site: Site, callers: int = 4) -> None:
        self.site, self.answers, self.sent, self.stop = site, Counter(), 0, False
        self.tasks = [asyncio.create_task(self.call(n)) for n in range(callers)]

    async def call(self, n: int) -> None:
        client = await Client.open(self.site.node.address)
        while not self.stop:
            self.sent += 1
            kind = ("/read/1", "/put/user-1", "/pay/1")[self.sent % 3]
            client.send(kind, key=f"k{n}-{self.sent}" if kind[1] == "p" and kind[2] == "u" else "", body=b"")
            status, _, _ = await client.answer()
            self.answers[status] += 1
            await asyncio.sleep(0.002)

    async def end(self) -> None:
        self.stop = True
        await asyncio.gather(*self.tasks)
        assert self.answers.total() == self.sent, "each got its one answer"
        ran = Counter(request for b in self.site.boxes for _, path, request in b.ran if path == b"/pay/1")
        assert ran and max(ran.values()) == 1, "no unsafe effect twice"
        every = {request for b in self.site.boxes for *_, request in b.ran}
        assert self.answers[200] <= len(every), "an answer that no server gave"


def test_the_node_follows_the_rule_under_load_whatever_dns_and_the_watch_say():
    """Truncated, expired, empty and conflicting answers, one after the other, with calls all the time."""

    async def test() -> None:
        async with running_site(5) as site:
            site.srv(0, 1, 2)
            await site.serve(table(site, srv={"stale_max_s": 300.0}))
            await wait_until(lambda: site.up() == {0, 1, 2})
            load = Load(site)

            async def steady(seconds: float, wanted: set[int]) -> None:
                """Stays as it is, looked at all the time."""
                end = asyncio.get_running_loop().time() + seconds
                while asyncio.get_running_loop().time() < end:
                    assert site.up() == wanted
                    await asyncio.sleep(0.02)

            # Truncated over UDP, and cut over TCP too: never a set, so what holds goes on.
            site.dns.faults, site.dns.tcp_bytes_before_close = [standin.always_truncated], 30
            await steady(0.8, {0, 1, 2})
            site.dns.faults, site.dns.tcp_bytes_before_close = [], -1
            # NXDOMAIN in a restart of the DNS server, for less than the doubt.
            site.dns.remove_records(f"{NAME}.", "SRV")
            await steady(0.4, {0, 1, 2})
            # The watch begins to speak: it lists another box too, and drains one.
            site.srv(0, 1, 2)
            site.discovery_server.put(*site.line(0, 1, 2, 3, draining=(1,)))
            await wait_until(lambda: site.up() == {0, 2, 3})
            drained = asyncio.get_running_loop().time()
            # Out of step: DNS drops box 2 while the watch, which ranks higher, still lists it.
            site.srv(0, 1)
            await steady(1.5, {0, 2, 3})
            # DNS dies: its set grows stale, and nothing goes.
            site.dns.faults = [standin.error_reply(2)]
            await steady(1.5, {0, 2, 3})
            code, reply = await site.admin_call("GET /sources")
            rows = {r["source"]: r for r in json.loads(reply)["sources"]}
            assert code == 200
            assert rows[f"srv:{NAME}"]["credit"] == "stale"
            assert "SERVFAIL" in rows[f"srv:{NAME}"]["why"]
            # It comes back with a new box; the watch takes back its drain.
            site.dns.faults = []
            site.srv(0, 1, 4)
            await wait_until(lambda: 4 in site.up())
            site.discovery_server.put(*site.line(1))
            await wait_until(lambda: site.up() == {0, 1, 2, 3, 4})
            back = asyncio.get_running_loop().time()
            await load.end()
            late = [t for t, *_ in site.boxes[1].ran if drained + 0.25 < t < back - 0.25]
            assert not late, "new work after a drain"
            assert load.answers[200] > 0.95 * load.sent, load.answers

    run(test())


def test_weights_and_priorities_of_dns_reach_the_choice():
    async def test() -> None:
        async with running_site(4) as site:
            site.srv(0, 1, weights={0: 30, 1: 10}, second=(2, 3))
            await site.serve(table(site, watch=False))
            await wait_until(lambda: site.up() == {0, 1})
            load = Load(site)
            await wait_until(lambda: load.answers.total() >= 900)
            heavy, light = len(site.boxes[0].ran), len(site.boxes[1].ran)
            # Drawn 3 to 1, tempered by load: of two that are drawn the one with less out gets the call.
            assert 1.6 < heavy / light < 4.0, (heavy, light)
            assert not site.boxes[2].ran and not site.boxes[3].ran, "the second priority is spare"
            code, reply = await site.admin_call(
                f"GET /sources?box=box2.site3.example.org:{site.boxes[2].port}"
            )
            assert code == 200
            assert json.loads(reply)["boxes"][0]["spare"]
            # Operators take both of the first priority out: the second comes in.
            assert (await site.admin_call("POST /maintenance/enter", site.boxes[0].address))[0] == 200
            assert (
                await site.admin_call(
                    "POST /maintenance/enter", f"box1.site3.example.org:{site.boxes[1].port}"
                )
            )[0] == 200
            await wait_until(lambda: site.up() == {2, 3})
            await load.end()

    run(test())


def test_what_operators_hold_out_by_any_name_stays_out_whoever_lists_it():
    async def test() -> None:
        async with running_site(3) as site:
            site.srv(0, 1)
            node = await site.serve(table(site))
            await wait_until(lambda: site.up() == {0, 1})
            site.discovery_server.put(*site.line(0, 1))
            await wait_until(lambda: node.registry.resolve_name("s-0") == site.boxes[0].address)
            assert (await site.admin_call("POST /maintenance/enter", "s-0"))[0] == 200
            assert site.up() == {1}
            code, reply = await site.admin_call("GET /servers?id=s-0")
            assert json.loads(reply)["servers"][0]["state"] == "out"
            assert json.loads(reply)["servers"][0]["id"] == "s-0"
            site.srv(0, 1, 2)
            await wait_until(lambda: site.up() == {1, 2})
            site.discovery_server.put(*site.line(0, 1))
            _code, reply = await site.admin_call("GET /sources?box=s-0")
            assert json.loads(reply)["boxes"][0]["held_out"]
            assert (await site.admin_call("POST /maintenance/enter", "s-9"))[0] == 404
            assert (await site.admin_call("POST /maintenance/exit", site.boxes[0].address))[0] == 200
            assert site.up() == {0, 1, 2}

    run(test())


def test_a_restart_with_every_dns_server_down_serves_from_what_was_kept(tmp_path):
    path = str(tmp_path / "kept")

    async def test() -> None:
        async with running_site(2) as site:
            site.srv(0, 1)
            await site.serve(table(site, keep=path, watch=False))
            await wait_until(lambda: site.up() == {0, 1})
        assert len(read_cache_file(path)[NAME].answer.endpoints) == 2
        async with running_site(2) as site:
            sets = read_cache_file(path)
            moved = [e.__class__(e.priority, e.target, e.address, int(site.boxes[i].port), e.weight)
                     for i, e in enumerate(sets[NAME].answer.endpoints)]  # fmt: skip
            cached_answer = sets[NAME].answer.__class__(tuple(moved), 1.0)
            cached = CachedSet(cached_answer, sets[NAME].answered_at, sets[NAME].expires_at)
            write_cache_file(path, {NAME: cached})
            site.dns.faults = [standin.silent]
            node = await site.serve(table(site, keep=path, watch=False))
            await wait_until(lambda: site.up() == {0, 1})
            client = await Client.open(node.address)
            client.send()
            assert (await client.answer())[0] == 200
            _, reply = await site.admin_call("GET /sources")
            assert json.loads(reply)["sources"][0]["credit"] == "stale"
            client.writer.close()
        (tmp_path / "kept").write_bytes(b"harecross-sources 1 rubbish\n{}")
        async with running_site(2) as site:
            site.srv(0)
            await site.serve(table(site, keep=path, watch=False))
            await wait_until(lambda: site.up() == {0})

    run(test())


def test_a_reload_in_mid_question_adds_and_removes_sources_and_loses_no_box_another_names(tmp_path):
    file = tmp_path / "boxes"

    async def test() -> None:
        async with running_site(3) as site:
            site.srv(0, 1)
            node = await site.serve(table(site, watch=False))
            await wait_until(lambda: site.up() == {0, 1})
            file.write_text(f"{site.boxes[1].address}\n{site.boxes[2].address} weight=2\n")
            site.dns.reply_delay_s = 0.3
            await wait_until(
                lambda: any(
                    site.cached_name.refreshing
                    for site in node.membership.additional_sources.dns_sources.values()
                )
            )
            both = table(site, watch=False, file=(AddressFileConfig(str(file)),))
            node.membership.additional_sources.configure(both)
            await wait_until(lambda: site.up() == {0, 1, 2})
            await wait_until(
                lambda: any(
                    site.cached_name.refreshing
                    for site in node.membership.additional_sources.dns_sources.values()
                )
            )
            node.membership.additional_sources.configure(
                SourcesTable(file=both.file, watch=False, step_s=1.0)
            )
            await wait_until(lambda: site.up() == {1, 2})
            # A file that is spoilt is stale, and one that is whole again counts.
            file.write_text(f"{site.boxes[2].address} weigth=2\n")
            await wait_until(lambda: node.membership.additional_sources.file_sources[f"file:{file}"].problem)
            assert site.up() == {1, 2}
            file.write_text(f"{site.boxes[2].address}\n")
            await wait_until(lambda: site.up() == {2})

    run(test())


BAD = [
    ('[[sources.srv]]\nname = "a..b"\n', "sources.srv[0].name"),
    (f'[[sources.srv]]\nname = "{NAME}"\n', "no DNS server"),
    (f'[sources]\nresolvers = ["localhost:53"]\n[[sources.srv]]\nname = "{NAME}"\n', "IP-ADDRESS:PORT"),
    ('[[sources.file]]\npath = "/nowhere/boxes"\n', "/nowhere/boxes: No such file"),
    ('[sources]\nwatch = false\n', "leaves no source"),
    ('[sources]\nmas = 0.3\n', "allowed:"),
    ('[sources]\nkeep = "/nowhere/kept"\n', "is no folder"),
    ('[sources]\noverflow_enter = 0.8\n', "below overflow_leave"),
]  # fmt: skip


@pytest.mark.parametrize(("text", "why"), BAD, ids=[str(n) for n in range(len(BAD))])
def test_a_bad_file_is_one_line_that_names_the_key_and_status_2(tmp_path, text, why):
    path = tmp_path / "operators.toml"
    path.write_text(text)
    done = subprocess.run(
        [sys.executable, "-m", "harecross", "sources", "check", str(path)],
        capture_output=True,
        text=True,
        timeout=TEST_TIMEOUT_S,
    )
    assert done.returncode == 2 and why in done.stderr and len(done.stderr.splitlines()) == 1, done.stderr
    assert str(path) in done.stderr


def test_the_node_starts_with_a_file_reloads_it_on_sighup_and_explains_itself(tmp_path):
    """As an operator has it: the process, its file, SIGHUP, the command."""

    async def test() -> None:
        async with running_site(3) as site:
            site.srv(0, 1)
            path, config = tmp_path / "operators.toml", tmp_path / "config.json"
            text = f'[sources]\nresolvers = ["{site.dns.address}"]\n[[sources.srv]]\nname = "{NAME}"\nfloor_s = 0.05\n'
            path.write_text(text)
            config.write_text(json.dumps(config_dict(site.discovery_server.address, admin="127.0.0.1:0")))
            env = {"LB_CONFIG": str(config), "TMPDIR": str(tmp_path), "PATH": "/usr/bin:/bin"}
            node = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "harecross", "node", "--config", str(path), env=env,
                stderr=asyncio.subprocess.PIPE, preexec_fn=die_with_parent,
            )  # fmt: skip
            log: list[str] = []

            async def logged(text: str) -> str:
                while True:
                    log.append((await node.stderr.readline()).decode())
                    assert log[-1], log
                    if text in log[-1]:
                        return log[-1].split()[-1]

            door = await logged("door: listening on")

            async def explain(*words: str) -> tuple[int, str]:
                done = await asyncio.to_thread(
                    subprocess.run,
                    [sys.executable, "-m", "harecross", "sources", "explain", *words, "--at", door],
                    capture_output=True, text=True,
                )  # fmt: skip
                return done.returncode, done.stdout + done.stderr

            async def boxes(count: int) -> None:
                reply: dict = {"boxes": []}
                while len(reply["boxes"]) != count:
                    reply = json.loads((await explain("--json"))[1])

            await boxes(2)
            code, out = await explain(site.boxes[0].address)
            assert code == 0
            assert "line 2" in out
            assert f"srv:{NAME}" in out
            assert (await explain("nobody"))[0] == 1
            extra = tmp_path / "boxes"
            extra.write_text(f"{site.boxes[2].address}\n")
            path.write_text(text + f'[[sources.file]]\npath = "{extra}"\n')
            node.send_signal(signal.SIGHUP)
            await boxes(3)
            path.write_text("[sources]\nwrong = 1\n")
            node.send_signal(signal.SIGHUP)
            await logged("sources not changed")
            node.kill()
            await node.wait()
            assert "Traceback" not in "".join(log)

    run(test())


def test_the_control_service_hands_out_what_dns_says_and_reloads_its_names(tmp_path):
    grpc = pytest.importorskip("grpc")
    from harecross.standins.xds import DRAINING, XdsProxy
    from harecross.xds.config import read_control
    from harecross.xds.service import ControlService

    async def test() -> None:
        async with running_site(4) as site:
            site.srv(0, 1)
            other = "_more._tcp.site3.example.org"
            site.dns.set_records(
                f"{other}.",
                "SRV",
                f"0 1 {site.boxes[1].port} box1.{ZONE}",
                f"0 1 {site.boxes[2].port} box2.{ZONE}",
            )
            path = tmp_path / "control.toml"
            start = '[control]\nlisten = "127.0.0.1:0"\ninterval_s = 0.1\n[clusters.readings]\n'
            probe = '[clusters.readings.probe]\nkind = "tcp"\ninterval_s = 0.2\n'

            def write(*names: str) -> None:
                path.write_text(
                    f'{start}srv = {json.dumps(names)}\nresolvers = ["{site.dns.address}"]\n{probe}'
                )

            write(NAME)
            service = ControlService(path, read_control(path))
            task = asyncio.create_task(service.run())
            await service.ready.wait()
            channel = grpc.aio.insecure_channel(f"127.0.0.1:{service.server.port}")
            proxy = XdsProxy(channel).start()

            def has(*which: int):
                return lambda p: (
                    {t.name for t in p.endpoints("readings") if t.health != DRAINING}
                    == {site.boxes[i].address for i in which}
                )

            await proxy.until(has(0, 1))
            seen = []
            proxy.on_response = lambda p, type_url, names: seen.append(len(p.endpoints("readings")))
            write(NAME, other)
            service.reload()
            await proxy.until(has(0, 1, 2))
            site.srv(0, 3)  # box 1 is still named by the other one
            await proxy.until(has(0, 1, 2, 3))
            write(other)
            service.reload()
            await proxy.until(has(1, 2))
            assert min(seen) >= 2, "no proxy saw a gap"
            path.write_text(f'{start}srv = "a..b"\nresolvers = ["{site.dns.address}"]\n')
            service.reload()
            await asyncio.sleep(0)
            assert set(service.publisher_loop.feeds) == {"readings"}
            await proxy.stop()
            await channel.close()
            service.stop.set()
            await task

    run(test())
