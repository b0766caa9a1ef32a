"""The last good set of each SRV name on disk. A kill at any byte leaves the old file or the new one.

The file has one line with its version and the SHA-256 of the rest, then JSON. It is written beside its place, synced
and renamed.
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
    """A file that is not whole, or not of this program; nothing of it is used."""


@dataclass(frozen=True, slots=True)
class CachedSet:
    """A name's set as it was."""

    answer: SrvAnswer
    answered_at: float  # Unix seconds
    expires_at: float  # Unix seconds

    def age(self, wall: float) -> tuple[float, float]:
        """Seconds since the answer, and since the set's end; neither is below 0 where the clock was set back."""
        return max(0.0, wall - self.answered_at), max(0.0, wall - self.expires_at)


def encode(sets: Mapping[str, CachedSet]) -> bytes:
    """The file's content, by the names' sets."""
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
    """The sets in a file. CacheFileError for anything but the whole of what `encode` made."""
    head, _, body = data.partition(b"\n")
    if not head.startswith(FORMAT_PREFIX):
        raise CacheFileError("not a file of kept sets")
    if head[len(FORMAT_PREFIX) :] != sha256(body).hexdigest().encode():
        raise CacheFileError("its checksum does not hold")
    try:
        return {name: _decode_set(item) for name, item in json.loads(body).items()}
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        raise CacheFileError(f"not understood: {error!r}") from None


def _decode_set(document: dict[str, object]) -> CachedSet:
    rows = document["set"]
    if not isinstance(rows, list):
        raise TypeError(f"set: a list, not {type(rows).__name__}")
    endpoints = tuple(
        SrvEndpoint(int(priority), str(target), str(address), int(port), int(weight))
        for priority, target, address, port, weight in rows
    )
    answered_at, expires_at, ttl = (float(str(document[key])) for key in ("at", "until", "ttl"))
    if not (isfinite(answered_at) and isfinite(expires_at)):
        raise ValueError("a time that is none")
    return CachedSet(SrvAnswer(endpoints, ttl), answered_at, expires_at)


def read_cache_file(path: str) -> dict[str, CachedSet]:
    """The sets in the file; none where there is no file. CacheFileError for a bad one, OSError for one that cannot
    be read.
    """
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except FileNotFoundError:
        return {}
    if len(data) > MAX_FILE_BYTES:
        raise CacheFileError("too large")
    return decode(data)


def remove_leftovers(path: str) -> None:
    """Removes what killed writers have left beside the file."""
    folder, name = os.path.split(os.path.abspath(path))
    for other in os.listdir(folder):
        pid = other.removeprefix(f"{name}.").removesuffix(".new")
        if other == f"{name}.{pid}.new" and pid.isdecimal() and not os.path.exists(f"/proc/{pid}"):
            os.unlink(os.path.join(folder, other))


def write_cache_file(path: str, sets: Mapping[str, CachedSet]) -> None:
    """Puts the sets in the file's place, on disk before it returns. OSError where that fails."""
    temporary = f"{path}.{os.getpid()}.new"  # two processes write while a node is replaced
    replace_file(Path(path), encode(sets), Path(temporary))
