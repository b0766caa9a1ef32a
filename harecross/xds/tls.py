"""Server credentials from files that are read again when they change."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

import grpc

from harecross.xds.config import TlsTable


class FileSignature(NamedTuple):
    """Changes whenever a file does."""

    modified_ns: int
    size: int


class CredentialFiles:
    """The files of `[tls]`; each handshake asks whether they have changed."""

    def __init__(self, table: TlsTable, log: Callable[[str], None]) -> None:
        self._table = table
        self._log = log
        self._loaded = self._signatures()

    def _signatures(self) -> list[FileSignature]:
        paths = [
            Path(name) for name in (self._table.certificate, self._table.key, self._table.client_ca) if name
        ]
        stats = [path.stat() for path in paths]
        return [FileSignature(stat.st_mtime_ns, stat.st_size) for stat in stats]

    def read(self) -> Any:
        """The server's configuration by the files."""
        pair = (Path(self._table.key).read_bytes(), Path(self._table.certificate).read_bytes())
        roots = Path(self._table.client_ca).read_bytes() if self._table.client_ca else None
        return grpc.ssl_server_certificate_configuration([pair], roots)

    def read_if_changed(self) -> Any:
        """The new configuration, or None for no change. A handshake never fails over files half replaced."""
        try:
            signatures = self._signatures()
            if signatures == self._loaded:
                return None
            config = self.read()
        except OSError as error:
            self._log(f"tls: files not read again: {error}")
            return None
        self._loaded = signatures
        self._log("tls: files read again")
        return config


def server_credentials(table: TlsTable, log: Callable[[str], None]) -> Any:
    """The credentials of a control server. OSError for files that cannot be read."""
    files = CredentialFiles(table, log)
    return grpc.dynamic_ssl_server_credentials(files.read(), files.read_if_changed, bool(table.client_ca))
