"""The bytes of a trace: plain, .gz and .zst files as blocks of complete lines."""

from __future__ import annotations

import gzip
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import IO, cast

from harecross.traces.row_tally import TraceError

BLOCK_BYTES = 8 << 20  # decompressed
BYTE_ORDER_MARK = b"\xef\xbb\xbf"
# zstandard and zlib each have an error of their own; EOFError stands for a file that is cut off.
DECOMPRESSION_ERRORS = ("ZstdError", "error", "EOFError")


def open_decompressed(path: Path) -> IO[bytes]:
    """Opens a file for reading, decompressed by its suffix."""
    if path.suffix == ".gz":
        return cast(IO[bytes], gzip.open(path, "rb"))
    if path.suffix == ".zst":
        import zstandard

        return cast(IO[bytes], zstandard.open(path, "rb"))
    return path.open("rb")


def read_blocks(
    path: Path, size: int = BLOCK_BYTES, progress: Callable[[int], None] | None = None
) -> Iterator[tuple[int, bytes]]:
    """Yields blocks of complete lines, each with the number of its first line, from 1; without a byte order mark.

    A last line without a line end is a line. Raises TraceError for a file that cannot be opened or decompressed.
    """
    try:
        with open_decompressed(path) as stream:
            yield from _split_lines(stream, size, progress)
    except OSError as error:
        raise TraceError(f"{path}: {error.strerror or error}") from None
    except Exception as error:
        if type(error).__name__ not in DECOMPRESSION_ERRORS:
            raise
        raise TraceError(f"{path}: cannot be decompressed: {error}") from None


def _split_lines(
    stream: IO[bytes], size: int, progress: Callable[[int], None] | None
) -> Iterator[tuple[int, bytes]]:
    line_number = 1
    incomplete = b""
    data = stream.read(size).removeprefix(BYTE_ORDER_MARK)
    while True:
        if progress is not None:
            progress(len(data))
        if not data:
            break
        end = data.rfind(b"\n") + 1
        if end == 0:
            incomplete += data
        else:
            block, incomplete = incomplete + data[:end], data[end:]
            yield line_number, block
            line_number += block.count(b"\n")
        data = stream.read(size)
    if incomplete:
        yield line_number, incomplete
