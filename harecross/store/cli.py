"""`harecross store`: what is kept, whether it is whole. Status 0, 1 for damage, 2 for wrong use."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Annotated

import typer

from harecross.exits import stop
from harecross.store.store import Damaged, Store, StoreError

store_app = typer.Typer(no_args_is_help=True, help="State that survives crashes.")
File = Annotated[Path, typer.Argument(help="The store's file.")]


@store_app.callback()
def group() -> None:
    """State that survives crashes."""


def opened(path: Path) -> Store:
    if not path.is_file():
        stop(f"{path}: no such file")
    try:
        return Store(str(path))
    except Damaged as e:
        stop(str(e), 1)
    except StoreError as e:
        stop(str(e))


@store_app.command("check")
def check(path: File) -> None:
    """Look the whole file through: pages and the checksum of each row."""
    store = opened(path)
    kinds = [
        k
        for (k,) in store.db.execute(
            "SELECT DISTINCT kind FROM documents WHERE kind <> '_reserve' ORDER BY kind"
        )
    ]
    counts = ", ".join(f"{len(store.keys(k))} {k}" for k in kinds) or "nothing in it"
    print(f"{path}: whole; {counts}; {store.size()} bytes")
    store.close()


@store_app.command("dump")
def dump(path: File) -> None:
    """Everything in it, one JSON object a line."""
    store = opened(path)
    try:
        for item in store.dump():
            print(json.dumps(item))
    except StoreError as e:
        stop(str(e), 1)
    finally:
        store.close()


@store_app.command("compact")
def compact(
    path: File, keep: Annotated[int, typer.Option(min=0, help="Records of each document that stay.")] = 1000
) -> None:
    """Drop old records and give their room back."""
    store = opened(path)
    try:
        before, after = store.compact(keep)
    except StoreError as e:
        stop(str(e), 1)
    finally:
        store.close()
    print(f"{path}: {before} bytes before, {after} after")
