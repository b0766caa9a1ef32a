"""Fixtures that all tests share, and KNOWN-RED.txt applied to the collected tests."""

from __future__ import annotations

import pytest
from known_red import pytest_collection_modifyitems  # noqa: F401

from harecross.upstream import connection


# Which connection is used next is checked right after a response; its rest is in test_upstream_connection_races.py.
@pytest.fixture
def no_reuse_delay(monkeypatch):
    """A kept connection may be used again at once."""
    monkeypatch.setattr(connection, "MAX_REST_US", 0)
