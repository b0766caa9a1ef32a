"""Shares a limited number of file descriptors between client and upstream connections."""

from __future__ import annotations


class DescriptorBudget:
    """A budget of `total` descriptors for `client_connections` and `upstream_connections`.

    Each side has a reserve that the other side cannot use; the rest is allocated first come, first served. The reserve
    for upstream connections grows with their number, so that many new clients cannot block the requests of existing
    ones.
    """

    __slots__ = ("client_connections", "total", "upstream_connections")

    def __init__(self, total: int) -> None:
        self.total = total
        self.client_connections = 0
        self.upstream_connections = 0

    def upstream_reserve(self) -> int:
        """Returns how many descriptors clients cannot use.

        This is a quarter of the total, or the number of upstream connections (at most half of the total) plus a
        sixteenth of the total, whichever is larger.
        """
        return max(self.total // 4, min(self.upstream_connections, self.total // 2) + self.total // 16)

    def client_reserve(self) -> int:
        """Returns how many descriptors upstream connections cannot use."""
        return self.total // 3

    def client_connection_fits(self) -> bool:
        """Whether one more client connection may be opened."""
        return self.client_connections + max(self.upstream_reserve(), self.upstream_connections) < self.total

    def upstream_connection_fits(self) -> bool:
        """Whether one more upstream connection may be opened."""
        return self.upstream_connections + max(self.client_reserve(), self.client_connections) < self.total

    def upstream_exceeds_minimum(self) -> bool:
        """Whether upstream connections exceed their guaranteed quarter, so that an idle one may be closed."""
        return self.upstream_connections > self.total // 4
