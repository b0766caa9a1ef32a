"""How client connections and upstream connections share one number of descriptors. Free of I/O."""

from __future__ import annotations


class DescriptorBudget:
    """`total` descriptors, shared by `client_connections` and `upstream_connections`.

    Each side has a reserve that the other cannot take; the rest goes to whichever side asks first. The reserve for
    upstream connections grows with their number, so that many new clients cannot stop the requests of present ones.
    """

    __slots__ = ("client_connections", "total", "upstream_connections")

    def __init__(self, total: int) -> None:
        self.total = total
        self.client_connections = 0
        self.upstream_connections = 0

    def upstream_reserve(self) -> int:
        """Descriptors that clients cannot take: a quarter, or the upstream connections' present number and a margin."""
        return max(self.total // 4, min(self.upstream_connections, self.total // 2) + self.total // 16)

    def client_reserve(self) -> int:
        """Descriptors that upstream connections cannot take."""
        return self.total // 3

    def client_connection_fits(self) -> bool:
        """Whether one more client connection may be opened."""
        return self.client_connections + max(self.upstream_reserve(), self.upstream_connections) < self.total

    def upstream_connection_fits(self) -> bool:
        """Whether one more upstream connection may be opened."""
        return self.upstream_connections + max(self.client_reserve(), self.client_connections) < self.total

    def upstream_exceeds_minimum(self) -> bool:
        """Whether there are more upstream connections than their least part, so that an idle one may be closed."""
        return self.upstream_connections > self.total // 4
