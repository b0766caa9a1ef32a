"""The control service's file (`deploy/control.toml`), read strictly."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

import msgspec

from harecross.operators import OperatorsFileError, read_toml
from harecross.settings import parse_address
from harecross.sources.config import SourcesTable, SrvConfig
from harecross.sources.config import check as check_sources
from harecross.xds.access import is_loopback

Seconds = Annotated[float, msgspec.Meta(ge=0.01, le=3600)]
SecondsOrZero = Annotated[float, msgspec.Meta(ge=0, le=3600)]


class ControlFileTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A table in which an unknown key is an error."""


class ControlTable(ControlFileTable, frozen=True):
    """`[control]`."""

    listen: str = "127.0.0.1:18000"
    plaintext: Literal["loopback", "anywhere"] = "loopback"
    interval_s: Seconds = 1.0  # least time between two releases of weights
    workers: Annotated[int, msgspec.Meta(ge=1, le=64)] = 1  # processes that serve streams; 1: this one
    wait_s: SecondsOrZero = 5.0  # at the start, for the first whole lists
    remember: str = ""  # a file
    adaptive_concurrency: bool = False
    load_reports_s: SecondsOrZero = 5.0  # 0: none are asked for
    status: tuple[str, ...] = ("*",)  # certificate names that may ask for the status


class TlsTable(ControlFileTable, frozen=True):
    """`[tls]`: files, read again when they change."""

    certificate: str
    key: str
    client_ca: str = ""  # with it, clients must show a certificate


class Limits(ControlFileTable, frozen=True):
    """`[limits]`: how much of the service clients may use."""

    streams: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 5000
    subscriptions: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] = 10_000  # of one stream and type
    message_bytes: Annotated[int, msgspec.Meta(ge=1024, le=1 << 26)] = 1 << 20  # of one request


class ProbeTable(ControlFileTable, frozen=True):
    """`[clusters.NAME.probe]`."""

    kind: Literal["http", "tcp"] = "http"
    interval_s: Seconds = 2.0
    timeout_s: Annotated[float, msgspec.Meta(ge=0.01, le=60)] = 0.25


class ClusterTable(ControlFileTable, frozen=True):
    """`[clusters.NAME]`."""

    discovery: str = ""  # the platform's; not needed where there are other sources
    srv: str | tuple[str, ...] = ()  # SRV names that list its servers too
    resolvers: tuple[str, ...] = ()  # DNS servers for them
    sources: SourcesTable | None = None  # in place of the two above, as `[sources]` of a node
    probe: ProbeTable = ProbeTable()
    columns: tuple[str, ...] = ()  # of the servers' load reports, as the node's configuration names them
    cross_zone_price: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.0
    calls_per_server: Annotated[float, msgspec.Meta(ge=0)] = 0.0  # in flight; 0: no limit
    cold_s: SecondsOrZero = 0.0
    cold_start: Annotated[float, msgspec.Meta(gt=0, le=1)] = (
        0.25  # the part of its capacity that a started server has
    )

    def sources_table(self) -> SourcesTable:
        """The cluster's sources; the watch is one of them where `discovery` is set."""
        watch = bool(self.discovery)
        if self.sources is not None:
            return msgspec.structs.replace(self.sources, watch=watch and self.sources.watch)
        names = (self.srv,) if isinstance(self.srv, str) else self.srv
        return SourcesTable(
            srv=tuple(SrvConfig(name) for name in names if name), resolvers=self.resolvers, watch=watch
        )


class ControlFile(ControlFileTable, frozen=True):
    """The whole file."""

    clusters: dict[str, ClusterTable]
    control: ControlTable = ControlTable()
    tls: TlsTable | None = None
    limits: Limits = Limits()
    clients: dict[str, tuple[str, ...]] = {}


def listen_address(text: str, *, anywhere: bool) -> tuple[str, int]:
    """Where to listen without TLS. ValueError beyond loopback, unless that is allowed."""
    host, port = parse_address(text)
    if not anywhere and not is_loopback(host):
        raise ValueError(f'{text!r} is not loopback: set [tls], or plaintext = "anywhere"')
    return host, port


def read_control(path: str | Path) -> ControlFile:
    """The file. OperatorsFileError names the file, the key and what is allowed."""
    file = read_toml(path, ControlFile)
    check = ControlCheck(path)
    check.require("clusters", bool(file.clusters), "at least one [clusters.NAME] is needed")
    for name, cluster in file.clusters.items():
        check.sources(name, cluster)
    check.addresses(file)
    if file.tls is None:
        check.plaintext(file)
    else:
        check.tls(file, file.tls)
    check.clients(file)
    return file


class ControlCheck:
    """What a schema cannot say of the file."""

    def __init__(self, path: str | Path) -> None:
        self._path = path

    def require(self, key: str, valid: bool, allowed: str) -> None:
        """OperatorsFileError where a key is not valid."""
        if not valid:
            raise OperatorsFileError(f"{self._path}: {key}: {allowed}")

    def sources(self, name: str, cluster: ClusterTable) -> None:
        """A cluster must have a source, and name its SRV names in one place."""
        key, table = f"clusters.{name}", cluster.sources_table()
        self.require(key, bool(cluster.discovery) or table.on, "discovery, srv or sources is needed")
        twice = bool(cluster.sources and (cluster.srv or cluster.resolvers))
        self.require(f"{key}.sources", not twice, "not beside srv and resolvers: name them in it")
        try:
            check_sources(table, f"{key}.sources" if cluster.sources else key)
        except ValueError as error:
            raise OperatorsFileError(f"{self._path}: {error}") from None

    def addresses(self, file: ControlFile) -> None:
        """Addresses must be HOST:PORT."""
        addresses = {"control.listen": file.control.listen}
        for name, cluster in file.clusters.items():
            if cluster.discovery:
                addresses[f"clusters.{name}.discovery"] = cluster.discovery
        for key, text in addresses.items():
            try:
                parse_address(text)
            except ValueError as error:
                raise OperatorsFileError(f"{self._path}: {key}: {error}") from None

    def plaintext(self, file: ControlFile) -> None:
        """Without TLS the service listens on loopback alone, and knows no client by name."""
        try:
            listen_address(file.control.listen, anywhere=file.control.plaintext == "anywhere")
        except ValueError as error:
            raise OperatorsFileError(f"{self._path}: control.listen: {error}") from None
        allowed = "needs [tls] with client_ca: without certificates there are no names"
        self.require("clients", not file.clients, allowed)

    def tls(self, file: ControlFile, tls: TlsTable) -> None:
        """The files must exist, and rules for clients need certificates of them."""
        for key, name in (("certificate", tls.certificate), ("key", tls.key), ("client_ca", tls.client_ca)):
            self.require(f"tls.{key}", not name or Path(name).is_file(), f"{name!r} is not a file")
        self.require("clients", not file.clients or bool(tls.client_ca), "needs tls.client_ca")

    def clients(self, file: ControlFile) -> None:
        """Rules must name clusters that exist."""
        for pattern, names in file.clients.items():
            unknown = [name for name in names if name != "*" and name not in file.clusters]
            allowed = f"{', '.join(unknown)}: no such cluster (or * for all)"
            self.require(f"clients.{pattern!r}", not unknown, allowed)
