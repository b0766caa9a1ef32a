"""Load reports of proxies (LRS), combined to what the decision module gets. Free of I/O.

Source: `envoy.service.load_stats.v3`. Each server is a locality of its own, so a locality's figures are a server's.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Collection
from dataclasses import dataclass, field
from math import ceil

MAX_COUNT = 10_000  # requests of one report that count
MAX_SECONDS = 3600.0  # of one report that count
MIN_REQUESTS_FOR_LATENCY = 20  # of which a mean latency is taken


@dataclass(slots=True)
class RequestCounts:
    """One proxy's requests to one server since the last `collect`."""

    successes: int = 0
    failures: int = 0
    in_progress_s: float = 0.0  # requests in progress times seconds

    @property
    def total(self) -> int:
        """Requests that ended."""
        return self.successes + self.failures


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """All proxies' requests to one server."""

    server: str
    successes: int
    failures: int
    latency_ms: float  # 0 where too few requests ended


@dataclass(slots=True)
class LoadReports:
    """One cluster's reports."""

    _counts: dict[str, dict[str, RequestCounts]] = field(
        default_factory=lambda: defaultdict(dict)
    )  # by server, then by reporter

    def add(
        self, reporter: str, server: str, successes: int, failures: int, in_progress: int, seconds: float
    ) -> None:
        """Takes one report's figures of one server; figures that cannot be are bounded."""
        counts = self._counts[server].setdefault(reporter, RequestCounts())
        counts.successes += min(max(successes, 0), MAX_COUNT)
        counts.failures += min(max(failures, 0), MAX_COUNT)
        counts.in_progress_s += min(max(in_progress, 0), MAX_COUNT) * min(max(seconds, 0.0), MAX_SECONDS)

    def collect(self) -> list[ServerLoad]:
        """What has come since the last call, by server."""
        loads = [
            server_load(server, by_reporter.values())
            for server, by_reporter in sorted(self._counts.items())
            if any(counts.total for counts in by_reporter.values())
        ]
        self._counts.clear()
        return loads


def server_load(server: str, reports: Collection[RequestCounts]) -> ServerLoad:
    """The reports of one server together.

    The share of failures is the lower median over the proxies, so that one proxy whose own way to a server is broken,
    or that reports falsely, does not eject the server for all.
    """
    total = sum(counts.total for counts in reports)
    shares = sorted(counts.failures / counts.total for counts in reports if counts.total)
    failures = round(total * shares[ceil(len(shares) / 2) - 1])
    in_progress_s = sum(counts.in_progress_s for counts in reports)
    # Little's law: requests in progress are the rate times the time each takes.
    latency_ms = 1000 * in_progress_s / total if total >= MIN_REQUESTS_FOR_LATENCY else 0.0
    return ServerLoad(server, total - failures, failures, latency_ms)
