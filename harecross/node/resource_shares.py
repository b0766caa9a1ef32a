"""Divides a node's descriptors and its memory for bodies among the processes of the node."""

from __future__ import annotations

from harecross.downstream.connection_manager import ConnectionManager
from harecross.platform.descriptor_budget import DescriptorBudget
from harecross.upstream.connection_pool import ConnectionPool


def request_body_bytes(total: int, processes: int, *, shared: bool) -> int:
    """Returns how many bytes of request bodies one process may buffer.

    `total` is the budget of the whole node. If another process may start (`shared`), a quarter is reserved for it,
    because bytes that are already buffered cannot be released when it starts.
    """
    if processes > 1:
        return total // 4
    return total * 3 // 4 if shared else total


class ResourceShares:
    """Divides the budgets of one node among its processes, so that all together stay within them."""

    def __init__(
        self,
        descriptor_budget: DescriptorBudget,
        pool: ConnectionPool,
        client_connections: ConnectionManager,
        body_bytes: int,
        *,
        listener_is_shared: bool,
    ) -> None:
        """`body_bytes` is the budget for bodies of requests and responses. All budgets are those of the whole node."""
        self.descriptor_budget = descriptor_budget
        self.total_descriptors = descriptor_budget.total
        self.pool = pool
        self.client_connections = client_connections
        self.body_bytes = body_bytes
        self.listener_is_shared = listener_is_shared

    def divide(self, processes: int) -> None:
        """Limits this process to its share of the budgets. `processes` is how many processes serve as this node."""
        self.descriptor_budget.total = self.total_descriptors // processes
        self.client_connections.max_buffered_body_bytes = request_body_bytes(
            self.body_bytes, processes, shared=self.listener_is_shared
        )
        self.pool.set_streaming_budget(self.body_bytes // 2 // processes)
