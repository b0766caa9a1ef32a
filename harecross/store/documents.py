"""Documents and the records of their changes: two tables, written in one transaction.

A document is the latest state of one thing, by its collection and its key. Its records are what led there, the oldest
first. The collection's column is `kind`.
"""

from __future__ import annotations

import json
import sqlite3
from collections.abc import Iterator, Mapping, Sequence
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

from harecross.store.database import Database, checksum
from harecross.store.errors import DamagedError, StoreError

MAX_RECORDS = 10_000  # of one document; older ones are deleted
MAX_BODY_BYTES = 1 << 20  # of one document or record
RESERVE_BYTES = 1 << 16  # kept free for what has to be written to a full store
RESERVE_COLLECTION = "_reserve"


@dataclass(frozen=True, slots=True)
class Document:
    """One state. `version` counts the document's changes from 1; `changed_at` is Unix time."""

    version: int
    changed_at: float
    body: dict[str, Any]


def encode_body(body: Mapping[str, Any]) -> str:
    """The body as JSON. StoreError for one of more than `MAX_BODY_BYTES`."""
    text = json.dumps(body, sort_keys=True, separators=(",", ":"), allow_nan=False)
    if len(text) > MAX_BODY_BYTES:
        raise StoreError(f"{len(text)} bytes; {MAX_BODY_BYTES} at most")
    return text


class Documents:
    """The documents of one database, and their records."""

    def __init__(self, database: Database) -> None:
        self._database = database
        self._connection = database.connection

    def collections(self) -> list[str]:
        """The names of the collections that hold documents."""
        rows = self._connection.execute(
            "SELECT DISTINCT kind FROM documents WHERE kind <> ? ORDER BY kind", (RESERVE_COLLECTION,)
        )
        return [collection for (collection,) in rows]

    def keys(self, collection: str) -> list[str]:
        """The keys of a collection's documents."""
        with self._database.translated_errors():
            rows = self._connection.execute(
                "SELECT key FROM documents WHERE kind=? ORDER BY key", (collection,)
            )
            return [key for (key,) in rows]

    def get(self, collection: str, key: str) -> Document | None:
        """A document's latest state. DamagedError where its checksum does not match."""
        with self._database.translated_errors():
            row = self._connection.execute(
                "SELECT version, at, body, crc FROM documents WHERE kind=? AND key=?", (collection, key)
            ).fetchone()
        return self._decode("document", collection, key, *row) if row is not None else None

    def records(self, collection: str, key: str, limit: int) -> list[Document]:
        """The last `limit` records of a document, the oldest first."""
        with self._database.translated_errors():
            rows = self._connection.execute(
                "SELECT version, at, body, crc FROM records WHERE kind=? AND key=? ORDER BY id DESC LIMIT ?",
                (collection, key, limit),
            ).fetchall()
        return [self._decode("record", collection, key, *row) for row in reversed(rows)]

    def _decode(
        self, row_type: str, collection: str, key: str, version: int, changed_at: float, body: str, crc: int
    ) -> Document:
        if checksum(collection, key, version, changed_at, body) != crc:
            raise DamagedError(f"{self._database.path}: {damage_message(row_type, collection, key)}")
        return Document(version, changed_at, json.loads(body))

    def version(self, collection: str, key: str) -> int:
        """A document's version; 0 where there is none."""
        row = self._connection.execute(
            "SELECT version FROM documents WHERE kind=? AND key=?", (collection, key)
        ).fetchone()
        return int(row[0]) if row is not None else 0

    def insert_document(self, collection: str, key: str, version: int, changed_at: float, body: str) -> None:
        """Writes a document in place of the one before, within the caller's transaction."""
        self._connection.execute(
            "INSERT OR REPLACE INTO documents VALUES (?,?,?,?,?,?)",
            row_with_checksum(collection, key, version, changed_at, body),
        )

    def insert_records(
        self, collection: str, key: str, version: int, changed_at: float, bodies: Sequence[str]
    ) -> None:
        """Adds records and deletes those above `MAX_RECORDS`, within the caller's transaction."""
        for body in bodies:
            self._connection.execute(
                "INSERT INTO records (kind, key, version, at, body, crc) VALUES (?,?,?,?,?,?)",
                row_with_checksum(collection, key, version, changed_at, body),
            )
        self._connection.execute(
            "DELETE FROM records WHERE kind=? AND key=? AND id <= (SELECT id FROM records WHERE kind=? AND key=?"
            " ORDER BY id DESC LIMIT 1 OFFSET ?)",
            (collection, key, collection, key, MAX_RECORDS),
        )

    def create_reserve(self) -> None:
        """Takes space that only urgent writes may have. Does nothing where that fails: the store may be full."""
        with suppress(StoreError, sqlite3.Error):
            if not self.version(RESERVE_COLLECTION, ""):
                self.insert_document(
                    RESERVE_COLLECTION, "", 1, 0.0, encode_body({"free": "x" * RESERVE_BYTES})
                )

    def release_reserve(self) -> None:
        """Frees the reserved space for an urgent write."""
        with self._database.translated_errors():
            self._connection.execute("DELETE FROM documents WHERE kind=?", (RESERVE_COLLECTION,))

    def damaged_rows(self) -> Iterator[str]:
        """Every row whose checksum does not match, in words."""
        for table, row_type in (("documents", "document"), ("records", "record")):
            rows = self._connection.execute(f"SELECT kind, key, version, at, body, crc FROM {table}")
            for collection, key, *fields, crc in rows:
                if checksum(collection, key, *fields) != crc:
                    yield damage_message(row_type, collection, key)

    def dump(self) -> Iterator[dict[str, Any]]:
        """Each document, followed by its records, as plain values."""
        for collection in self.collections():
            for key in self.keys(collection):
                document = self.get(collection, key)
                if document is not None:
                    yield {"kind": collection, "key": key, **state_to_json(document)}
                for record in self.records(collection, key, MAX_RECORDS):
                    yield {"record of": [collection, key], **state_to_json(record)}

    def delete_old_records(self, records_to_keep: int) -> None:
        """Keeps the last `records_to_keep` records of each document, within the caller's transaction."""
        for collection, key in self._connection.execute("SELECT kind, key FROM documents").fetchall():
            self._connection.execute(
                "DELETE FROM records WHERE kind=? AND key=? AND id NOT IN (SELECT id FROM records WHERE kind=?"
                " AND key=? ORDER BY id DESC LIMIT ?)",
                (collection, key, collection, key, records_to_keep),
            )


def row_with_checksum(
    collection: str, key: str, version: int, changed_at: float, body: str
) -> tuple[Any, ...]:
    """A row of `documents` or, but for its id, of `records`."""
    crc = checksum(collection, key, version, changed_at, body)
    return collection, key, version, changed_at, body, crc


def damage_message(row_type: str, collection: str, key: str) -> str:
    """A damaged row in words."""
    return f"{row_type} {collection} {key}: its checksum does not hold"


def state_to_json(state: Document) -> dict[str, Any]:
    """A document or record as `harecross store dump` writes it."""
    return {"version": state.version, "at": state.changed_at, "body": state.body}
