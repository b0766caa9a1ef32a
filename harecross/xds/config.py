"""The control service's file (`deploy/control.toml`), read strictly."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

import msgspec

from harecross.operators import OperatorsFileError, read_toml
from harecross.settings import address
from harecross.sources.config import SourcesTable, Srv
from harecross.sources.config import check as check_sources
from harecross.xds.access import loopback

Seconds = Annotated[float, msgspec.Meta(ge=0.01, le=3600)]
SecondsOrNone = Annotated[float, msgspec.Meta(ge=0, le=3600)]


class Strict(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A table in which an unknown key is an error."""


class ControlTable(Strict, frozen=True):
    """`[control]`."""

    listen: str = "127.0.0.1:18000"
    plaintext: Literal["loopback", "anywhere"] = "loopback"
    interval_s: Seconds = 1.0  # least time between two releases of weights
    workers: Annotated[int, msgspec.Meta(ge=1, le=64)] = 1  # processes that serve streams; 1: this one
    wait_s: SecondsOrNone = 5.0  # at the start, for the first whole lists
    remember: str = ""  # a file
    adaptive_concurrency: bool = False
    load_reports_s: SecondsOrNone = 5.0  # 0: none are asked for
    status: tuple[str, ...] = ("*",)  # certificate names that may ask for the status


class TlsTable(Strict, frozen=True):
    """`[tls]`: files, read again when they change."""

    certificate: str
    key: str
    client_ca: str = ""  # with it, clients must show a certificate


class Limits(Strict, frozen=True):
    """`[limits]`: bounds on what clients may do to the service."""

    streams: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 5000
    subscriptions: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] = 10_000  # of one stream and type
    message_bytes: Annotated[int, msgspec.Meta(ge=1024, le=1 << 26)] = 1 << 20  # of one request


class ProbeTable(Strict, frozen=True):
    """`[clusters.NAME.probe]`."""

    kind: Literal["http", "tcp"] = "http"
    interval_s: Seconds = 2.0
    timeout_s: Annotated[float, msgspec.Meta(ge=0.01, le=60)] = 0.25


class ClusterTable(Strict, frozen=True):
    """`[clusters.NAME]`."""

    discovery: str = ""  # the platform's; not needed where there are other sources
    srv: str | tuple[str, ...] = ()  # SRV names that list its servers too
    resolvers: tuple[str, ...] = ()  # DNS servers for them
    sources: SourcesTable | None = None  # in place of the two above: all that `[sources]` of a node knows
    probe: ProbeTable = ProbeTable()
    columns: tuple[str, ...] = ()  # of the servers' load reports, as the node's configuration names them
    cross_zone_price: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.0
    calls_per_server: Annotated[float, msgspec.Meta(ge=0)] = 0.0  # 0: no bound on calls out
    cold_s: SecondsOrNone = 0.0
    cold_start: Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.25  # share of its capacity a fresh server has

    def table(self) -> SourcesTable:
        """Its sources; the watch is one of them where `discovery` is set."""
        watch = bool(self.discovery)
        if self.sources is not None:
            return msgspec.structs.replace(self.sources, watch=watch and self.sources.watch)
        names = (self.srv,) if isinstance(self.srv, str) else self.srv
        return SourcesTable(
            srv=tuple(Srv(name) for name in names if name), resolvers=self.resolvers, watch=watch
        )


class ControlFile(Strict, frozen=True):
    """The whole file."""

    clusters: dict[str, ClusterTable]
    control: ControlTable = ControlTable()
    tls: TlsTable | None = None
    limits: Limits = Limits()
    clients: dict[str, tuple[str, ...]] = {}


def listen_address(text: str, anywhere: bool) -> tuple[str, int]:
    """Where to listen without TLS. ValueError beyond loopback, unless that is allowed."""
    host, port = address(text)
    if not anywhere and not loopback(host):
        raise ValueError(f'{text!r} is not loopback: set [tls], or plaintext = "anywhere"')
    return host, port


def read_control(path: str | Path) -> ControlFile:
    """The file. OperatorsFileError names the file, the key and what is allowed."""
    told = read_toml(path, ControlFile)

    def check(key: str, ok: bool, allowed: str) -> None:
        if not ok:
            raise OperatorsFileError(f"{path}: {key}: {allowed}")

    check("clusters", bool(told.clusters), "at least one [clusters.NAME] is needed")
    for name, cluster in told.clusters.items():
        here, table = f"clusters.{name}", cluster.table()
        check(here, bool(cluster.discovery) or table.on, "discovery, srv or sources is needed")
        check(f"{here}.sources", not (cluster.sources and (cluster.srv or cluster.resolvers)),
              "not beside srv and resolvers: name them in it")  # fmt: skip
        try:
            check_sources(table, f"{here}.sources" if cluster.sources else here)
        except ValueError as e:
            raise OperatorsFileError(f"{path}: {e}") from None
    for key, text in [("control.listen", told.control.listen)] + [
        (f"clusters.{n}.discovery", c.discovery) for n, c in told.clusters.items() if c.discovery
    ]:
        try:
            address(text)
        except ValueError as e:
            raise OperatorsFileError(f"{path}: {key}: {e}") from None
    if told.tls is None:
        try:
            listen_address(told.control.listen, told.control.plaintext == "anywhere")
        except ValueError as e:
            raise OperatorsFileError(f"{path}: control.listen: {e}") from None
        check(
            "clients", not told.clients, "needs [tls] with client_ca: without certificates there are no names"
        )
    else:
        for name, file in (
            ("certificate", told.tls.certificate),
            ("key", told.tls.key),
            ("client_ca", told.tls.client_ca),
        ):
            check(f"tls.{name}", not file or Path(file).is_file(), f"{file!r} is not a file")
        check("clients", not told.clients or bool(told.tls.client_ca), "needs tls.client_ca")
    for pattern, names in told.clients.items():
        unknown = [n for n in names if n != "*" and n not in told.clusters]
        check(f"clients.{pattern!r}", not unknown, f"{', '.join(unknown)}: no such cluster (or * for all)")
    return told
