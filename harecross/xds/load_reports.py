"""Combines the load reports of all proxies (LRS) for the balancer.

Source: `envoy.service.load_stats.v3`. Each server is published as a locality of its own, so that the figures of a
locality are those of one server.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Collection
from dataclasses import dataclass, field
from math import ceil

# Upper bounds for each number of requests and for the seconds that one report may contribute for a server.
MAX_COUNT = 10_000
MAX_SECONDS = 3600.0
# The fewest requests from which a mean latency is computed.
MIN_REQUESTS_FOR_LATENCY = 20


@dataclass(slots=True)
class RequestCounts:
    """One proxy's requests to one server since the last `collect`.

    Attributes:
        successes: Requests that ended successfully.
        failures: Requests that ended in an error.
        in_progress_s: The number of requests in progress, integrated over time, in request seconds.
    """

    successes: int = 0
    failures: int = 0
    in_progress_s: float = 0.0

    @property
    def total(self) -> int:
        """The number of requests that ended."""
        return self.successes + self.failures


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """The requests of all proxies to one server.

    Attributes:
        server: The server's name.
        successes: The requests that did not fail, by the combined share of failures.
        failures: The requests that failed, by the combined share of failures.
        latency_ms: The mean latency; 0 if too few requests ended to compute one.
    """

    server: str
    successes: int
    failures: int
    latency_ms: float


@dataclass(slots=True)
class LoadReports:
    """The load reports on one cluster since the last `collect`.

    Attributes:
        _counts: The request counts by server, then by reporter.
    """

    _counts: dict[str, dict[str, RequestCounts]] = field(default_factory=lambda: defaultdict(dict))

    def add(
        self, reporter: str, server: str, successes: int, failures: int, in_progress: int, seconds: float
    ) -> None:
        """Adds the figures that one report has for one server; implausible figures are clamped."""
        counts = self._counts[server].setdefault(reporter, RequestCounts())
        counts.successes += min(max(successes, 0), MAX_COUNT)
        counts.failures += min(max(failures, 0), MAX_COUNT)
        counts.in_progress_s += min(max(in_progress, 0), MAX_COUNT) * min(max(seconds, 0.0), MAX_SECONDS)

    def collect(self) -> list[ServerLoad]:
        """Returns the load, since the last call, of each server with ended requests, and clears the counts."""
        loads = [
            server_load(server, by_reporter.values())
            for server, by_reporter in sorted(self._counts.items())
            if any(counts.total for counts in by_reporter.values())
        ]
        self._counts.clear()
        return loads


def server_load(server: str, reports: Collection[RequestCounts]) -> ServerLoad:
    """Combines the reports on one server.

    The share of failures is the lower median over the proxies. One proxy whose own path to the server is broken, or
    that sends false reports, therefore cannot get the server ejected for all proxies.
    """
    total = sum(counts.total for counts in reports)
    shares = sorted(counts.failures / counts.total for counts in reports if counts.total)
    failures = round(total * shares[ceil(len(shares) / 2) - 1])
    in_progress_s = sum(counts.in_progress_s for counts in reports)
    # Little's law: the mean number of requests in progress is the request rate times the mean latency.
    latency_ms = 1000 * in_progress_s / total if total >= MIN_REQUESTS_FOR_LATENCY else 0.0
    return ServerLoad(server, total - failures, failures, latency_ms)
