"""Load reports of proxies (LRS) made into what the decision module hears. Free of I/O.

Source: `envoy.service.load_stats.v3`. Each server is a locality of its own, so a locality's figures are a server's.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from math import ceil

COUNT_MOST = 10_000  # calls of one report that count
CALLS_FOR_TIME = 20  # calls that ended, before their mean time means anything


@dataclass(slots=True)
class Calls:
    """One proxy's calls to one server since the last `take`."""

    good: int = 0
    bad: int = 0
    out: float = 0.0  # calls in progress times seconds


@dataclass(frozen=True, slots=True)
class Seen:
    """All proxies' calls to one server; `latency_ms` is 0 where too few ended."""

    server: str
    good: int
    bad: int
    latency_ms: float


@dataclass(slots=True)
class Loads:
    """One cluster's reports."""

    calls: dict[str, dict[str, Calls]] = field(default_factory=lambda: defaultdict(dict))  # by server, proxy

    def add(self, proxy: str, server: str, good: int, bad: int, in_progress: int, seconds: float) -> None:
        """One report's figures of one server."""
        c = self.calls[server].setdefault(proxy, Calls())
        c.good += min(max(good, 0), COUNT_MOST)
        c.bad += min(max(bad, 0), COUNT_MOST)
        c.out += min(max(in_progress, 0), COUNT_MOST) * min(max(seconds, 0.0), 3600.0)

    def take(self) -> list[Seen]:
        """What has come since the last time.

        Failure prevented: one proxy whose own way to a server is broken, or that lies, ejects it for all. The
        share of failures is the lower median over the proxies, each with one voice.
        """
        seen = []
        for server, by_proxy in sorted(self.calls.items()):
            total = sum(c.good + c.bad for c in by_proxy.values())
            if not total:
                continue
            shares = sorted(c.bad / (c.good + c.bad) for c in by_proxy.values() if c.good + c.bad)
            bad = round(total * shares[ceil(len(shares) / 2) - 1])
            out = sum(c.out for c in by_proxy.values())
            # Little's law: calls in progress are the rate times the time each takes.
            latency = 1000 * out / total if total >= CALLS_FOR_TIME else 0.0
            seen.append(Seen(server, total - bad, bad, latency))
        self.calls.clear()
        return seen
