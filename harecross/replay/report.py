"""Builds the JSON report of a replay."""

from __future__ import annotations

from typing import Any

from hdrh.histogram import HdrHistogram

from harecross.replay.accounting import MAX_LATENESS_P99_US
from harecross.replay.clients import OpenLoopGenerator
from harecross.replay.run import ReplayRun

PERCENTILES = {"p50": 50.0, "p90": 90.0, "p99": 99.0, "p999": 99.9}
OUTCOME_KEYS = ("ok", "error", "timeout", "reset", "cancelled", "rejected", "connect_failed", "unknown")


def replay_report(run: ReplayRun) -> dict[str, Any]:
    """Returns the report of a finished run.

    Raises RuntimeError if the accounting is inconsistent, which is a bug.
    """
    generator = run.generator
    accounting = generator.accounting
    inconsistencies = accounting.inconsistencies()
    if inconsistencies:
        raise RuntimeError(f"the accounting of the replay is inconsistent: {'; '.join(inconsistencies)}")
    attempts = sum(int(node.get(key, 0)) for node in run.nodes for key in OUTCOME_KEYS)
    requests = accounting.total.requests
    lateness_p99_us = generator.lateness.get_value_at_percentile(99.0)
    return {
        **accounting.total.report(),
        "valid": bool(lateness_p99_us <= MAX_LATENESS_P99_US),
        "lateness_ms": _percentiles_ms(generator.lateness),
        "lateness_bound_ms": MAX_LATENESS_P99_US / 1000,
        "seconds": round(run.seconds, 3),
        "attempts": attempts,
        "attempts_per_request": round(attempts / requests, 4) if requests else None,
        "latency_ms": _percentiles_or_none(generator.latency),
        "by_class": _class_rows(generator),
        "windows": _window_rows(generator),
        "events": run.events,
        "nodes": run.nodes,
        "servers": run.servers,
        "samples": run.samples,
    }


def _class_rows(generator: OpenLoopGenerator) -> dict[str, dict[str, Any]]:
    rows = zip(generator.classes, generator.accounting.by_class, generator.class_latency, strict=True)
    return {
        request_class.name: {**tally.report(), "latency_ms": _percentiles_or_none(latency)}
        for request_class, tally, latency in rows
    }


def _window_rows(generator: OpenLoopGenerator) -> list[dict[str, Any]]:
    rows = []
    for index, tally in enumerate(generator.accounting.windows):
        row = {"from_s": round(index * generator.window_us / 1e6, 3), **tally.report()}
        if index < len(generator.window_latency) and generator.window_latency[index].total_count:
            row["latency_ms"] = _percentiles_ms(generator.window_latency[index])
        rows.append(row)
    return rows


def _percentiles_or_none(histogram: HdrHistogram) -> dict[str, float] | None:
    return _percentiles_ms(histogram) if histogram.total_count else None


def _percentiles_ms(histogram: HdrHistogram) -> dict[str, float]:
    return {
        key: round(histogram.get_value_at_percentile(percentile) / 1000, 3)
        for key, percentile in PERCENTILES.items()
    }
