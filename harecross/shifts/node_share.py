"""What one node does with the shares that controllers send it. Free of I/O."""

from __future__ import annotations


class NodeShare:
    """The candidate's share at one node. The later of two leaders has the larger fencing token."""

    def __init__(self, contact_s: float, now: float) -> None:
        """A share counts for `contact_s` seconds after it was last received."""
        self._contact_s = contact_s
        self._fencing_token = 0
        self._received_at = now
        self._received_share = 0.0

    def receive(self, now: float, fencing_token: int, share: float) -> bool:
        """Takes a controller's share; False where another leader has followed that controller."""
        if fencing_token < self._fencing_token:
            return False
        self._fencing_token, self._received_at, self._received_share = fencing_token, now, share
        return True

    def share(self, now: float) -> float:
        """The candidate's share; 0 without contact. A share of 1, which is a shift that is done, stays."""
        if self._received_share >= 1.0 or now - self._received_at < self._contact_s:
            return self._received_share
        return 0.0
