"""`[sources]` of the operators' file, and `srv`, `file` of a cluster of the control service: read strictly."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import Annotated

import msgspec

from harecross.dns.servers import server_address
from harecross.sources.files import BadFile, read_file
from harecross.sources.ledger import Limits

Rank = Annotated[int, msgspec.Meta(ge=0, le=1000)]
Seconds = Annotated[float, msgspec.Meta(ge=0.05, le=7 * 86_400)]
Share = Annotated[float, msgspec.Meta(gt=0, le=1)]


class Srv(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One SRV name (`[[sources.srv]]`)."""

    name: str
    rank: Rank = 1  # the lower, the more it is believed
    zone: str = ""  # of its boxes: DNS tells none
    priority: Annotated[int, msgspec.Meta(ge=0, le=1000)] = 0  # added to the name's own, which count from 0
    resolvers: tuple[str, ...] = ()  # in place of the table's
    floor_s: Seconds = 1.0
    ceiling_s: Seconds = 3600.0
    stale_max_s: Seconds = 86_400.0
    doubt_s: Seconds = 30.0


class File(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One file of addresses (`[[sources.file]]`)."""

    path: str
    rank: Rank = 2
    zone: str = ""
    priority: Annotated[int, msgspec.Meta(ge=0, le=1000)] = 0


class SourcesTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[sources]`. Without `srv` and `file` the watch is all there is, and none of this is in use."""

    srv: tuple[Srv, ...] = ()
    file: tuple[File, ...] = ()
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
    def on(self) -> bool:
        """Whether there is any source beside the watch."""
        return bool(self.srv or self.file)

    def limits(self) -> Limits:
        return Limits(self.step_s, self.mass)

    def servers(self, srv: Srv) -> tuple[str, ...]:
        """The DNS servers that a name is asked of."""
        return srv.resolvers or self.resolvers


def check(table: SourcesTable, where: str = "sources") -> None:
    """ValueError, naming the key and what is allowed, for what a schema cannot say. Reads the files of addresses."""
    if not 0 < table.overflow_enter < table.overflow_leave <= 1:
        raise ValueError(f"{where}.overflow_enter: below overflow_leave")
    if not table.watch and not table.on:
        raise ValueError(f"{where}.watch: false leaves no source; add [[{where}.srv]] or [[{where}.file]]")
    if table.tls_ca and not Path(table.tls_ca).is_file():
        raise ValueError(f"{where}.tls_ca: {table.tls_ca!r} is not a file")
    if table.keep and not Path(table.keep).absolute().parent.is_dir():
        raise ValueError(f"{where}.keep: {str(Path(table.keep).parent)!r} is no folder")
    once(f"{where}.srv", "name", [s.name for s in table.srv])
    once(f"{where}.file", "path", [f.path for f in table.file])
    for i, file in enumerate(table.file):
        try:
            read_file(file.path)
        except OSError as e:
            raise ValueError(f"{where}.file[{i}].path: {file.path}: {e.strerror}") from None
        except BadFile as e:
            raise ValueError(f"{where}.file[{i}].path: {file.path}: {e}") from None
    for i, srv in enumerate(table.srv):
        here = f"{where}.srv[{i}]"
        name_of(srv.name, f"{here}.name")
        if srv.floor_s > srv.ceiling_s:
            raise ValueError(f"{here}.floor_s: at most ceiling_s")
        if not table.servers(srv):
            raise ValueError(f"{here}: no DNS server: set {where}.resolvers, or resolvers here")
        for server in table.servers(srv):
            server_address(server, f"{where}.resolvers")


def once(where: str, key: str, values: Sequence[str]) -> None:
    twice = sorted({v for v in values if values.count(v) > 1})
    if twice:
        raise ValueError(f"{where}: {key} {twice[0]!r} is there twice")


def name_of(text: str, where: str) -> str:
    """An SRV name as it is asked for."""
    try:
        from harecross.dns.message import plain
    except ImportError as e:
        raise ValueError(f"{where}: needs the extra `dns`: {e}") from None
    try:
        return plain(text)
    except ValueError as e:
        raise ValueError(f"{where}: {e}") from None
