"""Reading and checking one request of a caller. Pure: bytes in, a message or a status out."""

from __future__ import annotations

import re
from collections.abc import Sequence
from dataclasses import dataclass

from harecross.http.body_buffer import MAX_BODY_BYTES, Upload
from harecross.interface import Idempotency, Settings

MAX_HEAD_BYTES = 1 << 14
MAX_HEADERS = 64
UPSTREAM_HOST = b"backend.local"
TIMEOUT_PATTERN = re.compile(rb"(\d{1,12})(?:\.(\d{1,6}))?([mu])")
PATH_PATTERN = re.compile(rb"/(?:[A-Za-z0-9\-._~!$&'()*+,;=:@/?]|%[0-9A-Fa-f]{2})*")
# Guards against: a server that walks the path finds another class than the one the request was read as.
DOT_SEGMENT_PATTERN = re.compile(rb"/(?:\.|%2[Ee]){1,2}(?:[/?]|$)")
TOKEN_PATTERN = re.compile(rb"[!-~]{1,256}")
# What goes to a server. All else belongs to one connection, or is nothing a server needs from a stranger.
FORWARDED_HEADERS = frozenset(
    b"x-request-id idempotency-key x-tenant-id x-retried x-cost x-attrs content-type content-encoding".split()
)
# Twice, each may mean one thing here and another at the server.
SINGLE_HEADERS = FORWARDED_HEADERS | {b"x-timeout", b"host", b"content-length", b"transfer-encoding"}
TOKEN_HEADERS = frozenset((b"x-request-id", b"idempotency-key"))


class BadRequestError(Exception):
    """A request that is answered with a status of its own and goes nowhere."""

    def __init__(self, status: int) -> None:
        self.status = status


@dataclass(slots=True)
class ParsedRequest:
    """A caller's request as it was read; `head` is what goes to a server, up to X-Timeout."""

    request_id: bytes
    request_class: int
    tenant: int
    is_retry: bool
    timeout_us: int
    head: bytes
    body: bytes
    received_us: int
    keep_alive: bool
    upload: Upload | None = None  # in place of `body`
    accepts_chunked: bool = True  # its caller can read an answer in chunks
    unread_us: int = 0  # microseconds that it may have waited before it was read


def parse_timeout_us(text: bytes) -> int | None:
    """Microseconds in an X-Timeout header; None if it is not one."""
    m = TIMEOUT_PATTERN.fullmatch(text.strip())
    if m is None:
        return None
    whole, part, unit = m.groups()
    scale = 1000 if unit == b"m" else 1
    return int(whole) * scale + int(float(b"0." + (part or b"0")) * scale)


class RequestParser:
    """Makes requests of the classes in the settings ready to be passed on."""

    def __init__(self, settings: Settings, names: Sequence[str], tenants: Sequence[str]) -> None:
        self.classes = {name.encode(): i for i, name in enumerate(names)}
        self.settings = settings
        self.tenants = {name.encode(): i for i, name in enumerate(tenants)}

    def check_framing(self, version: str, headers: list[tuple[bytes, bytes]]) -> None:
        """What shows before the body has come: its framing, and whether it can be taken at all."""
        if version not in ("1.1", "1.0"):
            raise BadRequestError(400)
        seen = set()
        for name, value in headers:
            low = name.lower()
            if low in SINGLE_HEADERS:
                if low in seen:
                    raise BadRequestError(400)
                seen.add(low)
            if low == b"content-length" and int(value) > MAX_BODY_BYTES:
                raise BadRequestError(413)
            # Guards against: a coding that only one side undoes hides where the message ends.
            if low == b"transfer-encoding" and (value.strip().lower() != b"chunked" or version == "1.0"):
                raise BadRequestError(400)

    def parse(
        self,
        method: bytes,
        url: bytes,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
        keep: bool,
        now: int,
        upload: Upload | None = None,
        chunks: bool = True,
        unread_for: int = 0,
    ) -> ParsedRequest:
        """The whole request, or all but a body that is still on its way. BadRequest for what cannot go on."""
        if PATH_PATTERN.fullmatch(url) is None or DOT_SEGMENT_PATTERN.search(url) is not None:
            raise BadRequestError(400)
        end = len(url)
        for mark in (url.find(b"/", 1), url.find(b"?", 1)):
            if 0 < mark < end:
                end = mark
        request_class = self.classes.get(url[1:end])
        if request_class is None:
            raise BadRequestError(404)
        found: dict[bytes, bytes] = {}
        lines = [b"%s %s HTTP/1.1\r\nHost: %s\r\n" % (method, url, UPSTREAM_HOST)]
        for name, value in headers:
            low = name.lower()
            if low == b"x-timeout":
                found[low] = value
            elif low in FORWARDED_HEADERS:
                if low in TOKEN_HEADERS and TOKEN_PATTERN.fullmatch(value) is None:
                    raise BadRequestError(400)
                found[low] = value
                lines.append(b"%s: %s\r\n" % (name, value))
        c = self.settings.classes[request_class]
        left = parse_timeout_us(found.get(b"x-timeout", b""))
        request = found.get(b"x-request-id")
        # Guards against: a keyed request with no key would be counted on to be dropped when repeated, and one
        # that looks safe to whoever passes it on but is not could run again.
        safe = c.idempotency == Idempotency.IDEMPOTENT
        if (
            left is None
            or request is None
            or method != (b"GET" if safe else b"POST")
            or (b"idempotency-key" in found) != (c.idempotency == Idempotency.IDEMPOTENCY_KEY)
            or (safe and (body or upload is not None))
        ):
            raise BadRequestError(400)
        length = len(body) if upload is None else upload.length
        if length is None:
            lines.append(b"Transfer-Encoding: chunked\r\n")
        elif not safe:
            lines.append(b"Content-Length: %d\r\n" % length)
        return ParsedRequest(
            request_id=request,
            request_class=request_class,
            tenant=self.tenants.get(found.get(b"x-tenant-id", b""), len(self.tenants)),
            is_retry=found.get(b"x-retried", b"").strip() == b"1",
            timeout_us=min(left, c.deadline),
            head=b"".join(lines),
            body=body,
            received_us=now,
            keep_alive=keep,
            upload=upload,
            accepts_chunked=chunks,
            unread_us=unread_for,
        )
