"""The state of each DNS server: round-trip time, failures and EDNS support.

All times and durations are in seconds.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from ipaddress import ip_address
from random import Random

from harecross.settings import parse_address

TLS = "tls://"  # prefix of the address of a server that is queried with DNS over TLS (RFC 7858)
INITIAL_RTT_S = 0.2  # assumed round-trip time of a server that has not been queried yet
# The timeout is estimated as in RFC 6298, 2: the smoothed round-trip time plus DEVIATIONS times its mean deviation.
RTT_GAIN, DEVIATION_GAIN = 1 / 8, 1 / 4
DEVIATIONS = 4
MIN_TIMEOUT_S, MAX_TIMEOUT_S = 0.05, 3.0  # bounds on the timeout of one attempt
MAX_TIMEOUT_DOUBLINGS = 16
# A server that fails is tried after the others for this long; the time doubles with each consecutive failure, up to
# MAX_PENALTY_S.
INITIAL_PENALTY_S = 2.0
MAX_PENALTY_S = 60.0
EXPLORATION_FRACTION = 0.05  # fraction of lookups that start with a server other than the best
EDNS_RETRY_S = 900.0  # a server that rejected EDNS is queried with EDNS again after this time


def server_address(text: str, where: str) -> tuple[str, int]:
    """Returns the host and the port of a DNS server's address.

    Raises ValueError, prefixed with `where`, if the host is not an IP address: resolving a host name would need a
    resolver.
    """
    try:
        host, port = parse_address(text.removeprefix(TLS))
        ip_address(host.strip("[]"))
    except ValueError:
        raise ValueError(
            f"{where}: expected IP-ADDRESS:PORT or tls://IP-ADDRESS:PORT, got {text!r}"
        ) from None
    return host, port


@dataclass(slots=True)
class NameServer:
    """The state of one DNS server.

    Attributes:
        address: HOST:PORT, or tls://HOST:PORT for DNS over TLS.
        rtt_s: Smoothed round-trip time.
        rtt_deviation_s: Mean deviation of the round-trip time.
        failures: Number of consecutive failures.
        penalty_until: Time until which the server is tried after the others.
        without_edns_until: Time until which queries are sent without EDNS.
    """

    address: str
    rtt_s: float = INITIAL_RTT_S
    rtt_deviation_s: float = INITIAL_RTT_S / 2
    failures: int = 0
    penalty_until: float = 0.0
    without_edns_until: float = 0.0

    @property
    def uses_tls(self) -> bool:
        """Whether the server is queried only over TLS connections (RFC 7858)."""
        return self.address.startswith(TLS)

    def timeout_s(self, attempts: int) -> float:
        """Returns the timeout of an attempt that follows `attempts` attempts of the same lookup at this server."""
        timeout_s = max(MIN_TIMEOUT_S, self.rtt_s + DEVIATIONS * self.rtt_deviation_s)
        return min(MAX_TIMEOUT_S, timeout_s * float(1 << min(attempts, MAX_TIMEOUT_DOUBLINGS)))

    def record_answer(self, rtt_s: float) -> None:
        """Records that the server answered, and updates its round-trip time."""
        self.rtt_deviation_s += DEVIATION_GAIN * (abs(rtt_s - self.rtt_s) - self.rtt_deviation_s)
        self.rtt_s += RTT_GAIN * (rtt_s - self.rtt_s)
        self.failures = 0
        self.penalty_until = 0.0

    def record_failure(self, now: float) -> None:
        """Records that the server gave no answer or an unusable one."""
        self.failures += 1
        self.penalty_until = now + min(MAX_PENALTY_S, INITIAL_PENALTY_S * 2 ** (self.failures - 1))


class NameServers:
    """All DNS servers that may be queried, and the order in which to try them."""

    def __init__(self, addresses: Sequence[str], rng: Random) -> None:
        """Raises ValueError if `addresses` is empty."""
        if not addresses:
            raise ValueError("no DNS server given: expected at least one address")
        self.all = [NameServer(address) for address in dict.fromkeys(addresses)]
        self._rng = rng

    def by_preference(self, now: float) -> list[NameServer]:
        """Returns the servers, best first: servers without a penalty, then the others, each by round-trip time.

        A small random fraction of calls puts another server first; otherwise a server that was slow once would not be
        queried again and its recovery would go unnoticed.
        """
        servers = sorted(self.all, key=lambda server: (server.penalty_until > now, server.rtt_s))
        if len(servers) > 1 and self._rng.random() < EXPLORATION_FRACTION:
            servers.insert(0, servers.pop(self._rng.randrange(1, len(servers))))
        return servers
