"""Server credentials from files that are read again when they change."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

import grpc

from harecross.xds.config import TlsTable


class Files:
    """The files of `[tls]`; each handshake asks whether they have changed."""

    def __init__(self, told: TlsTable, log: Callable[[str], None]) -> None:
        self.told = told
        self.log = log
        self.stamp = self.stamps()

    def stamps(self) -> tuple[tuple[int, int], ...]:
        found = []
        for name in (self.told.certificate, self.told.key, self.told.client_ca):
            s = Path(name).stat() if name else None
            found.append((s.st_mtime_ns, s.st_size) if s else (0, 0))
        return tuple(found)

    def read(self) -> Any:
        pair = (Path(self.told.key).read_bytes(), Path(self.told.certificate).read_bytes())
        roots = Path(self.told.client_ca).read_bytes() if self.told.client_ca else None
        return grpc.ssl_server_certificate_configuration([pair], roots)

    def fetch(self) -> Any:
        """The new configuration, or None for no change. A handshake never fails over files half replaced."""
        try:
            stamp = self.stamps()
            if stamp == self.stamp:
                return None
            config = self.read()
        except OSError as e:
            self.log(f"tls: files not read again: {e}")
            return None
        self.stamp = stamp
        self.log("tls: files read again")
        return config


def credentials(told: TlsTable, log: Callable[[str], None]) -> Any:
    """For `Control.start`. OSError for files that cannot be read."""
    files = Files(told, log)
    return grpc.dynamic_ssl_server_credentials(files.read(), files.fetch, bool(told.client_ca))
