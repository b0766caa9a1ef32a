"""The bytes of a trace: plain, .gz and .zst files as blocks of whole lines."""

from __future__ import annotations

import gzip
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import IO, cast

from harecross.traces.causes import BadTrace

BLOCK = 8 << 20  # bytes of one block, decompressed
BOM = b"\xef\xbb\xbf"


def open_trace(path: Path) -> IO[bytes]:
    """The file, decompressed by its ending."""
    if path.suffix == ".gz":
        return cast(IO[bytes], gzip.open(path, "rb"))
    if path.suffix == ".zst":
        import zstandard

        return cast(IO[bytes], zstandard.open(path, "rb"))
    return open(path, "rb")


def blocks(
    path: Path, size: int = BLOCK, progress: Callable[[int], None] | None = None
) -> Iterator[tuple[int, bytes]]:
    """Blocks of whole lines and the number of the first line in each, from 1; a BOM is left out.

    BadTrace for a file that cannot be opened or decompressed. A last line with no end is a line.
    """
    number = 1
    rest = b""
    try:
        with open_trace(path) as f:
            first = True
            while True:
                data = f.read(size)
                if first:
                    data, first = data.removeprefix(BOM), False
                if progress is not None:
                    progress(len(data))
                end = data.rfind(b"\n") + 1
                if not data:
                    if rest:
                        yield number, rest
                    return
                if end == 0:
                    rest += data
                    continue
                block, rest = rest + data[:end], data[end:]
                yield number, block
                number += block.count(b"\n")
    except OSError as e:
        raise BadTrace(f"{path}: {e.strerror or e}") from None
    except Exception as e:
        # zstandard and zlib each have an error of their own, and EOFError stands for a cut file.
        if type(e).__name__ not in ("ZstdError", "error", "EOFError"):
            raise
        raise BadTrace(f"{path}: cannot be decompressed: {e}") from None
