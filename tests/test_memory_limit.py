"""A node keeps to the least memory that the platform gives, whatever hundreds of clients do."""

from __future__ import annotations

import pytest
from node_support import run

from benchmarks.other_clients import Crowd, measure
from harecross.soak.abusive_clients import HOARDING_KINDS

LEAST_MEMORY_MB = 32
CLIENTS = 850
SERVERS = 18
SECONDS = 2.0


@pytest.mark.parametrize("kind", [*HOARDING_KINDS, "mix"])
def test_one_process_keeps_to_the_least_memory_limit(kind):
    """Guards against a crowd for which a process is killed at the least limit."""

    async def test() -> None:
        result = await measure(Crowd(kind, CLIENTS, SECONDS), LEAST_MEMORY_MB, SERVERS)
        assert result.memory is not None
        assert result.memory.peak <= LEAST_MEMORY_MB << 20
        assert result.outcome.late == 0

    run(test())


@pytest.mark.parametrize("kind", ["slow readers", "unread answers", "half small bodies"])
def test_a_process_that_was_stopped_while_a_crowd_wrote_keeps_to_the_limit(kind):
    """Guards against a crowd whose bytes are all read at once when the process goes on."""

    async def test() -> None:
        result = await measure(Crowd(kind, CLIENTS, SECONDS), LEAST_MEMORY_MB, SERVERS, suspended_s=1.5)
        assert result.memory is not None
        assert result.memory.peak <= LEAST_MEMORY_MB << 20

    run(test())
