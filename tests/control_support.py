"""A control service with its discovery, servers and proxies on loopback, for tests of the whole service."""

from __future__ import annotations

import asyncio
import subprocess
import sys
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

grpc = pytest.importorskip("grpc")


from harecross.platform.child_process import describe_exit  # noqa: E402
from harecross.standins.discovery import StandinDiscovery, entry  # noqa: E402
from harecross.standins.model import ServerCapacity  # noqa: E402
from harecross.standins.servers import StandinServer  # noqa: E402
from harecross.standins.xds import XdsProxy  # noqa: E402
from harecross.xds.config import read_control  # noqa: E402
from harecross.xds.service import ControlService  # noqa: E402

# The users require that a drain reaches every proxy within this many seconds.
DRAIN_GRACE = 0.25
# The value of `envoy.config.core.v3.HealthStatus.UNHEALTHY`.
UNHEALTHY = 2


@pytest.fixture(autouse=True)
def fail_on_unexpected_child_signal(request, capfd):
    """Fails a test in which a worker crashed or was killed unexpectedly.

    The service replaces a worker that has ended, so without this check the test would pass. A test with "killed" in
    its name may end workers with SIGKILL.
    """
    yield
    out, err = capfd.readouterr()
    sys.stderr.write(err)
    assert "Fatal Python error" not in out + err
    expected_signal = "SIGKILL" if "killed" in request.node.name else "none"
    for line in err.splitlines():
        assert "was ended by" not in line or expected_signal in line, line


def config_text(
    discoveries: dict[str, StandinDiscovery],
    more: str = "",
    control: str = "",
    cluster: str = "",
    probe: str = "http",
) -> str:
    """Returns a configuration with a cluster for each discovery; the other parameters are TOML text to insert."""
    parts = [f'[control]\nlisten = "127.0.0.1:0"\ninterval_s = 0.2\n{control}\n{more}']
    for name, discovery in discoveries.items():
        parts.append(f'[clusters.{name}]\ndiscovery = "{discovery.address}"\n{cluster}')
        parts.append(f'[clusters.{name}.probe]\nkind = "{probe}"\ninterval_s = 0.1\ntimeout_s = 0.2')
    return "\n".join(parts)


class ControlSite:
    """Stand-in discoveries and servers for each cluster, and one control service, all in this process."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.path = folder / "control.toml"
        self.servers: dict[str, StandinServer] = {}
        self.discoveries: dict[str, StandinDiscovery] = {}
        self.service: ControlService | None = None
        self.task: asyncio.Task[None] | None = None
        self.channel = None

    async def add_cluster(self, name: str, servers: int = 3) -> StandinDiscovery:
        discovery = self.discoveries[name] = await StandinDiscovery().start()
        for i in range(servers):
            server = self.servers[f"{name}{i}"] = await StandinServer(f"{name}{i}", ServerCapacity()).start()
            discovery.put(entry(server.name, server.address))
        return discovery

    async def start_service(self, **parts: str) -> ControlService:
        self.path.write_text(config_text(self.discoveries, **parts))
        self.service = ControlService(self.path, read_control(self.path))
        self.task = asyncio.create_task(self.service.run())
        ready = asyncio.create_task(self.service.ready.wait())
        await asyncio.wait([self.task, ready], return_when=asyncio.FIRST_COMPLETED)
        ready.cancel()
        if self.task.done():
            self.task.result()
        self.channel = grpc.aio.insecure_channel(f"127.0.0.1:{self.service.server.port}")
        return self.service

    async def stop_service(self) -> None:
        if self.channel is not None:
            await self.channel.close()
        if self.service is not None:
            self.service.stop.set()
            await self.task
        self.service = self.channel = None

    async def close(self) -> None:
        await self.stop_service()
        for discovery in self.discoveries.values():
            await discovery.stop()
        for server in self.servers.values():
            server.stop()


@asynccontextmanager
async def control_site(folder: Path):
    """Provides a control site and closes it at the end."""
    site = ControlSite(folder)
    try:
        yield site
    finally:
        await site.close()


def health(proxy: XdsProxy, cluster: str = "orders") -> dict[str, int]:
    """Returns the health status of each endpoint that a proxy has, by server name."""
    return {t.name: t.health for t in proxy.endpoints(cluster)}


SERVE_SCRIPT = (
    "import sys; from pathlib import Path; from harecross.xds.service import main; main(Path(sys.argv[1]))"
)


async def start_service_process(path: Path) -> tuple[subprocess.Popen, int]:
    """Starts the service in a process of its own; returns the process and the service's port."""
    started = subprocess.Popen([sys.executable, "-c", SERVE_SCRIPT, str(path)], stderr=subprocess.PIPE)
    while b"listening on port" not in (output := await asyncio.to_thread(started.stderr.readline)):
        assert output, f"the service {describe_exit(started.wait())}"
    return started, int(output.split(b"port ")[1].split(b",")[0])


async def run_command(*args: object) -> tuple[int, str]:
    """Runs `harecross` with these arguments; returns its exit status and output."""
    # uvloop would fork, which runs grpc's fork handlers in the child (see harecross.platform.child_process).
    completed = await asyncio.to_thread(
        subprocess.run,
        [sys.executable, "-m", "harecross", *map(str, args)],
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
    )
    return completed.returncode, completed.stdout.decode()
