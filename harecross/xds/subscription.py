"""The state of one resource type on one stream: what the proxy requested, has, was sent and refused.

Source: the xDS REST and gRPC protocol page of Envoy's documentation (versions, nonces, ACK and NACK).
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from harecross.xds.cache import (
    TYPES_IN_ORDER,
    VERSION_SPACE,
    Resource,
    Resources,
    format_version,
    resource_digest,
)

# The most resources of one type that a stream may subscribe to by name.
MAX_NAMES = 10_000
# The key of a response that the proxy accepts or refuses as a whole.
WHOLE_SET = "*"
# The version of a resource that was reported to the proxy as removed.
REMOVED = ""


class BadRequestError(Exception):
    """A request that is invalid and ends its stream with the status INVALID_ARGUMENT."""


@dataclass(frozen=True, slots=True)
class Response:
    """One discovery response before it is encoded.

    Attributes:
        type_url: The resource type.
        version: The version of all resources that the proxy has once it has accepted the response.
        nonce: The response's nonce, unique on its stream.
        resources: The new and changed resources, or the whole set.
        removed: Names of removed resources; the state-of-the-world variant leaves it empty.
    """

    type_url: str
    version: str
    nonce: str
    resources: Sequence[Resource]
    removed: Sequence[str] = ()


@dataclass(slots=True)
class TypeStatus:
    """The state of one type on one stream as the status report shows it.

    Attributes:
        sent: The version (state of the world) or the nonce (delta) of the last response.
        acked: The version or nonce that the proxy acknowledged last.
        refused: The version or nonce that the proxy refused last; empty once nothing is refused any more.
        reason: The proxy's error message for the refused response.
    """

    sent: str = ""
    acked: str = ""
    refused: str = ""
    reason: str = ""


@dataclass(slots=True)
class Subscription:
    """The subscription of one stream to one resource type.

    Attributes:
        names: The resources that the proxy requested by name.
        wildcard: Whether the proxy subscribed to all resources of the type.
        known: Versions, by name, of the resources that the proxy has or that are on their way to it.
        refused: Versions, by name, that the proxy refused. A resource is not sent again with its refused version.
        send_individually: Resources of a refused response. Each is sent in a response of its own, to find out which
            one the proxy refuses.
        unacknowledged: For each response without an ACK or NACK, by nonce: the versions that were sent, by name.
        possibly_dropped: Resources that a request with a stale nonce did not name. The proxy may have dropped them.
        missing: Requested resources that do not exist and must be reported as removed (delta variant).
        response_due: Whether the proxy is owed a response even if it is empty.
        last_nonce: The nonce of the last response.
        status: The state for the status report.
        _known_sum: The sum of the digests of `known`, from which `known_version` is computed.
    """

    names: set[str] = field(default_factory=set)
    wildcard: bool = False
    known: dict[str, str] = field(default_factory=dict)
    refused: dict[str, str] = field(default_factory=dict)
    send_individually: set[str] = field(default_factory=set)
    unacknowledged: dict[str, dict[str, str]] = field(default_factory=dict)
    possibly_dropped: set[str] = field(default_factory=set)
    missing: set[str] = field(default_factory=set)
    response_due: bool = False
    last_nonce: str = ""
    status: TypeStatus = field(default_factory=TypeStatus)
    _known_sum: int = 0

    @property
    def known_version(self) -> str:
        """The version of the set of all resources that the proxy has."""
        return format_version(self._known_sum)

    def set_known(self, name: str, version: str) -> None:
        """Records that the proxy has this version of a resource, or that the version is on its way to it."""
        self.forget(name)
        self.known[name] = version
        self._known_sum = (self._known_sum + resource_digest(name, version)) % VERSION_SPACE

    def forget(self, name: str) -> None:
        """Records that the proxy does not have a resource, or may not have it."""
        version = self.known.pop(name, None)
        if version is not None:
            self._known_sum = (self._known_sum - resource_digest(name, version)) % VERSION_SPACE

    def outdated(self, available: Resources, names: Iterable[str]) -> list[str]:
        """Returns those of `names`, sorted, whose resource is neither known to the proxy nor refused by it."""
        known, refused = self.known, self.refused
        return sorted(
            name
            for name in names
            if name in available
            and known.get(name) != available[name].version
            and refused.get(name) != available[name].version
        )

    def next_part(self, available: Resources, due: list[str], max_bytes: int) -> list[Resource]:
        """Returns as many of the due resources as fit into one response.

        A resource that may be the reason for a refused response is returned alone. The part ends with the resource
        that reaches `max_bytes`, so it always holds at least one.
        """
        if self.send_individually:
            single = next((name for name in due if name in self.send_individually), None)
            if single is not None:
                self.send_individually.discard(single)
                return [available[single]]
        size, part = 0, []
        for name in due:
            part.append(available[name])
            size += len(available[name].body)
            if size >= max_bytes:
                break
        return part

    def acknowledge(self, nonce: str, error: str) -> bool:
        """Handles an ACK or, if `error` is not empty, a NACK.

        Returns whether a response with this nonce was waiting for it.
        """
        sent = self.unacknowledged.pop(nonce, None)
        if sent is None:
            return False
        if error:
            self._refuse(sent)
            self.status.reason = error
        else:
            self._accept(sent)
        return True

    def _accept(self, sent: dict[str, str]) -> None:
        for name in sent:
            self.refused.pop(name, None)
        if not self.refused and not self.send_individually:
            self.status.refused = self.status.reason = ""

    def _refuse(self, sent: dict[str, str]) -> None:
        changed = {name: version for name, version in sent.items() if version != REMOVED}
        if len(changed) > 1:
            # One invalid resource must not keep the others from the proxy, so each is sent again by itself.
            self.send_individually |= changed.keys()
            for name, version in changed.items():
                if self.known.get(name) == version:
                    self.forget(name)
        else:
            # The proxy keeps the last version that it accepted. The resource is not sent again until it changes.
            self.refused.update(changed)
        for name in sent.keys() - changed.keys():
            if name not in self.known:
                # The proxy refused the removal, so it still has the resource, which was not sent again since.
                self.set_known(name, REMOVED)
                self.refused[name] = REMOVED


def check_names(type_url: str, names: Iterable[str], max_names: int) -> frozenset[str]:
    """Returns the resource names of a request without duplicates.

    Raises:
        BadRequestError: If the type is not served or if the request has more than `max_names` names.
    """
    if type_url not in TYPES_IN_ORDER:
        raise BadRequestError(f"{type_url or 'no type'}: not served here")
    checked = frozenset(names)
    check_count(type_url, len(checked), max_names)
    return checked


def check_count(type_url: str, count: int, max_names: int) -> None:
    """Raises BadRequestError if a stream has more subscriptions than `max_names`."""
    if count > max_names:
        raise BadRequestError(f"{type_url}: more than {max_names} subscriptions")
