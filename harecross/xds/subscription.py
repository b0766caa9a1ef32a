"""One resource type on one stream: what the proxy asked for, has, was sent and has refused. Free of I/O.

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

MAX_NAMES = 10_000  # subscriptions of one stream and type
WHOLE_SET = "*"  # stands for a response that is accepted or refused as a whole
REMOVED = ""  # the version of a resource that was sent as removed


class BadRequestError(Exception):
    """A request that ends its stream (INVALID_ARGUMENT)."""


@dataclass(frozen=True, slots=True)
class Response:
    """What is sent."""

    type_url: str
    version: str
    nonce: str
    resources: Sequence[Resource]
    removed: Sequence[str] = ()  # of the delta variant


@dataclass(slots=True)
class TypeStatus:
    """The state of a type for operators: versions (state of the world) or nonces (delta)."""

    sent: str = ""
    acked: str = ""
    refused: str = ""
    reason: str = ""


@dataclass(slots=True)
class Subscription:
    """One type on one stream. Versions are by the resources' names."""

    names: set[str] = field(default_factory=set)
    wildcard: bool = False  # all resources of the type
    known: dict[str, str] = field(default_factory=dict)  # what the proxy has, or is on its way to it
    refused: dict[str, str] = field(default_factory=dict)  # not sent again unchanged
    send_individually: set[str] = field(
        default_factory=set
    )  # of a refused response, to find the bad resource
    unacknowledged: dict[str, dict[str, str]] = field(default_factory=dict)  # what was sent, by nonce
    possibly_dropped: set[str] = field(default_factory=set)  # not named by a stale request
    missing: set[str] = field(default_factory=set)  # do not exist, and are to be reported as removed
    response_due: bool = False  # also an empty one
    last_nonce: str = ""
    status: TypeStatus = field(default_factory=TypeStatus)
    _known_sum: int = 0  # of the digests of `known`

    @property
    def known_version(self) -> str:
        """The version of all that the proxy has."""
        return format_version(self._known_sum)

    def set_known(self, name: str, version: str) -> None:
        """The proxy has a resource, or will have it."""
        self.forget(name)
        self.known[name] = version
        self._known_sum = (self._known_sum + resource_digest(name, version)) % VERSION_SPACE

    def forget(self, name: str) -> None:
        """The proxy does not have a resource, or may not have it."""
        version = self.known.pop(name, None)
        if version is not None:
            self._known_sum = (self._known_sum - resource_digest(name, version)) % VERSION_SPACE

    def outdated(self, available: Resources, names: Iterable[str]) -> list[str]:
        """Those of the names whose resource is to be sent."""
        known, refused = self.known, self.refused
        return sorted(
            name
            for name in names
            if name in available
            and known.get(name) != available[name].version
            and refused.get(name) != available[name].version
        )

    def next_part(self, available: Resources, due: list[str], max_bytes: int) -> list[Resource]:
        """As many of the resources as one response holds; one that may be bad is sent alone."""
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
        """Takes an ACK or, with `error`, a NACK. False if no response of that nonce waits for one."""
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
            # One bad resource must not keep the others from the proxy.
            self.send_individually |= changed.keys()
            for name, version in changed.items():
                if self.known.get(name) == version:
                    self.forget(name)
        else:
            # The proxy keeps its last good version; what it refused is not sent again until it has changed.
            self.refused.update(changed)
        for name in sent.keys() - changed.keys():
            if name not in self.known:
                # The proxy still has what it was to remove, and has not been sent it again since.
                self.set_known(name, REMOVED)
                self.refused[name] = REMOVED


def check_names(type_url: str, names: Iterable[str], max_names: int) -> frozenset[str]:
    """The names of a request. BadRequestError for a type that is not served, or for too many names."""
    if type_url not in TYPES_IN_ORDER:
        raise BadRequestError(f"{type_url or 'no type'}: not served here")
    checked = frozenset(names)
    check_count(type_url, len(checked), max_names)
    return checked


def check_count(type_url: str, count: int, max_names: int) -> None:
    """BadRequestError for more subscriptions than are allowed."""
    if count > max_names:
        raise BadRequestError(f"{type_url}: more than {max_names} subscriptions")
