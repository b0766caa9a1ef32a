"""Fixtures for all tests. It also applies KNOWN-RED.txt to the collected tests."""

from __future__ import annotations

import pytest
from known_red import pytest_collection_modifyitems  # noqa: F401

from harecross.upstream import connection, duplicate_responses


# For tests that check which connection is used next, right after a response, with servers whose responses are equal.
# The delays themselves are tested in test_upstream_connection_races.py and test_duplicate_responses.py.
@pytest.fixture
def no_reuse_delay(monkeypatch):
    """Lets a kept connection be reused at once."""
    monkeypatch.setattr(connection, "MAX_REUSE_DELAY_US", 0)
    monkeypatch.setattr(duplicate_responses, "DUPLICATE_WINDOW_US", 0)
