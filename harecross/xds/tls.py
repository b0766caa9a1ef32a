"""TLS credentials of the server, reloaded when their files change."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

import grpc

from harecross.xds.config import TlsTable


class FileSignature(NamedTuple):
    """A file's modification time and size, by which a changed file is recognized."""

    modified_ns: int
    size: int


class CredentialFiles:
    """The certificate files of the configuration table `[tls]`; each TLS handshake checks whether they have changed."""

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
        """Reads the files and returns the server's certificate configuration."""
        pair = (Path(self._table.key).read_bytes(), Path(self._table.certificate).read_bytes())
        roots = Path(self._table.client_ca).read_bytes() if self._table.client_ca else None
        return grpc.ssl_server_certificate_configuration([pair], roots)

    def read_if_changed(self) -> Any:
        """Returns the new certificate configuration, or None if the files have not changed.

        If the files cannot be read, for example while they are being replaced, the handshake continues with the
        previous configuration.
        """
        try:
            signatures = self._signatures()
            if signatures == self._loaded:
                return None
            config = self.read()
        except OSError as error:
            self._log(f"tls: certificate files not reloaded, the previous ones stay in use: {error}")
            return None
        self._loaded = signatures
        self._log("tls: certificate files reloaded")
        return config


def server_credentials(table: TlsTable, log: Callable[[str], None]) -> Any:
    """Returns the credentials of a control server.

    Raises:
        OSError: If a file cannot be read.
    """
    files = CredentialFiles(table, log)
    return grpc.dynamic_ssl_server_credentials(files.read(), files.read_if_changed, bool(table.client_ca))
