"""What is known of each DNS server: round-trips, failures, whether it knows EDNS. Free of I/O."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from ipaddress import ip_address
from random import Random

from harecross.settings import address

TLS = "tls://"  # before a server's address: DNS over TLS (RFC 7858)
FIRST = 0.2  # seconds: the round-trip of a server never asked
GAIN, DEVIATION_GAIN = 1 / 8, 1 / 4  # RFC 6298, 2
LEAST, MOST = 0.05, 3.0  # seconds that one try may take
FAILED = 2.0  # a server that fails stands behind the others for so long, doubling...
FAILED_MOST = 60.0  # ...up to so long
EXPLORE = 0.05  # share of lookups that begin with another server than the best
EDNS_AGAIN = 900.0  # seconds after which a server that did not know EDNS is asked with it again


def server_address(text: str, where: str) -> tuple[str, int]:
    """The address of a DNS server. ValueError for a name: a resolver cannot resolve itself."""
    try:
        host, port = address(text.removeprefix(TLS))
        ip_address(host.strip("[]"))
    except ValueError:
        raise ValueError(f"{where}: {text!r}: IP-ADDRESS:PORT or tls://IP-ADDRESS:PORT is allowed") from None
    return host, port


@dataclass(slots=True)
class Server:
    """One server; times are seconds."""

    address: str  # HOST:PORT, or tls://HOST:PORT
    srtt: float = FIRST
    deviation: float = FIRST / 2
    failures: int = 0  # in a row
    behind_until: float = 0.0
    plain_until: float = 0.0  # asked without EDNS

    @property
    def stream(self) -> bool:
        """Whether it is asked over a connection only (RFC 7858)."""
        return self.address.startswith(TLS)

    def patience(self, tries: int) -> float:
        """How long a try may take, the `tries`-th of one lookup at this server, from 0."""
        return min(MOST, max(LEAST, self.srtt + 4 * self.deviation) * float(1 << min(tries, 16)))

    def answered(self, took: float) -> None:
        """An answer came, whatever it said."""
        self.deviation += DEVIATION_GAIN * (abs(took - self.srtt) - self.deviation)
        self.srtt += GAIN * (took - self.srtt)
        self.failures = 0
        self.behind_until = 0.0

    def failed(self, now: float) -> None:
        """No answer, or one that is of no use."""
        self.failures += 1
        self.behind_until = now + min(FAILED_MOST, FAILED * 2 ** (self.failures - 1))


class Servers:
    """All servers that may be asked, and in which order."""

    def __init__(self, addresses: Sequence[str], rng: Random) -> None:
        """ValueError without any."""
        if not addresses:
            raise ValueError("no DNS server is named")
        self.all = [Server(a) for a in dict.fromkeys(addresses)]
        self.rng = rng

    def order(self, now: float) -> list[Server]:
        """The best first: those that answer before those that have failed, then by round-trip.

        Guards against: the one server that was slow once is never asked again, and its recovery not seen.
        """
        found = sorted(self.all, key=lambda s: (s.behind_until > now, s.srtt))
        if len(found) > 1 and self.rng.random() < EXPLORE:
            found.insert(0, found.pop(self.rng.randrange(1, len(found))))
        return found
