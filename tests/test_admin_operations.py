"""Operators' calls to one node over loopback: maintenance of servers, standby, malformed and incomplete calls."""

from __future__ import annotations

import asyncio
import errno
import os

import pytest
from admin_support import MultiProcessSite, call_admin, run_with_site
from node_support import entry, line, wait_until

from harecross.downstream import connection_manager
from harecross.node import admin_server
from harecross.node.maintenance import MaintenanceState
from harecross.platform import durable_file


def test_a_change_that_is_written_but_not_synced_is_applied_and_answered_with_500(tmp_path, monkeypatch):
    def failing(folder):
        raise OSError(errno.EIO, os.strerror(errno.EIO))

    async def test(site: MultiProcessSite) -> None:
        async with site.node() as node:
            assert (await call_admin(node, "/maintenance/enter", "s0"))[0] == 200
            monkeypatch.setattr(durable_file, "sync_folder", failing)
            status, text = await call_admin(node, "/maintenance/exit", "s0")
            assert status == 500
            assert b"may undo it" in text
            assert not node.registry.in_maintenance
            assert node.admin_operations.store.maintenance.servers == frozenset()
            monkeypatch.undo()
            assert (await call_admin(node, "/maintenance/enter", "s0"))[0] == 200

    run_with_site(test, tmp_path)


def test_a_server_in_maintenance_gets_no_request_whatever_discovery_lists(tmp_path):
    async def test(site: MultiProcessSite) -> None:
        async with site.node() as node:
            _, watch = await site.discovery_server.watches.get()
            for _ in range(2):  # a repeated call has no further effect
                assert (await call_admin(node, "/maintenance/enter", "s0"))[0] == 200
            site.discovery_server.push(watch, line(42, entry("s0", site.upstreams[0].address)))
            site.discovery_server.push(watch, line(43, *site.entries, reset=True))
            await wait_until(lambda: node.discovery.current.generation == 43)
            assert {await site.send_and_identify_server() for _ in range(12)} == {1}
            # A full list without the server, followed by an update that lists it again, does not end its maintenance.
            site.discovery_server.push(watch, line(44, site.entries[1], reset=True))
            site.discovery_server.push(watch, line(45, site.entries[0]))
            await wait_until(lambda: node.discovery.current.generation == 45)
            assert {await site.send_and_identify_server() for _ in range(12)} == {1}
            assert (await call_admin(node, "/maintenance/exit", "s0\n"))[0] == 200
            await site.wait_until_called(0)

    run_with_site(test, tmp_path, servers=2)


def test_a_server_that_exits_maintenance_warms_up_as_if_just_started(tmp_path):
    async def test(site: MultiProcessSite) -> None:
        async with site.node() as node:
            server = node.dispatcher.balancer.subset.servers
            number = node.registry.numbers["s0"]
            assert server[number].slow_start_until == 0
            await call_admin(node, "/maintenance/enter", "s0")
            assert number not in server or not server[number].listed
            await call_admin(node, "/maintenance/exit", "s0")
            number = node.registry.numbers["s0"]
            slow_start_until = server[number].slow_start_until
            assert slow_start_until > 0
            assert server[number].in_subset
            # An update without a new start time does not restart the slow start.
            _, watch = await site.discovery_server.watches.get()
            site.discovery_server.push(watch, line(42, site.entries[0]))
            await wait_until(lambda: node.discovery.current.generation == 42)
            assert server[number].slow_start_until == slow_start_until
            started = (node.registry.start_times.unix_offset + slow_start_until) // 1000
            site.discovery_server.push(watch, line(43, {**site.entries[0], "startedAtMs": started}))
            await wait_until(lambda: node.discovery.current.generation == 43)
            assert server[number].slow_start_until > slow_start_until

    run_with_site(test, tmp_path)


def test_malformed_admin_calls_are_rejected(tmp_path):
    async def test(site: MultiProcessSite) -> None:
        async with site.node() as node:
            assert (await call_admin(node, "/maintenance/enter", "s9"))[0] == 404
            assert (await call_admin(node, "/maintenance/enter", ""))[0] == 404
            assert (await call_admin(node, "/maintenance/exit", "s9"))[0] == 404
            assert (await call_admin(node, "/maintenance/enter", "s0", "GET"))[0] == 405
            assert (await call_admin(node, "/nothing"))[0] == 404
            assert (await call_admin(node, "/status"))[0] == 200
            assert node.admin_operations.store.maintenance == MaintenanceState()
            reader, writer = await asyncio.open_connection(*node.admin_operations.server.address)
            writer.write(b"\x16\x03\x01 noise\r\n\r\n")
            assert (await reader.read()).startswith(b"HTTP/1.1 400")
            writer.close()

    run_with_site(test, tmp_path)


def test_a_draining_server_can_enter_maintenance_and_is_in_it_when_it_returns(tmp_path):
    async def test(site: MultiProcessSite) -> None:
        async with site.node() as node:
            _, watch = await site.discovery_server.watches.get()
            site.discovery_server.push(watch, line(42, entry("s0", site.upstreams[0].address, "terminating")))
            await wait_until(lambda: node.discovery.current.generation == 42)
            assert (await call_admin(node, "/maintenance/enter", "s0"))[0] == 200
            site.discovery_server.push(watch, line(43, site.entries[0]))
            await wait_until(lambda: node.discovery.current.generation == 43)
            assert {await site.send_and_identify_server() for _ in range(8)} == {1}

    run_with_site(test, tmp_path, servers=2)


def test_incomplete_admin_calls_do_not_block_another_call(tmp_path):
    async def test(site: MultiProcessSite) -> None:
        async with site.node() as node:
            address = node.admin_operations.server.address
            incomplete = [
                await asyncio.open_connection(*address) for _ in range(3 * admin_server.MAX_ADMIN_CONNECTIONS)
            ]
            for i, (_, writer) in enumerate(incomplete):
                writer.write(b"POST /standby HTTP/1.1\r\nContent-Length: 5\r\n\r\nab"[: 3 * i])
            assert (await call_admin(node, "/status"))[0] == 200
            assert len(node.admin_operations.server.open) <= admin_server.MAX_ADMIN_CONNECTIONS
            assert not node.client_connections.in_standby
            for _, writer in incomplete:
                writer.close()

    run_with_site(test, tmp_path)


def test_an_incomplete_admin_call_times_out(tmp_path, monkeypatch):
    monkeypatch.setattr(admin_server, "CALL_TIMEOUT_S", 0.05)

    async def test(site: MultiProcessSite) -> None:
        async with site.node() as node:
            reader, writer = await asyncio.open_connection(*node.admin_operations.server.address)
            writer.write(b"POST /standby HTTP/1.1\r\n")
            with pytest.raises(ConnectionError):
                await reader.read()
                raise ConnectionError  # an orderly close of the connection is accepted as well as a reset
            assert not node.admin_operations.server.open
            writer.close()

    run_with_site(test, tmp_path)


def test_a_change_that_cannot_be_written_is_answered_with_500(tmp_path):
    async def test(site: MultiProcessSite) -> None:
        async with site.node() as node:
            node.admin_operations.store.maintenance_path.with_suffix(".lock").mkdir()
            assert (await call_admin(node, "/maintenance/enter", "s0"))[0] == 500
            assert await site.send_and_identify_server() == 0

    run_with_site(test, tmp_path)


def test_standby_sends_clients_away_and_active_accepts_them_again(tmp_path, monkeypatch):
    monkeypatch.setattr(connection_manager, "STANDBY_DRAIN_US", 100_000)

    async def test(site: MultiProcessSite) -> None:
        async with site.node() as node:
            idle, kept, busy, fresh = [await site.client() for _ in range(4)]
            for client in (idle, kept):
                client.send()
                (await site.upstreams[0].received.get()).answer()
                assert (await client.answer())[0] == 200
            busy.send()
            received = await site.upstreams[0].received.get()
            assert (await call_admin(node, "/standby"))[0] == 200
            assert (await call_admin(node, "/standby"))[0] == 200
            health = await site.client()
            health.send("/_health")
            assert (await health.answer())[0] == 503
            # The kept connection is still served, and its answer says that it will be closed.
            kept.send()
            other = await site.upstreams[0].received.get()
            other.answer()
            status, head, _ = await kept.answer()
            assert status == 200
            assert b"Connection: close" in head
            # Idle connections are closed, including one that never sent a request. The request in flight is answered.
            assert await idle.reader.read() == b""
            assert await fresh.reader.read() == b""
            received.answer()
            status, head, _ = await busy.answer()
            assert status == 200
            assert b"Connection: close" in head
            await wait_until(lambda: not node.client_connections.open)
            assert (await call_admin(node, "/active"))[0] == 200
            back = await site.client()
            back.send("/_health")
            status, head, _ = await back.answer()
            assert status == 200
            assert b"close" not in head
            assert await site.send_and_identify_server() == 0

    run_with_site(test, tmp_path)
