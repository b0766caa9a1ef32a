"""One proxy's stream, as far as both variants have it in common. Free of I/O.

A stream is pulled: requests and pushes change what is due, `next` returns one response at a time, as the proxy takes
them. Nothing is queued for a slow proxy: it gets the newest content.

Source: the xDS REST and gRPC protocol page of Envoy's documentation (versions, nonces, "ACK/NACK and resource type
instance version", "knowing when a requested resource does not exist", incremental xDS).
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterable, Sequence

from harecross.xds.cache import EDS, TYPES_IN_ORDER, Resource, Snapshot, update_steps
from harecross.xds.subscription import MAX_NAMES, REMOVED, Response, Subscription

MAX_PART_BYTES = 1 << 16  # of a response, where its type allows parts: an urgent change goes between them
MAX_UNACKNOWLEDGED = 64  # responses of one type


class Stream(ABC):
    """What both variants share."""

    variant = ""

    def __init__(
        self, snapshot: Snapshot, max_names: int = MAX_NAMES, max_part_bytes: int = MAX_PART_BYTES
    ) -> None:
        """`max_names` is the most subscriptions of one type."""
        self.snapshot = snapshot
        self.max_names = max_names
        self.max_part_bytes = max_part_bytes
        self.subscriptions: dict[str, Subscription] = {}
        self.urgent: set[str] = set()  # assignments that go first
        self.up_to_date = True  # no response is due
        self._next_snapshots: list[Snapshot] = []
        self._responses = 0

    def push(self, target: Snapshot, urgent: Iterable[str] = ()) -> None:
        """The resources have changed. They go out in make-before-break order, the assignments in `urgent` first."""
        if target is not self.snapshot or self._next_snapshots:
            self.snapshot, *self._next_snapshots = update_steps(self.snapshot, target)
        self.urgent.update(urgent)
        self.up_to_date = False

    def next(self, *, urgent_only: bool = False) -> Response | None:
        """The next response, if one is due; with `urgent_only` only one that must not wait."""
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
            if not self._next_snapshots:
                self.up_to_date = True
                return None
            self.snapshot = self._next_snapshots.pop(0)

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
        """The next response of a type, if one is due."""

    @abstractmethod
    def _respond_urgent(self, type_url: str, subscription: Subscription, names: set[str]) -> Response | None:
        """The next response with these resources alone, if one is due."""

    def unacknowledged(self) -> int:
        """Responses without their ACK, of the type that has most."""
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
        """The response with these resources, with a new nonce."""
        for resource in resources:
            subscription.set_known(resource.name, resource.version)
        self._responses += 1
        nonce = subscription.last_nonce = str(self._responses)
        subscription.response_due = False
        subscription.unacknowledged[nonce] = {
            **dict.fromkeys(removed, REMOVED),
            **{resource.name: resource.version for resource in resources},
        }
        return Response(type_url, subscription.known_version, nonce, resources, removed)
