"""The endpoint list that a process hands over to the one that replaces it."""

from __future__ import annotations

import errno
import zlib
from pathlib import Path
from time import monotonic

import pytest
from admin_support import MultiProcessSite, run_with_site
from node_support import Node, ScriptedDiscovery, line, wait_until

from harecross.node import handover_store
from harecross.node.handover_store import HandoverStore
from harecross.node.list_handover import MAX_AGE_S, HandedOverList, ListHandover

LIST = {"generation": 8, "reset": True, "instances": [{"instanceId": "s1"}]}


def used(node: Node) -> set[str]:
    """Returns the servers that a process uses."""
    registry = node.registry
    return {name for name, number in registry.numbers.items() if number in registry.listed}


async def drain_and_stop_discovery(site: MultiProcessSite, node: Node, lifecycle: str) -> None:
    """Takes the first server out of discovery's list; then discovery goes down."""
    _, watch = await site.discovery_server.watches.get()
    ScriptedDiscovery.push(watch, line(42, {**site.entries[0], "lifecycle": lifecycle}))
    await wait_until(lambda: used(node) == {"s1"})
    site.discovery_server.server.close()


@pytest.mark.parametrize("lifecycle", ["terminating", "terminated"])
def test_a_process_that_replaces_another_knows_which_servers_have_left_while_discovery_is_down(
    lifecycle, tmp_path
):
    """Guards against requests to a server that the replaced process was told drains."""

    async def test(site: MultiProcessSite) -> None:
        async with site.node() as old:
            await drain_and_stop_discovery(site, old, lifecycle)
            async with site.node() as new:
                assert used(new) == {"s1"}
                assert new.discovery.generation == 42
                async with site.node() as third:  # that list goes on to the next process
                    old.stop_requested.set()
                    assert used(third) == {"s1"}

    run_with_site(test, tmp_path, servers=2)


def test_a_list_that_cannot_be_written_costs_the_handover_alone(tmp_path, monkeypatch):
    """Guards against a process that stops refreshing, or does not start, because the disk is full."""

    def fail(*_: object) -> None:
        raise OSError(errno.ENOSPC, "No space left on device")

    async def test(site: MultiProcessSite) -> None:
        async with site.node() as old:
            await drain_and_stop_discovery(site, old, "terminating")
            monkeypatch.setattr(handover_store.os, "replace", fail)
            async with site.node() as new:
                assert used(new) == {"s0", "s1"}
                assert new.discovery.generation == 41
            assert used(old) == {"s1"}

    run_with_site(test, tmp_path, servers=2)


WRITTEN = HandedOverList("d:1", 12.5, LIST).to_bytes()
UNUSABLE = {
    "empty": b"",
    "torn": WRITTEN[:-5],
    "changed": WRITTEN.replace(b"s1", b"s2"),
    "of a later format": WRITTEN.replace(b"harecross-list 1", b"harecross-list 2"),
    "not an object": b"harecross-list 1 %08x\n7" % zlib.crc32(b"7"),
}


@pytest.mark.parametrize("data", UNUSABLE.values(), ids=UNUSABLE)
def test_a_damaged_list_is_not_used(data):
    """Guards against an endpoint list that no discovery has stated."""
    with pytest.raises((ValueError, KeyError, TypeError)):
        HandedOverList.from_bytes(data)


def test_the_format_of_a_list_stays_readable():
    """Guards against a change that a process of another version cannot read."""
    stored = (
        b"harecross-list 1 8603a99a\n"
        b'{"discovery":"d:1","written_at":12.5,'
        b'"list":{"generation":8,"reset":true,"instances":[{"instanceId":"s1"}]}}'
    )
    assert stored == WRITTEN
    assert HandedOverList.from_bytes(WRITTEN) == HandedOverList("d:1", 12.5, LIST)


def handover_with_file(node: Node, folder: Path, data: bytes) -> tuple[ListHandover, HandoverStore]:
    """Returns a node's handover, and the store of another process of the node that has written a list."""
    assert node.admin_operations is not None
    other = HandoverStore(str(folder), node.config.name)
    other.acquire_process_lock()
    other.write_list(data)
    return node.admin_operations.list_handover, other


@pytest.mark.parametrize(
    ("discovery", "age_s", "usable"),
    [("own", 0.0, True), ("other:1", 0.0, False), ("own", MAX_AGE_S + 1, False), ("own", -1.0, False)],
    ids=["fresh", "of another discovery", "old", "from another boot"],
)
def test_only_a_fresh_list_of_the_same_discovery_and_of_a_running_process_is_used(
    discovery, age_s, usable, tmp_path
):
    """Guards against a list that says nothing of the present servers."""

    async def test(site: MultiProcessSite) -> None:
        async with site.node() as node:
            address = site.discovery_server.address if discovery == "own" else discovery
            data = HandedOverList(address, monotonic() - age_s, LIST).to_bytes()
            handover, other = handover_with_file(node, tmp_path, data)
            assert (handover.read() is not None) is usable
            other.release_process_lock()
            assert handover.read() is None

    run_with_site(test, tmp_path)


def test_a_damaged_list_is_logged_once(tmp_path, capfd):
    """Guards against a log line for each look at the file."""

    async def test(site: MultiProcessSite) -> None:
        async with site.node() as node:
            handover, other = handover_with_file(node, tmp_path, b"damaged")
            assert handover.read() is None
            assert handover.read() is None
            assert capfd.readouterr().err.count("endpoint list not used") == 1
            other.release_process_lock()

    run_with_site(test, tmp_path)
