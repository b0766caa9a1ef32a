"""The last good sets on disk: a kill at any byte leaves the old file or the new one.

One line with the version and the SHA-256 of the rest, then JSON. Written beside the file, synced, put in its place.
"""

from __future__ import annotations

import json
import os
from collections.abc import Mapping
from dataclasses import asdict, dataclass
from hashlib import sha256
from math import isfinite
from pathlib import Path

from harecross.dns.srv import Endpoint, Found
from harecross.platform.durable_file import replace_file

VERSION = b"harecross-sources 1 "
SIZE_MOST = 1 << 28


class BadKept(ValueError):
    """A file that is not whole, or not ours; nothing of it is used."""


@dataclass(frozen=True, slots=True)
class Kept:
    """A name's set as it was. `at` and `until`: Unix seconds of its answer and of its end."""

    found: Found
    at: float
    until: float

    def age(self, wall: float) -> tuple[float, float]:
        """Seconds since the answer, and how long ago the set ended. A clock set back makes neither younger than 0."""
        return max(0.0, wall - self.at), max(0.0, wall - self.until)


def to_bytes(sets: Mapping[str, Kept]) -> bytes:
    """What `from_bytes` reads."""
    raw = {
        name: {
            "at": k.at,
            "until": k.until,
            "ttl": k.found.ttl,
            "set": [list(asdict(e).values()) for e in k.found.endpoints],
        }
        for name, k in sets.items()
    }
    body = json.dumps(raw, separators=(",", ":")).encode()
    return VERSION + sha256(body).hexdigest().encode() + b"\n" + body


def from_bytes(data: bytes) -> dict[str, Kept]:
    """The sets in a file. BadKept for anything but the whole of what `to_bytes` wrote."""
    head, _, body = data.partition(b"\n")
    if not head.startswith(VERSION):
        raise BadKept("not a file of kept sets")
    if head[len(VERSION) :] != sha256(body).hexdigest().encode():
        raise BadKept("its checksum does not hold")
    try:
        return {name: one(item) for name, item in json.loads(body).items()}
    except (ValueError, TypeError, KeyError, AttributeError) as e:
        raise BadKept(f"not understood: {e!r}") from None


def one(raw: dict[str, object]) -> Kept:
    rows = raw["set"]
    assert isinstance(rows, list)
    endpoints = tuple(Endpoint(int(p), str(t), str(a), int(port), int(w)) for p, t, a, port, w in rows)
    at, until, ttl = (float(str(raw[key])) for key in ("at", "until", "ttl"))
    if not (isfinite(at) and isfinite(until)):
        raise ValueError("a time that is none")
    return Kept(Found(endpoints, ttl), at, until)


def read(path: str) -> dict[str, Kept]:
    """The kept sets; none where there is no file. BadKept for a bad one, OSError for one that cannot be read."""
    try:
        with open(path, "rb") as f:
            data = f.read(SIZE_MOST + 1)
    except FileNotFoundError:
        return {}
    if len(data) > SIZE_MOST:
        raise BadKept("too large")
    return from_bytes(data)


def clear(path: str) -> None:
    """Removes what writers that were killed have left beside the file."""
    folder, name = os.path.split(os.path.abspath(path))
    for other in os.listdir(folder):
        pid = other.removeprefix(f"{name}.").removesuffix(".new")
        if other == f"{name}.{pid}.new" and pid.isdecimal() and not os.path.exists(f"/proc/{pid}"):
            os.unlink(os.path.join(folder, other))


def write(path: str, sets: Mapping[str, Kept]) -> None:
    """Puts the sets in the file's place, on disk before it returns. OSError where that cannot be done."""
    fresh = f"{path}.{os.getpid()}.new"  # while a node is replaced two processes write
    replace_file(Path(path), to_bytes(sets), Path(fresh))
