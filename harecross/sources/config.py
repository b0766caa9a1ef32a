"""`[sources]` of the operators' file, and `srv`, `file` of a cluster of the control service: read strictly."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import Annotated

import msgspec

from harecross.dns.servers import server_address
from harecross.sources.address_file import AddressFileError, read_address_file
from harecross.sources.source import MergeLimits

Rank = Annotated[int, msgspec.Meta(ge=0, le=1000)]
Seconds = Annotated[float, msgspec.Meta(ge=0.05, le=7 * 86_400)]
Share = Annotated[float, msgspec.Meta(gt=0, le=1)]


class SrvConfig(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One SRV name (`[[sources.srv]]`)."""

    name: str
    rank: Rank = 1  # the source with the lower one is believed
    zone: str = ""  # of its endpoints: DNS has none
    priority: Annotated[int, msgspec.Meta(ge=0, le=1000)] = (
        0  # added to those of the name's records, which count from 0
    )
    resolvers: tuple[str, ...] = ()  # in place of the table's
    floor_s: Seconds = 1.0
    ceiling_s: Seconds = 3600.0
    stale_max_s: Seconds = 86_400.0
    doubt_s: Seconds = 30.0


class AddressFileConfig(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One file of addresses (`[[sources.file]]`)."""

    path: str
    rank: Rank = 2
    zone: str = ""
    priority: Annotated[int, msgspec.Meta(ge=0, le=1000)] = 0


class SourcesTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[sources]`. Without `srv` and `file` the watch is all there is, and none of this is in use."""

    srv: tuple[SrvConfig, ...] = ()
    file: tuple[AddressFileConfig, ...] = ()
    resolvers: tuple[str, ...] = ()  # IP-ADDRESS:PORT, or tls://IP-ADDRESS:PORT
    tls_ca: str = ""  # a file; without it the system's
    tls_name: str = ""  # the name the resolvers' certificate must bear; without it their address
    keep: str = ""  # a file for the last good sets
    watch: bool = True  # the platform's watch is a source too
    watch_rank: Rank = 0
    watch_stale_s: Seconds = 10.0
    step_s: Annotated[float, msgspec.Meta(ge=1, le=3600)] = 60.0
    mass: Share = 0.3
    overflow_enter: Share = 0.5
    overflow_leave: Share = 0.7

    @property
    def has_additional_sources(self) -> bool:
        """Whether there is any source beside the watch."""
        return bool(self.srv or self.file)

    def merge_limits(self) -> MergeLimits:
        """How far sources may disagree."""
        return MergeLimits(self.step_s, self.mass)

    def servers(self, srv: SrvConfig) -> tuple[str, ...]:
        """The DNS servers that a name is queried from."""
        return srv.resolvers or self.resolvers


def check(table: SourcesTable, where: str = "sources") -> None:
    """Checks what a schema cannot, and reads the files of addresses. ValueError names the key and what is allowed."""
    if not 0 < table.overflow_enter < table.overflow_leave <= 1:
        raise ValueError(f"{where}.overflow_enter: below overflow_leave")
    if not table.watch and not table.has_additional_sources:
        raise ValueError(f"{where}.watch: false leaves no source; add [[{where}.srv]] or [[{where}.file]]")
    if table.tls_ca and not Path(table.tls_ca).is_file():
        raise ValueError(f"{where}.tls_ca: {table.tls_ca!r} is not a file")
    if table.keep and not Path(table.keep).absolute().parent.is_dir():
        raise ValueError(f"{where}.keep: {str(Path(table.keep).parent)!r} is no folder")
    _check_unique(f"{where}.srv", "name", [srv.name for srv in table.srv])
    _check_unique(f"{where}.file", "path", [file.path for file in table.file])
    for index, file in enumerate(table.file):
        _check_file(file, f"{where}.file[{index}]")
    for index, srv in enumerate(table.srv):
        _check_srv(table, srv, where, f"{where}.srv[{index}]")


def _check_unique(where: str, key: str, values: Sequence[str]) -> None:
    repeated = sorted({value for value in values if values.count(value) > 1})
    if repeated:
        raise ValueError(f"{where}: {key} {repeated[0]!r} is there twice")


def _check_file(file: AddressFileConfig, where: str) -> None:
    try:
        read_address_file(file.path)
    except OSError as error:
        raise ValueError(f"{where}.path: {file.path}: {error.strerror}") from None
    except AddressFileError as error:
        raise ValueError(f"{where}.path: {file.path}: {error}") from None


def _check_srv(table: SourcesTable, srv: SrvConfig, table_name: str, where: str) -> None:
    srv_query_name(srv.name, f"{where}.name")
    if srv.floor_s > srv.ceiling_s:
        raise ValueError(f"{where}.floor_s: at most ceiling_s")
    servers = table.servers(srv)
    if not servers:
        raise ValueError(f"{where}: no DNS server: set {table_name}.resolvers, or resolvers here")
    for server in servers:
        server_address(server, f"{table_name}.resolvers")


def srv_query_name(text: str, where: str) -> str:
    """An SRV name in the form in which it is queried. ValueError, with `where`, for one that cannot be."""
    try:
        from harecross.dns.message import normalize_name
    except ImportError as error:
        raise ValueError(f"{where}: needs the extra `dns`: {error}") from None
    try:
        return normalize_name(text)
    except ValueError as error:
        raise ValueError(f"{where}: {error}") from None
