"""The state-of-the-world variant of a stream.

A response for listeners or clusters holds all of them. Endpoint assignments and routes may be sent in several
responses.
"""

from __future__ import annotations

from collections.abc import Iterable

from harecross.xds.cache import WILDCARD_TYPES, Resource, combined_version
from harecross.xds.streams import Stream
from harecross.xds.subscription import WHOLE_SET, Response, Subscription, check_names


class SotwStream(Stream):
    """The protocol state of one state-of-the-world stream."""

    variant = "sotw"

    def request(
        self, type_url: str, nonce: str, names: Iterable[str], error: str = "", version: str = ""
    ) -> None:
        """Handles a request: the first one of a type, an ACK, a NACK or a changed subscription.

        `error` is the message of a NACK; `version` is the version that the proxy has; only a first request uses it.
        """
        requested = check_names(type_url, names, self.max_names)
        subscription = self.subscriptions.get(type_url)
        if subscription is None:
            # A nonce of an earlier stream has no meaning on this one, so this is a first request.
            self.up_to_date = False
            self._begin(type_url, requested, version)
            return
        if error or subscription.possibly_dropped or requested != subscription.names:
            self.up_to_date = False  # an ACK without changes makes no response due
        stale = nonce != subscription.last_nonce
        # While several responses are in flight, the NACK of an earlier one counts, but its list of names does not.
        if nonce and subscription.acknowledge(nonce, error):
            if error:
                subscription.status.refused = subscription.status.sent
            elif not stale:
                subscription.status.acked = subscription.status.sent
        if stale:
            # A request with the newest nonce follows. By then the proxy may have dropped the resources that this one
            # does not name, and may request them again.
            subscription.possibly_dropped |= subscription.names - requested
        else:
            self._subscribe(type_url, subscription, requested)

    def _begin(self, type_url: str, requested: frozenset[str], version: str) -> None:
        """Handles the first request of a type.

        A proxy that reconnects with the version that it would be sent is not sent the resources again.
        """
        wildcard = type_url in WILDCARD_TYPES and not requested
        subscription = self.subscriptions[type_url] = Subscription(set(requested), wildcard)
        resources = self._requested_resources(type_url, subscription)
        if resources and version and version == combined_version(resources):
            for resource in resources:
                subscription.set_known(resource.name, resource.version)
            subscription.status.sent = subscription.status.acked = version
        else:
            subscription.response_due = type_url in WILDCARD_TYPES

    @staticmethod
    def _subscribe(type_url: str, subscription: Subscription, requested: frozenset[str]) -> None:
        for name in subscription.possibly_dropped | (subscription.names - requested):
            subscription.forget(name)
        subscription.possibly_dropped.clear()
        if type_url in WILDCARD_TYPES:
            added = bool(requested - subscription.names)
            subscription.response_due = subscription.response_due or added
            # A wildcard subscription becomes a subscription by name once the proxy names resources.
            subscription.wildcard = subscription.wildcard and not requested
        subscription.names = set(requested)

    def _requested_resources(self, type_url: str, subscription: Subscription) -> list[Resource]:
        available = self.snapshot.get(type_url)
        names = available.keys() if subscription.wildcard else subscription.names & available.keys()
        return [available[name] for name in sorted(names)]

    def _respond(self, type_url: str, subscription: Subscription) -> Response | None:
        if type_url in WILDCARD_TYPES:
            return self._respond_whole(type_url, subscription)
        return self._respond_part(type_url, subscription, subscription.names)

    def _respond_urgent(self, type_url: str, subscription: Subscription, names: set[str]) -> Response | None:
        if type_url in WILDCARD_TYPES:
            return None
        return self._respond_part(type_url, subscription, subscription.names & names)

    def _respond_part(self, type_url: str, subscription: Subscription, names: set[str]) -> Response | None:
        available = self.snapshot.get(type_url)
        due = subscription.outdated(available, names)
        if not due:
            return None
        resources = subscription.next_part(available, due, self.max_part_bytes)
        response = self._send(type_url, subscription, resources)
        subscription.status.sent = response.version
        return response

    def _respond_whole(self, type_url: str, subscription: Subscription) -> Response | None:
        resources = self._requested_resources(type_url, subscription)
        version = combined_version(resources)
        unchanged = version in (subscription.known_version, subscription.refused.get(WHOLE_SET))
        if unchanged and not subscription.response_due:
            return None
        for name in list(subscription.known):
            subscription.forget(name)
        response = self._send(type_url, subscription, resources)
        subscription.status.sent = response.version
        subscription.unacknowledged[response.nonce] = {WHOLE_SET: response.version}
        return response
