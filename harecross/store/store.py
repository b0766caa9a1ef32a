"""The store: documents, the records of their changes, and leases with fencing tokens, in one SQLite file.

A document and its records are written in one transaction, and are on disk before the call returns (WAL mode with
synchronous=FULL). Each row has a checksum of all its fields, because SQLite detects a torn page but not every wrong
byte.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from typing import Any

from harecross.store.database import MAX_PAGES, Database
from harecross.store.documents import MAX_RECORDS, Document, Documents, encode_body
from harecross.store.errors import DamagedError, FullError, StoreError
from harecross.store.leases import Lease, Leases


class Store:
    """One file. A method that raises StoreError has not changed the file."""

    def __init__(self, path: str, max_pages: int = MAX_PAGES) -> None:
        """Opens or creates the file, and checks all of it.

        Raises:
            DamagedError: The file is damaged.
            StoreError: The file cannot be opened, or has a newer schema version.
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

    def collections(self) -> list[str]:
        """Returns the names of the collections that hold documents."""
        return self._documents.collections()

    def keys(self, collection: str) -> list[str]:
        """Returns the keys of a collection's documents."""
        return self._documents.keys(collection)

    def get(self, collection: str, key: str) -> Document | None:
        """Returns a document's latest state; None if there is no such document.

        Raises DamagedError if its checksum does not match.
        """
        return self._documents.get(collection, key)

    def records(self, collection: str, key: str, limit: int = MAX_RECORDS) -> list[Document]:
        """Returns the last `limit` records of a document, the oldest first."""
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
        """Writes a document and the records of its change in one transaction; returns the document's new version.

        Args:
            collection: The collection of the document.
            key: The key of the document.
            body: The new content.
            changed_at: The time of the change, as Unix time in seconds.
            records: The records to add.
            lease: The lease that the writer must still hold, if any.
            expected_version: The version that the document must have before the change, if any; 0 if there must be no
                document.
            urgent: Whether the write may use the reserved space of a full store.

        Raises:
            FencedError: The lease has been acquired again since.
            FullError: There is no space left.
            StoreError: The document has another version, or the write fails for another reason.
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
            current_version = self._documents.version(collection, key)
            if expected_version is not None and expected_version != current_version:
                raise StoreError(
                    f"{self.path}: {collection} {key} has changed: expected version {expected_version}, "
                    f"found {current_version}"
                )
            version = current_version + 1
            self._documents.insert_document(collection, key, version, changed_at, encoded_body)
            self._documents.insert_records(collection, key, version, changed_at, encoded_records)
        return version

    def acquire_lease(self, name: str, holder: str, now: float, duration_s: float) -> Lease | None:
        """Acquires a free or expired lease, or renews the holder's own. Returns None while another holder has it.

        `now` is the Unix time in seconds. A new holder gets a larger fencing token, and so does a holder whose own
        lease has expired.
        """
        return self._leases.acquire(name, holder, now, duration_s)

    def current_lease(self, name: str) -> Lease | None:
        """Returns a lease as it was last written, even if it has expired; None if there is none.

        Raises DamagedError if its checksum does not match.
        """
        return self._leases.current(name)

    def check(self) -> list[str]:
        """Returns an error message for each damaged row or page; an empty list if the store is undamaged."""
        with self.database.translated_errors():
            return [
                *self.database.integrity_errors(),
                *self._documents.damaged_rows(),
                *self._leases.damaged_rows(),
            ]

    def dump(self) -> Iterator[dict[str, Any]]:
        """Yields each document, followed by its records, as JSON values."""
        with self.database.translated_errors():
            yield from self._documents.dump()

    def compact(self, records_to_keep: int = 1000) -> tuple[int, int]:
        """Deletes older records of each document and returns their space to the file system.

        Returns the size of the file before and after, in bytes.
        """
        with self.database.translated_errors():
            before = self.size()
            with self.database.transaction():
                self._documents.delete_old_records(records_to_keep)
            self.database.shrink()
            return before, self.size()

    def size(self) -> int:
        """Returns the size of the file in bytes, without the write-ahead log."""
        return self.database.size()
