"""The handover store: maintenance state that outlives a process, and the locks of live processes."""

from __future__ import annotations

import errno
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from harecross.node.handover_store import HandoverStore
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
