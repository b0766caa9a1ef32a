"""Parses and validates client requests and builds the request head for the server."""

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
# A server that resolves dot segments could assign the request to a different request class than this parser does.
DOT_SEGMENT_PATTERN = re.compile(rb"/(?:\.|%2[Ee]){1,2}(?:[/?]|$)")
TOKEN_PATTERN = re.compile(rb"[!-~]{1,256}")
# Headers that are forwarded to the server. All others apply to a single connection, or are not needed by servers and
# come from an untrusted client.
FORWARDED_HEADERS = frozenset(
    b"x-request-id idempotency-key x-tenant-id x-retried x-cost x-attrs content-type content-encoding".split()
)
# Headers that may appear only once: of two values, this parser and the server could each use a different one.
SINGLE_HEADERS = FORWARDED_HEADERS | {b"x-timeout", b"host", b"content-length", b"transfer-encoding"}
# The headers that the node reads or forwards. Others are not kept.
RELEVANT_HEADERS = SINGLE_HEADERS | {b"expect"}
TOKEN_HEADERS = frozenset((b"x-request-id", b"idempotency-key"))


class BadRequestError(Exception):
    """Raised for a request that is answered with the HTTP status `status` and not forwarded."""

    def __init__(self, status: int, problem: str = "") -> None:
        super().__init__(f"{status}: {problem}" if problem else str(status))
        self.status = status


@dataclass(slots=True)
class ParsedRequest:
    """A validated client request. Times are in microseconds.

    Attributes:
        tenant: Index of the tenant; the number of known tenants for an unknown or missing one.
        timeout_us: The client's X-Timeout, limited to the deadline of the request class.
        head: Request head for the server, without X-Timeout and the final empty line.
        body: The body; empty if `upload` is set.
        upload: A body that is still being received; None if `body` is complete.
        accepts_chunked: Whether the client can read a chunked response.
        read_delay_us: Estimated time for which the request waited in the kernel before it was read.
    """

    request_id: bytes
    request_class: int
    tenant: int
    is_retry: bool
    timeout_us: int
    head: bytes
    body: bytes
    received_us: int
    keep_alive: bool
    upload: Upload | None = None
    accepts_chunked: bool = True
    read_delay_us: int = 0


def parse_timeout_us(text: bytes) -> int | None:
    """Returns the value of an X-Timeout header in microseconds; None if it is malformed."""
    match = TIMEOUT_PATTERN.fullmatch(text.strip())
    if match is None:
        return None
    integer, fraction, unit = match.groups()
    scale = 1000 if unit == b"m" else 1
    return int(integer) * scale + int(float(b"0." + (fraction or b"0")) * scale)


class RequestParser:
    """Parses requests of the configured request classes and tenants."""

    def __init__(self, settings: Settings, class_names: Sequence[str], tenant_names: Sequence[str]) -> None:
        self.settings = settings
        self.classes = {name.encode(): number for number, name in enumerate(class_names)}
        self.tenants = {name.encode(): number for number, name in enumerate(tenant_names)}

    def check_framing(self, version: str, headers: list[tuple[bytes, bytes]]) -> None:
        """Validates the headers that determine where the message ends, before the body is received.

        Raises BadRequestError.
        """
        if version not in ("1.1", "1.0"):
            raise BadRequestError(400, f"HTTP version {version} is not supported; expected 1.0 or 1.1")
        seen = set()
        for name, value in headers:
            lower_name = name.lower()
            if lower_name in SINGLE_HEADERS:
                if lower_name in seen:
                    raise BadRequestError(400, f"header {lower_name!r} appears more than once")
                seen.add(lower_name)
            if lower_name == b"content-length" and int(value) > MAX_BODY_BYTES:
                raise BadRequestError(
                    413, f"Content-Length {int(value)} exceeds the limit of {MAX_BODY_BYTES}"
                )
            # If only one side decodes a transfer coding, the two sides disagree on where the message ends.
            if lower_name == b"transfer-encoding" and (
                value.strip().lower() != b"chunked" or version == "1.0"
            ):
                raise BadRequestError(400, f"Transfer-Encoding {value!r} is not supported in HTTP {version}")

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
        """Returns the request, with a complete body or an upload. Raises BadRequestError if it cannot be forwarded."""
        request_class = self.request_class_of(url)
        class_settings = self.settings.classes[request_class]
        lines = [b"%s %s HTTP/1.1\r\nHost: %s\r\n" % (method, url, UPSTREAM_HOST)]
        values = forward_headers(headers, lines)
        timeout_us = parse_timeout_us(values.get(b"x-timeout", b""))
        request_id = values.get(b"x-request-id")
        if timeout_us is None or request_id is None:
            raise BadRequestError(
                400,
                "missing or malformed header: "
                f"X-Timeout {values.get(b'x-timeout')!r}, X-Request-ID {request_id!r}",
            )
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
        """Returns the index of the request class named by the first path segment. Raises BadRequestError."""
        if PATH_PATTERN.fullmatch(url) is None or DOT_SEGMENT_PATTERN.search(url) is not None:
            raise BadRequestError(400, f"path {url!r} has an invalid character or a dot segment")
        end = len(url)
        for position in (url.find(b"/", 1), url.find(b"?", 1)):
            if 0 < position < end:
                end = position
        request_class = self.classes.get(url[1:end])
        if request_class is None:
            raise BadRequestError(404, f"unknown request class {url[1:end]!r}")
        return request_class


def forward_headers(headers: list[tuple[bytes, bytes]], lines: list[bytes]) -> dict[bytes, bytes]:
    """Appends the forwarded headers to `lines`; returns their values and that of X-Timeout by lower-case name.

    Raises BadRequestError if the value of X-Request-ID or Idempotency-Key is not a token.
    """
    values: dict[bytes, bytes] = {}
    for name, value in headers:
        lower_name = name.lower()
        if lower_name == b"x-timeout":
            values[lower_name] = value
        elif lower_name in FORWARDED_HEADERS:
            if lower_name in TOKEN_HEADERS and TOKEN_PATTERN.fullmatch(value) is None:
                raise BadRequestError(400, f"header {lower_name!r} has an invalid value: {value!r}")
            values[lower_name] = value
            lines.append(b"%s: %s\r\n" % (name, value))
    return values


def check_idempotency(
    idempotency: Idempotency, method: bytes, values: dict[bytes, bytes], *, has_body: bool
) -> None:
    """Checks that method, Idempotency-Key and body match the idempotency of the class. Raises BadRequestError.

    Without its key, a request of a class with idempotency keys would be retried although servers could not discard
    the duplicate. A GET in a non-idempotent class could be retried by any intermediary that forwards it.
    """
    idempotent = idempotency == Idempotency.IDEMPOTENT
    if method != (b"GET" if idempotent else b"POST"):
        raise BadRequestError(400, f"method {method!r} does not match the idempotency of the request class")
    if (b"idempotency-key" in values) != (idempotency == Idempotency.IDEMPOTENCY_KEY):
        raise BadRequestError(400, "Idempotency-Key is missing, or not allowed in this request class")
    if idempotent and has_body:
        raise BadRequestError(400, "a GET request must not have a body")


def framing_header(idempotency: Idempotency, length: int | None) -> bytes:
    """Returns the framing header for a body of `length` bytes; None means that the length is not known yet."""
    if length is None:
        return b"Transfer-Encoding: chunked\r\n"
    if idempotency == Idempotency.IDEMPOTENT:
        return b""
    return b"Content-Length: %d\r\n" % length
