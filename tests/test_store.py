"""Tests the store with killed writers, damaged files, a full store and two writers."""

import json
import os
import signal
import sqlite3
import subprocess
import sys
from pathlib import Path

import pytest

from harecross.store import documents
from harecross.store.database import MIGRATIONS
from harecross.store.errors import DamagedError, FencedError, FullError, StoreError
from harecross.store.store import Store

ROOT = Path(__file__).parent.parent

ENDLESS_WRITER = """
import sys
from harecross.store.store import Store
store = Store(sys.argv[1])
document = store.get("k", "x")
number = document.body["n"] if document else 0
while True:
    number += 1
    store.put("k", "x", {"n": number}, 0.0, [{"n": number}])
    print(number, flush=True)
"""


def fill(path: Path, count: int = 12) -> None:
    """Writes three documents with their records, and a lease."""
    store = Store(str(path))
    for number in range(count):
        body = {"n": number, "text": "x" * 300}
        store.put("shift", f"s{number % 3}", body, float(number), [{"n": number}, {"why": "y" * 200}])
    store.acquire_lease("leader", "one", 0.0, 10.0)
    store.database.connection.execute("PRAGMA wal_checkpoint(TRUNCATE)")
    store.close()


def run_command(*words: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "harecross", "store", *words]
    return subprocess.run(command, capture_output=True, text=True, cwd=ROOT)


def test_a_writer_killed_at_any_moment_leaves_the_document_and_its_records_together(tmp_path):
    """A process writes as fast as it can and is killed. All writes that it has reported are in the store."""
    path, previous = tmp_path / "store", 0
    for round_number in range(6):
        child = subprocess.Popen(
            [sys.executable, "-c", ENDLESS_WRITER, str(path)], stdout=subprocess.PIPE, text=True, cwd=ROOT,
        )  # fmt: skip
        reported = 0
        for _ in range(3 + 7 * round_number):
            reported = int(child.stdout.readline())
        child.send_signal(signal.SIGKILL)
        reported = max([reported, *(int(line) for line in child.stdout.read().split())])
        child.wait()
        store = Store(str(path))
        document, records = store.get("k", "x"), store.records("k", "x")
        assert reported <= document.body["n"] <= reported + 1
        assert reported > previous
        assert [record.body["n"] for record in records] == list(range(1, document.body["n"] + 1))
        store.close()
        previous = reported


def test_a_damaged_byte_anywhere_raises_an_error_or_does_not_change_the_content(tmp_path):
    """Changes a byte or truncates the file at every 61st offset.

    The store either raises an error or returns the content that was written. Only a file that is damaged in its first
    100 bytes, the header, may be opened as an empty store.
    """
    path, copy = tmp_path / "store", tmp_path / "copy"
    fill(path)
    undamaged = path.read_bytes()
    store = Store(str(path))
    expected = list(store.dump())
    store.close()
    named = unchanged = 0
    for offset in range(0, len(undamaged), 61):
        flipped = undamaged[:offset] + bytes([undamaged[offset] ^ 0x15]) + undamaged[offset + 1 :]
        for damaged in (flipped, undamaged[:offset]):
            for old in tmp_path.glob("copy*"):
                old.unlink()
            copy.write_bytes(damaged)
            try:
                store = Store(str(copy))
                content = list(store.dump())
                store.close()
            except StoreError as error:
                assert str(copy) in str(error)
                named += 1
                continue
            unchanged += 1
            assert content == expected or (offset < 100 and content == []), offset
    assert named > 100 and unchanged > 20, (named, unchanged)


@pytest.fixture
def file_with_a_changed_row(tmp_path):
    path = tmp_path / "store"
    fill(path)
    db = sqlite3.connect(path)
    db.execute("UPDATE documents SET body = replace(body, 'x', 'z') WHERE key = 's1'")
    db.commit()
    db.close()
    return path


def test_a_row_with_a_wrong_checksum_is_named(file_with_a_changed_row):
    with pytest.raises(DamagedError, match="document shift s1"):
        Store(str(file_with_a_changed_row))


def test_the_check_command_names_a_row_with_a_wrong_checksum(file_with_a_changed_row):
    result = run_command("check", str(file_with_a_changed_row))
    assert result.returncode == 1
    assert "document shift s1" in result.stderr
    assert len(result.stderr.splitlines()) == 1


@pytest.fixture
def full_store(tmp_path):
    """A store of a few pages, and the number of documents that it holds when it is full."""
    store = Store(str(tmp_path / "store"), max_pages=48)
    written = 0
    with pytest.raises(FullError):
        for number in range(1000):
            store.put("k", f"x{number}", {"n": number, "text": "x" * 2000}, 0.0, [{"n": number}])
            written += 1
    yield store, written
    store.close()


def test_a_write_to_a_full_store_changes_nothing(full_store):
    store, written = full_store
    assert written > 3
    assert len(store.keys("k")) == written
    assert store.check() == []
    assert len(store.records("k", f"x{written - 1}")) == 1
    assert store.records("k", f"x{written}") == []


def test_an_urgent_write_takes_the_reserved_space_of_a_full_store(full_store):
    store, _ = full_store
    store.put("k", "x0", {"n": -1}, 1.0, [{"why": "undone"}], urgent=True)
    assert store.get("k", "x0").body == {"n": -1}


@pytest.fixture
def store_with_many_records(tmp_path, monkeypatch):
    """A store with a document that has changed 120 times, while at most 50 records are kept."""
    monkeypatch.setattr(documents, "MAX_RECORDS", 50)
    store = Store(str(tmp_path / "store"))
    for number in range(120):
        store.put("k", "x", {"n": number}, 0.0, [{"n": number, "text": "x" * 1000}])
    yield store
    store.close()


def test_a_document_keeps_a_limited_number_of_records(store_with_many_records):
    records = store_with_many_records.records("k", "x", 500)
    assert [record.body["n"] for record in records] == list(range(70, 120))


def test_compaction_deletes_old_records_and_returns_their_space(store_with_many_records):
    before, after = store_with_many_records.compact(5)
    records = store_with_many_records.records("k", "x")
    assert after < before
    assert [record.body["n"] for record in records] == list(range(115, 120))


@pytest.fixture
def two_stores(tmp_path):
    """Two stores on the same file, as if opened by two processes."""
    path = str(tmp_path / "store")
    one, two = Store(path), Store(path)
    yield one, two
    one.close()
    two.close()


def test_a_lease_has_one_holder_until_it_expires(two_stores):
    one, two = two_stores
    first = one.acquire_lease("leader", "one", 0.0, 10.0)
    assert two.acquire_lease("leader", "two", 5.0, 10.0) is None
    renewed = one.acquire_lease("leader", "one", 6.0, 10.0)
    assert renewed.fencing_token == first.fencing_token
    assert two.acquire_lease("leader", "two", 17.0, 10.0).fencing_token > first.fencing_token


def test_a_holder_paused_past_its_lease_is_fenced(two_stores):
    one, two = two_stores
    first = one.acquire_lease("leader", "one", 0.0, 10.0)
    second = two.acquire_lease("leader", "two", 17.0, 10.0)
    with pytest.raises(FencedError):
        one.put("k", "x", {"by": "one"}, 18.0, lease=first)
    two.put("k", "x", {"by": "two"}, 18.0, lease=second)
    assert one.get("k", "x").body == {"by": "two"}


def test_a_holder_that_returns_after_its_lease_expired_gets_a_new_token(two_stores):
    _, two = two_stores
    first = two.acquire_lease("leader", "two", 17.0, 10.0)
    assert two.acquire_lease("leader", "two", 40.0, 10.0).fencing_token > first.fencing_token


def test_a_write_that_expects_another_version_is_rejected(two_stores):
    one, two = two_stores
    two.put("k", "x", {"by": "two"}, 18.0)
    with pytest.raises(StoreError, match="has changed"):
        one.put("k", "x", {}, 19.0, expected_version=0)


def test_an_old_file_is_migrated(tmp_path):
    path = tmp_path / "store"
    db = sqlite3.connect(path)
    for statement in filter(str.strip, MIGRATIONS[0].split(";")):
        db.execute(statement)
    db.execute("PRAGMA user_version=1")
    db.commit()
    db.close()
    store = Store(str(path))
    assert store.acquire_lease("leader", "one", 0.0, 1.0) is not None
    store.close()


def test_a_file_with_a_newer_schema_version_is_rejected(tmp_path):
    path = tmp_path / "store"
    store = Store(str(path))
    store.database.connection.execute("PRAGMA user_version=99")
    store.close()
    with pytest.raises(StoreError, match="schema version 99"):
        Store(str(path))


def test_the_commands_check_dump_and_compact_a_file(tmp_path):
    path = tmp_path / "store"
    fill(path)
    checked = run_command("check", str(path))
    assert checked.returncode == 0
    assert "3 shift" in checked.stdout
    dumped = run_command("dump", str(path))
    assert dumped.returncode == 0
    assert len([json.loads(line) for line in dumped.stdout.splitlines()]) == 3 + 24
    assert run_command("compact", str(path), "--keep", "1").returncode == 0
    assert len(run_command("dump", str(path)).stdout.splitlines()) == 6


def test_the_check_command_rejects_a_file_that_does_not_exist(tmp_path):
    result = run_command("check", str(tmp_path / "none"))
    assert result.returncode == 2
    assert len(result.stderr.splitlines()) == 1


def test_the_check_command_reports_a_file_that_is_not_a_store(tmp_path):
    (tmp_path / "text").write_text("no store, but a text of some length\n" * 100)
    result = run_command("check", str(tmp_path / "text"))
    assert result.returncode == 1
    assert "not a database" in result.stderr
    assert os.linesep * 2 not in result.stderr
