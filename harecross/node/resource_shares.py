"""How the processes of one node share its descriptors and its memory for request bodies."""

from __future__ import annotations

from harecross.downstream.connection_manager import ConnectionManager
from harecross.platform.descriptor_budget import DescriptorBudget
from harecross.upstream.connection_pool import ConnectionPool


def request_body_bytes(total: int, processes: int, *, shared: bool) -> int:
    """How many bytes of request bodies one process may buffer.

    `total` is the node's whole budget. Where another process may start (`shared`) a quarter is kept for it, because
    buffered bytes cannot be given back when it starts.
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
        """`body_bytes` is the budget for bodies of requests and responses; the other budgets are the whole node's."""
        self.descriptor_budget = descriptor_budget
        self.total_descriptors = descriptor_budget.total
        self.pool = pool
        self.client_connections = client_connections
        self.body_bytes = body_bytes
        self.listener_is_shared = listener_is_shared

    def divide(self, processes: int) -> None:
        """Takes this process's share, by how many processes serve as this node."""
        self.descriptor_budget.total = self.total_descriptors // processes
        self.client_connections.max_buffered_body_bytes = request_body_bytes(
            self.body_bytes, processes, shared=self.listener_is_shared
        )
        self.pool.set_streaming_budget(self.body_bytes // 2 // processes)
