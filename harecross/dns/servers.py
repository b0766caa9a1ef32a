"""What is known of each DNS server: round-trip times, failures, support of EDNS. Free of I/O.

Times are seconds.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from ipaddress import ip_address
from random import Random

from harecross.settings import parse_address

TLS = "tls://"  # before a server's address: DNS over TLS (RFC 7858)
INITIAL_RTT_S = 0.2  # of a server that has not been queried
RTT_GAIN, DEVIATION_GAIN = 1 / 8, 1 / 4  # RFC 6298, 2
DEVIATIONS = 4  # RFC 6298, 2
MIN_TIMEOUT_S, MAX_TIMEOUT_S = 0.05, 3.0  # of one attempt
MAX_TIMEOUT_DOUBLINGS = 16
FIRST_PENALTY_S = 2.0  # a server that fails comes after the others for so long, doubling...
MAX_PENALTY_S = 60.0  # ...up to so long
EXPLORATION_SHARE = 0.05  # of lookups that begin with another server than the best
EDNS_RETRY_S = 900.0  # after which a server that did not know EDNS is queried with it again


def server_address(text: str, where: str) -> tuple[str, int]:
    """The address of a DNS server. ValueError for a name: a resolver cannot resolve itself."""
    try:
        host, port = parse_address(text.removeprefix(TLS))
        ip_address(host.strip("[]"))
    except ValueError:
        raise ValueError(f"{where}: {text!r}: IP-ADDRESS:PORT or tls://IP-ADDRESS:PORT is allowed") from None
    return host, port


@dataclass(slots=True)
class NameServer:
    """One server."""

    address: str  # HOST:PORT, or tls://HOST:PORT
    rtt_s: float = INITIAL_RTT_S  # smoothed
    rtt_deviation_s: float = INITIAL_RTT_S / 2
    failures: int = 0  # in a row
    penalty_until: float = 0.0
    without_edns_until: float = 0.0

    @property
    def uses_tls(self) -> bool:
        """Whether it is queried over TLS connections only (RFC 7858)."""
        return self.address.startswith(TLS)

    def timeout_s(self, attempts: int) -> float:
        """How long an attempt may take after so many of the same lookup at this server."""
        timeout_s = max(MIN_TIMEOUT_S, self.rtt_s + DEVIATIONS * self.rtt_deviation_s)
        return min(MAX_TIMEOUT_S, timeout_s * float(1 << min(attempts, MAX_TIMEOUT_DOUBLINGS)))

    def record_answer(self, rtt_s: float) -> None:
        """An answer came, whatever it says."""
        self.rtt_deviation_s += DEVIATION_GAIN * (abs(rtt_s - self.rtt_s) - self.rtt_deviation_s)
        self.rtt_s += RTT_GAIN * (rtt_s - self.rtt_s)
        self.failures = 0
        self.penalty_until = 0.0

    def record_failure(self, now: float) -> None:
        """No answer came, or one that is of no use."""
        self.failures += 1
        self.penalty_until = now + min(MAX_PENALTY_S, FIRST_PENALTY_S * 2 ** (self.failures - 1))


class NameServers:
    """All servers that may be queried, and in which order."""

    def __init__(self, addresses: Sequence[str], rng: Random) -> None:
        """ValueError without any."""
        if not addresses:
            raise ValueError("no DNS server is named")
        self.all = [NameServer(address) for address in dict.fromkeys(addresses)]
        self._rng = rng

    def in_order(self, now: float) -> list[NameServer]:
        """The best first: those that answer before those that have failed, then by round-trip time.

        Now and then another one is first, or a server that was slow once would not be seen to recover.
        """
        servers = sorted(self.all, key=lambda server: (server.penalty_until > now, server.rtt_s))
        if len(servers) > 1 and self._rng.random() < EXPLORATION_SHARE:
            servers.insert(0, servers.pop(self._rng.randrange(1, len(servers))))
        return servers
