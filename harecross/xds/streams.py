"""The protocol state of a stream that the two xDS variants have in common.

A stream is pulled: requests and pushes change which responses are due, and `next` returns one response at a time, as
fast as the proxy reads them. Nothing is queued for a slow proxy; it is sent the newest content.

Source: the xDS REST and gRPC protocol page of Envoy's documentation (versions, nonces, "ACK/NACK and resource type
instance version", "knowing when a requested resource does not exist", incremental xDS).
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterable, Sequence

from harecross.xds.cache import EDS, TYPES_IN_ORDER, Resource, Snapshot, update_steps
from harecross.xds.subscription import MAX_NAMES, REMOVED, Response, Subscription

# The size in bytes at which a response is cut, for types whose resources can be sent in several responses. An urgent
# change can be sent between two of them.
MAX_PART_BYTES = 1 << 16
# The most responses of one type that a proxy may leave without an ACK or NACK.
MAX_UNACKNOWLEDGED = 64


class Stream(ABC):
    """The protocol state of one stream; a subclass for each xDS variant decides what a response holds.

    Attributes:
        variant: The name of the xDS variant in the status report.
        snapshot: The resources from which responses are built; further steps of an update follow it.
        max_names: The most subscriptions of one type.
        max_part_bytes: The size in bytes at which a response is cut, if its type allows it.
        subscriptions: The subscription to each requested type, by type URL.
        urgent: Names of endpoint assignments (EDS) that are sent before everything else.
        up_to_date: Whether no response is due.
    """

    variant = ""

    def __init__(
        self, snapshot: Snapshot, max_names: int = MAX_NAMES, max_part_bytes: int = MAX_PART_BYTES
    ) -> None:
        self.snapshot = snapshot
        self.max_names = max_names
        self.max_part_bytes = max_part_bytes
        self.subscriptions: dict[str, Subscription] = {}
        self.urgent: set[str] = set()
        self.up_to_date = True
        self._pending_snapshots: list[Snapshot] = []
        self._response_count = 0

    def push(self, target: Snapshot, urgent: Iterable[str] = ()) -> None:
        """Replaces the resources.

        The changes are sent in make-before-break order, except that the endpoint assignments in `urgent` are sent
        first.
        """
        if target is not self.snapshot or self._pending_snapshots:
            self.snapshot, *self._pending_snapshots = update_steps(self.snapshot, target)
        self.urgent.update(urgent)
        self.up_to_date = False

    def next(self, *, urgent_only: bool = False) -> Response | None:
        """Returns the next response, or None if none is due; with `urgent_only`, only an urgent one."""
        response = self._next_urgent()
        if response is not None:
            return response
        if urgent_only or self.up_to_date:
            return None
        while True:
            for type_url in TYPES_IN_ORDER:
                subscription = self.subscriptions.get(type_url)
                response = self._respond(type_url, subscription) if subscription is not None else None
                if response is not None:
                    return response
            if not self._pending_snapshots:
                self.up_to_date = True
                return None
            self.snapshot = self._pending_snapshots.pop(0)

    def _next_urgent(self) -> Response | None:
        subscription = self.subscriptions.get(EDS)
        if not self.urgent or subscription is None:
            return None
        response = self._respond_urgent(EDS, subscription, self.urgent)
        if response is None:
            self.urgent.clear()
        return response

    @abstractmethod
    def _respond(self, type_url: str, subscription: Subscription) -> Response | None:
        """Returns the next response of a type, or None if none is due."""

    @abstractmethod
    def _respond_urgent(self, type_url: str, subscription: Subscription, names: set[str]) -> Response | None:
        """Returns the next response that holds only resources of `names`, or None if none is due."""

    def unacknowledged(self) -> int:
        """Returns the number of responses without an ACK or NACK, of the type that has the most of them."""
        return max(
            (len(subscription.unacknowledged) for subscription in self.subscriptions.values()), default=0
        )

    def _send(
        self,
        type_url: str,
        subscription: Subscription,
        resources: Sequence[Resource],
        removed: Sequence[str] = (),
    ) -> Response:
        """Creates a response with these resources and a new nonce, and records it as sent."""
        for resource in resources:
            subscription.set_known(resource.name, resource.version)
        self._response_count += 1
        nonce = subscription.last_nonce = str(self._response_count)
        subscription.response_due = False
        subscription.unacknowledged[nonce] = {
            **dict.fromkeys(removed, REMOVED),
            **{resource.name: resource.version for resource in resources},
        }
        return Response(type_url, subscription.known_version, nonce, resources, removed)
