"""The store: documents, the records of their changes, and leases with fencing tokens, in one SQLite file.

A document and its records are written in one transaction, and are on disk before the call returns (WAL,
synchronous=FULL). Each row has a checksum of all its fields, as SQLite finds a torn page but not every wrong byte.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from typing import Any

from harecross.store.database import MAX_PAGES, Database
from harecross.store.documents import MAX_RECORDS, Document, Documents, encode_body
from harecross.store.errors import DamagedError, FullError, StoreError
from harecross.store.leases import Lease, Leases


class Store:
    """One file. Its methods raise StoreError, and have changed nothing then."""

    def __init__(self, path: str, max_pages: int = MAX_PAGES) -> None:
        """Opens the file, or creates it, and checks all of it.

        DamagedError for a file that is not whole; StoreError for one of a newer version, or that cannot be opened.
        """
        self.path = path
        self.database = Database(path, max_pages)
        self._documents = Documents(self.database)
        self._leases = Leases(self.database)
        try:
            self._documents.create_reserve()
            damage = self.check()
            if damage:
                raise DamagedError(f"{path}: {'; '.join(damage[:3])}")
        except BaseException:
            self.database.close()
            raise

    def close(self) -> None:
        """Closes the file."""
        self.database.close()

    # ---- documents ----------------------------------------------------------------------------------------

    def collections(self) -> list[str]:
        """The names of the collections that hold documents."""
        return self._documents.collections()

    def keys(self, collection: str) -> list[str]:
        """The keys of a collection's documents."""
        return self._documents.keys(collection)

    def get(self, collection: str, key: str) -> Document | None:
        """A document's latest state. DamagedError where its checksum does not match."""
        return self._documents.get(collection, key)

    def records(self, collection: str, key: str, limit: int = MAX_RECORDS) -> list[Document]:
        """The last `limit` records of a document, the oldest first."""
        return self._documents.records(collection, key, limit)

    def put(
        self,
        collection: str,
        key: str,
        body: Mapping[str, Any],
        changed_at: float,
        records: Sequence[Mapping[str, Any]] = (),
        lease: Lease | None = None,
        *,
        expected_version: int | None = None,
        urgent: bool = False,
    ) -> int:
        """Writes a document and the records of its change, both or neither; returns the document's version.

        `changed_at` is Unix time. With `lease`, FencedError where the lease has had another holder since. With
        `expected_version`, StoreError where the document has another version; 0 stands for no document. An urgent
        write may take the reserved space of a full store.
        """
        write = (collection, key, body, changed_at, records, lease, expected_version)
        try:
            return self._write(*write)
        except FullError:
            if not urgent:
                raise
        self._documents.release_reserve()
        return self._write(*write)

    def _write(
        self,
        collection: str,
        key: str,
        body: Mapping[str, Any],
        changed_at: float,
        records: Sequence[Mapping[str, Any]],
        lease: Lease | None,
        expected_version: int | None,
    ) -> int:
        encoded_body = encode_body(body)
        encoded_records = [encode_body(record) for record in records]
        with self.database.transaction():
            if lease is not None:
                self._leases.verify(lease)
            present = self._documents.version(collection, key)
            if expected_version is not None and expected_version != present:
                raise StoreError(
                    f"{self.path}: {collection} {key} has changed: version {present}, not {expected_version}"
                )
            version = present + 1
            self._documents.insert_document(collection, key, version, changed_at, encoded_body)
            self._documents.insert_records(collection, key, version, changed_at, encoded_records)
        return version

    # ---- leases -------------------------------------------------------------------------------------------

    def acquire_lease(self, name: str, holder: str, now: float, duration_s: float) -> Lease | None:
        """Takes a free or expired lease, or renews the holder's own; None while it is another's.

        `now` is Unix time. A new holder gets a larger fencing token; so does one whose own lease expired.
        """
        return self._leases.acquire(name, holder, now, duration_s)

    def current_lease(self, name: str) -> Lease | None:
        """A lease as it was last written, expired or not. DamagedError where its checksum does not match."""
        return self._leases.current(name)

    # ---- check, dump and compaction ---------------------------------------------------------------------

    def check(self) -> list[str]:
        """What is damaged, by name; nothing for a whole store."""
        with self.database.translated_errors():
            return [
                *self.database.integrity_errors(),
                *self._documents.damaged_rows(),
                *self._leases.damaged_rows(),
            ]

    def dump(self) -> Iterator[dict[str, Any]]:
        """Each document, followed by its records, as plain values."""
        with self.database.translated_errors():
            yield from self._documents.dump()

    def compact(self, records_to_keep: int = 1000) -> tuple[int, int]:
        """Deletes older records and returns their space; the file's size before and after, in bytes."""
        with self.database.translated_errors():
            before = self.size()
            with self.database.transaction():
                self._documents.delete_old_records(records_to_keep)
            self.database.shrink()
            return before, self.size()

    def size(self) -> int:
        """The size of the file in bytes, without the write-ahead log."""
        return self.database.size()
