"""What a node is started with beside its configuration file."""

from __future__ import annotations

import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from harecross.discovery.endpoint_registry import EndpointListConsumer, EndpointRegistry
from harecross.dispatch.dispatcher import RequestDispatcher

DEFAULT_REPORT_INTERVAL_S = 10.0
DEFAULT_LISTEN_BACKLOG = 1024


class EmbeddedService(Protocol):
    """A service that runs in the node's process and reads its endpoint registry."""

    async def start(self, dispatcher: RequestDispatcher, registry: EndpointRegistry) -> None:
        """Starts serving. OSError if the service cannot listen."""

    async def stop(self) -> None:
        """Stops serving."""


class AdditionalSources(EndpointListConsumer, Protocol):
    """Sources of membership beside the platform's watch, which may be one of them (`sources.manager.SourceManager`)."""

    @property
    def includes_watch(self) -> bool:
        """Whether the platform's watch is one of the sources."""

    @property
    def list_is_current(self) -> bool:
        """Whether the list that the sources make up can be relied on."""

    def start(self) -> None:
        """Starts to query the sources."""

    def republish(self) -> None:
        """Publishes the whole list once more; called when a poll is asked for and there is no watch."""

    def on_names_changed(self, callback: Callable[[], None]) -> None:
        """`callback` is called before endpoints with new names are published."""

    def explain(self, endpoint: str) -> dict[str, Any]:
        """What each source states of one endpoint, or of all for an empty name."""

    async def stop(self) -> None:
        """Stops to query the sources."""


@dataclass(frozen=True, slots=True)
class NodeOptions:
    """Settings of the operators' file, and what the parent process passes on."""

    report_interval_s: float = DEFAULT_REPORT_INTERVAL_S
    listen_backlog: int = DEFAULT_LISTEN_BACKLOG
    attempt_log: str = ""  # a file, or "-" for standard error; empty for no attempt log
    embedded_service: EmbeddedService | None = None
    additional_sources: Callable[[EndpointRegistry], AdditionalSources] | None = None
    inherited_listener: socket.socket | None = None  # a listening socket that other processes may share
    state_folder: str | None = None  # outlives the process; None keeps maintenance state in memory alone
