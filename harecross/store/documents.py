"""Documents and the records of their changes: two tables that are written in one transaction.

A document holds the latest state of one object, which is identified by a collection and a key. Its records hold the
changes that led to that state, the oldest first. The name of the collection is in the column `kind`.
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

MAX_RECORDS = 10_000  # maximum number of records of a document; older ones are deleted
MAX_BODY_BYTES = 1 << 20  # maximum size of the body of a document or record
RESERVE_BYTES = 1 << 16  # space that is reserved for urgent writes to a full store
RESERVE_COLLECTION = "_reserve"  # holds a single document that takes up the reserved space


@dataclass(frozen=True, slots=True)
class Document:
    """The state of a document or of one of its records.

    Attributes:
        version: The number of the change that led to this state, counted from 1.
        changed_at: The time of that change, as Unix time in seconds.
        body: The content.
    """

    version: int
    changed_at: float
    body: dict[str, Any]


def encode_body(body: Mapping[str, Any]) -> str:
    """Returns the body as JSON. Raises StoreError if that is longer than `MAX_BODY_BYTES`."""
    text = json.dumps(body, sort_keys=True, separators=(",", ":"), allow_nan=False)
    if len(text) > MAX_BODY_BYTES:
        raise StoreError(f"the body has {len(text)} bytes; at most {MAX_BODY_BYTES} are allowed")
    return text


class Documents:
    """The documents of one database, and their records."""

    def __init__(self, database: Database) -> None:
        self._database = database
        self._connection = database.connection

    def collections(self) -> list[str]:
        """Returns the names of the collections that hold documents, without the reserve."""
        rows = self._connection.execute(
            "SELECT DISTINCT kind FROM documents WHERE kind <> ? ORDER BY kind", (RESERVE_COLLECTION,)
        )
        return [collection for (collection,) in rows]

    def keys(self, collection: str) -> list[str]:
        """Returns the keys of a collection's documents."""
        with self._database.translated_errors():
            rows = self._connection.execute(
                "SELECT key FROM documents WHERE kind=? ORDER BY key", (collection,)
            )
            return [key for (key,) in rows]

    def get(self, collection: str, key: str) -> Document | None:
        """Returns a document's latest state; None if there is no such document.

        Raises DamagedError if its checksum does not match.
        """
        with self._database.translated_errors():
            row = self._connection.execute(
                "SELECT version, at, body, crc FROM documents WHERE kind=? AND key=?", (collection, key)
            ).fetchone()
        return self._decode("document", collection, key, *row) if row is not None else None

    def records(self, collection: str, key: str, limit: int) -> list[Document]:
        """Returns the last `limit` records of a document, the oldest first."""
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
        """Returns a document's version; 0 if there is no such document."""
        row = self._connection.execute(
            "SELECT version FROM documents WHERE kind=? AND key=?", (collection, key)
        ).fetchone()
        return int(row[0]) if row is not None else 0

    def insert_document(self, collection: str, key: str, version: int, changed_at: float, body: str) -> None:
        """Writes a document, replacing the one with the same key, within the caller's transaction."""
        self._connection.execute(
            "INSERT OR REPLACE INTO documents VALUES (?,?,?,?,?,?)",
            row_with_checksum(collection, key, version, changed_at, body),
        )

    def insert_records(
        self, collection: str, key: str, version: int, changed_at: float, bodies: Sequence[str]
    ) -> None:
        """Adds records and deletes the oldest ones beyond `MAX_RECORDS`, within the caller's transaction."""
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
        """Reserves space for urgent writes. Does nothing if that fails, since the store may be full."""
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
        """Yields an error message for each row whose checksum does not match."""
        for table, row_type in (("documents", "document"), ("records", "record")):
            rows = self._connection.execute(f"SELECT kind, key, version, at, body, crc FROM {table}")
            for collection, key, *fields, crc in rows:
                if checksum(collection, key, *fields) != crc:
                    yield damage_message(row_type, collection, key)

    def dump(self) -> Iterator[dict[str, Any]]:
        """Yields each document, followed by its records, as JSON values."""
        for collection in self.collections():
            for key in self.keys(collection):
                document = self.get(collection, key)
                if document is not None:
                    yield {"kind": collection, "key": key, **state_to_json(document)}
                for record in self.records(collection, key, MAX_RECORDS):
                    yield {"record of": [collection, key], **state_to_json(record)}

    def delete_old_records(self, records_to_keep: int) -> None:
        """Deletes all but the last `records_to_keep` records of each document, within the caller's transaction."""
        for collection, key in self._connection.execute("SELECT kind, key FROM documents").fetchall():
            self._connection.execute(
                "DELETE FROM records WHERE kind=? AND key=? AND id NOT IN (SELECT id FROM records WHERE kind=?"
                " AND key=? ORDER BY id DESC LIMIT ?)",
                (collection, key, collection, key, records_to_keep),
            )


def row_with_checksum(
    collection: str, key: str, version: int, changed_at: float, body: str
) -> tuple[Any, ...]:
    """Returns a row of the table `documents`, or a row of the table `records` without its id."""
    crc = checksum(collection, key, version, changed_at, body)
    return collection, key, version, changed_at, body, crc


def damage_message(row_type: str, collection: str, key: str) -> str:
    """Returns the error message for a row whose checksum does not match."""
    return f"{row_type} {collection} {key}: checksum mismatch"


def state_to_json(state: Document) -> dict[str, Any]:
    """Returns a document or record in the format of `harecross store dump`."""
    return {"version": state.version, "at": state.changed_at, "body": state.body}
