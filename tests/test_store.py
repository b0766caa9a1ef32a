"""The store: kills, wrong bytes, full disks, two writers."""

import json
import os
import signal
import sqlite3
import subprocess
import sys
from pathlib import Path

import pytest

from harecross.store.store import MIGRATIONS, Damaged, Fenced, Full, Store, StoreError

ROOT = Path(__file__).parent.parent


def filled(path: Path, count: int = 12) -> None:
    store = Store(str(path))
    for n in range(count):
        store.put("shift", f"s{n % 3}", {"n": n, "text": "x" * 300}, float(n), [{"n": n}, {"why": "y" * 200}])
    store.lease("leader", "one", 0.0, 10.0)
    store.db.execute("PRAGMA wal_checkpoint(TRUNCATE)")
    store.close()


def test_a_writer_killed_at_any_moment_leaves_the_state_and_its_record_together(tmp_path):
    """A process writes as fast as it can and is killed; what it said was written is there, with all that led to it."""
    code = (
        "import sys\nfrom harecross.store.store import Store\n"
        "s = Store(sys.argv[1])\nd = s.get('k', 'x')\nn = d.body['n'] if d else 0\n"
        "while True:\n    n += 1\n    s.put('k', 'x', {'n': n}, 0.0, [{'n': n}])\n    print(n, flush=True)\n"
    )
    path, before = tmp_path / "store", 0
    for round_ in range(6):
        child = subprocess.Popen(
            [sys.executable, "-c", code, str(path)], stdout=subprocess.PIPE, text=True, cwd=ROOT,
        )  # fmt: skip
        said = 0
        for _ in range(3 + 7 * round_):
            said = int(child.stdout.readline())
        child.send_signal(signal.SIGKILL)
        said = max([said, *(int(x) for x in child.stdout.read().split())])
        child.wait()
        store = Store(str(path))
        document, records = store.get("k", "x"), store.records("k", "x")
        assert said <= document.body["n"] <= said + 1 and said > before
        assert [r.body["n"] for r in records] == list(range(1, document.body["n"] + 1))
        store.close()
        before = said


def test_a_wrong_byte_anywhere_is_found_by_name_or_changes_nothing(tmp_path):
    """Every page has some byte of it changed in turn, and the file is cut there: never another content."""
    path, copy = tmp_path / "store", tmp_path / "copy"
    filled(path)
    whole = path.read_bytes()
    store = Store(str(path))
    wanted = list(store.dump())
    store.close()
    found = same = 0
    for at in range(0, len(whole), 61):
        for bad in (whole[:at] + bytes([whole[at] ^ 0x15]) + whole[at + 1 :], whole[:at]):
            for old in tmp_path.glob("copy*"):
                old.unlink()
            copy.write_bytes(bad)
            try:
                store = Store(str(copy))
                got = list(store.dump())
                store.close()
            except StoreError as e:
                assert str(copy) in str(e)
                found += 1
                continue
            same += 1
            assert got == wanted or (at < 100 and got == []), at
    assert found > 100 and same > 20, (found, same)


def test_a_row_that_says_another_thing_is_named(tmp_path):
    path = tmp_path / "store"
    filled(path)
    db = sqlite3.connect(path)
    db.execute("UPDATE documents SET body = replace(body, 'x', 'z') WHERE key = 's1'")
    db.commit()
    db.close()
    with pytest.raises(Damaged, match="document shift s1"):
        Store(str(path))
    done = subprocess.run(
        [sys.executable, "-m", "harecross", "store", "check", str(path)],
        capture_output=True,
        text=True,
        cwd=ROOT,
    )
    assert done.returncode == 1 and "document shift s1" in done.stderr and len(done.stderr.splitlines()) == 1


def test_a_full_store_says_so_and_has_changed_nothing(tmp_path):
    store = Store(str(tmp_path / "store"), pages_most=48)
    wrote = 0
    with pytest.raises(Full):
        for n in range(1000):
            store.put("k", f"x{n}", {"n": n, "text": "x" * 2000}, 0.0, [{"n": n}])
            wrote += 1
    assert wrote > 3 and len(store.keys("k")) == wrote and store.check() == []
    assert len(store.records("k", f"x{wrote - 1}")) == 1 and store.records("k", f"x{wrote}") == []
    store.put("k", "x0", {"n": -1}, 1.0, [{"why": "undone"}], urgent=True)
    assert store.get("k", "x0").body == {"n": -1}, "there is room for what must be written"
    store.close()


def test_records_have_a_bound_and_compacting_gives_room_back(tmp_path, monkeypatch):
    from harecross.store import store as module

    monkeypatch.setattr(module, "RECORDS_MOST", 50)
    store = Store(str(tmp_path / "store"))
    for n in range(120):
        store.put("k", "x", {"n": n}, 0.0, [{"n": n, "text": "x" * 1000}])
    assert [r.body["n"] for r in store.records("k", "x", 500)] == list(range(70, 120))
    before, after = store.compact(5)
    assert after < before and [r.body["n"] for r in store.records("k", "x")] == list(range(115, 120))
    store.close()


def test_one_leads_and_a_leader_paused_past_its_lease_changes_nothing(tmp_path):
    path = str(tmp_path / "store")
    one, two = Store(path), Store(path)
    first = one.lease("leader", "one", 0.0, 10.0)
    assert two.lease("leader", "two", 5.0, 10.0) is None
    assert one.lease("leader", "one", 6.0, 10.0).token == first.token, "renewed, not taken anew"
    second = two.lease("leader", "two", 17.0, 10.0)
    assert second.token > first.token
    with pytest.raises(Fenced):
        one.put("k", "x", {"by": "one"}, 18.0, lease=first)
    two.put("k", "x", {"by": "two"}, 18.0, lease=second)
    assert one.get("k", "x").body == {"by": "two"}
    with pytest.raises(StoreError, match="has changed"):
        one.put("k", "x", {}, 19.0, expect=0)
    # One that comes back after its own lease ran out gets a new token, though its name is the same.
    assert two.lease("leader", "two", 40.0, 10.0).token > second.token
    one.close()
    two.close()


def test_an_old_file_is_migrated_and_a_newer_one_refused(tmp_path):
    path = tmp_path / "store"
    db = sqlite3.connect(path)
    for statement in filter(str.strip, MIGRATIONS[0].split(";")):
        db.execute(statement)
    db.execute("PRAGMA user_version=1")
    db.commit()
    db.close()
    store = Store(str(path))
    assert store.lease("leader", "one", 0.0, 1.0) is not None
    store.db.execute("PRAGMA user_version=99")
    store.close()
    with pytest.raises(StoreError, match="of version 99"):
        Store(str(path))


def test_the_command_checks_dumps_and_compacts(tmp_path):
    path = tmp_path / "store"
    filled(path)

    def run(*words: str) -> tuple[int, str, str]:
        command = [sys.executable, "-m", "harecross", "store", *words]
        done = subprocess.run(command, capture_output=True, text=True, cwd=ROOT)
        return done.returncode, done.stdout, done.stderr

    code, out, _ = run("check", str(path))
    assert code == 0 and "3 shift" in out
    code, out, _ = run("dump", str(path))
    assert code == 0 and len([json.loads(x) for x in out.splitlines()]) == 3 + 24
    assert run("compact", str(path), "--keep", "1")[0] == 0
    assert len(run("dump", str(path))[1].splitlines()) == 6
    code, _, err = run("check", str(tmp_path / "none"))
    assert code == 2 and len(err.splitlines()) == 1
    (tmp_path / "text").write_text("no store, but a text of some length\n" * 100)
    code, _, err = run("check", str(tmp_path / "text"))
    assert code == 1 and "not a database" in err and os.linesep * 2 not in err
