"""The schema of `[sources]`, in the operators' file and in a cluster of the control service.

Unknown keys are rejected.
"""

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
    """One SRV name (`[[sources.srv]]`).

    Attributes:
        name: The SRV name.
        rank: The rank of the source; if sources disagree, the one with the lowest rank decides.
        zone: The zone of the endpoints, which DNS does not provide.
        priority: The number that is added to the priority of the name's endpoints, which counts from 0.
        resolvers: The DNS servers of this name, instead of those of the `[sources]` table.
        floor_s: The lower bound of the time for which an answer is fresh, in seconds.
        ceiling_s: The upper bound of the time for which an answer is fresh, in seconds.
        stale_max_s: The time for which an expired set may be used, in seconds.
        doubt_s: The time for which DNS must answer that a name is empty before its good set is dropped, in seconds.
    """

    name: str
    rank: Rank = 1
    zone: str = ""
    priority: Annotated[int, msgspec.Meta(ge=0, le=1000)] = 0
    resolvers: tuple[str, ...] = ()
    floor_s: Seconds = 1.0
    ceiling_s: Seconds = 3600.0
    stale_max_s: Seconds = 86_400.0
    doubt_s: Seconds = 30.0


class AddressFileConfig(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One address file (`[[sources.file]]`).

    Attributes:
        path: The path of the file.
        rank: The rank of the source; if sources disagree, the one with the lowest rank decides.
        zone: The zone of endpoints whose line names none.
        priority: The number that is added to the priority of the file's endpoints.
    """

    path: str
    rank: Rank = 2
    zone: str = ""
    priority: Annotated[int, msgspec.Meta(ge=0, le=1000)] = 0


class SourcesTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The `[sources]` table. Without `srv` and `file`, the watch is the only source and the table has no effect.

    Attributes:
        srv: The SRV names that are sources.
        file: The address files that are sources.
        resolvers: The DNS servers, each as IP-ADDRESS:PORT or tls://IP-ADDRESS:PORT.
        tls_ca: The path of a CA certificate file for TLS to the DNS servers; empty for the system's certificates.
        tls_name: The name in the certificate of the DNS servers; empty to expect their address.
        keep: The path of the file that caches the last good sets; empty for no cache.
        watch: Whether the platform's watch is a source too.
        watch_rank: The rank of the watch; if sources disagree, the one with the lowest rank decides.
        watch_stale_s: The time after which the list of a silent watch is stale, in seconds.
        step_s: The time for which sources may disagree because one lags behind another, in seconds.
        mass: The share of a source's list that it must drop within `step_s` for a mass drop, which does not count
            while another source lists the endpoints.
        overflow_enter: The share of healthy endpoints below which the next priority is used too.
        overflow_leave: The share of healthy endpoints at which the next priority is no longer used.
    """

    srv: tuple[SrvConfig, ...] = ()
    file: tuple[AddressFileConfig, ...] = ()
    resolvers: tuple[str, ...] = ()
    tls_ca: str = ""
    tls_name: str = ""
    keep: str = ""
    watch: bool = True
    watch_rank: Rank = 0
    watch_stale_s: Seconds = 10.0
    step_s: Annotated[float, msgspec.Meta(ge=1, le=3600)] = 60.0
    mass: Share = 0.3
    overflow_enter: Share = 0.5
    overflow_leave: Share = 0.7

    @property
    def has_additional_sources(self) -> bool:
        """Whether there is any source besides the watch."""
        return bool(self.srv or self.file)

    def merge_limits(self) -> MergeLimits:
        """Returns the limits within which sources may disagree."""
        return MergeLimits(self.step_s, self.mass)

    def servers(self, srv: SrvConfig) -> tuple[str, ...]:
        """Returns the DNS servers to query for an SRV name."""
        return srv.resolvers or self.resolvers


def check(table: SourcesTable, key: str = "sources") -> None:
    """Checks what the schema cannot express, and reads the address files.

    `key` is the key of the table in its file. Raises ValueError, which names the key and what is allowed.
    """
    if not 0 < table.overflow_enter < table.overflow_leave <= 1:
        raise ValueError(f"{key}.overflow_enter: must be below overflow_leave")
    if not table.watch and not table.has_additional_sources:
        raise ValueError(f"{key}.watch: false leaves no source; add [[{key}.srv]] or [[{key}.file]]")
    if table.tls_ca and not Path(table.tls_ca).is_file():
        raise ValueError(f"{key}.tls_ca: {table.tls_ca!r} is not a file")
    if table.keep and not Path(table.keep).absolute().parent.is_dir():
        raise ValueError(f"{key}.keep: {str(Path(table.keep).parent)!r} is not a directory")
    _check_unique(f"{key}.srv", "name", [srv.name for srv in table.srv])
    _check_unique(f"{key}.file", "path", [file.path for file in table.file])
    for index, file in enumerate(table.file):
        _check_file(file, f"{key}.file[{index}]")
    for index, srv in enumerate(table.srv):
        _check_srv(table, srv, key, f"{key}.srv[{index}]")


def _check_unique(array_key: str, key: str, values: Sequence[str]) -> None:
    repeated = sorted({value for value in values if values.count(value) > 1})
    if repeated:
        raise ValueError(f"{array_key}: {key} {repeated[0]!r} is repeated")


def _check_file(file: AddressFileConfig, key: str) -> None:
    try:
        read_address_file(file.path)
    except OSError as error:
        raise ValueError(f"{key}.path: {file.path}: {error.strerror}") from None
    except AddressFileError as error:
        raise ValueError(f"{key}.path: {file.path}: {error}") from None


def _check_srv(table: SourcesTable, srv: SrvConfig, table_key: str, key: str) -> None:
    srv_query_name(srv.name, f"{key}.name")
    if srv.floor_s > srv.ceiling_s:
        raise ValueError(f"{key}.floor_s: must not exceed ceiling_s")
    servers = table.servers(srv)
    if not servers:
        raise ValueError(f"{key}: no DNS server: set {table_key}.resolvers or {key}.resolvers")
    for server in servers:
        server_address(server, f"{table_key}.resolvers")


def srv_query_name(text: str, key: str) -> str:
    """Returns an SRV name in the form in which it is queried.

    Raises ValueError, which names `key`, if the name is invalid or the extra `dns` is not installed.
    """
    try:
        from harecross.dns.message import normalize_name
    except ImportError as error:
        raise ValueError(f"{key}: requires the extra `dns`: {error}") from None
    try:
        return normalize_name(text)
    except ValueError as error:
        raise ValueError(f"{key}: {error}") from None
