"""Caches the last good endpoint set of each SRV name on disk, for use after a restart.

The first line of the file holds the format version and the SHA-256 of the rest, which is JSON. A new file is written
under a temporary name in the same folder, synced and renamed, so a process that is killed at any point of a write
leaves either the old file or the new one.
"""

from __future__ import annotations

import json
import os
from collections.abc import Mapping
from dataclasses import asdict, dataclass
from hashlib import sha256
from math import isfinite
from pathlib import Path

from harecross.dns.srv import SrvAnswer, SrvEndpoint
from harecross.platform.durable_file import replace_file

FORMAT_PREFIX = b"harecross-sources 1 "
MAX_FILE_BYTES = 1 << 28


class CacheFileError(ValueError):
    """Raised for a file that is damaged or is no cache file; no part of such a file is used."""


@dataclass(frozen=True, slots=True)
class CachedSet:
    """The last good endpoint set of an SRV name.

    Attributes:
        answer: The DNS answer that holds the set.
        answered_at: The time of the answer, as Unix time in seconds.
        expires_at: The time at which the set expires, as Unix time in seconds.
    """

    answer: SrvAnswer
    answered_at: float
    expires_at: float

    def age(self, wall: float) -> tuple[float, float]:
        """Returns the seconds since the answer and the seconds since the set expired.

        Neither is negative: both are 0 if the clock has been set back. `wall` is the current Unix time.
        """
        return max(0.0, wall - self.answered_at), max(0.0, wall - self.expires_at)


def encode(sets: Mapping[str, CachedSet]) -> bytes:
    """Returns the content of a cache file with these sets, which are given by SRV name."""
    document = {
        name: {
            "at": cached.answered_at,
            "until": cached.expires_at,
            "ttl": cached.answer.ttl,
            "set": [list(asdict(endpoint).values()) for endpoint in cached.answer.endpoints],
        }
        for name, cached in sets.items()
    }
    body = json.dumps(document, separators=(",", ":")).encode()
    return FORMAT_PREFIX + sha256(body).hexdigest().encode() + b"\n" + body


def decode(data: bytes) -> dict[str, CachedSet]:
    """Returns the sets in the content of a cache file, by SRV name.

    Raises:
        CacheFileError: `data` is not exactly what `encode` returned.
    """
    header, _, body = data.partition(b"\n")
    if not header.startswith(FORMAT_PREFIX):
        raise CacheFileError("not a cache file of a supported version")
    if header[len(FORMAT_PREFIX) :] != sha256(body).hexdigest().encode():
        raise CacheFileError("checksum mismatch")
    try:
        return {name: _decode_set(item) for name, item in json.loads(body).items()}
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        raise CacheFileError(f"invalid content: {error!r}") from None


def _decode_set(document: dict[str, object]) -> CachedSet:
    rows = document["set"]
    if not isinstance(rows, list):
        raise TypeError(f"set: expected a list, got {type(rows).__name__}")
    endpoints = tuple(
        SrvEndpoint(int(priority), str(target), str(address), int(port), int(weight))
        for priority, target, address, port, weight in rows
    )
    answered_at, expires_at, ttl = (float(str(document[key])) for key in ("at", "until", "ttl"))
    if not (isfinite(answered_at) and isfinite(expires_at)):
        raise ValueError(f"at and until: expected finite times, got {answered_at} and {expires_at}")
    return CachedSet(SrvAnswer(endpoints, ttl), answered_at, expires_at)


def read_cache_file(path: str) -> dict[str, CachedSet]:
    """Reads the sets in a cache file, by SRV name. Returns no sets if there is no file.

    Raises:
        CacheFileError: The file is invalid.
        OSError: The file cannot be read.
    """
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except FileNotFoundError:
        return {}
    if len(data) > MAX_FILE_BYTES:
        raise CacheFileError(f"the file is larger than {MAX_FILE_BYTES} bytes")
    return decode(data)


def remove_leftovers(path: str) -> None:
    """Removes the temporary files that killed writers have left in the folder of the cache file."""
    folder, name = os.path.split(os.path.abspath(path))
    for other in os.listdir(folder):
        pid = other.removeprefix(f"{name}.").removesuffix(".new")
        if other == f"{name}.{pid}.new" and pid.isdecimal() and not os.path.exists(f"/proc/{pid}"):
            os.unlink(os.path.join(folder, other))


def write_cache_file(path: str, sets: Mapping[str, CachedSet]) -> None:
    """Replaces the cache file atomically; the new file has been synced to disk when this returns.

    Raises:
        OSError: The file cannot be written.
    """
    # The name holds the process id because the old and the new process both write during a handover.
    temporary = f"{path}.{os.getpid()}.new"
    replace_file(Path(path), encode(sets), Path(temporary))
