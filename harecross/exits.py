"""How a command ends early: one line and a status."""

from __future__ import annotations

import sys
from typing import NoReturn

import typer


def stop(text: str, status: int = 2) -> NoReturn:
    """One line on standard error."""
    print(f"harecross: {text}", file=sys.stderr)
    raise typer.Exit(status)
