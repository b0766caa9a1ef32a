"""Documents, the record of how they came to be, and leases with fencing tokens, in one SQLite file.

A document is the latest state of one thing (`kind`, `key`); its records are what led there, oldest first. Both are
written in one transaction, on disk before the call returns (WAL, synchronous=FULL). Each row bears a checksum over
all that it says: SQLite finds a torn page, and not every wrong byte.
"""

from __future__ import annotations

import json
import sqlite3
import zlib
from collections.abc import Iterator, Mapping, Sequence
from contextlib import contextmanager, suppress
from dataclasses import dataclass
from typing import Any

VERSION = 2  # of the schema; `MIGRATIONS[n]` leads from n to n + 1
MIGRATIONS = (
    """
    CREATE TABLE documents (
        kind TEXT, key TEXT, version INTEGER, at REAL, body TEXT, crc INTEGER, PRIMARY KEY (kind, key)
    );
    CREATE TABLE records (
        id INTEGER PRIMARY KEY, kind TEXT, key TEXT, version INTEGER, at REAL, body TEXT, crc INTEGER
    );
    CREATE INDEX records_of ON records (kind, key, id);
    """,
    """
    CREATE TABLE leases (name TEXT PRIMARY KEY, holder TEXT, token INTEGER, until REAL, crc INTEGER);
    """,
)
PAGES_MOST = 1 << 16  # of 4 KiB: 256 MiB
RECORDS_MOST = 10_000  # of one document; older ones go
BODY_MOST = 1 << 20  # bytes of one document or record
RESERVE = 1 << 16  # bytes that stand free for what must be written in a full store
BUSY = 5.0  # seconds to wait for another writer


class StoreError(Exception):
    """The store cannot do that now; nothing has changed. The text is for operators."""


class Damaged(StoreError):
    """What is there is not what was written; the text names what."""


class Full(StoreError):
    """No room, on the disk or within the store's bound."""


class Fenced(StoreError):
    """Somebody else has had the lease since: a writer that was paused past its own changes nothing."""


@dataclass(frozen=True, slots=True)
class Document:
    """`version` counts its changes from 1; `at` is the Unix time of the last."""

    version: int
    at: float
    body: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Lease:
    """The right to change something. `token` grows with each holder; `until` is Unix time."""

    name: str
    holder: str
    token: int
    until: float


def crc(*parts: object) -> int:
    """Of everything that a row says, its place included: a row that strayed to another key is wrong too."""
    return zlib.crc32(json.dumps(parts, separators=(",", ":")).encode())


def text_of(body: Mapping[str, Any]) -> str:
    text = json.dumps(body, sort_keys=True, separators=(",", ":"), allow_nan=False)
    if len(text) > BODY_MOST:
        raise StoreError(f"{len(text)} bytes; {BODY_MOST} at most")
    return text


class Store:
    """One file. Its methods raise StoreError; after one nothing is half done."""

    def __init__(self, path: str, pages_most: int = PAGES_MOST) -> None:
        """Opens the file or makes it, and looks it through. Damaged for one that is not whole; StoreError for one of
        a newer version, or that cannot be opened."""
        self.path = path
        with self.said():
            self.db = sqlite3.connect(path, timeout=BUSY, isolation_level=None)
            try:
                self.open(pages_most)
            except BaseException:
                self.db.close()
                raise

    def open(self, pages_most: int) -> None:
        db = self.db
        db.execute("PRAGMA journal_mode=WAL")
        db.execute("PRAGMA synchronous=FULL")
        db.execute(f"PRAGMA max_page_count={pages_most}")
        found = db.execute("PRAGMA user_version").fetchone()[0]
        if found > VERSION:
            raise StoreError(f"{self.path}: of version {found}; this program knows {VERSION}")
        if found < VERSION:
            db.execute("BEGIN IMMEDIATE")
            # Another process may have migrated it while this one waited.
            found = db.execute("PRAGMA user_version").fetchone()[0]
            for script in MIGRATIONS[found:]:
                for statement in filter(str.strip, script.split(";")):
                    db.execute(statement)
            db.execute(f"PRAGMA user_version={VERSION}")
            db.execute("COMMIT")
        with suppress(StoreError, sqlite3.Error):
            self.keep_reserve()
        wrong = self.check()
        if wrong:
            raise Damaged(f"{self.path}: {'; '.join(wrong[:3])}")

    def keep_reserve(self) -> None:
        """Room that only an urgent write may take. What it took of the log's file on disk stays taken too."""
        if self.db.execute("SELECT 1 FROM documents WHERE kind='_reserve'").fetchone() is None:
            body = text_of({"free": "x" * RESERVE})
            row = ("_reserve", "", 1, 0.0, body, crc("_reserve", "", 1, 0.0, body))
            self.db.execute("INSERT INTO documents VALUES (?,?,?,?,?,?)", row)

    @contextmanager
    def said(self) -> Iterator[None]:
        """SQLite's own errors, told apart and in words."""
        try:
            yield
        except sqlite3.Error as e:
            with suppress(sqlite3.Error, AttributeError):
                if self.db.in_transaction:
                    self.db.execute("ROLLBACK")
            text = f"{self.path}: {e}"
            code = getattr(e, "sqlite_errorname", "") or ""
            if code.startswith(("SQLITE_CORRUPT", "SQLITE_NOTADB")):
                raise Damaged(text) from None
            if code.startswith(("SQLITE_FULL", "SQLITE_IOERR_WRITE")):
                raise Full(text) from None
            raise StoreError(text) from None

    def close(self) -> None:
        with suppress(sqlite3.Error):
            self.db.close()

    # ---- what is kept -----------------------------------------------------------------------------------

    def get(self, kind: str, key: str) -> Document | None:
        """The latest state. Damaged where its checksum does not hold."""
        with self.said():
            row = self.db.execute(
                "SELECT version, at, body, crc FROM documents WHERE kind=? AND key=?", (kind, key)
            ).fetchone()
        return self.whole(f"document {kind} {key}", kind, key, *row) if row is not None else None

    def whole(
        self, what: str, kind: str, key: str, version: int, at: float, body: str, told: int
    ) -> Document:
        if crc(kind, key, version, at, body) != told:
            raise Damaged(f"{self.path}: {what}: its checksum does not hold")
        return Document(version, at, json.loads(body))

    def keys(self, kind: str) -> list[str]:
        with self.said():
            return [
                k for (k,) in self.db.execute("SELECT key FROM documents WHERE kind=? ORDER BY key", (kind,))
            ]

    def records(self, kind: str, key: str, most: int = RECORDS_MOST) -> list[Document]:
        """What led to a document, the oldest first; the last `most` of it."""
        with self.said():
            rows = self.db.execute(
                "SELECT version, at, body, crc FROM records WHERE kind=? AND key=? ORDER BY id DESC LIMIT ?",
                (kind, key, most),
            ).fetchall()
        return [self.whole(f"record {kind} {key}", kind, key, *row) for row in reversed(rows)]

    def put(
        self,
        kind: str,
        key: str,
        body: Mapping[str, Any],
        at: float,
        records: Sequence[Mapping[str, Any]] = (),
        lease: Lease | None = None,
        expect: int | None = None,
        urgent: bool = False,
    ) -> int:
        """The new state and what led to it, both or neither; the document's version.

        With `lease` only while nobody else has had it since (Fenced); with `expect` only where the document still has
        that version, 0 for none (StoreError).
        """
        try:
            return self.write(kind, key, body, at, records, lease, expect)
        except Full:
            if not urgent:
                raise
        with self.said():
            self.db.execute("DELETE FROM documents WHERE kind='_reserve'")
        return self.write(kind, key, body, at, records, lease, expect)

    def write(
        self,
        kind: str,
        key: str,
        body: Mapping[str, Any],
        at: float,
        records: Sequence[Mapping[str, Any]],
        lease: Lease | None,
        expect: int | None,
    ) -> int:
        text, texts = text_of(body), [text_of(r) for r in records]
        with self.said():
            self.db.execute("BEGIN IMMEDIATE")
            try:
                if lease is not None:
                    self.fence(lease)
                row = self.db.execute(
                    "SELECT version FROM documents WHERE kind=? AND key=?", (kind, key)
                ).fetchone()
                old = row[0] if row is not None else 0
                if expect is not None and expect != old:
                    raise StoreError(f"{self.path}: {kind} {key} has changed: version {old}, not {expect}")
                version = old + 1
                self.db.execute(
                    "INSERT OR REPLACE INTO documents VALUES (?,?,?,?,?,?)",
                    (kind, key, version, at, text, crc(kind, key, version, at, text)),
                )
                for one in texts:
                    self.db.execute(
                        "INSERT INTO records (kind, key, version, at, body, crc) VALUES (?,?,?,?,?,?)",
                        (kind, key, version, at, one, crc(kind, key, version, at, one)),
                    )
                self.trim(kind, key)
            except StoreError:
                self.db.execute("ROLLBACK")
                raise
            self.db.execute("COMMIT")
        return version

    def trim(self, kind: str, key: str) -> None:
        """Guards against: a shift that is looked at each second fills the disk in a month."""
        self.db.execute(
            "DELETE FROM records WHERE kind=? AND key=? AND id <= (SELECT id FROM records WHERE kind=? AND key=?"
            " ORDER BY id DESC LIMIT 1 OFFSET ?)",
            (kind, key, kind, key, RECORDS_MOST),
        )

    # ---- leases -----------------------------------------------------------------------------------------

    def lease(self, name: str, holder: str, now: float, seconds: float) -> Lease | None:
        """Takes the lease, or renews one's own; None while it is somebody else's. `now` is Unix time.

        A new holder gets a larger token; whoever was paused meanwhile is fenced by his old one.
        """
        with self.said():
            self.db.execute("BEGIN IMMEDIATE")
            try:
                held = self.held(name)
                if held is not None and held.holder != holder and now < held.until:
                    self.db.execute("ROLLBACK")
                    return None
                mine = held is not None and held.holder == holder and now < held.until
                token = (held.token if held is not None else 0) + (0 if mine else 1)
                made = Lease(name, holder, token, now + seconds)
                self.db.execute(
                    "INSERT OR REPLACE INTO leases VALUES (?,?,?,?,?)",
                    (name, holder, token, made.until, crc(name, holder, token, made.until)),
                )
            except StoreError:
                self.db.execute("ROLLBACK")
                raise
            self.db.execute("COMMIT")
            return made

    def held(self, name: str) -> Lease | None:
        row = self.db.execute("SELECT holder, token, until, crc FROM leases WHERE name=?", (name,)).fetchone()
        if row is None:
            return None
        if crc(name, *row[:3]) != row[3]:
            raise Damaged(f"{self.path}: lease {name}: its checksum does not hold")
        return Lease(name, *row[:3])

    def fence(self, lease: Lease) -> None:
        held = self.held(lease.name)
        if held is None or held.token != lease.token or held.holder != lease.holder:
            raise Fenced(f"{self.path}: lease {lease.name}: {held.holder if held else 'nobody'} has it now")

    # ---- care -------------------------------------------------------------------------------------------

    def check(self) -> list[str]:
        """What is damaged, by name; nothing for a whole store."""
        found: list[str] = []
        with self.said():
            found += [r for (r,) in self.db.execute("PRAGMA integrity_check(10)") if r != "ok"]
            for table in ("documents", "records"):
                for kind, key, *row, told in self.db.execute(
                    f"SELECT kind, key, version, at, body, crc FROM {table}"
                ):
                    if crc(kind, key, *row) != told:
                        found.append(f"{table[:-1]} {kind} {key}: its checksum does not hold")
            for name, *row, told in self.db.execute("SELECT name, holder, token, until, crc FROM leases"):
                if crc(name, *row) != told:
                    found.append(f"lease {name}: its checksum does not hold")
        return found

    def dump(self) -> Iterator[dict[str, Any]]:
        """Everything, a plain object each."""
        with self.said():
            for kind, key in self.db.execute(
                "SELECT kind, key FROM documents WHERE kind <> '_reserve' ORDER BY kind, key"
            ).fetchall():
                document = self.get(kind, key)
                assert document is not None
                yield {
                    "kind": kind,
                    "key": key,
                    "version": document.version,
                    "at": document.at,
                    "body": document.body,
                }
                for r in self.records(kind, key):
                    yield {"record of": [kind, key], "version": r.version, "at": r.at, "body": r.body}

    def compact(self, keep: int = 1000) -> tuple[int, int]:
        """Keeps the last `keep` records of each document and gives the rest's room back; bytes before and after."""
        with self.said():
            before = self.size()
            self.db.execute("BEGIN IMMEDIATE")
            for kind, key in self.db.execute("SELECT kind, key FROM documents").fetchall():
                self.db.execute(
                    "DELETE FROM records WHERE kind=? AND key=? AND id NOT IN (SELECT id FROM records WHERE kind=?"
                    " AND key=? ORDER BY id DESC LIMIT ?)",
                    (kind, key, kind, key, keep),
                )
            self.db.execute("COMMIT")
            self.db.execute("VACUUM")
            self.db.execute("PRAGMA wal_checkpoint(TRUNCATE)")
            return before, self.size()

    def size(self) -> int:
        pages = self.db.execute("PRAGMA page_count").fetchone()[0]
        return int(pages) * int(self.db.execute("PRAGMA page_size").fetchone()[0])
