"""`harecross store`: what is stored, and whether it is whole. Status 0, 1 for damage, 2 for wrong use."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Annotated

import typer

from harecross.exits import exit_with_error
from harecross.store.errors import DamagedError, StoreError
from harecross.store.store import Store

store_app = typer.Typer(no_args_is_help=True, help="State that survives crashes.")
File = Annotated[Path, typer.Argument(help="The store's file.")]


@store_app.callback()
def group() -> None:
    """State that survives crashes."""


def open_store(path: Path) -> Store:
    """Opens a store that exists; ends the command with its status where that fails."""
    if not path.is_file():
        exit_with_error(f"{path}: no such file")
    try:
        return Store(str(path))
    except DamagedError as error:
        exit_with_error(str(error), 1)
    except StoreError as error:
        exit_with_error(str(error))


@store_app.command("check")
def check(path: File) -> None:
    """Look the whole file through: pages and the checksum of each row."""
    store = open_store(path)
    counts = [f"{len(store.keys(collection))} {collection}" for collection in store.collections()]
    print(f"{path}: whole; {', '.join(counts) or 'nothing in it'}; {store.size()} bytes")
    store.close()


@store_app.command("dump")
def dump(path: File) -> None:
    """Everything in it, one JSON object a line."""
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
    path: File, keep: Annotated[int, typer.Option(min=0, help="Records of each document that stay.")] = 1000
) -> None:
    """Drop old records and give their room back."""
    store = open_store(path)
    try:
        before, after = store.compact(keep)
    except StoreError as error:
        exit_with_error(str(error), 1)
    finally:
        store.close()
    print(f"{path}: {before} bytes before, {after} after")
