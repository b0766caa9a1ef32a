"""Options with which a node is started, besides its configuration file."""

from __future__ import annotations

import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from harecross.discovery.endpoint_registry import EndpointListConsumer, EndpointRegistry
from harecross.dispatch.dispatcher import RequestDispatcher
from harecross.node.handover_store import HandoverStore

DEFAULT_REPORT_INTERVAL_S = 10.0
DEFAULT_LISTEN_BACKLOG = 1024


class EmbeddedService(Protocol):
    """A service that runs in the node's process and reads its endpoint registry."""

    async def start(self, dispatcher: RequestDispatcher, registry: EndpointRegistry) -> None:
        """Starts serving. Raises OSError if the service cannot listen."""

    async def stop(self) -> None:
        """Stops serving."""


class AdditionalSources(EndpointListConsumer, Protocol):
    """Endpoint sources besides the platform's watch, which may be one of them (`sources.manager.SourceManager`)."""

    @property
    def includes_watch(self) -> bool:
        """Whether the platform's watch is one of the sources."""

    @property
    def list_is_current(self) -> bool:
        """Whether the list that is merged from the sources is current."""

    def start(self) -> None:
        """Starts querying the sources."""

    def republish(self) -> None:
        """Publishes the full list once more. Called if a poll is requested and there is no watch."""

    def on_names_changed(self, callback: Callable[[], None]) -> None:
        """Registers a callback that is called before endpoints with new names are published."""

    def explain(self, endpoint: str) -> dict[str, Any]:
        """Returns what each source states about the endpoint `endpoint`, or about all endpoints if it is empty."""

    async def stop(self) -> None:
        """Stops querying the sources."""


@dataclass(frozen=True, slots=True)
class NodeOptions:
    """Settings of the operators' file, and resources that the parent process passes on.

    Attributes:
        attempt_log: The path of the attempt log, or "-" for standard error. No attempt log is written if it is empty.
        inherited_listener: A listening socket that other processes may share; None if the node binds its own.
        handover_store: The files of the node's processes, if this one is registered there already.
        state_folder: A folder that outlives the process. Without it the maintenance state is kept only in memory.
    """

    report_interval_s: float = DEFAULT_REPORT_INTERVAL_S
    listen_backlog: int = DEFAULT_LISTEN_BACKLOG
    attempt_log: str = ""
    embedded_service: EmbeddedService | None = None
    additional_sources: Callable[[EndpointRegistry], AdditionalSources] | None = None
    inherited_listener: socket.socket | None = None
    state_folder: str | None = None
    handover_store: HandoverStore | None = None
