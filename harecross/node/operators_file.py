"""Converts the operators' file into options of a node.

The reader of the file, and the features that the file enables, are imported only if they are needed.
"""

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
    """Returns the options in the file that HARECROSS_CONFIG names, or the default options if it is unset."""
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
    """Reads and checks the file. Raises ConfigError if it cannot be used."""
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
    """Returns the xDS service of the table `[xds]`, not started yet. Raises ConfigError if it cannot be used."""
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
    """Creates the sources of the table `[sources]` for a node's endpoint registry."""

    def __init__(self, path: str, table: SourcesTable) -> None:
        self.path = path
        self.table = table

    def __call__(self, registry: EndpointRegistry) -> AdditionalSources:
        """Creates the sources. Raises ConfigError if they cannot be used."""
        from harecross.sources.manager import SourceManager

        try:
            return SourceManager(self.table, registry)
        except ValueError as error:
            raise ConfigError(f"{self.path}: {error}") from None
