"""One call to one node's admin server, over HTTP/1.1. Blocking: callers use threads."""

from __future__ import annotations

import http.client
import json
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlencode

from harecross.settings import parse_address

CALL_TIMEOUT_S = 3.0  # an admin server answers within one second
MAX_ANSWER_BYTES = 1 << 24


@dataclass(frozen=True, slots=True)
class CallResult:
    """The result of a call. `effect_unknown` where no answer came: the call may have been carried out."""

    ok: bool
    text: str
    effect_unknown: bool = False


@dataclass(frozen=True, slots=True)
class ServerStatus:
    """One server as one node sees it; `discovery.endpoint_status` says what the values mean."""

    id: str
    state: str
    listed: bool
    in_flight: int
    slow_start_factor: float
    ejected: bool

    @classmethod
    def from_row(cls, row: dict[str, Any]) -> ServerStatus:
        """The status in one row of the call `/servers`. KeyError or TypeError for anything else."""
        return cls(row["id"], row["state"], row["listed"], row["open"], row["warmth"], row["ejected"])


@dataclass(frozen=True, slots=True)
class NodeStatus:
    """One node's servers by id. `other_processes` counts further processes that serve as this node."""

    name: str
    standby: bool
    other_processes: int
    servers: dict[str, ServerStatus]


@dataclass(frozen=True, slots=True)
class StatusFailure:
    """A node's status could not be fetched."""

    reason: str


def validated_address(text: str) -> str:
    """HOST:PORT as it was written. ValueError, with what is allowed, for anything else."""
    if parse_address(text)[1] == 0:
        raise ValueError(f"{text!r}: nobody listens on port 0")
    return text


def call_node(
    node: str, method: str, path: str, body: str = "", timeout_s: float = CALL_TIMEOUT_S
) -> CallResult:
    """Makes one call. Failures of the network or the node are results, not exceptions."""
    host, port = parse_address(node)
    connection = http.client.HTTPConnection(host.strip("[]"), port, timeout=timeout_s)
    try:
        connection.request(method, path, body.encode(), {"Connection": "close"})
        response = connection.getresponse()
        text = response.read(MAX_ANSWER_BYTES).decode(errors="replace").strip()
        return CallResult(200 <= response.status < 300, text)
    except ConnectionRefusedError:
        return CallResult(False, "nobody listens there")
    except TimeoutError:
        return CallResult(False, f"no answer within {timeout_s:g} s", effect_unknown=True)
    except (OSError, http.client.HTTPException) as error:
        return CallResult(False, str(error) or type(error).__name__, effect_unknown=True)
    finally:
        connection.close()


def fetch_status(
    node: str, servers: tuple[str, ...] = (), timeout_s: float = CALL_TIMEOUT_S
) -> NodeStatus | StatusFailure:
    """The status of a node's servers, of those named or of all."""
    query = urlencode([("id", name) for name in servers])
    result = call_node(node, "GET", f"/servers?{query}" if query else "/servers", timeout_s=timeout_s)
    if not result.ok:
        return StatusFailure(result.text)
    try:
        raw: dict[str, Any] = json.loads(result.text)
        statuses = {row["id"]: ServerStatus.from_row(row) for row in raw["servers"]}
        return NodeStatus(str(raw["name"]), bool(raw["standby"]), int(raw["others"]), statuses)
    except (ValueError, KeyError, TypeError, AttributeError):
        return StatusFailure("what answers there is no node's door, or one of an older version")
