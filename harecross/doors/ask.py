"""One call to one node's door, over HTTP/1.1. Blocking: its callers use threads."""

from __future__ import annotations

import http.client
import json
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlencode

from harecross.settings import address

WITHIN = 3.0  # seconds for a call; a door answers within one
ANSWER_MOST = 1 << 24  # bytes


@dataclass(frozen=True, slots=True)
class Said:
    """What came of a call. `unsure` where no answer came: what was asked may have been done."""

    ok: bool
    text: str
    unsure: bool = False


@dataclass(frozen=True, slots=True)
class Row:
    """One server as one node sees it; `discovery.endpoint_status` says what the fields mean."""

    id: str
    state: str
    listed: bool
    open: int
    warmth: float
    ejected: bool


@dataclass(frozen=True, slots=True)
class Look:
    """What a node knows of its servers. `others` counts further processes that serve as this node."""

    name: str
    standby: bool
    others: int
    servers: dict[str, Row]


def door_address(text: str) -> str:
    """HOST:PORT as it was written. ValueError, saying what is allowed, for anything else."""
    if address(text)[1] == 0:
        raise ValueError(f"{text!r}: nobody listens on port 0")
    return text


def call(door: str, method: str, path: str, body: str = "", within: float = WITHIN) -> Said:
    """Makes one call. Never raises for what the network or the node does."""
    host, port = address(door)
    link = http.client.HTTPConnection(host.strip("[]"), port, timeout=within)
    try:
        link.request(method, path, body.encode(), {"Connection": "close"})
        answer = link.getresponse()
        text = answer.read(ANSWER_MOST).decode(errors="replace").strip()
        return Said(200 <= answer.status < 300, text)
    except ConnectionRefusedError:
        return Said(False, "nobody listens there")
    except TimeoutError:
        return Said(False, f"no answer within {within:g} s", unsure=True)
    except (OSError, http.client.HTTPException) as e:
        return Said(False, str(e) or type(e).__name__, unsure=True)
    finally:
        link.close()


def look(door: str, servers: tuple[str, ...] = (), within: float = WITHIN) -> Look | str:
    """How a node's servers stand, those named or all; or what went wrong, in words."""
    query = urlencode([("id", name) for name in servers])
    said = call(door, "GET", f"/servers?{query}" if query else "/servers", within=within)
    if not said.ok:
        return said.text
    try:
        raw: dict[str, Any] = json.loads(said.text)
        rows = {row["id"]: Row(**{key: row[key] for key in Row.__slots__}) for row in raw["servers"]}
        return Look(str(raw["name"]), bool(raw["standby"]), int(raw["others"]), rows)
    except (ValueError, KeyError, TypeError, AttributeError):
        return "what answers there is no node's door, or one of an older version"
