"""Leases: who may act, until when, and with which fencing token, which excludes earlier holders."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from harecross.store.database import Database, checksum
from harecross.store.errors import DamagedError, FencedError


@dataclass(frozen=True, slots=True)
class Lease:
    """The exclusive right of a holder to act, for a limited time.

    Attributes:
        name: The name of the lease.
        holder: The name of the holder.
        fencing_token: A number that is larger for each new holder.
        expires_at: The time at which the lease expires, as Unix time in seconds.
    """

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
        """Acquires a free or expired lease, or renews the holder's own. Returns None while another holder has it.

        `now` is the Unix time in seconds. A new holder gets a larger fencing token, and so does a holder whose own
        lease has expired.
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
        """Returns a lease as it was last written, even if it has expired; None if there is none.

        Raises DamagedError if its checksum does not match.
        """
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
        """Raises FencedError if the lease has been acquired again since, by another holder or after it expired."""
        current = self.current(lease.name)
        if current is None or current.fencing_token != lease.fencing_token or current.holder != lease.holder:
            holder = current.holder if current is not None else "nobody"
            raise FencedError(f"{self._database.path}: lease {lease.name} is now held by {holder}")

    def damaged_rows(self) -> Iterator[str]:
        """Yields an error message for each lease whose checksum does not match."""
        for name, *fields, crc in self._connection.execute(
            "SELECT name, holder, token, until, crc FROM leases"
        ):
            if checksum(name, *fields) != crc:
                yield damage_message(name)


def damage_message(name: str) -> str:
    """Returns the error message for a lease whose checksum does not match."""
    return f"lease {name}: checksum mismatch"
