"""The incremental (delta) variant of a stream: a response holds the changed resources and the names of removed ones."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from collections.abc import Set as AbstractSet

from harecross.xds.cache import EDS, WILDCARD_TYPES
from harecross.xds.streams import Stream
from harecross.xds.subscription import REMOVED, Response, Subscription, check_count, check_names

# The name with which a proxy subscribes to, or unsubscribes from, all resources of a type.
WILDCARD = frozenset(("*",))


class DeltaStream(Stream):
    """The protocol state of one incremental stream."""

    variant = "delta"

    def request(
        self,
        type_url: str,
        nonce: str = "",
        subscribe: Iterable[str] = (),
        unsubscribe: Iterable[str] = (),
        initial: Mapping[str, str] | None = None,
        error: str = "",
    ) -> None:
        """Handles a request: changed subscriptions, an ACK or NACK, or both.

        `error` is the message of a NACK. `initial` holds the versions, by resource name, that a reconnecting proxy
        already has.
        """
        added = check_names(type_url, subscribe, self.max_names)
        dropped = check_names(type_url, unsubscribe, self.max_names)
        subscription = self.subscriptions.get(type_url)
        first_request = subscription is None
        if first_request or error or added or dropped:
            self.up_to_date = False  # an ACK without changes makes no response due
        if subscription is None:
            subscription = self._begin(type_url, added, initial or {})
        if nonce and subscription.acknowledge(nonce, error):
            if error:
                subscription.status.refused = nonce
            else:
                subscription.status.acked = nonce
        self._subscribe(type_url, subscription, added, dropped, first_request=first_request)

    def _begin(self, type_url: str, added: frozenset[str], initial: Mapping[str, str]) -> Subscription:
        """Creates the subscription for the first request of a type."""
        subscription = Subscription(wildcard=type_url in WILDCARD_TYPES and not added)
        subscription.response_due = subscription.wildcard
        for name, version in initial.items():
            subscription.set_known(name, version)
        self.subscriptions[type_url] = subscription
        return subscription

    def _subscribe(
        self,
        type_url: str,
        subscription: Subscription,
        added: frozenset[str],
        dropped: frozenset[str],
        *,
        first_request: bool,
    ) -> None:
        if added >= WILDCARD:
            subscription.wildcard = True
        if dropped >= WILDCARD:
            subscription.wildcard = False
        added, dropped = added - WILDCARD, dropped - WILDCARD
        check_count(type_url, len(subscription.names | added), self.max_names)
        for name in dropped:
            subscription.names.discard(name)
            subscription.forget(name)
        if not first_request:
            for name in added:
                # A resource that is requested again is sent again, whatever version the proxy has.
                subscription.forget(name)
        subscription.names |= added
        available = self.snapshot.get(type_url)
        subscription.missing |= {name for name in added if name not in available}

    def _respond(self, type_url: str, subscription: Subscription) -> Response | None:
        """Returns a response with what differs from the proxy's resources, or None if nothing is due.

        Requested resources that do not exist are reported as removed.
        """
        available = self.snapshot.get(type_url)
        requested = self._requested_names(type_url, subscription)
        due = subscription.outdated(available, requested)
        withheld = self.snapshot.withheld if type_url == EDS else frozenset()
        removed = subscription.known.keys() - requested - withheld
        subscription.missing = {
            name
            for name in subscription.missing
            if name in subscription.names and name not in available and name not in withheld
        }
        self._forget_refused_removals(subscription, requested)
        # A refused removal makes no response due by itself; it is sent again with the next change.
        new_removals = {name for name in removed if subscription.refused.get(name) != REMOVED}
        new_removals |= subscription.missing
        if not due and not new_removals and not subscription.response_due:
            return None
        return self._send_difference(type_url, subscription, due, removed | new_removals)

    def _respond_urgent(self, type_url: str, subscription: Subscription, names: set[str]) -> Response | None:
        requested = self._requested_names(type_url, subscription)
        due = subscription.outdated(self.snapshot.get(type_url), requested & names)
        if not due:
            return None
        self._forget_refused_removals(subscription, requested)
        return self._send_difference(type_url, subscription, due, set())

    def _requested_names(self, type_url: str, subscription: Subscription) -> AbstractSet[str]:
        """Returns the names of the requested resources that exist."""
        available = self.snapshot.get(type_url)
        return available.keys() if subscription.wildcard else subscription.names & available.keys()

    @staticmethod
    def _forget_refused_removals(subscription: Subscription, requested: AbstractSet[str]) -> None:
        """Forgets the refused removals of resources that exist again, so that their next removal counts as new."""
        for name in [n for n, version in subscription.refused.items() if version == REMOVED]:
            if name in requested:
                del subscription.refused[name]

    def _send_difference(
        self, type_url: str, subscription: Subscription, due: list[str], removed: set[str]
    ) -> Response:
        resources = subscription.next_part(self.snapshot.get(type_url), due, self.max_part_bytes)
        for name in removed:
            subscription.forget(name)
            subscription.refused.pop(name, None)
            subscription.missing.discard(name)
        response = self._send(type_url, subscription, resources, sorted(removed))
        subscription.status.sent = response.nonce
        return response
