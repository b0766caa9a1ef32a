"""The candidate's share at one node, as controllers send it."""

from __future__ import annotations


class NodeShare:
    """Tracks the candidate's share at one node. Of two leaders, the later one has the larger fencing token."""

    def __init__(self, contact_s: float, now: float) -> None:
        """A share is valid for `contact_s` seconds after it was last received."""
        self._contact_s = contact_s
        self._fencing_token = 0
        self._received_at = now
        self._received_share = 0.0

    def receive(self, now: float, fencing_token: int, share: float) -> bool:
        """Accepts the share of a controller. Returns False if a later leader has sent a share before."""
        if fencing_token < self._fencing_token:
            return False
        self._fencing_token, self._received_at, self._received_share = fencing_token, now, share
        return True

    def share(self, now: float) -> float:
        """Returns the candidate's share, which is 0 without contact to a controller.

        A share of 1 stays valid without contact, because that shift is done.
        """
        if self._received_share >= 1.0 or now - self._received_at < self._contact_s:
            return self._received_share
        return 0.0
