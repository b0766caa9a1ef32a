"""Tests of the access rules of the control service, its status command and its configuration file."""

from __future__ import annotations

import asyncio
import json
import os
import signal
from pathlib import Path

import pytest

grpc = pytest.importorskip("grpc")

from control_support import (  # noqa: E402
    control_site,
    fail_on_unexpected_child_signal,  # noqa: F401
    health,
    run_command,
)
from node_support import run  # noqa: E402

from harecross.operators import OperatorsFileError  # noqa: E402
from harecross.standins.xds import ASSIGNMENT, CLUSTER, XdsProxy  # noqa: E402
from harecross.xds.config import read_control  # noqa: E402


@pytest.mark.parametrize("workers", [1, 2])
def test_clients_see_what_their_certificate_allows_and_changed_files_apply_without_a_restart(
    tmp_path, workers
):
    trustme = pytest.importorskip("trustme")

    async def body() -> None:
        async with control_site(tmp_path) as site:
            await site.add_cluster("orders")
            await site.add_cluster("stock", 2)
            ours, theirs = trustme.CA(), trustme.CA()

            def install_certificates(ca) -> None:
                server = ca.issue_cert("127.0.0.1")
                server.cert_chain_pems[0].write_to_path(tmp_path / "server.pem")
                server.private_key_pem.write_to_path(tmp_path / "server.key")
                ca.cert_pem.write_to_path(tmp_path / "ca.pem")

            def channel(ca, name: str | None):
                pair = (None, None)
                if name is not None:
                    cert = ca.issue_cert(name)
                    pair = (cert.private_key_pem.bytes(), cert.cert_chain_pems[0].bytes())
                credentials = grpc.ssl_channel_credentials(ca.cert_pem.bytes(), *pair)
                options = [("grpc.use_local_subchannel_pool", 1)]
                return grpc.aio.secure_channel(
                    f"127.0.0.1:{site.service.server.port}", credentials, options=options
                )

            install_certificates(ours)
            named = (("certificate", "server.pem"), ("key", "server.key"), ("client_ca", "ca.pem"))
            files = "\n".join(f'{k} = "{tmp_path / f}"' for k, f in named)
            await site.start_service(
                more=f'[tls]\n{files}\n[clients]\n"*.partner.example" = ["orders"]\n"edge.example" = ["*"]',
                control=f'status = ["edge.example"]\nworkers = {workers}',
            )

            async def visible_clusters(ca, name: str | None) -> set[str] | str:
                """Returns the clusters that a client with this certificate is sent, or the status of its stream."""
                async with channel(ca, name) as c:
                    proxy = XdsProxy(c).start()
                    try:
                        await proxy.until(
                            lambda proxy: proxy.error is not None or bool(proxy.accepted[ASSIGNMENT])
                        )
                        return (
                            proxy.error.code().name
                            if proxy.error is not None
                            else set(proxy.accepted[CLUSTER])
                        )
                    finally:
                        await proxy.stop()

            assert await visible_clusters(ours, "a.partner.example") == {"orders"}
            assert await visible_clusters(ours, "edge.example") == {"orders", "stock"}
            assert await visible_clusters(ours, "nobody.example") == "PERMISSION_DENIED"
            assert await visible_clusters(ours, None) == "UNAVAILABLE"
            assert await visible_clusters(theirs, "edge.example") == "UNAVAILABLE"
            # Changed rules apply to open streams.
            rules = site.path.read_text()
            async with channel(ours, "edge.example") as c:
                open_proxy = XdsProxy(c).start()
                await open_proxy.until(lambda proxy: len(proxy.accepted[CLUSTER]) == 2)
                site.path.write_text(rules.replace('"edge.example" = ["*"]', '"edge.example" = ["stock"]'))
                os.kill(os.getpid(), signal.SIGHUP)
                await open_proxy.until(lambda proxy: set(proxy.accepted[CLUSTER]) == {"stock"})
                site.path.write_text(rules)
                os.kill(os.getpid(), signal.SIGHUP)
                await open_proxy.until(
                    lambda proxy: len(proxy.accepted[CLUSTER]) == 2 and open_proxy.streams == 1
                )
                await open_proxy.stop()
            install_certificates(theirs)
            assert await visible_clusters(theirs, "edge.example") == {"orders", "stock"}
            assert await visible_clusters(ours, "edge.example") == "UNAVAILABLE"
            for name, word in (("edge.example", "streams"), ("a.partner.example", "PERMISSION_DENIED")):
                cert = theirs.issue_cert(name)
                cert.private_key_pem.write_to_path(tmp_path / "me.key")
                cert.cert_chain_pems[0].write_to_path(tmp_path / "me.pem")
                code, out = await run_command(
                    "control", "status", "--address", f"127.0.0.1:{site.service.server.port}",
                    "--ca", tmp_path / "ca.pem", "--cert", tmp_path / "me.pem", "--key", tmp_path / "me.key",
                )  # fmt: skip
                assert word in out
                assert code == (0 if word == "streams" else 1)

    run(body())


def test_status_shows_what_each_proxy_accepted_or_refused_and_why(tmp_path):
    async def body() -> None:
        async with control_site(tmp_path) as site:
            await site.add_cluster("orders")
            await site.start_service()
            good = XdsProxy(site.channel, node="good").start()
            bad = XdsProxy(site.channel, node="bad", delta=True)
            bad.rejection_reason = lambda t, names: "no such locality" if t == ASSIGNMENT else ""
            bad.start()
            await good.until(lambda proxy: len(health(proxy)) == 3)
            await bad.until(lambda proxy: any(t == ASSIGNMENT for t, _, _ in proxy.responses))
            address = f"127.0.0.1:{site.service.server.port}"
            while True:
                code, out = await run_command("control", "status", "--address", address, "--json", "-")
                rows = {r["node"]: r for r in json.loads(out)["proxies"]}
                states = {n: {t["type"]: t for t in r["types"]} for n, r in rows.items()}
                if "EDS" in states.get("bad", {}) and states["bad"]["EDS"]["reason"]:
                    break
            assert code == 0
            assert states["good"]["EDS"]["state"] == "SYNCED"
            assert states["bad"]["EDS"]["state"] == "ERROR"
            assert states["bad"]["EDS"]["reason"] == "no such locality"
            code, out = await run_command("control", "status", "--address", address)
            assert code == 0
            assert "no such locality" in out
            assert "SYNCED" in out
            await good.stop()
            await bad.stop()
            await site.stop_service()
            code, out = await run_command("control", "status", "--address", address)
            assert code == 1
            assert "UNAVAILABLE" in out
            assert len(out.splitlines()) <= 2

    run(body())


@pytest.mark.parametrize(
    ("text", "words"),
    [
        ("", ["clusters"]),
        ("[clusters]", ["clusters", "at least one"]),
        ('[clusters.a]\ndiscovery = "nowhere"', ["clusters.a.discovery", "HOST:PORT"]),
        ('[clusters.a]\ndiscovery = "h:1"\ncolour = 1', ["colour", "allowed", "calls_per_server"]),
        (
            '[clusters.a]\ndiscovery = "h:1"\n[control]\nlisten = "0.0.0.0:1"',
            ["control.listen", "not loopback"],
        ),
        ('[clusters.a]\ndiscovery = "h:1"\n[control]\ninterval_s = 0', ["interval_s", ">= 0.01"]),
        ('[clusters.a]\ndiscovery = "h:1"\n[clients]\nx = ["a"]', ["clients", "[tls]"]),
        (
            '[clusters.a]\ndiscovery = "h:1"\n[tls]\ncertificate = "none"\nkey = "none"',
            ["tls.certificate", "not a file"],
        ),
        ("[clusters", ["not TOML", "at end of document"]),
    ],
)
def test_an_invalid_file_is_reported_in_one_line(tmp_path, text, words):
    path = tmp_path / "control.toml"
    path.write_text(text)
    with pytest.raises(OperatorsFileError) as e:
        read_control(path)
    assert str(path) in str(e.value)
    assert all(w in str(e.value) for w in words)
    assert "\n" not in str(e.value)


def test_the_command_exits_with_status_2_on_an_invalid_file_or_a_port_in_use(tmp_path):
    async def body() -> None:
        path = tmp_path / "control.toml"
        assert await run_command("control", "--config", path) == (
            2,
            f"harecross: {path}: No such file or directory\n",
        )
        code, out = await run_command("control")
        assert code == 2
        assert "--config" in out
        occupying_server = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        port = occupying_server.sockets[0].getsockname()[1]
        path.write_text(f'[control]\nlisten = "127.0.0.1:{port}"\n[clusters.a]\ndiscovery = "127.0.0.1:1"')
        code, out = await run_command("control", "--config", path)
        assert code == 2
        assert "control.listen" in out
        assert "Traceback" not in out
        occupying_server.close()

    run(body())


def test_the_shipped_file_is_valid():
    assert set(read_control(Path(__file__).parent.parent / "deploy" / "control.toml").clusters) == {"orders"}
