"""The SQLite file of a store: schema migrations, transactions, checksums, and translation of SQLite's errors."""

from __future__ import annotations

import json
import sqlite3
import zlib
from collections.abc import Iterator
from contextlib import contextmanager, suppress

from harecross.store.errors import DamagedError, FullError, StoreError

SCHEMA_VERSION = 2
# `MIGRATIONS[n]` is the script that migrates a file from version n to version n + 1.
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
MAX_PAGES = 1 << 16  # default limit of a file's size: 256 MiB with pages of 4 KiB
BUSY_TIMEOUT_S = 5.0  # how long to wait for another writer's transaction


def checksum(*fields: object) -> int:
    """Returns the CRC-32 of all fields of a row, including its key, so that a row under a wrong key is detected too."""
    return zlib.crc32(json.dumps(fields, separators=(",", ":")).encode())


class Database:
    """One SQLite file. SQLite's errors become StoreErrors within `translated_errors` and `transaction`."""

    def __init__(self, path: str, max_pages: int = MAX_PAGES) -> None:
        """Opens or creates the file and migrates it to the current schema version.

        Raises StoreError if the file cannot be opened or has a newer schema version.
        """
        self.path = path
        with self.translated_errors():
            self.connection = sqlite3.connect(path, timeout=BUSY_TIMEOUT_S, isolation_level=None)
            try:
                self._configure(max_pages)
                self._migrate()
            except BaseException:
                self.connection.close()
                raise

    def _configure(self, max_pages: int) -> None:
        self.connection.execute("PRAGMA journal_mode=WAL")
        self.connection.execute("PRAGMA synchronous=FULL")
        self.connection.execute(f"PRAGMA max_page_count={max_pages}")

    def _migrate(self) -> None:
        version = self._pragma("user_version")
        if version > SCHEMA_VERSION:
            raise StoreError(
                f"{self.path}: schema version {version} is too new; at most {SCHEMA_VERSION} is supported"
            )
        if version == SCHEMA_VERSION:
            return
        self.connection.execute("BEGIN IMMEDIATE")
        # Another process may have migrated the file while this one waited for the write lock.
        version = self._pragma("user_version")
        for script in MIGRATIONS[version:]:
            for statement in filter(str.strip, script.split(";")):
                self.connection.execute(statement)
        self.connection.execute(f"PRAGMA user_version={SCHEMA_VERSION}")
        self.connection.execute("COMMIT")

    @contextmanager
    def translated_errors(self) -> Iterator[None]:
        """Rolls back the open transaction after an error of SQLite, and raises the corresponding StoreError."""
        try:
            yield
        except sqlite3.Error as error:
            # The connection may be closed, or may not have been opened yet.
            with suppress(sqlite3.Error, AttributeError):
                if self.connection.in_transaction:
                    self.connection.execute("ROLLBACK")
            raise self._translated(error) from None

    def _translated(self, error: sqlite3.Error) -> StoreError:
        text = f"{self.path}: {error}"
        code = getattr(error, "sqlite_errorname", "") or ""
        if code.startswith(("SQLITE_CORRUPT", "SQLITE_NOTADB")):
            return DamagedError(text)
        if code.startswith(("SQLITE_FULL", "SQLITE_IOERR_WRITE")):
            return FullError(text)
        return StoreError(text)

    @contextmanager
    def transaction(self) -> Iterator[sqlite3.Connection]:
        """Runs a write transaction: commits it at the end, or rolls it back after a StoreError or an SQLite error."""
        with self.translated_errors():
            self.connection.execute("BEGIN IMMEDIATE")
            try:
                yield self.connection
            except StoreError:
                self.connection.execute("ROLLBACK")
                raise
            self.connection.execute("COMMIT")

    def integrity_errors(self) -> list[str]:
        """Returns the errors that SQLite's integrity check finds in the file's pages, at most 10."""
        rows = self.connection.execute("PRAGMA integrity_check(10)")
        return [text for (text,) in rows if text != "ok"]

    def shrink(self) -> None:
        """Returns the space of free pages to the file system."""
        self.connection.execute("VACUUM")
        self.connection.execute("PRAGMA wal_checkpoint(TRUNCATE)")

    def size(self) -> int:
        """Returns the size of the file in bytes, without the write-ahead log."""
        return self._pragma("page_count") * self._pragma("page_size")

    def close(self) -> None:
        """Closes the file."""
        with suppress(sqlite3.Error):
            self.connection.close()

    def _pragma(self, name: str) -> int:
        return int(self.connection.execute(f"PRAGMA {name}").fetchone()[0])
