"""Parses and checks one request of a client, and makes the head that a server gets. Free of I/O."""

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
# A server that resolves dot segments would find another class than the one that the request was read as.
DOT_SEGMENT_PATTERN = re.compile(rb"/(?:\.|%2[Ee]){1,2}(?:[/?]|$)")
TOKEN_PATTERN = re.compile(rb"[!-~]{1,256}")
# What a server gets. All other headers belong to one connection, or are nothing a server needs from a stranger.
FORWARDED_HEADERS = frozenset(
    b"x-request-id idempotency-key x-tenant-id x-retried x-cost x-attrs content-type content-encoding".split()
)
# Twice, each could mean one thing here and another at the server.
SINGLE_HEADERS = FORWARDED_HEADERS | {b"x-timeout", b"host", b"content-length", b"transfer-encoding"}
TOKEN_HEADERS = frozenset((b"x-request-id", b"idempotency-key"))


class BadRequestError(Exception):
    """A request that is answered with a status of its own and is not forwarded."""

    def __init__(self, status: int, problem: str = "") -> None:
        super().__init__(f"{status}: {problem}" if problem else str(status))
        self.status = status


@dataclass(slots=True)
class ParsedRequest:
    """A client's request; `head` is what a server gets, up to X-Timeout. Times in microseconds."""

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
    accepts_chunked: bool = True  # its client can read a chunked response
    read_delay_us: int = 0  # how long it may have waited in the kernel before it was read


def parse_timeout_us(text: bytes) -> int | None:
    """Returns the microseconds in an X-Timeout header; None for another text."""
    match = TIMEOUT_PATTERN.fullmatch(text.strip())
    if match is None:
        return None
    whole, fraction, unit = match.groups()
    scale = 1000 if unit == b"m" else 1
    return int(whole) * scale + int(float(b"0." + (fraction or b"0")) * scale)


class RequestParser:
    """Parses requests of the classes and tenants in the settings."""

    def __init__(self, settings: Settings, class_names: Sequence[str], tenant_names: Sequence[str]) -> None:
        self.settings = settings
        self.classes = {name.encode(): number for number, name in enumerate(class_names)}
        self.tenants = {name.encode(): number for number, name in enumerate(tenant_names)}

    def check_framing(self, version: str, headers: list[tuple[bytes, bytes]]) -> None:
        """Checks what decides where the message ends, before its body was received. Raises BadRequestError."""
        if version not in ("1.1", "1.0"):
            raise BadRequestError(400, f"HTTP version {version}")
        seen = set()
        for name, value in headers:
            lower_name = name.lower()
            if lower_name in SINGLE_HEADERS:
                if lower_name in seen:
                    raise BadRequestError(400, f"header {lower_name!r} twice")
                seen.add(lower_name)
            if lower_name == b"content-length" and int(value) > MAX_BODY_BYTES:
                raise BadRequestError(413, f"Content-Length {int(value)}, {MAX_BODY_BYTES} at most")
            # With a coding that only one side decodes, both would see the end of the message at different places.
            if lower_name == b"transfer-encoding" and (
                value.strip().lower() != b"chunked" or version == "1.0"
            ):
                raise BadRequestError(400, f"Transfer-Encoding {value!r} in HTTP {version}")

    def parse(
        self,
        method: bytes,
        url: bytes,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
        *,
        keep_alive: bool,
        received_us: int,
        upload: Upload | None = None,
        accepts_chunked: bool = True,
        read_delay_us: int = 0,
    ) -> ParsedRequest:
        """Returns the request, complete or with an upload. Raises BadRequestError if it cannot be forwarded."""
        request_class = self.request_class_of(url)
        class_settings = self.settings.classes[request_class]
        lines = [b"%s %s HTTP/1.1\r\nHost: %s\r\n" % (method, url, UPSTREAM_HOST)]
        values = forward_headers(headers, lines)
        timeout_us = parse_timeout_us(values.get(b"x-timeout", b""))
        request_id = values.get(b"x-request-id")
        if timeout_us is None or request_id is None:
            raise BadRequestError(400, f"X-Timeout {values.get(b'x-timeout')!r}, X-Request-ID {request_id!r}")
        has_body = bool(body) or upload is not None
        check_idempotency(class_settings.idempotency, method, values, has_body=has_body)
        length = len(body) if upload is None else upload.length
        lines.append(framing_header(class_settings.idempotency, length))
        return ParsedRequest(
            request_id=request_id,
            request_class=request_class,
            tenant=self.tenants.get(values.get(b"x-tenant-id", b""), len(self.tenants)),
            is_retry=values.get(b"x-retried", b"").strip() == b"1",
            timeout_us=min(timeout_us, class_settings.deadline),
            head=b"".join(lines),
            body=body,
            received_us=received_us,
            keep_alive=keep_alive,
            upload=upload,
            accepts_chunked=accepts_chunked,
            read_delay_us=read_delay_us,
        )

    def request_class_of(self, url: bytes) -> int:
        """Returns the number of the request class that the first part of the path names."""
        if PATH_PATTERN.fullmatch(url) is None or DOT_SEGMENT_PATTERN.search(url) is not None:
            raise BadRequestError(400, f"path {url!r}")
        end = len(url)
        for mark in (url.find(b"/", 1), url.find(b"?", 1)):
            if 0 < mark < end:
                end = mark
        request_class = self.classes.get(url[1:end])
        if request_class is None:
            raise BadRequestError(404, f"no request class {url[1:end]!r}")
        return request_class


def forward_headers(headers: list[tuple[bytes, bytes]], lines: list[bytes]) -> dict[bytes, bytes]:
    """Appends the headers that a server gets to `lines`; returns the values of these and of X-Timeout."""
    values: dict[bytes, bytes] = {}
    for name, value in headers:
        lower_name = name.lower()
        if lower_name == b"x-timeout":
            values[lower_name] = value
        elif lower_name in FORWARDED_HEADERS:
            if lower_name in TOKEN_HEADERS and TOKEN_PATTERN.fullmatch(value) is None:
                raise BadRequestError(400, f"{lower_name!r}: {value!r}")
            values[lower_name] = value
            lines.append(b"%s: %s\r\n" % (name, value))
    return values


def check_idempotency(
    idempotency: Idempotency, method: bytes, values: dict[bytes, bytes], *, has_body: bool
) -> None:
    """Checks that the message is one of its class, as all that forward it will take it. Raises BadRequestError.

    A request that needs a key and has none would be repeated in the belief that servers discard the repeat; one that
    must not be repeated and is a GET could be repeated by anyone who forwards it.
    """
    idempotent = idempotency == Idempotency.IDEMPOTENT
    if method != (b"GET" if idempotent else b"POST"):
        raise BadRequestError(400, f"method {method!r}")
    if (b"idempotency-key" in values) != (idempotency == Idempotency.IDEMPOTENCY_KEY):
        raise BadRequestError(400, "Idempotency-Key is missing, or not one of this class")
    if idempotent and has_body:
        raise BadRequestError(400, "a GET with a body")


def framing_header(idempotency: Idempotency, length: int | None) -> bytes:
    """Returns the header that says where the body ends; `length`: None for one that is not known yet."""
    if length is None:
        return b"Transfer-Encoding: chunked\r\n"
    if idempotency == Idempotency.IDEMPOTENT:
        return b""
    return b"Content-Length: %d\r\n" % length
