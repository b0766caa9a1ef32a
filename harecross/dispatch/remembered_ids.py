"""The IDs of requests that a server may have run, beyond the requests themselves.

A client that leaves before its answer may send the request again with the same ID. If its effect must not happen twice,
the repeat is rejected for as long as the ID is remembered. An ID is remembered from the admission of its request, and
forgotten if no server can have run it.

The table has a fixed size, so its memory is bounded: an ID has a place in one bucket, and replaces the ID there that
would be forgotten first. Times are in monotonic microseconds, which all processes of one machine share.

This module performs no I/O.
"""

from __future__ import annotations

from collections.abc import Callable
from hashlib import blake2b
from struct import Struct
from typing import Protocol

# The digest of an ID, and until when it is remembered; zeros if the slot is free.
SLOT = Struct("<QQ")
BUCKET_SLOTS = 8
BUCKET_BYTES = BUCKET_SLOTS * SLOT.size
DIGEST_BYTES = 8
# The least time for which an ID is remembered after its request has ended.
MIN_REMEMBERED_US = 30_000_000
# Until its request has ended, an ID is remembered for this long. A slow upload may take minutes.
OPEN_REQUEST_US = 1_800_000_000


def id_digest(request_id: bytes) -> int:
    """Returns the digest by which an ID is remembered; it is not 0."""
    return int.from_bytes(blake2b(request_id, digest_size=DIGEST_BYTES).digest(), "little") or 1


def bucket_offset(digest: int, size: int) -> int:
    """Returns the position of a digest's bucket in a table of `size` bytes."""
    return digest % (size // BUCKET_BYTES) * BUCKET_BYTES


def remembered_until(bucket: bytes | bytearray, digest: int) -> int:
    """Returns until when a bucket remembers a digest; 0 if it does not contain it."""
    return next((until for found, until in SLOT.iter_unpack(bucket) if found == digest), 0)


class OtherIdTables(Protocol):
    """The IDs that other processes of the node remember."""

    def remembers(self, digest: int, now: int) -> bool:
        """Returns whether another process remembers an ID at the time `now`."""


class RememberedIds:
    """The IDs that this process remembers, and those of the other processes of the node.

    Attributes:
        table: The buckets of this process, one after the other.
        remembered_us: For how long an ID is remembered after its request has ended.
        on_change: Called with the offset and the bytes of each slot that has changed; None if nobody else reads them.
        others: The IDs of other processes; None without any.
        matched: How many requests were rejected because of their ID.
        evicted: How many IDs were forgotten before their time.
    """

    def __init__(self, size: int, remembered_us: int) -> None:
        """`size` is the memory of the table in bytes."""
        self.table = bytearray(max(1, size // BUCKET_BYTES) * BUCKET_BYTES)
        self.remembered_us = max(remembered_us, MIN_REMEMBERED_US)
        self.on_change: Callable[[int, bytes], None] | None = None
        self.others: OtherIdTables | None = None
        self.matched = 0
        self.evicted = 0

    def bucket_of(self, digest: int) -> int:
        """Returns the position of a digest's bucket."""
        return bucket_offset(digest, len(self.table))

    def may_have_run(self, request_id: bytes, now: int) -> bool:
        """Returns whether a request with that ID is open or may have run, at any process of the node."""
        digest = id_digest(request_id)
        offset = self.bucket_of(digest)
        known = remembered_until(self.table[offset : offset + BUCKET_BYTES], digest) > now or (
            self.others is not None and self.others.remembers(digest, now)
        )
        self.matched += known
        return known

    def request_opened(self, request_id: bytes, now: int) -> None:
        """Remembers the ID of a request until it ends."""
        self.write(id_digest(request_id), now + OPEN_REQUEST_US, now)

    def request_ended(self, request_id: bytes, now: int, *, may_have_run: bool) -> None:
        """Remembers the ID of a request that has ended for some time, or forgets it if no server has run it."""
        digest = id_digest(request_id)
        if may_have_run:
            self.write(digest, now + self.remembered_us, now)
            return
        for position in self.slots_of(digest):
            if SLOT.unpack_from(self.table, position)[0] == digest:
                self.set_slot(position, 0, 0)

    def slots_of(self, digest: int) -> range:
        """Returns the positions of the slots of a digest's bucket."""
        offset = self.bucket_of(digest)
        return range(offset, offset + BUCKET_BYTES, SLOT.size)

    def write(self, digest: int, until_us: int, now: int) -> None:
        """Writes a digest to its slot, or to the slot of its bucket that is free or is forgotten first."""
        slots = {position: SLOT.unpack_from(self.table, position) for position in self.slots_of(digest)}
        position = next((each for each, slot in slots.items() if slot[0] == digest), -1)
        if position < 0:
            position = min(slots, key=lambda each: slots[each][1])
            self.evicted += slots[position][1] > now
        self.set_slot(position, digest, until_us)

    def set_slot(self, position: int, digest: int, until_us: int) -> None:
        """Changes one slot."""
        SLOT.pack_into(self.table, position, digest, until_us)
        if self.on_change is not None:
            self.on_change(position, bytes(self.table[position : position + SLOT.size]))
