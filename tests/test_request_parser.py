"""Tests of the request parser, without I/O: the forwarded head, and status and message of bad requests."""

from __future__ import annotations

import pytest

from harecross.http.request_parser import BadRequestError, ParsedRequest, RequestParser
from harecross.interface import ClassSettings, Idempotency, Settings

DEADLINE_US = 2_000_000
CLASSES = ("read", "put", "pay")
HEADERS = {b"X-Request-ID": b"r1", b"X-Timeout": b"500m"}


def class_settings(idempotency: Idempotency) -> ClassSettings:
    """Returns settings of a class with the deadline `DEADLINE_US`."""
    return ClassSettings(
        idempotency, latency_objective=DEADLINE_US, deadline=DEADLINE_US, priority_weight=1.0
    )


def request_parser() -> RequestParser:
    """Returns a parser with one class for each idempotency and with one tenant."""
    return RequestParser(Settings(classes=[class_settings(each) for each in Idempotency]), CLASSES, ["acme"])


def parse(method: bytes, url: bytes, body: bytes = b"", **headers: bytes | None) -> ParsedRequest:
    """Parses a request with the default headers and `headers`; None as a value omits the header."""
    named = {name.replace("_", "-").encode(): value for name, value in headers.items()}
    lines = [(name, value) for name, value in {**HEADERS, **named}.items() if value is not None]
    return request_parser().parse(method, url, lines, body, keep_alive=True, received_us=7)


def test_the_head_for_the_server_contains_only_forwarded_headers():
    request = parse(b"GET", b"/read/1?x=2", Cookie=b"c", X_Tenant_Id=b"acme", X_Cost=b"3")
    assert request.head == (
        b"GET /read/1?x=2 HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: r1\r\nX-Tenant-Id: acme\r\nX-Cost: 3\r\n"
    )
    assert (request.request_class, request.tenant, request.timeout_us) == (0, 0, 500_000)


def test_the_body_of_a_post_is_framed_by_its_length():
    request = parse(b"POST", b"/pay/1", b"body")
    assert request.head.endswith(b"Content-Length: 4\r\n")
    assert request.body == b"body"


def test_the_timeout_is_limited_by_the_deadline_of_the_class():
    assert parse(b"GET", b"/read", X_Timeout=b"9000m").timeout_us == DEADLINE_US


def test_an_unknown_tenant_gets_the_index_after_the_known_tenants():
    assert parse(b"GET", b"/read", X_Tenant_Id=b"other").tenant == 1


@pytest.mark.parametrize(
    ("method", "url", "headers", "status", "text"),
    [
        (b"GET", b"/nothing/1", {}, 404, "b'nothing'"),
        (b"GET", b"/read/../pay", {}, 400, "path b'/read/../pay'"),
        (b"GET", b"/read/<", {}, 400, "path b'/read/<'"),
        (b"POST", b"/read/1", {}, 400, "method b'POST'"),
        (b"GET", b"/pay/1", {}, 400, "method b'GET'"),
        (b"GET", b"/read/1", {"X_Timeout": b"soon"}, 400, "X-Timeout b'soon'"),
        (b"GET", b"/read/1", {"X_Request_ID": None}, 400, "X-Request-ID None"),
        (b"GET", b"/read/1", {"X_Request_ID": b"a b"}, 400, "b'a b'"),
        (b"POST", b"/put/1", {}, 400, "Idempotency-Key"),
        (b"POST", b"/pay/1", {"Idempotency_Key": b"k"}, 400, "Idempotency-Key"),
    ],
)
def test_a_bad_request_has_its_status_and_names_the_value(method, url, headers, status, text):
    with pytest.raises(BadRequestError) as raised:
        parse(method, url, **headers)
    assert raised.value.status == status
    assert text in str(raised.value)


def test_a_get_with_a_body_is_a_bad_request():
    with pytest.raises(BadRequestError, match="a GET request must not have a body"):
        parse(b"GET", b"/read/1", b"body")


@pytest.mark.parametrize(
    ("version", "headers", "status", "text"),
    [
        ("2.0", [], 400, "HTTP version 2.0"),
        (
            "1.1",
            [(b"Content-Length", b"1"), (b"content-length", b"1")],
            400,
            "b'content-length' appears more than once",
        ),
        ("1.1", [(b"Content-Length", b"33554433")], 413, "33554433"),
        (
            "1.1",
            [(b"Transfer-Encoding", b"gzip, chunked")],
            400,
            "b'gzip, chunked' is not supported in HTTP 1.1",
        ),
        ("1.0", [(b"Transfer-Encoding", b"chunked")], 400, "b'chunked' is not supported in HTTP 1.0"),
    ],
)
def test_a_message_with_ambiguous_framing_is_a_bad_request(version, headers, status, text):
    with pytest.raises(BadRequestError) as raised:
        request_parser().check_framing(version, headers)
    assert raised.value.status == status
    assert text in str(raised.value)
