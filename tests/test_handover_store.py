"""The handover store: maintenance state that outlives a process, and the locks of live processes."""

from __future__ import annotations

import errno
import os
import signal
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest

from harecross.node import handover_store
from harecross.node.handover_store import HandoverStore, ProcessPhase
from harecross.node.maintenance import MaintenanceState

ROOT = Path(__file__).parent.parent


def test_two_stores_of_one_node_keep_each_others_changes(tmp_path):
    one, two = HandoverStore(str(tmp_path), "n/0"), HandoverStore(str(tmp_path), "n/0")
    one.update(lambda maintenance: maintenance.with_server("a"))
    two.update(lambda maintenance: maintenance.with_server("b").with_standby(standby=True))
    one.update(lambda maintenance: maintenance.without_server("a"))
    assert not one.refresh()
    assert two.refresh()
    assert one.maintenance == two.maintenance == MaintenanceState(frozenset("b"), True)
    assert HandoverStore(str(tmp_path), "other").refresh() is False


def test_a_malformed_maintenance_file_changes_nothing(tmp_path, capfd):
    store = HandoverStore(str(tmp_path), "n0")
    store.update(lambda maintenance: maintenance.with_server("a"))
    assert store.maintenance_path is not None
    for bad in (b"", b"[]", b'{"out": 1, "standby": false}', b'{"out": [], "standby": 1}'):
        store.maintenance_path.unlink()
        store.maintenance_path.write_bytes(bad)
        assert not store.refresh()
        assert store.maintenance.servers == {"a"}
    assert capfd.readouterr().err.count("cannot be read") == 4


def test_process_locks_count_live_processes_and_a_killed_ones_lock_is_removed(tmp_path):
    script = (
        "import sys, time; from harecross.node.handover_store import HandoverStore; "
        "s = HandoverStore(sys.argv[1], 'n0'); s.acquire_process_lock(); print('locked', flush=True); time.sleep(60)"
    )
    store = HandoverStore(str(tmp_path), "n0")
    store.acquire_process_lock()
    assert store.other_processes() == 0
    other = subprocess.Popen(
        [sys.executable, "-c", script, str(tmp_path)], cwd=ROOT, stdout=subprocess.PIPE, text=True
    )
    try:
        assert other.stdout is not None
        assert other.stdout.readline() == "locked\n"
        assert store.other_processes() == 1
        assert HandoverStore(str(tmp_path), "n1").other_processes() == 0
    finally:
        other.kill()
        other.wait()
        other.stdout.close()
    assert store.other_processes() == 0
    # The lock file of the killed process is removed.
    assert len([name for name in os.listdir(tmp_path) if "life" in name]) == 1
    store.release_process_lock()
    assert not os.listdir(tmp_path)


def locked_store(folder: Path, phase: ProcessPhase | None = None) -> HandoverStore:
    """Returns the store of a live process of node n0 in the given phase."""
    store = HandoverStore(str(folder), "n0")
    store.acquire_process_lock()
    if phase is not None:
        store.publish(phase)
    return store


@pytest.mark.parametrize(
    ("phase", "accepts"),
    [(None, False), (ProcessPhase.ACCEPTING, True), (ProcessPhase.LEAVING, False)],
    ids=["starting", "accepting", "leaving"],
)
def test_the_listening_socket_is_left_only_to_a_process_that_says_that_it_accepts(phase, accepts, tmp_path):
    """Guards against a process that leaves the socket to one that does not accept yet, or no more."""
    other, own = locked_store(tmp_path, phase), locked_store(tmp_path, ProcessPhase.ACCEPTING)
    assert own.leave_listener() is accepts
    assert own.another_is_starting() is (phase is None)
    assert own.other_processes() == 1
    assert not other.leave_listener()
    for store in (own, other):
        store.release_process_lock()


def test_of_two_processes_that_leave_at_once_one_goes_on_accepting(tmp_path):
    """Guards against two processes that each leave the socket to the other."""
    stores = [locked_store(tmp_path, ProcessPhase.ACCEPTING) for _ in range(2)]
    with ThreadPoolExecutor(len(stores)) as pool:
        assert sorted(pool.map(HandoverStore.leave_listener, stores)) == [False, True]
    for store in stores:
        store.release_process_lock()


def test_a_process_of_an_earlier_version_counts_as_accepting(tmp_path):
    """Guards against an upgrade by which the old process and the new one both drain; its lock file is empty."""
    earlier, own = locked_store(tmp_path), locked_store(tmp_path, ProcessPhase.ACCEPTING)
    assert earlier.process_lock is not None
    os.ftruncate(earlier.process_lock, 0)
    assert own.leave_listener()
    for store in (own, earlier):
        store.release_process_lock()


def test_leaving_without_a_lock_on_the_folder_is_logged_and_goes_on(tmp_path, capfd, monkeypatch):
    """Guards against a shutdown that ends with an exception because the disk is full."""
    other, own = (locked_store(tmp_path, ProcessPhase.ACCEPTING) for _ in range(2))

    def fail(*_: object) -> int:
        raise OSError(errno.ENOSPC, "No space left on device")

    with monkeypatch.context() as patch:
        patch.setattr(handover_store, "exclusive_lock", fail)
        assert own.leave_listener()
    assert "No space left on device" in capfd.readouterr().err
    for store in (own, other):
        store.release_process_lock()


@pytest.mark.parametrize("call", ["write", "fsync", "replace"])
@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO], ids=errno.errorcode.get)
def test_an_update_that_cannot_be_written_raises_and_leaves_the_old_state(call, error, tmp_path, monkeypatch):
    store = HandoverStore(str(tmp_path), "n0")
    store.update(lambda maintenance: maintenance.with_server("a"))
    written = []

    def failing(*args):
        written.append(args)
        if call == "write" and len(written) == 1:
            return real(args[0], args[1][:3])  # the first write is partial, as on a disk that fills up
        raise OSError(error, os.strerror(error))

    real = getattr(os, call)
    monkeypatch.setattr(os, call, failing)
    with pytest.raises(OSError, match=os.strerror(error)):
        store.update(lambda maintenance: maintenance.with_server("b"))
    monkeypatch.undo()
    assert written
    assert store.maintenance.servers == {"a"}
    assert not store.refresh()
    after = HandoverStore(str(tmp_path), "n0")
    assert after.refresh()
    assert after.maintenance.servers == {"a"}
    assert not list(tmp_path.glob("*.new")), (
        "the temporary file must be removed, to leave space for the next update"
    )
    store.update(lambda maintenance: maintenance.with_server("b"))
    assert after.refresh()
    assert after.maintenance.servers == {"a", "b"}


def test_a_kill_at_any_step_of_an_update_leaves_the_old_state_or_the_new_one(tmp_path):
    """The process is killed during and before the write, before the fsync, and before the rename."""
    script = (
        "import os, signal, sys\n"
        "from harecross.node.handover_store import HandoverStore\n"
        "store = HandoverStore(sys.argv[1], 'n0')\n"
        "name, half = sys.argv[2], sys.argv[3] == 'half'\n"
        "real = getattr(os, name)\n"
        "def kill(*args):\n"
        "    if half: real(args[0], args[1][:5])\n"
        "    os.kill(os.getpid(), signal.SIGKILL)\n"
        "setattr(os, name, kill)\n"
        "store.update(lambda maintenance: maintenance.with_server('b'))\n"
    )
    HandoverStore(str(tmp_path), "n0").update(lambda maintenance: maintenance.with_server("a"))
    for call, how in (("write", "half"), ("write", ""), ("fsync", ""), ("replace", "")):
        command = [sys.executable, "-c", script, str(tmp_path), call, how]
        assert subprocess.run(command, cwd=ROOT).returncode == -signal.SIGKILL
        store = HandoverStore(str(tmp_path), "n0")
        assert store.refresh()
        assert store.maintenance.servers == {"a"}
    store.update(lambda maintenance: maintenance.with_server("c"))
    assert store.maintenance.servers == {"a", "c"}
