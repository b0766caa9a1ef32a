"""Reading and checking one request of a caller. Pure: bytes in, a message or a status out."""

from __future__ import annotations

import re
from collections.abc import Sequence
from dataclasses import dataclass

from harecross.http.body_buffer import BODY_LARGEST, Upload
from harecross.interface import Idempotency, Settings

HEAD_MOST = 1 << 14
HEADERS_MOST = 64
HOST = b"backend.local"
TIMEOUT = re.compile(rb"(\d{1,12})(?:\.(\d{1,6}))?([mu])")
PATH = re.compile(rb"/(?:[A-Za-z0-9\-._~!$&'()*+,;=:@/?]|%[0-9A-Fa-f]{2})*")
# Guards against: a server that walks the path finds another class than the one the request was read as.
DOTS = re.compile(rb"/(?:\.|%2[Ee]){1,2}(?:[/?]|$)")
TOKEN = re.compile(rb"[!-~]{1,256}")
# What goes to a server. All else belongs to one connection, or is nothing a server needs from a stranger.
PASSED = frozenset(
    b"x-request-id idempotency-key x-tenant-id x-retried x-cost x-attrs content-type content-encoding".split()
)
# Twice, each may mean one thing here and another at the server.
ONCE = PASSED | {b"x-timeout", b"host", b"content-length", b"transfer-encoding"}
TOKENS = frozenset((b"x-request-id", b"idempotency-key"))


class BadRequest(Exception):
    """A request that is answered with a status of its own and goes nowhere."""

    def __init__(self, status: int) -> None:
        self.status = status


@dataclass(slots=True)
class ParsedRequest:
    """A caller's request as it was read; `head` is what goes to a server, up to X-Timeout."""

    id: bytes
    request_class: int
    tenant: int
    repeat: bool
    time_left: int
    head: bytes
    body: bytes
    came: int
    keep: bool
    upload: Upload | None = None  # in place of `body`
    chunks: bool = True  # its caller can read an answer in chunks
    unread_for: int = 0  # microseconds that it may have waited before it was read


def time_left(text: bytes) -> int | None:
    """Microseconds in an X-Timeout header; None if it is not one."""
    m = TIMEOUT.fullmatch(text.strip())
    if m is None:
        return None
    whole, part, unit = m.groups()
    scale = 1000 if unit == b"m" else 1
    return int(whole) * scale + int(float(b"0." + (part or b"0")) * scale)


class RequestReader:
    """Makes requests of the classes in the settings ready to be passed on."""

    def __init__(self, settings: Settings, names: Sequence[str], tenants: Sequence[str]) -> None:
        self.classes = {name.encode(): i for i, name in enumerate(names)}
        self.settings = settings
        self.tenants = {name.encode(): i for i, name in enumerate(tenants)}

    def check_head(self, version: str, headers: list[tuple[bytes, bytes]]) -> None:
        """What shows before the body has come: its framing, and whether it can be taken at all."""
        if version not in ("1.1", "1.0"):
            raise BadRequest(400)
        seen = set()
        for name, value in headers:
            low = name.lower()
            if low in ONCE:
                if low in seen:
                    raise BadRequest(400)
                seen.add(low)
            if low == b"content-length" and int(value) > BODY_LARGEST:
                raise BadRequest(413)
            # Guards against: a coding that only one side undoes hides where the message ends.
            if low == b"transfer-encoding" and (value.strip().lower() != b"chunked" or version == "1.0"):
                raise BadRequest(400)

    def read(
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
        if PATH.fullmatch(url) is None or DOTS.search(url) is not None:
            raise BadRequest(400)
        end = len(url)
        for mark in (url.find(b"/", 1), url.find(b"?", 1)):
            if 0 < mark < end:
                end = mark
        request_class = self.classes.get(url[1:end])
        if request_class is None:
            raise BadRequest(404)
        found: dict[bytes, bytes] = {}
        lines = [b"%s %s HTTP/1.1\r\nHost: %s\r\n" % (method, url, HOST)]
        for name, value in headers:
            low = name.lower()
            if low == b"x-timeout":
                found[low] = value
            elif low in PASSED:
                if low in TOKENS and TOKEN.fullmatch(value) is None:
                    raise BadRequest(400)
                found[low] = value
                lines.append(b"%s: %s\r\n" % (name, value))
        c = self.settings.classes[request_class]
        left = time_left(found.get(b"x-timeout", b""))
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
            raise BadRequest(400)
        length = len(body) if upload is None else upload.length
        if length is None:
            lines.append(b"Transfer-Encoding: chunked\r\n")
        elif not safe:
            lines.append(b"Content-Length: %d\r\n" % length)
        return ParsedRequest(
            id=request,
            request_class=request_class,
            tenant=self.tenants.get(found.get(b"x-tenant-id", b""), len(self.tenants)),
            repeat=found.get(b"x-retried", b"").strip() == b"1",
            time_left=min(left, c.deadline),
            head=b"".join(lines),
            body=body,
            came=now,
            keep=keep,
            upload=upload,
            chunks=chunks,
            unread_for=unread_for,
        )
