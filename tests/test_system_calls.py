"""A real node process whose system calls fail as documented for Linux; the project's fault shim injects the errors."""

from __future__ import annotations

import asyncio
import errno
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
from node_support import Client, ScriptedServer, config_dict, entry, run

from harecross.soak.shim import CUT_SHORT, DELAYED, CallFault, build_shim, shim_environment
from harecross.standins.cluster import NodeProcess
from harecross.standins.discovery import StandinDiscovery
from harecross.standins.http import answer, read_message

ALWAYS = 1000.0  # seconds, longer than any test takes
DEADLINE = 1_000_000  # microseconds


@pytest.fixture(scope="session")
def shim(tmp_path_factory) -> Path:
    built = build_shim(tmp_path_factory.mktemp("shim"))
    if built is None:
        pytest.skip("no C compiler found: the fault shim cannot be built")
    return built


class ClosingOrigin(ScriptedServer):
    """A server that closes its connection after each response while `closes` is set."""

    closes = False

    async def serve(self, reader, writer) -> None:
        try:
            while True:
                await read_message(reader)
                writer.write(answer(200, b"ok", b"Connection: close\r\n" if self.closes else b""))
                if self.closes:
                    writer.close()
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


class FaultyNode:
    """One node process whose system calls fail, with three servers and a discovery."""

    def __init__(self, node: NodeProcess, origins: list[ClosingOrigin], catalog: StandinDiscovery) -> None:
        self.node, self.upstreams, self.discovery_server = node, origins, catalog

    @property
    def pid(self) -> int:
        assert self.node.process is not None
        return self.node.process.pid

    async def request(self, connection: Client | None = None) -> int | None:
        """Sends a request, by default on a new connection, and returns its status; None if that was refused.

        Raises ConnectionError or IncompleteReadError if the request was lost.
        """
        try:
            client = connection or await Client.open(self.node.address)
        except ConnectionRefusedError:
            return None
        client.send("/put/1", key="k", left="900m")
        async with asyncio.timeout(5):
            status = (await client.answer())[0]
        if connection is None:
            client.writer.close()
        return status

    def processor_seconds(self) -> float:
        fields = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / 100

    def tracebacks(self) -> list[str]:
        return [text for text in self.node.log_lines if "Traceback" in text]


@asynccontextmanager
async def faulty_node(
    folder: Path, shim: Path, *faults: CallFault, seed: int = 1, **more: str
) -> AsyncIterator[FaultyNode]:
    origins = [await ClosingOrigin().start() for _ in range(3)]
    catalog = await StandinDiscovery().start()
    catalog.put(*(entry(f"s{i}", o.address) for i, o in enumerate(origins)))
    classes = [
        {
            "name": "put",
            "effect": "guarded",
            "goal_time": DEADLINE,
            "hard_limit": DEADLINE,
            "worth": 1,
            "window": DEADLINE,
        }
    ]
    config = config_dict(
        catalog.address, {"classes": classes}, limits={"sockets": 1024}, known=catalog.full_list(), **more
    )
    node = NodeProcess("n0", folder, config, shim_environment(shim, seed, faults))
    try:
        await node.start(None)
        yield FaultyNode(node, origins, catalog)
    finally:
        await node.end()
        await catalog.stop()


ABORTS = [errno.ECONNABORTED, errno.EPROTO, errno.EPERM]
SHORTAGES = [errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM]


async def send_during_shutdown(faulty: FaultyNode) -> None:
    """Sends requests on new connections from SIGTERM until the node refuses them; asserts that none is lost."""
    lost, answered = [], []

    async def one() -> None:
        try:
            status = await faulty.request()
        except (ConnectionError, asyncio.IncompleteReadError) as e:
            lost.append(e)
        else:
            answered.append(status)

    tasks = [asyncio.create_task(one())]
    faulty.node.signal(signal.SIGTERM)
    process = faulty.node.process
    assert process is not None
    while process.returncode is None and None not in answered:
        tasks += [asyncio.create_task(one()) for _ in range(8)]
        await asyncio.sleep(0.01)
    await asyncio.gather(*tasks)
    assert not lost, f"{len(lost)} of {len(tasks)}: {lost[0]!r}"
    assert sum(s is not None for s in answered) > 50
    assert not faulty.tracebacks()


@pytest.mark.parametrize("error", ABORTS + SHORTAGES, ids=errno.errorcode.get)
def test_a_failing_accept_during_shutdown_resets_no_connection_of_the_backlog(error, shim, tmp_path):
    async def test() -> None:
        async with faulty_node(tmp_path, shim, CallFault("accept", error, 0.8, 0, ALWAYS)) as faulty:
            await send_during_shutdown(faulty)

    run(test())


def test_a_shutdown_resets_no_connection_between_its_last_accept_and_the_close(shim, tmp_path):
    """Guards against connections in the listen backlog, which the kernel resets when the listening socket closes."""

    async def test() -> None:
        fault = CallFault("close_listener", DELAYED, 1.0, 0, ALWAYS)
        async with faulty_node(tmp_path, shim, fault) as faulty:
            await send_during_shutdown(faulty)

    run(test())


@pytest.mark.parametrize("error", SHORTAGES, ids=errno.errorcode.get)
def test_a_shortage_at_accept_uses_no_processor_time_and_open_connections_are_served(error, shim, tmp_path):
    async def test() -> None:
        # The shortage begins after the start, when the connection that is served throughout is already open.
        async with faulty_node(tmp_path, shim, CallFault("accept", error, 1.0, 2.0, 5.0)) as faulty:
            connection = await Client.open(faulty.node.address)
            assert await faulty.request(connection) == 200
            await asyncio.sleep(2.1)
            waiting = asyncio.create_task(faulty.request())
            await asyncio.sleep(0.1)
            before = faulty.processor_seconds()
            for _ in range(10):
                assert await faulty.request(connection) == 200
                await asyncio.sleep(0.1)
            assert not waiting.done()
            assert faulty.processor_seconds() - before < 0.5, "over more than a second of wall time"
            assert await waiting in (200, 503)

    run(test())


@pytest.mark.parametrize("error", [errno.ENOBUFS, errno.EINVAL], ids=errno.errorcode.get)
def test_a_socket_option_that_cannot_be_set_loses_no_request(error, shim, tmp_path):
    async def test() -> None:
        async with faulty_node(tmp_path, shim, CallFault("setsockopt", error, 0.4, 1.0, ALWAYS)) as faulty:
            await asyncio.sleep(1.0)
            for _ in range(6):
                answers = await asyncio.gather(*(faulty.request() for _ in range(40)))
                assert set(answers) <= {200, 503}
                assert answers.count(200) > 20
            assert not faulty.tracebacks()

    run(test())


async def admin_call(node: NodeProcess, method: str, path: str, body: str = "") -> tuple[int, str]:
    """Makes one call to the node's admin server and returns its status and text."""
    (text,) = [text for text in node.log_lines if text.startswith("door: listening on ")]
    host, _, port = text.rpartition(" ")[2].rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(f"{method} {path} HTTP/1.1\r\nHost: d\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
    async with asyncio.timeout(5):
        head, text = await read_message(reader)
    writer.close()
    return int(head.split(b" ")[1]), text.decode()


@pytest.mark.parametrize("call", ["write_file", "fsync"])
@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO], ids=errno.errorcode.get)
def test_maintenance_survives_a_kill_and_a_change_that_cannot_be_written_is_refused(
    call, error, shim, tmp_path
):
    async def test() -> None:
        origins = [await ClosingOrigin().start() for _ in range(2)]
        catalog = await StandinDiscovery().start()
        catalog.put(*(entry(f"s{i}", o.address) for i, o in enumerate(origins)))
        config = config_dict(catalog.address, admin="127.0.0.1:0", known=catalog.full_list())
        state_folder = tmp_path / "lasting"
        state_folder.mkdir()
        faults = shim_environment(shim, 1, [CallFault(call, error, 1.0, 1.5, ALWAYS)])
        first = NodeProcess("n0", tmp_path, config, {**faults, "TMPDIR": str(state_folder)})
        second = NodeProcess("n0", tmp_path, config, {"TMPDIR": str(state_folder)})
        try:
            await first.start(None)
            assert (await admin_call(first, "POST", "/maintenance/enter", "s0"))[0] == 200
            await asyncio.sleep(1.6)
            status, text = await admin_call(first, "POST", "/maintenance/enter", "s1")
            assert status == 500
            assert "cannot be written" in text
            assert (await admin_call(first, "GET", "/status"))[1] == "active; servers out: s0\n"
            await first.end()
            await second.start(None)
            assert (await admin_call(second, "GET", "/status"))[1] == "active; servers out: s0\n"
            assert (await admin_call(second, "POST", "/maintenance/exit", "s0"))[0] == 200
        finally:
            await first.end()
            await second.end()
            await catalog.stop()

    run(test())


@pytest.mark.parametrize("error", ABORTS + SHORTAGES, ids=errno.errorcode.get)
def test_the_admin_server_answers_again_after_accept_has_failed(error, shim, tmp_path):
    async def test() -> None:
        fault = CallFault("accept", error, 0.9, 1.0, 2.0)
        async with faulty_node(tmp_path, shim, fault, admin="127.0.0.1:0") as faulty:
            await asyncio.sleep(1.0)
            for _ in range(5):
                assert (await admin_call(faulty.node, "GET", "/status"))[0] == 200

    run(test())


# Each entry holds the system call, its error, and whether this machine rather than the server is the cause.
CONNECT_FAILURES = [
    ("connect", errno.EADDRNOTAVAIL, True),
    ("connect", errno.ENETUNREACH, True),
    ("connect", errno.ENOBUFS, True),
    ("socket", errno.ENFILE, True),
    ("socket", errno.ENOBUFS, True),
    ("connect", errno.ETIMEDOUT, False),
    ("connect", errno.EHOSTUNREACH, False),
]


@pytest.mark.parametrize(
    ("call", "error", "local"), CONNECT_FAILURES, ids=lambda v: str(errno.errorcode.get(v, v))
)
def test_a_failing_connect_loses_no_request_and_ejects_no_server_for_a_local_shortage(
    call, error, local, shim, tmp_path
):
    """Servers close after each response, so every request needs a new connection; a third of the connects fail."""

    async def test() -> None:
        async with faulty_node(tmp_path, shim, CallFault(call, error, 0.33, 2.0, 5.0)) as faulty:
            for origin in faulty.upstreams:
                origin.closes = True
            client = await Client.open(faulty.node.address)
            answers = []
            loop = asyncio.get_running_loop()
            began = loop.time()
            while loop.time() < began + 5.0:
                answers.append(await faulty.request(client))
                await asyncio.sleep(0.01)
            assert set(answers) <= {200, 503} and answers.count(200) > 0.9 * len(answers), answers.count(200)
            assert not local or not any("eject" in text for text in faulty.node.log_lines), (
                faulty.node.log_lines
            )
            assert not faulty.tracebacks()

    run(test())


@pytest.mark.parametrize("call", ["read", "write"])
def test_short_reads_and_writes_change_nothing(call, shim, tmp_path):
    async def test() -> None:
        async with faulty_node(tmp_path, shim, CallFault(call, CUT_SHORT, 0.5, 0, ALWAYS)) as faulty:
            client = await Client.open(faulty.node.address)
            for _ in range(100):
                assert await faulty.request(client) == 200

    run(test())
