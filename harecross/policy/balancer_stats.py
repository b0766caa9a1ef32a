"""Statistics of a balancer and snapshots of its servers. Reading them changes no state."""

from __future__ import annotations

from harecross.interface import EndpointSnapshot, EndpointState
from harecross.policy.controller import GradientController
from harecross.policy.outcome_recorder import OutcomeRecorder
from harecross.policy.outlier_detection import OutlierDetector
from harecross.policy.slow_start import SlowStart
from harecross.policy.subset import Subset


def stats(
    controller: GradientController,
    subset: Subset,
    outliers: OutlierDetector,
    recorder: OutcomeRecorder,
    shed_requests: int,
    per_try_timeouts: int,
) -> dict[str, float]:
    """Returns the statistics by name; those that Envoy has too use its names.

    `zones_cut` is the number of ejected zones, `spill` the cross-zone fraction, `lost` the lost fraction.
    """
    return {
        "concurrency_limit": controller.current_limit(),
        "gradient": controller.gradient,
        "burst_queue_size": controller.headroom(),
        "min_rtt_msecs": max(controller.min_rtt) / 1000,
        "sample_rtt_ratio": controller.sample_rtt,
        "rq_blocked": shed_requests,
        "min_rtt_calculation_active": float(controller.measuring_min_rtt),
        "in_flight": controller.in_flight,
        "members": len(subset.members),
        "ejected": len(outliers.ejected),
        "zones_cut": len(outliers.ejected_zones),
        "spill": subset.zone_preference.fraction,
        "lost": controller.lost_fraction,
        "rq_per_try_timeout": per_try_timeouts,
        "rq_overtaken": recorder.overtaken,
    }


def snapshots(
    now: int, subset: Subset, outliers: OutlierDetector, slow_start: SlowStart
) -> list[EndpointSnapshot]:
    """Returns a snapshot of each known server."""
    traffic = outliers.traffic
    mean_rtt, retention = min(traffic.mean_rtt), traffic.retention(len(subset.members))
    limit = subset.controller.current_limit() / max(1, len(subset.eligible))
    result = []
    for server in subset.servers.values():
        cost = server.load(now, mean_rtt, retention, traffic.mean_cost) / (server.in_flight + 1)
        state = EndpointState.READY if server.listed else EndpointState.DRAINING
        factor = slow_start.factor(now, server)
        result.append(EndpointSnapshot(server.id, state, server.ejected, factor, cost, limit))
    return result
