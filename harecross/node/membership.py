"""The sources of a node's endpoint list: the platform's watch, and additional sources if any are configured."""

from __future__ import annotations

import asyncio
from time import monotonic
from typing import Any

from harecross.discovery.discovery_client import DiscoveryClient
from harecross.discovery.readiness import Freshness, ListReadiness, max_start_wait_s
from harecross.node.options import AdditionalSources
from harecross.platform.log import log_line


class Membership:
    """Starts and stops the sources of the endpoint list, and tracks whether the list is current."""

    def __init__(
        self,
        discovery: DiscoveryClient,
        readiness: ListReadiness,
        additional_sources: AdditionalSources | None,
    ) -> None:
        self.discovery = discovery
        self.readiness = readiness
        self.additional_sources = additional_sources
        self.first_list_received = asyncio.Event()
        discovery.on_current_list = self.list_received

    def watches_platform(self) -> bool:
        """Returns whether the platform's watch is a source."""
        return self.additional_sources is None or self.additional_sources.includes_watch

    def has_current_list(self) -> bool:
        """Returns whether any source has sent its list to this process."""
        return self.discovery.list_received or self.additional_list_is_current()

    def additional_list_is_current(self) -> bool:
        """Returns whether the list of the additional sources is current."""
        return self.additional_sources is not None and self.additional_sources.list_is_current

    def list_received(self) -> None:
        """Records that the current list was received by this process, and not stored by an earlier one."""
        if not self.first_list_received.is_set():
            self.readiness.list_confirmed()
            self.first_list_received.set()

    def start(self, configured_list: Any) -> None:
        """Starts the additional sources; the caller then calls `start_watch`.

        `configured_list` is the endpoint list of the configuration, or None.
        """
        if configured_list is not None:
            self.use_configured_list(configured_list)
        if self.additional_sources is not None:
            self.additional_sources.start()

    def use_configured_list(self, configured_list: Any) -> None:
        """Uses the endpoint list of the configuration until a source sends its own."""
        try:
            self.discovery.use_configured_list(configured_list)
            self.readiness.configured_list_loaded()
        except ValueError as error:
            log_line(f"endpoint list of the configuration (known) not used: {error}")

    def start_watch(self, other_processes: int) -> None:
        """Opens the watch if discovery pushes endpoints, and sets how long the start waits for the first list."""
        if not self.discovery.settings.polled:
            self.subscribe(True)
        if not self.watches_platform():
            # The stored lists of the additional sources are used from the start.
            self.list_received()
        elif other_processes:
            self.readiness.wait_until = monotonic() + max_start_wait_s(
                self.discovery.settings, replaces_process=True
            )

    def subscribe(self, on: bool) -> None:
        """Opens or closes the platform's watch, if it is a source (see `EndpointSubscription`)."""
        if not on:
            self.discovery.unsubscribe()
        elif self.watches_platform():
            self.discovery.subscribe()

    def poll_endpoints(self) -> None:
        """Polls discovery once, or republishes the merged list if the watch is not a source.

        See `EndpointSubscription`.
        """
        if self.additional_sources is None or self.additional_sources.includes_watch:
            self.discovery.poll()
        else:
            self.additional_sources.republish()

    async def stop(self) -> None:
        """Closes the watch and stops the additional sources."""
        self.discovery.unsubscribe()
        if self.additional_sources is not None:
            await self.additional_sources.stop()

    def report_fields(self) -> dict[str, float]:
        """Returns the fields of the report line that describe the age of the endpoint list."""
        if not self.watches_platform():
            return {}
        now = monotonic()
        report_fields = self.discovery.schedule.report_fields(now)
        freshness = self.readiness.freshness(now, self.discovery.schedule)
        if freshness in (Freshness.NONE, Freshness.CONFIGURED, Freshness.STALE):
            report_fields[f"list_{freshness.value}"] = 1.0
        return report_fields
