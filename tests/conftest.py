"""Fixtures for all tests. It also applies KNOWN-RED.txt to the collected tests."""

from __future__ import annotations

import pytest
from known_red import pytest_collection_modifyitems  # noqa: F401

from harecross.node import composition
from harecross.upstream import connection, duplicate_responses


class UnknownSize:
    """The size of a process that the kernel does not tell."""

    @staticmethod
    def read() -> None:
        """Replaces `ResidentSize.read`."""


@pytest.fixture(autouse=True)
def unknown_process_size(monkeypatch):
    """Keeps the size of the test process, hundreds of megabytes, from nodes that run in it with their own limits."""
    monkeypatch.setattr(composition, "ResidentSize", UnknownSize)


# For tests that check which connection is used next, right after a response, with servers whose responses are equal.
# The delays themselves are tested in test_upstream_connection_races.py and test_duplicate_responses.py.
@pytest.fixture
def no_reuse_delay(monkeypatch):
    """Lets a kept connection be reused at once."""
    monkeypatch.setattr(connection, "MAX_REUSE_DELAY_US", 0)
    monkeypatch.setattr(duplicate_responses, "DUPLICATE_WINDOW_US", 0)
