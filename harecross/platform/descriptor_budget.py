"""How callers' and servers' connections share one number of descriptors. Free of I/O."""

from __future__ import annotations


class DescriptorBudget:
    """`total` descriptors, of which so many are held for `callers` and for `servers`.

    Each side keeps a least part that the other cannot take; what is left goes to who asks first. Servers'
    part moves with what they hold, so that a crowd of callers never stops the calls for those inside.
    """

    __slots__ = ("total", "callers", "servers")

    def __init__(self, total: int) -> None:
        self.total = total
        self.callers = 0
        self.servers = 0

    def servers_part(self) -> int:
        """What callers leave alone: a quarter, or what servers hold and a little more."""
        return max(self.total // 4, min(self.servers, self.total // 2) + self.total // 16)

    def callers_part(self) -> int:
        """What servers leave alone."""
        return self.total // 3

    def caller_fits(self) -> bool:
        """Whether one more connection from a caller does."""
        return self.callers + max(self.servers_part(), self.servers) < self.total

    def server_fits(self) -> bool:
        """Whether one more connection to a server does."""
        return self.servers + max(self.callers_part(), self.callers) < self.total

    def servers_may_give(self) -> bool:
        """Whether servers hold more than their least part, so that an idle connection may go."""
        return self.servers > self.total // 4
