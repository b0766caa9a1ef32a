"""Reads and checks the control service's configuration file (`deploy/control.toml`)."""

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
    """A table of the file, in which an unknown key is an error."""


class ControlTable(ControlFileTable, frozen=True):
    """The table `[control]`: settings of the service.

    Attributes:
        listen: The address to listen on, as HOST:PORT.
        plaintext: Whether the service may listen beyond loopback without TLS.
        interval_s: The minimum time between two releases of weights.
        workers: How many processes serve streams. With 1, the service's own process serves them.
        wait_s: How long a start waits for the first full lists before it publishes without them.
        remember: The file that keeps the endpoint lists over a restart; empty to keep none.
        adaptive_concurrency: Whether listeners contain Envoy's adaptive concurrency filter.
        load_reports_s: The interval at which proxies send load reports, 0 for no load reports.
        status: Patterns of the certificate names that may query the status.
    """

    listen: str = "127.0.0.1:18000"
    plaintext: Literal["loopback", "anywhere"] = "loopback"
    interval_s: Seconds = 1.0
    workers: Annotated[int, msgspec.Meta(ge=1, le=64)] = 1
    wait_s: SecondsOrZero = 5.0
    remember: str = ""
    adaptive_concurrency: bool = False
    load_reports_s: SecondsOrZero = 5.0
    status: tuple[str, ...] = ("*",)


class TlsTable(ControlFileTable, frozen=True):
    """The table `[tls]`: paths of files, which are read again when they change.

    Attributes:
        client_ca: The certificate authority of clients. If it is set, clients must present a certificate.
    """

    certificate: str
    key: str
    client_ca: str = ""


class Limits(ControlFileTable, frozen=True):
    """The table `[limits]`: limits on what clients may use of the service.

    Attributes:
        streams: How many streams each serving process may have open.
        subscriptions: How many resources of one type a stream may subscribe to.
        message_bytes: The maximum size of one request.
    """

    streams: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 5000
    subscriptions: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] = 10_000
    message_bytes: Annotated[int, msgspec.Meta(ge=1024, le=1 << 26)] = 1 << 20


class ProbeTable(ControlFileTable, frozen=True):
    """The table `[clusters.NAME.probe]`: the health checks of the cluster's servers."""

    kind: Literal["http", "tcp"] = "http"
    interval_s: Seconds = 2.0
    timeout_s: Annotated[float, msgspec.Meta(ge=0.01, le=60)] = 0.25


class ClusterTable(ControlFileTable, frozen=True):
    """The table `[clusters.NAME]`: one cluster and its sources.

    Attributes:
        discovery: The address of the platform's discovery; not needed if the cluster has other sources.
        srv: SRV names that also list the cluster's servers.
        resolvers: The DNS servers that resolve `srv`.
        sources: Replaces `srv` and `resolvers`; has the form of `[sources]` of a node.
        columns: The fields of the servers' load reports, named as in the node's configuration.
        cross_zone_price: The fraction of a request's priority weight that sending it to another zone costs. From 0.01
            on, proxies prefer servers in their own zone.
        calls_per_server: How many requests a server may have in flight, 0 for no limit.
        cold_s: The duration of slow start.
        cold_start: The fraction of its capacity that a server has at the beginning of slow start.
    """

    discovery: str = ""
    srv: str | tuple[str, ...] = ()
    resolvers: tuple[str, ...] = ()
    sources: SourcesTable | None = None
    probe: ProbeTable = ProbeTable()
    columns: tuple[str, ...] = ()
    cross_zone_price: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.0
    calls_per_server: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    cold_s: SecondsOrZero = 0.0
    cold_start: Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.25

    def sources_table(self) -> SourcesTable:
        """Returns the cluster's sources. The watch of discovery is one of them only if `discovery` is set."""
        watch = bool(self.discovery)
        if self.sources is not None:
            return msgspec.structs.replace(self.sources, watch=watch and self.sources.watch)
        names = (self.srv,) if isinstance(self.srv, str) else self.srv
        return SourcesTable(
            srv=tuple(SrvConfig(name) for name in names if name), resolvers=self.resolvers, watch=watch
        )


class ControlFile(ControlFileTable, frozen=True):
    """The configuration file.

    Attributes:
        clients: The clusters that a client may see, by a pattern of its certificate name; `*` stands for all.
            If there are no rules, every client may see all clusters.
    """

    clusters: dict[str, ClusterTable]
    control: ControlTable = ControlTable()
    tls: TlsTable | None = None
    limits: Limits = Limits()
    clients: dict[str, tuple[str, ...]] = {}


def listen_address(text: str, *, anywhere: bool) -> tuple[str, int]:
    """Parses the address to listen on without TLS. Raises ValueError unless it is loopback or `anywhere` is true."""
    host, port = parse_address(text)
    if not anywhere and not is_loopback(host):
        raise ValueError(f'{text!r} is not loopback: set [tls], or plaintext = "anywhere"')
    return host, port


def read_control(path: str | Path) -> ControlFile:
    """Reads the file. Raises OperatorsFileError, which names the file, the key and what is allowed."""
    file = read_toml(path, ControlFile)
    check = ControlFileChecker(path)
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


class ControlFileChecker:
    """Checks the rules for the file that its schema cannot express. A violation raises OperatorsFileError."""

    def __init__(self, path: str | Path) -> None:
        self._path = path

    def require(self, key: str, valid: bool, allowed: str) -> None:
        """Raises OperatorsFileError if a key is not valid."""
        if not valid:
            raise OperatorsFileError(f"{self._path}: {key}: {allowed}")

    def sources(self, name: str, cluster: ClusterTable) -> None:
        """Checks that a cluster has a source, and that its SRV names are set in one place."""
        key, table = f"clusters.{name}", cluster.sources_table()
        self.require(
            key,
            bool(cluster.discovery) or table.has_additional_sources,
            "at least one of discovery, srv and sources is required",
        )
        conflicting = bool(cluster.sources and (cluster.srv or cluster.resolvers))
        self.require(
            f"{key}.sources",
            not conflicting,
            "cannot be combined with srv and resolvers; set them in this table",
        )
        try:
            check_sources(table, f"{key}.sources" if cluster.sources else key)
        except ValueError as error:
            raise OperatorsFileError(f"{self._path}: {error}") from None

    def addresses(self, file: ControlFile) -> None:
        """Checks that addresses have the form HOST:PORT."""
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
        """Checks a file without [tls].

        The service may listen only on loopback, unless `plaintext` allows more, and there may be no rules for
        clients, because clients have no certificate names.
        """
        try:
            listen_address(file.control.listen, anywhere=file.control.plaintext == "anywhere")
        except ValueError as error:
            raise OperatorsFileError(f"{self._path}: control.listen: {error}") from None
        allowed = "requires [tls] with client_ca, because rules match the names in client certificates"
        self.require("clients", not file.clients, allowed)

    def tls(self, file: ControlFile, tls: TlsTable) -> None:
        """Checks that the files exist, and that rules for clients come with a `client_ca`."""
        for key, name in (("certificate", tls.certificate), ("key", tls.key), ("client_ca", tls.client_ca)):
            self.require(f"tls.{key}", not name or Path(name).is_file(), f"{name!r} is not a file")
        self.require("clients", not file.clients or bool(tls.client_ca), "requires tls.client_ca")

    def clients(self, file: ControlFile) -> None:
        """Checks that rules for clients name clusters of the file."""
        for pattern, names in file.clients.items():
            unknown = [name for name in names if name != "*" and name not in file.clusters]
            allowed = f"{', '.join(unknown)}: not a cluster in this file (* stands for all clusters)"
            self.require(f"clients.{pattern!r}", not unknown, allowed)
