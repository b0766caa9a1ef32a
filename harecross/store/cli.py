"""`harecross store`: checks, dumps and compacts the files of stores.

The exit status is 0 on success, 1 if the store is damaged or an operation fails, and 2 if the store cannot be opened or
the arguments are invalid.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Annotated

import typer

from harecross.exits import exit_with_error
from harecross.store.errors import DamagedError, StoreError
from harecross.store.store import Store

store_app = typer.Typer(
    no_args_is_help=True, help="Check, dump and compact the files that hold durable state."
)
StorePath = Annotated[Path, typer.Argument(help="Path of the store's file.")]


@store_app.callback()
def group() -> None:
    """Check, dump and compact the files that hold durable state."""


def open_store(path: Path) -> Store:
    """Opens an existing store; exits with an error message and status if that fails."""
    if not path.is_file():
        exit_with_error(f"{path}: no such file")
    try:
        return Store(str(path))
    except DamagedError as error:
        exit_with_error(str(error), 1)
    except StoreError as error:
        exit_with_error(str(error))


@store_app.command("check")
def check(path: StorePath) -> None:
    """Check the whole file: its pages and the checksum of each row."""
    store = open_store(path)
    counts = [f"{len(store.keys(collection))} {collection}" for collection in store.collections()]
    print(f"{path}: whole; {', '.join(counts) or 'nothing in it'}; {store.size()} bytes")
    store.close()


@store_app.command("dump")
def dump(path: StorePath) -> None:
    """Print all documents and records, one JSON object per line."""
    store = open_store(path)
    try:
        for item in store.dump():
            print(json.dumps(item))
    except StoreError as error:
        exit_with_error(str(error), 1)
    finally:
        store.close()


@store_app.command("compact")
def compact(
    path: StorePath,
    keep: Annotated[int, typer.Option(min=0, help="Number of records to keep of each document.")] = 1000,
) -> None:
    """Delete old records and return their space to the file system."""
    store = open_store(path)
    try:
        before, after = store.compact(keep)
    except StoreError as error:
        exit_with_error(str(error), 1)
    finally:
        store.close()
    print(f"{path}: {before} bytes before, {after} after")
