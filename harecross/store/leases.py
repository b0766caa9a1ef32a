"""Leases: who may act, until when, and the fencing token that excludes earlier holders."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from harecross.store.database import Database, checksum
from harecross.store.errors import DamagedError, FencedError


@dataclass(frozen=True, slots=True)
class Lease:
    """The right to change something. The fencing token grows with each holder; `expires_at` is Unix time."""

    name: str
    holder: str
    fencing_token: int
    expires_at: float


class Leases:
    """The leases of one database."""

    def __init__(self, database: Database) -> None:
        self._database = database
        self._connection = database.connection

    def acquire(self, name: str, holder: str, now: float, duration_s: float) -> Lease | None:
        """Takes a free or expired lease, or renews the holder's own; None while it is another's.

        `now` is Unix time. A new holder gets a larger fencing token; so does one whose own lease expired.
        """
        with self._database.transaction():
            current = self.current(name)
            unexpired = current is not None and now < current.expires_at
            if current is not None and unexpired and current.holder != holder:
                return None
            token = 1 if current is None else current.fencing_token + (0 if unexpired else 1)
            lease = Lease(name, holder, token, now + duration_s)
            row = (name, holder, token, lease.expires_at)
            self._connection.execute(
                "INSERT OR REPLACE INTO leases VALUES (?,?,?,?,?)", (*row, checksum(*row))
            )
            return lease

    def current(self, name: str) -> Lease | None:
        """A lease as it was last written, expired or not. DamagedError where its checksum does not match."""
        row = self._connection.execute(
            "SELECT holder, token, until, crc FROM leases WHERE name=?", (name,)
        ).fetchone()
        if row is None:
            return None
        holder, token, expires_at, crc = row
        if checksum(name, holder, token, expires_at) != crc:
            raise DamagedError(f"{self._database.path}: {damage_message(name)}")
        return Lease(name, holder, token, expires_at)

    def verify(self, lease: Lease) -> None:
        """FencedError where the lease has had another holder since it was acquired."""
        current = self.current(lease.name)
        if current is None or current.fencing_token != lease.fencing_token or current.holder != lease.holder:
            holder = current.holder if current is not None else "nobody"
            raise FencedError(f"{self._database.path}: lease {lease.name}: {holder} has it now")

    def damaged_rows(self) -> Iterator[str]:
        """Every lease whose checksum does not match, in words."""
        for name, *fields, crc in self._connection.execute(
            "SELECT name, holder, token, until, crc FROM leases"
        ):
            if checksum(name, *fields) != crc:
                yield damage_message(name)


def damage_message(name: str) -> str:
    """A damaged lease in words."""
    return f"lease {name}: its checksum does not hold"
