"""The attempts in flight, which occupy their servers and the concurrency limit until their outcomes."""

from __future__ import annotations

from dataclasses import dataclass, field

from harecross.policy.controller import GradientController
from harecross.policy.records import Attempt, Request, Server
from harecross.policy.traffic_stats import TrafficStats


@dataclass(slots=True, eq=False)
class AttemptTable:
    """Owns each attempt from its sending to its outcome, whatever leaves before: client, server or list.

    An attempt whose body is being forwarded neither loads its server nor counts against the limit, but it
    keeps the record of its server.

    Attributes:
        by_request: The attempt in flight of each request, also after the client has disconnected.
    """

    controller: GradientController
    traffic: TrafficStats
    by_request: dict[int, Attempt] = field(default_factory=dict)

    def start(self, now: int, request: Request, server: Server) -> None:
        """Starts the next attempt of a request, which has none in flight."""
        request_class = request.request_class
        attempt = Attempt(server, request.attempts, request_class, server.cell, server.zone)
        self.by_request[request.id] = request.attempt = attempt
        request.sent_at = now
        request.attempts += 1
        server.open_attempts += 1
        self._change_in_flight(now, server, 1, self.traffic.mean_rtt[request_class])

    def end(self, now: int, request_id: int, number: int) -> Attempt | None:
        """Ends an attempt at its outcome and returns it; None if it is not in flight."""
        attempt = self.by_request.get(request_id)
        if attempt is None or attempt.number != number:
            return None
        del self.by_request[request_id]
        self.set_uploading(now, attempt, on=False)
        attempt.server.open_attempts -= 1
        self._change_in_flight(now, attempt.server, -1, max(self.traffic.mean_rtt))
        return attempt

    def set_uploading(self, now: int, attempt: Attempt, *, on: bool) -> bool:
        """Notes whether the body of the attempt is being forwarded; returns whether that is a change."""
        if attempt.uploading == on:
            return False
        attempt.uploading = on
        mean_rtt = self.traffic.mean_rtt[attempt.request_class]
        self._change_in_flight(now, attempt.server, -1 if on else 1, mean_rtt)
        return True

    def _change_in_flight(self, now: int, server: Server, change: int, mean_rtt: float) -> None:
        """Changes the requests in flight of a server, and of the limit unless that excludes the server."""
        server.in_flight += change
        if not server.excluded_from_limit:
            self.controller.change_in_flight(now, change, self.controller.current_limit(), mean_rtt)
