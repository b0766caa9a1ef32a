"""Reads trace files (plain, .gz or .zst) as blocks of complete lines."""

from __future__ import annotations

import gzip
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import IO, cast

from harecross.traces.row_tally import TraceError

BLOCK_BYTES = 8 << 20  # size after decompression
BYTE_ORDER_MARK = b"\xef\xbb\xbf"
# Class names of the errors that zstandard and zlib raise for corrupt data; EOFError means a truncated file.
DECOMPRESSION_ERRORS = ("ZstdError", "error", "EOFError")


def open_decompressed(path: Path) -> IO[bytes]:
    """Opens a file for reading; the suffix .gz or .zst selects the decompression."""
    if path.suffix == ".gz":
        return cast(IO[bytes], gzip.open(path, "rb"))
    if path.suffix == ".zst":
        import zstandard

        return cast(IO[bytes], zstandard.open(path, "rb"))
    return path.open("rb")


def read_blocks(
    path: Path, block_bytes: int = BLOCK_BYTES, progress: Callable[[int], None] | None = None
) -> Iterator[tuple[int, bytes]]:
    """Yields pairs of the line number of a block's first line, counted from 1, and the block of complete lines.

    A byte order mark is removed, and a last line without a line break counts as a line. `progress` is called with the
    number of decompressed bytes after each read. Raises TraceError if the file cannot be opened or decompressed.
    """
    try:
        with open_decompressed(path) as stream:
            yield from _split_into_blocks(stream, block_bytes, progress)
    except OSError as error:
        raise TraceError(f"{path}: {error.strerror or error}") from None
    except Exception as error:
        if type(error).__name__ not in DECOMPRESSION_ERRORS:
            raise
        raise TraceError(f"{path}: decompression failed: {error}") from None


def _split_into_blocks(
    stream: IO[bytes], block_bytes: int, progress: Callable[[int], None] | None
) -> Iterator[tuple[int, bytes]]:
    line_number = 1
    partial_line = b""
    data = stream.read(block_bytes).removeprefix(BYTE_ORDER_MARK)
    while True:
        if progress is not None:
            progress(len(data))
        if not data:
            break
        end = data.rfind(b"\n") + 1
        if end == 0:
            partial_line += data
        else:
            block, partial_line = partial_line + data[:end], data[end:]
            yield line_number, block
            line_number += block.count(b"\n")
        data = stream.read(block_bytes)
    if partial_line:
        yield line_number, partial_line
