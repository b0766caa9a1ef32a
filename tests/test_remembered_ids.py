"""The IDs of requests that may have run: the table, and the files that the processes of a node share."""

from __future__ import annotations

import errno
import os
from pathlib import Path
from random import Random

import pytest

from harecross.dispatch.remembered_ids import MIN_REMEMBERED_US, RememberedIds
from harecross.node import shared_ids
from harecross.node.handover_store import HandoverStore
from harecross.node.shared_ids import HEADER, SharedIds

SECOND_US = 1_000_000
TABLE_BYTES = 1 << 14


@pytest.mark.parametrize("seed", range(5))
def test_an_id_is_remembered_exactly_as_long_as_its_request_may_have_run(seed):
    """Guards against an ID that is forgotten early, or that keeps a request from running for ever."""
    rng, remembered, now = Random(seed), RememberedIds(1 << 20, 0), 0
    until: dict[bytes, int] = {}
    for _ in range(2_000):
        now += rng.randrange(SECOND_US)
        request_id = b"r%d" % rng.randrange(200)
        if rng.random() < 0.5:
            remembered.request_opened(request_id, now)
            may_have_run = rng.random() < 0.5
            remembered.request_ended(request_id, now, may_have_run=may_have_run)
            until[request_id] = now + MIN_REMEMBERED_US if may_have_run else 0
        assert remembered.may_have_run(request_id, now) == (until.get(request_id, 0) > now)
    assert remembered.evicted == 0


def test_a_full_table_keeps_its_size_and_forgets_what_ends_first():
    """Guards against memory that grows with the number of IDs, and against an open request that is forgotten."""
    remembered = RememberedIds(TABLE_BYTES, 0)
    size = len(remembered.table)
    remembered.request_opened(b"open", 0)
    for number in range(5_000):
        remembered.request_opened(b"r%d" % number, number)
        remembered.request_ended(b"r%d" % number, number, may_have_run=True)
    assert remembered.evicted > 3_000
    assert remembered.may_have_run(b"open", 5_000)
    assert remembered.may_have_run(b"r4999", 5_000)
    assert len(remembered.table) == size


def shared(folder: Path) -> tuple[HandoverStore, RememberedIds]:
    """Returns the table of a new process of the node, whose file is open."""
    store, remembered = HandoverStore(str(folder), "n0"), RememberedIds(TABLE_BYTES, 0)
    store.acquire_process_lock()
    SharedIds(store, remembered).open()
    return store, remembered


def test_each_process_knows_the_ids_of_the_others_and_of_ended_ones(tmp_path):
    """Guards against an ID that runs again because the process that ran it has ended."""
    now = 1_000
    stores, tables = zip(*(shared(tmp_path) for _ in range(3)), strict=True)
    tables[0].request_opened(b"a", now)
    assert [table.may_have_run(b"a", now) for table in tables] == [True, True, True]
    tables[0].request_ended(b"a", now, may_have_run=False)
    assert [table.may_have_run(b"a", now) for table in tables] == [False, False, False]
    tables[0].request_opened(b"b", now)
    tables[0].request_ended(b"b", now, may_have_run=True)
    stores[0].release_process_lock()
    later_store, later = shared(tmp_path)
    assert later.may_have_run(b"b", now)
    assert not later.may_have_run(b"b", now + MIN_REMEMBERED_US)
    for store in (*stores[1:], later_store):
        store.release_process_lock()


def test_the_file_of_an_ended_process_is_removed_once_its_ids_are_forgotten(tmp_path, monkeypatch):
    """Guards against files that use up the memory of the node."""
    clock = [0]
    monkeypatch.setattr(shared_ids, "monotonic_us", lambda: clock[0])
    first, _ = shared(tmp_path)
    store, remembered = HandoverStore(str(tmp_path), "n0"), RememberedIds(TABLE_BYTES, 0)
    store.acquire_process_lock()
    others = SharedIds(store, remembered)
    others.open()
    first.release_process_lock()
    for now, files in ((1, 2), (MIN_REMEMBERED_US, 2), (MIN_REMEMBERED_US + 2, 1)):
        clock[0] = now
        others.refresh()
        assert len(list(tmp_path.glob("*.ids-*"))) == files
    store.release_process_lock()


def test_files_of_another_format_and_a_full_disk_leave_the_process_its_own_ids(tmp_path, monkeypatch, capfd):
    """Guards against a start or a request that fails because of the shared files."""
    (tmp_path / "harecross-n0.ids-other").write_bytes(b"something else")
    (tmp_path / "harecross-n0.ids-short").write_bytes(HEADER)

    def full(*_args: object) -> int:
        raise OSError(errno.ENOSPC, "No space left on device")

    monkeypatch.setattr(Path, "write_bytes", full)
    store, remembered = shared(tmp_path)
    monkeypatch.setattr(os, "pwrite", full)
    remembered.request_opened(b"a", 1)
    assert remembered.may_have_run(b"a", 1)
    assert not remembered.may_have_run(b"b", 1)
    assert "No space left on device" in capfd.readouterr().err
    store.release_process_lock()


def test_the_format_of_the_file_is_pinned(tmp_path):
    """Guards against a format that the other process of an upgrade cannot read."""
    store, remembered = shared(tmp_path)
    remembered.request_opened(b"a", 1)
    assert store.ids_path is not None
    data = store.ids_path.read_bytes()
    # The BLAKE2b digest of "a" in 8 bytes, and the time until which it is remembered in microseconds.
    slot = bytes.fromhex("40f89e395b66422f") + (1 + 1_800_000_000).to_bytes(8, "little")
    assert data == b"harecross-ids 1\n" + bytes(8192) + slot + bytes(TABLE_BYTES - 8192 - len(slot))
    store.release_process_lock()
