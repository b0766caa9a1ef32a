"""Runs a real node and the control service with sources that fail, answer wrongly and disagree with each other.

The servers count the requests that reach them.
"""

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


class RecordingServer:
    """A server that responds at once and records the time, path and id of each request."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.requests: list[tuple[float, bytes, bytes]] = []

    async def start(self) -> RecordingServer:
        self.server, self.address = await listen(self.serve)
        return self

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head, _ = await read_message(reader)
                now, path = asyncio.get_running_loop().time(), head.split(b" ")[1]
                self.requests.append((now, path, header(head, b"X-Request-ID")))
                writer.write(answer(200, self.name.encode()))
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            writer.close()

    @property
    def port(self) -> str:
        return self.address.split(":")[1]


class Site:
    """A DNS server, a discovery server, servers and one node."""

    def __init__(self) -> None:
        self.servers: list[RecordingServer] = []
        self.node: Node | None = None

    async def start(self, server_count: int) -> None:
        self.dns = await DnsServer().start()
        self.discovery_server = await StandinDiscovery().start()
        self.servers = [await RecordingServer(f"box{i}").start() for i in range(server_count)]
        for i in range(server_count):
            self.dns.set_records(f"box{i}.{ZONE}", "A", "127.0.0.1", ttl=1)

    def set_srv_records(
        self, *first: int, ttl: int = 1, weights: dict[int, int] | None = None, second: tuple = ()
    ) -> None:
        """Sets the SRV records: the servers `first` with the first priority, and `second` with the next one."""
        rows = [
            f"{20 if i in second else 10} {(weights or {}).get(i, 1)} {self.servers[i].port} box{i}.{ZONE}"
            for i in (*first, *second)
        ]
        self.dns.set_records(f"{NAME}.", "SRV", *rows, ttl=ttl)

    def watch_entries(self, *indices: int, draining: tuple[int, ...] = ()) -> list[dict]:
        states = {i: "terminating" if i in draining else "in_service" for i in indices}
        return [entry(f"s-{i}", self.servers[i].address, states[i]) for i in indices]

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

    def in_service(self) -> set[int]:
        """Returns the indices of the servers that are in service in the node's endpoint registry."""
        numbers = {number: name for name, number in self.node.registry.numbers.items()}
        addresses = {numbers[n] for n in self.node.registry.listed if n in numbers}
        return {i for i, server in enumerate(self.servers) if server.address in addresses}

    async def admin_call(self, call: str, body: str = "") -> tuple[int, str]:
        reader, writer = await asyncio.open_connection(*self.node.admin_operations.server.address)
        writer.write(f"{call} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
        response = (await reader.read()).decode()
        writer.close()
        return int(response.split()[1]), response.partition("\r\n\r\n")[2].strip()

    async def close(self) -> None:
        if self.node is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)
            await self.node.membership.additional_sources.stop()
            self.node.discovery.unsubscribe()
        await self.discovery_server.stop()
        self.dns.stop()


@asynccontextmanager
async def running_site(server_count: int = 4):
    site = Site()
    await site.start(server_count)
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
    """Clients that send requests all the time and count the responses by status."""

    def __init__(self, site: Site, callers: int = 4) -> None:
        self.site, self.responses, self.sent, self.stop = site, Counter(), 0, False
        self.tasks = [asyncio.create_task(self.call(n)) for n in range(callers)]

    async def call(self, n: int) -> None:
        client = await Client.open(self.site.node.address)
        while not self.stop:
            self.sent += 1
            kind = ("/read/1", "/put/user-1", "/pay/1")[self.sent % 3]
            client.send(kind, key=f"k{n}-{self.sent}" if kind[1] == "p" and kind[2] == "u" else "", body=b"")
            status, _, _ = await client.answer()
            self.responses[status] += 1
            await asyncio.sleep(0.002)

    async def end(self) -> None:
        self.stop = True
        await asyncio.gather(*self.tasks)
        assert self.responses.total() == self.sent, "a request did not get exactly one response"
        executions = Counter(
            request
            for server in self.site.servers
            for _, path, request in server.requests
            if path == b"/pay/1"
        )
        assert executions and max(executions.values()) == 1, "a request that is not idempotent was sent twice"
        request_ids = {request for server in self.site.servers for *_, request in server.requests}
        assert self.responses[200] <= len(request_ids), "a response did not come from a server"


def test_endpoints_in_service_follow_the_merge_rule_under_load():
    """DNS gives truncated, empty and conflicting answers, or fails until its set is stale, under constant load."""

    async def test() -> None:
        async with running_site(5) as site:
            site.set_srv_records(0, 1, 2)
            await site.serve(table(site, srv={"stale_max_s": 300.0}))
            await wait_until(lambda: site.in_service() == {0, 1, 2})
            load = Load(site)

            async def stays(seconds: float, expected: set[int]) -> None:
                """Checks all the time that exactly these servers are in service."""
                end = asyncio.get_running_loop().time() + seconds
                while asyncio.get_running_loop().time() < end:
                    assert site.in_service() == expected
                    await asyncio.sleep(0.02)

            # Responses are truncated over UDP and cut off over TCP: there is no new set, so the last one stays in use.
            site.dns.faults, site.dns.tcp_bytes_before_close = [standin.always_truncated], 30
            await stays(0.8, {0, 1, 2})
            site.dns.faults, site.dns.tcp_bytes_before_close = [], -1
            # DNS answers NXDOMAIN for less than `doubt_s`, as during a restart of the DNS server.
            site.dns.remove_records(f"{NAME}.", "SRV")
            await stays(0.4, {0, 1, 2})
            # The watch provides its first list, with one more server, and drains another.
            site.set_srv_records(0, 1, 2)
            site.discovery_server.put(*site.watch_entries(0, 1, 2, 3, draining=(1,)))
            await wait_until(lambda: site.in_service() == {0, 2, 3})
            drained = asyncio.get_running_loop().time()
            # DNS drops server 2 while the watch, which has the better rank, still lists it.
            site.set_srv_records(0, 1)
            await stays(1.5, {0, 2, 3})
            # DNS fails: its set becomes stale, and no server goes out of service.
            site.dns.faults = [standin.error_reply(2)]
            await stays(1.5, {0, 2, 3})
            code, reply = await site.admin_call("GET /sources")
            rows = {r["source"]: r for r in json.loads(reply)["sources"]}
            assert code == 200
            assert rows[f"srv:{NAME}"]["credit"] == "stale"
            assert "SERVFAIL" in rows[f"srv:{NAME}"]["why"]
            # DNS recovers and lists a new server; the watch ends its drain.
            site.dns.faults = []
            site.set_srv_records(0, 1, 4)
            await wait_until(lambda: 4 in site.in_service())
            site.discovery_server.put(*site.watch_entries(1))
            await wait_until(lambda: site.in_service() == {0, 1, 2, 3, 4})
            back = asyncio.get_running_loop().time()
            await load.end()
            late = [t for t, *_ in site.servers[1].requests if drained + 0.25 < t < back - 0.25]
            assert not late, "a draining server got new requests"
            assert load.responses[200] > 0.95 * load.sent, load.responses

    run(test())


def test_dns_weights_and_priorities_affect_server_selection():
    async def test() -> None:
        async with running_site(4) as site:
            site.set_srv_records(0, 1, weights={0: 30, 1: 10}, second=(2, 3))
            await site.serve(table(site, watch=False))
            await wait_until(lambda: site.in_service() == {0, 1})
            load = Load(site)
            await wait_until(lambda: load.responses.total() >= 900)
            heavy, light = len(site.servers[0].requests), len(site.servers[1].requests)
            # The servers are sampled with the odds 3 to 1. The load reduces this ratio: of two sampled servers, the
            # one with fewer requests in flight gets the request.
            assert 1.6 < heavy / light < 4.0, (heavy, light)
            assert not site.servers[2].requests and not site.servers[3].requests, (
                "the second priority got requests"
            )
            code, reply = await site.admin_call(
                f"GET /sources?box=box2.site3.example.org:{site.servers[2].port}"
            )
            assert code == 200
            assert json.loads(reply)["boxes"][0]["spare"]
            # With both servers of the first priority in maintenance, the second priority comes into use.
            assert (await site.admin_call("POST /maintenance/enter", site.servers[0].address))[0] == 200
            assert (
                await site.admin_call(
                    "POST /maintenance/enter", f"box1.site3.example.org:{site.servers[1].port}"
                )
            )[0] == 200
            await wait_until(lambda: site.in_service() == {2, 3})
            await load.end()

    run(test())


def test_an_endpoint_in_maintenance_under_any_name_stays_out_of_service():
    async def test() -> None:
        async with running_site(3) as site:
            site.set_srv_records(0, 1)
            node = await site.serve(table(site))
            await wait_until(lambda: site.in_service() == {0, 1})
            site.discovery_server.put(*site.watch_entries(0, 1))
            await wait_until(lambda: node.registry.resolve_name("s-0") == site.servers[0].address)
            assert (await site.admin_call("POST /maintenance/enter", "s-0"))[0] == 200
            assert site.in_service() == {1}
            code, reply = await site.admin_call("GET /servers?id=s-0")
            assert json.loads(reply)["servers"][0]["state"] == "out"
            assert json.loads(reply)["servers"][0]["id"] == "s-0"
            site.set_srv_records(0, 1, 2)
            await wait_until(lambda: site.in_service() == {1, 2})
            site.discovery_server.put(*site.watch_entries(0, 1))
            _code, reply = await site.admin_call("GET /sources?box=s-0")
            assert json.loads(reply)["boxes"][0]["held_out"]
            assert (await site.admin_call("POST /maintenance/enter", "s-9"))[0] == 404
            assert (await site.admin_call("POST /maintenance/exit", site.servers[0].address))[0] == 200
            assert site.in_service() == {0, 1, 2}

    run(test())


def test_a_restart_without_any_dns_server_uses_the_cache_file(tmp_path):
    path = str(tmp_path / "kept")

    async def test() -> None:
        async with running_site(2) as site:
            site.set_srv_records(0, 1)
            await site.serve(table(site, keep=path, watch=False))
            await wait_until(lambda: site.in_service() == {0, 1})
        assert len(read_cache_file(path)[NAME].answer.endpoints) == 2
        async with running_site(2) as site:
            sets = read_cache_file(path)
            moved = [e.__class__(e.priority, e.target, e.address, int(site.servers[i].port), e.weight)
                     for i, e in enumerate(sets[NAME].answer.endpoints)]  # fmt: skip
            cached_answer = sets[NAME].answer.__class__(tuple(moved), 1.0)
            cached = CachedSet(cached_answer, sets[NAME].answered_at, sets[NAME].expires_at)
            write_cache_file(path, {NAME: cached})
            site.dns.faults = [standin.silent]
            node = await site.serve(table(site, keep=path, watch=False))
            await wait_until(lambda: site.in_service() == {0, 1})
            client = await Client.open(node.address)
            client.send()
            assert (await client.answer())[0] == 200
            _, reply = await site.admin_call("GET /sources")
            assert json.loads(reply)["sources"][0]["credit"] == "stale"
            client.writer.close()
        (tmp_path / "kept").write_bytes(b"harecross-sources 1 rubbish\n{}")
        async with running_site(2) as site:
            site.set_srv_records(0)
            await site.serve(table(site, keep=path, watch=False))
            await wait_until(lambda: site.in_service() == {0})

    run(test())


def test_a_reload_during_a_dns_query_adds_and_removes_sources_and_keeps_endpoints_of_others(tmp_path):
    file = tmp_path / "boxes"

    async def test() -> None:
        async with running_site(3) as site:
            site.set_srv_records(0, 1)
            node = await site.serve(table(site, watch=False))
            await wait_until(lambda: site.in_service() == {0, 1})
            file.write_text(f"{site.servers[1].address}\n{site.servers[2].address} weight=2\n")
            site.dns.reply_delay_s = 0.3
            await wait_until(
                lambda: any(
                    source.cached_name.refreshing
                    for source in node.membership.additional_sources.dns_sources.values()
                )
            )
            both = table(site, watch=False, file=(AddressFileConfig(str(file)),))
            node.membership.additional_sources.configure(both)
            await wait_until(lambda: site.in_service() == {0, 1, 2})
            await wait_until(
                lambda: any(
                    source.cached_name.refreshing
                    for source in node.membership.additional_sources.dns_sources.values()
                )
            )
            node.membership.additional_sources.configure(
                SourcesTable(file=both.file, watch=False, step_s=1.0)
            )
            await wait_until(lambda: site.in_service() == {1, 2})
            # An invalid file makes its last list stale; a valid file replaces that list.
            file.write_text(f"{site.servers[2].address} weigth=2\n")
            await wait_until(lambda: node.membership.additional_sources.file_sources[f"file:{file}"].problem)
            assert site.in_service() == {1, 2}
            file.write_text(f"{site.servers[2].address}\n")
            await wait_until(lambda: site.in_service() == {2})

    run(test())


INVALID_FILES = [
    ('[[sources.srv]]\nname = "a..b"\n', "sources.srv[0].name"),
    (f'[[sources.srv]]\nname = "{NAME}"\n', "no DNS server"),
    (f'[sources]\nresolvers = ["localhost:53"]\n[[sources.srv]]\nname = "{NAME}"\n', "IP-ADDRESS:PORT"),
    ('[[sources.file]]\npath = "/nowhere/boxes"\n', "/nowhere/boxes: No such file"),
    ('[sources]\nwatch = false\n', "leaves no source"),
    ('[sources]\nmas = 0.3\n', "allowed:"),
    ('[sources]\nkeep = "/nowhere/kept"\n', "is not a directory"),
    ('[sources]\noverflow_enter = 0.8\n', "below overflow_leave"),
]  # fmt: skip


@pytest.mark.parametrize(("text", "problem"), INVALID_FILES, ids=[str(n) for n in range(len(INVALID_FILES))])
def test_an_invalid_file_is_reported_in_one_line_that_names_the_key_with_status_2(tmp_path, text, problem):
    path = tmp_path / "operators.toml"
    path.write_text(text)
    done = subprocess.run(
        [sys.executable, "-m", "harecross", "sources", "check", str(path)],
        capture_output=True,
        text=True,
        timeout=TEST_TIMEOUT_S,
    )
    assert done.returncode == 2 and problem in done.stderr and len(done.stderr.splitlines()) == 1, done.stderr
    assert str(path) in done.stderr


def test_a_node_process_reloads_its_file_on_sighup_and_explains_its_endpoints(tmp_path):
    """Uses the node as an operator does: as a process, with its file, SIGHUP and the command line."""

    async def test() -> None:
        async with running_site(3) as site:
            site.set_srv_records(0, 1)
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

            admin_address = await logged("door: listening on")

            async def explain(*words: str) -> tuple[int, str]:
                done = await asyncio.to_thread(
                    subprocess.run,
                    [sys.executable, "-m", "harecross", "sources", "explain", *words, "--at", admin_address],
                    capture_output=True, text=True,
                )  # fmt: skip
                return done.returncode, done.stdout + done.stderr

            async def wait_for_endpoints(count: int) -> None:
                reply: dict = {"boxes": []}
                while len(reply["boxes"]) != count:
                    reply = json.loads((await explain("--json"))[1])

            await wait_for_endpoints(2)
            code, out = await explain(site.servers[0].address)
            assert code == 0
            assert "line 2" in out
            assert f"srv:{NAME}" in out
            assert (await explain("nobody"))[0] == 1
            extra = tmp_path / "boxes"
            extra.write_text(f"{site.servers[2].address}\n")
            path.write_text(text + f'[[sources.file]]\npath = "{extra}"\n')
            node.send_signal(signal.SIGHUP)
            await wait_for_endpoints(3)
            path.write_text("[sources]\nwrong = 1\n")
            node.send_signal(signal.SIGHUP)
            await logged("sources not changed")
            node.kill()
            await node.wait()
            assert "Traceback" not in "".join(log)

    run(test())


def test_the_control_service_publishes_the_endpoints_of_srv_names_and_reloads_the_names(tmp_path):
    grpc = pytest.importorskip("grpc")
    from harecross.standins.xds import DRAINING, XdsProxy
    from harecross.xds.config import read_control
    from harecross.xds.service import ControlService

    async def test() -> None:
        async with running_site(4) as site:
            site.set_srv_records(0, 1)
            other_name = "_more._tcp.site3.example.org"
            site.dns.set_records(
                f"{other_name}.",
                "SRV",
                f"0 1 {site.servers[1].port} box1.{ZONE}",
                f"0 1 {site.servers[2].port} box2.{ZONE}",
            )
            path = tmp_path / "control.toml"
            head = '[control]\nlisten = "127.0.0.1:0"\ninterval_s = 0.1\n[clusters.readings]\n'
            probe = '[clusters.readings.probe]\nkind = "tcp"\ninterval_s = 0.2\n'

            def write(*names: str) -> None:
                path.write_text(
                    f'{head}srv = {json.dumps(names)}\nresolvers = ["{site.dns.address}"]\n{probe}'
                )

            write(NAME)
            service = ControlService(path, read_control(path))
            task = asyncio.create_task(service.run())
            await service.ready.wait()
            channel = grpc.aio.insecure_channel(f"127.0.0.1:{service.server.port}")
            proxy = XdsProxy(channel).start()

            def has(*indices: int):
                return lambda p: (
                    {t.name for t in p.endpoints("readings") if t.health != DRAINING}
                    == {site.servers[i].address for i in indices}
                )

            await proxy.until(has(0, 1))
            endpoint_counts = []
            proxy.on_response = lambda p, type_url, names: endpoint_counts.append(
                len(p.endpoints("readings"))
            )
            write(NAME, other_name)
            service.reload()
            await proxy.until(has(0, 1, 2))
            site.set_srv_records(0, 3)  # the other SRV name still lists server 1
            await proxy.until(has(0, 1, 2, 3))
            write(other_name)
            service.reload()
            await proxy.until(has(1, 2))
            assert min(endpoint_counts) >= 2, "the proxy got a list with too few endpoints"
            path.write_text(f'{head}srv = "a..b"\nresolvers = ["{site.dns.address}"]\n')
            service.reload()
            await asyncio.sleep(0)
            assert set(service.publisher_loop.feeds) == {"readings"}
            await proxy.stop()
            await channel.close()
            service.stop.set()
            await task

    run(test())
