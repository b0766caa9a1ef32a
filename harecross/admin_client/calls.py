"""Calls to the admin server of one node over HTTP/1.1. The calls block, so callers use threads."""

from __future__ import annotations

import http.client
import json
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlencode

from harecross.settings import parse_address

CALL_TIMEOUT_S = 3.0  # an admin server responds within one second
MAX_RESPONSE_BYTES = 1 << 24


@dataclass(frozen=True, slots=True)
class CallResult:
    """The result of a call. `effect_unknown` means that no response arrived, so the call may have taken effect."""

    ok: bool
    text: str
    effect_unknown: bool = False


@dataclass(frozen=True, slots=True)
class ServerStatus:
    """The status of one server at one node; `discovery.endpoint_status` describes the values."""

    id: str
    state: str
    listed: bool
    in_flight: int
    slow_start_factor: float
    ejected: bool

    @classmethod
    def from_row(cls, row: dict[str, Any]) -> ServerStatus:
        """Parses one row of the response to `/servers`.

        Raises:
            KeyError: A field is missing.
            TypeError: The row is not an object.
        """
        return cls(row["id"], row["state"], row["listed"], row["open"], row["warmth"], row["ejected"])


@dataclass(frozen=True, slots=True)
class NodeStatus:
    """The status of one node, with its servers by id.

    `other_processes` is the number of further processes that serve as this node.
    """

    name: str
    standby: bool
    other_processes: int
    servers: dict[str, ServerStatus]


@dataclass(frozen=True, slots=True)
class StatusFailure:
    """The reason why the status of a node could not be fetched."""

    reason: str


def validated_address(text: str) -> str:
    """Returns `text` unchanged if it is a valid HOST:PORT.

    Raises:
        ValueError: It is not; the message says what is allowed.
    """
    if parse_address(text)[1] == 0:
        raise ValueError(f"{text!r}: the port of an admin server must not be 0")
    return text


def call_node(
    node: str, method: str, path: str, body: str = "", timeout_s: float = CALL_TIMEOUT_S
) -> CallResult:
    """Makes one call. Failures of the network or the node are returned as results, not raised."""
    host, port = parse_address(node)
    connection = http.client.HTTPConnection(host.strip("[]"), port, timeout=timeout_s)
    try:
        connection.request(method, path, body.encode(), {"Connection": "close"})
        response = connection.getresponse()
        text = response.read(MAX_RESPONSE_BYTES).decode(errors="replace").strip()
        return CallResult(200 <= response.status < 300, text)
    except ConnectionRefusedError:
        return CallResult(False, "connection refused")
    except TimeoutError:
        return CallResult(False, f"no response within {timeout_s:g} s", effect_unknown=True)
    except (OSError, http.client.HTTPException) as error:
        return CallResult(False, str(error) or type(error).__name__, effect_unknown=True)
    finally:
        connection.close()


def fetch_status(
    node: str, servers: tuple[str, ...] = (), timeout_s: float = CALL_TIMEOUT_S
) -> NodeStatus | StatusFailure:
    """Fetches the status of a node and of the given servers, or of all servers if none are given."""
    query = urlencode([("id", name) for name in servers])
    result = call_node(node, "GET", f"/servers?{query}" if query else "/servers", timeout_s=timeout_s)
    if not result.ok:
        return StatusFailure(result.text)
    try:
        raw: dict[str, Any] = json.loads(result.text)
        statuses = {row["id"]: ServerStatus.from_row(row) for row in raw["servers"]}
        return NodeStatus(str(raw["name"]), bool(raw["standby"]), int(raw["others"]), statuses)
    except (ValueError, KeyError, TypeError, AttributeError):
        return StatusFailure("the response is not from an admin server of this version")
