"""Fixtures for all tests. It also applies KNOWN-RED.txt to the collected tests."""

from __future__ import annotations

import pytest
from known_red import pytest_collection_modifyitems  # noqa: F401

from harecross.upstream import connection


# For tests that check which connection is used next, right after a response. The delay itself is tested in
# test_upstream_connection_races.py.
@pytest.fixture
def no_reuse_delay(monkeypatch):
    """Lets a kept connection be reused at once."""
    monkeypatch.setattr(connection, "MAX_REUSE_DELAY_US", 0)
