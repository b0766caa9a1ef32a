"""The operators' file as a node uses it. Its reader, and what it enables, are imported only where they are needed."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

from harecross.discovery.endpoint_registry import EndpointRegistry
from harecross.node.config import ConfigError
from harecross.node.options import AdditionalSources, EmbeddedService, NodeOptions

if TYPE_CHECKING:
    from harecross.operators import OperatorsFile, XdsTable
    from harecross.sources.config import SourcesTable


def options_from_operators_file() -> NodeOptions:
    """The options in the file that HARECROSS_CONFIG names; the default options where it names none."""
    path = os.environ.get("HARECROSS_CONFIG")
    if not path:
        return NodeOptions()
    file = read_operators_file(path)
    return NodeOptions(
        report_interval_s=file.log.report_every_s,
        attempt_log=file.log.attempts,
        listen_backlog=file.listen.backlog,
        embedded_service=embedded_xds_service(path, file.xds) if file.xds.listen else None,
        additional_sources=AdditionalSourcesFactory(path, file.sources)
        if file.sources.has_additional_sources
        else None,
    )


def read_operators_file(path: str) -> OperatorsFile:
    """Reads the file. ConfigError if it cannot be used."""
    from harecross.operators import OperatorsFile, OperatorsFileError, read_toml
    from harecross.sources.config import check

    try:
        file = read_toml(path, OperatorsFile)
        check(file.sources)
    except OperatorsFileError as error:
        raise ConfigError(str(error)) from None
    except ValueError as error:
        raise ConfigError(f"{path}: {error}") from None
    return file


def embedded_xds_service(path: str, table: XdsTable) -> EmbeddedService:
    """The xDS service of `[xds]`, not started yet."""
    try:
        from harecross.xds.config import listen_address
        from harecross.xds.embedded import EmbeddedControlService
    except ImportError as error:
        raise ConfigError(f"{path}: xds.listen needs the extra `xds`: {error}") from None
    try:
        listen_address(table.listen, anywhere=table.plaintext == "anywhere")
    except ValueError as error:
        raise ConfigError(f"{path}: xds.listen: {error}") from None
    return EmbeddedControlService(table.listen, table.cluster)


class AdditionalSourcesFactory:
    """Makes the sources of `[sources]` for a node's endpoint registry."""

    def __init__(self, path: str, table: SourcesTable) -> None:
        self.path = path
        self.table = table

    def __call__(self, registry: EndpointRegistry) -> AdditionalSources:
        """ConfigError for sources that cannot be used."""
        from harecross.sources.manager import SourceManager

        try:
            return SourceManager(self.table, registry)
        except ValueError as error:
            raise ConfigError(f"{self.path}: {error}") from None
